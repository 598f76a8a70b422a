"""A job stays idle after a worker that was to start one of its tasks died."""

import asyncio
import pathlib
import sys

import platform_3

_ROUTE = {
    'name': 'r-plans',
    'path_prefix': '/plans/',
    'priority': 0,
    'max_attempts': 2,
    'stretch_factor': 3.0,
    'target_latency_ms': 250,
}
_JOB = '00000000000000aa'
_STEPS = [{'count': 7, 'cpu': 3_100, 'mem_mb': 256, 'estimate_ms': 800}]
_INSTANCES = 4
# One of them is less than the 0.14 of the pages' workers that are lost.
_WORKERS = 8
_WORKER_CPU = 32_000
_TASK_S = 0.8
_FINISH_S = 14.0
_IDLE_S = 3.0
_POLL_S = 0.02


def _work(task: str) -> platform_3.Work:
    return platform_3.Work(_TASK_S, 3_100)


def _running(case: platform_3.Case) -> int:
    """Returns how many tasks of the job are at work."""
    return sum(
        task.startswith(_JOB)
        for worker in case.workers.values()
        for task in worker.running
    )


def _done(case: platform_3.Case) -> int:
    return sum(
        end[2].startswith(_JOB) and end[4] == 'done'
        for end in case.history.ends
    )


async def _test(case: platform_3.Case) -> bool:
    case.configure([_ROUTE])
    for number in range(_WORKERS):
        await case.add_worker(f'w{number}', work=_work, cpu=_WORKER_CPU)
    await case.add_instances(_INSTANCES)
    for number in range(12):
        if not await case.submit(f'/plans/{number:016x}', _STEPS):
            raise platform_3.CannotRunError('a job is not accepted')
        await asyncio.sleep(0.25)
    await asyncio.sleep(1.0)
    if case.trouble:
        case.record.write('fault    w0 loses power for good')
        case.workers['w0'].lose_power()
    if not await case.submit(f'/plans/{_JOB}', _STEPS):
        raise platform_3.CannotRunError('the job is not accepted')
    accepted_s = platform_3.now_s()
    case.record.write('caller   this was the last job')
    held = await _watch(case, accepted_s)
    while True:
        if _done(case) == 7 or platform_3.now_s() > accepted_s + 40:
            break
        await asyncio.sleep(_POLL_S)
    late_s = platform_3.now_s() - accepted_s
    case.record.write(
        f'check    {_done(case)} of 7 tasks are done {late_s:.2f} s after the '
        f'acceptance'
    )
    return held


async def _watch(case: platform_3.Case, accepted_s: float) -> bool:
    """Returns whether the job ends or has something running."""
    await asyncio.sleep(accepted_s + _FINISH_S - platform_3.now_s())
    state = await case.state(f'/plans/{_JOB}')
    seen = _running(case)
    end_s = accepted_s + _FINISH_S + _IDLE_S
    while platform_3.now_s() < end_s:
        seen = max(seen, _running(case))
        await asyncio.sleep(_POLL_S)
    last = await case.state(f'/plans/{_JOB}')
    up = [worker for worker in case.workers.values() if worker.up]
    used = sum(worker.used_cpu for worker in up)
    case.record.write(
        f'check    {_FINISH_S:.0f} s after the last job it is {state}, '
        f'{_IDLE_S:.0f} s later {last}; at most {seen} tasks of it at work '
        f'meanwhile; {used} of {len(up) * _WORKER_CPU} thousandths of a core '
        f'are in use'
    )
    return 'completed' in (state, last) or seen > 0


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(platform_3.run(str(folder), _test))
