"""A job whose order was lost stays idle after its leader was killed."""

import asyncio
import pathlib
import signal
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
_STEPS = [{'count': 1, 'cpu': 2_000, 'mem_mb': 256, 'estimate_ms': 800}]
_INSTANCES = 4
_WORKERS = 6
_WORKER_CPU = 32_000
_TASK_S = 0.8
_LATE_S = 8.0  # pages: orders are carried out 2 to 12 s later
_KILL_AFTER_S = 5.0
_DOWN_S = 3.5  # pages: node_kill, for_s
_FINISH_S = 14.0
_IDLE_S = 3.0


class _Loss:
    """Loses the answer to the first order for the task of one job."""

    def __init__(self):
        self.lost = False

    def drops(self, fields: dict) -> bool:
        """Returns whether an order gets no answer."""
        ours = fields['task'].startswith(_JOB) and fields['deadline_ms'] >= 0
        if not ours or self.lost:
            return False
        self.lost = True
        return True


async def _kill_leader(case: platform_3.Case) -> None:
    """Kills the process that leads and starts it again."""
    await asyncio.sleep(_KILL_AFTER_S)
    leader = case.leader()
    if leader is None:
        raise platform_3.CannotRunError('no instance leads')
    case.record.write(f'fault    SIGKILL to {leader.name}, which leads')
    leader.send(signal.SIGKILL)
    await asyncio.sleep(_DOWN_S)
    await leader.start()
    case.record.write(f'fault    {leader.name} is started again')


async def _test(case: platform_3.Case) -> bool:
    case.configure([_ROUTE])
    loss = _Loss()
    for number in range(_WORKERS):
        worker = await case.add_worker(
            f'w{number}',
            work=lambda task: platform_3.Work(_TASK_S, 2_000),
            cpu=_WORKER_CPU,
        )
        if case.trouble:
            worker.drops_start = loss.drops
            worker.late_s = _LATE_S
    await case.add_instances(_INSTANCES)
    for number in range(24):
        if not await case.submit(f'/plans/{number:016x}', _STEPS):
            raise platform_3.CannotRunError('a job is not accepted')
        await asyncio.sleep(0.25)
    if not await case.submit(f'/plans/{_JOB}', _STEPS):
        raise platform_3.CannotRunError('the job is not accepted')
    accepted_s = platform_3.now_s()
    case.record.write('caller   this was the last job')
    kill = asyncio.create_task(_kill_leader(case)) if case.trouble else None
    finish_s = accepted_s + _FINISH_S
    await asyncio.sleep(finish_s - platform_3.now_s())
    state = await case.state(f'/plans/{_JOB}')
    await asyncio.sleep(finish_s + _IDLE_S - platform_3.now_s())
    last = await case.state(f'/plans/{_JOB}')
    if kill is not None:
        await kill
    held = _held(case, finish_s, state, last)
    while True:
        if _first_run_s(case) or platform_3.now_s() > finish_s + 30:
            break
        await asyncio.sleep(0.1)
    first_s = _first_run_s(case)
    after = 'not' if first_s is None else f'{first_s - accepted_s:.2f} s after'
    case.record.write(f'check    the task began {after} the acceptance')
    return held


def _held(
    case: platform_3.Case,
    finish_s: float,
    state: str | None,
    last: str | None,
) -> bool:
    """Returns whether the job ended or ran in the three seconds."""
    busy = sum(worker.used_cpu for worker in case.workers.values())
    case.record.write(
        f'check    {_FINISH_S:.0f} s after the last job it is {state}, '
        f'{_IDLE_S:.0f} s later {last}; {busy} of '
        f'{_WORKERS * _WORKER_CPU} thousandths of a core are in use'
    )
    if 'completed' in (state, last):
        return True
    first_s = _first_run_s(case)
    return first_s is not None and first_s < finish_s + _IDLE_S


def _first_run_s(case: platform_3.Case) -> float | None:
    for at_s, _, task, _ in case.history.starts:
        if task.startswith(_JOB):
            return at_s
    return None


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(platform_3.run(str(folder), _test))
