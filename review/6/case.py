"""Jobs of tasks that request no processors, memory or accelerators."""

import asyncio
import os
import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 8
_JOBS_EACH = 2
_WORK_S = 0.3
_VISIBLE_S = 3.0
_FINISH_S = 14.0


def _steps(trouble: bool) -> list[dict]:
    step = {'count': 1, 'estimate_ms': 300}
    return [step if trouble else step | {'cpu': 1}]


async def _case(deployment: fleet.Deployment, trouble: bool) -> list[str]:
    deployment.configure(admission_check=True)
    for _ in range(_WORKERS):
        await deployment.fleet.add(cpu=32000, mem_mb=128000, guards=True)
    await deployment.start()
    await asyncio.sleep(3.0)
    fronts = [one.address('callers') for one in deployment.instances]
    jobs = [
        await deployment.submit(_steps(trouble), _WORK_S, front=front)
        for front in fronts * _JOBS_EACH
    ]
    await asyncio.sleep(_VISIBLE_S + 1.0)
    unknown = []
    for job in jobs:
        for instance in deployment.instances:
            front = instance.address('callers')
            answer = await fleet.call(front, 'GET', fleet.PREFIX + job)
            deployment.record.write(
                f'GET {job} at {instance.name}: {answer.status}'
            )
            if answer.status == 410:
                unknown.append((job, instance.name))
    await asyncio.sleep(_FINISH_S)
    never = [job for job in jobs if not deployment.fleet.of(job)]
    deployment.record.write(f'{len(never)} of {len(jobs)} jobs have not run')
    return [
        f'LOST: GET {job}, accepted over {_VISIBLE_S} s before, is answered '
        f'410 by {name}'
        for job, name in unknown
    ]


if __name__ == '__main__':
    fleet.play(
        _case,
        str(_FOLDER),
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
