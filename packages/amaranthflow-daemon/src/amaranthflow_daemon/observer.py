"""Learns from the workers' usage reports and relieves slowed workers."""

import collections
import dataclasses
import typing as t

from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import interference
from amaranthflow import platform
from amaranthflow import relief
from amaranthflow import sizes
from amaranthflow import world

from . import logs
from . import node as node_lib
from . import sites as sites_lib

_OCCUPANCY_MS = 30_000
_KINDS = {
    relief.StepKind.HOLD: decisions.DecisionKind.HELD,
    relief.StepKind.ACCEPT: decisions.DecisionKind.RESTORED,
    relief.StepKind.THROTTLE: decisions.DecisionKind.THROTTLED,
    relief.StepKind.RESUME: decisions.DecisionKind.UNTHROTTLED,
    relief.StepKind.MOVE: decisions.DecisionKind.MOVED,
    relief.StepKind.STOP: decisions.DecisionKind.STOPPED,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Occupancy:
    """Classes on a worker at one time, with their number."""

    at_ms: int
    classes: collections.Counter[ids.TaskClass]


class Mover(t.Protocol):
    """Moves batch tasks off a worker."""

    def move(
        self, site: sites_lib.WorkerSite, task_id: ids.TaskId, reason: str
    ) -> None:
        """Checkpoints the task and stops it, in the background."""

    def stop(
        self, site: sites_lib.WorkerSite, task_id: ids.TaskId, reason: str
    ) -> None:
        """Stops the task, in the background."""


class UsageObserver:
    """Feeds usage reports to the models and carries out relief."""

    def __init__(
        self,
        *,
        node: node_lib.Node,
        placer: world.Placer,
        sizes: sizes.SizeModel,
        model: interference.InterferenceModel,
    ):
        self._node = node
        self._placer = placer
        self._sizes = sizes
        self._model = model
        self._relief = relief.Relief(model=model)
        self._seen: dict[ids.WorkerId, dict[ids.TaskId, int]] = {}
        self._occupancy: dict[ids.WorkerId, collections.deque[_Occupancy]] = {}
        self.mover: Mover | None = None

    async def observe(self, site: sites_lib.WorkerSite) -> None:
        """Asks for the worker's newest measurements and acts on them."""
        self._note_occupancy(site)
        try:
            reports = await site.link.usage()
        except exceptions.AmaranthflowError as exc:
            logs.log_event('no usage report', reason=exc.reason)
            return
        for report in self._new_reports(site, reports):
            self._learn(site, report)
        self._relieve(site)

    def forget(self, site: sites_lib.WorkerSite) -> None:
        """Drops what is known of a worker that was given up."""
        worker_id = site.worker.worker_id
        self._seen.pop(worker_id, None)
        self._occupancy.pop(worker_id, None)
        self._relief.forget(worker_id)

    def _note_occupancy(self, site: sites_lib.WorkerSite) -> None:
        now_ms = self._node.clock.wall_ms()
        past = self._occupancy.setdefault(
            site.worker.worker_id, collections.deque()
        )
        classes = collections.Counter(
            task.task_class for task in site.ledger.tasks.values()
        )
        past.append(_Occupancy(at_ms=now_ms, classes=classes))
        while past[0].at_ms < now_ms - _OCCUPANCY_MS:
            past.popleft()

    def _new_reports(
        self,
        site: sites_lib.WorkerSite,
        reports: tuple[platform.UsageReport, ...],
    ) -> list[platform.UsageReport]:
        """Returns those not taken in before, and remembers them."""
        worker_id = site.worker.worker_id
        seen = self._seen.get(worker_id, {})
        self._seen[worker_id] = {r.task_id: r.measured_at_ms for r in reports}
        return [r for r in reports if seen.get(r.task_id) != r.measured_at_ms]

    def _learn(
        self, site: sites_lib.WorkerSite, report: platform.UsageReport
    ) -> None:
        task = site.ledger.tasks.get(report.task_id)
        if task is not None:
            self._sizes.observe(task.tenant_id, report)
        neighbours = self._neighbours(site, report)
        if neighbours is not None:
            self._model.observe(
                report.task_class,
                neighbours,
                report.slowdown,
                report.measured_at_ms,
                self._node.clock.wall_ms(),
            )
        if task is None or task.kind is world.TaskKind.LATENCY:
            self._relief.measured(
                site.worker.worker_id,
                report.task_class,
                report.slowdown,
                report.measured_at_ms,
            )

    def _neighbours(
        self, site: sites_lib.WorkerSite, report: platform.UsageReport
    ) -> interference.Neighbours | None:
        """Returns who was on the worker at the time of the measurement."""
        past = self._occupancy.get(site.worker.worker_id, ())
        before = [o for o in past if o.at_ms <= report.measured_at_ms]
        if not before:
            return None
        neighbours = collections.Counter(before[-1].classes)
        neighbours[report.task_class] -= 1
        return {c: float(n) for c, n in neighbours.items() if n > 0}

    def _relieve(self, site: sites_lib.WorkerSite) -> None:
        now_ms = self._node.clock.wall_ms()
        for step in self._relief.decide(site.ledger, now_ms):
            self._node.explain(
                step.task_id or step.worker_id,
                _KINDS[step.kind],
                step.reason,
            )
            self._carry_out(site, step)

    def _carry_out(
        self, site: sites_lib.WorkerSite, step: relief.Step
    ) -> None:
        kind = step.kind
        if kind in (relief.StepKind.HOLD, relief.StepKind.ACCEPT):
            site.ledger.accepting_batch = kind is relief.StepKind.ACCEPT
            self._placer.changed(site.worker.worker_id)
        elif kind in (relief.StepKind.THROTTLE, relief.StepKind.RESUME):
            self._node.spawn(
                self._throttle(site, step), f'throttle {step.task_id}'
            )
        elif kind is relief.StepKind.MOVE:
            self.mover.move(site, step.task_id, step.reason)
        else:
            self.mover.stop(site, step.task_id, step.reason)

    async def _throttle(
        self, site: sites_lib.WorkerSite, step: relief.Step
    ) -> None:
        try:
            await site.link.throttle(step.task_id, step.share)
        except exceptions.AmaranthflowError as exc:
            logs.log_event(
                'throttle failed', task=step.task_id, reason=exc.reason
            )
