"""Which work is delayed when a pool has too little room.

The order of waiting jobs and the stop of runs for others go by the claims of
jobs. The load answered here is a burst of jobs of which a pool can run only a
part in time. A job that waits for longer than its deadline permits is of no
use to its caller any more; the time that a pool spends on it is better spent
on others. Of the others, those with the least work go first, which lets the
most jobs end in time. The queue's priority goes before both: no job waits for
one of a lower priority that can still be of use.
"""

import dataclasses
import enum
import typing as t
import weakref

from . import durations as durations_lib
from . import execution
from . import model

# A job that takes longer than this multiple of its objective is of no use to
# its caller any more.
MAX_AGE_RATIO = 3.0
# Tasks of a job end several times within a second, which changes its work but
# hardly its place among the others.
_KEPT_MS = 200


class Standing(enum.Enum):
    """How a job ends if it goes on at once.

    ON_TIME: within its objective. LATE: later, but still of use. EXPIRED:
    too late to be of any use.
    """

    ON_TIME = 'on-time'
    LATE = 'late'
    EXPIRED = 'expired'

    def precedes(self, other: 'Standing') -> bool:
        """Returns whether this standing is better than another one."""
        order = tuple(Standing)
        return order.index(self) < order.index(other)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """What a waiting job needs, and when its caller needs it.

    :ivar priority: of its queue; 0 is the highest.
    :ivar work: work that is left, in core-ms.
    :ivar path_ms: time that the job needs at least.
    :ivar on_time_until_ms: Unix time by which it has to end to be on time.
    :ivar of_use_until_ms: Unix time by which it has to end to be of use.
    """

    priority: int
    work: float
    path_ms: float
    on_time_until_ms: float
    of_use_until_ms: float

    def standing(self, now_ms: int) -> Standing:
        """Returns the standing of the job if it goes on now."""
        return self.standing_at(now_ms + self.path_ms)

    def standing_at(self, end_ms: float) -> Standing:
        """Returns the standing of the job if it ends at a Unix time."""
        if end_ms <= self.on_time_until_ms:
            return Standing.ON_TIME
        if end_ms <= self.of_use_until_ms:
            return Standing.LATE
        return Standing.EXPIRED

    def precedes(self, other: 'Claim', now_ms: int) -> bool:
        """Returns whether runs of another job may be stopped for this one.

        The work does not count, so that jobs of one priority do not stop each
        other again and again.
        """
        return self.rank(now_ms)[:2] < other.rank(now_ms)[:2]

    def is_urgent(self, now_ms: int, delay_ms: int) -> bool:
        """Returns whether a delay makes a job late that is on time."""
        return (
            self.standing(now_ms) is Standing.ON_TIME
            and self.standing(now_ms + delay_ms) is not Standing.ON_TIME
        )

    def rank(self, now_ms: int) -> tuple[bool, int, float]:
        """Returns a sort key.

        The claim whose delay costs most has the smallest one.
        """
        expired = self.standing(now_ms) is Standing.EXPIRED
        return expired, self.priority, self.work


def has_claim(job: model.Job) -> bool:
    """Returns whether a job runs once and is no service."""
    return not job.occurrences and not any(step.service for step in job.steps)


class Claims:
    """The claims of waiting jobs.

    Each plan asks for all of them, so that they are kept for a short time.

    :ivar durations: expected run times.
    """

    def __init__(
        self, *, durations: durations_lib.DurationModel | None = None
    ):
        self.durations = durations or durations_lib.DurationModel()
        self._kept: weakref.WeakKeyDictionary[
            execution.JobRun, tuple[int, Claim]
        ] = weakref.WeakKeyDictionary()

    def of(self, job_run: execution.JobRun, now_ms: int) -> Claim:
        """Returns the claim of a job that runs once and is no service."""
        kept = self._kept.get(job_run)
        if kept is not None and 0 <= now_ms - kept[0] < _KEPT_MS:
            return kept[1]
        claim = _make(job_run, self.durations)
        self._kept[job_run] = now_ms, claim
        return claim

    def objective_ms(self, job: model.Job) -> float:
        """Returns the time within which a job is on time."""
        return _objective_ms(job, _times_ms(job, self.durations))


def _make(
    job_run: execution.JobRun, durations: durations_lib.DurationModel
) -> Claim:
    job = job_run.job
    times = _times_ms(job, durations)
    objective_ms = _objective_ms(job, times)
    work = left_ms = 0.0
    for step_runs in job_run.open_occurrences.values():
        left = [
            0.0 if step_run.complete else time_ms
            for step_run, time_ms in zip(step_runs, times, strict=True)
        ]
        left_ms = max(left_ms, _path_ms(job, left))
        work += sum(
            step_run.tasks_left * step_run.step.resources.cpu * time_ms
            for step_run, time_ms in zip(step_runs, times, strict=True)
        )
    return Claim(
        priority=job.queue.priority,
        work=work / 1000,
        path_ms=left_ms,
        on_time_until_ms=job.accepted_ms + objective_ms,
        of_use_until_ms=job.accepted_ms + MAX_AGE_RATIO * objective_ms,
    )


def _times_ms(
    job: model.Job, durations: durations_lib.DurationModel
) -> list[float]:
    return [durations.expected_ms(job.queue.id, step) for step in job.steps]


def _objective_ms(job: model.Job, times: t.Sequence[float]) -> float:
    return job.queue.stretch * _path_ms(job, times) + job.queue.target_ms


def _path_ms(job: model.Job, times: t.Sequence[float]) -> float:
    """Returns the length of a job's critical path of steps."""
    ends: list[float] = []
    for step, time_ms in zip(job.steps, times, strict=True):
        start = max((ends[n] for n in step.after), default=0.0)
        ends.append(start + time_ms)
    return max(ends, default=0.0)
