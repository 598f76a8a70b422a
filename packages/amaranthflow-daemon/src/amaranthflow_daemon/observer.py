"""Learns from workers' usage reports and relieves slowed down workers."""

import dataclasses
import typing as t

from amaranthflow import calltimes
from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import interference
from amaranthflow import learning
from amaranthflow import placement
from amaranthflow import relief
from amaranthflow import sizes
from amaranthflow_schema.v1 import world_pb2

from . import logs
from . import node as node_lib
from . import worker_sessions as sessions_lib

_DECISION_KINDS = {
    relief.StepKind.HOLD: decisions.DecisionKind.HELD,
    relief.StepKind.ACCEPT: decisions.DecisionKind.RESTORED,
    relief.StepKind.THROTTLE: decisions.DecisionKind.THROTTLED,
    relief.StepKind.RESUME: decisions.DecisionKind.UNTHROTTLED,
    relief.StepKind.MOVE: decisions.DecisionKind.MOVED,
    relief.StepKind.STOP: decisions.DecisionKind.STOPPED,
}


class Mover(t.Protocol):
    """Moves batch tasks off a worker."""

    def move(
        self,
        session: sessions_lib.WorkerSession,
        task_id: ids.TaskId,
        reason: str,
    ) -> None:
        """Checkpoints the task and stops it, in the background."""

    def stop(
        self,
        session: sessions_lib.WorkerSession,
        task_id: ids.TaskId,
        reason: str,
    ) -> None:
        """Stops the task, in the background."""


class UsageObserver:
    """Feeds usage reports to the models and carries out relief steps."""

    def __init__(
        self,
        *,
        node: node_lib.Node,
        placer: placement.InterferencePlacer,
        sizes: sizes.SizeModel,
        model: interference.InterferenceModel,
    ):
        self._node = node
        self._placer = placer
        self._relief = relief.Relief(model=model)
        self._learner = learning.UsageLearner(
            interference=model, sizes=sizes, relief=self._relief
        )
        self._call_times = calltimes.CallTimes()
        self.mover: Mover | None = None

    def on_config(self) -> None:
        """Applies the relief policy in force, or the default policy."""
        version = self._node.state.config.in_force(
            'policy/global', self._node.now_ms()
        )
        policy = relief.ReliefPolicy()
        if version is not None:
            policy = _relief_policy(version.change.policy, policy)
        self._relief.policy = policy
        self._placer.slowdown_limit = policy.slowdown_limit

    def record_call(
        self,
        session: sessions_lib.WorkerSession,
        task_class: ids.TaskClass,
        seconds: float,
    ) -> None:
        """Records the time that a backend server took for a request."""
        self._call_times.note(
            session.worker.worker_id,
            task_class,
            seconds,
            session.ledger.batch_count,
        )

    async def observe(self, session: sessions_lib.WorkerSession) -> None:
        """Fetches the worker's newest measurements and acts on them."""
        self.note_change(session)
        try:
            reports = await session.link.usage()
        except exceptions.AmaranthflowError as exc:
            logs.log_event('no usage report', reason=exc.reason)
            return
        now_ms = self._node.clock.wall_ms()
        self._learner.learn(session.ledger, reports, now_ms)
        slowdowns = self._call_times.take(session.worker.worker_id)
        self._learner.learn_from_calls(session.ledger, slowdowns, now_ms)
        self._placer.refresh(session.worker.worker_id)
        self._relieve(session)

    def note_change(self, session: sessions_lib.WorkerSession) -> None:
        """Records which tasks run on a worker now.

        Reports that arrive late are matched with the tasks of their time.
        """
        self._learner.note_tasks(session.ledger, self._node.clock.wall_ms())

    def forget(self, session: sessions_lib.WorkerSession) -> None:
        """Drops all data about a worker that is no longer managed here."""
        worker_id = session.worker.worker_id
        self._learner.forget(worker_id)
        self._call_times.forget(worker_id)
        self._relief.forget(worker_id)

    def _relieve(self, session: sessions_lib.WorkerSession) -> None:
        now_ms = self._node.clock.wall_ms()
        for step in self._relief.decide(session.ledger, now_ms):
            self._node.record_decision(
                step.task_id or step.worker_id,
                _DECISION_KINDS[step.kind],
                step.reason,
            )
            self._carry_out(session, step)

    def _carry_out(
        self, session: sessions_lib.WorkerSession, step: relief.Step
    ) -> None:
        kind = step.kind
        if kind in (relief.StepKind.HOLD, relief.StepKind.ACCEPT):
            session.ledger.accepting_batch = kind is relief.StepKind.ACCEPT
            self._placer.refresh(session.worker.worker_id)
        elif kind in (relief.StepKind.THROTTLE, relief.StepKind.RESUME):
            self._node.spawn(
                self._throttle(session, step), f'throttle {step.task_id}'
            )
        elif kind is relief.StepKind.MOVE:
            self.mover.move(session, step.task_id, step.reason)
        else:
            self.mover.stop(session, step.task_id, step.reason)

    async def _throttle(
        self, session: sessions_lib.WorkerSession, step: relief.Step
    ) -> None:
        try:
            await session.link.throttle(step.task_id, step.share)
        except exceptions.AmaranthflowError as exc:
            logs.log_event(
                'throttle failed', task=step.task_id, reason=exc.reason
            )


def _relief_policy(
    body: world_pb2.Policy, default: relief.ReliefPolicy
) -> relief.ReliefPolicy:
    """Returns the default policy with the configured values applied."""
    moves = body.moves_per_minute or default.moves_per_minute
    return dataclasses.replace(
        default,
        slowdown_limit=body.relief_slowdown,
        moves_per_minute=moves,
    )
