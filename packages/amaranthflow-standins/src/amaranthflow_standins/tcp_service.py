"""An HTTP server that can be closed and reopened on the same port."""

import asyncio
import typing as t

from aiohttp import web

_HOST = '127.0.0.1'
_MAX_BODY_BYTES = 16 * 1024 * 1024

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class TcpService(web.Server):
    """Serves a fixed set of paths on 127.0.0.1.

    :param handlers: handler of each path.
    :param on_connections: called with the number of open connections whenever
        one is opened or closed.
    """

    def __init__(
        self,
        *,
        handlers: t.Mapping[str, Handler],
        on_connections: t.Callable[[int], None] | None = None,
    ):
        super().__init__(self._handle, access_log=None, keepalive_timeout=60.0)
        self.port = 0
        self._handlers = handlers
        self._on_connections = on_connections
        self._listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``IP:PORT`` of the listener."""
        return f'{_HOST}:{self.port}'

    async def open(self, port: int = 0) -> None:
        """Listens on ``port``, else on the last port used or a free one."""
        if self._listener is not None:
            return
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self, _HOST, port or self.port, backlog=512
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes the port and resets open connections."""
        if self._listener is None:
            return
        self._listener.close()
        self._listener = None
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.abort()
        await asyncio.sleep(0)

    def connection_made(self, handler, transport) -> None:
        """Counts a new connection."""
        super().connection_made(handler, transport)
        self._report_count()

    def connection_lost(self, handler, exc=None) -> None:
        """Counts a closed connection."""
        super().connection_lost(handler, exc)
        self._report_count()

    def _report_count(self) -> None:
        if self._on_connections is not None:
            self._on_connections(len(self.connections))

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        handler = self._handlers.get(req.path)
        if handler is None:
            return web.Response(status=404, text='no such path')
        try:
            return await handler(req)
        except (ValueError, KeyError, TypeError) as exc:
            return web.Response(status=400, text=f'bad request: {exc!r}')


async def read_body(req: web.BaseRequest) -> bytes:
    """Reads the whole body.

    :raises ValueError: the declared length is above 16 MiB.
    """
    if (req.content_length or 0) > _MAX_BODY_BYTES:
        raise ValueError('body is too large')
    return await req.content.read()


def drop(req: web.BaseRequest) -> web.Response:
    """Resets the connection; the returned response is never sent."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()
