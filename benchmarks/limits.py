"""Measures the cost of queues and logs, and goodput under overload.

Prints one JSON line for each measurement.
"""

import asyncio
import json
import random
import statistics
import sys
import time
import tracemalloc
import typing as t

from amaranthflow import admission
from amaranthflow import decisions
from amaranthflow import fairness
from amaranthflow import ids
from amaranthflow import latency
from amaranthflow import world
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import batch_driver
from amaranthflow_standins import overload_driver
from amaranthflow_standins import reference_admission
from amaranthflow_standins import virtual_time

_SEEDS = (1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
_TENANT_COUNT = 46
_WAITING_TASK_COUNTS = (1_000, 10_000, 150_000)
_OPERATION_COUNT = 5_000
_LOAD_FACTORS = (1.0, 2.0, 3.0)
_MAX_WAIT_S = 0.1
_OVERLOAD_RUN_S = 4.0
_BATCH_RUN_S = 2_000
_DECISION_COUNT = 100_000
_US_PER_S = 1_000_000
_CAPACITY = world.Size(cores=316_800, memory_mb=1_237_500_000)
_SLOT_COUNT = 79_200


def _print(name: str, **values: t.Any) -> None:
    print(json.dumps({'benchmark': name, **values}), flush=True)


def _mean_duration_us(
    operation: t.Callable[[int], object], count: int
) -> float:
    start_s = time.perf_counter()
    for number in range(count):
        operation(number)
    return (time.perf_counter() - start_s) / count * _US_PER_S


def _tasks(rng: random.Random, start: int, count: int) -> list[world.Task]:
    return [
        world.Task(
            task_id=ids.batch_task_id(ids.JobId(f'{number}'), 1),
            tenant_id=ids.TenantId(f't{rng.randrange(_TENANT_COUNT)}'),
            task_class=ids.TaskClass('batch'),
            kind=world.TaskKind.BATCH,
            size=world.Size(
                cores=rng.choice((1, 2, 4, 8)),
                memory_mb=rng.choice((1_000, 4_000, 16_000)),
            ),
            urgent=rng.random() < 0.02,
        )
        for number in range(start, start + count)
    ]


class _QueueCost:
    """Measures the operations of a fair queue with many waiting tasks."""

    def __init__(self, waiting: int, rng: random.Random):
        self._rng = rng
        self._waiting = waiting
        self._queue = fairness.FairQueue(capacity=_CAPACITY, slots=_SLOT_COUNT)
        for number in range(_TENANT_COUNT):
            self._queue.configure(
                world_pb2.Tenant(tenant_id=f't{number}', weight=1 + number % 4)
            )
        self._tasks = _tasks(rng, 0, waiting)
        for task in self._tasks:
            self._queue.push(task, 0)

    def run(self) -> None:
        """Runs the measurement and prints one JSON line."""
        added = _tasks(self._rng, self._waiting, _OPERATION_COUNT)
        push_us = _mean_duration_us(
            lambda n: self._queue.push(added[n], 0), len(added)
        )
        count = min(_OPERATION_COUNT, self._waiting // 4)
        self._started: list[world.Task] = []
        next_us = _mean_duration_us(self._start_one, count)
        end_us = _mean_duration_us(
            lambda n: self._queue.ended(self._started[n].task_id), count
        )
        remaining = [
            task for task in self._tasks if task.task_id in self._queue
        ][:count]
        self._rng.shuffle(remaining)
        cancel_us = _mean_duration_us(
            lambda n: self._queue.cancel(remaining[n].task_id), len(remaining)
        )
        refused_us = _mean_duration_us(self._refuse_all, 20)
        _print(
            'fair queue',
            tenants=_TENANT_COUNT,
            waiting=self._waiting,
            push_us=round(push_us, 2),
            next_and_started_us=round(next_us, 2),
            ended_us=round(end_us, 2),
            cancel_us=round(cancel_us, 2),
            round_of_refusals_us=round(refused_us, 1),
            refusals_in_round=self._refusals,
        )

    def _start_one(self, _: int) -> None:
        task = next(self._queue.candidates(0))
        self._queue.started(task)
        self._started.append(task)

    def _refuse_all(self, _: int) -> None:
        self._refusals = sum(1 for _ in self._queue.candidates(0))


def _measure_queue_memory() -> None:
    tasks = _tasks(random.Random(1), 0, 10_000)
    queue = fairness.FairQueue(capacity=_CAPACITY, slots=_SLOT_COUNT)
    tracemalloc.start()
    for task in tasks:
        queue.push(task, 0)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _print(
        'fair queue memory', bytes_per_task=round(traced_bytes / len(tasks))
    )


def _measure_latency_histograms() -> None:
    histograms = latency.LatencyHistograms()
    record_us = _mean_duration_us(
        lambda n: histograms.record('t', 'c', 100.0 + n), 10 * _OPERATION_COUNT
    )
    tracemalloc.start()
    for number in range(_TENANT_COUNT * 2):
        histograms.record(f't{number}', 'c', 100.0)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rows_us = _mean_duration_us(lambda _: histograms.rows('t'), 20)
    _print(
        'latency book',
        record_us=round(record_us, 2),
        row_us=round(rows_us, 1),
        bytes_per_histogram=round(traced_bytes / (_TENANT_COUNT * 2)),
    )


def _measure_decision_log() -> None:
    tracemalloc.start()
    log = decisions.DecisionLog()
    for number in range(_DECISION_COUNT):
        _add_decision(log, number)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    add_us = _mean_duration_us(
        lambda n: _add_decision(log, n), _DECISION_COUNT
    )
    _print(
        'decision log',
        add_us=round(add_us, 2),
        full_megabytes=round(traced_bytes / 1e6, 1),
    )


def _add_decision(log: decisions.DecisionLog, number: int) -> None:
    log.add(
        f'job{number % decisions.MAX_SUBJECTS}',
        ids.TenantId(f't{number % _TENANT_COUNT}'),
        decisions.DecisionKind.PLACED,
        f'least expected slowdown on worker w{number % 35}',
        number,
    )


class _SlotCounter:
    """Counts the free slots that an admission queue reserves."""

    def __init__(self):
        self.free = 0

    def try_reserve(self, _: admission.AdmissionRequest) -> bool | None:
        if not self.free:
            return None
        self.free -= 1
        return True

    def release(self, _: bool) -> None:
        self.free += 1


class _AdmissionCost:
    """Measures an admission queue on a virtual event loop, in real time."""

    def __init__(self, loop: virtual_time.VirtualLoop):
        self._slot_counter = _SlotCounter()
        self._queue = admission.AdmissionQueue(
            clock=loop,
            try_reserve=self._slot_counter.try_reserve,
            release=self._slot_counter.release,
            limit=_OPERATION_COUNT,
        )
        self._tasks: list[asyncio.Task] = []

    async def run(self) -> None:
        """Runs the measurement and prints one JSON line."""
        costs_us = {}
        # The names of the methods become keys of the JSON line.
        for step in (self._direct, self._wait, self._cancel, self._grant):
            start_s = time.perf_counter()
            count = await step()
            elapsed_us = (time.perf_counter() - start_s) * _US_PER_S
            costs_us[f'{step.__name__[1:]}_us'] = round(elapsed_us / count, 2)
        _print('admission cost', waiting=_OPERATION_COUNT, **costs_us)

    async def _direct(self) -> int:
        self._slot_counter.free = _OPERATION_COUNT
        for number in range(_OPERATION_COUNT):
            await self._queue.enter(_request(number))
        return _OPERATION_COUNT

    async def _wait(self) -> int:
        self._tasks = [
            asyncio.create_task(self._queue.enter(_request(number)))
            for number in range(_OPERATION_COUNT)
        ]
        await asyncio.sleep(0)
        return len(self._queue)

    async def _cancel(self) -> int:
        cancelled = self._tasks[::2]
        for task in cancelled:
            task.cancel()
        await asyncio.gather(*cancelled, return_exceptions=True)
        return len(cancelled)

    async def _grant(self) -> int:
        remaining = self._tasks[1::2]
        for _ in remaining:
            self._slot_counter.free += 1
            self._queue.wake()
        await asyncio.gather(*remaining)
        return len(remaining)


async def _measure_admission(loop: virtual_time.VirtualLoop) -> None:
    await _AdmissionCost(loop).run()


def _request(number: int) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(
        request_id=ids.RequestId(str(number)),
        tenant_id=ids.TenantId(f't{number % _TENANT_COUNT}'),
        service_id=ids.ServiceId('s'),
        deadline_s=1e9,
    )


def _measure_overload() -> None:
    variants = (
        ('admission queue', admission.AdmissionQueue, float('inf')),
        ('with longest wait', admission.AdmissionQueue, _MAX_WAIT_S),
        ('first come', reference_admission.FirstComeQueue, float('inf')),
    )
    for name, make_queue, max_wait_s in variants:
        for load in _LOAD_FACTORS:
            reports = [
                overload_driver.OverloadDriver(
                    seed=seed,
                    load=load,
                    seconds=_OVERLOAD_RUN_S,
                    make_queue=make_queue,
                    max_wait_s=max_wait_s,
                ).run()
                for seed in _SEEDS
            ]
            _print('overload', way=name, load=load, **_medians(reports))


def _medians(reports: list[overload_driver.Report]) -> dict[str, float]:
    values = {
        'goodput': [r.goodput for r in reports],
        'late': [r.late for r in reports],
        'p99_ms': [r.p99_s * 1000 for r in reports],
        'greedy_tenant_answered': [r.tenants[0] for r in reports],
        'worst_other_answered': [min(r.tenants[1:]) for r in reports],
        'refused_after_ms': [r.refused_after_s * 1000 for r in reports],
    }
    return {k: round(statistics.median(v), 3) for k, v in values.items()}


def _measure_fairness() -> None:
    for hold_limit in (0, 1, 2):
        reports = []
        for seed in _SEEDS:
            driver = batch_driver.BatchDriver(seed=seed, tenants=_TENANT_COUNT)
            queue = driver.fair_queue(hold_limit=hold_limit)
            reports.append(driver.run(seconds=_BATCH_RUN_S, queue=queue))
        longest_urgent_waits_s = [max(r.urgent_waits_s) for r in reports]
        worst_ratios = [min(r.ratios.values()) for r in reports]
        _print(
            'shares of 46 tenants',
            hold_limit=hold_limit,
            worst_ratio_median=round(statistics.median(worst_ratios), 3),
            worst_ratio_least=round(min(worst_ratios), 3),
            evenness_median=round(
                statistics.median(r.evenness for r in reports), 3
            ),
            longest_urgent_wait_s=max(longest_urgent_waits_s),
            used_slots_median=round(
                statistics.median(r.used_slots for r in reports), 3
            ),
        )


def main() -> int:
    """Runs all measurements."""
    for waiting in _WAITING_TASK_COUNTS:
        _QueueCost(waiting, random.Random(1)).run()
    _measure_queue_memory()
    _measure_latency_histograms()
    _measure_decision_log()
    virtual_time.run(_measure_admission)
    _measure_overload()
    _measure_fairness()
    return 0


if __name__ == '__main__':
    sys.exit(main())
