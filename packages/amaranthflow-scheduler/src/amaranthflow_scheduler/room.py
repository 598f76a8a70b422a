"""The room of a pool: which tasks of a size fit, and where.

Free processors in pieces smaller than a task are of no use to it. The room is
therefore kept by worker, in order of its size, so that a search for a worker
costs little on a large pool. The load answered here is a pool that services
nearly fill.
"""

import bisect
import typing as t

from . import execution
from . import logs
from . import model
from . import placement
from . import tail_latency
from . import workers


class Demand(t.NamedTuple):
    """Tasks of one step that need room at the same time."""

    step: model.Step
    tasks: int


class Placed(t.NamedTuple):
    """Tasks of one step that take room on a worker."""

    worker: workers.Worker
    tasks: int


class Room:
    """The processors, memory and GPUs that workers have for tasks.

    Taking room changes only this view, not the workers.
    """

    def __init__(
        self, rooms: t.Iterable[tuple[workers.Worker, model.Resources]]
    ):
        self._free = dict(rooms)
        self._order = sorted(
            (free.cpu, worker.id, worker)
            for worker, free in self._free.items()
        )

    @classmethod
    def beside_services(cls, candidates: t.Iterable[workers.Worker]) -> 'Room':
        """Returns the room that services leave; batch runs may end."""
        return cls(
            (worker, worker.free().plus(worker.batch_resources()))
            for worker in candidates
        )

    def copy(self) -> 'Room':
        """Returns a view that changes independently of this one."""
        other = Room(())
        other._free = self._free.copy()
        other._order = self._order.copy()
        return other

    def fits(self, need: model.Resources) -> int:
        """Returns how many tasks of a size fit at the same time."""
        start = bisect.bisect_left(self._order, (need.cpu,))
        return sum(
            _count(need, self._free[worker])
            for _, _, worker in self._order[start:]
        )

    def largest_cpu(self) -> int:
        """Returns the most processors that are free on one worker."""
        return self._order[-1][0] if self._order else 0

    def take(
        self, worker: workers.Worker, need: model.Resources, tasks: int = 1
    ) -> None:
        """Takes the room of tasks on a worker."""
        free = self._free[worker]
        at = bisect.bisect_left(self._order, (free.cpu, worker.id))
        del self._order[at]
        free = self._free[worker] = model.Resources(
            free.cpu - tasks * need.cpu,
            free.mem_mb - tasks * need.mem_mb,
            free.gpu - tasks * need.gpu,
        )
        bisect.insort(self._order, (free.cpu, worker.id, worker))

    def free(self, worker: workers.Worker) -> model.Resources:
        """Returns what a worker has for tasks."""
        return self._free[worker]

    def give(self, worker: workers.Worker, freed: model.Resources) -> None:
        """Adds the room of a task that ends on a worker."""
        self.take(worker, freed, -1)

    def fill(self, demand: Demand) -> list[Placed]:
        """Takes room for tasks of a step, on the fullest workers first.

        Returns the workers of the tasks for which there was room.
        """
        step, left = demand
        found: list[Placed] = []
        number = bisect.bisect_left(self._order, (step.resources.cpu,))
        while left and number < len(self._order):
            worker = self._order[number][2]
            number += 1
            if not placement.label_permits(worker, step):
                continue
            tasks = min(left, _count(step.resources, self._free[worker]))
            if step.max_per_worker:
                tasks = min(tasks, step.max_per_worker)
            if tasks:
                found.append(Placed(worker, tasks))
                left -= tasks
        for placed in found:
            self.take(placed.worker, step.resources, placed.tasks)
        return found


def total_tasks(placed: t.Iterable[Placed]) -> int:
    """Returns the number of tasks for which there was room."""
    return sum(tasks for _, tasks in placed)


def missing_cpu(room: Room, demands: t.Iterable[Demand]) -> int:
    """Returns the processors of the tasks that do not fit together.

    The largest tasks take room first. The room is left as it is.
    """
    left = room.copy()
    missing = 0
    for demand in sorted(
        demands, key=lambda demand: -demand.step.resources.cpu
    ):
        placed = total_tasks(left.fill(demand))
        missing += (demand.tasks - placed) * demand.step.resources.cpu
    return missing


def log_missing(
    task: execution.TaskRun,
    candidates: t.Iterable[workers.Worker],
    tail_model: tail_latency.TailModel,
) -> None:
    """Logs, once for each step, why a task has found no worker."""
    step_run = task.step_run
    if step_run.wait_logged:
        return
    step_run.wait_logged = True
    candidates = list(candidates)
    free_cpus = [worker.free().cpu for worker in candidates]
    step = step_run.step
    details = {}
    if step.opportunistic:
        details = {
            'unused_cpu': [round(w.unused_cpu()) for w in candidates],
            'tails': [
                round(tail_model.expected_ratio(w, step), 2)
                for w in candidates
            ],
        }
    logs.event(
        'step_waits',
        id=task.key.job,
        task=task.key.name_in_job,
        cpu=step.resources.cpu,
        opportunistic=step.opportunistic,
        workers=len(candidates),
        largest_room=max(free_cpus, default=0),
        free_cpu=sum(free_cpus),
        **details,
    )


def _count(need: model.Resources, free: model.Resources) -> int:
    """Returns how many times a need fits into what is free."""
    if not need.fits(free):
        return 0
    return min(
        (
            available // wanted
            for wanted, available in zip(need, free, strict=True)
            if wanted
        ),
        default=model.MAX_AMOUNT,
    )
