"""Memory that the accepted jobs of a leader take.

Load: many clients whose jobs are each within the limits of a job. A request
of less than 100 bytes may ask for 10,000 tasks, and a body may take many times
its length once it is decoded, so together they can be more than the process
can keep. Large jobs are refused first; small ones are taken for longer.
"""

import contextlib
import sys
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids

from . import execution
from . import model

_MB = 1_000_000
_MEMORY_SHARE = 0.33
# A job may take this share of the room that is left.
_ROOM_SHARE = 0.25
# Memory of the objects themselves, measured with jobs that wait.
_JOB_BYTES = 1_500
_STEP_BYTES = 500
_TASK_BYTES = 400
_REFERENCE_BYTES = 8
# Besides the job its encoded record and a message or an append with it.
_COPIES = 3
_PENDING_SHARE = 0.25  # of the memory for accepted jobs
_PENDING_RETRY_AFTER_MS = 1_000  # records are stored within a second
# The jobs are measured again after this time; those accepted since are added.
_MAX_AGE_S = 0.5
# The record of an accepted job may be stored as late as this.
_MAX_STORE_S = 15.0
RETRY_AFTER_MS = 5_000  # room is there again once jobs have ended


def share_of(memory_mb: int) -> int:
    """Returns the bytes that jobs may take in a process of this size."""
    return round(memory_mb * _MB * _MEMORY_SHARE)


def pending_share_of(jobs_bytes: int) -> int:
    """Returns the bytes that jobs may take until they are stored."""
    return round(jobs_bytes * _PENDING_SHARE)


def record_bytes(job: model.Job) -> int:
    """Returns the memory that a job takes besides its tasks."""
    return (
        _JOB_BYTES
        + sys.getsizeof(job.payload)
        + sum(
            _STEP_BYTES
            + len(step.after) * _REFERENCE_BYTES
            + sys.getsizeof(step.label)
            + sys.getsizeof(step.data_rack)
            + sys.getsizeof(step.image)
            for step in job.steps
        )
    )


def first_bytes(job: model.Job) -> int:
    """Returns the memory that a job takes with its first occurrence."""
    tasks = sum(step.count for step in job.steps)
    return record_bytes(job) + tasks * _TASK_BYTES


def task_bytes(job_run: execution.JobRun) -> int:
    """Returns the memory that the tasks of a job take now."""
    tasks = sum(
        len(step_run.tasks)
        for step_runs in job_run.open_occurrences.values()
        for step_run in step_runs
    )
    return tasks * _TASK_BYTES


class PendingJobs:
    """Counts the jobs of an instance whose records are being stored.

    :param max_bytes: memory that they may take beside the first of them.
    """

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @contextlib.contextmanager
    def hold(self, job: model.Job) -> t.Iterator[None]:
        """Counts a job meanwhile. Raises Overloaded if there are too many."""
        needed = _COPIES * record_bytes(job)
        if self._held_bytes and self._held_bytes + needed > self._max_bytes:
            raise exceptions.Overloaded(
                'too many jobs are being stored',
                retry_after_ms=_PENDING_RETRY_AFTER_MS,
            )
        self._held_bytes += needed
        try:
            yield
        finally:
            self._held_bytes -= needed


class JobMemory:
    """Decides whether there is memory for another job.

    :param max_bytes: memory that all jobs may take.
    """

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._measured_s = float('-inf')
        self._accepted: dict[ids.JobId, tuple[float, int]] = {}
        self._record_bytes: dict[ids.JobId, int] = {}

    def take(
        self,
        job: model.Job,
        job_runs: t.Mapping[ids.JobId, execution.JobRun],
        now_s: float,
    ) -> bool:
        """Returns whether a job may be accepted, and counts it if so.

        :param job_runs: the jobs that are kept.
        """
        if now_s - self._measured_s > _MAX_AGE_S:
            self._measure(job_runs, now_s)
        if job.id in self._accepted:
            return True
        needed = first_bytes(job)
        if needed > _ROOM_SHARE * (self._max_bytes - self._held_bytes):
            return False
        self._accepted[job.id] = (now_s, needed)
        self._held_bytes += needed
        return True

    def _measure(
        self, job_runs: t.Mapping[ids.JobId, execution.JobRun], now_s: float
    ) -> None:
        self._accepted = {
            job_id: (accepted_s, needed)
            for job_id, (accepted_s, needed) in self._accepted.items()
            if job_id not in job_runs and now_s - accepted_s < _MAX_STORE_S
        }
        # Records of jobs do not change, so each is measured once.
        self._record_bytes = {
            job_id: self._record_bytes.get(job_id) or record_bytes(run.job)
            for job_id, run in job_runs.items()
        }
        self._held_bytes = sum(self._record_bytes.values())
        self._held_bytes += sum(map(task_bytes, job_runs.values()))
        self._held_bytes += sum(
            needed for _, needed in self._accepted.values()
        )
        self._measured_s = now_s
