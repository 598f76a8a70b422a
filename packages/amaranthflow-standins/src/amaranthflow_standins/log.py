"""In-memory stand-in for the platform's log service."""

import asyncio
import collections
import dataclasses
import random

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform

_PAGE_ENTRIES = 2000
_PAGE_BYTES = 4 * 1024 * 1024
_MAX_QUEUE_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class LogFaults:
    """Faults of the log that are active now.

    :ivar down: appends and reads fail without effect.
    :ivar refuse: appends are refused, reads work.
    :ivar slow_s: extra latency of each append and read.
    :ivar lose_replies: number of next appends that take effect but whose
        reply is lost.
    :ivar lose_requests: number of next appends that are lost without effect.
    :ivar lost_reply_share: share of appends that take effect but whose reply
        is lost.
    :ivar lost_request_share: share of appends that are lost without effect.
    """

    down: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    lost_reply_share: float = 0.0
    lost_request_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _StoredEntry:
    entry: platform.Entry
    at_s: float


class LogStandin:
    """Implements ``amaranthflow.platform.LogService`` in memory.

    Offsets start at 1. Appends above the rate limit are queued, and refused
    if they would wait longer than a second.

    :param retention_entries: maximum number of entries kept.
    :param retention_s: maximum age of entries kept.
    :param appends_per_s: rate limit of appends, 0 for none.
    :param latency_s: latency of each append.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        retention_entries: int = 1_000_000,
        retention_s: float = 7 * 86400.0,
        appends_per_s: float = 0.0,
        latency_s: float = 0.0,
    ):
        self.faults = LogFaults()
        self.append_count = 0
        self._clock = clock
        self._rng = rng
        self._retention_entries = retention_entries
        self._retention_s = retention_s
        self._interval_s = 1 / appends_per_s if appends_per_s else 0.0
        self._latency_s = latency_s
        self._stored: collections.deque[_StoredEntry] = collections.deque()
        self._next_offset = 1
        self._next_slot_s = clock.monotonic()
        self._changed = asyncio.Event()

    @property
    def next_offset(self) -> ids.Offset:
        """Offset of the next append."""
        return ids.Offset(self._next_offset)

    @property
    def entries(self) -> tuple[platform.Entry, ...]:
        """All entries currently kept, for tests."""
        self._expire()
        return tuple(stored.entry for stored in self._stored)

    def set_faults(self, **changes) -> None:
        """Changes faults; an outage fails waiting readers at once."""
        self.faults = dataclasses.replace(self.faults, **changes)
        self._notify()

    async def append(self, data: bytes) -> ids.Offset:
        """Appends one entry; see ``platform.LogService``."""
        self._check_up()
        if self.faults.refuse:
            raise exceptions.PlatformError('log refuses appends')
        await self._wait_for_slot()
        self._check_up()
        if self._lose_request():
            raise exceptions.PlatformUncertain('no reply from the log')
        offset = self._store(data)
        if self._lose_reply():
            raise exceptions.PlatformUncertain('no reply from the log')
        return offset

    async def read(self, start: ids.Offset, wait_s: float) -> platform.LogPage:
        """Reads from an offset; see ``platform.LogService``."""
        self._check_up()
        if self.faults.slow_s:
            await self._clock.sleep(self.faults.slow_s)
        deadline_s = self._clock.monotonic() + wait_s
        while start >= self._next_offset:
            remaining_s = deadline_s - self._clock.monotonic()
            if not await clock_lib.wait_event(
                self._clock, self._changed, remaining_s
            ):
                break
            self._check_up()
        self._check_up()
        return self._page(start)

    async def first_offset(self) -> ids.Offset:
        """Returns the offset of the oldest entry kept."""
        self._check_up()
        self._expire()
        return self._first_offset()

    def _check_up(self) -> None:
        if self.faults.down:
            raise exceptions.PlatformError('log is down')

    async def _wait_for_slot(self) -> None:
        now_s = self._clock.monotonic()
        slot_s = max(self._next_slot_s, now_s)
        if slot_s - now_s > _MAX_QUEUE_S:
            raise exceptions.PlatformError('log is overloaded')
        self._next_slot_s = slot_s + self._interval_s
        delay_s = slot_s - now_s + self._latency_s + self.faults.slow_s
        if delay_s > 0:
            await self._clock.sleep(delay_s)

    def _lose_request(self) -> bool:
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return True
        share = self.faults.lost_request_share
        return share > 0 and self._rng.random() < share

    def _lose_reply(self) -> bool:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return True
        share = self.faults.lost_reply_share
        return share > 0 and self._rng.random() < share

    def _store(self, data: bytes) -> ids.Offset:
        offset = ids.Offset(self._next_offset)
        entry = platform.Entry(offset=offset, data=data)
        self._stored.append(
            _StoredEntry(entry=entry, at_s=self._clock.monotonic())
        )
        self._next_offset += 1
        self.append_count += 1
        self._expire()
        self._notify()
        return offset

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        oldest_s = self._clock.monotonic() - self._retention_s
        while self._stored and (
            len(self._stored) > self._retention_entries
            or self._stored[0].at_s < oldest_s
        ):
            self._stored.popleft()

    def _first_offset(self) -> ids.Offset:
        return ids.Offset(self._next_offset - len(self._stored))

    def _page(self, start: ids.Offset) -> platform.LogPage:
        self._expire()
        first = self._first_offset()
        if start < first:
            raise exceptions.OffsetExpired(
                f'offset {start} has expired, the oldest is {first}'
            )
        return platform.LogPage(
            entries=self._entries_from(start - first),
            next_offset=self.next_offset,
        )

    def _entries_from(self, index: int) -> tuple[platform.Entry, ...]:
        entries = []
        size = 0
        stop = min(index + _PAGE_ENTRIES, len(self._stored))
        for position in range(index, stop):
            entry = self._stored[position].entry
            size += len(entry.data)
            if entries and size > _PAGE_BYTES:
                break
            entries.append(entry)
        return tuple(entries)
