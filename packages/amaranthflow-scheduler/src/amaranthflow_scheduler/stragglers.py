"""Detection of stragglers: runs that are much slower than expected.

Workers become slow or hang, and tasks stop making progress. A run is
compared with the other runs of its step. It is moved only if it is expected
to end sooner on another worker.
"""

import enum
import statistics

from . import execution

# Runs with an estimate below this one make progress between any two reports
# unless they hang; three reports without progress do not occur otherwise.
_HUNG_AFTER_S = 1.6
_MAX_HUNG_ESTIMATE_S = 12.0
# A run is slow, or gets a backup, if it takes this many times as long as the
# other runs of its step.
_SLOW_RATIO = 1.8
_BACKUP_RATIO = 1.5
# The speed of a run is known this long after its first report.
_MIN_OBSERVATION_S = 0.5
# Duration of a move: stop, new start and restoring the checkpoint.
_MOVE_DURATION_S = 0.8


class Verdict(enum.Enum):
    """Result of the check of a run, and what to do about it."""

    FINE = 'fine'
    BACK_UP = 'back-up'
    MOVE = 'move'
    HUNG = 'hung'


def speed(attempt: execution.Attempt, now_s: float) -> float | None:
    """Returns a run's percent per second, None if it is not known yet."""
    observed_s = attempt.progressed_s - attempt.running_since_s
    if (
        observed_s < _MIN_OBSERVATION_S
        or attempt.percent <= attempt.first_percent
    ):
        return None
    return (attempt.percent - attempt.first_percent) / observed_s


def usual_speed(attempt: execution.Attempt, now_s: float) -> float | None:
    """Returns the median speed of the step's runs on other workers.

    Includes the runs of the step that have completed.
    """
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
    """Returns the verdict on a running attempt of a batch task."""
    step = attempt.task.step_run.step
    without_progress_s = now_s - max(
        attempt.progressed_s, attempt.running_since_s
    )
    estimate_s = step.estimate_ms / 1000
    if (
        attempt.pace == 100
        and without_progress_s > _HUNG_AFTER_S
        and without_progress_s > 0.25 * estimate_s
        and estimate_s < _MAX_HUNG_ESTIMATE_S
        and not step.opportunistic
    ):
        return Verdict.HUNG
    own = speed(attempt, now_s)
    usual = usual_speed(attempt, now_s)
    if own is None or usual is None or attempt.pace < 100:
        return Verdict.FINE
    remaining_s = (100 - attempt.percent) / own
    restart_s = 100 / usual
    if (
        step.backups
        and own * _BACKUP_RATIO < usual
        and remaining_s > restart_s
    ):
        return Verdict.BACK_UP
    if own * _SLOW_RATIO > usual:
        return Verdict.FINE
    elsewhere_s = restart_s + _MOVE_DURATION_S
    if step.checkpoints:
        elsewhere_s = (100 - attempt.percent) / usual + _MOVE_DURATION_S
    return Verdict.MOVE if remaining_s > elsewhere_s else Verdict.FINE
