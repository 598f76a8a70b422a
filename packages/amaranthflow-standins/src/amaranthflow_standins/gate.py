"""Simulated pauses of an instance: a gate that delays its wake-ups."""

import asyncio

from amaranthflow import clock as clock_lib


class PauseGate:
    """Closed while an instance is paused, permanently once it is dead."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()
        self.dead = False

    def pause(self) -> None:
        """Closes the gate until ``resume``."""
        self._open.clear()

    def resume(self) -> None:
        """Opens the gate, unless the instance is dead."""
        if not self.dead:
            self._open.set()

    def kill(self) -> None:
        """Closes the gate permanently."""
        self.dead = True
        self._open.clear()

    @property
    def closed(self) -> bool:
        """True while the instance is paused or dead."""
        return not self._open.is_set()

    async def wait(self) -> None:
        """Waits until the gate is open."""
        while not self._open.is_set():
            await self._open.wait()


class GatedClock:
    """A clock whose sleepers wake only while the gate is open.

    Time continues to advance during a pause, as on a real machine.
    """

    def __init__(self, *, clock: clock_lib.Clock, gate: PauseGate):
        self._clock = clock
        self._gate = gate

    def monotonic(self) -> float:
        """Seconds of the shared clock."""
        return self._clock.monotonic()

    def wall_ms(self) -> int:
        """Unix time of the shared clock in ms."""
        return self._clock.wall_ms()

    async def sleep(self, seconds: float) -> None:
        """Sleeps, and then waits until the gate is open."""
        await self._clock.sleep(seconds)
        await self._gate.wait()


class Gated:
    """Forwards calls to an object; results wait until the gate is open.

    A call that was sent before the gate closed still takes effect, as with a
    process that is stopped after a write.
    """

    def __init__(self, *, target: object, gate: PauseGate):
        self._target = target
        self._gate = gate

    def __getattr__(self, name: str):
        method = getattr(self._target, name)
        if name == 'close':
            return method

        async def call(*args, **kwargs):
            await self._gate.wait()
            try:
                result = await method(*args, **kwargs)
            except Exception:
                await self._gate.wait()
                raise
            await self._gate.wait()
            return result

        return call
