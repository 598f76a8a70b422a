"""Stand-in for the platform's record store, with fault injection."""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import exceptions
from amaranthflow_scheduler import ports

_LATENCY_S = 0.005
_TIMEOUT_S = 0.9
_REFUSAL_LATENCY_S = 0.002
_LARGE_TABLES = (ports.Table.JOBS, ports.Table.PROGRESS)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults that are active now.

    :ivar silent: instances whose calls time out without effect.
    :ivar silent_tables: pairs of an instance and a table for which its calls
        time out without effect.
    :ivar busy: instances whose calls are refused.
    :ivar refusal_s: how long a refusal takes.
    :ivar lost_reply_share: share of appends that take effect but whose reply
        is lost.
    :ivar delayed_share: share of appends that time out and take effect some
        seconds later.
    :ivar slow_s: extra latency of each call.
    :ivar append_s: how long each append occupies its table.
    :ivar record_bytes: size of the largest record; None for no limit.
    :ivar failing_table_reads: instances whose reads of a whole large table
        time out.
    """

    silent: set[str] = dataclasses.field(default_factory=set)
    silent_tables: set[tuple[str, ports.Table]] = dataclasses.field(
        default_factory=set
    )
    busy: set[str] = dataclasses.field(default_factory=set)
    refusal_s: float = _REFUSAL_LATENCY_S
    lost_reply_share: float = 0.0
    delayed_share: float = 0.0
    slow_s: float = 0.0
    append_s: float = 0.0
    record_bytes: int | None = None
    failing_table_reads: set[str] = dataclasses.field(default_factory=set)


class _Table:
    def __init__(self):
        self.records: list[ports.Record] = []
        self.first = 0
        self.epoch = -1
        self.offsets: dict[tuple[int, int], int] = {}
        self.changed = asyncio.Event()
        self.appending = asyncio.Lock()

    @property
    def end(self) -> int:
        return len(self.records)

    def newest(self) -> dict[bytes, ports.Record]:
        newest: dict[bytes, ports.Record] = {}
        for record in self.records:
            newest.pop(record.key, None)
            if record.value:
                newest[record.key] = record
        return newest


class RecordStore:
    """All tables of the store; ``link`` connects an instance to them.

    :ivar calls: number of calls received.
    """

    def __init__(self, *, rng: random.Random):
        self.faults = StoreFaults()
        self.calls = 0
        self._rng = rng
        self._tables = {table: _Table() for table in ports.Table}

    def link(self, instance: str) -> 'StoreLink':
        """Returns the connection of one instance to the store."""
        return StoreLink(store=self, instance=instance)

    def compact(self) -> None:
        """Drops old records; only the newest one of each key can be read."""
        for table in self._tables.values():
            table.first = table.end

    def put(self, table: ports.Table, key: bytes, value: bytes) -> None:
        """Adds a record as an operator or worker would."""
        self.append_now(table, [(key, value)])

    def append_now(
        self,
        name: ports.Table,
        items: t.Sequence[tuple[bytes, bytes]],
        expected_end: int | None = None,
        writer: ports.Writer | None = None,
    ) -> int:
        """Appends records and returns the offset of the first one.

        A writer that repeats an append gets the first offset again.

        :raises ports.Conflict: the table has another end than expected, or
            a writer with a newer token exists.
        :raises ports.RecordRefused: a record is too large.
        """
        table = self._tables[name]
        most = self.faults.record_bytes
        if most is not None:
            largest = max((1 + len(k) + len(v) for k, v in items), default=0)
            if largest > most:
                raise ports.RecordRefused(f'record of {largest} bytes')
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
            table.offsets[writer.token, writer.sequence] = offset
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
        return table.offsets.get((writer.token, writer.sequence))

    async def reach(self, instance: str, table: ports.Table) -> None:
        """Simulates the latency of a call, or its failure.

        :raises PlatformError: the store is busy.
        :raises PlatformUncertain: the call timed out.
        """
        self.calls += 1
        if self.is_silent(instance, table):
            await self.time_out()
        if instance in self.faults.busy:
            await asyncio.sleep(self.faults.refusal_s)
            raise exceptions.PlatformError('busy')
        await asyncio.sleep(_LATENCY_S + self.faults.slow_s)

    def is_silent(self, instance: str, table: ports.Table) -> bool:
        """Returns whether the store responds to no call of an instance."""
        silent = (instance, table) in self.faults.silent_tables
        return silent or instance in self.faults.silent

    async def time_out(self) -> t.NoReturn:
        """Simulates a call without a response. Raises PlatformUncertain."""
        await asyncio.sleep(_TIMEOUT_S)
        raise exceptions.PlatformUncertain('no response')

    async def append(
        self,
        name: ports.Table,
        items: t.Sequence[tuple[bytes, bytes]],
        expected_end: int | None,
        writer: ports.Writer | None,
    ) -> int:
        """Appends like ``append_now``, subject to the active faults.

        :raises PlatformUncertain: the reply was lost; the append may have
            taken effect or may do so later.
        """
        args = (name, items, expected_end, writer)
        if self.faults.append_s:
            async with self._tables[name].appending:
                await asyncio.sleep(self.faults.append_s)
        if self._rng.random() < self.faults.delayed_share:
            delay_s = self._rng.uniform(1.0, 6.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append_late, *args)
            await asyncio.sleep(_TIMEOUT_S)
            raise exceptions.PlatformUncertain('reply lost')
        offset = self.append_now(*args)
        if self._rng.random() < self.faults.lost_reply_share:
            await asyncio.sleep(_TIMEOUT_S)
            raise exceptions.PlatformUncertain('reply lost')
        return offset

    def _append_late(self, *args: t.Any) -> None:
        try:
            self.append_now(*args)
        except ports.Conflict:
            # The condition no longer holds, and the writer has timed out.
            return

    async def read(
        self, name: ports.Table, start: int, wait_ms: int
    ) -> ports.Batch:
        """Reads from an offset, with a long poll of ``wait_ms`` at the end.

        :raises OffsetExpired: records at this offset were dropped.
        """
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
        """Returns the offset of the oldest record kept."""
        return self._tables[name].first

    def count_values(self, name: ports.Table) -> int:
        """Returns the number of records with a value that were ever added."""
        return sum(bool(record.value) for record in self._tables[name].records)

    def newest(self, name: ports.Table) -> ports.Batch:
        """Returns the newest record of each key."""
        table = self._tables[name]
        return ports.Batch(list(table.newest().values()), table.end)


def _ignore_outcome(call: asyncio.Future) -> None:
    if not call.cancelled():
        call.exception()


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
        await self._store.reach(self._instance, table)
        # A call that the sender has given up on is executed nevertheless.
        call = asyncio.ensure_future(
            self._store.append(table, items, expected_end, writer)
        )
        call.add_done_callback(_ignore_outcome)
        return await asyncio.shield(call)

    async def read(
        self, table: ports.Table, start: int, *, wait_ms: int = 0
    ) -> ports.Batch:
        """Returns records from an offset; see ``ports.Store``."""
        await self._store.reach(self._instance, table)
        batch = await self._store.read(table, start, wait_ms)
        if self._store.is_silent(self._instance, table):
            await self._store.time_out()
        return batch

    async def newest(self, table: ports.Table) -> ports.Batch:
        """Returns the newest record of each key; see ``ports.Store``."""
        await self._store.reach(self._instance, table)
        if (
            table in _LARGE_TABLES
            and self._instance in self._store.faults.failing_table_reads
        ):
            await asyncio.sleep(_TIMEOUT_S)
            raise exceptions.PlatformUncertain('no response')
        return self._store.newest(table)
