"""Implements the operators' gRPC service."""

import asyncio
import typing as t

from google.protobuf import message as protobuf_message
from google.protobuf import message_factory
import grpc.aio

from amaranthflow import configuration
from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import validation
from amaranthflow import verdict
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import operators_pb2_grpc
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import logs
from . import node as node_lib
from . import submissions as submissions_lib
from . import worker_sessions as sessions_lib

_RECORD_TIMEOUT_S = 3.0
_PEER_TIMEOUT_S = 1.0
_MAX_CONCURRENT_PEERS = 64
_MAX_PEER_BYTES = 64 * 1024
_PEER_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_PEER_BYTES),
    ('grpc.enable_http_proxy', 0),
)
_ONE_INSTANCE = 'one-instance'
_MAX_CHANGE_BYTES = 16 * 1024


class OperatorService(operators_pb2_grpc.OperatorsServicer):
    """Implements the ``Operators`` service of the schema."""

    def __init__(
        self,
        *,
        node: node_lib.Node,
        sessions: sessions_lib.WorkerSessions,
        submissions: submissions_lib.Submissions,
    ):
        self._node = node
        self._sessions = sessions
        self._submissions = submissions

    async def ReviewChange(
        self,
        request: operators_pb2.ChangeRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.ChangeReply:
        """Checks a change without writing it."""
        result = self._node.state.config.check(
            request.change, self._node.now_ms()
        )
        return operators_pb2.ChangeReply(
            verdict=verdict.Verdict.NOT_RUN.value,
            accepted=result.accepted,
            version=result.version,
            reason=result.reason,
        )

    async def SendChange(
        self,
        request: operators_pb2.ChangeRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.ChangeReply:
        """Writes a change to the log and returns its result."""
        record = records_pb2.Record(change=request.change)
        try:
            _check_change(request.change)
            self._check_writable()
            result = await self._node.journal.write(record, _RECORD_TIMEOUT_S)
        except exceptions.AmaranthflowError as exc:
            return operators_pb2.ChangeReply(
                verdict=exc.verdict.value, reason=exc.reason
            )
        self._explain_change(request.change, result)
        found = verdict.Verdict.COMPLETED
        if not result.accepted:
            found = verdict.Verdict.NOT_RUN
        return operators_pb2.ChangeReply(
            verdict=found.value,
            accepted=result.accepted,
            version=result.version,
            reason=result.reason,
        )

    async def ShowConfiguration(
        self,
        request: operators_pb2.ShowConfigurationRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.ShowConfigurationReply:
        """Returns the configuration in force and the booked changes."""
        now_ms = self._node.now_ms()
        reply = operators_pb2.ShowConfigurationReply()
        for timeline in self._node.state.config.timelines():
            if request.key in ('', timeline.key):
                reply.entries.append(_configuration_entry(timeline, now_ms))
        return reply

    async def SubmitJob(
        self,
        request: operators_pb2.SubmitJobRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.JobReply:
        """Accepts a batch job."""
        try:
            _check_known_fields(request.job)
            return await self._submissions.submit(request.job)
        except exceptions.AmaranthflowError as exc:
            return _job_error(request.job.job_id, exc)

    async def CancelJob(
        self,
        request: operators_pb2.JobRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.JobReply:
        """Cancels a batch job."""
        try:
            return await self._submissions.cancel(
                request.tenant_id, request.job_id
            )
        except exceptions.AmaranthflowError as exc:
            return _job_error(request.job_id, exc)

    async def ShowJob(
        self,
        request: operators_pb2.JobRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.JobReply:
        """Returns the state of a batch job."""
        try:
            return self._submissions.show(request.tenant_id, request.job_id)
        except exceptions.AmaranthflowError as exc:
            return _job_error(request.job_id, exc)

    async def ListJobs(
        self,
        request: operators_pb2.ListJobsRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.ListJobsReply:
        """Lists the newest jobs."""
        return self._submissions.list(request.tenant_id, request.limit)

    async def Status(
        self,
        request: operators_pb2.StatusRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.StatusReply:
        """Returns the state of this instance and the owners of racks."""
        state = self._node.state
        members = state.members.members.values()
        return operators_pb2.StatusReply(
            instance_id=self._node.member.instance,
            incarnation=self._node.member.incarnation,
            zone_id=self._node.cfg.zone,
            ready=self._node.ready and self._node.joined,
            draining=self._node.draining,
            log_reachable=self._node.follower.reachable,
            applied_offset=state.next_offset,
            members=sorted(str(info.member) for info in members),
            racks=self._racks(),
            jobs_waiting=len(state.jobs.waiting),
            jobs_running=len(state.jobs.running),
            load=self._sessions.load(),
        )

    async def Explain(
        self,
        request: operators_pb2.ExplainRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.ExplainReply:
        """Lists the decisions about a job, a worker or a rack.

        Each instance keeps its own decisions, so the peers are queried too,
        unless the call's metadata limits it to one instance.
        """
        found = self._node.decisions.explain(
            ids.TenantId(request.tenant_id), request.subject_id
        )
        entries = [self._explanation(decision) for decision in found]
        metadata = dict(context.invocation_metadata() or ())
        if _ONE_INSTANCE not in metadata:
            entries += await self._query_peers(request)
        entries.sort(key=lambda entry: entry.at_ms)
        return operators_pb2.ExplainReply(entries=entries)

    async def Latency(
        self,
        request: operators_pb2.LatencyRequest,
        context: grpc.aio.ServicerContext,
    ) -> operators_pb2.LatencyReply:
        """Returns the latency percentiles measured by this instance."""
        rows = self._node.latency.rows(ids.TenantId(request.tenant_id))
        return operators_pb2.LatencyReply(rows=rows)

    def _check_writable(self) -> None:
        if not self._node.ready:
            raise exceptions.NotReady('the instance is not ready')
        if not self._node.journal.reachable:
            raise exceptions.NotReady('the log does not answer')

    def _explain_change(self, change: world_pb2.Change, result) -> None:
        kind = decisions.DecisionKind.REFUSED
        if result.accepted:
            kind = decisions.DecisionKind.ACCEPTED
        reason = result.reason or f'version {result.version}'
        self._node.record_decision(change.key, kind, reason)

    def _racks(self) -> list[operators_pb2.RackStatus]:
        state = self._node.state
        workers = state.config.bodies('worker', self._node.now_ms()).values()
        counts: dict[str, int] = {}
        for body in workers:
            counts[body.rack_id] = counts.get(body.rack_id, 0) + 1
        found = []
        for rack_id in sorted(counts | dict.fromkeys(state.racks.holdings, 0)):
            holding = state.racks.holdings.get(ids.RackId(rack_id))
            found.append(
                operators_pb2.RackStatus(
                    rack_id=rack_id,
                    owner=holding.owner.instance if holding else '',
                    epoch=holding.epoch if holding else 0,
                    right=self._ownership_state(rack_id, holding),
                    workers=counts.get(rack_id, 0),
                )
            )
        return found

    def _ownership_state(self, rack_id, holding) -> str:
        if holding is None or holding.released:
            return 'unowned'
        if holding.owner != self._node.member:
            return 'remote'
        admits = self._node.ownership.admits(ids.RackId(rack_id))
        return 'serving' if admits else 'waiting'

    def _explanation(
        self, decision: decisions.Decision
    ) -> operators_pb2.Explanation:
        return operators_pb2.Explanation(
            at_ms=decision.at_ms,
            instance_id=self._node.member.instance,
            decision=decision.kind.value,
            reason=decision.reason,
        )

    async def _query_peers(
        self, request: operators_pb2.ExplainRequest
    ) -> list[operators_pb2.Explanation]:
        """Queries all peers concurrently; skips late and failing ones."""
        own = self._node.member.instance
        members = self._node.state.members.members
        limit = asyncio.Semaphore(_MAX_CONCURRENT_PEERS)
        queries = {
            asyncio.create_task(
                self._query_peer(
                    limit, instance_id, info.peer_address, request
                ),
                name=f'explain {instance_id}',
            )
            for instance_id, info in members.items()
            if instance_id != own
        }
        if not queries:
            return []
        timer = asyncio.ensure_future(self._node.clock.sleep(_PEER_TIMEOUT_S))
        try:
            await _wait_all(queries, timer)
            done = [task for task in queries if task.done()]
            return [entry for task in done for entry in task.result()]
        finally:
            for task in (*queries, timer):
                task.cancel()

    async def _query_peer(
        self,
        limit: asyncio.Semaphore,
        instance_id: ids.InstanceId,
        address: str,
        request: operators_pb2.ExplainRequest,
    ) -> t.Sequence[operators_pb2.Explanation]:
        channel = grpc.aio.insecure_channel(address, options=_PEER_OPTIONS)
        try:
            async with limit, channel:
                stub = operators_pb2_grpc.OperatorsStub(channel)
                reply = await stub.Explain(
                    request,
                    timeout=_PEER_TIMEOUT_S,
                    metadata=((_ONE_INSTANCE, 'true'),),
                )
        except grpc.aio.AioRpcError as exc:
            logs.log_event(
                'no explanation from peer',
                peer=instance_id,
                reason=exc.code().name,
            )
            return ()
        return reply.entries


async def _wait_all(
    queries: set[asyncio.Future], timer: asyncio.Future
) -> None:
    """Waits until all queries or the timer are done."""
    pending = set(queries)
    while pending and not timer.done():
        done, _ = await asyncio.wait(
            pending | {timer}, return_when=asyncio.FIRST_COMPLETED
        )
        pending -= done


def add_to_server(service: OperatorService, server: grpc.aio.Server) -> None:
    """Adds the service; undecodable requests abort with INVALID_ARGUMENT."""
    descriptor = operators_pb2.DESCRIPTOR.services_by_name['Operators']
    handlers = {
        method.name: _handler(service, method) for method in descriptor.methods
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(descriptor.full_name, handlers),)
    )


def _handler(service: OperatorService, method) -> grpc.RpcMethodHandler:
    message = message_factory.GetMessageClass(method.input_type)
    method_impl = getattr(service, method.name)

    async def handle(
        data: bytes, context: grpc.aio.ServicerContext
    ) -> protobuf_message.Message:
        try:
            request = message.FromString(data)
        except protobuf_message.DecodeError:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f'not run: the request is not a {message.DESCRIPTOR.name}',
            )
        return await method_impl(request, context)

    reply = message_factory.GetMessageClass(method.output_type)
    return grpc.unary_unary_rpc_method_handler(
        handle, response_serializer=reply.SerializeToString
    )


def _check_change(change: world_pb2.Change) -> None:
    """Raises RequestRefused for a change that is invalid in any state."""
    if change.ByteSize() > _MAX_CHANGE_BYTES:
        raise exceptions.RequestRefused(
            f'the change is over {_MAX_CHANGE_BYTES} bytes'
        )
    _check_known_fields(change)
    validation.check_change(change)


def _check_known_fields(sent: protobuf_message.Message) -> None:
    """Raises RequestRefused for fields unknown to this schema version."""
    known = type(sent)()
    known.CopyFrom(sent)
    known.DiscardUnknownFields()
    if known.ByteSize() != sent.ByteSize():
        raise exceptions.RequestRefused('the request has an unknown field')


def _configuration_entry(
    timeline: configuration.Timeline, now_ms: int
) -> operators_pb2.ConfigurationEntry:
    entry = operators_pb2.ConfigurationEntry(
        key=timeline.key, version=timeline.version
    )
    version = timeline.in_force(now_ms)
    if version is not None:
        entry.in_force.CopyFrom(version.change)
    entry.booked.extend(v.change for v in timeline.booked(now_ms))
    return entry


def _job_error(
    job_id: str, exc: exceptions.AmaranthflowError
) -> operators_pb2.JobReply:
    return operators_pb2.JobReply(
        verdict=exc.verdict.value,
        reason=exc.reason,
        job_id=job_id,
        phase='unknown',
    )
