"""Random job graphs and task behaviour for randomized tests."""

import random
import typing as t

from amaranthflow import ids
from amaranthflow_scheduler import model

_CPU_CHOICES = (500, 1000, 2000)
_SERVICE_SHARE = 0.15
_BACKUP_SHARE = 0.2
# Run time of a task as a multiple of its estimate.
_MIN_RUN_TIME_FACTOR, _MAX_RUN_TIME_FACTOR = 0.8, 1.3


def random_steps(
    rng: random.Random, *, max_tasks: int, estimates_ms: t.Sequence[int]
) -> list[model.Step]:
    """Returns a chain of up to three steps, or one service."""

    def step(**fields: t.Any) -> model.Step:
        return model.Step(
            count=rng.randint(1, max_tasks),
            resources=model.Resources(rng.choice(_CPU_CHOICES), 100, 0),
            estimate_ms=rng.choice(estimates_ms),
            **fields,
        )

    if rng.random() < _SERVICE_SHARE:
        return [step(service=True, max_per_worker=2)]
    steps = [step(backups=rng.random() < _BACKUP_SHARE)]
    for number in range(rng.randrange(3)):
        steps.append(step(after=(number,)))
    return steps


class RandomPlan:
    """Implements ``task_worker.Plan``.

    :param fail_share: share of runs that fail for a reason of their own.
    :ivar steps: steps of each job, set before it is submitted.
    :ivar poisoned: jobs whose runs all fail.
    :ivar deadly: tasks that crash their workers.
    """

    def __init__(self, *, rng: random.Random, fail_share: float):
        self._rng = rng
        self._fail_share = fail_share
        self.steps: dict[ids.JobId, list[model.Step]] = {}
        self.poisoned: set[ids.JobId] = set()
        self.deadly: set[model.TaskKey] = set()

    def duration_s(self, task: model.TaskKey) -> float:
        """Returns the run time in seconds; infinite for a service."""
        step = self.steps[task.job][task.step]
        if step.service:
            return float('inf')
        factor = self._rng.uniform(_MIN_RUN_TIME_FACTOR, _MAX_RUN_TIME_FACTOR)
        return step.estimate_ms / 1000 * factor

    def fails(self, task: model.TaskKey, run: int) -> bool:
        """Returns whether a run fails for a reason of its own."""
        if task.job in self.poisoned:
            return True
        return self._rng.random() < self._fail_share

    def crashes_worker(self, task: model.TaskKey) -> bool:
        """Returns whether each run of a task crashes its worker."""
        return task in self.deadly
