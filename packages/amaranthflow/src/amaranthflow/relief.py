"""Relief of workers whose latency-critical tasks are slowed too much.

Relief escalates in steps: accept no new batch task, throttle the batch tasks
that cause the most slowdown, checkpoint and move one, stop one that was not
moved in time. It is undone in the reverse order. Each step waits for
measurements that are newer than the previous step.
"""

import collections
import dataclasses
import enum
import typing as t

from . import ids
from . import interference
from . import world

_MINUTE_MS = 60_000
_MAX_SAMPLES = 10.0
_PREDICTION_SAMPLES = 2.0


class StepKind(enum.Enum):
    """Action that the owner of a worker must take."""

    HOLD = 'hold'
    THROTTLE = 'throttle'
    MOVE = 'move'
    STOP = 'stop'
    RESUME = 'resume'
    ACCEPT = 'accept'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """An action on a worker, or on one batch task on it.

    :ivar task_id: None for HOLD and ACCEPT.
    :ivar share: share of its cores that the task keeps; 1.0 is all of them.
    """

    kind: StepKind
    worker_id: ids.WorkerId
    task_id: ids.TaskId | None = None
    share: float = 1.0
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReliefPolicy:
    """Thresholds and limits of relief.

    :ivar slowdown_limit: slowdown of latency-critical tasks above which
        relief starts; above 1.
    :ivar exit_ratio: fraction of the limit's excess below which relief is
        undone.
    :ivar min_step_interval_ms: least time between two steps on a worker;
        also how long the limit must be exceeded before the first step.
    :ivar exit_after_ms: how long the pressure must be low before a step is
        undone.
    :ivar max_age_ms: age from which a measurement is ignored.
    :ivar throttled_share: share of its cores that a throttled task keeps.
    :ivar moves_per_minute: limit for all workers of the owner together.
    :ivar max_evictions: a task whose job was evicted this often is
        throttled but not moved.
    :ivar move_timeout_ms: time after which a task that has not been moved
        is stopped.
    """

    slowdown_limit: float = 1.5
    exit_ratio: float = 0.7
    min_step_interval_ms: int = 6_000
    exit_after_ms: int = 20_000
    max_age_ms: int = 20_000
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
class _MeanSlowdown:
    """Mean measured slowdown of a class on a worker since the last step."""

    mean: float
    count: float
    at_ms: int


@dataclasses.dataclass(slots=True)
class _WorkerState:
    """Relief of one worker.

    :ivar over_since_ms: since when the pressure exceeds the limit, or None.
    :ivar exit_since_ms: since when the pressure is low enough to undo a
        step, or None.
    :ivar shares: share of its cores that each throttled task keeps.
    :ivar moving: time at which the move of each task was requested.
    """

    level: _Level = _Level.OPEN
    step_at_ms: int = -(2**62)
    over_since_ms: int | None = None
    exit_since_ms: int | None = None
    slowdowns: dict[ids.TaskClass, _MeanSlowdown] = dataclasses.field(
        default_factory=dict
    )
    shares: dict[ids.TaskId, float] = dataclasses.field(default_factory=dict)
    moving: dict[ids.TaskId, int] = dataclasses.field(default_factory=dict)


class Relief:
    """Decides the relief steps of all workers of one owner."""

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
        """Records a measured slowdown of a latency-critical task.

        A measurement from before the worker's last step is ignored, since
        it does not show the effect of that step.
        """
        state = self._workers.setdefault(worker_id, _WorkerState())
        if measured_at_ms < state.step_at_ms:
            return
        mean = state.slowdowns.get(victim)
        if mean is None:
            mean = _MeanSlowdown(slowdown, 0.0, measured_at_ms)
            state.slowdowns[victim] = mean
        mean.count = min(mean.count + 1.0, _MAX_SAMPLES)
        mean.mean += (slowdown - mean.mean) / mean.count
        mean.at_ms = max(mean.at_ms, measured_at_ms)

    def share(self, worker_id: ids.WorkerId, task_id: ids.TaskId) -> float:
        """Returns the share of its cores that a task keeps, 1.0 if all."""
        state = self._workers.get(worker_id)
        return 1.0 if state is None else state.shares.get(task_id, 1.0)

    def shares(self, worker_id: ids.WorkerId) -> dict[ids.TaskId, float]:
        """Returns the shares of the throttled tasks, as a copy."""
        state = self._workers.get(worker_id)
        return {} if state is None else dict(state.shares)

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Removes the state of a worker that was lost or handed over."""
        self._workers.pop(worker_id, None)

    def decide(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[Step, ...]:
        """Returns the steps due now; meant to be called about every second.

        The caller performs the steps. It releases a moved or stopped task
        from the ledger once the task is known not to run any more.
        """
        worker_id = ledger.worker.worker_id
        state = self._workers.setdefault(worker_id, _WorkerState())
        _forget_ended(state, ledger)
        steps = self._stop_overdue(state, ledger, now_ms)
        steps += self._relieve_memory(state, ledger, now_ms)
        if steps:
            return tuple(steps)
        pressure = self._pressure(state, ledger, now_ms)
        _note_pressure(state, pressure.value, self.policy.exit_ratio, now_ms)
        if self._is_due(state.over_since_ms, state, now_ms):
            return tuple(self._escalate(state, ledger, pressure, now_ms))
        if state.level is not _Level.OPEN and self._may_deescalate(
            state, now_ms
        ):
            return tuple(self._deescalate(state, ledger, pressure, now_ms))
        return ()

    def _is_due(
        self, since_ms: int | None, state: _WorkerState, now_ms: int
    ) -> bool:
        min_step_interval_ms = self.policy.min_step_interval_ms
        return (
            since_ms is not None
            and now_ms - since_ms >= min_step_interval_ms
            and now_ms - state.step_at_ms >= min_step_interval_ms
        )

    def _may_deescalate(self, state: _WorkerState, now_ms: int) -> bool:
        since_ms = state.exit_since_ms
        return (
            since_ms is not None
            and now_ms - since_ms >= self.policy.exit_after_ms
            and now_ms - state.step_at_ms >= self.policy.min_step_interval_ms
        )

    def _pressure(
        self, state: _WorkerState, ledger: world.WorkerLedger, now_ms: int
    ) -> '_Pressure':
        """Returns the highest pressure of the worker's latency classes."""
        weights = _batch_weights(ledger, state.shares)
        worst = _Pressure()
        for victim in _victims(ledger):
            predicted = self._model.predict(victim, weights)
            slowdown = self._estimate(state, victim, predicted, now_ms)
            ratio = self._ratio(slowdown)
            if ratio > worst.value:
                worst = _Pressure(ratio, victim, slowdown)
        return worst

    def _estimate(
        self,
        state: _WorkerState,
        victim: ids.TaskClass,
        predicted: float,
        now_ms: int,
    ) -> float:
        """Averages measurements and the prediction.

        The prediction counts as ``_PREDICTION_SAMPLES`` measurements.
        """
        mean = state.slowdowns.get(victim)
        if mean is None or now_ms - mean.at_ms > self.policy.max_age_ms:
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
            _set_level(state, _Level.HELD, now_ms)
            return [
                Step(kind=StepKind.HOLD, worker_id=worker_id, reason=reason)
            ]
        tasks = self._choose_throttled(state, ledger, pressure)
        if tasks:
            _set_level(state, _Level.THROTTLED, now_ms)
            return [self._throttle(state, worker_id, t, reason) for t in tasks]
        task = self._choose_moved(state, ledger, pressure.victim)
        if task is None or not self._may_move(now_ms):
            return []
        _set_level(state, _Level.MOVING, now_ms)
        return [self._move(state, worker_id, task, reason, now_ms)]

    def _choose_throttled(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        pressure: '_Pressure',
    ) -> list[world.Task]:
        """Returns the tasks with the most benefit, as few as needed.

        They are expected to lower the pressure to the middle between the
        limit and the exit ratio.
        """
        share = self.policy.throttled_share
        ranked = [
            task
            for task in self._by_benefit(ledger, pressure.victim)
            if task.task_id not in state.shares
        ]
        total = self._model.predict(
            pressure.victim, _batch_weights(ledger, state.shares)
        )
        target = (1.0 + self.policy.exit_ratio) / 2.0
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

    def _by_benefit(
        self, ledger: world.WorkerLedger, victim: ids.TaskClass
    ) -> list[world.Task]:
        """Returns the batch tasks that slow a class, by falling benefit."""
        tasks = [
            task
            for task in ledger.tasks.values()
            if task.kind is world.TaskKind.BATCH
            and self._model.excess(victim, task.task_class) > 0.0
        ]
        tasks.sort(
            key=lambda task: (-self._benefit(task, victim), task.task_id)
        )
        return tasks

    def _benefit(self, task: world.Task, victim: ids.TaskClass) -> float:
        """Returns the excess removed by moving a task, over the move's cost.

        The cost grows with the square of the evictions so far.
        """
        excess = self._model.excess(victim, task.task_class)
        return excess / (1 + task.evictions) ** 2

    def _choose_moved(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        victim: ids.TaskClass,
    ) -> world.Task | None:
        if state.moving:
            return None
        for task in self._by_benefit(ledger, victim):
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
        """Moves batch tasks at once if reserved memory exceeds the capacity.

        These moves count towards ``moves_per_minute`` but are not delayed by
        it.
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
            reason = f'memory exceeds the capacity by {over_mb} MB'
            worker_id = ledger.worker.worker_id
            steps.append(self._move(state, worker_id, task, reason, now_ms))
            over_mb -= task.size.memory_mb
        return steps

    def _deescalate(
        self,
        state: _WorkerState,
        ledger: world.WorkerLedger,
        pressure: '_Pressure',
        now_ms: int,
    ) -> list[Step]:
        worker_id = ledger.worker.worker_id
        reason = self._describe(pressure)
        if not state.shares:
            _set_level(state, _Level.OPEN, now_ms)
            return [
                Step(kind=StepKind.ACCEPT, worker_id=worker_id, reason=reason)
            ]
        task = self._choose_resumed(state, ledger)
        if task is None:
            return []
        del state.shares[task.task_id]
        level = _Level.THROTTLED if state.shares else _Level.HELD
        _set_level(state, level, now_ms)
        return [
            Step(
                kind=StepKind.RESUME,
                worker_id=worker_id,
                task_id=task.task_id,
                reason=reason,
            )
        ]

    def _choose_resumed(
        self, state: _WorkerState, ledger: world.WorkerLedger
    ) -> world.Task | None:
        """Returns the throttled task to resume, None if none can be.

        It is the one that leads to the lowest predicted pressure, which must
        be below the limit.
        """
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
            return f'no latency-critical task on the worker, limit {limit:.2f}'
        return (
            f'{pressure.victim} is slowed {pressure.slowdown:.2f} times,'
            f' limit {limit:.2f}'
        )


class _Pressure(t.NamedTuple):
    """Excess of the most slowed class, as a multiple of the limit's excess.

    :ivar value: 1.0 at the limit.
    """

    value: float = 0.0
    victim: ids.TaskClass = ids.TaskClass('')
    slowdown: float = 1.0


def _note_pressure(
    state: _WorkerState, pressure: float, exit_ratio: float, now_ms: int
) -> None:
    """Updates since when the pressure is over the limit or low enough."""
    if pressure < 1.0:
        state.over_since_ms = None
    elif state.over_since_ms is None:
        state.over_since_ms = now_ms
    if pressure > exit_ratio:
        state.exit_since_ms = None
    elif state.exit_since_ms is None:
        state.exit_since_ms = now_ms


def _set_level(state: _WorkerState, level: _Level, now_ms: int) -> None:
    state.level = level
    state.step_at_ms = now_ms
    state.slowdowns.clear()


def _forget_ended(state: _WorkerState, ledger: world.WorkerLedger) -> None:
    for record in (state.shares, state.moving):
        for task_id in list(record):
            if task_id not in ledger.tasks:
                del record[task_id]


def _victims(ledger: world.WorkerLedger) -> list[ids.TaskClass]:
    """Returns the latency-critical classes on a worker, without repeats."""
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
    """Returns batch tasks in the order to move them to free memory.

    First those that alone free enough, by evictions and ascending memory;
    then the others, by evictions and descending memory.
    """
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
