"""Placement by predicted interference, spread and reserved room."""

import collections
import dataclasses
import math
import typing as t

from . import capacity_index
from . import ids
from . import interference
from . import world

_RUNS = 4
_CURSOR_STEP = 7
_FILLED = 0.7
_ALWAYS_OPEN = 0.2
_LATENCY_HEADROOM = 1.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementWeights:
    """What a candidate's cost is made of. Lower cost is better.

    :ivar spread: cost of having all of a class in one rack or zone.
    :ivar batch: cost of slowing one batch neighbour, 1.0 is as much as a
        latency-critical one.
    :ivar expected: weight of latency-critical tasks that may still come.
    """

    spread: float = 0.5
    batch: float = 0.2
    expected: float = 0.5


@dataclasses.dataclass(slots=True)
class _Site:
    """What the placer remembers of one worker's ledger.

    :ivar slowdowns: predicted there for each latency-critical class.
    :ivar disturbance: mean slowdown of any latency-critical class there.
    :ivar disturbing: batch tasks there of disturbing classes.
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
    disturbance: float = 1.0
    disturbing: int = 0
    batch_slots: int = 0
    latency_slots: int = 0


class InterferencePlacer:
    """Chooses the worker where a task and its neighbours suffer least.

    A bounded number of workers with room is compared for each choice, so its
    cost hardly depends on the size of the fleet. A latency-critical task
    goes where it is slowed least, away from the racks and availability zones
    that already run its class. A batch task goes where it slows
    latency-critical tasks least, and waits where every candidate would pass
    the limit; an urgent one does not wait for that.

    :param slowdown_limit: predicted slowdown of a latency-critical class
        that a batch task may not cause.
    :param all_compared: fleets up to this size are compared as a whole.
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
        self._sites: dict[ids.WorkerId, _Site] = {}
        self._at: list[_Site | None] = []
        self._vacant: list[int] = []
        self._cursor = 0
        self._latency_rooms = capacity_index.CapacityIndex()
        self._batch_rooms = capacity_index.CapacityIndex()
        self._spread = _Spread()
        self._quiet = _QuietSites()

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
        site = _Site(ledger, position, reserve)
        self._at[position] = site
        self._sites[ledger.worker.worker_id] = site
        self._spread.add(ledger.worker)
        self._quiet.add(site)
        self._refresh(site)

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Takes a worker away."""
        site = self._sites.pop(worker_id, None)
        if site is None:
            return
        self._spread.move(site.ledger.worker, site.latency, {})
        self._spread.remove(site.ledger.worker)
        self._quiet.remove(site)
        self._at[site.position] = None
        self._vacant.append(site.position)
        self._latency_rooms.clear(site.position)
        self._batch_rooms.clear(site.position)

    def refresh(self, worker_id: ids.WorkerId) -> None:
        """Refreshes what depends on the worker's ledger."""
        site = self._sites.get(worker_id)
        if site is not None:
            self._refresh(site)

    def set_reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Replaces the size that batch tasks leave free on a worker."""
        site = self._sites.get(worker_id)
        if site is not None:
            site.reserve = size
            self._refresh(site)

    def choose(
        self, task: world.Task, avoid: t.Collection[ids.WorkerId] = ()
    ) -> world.Placement | None:
        """Returns the best worker with room, or None. Reserves nothing."""
        if task.kind is world.TaskKind.LATENCY:
            index = self._latency_rooms
            cost = _LatencyCost(self._model, self._weights, self._spread, task)
        else:
            index = self._batch_rooms
            cost = self._batch_cost(task)
        best = None
        best_cost = math.inf
        for site in self._comparable(index, task, avoid):
            value = cost.of(site)
            if value < best_cost:
                best, best_cost = site, value
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
        if not task.urgent and self._disturbs(task.task_class):
            cost.quiet = self._quiet
            cost.latency_tasks = self._spread.fleet.total()
        return cost

    def _disturbs(self, task_class: ids.TaskClass) -> bool:
        """Tells whether one task takes more than a slot's part of the limit.

        A worker full of tasks that take less stays under the limit.
        """
        fleet = self._spread.fleet
        if not fleet:
            return False
        excesses = [self._model.excess(one, task_class) for one in fleet]
        mean = sum(excesses) / len(excesses)
        return mean * self._quiet.batch_slots > self.slowdown_limit - 1.0

    def _comparable(
        self,
        index: capacity_index.CapacityIndex,
        task: world.Task,
        avoid: t.Collection[ids.WorkerId],
    ) -> list[_Site]:
        """Returns sites with room, of a large fleet those of a few places."""
        count = len(index)
        if not count:
            return []
        self._cursor = (self._cursor + _CURSOR_STEP) % count
        if count <= self._all_compared:
            positions = index.find(task.size, self._cursor)
        else:
            positions = self._sampled(index, task.size, len(avoid) + 1)
        sites = [self._at[position] for position in positions]
        return [
            site
            for site in sites
            if site.ledger.worker.worker_id not in avoid
            and task.task_id not in site.ledger.tasks
        ]

    def _sampled(
        self, index: capacity_index.CapacityIndex, size: world.Size, spare: int
    ) -> t.Iterable[int]:
        """Returns a few positions from each of several places.

        :param spare: positions more than needed, as some may be left out.
        """
        count = len(index)
        limit = self._candidates // _RUNS + spare
        positions: dict[int, None] = {}
        for run in range(_RUNS):
            start = (self._cursor + run * count // _RUNS) % count
            positions.update(dict.fromkeys(index.find(size, start, limit)))
        return positions

    def _explain(self, task: world.Task, site: _Site) -> str:
        if task.kind is world.TaskKind.LATENCY:
            slowdown = self._model.predict(task.task_class, site.batch)
            return (
                f'least predicted slowdown {slowdown:.2f} and spread'
                f' over racks and availability zones'
            )
        worst = max(
            (
                site.slowdowns[victim]
                + self._model.excess(victim, task.task_class)
                for victim in site.latency
            ),
            default=1.0,
        )
        return (
            f'slows latency-critical neighbours least, to {worst:.2f}'
            f' of limit {self.slowdown_limit:.2f}'
        )

    def _new_position(self) -> int:
        if self._vacant:
            return self._vacant.pop()
        self._at.append(None)
        self._latency_rooms.append()
        return self._batch_rooms.append()

    def _refresh(self, site: _Site) -> None:
        ledger = site.ledger
        latency, batch = _mix(ledger)
        if latency != site.latency:
            self._spread.move(ledger.worker, site.latency, latency)
            site.latency = latency
        site.batch = batch
        self._quiet.resize(site)
        self._predict(site)
        free = ledger.free
        open_slots = 0 if ledger.leaving else ledger.free_slots
        self._latency_rooms.update(
            site.position,
            capacity_index.FreeCapacity(slots=open_slots, size=free),
        )
        batch_slots = ledger.free_batch_slots
        if ledger.leaving or not ledger.accepting_batch:
            batch_slots = 0
        self._batch_rooms.update(
            site.position,
            capacity_index.FreeCapacity(
                slots=batch_slots, size=free.minus(site.reserve)
            ),
        )

    def _predict(self, site: _Site) -> None:
        fleet = self._spread.fleet
        site.slowdowns = {
            victim: self._model.predict(victim, site.batch) for victim in fleet
        }
        site.disturbance = 1.0
        if fleet:
            site.disturbance = sum(site.slowdowns.values()) / len(fleet)
        disturbing = sum(
            count
            for task_class, count in site.batch.items()
            if self._disturbs(task_class)
        )
        self._quiet.move(site, disturbing)


class _LatencyCost:
    """Cost of running one latency-critical task on a site."""

    def __init__(self, model, weights, spread: '_Spread', task: world.Task):
        self._model = model
        self._task_class = task.task_class
        self._spread = spread
        self._spread_weight = weights.spread
        self._own: dict[ids.TaskClass, float] = {}
        self._shares: dict[ids.RackId, float] = {}

    def of(self, site: _Site) -> float:
        worker = site.ledger.worker
        share = self._shares.get(worker.rack_id)
        if share is None:
            share = self._spread.share(self._task_class, worker)
            self._shares[worker.rack_id] = share
        slowdown = site.slowdowns.get(self._task_class)
        if slowdown is None:
            slowdown = self._model.predict(self._task_class, site.batch)
        cost = self._spread_weight * share + slowdown - 1.0
        for neighbour, count in site.latency.items():
            excess = self._own.get(neighbour)
            if excess is None:
                excess = self._model.excess(self._task_class, neighbour)
                self._own[neighbour] = excess
            cost += count * excess
        return cost


class _BatchCost:
    """Cost of running one batch task on a site; infinite past the limit."""

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
        self.quiet: _QuietSites | None = None
        self.latency_tasks = 0
        self._batch_weight = weights.batch
        self._added: dict[ids.TaskClass, float] = {}
        self._mutual: dict[ids.TaskClass, float] = {}
        self._expected = weights.expected * sum(
            tasks * self._add(victim)
            for victim, tasks in spread.tasks_per_worker()
        )

    def of(self, site: _Site) -> float:
        if self.quiet and not self.quiet.opens(site, self.latency_tasks):
            return math.inf
        cost = self._expected / (site.disturbance * site.disturbance)
        added_to = self._added
        for victim, count in site.latency.items():
            added = added_to[victim]
            if site.slowdowns[victim] + added > self._limit:
                return math.inf
            cost += count * added
        slowed = 0.0
        mutual = self._mutual
        for neighbour, count in site.batch.items():
            excess = mutual.get(neighbour)
            if excess is None:
                excess = self._mutually(neighbour)
            slowed += count * excess
        return cost + self._batch_weight * slowed

    def _add(self, victim: ids.TaskClass) -> float:
        added = self._model.excess(victim, self._task_class)
        self._added[victim] = added
        return added

    def _mutually(self, neighbour: ids.TaskClass) -> float:
        excess = self._model.excess(neighbour, self._task_class)
        excess += self._model.excess(self._task_class, neighbour)
        self._mutual[neighbour] = excess
        return excess


class _QuietSites:
    """Keeps disturbing batch tasks together and away from the other sites.

    :ivar batch_slots: mean slots of a worker that batch tasks may take.
    """

    def __init__(self):
        self.batch_slots = 0.0
        self._sites = 0
        self._slots = 0
        self._open_slots = 0
        self._quiet_latency_slots = 0
        self._disturbing = 0
        self._open_sites = 0

    def add(self, site: _Site) -> None:
        ledger = site.ledger
        site.batch_slots = ledger.worker.slots - ledger.reserved_slots
        site.latency_slots = max(1, ledger.reserved_slots)
        self._sites += 1
        self._slots += site.batch_slots
        self._quiet_latency_slots += site.latency_slots
        self.batch_slots = self._slots / self._sites

    def remove(self, site: _Site) -> None:
        self.move(site, 0)
        self._sites -= 1
        self._slots -= site.batch_slots
        self._quiet_latency_slots -= site.latency_slots
        self.batch_slots = self._slots / max(1, self._sites)

    def resize(self, site: _Site) -> None:
        """Follows a change of the worker's reserved slots."""
        ledger = site.ledger
        slots = ledger.worker.slots - ledger.reserved_slots
        if slots != site.batch_slots:
            disturbing = site.disturbing
            self.remove(site)
            self.add(site)
            self.move(site, disturbing)

    def move(self, site: _Site, disturbing: int) -> None:
        """Replaces the number of disturbing tasks on a site."""
        before, site.disturbing = site.disturbing, disturbing
        self._disturbing += disturbing - before
        if bool(before) == bool(disturbing):
            return
        sign = 1 if disturbing else -1
        self._open_sites += sign
        self._open_slots += sign * site.batch_slots
        self._quiet_latency_slots -= sign * site.latency_slots

    def opens(self, site: _Site, latency_tasks: int) -> bool:
        """Tells whether a disturbing task may be placed on a site.

        A quiet site is opened only once those open before are mostly taken,
        and while the others have room for the latency-critical tasks. A few
        may always be open, so that no class waits for ever.
        """
        if site.disturbing:
            return True
        if self._disturbing < _FILLED * self._open_slots:
            return False
        if self._open_sites < max(1, int(self._sites * _ALWAYS_OPEN)):
            return True
        left = self._quiet_latency_slots - site.latency_slots
        return left >= latency_tasks * _LATENCY_HEADROOM


class _Spread:
    """Counts of running latency-critical tasks by rack and zone."""

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

    def move(
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
        """Share of the class's tasks in the worker's rack and zone, 0 to 1.

        Racks and zones count by their workers, so a small rack fills as
        evenly as a large one.
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


def _mix(ledger: world.WorkerLedger):
    """Returns the counts of latency-critical and of batch classes."""
    latency: dict[ids.TaskClass, int] = {}
    batch: dict[ids.TaskClass, int] = {}
    for task in ledger.tasks.values():
        latency_task = task.kind is world.TaskKind.LATENCY
        mix = latency if latency_task else batch
        mix[task.task_class] = mix.get(task.task_class, 0) + 1
    return latency, batch
