"""Choice of the worker for a run.

Services keep away from opportunistic runs and from one another, since each
slows the other's answers; opportunistic runs go where most is left unused.
"""

import typing as t

from . import execution
from . import model
from . import workers

# Cost of one neighbour that disturbs, as a share of a worker's processor.
_DISTURBED = 4.0
_SAME_KIND = 0.5
# An opportunistic run starts where this share of its demand is unused.
_LEAST_LEFT = 0.7
# Cost of a rack without the step's data, or with none of its other tasks.
_FAR = 3.0
# Cost of a worker on which this task has failed, or that fails often.
_FAILED_HERE = 10.0
_UNPROVEN = 0.6
_SLOW = 2.0


def may_run(worker: workers.Worker, step: model.Step) -> bool:
    """Tells whether the step's label and amounts permit a worker at all."""
    if step.label and step.label not in worker.entry.labels:
        return False
    need = step.resources
    if step.opportunistic:
        need = need._replace(cpu=0)
    return need.fits(worker.room())


def choose(
    task: execution.TaskRun, candidates: t.Iterable[workers.Worker]
) -> workers.Worker | None:
    """Returns the best worker with room for a run of a task, or None."""
    step_run = task.step_run
    step = step_run.step
    taken: dict[str, int] = {}
    racks: set[str] = set()
    for copy in step_run.copies():
        taken[copy.worker] = taken.get(copy.worker, 0) + 1
    if step.same_rack:
        racks = _racks(step_run, candidates)
    best = None
    best_cost = 0.0
    for worker in candidates:
        if not may_run(worker, step):
            continue
        here = taken.get(worker.id, 0)
        if step.max_per_worker and here >= step.max_per_worker:
            continue
        if any(copy.worker == worker.id for copy in task.copies):
            continue
        cost = _cost(task, step, worker, racks)
        if cost is not None and (best is None or cost < best_cost):
            best, best_cost = worker, cost
    return best


def _racks(
    step_run: execution.StepRun, candidates: t.Iterable[workers.Worker]
) -> set[str]:
    racks = {worker.id: worker.entry.rack for worker in candidates}
    return {racks.get(copy.worker, '') for copy in step_run.copies()}


def _cost(
    task: execution.TaskRun,
    step: model.Step,
    worker: workers.Worker,
    racks: set[str],
) -> float | None:
    cpu = max(1, worker.entry.capacity.cpu)
    unused = worker.room().cpu - worker.opportunistic_cpu()
    if step.opportunistic and unused < _LEAST_LEFT * step.resources.cpu:
        return None
    cost = 1.0 - unused / cpu
    if step.opportunistic:
        cost += _DISTURBED * len(worker.services())
    elif step.tail_target_ms:
        cost += _DISTURBED * len(worker.opportunistic())
        cost += _SAME_KIND * len(worker.services())
    if step.data_rack and worker.entry.rack != step.data_rack:
        cost += _FAR
    if racks and worker.entry.rack not in racks:
        cost += _FAR
    if worker.id in task.failed_on:
        cost += _FAILED_HERE
    if task.failed_runs and not worker.successes:
        cost += _UNPROVEN
    cost += _UNPROVEN * worker.failures_in_row
    cost += _SLOW * max(0.0, worker.pace_factor - 1.0)
    return cost
