"""A clock for tests that moves only when it is advanced."""

import asyncio
import heapq
import itertools

_SETTLE_TURNS = 50


class FakeClock:
    """Implements ``amaranthflow.clock.Clock`` with time set by a test.

    :param start_s: monotonic time at the start.
    :param start_wall_ms: Unix time in ms at the start.
    :param settle_turns: iterations of the event loop after which woken tasks
        are expected to wait again.
    """

    def __init__(
        self,
        *,
        start_s: float = 0.0,
        start_wall_ms: int = 1_700_000_000_000,
        settle_turns: int = _SETTLE_TURNS,
    ):
        self._settle_turns = settle_turns
        self._start_s = start_s
        self._now_s = start_s
        self._start_wall_ms = start_wall_ms
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []
        self._sequence = itertools.count()

    def monotonic(self) -> float:
        """Seconds since an arbitrary start."""
        return self._now_s

    def wall_ms(self) -> int:
        """Unix time in ms."""
        elapsed_s = self._now_s - self._start_s
        return self._start_wall_ms + round(elapsed_s * 1000)

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task until the clock has advanced that far."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        fut = asyncio.get_running_loop().create_future()
        entry = (self._now_s + seconds, next(self._sequence), fut)
        heapq.heappush(self._sleepers, entry)
        await fut

    def advance(self, seconds: float) -> None:
        """Advances the clock and wakes the sleepers due, earliest first.

        The woken tasks run when the caller next yields to the event loop.
        """
        target_s = self._now_s + seconds
        while self._sleepers and self._sleepers[0][0] <= target_s:
            self._wake_next()
        self._now_s = target_s

    async def run_for(self, seconds: float) -> None:
        """Advances the clock from sleeper to sleeper.

        Woken tasks run until they wait again before the next sleeper wakes.
        """
        target_s = self._now_s + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= target_s:
            self._wake_next()
            await self.settle()
        self._now_s = target_s
        await self.settle()

    async def settle(self, turns: int | None = None) -> None:
        """Lets ready tasks run for a number of event loop iterations."""
        for _ in range(self._settle_turns if turns is None else turns):
            await asyncio.sleep(0)

    def _wake_next(self) -> None:
        due_s, _, fut = heapq.heappop(self._sleepers)
        self._now_s = max(self._now_s, due_s)
        if not fut.done():
            fut.set_result(None)
