"""Writes records to the log: group commit, retries and read-back."""

import asyncio
import collections
import dataclasses
import random
import typing as t

from amaranthflow_schema.v1 import records_pb2

from . import clock as clock_lib
from . import exceptions
from . import ids
from . import platform
from . import results
from . import state as state_lib

MAX_PENDING_RECORDS = 20_000
MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 512 * 1024
_RETRY_FIRST_S = 0.05
_RETRY_MAX_S = 2.0


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class _Pending:
    """A record that waits for its place in the log."""

    record: records_pb2.Record
    fut: asyncio.Future
    size: int
    handed_on: bool = False

    def fail(self, exc: exceptions.AmaranthflowError) -> None:
        """Ends the wait with an error; the waiter may be gone already."""
        if not self.fut.done():
            self.fut.set_exception(exc)
            self.fut.exception()


class Journal:
    """The one writer of a member.

    At most one batch is on its way at any time and a batch keeps its
    sequence number until the follower has seen it, so that a batch whose
    reply was lost takes effect once. The follower passes each applied batch
    to ``note_applied``, which answers those who wait.

    :param batch_delay_s: how long a batch waits for more records.
    :param min_interval_s: returns the least time between two appends, this
        member's part of the log's rate.
    """

    def __init__(
        self,
        *,
        log: platform.LogService,
        clock: clock_lib.Clock,
        member: ids.Member,
        batch_delay_s: float,
        min_interval_s: t.Callable[[], float],
        rng: random.Random,
    ):
        self._log = log
        self._clock = clock
        self._batch_delay_s = batch_delay_s
        self._min_interval_s = min_interval_s
        self._rng = rng
        self._queue: collections.deque[_Pending] = collections.deque()
        self._wakeup = asyncio.Event()
        self._landed = asyncio.Event()
        self._batch: list[_Pending] = []
        self._batch_seen = True
        self._sequence = 0
        self.member = member
        self.reachable = True
        self.appends = 0
        self.records = 0

    async def write(
        self, record: records_pb2.Record, timeout_s: float
    ) -> results.Result:
        """Writes a record and returns its result once it is applied.

        :raises NotReady: the record is surely not in the log.
        :raises RequestUncertain: the record may get into the log.
        """
        if len(self._queue) >= MAX_PENDING_RECORDS:
            raise exceptions.NotReady('too many records wait for the log')
        pending = _Pending(
            record=record,
            fut=asyncio.get_running_loop().create_future(),
            size=record.ByteSize(),
        )
        self._queue.append(pending)
        self._wakeup.set()
        timer = asyncio.ensure_future(self._clock.sleep(timeout_s))
        try:
            await asyncio.wait(
                {pending.fut, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            if not pending.fut.done():
                self._abandon(pending)
        return pending.fut.result()

    def note_applied(self, applied: state_lib.Applied) -> None:
        """Answers the writers of a batch that the follower has applied."""
        batch = applied.batch
        if not self._is_current(batch.incarnation, batch.sequence):
            return
        if batch.writer != self.member.instance or self._batch_seen:
            return
        if not applied.results:
            self._resolve(_refused_as_replaced())
            return
        self._resolve(None)
        for pending, result in zip(self._batch, applied.results, strict=True):
            if not pending.fut.done():
                pending.fut.set_result(result)

    def note_position(self, state: state_lib.State) -> None:
        """Resolves the batch after the state was replaced by a snapshot."""
        position = state.writers.get(self.member.instance)
        if position is None or self._batch_seen:
            return
        own = (self.member.incarnation, self._sequence)
        if (position.incarnation, position.sequence) >= own:
            self._resolve(
                exceptions.RequestUncertain('its result was not seen')
            )

    def note_readable(self) -> None:
        """The log answers readers again.

        Without a batch on its way only the next append can tell whether it
        takes records too, so the journal counts as reachable until then.
        """
        if self._batch_seen:
            self.reachable = True

    async def run(self) -> t.NoReturn:
        """Sends batches until cancelled."""
        while True:
            await self._wakeup.wait()
            await self._clock.sleep(self._batch_delay_s)
            self._take_batch()
            if self._batch:
                started_at = self._clock.monotonic()
                await self._send_batch()
                spent_s = self._clock.monotonic() - started_at
                await self._clock.sleep(self._min_interval_s() - spent_s)

    async def flush(self) -> None:
        """Waits until everything written so far has got its result."""
        waiting = [p.fut for p in (*self._queue, *self._batch)]
        if waiting:
            await asyncio.wait(waiting)

    def _is_current(self, incarnation: int, sequence: int) -> bool:
        return (
            incarnation == self.member.incarnation
            and sequence == self._sequence
        )

    def _abandon(self, pending: _Pending) -> None:
        if pending.handed_on:
            pending.fail(
                exceptions.RequestUncertain('the log has not confirmed it')
            )
            return
        if pending in self._queue:
            self._queue.remove(pending)
        pending.fail(exceptions.NotReady('the log does not take records now'))

    def _take_batch(self) -> None:
        self._batch = []
        size = 0
        while self._queue and len(self._batch) < MAX_BATCH_RECORDS:
            size += self._queue[0].size
            if self._batch and size > MAX_BATCH_BYTES:
                break
            pending = self._queue.popleft()
            if not pending.fut.done():
                self._batch.append(pending)
        if not self._queue:
            self._wakeup.clear()
        if self._batch:
            self._sequence += 1
            self._batch_seen = False
            self._landed.clear()

    async def _send_batch(self) -> None:
        delay_s = _RETRY_FIRST_S
        while not self._batch_seen:
            if self._surely_absent() and self._drop_abandoned():
                return
            if await self._try_append():
                await self._landed.wait()
                return
            if await self._wait_landed(delay_s):
                return
            jitter = self._rng.uniform(0.5, 1.0)
            await self._clock.sleep(delay_s * jitter)
            delay_s = min(delay_s * 2, _RETRY_MAX_S)

    async def _try_append(self) -> bool:
        """Sends the batch once; True where the log has confirmed it."""
        try:
            await self._append()
        except (exceptions.PlatformError, exceptions.PlatformUncertain):
            self.reachable = False
            return False
        self.reachable = True
        return True

    async def _append(self) -> None:
        """Sends the batch once and marks its records as handed on.

        The time is written anew at each try: an entry that lands late must
        not carry an early time.
        """
        batch = records_pb2.Batch(
            writer=self.member.instance,
            incarnation=self.member.incarnation,
            sequence=self._sequence,
            written_at_ms=self._clock.wall_ms(),
            records=[p.record for p in self._batch],
        )
        before = [p.handed_on for p in self._batch]
        for pending in self._batch:
            pending.handed_on = True
        try:
            await self._log.append(batch.SerializeToString())
        except exceptions.PlatformUncertain:
            raise
        except exceptions.PlatformError:
            # This try is surely not kept; an earlier one may be.
            for pending, handed_on in zip(self._batch, before, strict=True):
                pending.handed_on = handed_on
            raise
        self.appends += 1
        self.records += len(self._batch)

    async def _wait_landed(self, at_most_s: float) -> bool:
        """Waits for the follower to see the batch."""
        if self._batch_seen:
            return True
        await clock_lib.wait_event(self._clock, self._landed, at_most_s)
        return self._batch_seen

    def _surely_absent(self) -> bool:
        """Tells whether no try of the batch can be in the log."""
        return not any(pending.handed_on for pending in self._batch)

    def _drop_abandoned(self) -> bool:
        """Drops records nobody waits for; True when none is left."""
        self._batch = [p for p in self._batch if not p.fut.done()]
        if self._batch:
            return False
        self._sequence -= 1
        self._batch_seen = True
        return True

    def _resolve(self, exc: exceptions.AmaranthflowError | None) -> None:
        """Ends the batch, with an error for all who wait for it if given."""
        self._batch_seen = True
        self._landed.set()
        if exc is None:
            return
        for pending in self._batch:
            pending.fail(exc)


def _refused_as_replaced() -> exceptions.NotReady:
    return exceptions.NotReady('a newer process of this instance has written')
