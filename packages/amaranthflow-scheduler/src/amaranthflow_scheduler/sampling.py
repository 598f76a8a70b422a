"""Which workers of a large pool a step looks at.

Answers pools of thousands of workers: a plan that looks at each worker for
each step takes seconds, in which no lease is renewed. A step of a large pool
looks at some hundred workers. They differ from step to step, so that a step
that has to be tried again looks at others.
"""

from . import model
from . import workers

# All workers of a smaller pool are looked at.
LARGE_POOL = 500
# The costs of this many workers take about 1 ms.
SAMPLE_SIZE = 200
# With fewer workers in a sample that have the label and the memory for a step,
# all workers are searched for them.
_MIN_SUITABLE_SHARE = 0.5


class Sampler:
    """Takes samples of workers, one after the other."""

    def __init__(self):
        self._next = 0

    def sample(
        self, found: list[workers.Worker], step: model.Step
    ) -> list[workers.Worker]:
        """Returns workers that a step may look at.

        :param found: workers with enough processors, in descending order of
            their free ones.
        """
        if len(found) <= LARGE_POOL:
            return found
        sample = self._select(found, step)
        suitable = sum(_suits(worker, step) for worker in sample)
        if suitable >= _MIN_SUITABLE_SHARE * len(sample):
            return sample
        found = [worker for worker in found if _suits(worker, step)]
        return found if len(found) <= LARGE_POOL else self._select(found, step)

    def _select(
        self, found: list[workers.Worker], step: model.Step
    ) -> list[workers.Worker]:
        if step.same_rack:
            return self._window(sorted(found, key=_rack), SAMPLE_SIZE)
        half = SAMPLE_SIZE // 2
        # Services and batch runs share workers that are partly in use, others
        # prefer those with the most room.
        if step.opportunistic:
            ends, rest = found[:half], found[half:]
        else:
            ends, rest = found[-half:], found[:-half]
        sample = ends + self._window(rest, half)
        if step.data_rack:
            known = set(sample)
            sample += [
                worker
                for worker in rest
                if worker.entry.rack == step.data_rack and worker not in known
            ]
        return sample

    def _window(
        self, found: list[workers.Worker], size: int
    ) -> list[workers.Worker]:
        """Returns some workers in a row, others with each call."""
        start = self._next % len(found)
        self._next += size
        return (found[start:] + found[:start])[:size]


def _suits(worker: workers.Worker, step: model.Step) -> bool:
    """Returns whether a worker has all but the processors for a step."""
    if step.label and step.label not in worker.entry.labels:
        return False
    need, free = step.resources, worker.free()
    return need.mem_mb <= free.mem_mb and need.gpu <= free.gpu


def _rack(worker: workers.Worker) -> tuple[str, str]:
    return worker.entry.zone, worker.entry.rack
