"""A gate before everything that a paused instance would see."""

import asyncio

from amaranthflow import clock as clock_lib


class Gate:
    """Closed while the instance is paused, for good once it is dead."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()
        self.dead = False

    def pause(self) -> None:
        """Lets nothing through until ``resume``."""
        self._open.clear()

    def resume(self) -> None:
        """Lets everything through that came meanwhile."""
        if not self.dead:
            self._open.set()

    def kill(self) -> None:
        """Closes the gate for good."""
        self.dead = True
        self._open.clear()

    @property
    def closed(self) -> bool:
        """True while nothing passes."""
        return not self._open.is_set()

    async def wait(self) -> None:
        """Returns while the gate is open, else once it opens."""
        while not self._open.is_set():
            await self._open.wait()


class GatedClock:
    """A clock whose sleepers of a paused instance wake late.

    Time itself goes on during a pause, as it does on a real machine.
    """

    def __init__(self, *, clock: clock_lib.Clock, gate: Gate):
        self._clock = clock
        self._gate = gate

    def monotonic(self) -> float:
        """Seconds of the shared clock."""
        return self._clock.monotonic()

    def wall_ms(self) -> int:
        """Unix time of the shared clock in ms."""
        return self._clock.wall_ms()

    async def sleep(self, seconds: float) -> None:
        """Sleeps, and on while the gate is closed."""
        await self._clock.sleep(seconds)
        await self._gate.wait()


class Gated:
    """Passes calls on to an object; the answers wait at the gate.

    A call made just as the gate closes is still sent, as by a process that
    is stopped after a write.
    """

    def __init__(self, *, target: object, gate: Gate):
        self._target = target
        self._gate = gate

    def __getattr__(self, name: str):
        method = getattr(self._target, name)
        if name == 'close':
            return method

        async def call(*args, **kwargs):
            await self._gate.wait()
            try:
                answer = await method(*args, **kwargs)
            except Exception:
                await self._gate.wait()
                raise
            await self._gate.wait()
            return answer

        return call
