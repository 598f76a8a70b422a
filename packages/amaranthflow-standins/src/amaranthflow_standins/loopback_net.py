"""Loopback addresses that one run has to itself.

A port that is looked for and released before a child process binds it may be
taken by another process, also for an outgoing connection. Servers at
addresses of a reserved prefix may use any fixed ports instead.
"""

import errno
import os
import socket
import typing as t

_PREFIXES = 250 * 256
# The address and port whose use marks a prefix as reserved.
_LOCK_HOST = 254
_LOCK_PORT = 8160


class LoopbackNet:
    """A /24 prefix of loopback addresses, reserved until it is closed.

    Its addresses end in 1 to 253. The reservation is lost with the process.

    :param first: number of the prefix that is tried first, by default one
        that follows from the process id.
    :raises OSError: no prefix is free.
    """

    def __init__(self, *, first: int | None = None):
        start = os.getpid() if first is None else first
        self.prefix, self._lock = _reserve(start)

    def host(self, number: int) -> str:
        """Returns one of the addresses."""
        return f'{self.prefix}.{number}'

    def close(self) -> None:
        """Releases the prefix."""
        self._lock.close()


def _reserve(start: int) -> tuple[str, socket.socket]:
    for prefix in _prefixes(start):
        lock = socket.socket()
        try:
            lock.bind((f'{prefix}.{_LOCK_HOST}', _LOCK_PORT))
        except OSError as exc:
            lock.close()
            if exc.errno != errno.EADDRINUSE:
                raise
            continue
        return prefix, lock
    raise OSError(errno.EADDRINUSE, 'no free prefix of loopback addresses')


def _prefixes(start: int) -> t.Iterator[str]:
    for number in range(start, start + _PREFIXES):
        yield f'127.{1 + (number >> 8) % 250}.{number % 256}'
