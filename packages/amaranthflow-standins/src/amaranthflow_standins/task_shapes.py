"""Random shapes of jobs for explorations and soaks."""

import random
import typing as t

from amaranthflow_scheduler import model

_CPU = (500, 1000, 2000)
_SERVICES = 0.15
_BACKUPS = 0.2


def random_steps(
    rng: random.Random, *, most_tasks: int, estimates_ms: t.Sequence[int]
) -> list[model.Step]:
    """Returns up to three steps, one after the other, or one service."""

    def step(**fields: t.Any) -> model.Step:
        return model.Step(
            count=rng.randint(1, most_tasks),
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
