"""Stores the records of accepted jobs, several with one append."""

import asyncio

from amaranthflow import exceptions

from . import hedging
from . import ports

# An append takes a few ms. A few concurrent attempts are enough even if a
# third of the responses are lost.
_MIN_HEDGE_DELAY_S = 0.12
_MAX_ATTEMPTS = 3
# Callers wait for the append; the timeout is longer only while the store is
# slow.
_TIMEOUT_S = 0.7


class Submissions:
    """Appends records of jobs in batches.

    Records that arrive during an append are stored together by the next one.
    """

    def __init__(self, *, store: ports.Store):
        self._store = store
        self._latency = hedging.LatencyEstimate(min_delay_s=_MIN_HEDGE_DELAY_S)
        self._queue: list[tuple[bytes, bytes, asyncio.Future[None]]] = []
        self._task: asyncio.Task | None = None

    async def append(self, key: bytes, value: bytes) -> None:
        """Stores a record; returns once it is stored.

        Raises PlatformError if the record is not stored and never will be,
        PlatformUncertain if it may be stored.
        """
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        self._queue.append((key, value, fut))
        if self._task is None:
            self._task = loop.create_task(self._run())
        await fut

    async def _run(self) -> None:
        try:
            while self._queue:
                batch, self._queue = self._queue, []
                await self._write(batch)
        finally:
            self._task = None

    async def _write(
        self, batch: list[tuple[bytes, bytes, asyncio.Future[None]]]
    ) -> None:
        error: Exception | None = None
        try:
            items = [(key, value) for key, value, _ in batch]
            await hedging.first_success(
                lambda: self._store.append(ports.Table.JOBS, items),
                latency=self._latency,
                max_attempts=_MAX_ATTEMPTS,
                timeout_s=_TIMEOUT_S,
            )
        except exceptions.AmaranthflowError as exc:
            error = exc
        for _, _, fut in batch:
            if fut.done():
                continue
            if error is None:
                fut.set_result(None)
            else:
                fut.set_exception(error)
