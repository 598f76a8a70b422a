"""A task that takes longer than others of its step is restarted for ever.

No fault is injected. With TROUBLE=0 all tasks of the step take the same time.
"""

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
_STEPS = [{'count': 4, 'cpu': 3_000, 'mem_mb': 256, 'estimate_ms': 2_500}]
_SHORT_S = 1.2
_LONG_S = 5.0
_WATCH_S = 40.0


async def _test(case: platform_3.Case) -> bool:
    long_s = _LONG_S if case.trouble else _SHORT_S

    def work(task: str) -> platform_3.Work:
        duration_s = long_s if task.endswith('.3') else _SHORT_S
        return platform_3.Work(duration_s, 3_000)

    case.configure([_ROUTE])
    for number in range(6):
        await case.add_worker(f'w{number}', work=work, cpu=32_000)
    await case.add_instances(3)
    if not await case.submit(f'/plans/{_JOB}', _STEPS):
        raise platform_3.CannotRunError('the job is not accepted')
    await asyncio.sleep(_WATCH_S)
    state = await case.state(f'/plans/{_JOB}')
    ends = [end[4] for end in case.history.ends]
    case.record.write(
        f'check    {_WATCH_S:.0f} s after its acceptance the job is {state}; '
        f'{ends.count("done")} runs are done, {ends.count("stopped")} stopped'
    )
    return state == 'completed'


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(platform_3.run(str(folder), _test))
