"""Batch jobs and their attempts, replicated through the log."""

import collections
import dataclasses
import enum
import typing as t

from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import exceptions
from . import ids
from . import results
from . import validation

KEEP_FINISHED_MS = 6 * 3600 * 1000
DEFAULT_MAX_ATTEMPTS = 5

Outcome = records_pb2.Outcome


class JobPhase(enum.Enum):
    """Phase of a job."""

    WAITING = 1
    RUNNING = 2
    COMPLETED = 3
    CANCELLED = 4
    SET_ASIDE = 5

    @property
    def finished(self) -> bool:
        """True if no attempt can start any more."""
        return self not in (JobPhase.WAITING, JobPhase.RUNNING)

    @property
    def label(self) -> str:
        """Name shown to users, such as ``waiting`` or ``set-aside``."""
        return self.name.lower().replace('_', '-')


class JobKey(t.NamedTuple):
    """Key of a job. Job ids are unique only within a tenant."""

    tenant_id: ids.TenantId
    job_id: ids.JobId

    def __str__(self):
        return f'{self.tenant_id}/{self.job_id}'

    @classmethod
    def parse(cls, text: str) -> 'JobKey':
        """Parses the result of ``str``; tenant ids contain no slash."""
        tenant_id, _, job_id = text.partition('/')
        return cls(ids.TenantId(tenant_id), ids.JobId(job_id))


@dataclasses.dataclass(slots=True, kw_only=True)
class JobEntry:
    """A job, its phase and its newest attempt.

    :ivar attempt: number of the newest attempt, 0 before the first one.
    """

    job: world_pb2.Job
    sequence: int
    submitted_at_ms: int
    changed_at_ms: int
    phase: JobPhase = JobPhase.WAITING
    attempt: int = 0
    worker_id: ids.WorkerId = ids.WorkerId('')
    rack_id: ids.RackId = ids.RackId('')
    checkpoint: str = ''
    reason: str = ''
    result: bytes = b''
    evictions: int = 0
    failed_workers: list[str] = dataclasses.field(default_factory=list)
    cancel_requested: bool = False

    @property
    def key(self) -> JobKey:
        """Tenant and id."""
        return JobKey(
            ids.TenantId(self.job.tenant_id), ids.JobId(self.job.job_id)
        )


class JobTable:
    """Replicated table of jobs, changed only by records of the log.

    ``waiting`` and ``running`` index the unfinished jobs, ``on_worker``
    indexes the running ones by worker. A finished job is removed
    ``KEEP_FINISHED_MS`` after it finished, by the log's time.
    """

    def __init__(self):
        self.jobs: dict[JobKey, JobEntry] = {}
        self.waiting: dict[JobKey, JobEntry] = {}
        self.running: dict[JobKey, JobEntry] = {}
        self.on_worker: dict[ids.WorkerId, dict[JobKey, JobEntry]] = {}
        self._finished: collections.deque[JobKey] = collections.deque()
        self._next_sequence = 0

    def submit(self, job: world_pb2.Job, now_ms: int) -> results.Result:
        """Adds a job; submitting the same job again has no effect."""
        try:
            validation.check_job(job)
        except exceptions.RequestRefused as exc:
            return results.refused(exc.reason)
        key = JobKey(ids.TenantId(job.tenant_id), ids.JobId(job.job_id))
        known = self.jobs.get(key)
        if known is not None:
            if known.job == job:
                return results.ACCEPTED
            return results.refused('another job has this id')
        entry = JobEntry(
            job=job,
            sequence=self._next_sequence,
            submitted_at_ms=now_ms,
            changed_at_ms=now_ms,
        )
        self._next_sequence += 1
        self.jobs[key] = entry
        self.waiting[key] = entry
        return results.ACCEPTED

    def cancel(self, record, now_ms: int) -> results.Result:
        """Cancels a waiting job or marks a running one to be stopped."""
        key = JobKey(ids.TenantId(record.tenant_id), ids.JobId(record.job_id))
        entry = self.jobs.get(key)
        if entry is None:
            return results.refused('no such job')
        if entry.phase.finished:
            return results.refused(f'the job is {entry.phase.label}')
        if entry.phase is JobPhase.WAITING:
            self._finish(entry, JobPhase.CANCELLED, 'cancelled', now_ms)
        else:
            entry.cancel_requested = True
        return results.ACCEPTED

    def start(self, record, now_ms: int) -> results.Result:
        """Starts the next attempt of a waiting job."""
        entry = self.waiting.get(JobKey.parse(record.job_id))
        if entry is None:
            return results.refused('the job does not wait')
        if record.attempt != entry.attempt + 1:
            return results.refused(f'attempt {entry.attempt + 1} is next')
        entry.attempt = record.attempt
        entry.worker_id = ids.WorkerId(record.worker_id)
        entry.rack_id = ids.RackId(record.rack_id)
        entry.changed_at_ms = now_ms
        self._set_phase(entry, JobPhase.RUNNING)
        return results.ACCEPTED

    def checkpoint(self, record) -> results.Result:
        """Stores the reference to a checkpoint of the running attempt."""
        entry = self.running.get(JobKey.parse(record.job_id))
        if entry is None or entry.attempt != record.attempt:
            return results.refused('the attempt does not run')
        entry.checkpoint = record.checkpoint
        return results.ACCEPTED

    def end(
        self,
        record,
        now_ms: int,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    ) -> results.Result:
        """Ends the running attempt and updates the phase of its job.

        :param max_attempts: number of failed attempts at which the job is
            set aside.
        """
        entry = self.running.get(JobKey.parse(record.job_id))
        if entry is None or entry.attempt != record.attempt:
            return results.refused('the attempt does not run')
        entry.changed_at_ms = now_ms
        if record.checkpoint:
            entry.checkpoint = record.checkpoint
        self._apply_outcome(entry, record, now_ms, max_attempts)
        return results.ACCEPTED

    def expire(self, now_ms: int) -> None:
        """Removes jobs that finished ``KEEP_FINISHED_MS`` ago."""
        limit_ms = now_ms - KEEP_FINISHED_MS
        while self._finished:
            entry = self.jobs[self._finished[0]]
            if entry.changed_at_ms >= limit_ms:
                return
            del self.jobs[self._finished.popleft()]

    def _apply_outcome(
        self, entry: JobEntry, record, now_ms: int, max_attempts: int
    ) -> None:
        outcome = record.outcome
        if outcome == Outcome.OUTCOME_COMPLETED:
            entry.result = record.result
            self._finish(entry, JobPhase.COMPLETED, record.reason, now_ms)
        elif outcome == Outcome.OUTCOME_CANCELLED or entry.cancel_requested:
            self._finish(entry, JobPhase.CANCELLED, 'cancelled', now_ms)
        elif outcome == Outcome.OUTCOME_NOT_RUN:
            self._requeue(entry, record.reason)
        elif outcome == Outcome.OUTCOME_EVICTED:
            self._handle_eviction(entry, record, now_ms)
        else:
            self._handle_failure(entry, record, now_ms, max_attempts)

    def _handle_eviction(self, entry: JobEntry, record, now_ms: int) -> None:
        entry.evictions += 1
        # Work done since an earlier checkpoint would run a second time.
        if entry.job.idempotent or record.checkpoint:
            self._requeue(entry, record.reason)
            return
        reason = f'evicted without a checkpoint, may have run: {record.reason}'
        self._finish(entry, JobPhase.SET_ASIDE, reason, now_ms)

    def _handle_failure(
        self, entry: JobEntry, record, now_ms: int, max_attempts: int
    ) -> None:
        """Handles a failed or lost attempt, which may have run partially."""
        entry.failed_workers.append(entry.worker_id)
        if not entry.job.idempotent:
            reason = f'may have run: {record.reason}'
            self._finish(entry, JobPhase.SET_ASIDE, reason, now_ms)
        elif len(entry.failed_workers) >= max_attempts:
            count = len(entry.failed_workers)
            reason = f'failed {count} times, last: {record.reason}'
            self._finish(entry, JobPhase.SET_ASIDE, reason, now_ms)
        else:
            self._requeue(entry, record.reason)

    def _requeue(self, entry: JobEntry, reason: str) -> None:
        entry.reason = reason
        self._set_phase(entry, JobPhase.WAITING)
        entry.worker_id = ids.WorkerId('')
        entry.rack_id = ids.RackId('')

    def _finish(self, entry, phase: JobPhase, reason: str, now_ms: int):
        entry.reason = reason
        entry.changed_at_ms = now_ms
        self._set_phase(entry, phase)
        self._finished.append(entry.key)

    def _set_phase(self, entry: JobEntry, phase: JobPhase) -> None:
        self.waiting.pop(entry.key, None)
        if self.running.pop(entry.key, None) is not None:
            self._remove_from_worker(entry)
        entry.phase = phase
        if phase is JobPhase.WAITING:
            self.waiting[entry.key] = entry
        elif phase is JobPhase.RUNNING:
            self.running[entry.key] = entry
            entries = self.on_worker.setdefault(entry.worker_id, {})
            entries[entry.key] = entry

    def _remove_from_worker(self, entry: JobEntry) -> None:
        entries = self.on_worker[entry.worker_id]
        del entries[entry.key]
        if not entries:
            del self.on_worker[entry.worker_id]

    def dump(self, snapshot: records_pb2.Snapshot) -> None:
        """Adds all jobs to a snapshot, in order of submission."""
        finished_order = {key: i for i, key in enumerate(self._finished)}
        entries = sorted(
            self.jobs.values(),
            key=lambda e: (finished_order.get(e.key, -1), e.sequence),
        )
        snapshot.next_job_sequence = self._next_sequence
        for entry in entries:
            snapshot.jobs.add(
                job=entry.job,
                phase=entry.phase.value,
                attempt=entry.attempt,
                worker_id=entry.worker_id,
                rack_id=entry.rack_id,
                checkpoint=entry.checkpoint,
                reason=entry.reason,
                result=entry.result,
                evictions=entry.evictions,
                failed_workers=entry.failed_workers,
                submitted_at_ms=entry.submitted_at_ms,
                changed_at_ms=entry.changed_at_ms,
                sequence=entry.sequence,
                cancel_requested=entry.cancel_requested,
            )

    def load(self, snapshot: records_pb2.Snapshot) -> None:
        """Replaces all jobs with those of a snapshot."""
        self.__init__()
        self._next_sequence = snapshot.next_job_sequence
        for state in snapshot.jobs:
            entry = _entry(state)
            self.jobs[entry.key] = entry
            self._set_phase(entry, entry.phase)
            if entry.phase.finished:
                self._finished.append(entry.key)


def _entry(state: records_pb2.JobState) -> JobEntry:
    return JobEntry(
        job=state.job,
        sequence=state.sequence,
        submitted_at_ms=state.submitted_at_ms,
        changed_at_ms=state.changed_at_ms,
        phase=JobPhase(state.phase),
        attempt=state.attempt,
        worker_id=ids.WorkerId(state.worker_id),
        rack_id=ids.RackId(state.rack_id),
        checkpoint=state.checkpoint,
        reason=state.reason,
        result=state.result,
        evictions=state.evictions,
        failed_workers=list(state.failed_workers),
        cancel_requested=state.cancel_requested,
    )
