"""HTTP client of the platform's log service."""

import struct

import aiohttp

from . import exceptions
from . import http_calls
from . import ids
from . import platform

NEXT_OFFSET_HEADER = 'X-Next-Offset'
ENTRY_HEAD = struct.Struct('>QI')

_EXPIRED_STATUS = 410


class HttpLogService:
    """Implements ``platform.LogService``.

    :param url: base address, ``http://IP:PORT``.
    :param timeout_s: timeout of each call; a read's ``wait_s`` is added to it.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float = 5.0,
    ):
        self._session = session
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s

    async def append(self, data: bytes) -> ids.Offset:
        """Appends one entry."""
        url = f'{self._url}/append'
        resp = await http_calls.send(
            self._session, 'POST', url, timeout_s=self._timeout_s, body=data
        )
        http_calls.check_status(resp, url)
        return _parse_offset(resp.body.decode(errors='replace'))

    async def read(self, start: ids.Offset, wait_s: float) -> platform.LogPage:
        """Reads from an offset, waits for a new entry."""
        url = f'{self._url}/read?start={start}&wait_s={wait_s:.3f}'
        resp = await self._get(url, self._timeout_s + wait_s)
        if resp.status == _EXPIRED_STATUS:
            raise exceptions.OffsetExpired(f'offset {start} has expired')
        _check_read(resp, url)
        next_offset = resp.headers.get(NEXT_OFFSET_HEADER, '')
        return platform.LogPage(
            entries=unpack_entries(resp.body),
            next_offset=_parse_offset(next_offset),
        )

    async def first_offset(self) -> ids.Offset:
        """Returns the oldest offset that the log keeps."""
        url = f'{self._url}/first'
        resp = await self._get(url, self._timeout_s)
        _check_read(resp, url)
        return _parse_offset(resp.body.decode(errors='replace'))

    async def _get(self, url: str, timeout_s: float) -> http_calls.Response:
        try:
            return await http_calls.send(
                self._session, 'GET', url, timeout_s=timeout_s
            )
        except exceptions.PlatformUncertain as exc:
            # A failed read has no effect.
            raise exceptions.PlatformError(exc.reason) from exc


def pack_entries(entries: tuple[platform.Entry, ...]) -> bytes:
    """Encodes entries as offset (8 bytes), length (4 bytes) and data."""
    parts = []
    for entry in entries:
        parts.append(ENTRY_HEAD.pack(entry.offset, len(entry.data)))
        parts.append(entry.data)
    return b''.join(parts)


def unpack_entries(body: bytes) -> tuple[platform.Entry, ...]:
    """Decodes the result of ``pack_entries``.

    :raises PlatformError: the body is truncated.
    """
    entries = []
    position = 0
    while position < len(body):
        data_start = position + ENTRY_HEAD.size
        if data_start > len(body):
            raise exceptions.PlatformError('truncated log page')
        offset, length = ENTRY_HEAD.unpack_from(body, position)
        position = data_start + length
        if position > len(body):
            raise exceptions.PlatformError('truncated log page')
        data = body[data_start:position]
        entries.append(platform.Entry(offset=ids.Offset(offset), data=data))
    return tuple(entries)


def _check_read(resp: http_calls.Response, url: str) -> None:
    try:
        http_calls.check_status(resp, url)
    except exceptions.PlatformUncertain as exc:
        raise exceptions.PlatformError(exc.reason) from exc


def _parse_offset(text: str) -> ids.Offset:
    if not text.isdigit():
        raise exceptions.PlatformUncertain('the log returned no offset')
    return ids.Offset(int(text))
