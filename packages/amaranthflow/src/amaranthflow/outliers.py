"""Detection of workers that fail more than others with the same work."""

import collections
import dataclasses
import enum
import random

from . import ids
from . import quarantine

OUTCOMES_PER_WORKER = 16
FAILED_RATIO_TO_QUARANTINE = 0.75

_SUSPECT_RATIO = 0.5
_MIN_SUSPECT_SUBJECTS = 2
_COMMON_CAUSE_INTERVAL_MS = 60_000
_OUTCOMES_KEPT_MS = 60 * 60_000


class FindingKind(enum.Enum):
    """Kind of a finding about a job or a worker."""

    WORKER_QUARANTINED = 'worker quarantined'
    WORKER_RETURNED = 'worker returned to quarantine'
    WORKER_RESTORED = 'worker restored'
    COMMON_CAUSE = 'common cause'
    JOB_SET_ASIDE = 'job set aside'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A change of state of a job or a worker, with its reason."""

    kind: FindingKind
    subject_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of a job or a request on a worker.

    :ivar subject_id: id of the job or request.
    """

    subject_id: str
    failed: bool
    at_ms: int


class _WorkerRecord:
    """Newest outcomes on one worker.

    :ivar suspect: whether several subjects and most outcomes failed.
    """

    def __init__(self):
        self.outcomes: collections.deque[Outcome] = collections.deque(
            maxlen=OUTCOMES_PER_WORKER
        )
        self.suspect = False

    def add(self, outcome: Outcome) -> None:
        self.outcomes.append(outcome)
        oldest_ms = outcome.at_ms - _OUTCOMES_KEPT_MS
        while self.outcomes[0].at_ms < oldest_ms:
            self.outcomes.popleft()
        failed = len(self.failed_subjects()) >= _MIN_SUSPECT_SUBJECTS
        self.suspect = failed and self.failed_ratio() > _SUSPECT_RATIO

    def failed_subjects(self) -> set[str]:
        return {o.subject_id for o in self.outcomes if o.failed}

    def failed_ratio(self, discounted: frozenset[str] = frozenset()) -> float:
        counted = [
            o.failed for o in self.outcomes if o.subject_id not in discounted
        ]
        return sum(counted) / len(counted) if counted else 0.0


class OutlierDetector:
    """Workers that do the same kind of work, and their quarantine.

    :param subjects_to_quarantine: different jobs or requests that must fail
        on a worker before it is quarantined.
    """

    def __init__(self, *, rng: random.Random, subjects_to_quarantine: int):
        self.quarantine = quarantine.Quarantine(rng=rng)
        self._subjects_to_quarantine = subjects_to_quarantine
        self._records: dict[ids.WorkerId, _WorkerRecord] = {}
        self._suspect_count = 0
        self._next_common_cause_ms = 0

    def add(self, worker_id: ids.WorkerId) -> None:
        """Adds a healthy worker."""
        self.quarantine.add(worker_id)

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Forgets a worker that was removed."""
        self.quarantine.remove(worker_id)
        self._clear(worker_id)

    def is_suspect(self, worker_id: ids.WorkerId) -> bool:
        """Returns whether several subjects and most outcomes failed there."""
        record = self._records.get(worker_id)
        return record is not None and record.suspect

    def failed_subjects(self, worker_id: ids.WorkerId) -> set[str]:
        """Returns the subjects that recently failed on a worker."""
        record = self._records.get(worker_id)
        return record.failed_subjects() if record else set()

    def note(self, worker_id: ids.WorkerId, outcome: Outcome) -> None:
        """Records an outcome; unknown workers are ignored."""
        if worker_id not in self.quarantine:
            return
        record = self._records.setdefault(worker_id, _WorkerRecord())
        before = record.suspect
        record.add(outcome)
        self._suspect_count += record.suspect - before

    def evaluate(
        self,
        worker_id: ids.WorkerId,
        discounted: frozenset[str],
        now_ms: int,
    ) -> Finding | None:
        """Quarantines a worker if its outcomes are worse than the others'.

        Returns at most one common cause a minute.

        :param discounted: subjects whose failures do not count.
        """
        record = self._records.get(worker_id)
        if record is None:
            return None
        subjects = record.failed_subjects() - discounted
        if len(subjects) < self._subjects_to_quarantine:
            return None
        if record.failed_ratio(discounted) < FAILED_RATIO_TO_QUARANTINE:
            return None
        reason = f'failed {len(subjects)} different jobs or requests'
        common = self._common_cause(record)
        if common or not self.quarantine.exclude(worker_id, reason, now_ms):
            return self._report_common_cause(worker_id, reason, now_ms)
        self._clear(worker_id)
        return Finding(
            kind=FindingKind.WORKER_QUARANTINED,
            subject_id=worker_id,
            reason=reason,
        )

    def _report_common_cause(
        self, worker_id: ids.WorkerId, reason: str, now_ms: int
    ) -> Finding | None:
        if now_ms < self._next_common_cause_ms:
            return None
        self._next_common_cause_ms = now_ms + _COMMON_CAUSE_INTERVAL_MS
        return Finding(
            kind=FindingKind.COMMON_CAUSE,
            subject_id=worker_id,
            reason=f'{reason}, but too many other workers fail as well',
        )

    def _common_cause(self, record: _WorkerRecord) -> bool:
        others = len(self._records) - 1
        other_suspects = self._suspect_count - record.suspect
        return others >= 2 and other_suspects > _SUSPECT_RATIO * others

    def _clear(self, worker_id: ids.WorkerId) -> None:
        record = self._records.pop(worker_id, None)
        if record is not None:
            self._suspect_count -= record.suspect

    def probe_failed(
        self, worker_id: ids.WorkerId, task_id: str, now_ms: int
    ) -> Finding | None:
        """Notes a failed task; a failed probe renews the quarantine."""
        if not self.quarantine.failed(worker_id, task_id, now_ms):
            return None
        return Finding(
            kind=FindingKind.WORKER_RETURNED,
            subject_id=worker_id,
            reason='a probe task failed',
        )

    def probe_succeeded(
        self, worker_id: ids.WorkerId, task_id: str, now_ms: int
    ) -> Finding | None:
        """Notes a completed task; the last probe restores the worker."""
        if not self.quarantine.succeeded(worker_id, task_id, now_ms):
            return None
        return Finding(
            kind=FindingKind.WORKER_RESTORED,
            subject_id=worker_id,
            reason='its probe tasks succeeded',
        )
