"""Model of tasks that share a machine, for replay only.

No scheduler reads this model. It differs on purpose from the one that
schedulers learn: the interference grows with CPU utilization, and tasks slow
each other down if their total CPU demand exceeds the machine's cores.
"""

import dataclasses
import typing as t

from amaranthflow import ids
from amaranthflow import world

_IDLE_INTERFERENCE = 0.6
_UTILIZATION_INTERFERENCE = 0.8
_MEMORY_RAMP_MS = 15_000
_INITIAL_MEMORY_SHARE = 0.4
_ROUNDING_MS = 1e-6


class PairTable:
    """Actual interference of each ordered pair of classes.

    :ivar version: incremented with each change of the table.
    """

    def __init__(self):
        self.version = 0
        self._excesses: dict[tuple[ids.TaskClass, ids.TaskClass], float] = {}

    def set(
        self, victim: ids.TaskClass, neighbour: ids.TaskClass, excess: float
    ) -> None:
        """Sets how much one neighbour adds to the slowdown of the victim."""
        self._excesses[victim, neighbour] = excess
        self.version += 1

    def excess(self, victim: ids.TaskClass, neighbour: ids.TaskClass) -> float:
        """Returns the added slowdown, 0 if it was not set."""
        return self._excesses.get((victim, neighbour), 0.0)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class RunningTask:
    """A task on a machine.

    :ivar remaining_ms: remaining run time at full speed.
    :ivar share: share of its cores that the task may use.
    :ivar rate: progress in ms of run time per ms.
    """

    task: world.Task
    cores: float
    peak_memory_mb: int
    remaining_ms: float
    started_at_ms: float
    share: float = 1.0
    rate: float = 1.0
    slowdown: float = 1.0

    def memory_mb(self, now_ms: float) -> int:
        """Returns the memory in use; a batch task starts below its peak."""
        if self.task.kind is world.TaskKind.LATENCY:
            return self.peak_memory_mb
        if now_ms - self.started_at_ms >= _MEMORY_RAMP_MS:
            return self.peak_memory_mb
        return int(self.peak_memory_mb * _INITIAL_MEMORY_SHARE)


class Machine:
    """Runs tasks at rates that depend on their neighbours.

    :ivar version: incremented with each change of the rates.
    """

    def __init__(self, *, capacity: world.Size, pairs: PairTable):
        self.running: dict[ids.TaskId, RunningTask] = {}
        self.version = 0
        self._capacity = capacity
        self._pairs = pairs
        self._advanced_to_ms = 0.0

    def add(self, running: RunningTask, now_ms: float) -> None:
        """Starts a task."""
        self.advance_to(now_ms)
        self.running[running.task.task_id] = running
        self.update_rates()

    def remove(self, task_id: ids.TaskId, now_ms: float) -> RunningTask:
        """Ends a task."""
        self.advance_to(now_ms)
        running = self.running.pop(task_id)
        self.update_rates()
        return running

    def throttle(
        self, task_id: ids.TaskId, share: float, now_ms: float
    ) -> None:
        """Limits a task to a share of its cores."""
        self.advance_to(now_ms)
        self.running[task_id].share = share
        self.update_rates()

    def advance_to(self, now_ms: float) -> None:
        """Accounts for the progress at the present rates until ``now_ms``."""
        elapsed_ms = now_ms - self._advanced_to_ms
        self._advanced_to_ms = now_ms
        for running in self.running.values():
            running.remaining_ms -= elapsed_ms * running.rate

    def update_rates(self) -> None:
        """Recalculates all rates; must be called after each change."""
        self.version += 1
        weights: dict[ids.TaskClass, float] = {}
        demand = 0.0
        for running in self.running.values():
            name = running.task.task_class
            weights[name] = weights.get(name, 0.0) + running.share
            demand += running.cores * running.share
        utilization = min(1.0, demand / self._capacity.cores)
        contention = max(1.0, demand / self._capacity.cores)
        interference = (
            _IDLE_INTERFERENCE + _UTILIZATION_INTERFERENCE * utilization
        )
        totals = self._totals(weights)
        for running in self.running.values():
            name = running.task.task_class
            self_interference = running.share * self._pairs.excess(name, name)
            running.slowdown = (
                1.0 + interference * (totals[name] - self_interference)
            ) * contention
            running.rate = running.share / running.slowdown

    def next_end_ms(self) -> float | None:
        """Returns when the first task completes, None if none runs."""
        times_ms = [
            running.remaining_ms / running.rate
            for running in self.running.values()
        ]
        return (
            self._advanced_to_ms + max(0.0, min(times_ms))
            if times_ms
            else None
        )

    def completed_tasks(self) -> list[RunningTask]:
        """Returns the tasks that have made all of their progress."""
        return [
            running
            for running in self.running.values()
            if running.remaining_ms
            <= _ROUNDING_MS * max(1.0, self._advanced_to_ms)
        ]

    def out_of_memory(self, now_ms: float) -> RunningTask | None:
        """Returns the batch task to kill, None if memory suffices.

        It is the one that exceeds its reservation most.
        """
        used = sum(
            running.memory_mb(now_ms) for running in self.running.values()
        )
        if used <= self._capacity.memory_mb:
            return None
        batch = [
            running
            for running in self.running.values()
            if running.task.kind is world.TaskKind.BATCH
        ]
        return max(
            batch,
            key=lambda running: (
                running.memory_mb(now_ms) - running.task.size.memory_mb
            ),
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
