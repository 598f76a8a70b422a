"""Clients outside the limits at a gRPC server, see ``crowd``.

They speak HTTP/2 themselves, as a gRPC client neither stops in the middle of
a message nor leaves responses unread.
"""

import asyncio
import contextlib
import re
import socket
import struct

_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
_FRAME = struct.Struct('!BHBBI')  # length in two parts, type, flags, stream
_MESSAGE = struct.Struct('!BI')  # compressed, length
_SETTING = struct.Struct('!HI')
_NUMBER = struct.Struct('!I')

_DATA, _HEADERS, _RST_STREAM, _SETTINGS = 0, 1, 3, 4
_PING, _WINDOW_UPDATE = 6, 8
_CONTINUATION = 9
_ACK = _END_STREAM = 1
_END_HEADERS = 4
_INITIAL_WINDOW = 4  # setting: bytes that the other side may send on a stream
_MAX_STREAMS = 3  # setting: streams of a connection at a time
_DEFAULT_WINDOW = 65_535
_MAX_WINDOW = 2**31 - 1
_MAX_FRAME = 16_384

# Receive buffer of a client, which may read nothing.
_UNREAD_BYTES = 4_096
# A client whose bytes are not taken for this long stops sending.
_BLOCKED_S = 5.0
_ENDLESS_FRAMES = 256
_PINGS = 50_000
_PINGS_AT_ONCE = 1_000


def _frame(kind, flags, stream, payload=b''):
    size = len(payload)
    return (
        _FRAME.pack(size >> 16, size & 0xFFFF, kind, flags, stream) + payload
    )


def _text(data):
    size = len(data)
    if size < 127:
        return bytes((size,)) + data
    length = b'\x7f'
    size -= 127
    while size >= 128:
        length += bytes((size % 128 + 128,))
        size //= 128
    return length + bytes((size,)) + data


def _fields(method, metadata=()):
    fields = (
        (b':method', b'POST'),
        (b':scheme', b'http'),
        (b':path', b'/' + method.encode()),
        (b':authority', b'x'),
        (b'content-type', b'application/grpc'),
        (b'te', b'trailers'),
        *metadata,
    )
    # Literal fields that are not added to a table.
    return b''.join(b'\0' + _text(k) + _text(v) for k, v in fields)


class _Stream:
    """A call: what is left to send, and the bytes that the server takes."""

    def __init__(self, window, data):
        self.window = window
        self.data = memoryview(data)


class Client:
    """A client of the crowd; its connection stays open."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None
        self._receiving = None
        self._window = self._initial = _DEFAULT_WINDOW
        self._max_streams = _MAX_WINDOW
        self._streams: dict[int, _Stream] = {}
        self._changed = asyncio.Event()
        self.ended = 0

    async def connect(self) -> None:
        """Connects, unless the server turns the client away."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self._address)
        except OSError:
            sock.close()
            return
        self._reader, self._writer = await asyncio.open_connection(sock=sock)
        # It takes no bytes of any response.
        settings = _SETTING.pack(_INITIAL_WINDOW, 0)
        self._writer.write(_PREFACE + _frame(_SETTINGS, 0, 0, settings))
        self._receiving = asyncio.create_task(self._receive())

    async def send(self, what: str) -> None:
        """Sends until all is sent, nothing is taken, or it is cut off."""
        if self._writer is None:
            return
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_BLOCKED_S):
                # The server's settings come first.
                await self._changed.wait()
            await self._send(what)

    async def _send(self, what):
        if what == 'metadata without end':
            await self._send_endless_metadata()
        elif what == 'pings':
            self._receiving.cancel()
            for _ in range(_PINGS // _PINGS_AT_ONCE):
                await self._write(
                    _frame(_PING, 0, 0, bytes(8)) * _PINGS_AT_ONCE
                )
        else:
            await self._send_calls(what)

    async def _send_endless_metadata(self):
        await self._write(_frame(_HEADERS, 0, 1, _fields('x')))
        field = b'\0' + _text(b'x') + _text(b'x' * (_MAX_FRAME // 2))
        for _ in range(_ENDLESS_FRAMES):
            await self._write(_frame(_CONTINUATION, 0, 1, field))

    async def _send_calls(self, what):
        found = re.fullmatch(r'(\d+) calls of (\S+) with (.*)', what)
        count, method, rest = int(found[1]), found[2], found[3]
        method = f'amaranthflow.v1.{method}'
        metadata, data, flags = (), b'', _END_HEADERS
        if found := re.fullmatch(r'(\d+) bytes of (\d+)', rest):
            data = _MESSAGE.pack(0, int(found[2])) + bytes(int(found[1]))
        elif found := re.fullmatch(r'(\d+) bytes of metadata', rest):
            metadata = ((b'x', b'x' * int(found[1])),)
        elif found := re.fullmatch(r'(\d+) unread replies', rest):
            data = _MESSAGE.pack(0, 0) * int(found[1])
        elif rest != 'nothing':
            raise ValueError(what)
        fields = _fields(method, metadata)
        count = min(count, self._max_streams)
        for number in range(count):
            stream = 2 * number + 1
            self._streams[stream] = _Stream(self._initial, data)
            await self._write(_frame(_HEADERS, flags, stream, fields))
        await self._send_data()

    async def _send_data(self):
        while left := [n for n, s in self._streams.items() if s.data]:
            self._changed.clear()
            sent = 0
            for number in left:
                sent += await self._send_some(number)
            if not sent:
                async with asyncio.timeout(_BLOCKED_S):
                    await self._changed.wait()

    async def _send_some(self, number):
        stream = self._streams.get(number)
        if stream is None:
            return 0
        size = min(_MAX_FRAME, self._window, stream.window, len(stream.data))
        if size <= 0:
            return 0
        piece, stream.data = stream.data[:size], stream.data[size:]
        stream.window -= size
        self._window -= size
        await self._write(_frame(_DATA, 0, number, bytes(piece)))
        return size

    async def _write(self, data):
        self._writer.write(data)
        async with asyncio.timeout(_BLOCKED_S):
            await self._writer.drain()
        await asyncio.sleep(0)

    async def _receive(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await self._reader.readexactly(_FRAME.size)
                high, low, kind, flags, stream = _FRAME.unpack(head)
                payload = await self._reader.readexactly((high << 16) + low)
                self._on_frame(kind, flags, stream, payload)

    def _on_frame(self, kind, flags, stream, payload):
        if kind == _WINDOW_UPDATE:
            (size,) = _NUMBER.unpack(payload)
            if not stream:
                self._window += size
            elif stream in self._streams:
                self._streams[stream].window += size
        elif kind == _SETTINGS and not flags & _ACK:
            self._on_settings(payload)
        elif kind == _PING and not flags & _ACK:
            self._writer.write(_frame(_PING, _ACK, 0, payload))
        elif kind == _RST_STREAM or flags & _END_STREAM and kind == _HEADERS:
            self.ended += self._streams.pop(stream, None) is not None
        self._changed.set()

    def _on_settings(self, payload):
        for key, value in _SETTING.iter_unpack(payload):
            if key == _INITIAL_WINDOW:
                for stream in self._streams.values():
                    stream.window += value - self._initial
                self._initial = value
            elif key == _MAX_STREAMS:
                self._max_streams = value
        self._writer.write(_frame(_SETTINGS, _ACK, 0))

    def close(self) -> None:
        """Ends the connection."""
        if self._writer is not None:
            self._receiving.cancel()
            self._writer.transport.abort()
