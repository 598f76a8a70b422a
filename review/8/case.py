"""One job with many tasks, and what becomes of the other jobs."""

import asyncio
import os
import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 4
# With TROUBLE=0 the same tasks come in as many jobs as this.
_PARTS = 10
_TASKS = 10_000
_WORK_S = 0.2
_OTHERS = 10
_SHORT_S = 0.5
_LARGE_S = 40.0
_PAUSE_S = 0.5
_FINISH_S = 14.0
_LOST_S = 3.0


def _large(count: int) -> list[dict]:
    return [
        {
            'count': count,
            'cpu': 1_000,
            'mem_mb': 256,
            'estimate_ms': int(_WORK_S * 1000),
            'checkpoint': True,
        }
    ]


def _short(estimate_ms: int) -> list[dict]:
    return [
        {'count': 1, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': estimate_ms}
    ]


def _done(deployment: fleet.Deployment) -> int:
    return sum(run.how == 'done' for run in deployment.fleet.runs)


async def _case(deployment: fleet.Deployment, trouble: bool) -> list[str]:
    workers = deployment.fleet.workers
    deployment.fleet.log_runs = False
    deployment.configure(admission_check=True)
    for _ in range(_WORKERS):
        await deployment.fleet.add(cpu=32000, mem_mb=128000, guards=True)
    await deployment.start()
    await asyncio.sleep(3.0)
    parts = 1 if trouble else _PARTS
    large = [
        await deployment.submit(_large(_TASKS // parts), _WORK_S)
        for _ in range(parts)
    ]
    for _ in range(round(_LARGE_S / _PAUSE_S)):
        if _done(deployment) == _TASKS:
            break
        await asyncio.sleep(_PAUSE_S)
    deployment.record.write(
        f'{_done(deployment)} of {_TASKS} tasks have ended: {large}'
    )
    await asyncio.sleep(fleet.CONTACT_S)
    others = [
        await deployment.submit(_short(500), _SHORT_S) for _ in range(_OTHERS)
    ]
    # Nothing else is handed in: the traffic ends here.
    await asyncio.sleep(_FINISH_S)
    waiting = [job for job in others if not deployment.fleet.of(job)]
    idle_s = 0.0
    while idle_s < _LOST_S and not any(worker.running for worker in workers):
        await asyncio.sleep(0.1)
        idle_s += 0.1
    for job in others:
        await deployment.state(job)
    cancelled = await asyncio.gather(
        *(deployment.cancel(job, fleet.ACK_S) for job in others)
    )
    unnoted = sum(worker.unnoted() for worker in workers)
    deployment.record.write(
        f'{len(waiting)} of {_OTHERS} small jobs have not run; no worker has '
        f'run anything for {idle_s:.1f} s; {unnoted} ends are not taken note '
        f'of; {cancelled.count(False)} of {_OTHERS} cancels have no answer in '
        f'{fleet.ACK_S} s'
    )
    if idle_s < _LOST_S:
        return []
    return [
        f'LOST: {_FINISH_S} s after the end of the traffic nothing of {job} '
        f'runs for {_LOST_S} s, and all workers are free'
        for job in waiting
    ]


if __name__ == '__main__':
    fleet.play(
        _case,
        str(_FOLDER),
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
