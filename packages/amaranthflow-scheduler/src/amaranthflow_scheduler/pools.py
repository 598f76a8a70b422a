"""The usable workers of each pool, indexed for one plan."""

import collections
import typing as t

from amaranthflow import ids

from . import execution
from . import placement
from . import sampling
from . import workers


class PoolIndexes(t.NamedTuple):
    """Usable workers of one pool, for services and for all other tasks."""

    for_tasks: placement.WorkerIndex
    for_services: placement.WorkerIndex

    def for_step_run(
        self, step_run: execution.StepRun
    ) -> placement.WorkerIndex:
        """Returns the workers that the tasks of a step may use."""
        is_service = step_run.step.service
        return self.for_services if is_service else self.for_tasks


def index(
    available: t.Iterable[workers.Worker],
    now_s: float,
    sampler: sampling.Sampler,
) -> collections.defaultdict[ids.ServiceId, PoolIndexes]:
    """Returns the usable workers of each pool.

    :param available: workers that may get new runs, apart from backoff.
    :param sampler: selects the workers that a step of a large pool looks at.
    """
    for_tasks = collections.defaultdict(list)
    for_services = collections.defaultdict(list)
    for worker in available:
        pool = worker.entry.service
        if now_s >= worker.backoff_until_s:
            for_tasks[pool].append(worker)
        elif worker.in_backoff(now_s, for_service=True):
            continue
        for_services[pool].append(worker)
    found = collections.defaultdict(
        lambda: PoolIndexes(
            placement.WorkerIndex([]), placement.WorkerIndex([])
        )
    )
    for pool, usable in for_services.items():
        found[pool] = PoolIndexes(
            placement.WorkerIndex(for_tasks[pool], sampler),
            placement.WorkerIndex(usable, sampler),
        )
    return found
