"""Limits how many workers a leader starts to call at the same time.

Answers a new leader of several thousand workers. Each connection and first
report takes processor time, and so does each start of the many runs that have
waited for a leader. All of them together take longer than the timeout of each:
none succeeds, and all are repeated.
"""

import asyncio
import contextlib
import typing as t

# All workers of a smaller fleet are called at once.
_LARGE_FLEET = 500
# They take less than a tenth of a second of a slow processor.
_MAX_CALLS = 128
# A worker that responds does so earlier unless this process is busy. Others
# must not wait for the timeouts of workers that do not respond.
_MAX_HELD_S = 0.1


class Contacts:
    """Slots for calls that may have to open a connection.

    First reports, reports of workers that did not respond to their last call,
    and starts have slots of their own.
    """

    def __init__(self, *, most: int = _MAX_CALLS):
        self._first = asyncio.Semaphore(most)
        self._repeated = asyncio.Semaphore(most)
        self._starts = asyncio.Semaphore(most)

    def report_slot(
        self, fleet_size: int, *, lost: bool
    ) -> t.AsyncContextManager[None]:
        """Returns a slot for a report on a new connection.

        :param lost: the worker did not respond to its last call.
        """
        return _slot(self._repeated if lost else self._first, fleet_size)

    def start_slot(self, fleet_size: int) -> t.AsyncContextManager[None]:
        """Returns a slot for the start of a run."""
        return _slot(self._starts, fleet_size)


@contextlib.asynccontextmanager
async def _slot(
    slots: asyncio.Semaphore, fleet_size: int
) -> t.AsyncIterator[None]:
    """Waits for a slot and holds it for a short time at most."""
    if fleet_size <= _LARGE_FLEET:
        yield
        return
    await slots.acquire()
    held = _Held(slots)
    timer = asyncio.get_running_loop().call_later(_MAX_HELD_S, held.release)
    try:
        yield
    finally:
        timer.cancel()
        held.release()


class _Held:
    """A slot that is released once."""

    def __init__(self, slots: asyncio.Semaphore):
        self._slots: asyncio.Semaphore | None = slots

    def release(self) -> None:
        if self._slots is not None:
            self._slots.release()
            self._slots = None
