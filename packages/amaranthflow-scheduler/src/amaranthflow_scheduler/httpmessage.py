"""Requests and responses of the HTTP server."""

import dataclasses
import http

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request. Header names are in lower case.

    :ivar held_bytes: memory that the request takes.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    held_bytes: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A response.

    :ivar retry_after_s: seconds after which the caller may retry.
    """

    status: int
    body: bytes = b'{}'
    content_type: str = 'application/json'
    retry_after_s: int | None = None


def encode(response: Response, closes: bool) -> bytes:
    """Returns the bytes of a response.

    :param closes: the connection ends after it.
    """
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
