"""Connection of a client to the HTTP server."""

import asyncio
import typing as t

from . import httplimits
from . import httpmessage
from . import httpreader
from . import intake as intake_lib
from . import logs

Handler = t.Callable[[httpmessage.Request], t.Awaitable[httpmessage.Response]]

# Unsent bytes of responses above which no further request is handled.
_MAX_UNSENT_BYTES = 16_384
# Receive buffer of the kernel. What a client sends while its connection is
# not read stays there and counts as the process's memory on some machines.
RECEIVE_BUFFER_BYTES = 65_536
# Time to send the last response of a connection that closes.
_CLOSE_S = 5.0
_RETRY_AFTER_S = 1  # room for a request is there again once others end


class Owner(t.Protocol):
    """What a connection needs of its server.

    :ivar uptime_s: seconds during which the process ran.
    """

    name: str
    handler: Handler
    limits: t.Callable[[], httplimits.Limits]
    draining: bool
    intake: intake_lib.Intake
    uptime_s: float

    def new_reader(self) -> httpreader.RequestReader:
        """Returns a reader with the server's limits."""

    def opened(self, conn: 'Connection') -> None:
        """Called when a connection is open."""

    def lost(self, conn: 'Connection') -> None:
        """Called when a connection has ended."""

    def completed(self, conn: 'Connection') -> None:
        """Called after a response."""

    def refused(self, status: int, reason: str) -> None:
        """Counts and logs a refusal; status 0 stands for none sent."""


class Connection(asyncio.Protocol):
    """Connection of one client; requests are handled in order.

    :ivar waiting_since_s: uptime at which it opened or last got a response.
    :ivar busy: a request is being handled.
    """

    def __init__(self, *, owner: Owner):
        self.waiting_since_s = owner.uptime_s
        self.busy = False
        self._owner = owner
        self._reader = owner.new_reader()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._handled_bytes = 0
        self._last_response: httpmessage.Response | None = None
        self._reading_paused = False
        self._sent: asyncio.Future[None] | None = None  # unsent responses
        self._unsent_since_s = 0.0
        self._unfinished_since_s: float | None = None
        self._used_s = owner.uptime_s
        self._closing_since_s: float | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES, low=0)
        self._owner.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._reader.discard()
        self.resume_writing()
        self._update_held_bytes()
        self._owner.lost(self)

    def pause_writing(self) -> None:
        self._sent = asyncio.get_running_loop().create_future()
        self._unsent_since_s = self._owner.uptime_s
        self._update()

    def resume_writing(self) -> None:
        if self._sent is not None and not self._sent.done():
            self._sent.set_result(None)
        self._sent = None
        self._update()

    def data_received(self, data: bytes) -> None:
        self._used_s = self._owner.uptime_s
        if self._last_response is None and not self._closing:
            self._read(data)

    def _read(self, data: bytes) -> None:
        self._reader.feed(data)
        if not self._reader.unfinished:
            self._unfinished_since_s = None
        elif self._unfinished_since_s is None or self._reader.requests:
            self._unfinished_since_s = self._owner.uptime_s
        if self._reader.refusal is not None:
            refusal = self._reader.refusal
            self._end(refusal.status, refusal.reason)
        elif not self._update_held_bytes():
            self.give_way()
        self._update()

    @property
    def _closing(self) -> bool:
        return self._closing_since_s is not None

    @property
    def pending(self) -> bool:
        """True while requests are handled or can be."""
        return self.busy or (bool(self._reader.requests) and not self._sent)

    # memory

    def _update_held_bytes(self) -> bool:
        """Returns whether there is room for what this connection holds."""
        held = self._handled_bytes
        if self._transport is not None:
            held += self._reader.held_bytes
            if self._sent is not None:
                held += self._transport.get_write_buffer_size()
            if self._reading_paused:
                held += RECEIVE_BUFFER_BYTES
        owner = self._owner
        return owner.intake.hold(self, held, owner.uptime_s)

    def give_way(self) -> None:
        """Ends the connection for want of memory in the process.

        No request that it still holds has been handled.
        """
        if self._sent is not None:
            self._abort('unread responses')
            return
        self._reader.discard()
        self._end(503, 'too little memory', retry_after_s=_RETRY_AFTER_S)

    # requests and responses

    def _update(self) -> None:
        """Handles requests, and reads no more than can be handled."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        may_handle = self._reader.requests or self._last_response is not None
        if may_handle and self._task is None:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve())
        pauses = self._reader.full or self._sent is not None
        if pauses == self._reading_paused:
            return
        self._reading_paused = pauses
        if pauses:
            transport.pause_reading()
        else:
            transport.resume_reading()
            if self._unfinished_since_s is not None:
                self._unfinished_since_s = self._owner.uptime_s
        self._update_held_bytes()

    async def _serve(self) -> None:
        try:
            while await self._can_send():
                req = self._reader.take()
                if req is None:
                    self._send_last_response()
                    return
                await self._serve_one(req)
        finally:
            self._task = None
            self._update()

    async def _can_send(self) -> bool:
        """Waits until the client has read its responses.

        Returns whether the connection is open.
        """
        if self._sent is not None:
            await self._sent
        transport = self._transport
        return transport is not None and not transport.is_closing()

    async def _serve_one(self, req: httpmessage.Request) -> None:
        self.busy = True
        self._handled_bytes = req.held_bytes
        try:
            response = await self._handle(req)
        finally:
            self.busy = False
            self._handled_bytes = 0
        self._send(response, req)
        self.waiting_since_s = self._used_s = self._owner.uptime_s
        if self._reader.full:
            # Others have their turn before the next requests are read.
            await asyncio.sleep(0)
            self._read(b'')
        self._update_held_bytes()

    async def _handle(self, req: httpmessage.Request) -> httpmessage.Response:
        try:
            return await self._owner.handler(req)
        except Exception as exc:
            # A fault in the handler must not affect other requests.
            logs.event(
                'handler_failed',
                server=self._owner.name,
                path=req.path,
                error=repr(exc),
            )
            return httpmessage.Response(status=500)

    def _send(
        self, response: httpmessage.Response, req: httpmessage.Request
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        close_requested = req.headers.get('connection', '').lower() == 'close'
        waiting = self._reader.requests or self._last_response is not None
        closes = close_requested or (self._owner.draining and not waiting)
        self._transport.write(httpmessage.encode(response, closes))
        self._owner.completed(self)
        if closes:
            self.close()

    def _end(
        self, status: int, reason: str, *, retry_after_s: int | None = None
    ) -> None:
        """Sends a last response after those of earlier requests."""
        if self._last_response is not None or self._closing:
            return
        self._owner.refused(status, reason)
        self._last_response = httpmessage.Response(
            status=status, retry_after_s=retry_after_s
        )
        self._update_held_bytes()
        self._update()

    def _send_last_response(self) -> None:
        if self._last_response is None or self._transport is None:
            return
        self._transport.write(httpmessage.encode(self._last_response, True))
        self.close()

    def close(self) -> None:
        """Closes the connection after the buffered responses are sent."""
        self._begin_closing()
        if self._transport is not None:
            self._transport.close()

    def _abort(self, reason: str) -> None:
        self._owner.refused(0, reason)
        self.abort()

    def abort(self) -> None:
        """Ends the connection at once; unsent responses are lost."""
        self._begin_closing()
        if self._transport is not None:
            self._transport.abort()

    def _begin_closing(self) -> None:
        self._reader.discard()
        if self._closing_since_s is None:
            self._closing_since_s = self._owner.uptime_s
        self._update_held_bytes()

    # time

    def check_time(self, now_s: float) -> None:
        """Ends the connection if the client exceeds a limit of time."""
        limits = self._owner.limits()
        if self._closing_since_s is not None:
            if now_s - self._closing_since_s > _CLOSE_S:
                self.abort()
        elif self._sent is not None:
            if now_s - self._unsent_since_s > limits.idle_s:
                self._abort('unread responses')
        elif self.busy or self._reading_paused:
            return
        elif self._unfinished_since_s is not None:
            self._check_request(now_s - self._unfinished_since_s)
        elif now_s - self._used_s > limits.idle_s:
            self.close()

    def _check_request(self, age_s: float) -> None:
        limits = self._owner.limits()
        if age_s > limits.request_s or (
            self._reader.in_head and age_s > limits.head_s
        ):
            if not self._reader.begun:
                self._abort('empty lines without a request')
                return
            self._reader.discard()
            self._end(408, 'the request did not arrive in time')
