"""Outcomes of tasks that share a worker, for replay only.

No scheduler reads this model. It differs on purpose from the one that
schedulers learn: excesses grow with the use of the processors, and tasks
that want more cores than there are slow each other.
"""

import dataclasses
import typing as t

from amaranthflow import ids
from amaranthflow import world

_IDLE_FACTOR = 0.6
_BUSY_FACTOR = 0.8
_RAMP_MS = 15_000
_START_MEMORY = 0.4
_DONE_MS = 1e-6


class PairTable:
    """The truth of each ordered pair of classes.

    :ivar version: changes with each change of the table.
    """

    def __init__(self):
        self.version = 0
        self._excesses: dict[tuple[ids.TaskClass, ids.TaskClass], float] = {}

    def set(
        self, victim: ids.TaskClass, neighbour: ids.TaskClass, excess: float
    ) -> None:
        """Sets how much one neighbour adds to the victim's slowdown."""
        self._excesses[victim, neighbour] = excess
        self.version += 1

    def excess(self, victim: ids.TaskClass, neighbour: ids.TaskClass) -> float:
        """Returns the excess, 0 where it was not set."""
        return self._excesses.get((victim, neighbour), 0.0)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class RunningTask:
    """A task on a machine.

    :ivar left_ms: run time left, without neighbours or throttle.
    :ivar rate: run time done in each ms.
    """

    task: world.Task
    cores: float
    peak_memory_mb: int
    left_ms: float
    started_at_ms: float
    share: float = 1.0
    rate: float = 1.0
    slowdown: float = 1.0

    def memory_mb(self, now_ms: float) -> int:
        """Memory in use: a batch task comes to its peak after a while."""
        if self.task.kind is world.TaskKind.LATENCY:
            return self.peak_memory_mb
        if now_ms - self.started_at_ms >= _RAMP_MS:
            return self.peak_memory_mb
        return int(self.peak_memory_mb * _START_MEMORY)


class Machine:
    """Runs tasks at rates that follow from their neighbours."""

    def __init__(self, *, capacity: world.Size, pairs: PairTable):
        self.running: dict[ids.TaskId, RunningTask] = {}
        self.version = 0
        self._capacity = capacity
        self._pairs = pairs
        self._settled_at_ms = 0.0

    def add(self, running: RunningTask, now_ms: float) -> None:
        """Starts a task."""
        self.settle(now_ms)
        self.running[running.task.task_id] = running
        self.rerate()

    def remove(self, task_id: ids.TaskId, now_ms: float) -> RunningTask:
        """Ends a task."""
        self.settle(now_ms)
        running = self.running.pop(task_id)
        self.rerate()
        return running

    def throttle(
        self, task_id: ids.TaskId, share: float, now_ms: float
    ) -> None:
        """Limits a task to a share of its cores."""
        self.settle(now_ms)
        self.running[task_id].share = share
        self.rerate()

    def settle(self, now_ms: float) -> None:
        """Counts the work done at the present rates up to now."""
        elapsed_ms = now_ms - self._settled_at_ms
        self._settled_at_ms = now_ms
        for running in self.running.values():
            running.left_ms -= elapsed_ms * running.rate

    def rerate(self) -> None:
        """Works out the rates anew after a change."""
        self.version += 1
        weights: dict[ids.TaskClass, float] = {}
        demand = 0.0
        for running in self.running.values():
            name = running.task.task_class
            weights[name] = weights.get(name, 0.0) + running.share
            demand += running.cores * running.share
        use = min(1.0, demand / self._capacity.cores)
        squeeze = max(1.0, demand / self._capacity.cores)
        load = _IDLE_FACTOR + _BUSY_FACTOR * use
        totals = self._totals(weights)
        for running in self.running.values():
            name = running.task.task_class
            own = running.share * self._pairs.excess(name, name)
            running.slowdown = (1.0 + load * (totals[name] - own)) * squeeze
            running.rate = running.share / running.slowdown

    def next_end_ms(self) -> float | None:
        """When the first task completes, None while none runs."""
        left = [one.left_ms / one.rate for one in self.running.values()]
        return self._settled_at_ms + max(0.0, min(left)) if left else None

    def done(self) -> list[RunningTask]:
        """Returns the tasks whose work is done."""
        return [
            one
            for one in self.running.values()
            if one.left_ms <= _DONE_MS * max(1.0, self._settled_at_ms)
        ]

    def out_of_memory(self, now_ms: float) -> RunningTask | None:
        """Returns the batch task to kill, None while memory suffices.

        The one that passes its reservation most is killed.
        """
        used = sum(one.memory_mb(now_ms) for one in self.running.values())
        if used <= self._capacity.memory_mb:
            return None
        batch = [
            one
            for one in self.running.values()
            if one.task.kind is world.TaskKind.BATCH
        ]
        return max(
            batch,
            key=lambda one: one.memory_mb(now_ms) - one.task.size.memory_mb,
            default=None,
        )

    def _totals(
        self, weights: t.Mapping[ids.TaskClass, float]
    ) -> dict[ids.TaskClass, float]:
        excess = self._pairs.excess
        return {
            victim: sum(
                weight * excess(victim, neighbour)
                for neighbour, weight in weights.items()
            )
            for victim in weights
        }
