"""gRPC channels to other instances."""

import asyncio
import dataclasses
import typing as t

import grpc.aio

from amaranthflow import exceptions
from amaranthflow import intake
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import peer_pb2_grpc

from . import settings

_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
)
_CLIENT_OPTIONS = (
    *_OPTIONS,
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)

_MIN_RECEIVED_BYTES = 256 * 1024  # of heartbeats, which name workers
_ENVELOPE_BYTES = 64 * 1024
_MAX_STREAMS = 1_000  # calls of one connection at a time; further ones wait
_HANDSHAKE_MS = 5_000
# Without a call. Instances keep a stream of heartbeats open.
_IDLE_MS = 10_000
# Bytes of a call that are received before its message is wanted.
WINDOW_BYTES = 16 * 1024
MAX_METADATA_BYTES = 8 * 1024
# Of a connection whose client reads nothing: 10,000 acknowledgements of pings
# and settings, gRPC's limit, and what was read at once.
_CONN_BYTES = 900_000
_READ_BYTES = 64 * 1024  # at once from a connection
_PENDING_CALL_BYTES = 48 * 1024  # a call that no handler has begun
_DEFAULT_CONNS = 1_024
_DEFAULT_HELD_BYTES = 64_000_000
# Begins the details of a status if the call has not run.
NOT_RUN = 'not run: '

_Reply = t.TypeVar('_Reply')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits of the server at the address for other instances.

    :ivar message_bytes: largest message; one with the largest body fits.
    :ivar connections: open connections; further ones are closed.
    :ivar held_bytes: what all calls together may hold.
    """

    message_bytes: int
    connections: int = _DEFAULT_CONNS
    held_bytes: int = _DEFAULT_HELD_BYTES

    @classmethod
    def from_settings(cls, cfg: settings.Settings) -> 'ServerLimits':
        """Returns the limits that follow from the machine."""
        return cls(
            message_bytes=_message_bytes(cfg.max_body_bytes),
            connections=intake.max_conns(
                cfg.memory_mb, cfg.max_descriptors, _CONN_BYTES
            ),
            held_bytes=intake.share_of(cfg.memory_mb),
        )


def _message_bytes(max_body_bytes: int) -> int:
    return max(_MIN_RECEIVED_BYTES, max_body_bytes + _ENVELOPE_BYTES)


def server_options(limits: ServerLimits) -> tuple[tuple[str, int], ...]:
    """Returns server options for some limits."""
    pending = limits.held_bytes // _PENDING_CALL_BYTES
    return (
        ('grpc.max_receive_message_length', limits.message_bytes),
        ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
        ('grpc.so_reuseport', 0),
        ('grpc.max_allowed_incoming_connections', limits.connections),
        ('grpc.max_concurrent_streams', _MAX_STREAMS),
        ('grpc.server.max_pending_requests', pending),
        ('grpc.server.max_pending_requests_hard_limit', pending),
        ('grpc.server_handshake_timeout_ms', _HANDSHAKE_MS),
        ('grpc.max_connection_idle_ms', _IDLE_MS),
        ('grpc.max_metadata_size', MAX_METADATA_BYTES),
        ('grpc.absolute_max_metadata_size', MAX_METADATA_BYTES),
        # Each further ping would add a GOAWAY for a client that reads nothing.
        ('grpc.http2.max_ping_strikes', 0),
        # Else the window of a call grows to megabytes.
        ('grpc.http2.bdp_probe', 0),
        ('grpc.http2.lookahead_bytes', WINDOW_BYTES),
        ('grpc.experimental.tcp_max_read_chunk_size', _READ_BYTES),
    )


class PeerChannel(t.Protocol):
    """One connection to a peer.

    Every call raises RequestUncertain if there is no reply, also when the
    channel is closed during the call, and Overloaded if the peer refused it.
    """

    async def heartbeat(
        self, req: peer_pb2.HeartbeatRequest, timeout_s: float
    ) -> peer_pb2.HeartbeatReply:
        """Sends this instance's state and returns the peer's."""

    async def execute(
        self, req: peer_pb2.ExecuteRequest, timeout_s: float
    ) -> peer_pb2.ExecuteReply:
        """Runs a request on a worker of the peer."""

    async def fetch_state(
        self, req: peer_pb2.FetchStateRequest, timeout_s: float
    ) -> bytes:
        """Returns the peer's state as a serialized snapshot."""

    async def close(self) -> None:
        """Ends pending calls and closes the connection."""


class GrpcChannel:
    """Implements ``PeerChannel`` over gRPC."""

    def __init__(self, *, address: str):
        self._channel = grpc.aio.insecure_channel(
            address, options=_CLIENT_OPTIONS
        )
        self._stub = peer_pb2_grpc.PeerStub(self._channel)
        self._stream: grpc.aio.StreamStreamCall | None = None
        self._closed = False

    async def heartbeat(
        self, req: peer_pb2.HeartbeatRequest, timeout_s: float
    ) -> peer_pb2.HeartbeatReply:
        """Sends this instance's state and returns the peer's.

        All heartbeats of a channel share one stream, which costs less than
        one call each. The stream is dropped after a failure, because a late
        reply must not be taken for the reply to a later request.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._await_reply(self._exchange(req))
        except BaseException as exc:
            self._drop_stream()
            if isinstance(exc, TimeoutError):
                raise exceptions.RequestUncertain(
                    'the peer did not reply in time'
                ) from exc
            raise

    async def _exchange(
        self, req: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply:
        if self._stream is None:
            self._stream = self._stub.Heartbeat()
        await self._stream.write(req)
        reply = await self._stream.read()
        if reply is grpc.aio.EOF:
            raise exceptions.RequestUncertain('the peer ended the stream')
        return reply

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.cancel()
            self._stream = None

    async def execute(
        self, req: peer_pb2.ExecuteRequest, timeout_s: float
    ) -> peer_pb2.ExecuteReply:
        """Runs a request on a worker of the peer."""
        return await self._await_reply(
            self._stub.Execute(req, timeout=timeout_s)
        )

    async def fetch_state(
        self, req: peer_pb2.FetchStateRequest, timeout_s: float
    ) -> bytes:
        """Returns the peer's state as a serialized snapshot."""
        call = self._stub.FetchState(req, timeout=timeout_s)
        return await self._await_reply(_join_chunks(call))

    async def close(self) -> None:
        """Ends pending calls and closes the connection."""
        self._closed = True
        self._drop_stream()
        await self._channel.close()

    async def _await_reply(self, call: t.Awaitable[_Reply]) -> _Reply:
        """Awaits a call.

        :raises Overloaded: the peer says that the call has not run.
        :raises RequestUncertain: any other failure.
        """
        try:
            return await call
        except grpc.aio.AioRpcError as exc:
            if _is_refusal(exc):
                raise exceptions.Overloaded(exc.details()) from exc
            raise exceptions.RequestUncertain(
                f'the peer did not reply: {exc.code().name}'
            ) from exc
        except asyncio.InvalidStateError as exc:
            raise exceptions.RequestUncertain(
                'the stream to the peer has ended'
            ) from exc
        except asyncio.CancelledError:
            if not self._closed:
                raise
            raise exceptions.RequestUncertain(
                'the connection to the peer was replaced'
            ) from None


def _is_refusal(exc: grpc.aio.AioRpcError) -> bool:
    details = exc.details() or ''
    exhausted = exc.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    return exhausted and details.startswith(NOT_RUN)


async def _join_chunks(call) -> bytes:
    return b''.join([chunk.data async for chunk in call])
