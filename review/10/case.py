"""An adviser that needs longer than the program waits for it."""

import asyncio
import os
import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 40
_ADVISED = '/sort/'
_JOBS = 3
_WORK_S = 0.5
_FINISH_S = 14.0
_LOST_S = 3.0
_STEPS = [{'count': 1, 'cpu': 1_000, 'mem_mb': 256, 'estimate_ms': 500}]


async def _case(deployment: fleet.Deployment, trouble: bool) -> list[str]:
    policy = await deployment.advise(
        decide_ms=400 if trouble else 40,
        each_ms=100 if trouble else 10,
        valid_ms=60_000,
    )
    deployment.configure(
        admission_check=True, queues={_ADVISED: {'advice': policy}}
    )
    for _ in range(_WORKERS):
        await deployment.fleet.add(cpu=32000, mem_mb=128000, guards=True)
    await deployment.start()
    await asyncio.sleep(3.0)
    jobs = [
        await deployment.submit(_STEPS, _WORK_S, prefix=_ADVISED, advised=True)
        for _ in range(_JOBS)
    ]
    # Nothing else is handed in: the traffic ends here.
    await asyncio.sleep(_FINISH_S)
    waiting = [job for job in jobs if not deployment.fleet.of(job)]
    await asyncio.sleep(_LOST_S)
    broken = [
        f'LOST: {_FINISH_S} s after the end of the traffic, and for '
        f'{_LOST_S} s on, nothing of {job} runs, and all workers are free'
        for job in waiting
        if not deployment.fleet.of(job)
    ]
    # The longer the wait, the less it is a matter of seconds.
    await asyncio.sleep(_FINISH_S)
    started = sum(bool(deployment.fleet.of(job)) for job in jobs)
    deployment.record.write(f'{started} of {_JOBS} jobs have started')
    return broken


if __name__ == '__main__':
    fleet.play(
        _case,
        str(_FOLDER),
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
