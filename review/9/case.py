"""A lasting task of an advised queue that has to start anew."""

import asyncio
import os
import pathlib
import sys
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins_2'))

import fleet  # noqa: E402

_WORKERS = 40
_CPU = 32_000
_MEM_MB = 128_000
_ADVISED = '/sort/'
_PLAIN = '/plan/'
_DOWN_S = 2.0
_WATCHED_S = 20.0
# The rule: from 6 s after its last run on, nothing of it runs for 3 s.
_GRACE_S = 6.0
_LOST_S = 3.0
_SERVICE = [
    {'count': 1, 'cpu': 6_400, 'mem_mb': 60_000, 'perpetual': True},
]
_BATCH = [
    {'count': 29, 'cpu': 1_000, 'mem_mb': 77_000, 'estimate_ms': 90_000},
]


def _used(workers: list[fleet.Worker]) -> float:
    """Returns the share of the capacity in use, by its scarcer resource."""
    return max(
        sum(worker.used(name) for worker in workers)
        / sum(worker.capacity[name] for worker in workers if worker.up)
        for name in ('cpu', 'mem_mb')
    )


def _rooms(workers: list[fleet.Worker]) -> int:
    """Returns how many workers have room for the lasting task."""
    need = _SERVICE[0]
    return sum(
        worker.up
        and all(
            worker.used(name) + need[name] <= worker.capacity[name]
            for name in ('cpu', 'mem_mb')
        )
        for worker in workers
    )


async def _case(deployment: fleet.Deployment, trouble: bool) -> list[str]:
    workers = deployment.fleet.workers
    policy = await deployment.advise(decide_ms=20, each_ms=5, valid_ms=60_000)
    deployment.configure(
        admission_check=True,
        queues={_ADVISED: {'advice': policy}, _PLAIN: {}},
    )
    for _ in range(_WORKERS):
        await deployment.fleet.add(cpu=_CPU, mem_mb=_MEM_MB, guards=True)
    await deployment.start()
    await asyncio.sleep(3.0)
    job = await deployment.submit(
        _SERVICE, float('inf'), prefix=_ADVISED, advised=True
    )
    await asyncio.sleep(3.0)
    await deployment.submit(_BATCH, 90.0, prefix=_PLAIN)
    await asyncio.sleep(4.0)
    first = deployment.fleet.running(job)[0]
    if trouble:
        first.worker.crash()
    await asyncio.sleep(_DOWN_S)
    if trouble:
        await first.worker.start()
    end_s = time.monotonic() + _WATCHED_S
    longest_s, since_s = 0.0, time.monotonic()
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        ended_s = first.ended_s or now_s
        if (
            deployment.fleet.running(job)
            or now_s - ended_s < _GRACE_S
            or _used(workers) >= 0.5
            or _rooms(workers) < 2
        ):
            since_s = now_s
        longest_s = max(longest_s, now_s - since_s)
        await asyncio.sleep(0.05)
    used, rooms = _used(workers), _rooms(workers)
    deployment.record.write(
        f'{rooms} workers have room for {job}, {used:.3f} of the capacity '
        f'is in use, nothing of it has run for {longest_s:.1f} s on end'
    )
    if longest_s < _LOST_S:
        return []
    return [
        f'LOST: from {_GRACE_S} s after its last run on, nothing of {job} '
        f'runs for {longest_s:.1f} s; {rooms} workers have room for it and '
        f'{used:.3f} of the capacity is in use'
    ]


if __name__ == '__main__':
    fleet.play(
        _case,
        str(_FOLDER),
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
