"""Small HTTP/1.1 client with persistent connections to one address.

Each call has a timeout, since a connection may become silent without a reset.
The timeout covers the start of the response; a long response may then take
longer as long as data keeps arriving over a slow link. A connection on which
a call timed out is closed and never reused.
"""

import asyncio
import typing as t

import httptools

from amaranthflow import exceptions

from . import addresses
from . import ports

# A host that does not accept a connection within this time counts as
# unreachable. It is twice the longest round trip plus a slow accept.
_CONNECT_TIMEOUT_S = 0.5
# Several times the largest message that instances exchange.
_MAX_RESPONSE_BYTES = 4_194_304
# Longest pause within a response; lost packets are retransmitted earlier.
_READ_TIMEOUT_S = 0.9


class Response(t.NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class ConnectionBudget:
    """Keeps the open connections of several clients below a number.

    Answers a fleet of several thousand addresses: a connection that is kept
    for the next call to each of them takes all descriptors of the process.
    The connection that has been idle for longest is closed. Connections in
    use are not limited.
    """

    def __init__(self, *, max_open: int):
        self.open = 0
        self._max_open = max_open
        self._idle: dict[Connection, None] = {}

    def on_opened(self) -> None:
        """Counts a connection."""
        self.open += 1
        self._shrink()

    def on_closed(self, conn: 'Connection') -> None:
        """Counts a connection no more."""
        self.open -= 1
        self._idle.pop(conn, None)

    def on_idle(self, conn: 'Connection') -> None:
        """Notes that a connection waits for its next call."""
        self._idle[conn] = None
        self._shrink()

    def on_used(self, conn: 'Connection') -> None:
        """Notes that a connection does not wait any more."""
        self._idle.pop(conn, None)

    def _shrink(self) -> None:
        # Connections count until they are lost, which takes a moment.
        closing = 0
        while self._idle and self.open - closing > self._max_open:
            conn = next(iter(self._idle))
            del self._idle[conn]
            conn.abort()
            closing += 1


class Connection(asyncio.Protocol):
    """A connection that handles one call at a time.

    :param max_response_bytes: length of a response with its head and framing.
    :param budget: counts the connection, if any.
    :ivar timed_out: a call got no response in time.
    """

    def __init__(
        self,
        *,
        max_response_bytes: int,
        budget: ConnectionBudget | None = None,
    ):
        self._max_response_bytes = max_response_bytes
        self._budget = budget
        self._received_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._fut: asyncio.Future[Response] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self.open = False
        self.timed_out = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self.open = True
        if self._budget is not None:
            self._budget.on_opened()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        if self._budget is not None:
            self._budget.on_closed(self)
        self._transport = None
        if self._fut is not None and not self._fut.done():
            reason = f'connection lost: {exc}'
            self._fut.set_exception(exceptions.PlatformUncertain(reason))

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            self.abort()
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._max_response_bytes:
            self._fail(f'response over {self._max_response_bytes} bytes')
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f'response is not HTTP/1.1: {exc}')
            return
        if self._fut is not None and not self._fut.done():
            # The response is not complete yet.
            self._set_timer(_READ_TIMEOUT_S)

    def _fail(self, reason: str) -> None:
        """Fails the pending call and closes the connection."""
        self.abort()
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(exceptions.PlatformUncertain(reason))

    # httptools

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is None or self._fut is None or self._fut.done():
            return
        if not parser.should_keep_alive():
            self.open = False
        response = Response(parser.get_status_code(), b''.join(self._body))
        self._fut.set_result(response)

    async def call(
        self, head: bytes, body: bytes, timeout_s: float
    ) -> Response:
        """Sends a request and returns its response.

        Raises PlatformError if the connection is closed, and
        PlatformUncertain if the response did not start within the timeout,
        stopped arriving or is too long.
        """
        if self._transport is None or self._transport.is_closing():
            self.open = False
            raise exceptions.PlatformError('connection is closed')
        loop = asyncio.get_running_loop()
        self._fut = loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._received_bytes = 0
        self._transport.write(head + body)
        self._set_timer(timeout_s)
        try:
            response = await self._fut
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
            self._fut = None
        if not self.open:
            self.abort()
        return response

    def _set_timer(self, timeout_s: float) -> None:
        """Fails the pending call unless data arrives within the timeout."""
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._on_timeout, timeout_s)

    def _on_timeout(self, timeout_s: float) -> None:
        if self._fut is not None and not self._fut.done():
            reason = f'no response within {timeout_s:.2f} s'
            self._fut.set_exception(exceptions.PlatformUncertain(reason))
        self.timed_out = True
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.open = False
        if self._transport is not None:
            self._transport.abort()


class Client:
    """Client of one address with a pool of persistent connections.

    :param max_conns: size of the pool; further calls wait for a connection.
    :param max_response_bytes: length of a response with its head and framing.
    :param budget: limits the connections of several clients together.
    """

    def __init__(
        self,
        *,
        address: str,
        max_conns: int,
        max_response_bytes: int = _MAX_RESPONSE_BYTES,
        budget: ConnectionBudget | None = None,
    ):
        self.address = address
        self._budget = budget
        self._max_response_bytes = max_response_bytes
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()
        self._slots = asyncio.Semaphore(max_conns)

    @property
    def has_idle(self) -> bool:
        """True if a connection is kept for the next call."""
        return any(conn.open for conn in self._idle)

    async def connect(
        self, timeout_s: float = _CONNECT_TIMEOUT_S
    ) -> Connection:
        """Opens a connection. Raises PlatformError."""
        loop = asyncio.get_running_loop()
        try:
            host, port = addresses.split(self.address)
        except ValueError as exc:
            raise exceptions.PlatformError(f'invalid address: {exc}') from exc
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    self._new_connection, host, port
                )
        except ConnectionRefusedError as exc:
            reason = f'{self.address} refuses connections'
            raise ports.ConnectionRefused(reason) from exc
        except (OSError, TimeoutError) as exc:
            reason = f'no connection to {self.address}: {exc!r}'
            raise exceptions.PlatformError(reason) from exc
        return conn

    def _new_connection(self) -> Connection:
        return Connection(
            max_response_bytes=self._max_response_bytes, budget=self._budget
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        timeout_s: float,
        headers: t.Sequence[tuple[str, str]] = (),
        content_type: str = 'application/json',
    ) -> Response:
        """Sends a request on any connection and returns its response.

        Raises PlatformError if nothing was sent within ``timeout_s`` seconds,
        and PlatformUncertain if no response started within that time.
        """
        head = self.head(method, path, body, headers, content_type)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        await self._wait_for_slot(timeout_s)
        try:
            left_s = max(0.01, end_s - loop.time())
            conn = await self._acquire(min(_CONNECT_TIMEOUT_S, left_s))
            try:
                left_s = max(0.01, end_s - loop.time())
                return await conn.call(head, body, left_s)
            finally:
                if conn.open:
                    self._keep_idle(conn)
                else:
                    self._all.discard(conn)
                if conn.timed_out:
                    self._drop_idle()
        finally:
            self._slots.release()

    async def _wait_for_slot(self, timeout_s: float) -> None:
        """Waits until another connection may be used. Raises PlatformError."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._slots.acquire()
        except TimeoutError as exc:
            raise exceptions.PlatformError(
                f'all connections to {self.address} are busy'
            ) from exc

    def head(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: t.Sequence[tuple[str, str]] = (),
        content_type: str = 'application/json',
    ) -> bytes:
        """Returns the encoded request line and headers."""
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if body or method == 'POST':
            lines.append(f'Content-Type: {content_type}')
            lines.append(f'Content-Length: {len(body)}')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')

    async def _acquire(self, timeout_s: float) -> Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.open:
                if self._budget is not None:
                    self._budget.on_used(conn)
                return conn
            self._all.discard(conn)
        conn = await self.connect(timeout_s)
        self._all.add(conn)
        return conn

    def _keep_idle(self, conn: Connection) -> None:
        self._idle.append(conn)
        if self._budget is not None:
            self._budget.on_idle(conn)

    def _drop_idle(self) -> None:
        """Closes the idle connections, which may be as silent as one was.

        Otherwise each of them would cost the next calls a timeout.
        """
        for conn in self._idle:
            conn.abort()
            self._all.discard(conn)
        self._idle.clear()

    def close(self) -> None:
        """Closes all connections; pending calls raise PlatformUncertain."""
        for conn in list(self._all):
            conn.abort()
        self._all.clear()
        self._idle.clear()
