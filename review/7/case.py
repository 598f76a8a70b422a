"""A start that is carried out late, after its worker has started again."""

import asyncio
import os
import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 8
_ROUNDS = 3
_WORK_S = 0.5
_LATE_S = 4.0
_DOWN_S = 1.0
_STEPS = [{'count': 1, 'cpu': 3_000, 'mem_mb': 6_000, 'estimate_ms': 500}]


async def _play_round(
    deployment: fleet.Deployment, trouble: bool
) -> list[str]:
    workers = deployment.fleet.workers
    for worker in workers:
        worker.late_s = _LATE_S if trouble else None
    job = await deployment.submit(_STEPS, _WORK_S)
    await asyncio.sleep(_LATE_S - _DOWN_S / 2)
    for worker in workers:
        worker.late_s = None
    first = deployment.fleet.of(job)[0]
    if first.how != 'done' or not first.noted:
        raise RuntimeError(f'{first.task} is not done and noted yet')
    deployment.record.write(f'the end of {first.task} was taken note of')
    if trouble:
        first.worker.crash()
    await asyncio.sleep(_DOWN_S)
    if trouble:
        await first.worker.start()
    await asyncio.sleep(3.0)
    again = deployment.fleet.of(job)[1:]
    return [
        f'TWICE: {run.task} run {run.number} starts at {run.worker.id} after '
        f'run {first.number} has ended done there, which was taken note of'
        for run in again
    ]


async def _case(deployment: fleet.Deployment, trouble: bool) -> list[str]:
    deployment.configure(admission_check=True)
    for _ in range(_WORKERS):
        await deployment.fleet.add(cpu=32000, mem_mb=128000, guards=True)
    await deployment.start()
    await asyncio.sleep(3.0)
    broken = []
    for _ in range(_ROUNDS):
        broken += await _play_round(deployment, trouble)
    return broken


if __name__ == '__main__':
    fleet.play(
        _case,
        str(_FOLDER),
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
