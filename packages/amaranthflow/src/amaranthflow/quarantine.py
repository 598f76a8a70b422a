"""Members taken out of use and tried again with rising backoff."""

import dataclasses
import enum
import random

MAX_SHARE = 0.2
MIN_ALLOWED = 1
INITIAL_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 30 * 60_000
PROBE_INTERVAL_MS = 60_000
PROBES_TO_RESTORE = 2
MAX_PROBES = 4
PROBE_EXPIRY_MS = 10 * 60_000
ROUNDS_KEPT_MS = 60 * 60_000

_JITTER = 0.2
_MAX_KEPT_PROBES = 16


class Phase(enum.Enum):
    """Whether a member gets work."""

    HEALTHY = 'healthy'
    QUARANTINED = 'quarantined'
    PROBATION = 'probation'


@dataclasses.dataclass(slots=True, kw_only=True)
class _State:
    phase: Phase
    rounds: int
    until_ms: int
    reason: str
    probes: dict[str, int] = dataclasses.field(default_factory=dict)
    next_probe_ms: int = 0
    probes_passed: int = 0

    def active_probes(self, now_ms: int) -> int:
        """Counts the probes that are not taken for lost."""
        return sum(
            now_ms - started_ms < PROBE_EXPIRY_MS
            for started_ms in self.probes.values()
        )

    def add_probe(self, probe_id: str, now_ms: int) -> None:
        """Adds a probe; the oldest is forgotten where there are many."""
        if len(self.probes) >= _MAX_KEPT_PROBES:
            del self.probes[next(iter(self.probes))]
        self.probes[probe_id] = now_ms
        self.next_probe_ms = now_ms + PROBE_INTERVAL_MS


class Quarantine:
    """Members of one population that get no work for a while.

    After its time a member is on probation: it gets one probe task at a
    time. ``PROBES_TO_RESTORE`` that succeed restore it, one that fails
    sends it back for twice as long, up to ``MAX_QUARANTINE_MS``. A probe that
    still runs after ``PROBE_INTERVAL_MS`` makes way for another one, up to
    ``MAX_PROBES`` together; one of which nothing is heard for
    ``PROBE_EXPIRY_MS`` is no longer counted among these. Rounds are
    remembered for ``ROUNDS_KEPT_MS`` after a restoration.

    At most ``MAX_SHARE`` of the members, though always ``MIN_ALLOWED``, are
    out of use at one time, those on probation included: where more would
    be, the cause is more likely common to all.
    """

    def __init__(self, *, rng: random.Random, max_share: float = MAX_SHARE):
        self._rng = rng
        self._max_share = max_share
        self._workers: set[str] = set()
        self._states: dict[str, _State] = {}
        self._excluded_count = 0

    def add(self, worker_id: str) -> None:
        """Adds a healthy member."""
        self._workers.add(worker_id)

    def remove(self, worker_id: str) -> None:
        """Forgets a member that has gone."""
        self._workers.discard(worker_id)
        state = self._states.pop(worker_id, None)
        if state is not None and state.phase is not Phase.HEALTHY:
            self._excluded_count -= 1

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._workers

    def allowed(self) -> int:
        """Returns how many members may be out of use at one time."""
        return max(MIN_ALLOWED, int(self._max_share * len(self._workers)))

    def excluded(self) -> tuple[str, ...]:
        """Returns the members in quarantine or on probation."""
        return tuple(
            worker_id
            for worker_id, state in self._states.items()
            if state.phase is not Phase.HEALTHY
        )

    def phase(self, worker_id: str, now_ms: int) -> Phase:
        """Returns a member's phase; one that is unknown is healthy."""
        state = self._states.get(worker_id)
        if state is None:
            return Phase.HEALTHY
        self._advance(state, now_ms)
        return state.phase

    def reason(self, worker_id: str) -> str:
        """Returns why a member is out of use, empty where it is not."""
        state = self._states.get(worker_id)
        if state is None or state.phase is Phase.HEALTHY:
            return ''
        return state.reason

    def may_use(self, worker_id: str, now_ms: int) -> bool:
        """Tells whether a member may get a task now."""
        phase = self.phase(worker_id, now_ms)
        if phase is not Phase.PROBATION:
            return phase is Phase.HEALTHY
        state = self._states[worker_id]
        if not state.probes:
            return True
        return (
            now_ms >= state.next_probe_ms
            and state.active_probes(now_ms) < MAX_PROBES
        )

    def exclude(self, worker_id: str, reason: str, now_ms: int) -> bool:
        """Takes a member out of use; False where too many are already."""
        state = self._states.get(worker_id)
        if state is not None and state.phase is not Phase.HEALTHY:
            return True
        if (
            worker_id not in self._workers
            or self._excluded_count >= self.allowed()
        ):
            return False
        rounds = self._remembered(state, now_ms)
        self._excluded_count += 1
        self._states[worker_id] = self._quarantined(rounds, reason, now_ms)
        return True

    def started(self, worker_id: str, probe_id: str, now_ms: int) -> None:
        """Notes that a task starts; on probation it becomes a probe.

        Tasks beyond ``MAX_PROBES``, started without asking, prove nothing.
        """
        if self.phase(worker_id, now_ms) is not Phase.PROBATION:
            return
        state = self._states[worker_id]
        if state.active_probes(now_ms) < MAX_PROBES:
            state.add_probe(probe_id, now_ms)

    def discard_probe(self, worker_id: str, probe_id: str) -> None:
        """Notes that a task ended for no fault of its own or the member's."""
        state = self._states.get(worker_id)
        if state is not None:
            state.probes.pop(probe_id, None)

    def succeeded(self, worker_id: str, probe_id: str, now_ms: int) -> bool:
        """Notes a task that ended well; True where it restores a member."""
        if self.phase(worker_id, now_ms) is not Phase.PROBATION:
            return False
        state = self._states[worker_id]
        if probe_id not in state.probes:
            return False
        del state.probes[probe_id]
        state.probes_passed += 1
        if state.probes_passed < PROBES_TO_RESTORE:
            return False
        state.phase = Phase.HEALTHY
        state.until_ms = now_ms + ROUNDS_KEPT_MS
        self._excluded_count -= 1
        return True

    def failed(self, worker_id: str, probe_id: str, now_ms: int) -> bool:
        """Notes a failed task; True where it sends a member back."""
        if self.phase(worker_id, now_ms) is not Phase.PROBATION:
            return False
        state = self._states[worker_id]
        if probe_id not in state.probes:
            return False
        self._states[worker_id] = self._quarantined(
            state.rounds, state.reason, now_ms
        )
        return True

    def _quarantined(self, rounds: int, reason: str, now_ms: int) -> _State:
        length_ms = min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS << rounds)
        jitter = 1.0 + self._rng.uniform(0.0, _JITTER)
        return _State(
            phase=Phase.QUARANTINED,
            rounds=min(rounds + 1, MAX_QUARANTINE_MS.bit_length()),
            until_ms=now_ms + round(length_ms * jitter),
            reason=reason,
        )

    def _remembered(self, state: _State | None, now_ms: int) -> int:
        if state is None or now_ms >= state.until_ms:
            return 0
        return state.rounds

    def _advance(self, state: _State, now_ms: int) -> None:
        if state.phase is Phase.QUARANTINED and now_ms >= state.until_ms:
            state.phase = Phase.PROBATION
