"""Bounded log of decisions, from which they are explained to users."""

import collections
import dataclasses
import enum

from . import ids

MAX_SUBJECTS = 4096
MAX_DECISIONS_PER_SUBJECT = 16
MAX_REASON_CHARACTERS = 240

_EVICTION_DIVISOR = 8


class DecisionKind(enum.Enum):
    """Kind of a decision about a job, a request, a worker or a rack."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    QUEUED = 'queued'
    PASSED_OVER = 'passed over'
    PLACED = 'placed'
    STARTED = 'started'
    RETRIED = 'retried'
    THROTTLED = 'throttled'
    UNTHROTTLED = 'unthrottled'
    CHECKPOINTED = 'checkpointed'
    MOVED = 'moved'
    STOPPED = 'stopped'
    EVICTED = 'evicted'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    SET_ASIDE = 'set aside'
    HELD = 'held'
    QUARANTINED = 'quarantined'
    PROBATION = 'probation'
    RESTORED = 'restored'
    CLAIMED = 'claimed'
    RELEASED = 'released'
    DRAINED = 'drained'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One decision and the reason for it.

    :ivar tenant_id: tenant that may see it; empty for operators only.
    :ivar at_ms: Unix time in ms.
    """

    subject_id: str
    tenant_id: ids.TenantId
    kind: DecisionKind
    reason: str
    at_ms: int


_Subjects = collections.OrderedDict[str, collections.deque[Decision]]


class DecisionLog:
    """The newest decisions about the most recently decided subjects.

    Holds at most ``MAX_SUBJECTS`` subjects of all tenants together and
    ``MAX_DECISIONS_PER_SUBJECT`` decisions about each. When it is full, the
    least recent subjects of the tenant with the most subjects are evicted,
    so that a tenant with many jobs does not displace others.
    """

    def __init__(self):
        self._tenants: dict[ids.TenantId, _Subjects] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(
        self,
        subject_id: str,
        tenant_id: ids.TenantId,
        kind: DecisionKind,
        reason: str,
        at_ms: int,
    ) -> None:
        """Records a decision; a long reason is truncated."""
        decision = Decision(
            subject_id=subject_id,
            tenant_id=tenant_id,
            kind=kind,
            reason=reason[:MAX_REASON_CHARACTERS],
            at_ms=at_ms,
        )
        self._decisions_of(tenant_id, subject_id).append(decision)
        if self._count > MAX_SUBJECTS:
            self._evict()

    def explain(
        self, tenant_id: ids.TenantId, subject_id: str
    ) -> tuple[Decision, ...]:
        """Returns the decisions that the tenant may see, oldest first.

        A tenant sees only its own decisions. The empty tenant stands for
        operators, who see those of all tenants.
        """
        if tenant_id:
            subjects = self._tenants.get(tenant_id, {})
            return tuple(subjects.get(subject_id, ()))
        found = [
            decision
            for subjects in self._tenants.values()
            for decision in subjects.get(subject_id, ())
        ]
        return tuple(sorted(found, key=lambda decision: decision.at_ms))

    def _decisions_of(
        self, tenant_id: ids.TenantId, subject_id: str
    ) -> collections.deque[Decision]:
        subjects = self._tenants.get(tenant_id)
        if subjects is None:
            subjects = collections.OrderedDict()
            self._tenants[tenant_id] = subjects
        decisions = subjects.get(subject_id)
        if decisions is None:
            decisions = collections.deque(maxlen=MAX_DECISIONS_PER_SUBJECT)
            subjects[subject_id] = decisions
            self._count += 1
        else:
            subjects.move_to_end(subject_id)
        return decisions

    def _evict(self) -> None:
        tenant_id = max(self._tenants, key=self._subject_count)
        subjects = self._tenants[tenant_id]
        # Evict several at once, since the search visits all tenants.
        evicted = max(1, len(subjects) // _EVICTION_DIVISOR)
        for _ in range(evicted):
            subjects.popitem(last=False)
        self._count -= evicted
        if not subjects:
            del self._tenants[tenant_id]

    def _subject_count(self, tenant_id: ids.TenantId) -> int:
        return len(self._tenants[tenant_id])
