"""A service whose workers crash three times in its life."""

import asyncio
import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 8
_CRASHES = 3
_DOWN_S = 2.0
_CALM_S = 10.0
_STEPS = [
    {'count': 1, 'cpu': 6400, 'mem_mb': 13000, 'perpetual': True},
]


async def _wait_running(deployment: fleet.Deployment, job: str) -> fleet.Run:
    while True:
        found = deployment.fleet.running(job)
        if found:
            return found[0]
        await asyncio.sleep(0.05)


async def _case(deployment: fleet.Deployment, trouble: bool) -> list[str]:
    deployment.configure(admission_check=True)
    for _ in range(_WORKERS):
        await deployment.fleet.add(cpu=32000, mem_mb=128000, guards=True)
    await deployment.start()
    await asyncio.sleep(3.0)
    job = await deployment.submit(_STEPS, float('inf'))
    for _ in range(_CRASHES):
        await asyncio.sleep(_CALM_S)
        run = deployment.fleet.running(job)
        if trouble and run:
            run[0].worker.crash()
            await asyncio.sleep(_DOWN_S)
            await run[0].worker.start()
        else:
            await asyncio.sleep(_DOWN_S)
    await asyncio.sleep(_CALM_S)
    state = await deployment.state(job)
    runs = deployment.fleet.of(job)
    failed = sum(run.how == 'failed' for run in runs)
    broken = []
    if state in ('failed', 'cancelled') and failed == 0:
        broken.append(
            f'LOST: {job}, which nobody has cancelled, is shown as {state}; '
            f'{len(runs)} runs, of which {failed} ended "failed"'
        )
    if not deployment.fleet.running(job):
        broken.append(
            f'LOST: for {_CALM_S} s nothing of {job} runs, and '
            f'{_WORKERS} workers are free'
        )
    return broken


if __name__ == '__main__':
    fleet.play(_case, str(_FOLDER))
