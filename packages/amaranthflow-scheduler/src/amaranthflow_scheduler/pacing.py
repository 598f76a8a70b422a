"""Pace of opportunistic runs beside services.

Answers services whose tail rises when neighbours work: the neighbours are
slowed before the target is passed and sped up again step by step.
"""

import typing as t

from . import execution
from . import workers

# Shares of the tail's target. Above HIGH neighbours halve, above FULL they
# pause, below LOW they may speed up.
_FULL = 0.85
_HIGH = 0.65
_LOW = 0.45
_PACES = (0, 15, 30, 60, 100)


class PaceChange(t.NamedTuple):
    """A run and the percentage at which it is to work."""

    copy: execution.Copy
    percent: int


def plan(worker: workers.Worker) -> list[PaceChange]:
    """Returns the changes that a worker's last report calls for."""
    fillers = [
        copy
        for copy in worker.opportunistic()
        if copy.state is execution.CopyState.RUNNING
    ]
    if not fillers:
        return []
    services = worker.services()
    pressure = max(
        (
            copy.gauge / copy.task.step_run.step.tail_target_ms
            for copy in services
        ),
        default=0.0,
    )
    if not services:
        return [PaceChange(copy, 100) for copy in fillers if copy.pace != 100]
    return [
        PaceChange(copy, pace)
        for copy in fillers
        if (pace := _next_pace(copy.pace, pressure)) != copy.pace
    ]


def _next_pace(pace: int, pressure: float) -> int:
    place = sum(step <= pace for step in _PACES) - 1
    if pressure >= _FULL:
        return 0
    if pressure >= _HIGH:
        return _PACES[max(0, place - 1)]
    if pressure < _LOW:
        return _PACES[min(len(_PACES) - 1, max(0, place) + 1)]
    return max(0, pace)
