"""Non-blocking writer of log lines."""

import collections
import threading
import typing as t

_MAX_QUEUED_LINES = 20_000
_GATHER_S = 0.01
_STOP_S = 1.0


class LineWriter:
    """Writes lines in order from a separate thread.

    A stalled reader of the stream delays only the log. Lines over the limit
    are dropped, and a line reports how many. After an error of the stream,
    all further lines are dropped.

    :param limit: most lines in the queue.
    :param gather_s: how long to collect lines before each write.
    """

    def __init__(
        self,
        *,
        stream: t.BinaryIO,
        limit: int = _MAX_QUEUED_LINES,
        gather_s: float = _GATHER_S,
    ):
        self._stream = stream
        self._limit = limit
        self._gather_s = gather_s
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: bytes) -> None:
        """Queues a line without blocking."""
        if len(self._lines) >= self._limit:
            self._dropped += 1
            return
        self._lines.append(line)
        self._wake.set()

    def flush(self) -> None:
        """Does nothing, since every write is flushed."""

    def stop(self, timeout_s: float = _STOP_S) -> None:
        """Writes the queued lines, but waits for ``timeout_s`` at most."""
        self._stopping.set()
        self._wake.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        try:
            while not self._stopping.is_set():
                self._wake.wait()
                self._stopping.wait(self._gather_s)
                self._wake.clear()
                self._write_queued()
            self._write_queued()
        except (OSError, ValueError):
            self._limit = 0

    def _write_queued(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(_dropped_line(dropped))
        self._stream.write(b''.join(lines))
        self._stream.flush()


def _dropped_line(count: int) -> bytes:
    return b'{"message_type":"log_lines_dropped","count":%d}\n' % count
