"""Clock interface, so that no policy reads the system clocks directly."""

import asyncio
import time
import typing as t


class Clock(t.Protocol):
    """Time source and sleep, which tests replace with a fake."""

    def monotonic(self) -> float:
        """Returns seconds that never decrease, for measuring durations."""

    def wall_ms(self) -> int:
        """Returns the Unix time in ms, never less than an earlier result."""

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling coroutine."""


class SystemClock:
    """Clock of the machine; its wall time never decreases."""

    def __init__(self):
        self._last_wall_ms = 0

    def monotonic(self) -> float:
        """Returns the kernel's boot time in s, which includes suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns the Unix time in ms, non-decreasing in this process."""
        now_ms = time.time_ns() // 1_000_000
        self._last_wall_ms = max(self._last_wall_ms, now_ms)
        return self._last_wall_ms

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling coroutine."""
        await asyncio.sleep(seconds)


async def wait_event(
    clock: Clock, event: asyncio.Event, seconds: float
) -> bool:
    """Waits for an event with a timeout; returns whether it is set."""
    if event.is_set() or seconds <= 0:
        return event.is_set()
    waiter = asyncio.ensure_future(event.wait())
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait(
            {waiter, timer}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        waiter.cancel()
        timer.cancel()
    return event.is_set()
