"""Callers withdraw jobs after a response that the outcome is unknown."""

import asyncio

from standins import scenario as scenario_lib

_WORKERS = 10
_STEP = {
    'count': 1,
    'cpu': 100,
    'mem_mb': 64,
    'estimate_ms': 1000,
    'perpetual': True,
    'image': 'img-1',
}
_LOST_SHARE = 0.35
_LOST_S = 4.5
_TIMES = 5
_CALM_S = 7.0
_JOB_PAUSE_S = 0.05
_CANCELLED_EACH = 5  # of the accepted jobs
_CANCEL_S = 3.0
_STOP_S = 0.4


async def _caller(case: scenario_lib.Scenario, number: int) -> None:
    """Hands one job in; withdraws it if it is not known to be accepted."""
    job = await case.submit(f'{0xC0000 + number:016x}', [_STEP], 'lasts', 1)
    if job.accepted_s is None or number % _CANCELLED_EACH == 0:
        await case.cancel(job)


async def play(case: scenario_lib.Scenario) -> None:
    """Plays the case."""
    case.configure()
    for number in range(_WORKERS):
        await case.add_worker(f'w{number:02}', cpu=32_000)
    for number in range(3):
        await case.add_instance(f'edge-{number}')
    await case.start_instances()
    number = 0
    async with asyncio.TaskGroup() as group:
        for _ in range(_TIMES):
            if case.trouble:
                case.log('the store begins to lose answers of late writes')
                case.store.late_share = _LOST_SHARE
            end_s = case.fleet.now_s() + _LOST_S
            while case.fleet.now_s() < end_s:
                group.create_task(_caller(case, number))
                number += 1
                await asyncio.sleep(_JOB_PAUSE_S)
            case.store.late_share = 0.0
            case.log('the store is sound again')
            await asyncio.sleep(_CALM_S)
    # The last late write is done 6 s after its call; calm from then on.
    calm_from_s = case.fleet.now_s()
    await asyncio.sleep(2 * (_CANCEL_S + _STOP_S))
    cancelled = [job for job in case.jobs.values() if job.cancelled_s]
    case.log(f'{len(case.jobs)} jobs, {len(cancelled)} cancels acknowledged')
    gone_s = calm_from_s + _CANCEL_S + _STOP_S
    for job in cancelled:
        for run in case.runs(job.id):
            if run.end_s is None or run.end_s > gone_s:
                case.fail(
                    f'UNASKED {run.task}: cancel acknowledged at '
                    f'{job.cancelled_s:.2f} s, run {run.run} started at '
                    f'{run.start_s:.2f} s, at work at the end'
                )


scenario_lib.main(play, __file__)
