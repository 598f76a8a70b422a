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
_RETRY_FIRST_S = 0.1
_RETRY_MAX_S = 0.5


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
        self._retry_s = _RETRY_FIRST_S
        self._started = state.next_offset > 0
        self.reachable = False
        self.caught_up = False

    @property
    def snapshot_missing(self) -> bool:
        """True where the log keeps neither its beginning nor a snapshot.

        Only a peer's state helps then.
        """
        return self._replay is not None and self._replay.missing

    async def run(self) -> t.NoReturn:
        """Follows the log until cancelled."""
        while True:
            try:
                if not self._started:
                    await self._seek()
                await self.step(_LONG_POLL_S)
            except exceptions.OffsetExpired:
                await self._restart()
            except exceptions.PlatformError:
                await self._pause()

    async def step(self, wait_s: float) -> None:
        """Reads and applies one page."""
        asked_at = self._clock.monotonic()
        page = await self._log.read(self._position(), wait_s)
        self.reachable = True
        self._retry_s = _RETRY_FIRST_S
        for entry in page.entries:
            self._take(entry)
        if self._replay is not None:
            self._continue_replay()
        elif self._state.next_offset == page.next_offset:
            self.caught_up = True
            self._listener.on_confirmed(asked_at)

    def adopt(self, snapshot: records_pb2.Snapshot) -> None:
        """Starts from a peer's state where it is newer than this one."""
        if snapshot.at_offset > self._state.next_offset:
            self._load(snapshot)

    def _position(self) -> ids.Offset:
        if self._replay is not None:
            return self._replay.next_offset
        return self._state.next_offset

    async def _pause(self) -> None:
        self.reachable = False
        await self._clock.sleep(self._retry_s)
        self._retry_s = min(2 * self._retry_s, _RETRY_MAX_S)

    async def _restart(self) -> None:
        """Looks for a snapshot among the entries that the log still keeps."""
        self.caught_up = False
        try:
            await self._seek()
        except exceptions.PlatformError:
            await self._pause()

    async def _seek(self) -> None:
        first = await self._log.first_offset()
        page = await self._log.read(first, 0)
        self._started = True
        self._replay = snapshots.Replay(first=first, end=page.next_offset)
        self._continue_replay()

    def _take(self, entry: platform.Entry) -> None:
        if self._replay is None:
            self._apply(entry)
            return
        self._replay.add(entry)
        if self._replay.found() is not None:
            self._continue_replay()

    def _continue_replay(self) -> None:
        """Ends the replay where it has a start, or begins it earlier."""
        snapshot = self._replay.found()
        if snapshot is None:
            self._replay = self._replay.widened() or self._replay
            return
        entries = self._replay.entries_from(snapshot.at_offset)
        self._replay = None
        if snapshot.at_offset >= self._state.next_offset:
            self._load(snapshot)
        for kept in entries:
            self._apply(kept)

    def _load(self, snapshot: records_pb2.Snapshot) -> None:
        self._started = True
        self._replay = None
        self._state.load(snapshot)
        self._listener.on_loaded()

    def _apply(self, entry: platform.Entry) -> None:
        # A peer's state may have been adopted while the page was read.
        if entry.offset < self._state.next_offset:
            return
        try:
            applied = self._state.apply(entry.offset, entry.data)
        except exceptions.InvalidRecord as exc:
            self._listener.on_invalid(exc)
            return
        self._listener.on_applied(applied)
