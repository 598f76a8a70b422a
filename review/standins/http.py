"""Minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import dataclasses
import json
import typing as t
import urllib.parse

_REASONS = {200: 'OK'}
_LIMIT_BYTES = 8_388_608


class NoAnswer(Exception):
    """The call gets no response; its connection stays open."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request. Header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(t.NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes = b'{}'


Handler = t.Callable[[Request], t.Awaitable[Response]]


def json_response(status: int, **fields: t.Any) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(fields).encode())


class Server:
    """Server on one address.

    :ivar silent: requests are dropped and responses are not sent, as behind a
        partition; connections stay open.
    """

    def __init__(self, *, host: str, handler: Handler, port: int = 0):
        self.host = host
        self.port = port
        self.silent = False
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """``IP:PORT`` of the server."""
        return f'{self.host}:{self.port}'

    async def open(self) -> None:
        """Listens; a free port is chosen once and kept."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                await self._answer(req, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has closed the connection, or the server is closed.
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        lost = self.silent
        response = None
        if not lost:
            try:
                response = await self._handler(req)
            except NoAnswer:
                lost = True
        if lost or self.silent or response is None:
            # A connection that has lost data delivers nothing further.
            await asyncio.Event().wait()
            return
        reason = _REASONS.get(response.status, 'Status')
        head = (
            f'HTTP/1.1 {response.status} {reason}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(response.body)}\r\n\r\n'
        )
        writer.write(head.encode() + response.body)
        await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads one request from a connection."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = _headers(lines)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    path, _, text = target.partition('?')
    return Request(
        method=method,
        path=path,
        query=dict(urllib.parse.parse_qsl(text)),
        headers=headers,
        body=body,
    )


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(':') for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def call(
    method: str,
    address: str,
    path: str,
    *,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> Response | None:
    """Sends one request on a new connection.

    Returns None if the connection fails or no complete response comes in
    time.
    """
    host, _, port = address.rpartition(':')
    lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(body)}']
    fields = {'Host': address, 'Connection': 'close', **(headers or {})}
    lines.extend(f'{name}: {value}' for name, value in fields.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *rest = head.split('\r\n')
            length = int(_headers(rest).get('content-length', '0'))
            content = await reader.readexactly(length)
            return Response(int(first.split(' ')[1]), content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
