"""Stragglers, runs that are much slower than expected, and their remedies.

Workers become slow or hang, and tasks stop making progress. A run is
compared with the other runs of its step. It is moved only if it is expected
to end sooner on another worker.
"""

import enum
import statistics
import typing as t

from . import claims
from . import execution
from . import logs
from . import workers

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
_HUNG_BACKOFF_S = 4.0


class Verdict(enum.Enum):
    """Result of the check of a run, and what to do about it."""

    FINE = 'fine'
    BACK_UP = 'back-up'
    MOVE = 'move'
    HUNG = 'hung'


class Remedy(t.NamedTuple):
    """What to do about a run.

    :ivar backup: start another run of its task instead of stopping it.
    """

    attempt: execution.Attempt
    backup: bool
    why: str


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


def may_back_up(task: execution.TaskRun) -> bool:
    """Returns whether a second run may start by the deadline of the job."""
    step = task.step_run.step
    if not step.backups or step.gang or step.opportunistic:
        return False
    return claims.has_claim(task.step_run.job_run.job)


def remedies(
    fleet: t.Iterable[workers.Worker], now_s: float, silent_from_s: float
) -> t.Iterator[Remedy]:
    """Yields the remedies for runs on slow, hung and silent workers.

    Slow runs that may get a second run by the deadline of their job are left
    to ``second_tries``.

    :param silent_from_s: workers without a report since then are silent.
    """
    for worker in fleet:
        last_s = worker.last_report_s
        if last_s is None or last_s < silent_from_s:
            yield from _back_up_silent(worker)
            continue
        if not worker.batch_count:
            continue
        for attempt in worker.batch_attempts():
            running = attempt.state is execution.AttemptState.RUNNING
            if not running or attempt.task.step_run.step.gang:
                continue
            verdict = classify(attempt, now_s)
            if verdict is not Verdict.HUNG and may_back_up(attempt.task):
                continue
            if verdict is not Verdict.FINE:
                yield from _remedy(worker, attempt, verdict, now_s)


def _back_up_silent(worker: workers.Worker) -> t.Iterator[Remedy]:
    for attempt in list(worker.attempts):
        # A young run may have crashed the worker.
        if attempt.survived and attempt.task.step_run.step.backups:
            yield Remedy(attempt, backup=True, why='worker-silent')


def _remedy(
    worker: workers.Worker,
    attempt: execution.Attempt,
    verdict: Verdict,
    now_s: float,
) -> t.Iterator[Remedy]:
    logs.event(
        'run_straggles',
        id=attempt.task.key.job,
        task=attempt.task.key.name_in_job,
        run=attempt.run,
        worker=attempt.worker,
        verdict=verdict.value,
        percent=attempt.percent,
        running_s=round(now_s - attempt.running_since_s, 2),
        without_progress_s=round(now_s - attempt.progressed_s, 2),
    )
    if verdict is Verdict.HUNG:
        worker.shun(now_s, _HUNG_BACKOFF_S, 'hangs')
    else:
        usual = usual_speed(attempt, now_s)
        own = speed(attempt, now_s)
        if usual and own:
            worker.history.on_straggler(usual / own)
    if verdict is Verdict.HUNG and _has_hung_backup(attempt, now_s):
        yield Remedy(attempt, backup=False, why=verdict.value)
    elif attempt.task.step_run.step.backups:
        yield Remedy(attempt, backup=True, why=verdict.value)
    elif verdict is not Verdict.BACK_UP:
        yield Remedy(attempt, backup=False, why=verdict.value)


def _has_hung_backup(attempt: execution.Attempt, now_s: float) -> bool:
    """Returns whether a later run of the same task hangs as well.

    One of the two has to end before another one may start.
    """
    return any(
        other.run > attempt.run
        and other.state is execution.AttemptState.RUNNING
        and classify(other, now_s) is Verdict.HUNG
        for other in attempt.task.attempts
    )
