"""Routes callers' requests to owners with free slots, with retries."""

import dataclasses
import hashlib
import typing as t

from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import results
from amaranthflow import retry
from amaranthflow import verdict
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import dispatch
from . import metrics
from . import node as node_lib
from . import peers as peers_lib
from . import worker_sessions as sessions_lib

_MAX_ATTEMPTS = 6
_CLAIM_TIMEOUT_S = 1.0
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request as received from a caller.

    :ivar timeout_ms: 0 for the service's own timeout, which is also the
        maximum.
    """

    request_id: ids.RequestId
    tenant_id: ids.TenantId
    service_id: ids.ServiceId
    payload: bytes
    idempotent: bool
    timeout_ms: int = 0


class _Target(t.Protocol):
    """An owner that can run a request."""

    async def execute(
        self, req: peer_pb2.ExecuteRequest
    ) -> peer_pb2.ExecuteReply:
        """Runs the request."""


class Router:
    """Serves callers' latency-critical requests.

    Of two random owners the one with more free slots is chosen. A request is
    retried only if it is idempotent or certainly did not run, within its
    deadline and its tenant's retry budget. A non-idempotent request is
    claimed in the log first, so that it runs at most once even if the caller
    sends it several times or to several instances.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        peers: peers_lib.Peers,
        sessions: sessions_lib.WorkerSessions,
        dispatcher: dispatch.Dispatcher,
    ):
        self._node = node
        self._peers = peers
        self._sessions = sessions
        self._dispatcher = dispatcher
        self._policy = retry.RetryPolicy(
            backoff=retry.Backoff(rng=node.rng), max_attempts=_MAX_ATTEMPTS
        )
        self._tenants: set[str] = set()
        self.budgets = retry.RetryBudgets()

    def on_config(self) -> None:
        """Applies the tenants' retry budgets."""
        bodies = self._node.state.config.bodies('tenant', self._node.now_ms())
        for tenant in bodies.values():
            self.budgets.configure(tenant)
        for tenant_id in self._tenants - bodies.keys():
            self.budgets.remove_tenant(ids.TenantId(tenant_id))
        self._tenants = set(bodies)

    async def call(self, req: CallerRequest) -> peer_pb2.ExecuteReply:
        """Runs a request and returns the complete reply.

        :raises AmaranthflowError: with the verdict for the caller.
        """
        service = self._check(req)
        started_at = self._node.clock.monotonic()
        if not req.idempotent:
            await self._claim(req)
        try:
            reply = await self._run_attempts(req, service, started_at)
        except exceptions.AmaranthflowError as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN and not req.idempotent:
                await self._release_claim(req)
            self._count_failure(req, service, exc)
            raise
        self._count_success(req, service, started_at)
        return reply

    def _check(self, req: CallerRequest) -> world_pb2.Service:
        if self._node.draining:
            raise exceptions.NotReady('the instance is draining')
        if not self._node.ready:
            raise exceptions.NotReady('the instance is not ready')
        version = self._node.state.config.in_force(
            f'service/{req.service_id}', self._node.now_ms()
        )
        # Do not disclose whether another tenant has such a service.
        if version is None or (
            version.change.service.tenant_id != req.tenant_id
        ):
            raise exceptions.RequestRefused('unknown service')
        return version.change.service

    async def _run_attempts(
        self,
        req: CallerRequest,
        service: world_pb2.Service,
        started_at: float,
    ) -> peer_pb2.ExecuteReply:
        """Attempts a request until it succeeds or may not be retried."""
        timeout_ms = min(
            req.timeout_ms or service.timeout_ms, self._max_timeout_ms()
        )
        timeout_ms = min(timeout_ms, service.timeout_ms)
        deadline = started_at + timeout_ms / _MS_PER_S
        budget = self.budgets.for_tenant(req.tenant_id)
        budget.first_attempt()
        tried: set[ids.InstanceId] = set()
        may_have_run = False
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._attempt(req, attempt, deadline, tried)
            except exceptions.AmaranthflowError as exc:
                failure = exc
            may_have_run |= failure.verdict is verdict.Verdict.MAY_HAVE_RUN
            now = self._node.clock.monotonic()
            decision = self._policy.decide(
                verdict=failure.verdict,
                idempotent=req.idempotent,
                attempt=attempt,
                deadline_left_ms=(deadline - now) * _MS_PER_S,
                budget=budget,
                now_ms=self._node.clock.wall_ms(),
            )
            self._explain(req, attempt, failure, decision)
            if not decision.retry:
                raise _final_error(failure, may_have_run, decision)
            self._count(metrics.Metric.RETRIES, req, service)
            await self._node.clock.sleep(decision.delay_ms / _MS_PER_S)

    async def _attempt(
        self,
        req: CallerRequest,
        attempt: int,
        deadline: float,
        tried: set[ids.InstanceId],
    ) -> peer_pb2.ExecuteReply:
        target, link = self._choose_owner(tried)
        remaining_ms = int(
            (deadline - self._node.clock.monotonic()) * _MS_PER_S
        )
        if remaining_ms <= 0:
            raise exceptions.Overloaded('the deadline has passed')
        forwarded = peer_pb2.ExecuteRequest(
            request_id=req.request_id,
            attempt=attempt,
            tenant_id=req.tenant_id,
            service_id=req.service_id,
            payload=req.payload,
            timeout_ms=remaining_ms,
            idempotent=req.idempotent,
        )
        if link is not None and link.load.free_slots:
            link.load.free_slots -= 1
        return _validate_reply(await target.execute(forwarded))

    def _choose_owner(
        self, tried: set[ids.InstanceId]
    ) -> tuple[_Target, peers_lib.PeerLink | None]:
        """Chooses an owner, preferring those that were not tried yet."""
        loads = self._loads()
        untried = [i for i in loads if i not in tried]
        if not loads:
            raise exceptions.NotReady(
                'no owner of workers is connected', retry_after_ms=500
            )
        if not untried:
            tried.clear()
            untried = list(loads)
        pair = self._node.rng.sample(untried, min(2, len(untried)))
        best = max(pair, key=lambda i: _spare_slots(loads[i]))
        tried.add(best)
        if best == self._node.member.instance:
            return self._dispatcher, None
        return self._peers.links[best], self._peers.links[best]

    def _loads(self) -> dict[ids.InstanceId, peer_pb2.LoadSummary]:
        loads = {
            instance_id: link.load
            for instance_id, link in self._peers.links.items()
            if link.connected and not link.draining and link.load.total_slots
        }
        own = self._sessions.load()
        if own.total_slots:
            loads[self._node.member.instance] = own
        return loads

    def _max_timeout_ms(self) -> int:
        return int(self._node.cfg.task_lease_s * _MS_PER_S)

    async def _claim(self, req: CallerRequest) -> None:
        claimed = records_pb2.RequestClaimed(
            tenant_id=req.tenant_id, request_id=req.request_id
        )
        record = records_pb2.Record(request_claimed=claimed)
        if not self._node.journal.reachable:
            raise exceptions.NotReady(
                'the log does not answer', retry_after_ms=1000
            )
        try:
            result = await self._node.journal.write(record, _CLAIM_TIMEOUT_S)
        except exceptions.RequestUncertain as exc:
            # Nothing was sent to a worker, but the request id may be used.
            raise exceptions.NotReady(
                'the log has not confirmed the claim', retry_after_ms=1000
            ) from exc
        _check_claim(result)

    async def _release_claim(self, req: CallerRequest) -> None:
        """Allows the caller to send the same request again."""
        released = records_pb2.RequestReleased(
            tenant_id=req.tenant_id, request_id=req.request_id
        )
        record = records_pb2.Record(request_released=released)
        try:
            await self._node.journal.write(record, _CLAIM_TIMEOUT_S)
        except exceptions.AmaranthflowError:
            return

    def _explain(
        self,
        req: CallerRequest,
        attempt: int,
        failure: exceptions.AmaranthflowError,
        decision: retry.RetryDecision,
    ) -> None:
        """Records why an attempt failed; successes are not recorded."""
        kind = decisions.DecisionKind.FAILED
        if decision.retry:
            kind = decisions.DecisionKind.RETRIED
        reason = (
            f'attempt {attempt} {failure.verdict.label}: {failure.reason};'
            f' {decision.reason.value}'
        )
        self._node.record_decision(req.request_id, kind, reason, req.tenant_id)

    def _count(self, metric: metrics.Metric, req, service) -> None:
        self._node.metrics.count(
            metric, tenant_id=req.tenant_id, task_class=service.task_class
        )

    def _count_failure(self, req, service, exc) -> None:
        metric = metrics.Metric.REQUESTS_NOT_RUN
        if exc.verdict is verdict.Verdict.MAY_HAVE_RUN:
            metric = metrics.Metric.REQUESTS_MAY_HAVE_RUN
        self._count(metric, req, service)

    def _count_success(self, req, service, started_at: float) -> None:
        elapsed_s = self._node.clock.monotonic() - started_at
        self._count(metrics.Metric.REQUESTS_COMPLETED, req, service)
        self._node.latency.record(
            req.tenant_id, service.task_class, elapsed_s * 1e6
        )
        self._node.metrics.timing(
            metrics.Metric.REQUEST_MS,
            elapsed_s * _MS_PER_S,
            tenant_id=req.tenant_id,
            task_class=service.task_class,
        )


def _spare_slots(load: peer_pb2.LoadSummary) -> int:
    """Returns the free slots minus the requests that wait for one."""
    return load.free_slots - load.queued


def _check_claim(result: results.Result) -> None:
    if not result.accepted:
        raise exceptions.RequestUncertain(result.reason)


def _validate_reply(reply: peer_pb2.ExecuteReply) -> peer_pb2.ExecuteReply:
    """Returns a complete reply; raises the error that the owner reported."""
    retry_after_ms = reply.retry_after_ms or None
    if reply.verdict == verdict.Verdict.NOT_RUN.value:
        raise exceptions.Overloaded(
            reply.reason, retry_after_ms=retry_after_ms
        )
    if reply.verdict != verdict.Verdict.COMPLETED.value:
        raise exceptions.RequestUncertain(reply.reason)
    if hashlib.sha256(reply.payload).hexdigest() != reply.sha256:
        raise exceptions.RequestUncertain('the reply is damaged')
    return reply


def _final_error(
    failure: exceptions.AmaranthflowError,
    may_have_run: bool,
    decision: retry.RetryDecision,
) -> exceptions.AmaranthflowError:
    """Returns the error for the caller, considering all attempts.

    If any attempt may have run, the request may have run.
    """
    if not may_have_run:
        return failure
    if failure.verdict is verdict.Verdict.MAY_HAVE_RUN:
        return failure
    return exceptions.RequestUncertain(
        f'an earlier attempt may have run; then: {failure.reason}'
        f' ({decision.reason.value})'
    )
