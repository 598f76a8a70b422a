"""Choice of the worker for a run.

Services hold most processors and use half of them. Opportunistic runs are
spread by what is left unused, since a few on each worker hardly slow the
services there. Each image of opportunistic work disturbs some images of
services and not others; services of one image share workers, so that most
workers bear most opportunistic work. All other runs fill the rooms that
services leave, the smallest first, so that large tasks find one; where there
are no services they are spread.
"""

import bisect
import collections
import heapq
import typing as t

from amaranthflow import ids

from . import execution
from . import model
from . import tail_latency
from . import workers

# An opportunistic run starts where this share of its demand is unused.
_LEAST_LEFT = 0.7
# No run starts where it is expected to raise a tail beyond this share of its
# target. Far enough below the share at which runs are slowed that the swing of
# the service's own load does not slow it soon.
_MOST_TAIL = 0.6
# Cost of a worker that has services of other images only.
_MIXED = 1.0
# Cost of a rack without the step's data, or with none of its other tasks.
_FAR = 3.0
# Cost of a worker on which this task has failed, or that fails often.
_FAILED_HERE = 10.0
_UNPROVEN = 0.6
_SLOW = 2.0


class WorkerIndex:
    """The usable workers of a pool, ordered by what is free on them.

    Answers steps that wait on a full fleet: those without any chance cost a
    look-up and not a look at each worker. WorkerIndex may shrink afterwards.
    """

    def __init__(self, found: list[workers.Worker]):
        self.workers = found
        self._by_unused: _SortedWorkers | None = None
        self._by_cpu: _SortedWorkers | None = None

    def for_step(self, step: model.Step) -> list[workers.Worker]:
        """Returns the workers with enough processors for a run."""
        if step.opportunistic:
            if self._by_unused is None:
                self._by_unused = _SortedWorkers(
                    self.workers, workers.Worker.unused_cpu
                )
            return self._by_unused.at_least(_LEAST_LEFT * step.resources.cpu)
        if self._by_cpu is None:
            self._by_cpu = _SortedWorkers(self.workers, _free_cpu)
        return self._by_cpu.at_least(step.resources.cpu)


class _SortedWorkers:
    """Workers in falling order of an amount."""

    def __init__(
        self,
        found: t.Iterable[workers.Worker],
        amount: t.Callable[[workers.Worker], float],
    ):
        rows = sorted(
            (-amount(worker), number, worker)
            for number, worker in enumerate(found)
        )
        self._amounts = [row[0] for row in rows]
        self._workers = [row[2] for row in rows]

    def at_least(self, least: float) -> list[workers.Worker]:
        """Returns the workers that have this much."""
        return self._workers[: bisect.bisect_right(self._amounts, -least)]


def _free_cpu(worker: workers.Worker) -> float:
    return worker.free().cpu


class FailedSearches:
    """What found no worker in one plan, so that no more is tried in vain.

    A step that needs as much or more of everything finds none either.
    """

    def __init__(self):
        self._failed: dict[tuple, list[model.Resources]] = {}

    def add(self, pool: ids.ServiceId, step: model.Step) -> None:
        """Notes that a step found no worker."""
        if step.max_per_worker or step.gang:
            # Others may use the workers that it may not.
            return
        self._failed.setdefault(_search_key(pool, step), []).append(
            step.resources
        )

    def rules_out(self, pool: ids.ServiceId, step: model.Step) -> bool:
        """Tells whether a step can find no worker."""
        return any(
            failed.fits(step.resources)
            for failed in self._failed.get(_search_key(pool, step), ())
        )


def _search_key(pool: ids.ServiceId, step: model.Step) -> tuple:
    # Services may use more workers than other steps. What an opportunistic
    # run does to its neighbours depends on its image.
    image = step.image if step.opportunistic else ''
    return pool, step.service, step.opportunistic, step.label, image


def label_permits(worker: workers.Worker, step: model.Step) -> bool:
    """Tells whether a worker has the label that a step requires."""
    return not step.label or step.label in worker.entry.labels


def runs_by_worker(
    step_run: execution.StepRun,
) -> collections.Counter[ids.WorkerId]:
    """Returns how many runs of a step are on each worker."""
    return collections.Counter(
        attempt.worker for attempt in step_run.attempts()
    )


def count_permits(
    worker: workers.Worker,
    step: model.Step,
    runs: collections.Counter[ids.WorkerId],
) -> bool:
    """Tells whether a worker may take one more run of a step."""
    return not step.max_per_worker or runs[worker.id] < step.max_per_worker


def may_run(worker: workers.Worker, step: model.Step) -> bool:
    """Tells whether the step's label and amounts permit a worker at all."""
    if not label_permits(worker, step):
        return False
    need, room = step.resources, worker.free()
    if step.opportunistic:
        return need.mem_mb <= room.mem_mb and need.gpu <= room.gpu
    return need.fits(room)


def choose(
    task: execution.TaskRun,
    candidates: t.Iterable[workers.Worker],
    tail_model: tail_latency.TailModel,
) -> workers.Worker | None:
    """Returns the best worker with room for a run of a task, or None."""
    step_run = task.step_run
    step = step_run.step
    runs = runs_by_worker(step_run)
    racks = _racks(step_run, candidates) if step.same_rack else set()
    best = None
    best_cost = 0.0
    for worker in candidates:
        if not may_run(worker, step):
            continue
        if not count_permits(worker, step, runs):
            continue
        if any(attempt.worker == worker.id for attempt in task.attempts):
            continue
        cost = _cost(task, step, worker, racks, tail_model)
        if cost is not None and (best is None or cost < best_cost):
            best, best_cost = worker, cost
    return best


class Ranking:
    """Workers for the tasks of one step, ranked once for all of them.

    A run that is placed changes the cost of its own worker only, except where
    tasks want to share a rack.
    """

    def __init__(
        self,
        step_run: execution.StepRun,
        candidates: t.Sequence[workers.Worker],
        tail_model: tail_latency.TailModel,
    ):
        self._step_run = step_run
        self._candidates = candidates
        self._tail_model = tail_model
        self._heap: list[tuple[float, int]] | None = None
        self._task = step_run.tasks[0]
        self._runs: collections.Counter[ids.WorkerId] = collections.Counter()

    def best(self, task: execution.TaskRun) -> workers.Worker | None:
        """Returns the best worker for a waiting task, or None."""
        if task.failed_runs or self._step_run.step.same_rack:
            self._heap = None
            return choose(task, self._candidates, self._tail_model)
        if self._heap is None:
            self._task = task
            self._runs = runs_by_worker(self._step_run)
            self._heap = self._rank()
        if not self._heap:
            return None
        return self._candidates[self._heap[0][1]]

    def _rank(self) -> list[tuple[float, int]]:
        costs = (
            (self._cost(worker), number)
            for number, worker in enumerate(self._candidates)
        )
        heap = [entry for entry in costs if entry[0] is not None]
        heapq.heapify(heap)
        return heap

    def _cost(self, worker: workers.Worker) -> float | None:
        step = self._step_run.step
        if not may_run(worker, step):
            return None
        if not count_permits(worker, step, self._runs):
            return None
        return _cost(self._task, step, worker, set(), self._tail_model)

    def placed(self, worker: workers.Worker) -> None:
        """Notes that a run was placed on the worker returned last."""
        if not self._heap:
            return
        number = self._heap[0][1]
        self._runs[worker.id] += 1
        cost = self._cost(worker)
        if cost is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, (cost, number))


def _racks(
    step_run: execution.StepRun, candidates: t.Iterable[workers.Worker]
) -> set[str]:
    racks = {worker.id: worker.entry.rack for worker in candidates}
    return {racks.get(attempt.worker, '') for attempt in step_run.attempts()}


def _cost(
    task: execution.TaskRun,
    step: model.Step,
    worker: workers.Worker,
    racks: set[str],
    tail_model: tail_latency.TailModel,
) -> float | None:
    cost = _contention_cost(step, worker, tail_model)
    if cost is None:
        return None
    if step.data_rack and worker.entry.rack != step.data_rack:
        cost += _FAR
    if racks and worker.entry.rack not in racks:
        cost += _FAR
    if worker.id in task.failed_on:
        cost += _FAILED_HERE
    if task.failed_runs and not worker.successes:
        cost += _UNPROVEN
    cost += _UNPROVEN * worker.failures_in_row
    cost += _SLOW * max(0.0, worker.slowness - 1.0)
    return cost


def _contention_cost(
    step: model.Step,
    worker: workers.Worker,
    tail_model: tail_latency.TailModel,
) -> float | None:
    """Returns the cost of the neighbours, None where they leave too little."""
    capacity = max(1, worker.entry.capacity.cpu)
    if step.opportunistic:
        unused = worker.unused_cpu()
        if unused < _LEAST_LEFT * step.resources.cpu:
            return None
        tail = tail_model.expected(worker, step)
        if tail > _MOST_TAIL:
            return None
        return tail + 1.0 - unused / capacity
    share = worker.free().cpu / capacity
    if step.service:
        images = worker.service_images
        mixed = images and step.image not in images
        return share + (_MIXED if mixed else 0.0)
    return share if worker.service_count else 2.0 - share
