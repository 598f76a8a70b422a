"""Small HTTP/1.1 client with kept connections to one address.

Each call has its own time limit, since a connection may go silent without a
reset; a long answer that keeps arriving over a narrow link is waited for. A
connection on which an answer is overdue is closed, never reused.
"""

import asyncio
import typing as t

import httptools

from amaranthflow import exceptions

from . import ports

# A host that does not answer the opening packet within this time is taken as
# unreachable; twice the longest round trip plus a slow accept.
_CONNECT_S = 0.5
# Longest pause within an answer; a lost packet is sent again sooner.
_STALL_S = 0.9


class Answer(t.NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class Connection(asyncio.Protocol):
    """One connection; one call at a time."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._fut: asyncio.Future[Answer] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self.open = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._transport = None
        if self._fut is not None and not self._fut.done():
            reason = f'connection lost: {exc}'
            self._fut.set_exception(exceptions.PlatformUncertain(reason))

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self.abort()
            if self._fut is not None and not self._fut.done():
                reason = f'answer is not HTTP/1.1: {exc}'
                self._fut.set_exception(exceptions.PlatformUncertain(reason))
            return
        if self._fut is not None and not self._fut.done():
            # More of the answer is to come.
            self._set_timer(_STALL_S)

    # httptools

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is None or self._fut is None or self._fut.done():
            return
        if not parser.should_keep_alive():
            self.open = False
        answer = Answer(parser.get_status_code(), b''.join(self._body))
        self._fut.set_result(answer)

    async def call(self, head: bytes, body: bytes, limit_s: float) -> Answer:
        """Sends a request and returns its answer.

        Raises PlatformUncertain where none began within the limit, or where
        it stopped arriving.
        """
        if self._transport is None or self._transport.is_closing():
            self.open = False
            raise exceptions.PlatformError('connection is closed')
        loop = asyncio.get_running_loop()
        self._fut = loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._transport.write(head + body)
        self._set_timer(limit_s)
        try:
            answer = await self._fut
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
            self._fut = None
        if not self.open:
            self.abort()
        return answer

    def _set_timer(self, limit_s: float) -> None:
        """Gives the answer, or what is left of it, so long to arrive."""
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_s, self._overdue, limit_s)

    def _overdue(self, limit_s: float) -> None:
        if self._fut is not None and not self._fut.done():
            reason = f'no answer within {limit_s:.2f} s'
            self._fut.set_exception(exceptions.PlatformUncertain(reason))
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.open = False
        if self._transport is not None:
            self._transport.abort()


class Client:
    """Calls to one address over kept connections.

    :param most_conns: connections at once; further calls wait for one.
    """

    def __init__(self, *, address: str, most_conns: int):
        self.address = address
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port) if port.isdigit() else 0
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()
        self._slots = asyncio.Semaphore(most_conns)

    async def connect(self, limit_s: float = _CONNECT_S) -> Connection:
        """Opens a connection. Raises PlatformError; nothing was sent."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(limit_s):
                _, conn = await loop.create_connection(
                    Connection, self._host, self._port
                )
        except ConnectionRefusedError as exc:
            reason = f'{self.address} refuses connections'
            raise ports.NobodyListens(reason) from exc
        except (OSError, TimeoutError) as exc:
            reason = f'no connection to {self.address}: {exc!r}'
            raise exceptions.PlatformError(reason) from exc
        return conn

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        limit_s: float,
        headers: t.Sequence[tuple[str, str]] = (),
        content_type: str = 'application/json',
    ) -> Answer:
        """Sends a request on any connection and returns its answer.

        Raises PlatformError where nothing was sent and PlatformUncertain
        where no answer came within ``limit_s`` seconds.
        """
        head = self.head(method, path, body, headers, content_type)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        async with self._slots:
            conn = await self._take(min(_CONNECT_S, limit_s))
            try:
                left_s = max(0.01, end_s - loop.time())
                return await conn.call(head, body, left_s)
            finally:
                if conn.open:
                    self._idle.append(conn)
                else:
                    self._all.discard(conn)

    def head(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: t.Sequence[tuple[str, str]] = (),
        content_type: str = 'application/json',
    ) -> bytes:
        """Returns the request line and headers."""
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if body or method == 'POST':
            lines.append(f'Content-Type: {content_type}')
            lines.append(f'Content-Length: {len(body)}')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')

    async def _take(self, limit_s: float) -> Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.open:
                return conn
            self._all.discard(conn)
        conn = await self.connect(limit_s)
        self._all.add(conn)
        return conn

    def close(self) -> None:
        """Closes all connections; calls on them end as uncertain."""
        for conn in list(self._all):
            conn.abort()
        self._all.clear()
        self._idle.clear()
