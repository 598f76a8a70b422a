"""Notifies of changes of the configuration in force, also booked ones."""

import asyncio
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import state as state_lib

from . import node as node_lib

_MAX_SLEEP_S = 60.0
_MS_PER_S = 1000


class ConfigListener(t.Protocol):
    """Receives changes of the configuration in force."""

    def on_config(self) -> None:
        """Called when the configuration in force has changed."""


class ConfigWatcher:
    """Notifies after each applied change and when a booking takes effect.

    A booked change takes effect at its time by the clock of the instance,
    whether or not the log answers then.
    """

    def __init__(self, *, node: node_lib.Node):
        self._node = node
        self._revision = -1
        self._changed = asyncio.Event()
        self.listeners: list[ConfigListener] = []

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Notifies if the batch changed the configuration."""
        if self._node.state.config.revision != self._revision:
            self._notify()

    def on_loaded(self) -> None:
        """Notifies after the state was replaced."""
        self._notify()

    async def run(self) -> t.NoReturn:
        """Waits for bookings until cancelled."""
        while True:
            self._changed.clear()
            now_ms = self._node.now_ms()
            next_ms = self._node.state.config.next_booking_ms(now_ms)
            if next_ms is None:
                await self._changed.wait()
                continue
            sleep_s = min((next_ms - now_ms) / _MS_PER_S, _MAX_SLEEP_S)
            await clock_lib.wait_event(
                self._node.clock, self._changed, sleep_s
            )
            if self._node.now_ms() >= next_ms:
                self._notify()

    def _notify(self) -> None:
        self._revision = self._node.state.config.revision
        self._node.config_generation += 1
        self._changed.set()
        for listener in self.listeners:
            listener.on_config()
