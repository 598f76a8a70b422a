"""Writer of log records with group commit, retries and read-back."""

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
_INITIAL_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 2.0


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class _Pending:
    """A record that waits to be applied.

    :ivar maybe_logged: whether an append of it may have taken effect.
    """

    record: records_pb2.Record
    fut: asyncio.Future
    size: int
    maybe_logged: bool = False

    def fail(self, exc: exceptions.AmaranthflowError) -> None:
        """Ends the wait with an error, unless it has ended."""
        if not self.fut.done():
            self.fut.set_exception(exc)
            self.fut.exception()


class Journal:
    """The only writer of a member's records.

    There is at most one batch in flight at a time. A batch keeps its
    sequence number until the follower has applied it, so that a batch whose
    reply was lost takes effect only once. The follower passes each applied
    batch to ``note_applied``, which returns the results to the callers of
    ``write``.

    :param batch_delay_s: how long a batch waits for more records.
    :param min_interval_s: returns the least time between two appends, which
        is this member's share of the log's rate limit.
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
        self._batch_applied = asyncio.Event()
        self._batch: list[_Pending] = []
        self._batch_done = True
        self._sequence = 0
        self.member = member
        self.reachable = True
        self.appends = 0
        self.records = 0

    async def write(
        self, record: records_pb2.Record, timeout_s: float
    ) -> results.Result:
        """Writes a record and returns its result once it is applied.

        :raises NotReady: the record is certainly not in the log.
        :raises RequestUncertain: the record may take effect later.
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
        """Returns the results of an applied batch to those who wait."""
        batch = applied.batch
        if not self._is_current(batch.incarnation, batch.sequence):
            return
        if batch.writer != self.member.instance or self._batch_done:
            return
        if not applied.results:
            self._finish_batch(_replaced_error())
            return
        self._finish_batch(None)
        for pending, result in zip(self._batch, applied.results, strict=True):
            if not pending.fut.done():
                pending.fut.set_result(result)

    def note_position(self, state: state_lib.State) -> None:
        """Ends the batch in flight if a loaded snapshot includes it."""
        position = state.writers.get(self.member.instance)
        if position is None or self._batch_done:
            return
        own = (self.member.incarnation, self._sequence)
        if (position.incarnation, position.sequence) >= own:
            self._finish_batch(
                exceptions.RequestUncertain(
                    'the result of the record is not known'
                )
            )

    def note_readable(self) -> None:
        """Notes that the log can be read again.

        While no batch is in flight, the journal counts as reachable; the
        next append shows whether the log accepts records.
        """
        if self._batch_done:
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
        if pending.maybe_logged:
            pending.fail(
                exceptions.RequestUncertain(
                    'the log has not confirmed the record'
                )
            )
            return
        if pending in self._queue:
            self._queue.remove(pending)
        pending.fail(
            exceptions.NotReady('the log does not accept records now')
        )

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
            self._batch_done = False
            self._batch_applied.clear()

    async def _send_batch(self) -> None:
        delay_s = _INITIAL_RETRY_DELAY_S
        while not self._batch_done:
            if self._never_logged() and self._drop_abandoned():
                return
            if await self._try_append():
                await self._batch_applied.wait()
                return
            if await self._wait_applied(delay_s):
                return
            jitter = self._rng.uniform(0.5, 1.0)
            await self._clock.sleep(delay_s * jitter)
            delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)

    async def _try_append(self) -> bool:
        """Appends the batch once; returns whether the log confirmed it."""
        try:
            await self._append()
        except (exceptions.PlatformError, exceptions.PlatformUncertain):
            self.reachable = False
            return False
        self.reachable = True
        return True

    async def _append(self) -> None:
        """Appends the batch once and marks its records as maybe logged.

        Each try writes the current time, so that an entry which is appended
        late does not have an early time.
        """
        batch = records_pb2.Batch(
            writer=self.member.instance,
            incarnation=self.member.incarnation,
            sequence=self._sequence,
            written_at_ms=self._clock.wall_ms(),
            records=[p.record for p in self._batch],
        )
        before = [p.maybe_logged for p in self._batch]
        for pending in self._batch:
            pending.maybe_logged = True
        try:
            await self._log.append(batch.SerializeToString())
        except exceptions.PlatformUncertain:
            raise
        except exceptions.PlatformError:
            # This append did not take effect, but an earlier one may have.
            for pending, maybe_logged in zip(self._batch, before, strict=True):
                pending.maybe_logged = maybe_logged
            raise
        self.appends += 1
        self.records += len(self._batch)

    async def _wait_applied(self, at_most_s: float) -> bool:
        """Waits until the batch is applied; returns whether it is."""
        if self._batch_done:
            return True
        await clock_lib.wait_event(self._clock, self._batch_applied, at_most_s)
        return self._batch_done

    def _never_logged(self) -> bool:
        """Returns whether no append of the batch can have taken effect."""
        return not any(pending.maybe_logged for pending in self._batch)

    def _drop_abandoned(self) -> bool:
        """Drops records without a waiter; returns whether none is left."""
        self._batch = [p for p in self._batch if not p.fut.done()]
        if self._batch:
            return False
        self._sequence -= 1
        self._batch_done = True
        return True

    def _finish_batch(self, exc: exceptions.AmaranthflowError | None) -> None:
        """Ends the batch; an error, if given, is raised to all waiters."""
        self._batch_done = True
        self._batch_applied.set()
        if exc is None:
            return
        for pending in self._batch:
            pending.fail(exc)


def _replaced_error() -> exceptions.NotReady:
    return exceptions.NotReady('a newer process of this instance has written')
