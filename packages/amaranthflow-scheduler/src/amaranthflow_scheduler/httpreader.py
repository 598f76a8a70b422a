"""Reads the requests of a connection within limits.

Load: requests that never end. The parser keeps a name, a value or a target
until it is complete, so bytes are passed to it in small steps and counted
while nothing is complete.
"""

import collections
import typing as t

import httptools

from . import httplimits
from . import httpmessage

# Bytes between two checks. A step may hold several small requests.
_STEP_BYTES = 1_024
# Memory of a request and of a header besides their bytes.
_REQUEST_BYTES = 1_024
_HEADER_BYTES = 200


class Refusal(t.NamedTuple):
    """Why a request is not read any further."""

    status: int
    reason: str


class RequestReader:
    """Parser of a connection's bytes.

    :ivar requests: complete requests in order.
    :ivar refusal: set once a request is refused; nothing more is read then.
    :ivar begun: a request has begun and is not complete.
    """

    def __init__(self, *, limits: t.Callable[[], httplimits.Limits]):
        self.requests: collections.deque[httpmessage.Request] = (
            collections.deque()
        )
        self.refusal: Refusal | None = None
        self._read_limits = limits
        self._limits = limits()
        self._parser = httptools.HttpRequestParser(self)
        self._rest = b''
        self._queued_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self.begun = False
        self._in_body = False
        self._url = bytearray()
        self._headers: dict[str, str] = {}
        self._header_count = 0
        self._head_bytes = 0
        self._body = bytearray()
        self._length: int | None = None
        # Bytes passed to the parser since it last completed a part.
        self._uncounted_bytes = 0
        self._progressed = False

    @property
    def full(self) -> bool:
        """True while bytes wait because there are too many requests."""
        return bool(self._rest)

    @property
    def unfinished(self) -> bool:
        """True while a request, or empty lines before it, has begun."""
        return self.begun or self._uncounted_bytes > 0

    @property
    def in_head(self) -> bool:
        """True while the head of a request is not complete."""
        return self.unfinished and not self._in_body

    @property
    def held_bytes(self) -> int:
        """Memory of what has been read and not been taken."""
        return (
            len(self._rest)
            + self._queued_bytes
            + self._head_bytes
            + self._header_count * _HEADER_BYTES
            + self._uncounted_bytes
            + len(self._body)
        )

    def feed(self, data: bytes) -> None:
        """Reads bytes until they end, a refusal, or too many requests."""
        if self.refusal is not None:
            return
        self._limits = self._read_limits()
        data = self._rest + data if self._rest else data
        view = memoryview(data)
        position = 0
        while position < len(view) and self.refusal is None:
            if len(self.requests) >= self._limits.requests_ahead:
                break
            end = position + self._step_bytes()
            self._step(view[position:end])
            position = end
        self._rest = data[position:] if self.refusal is None else b''

    def take(self) -> httpmessage.Request | None:
        """Returns the next request, if one is complete."""
        if not self.requests:
            return None
        req = self.requests.popleft()
        self._queued_bytes -= req.held_bytes
        return req

    def discard(self) -> None:
        """Drops all that has been read; nothing more is read."""
        self.refusal = self.refusal or Refusal(503, 'discarded')
        self.requests.clear()
        self._queued_bytes = 0
        self._rest = b''
        self._reset()

    def _step_bytes(self) -> int:
        if self._length is None:
            return _STEP_BYTES
        # The rest of a body of known length, which ends where the step does.
        return max(1, self._length - len(self._body))

    def _step(self, data: memoryview) -> None:
        self._progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, 'no protocol upgrades here')
        except httptools.HttpParserError as exc:
            self._refuse(400, f'not HTTP/1.1: {exc}')
        if self._progressed:
            self._uncounted_bytes = 0
            return
        self._uncounted_bytes += len(data)
        if self._uncounted_bytes > self._limits.head_bytes + _STEP_BYTES:
            self._refuse(431, 'a line is too long')

    def _refuse(self, status: int, reason: str) -> None:
        if self.refusal is None:
            self.refusal = Refusal(status, reason)
            self._reset()

    # httptools

    def on_message_begin(self) -> None:
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self._progressed = True
        self._head_bytes += len(url)
        if self._head_bytes > self._limits.head_bytes:
            self._refuse(414, 'the target is too long')
        elif self.refusal is None:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._progressed = True
        limits = self._limits
        self._header_count += 1
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > limits.head_bytes:
            self._refuse(431, 'headers are too long')
        elif self._header_count > limits.headers:
            self._refuse(431, 'too many headers')
        elif self.refusal is None and not self._in_body:
            self._headers[name.decode('latin-1').lower()] = value.decode(
                'latin-1'
            )

    def on_headers_complete(self) -> None:
        self._progressed = self._in_body = True
        if 'transfer-encoding' in self._headers:
            return
        # The parser has checked that it is a number.
        length = int(self._headers.get('content-length', '0') or 0)
        if length > self._limits.body_bytes:
            self._refuse(413, 'body is too long')
        self._length = length

    def on_body(self, body: bytes) -> None:
        self._progressed = True
        if len(self._body) + len(body) > self._limits.body_bytes:
            self._refuse(413, 'body is too long')
        elif self.refusal is None:
            self._body += body

    def on_message_complete(self) -> None:
        self._progressed = True
        if self._parser.should_upgrade():
            self._refuse(400, 'no protocol upgrades here')
        if self.refusal is not None:
            return
        req = httpmessage.Request(
            method=self._parser.get_method().decode('latin-1'),
            path=self._url.decode('latin-1'),
            headers=self._headers,
            body=bytes(self._body),
            held_bytes=self._request_bytes(),
        )
        self._queued_bytes += req.held_bytes
        self.requests.append(req)
        self._reset()
        self._progressed = True

    def _request_bytes(self) -> int:
        return (
            _REQUEST_BYTES
            + self._head_bytes
            + self._header_count * _HEADER_BYTES
            + len(self._body)
        )
