"""Pace of opportunistic runs beside services.

Answers services whose load swings within seconds: the runs that disturb the
worst-off service most are slowed before its tail passes the target, and sped
up again when the tail that is then expected leaves room.
"""

import math
import typing as t

from . import execution
from . import tails
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

    copy: execution.Copy
    percent: int


def pressure(worker: workers.Worker) -> float:
    """Returns the highest tail of a worker as a share of its target."""
    return max((copy.tail_share for copy in worker.services()), default=0.0)


def plan(
    worker: workers.Worker, model: tails.Tails, now_s: float
) -> list[PaceChange]:
    """Returns the changes that a worker's last report calls for."""
    if not worker.opportunistic_count:
        return []
    runs = list(tails.running_beside(worker))
    if not worker.service_count:
        return [PaceChange(copy, 100) for copy in runs if copy.pace != 100]
    if now_s - worker.paced_s < _EVERY_S:
        return []
    paces = {copy: max(0, copy.pace) for copy in runs}
    worst = pressure(worker)
    if worst >= _HIGH:
        _slow(worker, model, paces, worst)
    else:
        _hasten(worker, model, paces)
    changes = [
        PaceChange(copy, pace)
        for copy, pace in paces.items()
        if pace != copy.pace
    ]
    if changes:
        worker.paced_s = now_s
    return changes


def _slow(
    worker: workers.Worker,
    model: tails.Tails,
    paces: dict[execution.Copy, int],
    worst: float,
) -> None:
    capacity = worker.entry.capacity.cpu
    for image, tail in _by_image(worker).items():
        excess = tail - math.log(_AIM)
        if tail < math.log(_HIGH):
            continue
        causes = sorted(
            (
                (model.effect(image, _step(copy), capacity), copy)
                for copy in paces
            ),
            key=lambda cause: -cause[0],
        )
        for effect, copy in causes:
            if excess <= 0 or effect < _NO_CAUSE:
                break
            before = paces[copy]
            wanted = before - 100 * excess / effect
            paces[copy] = _below(wanted)
            excess -= effect * (before - paces[copy]) / 100
    if worst >= _OVER and all(paces[copy] == copy.pace for copy in paces):
        for copy in paces:
            paces[copy] = _below(paces[copy] / 2)


def _hasten(
    worker: workers.Worker,
    model: tails.Tails,
    paces: dict[execution.Copy, int],
) -> None:
    capacity = worker.entry.capacity.cpu
    expected = _by_image(worker)
    for copy in sorted(paces, key=lambda copy: -copy.percent):
        for pace in reversed(_PACES):
            if pace <= paces[copy]:
                break
            more = (pace - paces[copy]) / 100
            after = {
                image: tail + more * model.effect(image, _step(copy), capacity)
                for image, tail in expected.items()
            }
            if all(tail <= math.log(_AIM) for tail in after.values()):
                paces[copy] = pace
                expected = after
                break


def _by_image(worker: workers.Worker) -> dict:
    """Returns the logarithm of the highest tail of each image."""
    found: dict = {}
    for copy in worker.services():
        image = _step(copy).image
        if copy.gauge > 0:
            tail = math.log(copy.tail_share)
            found[image] = max(tail, found.get(image, tail))
    return found


def _step(copy: execution.Copy) -> t.Any:
    return copy.task.step_run.step


def _below(percent: float) -> int:
    return max((pace for pace in _PACES if pace <= percent), default=0)
