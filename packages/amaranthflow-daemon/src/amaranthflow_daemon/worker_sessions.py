"""Sessions with the workers of the racks that this instance owns."""

import asyncio
import collections
import dataclasses
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import state as state_lib
from amaranthflow import world
from amaranthflow_schema.v1 import peer_pb2

from . import logs
from . import node as node_lib

_POLLS_PER_LEASE = 4
_IDLE_POLLS_PER_LEASE = 2
_POLLS_PER_USAGE_REPORT = 2
POLL_TIMEOUT_S = 1.0
_RETIRE_POLL_S = 0.25
_MAX_EXCHANGES = 16


class Reconciler(t.Protocol):
    """Compares a worker's reports with the state from the log."""

    async def reconcile(
        self,
        session: 'WorkerSession',
        reports: tuple[platform.TaskReport, ...],
        asked_at: float,
    ) -> tuple[ids.TaskId, ...]:
        """Handles a report; returns the tasks whose leases to renew."""

    async def on_leases_expired(self, session: 'WorkerSession') -> None:
        """Called when all leases on an unresponsive worker have expired."""


class Observer(t.Protocol):
    """Learns from a worker's usage and relieves slowed down services."""

    async def observe(self, session: 'WorkerSession') -> None:
        """Fetches the worker's newest measurements and acts on them."""

    def note_change(self, session: 'WorkerSession') -> None:
        """Called when the set of tasks on a worker has changed."""

    def forget(self, session: 'WorkerSession') -> None:
        """Drops all data about a worker that is no longer managed here."""


class HealthTracker(t.Protocol):
    """Tracks the health of a set of workers."""

    def add(self, worker_id: ids.WorkerId) -> None:
        """Adds a worker, assumed to be healthy."""

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Removes a worker."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Exchange:
    """Monotonic times of a call to the worker and of its reply."""

    asked_at: float
    answered_at: float


class WorkerSession:
    """One worker with its ledger, link and polling loop.

    :ivar leaving: the platform's list shows the worker as leaving.
    :ivar retired: the configuration no longer has the worker; the session is
        kept until nothing runs there.
    :ivar reconciled: the worker has reported its tasks since this instance
        took over the rack. Nothing is started before that.
    :ivar responsive: the worker answered the last poll.
    :ivar last_extension_at: monotonic time after which no lease on the worker
        can have been extended.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        worker: world.Worker,
        epoch: ids.Epoch,
        reconciler: Reconciler,
        observer: Observer,
        on_change: t.Callable[['WorkerSession'], None],
    ):
        self._node = node
        self._reconciler = reconciler
        self._observer = observer
        self._on_change = on_change
        self.worker = worker
        self.epoch = epoch
        self.link = node.links.connect(worker)
        self.ledger = world.WorkerLedger(worker=worker)
        self.ledger.leaving = True
        self.leaving = False
        self.retired = False
        self.reconciled = False
        self.responsive = False
        self.last_extension_at = node.clock.monotonic()
        self._exchanges: collections.deque[_Exchange] = collections.deque(
            maxlen=_MAX_EXCHANGES
        )

    @property
    def admits(self) -> bool:
        """Whether work may be started on the worker now."""
        return not self.ledger.leaving and self._node.ownership.admits(
            self.worker.rack_id
        )

    @property
    def draining(self) -> bool:
        """Whether the worker gets no new work and its tasks are moved."""
        return self.leaving or self.retired

    @property
    def serving(self) -> bool:
        """Whether the takeover of the worker's rack is complete."""
        racks = self._node.ownership.serving()
        return racks.get(self.worker.rack_id) == self.epoch

    def answered_after(self, at: float) -> float | None:
        """Returns when a call sent after ``at`` was first answered.

        Returns None while there is no such answer: until then, a request
        sent before ``at`` may not have started on the worker yet.
        """
        for exchange in self._exchanges:
            if exchange.asked_at > at:
                return exchange.answered_at
        return None

    def update(self) -> None:
        """Opens or closes the ledger for new work according to the state."""
        can_open = self.reconciled and self.responsive and self.serving
        closed = self.draining or not can_open
        if closed != self.ledger.leaving:
            self.ledger.leaving = closed
            self._on_change(self)

    def replace(self, worker: world.Worker, epoch: ids.Epoch) -> None:
        """Applies a changed configuration of the worker, keeping its tasks."""
        if worker.address != self.worker.address:
            self.link = self._node.links.connect(worker)
            self.reconciled = False
        self.worker = worker
        self.ledger.worker = worker
        self.epoch = epoch
        self.update()

    async def run(self) -> t.NoReturn:
        """Polls the worker until cancelled.

        A worker without batch tasks has no leases to renew and no load to
        relieve, so it is polled less often, only to check that it answers.
        """
        lease_s = self._node.cfg.task_lease_s
        polls = 0
        while True:
            await self.poll()
            polls += 1
            busy = self.ledger.batch_count > 0
            if (
                busy
                and self.responsive
                and polls % _POLLS_PER_USAGE_REPORT == 0
            ):
                await self._observer.observe(self)
            per_lease = _POLLS_PER_LEASE if busy else _IDLE_POLLS_PER_LEASE
            await self._node.clock.sleep(lease_s / per_lease)

    def note_start(self) -> None:
        """Records that a start is about to be sent.

        The worker may accept it until its ``not_after`` time, one lease from
        now, and the lease of the task begins only then.
        """
        latest = self._node.clock.monotonic() + self._node.cfg.task_lease_s
        self.last_extension_at = max(self.last_extension_at, latest)

    async def poll(self) -> None:
        """Fetches the worker's tasks, reconciles them and renews leases."""
        asked_at = self._node.clock.monotonic()
        try:
            reports = await self.link.tasks()
        except exceptions.AmaranthflowError as exc:
            await self._note_silence(exc)
            return
        self._exchanges.append(
            _Exchange(
                asked_at=asked_at, answered_at=self._node.clock.monotonic()
            )
        )
        keep = await self._reconciler.reconcile(self, reports, asked_at)
        self._note_answer()
        await self._renew(keep)

    async def _renew(self, keep: tuple[ids.TaskId, ...]) -> None:
        """Extends leases while this instance owns the rack.

        A new owner does so from its claim on, before it may start tasks, so
        that running tasks do not have to stop.
        """
        ownership = self._node.ownership
        if not keep or not ownership.owns(self.worker.rack_id, self.epoch):
            return
        if not ownership.has_valid_proof():
            return
        lease_ms = int(self._node.cfg.task_lease_s * 1000)
        now = self._node.clock.monotonic()
        self.last_extension_at = max(self.last_extension_at, now)
        try:
            await self.link.renew(keep, lease_ms)
        except exceptions.AmaranthflowError as exc:
            logs.log_event(
                'renewal failed',
                level=logs.WARNING,
                worker=self.worker.worker_id,
                reason=exc.reason,
            )

    def _note_answer(self) -> None:
        if not self.responsive:
            logs.log_event('worker answers', worker=self.worker.worker_id)
        self.responsive = True
        self.reconciled = True
        self.update()

    async def _note_silence(self, exc: exceptions.AmaranthflowError) -> None:
        if self.responsive:
            logs.log_event(
                'worker does not answer',
                level=logs.WARNING,
                worker=self.worker.worker_id,
                reason=exc.reason,
            )
        self.responsive = False
        self.update()
        cfg = self._node.cfg
        since_extension_s = (
            self._node.clock.monotonic() - self.last_extension_at
        )
        # The last renewal may have reached the worker up to one call timeout
        # after it was sent.
        if (
            since_extension_s
            > POLL_TIMEOUT_S + cfg.task_lease_s + cfg.clock_margin_s
        ):
            await self._reconciler.on_leases_expired(self)


class WorkerSessions:
    """All sessions of this instance, updated with the configuration.

    :ivar on_capacity: called when workers were opened, closed or removed, and
        when slots may have become free.
    :ivar queued: returns the number of requests that wait for a slot.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        placer: world.Placer,
        reconciler: Reconciler,
        observer: Observer,
        health_trackers: t.Sequence[HealthTracker] = (),
    ):
        self._node = node
        self._placer = placer
        self._reconciler = reconciler
        self._observer = observer
        self._health_trackers = health_trackers
        self._tasks: dict[ids.WorkerId, asyncio.Task] = {}
        self._leaving: frozenset[str] = frozenset()
        self.by_id: dict[ids.WorkerId, WorkerSession] = {}
        self.on_capacity: list[t.Callable[[], None]] = []
        self.queued: t.Callable[[], int] = _none_queued

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Updates the sessions when the ownership of racks has changed."""
        if applied.offset == self._node.state.view_offset:
            self.refresh()

    def on_loaded(self) -> None:
        """Updates the sessions from the replaced state."""
        self.refresh()

    def on_config(self) -> None:
        """Applies changes of workers and services."""
        self.refresh()

    def refresh(self) -> None:
        """Adds, changes and removes sessions, and applies reserved slots."""
        epochs = {
            h.rack_id: h.epoch
            for h in self._node.state.racks.owned_by(self._node.member)
        }
        configured = self._configured_workers(epochs)
        for worker_id, session in list(self.by_id.items()):
            if session.worker.rack_id not in epochs:
                self._remove(worker_id)
            elif worker_id not in configured:
                self._retire(session)
            else:
                self._update(session, configured[worker_id], epochs)
        for worker_id, worker in configured.items():
            if worker_id not in self.by_id:
                self._add(worker, epochs[worker.rack_id])
        self._reserve_slots()
        self.notify_capacity()

    def note_leaving(self, names: frozenset[str]) -> None:
        """Updates which workers are leaving according to the platform."""
        self._leaving = names
        for worker_id, session in self.by_id.items():
            leaving = worker_id in names
            if leaving != session.leaving:
                session.leaving = leaving
                session.update()
                logs.log_event(
                    'worker leaving', worker=worker_id, leaving=leaving
                )

    def update_rack(self, rack_id: ids.RackId) -> None:
        """Opens or closes a rack's workers after its ownership has changed."""
        for session in self.of_rack(rack_id):
            session.update()

    @property
    def open(self) -> bool:
        """Whether any worker of this instance accepts new work."""
        return any(
            not session.ledger.leaving for session in self.by_id.values()
        )

    def load(self) -> peer_pb2.LoadSummary:
        """Returns the slots of workers that accept work, and the queue length.

        There are no slots while this instance cannot prove its ownership.
        """
        summary = peer_pb2.LoadSummary(queued=self.queued())
        if not self._node.ownership.has_valid_proof():
            return summary
        for session in self.by_id.values():
            if not session.ledger.leaving:
                summary.free_slots += max(0, session.ledger.free_slots)
                summary.total_slots += session.worker.slots
        return summary

    def of_rack(self, rack_id: ids.RackId) -> tuple[WorkerSession, ...]:
        """Returns the sessions of one rack."""
        return tuple(
            s for s in self.by_id.values() if s.worker.rack_id == rack_id
        )

    def _configured_workers(
        self, epochs: t.Mapping[ids.RackId, ids.Epoch]
    ) -> dict[ids.WorkerId, world.Worker]:
        if not epochs:
            return {}
        bodies = self._node.state.config.bodies('worker', self._node.now_ms())
        return {
            ids.WorkerId(body.worker_id): world.Worker.from_message(body)
            for body in bodies.values()
            if body.rack_id in epochs
        }

    def _reserve_slots(self) -> None:
        bodies = self._node.state.config.bodies('service', self._node.now_ms())
        reserved = sum(body.reserved_slots for body in bodies.values())
        for session in self.by_id.values():
            if session.ledger.reserved_slots != reserved:
                session.ledger.reserved_slots = reserved
                self._placer.refresh(session.worker.worker_id)

    def _add(self, worker: world.Worker, epoch: ids.Epoch) -> None:
        session = WorkerSession(
            node=self._node,
            worker=worker,
            epoch=epoch,
            reconciler=self._reconciler,
            observer=self._observer,
            on_change=self._note_change,
        )
        session.leaving = worker.worker_id in self._leaving
        self.by_id[worker.worker_id] = session
        self._placer.add(session.ledger)
        for tracker in self._health_trackers:
            tracker.add(worker.worker_id)
        self._tasks[worker.worker_id] = self._node.spawn(
            self._run(session), f'worker {worker.worker_id}'
        )

    def _update(
        self, session: WorkerSession, worker: world.Worker, epochs
    ) -> None:
        epoch = epochs[worker.rack_id]
        session.retired = False
        if (session.worker, session.epoch) == (worker, epoch):
            session.update()
            return
        # The placer may index workers by fields that have changed.
        self._placer.remove(worker.worker_id)
        session.replace(worker, epoch)
        self._placer.add(session.ledger)

    def _retire(self, session: WorkerSession) -> None:
        session.retired = True
        session.update()

    async def _run(self, session: WorkerSession) -> None:
        """Runs a session until it is retired and empty.

        A polling loop that fails is restarted, since the leases on the worker
        must be renewed.
        """
        running = self._node.spawn(session.run(), 'worker polls')
        try:
            while not (session.retired and not session.ledger.tasks):
                await self._node.clock.sleep(_RETIRE_POLL_S)
                if running.done():
                    running = self._node.spawn(session.run(), 'worker polls')
        finally:
            running.cancel()
        self._tasks.pop(session.worker.worker_id, None)
        self._forget(session.worker.worker_id)

    def _note_change(self, session: WorkerSession) -> None:
        self._placer.refresh(session.worker.worker_id)
        self.notify_capacity()

    def notify_capacity(self) -> None:
        """Notifies listeners that capacity may have become available."""
        for listener in self.on_capacity:
            listener()

    def _remove(self, worker_id: ids.WorkerId) -> None:
        self._tasks.pop(worker_id).cancel()
        self._forget(worker_id)

    def _forget(self, worker_id: ids.WorkerId) -> None:
        session = self.by_id.pop(worker_id, None)
        if session is not None:
            self._placer.remove(worker_id)
            self._observer.forget(session)
            for tracker in self._health_trackers:
                tracker.remove(worker_id)


def _none_queued() -> int:
    return 0
