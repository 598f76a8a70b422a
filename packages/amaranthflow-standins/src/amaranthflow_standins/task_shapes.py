"""Random shapes of jobs, and what their tasks do, for random play."""

import random
import typing as t

from amaranthflow import ids
from amaranthflow_scheduler import model

_CPU = (500, 1000, 2000)
_SERVICES = 0.15
_BACKUPS = 0.2
# Work of a task as a multiple of its estimate.
_LEAST_WORK, _MOST_WORK = 0.8, 1.3


def random_steps(
    rng: random.Random, *, max_tasks: int, estimates_ms: t.Sequence[int]
) -> list[model.Step]:
    """Returns up to three steps, one after the other, or one service."""

    def step(**fields: t.Any) -> model.Step:
        return model.Step(
            count=rng.randint(1, max_tasks),
            resources=model.Resources(rng.choice(_CPU), 100, 0),
            estimate_ms=rng.choice(estimates_ms),
            **fields,
        )

    if rng.random() < _SERVICES:
        return [step(service=True, max_per_worker=2)]
    steps = [step(backups=rng.random() < _BACKUPS)]
    for number in range(rng.randrange(3)):
        steps.append(step(after=(number,)))
    return steps


class RandomPlan:
    """Implements ``task_worker.Plan``.

    :param fail_share: share of runs that fail by their own fault.
    :ivar steps: steps of each job, set before it is handed in.
    :ivar poisoned: jobs whose runs all fail.
    """

    def __init__(self, *, rng: random.Random, fail_share: float):
        self._rng = rng
        self._fail_share = fail_share
        self.steps: dict[ids.JobId, list[model.Step]] = {}
        self.poisoned: set[ids.JobId] = set()

    def duration_s(self, task: model.TaskKey) -> float:
        """Returns seconds of work; infinite for a service."""
        step = self.steps[task.job][task.step]
        if step.service:
            return float('inf')
        work = self._rng.uniform(_LEAST_WORK, _MOST_WORK)
        return step.estimate_ms / 1000 * work

    def fails(self, task: model.TaskKey, run: int) -> bool:
        """Tells whether a run fails by its own fault."""
        if task.job in self.poisoned:
            return True
        return self._rng.random() < self._fail_share
