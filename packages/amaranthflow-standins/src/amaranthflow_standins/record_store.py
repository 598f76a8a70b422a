"""Stand-in of the platform's record store, with its faults."""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import exceptions
from amaranthflow_scheduler import ports

_ANSWER_S = 0.005
_SILENCE_S = 0.9
_REFUSE_S = 0.002
_LARGE = (ports.Table.JOBS, ports.Table.PROGRESS)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """What goes wrong now.

    :ivar silent: instances that get no answer; nothing is done.
    :ivar busy: instances that are refused.
    :ivar lost_reply_share: share of appends that are done and not answered.
    :ivar delayed_share: share of appends that are done seconds later.
    :ivar slow_s: added to each answer.
    :ivar failing_table_reads: instances to which whole tables do not arrive.
    """

    silent: set[str] = dataclasses.field(default_factory=set)
    busy: set[str] = dataclasses.field(default_factory=set)
    lost_reply_share: float = 0.0
    delayed_share: float = 0.0
    slow_s: float = 0.0
    failing_table_reads: set[str] = dataclasses.field(default_factory=set)


class _Table:
    def __init__(self):
        self.records: list[ports.Record] = []
        self.first = 0
        self.epoch = -1
        self.answers: dict[tuple[int, int], int] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.records)

    def newest(self) -> dict[bytes, ports.Record]:
        found: dict[bytes, ports.Record] = {}
        for record in self.records:
            found.pop(record.key, None)
            if record.value:
                found[record.key] = record
        return found


class RecordStore:
    """All tables; ``link`` gives an instance its way to them."""

    def __init__(self, *, rng: random.Random):
        self.faults = StoreFaults()
        self.calls = 0
        self._rng = rng
        self._tables = {table: _Table() for table in ports.Table}

    def link(self, instance: str) -> 'StoreLink':
        """Returns the store as one instance reaches it."""
        return StoreLink(store=self, instance=instance)

    def compact(self) -> None:
        """Drops the history; the newest record of each key stays."""
        for table in self._tables.values():
            table.first = table.end

    def put(self, table: ports.Table, key: bytes, value: bytes) -> None:
        """Adds a record in the name of an operator or worker."""
        self.append_now(table, [(key, value)])

    def append_now(
        self,
        name: ports.Table,
        items: t.Sequence[tuple[bytes, bytes]],
        expected_end: int | None = None,
        writer: ports.Writer | None = None,
    ) -> int:
        """Appends under the conditions given."""
        table = self._tables[name]
        if expected_end is not None and expected_end != table.end:
            raise ports.Conflict('end', end=table.end)
        if writer is not None:
            known = self._check_writer(table, writer, bool(items))
            if known is not None:
                return known
        offset = table.end
        for key, value in items:
            table.records.append(ports.Record(table.end, key, value))
        if writer is not None and items:
            table.answers[writer.token, writer.number] = offset
        table.changed.set()
        table.changed = asyncio.Event()
        return offset

    def _check_writer(
        self, table: _Table, writer: ports.Writer, writes: bool
    ) -> int | None:
        if writer.token < table.epoch:
            raise ports.Conflict('fenced')
        table.epoch = writer.token
        if not writes:
            return table.end
        return table.answers.get((writer.token, writer.number))

    async def reach(self, instance: str) -> None:
        """Takes the time of a call, or fails as the faults say."""
        self.calls += 1
        if instance in self.faults.silent:
            await asyncio.sleep(_SILENCE_S)
            raise exceptions.PlatformUncertain('no answer')
        if instance in self.faults.busy:
            await asyncio.sleep(_REFUSE_S)
            raise exceptions.PlatformError('busy')
        await asyncio.sleep(_ANSWER_S + self.faults.slow_s)

    async def append(
        self,
        name: ports.Table,
        items: t.Sequence[tuple[bytes, bytes]],
        expected_end: int | None,
        writer: ports.Writer | None,
    ) -> int:
        """Appends, late or without an answer where the faults say so."""
        args = (name, items, expected_end, writer)
        if self._rng.random() < self.faults.delayed_share:
            delay_s = self._rng.uniform(1.0, 6.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append_late, *args)
            await asyncio.sleep(_SILENCE_S)
            raise exceptions.PlatformUncertain('answer lost')
        offset = self.append_now(*args)
        if self._rng.random() < self.faults.lost_reply_share:
            await asyncio.sleep(_SILENCE_S)
            raise exceptions.PlatformUncertain('answer lost')
        return offset

    def _append_late(self, *args: t.Any) -> None:
        try:
            self.append_now(*args)
        except ports.Conflict:
            # Its condition holds no longer: nobody waits for the answer.
            return

    async def read(
        self, name: ports.Table, start: int, wait_ms: int
    ) -> ports.Batch:
        """Reads from an offset on, waiting for the first record."""
        table = self._tables[name]
        if start < table.first:
            raise exceptions.OffsetExpired(f'{start} < {table.first}')
        if start >= table.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await table.changed.wait()
            except TimeoutError:
                return ports.Batch([], start)
        return ports.Batch(table.records[start:], max(start, table.end))

    def first_offset(self, name: ports.Table) -> int:
        """Returns the offset of the first record that is still kept."""
        return self._tables[name].first

    def count_values(self, name: ports.Table) -> int:
        """Returns how many records with a value were ever added."""
        return sum(bool(record.value) for record in self._tables[name].records)

    def newest(self, name: ports.Table) -> ports.Batch:
        """Returns the newest record of each key."""
        table = self._tables[name]
        return ports.Batch(list(table.newest().values()), table.end)


class StoreLink:
    """Implements ``ports.Store`` for one instance."""

    def __init__(self, *, store: RecordStore, instance: str):
        self._store = store
        self._instance = instance

    async def append(
        self,
        table: ports.Table,
        items: t.Sequence[tuple[bytes, bytes]],
        *,
        expected_end: int | None = None,
        writer: ports.Writer | None = None,
    ) -> int:
        """Adds records; see ``ports.Store``."""
        await self._store.reach(self._instance)
        return await self._store.append(table, items, expected_end, writer)

    async def read(
        self, table: ports.Table, start: int, *, wait_ms: int = 0
    ) -> ports.Batch:
        """Returns records from an offset on; see ``ports.Store``."""
        await self._store.reach(self._instance)
        return await self._store.read(table, start, wait_ms)

    async def newest(self, table: ports.Table) -> ports.Batch:
        """Returns the newest record of each key; see ``ports.Store``."""
        await self._store.reach(self._instance)
        if (
            table in _LARGE
            and self._instance in self._store.faults.failing_table_reads
        ):
            await asyncio.sleep(_SILENCE_S)
            raise exceptions.PlatformUncertain('no answer')
        return self._store.newest(table)
