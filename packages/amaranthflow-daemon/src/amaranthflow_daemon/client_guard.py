"""Limits of callers' connections that the HTTP library does not have.

Load: many clients that together hold more than the process can spare, though
each is within the library's limits of a head, a body and a connection; see
``amaranthflow.intake``.
"""

import asyncio

import sanic
from sanic import exceptions as sanic_exceptions
from sanic.http import constants as http_constants
from sanic.server.protocols import http_protocol

from amaranthflow import intake

from . import metrics as metrics_lib
from . import refusals

_CHECK_S = 1.0
_HEAD_S = 10.0  # time for a head to arrive
_REQUEST_S = 60.0  # time for a whole request to arrive
RETRY_AFTER_MS = 1_000  # room is there again once other requests end

_Stage = http_constants.Stage


class TooLittleMemory(sanic_exceptions.SanicException):
    """The request was not handled for want of memory in the process."""

    status_code = 503
    quiet = True


class Request(sanic.Request):
    """A request whose body takes its own length, however it is chunked."""

    async def receive_body(self) -> None:
        """Receives the whole body."""
        if self.body:
            return
        body = bytearray()
        async for data in self.stream:
            body += data
        self.body = bytes(body)


class ClientGuard:
    """Limits what all callers hold and how many connections they have.

    :ivar uptime_s: seconds that the process ran, in steps of a check; time
        during which it was stopped does not count against clients.
    """

    def __init__(
        self,
        *,
        memory_mb: int,
        max_descriptors: int,
        metrics: metrics_lib.Metrics,
    ):
        self.uptime_s = 0.0
        self.intake = intake.Intake(max_bytes=intake.share_of(memory_mb))
        self._conns: intake.Connections[ClientProtocol] = intake.Connections(
            max_conns=intake.max_conns(memory_mb, max_descriptors)
        )
        self._metrics = metrics
        self._refusals = refusals.Refusals(
            event='clients refused', metrics=metrics
        )

    async def run(self) -> None:
        """Checks the connections each second until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S)
            self.check()

    def check(self) -> None:
        """Ends requests that take too long to arrive."""
        self.uptime_s += _CHECK_S
        for conn in self._conns:
            conn.check_time()
        gauge = self._metrics.gauge
        gauge(metrics_lib.Metric.CLIENT_CONNECTIONS, len(self._conns))
        gauge(metrics_lib.Metric.CLIENT_BYTES, self.intake.held_bytes)
        self._refusals.report(
            connections=len(self._conns), held_bytes=self.intake.held_bytes
        )

    def refused(self, reason: str) -> None:
        """Counts a refusal."""
        self._refusals.count(reason)

    def opened(self, conn: 'ClientProtocol') -> None:
        """Adds a connection; ends another one if there are too many."""
        longest = self._conns.add(conn)
        if longest is not None:
            self.refused('too many connections')
            longest.cut_off()

    def lost(self, conn: 'ClientProtocol') -> None:
        """Removes a connection that has ended."""
        self._conns.discard(conn)
        self.intake.hold(conn, 0, self.uptime_s)

    def completed(self, conn: 'ClientProtocol') -> None:
        """Notes that a connection got a response."""
        self._conns.note_completed(conn)


class ClientProtocol(http_protocol.HttpProtocol):
    """Connection of a caller; ``app.ctx.guard`` is its ``ClientGuard``."""

    __slots__ = ('waiting_since_s', '_guard', '_received_bytes', '_begun_s')

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the connection; may end another one."""
        super().connection_made(transport)
        self._guard: ClientGuard = self.app.ctx.guard
        self.waiting_since_s = self._begun_s = self._guard.uptime_s
        self._received_bytes = 0
        self._guard.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees what the client held."""
        super().connection_lost(exc)
        self._guard.lost(self)

    def data_received(self, data: bytes) -> None:
        """Counts the bytes of the request that arrives."""
        if not self._received_bytes:
            self._begun_s = self._guard.uptime_s
        self._received_bytes += len(data)
        super().data_received(data)
        self._hold()

    async def send(self, data: bytes) -> None:
        """Sends a response; what its request took is free then."""
        await super().send(data)
        guard = self._guard
        self.waiting_since_s = self._begun_s = guard.uptime_s
        self._received_bytes = len(self.recv_buffer)
        guard.completed(self)
        self._hold()

    def _hold(self) -> None:
        guard = self._guard
        if self.conn_info is None or self.conn_info.lost:
            return
        if not guard.intake.hold(self, self._received_bytes, guard.uptime_s):
            self.give_way()

    # intake.Holder

    @property
    def busy(self) -> bool:
        """True while a complete request is handled."""
        http = self.http
        return bool(http) and not http.request_body

    def give_way(self) -> None:
        """Refuses the request that arrives, for want of memory."""
        self._guard.refused('too little memory')
        self._end(TooLittleMemory('too little memory'))

    def check_time(self) -> None:
        """Refuses a request that takes too long to arrive."""
        http = self.http
        if http is None or self.busy or not self._received_bytes:
            return
        age_s = self._guard.uptime_s - self._begun_s
        in_head = http.stage is _Stage.REQUEST
        if age_s > _REQUEST_S or (in_head and age_s > _HEAD_S):
            self._guard.refused('the request did not arrive in time')
            reason = 'the request did not arrive in time'
            self._end(sanic_exceptions.RequestTimeout(reason))

    def _end(self, exc: sanic_exceptions.SanicException) -> None:
        """Sends a last response if the client reads and has begun."""
        self._received_bytes = 0
        self._guard.intake.hold(self, 0, self._guard.uptime_s)
        http = self.http
        idle = http is None or http.stage is _Stage.IDLE or self.busy
        if idle or self._task is None or not self._can_write.is_set():
            self.cut_off()
            return
        self.recv_buffer.clear()
        http.exception = exc
        self._task.cancel()

    def cut_off(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()
