"""One job with many tasks, and what becomes of the other jobs."""

import asyncio
import pathlib
import sys
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 12
# With TROUBLE=0 the same tasks come in as many jobs as this.
_PARTS = 10
_TASKS = 8_000
_WORK_S = 0.5
_OTHERS = 10
_SHORT_S = 0.5
_LARGE_S = 45.0
_SHARE_OF_CANCELS = 0.1
_SHARE_OF_ENDS = 0.2


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
    end_s = time.monotonic() + _LARGE_S
    done = 0
    while time.monotonic() < end_s and done < _TASKS:
        await asyncio.sleep(0.5)
        done = sum(run.how == 'done' for run in deployment.fleet.runs)
    deployment.record.write(f'{done} of {_TASKS} tasks have ended: {large}')
    await asyncio.sleep(fleet.CONTACT_S)
    short = [
        await deployment.submit(_short(500), _SHORT_S) for _ in range(_OTHERS)
    ]
    long = [
        await deployment.submit(_short(60_000), 60.0) for _ in range(_OTHERS)
    ]
    await asyncio.sleep(fleet.CONTACT_S)
    cancelled = await asyncio.gather(
        *(deployment.cancel(job, fleet.ACK_S) for job in long)
    )
    await asyncio.sleep(fleet.ACK_S)
    states = [await deployment.state(job) for job in short]
    ended = sum(
        any(run.how == 'done' for run in deployment.fleet.of(job))
        for job in short
    )
    unnoted = sum(worker.unnoted() for worker in workers)
    listed = sum(run.how is not None for run in deployment.fleet.runs)
    deployment.record.write(
        f'{ended} of {_OTHERS} short jobs have ended at their workers, states '
        f'{sorted(set(states))}; {unnoted} of {listed} ends not taken note of'
    )
    unanswered = cancelled.count(False)
    broken = []
    if unanswered > _SHARE_OF_CANCELS * len(long):
        broken.append(
            f'Acks: {unanswered} of {len(long)} cancels have no 2xx or 410 '
            f'after {fleet.ACK_S} s'
        )
    if unnoted > _SHARE_OF_ENDS * listed:
        broken.append(
            f'Acks: {unnoted} of {listed} ends are not taken note of'
        )
    return broken


if __name__ == '__main__':
    fleet.play(_case, str(_FOLDER))
