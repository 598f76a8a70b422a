"""Pace of opportunistic runs beside services.

Answers services whose load swings within seconds: the runs that disturb the
worst-off service most are slowed before its tail passes the target, and sped
up again when the tail that is then expected leaves room.
"""

import math
import typing as t

from . import execution
from . import tail_latency
from . import workers

# Tails as shares of their targets: over HIGH callers of the service will
# soon notice; paces are set so that AIM is expected.
_OVER = 1.0
_HIGH = 0.9
_AIM = 0.75
# Runs that add less than this to a tail, as a logarithm, are no cause of it.
_NO_CAUSE = 0.02
_PACES = (0, 15, 30, 45, 60, 80, 100)
# Tails are figures of the last half second; a change shows after that.
_EVERY_S = 0.45


class PaceChange(t.NamedTuple):
    """A run and the percentage at which it is to work."""

    attempt: execution.Attempt
    percent: int


def worst_tail_ratio(worker: workers.Worker) -> float:
    """Returns the highest tail of a worker as a share of its target."""
    return max(
        (attempt.tail_ratio for attempt in worker.service_attempts()),
        default=0.0,
    )


def plan(
    worker: workers.Worker, model: tail_latency.TailModel, now_s: float
) -> list[PaceChange]:
    """Returns the changes that a worker's last report calls for."""
    if not worker.opportunistic_count:
        return []
    runs = list(tail_latency.running_beside(worker))
    if not worker.service_count:
        return [
            PaceChange(attempt, 100) for attempt in runs if attempt.pace != 100
        ]
    if now_s - worker.last_pace_change_s < _EVERY_S:
        return []
    paces = {attempt: max(0, attempt.pace) for attempt in runs}
    worst = worst_tail_ratio(worker)
    if worst >= _HIGH:
        _slow_down(worker, model, paces, worst)
    else:
        _speed_up(worker, model, paces)
    changes = [
        PaceChange(attempt, pace)
        for attempt, pace in paces.items()
        if pace != attempt.pace
    ]
    if changes:
        worker.last_pace_change_s = now_s
    return changes


def _slow_down(
    worker: workers.Worker,
    model: tail_latency.TailModel,
    paces: dict[execution.Attempt, int],
    worst: float,
) -> None:
    capacity = worker.entry.capacity.cpu
    for image, tail in _by_image(worker).items():
        excess = tail - math.log(_AIM)
        if tail < math.log(_HIGH):
            continue
        causes = sorted(
            (
                (model.effect(image, _step(attempt), capacity), attempt)
                for attempt in paces
            ),
            key=lambda cause: -cause[0],
        )
        for effect, attempt in causes:
            if excess <= 0 or effect < _NO_CAUSE:
                break
            before = paces[attempt]
            wanted = before - 100 * excess / effect
            paces[attempt] = _below(wanted)
            excess -= effect * (before - paces[attempt]) / 100
    if worst >= _OVER and all(
        paces[attempt] == attempt.pace for attempt in paces
    ):
        for attempt in paces:
            paces[attempt] = _below(paces[attempt] / 2)


def _speed_up(
    worker: workers.Worker,
    model: tail_latency.TailModel,
    paces: dict[execution.Attempt, int],
) -> None:
    capacity = worker.entry.capacity.cpu
    expected = _by_image(worker)
    for attempt in sorted(paces, key=lambda attempt: -attempt.percent):
        for pace in reversed(_PACES):
            if pace <= paces[attempt]:
                break
            more = (pace - paces[attempt]) / 100
            after = {
                image: tail
                + more * model.effect(image, _step(attempt), capacity)
                for image, tail in expected.items()
            }
            if all(tail <= math.log(_AIM) for tail in after.values()):
                paces[attempt] = pace
                expected = after
                break


def _by_image(worker: workers.Worker) -> dict:
    """Returns the logarithm of the highest tail of each image."""
    found: dict = {}
    for attempt in worker.service_attempts():
        image = _step(attempt).image
        if attempt.gauge > 0:
            tail = math.log(attempt.tail_ratio)
            found[image] = max(tail, found.get(image, tail))
    return found


def _step(attempt: execution.Attempt) -> t.Any:
    return attempt.task.step_run.step


def _below(percent: float) -> int:
    return max((pace for pace in _PACES if pace <= percent), default=0)
