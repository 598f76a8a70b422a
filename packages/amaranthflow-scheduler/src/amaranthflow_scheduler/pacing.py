"""Throttling of opportunistic runs beside services.

The load of services changes within seconds. The runs that interfere most with
a service are slowed before its tail latency exceeds the target, and sped up
again once the tail latency expected afterwards is low enough.
"""

import typing as t

from amaranthflow import ids

from . import execution
from . import tail_latency
from . import workers

# Tail ratios: the target itself, the ratio from which runs are slowed, and the
# ratio that is expected after paces were changed.
_TARGET_RATIO = 1.0
_HIGH_RATIO = 0.9
_DESIRED_RATIO = 0.75
_HIGH_HEADROOM = 1.0 / _HIGH_RATIO
_DESIRED_HEADROOM = 1.0 / _DESIRED_RATIO
# Runs that take less headroom are not slowed.
_MIN_EFFECT = 0.02
# A run below this pace may end sooner on another worker.
LOW_PACE_PERCENT = 60
_PACES_PERCENT = (0, 15, 30, 45, 60, 80, 100)
# Tail latencies cover the last half second, after which a change is visible.
_MIN_CHANGE_INTERVAL_S = 0.45
# The processor use of a run shows its pace this long after a change.
_SETTLED_S = 1.0
# A run at full speed uses at least this share of its processors, and a run at
# any pace at most its part of them and this much more.
_FULL_SPEED_SHARE = 0.6
_MAX_EXCESS_SHARE = 0.15


class PaceChange(t.NamedTuple):
    """A run and its new pace as a percentage of full speed."""

    attempt: execution.Attempt
    percent: int


def worst_tail_ratio(worker: workers.Worker) -> float:
    """Returns the highest tail ratio of a worker's services, 0 if none."""
    return max(
        (attempt.tail_ratio for attempt in worker.service_attempts()),
        default=0.0,
    )


def plan(
    worker: workers.Worker,
    tail_model: tail_latency.TailModel,
    now_s: float,
) -> list[PaceChange]:
    """Returns the pace changes that follow from a worker's last report."""
    if not worker.opportunistic_count:
        return []
    runs = list(tail_latency.running_opportunistic(worker))
    _correct_paces(worker, runs, now_s)
    if not worker.service_count:
        return [
            PaceChange(attempt, 100) for attempt in runs if attempt.pace != 100
        ]
    if now_s - worker.last_pace_change_s < _MIN_CHANGE_INTERVAL_S:
        return []
    paces = {
        attempt: attempt.pace
        for attempt in runs
        if attempt.pace != execution.UNKNOWN_PACE
    }
    least = tail_latency.least_headroom(worker)
    if min(least.values(), default=_DESIRED_HEADROOM) <= _HIGH_HEADROOM:
        _slow_down(worker, tail_model, paces, least)
    else:
        _speed_up(worker, tail_model, paces, least)
    changes = _changes(paces)
    if changes:
        worker.last_pace_change_s = now_s
    return changes


def _correct_paces(
    worker: workers.Worker,
    runs: t.Iterable[execution.Attempt],
    now_s: float,
) -> None:
    """Corrects unknown and wrong paces by the processors in use.

    A command without a response may be executed seconds later, after newer
    ones, and a new leader does not know which paces were set.
    """
    settled = now_s - worker.last_pace_change_s >= _SETTLED_S
    for attempt in runs:
        if not attempt.reported:
            continue
        share = attempt.gauge / max(1, _step(attempt).resources.cpu)
        unknown = attempt.pace == execution.UNKNOWN_PACE
        too_fast = share > attempt.pace / 100 + _MAX_EXCESS_SHARE
        if unknown or (settled and too_fast):
            apply(PaceChange(attempt, _shown_pace(share)), now_s)


def _shown_pace(share: float) -> int:
    """Returns the pace that a share of the processors in use shows."""
    if share >= _FULL_SPEED_SHARE:
        return 100
    return min(pace for pace in _PACES_PERCENT if pace >= 100 * share)


def _changes(
    paces: t.Mapping[execution.Attempt, int],
) -> list[PaceChange]:
    return [
        PaceChange(attempt, pace)
        for attempt, pace in paces.items()
        if pace != attempt.pace
    ]


def apply(change: PaceChange, now_s: float) -> None:
    """Notes that a run gets a new pace."""
    attempt = change.attempt
    if attempt.pace >= LOW_PACE_PERCENT > change.percent:
        attempt.slowed_since_s = now_s
    attempt.pace = change.percent


def _slow_down(
    worker: workers.Worker,
    tail_model: tail_latency.TailModel,
    paces: dict[execution.Attempt, int],
    least: t.Mapping[ids.TaskClass, float],
) -> None:
    """Slows the runs that raise high tails most.

    If no such run can be slowed further while a tail exceeds its target, all
    runs are slowed to half their pace.
    """
    capacity = worker.entry.capacity.cpu
    for image, headroom in least.items():
        if headroom > _HIGH_HEADROOM:
            continue
        excess = _DESIRED_HEADROOM - headroom
        causes = sorted(
            (
                (tail_model.effect(image, _step(attempt), capacity), attempt)
                for attempt in paces
            ),
            key=lambda cause: -cause[0],
        )
        for effect, attempt in causes:
            if excess <= 0 or effect < _MIN_EFFECT:
                break
            before = paces[attempt]
            desired = before - 100 * excess / effect
            paces[attempt] = _round_down(desired)
            excess -= effect * (before - paces[attempt]) / 100
    if worst_tail_ratio(worker) >= _TARGET_RATIO and all(
        paces[attempt] == attempt.pace for attempt in paces
    ):
        for attempt in paces:
            paces[attempt] = _round_down(paces[attempt] / 2)


def _speed_up(
    worker: workers.Worker,
    tail_model: tail_latency.TailModel,
    paces: dict[execution.Attempt, int],
    least: t.Mapping[ids.TaskClass, float],
) -> None:
    """Speeds runs up as far as the expected tails permit.

    Runs that are nearly done go first.
    """
    capacity = worker.entry.capacity.cpu
    expected = least
    for attempt in sorted(paces, key=lambda attempt: -attempt.percent):
        for pace in reversed(_PACES_PERCENT):
            if pace <= paces[attempt]:
                break
            increase = (pace - paces[attempt]) / 100
            after = {
                image: headroom
                - increase * tail_model.effect(image, _step(attempt), capacity)
                for image, headroom in expected.items()
            }
            if all(
                headroom >= _DESIRED_HEADROOM for headroom in after.values()
            ):
                paces[attempt] = pace
                expected = after
                break


def _step(attempt: execution.Attempt) -> t.Any:
    return attempt.task.step_run.step


def _round_down(percent: float) -> int:
    return max((pace for pace in _PACES_PERCENT if pace <= percent), default=0)
