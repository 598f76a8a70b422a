"""Cost of a batch run on a worker.

Answers the load of services, batch and opportunistic runs that together want
more processors than there are. Services use half of what they reserve, and
opportunistic runs take the rest; a batch run that fits beside the reserved
processors may thus take those that opportunistic runs use. All runs of the
worker are then short of processors, and the tail latencies of its services
rise until the opportunistic runs are slowed.
"""

import typing as t

from . import model
from . import workers

# A processor that runs lack weighs as much as two that are left free.
_LACKING_WEIGHT = 2.0
# A worker counts as short of processors if its runs lack this share of them.
_SHORT_SHARE = 0.125


def cost(step: model.Step, worker: workers.Worker) -> float:
    """Returns the cost of a batch run.

    The least free capacity beside services is best, so that large tasks find
    a worker, unless the run takes processors from opportunistic runs there.
    Workers without services are kept for last, and runs spread over them.
    """
    capacity = max(1, worker.entry.capacity.cpu)
    share = worker.free().cpu / capacity
    if not worker.service_count:
        return 2.0 - share
    lacking = _lacking_cpu(worker, step.resources.cpu)
    return share + _LACKING_WEIGHT * lacking / capacity


def count_short(candidates: t.Iterable[workers.Worker]) -> int:
    """Returns the number of workers whose services are short of processors."""
    return sum(
        worker.service_count > 0
        and _lacking_cpu(worker) > _SHORT_SHARE * worker.entry.capacity.cpu
        for worker in candidates
    )


def _lacking_cpu(worker: workers.Worker, further: float = 0.0) -> float:
    """Returns the processors that runs lack if they want further ones."""
    return max(0.0, further - worker.unused_cpu())
