"""How much opportunistic work a worker bears beside its services.

Answers services whose load and tail latency swing within seconds: each
worker has an allowance of processor for opportunistic runs. It shrinks by a
factor as soon as a tail nears its target, grows by small steps while tails
are low, and sets how many runs may start and how fast they work.
"""

import typing as t

from . import execution
from . import workers

# Tails as shares of their targets: over OVER callers of the service already
# notice, over HIGH they soon will, below CALM and LOW there is room.
_OVER = 1.0
_HIGH = 0.8
_CALM = 0.62
_LOW = 0.45
_CUT_OVER = 0.4
_CUT_HIGH = 0.75
# Growth as shares of a worker's processor for each report.
_GROW_CALM = 0.02
_GROW_LOW = 0.05
_FIRST = 0.15
# Tails are figures of the last half second; reports that follow more quickly
# say nothing new.
_EVERY_S = 0.4
# Allowance that is not used does not grow beyond this multiple of the use.
_UNUSED = 1.5
_PACES = (0, 15, 30, 45, 60, 80, 100)


class PaceChange(t.NamedTuple):
    """A run and the percentage at which it is to work."""

    copy: execution.Copy
    percent: int


def pressure(worker: workers.Worker) -> float:
    """Returns the highest tail of a worker as a share of its target."""
    return max(
        (
            copy.gauge / copy.task.step_run.step.tail_target_ms
            for copy in worker.services()
        ),
        default=0.0,
    )


def adjust(worker: workers.Worker, now_s: float) -> None:
    """Sets a worker's allowance by its newest report."""
    capacity = worker.entry.capacity.cpu
    room = worker.room().cpu
    if not worker.service_count:
        worker.allowance = room
        return
    if worker.allowance is None:
        worker.allowance = room + _FIRST * capacity
    if now_s - worker.adjusted_s < _EVERY_S:
        return
    worker.adjusted_s = now_s
    load = _load(worker)
    tail = pressure(worker)
    allowance = worker.allowance
    if tail >= _OVER:
        allowance = _CUT_OVER * min(allowance, load)
    elif tail >= _HIGH:
        allowance = _CUT_HIGH * min(allowance, max(load, _FIRST * capacity))
    elif tail < _CALM and allowance < _UNUSED * load + _FIRST * capacity:
        step = _GROW_LOW if tail < _LOW else _GROW_CALM
        allowance += step * capacity
    most = room + worker.service_cpu
    worker.allowance = max(0.0, min(allowance, most))


def _load(worker: workers.Worker) -> float:
    return sum(
        copy.task.step_run.step.resources.cpu * max(0, copy.pace) / 100
        for copy in worker.opportunistic()
    )


def plan(worker: workers.Worker) -> list[PaceChange]:
    """Returns the changes that a worker's allowance calls for."""
    if not worker.opportunistic_count:
        return []
    runs = [
        copy
        for copy in worker.opportunistic()
        if copy.state is execution.CopyState.RUNNING
    ]
    wanted = sum(copy.task.step_run.step.resources.cpu for copy in runs)
    allowance = worker.allowance
    share = 1.0
    if worker.service_count and allowance is not None and wanted:
        share = allowance / wanted
    percent = max(pace for pace in _PACES if pace <= 100 * min(1.0, share))
    return [PaceChange(copy, percent) for copy in runs if copy.pace != percent]
