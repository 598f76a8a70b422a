"""Reader of the log that applies its entries to the state."""

import typing as t

from amaranthflow_schema.v1 import records_pb2

from . import clock as clock_lib
from . import exceptions
from . import ids
from . import platform
from . import snapshots
from . import state as state_lib

_LONG_POLL_S = 0.5
_INITIAL_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.5


class Listener(t.Protocol):
    """Receives the events of a follower."""

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Called after a batch was applied."""

    def on_loaded(self) -> None:
        """Called after the state was replaced with a snapshot's."""

    def on_confirmed(self, asked_at: float) -> None:
        """Called when all entries of a time are applied.

        :param asked_at: that time, monotonic, in s.
        """

    def on_invalid(self, exc: exceptions.InvalidRecord) -> None:
        """Called after an entry that cannot be decoded was skipped."""


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
        self._retry_delay_s = _INITIAL_RETRY_DELAY_S
        self._has_start = state.next_offset > 0
        self.reachable = False
        self.caught_up = False

    @property
    def snapshot_missing(self) -> bool:
        """True if the log has neither its beginning nor a snapshot.

        The follower then needs the state of a peer.
        """
        return self._replay is not None and self._replay.missing

    async def run(self) -> t.NoReturn:
        """Follows the log until cancelled."""
        while True:
            try:
                if not self._has_start:
                    await self._start_replay()
                await self.step(_LONG_POLL_S)
            except exceptions.OffsetExpired:
                await self._restart()
            except exceptions.PlatformError:
                await self._back_off()

    async def step(self, wait_s: float) -> None:
        """Reads and applies one page of the log."""
        asked_at = self._clock.monotonic()
        page = await self._log.read(self._position(), wait_s)
        self.reachable = True
        self._retry_delay_s = _INITIAL_RETRY_DELAY_S
        for entry in page.entries:
            self._handle_entry(entry)
        if self._replay is not None:
            self._continue_replay()
        elif self._state.next_offset == page.next_offset:
            self.caught_up = True
            self._listener.on_confirmed(asked_at)

    def adopt(self, snapshot: records_pb2.Snapshot) -> None:
        """Loads a peer's snapshot if it is newer than the state."""
        if snapshot.at_offset > self._state.next_offset:
            self._load(snapshot)

    def _position(self) -> ids.Offset:
        if self._replay is not None:
            return self._replay.next_offset
        return self._state.next_offset

    async def _back_off(self) -> None:
        self.reachable = False
        await self._clock.sleep(self._retry_delay_s)
        self._retry_delay_s = min(2 * self._retry_delay_s, _MAX_RETRY_DELAY_S)

    async def _restart(self) -> None:
        """Starts a replay from the entries that the log still keeps."""
        self.caught_up = False
        try:
            await self._start_replay()
        except exceptions.PlatformError:
            await self._back_off()

    async def _start_replay(self) -> None:
        first = await self._log.first_offset()
        page = await self._log.read(first, 0)
        self._has_start = True
        self._replay = snapshots.Replay(first=first, end=page.next_offset)
        self._continue_replay()

    def _handle_entry(self, entry: platform.Entry) -> None:
        if self._replay is None:
            self._apply(entry)
            return
        self._replay.add(entry)
        if self._replay.found() is not None:
            self._continue_replay()

    def _continue_replay(self) -> None:
        """Ends the replay once it has a start, or widens it."""
        snapshot = self._replay.found()
        if snapshot is None:
            self._replay = self._replay.widened() or self._replay
            return
        entries = self._replay.entries_from(snapshot.at_offset)
        self._replay = None
        if snapshot.at_offset >= self._state.next_offset:
            self._load(snapshot)
        for entry in entries:
            self._apply(entry)

    def _load(self, snapshot: records_pb2.Snapshot) -> None:
        self._has_start = True
        self._replay = None
        self._state.load(snapshot)
        self._listener.on_loaded()

    def _apply(self, entry: platform.Entry) -> None:
        # A peer's snapshot may have been loaded while the page was read.
        if entry.offset < self._state.next_offset:
            return
        try:
            applied = self._state.apply(entry.offset, entry.data)
        except exceptions.InvalidRecord as exc:
            self._listener.on_invalid(exc)
            return
        self._listener.on_applied(applied)
