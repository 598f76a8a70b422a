"""Small HTTP/1.1 server with one handler, keep-alive and buffered bodies."""

import asyncio
import dataclasses
import http
import typing as t

import httptools

from . import logs

_MAX_HEAD_BYTES = 16_384  # request line and headers; the usual limit
_IDLE_CHECK_S = 1.0
# Unsent response bytes of a connection above which reading from it pauses.
_WRITE_HIGH_BYTES = 65_536
_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request. Header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A response.

    :ivar retry_after_s: seconds after which the caller may retry.
    """

    status: int
    body: bytes = b'{}'
    content_type: str = 'application/json'
    retry_after_s: int | None = None


Handler = t.Callable[[Request], t.Awaitable[Response]]


class Server:
    """Server on one address.

    :param max_body_bytes: returns the current limit of a request's body.
    :param idle_s: returns how long a connection may be idle, in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        handler: Handler,
        max_body_bytes: t.Callable[[], int],
        idle_s: t.Callable[[], float],
    ):
        self.name = name
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.draining = False
        self.conns: set[_Connection] = set()
        self._idle_s = idle_s
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=512
        )
        self._sweeper = loop.create_task(self._close_idle())
        logs.event('listening', server=self.name, host=host, port=port)

    @property
    def port(self) -> int:
        """Port of the listening socket; chosen by the system for port 0."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    def busy(self) -> bool:
        """Returns whether a request is being handled."""
        return any(conn.busy for conn in self.conns)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for conn in list(self.conns):
            conn.close()

    async def _close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_IDLE_CHECK_S)
            cutoff_s = loop.time() - self._idle_s()
            for conn in list(self.conns):
                if not conn.busy and conn.last_used_s < cutoff_s:
                    conn.close()


class _Connection(asyncio.Protocol):
    """Connection of one client; requests are handled in order."""

    def __init__(self, server: Server):
        self.last_used_s = 0.0
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: list[Request] = []
        self._task: asyncio.Task | None = None
        self._reset()

    @property
    def busy(self) -> bool:
        return self._task is not None

    def _reset(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_BYTES)
        self._server.conns.add(self)
        self.last_used_s = asyncio.get_running_loop().time()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.conns.discard(self)
        self._queue.clear()
        self._transport = None

    def pause_writing(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self.last_used_s = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, 'no protocol upgrades here')
        except httptools.HttpParserError as exc:
            self._refuse(400, f'not HTTP/1.1: {exc}')

    # httptools

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > _MAX_HEAD_BYTES:
            self._refuse(431, 'headers are too long')
            return
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._server.max_body_bytes():
            self._refuse(413, 'body is too long')
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        req = Request(
            method=self._parser.get_method().decode('latin-1'),
            path=self._url.decode('latin-1'),
            headers=self._headers,
            body=b''.join(self._body),
        )
        self._reset()
        self._queue.append(req)
        if self._task is None:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve())

    # responses

    async def _serve(self) -> None:
        try:
            while self._queue and self._transport is not None:
                req = self._queue.pop(0)
                self._send(await self._handle(req), req)
        finally:
            self._task = None

    async def _handle(self, req: Request) -> Response:
        try:
            return await self._server.handler(req)
        except Exception as exc:
            # A fault in the handler must not affect other requests.
            logs.event(
                'handler_failed',
                server=self._server.name,
                path=req.path,
                error=repr(exc),
            )
            return Response(status=500)

    def _send(self, response: Response, req: Request) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        close_requested = req.headers.get('connection', '').lower() == 'close'
        closes = self._server.draining or close_requested
        self._transport.write(_encode(response, closes))
        self.last_used_s = asyncio.get_running_loop().time()
        if closes and not self._queue:
            self._transport.close()

    def _refuse(self, status: int, reason: str) -> None:
        logs.event(
            'request_malformed',
            server=self._server.name,
            status=status,
            reason=reason,
        )
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(_encode(Response(status=status), True))
            self._transport.close()

    def close(self) -> None:
        """Closes the connection after the buffered responses are sent."""
        if self._transport is not None:
            self._transport.close()


def _encode(response: Response, closes: bool) -> bytes:
    reason = _REASONS.get(response.status, b'Unknown')
    lines = [
        b'HTTP/1.1 %d %s' % (response.status, reason),
        b'Content-Type: ' + response.content_type.encode(),
        b'Content-Length: %d' % len(response.body),
    ]
    if response.retry_after_s is not None:
        lines.append(b'Retry-After: %d' % response.retry_after_s)
    if closes:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n' + response.body
