"""An event loop that skips the time in which all its tasks sleep."""

import asyncio
import selectors
import typing as t

_MS_PER_S = 1000

Result = t.TypeVar('Result')


class _VirtualTimeSelector(selectors.SelectSelector):
    """Never blocks: waiting for the next timer advances virtual time."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self.now_s += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, for tests without delays.

    The loop is also a ``Clock`` that starts at 0 s. Sockets and threads must
    not be used, since the loop does not wait for them.
    """

    def __init__(self):
        self._selector = _VirtualTimeSelector()
        super().__init__(self._selector)

    def time(self) -> float:
        """Virtual seconds since the loop was created."""
        return self._selector.now_s

    def monotonic(self) -> float:
        """Virtual seconds since the loop was created."""
        return self.time()

    def wall_ms(self) -> int:
        """Virtual ms since the loop was created."""
        return int(self.time() * _MS_PER_S)

    def spend(self, seconds: float) -> None:
        """Advances time by a computation, during which no task runs."""
        self._selector.now_s += seconds

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task in virtual time."""
        await asyncio.sleep(seconds)


def run(main: t.Callable[[VirtualLoop], t.Awaitable[Result]]) -> Result:
    """Runs a coroutine function, called with a new loop, to completion."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()
