"""Simulates a batch queue with random arrivals on a small fleet.

Tasks are placed by first fit and their run times are known in advance. This
replaces the daemon in tests of the queue's order alone.
"""

import collections
import dataclasses
import heapq
import random
import typing as t

from amaranthflow import fairness
from amaranthflow import ids
from amaranthflow import shares
from amaranthflow import world
from amaranthflow_schema.v1 import world_pb2

_MS_PER_S = 1000
_STEP_S = 2
_WARM_UP_SHARE = 0.25
_WORKER = world.Size(cores=32, memory_mb=125_000)
_WORKER_SLOTS = 8
_SIZES = (
    world.Size(cores=1, memory_mb=4_000),
    world.Size(cores=2, memory_mb=16_000),
    world.Size(cores=4, memory_mb=8_000),
    world.Size(cores=8, memory_mb=16_000),
    world.Size(cores=16, memory_mb=60_000),
)
_RUN_S = (40.0, 120.0)
_HEAVY_LOAD = (4.0, 8.0)
_LIGHT_LOAD = (0.2, 0.5)
_LIGHT_TENANT_SHARE = 0.3
_GUARANTEED_TENANT_SHARE = 0.3
_GUARANTEE_PERCENT = 1.2
_URGENT_SLOTS = 8
_URGENT_PERIOD_S = 40


class Queue(t.Protocol):
    """The part of ``FairQueue`` that the driver uses."""

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting task."""

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields tasks in the order in which to try them."""

    def started(self, task: world.Task) -> None:
        """Counts a start."""

    def ended(self, task_id: ids.TaskId) -> None:
        """Counts an end."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TenantLoad:
    """Load of one tenant.

    :ivar load: offered work relative to the entitlement.
    """

    tenant: world_pb2.Tenant
    size: world.Size
    run_s: float
    load: float
    entitlement: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """Outcome of a run.

    :ivar ratios: mean dominant share relative to the entitlement, for tenants
        that always had waiting work after the warm-up.
    :ivar evenness: minimum ratio of tenants without a guarantee, relative to
        their mean ratio.
    :ivar used_slots: mean fraction of the slots in use.
    :ivar longest_wait_s: longest wait of a task before its start, for each
        tenant whose load is below its entitlement.
    :ivar urgent_waits_s: wait of each urgent task.
    """

    ratios: dict[str, float]
    evenness: float
    used_slots: float
    longest_wait_s: dict[str, float]
    urgent_waits_s: list[float]


class BatchDriver:
    """A fleet of equal workers and tenants with unequal demands.

    The first tenant also sends an urgent task of its usual size every 40 s.
    """

    def __init__(self, *, seed: int, tenants: int, workers: int = 35):
        self._rng = random.Random(seed)
        self._workers = workers
        self.slots = workers * _WORKER_SLOTS
        self.capacity = world.Size(
            cores=_WORKER.cores * workers,
            memory_mb=_WORKER.memory_mb * workers,
        )
        self.loads = self._make_loads(tenants)

    def run(self, *, seconds: int, queue: Queue | None = None) -> Report:
        """Runs the simulation, with a ``FairQueue`` by default."""
        if queue is None:
            queue = self.fair_queue()
        return _Simulation(self, queue, self._rng).run(seconds)

    def fair_queue(self, hold_limit: int = 2) -> fairness.FairQueue:
        """Returns a queue that is configured with all tenants."""
        queue = fairness.FairQueue(
            capacity=self.capacity, slots=self.slots, hold_limit=hold_limit
        )
        for load in self.loads:
            queue.configure(load.tenant)
        return queue

    def make_ledgers(self) -> list[world.WorkerLedger]:
        """Returns ledgers of all workers, without tasks."""
        return [
            world.WorkerLedger(
                worker=world.Worker(
                    worker_id=ids.WorkerId(f'w{number}'),
                    address='',
                    rack_id=ids.RackId('r'),
                    zone_id=ids.ZoneId('z'),
                    capacity=_WORKER,
                    slots=_WORKER_SLOTS,
                    connections=60,
                )
            )
            for number in range(self._workers)
        ]

    def dominant_share(self, size: world.Size) -> float:
        """Returns the dominant share of one task, including its slot."""
        return max(size.dominant_share(self.capacity), 1 / self.slots)

    def _make_loads(self, tenants: int) -> list[TenantLoad]:
        configured = [self._make_tenant(n) for n in range(tenants)]
        entitled = shares.entitlements(
            [
                shares.Claim(
                    tenant_id=ids.TenantId(tenant.tenant_id),
                    weight=tenant.weight,
                    floor=shares.Limits.from_message(
                        tenant
                    ).guarantee.dominant_share(self.capacity),
                )
                for tenant in configured
            ]
        )
        return [
            self._make_load(tenant, entitled[ids.TenantId(tenant.tenant_id)])
            for tenant in configured
        ]

    def _make_tenant(self, number: int) -> world_pb2.Tenant:
        tenant = world_pb2.Tenant(
            tenant_id=f't{number:02}', weight=self._rng.choice((1, 2, 4))
        )
        if self._rng.random() < _GUARANTEED_TENANT_SHARE:
            cores = _GUARANTEE_PERCENT * self.capacity.cores * tenant.weight
            tenant.guarantee.cores = cores / 100
        tenant.quota.cores = self.capacity.cores / 3
        tenant.urgent_slots = _URGENT_SLOTS
        return tenant

    def _make_load(
        self, tenant: world_pb2.Tenant, entitlement: float
    ) -> TenantLoad:
        light = self._rng.random() < _LIGHT_TENANT_SHARE
        low, high = _LIGHT_LOAD if light else _HEAVY_LOAD
        return TenantLoad(
            tenant=tenant,
            size=self._rng.choice(_SIZES),
            run_s=self._rng.uniform(*_RUN_S),
            load=self._rng.uniform(low, high),
            entitlement=entitlement,
        )


class _Simulation:
    """One run of the simulation."""

    def __init__(self, driver: BatchDriver, queue: Queue, rng: random.Random):
        self._driver = driver
        self._queue = queue
        self._rng = rng
        self._ledgers = driver.make_ledgers()
        self._number = 0
        self._end_timers: list[tuple[float, ids.TaskId, int]] = []
        self._pushed_s: dict[ids.TaskId, float] = {}
        self._waiting_counts: collections.Counter[str] = collections.Counter()
        self._running_counts: collections.Counter[str] = collections.Counter()
        self._share_sums: collections.Counter[str] = collections.Counter()
        self._idle: set[str] = set()
        self._longest_waits_s: dict[str, float] = {}
        self._urgent_waits_s: list[float] = []
        self._used_slot_samples = 0

    def run(self, seconds: int) -> Report:
        steps = 0
        for now_s in range(0, seconds, _STEP_S):
            self._end(now_s)
            self._arrive(now_s)
            self._start(now_s)
            if now_s >= _WARM_UP_SHARE * seconds:
                steps += 1
                self._sample()
        return self._report(steps)

    def _end(self, now_s: float) -> None:
        while self._end_timers and self._end_timers[0][0] <= now_s:
            _, task_id, index = heapq.heappop(self._end_timers)
            task = self._ledgers[index].release(task_id)
            self._running_counts[task.tenant_id] -= 1
            self._queue.ended(task_id)

    def _arrive(self, now_s: float) -> None:
        for load in self._driver.loads:
            share = self._driver.dominant_share(load.size)
            rate = load.load * load.entitlement / share / load.run_s
            arrivals = rate * _STEP_S
            count = int(arrivals) + (self._rng.random() < arrivals % 1)
            for _ in range(count):
                self._push(load, now_s)
        if now_s % _URGENT_PERIOD_S == 0:
            self._push(self._driver.loads[0], now_s, urgent=True)

    def _push(
        self, load: TenantLoad, now_s: float, urgent: bool = False
    ) -> None:
        self._number += 1
        task = world.Task(
            task_id=ids.batch_task_id(ids.JobId(f'{self._number}'), 1),
            tenant_id=ids.TenantId(load.tenant.tenant_id),
            task_class=ids.TaskClass('batch'),
            kind=world.TaskKind.BATCH,
            size=load.size,
            urgent=urgent,
        )
        self._waiting_counts[task.tenant_id] += 1
        self._pushed_s[task.task_id] = now_s
        self._queue.push(task, now_s * _MS_PER_S)

    def _start(self, now_s: float) -> None:
        now_ms = now_s * _MS_PER_S
        for task in self._queue.candidates(now_ms):
            index = self._first_fit(task)
            if index is not None:
                self._begin(task, index, now_s)
        if isinstance(self._queue, fairness.FairQueue):
            self._hold(now_ms)

    def _first_fit(self, task: world.Task) -> int | None:
        avoid = frozenset()
        if isinstance(self._queue, fairness.FairQueue):
            avoid = self._queue.avoid(task)
        for index, ledger in enumerate(self._ledgers):
            if ledger.worker.worker_id not in avoid and ledger.reserve(task):
                return index
        return None

    def _begin(self, task: world.Task, index: int, now_s: float) -> None:
        self._queue.started(task)
        tenant_id = task.tenant_id
        self._waiting_counts[tenant_id] -= 1
        self._running_counts[tenant_id] += 1
        waited_s = now_s - self._pushed_s.pop(task.task_id)
        longest_s = self._longest_waits_s.get(tenant_id, 0.0)
        if task.urgent:
            self._urgent_waits_s.append(waited_s)
        else:
            self._longest_waits_s[tenant_id] = max(longest_s, waited_s)
        load = next(
            load
            for load in self._driver.loads
            if load.tenant.tenant_id == tenant_id
        )
        run_s = self._rng.uniform(0.5, 1.5) * load.run_s
        heapq.heappush(self._end_timers, (now_s + run_s, task.task_id, index))

    def _hold(self, now_ms: int) -> None:
        for task in self._queue.starving_tasks(now_ms):
            held = {hold.worker_id for hold in self._queue.holds()}
            ledger = max(
                (
                    ledger
                    for ledger in self._ledgers
                    if ledger.worker.worker_id not in held
                ),
                key=lambda ledger: ledger.free.cores,
            )
            self._queue.hold(task.task_id, ledger.worker.worker_id, now_ms)

    def _sample(self) -> None:
        for load in self._driver.loads:
            tenant_id = load.tenant.tenant_id
            share = self._driver.dominant_share(load.size)
            self._share_sums[tenant_id] += (
                self._running_counts[tenant_id] * share
            )
            self._used_slot_samples += self._running_counts[tenant_id]
            if not self._waiting_counts[tenant_id]:
                self._idle.add(tenant_id)

    def _report(self, steps: int) -> Report:
        loads = {
            load.tenant.tenant_id: load
            for load in self._driver.loads
            if load.tenant.tenant_id not in self._idle
        }
        ratios = {
            tenant_id: self._share_sums[tenant_id] / steps / load.entitlement
            for tenant_id, load in loads.items()
        }
        light = {
            load.tenant.tenant_id
            for load in self._driver.loads
            if load.load < 1.0
        }
        return Report(
            ratios=ratios,
            evenness=_evenness(
                [
                    ratios[tenant_id]
                    for tenant_id, load in loads.items()
                    if not load.tenant.guarantee.cores
                ]
            ),
            used_slots=self._used_slot_samples / steps / self._driver.slots,
            longest_wait_s={
                tenant_id: waited_s
                for tenant_id, waited_s in self._longest_waits_s.items()
                if tenant_id in light
            },
            urgent_waits_s=self._urgent_waits_s,
        )


def _evenness(ratios: list[float]) -> float:
    if not ratios:
        return 1.0
    return min(ratios) / (sum(ratios) / len(ratios))
