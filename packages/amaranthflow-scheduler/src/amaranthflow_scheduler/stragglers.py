"""Runs that are too slow for where they are.

Answers workers that turn slow or hang, and tasks that stand still: a run is
compared with the other runs of its step, and with its estimate only where
there are none. Nothing is moved that would end sooner where it is.
"""

import enum
import statistics

from . import execution

# Between two reports a sound run moves on; three reports without do not
# happen to runs this short.
_HUNG_S = 1.6
_HUNG_ESTIMATE_S = 12.0
# A run is late where it needs this many times what its step usually takes.
_SLOW_RATIO = 1.8
_BACKUP_RATIO = 1.5
# Least time between a run's first report and a judgement of its speed.
_WATCH_S = 0.5
# Stop, new start and restored checkpoint of a move.
_MOVE_S = 0.8


class Verdict(enum.Enum):
    """What to do about a run."""

    FINE = 'fine'
    BACK_UP = 'back-up'
    MOVE = 'move'
    HUNG = 'hung'


def speed(attempt: execution.Attempt, now_s: float) -> float | None:
    """Returns percent a second since the first report, None if too early."""
    watched_s = attempt.progressed_s - attempt.running_since_s
    if watched_s < _WATCH_S or attempt.percent <= attempt.first_percent:
        return None
    return (attempt.percent - attempt.first_percent) / watched_s


def usual_speed(attempt: execution.Attempt, now_s: float) -> float | None:
    """Returns the median speed of the step's other runs on other workers."""
    speeds = [
        found
        for other in attempt.task.step_run.attempts()
        if other is not attempt
        and other.worker != attempt.worker
        and (found := speed(other, now_s)) is not None
    ]
    speeds.extend(attempt.task.step_run.speeds)
    return statistics.median(speeds) if speeds else None


def classify(attempt: execution.Attempt, now_s: float) -> Verdict:
    """Returns what to do about a running run of a task that ends."""
    step = attempt.task.step_run.step
    still_s = now_s - max(attempt.progressed_s, attempt.running_since_s)
    estimate_s = step.estimate_ms / 1000
    if (
        attempt.pace == 100
        and still_s > _HUNG_S
        and still_s > 0.25 * estimate_s
        and estimate_s < _HUNG_ESTIMATE_S
        and not step.opportunistic
    ):
        return Verdict.HUNG
    own = speed(attempt, now_s)
    usual = usual_speed(attempt, now_s)
    if own is None or usual is None or attempt.pace < 100:
        return Verdict.FINE
    left_s = (100 - attempt.percent) / own
    whole_s = 100 / usual
    if step.backups and own * _BACKUP_RATIO < usual and left_s > whole_s:
        return Verdict.BACK_UP
    if own * _SLOW_RATIO > usual:
        return Verdict.FINE
    elsewhere_s = whole_s + _MOVE_S
    if step.checkpoints:
        elsewhere_s = (100 - attempt.percent) / usual + _MOVE_S
    return Verdict.MOVE if left_s > elsewhere_s else Verdict.FINE
