"""Stand-in for the operators' interface of one instance, for tests.

Changes are applied to a real configuration; replies about jobs, decisions
and latency are set by the test.
"""

from concurrent import futures
import dataclasses
import enum
import threading
import typing as t

import grpc

from amaranthflow import configuration
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import operators_pb2_grpc
from amaranthflow_schema.v1 import peer_pb2

_VERDICT_KEY = 'amaranthflow-verdict'
_RETRY_AFTER_KEY = 'amaranthflow-retry-after-ms'
_THREADS = 4


class Fault(enum.Enum):
    """Faults of calls."""

    NONE = enum.auto()
    NOT_READY = enum.auto()
    REFUSES = enum.auto()
    LOST_REPLY = enum.auto()
    SILENT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A received call."""

    method: str
    request: t.Any


class _Servicer(operators_pb2_grpc.OperatorsServicer):
    def __init__(self, standin: 'OperatorsStandin'):
        self._standin = standin

    def ReviewChange(self, request, context):
        return self._standin.answer('ReviewChange', request, context)

    def SendChange(self, request, context):
        return self._standin.answer('SendChange', request, context)

    def ShowConfiguration(self, request, context):
        return self._standin.answer('ShowConfiguration', request, context)

    def SubmitJob(self, request, context):
        return self._standin.answer('SubmitJob', request, context)

    def CancelJob(self, request, context):
        return self._standin.answer('CancelJob', request, context)

    def ShowJob(self, request, context):
        return self._standin.answer('ShowJob', request, context)

    def ListJobs(self, request, context):
        return self._standin.answer('ListJobs', request, context)

    def Status(self, request, context):
        return self._standin.answer('Status', request, context)

    def Explain(self, request, context):
        return self._standin.answer('Explain', request, context)

    def Latency(self, request, context):
        return self._standin.answer('Latency', request, context)


class OperatorsStandin:
    """Serves on an ephemeral loopback port in its own threads.

    :ivar address: ``IP:PORT`` of the listener.
    :ivar replies: replies by method; they take precedence over those of the
        configuration.
    :ivar received: calls in order of arrival.
    """

    def __init__(self, *, instance_id: str, now_ms: int):
        self.instance_id = instance_id
        self.fault = Fault.NONE
        self.retry_after_ms = 0
        self.received: list[Received] = []
        self.replies: dict[str, t.Any] = {
            'Status': operators_pb2.StatusReply(
                instance_id=instance_id, ready=True
            )
        }
        self.configuration = configuration.Configuration()
        self._now_ms = now_ms
        self._stopping = threading.Event()
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=_THREADS)
        )
        operators_pb2_grpc.add_OperatorsServicer_to_server(
            _Servicer(self), self._server
        )
        port = self._server.add_insecure_port('127.0.0.1:0')
        self.address = f'127.0.0.1:{port}'

    def start(self) -> None:
        """Starts the server."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port and all connections."""
        self._stopping.set()
        self._server.stop(grace=None).wait()

    def answer(self, method: str, request: t.Any, context) -> t.Any:
        """Answers one call, subject to the active fault."""
        self.received.append(Received(method=method, request=request))
        if self.fault is Fault.NOT_READY:
            context.set_trailing_metadata(
                (
                    (_VERDICT_KEY, 'NOT_RUN'),
                    (_RETRY_AFTER_KEY, str(self.retry_after_ms)),
                )
            )
            context.abort(grpc.StatusCode.UNAVAILABLE, 'draining')
        if self.fault is Fault.REFUSES:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, 'wrong')
        reply = self._reply(method, request)
        if self.fault is Fault.LOST_REPLY:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'reset')
        if self.fault is Fault.SILENT:
            self._stopping.wait()
        return reply

    def _reply(self, method: str, request: t.Any) -> t.Any:
        if method in self.replies:
            return self.replies[method]
        if method == 'ReviewChange':
            check = self.configuration.check
            return _change_reply(check(request.change, self._now_ms))
        if method == 'SendChange':
            apply = self.configuration.apply
            return _change_reply(apply(request.change, self._now_ms))
        if method == 'ShowConfiguration':
            return self._shown(request.key)
        raise NotImplementedError(method)

    def _shown(self, key: str) -> operators_pb2.ShowConfigurationReply:
        reply = operators_pb2.ShowConfigurationReply()
        for timeline in self.configuration.timelines():
            if key in ('', timeline.key):
                entry = reply.entries.add(
                    key=timeline.key, version=timeline.version
                )
                version = timeline.in_force(self._now_ms)
                if version is not None:
                    entry.in_force.CopyFrom(version.change)
                entry.booked.extend(
                    v.change for v in timeline.booked(self._now_ms)
                )
        return reply


def _change_reply(result) -> operators_pb2.ChangeReply:
    verdict = peer_pb2.RUN_VERDICT_NOT_RUN
    if result.accepted:
        verdict = peer_pb2.RUN_VERDICT_COMPLETED
    return operators_pb2.ChangeReply(
        verdict=verdict,
        accepted=result.accepted,
        version=result.version,
        reason=result.reason,
    )
