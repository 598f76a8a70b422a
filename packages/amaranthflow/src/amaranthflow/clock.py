"""Clocks. Policies and protocols never read the system's clocks directly."""

import asyncio
import time
import typing as t


class Clock(t.Protocol):
    """Time source and sleep, replaced by a fake in tests."""

    def monotonic(self) -> float:
        """Seconds that never go back; stands for durations only."""

    def wall_ms(self) -> int:
        """Unix time in ms; never less than an earlier result."""

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task."""


class SystemClock:
    """Clock of the machine. Wall time is held back where it would go back."""

    def __init__(self):
        self._last_wall_ms = 0

    def monotonic(self) -> float:
        """Seconds of the kernel's boot-time clock, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Unix time in ms, non-decreasing within this process."""
        now_ms = time.time_ns() // 1_000_000
        self._last_wall_ms = max(self._last_wall_ms, now_ms)
        return self._last_wall_ms

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task."""
        await asyncio.sleep(seconds)


async def wait_event(
    clock: Clock, event: asyncio.Event, seconds: float
) -> bool:
    """Waits until the event is set, at most ``seconds``; tells whether."""
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
