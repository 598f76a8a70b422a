"""Quarantine of failing workers, with probes and growing backoff."""

import dataclasses
import enum
import random

MAX_EXCLUDED_SHARE = 0.2
MIN_EXCLUSION_LIMIT = 1
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
    """Whether a worker gets tasks."""

    HEALTHY = 'healthy'
    QUARANTINED = 'quarantined'
    PROBATION = 'probation'


@dataclasses.dataclass(slots=True, kw_only=True)
class _State:
    """State of a worker that is or was excluded.

    :ivar rounds: quarantines in succession.
    :ivar until_ms: end of the quarantine; for a healthy worker, the time at
        which its rounds are forgotten.
    :ivar probes: start times of running probe tasks.
    """

    phase: Phase
    rounds: int
    until_ms: int
    reason: str
    probes: dict[str, int] = dataclasses.field(default_factory=dict)
    next_probe_ms: int = 0
    probes_passed: int = 0

    def active_probes(self, now_ms: int) -> int:
        """Counts the probes that have not expired."""
        return sum(
            now_ms - started_ms < PROBE_EXPIRY_MS
            for started_ms in self.probes.values()
        )

    def add_probe(self, probe_id: str, now_ms: int) -> None:
        """Adds a probe; drops the oldest if there are too many."""
        if len(self.probes) >= _MAX_KEPT_PROBES:
            del self.probes[next(iter(self.probes))]
        self.probes[probe_id] = now_ms
        self.next_probe_ms = now_ms + PROBE_INTERVAL_MS


class Quarantine:
    """Workers that get no tasks for a time because they failed.

    After its quarantine a worker is on probation: it gets one probe task at
    a time. Once ``PROBES_TO_RESTORE`` probes have succeeded it is healthy
    again; a failed one returns it to quarantine for twice as long, up to
    ``MAX_QUARANTINE_MS``. If a probe still runs after
    ``PROBE_INTERVAL_MS``, another one may start, up to ``MAX_PROBES`` at a
    time; a probe without a result for ``PROBE_EXPIRY_MS`` no longer counts.
    The number of quarantines in succession is kept for ``ROUNDS_KEPT_MS``
    after the worker is restored.

    At most ``MAX_EXCLUDED_SHARE`` of the workers may be excluded at a time,
    or ``MIN_EXCLUSION_LIMIT`` if that is more, those on probation included.
    If more fail, the cause is probably common to all.
    """

    def __init__(
        self, *, rng: random.Random, max_share: float = MAX_EXCLUDED_SHARE
    ):
        self._rng = rng
        self._max_share = max_share
        self._workers: set[str] = set()
        self._states: dict[str, _State] = {}
        self._excluded_count = 0

    def add(self, worker_id: str) -> None:
        """Adds a healthy worker."""
        self._workers.add(worker_id)

    def remove(self, worker_id: str) -> None:
        """Forgets a worker that was removed."""
        self._workers.discard(worker_id)
        state = self._states.pop(worker_id, None)
        if state is not None and state.phase is not Phase.HEALTHY:
            self._excluded_count -= 1

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._workers

    def allowed(self) -> int:
        """Returns how many workers may be excluded at a time."""
        return max(
            MIN_EXCLUSION_LIMIT, int(self._max_share * len(self._workers))
        )

    def excluded(self) -> tuple[str, ...]:
        """Returns the workers in quarantine or on probation."""
        return tuple(
            worker_id
            for worker_id, state in self._states.items()
            if state.phase is not Phase.HEALTHY
        )

    def phase(self, worker_id: str, now_ms: int) -> Phase:
        """Returns a worker's phase; an unknown worker is healthy."""
        state = self._states.get(worker_id)
        if state is None:
            return Phase.HEALTHY
        self._advance(state, now_ms)
        return state.phase

    def reason(self, worker_id: str) -> str:
        """Returns why a worker is excluded, empty if it is not."""
        state = self._states.get(worker_id)
        if state is None or state.phase is Phase.HEALTHY:
            return ''
        return state.reason

    def may_use(self, worker_id: str, now_ms: int) -> bool:
        """Returns whether a worker may get a task now."""
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
        """Quarantines a worker; returns False if too many are excluded."""
        state = self._states.get(worker_id)
        if state is not None and state.phase is not Phase.HEALTHY:
            return True
        if (
            worker_id not in self._workers
            or self._excluded_count >= self.allowed()
        ):
            return False
        rounds = self._kept_rounds(state, now_ms)
        self._excluded_count += 1
        self._states[worker_id] = self._quarantined(rounds, reason, now_ms)
        return True

    def started(self, worker_id: str, probe_id: str, now_ms: int) -> None:
        """Notes that a task starts, which is a probe during probation.

        Tasks that were started without ``may_use`` beyond ``MAX_PROBES`` are
        not counted as probes.
        """
        if self.phase(worker_id, now_ms) is not Phase.PROBATION:
            return
        state = self._states[worker_id]
        if state.active_probes(now_ms) < MAX_PROBES:
            state.add_probe(probe_id, now_ms)

    def discard_probe(self, worker_id: str, probe_id: str) -> None:
        """Forgets a probe that ended without showing success or failure."""
        state = self._states.get(worker_id)
        if state is not None:
            state.probes.pop(probe_id, None)

    def succeeded(self, worker_id: str, probe_id: str, now_ms: int) -> bool:
        """Notes a completed task; returns whether it restores the worker."""
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
        """Notes a failed task; returns whether it renews the quarantine."""
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

    def _kept_rounds(self, state: _State | None, now_ms: int) -> int:
        if state is None or now_ms >= state.until_ms:
            return 0
        return state.rounds

    def _advance(self, state: _State, now_ms: int) -> None:
        if state.phase is Phase.QUARANTINED and now_ms >= state.until_ms:
            state.phase = Phase.PROBATION
