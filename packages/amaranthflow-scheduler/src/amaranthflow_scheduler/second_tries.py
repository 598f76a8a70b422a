"""Second runs of tasks whose first run makes a job late.

Load: short jobs while some workers are slow, or stop working on a run, with
good health checks. By the time that a run counts as hung, a short job is late.
A second run starts only for a step that permits several at once, and only if
it improves the standing of its job, see ``claims``: a job that is on time
anyway, or late either way, gets none. Workers that are known as slow or
failing get no second run; those that have ended a younger run get it first.
"""

import enum
import math
import statistics
import typing as t

from . import claims as claims_lib
from . import durations as durations_lib
from . import execution
from . import logs
from . import report_intervals
from . import stragglers
from . import workers

# Runs of one step differ in size. A run counts as slow if it takes this many
# times as long as others.
_SLOW_RATIO = 1.5
# Without other runs of the step, it has to exceed the expected run time by so
# many standard deviations of earlier expectations.
_DEVIATIONS = 2.0
# The speed of a run, or that it makes no progress, is known after this time.
_MIN_OBSERVATION_S = 0.2
# A run may have stalled if by a later report it should have made this much
# progress and has not, or if it should have ended.
_STALL_PERCENT = 15.0
# It certainly has once it is late by this share of its time. Until then it
# gets a second run only where the job cannot wait for the next report.
_CERTAIN_RATIO = 0.3
# Slowness of a worker that follows from a run that has stalled there.
_STALLED_SLOWNESS = 4.0
# From the decision to the start of a run.
_START_S = 0.05
# Reports of workers with runs come at least this often.
_FRESH_REPORT_S = report_intervals.MIN_INTERVAL_S + 0.15
_NEVER_S = math.inf
# Reason of a second run, as logs show it.
WHY = 'second-try'


class Cause(enum.Enum):
    """Why a first run is expected to end too late."""

    SLOW = 'slow'
    STALLED = 'stalled'
    UNANSWERED = 'unanswered'


class Outlook(t.NamedTuple):
    """What is expected of a run.

    :ivar end_s: when it ends; infinity if it does not.
    :ivar whole_s: time that it takes in all; infinity if it does not end.
    :ivar certain: False if the next report may show that it ends after all.
    """

    cause: Cause
    end_s: float
    whole_s: float
    certain: bool = True


class SecondTry(t.NamedTuple):
    """A run that should get a second one beside it.

    :ivar slowness: run time as a ratio to that on other workers; infinity if
        the run does not end.
    :ivar on_time_in_ms: time that is left until the job is late.
    :ivar second_in_ms: when the job ends with the second run.
    """

    attempt: execution.Attempt
    worker: workers.Worker
    cause: Cause
    slowness: float
    on_time_in_ms: float
    second_in_ms: float

    def note(self) -> None:
        """Logs it and notes what the worker of the first run has shown."""
        if self.cause is not Cause.UNANSWERED:
            slowness = min(self.slowness, _STALLED_SLOWNESS)
            self.worker.history.on_straggler(slowness)
        logs.event(
            'second_try',
            id=self.attempt.task.key.job,
            task=self.attempt.task.key.name_in_job,
            run=self.attempt.run,
            worker=self.worker.id,
            cause=self.cause.value,
            percent=self.attempt.percent,
            on_time_in_ms=round(self.on_time_in_ms),
            second_in_ms=round(self.second_in_ms),
        )


def outlook(
    attempt: execution.Attempt,
    worker: workers.Worker,
    expected_s: float,
    now_s: float,
) -> Outlook | None:
    """Returns what is expected of a run, None if too little is known.

    Nothing is known of a run that no report has listed, which may have crashed
    its worker, and while the worker's reports are late.

    :param expected_s: run time by the declaration.
    """
    last_report_s = worker.last_report_s
    if last_report_s is None or now_s - last_report_s > _FRESH_REPORT_S:
        return None
    if attempt.state is execution.AttemptState.UNCERTAIN:
        reported = last_report_s > worker.backoff_since_s
        if reported and worker.born_ms == attempt.born_ms:
            return Outlook(Cause.UNANSWERED, _NEVER_S, _NEVER_S)
        return None
    listed_s = attempt.last_listed_s
    if attempt.state is not execution.AttemptState.RUNNING or listed_s is None:
        return None
    since_s = attempt.running_since_s
    done = attempt.percent - attempt.first_percent
    took_s = attempt.progressed_s - since_s
    if done <= 0 or took_s <= 0:
        missing = 100 * (listed_s - since_s) / expected_s if expected_s else 0
        if listed_s - since_s < _MIN_OBSERVATION_S or missing < 100:
            return None
        return Outlook(Cause.STALLED, _NEVER_S, _NEVER_S)
    if took_s < _MIN_OBSERVATION_S:
        return None
    left = 100 - attempt.percent
    end_s = attempt.progressed_s + left * took_s / done
    still_s = listed_s - attempt.progressed_s
    missing = still_s * done / took_s
    if still_s >= _MIN_OBSERVATION_S and missing > _STALL_PERCENT:
        certain = missing > 100 * _CERTAIN_RATIO
        return Outlook(Cause.STALLED, _NEVER_S, _NEVER_S, certain)
    due_s = _due_s(attempt, worker, end_s, now_s)
    overdue_s = now_s - due_s
    # The end of a run is reported like the response to a command. While other
    # ends are not stored, the next report waits for them.
    unreported = overdue_s <= worker.history.response_limit_s
    if unreported or worker.stored_end != worker.processed_end:
        return Outlook(Cause.SLOW, end_s, 100 * took_s / done)
    certain = overdue_s > _CERTAIN_RATIO * (due_s - since_s)
    return Outlook(Cause.STALLED, _NEVER_S, _NEVER_S, certain)


def _due_s(
    attempt: execution.Attempt,
    worker: workers.Worker,
    end_s: float,
    now_s: float,
) -> float:
    """Returns when a run should have ended.

    A run that has stalled may be reported at 99% as long as it has not ended.
    The first such report then tells a later end than those before, and counts
    until that has passed as well.

    :param end_s: when the run ends by its progress so far.
    """
    took_s = attempt.earlier_s - attempt.running_since_s
    done = attempt.earlier_percent - attempt.first_percent
    since_s = attempt.progressed_s - attempt.earlier_s
    if took_s < _MIN_OBSERVATION_S or since_s <= 0 or done <= 0:
        return end_s
    recent = (attempt.percent - attempt.earlier_percent) / since_s
    last_s = attempt.progressed_s + (100 - attempt.percent) / recent
    if now_s <= last_s + worker.history.slowest_response_s:
        return end_s
    left = 100 - attempt.earlier_percent
    return min(end_s, attempt.earlier_s + left * took_s / done)


def usual_run_s(attempt: execution.Attempt) -> float | None:
    """Returns the median run time of the step's tasks on other workers.

    Returns None if nothing is known of any.
    """
    times_s = [100 / speed for speed in attempt.task.step_run.speeds]
    for other in attempt.task.step_run.attempts():
        done = other.percent - other.first_percent
        took_s = other.progressed_s - other.running_since_s
        if other.worker == attempt.worker or done <= 0:
            continue
        if took_s >= _MIN_OBSERVATION_S:
            times_s.append(100 * took_s / done)
    return statistics.median(times_s) if times_s else None


def following_ms(
    step_run: execution.StepRun, durations: durations_lib.DurationModel
) -> float:
    """Returns the time that a job needs after a step, in milliseconds."""
    job = step_run.job_run.job
    ends = {step_run.number: 0.0}
    for number in range(step_run.number + 1, len(job.steps)):
        step = job.steps[number]
        before = [ends[n] for n in step.after if n in ends]
        if before:
            time_ms = durations.expected_ms(job.queue.id, step)
            ends[number] = max(before) + time_ms
    return max(ends.values())


def permitted(task: execution.TaskRun) -> bool:
    """Returns whether a task may get a second run beside its first one."""
    if task.done or task.crashes or len(task.attempts) > 1:
        return False
    return not task.step_run.job_run.ended


def sound(candidates: t.Iterable[workers.Worker]) -> list[workers.Worker]:
    """Returns the workers that are not known as slow or failing."""
    return [worker for worker in candidates if not worker.history.notable]


def proven(
    candidates: t.Iterable[workers.Worker], attempt: execution.Attempt
) -> list[workers.Worker]:
    """Returns the workers that have ended a run which began after another one.

    What holds up that one may hold up runs of other workers as well, which
    shows only once they should have ended.
    """
    began_s = attempt.running_since_s
    return [
        worker for worker in candidates if worker.history.proven_s >= began_s
    ]


class SecondTries:
    """Finds the runs beside which a second one improves their job.

    :ivar started: number of second runs so far.
    """

    def __init__(self, claims: claims_lib.Claims):
        self._claims = claims
        self.started = 0

    def find(
        self, fleet: t.Iterable[workers.Worker], now_s: float, now_ms: int
    ) -> t.Iterator[SecondTry]:
        """Yields these runs."""
        for worker in fleet:
            if not worker.batch_count:
                continue
            for attempt in worker.batch_attempts():
                if not stragglers.may_back_up(attempt.task):
                    continue
                found = _assess(attempt, worker, self._claims, now_s, now_ms)
                if found is not None:
                    yield found

    def on_started(self, second_try: SecondTry) -> None:
        """Notes that a second run starts, and why the first one is late."""
        self.started += 1
        second_try.note()


def _assess(
    attempt: execution.Attempt,
    worker: workers.Worker,
    claims: claims_lib.Claims,
    now_s: float,
    now_ms: int,
) -> SecondTry | None:
    step_run = attempt.task.step_run
    if not permitted(attempt.task):
        return None
    queue_id = step_run.job_run.job.queue.id
    durations = claims.durations
    run_s = durations.expected_ms(queue_id, step_run.step) / 1000
    first = outlook(attempt, worker, run_s, now_s)
    if first is None:
        return None
    claim = claims.of(step_run.job_run, now_ms)
    rest_ms = following_ms(step_run, durations)
    first_in_ms = 1000 * (first.end_s - now_s) + rest_ms
    standing = claim.standing_at(now_ms + first_in_ms)
    if standing is claims_lib.Standing.ON_TIME:
        return None
    ratio = math.exp(_DEVIATIONS * durations.deviation(queue_id))
    usual_s = usual_run_s(attempt)
    if usual_s is not None:
        run_s, ratio = usual_s, _SLOW_RATIO
    elif step_run.step.count > 1 and first.cause is Cause.SLOW:
        # All tasks of the step may be as large.
        return None
    slowness = first.whole_s / run_s if run_s else _NEVER_S
    if slowness < max(ratio, _SLOW_RATIO):
        return None
    second_in_ms = 1000 * (_START_S + run_s) + rest_ms
    second = claim.standing_at(now_ms + second_in_ms)
    if not second.precedes(standing):
        return None
    after_report_ms = now_ms + second_in_ms + 1000 * _FRESH_REPORT_S
    if not first.certain and claim.standing_at(after_report_ms) is second:
        return None
    on_time_in_ms = claim.on_time_until_ms - now_ms
    return SecondTry(
        attempt, worker, first.cause, slowness, on_time_in_ms, second_in_ms
    )
