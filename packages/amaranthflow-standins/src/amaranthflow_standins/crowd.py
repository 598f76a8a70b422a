"""Clients outside the limits, and what they make a process use.

The clients of a crowd send as much as the server takes and keep their
connections open. None of it depends on the speed of the machine.
"""

import asyncio
import contextlib
import pathlib
import re
import socket
import typing as t

_ENDLESS_BYTES = 4_194_304
_PIECE_BYTES = 65_536
_LINES = 400  # empty lines of one client, each sent separately
_HEADERS = 5_000
_AT_ONCE = 3_000  # requests that a client sends with one call
# Receive buffer of a client, which reads no answers.
_UNREAD_BYTES = 4_096
_SAMPLE_S = 0.02
# The process has handled the bytes sent once it is idle for this long.
_IDLE_S = 0.5
_IDLE_TICKS = 10  # of its processor time, hundredths of a second
_SETTLE_S = 20.0
# A client whose bytes are not taken for this long stops sending.
_BLOCKED_S = 5.0
_RECEIVE_S = 0.2
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


def _pieces(piece, total):
    return (piece for _ in range(total // len(piece)))


def _chunks(head, size, total):
    """Yields a chunked body, without its last byte and its end."""
    yield head + CHUNKED
    chunk = b'%x\r\n%s\r\n' % (size, b' ' * size)
    full = (total - 1) // size
    at_once = max(1, _PIECE_BYTES // size)
    for start in range(0, full, at_once):
        yield chunk * min(at_once, full - start)
    left = (total - 1) % size
    yield b'%x\r\n%s' % (size, b' ' * left)


def _head_start(head, start, piece):
    yield head + start
    yield from _pieces(piece, _ENDLESS_BYTES)


def _known_length(head, total):
    yield head + b'Content-Length: %d\r\n\r\n' % total
    yield b' ' * (total - 1)


def _short_headers(head):
    letters = b'abcdefghijklmnopqrstuvwxyz'
    names = [
        bytes((a, b, c)) for a in letters for b in letters for c in letters
    ]
    yield head + b''.join(b'%s:\r\n' % name for name in names[:_HEADERS])


def sent_bytes(what: str, head: bytes, total: int) -> t.Iterator[bytes]:
    """Returns what a client sends, in pieces.

    :param head: request line and headers of a request with a body.
    :param total: length of a body, of which the last byte is not sent.
    """
    letters = b'x' * _PIECE_BYTES
    if what == 'a header name without end':
        return _head_start(head, b'X-', letters)
    if what == 'a header value without end':
        return _head_start(head, b'X: ', letters)
    if what == 'a path without end':
        return _head_start(b'', b'GET /', letters)
    if what == 'a trailer without end':
        return _head_start(head, CHUNKED + b'0\r\nX: ', letters)
    if what == 'many short headers':
        return _short_headers(head)
    if what == 'empty lines without end':
        return _pieces(b'\r\n', 2 * _LINES)
    if what == 'nothing':
        return iter(())
    if what == 'a body in large chunks':
        return _chunks(head, _PIECE_BYTES, total)
    if what == 'a body of known length':
        return _known_length(head, total)
    if found := re.fullmatch(r'a body in chunks of (\d) bytes?', what):
        return _chunks(head, int(found[1]), total)
    if found := re.fullmatch(r'(\d+) (bare|full) requests ahead', what):
        request = b'GET /x HTTP/1.1\r\n\r\n'
        if found[2] == 'full':
            request = head.replace(b'POST', b'GET') + b'\r\n'
        return _pieces(request * _AT_ONCE, int(found[1]) * len(request))
    raise ValueError(what)


class Client:
    """A client of the crowd; its connection stays open."""

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None

    async def connect(self) -> None:
        """Connects, unless the server turns the client away."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self._address)
        except OSError:
            # The server turned the client away.
            sock.close()
            return
        # Nothing reads the stream, which stops taking bytes at its limit.
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=1
        )
        self._writer.transport.set_write_buffer_limits(high=0)

    async def send(self, pieces):
        """Sends until the pieces end, nothing is taken, or it is cut off."""
        if self._writer is None:
            return
        try:
            for piece in pieces:
                self._writer.write(piece)
                async with asyncio.timeout(_BLOCKED_S):
                    await self._writer.drain()
                await asyncio.sleep(0)
        except (OSError, TimeoutError):
            # The server closed the connection or takes nothing more.
            return

    async def received(self, size: int) -> bytes:
        """Returns the beginning of what the server has sent by now."""
        data = b''
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_RECEIVE_S):
                while len(data) < size and self._reader is not None:
                    piece = await self._reader.read(size - len(data))
                    if not piece:
                        break
                    data += piece
        return data

    def close(self) -> None:
        """Ends the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


def _processor_ticks(pid):
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return int(fields[11]) + int(fields[12])


def _open_descriptors(pid):
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


class ProcessWatch:
    """Watches a process.

    :ivar descriptors: most descriptors that it had open at a sample.
    """

    def __init__(self, *, pid: int):
        self.descriptors = 0
        self._pid = pid

    def runs(self) -> bool:
        """Returns whether the process has not ended."""
        path = pathlib.Path(f'/proc/{self._pid}/stat')
        with contextlib.suppress(OSError):
            return path.read_text().rpartition(')')[2].split()[0] != 'Z'
        return False

    def peak_mb(self) -> float:
        """Returns the largest resident memory that it has had."""
        status = pathlib.Path(f'/proc/{self._pid}/status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / 1_024

    async def sample_descriptors(self) -> None:
        """Samples the open descriptors until cancelled."""
        while self.runs():
            count = _open_descriptors(self._pid)
            self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(_SAMPLE_S)

    async def wait_idle(self) -> None:
        """Waits until the process has handled what was sent to it."""
        ticks = -_IDLE_TICKS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SETTLE_S):
                while self.runs():
                    before, ticks = ticks, _processor_ticks(self._pid)
                    if ticks - before < _IDLE_TICKS:
                        return
                    await asyncio.sleep(_IDLE_S)


async def send(
    clients: t.Sequence[Client],
    pieces: t.Iterable[t.Iterator[bytes]],
    watch: ProcessWatch,
) -> None:
    """Connects the clients one by one, then all send at once."""
    sampler = asyncio.create_task(watch.sample_descriptors())
    for client in clients:
        await client.connect()
    async with asyncio.TaskGroup() as group:
        for client, what in zip(clients, pieces, strict=True):
            group.create_task(client.send(what))
    await watch.wait_idle()
    sampler.cancel()
