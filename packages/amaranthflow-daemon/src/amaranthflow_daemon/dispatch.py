"""Runs latency-critical requests on the workers of this instance."""

import asyncio
import collections
import dataclasses
import hashlib
import typing as t

from amaranthflow import admission
from amaranthflow import exceptions
from amaranthflow import health
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import verdict
from amaranthflow import world
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import world_pb2

from . import logs
from . import metrics
from . import node as node_lib
from . import observer as observer_lib
from . import worker_sessions as sessions_lib

_ANSWER_MARGIN_MS = 5
_CONTACT_POLL_S = 0.1
_MS_PER_S = 1000
_RUNS_KEPT = 64
_RUNS_PER_SORT = 8
_HIGH_SHARE = 0.95
_MAX_RUN_SHARE = 0.5
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reservation:
    session: sessions_lib.WorkerSession
    task: world.Task
    service_id: ids.ServiceId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Entrant(admission.AdmissionRequest):
    service: world_pb2.Service
    attempt: int


class _RunTimes:
    """A high percentile of the recent run times of each service."""

    def __init__(self):
        self._recent: dict[str, collections.deque[float]] = {}
        self._high_s: dict[str, float] = {}
        self._noted: dict[str, int] = {}

    def note(self, service_id: str, spent_s: float) -> None:
        """Counts one run that was answered."""
        recent = self._recent.get(service_id)
        if recent is None:
            recent = collections.deque(maxlen=_RUNS_KEPT)
            self._recent[service_id] = recent
        recent.append(spent_s)
        self._noted[service_id] = noted = self._noted.get(service_id, 0) + 1
        # Sorting for each of many calls would cost too much.
        if noted <= _RUNS_KEPT or noted % _RUNS_PER_SORT == 0:
            ordered = sorted(recent)
            place = int(len(ordered) * _HIGH_SHARE)
            self._high_s[service_id] = ordered[place]

    def high_s(self, service_id: str) -> float:
        """Returns the percentile; 0 while there is no run."""
        return self._high_s.get(service_id, 0.0)

    def keep(self, service_ids: t.Collection[str]) -> None:
        """Forgets the services that are not among these."""
        for service_id in self._recent.keys() - set(service_ids):
            del self._recent[service_id]
            del self._high_s[service_id]
            del self._noted[service_id]


class Dispatcher:
    """Admits requests to workers' slots and calls the backend servers.

    A slot stays reserved until the request surely no longer runs: until
    the answer, or where that is lost until the worker has answered another
    question and the request's time has passed since.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        placer: world.Placer,
        sessions: sessions_lib.WorkerSessions,
        health: health.CallHealth,
        observer: observer_lib.UsageObserver,
    ):
        self._node = node
        self._observer = observer
        self._health = health
        self._placer = placer
        self._sessions = sessions
        self._tenants: set[str] = set()
        self._run_times = _RunTimes()
        self._under_way: set[asyncio.Future] = set()
        self.queue: admission.AdmissionQueue[_Reservation] = (
            admission.AdmissionQueue(
                clock=node.clock,
                try_reserve=self._try_reserve,
                release=self._give_back,
            )
        )
        sessions.on_capacity.append(self.queue.wake)
        sessions.queued = self.queue.__len__

    def on_config(self) -> None:
        """Applies the tenants' weights."""
        bodies = self._node.state.config.bodies('tenant', self._node.now_ms())
        for tenant_id, tenant in bodies.items():
            self.queue.configure(ids.TenantId(tenant_id), tenant.weight)
        for tenant_id in self._tenants - bodies.keys():
            self.queue.remove_tenant(ids.TenantId(tenant_id))
        self._tenants = set(bodies)
        services = self._node.state.config.bodies(
            'service', self._node.now_ms()
        )
        self._run_times.keep(services)

    async def execute(
        self, req: peer_pb2.ExecuteRequest
    ) -> peer_pb2.ExecuteReply:
        """Runs a request here; never raises for a failure of its own."""
        reply = peer_pb2.ExecuteReply(
            request_id=req.request_id, attempt=req.attempt
        )
        with logs.request_action(
            req.request_id, attempt=req.attempt, level=logs.DEBUG
        ):
            try:
                await self._run(req, reply)
            except exceptions.AmaranthflowError as exc:
                reply.verdict = exc.verdict.value
                reply.reason = exc.reason
                reply.retry_after_ms = exc.retry_after_ms or 0
        return reply

    async def _run(self, req, reply: peer_pb2.ExecuteReply) -> None:
        service = self._service(req)
        clock = self._node.clock
        entered_at = clock.monotonic()
        entrant = _Entrant(
            request_id=ids.RequestId(req.request_id),
            tenant_id=ids.TenantId(req.tenant_id),
            service_id=ids.ServiceId(req.service_id),
            deadline_s=entered_at + req.timeout_ms / _MS_PER_S,
            run_s=self._run_s(req),
            service=service,
            attempt=req.attempt,
        )
        reservation = await self.queue.enter(entrant)
        waited_s = clock.monotonic() - entered_at
        self._node.metrics.timing(
            metrics.Metric.QUEUE_MS,
            waited_s * _MS_PER_S,
            tenant_id=req.tenant_id,
            task_class=service.task_class,
        )
        await self._finish(self._call(req, reply, entrant, reservation))

    def _run_s(self, req) -> float:
        """Time to leave for the run, so that its answer is not late.

        Never more than a part of the timeout: a service that has become
        fast again must get runs that show it.
        """
        most_s = req.timeout_ms / _MS_PER_S * _MAX_RUN_SHARE
        return min(most_s, self._run_times.high_s(req.service_id))

    async def _finish(self, call: t.Coroutine) -> None:
        """Sees a call to its end, also where the caller has gone.

        The worker runs on in that case, and its answer frees the slot.
        """
        work = asyncio.ensure_future(call)
        self._under_way.add(work)
        work.add_done_callback(self._note_end)
        await asyncio.shield(work)

    def _note_end(self, work: asyncio.Future) -> None:
        self._under_way.discard(work)
        if not work.cancelled():
            # Marks the error as seen where nobody waits for it any more.
            work.exception()

    def _service(self, req) -> world_pb2.Service:
        if self._node.draining:
            raise exceptions.NotReady('the instance is draining')
        version = self._node.state.config.in_force(
            f'service/{req.service_id}', self._node.now_ms()
        )
        if version is None:
            raise exceptions.RequestRefused('unknown service')
        return version.change.service

    async def _call(self, req, reply, entrant, reservation) -> None:
        clock = self._node.clock
        started_at = clock.monotonic()
        left_ms = int((entrant.deadline_s - started_at) * _MS_PER_S)
        timeout_ms = left_ms - _ANSWER_MARGIN_MS
        if timeout_ms <= 0 or not reservation.session.admits:
            self._give_back(reservation)
            self.queue.wake()
            raise exceptions.Overloaded('no time or no right to run it')
        call = platform.BackendCall(
            request_id=entrant.request_id,
            attempt=req.attempt,
            tenant_id=entrant.tenant_id,
            service_id=entrant.service_id,
            payload=req.payload,
            timeout_ms=timeout_ms,
        )
        payload = await self._ask(call, entrant, reservation)
        spent_s = clock.monotonic() - started_at
        self._run_times.note(entrant.service_id, spent_s)
        self._observer.note_call(
            reservation.session, reservation.task.task_class, spent_s
        )
        self._free(reservation)
        reply.verdict = verdict.Verdict.COMPLETED.value
        reply.payload = payload
        reply.sha256 = hashlib.sha256(payload).hexdigest()
        reply.worker_id = reservation.session.worker.worker_id
        reply.service_time_us = int(spent_s * _US_PER_S)

    async def _ask(
        self,
        call: platform.BackendCall,
        entrant: _Entrant,
        reservation: _Reservation,
    ) -> bytes:
        """Calls the backend server; frees the slot where the call failed."""
        sent_at = self._node.clock.monotonic()
        try:
            payload = await reservation.session.link.call(call)
        except exceptions.PlatformFailed as exc:
            self._judge(entrant, reservation, answered=False)
            self._free(reservation)
            raise exceptions.RequestUncertain(exc.reason) from exc
        except exceptions.PlatformUncertain as exc:
            self._judge(entrant, reservation, answered=False)
            self._free_later(reservation, sent_at, call.timeout_ms)
            raise exceptions.RequestUncertain(exc.reason) from exc
        except exceptions.PlatformError:
            self._judge(entrant, reservation, answered=False)
            self._free(reservation)
            raise
        except asyncio.CancelledError:
            self._note_stopped(reservation)
            self._free_later(reservation, sent_at, call.timeout_ms)
            raise
        self._judge(entrant, reservation, answered=True)
        return payload

    def _judge(
        self, entrant: _Entrant, reservation: _Reservation, answered: bool
    ) -> None:
        note = self._health.succeeded if answered else self._health.failed
        findings = note(
            entrant.service_id,
            reservation.session.worker.worker_id,
            reservation.task.task_id,
            self._node.clock.wall_ms(),
        )
        self._node.record_findings(findings)

    def _try_reserve(self, entrant: _Entrant) -> _Reservation | None:
        if not self._sessions.open:
            # Another owner may have room, so the request must not wait here.
            raise exceptions.NotReady('no worker of this instance is open')
        if not self._node.ownership.has_valid_proof():
            raise exceptions.NotReady('the right to the workers is not fresh')
        task = world.Task(
            task_id=ids.request_task_id(entrant.request_id, entrant.attempt),
            tenant_id=entrant.tenant_id,
            task_class=ids.TaskClass(entrant.service.task_class),
            kind=world.TaskKind.LATENCY,
            size=world.Size.from_message(entrant.service.size),
        )
        now_ms = self._node.clock.wall_ms()
        avoid = self._health.avoid(entrant.service_id, now_ms)
        placement = self._placer.choose(task, avoid)
        if placement is None:
            return None
        session = self._sessions.by_id[placement.worker_id]
        if not session.ledger.reserve(task):
            return None
        self._placer.refresh(placement.worker_id)
        self._health.started(
            entrant.service_id, placement.worker_id, task.task_id, now_ms
        )
        return _Reservation(
            session=session, task=task, service_id=entrant.service_id
        )

    def _give_back(self, reservation: _Reservation) -> None:
        """Releases a slot whose request was never sent."""
        self._note_stopped(reservation)
        self._release(reservation)

    def _note_stopped(self, reservation: _Reservation) -> None:
        """Tells the health that the call will have no outcome."""
        self._health.stopped(
            reservation.service_id,
            reservation.session.worker.worker_id,
            reservation.task.task_id,
        )

    def _release(self, reservation: _Reservation) -> None:
        session = reservation.session
        if session.ledger.release(reservation.task.task_id) is not None:
            self._placer.refresh(session.worker.worker_id)

    def _free(self, reservation: _Reservation) -> None:
        self._release(reservation)
        self.queue.wake()

    def _free_later(
        self, reservation: _Reservation, sent_at: float, timeout_ms: int
    ) -> None:
        self._node.spawn(
            self._free_ended(reservation, sent_at, timeout_ms),
            f'free {reservation.task.task_id}',
        )

    async def _free_ended(
        self, reservation: _Reservation, sent_at: float, timeout_ms: int
    ) -> None:
        """Frees a slot once a request without answer surely has ended.

        A worker that stood still may begin it only when it wakes, so its
        time counts from the worker's next answer to any question.
        """
        session = reservation.session
        while (answered_at := session.answered_after(sent_at)) is None:
            if (
                self._sessions.by_id.get(session.worker.worker_id)
                is not session
            ):
                return
            await self._node.clock.sleep(_CONTACT_POLL_S)
        margin_s = self._node.cfg.clock_margin_s
        ended_at = answered_at + timeout_ms / _MS_PER_S + margin_s
        left_s = ended_at - self._node.clock.monotonic()
        await self._node.clock.sleep(max(0.0, left_s))
        self._free(reservation)
