"""Client for the operators' interface of a list of instances."""

import asyncio
import enum
import typing as t

import grpc
import grpc.aio

from amaranthflow import exceptions
from amaranthflow import verdict as verdict_lib
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import operators_pb2_grpc
from amaranthflow_schema.v1 import peer_pb2

from . import errors

VERDICT_KEY = 'amaranthflow-verdict'
RETRY_AFTER_KEY = 'amaranthflow-retry-after-ms'

_CONNECT_TIMEOUT_S = 2.0
_MAX_REPLY_BYTES = 64 * 1024 * 1024
_CHANNEL_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', _MAX_REPLY_BYTES),
)

# These codes are returned only before a request has any effect.
_REFUSALS = frozenset(
    (
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.NOT_FOUND,
        grpc.StatusCode.ALREADY_EXISTS,
        grpc.StatusCode.PERMISSION_DENIED,
        grpc.StatusCode.UNAUTHENTICATED,
        grpc.StatusCode.FAILED_PRECONDITION,
        grpc.StatusCode.UNIMPLEMENTED,
    )
)


class _Effect(enum.Enum):
    """Whether a call only reads or also writes."""

    READS = enum.auto()
    WRITES = enum.auto()


class Client:
    """Calls the first of several instances that accepts a request.

    A read is tried on the next instance after any failure but a refusal. A
    write is tried on the next one only if the failed attempt certainly did
    not run. If all instances refuse a write, the first refusal is returned.

    :param addresses: "IP:PORT" of the instances' peer interfaces.
    :param timeout_s: maximum wait for the reply of one instance.
    """

    def __init__(self, *, addresses: t.Sequence[str], timeout_s: float):
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s

    def review(
        self, req: operators_pb2.ChangeRequest
    ) -> operators_pb2.ChangeReply:
        """Has a change checked without sending it."""
        return self._call('ReviewChange', req, _Effect.READS)

    def send(
        self, req: operators_pb2.ChangeRequest
    ) -> operators_pb2.ChangeReply:
        """Sends a change. Repeating it is harmless due to its change id."""
        return self._call('SendChange', req, _Effect.WRITES)

    def show(
        self, req: operators_pb2.ShowConfigurationRequest
    ) -> operators_pb2.ShowConfigurationReply:
        """Reads the configuration in force and booked changes."""
        return self._call('ShowConfiguration', req, _Effect.READS)

    def submit(
        self, req: operators_pb2.SubmitJobRequest
    ) -> operators_pb2.JobReply:
        """Submits a job. Repeating it is harmless due to its job id."""
        return self._call('SubmitJob', req, _Effect.WRITES)

    def cancel(self, req: operators_pb2.JobRequest) -> operators_pb2.JobReply:
        """Cancels a job."""
        return self._call('CancelJob', req, _Effect.WRITES)

    def job(self, req: operators_pb2.JobRequest) -> operators_pb2.JobReply:
        """Reads one job."""
        return self._call('ShowJob', req, _Effect.READS)

    def jobs(
        self, req: operators_pb2.ListJobsRequest
    ) -> operators_pb2.ListJobsReply:
        """Lists the jobs of a tenant."""
        return self._call('ListJobs', req, _Effect.READS)

    def status(self) -> operators_pb2.StatusReply:
        """Reads the status of the first instance that replies."""
        req = operators_pb2.StatusRequest()
        return self._call('Status', req, _Effect.READS)

    def explain(
        self, req: operators_pb2.ExplainRequest
    ) -> operators_pb2.ExplainReply:
        """Reads the decisions about a job, request, worker or rack."""
        return self._call('Explain', req, _Effect.READS)

    def latency(
        self, req: operators_pb2.LatencyRequest
    ) -> operators_pb2.LatencyReply:
        """Reads latency percentiles."""
        return self._call('Latency', req, _Effect.READS)

    def _call(self, method: str, req: t.Any, effect: _Effect) -> t.Any:
        return asyncio.run(self._call_any(method, req, effect))

    async def _call_any(
        self, method: str, req: t.Any, effect: _Effect
    ) -> t.Any:
        failures = []
        refusal = None
        for address in self._addresses:
            try:
                reply = await self._call_one(address, method, req)
                if effect is _Effect.READS or not _is_refusal(reply):
                    return reply
                refusal = refusal or reply
            except exceptions.RequestRefused:
                raise
            except exceptions.RequestUncertain as exc:
                if effect is _Effect.WRITES:
                    raise
                failures.append(exc)
            except exceptions.AmaranthflowError as exc:
                failures.append(exc)
        if refusal is not None:
            return refusal
        raise _unreachable(failures)

    async def _call_one(self, address: str, method: str, req: t.Any) -> t.Any:
        async with grpc.aio.insecure_channel(
            address, options=_CHANNEL_OPTIONS
        ) as channel:
            await _connect(channel, address)
            stub = operators_pb2_grpc.OperatorsStub(channel)
            try:
                return await getattr(stub, method)(
                    req, timeout=self._timeout_s
                )
            except grpc.aio.AioRpcError as exc:
                raise _error_from_status(address, exc) from exc


def _is_refusal(reply: t.Any) -> bool:
    """Returns whether a reply is a refusal, permanent or temporary."""
    refused = not reply.accepted
    return refused and reply.verdict == peer_pb2.RUN_VERDICT_NOT_RUN


async def _connect(channel: grpc.aio.Channel, address: str) -> None:
    """Waits until the channel is connected.

    A failure here means that nothing was sent, unlike one of a later call.

    :raises Unreachable: the instance refuses connections or does not answer.
    """
    state = channel.get_state(try_to_connect=True)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            while state is not grpc.ChannelConnectivity.READY:
                if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                    raise errors.Unreachable(f'{address} refuses connections')
                await channel.wait_for_state_change(state)
                state = channel.get_state()
    except TimeoutError:
        raise errors.Unreachable(f'{address} does not answer') from None


def _error_from_status(
    address: str, exc: grpc.aio.AioRpcError
) -> exceptions.AmaranthflowError:
    """Builds the error for a failed call on an open connection."""
    metadata = dict(exc.trailing_metadata() or ())
    retry_after_ms = _retry_after_ms(metadata)
    code = exc.code()
    reason = f'{address}: {exc.details() or code.name}'
    if code in _REFUSALS:
        return exceptions.RequestRefused(reason, retry_after_ms=retry_after_ms)
    not_run = verdict_lib.Verdict.NOT_RUN
    if metadata.get(VERDICT_KEY) == not_run.name:
        return exceptions.NotReady(reason, retry_after_ms=retry_after_ms)
    return exceptions.RequestUncertain(reason, retry_after_ms=retry_after_ms)


def _retry_after_ms(metadata: t.Mapping[str, str]) -> int | None:
    text = metadata.get(RETRY_AFTER_KEY, '')
    return int(text) if text.isdecimal() else None


def _unreachable(
    failures: t.Sequence[exceptions.AmaranthflowError],
) -> errors.Unreachable:
    reasons = '; '.join(exc.reason for exc in failures)
    waits = [
        exc.retry_after_ms
        for exc in failures
        if exc.retry_after_ms is not None
    ]
    return errors.Unreachable(
        f'no instance accepted it: {reasons}',
        retry_after_ms=min(waits, default=None),
    )
