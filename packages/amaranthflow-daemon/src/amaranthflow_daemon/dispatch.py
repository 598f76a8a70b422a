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

_REPLY_MARGIN_MS = 5
_ANSWER_POLL_S = 0.1
_MS_PER_S = 1000
_MAX_SAMPLES = 64
_SAMPLES_PER_SORT = 8
_RUN_TIME_QUANTILE = 0.95
_MAX_RUN_FRACTION = 0.5
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reservation:
    """A slot of a worker that is reserved for one request."""

    session: sessions_lib.WorkerSession
    task: world.Task
    service_id: ids.ServiceId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _QueuedRequest(admission.AdmissionRequest):
    """A request for a backend server that waits for admission."""

    service: world_pb2.Service
    attempt: int


class _RunTimes:
    """Tracks a high quantile of each service's recent run times."""

    def __init__(self):
        self._recent: dict[str, collections.deque[float]] = {}
        self._quantile_s: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service_id: str, elapsed_s: float) -> None:
        """Adds the duration of one answered run."""
        recent = self._recent.get(service_id)
        if recent is None:
            recent = collections.deque(maxlen=_MAX_SAMPLES)
            self._recent[service_id] = recent
        recent.append(elapsed_s)
        self._counts[service_id] = count = self._counts.get(service_id, 0) + 1
        # Sorting on every call would cost too much.
        if count <= _MAX_SAMPLES or count % _SAMPLES_PER_SORT == 0:
            ordered = sorted(recent)
            index = int(len(ordered) * _RUN_TIME_QUANTILE)
            self._quantile_s[service_id] = ordered[index]

    def quantile_s(self, service_id: str) -> float:
        """Returns the quantile in seconds, 0 before the first run."""
        return self._quantile_s.get(service_id, 0.0)

    def retain(self, service_ids: t.Collection[str]) -> None:
        """Removes all services but the given ones."""
        for service_id in self._recent.keys() - set(service_ids):
            del self._recent[service_id]
            del self._quantile_s[service_id]
            del self._counts[service_id]


class Dispatcher:
    """Admits requests to workers' slots and calls the backend servers.

    A slot stays reserved until the request can no longer be running: until
    its reply, or if that is lost, until the request's timeout has passed
    after the worker next answered a call.
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
        self._in_flight: set[asyncio.Future] = set()
        self.queue: admission.AdmissionQueue[_Reservation] = (
            admission.AdmissionQueue(
                clock=node.clock,
                try_reserve=self._try_reserve,
                release=self._release_unsent,
            )
        )
        sessions.on_capacity.append(self.queue.wake)
        sessions.queued = self.queue.__len__

    def on_config(self) -> None:
        """Applies the tenants' weights and drops removed services."""
        bodies = self._node.state.config.bodies('tenant', self._node.now_ms())
        for tenant_id, tenant in bodies.items():
            self.queue.configure(ids.TenantId(tenant_id), tenant.weight)
        for tenant_id in self._tenants - bodies.keys():
            self.queue.remove_tenant(ids.TenantId(tenant_id))
        self._tenants = set(bodies)
        services = self._node.state.config.bodies(
            'service', self._node.now_ms()
        )
        self._run_times.retain(services)

    async def execute(
        self, req: peer_pb2.ExecuteRequest
    ) -> peer_pb2.ExecuteReply:
        """Runs a request here; failures are reported in the reply."""
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
        queued = _QueuedRequest(
            request_id=ids.RequestId(req.request_id),
            tenant_id=ids.TenantId(req.tenant_id),
            service_id=ids.ServiceId(req.service_id),
            deadline_s=entered_at + req.timeout_ms / _MS_PER_S,
            run_s=self._expected_run_s(req),
            service=service,
            attempt=req.attempt,
        )
        reservation = await self.queue.enter(queued)
        waited_s = clock.monotonic() - entered_at
        self._node.metrics.timing(
            metrics.Metric.QUEUE_MS,
            waited_s * _MS_PER_S,
            tenant_id=req.tenant_id,
            task_class=service.task_class,
        )
        await self._run_to_completion(
            self._call(req, reply, queued, reservation)
        )

    def _expected_run_s(self, req) -> float:
        """Returns the time to reserve before the deadline for the run.

        It is at most ``_MAX_RUN_FRACTION`` of the timeout, so that calls
        to a service that has become faster still run and lower the estimate.
        """
        max_s = req.timeout_ms / _MS_PER_S * _MAX_RUN_FRACTION
        return min(max_s, self._run_times.quantile_s(req.service_id))

    async def _run_to_completion(self, call: t.Coroutine) -> None:
        """Runs a call to its end even if the caller is cancelled.

        In that case the worker keeps running, and its reply frees the slot.
        """
        work = asyncio.ensure_future(call)
        self._in_flight.add(work)
        work.add_done_callback(self._on_call_done)
        await asyncio.shield(work)

    def _on_call_done(self, work: asyncio.Future) -> None:
        self._in_flight.discard(work)
        if not work.cancelled():
            # Retrieves the error, or asyncio would warn about it if the
            # caller has gone.
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

    async def _call(self, req, reply, queued, reservation) -> None:
        clock = self._node.clock
        started_at = clock.monotonic()
        remaining_ms = int((queued.deadline_s - started_at) * _MS_PER_S)
        timeout_ms = remaining_ms - _REPLY_MARGIN_MS
        if timeout_ms <= 0 or not reservation.session.admits:
            self._release_unsent(reservation)
            self.queue.wake()
            raise exceptions.Overloaded(
                'too little time left or the worker is closed'
            )
        call = platform.BackendCall(
            request_id=queued.request_id,
            attempt=req.attempt,
            tenant_id=queued.tenant_id,
            service_id=queued.service_id,
            payload=req.payload,
            timeout_ms=timeout_ms,
        )
        payload = await self._call_backend(call, queued, reservation)
        elapsed_s = clock.monotonic() - started_at
        self._run_times.record(queued.service_id, elapsed_s)
        self._observer.record_call(
            reservation.session, reservation.task.task_class, elapsed_s
        )
        self._release_and_wake(reservation)
        reply.verdict = verdict.Verdict.COMPLETED.value
        reply.payload = payload
        reply.sha256 = hashlib.sha256(payload).hexdigest()
        reply.worker_id = reservation.session.worker.worker_id
        reply.service_time_us = int(elapsed_s * _US_PER_S)

    async def _call_backend(
        self,
        call: platform.BackendCall,
        queued: _QueuedRequest,
        reservation: _Reservation,
    ) -> bytes:
        """Calls the backend server; frees the slot if the call fails.

        An uncertain call or a cancellation frees it once the request has
        ended for certain.
        """
        sent_at = self._node.clock.monotonic()
        try:
            payload = await reservation.session.link.call(call)
        except exceptions.PlatformFailed as exc:
            self._update_health(queued, reservation, answered=False)
            self._release_and_wake(reservation)
            raise exceptions.RequestUncertain(exc.reason) from exc
        except exceptions.PlatformUncertain as exc:
            self._update_health(queued, reservation, answered=False)
            self._release_later(reservation, sent_at, call.timeout_ms)
            raise exceptions.RequestUncertain(exc.reason) from exc
        except exceptions.PlatformError:
            self._update_health(queued, reservation, answered=False)
            self._release_and_wake(reservation)
            raise
        except asyncio.CancelledError:
            self._note_stopped(reservation)
            self._release_later(reservation, sent_at, call.timeout_ms)
            raise
        self._update_health(queued, reservation, answered=True)
        return payload

    def _update_health(
        self, queued: _QueuedRequest, reservation: _Reservation, answered: bool
    ) -> None:
        """Updates the health tracking with the outcome of a call."""
        update = self._health.succeeded if answered else self._health.failed
        findings = update(
            queued.service_id,
            reservation.session.worker.worker_id,
            reservation.task.task_id,
            self._node.clock.wall_ms(),
        )
        self._node.record_findings(findings)

    def _try_reserve(self, queued: _QueuedRequest) -> _Reservation | None:
        if not self._sessions.open:
            # Another owner may have capacity, so the request must not wait.
            raise exceptions.NotReady('no worker of this instance is open')
        if not self._node.ownership.has_valid_proof():
            raise exceptions.NotReady(
                'the ownership of the workers is not confirmed'
            )
        task = world.Task(
            task_id=ids.request_task_id(queued.request_id, queued.attempt),
            tenant_id=queued.tenant_id,
            task_class=ids.TaskClass(queued.service.task_class),
            kind=world.TaskKind.LATENCY,
            size=world.Size.from_message(queued.service.size),
        )
        now_ms = self._node.clock.wall_ms()
        avoid = self._health.avoid(queued.service_id, now_ms)
        placement = self._placer.choose(task, avoid)
        if placement is None:
            return None
        session = self._sessions.by_id[placement.worker_id]
        if not session.ledger.reserve(task):
            return None
        self._placer.refresh(placement.worker_id)
        self._health.started(
            queued.service_id, placement.worker_id, task.task_id, now_ms
        )
        return _Reservation(
            session=session, task=task, service_id=queued.service_id
        )

    def _release_unsent(self, reservation: _Reservation) -> None:
        """Releases a slot whose request was never sent."""
        self._note_stopped(reservation)
        self._release(reservation)

    def _note_stopped(self, reservation: _Reservation) -> None:
        """Tells the health tracking that the call will have no outcome."""
        self._health.stopped(
            reservation.service_id,
            reservation.session.worker.worker_id,
            reservation.task.task_id,
        )

    def _release(self, reservation: _Reservation) -> None:
        session = reservation.session
        if session.ledger.release(reservation.task.task_id) is not None:
            self._placer.refresh(session.worker.worker_id)

    def _release_and_wake(self, reservation: _Reservation) -> None:
        self._release(reservation)
        self.queue.wake()

    def _release_later(
        self, reservation: _Reservation, sent_at: float, timeout_ms: int
    ) -> None:
        self._node.spawn(
            self._release_when_ended(reservation, sent_at, timeout_ms),
            f'free {reservation.task.task_id}',
        )

    async def _release_when_ended(
        self, reservation: _Reservation, sent_at: float, timeout_ms: int
    ) -> None:
        """Frees the slot of an unanswered request once it must have ended.

        A paused worker may start the request only when it resumes, so the
        timeout counts from the worker's next answer to any call.
        """
        session = reservation.session
        while (answered_at := session.answered_after(sent_at)) is None:
            if (
                self._sessions.by_id.get(session.worker.worker_id)
                is not session
            ):
                return
            await self._node.clock.sleep(_ANSWER_POLL_S)
        margin_s = self._node.cfg.clock_margin_s
        ended_at = answered_at + timeout_ms / _MS_PER_S + margin_s
        remaining_s = ended_at - self._node.clock.monotonic()
        await self._node.clock.sleep(max(0.0, remaining_s))
        self._release_and_wake(reservation)
