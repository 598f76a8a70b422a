"""Choice of the worker for a run.

Services reserve most processors and use half of them. Opportunistic runs are
spread by unused processor time, since a few on each worker hardly slow the
services there. Each opportunistic image interferes with some service images
and not with others. Services of one image therefore share workers, so that
most workers tolerate most opportunistic images. Among these workers a service
leaves room for more of its size or next to none, since small pieces are of no
use to most tasks. Batch runs use the free
capacity beside services, on the workers with the least of it first, so that
large tasks find a worker; on workers without services they are spread.
"""

import bisect
import collections
import heapq
import typing as t

from amaranthflow import ids

from . import execution
from . import model
from . import sampling
from . import tail_latency
from . import worker_history
from . import workers

# An opportunistic run needs this share of its processor demand unused.
_MIN_UNUSED_SHARE = 0.7
# No run starts where it is expected to raise a tail ratio above this value.
# The distance from the ratio at which runs are slowed keeps changes of the
# service's own load from slowing the run soon.
_MAX_TAIL_RATIO = 0.7
# The platform permits a job to wait 3 s in a pool that is nearly free.
_STARVED_AFTER_S = 1.5
# Share of its processors that a pool uses at most while it is nearly free.
_NEARLY_FREE_SHARE = 0.5
# Cost of a worker that has services of other images only.
_OTHER_IMAGES_COST = 1.0
# Costs of a service's task; together they stay below that of other images.
_REMAINDER_COST = 0.3
_WASTE_COST = 0.5
# What a service's task leaves is wasted if it is between these shares of the
# task: too small for others of about its size, too large to be lost.
_MIN_WASTED_SHARE = 0.12
_MAX_WASTED_SHARE = 0.9
# Cost of a rack without the step's data, or without its other tasks.
_OTHER_RACK_COST = 3.0
# Cost of a worker on which this task has failed, or has not been answered.
_TASK_FAILED_COST = 10.0


class WorkerIndex:
    """The usable workers of a pool, sorted by free and by unused processors.

    While the fleet is full, a step that fits no worker costs one search
    instead of a check of each worker. The sorted amounts are computed once;
    the actual ones may decrease afterwards.

    :param sampler: selects the workers that a step of a large pool looks at.
    """

    def __init__(
        self,
        candidates: list[workers.Worker],
        sampler: sampling.Sampler | None = None,
    ):
        self.workers = candidates
        self._sampler = sampler or sampling.Sampler()
        self._by_unused: _SortedWorkers | None = None
        self._by_cpu: _SortedWorkers | None = None

    def for_step(self, step: model.Step) -> list[workers.Worker]:
        """Returns workers with enough processors for a run of a step.

        They are all of them unless the pool is large.
        """
        if step.opportunistic:
            if self._by_unused is None:
                self._by_unused = _SortedWorkers(
                    self.workers, workers.Worker.unused_cpu
                )
            found = self._by_unused.at_least(
                _MIN_UNUSED_SHARE * step.resources.cpu
            )
        else:
            if self._by_cpu is None:
                self._by_cpu = _SortedWorkers(self.workers, _free_cpu)
            found = self._by_cpu.at_least(step.resources.cpu)
        return self._sampler.sample(found, step)


class _SortedWorkers:
    """Workers in descending order of an amount."""

    def __init__(
        self,
        candidates: t.Iterable[workers.Worker],
        amount: t.Callable[[workers.Worker], float],
    ):
        rows = sorted(
            (-amount(worker), number, worker)
            for number, worker in enumerate(candidates)
        )
        self._amounts = [row[0] for row in rows]
        self._workers = [row[2] for row in rows]

    def at_least(self, minimum: float) -> list[workers.Worker]:
        """Returns the workers with at least this amount."""
        return self._workers[: bisect.bisect_right(self._amounts, -minimum)]


def _free_cpu(worker: workers.Worker) -> float:
    return worker.free().cpu


class FailedSearches:
    """Steps that found no worker in one plan.

    A similar step that needs at least as much of each resource finds no
    worker either and need not be tried.
    """

    def __init__(self):
        self._failed: dict[tuple, list[model.Resources]] = {}

    def add(self, pool: ids.ServiceId, step: model.Step) -> None:
        """Notes that a step found no worker."""
        if step.max_per_worker or step.gang:
            # Other steps may use the workers that this step may not.
            return
        self._failed.setdefault(_search_key(pool, step), []).append(
            step.resources
        )

    def rules_out(self, pool: ids.ServiceId, step: model.Step) -> bool:
        """Returns whether a step cannot find a worker."""
        return any(
            failed.fits(step.resources)
            for failed in self._failed.get(_search_key(pool, step), ())
        )


def _search_key(pool: ids.ServiceId, step: model.Step) -> tuple:
    """Returns what two steps must share to be comparable."""
    # Services may use more workers than other steps. The interference of an
    # opportunistic run depends on its image.
    image = step.image if step.opportunistic else ''
    return pool, step.service, step.opportunistic, step.label, image


def label_permits(worker: workers.Worker, step: model.Step) -> bool:
    """Returns whether a worker has the label that a step requires."""
    return not step.label or step.label in worker.entry.labels


def runs_by_worker(
    step_run: execution.StepRun,
) -> collections.Counter[ids.WorkerId]:
    """Returns the number of runs of a step on each worker."""
    return collections.Counter(
        attempt.worker for attempt in step_run.attempts()
    )


def count_permits(
    worker: workers.Worker,
    step: model.Step,
    runs: collections.Counter[ids.WorkerId],
) -> bool:
    """Returns whether the limit per worker permits one more run of a step."""
    return not step.max_per_worker or runs[worker.id] < step.max_per_worker


def may_run(worker: workers.Worker, step: model.Step) -> bool:
    """Returns whether a worker has the label and resources for a step."""
    if worker.probation is not None or not label_permits(worker, step):
        return False
    if not worker.limit_permits(step):
        return False
    need, free = step.resources, worker.free()
    if step.opportunistic:
        return need.mem_mb <= free.mem_mb and need.gpu <= free.gpu
    return need.fits(free)


def tasks_that_fit(worker: workers.Worker, step: model.Step) -> int:
    """Returns how many tasks of a step a worker has room for."""
    if not may_run(worker, step):
        return 0
    free = worker.free()
    amounts = [
        (step.resources.mem_mb, free.mem_mb),
        (step.resources.gpu, free.gpu),
    ]
    if not step.opportunistic:
        amounts.append((step.resources.cpu, free.cpu))
    fit = min(
        (int(room // need) for need, room in amounts if need),
        default=step.count,
    )
    return min(fit, step.max_per_worker or fit)


def choose(
    task: execution.TaskRun,
    candidates: t.Iterable[workers.Worker],
    tail_model: tail_latency.TailModel,
) -> workers.Worker | None:
    """Returns the best worker for a run of a task, or None."""
    step_run = task.step_run
    step = step_run.step
    runs: collections.Counter[ids.WorkerId] = collections.Counter()
    if step.max_per_worker:
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
        cost = _cost(step, worker, racks, tail_model)
        if cost is None:
            continue
        cost += _failure_cost(task, worker)
        if best is None or cost < best_cost:
            best, best_cost = worker, cost
    return best


def is_starved(step_run: execution.StepRun, now_s: float) -> bool:
    """Returns whether a job's opportunistic step waits for too long."""
    since_s = step_run.waiting_since_s
    return (
        step_run.step.opportunistic
        and (since_s is None or now_s - since_s >= _STARVED_AFTER_S)
        and not step_run.job_run.has_attempts
    )


def least_disturbed(
    task: execution.TaskRun,
    candidates: t.Iterable[workers.Worker],
    tail_model: tail_latency.TailModel,
) -> workers.Worker | None:
    """Returns the worker where an opportunistic run does the least harm.

    Unlike ``choose``, accepts any harm, but only in a pool of which services
    and batch runs use less than half. A run that interferes with all services
    would never start otherwise; its pace is reduced where it does harm.
    """
    step = task.step_run.step
    found = [worker for worker in candidates if may_run(worker, step)]
    capacity = sum(worker.entry.capacity.cpu for worker in found)
    used = sum(worker.used.cpu for worker in found)
    if used >= _NEARLY_FREE_SHARE * capacity:
        return None
    return min(
        found,
        key=lambda worker: tail_model.expected_ratio(worker, step),
        default=None,
    )


class Ranking:
    """Workers ranked once for all tasks of a step.

    Placing a run changes only the cost of its own worker, unless the tasks
    prefer to share a rack.
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
        self._costs: list[float | None] | None = None
        self._heap: list[tuple[float, int]] = []
        self._runs: collections.Counter[ids.WorkerId] = collections.Counter()
        self._best: int | None = None

    def best(self, task: execution.TaskRun) -> workers.Worker | None:
        """Returns the best worker for a waiting task, or None."""
        if self._step_run.step.same_rack:
            return choose(task, self._candidates, self._tail_model)
        if self._costs is None:
            self._runs = runs_by_worker(self._step_run)
            self._costs = [self._cost(worker) for worker in self._candidates]
            self._heap = [
                (cost, number)
                for number, cost in enumerate(self._costs)
                if cost is not None
            ]
            heapq.heapify(self._heap)
        if task.failed_runs or task.ignored_by:
            self._best = self._best_after_failure(task, self._costs)
        else:
            self._best = self._lowest(self._costs)
        return None if self._best is None else self._candidates[self._best]

    def _lowest(self, costs: list[float | None]) -> int | None:
        heap = self._heap
        while heap and heap[0][0] != costs[heap[0][1]]:
            heapq.heappop(heap)
        return heap[0][1] if heap else None

    def _best_after_failure(
        self, task: execution.TaskRun, costs: list[float | None]
    ) -> int | None:
        own = {attempt.worker for attempt in task.attempts}
        return min(
            (
                (cost + _failure_cost(task, worker), number)
                for number, (cost, worker) in enumerate(
                    zip(costs, self._candidates, strict=True)
                )
                if cost is not None and worker.id not in own
            ),
            default=(0.0, None),
        )[1]

    def _cost(self, worker: workers.Worker) -> float | None:
        step = self._step_run.step
        if not may_run(worker, step):
            return None
        if not count_permits(worker, step, self._runs):
            return None
        return _cost(step, worker, set(), self._tail_model)

    def placed(self, worker: workers.Worker) -> None:
        """Updates the ranking after a run was placed.

        :param worker: the worker that ``best`` returned last.
        """
        if self._costs is None or self._best is None:
            return
        self._runs[worker.id] += 1
        cost = self._costs[self._best] = self._cost(worker)
        if cost is not None:
            heapq.heappush(self._heap, (cost, self._best))


def _racks(
    step_run: execution.StepRun, candidates: t.Iterable[workers.Worker]
) -> set[str]:
    """Returns the racks on which a step has runs."""
    racks = {worker.id: worker.entry.rack for worker in candidates}
    return {racks.get(attempt.worker, '') for attempt in step_run.attempts()}


def _cost(
    step: model.Step,
    worker: workers.Worker,
    racks: set[str],
    tail_model: tail_latency.TailModel,
) -> float | None:
    """Returns the cost of a run of a step, None if it may not start."""
    cost = _contention_cost(step, worker, tail_model)
    if cost is None:
        return None
    if step.data_rack and worker.entry.rack != step.data_rack:
        cost += _OTHER_RACK_COST
    if racks and worker.entry.rack not in racks:
        cost += _OTHER_RACK_COST
    return cost + worker.history.cost


def _failure_cost(task: execution.TaskRun, worker: workers.Worker) -> float:
    """Returns the cost that follows from earlier failures of a task."""
    cost = 0.0
    if worker.id in task.failed_on or worker.id in task.ignored_by:
        cost += _TASK_FAILED_COST
    if task.failed_runs and not worker.history.successes:
        cost += worker_history.UNRELIABLE_COST
    return cost


def _remainder_cost(step: model.Step, worker: workers.Worker) -> float:
    """Returns the cost of what a service's task leaves of a worker's room.

    Services last, and so does what they leave. Next to nothing is best, then
    room for a further task of about this size; smaller pieces are of use to
    few tasks. Less room is better otherwise, so that whole workers stay free.
    """
    need = max(1, step.resources.cpu)
    left = max(0, worker.free().cpu - need) / need
    cost = _REMAINDER_COST * left / (1.0 + left)
    if _MIN_WASTED_SHARE < left < _MAX_WASTED_SHARE:
        cost += _WASTE_COST
    return cost


def _contention_cost(
    step: model.Step,
    worker: workers.Worker,
    tail_model: tail_latency.TailModel,
) -> float | None:
    """Returns the cost of other runs, None if they leave too little."""
    capacity = max(1, worker.entry.capacity.cpu)
    if step.opportunistic:
        unused = worker.unused_cpu()
        if unused < _MIN_UNUSED_SHARE * step.resources.cpu:
            return None
        tail_ratio = tail_model.expected_ratio(worker, step)
        if tail_ratio > _MAX_TAIL_RATIO:
            return None
        return tail_ratio + 1.0 - unused / capacity
    if step.service:
        images = worker.service_images
        other_images = images and step.image not in images
        cost = _remainder_cost(step, worker)
        return cost + (_OTHER_IMAGES_COST if other_images else 0.0)
    share = worker.free().cpu / capacity
    return share if worker.service_count else 2.0 - share
