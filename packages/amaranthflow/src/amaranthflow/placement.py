"""Placement by predicted interference, spread and reserved capacity."""

import collections
import dataclasses
import math
import typing as t

from . import capacity_index
from . import ids
from . import interference
from . import world

_SAMPLE_SEGMENTS = 4
_CURSOR_STRIDE = 7
_NOISY_FILL_RATIO = 0.7
_MIN_NOISY_SHARE = 0.2
_LATENCY_SLOTS_PER_TASK = 1.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementWeights:
    """Weights of the parts of a candidate's cost. Lower cost is better.

    :ivar spread: cost of having all tasks of a class in one rack and zone.
    :ivar batch: cost of slowing a batch neighbour; 1.0 is the cost of
        slowing a latency-critical one as much.
    :ivar expected: weight of latency-critical tasks that may be placed on
        the worker later.
    """

    spread: float = 0.5
    batch: float = 0.2
    expected: float = 0.5


@dataclasses.dataclass(slots=True)
class _Candidate:
    """A worker, with values derived from its ledger.

    :ivar position: index of the worker in the capacity indexes.
    :ivar reserve: size that batch tasks leave free.
    :ivar latency: latency-critical tasks of each class.
    :ivar batch: batch tasks of each class.
    :ivar slowdowns: slowdown predicted for each latency-critical class of
        the fleet beside the worker's batch tasks.
    :ivar mean_slowdown: mean of ``slowdowns``.
    :ivar noisy: number of batch tasks of noisy classes.
    :ivar batch_slots: slots that batch tasks may take.
    :ivar latency_slots: slots kept free for latency-critical tasks.
    """

    ledger: world.WorkerLedger
    position: int
    reserve: world.Size
    latency: dict[ids.TaskClass, int] = dataclasses.field(default_factory=dict)
    batch: dict[ids.TaskClass, int] = dataclasses.field(default_factory=dict)
    slowdowns: dict[ids.TaskClass, float] = dataclasses.field(
        default_factory=dict
    )
    mean_slowdown: float = 1.0
    noisy: int = 0
    batch_slots: int = 0
    latency_slots: int = 0


class InterferencePlacer:
    """Chooses the worker with the least predicted interference.

    Each choice compares a bounded number of workers where the task fits, so
    its cost hardly depends on the size of the fleet. A latency-critical task
    goes where it is slowed least, away from the racks and availability zones
    that already run its class. A batch task goes where it slows
    latency-critical tasks least; if every candidate would exceed the limit,
    it stays in the queue, unless it is urgent.

    :param slowdown_limit: predicted slowdown of a latency-critical class
        that a batch task may not exceed.
    :param all_compared: number of workers up to which all are compared.
    :param candidates: workers compared for one choice in a larger fleet.
    """

    def __init__(
        self,
        *,
        model: interference.InterferenceModel,
        slowdown_limit: float = 1.5,
        weights: PlacementWeights | None = None,
        all_compared: int = 36,
        candidates: int = 8,
    ):
        self.slowdown_limit = slowdown_limit
        self._model = model
        self._weights = weights or PlacementWeights()
        self._all_compared = all_compared
        self._candidates = candidates
        self._by_worker: dict[ids.WorkerId, _Candidate] = {}
        self._by_position: list[_Candidate | None] = []
        self._free_positions: list[int] = []
        self._cursor = 0
        self._latency_capacity = capacity_index.CapacityIndex()
        self._batch_capacity = capacity_index.CapacityIndex()
        self._spread = _Spread()
        self._isolation = _NoisyTaskIsolation()

    def add(
        self,
        ledger: world.WorkerLedger,
        reserve: world.Size = world.ZERO_SIZE,
    ) -> None:
        """Makes a worker available.

        :param reserve: size that batch tasks leave free for booked growth.
        """
        self.remove(ledger.worker.worker_id)
        position = self._new_position()
        candidate = _Candidate(ledger, position, reserve)
        self._by_position[position] = candidate
        self._by_worker[ledger.worker.worker_id] = candidate
        self._spread.add(ledger.worker)
        self._isolation.add(candidate)
        self._refresh(candidate)

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Removes a worker; unknown ids are ignored."""
        candidate = self._by_worker.pop(worker_id, None)
        if candidate is None:
            return
        self._spread.replace(candidate.ledger.worker, candidate.latency, {})
        self._spread.remove(candidate.ledger.worker)
        self._isolation.remove(candidate)
        self._by_position[candidate.position] = None
        self._free_positions.append(candidate.position)
        self._latency_capacity.clear(candidate.position)
        self._batch_capacity.clear(candidate.position)

    def refresh(self, worker_id: ids.WorkerId) -> None:
        """Recomputes all that is derived from the worker's ledger."""
        candidate = self._by_worker.get(worker_id)
        if candidate is not None:
            self._refresh(candidate)

    def set_reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Sets the size that batch tasks leave free on a worker."""
        candidate = self._by_worker.get(worker_id)
        if candidate is not None:
            candidate.reserve = size
            self._refresh(candidate)

    def choose(
        self, task: world.Task, avoid: t.Collection[ids.WorkerId] = ()
    ) -> world.Placement | None:
        """Returns the best worker where the task fits, None if there is none.

        Reserves nothing.
        """
        if task.kind is world.TaskKind.LATENCY:
            index = self._latency_capacity
            cost = _LatencyCost(self._model, self._weights, self._spread, task)
        else:
            index = self._batch_capacity
            cost = self._batch_cost(task)
        best = None
        best_cost = math.inf
        for candidate in self._comparable(index, task, avoid):
            value = cost.compute(candidate)
            if value < best_cost:
                best, best_cost = candidate, value
        if best is None:
            return None
        return world.Placement(
            worker_id=best.ledger.worker.worker_id,
            reason=self._explain(task, best),
        )

    def _batch_cost(self, task: world.Task) -> '_BatchCost':
        limit = math.inf if task.urgent else self.slowdown_limit
        cost = _BatchCost(
            self._model, self._weights, self._spread, task, limit
        )
        if not task.urgent and self._is_noisy(task.task_class):
            cost.isolation = self._isolation
            cost.latency_tasks = self._spread.fleet.total()
        return cost

    def _is_noisy(self, task_class: ids.TaskClass) -> bool:
        """Returns whether a worker full of such tasks would exceed the limit.

        That is so if the mean excess of one task is more than the limit's
        excess divided by the batch slots of a worker.
        """
        fleet = self._spread.fleet
        if not fleet:
            return False
        excesses = [self._model.excess(v, task_class) for v in fleet]
        mean = sum(excesses) / len(excesses)
        return mean * self._isolation.batch_slots > self.slowdown_limit - 1.0

    def _comparable(
        self,
        index: capacity_index.CapacityIndex,
        task: world.Task,
        avoid: t.Collection[ids.WorkerId],
    ) -> list[_Candidate]:
        """Returns workers where a task fits; in a large fleet, a sample."""
        count = len(index)
        if not count:
            return []
        self._cursor = (self._cursor + _CURSOR_STRIDE) % count
        if count <= self._all_compared:
            positions = index.find(task.size, self._cursor)
        else:
            positions = self._sampled(index, task.size, len(avoid) + 1)
        candidates = [self._by_position[position] for position in positions]
        return [
            candidate
            for candidate in candidates
            if candidate.ledger.worker.worker_id not in avoid
            and task.task_id not in candidate.ledger.tasks
        ]

    def _sampled(
        self, index: capacity_index.CapacityIndex, size: world.Size, spare: int
    ) -> t.Iterable[int]:
        """Returns a few positions from each of several segments.

        :param spare: extra positions, since some may be filtered out later.
        """
        count = len(index)
        limit = self._candidates // _SAMPLE_SEGMENTS + spare
        positions: dict[int, None] = {}
        for segment in range(_SAMPLE_SEGMENTS):
            start = (
                self._cursor + segment * count // _SAMPLE_SEGMENTS
            ) % count
            positions.update(dict.fromkeys(index.find(size, start, limit)))
        return positions

    def _explain(self, task: world.Task, candidate: _Candidate) -> str:
        if task.kind is world.TaskKind.LATENCY:
            slowdown = self._model.predict(task.task_class, candidate.batch)
            return (
                f'least predicted slowdown {slowdown:.2f} and spread'
                f' over racks and availability zones'
            )
        worst = max(
            (
                candidate.slowdowns[victim]
                + self._model.excess(victim, task.task_class)
                for victim in candidate.latency
            ),
            default=1.0,
        )
        return (
            f'slows latency-critical neighbours least, to {worst:.2f}'
            f' of limit {self.slowdown_limit:.2f}'
        )

    def _new_position(self) -> int:
        if self._free_positions:
            return self._free_positions.pop()
        self._by_position.append(None)
        self._latency_capacity.append()
        return self._batch_capacity.append()

    def _refresh(self, candidate: _Candidate) -> None:
        ledger = candidate.ledger
        latency, batch = _count_classes(ledger)
        if latency != candidate.latency:
            self._spread.replace(ledger.worker, candidate.latency, latency)
            candidate.latency = latency
        candidate.batch = batch
        self._isolation.resize(candidate)
        self._predict(candidate)
        free = ledger.free
        open_slots = 0 if ledger.leaving else ledger.free_slots
        self._latency_capacity.update(
            candidate.position,
            capacity_index.FreeCapacity(slots=open_slots, size=free),
        )
        batch_slots = ledger.free_batch_slots
        if ledger.leaving or not ledger.accepting_batch:
            batch_slots = 0
        self._batch_capacity.update(
            candidate.position,
            capacity_index.FreeCapacity(
                slots=batch_slots, size=free.minus(candidate.reserve)
            ),
        )

    def _predict(self, candidate: _Candidate) -> None:
        fleet = self._spread.fleet
        candidate.slowdowns = {
            victim: self._model.predict(victim, candidate.batch)
            for victim in fleet
        }
        candidate.mean_slowdown = 1.0
        if fleet:
            candidate.mean_slowdown = sum(candidate.slowdowns.values()) / len(
                fleet
            )
        noisy = sum(
            count
            for task_class, count in candidate.batch.items()
            if self._is_noisy(task_class)
        )
        self._isolation.set_noisy(candidate, noisy)


class _LatencyCost:
    """Cost of running a latency-critical task on a candidate."""

    def __init__(self, model, weights, spread: '_Spread', task: world.Task):
        self._model = model
        self._task_class = task.task_class
        self._spread = spread
        self._spread_weight = weights.spread
        self._own_excesses: dict[ids.TaskClass, float] = {}
        self._shares: dict[ids.RackId, float] = {}

    def compute(self, candidate: _Candidate) -> float:
        worker = candidate.ledger.worker
        share = self._shares.get(worker.rack_id)
        if share is None:
            share = self._spread.share(self._task_class, worker)
            self._shares[worker.rack_id] = share
        slowdown = candidate.slowdowns.get(self._task_class)
        if slowdown is None:
            slowdown = self._model.predict(self._task_class, candidate.batch)
        cost = self._spread_weight * share + slowdown - 1.0
        for neighbour, count in candidate.latency.items():
            excess = self._own_excesses.get(neighbour)
            if excess is None:
                excess = self._model.excess(self._task_class, neighbour)
                self._own_excesses[neighbour] = excess
            cost += count * excess
        return cost


class _BatchCost:
    """Cost of running a batch task on a candidate; infinite over the limit."""

    def __init__(
        self,
        model,
        weights,
        spread: '_Spread',
        task: world.Task,
        limit: float,
    ):
        self._model = model
        self._task_class = task.task_class
        self._limit = limit
        self.isolation: _NoisyTaskIsolation | None = None
        self.latency_tasks = 0
        self._batch_weight = weights.batch
        self._added_excesses: dict[ids.TaskClass, float] = {}
        self._mutual_excesses: dict[ids.TaskClass, float] = {}
        self._expected = weights.expected * sum(
            tasks * self._add_victim(victim)
            for victim, tasks in spread.tasks_per_worker()
        )

    def compute(self, candidate: _Candidate) -> float:
        if self.isolation and not self.isolation.allows(
            candidate, self.latency_tasks
        ):
            return math.inf
        cost = self._expected / (
            candidate.mean_slowdown * candidate.mean_slowdown
        )
        added_to = self._added_excesses
        for victim, count in candidate.latency.items():
            added = added_to[victim]
            if candidate.slowdowns[victim] + added > self._limit:
                return math.inf
            cost += count * added
        slowed = 0.0
        mutual = self._mutual_excesses
        for neighbour, count in candidate.batch.items():
            excess = mutual.get(neighbour)
            if excess is None:
                excess = self._mutual_excess(neighbour)
            slowed += count * excess
        return cost + self._batch_weight * slowed

    def _add_victim(self, victim: ids.TaskClass) -> float:
        added = self._model.excess(victim, self._task_class)
        self._added_excesses[victim] = added
        return added

    def _mutual_excess(self, neighbour: ids.TaskClass) -> float:
        excess = self._model.excess(neighbour, self._task_class)
        excess += self._model.excess(self._task_class, neighbour)
        self._mutual_excesses[neighbour] = excess
        return excess


class _NoisyTaskIsolation:
    """Confines noisy batch tasks to few workers; the others stay quiet.

    :ivar batch_slots: mean number of slots that batch tasks may take on a
        worker.
    """

    def __init__(self):
        self.batch_slots = 0.0
        self._worker_count = 0
        self._total_slots = 0
        self._noisy_slots = 0
        self._quiet_latency_slots = 0
        self._noisy = 0
        self._noisy_workers = 0

    def add(self, candidate: _Candidate) -> None:
        ledger = candidate.ledger
        candidate.batch_slots = ledger.worker.slots - ledger.reserved_slots
        candidate.latency_slots = max(1, ledger.reserved_slots)
        self._worker_count += 1
        self._total_slots += candidate.batch_slots
        self._quiet_latency_slots += candidate.latency_slots
        self.batch_slots = self._total_slots / self._worker_count

    def remove(self, candidate: _Candidate) -> None:
        self.set_noisy(candidate, 0)
        self._worker_count -= 1
        self._total_slots -= candidate.batch_slots
        self._quiet_latency_slots -= candidate.latency_slots
        self.batch_slots = self._total_slots / max(1, self._worker_count)

    def resize(self, candidate: _Candidate) -> None:
        """Applies a change of the worker's reserved slots."""
        ledger = candidate.ledger
        slots = ledger.worker.slots - ledger.reserved_slots
        if slots != candidate.batch_slots:
            noisy = candidate.noisy
            self.remove(candidate)
            self.add(candidate)
            self.set_noisy(candidate, noisy)

    def set_noisy(self, candidate: _Candidate, noisy: int) -> None:
        """Sets the number of noisy tasks on a worker."""
        before, candidate.noisy = candidate.noisy, noisy
        self._noisy += noisy - before
        if bool(before) == bool(noisy):
            return
        sign = 1 if noisy else -1
        self._noisy_workers += sign
        self._noisy_slots += sign * candidate.batch_slots
        self._quiet_latency_slots -= sign * candidate.latency_slots

    def allows(self, candidate: _Candidate, latency_tasks: int) -> bool:
        """Returns whether a noisy task may be placed on a worker.

        A quiet worker takes its first noisy task only once most slots of the
        noisy workers are in use, and only if the remaining quiet workers
        have slots enough for the latency-critical tasks. A few workers may
        always be noisy, so that no class waits for ever.
        """
        if candidate.noisy:
            return True
        if self._noisy < _NOISY_FILL_RATIO * self._noisy_slots:
            return False
        if self._noisy_workers < max(
            1, int(self._worker_count * _MIN_NOISY_SHARE)
        ):
            return True
        left = self._quiet_latency_slots - candidate.latency_slots
        return left >= latency_tasks * _LATENCY_SLOTS_PER_TASK


class _Spread:
    """Counts latency-critical tasks of each class by rack and zone."""

    def __init__(self):
        self.fleet: collections.Counter[ids.TaskClass] = collections.Counter()
        self._racks: collections.Counter = collections.Counter()
        self._zones: collections.Counter = collections.Counter()
        self._rack_workers: collections.Counter = collections.Counter()
        self._zone_workers: collections.Counter = collections.Counter()

    def tasks_per_worker(self) -> t.Iterator[tuple[ids.TaskClass, float]]:
        """Yields each class with its mean number of tasks on a worker."""
        workers = self._zone_workers.total()
        for task_class, count in self.fleet.items():
            yield task_class, count / workers

    def add(self, worker: world.Worker) -> None:
        self._rack_workers[worker.rack_id] += 1
        self._zone_workers[worker.zone_id] += 1

    def remove(self, worker: world.Worker) -> None:
        _subtract(self._rack_workers, worker.rack_id, 1)
        _subtract(self._zone_workers, worker.zone_id, 1)

    def replace(
        self,
        worker: world.Worker,
        old: dict[ids.TaskClass, int],
        new: dict[ids.TaskClass, int],
    ) -> None:
        """Replaces the counts that one worker contributes."""
        for task_class, count in old.items():
            _subtract(self.fleet, task_class, count)
            _subtract(self._racks, (task_class, worker.rack_id), count)
            _subtract(self._zones, (task_class, worker.zone_id), count)
        for task_class, count in new.items():
            self.fleet[task_class] += count
            self._racks[(task_class, worker.rack_id)] += count
            self._zones[(task_class, worker.zone_id)] += count

    def share(self, task_class: ids.TaskClass, worker: world.Worker) -> float:
        """Returns how densely a class is placed in a worker's rack and zone.

        That is the mean number of its tasks on a worker, averaged over the
        rack and the zone, so that small racks and zones fill as evenly as
        large ones; 0 if no task of the class is placed.
        """
        total = self.fleet.get(task_class, 0)
        if not total:
            return 0.0
        rack = self._racks.get((task_class, worker.rack_id), 0)
        zone = self._zones.get((task_class, worker.zone_id), 0)
        rack_mean = rack / self._rack_workers[worker.rack_id]
        zone_mean = zone / self._zone_workers[worker.zone_id]
        return (rack_mean + zone_mean) / 2.0


def _subtract(counter: collections.Counter, key, count: int) -> None:
    left = counter[key] - count
    if left > 0:
        counter[key] = left
    else:
        del counter[key]


def _count_classes(ledger: world.WorkerLedger):
    """Returns the counts of latency-critical and of batch classes."""
    latency: dict[ids.TaskClass, int] = {}
    batch: dict[ids.TaskClass, int] = {}
    for task in ledger.tasks.values():
        latency_task = task.kind is world.TaskKind.LATENCY
        mix = latency if latency_task else batch
        mix[task.task_class] = mix.get(task.task_class, 0) + 1
    return latency, batch
