"""An event loop whose time passes at once while all its tasks sleep."""

import asyncio
import selectors
import typing as t

_MS_PER_S = 1000

Result = t.TypeVar('Result')


class _SkippingSelector(selectors.SelectSelector):
    """Never blocks: a wait for the next timer moves the time instead."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        self.now_s += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, for tests without delays.

    Also serves as a ``Clock``. Starts at 0 s. Sockets and threads must not
    be used, since nothing waits for them.
    """

    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Virtual seconds since the loop was made."""
        return self._skipping.now_s

    def monotonic(self) -> float:
        """Virtual seconds since the loop was made."""
        return self.time()

    def wall_ms(self) -> int:
        """Virtual ms since the loop was made."""
        return int(self.time() * _MS_PER_S)

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task in virtual time."""
        await asyncio.sleep(seconds)


def run(main: t.Callable[[VirtualLoop], t.Awaitable[Result]]) -> Result:
    """Runs a coroutine function, given the loop as its clock, to its end."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()
