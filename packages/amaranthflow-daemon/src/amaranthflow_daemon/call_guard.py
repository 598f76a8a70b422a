"""Limits of calls at the address for other instances that gRPC lacks.

Load: many clients whose calls together hold more than the process can spare,
though each is within gRPC's limits of a connection and a message: calls
without a message, messages that stop short of their end, responses that
nobody reads; see ``amaranthflow.intake``.
"""

import asyncio
import contextvars
import ipaddress
import os
import socket
import typing as t
from urllib import parse

from google.protobuf import message as protobuf_message
import grpc.aio

from amaranthflow import intake

from . import metrics as metrics_lib
from . import peer_channel
from . import refusals
from . import settings

_CHECK_S = 1.0
# A call is not ended for the sake of others before it has waited for this
# long. Instances send a heartbeat twice a second.
_PATIENCE_S = 1.0
# Objects of a call. Until its message is read, bytes that gRPC takes unasked
# and metadata come to it.
_CALL_BYTES = 24 * 1024
_UNREAD_BYTES = peer_channel.WINDOW_BYTES + peer_channel.MAX_METADATA_BYTES
# A message exists in its encoded and its decoded form.
_FORMS = 2
# Largest messages for which there is always room.
_MIN_MESSAGES = 4
# Connections without a call, which are gRPC's to end, need room as well.
_CONNECTIONS_SHARE = 0.875
_DESCRIPTORS = '/proc/self/fd'

_EOF = grpc.aio.EOF
_current: contextvars.ContextVar['_Call'] = contextvars.ContextVar('call')


def hold_response(n_bytes: int) -> None:
    """Counts a response that the current call holds until it ends."""
    call = _current.get(None)
    if call is not None:
        call.hold_response(n_bytes)


class CallGuard(grpc.aio.ServerInterceptor):
    """Limits what the calls of all clients hold, and their connections.

    Messages are received in turn as far as there is memory for their largest
    size, since gRPC does not tell how much of one has arrived.

    :param port: port of the server.
    :param count_instances: returns the number of known instances, each of
        which may have a message on its way.
    :ivar uptime_s: seconds that the process ran, in steps of a check; time
        during which it was stopped does not count against clients.
    """

    def __init__(
        self,
        *,
        port: int,
        limits: peer_channel.ServerLimits,
        count_instances: t.Callable[[], int],
        metrics: metrics_lib.Metrics,
    ):
        self.uptime_s = 0.0
        self.message_bytes = limits.message_bytes
        self.refusals = refusals.Refusals(
            event='peer calls refused', metrics=metrics
        )
        self._port = port
        half = max(limits.held_bytes // 2, _MIN_MESSAGES * self.message_bytes)
        self._messages_share = half
        self._arriving = intake.Intake(max_bytes=half)
        self._held = intake.Intake(max_bytes=half)
        self._count_instances = count_instances
        self._metrics = metrics
        max_conns = int(limits.connections * _CONNECTIONS_SHARE)
        self._conns: intake.Connections[_Connection] = intake.Connections(
            max_conns=max_conns
        )
        self._conn_of: dict[str, _Connection] = {}
        self._calls: set[_Call] = set()
        self._turn = asyncio.Lock()
        self._freed = asyncio.Event()

    async def run(self) -> None:
        """Checks the limits each second until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(_CHECK_S)
            self.uptime_s += _CHECK_S

    def check(self) -> None:
        """Adapts the limit to the instances; lets waiting calls try again."""
        messages = self._count_instances() * self.message_bytes
        self._arriving.max_bytes = self._messages_share + messages
        self._freed.set()
        held_bytes = self._held.held_bytes + self._arriving.held_bytes
        self._metrics.gauge(metrics_lib.Metric.PEER_CALLS, len(self._calls))
        self._metrics.gauge(metrics_lib.Metric.PEER_BYTES, held_bytes)
        self.refusals.report(
            connections=len(self._conns), held_bytes=held_bytes
        )

    async def intercept_service(
        self,
        continuation: t.Callable[
            [grpc.HandlerCallDetails], t.Awaitable[grpc.RpcMethodHandler]
        ],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler | None:
        """Returns a handler that receives messages when there is memory.

        It streams requests, also if a call has only one: gRPC receives the
        message of other calls before any code of the server runs.
        """
        handler = await continuation(handler_call_details)
        if handler is None:
            return None
        if handler.response_streaming:
            return grpc.stream_stream_rpc_method_handler(
                self._streaming(handler)
            )
        return grpc.stream_unary_rpc_method_handler(self._unary(handler))

    def _unary(self, handler):
        async def serve(_, context: grpc.aio.ServicerContext) -> bytes:
            call = await self._begin(handler, context)
            request = await call.receive()
            response = await handler.unary_unary(request, context)
            data = handler.response_serializer(response)
            call.sending(data)
            return data

        return serve

    def _streaming(self, handler):
        async def serve(
            _, context: grpc.aio.ServicerContext
        ) -> t.AsyncIterator[bytes]:
            call = await self._begin(handler, context)
            if handler.request_streaming:
                responses = handler.stream_stream(call.requests(), context)
            else:
                request = await call.receive()
                responses = handler.unary_stream(request, context)
            async for response in responses:
                data = handler.response_serializer(response)
                call.sending(data)
                yield data
                call.sent()

        return serve

    async def _begin(self, handler, context) -> '_Call':
        call = _Call(guard=self, handler=handler, context=context)
        _current.set(call)
        self._calls.add(call)
        # The task ends after the response has been sent.
        asyncio.current_task().add_done_callback(lambda _: self._end(call))
        self._connect(call)
        if not self.hold(call, _CALL_BYTES + _UNREAD_BYTES):
            await call.refuse()
        return call

    def _connect(self, call: '_Call') -> None:
        """Adds a call to its connection; ends another one if too many."""
        conn = self._conn_of.get(call.peer)
        if conn is None:
            conn = self._conn_of[call.peer] = _Connection(call.peer)
            longest = self._conns.add(conn)
            if longest is not None:
                self.cut_off(longest.peer, 'too many connections')
        conn.calls.add(call)

    def _end(self, call: '_Call') -> None:
        self._calls.discard(call)
        self.free(call)
        conn = self._conn_of[call.peer]
        conn.calls.discard(call)
        if call.answered:
            self._conns.note_completed(conn)
        if not conn.calls:
            del self._conn_of[call.peer]
            self._conns.discard(conn)

    def completed(self, call: '_Call') -> None:
        """Notes that the client has read a response."""
        self._conns.note_completed(self._conn_of[call.peer])

    def cut_off(self, peer: str, reason: str) -> None:
        """Ends the connection of a client."""
        self.refusals.count(reason)
        _end_connection(peer, self._port)

    def free(self, call: '_Call') -> None:
        """Frees what a call holds."""
        self.release_message(call)
        self.hold(call, 0)

    def hold(self, call: '_Call', n_bytes: int) -> bool:
        """Sets the bytes that a call holds; returns whether there is room."""
        return self._held.hold(call, n_bytes, self.uptime_s)

    async def reserve_message(self, call: '_Call') -> None:
        """Waits until there is memory for another message."""
        async with self._turn:
            while not self._reserve(call):
                self.release_message(call)
                self._freed.clear()
                await self._freed.wait()

    def _reserve(self, call: '_Call') -> bool:
        return self._arriving.hold(call, self.message_bytes, self.uptime_s)

    def release_message(self, call: '_Call') -> None:
        """Notes that a message has arrived, or will not be received."""
        self._arriving.hold(call, 0, self.uptime_s)
        self._freed.set()


class _Connection:
    """A client's connection while it has calls."""

    def __init__(self, peer: str):
        self.peer = peer
        self.calls: set[_Call] = set()

    @property
    def busy(self) -> bool:
        """Whether a call is handled, which is never given up."""
        return any(call.handled for call in self.calls)


class _Call:
    """A call; implements ``intake.Holder``.

    :ivar handled: its request has arrived and the response is not ready.
    :ivar answered: a response was ready.
    """

    def __init__(
        self, *, guard: CallGuard, handler, context: grpc.aio.ServicerContext
    ):
        self.peer = context.peer()
        self.handled = self.answered = False
        self.waiting_since_s = guard.uptime_s
        self._guard = guard
        self._deserialize = handler.request_deserializer
        self._context = context
        self._receiving: asyncio.Timeout | None = None
        self._response_bytes = 0

    @property
    def busy(self) -> bool:
        """True while it is handled or has not waited for long."""
        waited_s = self._guard.uptime_s - self.waiting_since_s
        return self.handled or waited_s <= _PATIENCE_S

    async def requests(self) -> t.AsyncIterator[t.Any]:
        """Receives all messages."""
        while (request := await self._receive()) is not _EOF:
            yield request

    async def receive(self) -> t.Any:
        """Receives the only message."""
        request = await self._receive()
        if request is _EOF:
            await self._context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f'{peer_channel.NOT_RUN}the call has no message',
            )
        return request

    async def _receive(self) -> t.Any:
        self.waiting_since_s = self._guard.uptime_s
        try:
            async with asyncio.timeout(None) as self._receiving:
                await self._guard.reserve_message(self)
                self.waiting_since_s = self._guard.uptime_s
                data = await self._context.read()
        except TimeoutError:
            await self.refuse()
        finally:
            self._receiving = None
            self._guard.release_message(self)
        if data is _EOF:
            return data
        self.handled = True
        self._guard.hold(self, _CALL_BYTES + _FORMS * len(data))
        return await self._decode(data)

    async def _decode(self, data: bytes) -> t.Any:
        if self._deserialize is None:
            return data
        try:
            return self._deserialize(data)
        except protobuf_message.DecodeError:
            await self._context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f'{peer_channel.NOT_RUN}the message cannot be decoded',
            )

    async def refuse(self) -> t.NoReturn:
        """Ends the call, whose request has not run."""
        self._guard.refusals.count('too little memory')
        await self._context.abort(
            grpc.StatusCode.RESOURCE_EXHAUSTED,
            f'{peer_channel.NOT_RUN}too little memory',
        )

    def hold_response(self, n_bytes: int) -> None:
        """Counts what all messages of the response take together."""
        self._response_bytes = n_bytes

    def sending(self, data: bytes) -> None:
        """Counts a message that the client has to read."""
        self.handled = False
        self.answered = True
        self.waiting_since_s = self._guard.uptime_s
        held_bytes = _CALL_BYTES + self._response_bytes + len(data)
        self._guard.hold(self, held_bytes)

    def sent(self) -> None:
        """Notes that the client has read a message."""
        self._guard.completed(self)

    def give_way(self) -> None:
        """Ends the call, or its connection if responses are unread."""
        self._guard.free(self)
        if self._receiving is not None:
            self._receiving.reschedule(0.0)
            return
        self._guard.cut_off(self.peer, 'unread responses')


def _end_connection(peer: str, port: int) -> None:
    """Shuts a client's connection down, for which gRPC has no call.

    :param peer: the client's address as gRPC writes it.
    :param port: the server's port; the client may have another connection
        from the same address to another server.
    """
    wanted = _parse_peer(peer)
    for name in os.listdir(_DESCRIPTORS):
        try:
            # A duplicate stays valid if gRPC closes the descriptor now.
            conn = _open_socket(os.dup(int(name)))
        except OSError:
            continue
        with conn:
            if _addresses(conn) == (wanted, port):
                conn.shutdown(socket.SHUT_RDWR)
                return


def _open_socket(descriptor: int) -> socket.socket:
    try:
        return socket.socket(fileno=descriptor)
    except OSError:
        os.close(descriptor)
        raise


def _parse_peer(peer: str) -> tuple[str, int]:
    _, _, address = parse.unquote(peer).partition(':')
    host, port = settings.split_address(address)
    return _plain(host), port


def _addresses(conn: socket.socket) -> tuple[tuple[str, int], int] | None:
    """Returns the remote address and the local port."""
    if conn.family not in (socket.AF_INET, socket.AF_INET6):
        return None
    try:
        host, port, *_ = conn.getpeername()
    except OSError:
        return None  # a listener, or the client has gone
    return (_plain(host), port), conn.getsockname()[1]


def _plain(host: str) -> str:
    """Writes an address alike for sockets of both families."""
    ip = ipaddress.ip_address(host)
    return str(getattr(ip, 'ipv4_mapped', None) or ip)
