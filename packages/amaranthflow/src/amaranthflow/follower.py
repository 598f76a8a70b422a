"""Reads the log and applies it to the state."""

import typing as t

from amaranthflow_schema.v1 import records_pb2

from . import clock as clock_lib
from . import exceptions
from . import ids
from . import platform
from . import snapshots
from . import state as state_lib

_LONG_POLL_S = 0.5
_RETRY_S = 0.1
# Logs number their first entry 0 or 1; nothing can be missing before it.
_FIRST_EVER = 1


class Listener(t.Protocol):
    """Is told what the follower sees."""

    def on_applied(self, applied: state_lib.Applied) -> None:
        """A batch was applied."""

    def on_loaded(self) -> None:
        """The state was replaced by a snapshot's."""

    def on_confirmed(self, asked_at: float) -> None:
        """All that the log kept at ``asked_at`` (monotonic s) is applied."""

    def on_invalid(self, exc: exceptions.InvalidRecord) -> None:
        """An entry could not be decoded and was passed over."""


class Follower:
    """Keeps one state up to date with the log."""

    def __init__(
        self,
        *,
        log: platform.LogService,
        clock: clock_lib.Clock,
        state: state_lib.State,
        listener: Listener,
    ):
        self._log = log
        self._clock = clock
        self._state = state
        self._listener = listener
        self._replay: snapshots.Replay | None = None
        self.reachable = False
        self.caught_up = False

    async def run(self) -> t.NoReturn:
        """Follows the log until cancelled."""
        while True:
            try:
                await self.step(_LONG_POLL_S)
            except exceptions.OffsetExpired:
                await self._restart()
            except exceptions.PlatformError:
                self.reachable = False
                await self._clock.sleep(_RETRY_S)

    async def step(self, wait_s: float) -> None:
        """Reads and applies one page."""
        asked_at = self._clock.monotonic()
        page = await self._log.read(self._position(), wait_s)
        self.reachable = True
        for entry in page.entries:
            self._take(entry)
        if self._replay is None and (
            self._state.next_offset == page.next_offset
        ):
            self.caught_up = True
            self._listener.on_confirmed(asked_at)

    def adopt(self, snapshot: records_pb2.Snapshot) -> None:
        """Starts from a peer's state where it is newer than this one."""
        if snapshot.at_offset > self._state.next_offset:
            self._replay = None
            self._state.load(snapshot)
            self._listener.on_loaded()

    def _position(self) -> ids.Offset:
        if self._replay is not None:
            return self._replay.next_offset
        return self._state.next_offset

    async def _restart(self) -> None:
        """Looks for a snapshot from the oldest kept entry on."""
        try:
            first = await self._log.first_offset()
        except exceptions.PlatformError:
            self.reachable = False
            await self._clock.sleep(_RETRY_S)
            return
        if first <= _FIRST_EVER and self._state.next_offset <= first:
            self._state.next_offset = first
            return
        self.caught_up = False
        self._replay = snapshots.Replay(start=first)

    def _take(self, entry: platform.Entry) -> None:
        if self._replay is None:
            self._apply(entry)
            return
        self._replay.add(entry)
        snapshot = self._replay.found()
        if snapshot is None:
            return
        entries = self._replay.entries_from(snapshot.at_offset)
        self._replay = None
        self._state.load(snapshot)
        self._listener.on_loaded()
        for kept in entries:
            self._apply(kept)

    def _apply(self, entry: platform.Entry) -> None:
        try:
            applied = self._state.apply(entry.offset, entry.data)
        except exceptions.InvalidRecord as exc:
            self._listener.on_invalid(exc)
            return
        self._listener.on_applied(applied)
