"""Small HTTP/1.1 server with one handler, keep-alive and buffered bodies."""

import asyncio
import collections
import socket
import typing as t

from . import httpconnection
from . import httplimits
from . import httpmessage
from . import httpreader
from . import intake as intake_lib
from . import logs
from . import metrics

_CHECK_S = 1.0
_BACKLOG = 512
_MAX_CONNS = 1_024
_HELD_BYTES = 25_000_000
_NO_STATUS = 0

Request = httpmessage.Request
Response = httpmessage.Response
Handler = httpconnection.Handler


class Server:
    """Server on one address.

    :param limits: returns the current limits of each client.
    :param intake: memory of all clients of the process.
    :param max_conns: open connections; beyond it, the one that has waited
        longest without a request being handled is closed.
    :ivar uptime_s: seconds that the process ran; it does not count while the
        process was stopped, so that clients are not blamed for it.
    """

    def __init__(
        self,
        *,
        name: str,
        handler: Handler,
        limits: t.Callable[[], httplimits.Limits] = httplimits.Limits,
        intake: intake_lib.Intake | None = None,
        max_conns: int = _MAX_CONNS,
        meters: metrics.Metrics | None = None,
    ):
        self.name = name
        self.handler = handler
        self.limits = limits
        self.intake = intake or intake_lib.Intake(max_bytes=_HELD_BYTES)
        self.draining = False
        self.uptime_s = 0.0
        # Ordered by when they opened or last got a response.
        self._conns: collections.OrderedDict[
            httpconnection.Connection, None
        ] = collections.OrderedDict()
        self._max_conns = max_conns
        self._meters = meters or metrics.Metrics()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._server: asyncio.Server | None = None
        self._checker: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: httpconnection.Connection(owner=self),
            sock=_listener(host, port),
            backlog=_BACKLOG,
        )
        self._checker = loop.create_task(self._run_checks())
        logs.event('listening', server=self.name, host=host, port=port)

    @property
    def port(self) -> int:
        """Port of the listening socket; chosen by the system for port 0."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    def busy(self) -> bool:
        """Returns whether a request is being handled."""
        return any(conn.pending for conn in self._conns)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._checker is not None:
            self._checker.cancel()
        if self._server is not None:
            self._server.close()
        for conn in list(self._conns):
            conn.close()

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_S)
            self.check_clients()

    def check_clients(self) -> None:
        """Ends the clients that exceed a limit of time; called each second."""
        self.uptime_s += _CHECK_S
        for conn in list(self._conns):
            conn.check_time(self.uptime_s)
        self._report()

    def _report(self) -> None:
        self._meters.gauge(f'{self.name}_connections', len(self._conns))
        self._meters.gauge('clients_held_bytes', self.intake.held_bytes)
        if self._refusals:
            logs.event(
                'clients_refused',
                server=self.name,
                reasons=dict(self._refusals),
                connections=len(self._conns),
                held_bytes=self.intake.held_bytes,
            )
            self._refusals.clear()

    # httpconnection.Owner

    def new_reader(self) -> httpreader.RequestReader:
        """Returns a reader with the server's limits."""
        return httpreader.RequestReader(limits=self.limits)

    def opened(self, conn: httpconnection.Connection) -> None:
        """Adds a connection; ends another one if there are too many."""
        self._conns[conn] = None
        if len(self._conns) <= self._max_conns:
            return
        self.refused(_NO_STATUS, 'too many connections')
        longest = next((c for c in self._conns if not c.busy), conn)
        longest.abort()
        self._conns.pop(longest, None)

    def lost(self, conn: httpconnection.Connection) -> None:
        """Removes a connection."""
        self._conns.pop(conn, None)

    def completed(self, conn: httpconnection.Connection) -> None:
        """Notes that a connection got a response."""
        if conn in self._conns:
            self._conns.move_to_end(conn)

    def refused(self, status: int, reason: str) -> None:
        """Counts a refusal; the log gets one line a second for all."""
        self._refusals[f'{status} {reason}' if status else reason] += 1
        name = f'clients_refused_{status}' if status else 'clients_cut_off'
        self._meters.count(name)


def _listener(host: str, port: int) -> socket.socket:
    """Returns a socket whose connections have small receive buffers.

    Raises OSError.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # The kernel doubles the value for its bookkeeping.
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            httpconnection.RECEIVE_BUFFER_BYTES // 2,
        )
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock
