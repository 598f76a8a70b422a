"""Relief of workers whose latency-critical tasks are slowed too much.

Relief goes in steps: no new batch task, throttle those that disturb most,
checkpoint and move one, stop one whose move had no effect. It goes back the
same way. Each step waits for evidence newer than the step before.
"""

import collections
import dataclasses
import enum
import typing as t

from . import ids
from . import interference
from . import world

_MINUTE_MS = 60_000
_SAMPLES = 10.0
_PREDICTION_SAMPLES = 2.0


class StepKind(enum.Enum):
    """What the owner of a worker is to do."""

    HOLD = 'hold'
    THROTTLE = 'throttle'
    MOVE = 'move'
    STOP = 'stop'
    RESUME = 'resume'
    ACCEPT = 'accept'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One step for a worker, or for one batch task on it.

    :ivar task_id: None for HOLD and ACCEPT.
    :ivar share: share of its cores that the task keeps, 1.0 is all.
    """

    kind: StepKind
    worker_id: ids.WorkerId
    task_id: ids.TaskId | None = None
    share: float = 1.0
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReliefPolicy:
    """Thresholds and bounds.

    :ivar slowdown_limit: of latency-critical tasks, above 1.
    :ivar leave_ratio: part of the limit's excess below which relief ends.
    :ivar dwell_ms: least time between two steps of a worker, and how long
        the limit has to be passed before the first.
    :ivar leave_ms: how long pressure has to be low before a step back.
    :ivar stale_ms: age at which a measurement no longer counts.
    :ivar throttled_share: share of its cores that a throttled task keeps.
    :ivar moves_per_minute: of all workers together.
    :ivar max_evictions: a job evicted so often is throttled but not moved.
    :ivar move_timeout_ms: after which a task that is still there is stopped.
    """

    slowdown_limit: float = 1.5
    leave_ratio: float = 0.7
    dwell_ms: int = 6_000
    leave_ms: int = 20_000
    stale_ms: int = 20_000
    throttled_share: float = 0.4
    moves_per_minute: int = 4
    max_evictions: int = 2
    move_timeout_ms: int = 15_000


class _Level(enum.IntEnum):
    OPEN = 0
    HELD = 1
    THROTTLED = 2
    MOVING = 3


@dataclasses.dataclass(slots=True)
class _Measured:
    """Mean slowdown of one class on one worker since the last step."""

    mean: float
    count: float
    at_ms: int


@dataclasses.dataclass(slots=True)
class _WorkerState:
    level: _Level = _Level.OPEN
    step_at_ms: int = -(2**62)
    high_since_ms: int | None = None
    low_since_ms: int | None = None
    measured: dict[ids.TaskClass, _Measured] = dataclasses.field(
        default_factory=dict
    )
    shares: dict[ids.TaskId, float] = dataclasses.field(default_factory=dict)
    moving: dict[ids.TaskId, int] = dataclasses.field(default_factory=dict)


class Relief:
    """Decides the steps of all workers of one owner."""

    def __init__(
        self,
        *,
        model: interference.InterferenceModel,
        policy: ReliefPolicy | None = None,
    ):
        self.policy = policy or ReliefPolicy()
        self._model = model
        self._workers: dict[ids.WorkerId, _WorkerState] = {}
        self._moves: collections.deque[int] = collections.deque()

    def note_slowdown(
        self,
        worker_id: ids.WorkerId,
        victim: ids.TaskClass,
        slowdown: float,
        measured_at_ms: int,
    ) -> None:
        """Takes in the measured slowdown of a latency-critical task.

        One taken before the worker's last step tells nothing about its
        effect and is ignored.
        """
        state = self._workers.setdefault(worker_id, _WorkerState())
        if measured_at_ms < state.step_at_ms:
            return
        mean = state.measured.get(victim)
        if mean is None:
            mean = _Measured(slowdown, 0.0, measured_at_ms)
            state.measured[victim] = mean
        mean.count = min(mean.count + 1.0, _SAMPLES)
        mean.mean += (slowdown - mean.mean) / mean.count
        mean.at_ms = max(mean.at_ms, measured_at_ms)

    def share(self, worker_id: ids.WorkerId, task_id: ids.TaskId) -> float:
        """Returns the share of its cores that a task was left with."""
        state = self._workers.get(worker_id)
        return 1.0 if state is None else state.shares.get(task_id, 1.0)

    def shares(self, worker_id: ids.WorkerId) -> dict[ids.TaskId, float]:
        """Returns a copy of the shares of the throttled tasks."""
        state = self._workers.get(worker_id)
        return {} if state is None else dict(state.shares)

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Drops what is known of a worker that was lost or handed over."""
        self._workers.pop(worker_id, None)

    def decide(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[Step, ...]:
        """Returns the steps due now. Call it every second or so.

        The caller carries the steps out, and releases a task that was moved
        or stopped from the ledger once it surely no longer runs.
        """
        worker_id = ledger.worker.worker_id
        state = self._workers.setdefault(worker_id, _WorkerState())
        _drop_ended(state, ledger)
        steps = self._stop_overdue(state, ledger, now_ms)
        steps += self._relieve_memory(state, ledger, now_ms)
        if steps:
            return tuple(steps)
        pressure = self._pressure(state, ledger, now_ms)
        _track(state, pressure.value, self.policy.leave_ratio, now_ms)
        if self._is_due(state.high_since_ms, state, now_ms):
            return tuple(self._escalate(state, ledger, pressure, now_ms))
        if state.level is not _Level.OPEN and self._may_leave(state, now_ms):
            return tuple(self._go_back(state, ledger, pressure, now_ms))
        return ()

    def _is_due(
        self, since_ms: int | None, state: _WorkerState, now_ms: int
    ) -> bool:
        dwell_ms = self.policy.dwell_ms
        return (
            since_ms is not None
            and now_ms - since_ms >= dwell_ms
            and now_ms - state.step_at_ms >= dwell_ms
        )

    def _may_leave(self, state: _WorkerState, now_ms: int) -> bool:
        since_ms = state.low_since_ms
        return (
            since_ms is not None
            and now_ms - since_ms >= self.policy.leave_ms
            and now_ms - state.step_at_ms >= self.policy.dwell_ms
        )

    def _pressure(
        self, state: _WorkerState, ledger: world.WorkerLedger, now_ms: int
    ) -> '_Pressure':
        """Returns the worst class's excess over the excess of the limit."""
        weights = _batch_weights(ledger, state.shares)
        worst = _Pressure()
        for victim in _victims(ledger):
            predicted = self._model.predict(victim, weights)
            slowdown = self._blend(state, victim, predicted, now_ms)
            ratio = self._ratio(slowdown)
            if ratio > worst.value:
                worst = _Pressure(ratio, victim, slowdown)
        return worst

    def _blend(
        self,
        state: _WorkerState,
        victim: ids.TaskClass,
        predicted: float,
        now_ms: int,
    ) -> float:
        """Weighs the prediction as a few measurements."""
        mean = state.measured.get(victim)
        if mean is None or now_ms - mean.at_ms > self.policy.stale_ms:
            return predicted
        total = mean.mean * mean.count + predicted * _PREDICTION_SAMPLES
        return total / (mean.count + _PREDICTION_SAMPLES)

    def _ratio(self, slowdown: float) -> float:
        return (slowdown - 1.0) / (self.policy.slowdown_limit - 1.0)

    def _escalate(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        pressure: '_Pressure',
        now_ms: int,
    ) -> list[Step]:
        worker_id = ledger.worker.worker_id
        reason = self._describe(pressure)
        if state.level is _Level.OPEN:
            _enter(state, _Level.HELD, now_ms)
            return [
                Step(kind=StepKind.HOLD, worker_id=worker_id, reason=reason)
            ]
        tasks = self._to_throttle(state, ledger, pressure)
        if tasks:
            _enter(state, _Level.THROTTLED, now_ms)
            return [self._throttle(state, worker_id, t, reason) for t in tasks]
        task = self._to_move(state, ledger, pressure.victim)
        if task is None or not self._may_move(now_ms):
            return []
        _enter(state, _Level.MOVING, now_ms)
        return [self._move(state, worker_id, task, reason, now_ms)]

    def _to_throttle(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        pressure: '_Pressure',
    ) -> list[world.Task]:
        """Returns the tasks that disturb most, as few as seem enough.

        Enough is the middle between the limit and the end of relief.
        """
        share = self.policy.throttled_share
        ranked = [
            task
            for task in self._ranked(ledger, pressure.victim)
            if task.task_id not in state.shares
        ]
        total = self._model.predict(
            pressure.victim, _batch_weights(ledger, state.shares)
        )
        target = (1.0 + self.policy.leave_ratio) / 2.0
        surplus = 1.0 - target / pressure.value
        left = surplus * (total - 1.0)
        chosen = []
        for task in ranked:
            if left <= 0.0:
                break
            added = self._model.excess(pressure.victim, task.task_class)
            left -= added * (1.0 - share)
            chosen.append(task)
        return chosen

    def _throttle(
        self,
        state: _WorkerState,
        worker_id: ids.WorkerId,
        task: world.Task,
        reason: str,
    ) -> Step:
        state.shares[task.task_id] = self.policy.throttled_share
        return Step(
            kind=StepKind.THROTTLE,
            worker_id=worker_id,
            task_id=task.task_id,
            share=self.policy.throttled_share,
            reason=reason,
        )

    def _ranked(
        self, ledger: world.WorkerLedger, victim: ids.TaskClass
    ) -> list[world.Task]:
        """Returns the batch tasks that disturb the class, worst first."""
        tasks = [
            task
            for task in ledger.tasks.values()
            if task.kind is world.TaskKind.BATCH
            and self._model.excess(victim, task.task_class) > 0.0
        ]
        tasks.sort(key=lambda task: (-self._gain(task, victim), task.task_id))
        return tasks

    def _gain(self, task: world.Task, victim: ids.TaskClass) -> float:
        """Excess removed by moving a task, over what the move costs."""
        excess = self._model.excess(victim, task.task_class)
        return excess / (1 + task.evictions) ** 2

    def _to_move(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        victim: ids.TaskClass,
    ) -> world.Task | None:
        if state.moving:
            return None
        for task in self._ranked(ledger, victim):
            if task.evictions < self.policy.max_evictions:
                return task
        return None

    def _may_move(self, now_ms: int) -> bool:
        while self._moves and self._moves[0] <= now_ms - _MINUTE_MS:
            self._moves.popleft()
        return len(self._moves) < self.policy.moves_per_minute

    def _move(
        self,
        state: _WorkerState,
        worker_id: ids.WorkerId,
        task: world.Task,
        reason: str,
        now_ms: int,
    ) -> Step:
        self._moves.append(now_ms)
        state.moving[task.task_id] = now_ms
        return Step(
            kind=StepKind.MOVE,
            worker_id=worker_id,
            task_id=task.task_id,
            reason=reason,
        )

    def _stop_overdue(
        self, state: _WorkerState, ledger: world.WorkerLedger, now_ms: int
    ) -> list[Step]:
        steps = []
        for task_id, since_ms in state.moving.items():
            if now_ms - since_ms < self.policy.move_timeout_ms:
                continue
            state.moving[task_id] = now_ms
            steps.append(
                Step(
                    kind=StepKind.STOP,
                    worker_id=ledger.worker.worker_id,
                    task_id=task_id,
                    reason=f'not moved within'
                    f' {self.policy.move_timeout_ms} ms',
                )
            )
        return steps

    def _relieve_memory(
        self, state: _WorkerState, ledger: world.WorkerLedger, now_ms: int
    ) -> list[Step]:
        """Moves batch tasks at once where measured memory passes capacity.

        These moves take from the bound but are not held up by it.
        """
        over_mb = -ledger.free.memory_mb
        over_mb -= sum(
            ledger.tasks[task_id].size.memory_mb for task_id in state.moving
        )
        steps = []
        for task in _by_memory(ledger, over_mb):
            if over_mb <= 0:
                break
            if task.task_id in state.moving:
                continue
            reason = f'memory passes the capacity by {over_mb} MB'
            worker_id = ledger.worker.worker_id
            steps.append(self._move(state, worker_id, task, reason, now_ms))
            over_mb -= task.size.memory_mb
        return steps

    def _go_back(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        pressure: '_Pressure',
        now_ms: int,
    ) -> list[Step]:
        worker_id = ledger.worker.worker_id
        reason = self._describe(pressure)
        if not state.shares:
            _enter(state, _Level.OPEN, now_ms)
            return [
                Step(kind=StepKind.ACCEPT, worker_id=worker_id, reason=reason)
            ]
        task = self._to_resume(state, ledger)
        if task is None:
            return []
        del state.shares[task.task_id]
        level = _Level.THROTTLED if state.shares else _Level.HELD
        _enter(state, level, now_ms)
        return [
            Step(
                kind=StepKind.RESUME,
                worker_id=worker_id,
                task_id=task.task_id,
                reason=reason,
            )
        ]

    def _to_resume(
        self, state: _WorkerState, ledger: world.WorkerLedger
    ) -> world.Task | None:
        """Returns the throttled task whose full share disturbs least."""
        best = None
        for task_id in state.shares:
            shares = dict(state.shares)
            del shares[task_id]
            weights = _batch_weights(ledger, shares)
            ratio = max(
                (
                    self._ratio(self._model.predict(victim, weights))
                    for victim in _victims(ledger)
                ),
                default=0.0,
            )
            if ratio < 1.0 and (best is None or ratio < best[0]):
                best = ratio, ledger.tasks[task_id]
        return None if best is None else best[1]

    def _describe(self, pressure: '_Pressure') -> str:
        limit = self.policy.slowdown_limit
        if not pressure.victim:
            return f'no latency-critical task here, limit {limit:.2f}'
        return (
            f'{pressure.victim} is slowed {pressure.slowdown:.2f} times,'
            f' limit {limit:.2f}'
        )


class _Pressure(t.NamedTuple):
    """Excess of the worst class over that of the limit, 1.0 is the limit."""

    value: float = 0.0
    victim: ids.TaskClass = ids.TaskClass('')
    slowdown: float = 1.0


def _track(
    state: _WorkerState, pressure: float, leave_ratio: float, now_ms: int
) -> None:
    """Notes since when pressure is over the limit, or low enough to leave."""
    if pressure < 1.0:
        state.high_since_ms = None
    elif state.high_since_ms is None:
        state.high_since_ms = now_ms
    if pressure > leave_ratio:
        state.low_since_ms = None
    elif state.low_since_ms is None:
        state.low_since_ms = now_ms


def _enter(state: _WorkerState, level: _Level, now_ms: int) -> None:
    state.level = level
    state.step_at_ms = now_ms
    state.measured.clear()


def _drop_ended(state: _WorkerState, ledger: world.WorkerLedger) -> None:
    for record in (state.shares, state.moving):
        for task_id in list(record):
            if task_id not in ledger.tasks:
                del record[task_id]


def _victims(ledger: world.WorkerLedger) -> list[ids.TaskClass]:
    """Returns the latency-critical classes on a worker, each once."""
    latency = world.TaskKind.LATENCY
    return list(
        dict.fromkeys(
            task.task_class
            for task in ledger.tasks.values()
            if task.kind is latency
        )
    )


def _batch_weights(
    ledger: world.WorkerLedger, shares: t.Mapping[ids.TaskId, float]
) -> dict[ids.TaskClass, float]:
    weights: dict[ids.TaskClass, float] = {}
    for task in ledger.tasks.values():
        if task.kind is world.TaskKind.BATCH:
            share = shares.get(task.task_id, 1.0)
            weights[task.task_class] = weights.get(task.task_class, 0) + share
    return weights


def _by_memory(ledger: world.WorkerLedger, over_mb: int) -> list[world.Task]:
    """Returns batch tasks, cheapest that alone frees enough memory first."""
    tasks = [
        task
        for task in ledger.tasks.values()
        if task.kind is world.TaskKind.BATCH
    ]
    tasks.sort(
        key=lambda task: (
            task.size.memory_mb < over_mb,
            task.evictions,
            task.size.memory_mb
            if task.size.memory_mb >= over_mb
            else -task.size.memory_mb,
            task.task_id,
        )
    )
    return tasks
