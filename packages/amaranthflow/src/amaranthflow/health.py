"""Distinguishes bad jobs from bad workers by where tasks fail."""

import collections
import dataclasses
import random

from . import ids
from . import outliers
from . import quarantine

MAX_JOBS = 8192
MAX_SERVICES = 256
JOBS_TO_QUARANTINE = 4
CALLS_TO_QUARANTINE = 8
WORKERS_TO_SET_ASIDE = 3
LONG_FAILING_MS = 30 * 60_000

Finding = outliers.Finding
FindingKind = outliers.FindingKind

_WORKERS_PER_JOB = 8


@dataclasses.dataclass(slots=True)
class _JobRecord:
    first_failed_ms: int
    last_failed_ms: int
    reason: str
    workers: dict[ids.WorkerId, None] = dataclasses.field(default_factory=dict)


class JobHealth:
    """Workers on which jobs failed, for the ``MAX_JOBS`` last failed jobs."""

    def __init__(self):
        self._records: collections.OrderedDict[ids.JobId, _JobRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def failed(
        self,
        job_id: ids.JobId,
        worker_id: ids.WorkerId,
        reason: str,
        now_ms: int,
    ) -> None:
        """Notes a failure; a worker counts once for each job."""
        record = self._records.get(job_id)
        if record is None:
            record = _JobRecord(now_ms, now_ms, reason)
            self._records[job_id] = record
        record.last_failed_ms = now_ms
        record.reason = reason
        if len(record.workers) < _WORKERS_PER_JOB:
            record.workers[worker_id] = None
        self._records.move_to_end(job_id)
        if len(self._records) > MAX_JOBS:
            self._records.popitem(last=False)

    def forget(self, job_id: ids.JobId) -> None:
        """Forgets a job that completed or was cancelled."""
        self._records.pop(job_id, None)

    def discard_failure(
        self, job_id: ids.JobId, worker_id: ids.WorkerId
    ) -> None:
        """Removes a failure that is attributed to the worker."""
        record = self._records.get(job_id)
        if record is not None:
            record.workers.pop(worker_id, None)

    def workers(self, job_id: ids.JobId) -> frozenset[ids.WorkerId]:
        """Returns the workers on which a job failed, to avoid on a retry."""
        record = self._records.get(job_id)
        return frozenset(record.workers) if record else frozenset()

    def last_reason(self, job_id: ids.JobId) -> str:
        """Returns the reason of a job's last failure."""
        record = self._records.get(job_id)
        return record.reason if record else ''

    def failing_for_long(self, job_id: ids.JobId) -> bool:
        """Returns whether a job has failed for ``LONG_FAILING_MS`` or more."""
        record = self._records.get(job_id)
        if record is None:
            return False
        return (
            record.last_failed_ms - record.first_failed_ms >= LONG_FAILING_MS
        )


class WorkerHealth:
    """Finds bad workers and bad jobs by the outcomes of batch tasks.

    A worker is quarantined when at least ``JOBS_TO_QUARANTINE`` different
    jobs failed there, at least ``outliers.FAILED_RATIO_TO_QUARANTINE`` of
    its newest outcomes are failures, and the other workers do not mostly
    fail too. Jobs that also failed on other workers that are not suspect do
    not count. After a quarantine, the worker's failures are removed from the
    records of its jobs.

    A job is set aside when it failed on ``WORKERS_TO_SET_ASIDE`` different
    workers (or on all, if there are fewer) that are not suspect, or on as
    many of any kind if it has failed for ``LONG_FAILING_MS``.
    """

    def __init__(self, *, rng: random.Random, jobs: JobHealth):
        self.jobs = jobs
        self._outliers = outliers.OutlierDetector(
            rng=rng, subjects_to_quarantine=JOBS_TO_QUARANTINE
        )
        self._workers: set[ids.WorkerId] = set()

    def add(self, worker_id: ids.WorkerId) -> None:
        """Adds a healthy worker."""
        self._workers.add(worker_id)
        self._outliers.add(worker_id)

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Forgets a worker that was removed."""
        self._workers.discard(worker_id)
        self._outliers.remove(worker_id)

    def phase(self, worker_id: ids.WorkerId, now_ms: int) -> quarantine.Phase:
        """Returns the phase of a worker."""
        return self._outliers.quarantine.phase(worker_id, now_ms)

    def reason(self, worker_id: ids.WorkerId) -> str:
        """Returns why a worker is excluded, empty if it is not."""
        return self._outliers.quarantine.reason(worker_id)

    def may_start(self, worker_id: ids.WorkerId, now_ms: int) -> bool:
        """Returns whether a batch task may be started on a worker now."""
        return self._outliers.quarantine.may_use(worker_id, now_ms)

    def avoid(self, now_ms: int) -> frozenset[ids.WorkerId]:
        """Returns the workers that get no task now."""
        return _excluded_now(self._outliers.quarantine, now_ms)

    def started(
        self, worker_id: ids.WorkerId, task_id: ids.TaskId, now_ms: int
    ) -> None:
        """Notes a start, which may be a probe."""
        self._outliers.quarantine.started(worker_id, task_id, now_ms)

    def stopped(self, worker_id: ids.WorkerId, task_id: ids.TaskId) -> None:
        """Notes a task that was cancelled or moved; not an outcome."""
        self._outliers.quarantine.discard_probe(worker_id, task_id)

    def succeeded(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        task_id: ids.TaskId,
        now_ms: int,
    ) -> tuple[Finding, ...]:
        """Notes a task that completed."""
        self.jobs.forget(job_id)
        outcome = outliers.Outcome(
            subject_id=job_id, failed=False, at_ms=now_ms
        )
        self._outliers.note(worker_id, outcome)
        found = self._outliers.probe_succeeded(worker_id, task_id, now_ms)
        return (found,) if found else ()

    def failed(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        task_id: ids.TaskId,
        reason: str,
        now_ms: int,
    ) -> tuple[Finding, ...]:
        """Notes a task that failed; returns the findings that result."""
        returned = self._outliers.probe_failed(worker_id, task_id, now_ms)
        if returned is not None:
            return (returned,)
        if self.phase(worker_id, now_ms) is not quarantine.Phase.HEALTHY:
            return ()
        self.jobs.failed(job_id, worker_id, reason, now_ms)
        outcome = outliers.Outcome(
            subject_id=job_id, failed=True, at_ms=now_ms
        )
        self._outliers.note(worker_id, outcome)
        findings = (
            self._check_worker(worker_id, now_ms),
            self._check_job(job_id),
        )
        return tuple(found for found in findings if found is not None)

    def _check_worker(
        self, worker_id: ids.WorkerId, now_ms: int
    ) -> Finding | None:
        subjects = self._outliers.failed_subjects(worker_id)
        discounted = frozenset(
            job_id
            for job_id in subjects
            if self._fails_elsewhere(job_id, worker_id)
        )
        found = self._outliers.evaluate(worker_id, discounted, now_ms)
        if found and found.kind is FindingKind.WORKER_QUARANTINED:
            for job_id in subjects:
                self.jobs.discard_failure(job_id, worker_id)
        return found

    def _fails_elsewhere(
        self, job_id: ids.JobId, worker_id: ids.WorkerId
    ) -> bool:
        """Returns whether a job failed on another worker, not a suspect."""
        return any(
            other != worker_id and not self._outliers.is_suspect(other)
            for other in self.jobs.workers(job_id)
        )

    def _check_job(self, job_id: ids.JobId) -> Finding | None:
        workers = self.jobs.workers(job_id)
        needed = max(1, min(WORKERS_TO_SET_ASIDE, len(self._workers)))
        suspects = sum(self._outliers.is_suspect(w) for w in workers)
        if self.jobs.failing_for_long(job_id):
            suspects = 0
        if len(workers) - suspects < needed:
            return None
        reason = self.jobs.last_reason(job_id)
        return Finding(
            kind=FindingKind.JOB_SET_ASIDE,
            subject_id=job_id,
            reason=f'failed on {len(workers)} workers, last: {reason}',
        )


class CallHealth:
    """Finds bad backend servers of each service by the calls to them.

    The backend servers of a service on a worker are quarantined when at
    least ``CALLS_TO_QUARANTINE`` of its newest calls there failed, at least
    ``outliers.FAILED_RATIO_TO_QUARANTINE`` of all, and the service's other
    workers do not mostly fail. At most ``MAX_SERVICES`` services are
    tracked.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._workers: set[ids.WorkerId] = set()
        self._services: dict[ids.ServiceId, outliers.OutlierDetector] = {}

    def add(self, worker_id: ids.WorkerId) -> None:
        """Adds a worker for all services."""
        self._workers.add(worker_id)
        for detector in self._services.values():
            detector.add(worker_id)

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Forgets a worker that was removed."""
        self._workers.discard(worker_id)
        for detector in self._services.values():
            detector.remove(worker_id)

    def remove_service(self, service_id: ids.ServiceId) -> None:
        """Forgets a service."""
        self._services.pop(service_id, None)

    def may_call(
        self,
        service_id: ids.ServiceId,
        worker_id: ids.WorkerId,
        now_ms: int,
    ) -> bool:
        """Returns whether a service may be called on a worker now."""
        detector = self._services.get(service_id)
        if detector is None:
            return True
        return detector.quarantine.may_use(worker_id, now_ms)

    def avoid(
        self, service_id: ids.ServiceId, now_ms: int
    ) -> frozenset[ids.WorkerId]:
        """Returns the workers on which a service must not be called now."""
        detector = self._services.get(service_id)
        if detector is None:
            return frozenset()
        return _excluded_now(detector.quarantine, now_ms)

    def started(
        self,
        service_id: ids.ServiceId,
        worker_id: ids.WorkerId,
        task_id: ids.TaskId,
        now_ms: int,
    ) -> None:
        """Notes a call that starts, which may be a probe."""
        detector = self._services.get(service_id)
        if detector is not None:
            detector.quarantine.started(worker_id, task_id, now_ms)

    def stopped(
        self,
        service_id: ids.ServiceId,
        worker_id: ids.WorkerId,
        task_id: ids.TaskId,
    ) -> None:
        """Notes a call cancelled by its caller; not an outcome."""
        detector = self._services.get(service_id)
        if detector is not None:
            detector.quarantine.discard_probe(worker_id, task_id)

    def succeeded(
        self,
        service_id: ids.ServiceId,
        worker_id: ids.WorkerId,
        task_id: ids.TaskId,
        now_ms: int,
    ) -> tuple[Finding, ...]:
        """Notes a call that was answered."""
        detector = self._detector(service_id)
        if detector is None:
            return ()
        outcome = outliers.Outcome(
            subject_id=task_id, failed=False, at_ms=now_ms
        )
        detector.note(worker_id, outcome)
        found = detector.probe_succeeded(worker_id, task_id, now_ms)
        return (found,) if found else ()

    def failed(
        self,
        service_id: ids.ServiceId,
        worker_id: ids.WorkerId,
        task_id: ids.TaskId,
        now_ms: int,
    ) -> tuple[Finding, ...]:
        """Notes a call that failed on the backend server."""
        detector = self._detector(service_id)
        if detector is None:
            return ()
        found = detector.probe_failed(worker_id, task_id, now_ms)
        phase = detector.quarantine.phase(worker_id, now_ms)
        if found is None and phase is quarantine.Phase.HEALTHY:
            outcome = outliers.Outcome(
                subject_id=task_id, failed=True, at_ms=now_ms
            )
            detector.note(worker_id, outcome)
            found = detector.evaluate(worker_id, frozenset(), now_ms)
        return (found,) if found else ()

    def _detector(
        self, service_id: ids.ServiceId
    ) -> outliers.OutlierDetector | None:
        detector = self._services.get(service_id)
        if detector is None and len(self._services) < MAX_SERVICES:
            detector = outliers.OutlierDetector(
                rng=self._rng, subjects_to_quarantine=CALLS_TO_QUARANTINE
            )
            for worker_id in self._workers:
                detector.add(worker_id)
            self._services[service_id] = detector
        return detector


def _excluded_now(
    workers: quarantine.Quarantine, now_ms: int
) -> frozenset[ids.WorkerId]:
    return frozenset(
        ids.WorkerId(worker_id)
        for worker_id in workers.excluded()
        if not workers.may_use(worker_id, now_ms)
    )
