"""Stores the records of accepted jobs, several with one append."""

import asyncio
import dataclasses

from amaranthflow import exceptions

from . import hedging
from . import ports
from . import store_health

# An append takes a few ms. A few concurrent attempts are enough even if a
# third of the responses are lost.
_MIN_HEDGE_DELAY_S = 0.12
_MAX_ATTEMPTS = 3
# Callers wait for the append; the timeout is longer only while the store is
# slow.
_TIMEOUT_S = 0.7
_MAX_CALL_SHARE = 0.5
# How often a caller whose record is not sent yet looks at the store's health.
_POLL_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Submission:
    """A record and the outcome of its append.

    :ivar sent: an append with the record may have reached the store.
    """

    key: bytes
    value: bytes
    fut: asyncio.Future[None]
    sent: bool = False


class Submissions:
    """Appends records of jobs in batches.

    Records that arrive during an append are stored together by the next one.

    :param call_bytes: size of the largest append that the store accepts.
    """

    def __init__(self, *, store: store_health.ObservedStore, call_bytes: int):
        self._store = store
        self._max_bytes = int(_MAX_CALL_SHARE * call_bytes)
        self._latency = hedging.LatencyEstimate(min_delay_s=_MIN_HEDGE_DELAY_S)
        self._queue: list[_Submission] = []
        self._task: asyncio.Task | None = None

    async def append(self, key: bytes, value: bytes) -> None:
        """Stores a record; returns once it is stored.

        Raises PlatformError if the record is not stored and never will be,
        PlatformUncertain if it may be stored.
        """
        loop = asyncio.get_running_loop()
        submission = _Submission(
            key=key, value=value, fut=loop.create_future()
        )
        self._queue.append(submission)
        if self._task is None:
            self._task = loop.create_task(self._run())
        try:
            while not submission.fut.done():
                if not submission.sent and self._store.away:
                    self._queue.remove(submission)
                    raise exceptions.PlatformError('the store is away')
                await asyncio.wait({submission.fut}, timeout=_POLL_S)
            submission.fut.result()
        finally:
            submission.fut.cancel()
            # A cycle with this frame would keep the record for long.
            del submission

    async def _run(self) -> None:
        try:
            while self._queue:
                try:
                    await self._store.confirm()
                except exceptions.PlatformError as exc:
                    batch, self._queue = self._queue, []
                    _finish(batch, exc)
                    continue
                batch = self._take_batch()
                await self._write(batch)
        finally:
            self._task = None

    def _take_batch(self) -> list[_Submission]:
        """Takes the oldest records that one append may hold, at least one."""
        size = count = 0
        for submission in self._queue:
            size += len(submission.key) + len(submission.value)
            if count and size > self._max_bytes:
                break
            count += 1
        batch, self._queue = self._queue[:count], self._queue[count:]
        return batch

    async def _write(self, batch: list[_Submission]) -> None:
        items = _mark_sent(batch)
        try:
            await hedging.first_success(
                lambda: self._store.append(ports.Table.JOBS, items),
                latency=self._latency,
                max_attempts=_MAX_ATTEMPTS,
                timeout_s=_TIMEOUT_S,
            )
        except exceptions.AmaranthflowError as exc:
            if isinstance(exc, ports.RecordRefused) and len(batch) > 1:
                middle = len(batch) // 2
                later, batch = batch[middle:], batch[:middle]
                await self._write(batch)
                await self._write(later)
                return
            _finish(batch, exc)
            return
        _finish(batch, None)


def _mark_sent(batch: list[_Submission]) -> list[tuple[bytes, bytes]]:
    """Returns the records, which may reach the store from now on."""
    for submission in batch:
        submission.sent = True
    return [(submission.key, submission.value) for submission in batch]


def _finish(batch: list[_Submission], error: Exception | None) -> None:
    for submission in batch:
        if submission.fut.done():
            continue
        if error is None:
            submission.fut.set_result(None)
        else:
            submission.fut.set_exception(error)
    # The error may refer to frames that hold the batch, a cycle as well.
    batch.clear()
