"""Writes the progress of jobs, many jobs to one append."""

import asyncio
import time
import typing as t

from amaranthflow import exceptions

from . import execution
from . import hedging
from . import logs
from . import metrics
from . import model
from . import ports
from . import scheduler

# Changes gather this long, so that calls to the store stay few.
_GATHER_S = 0.02
# Pause after a write as a multiple of its time; under load more changes of a
# job share one record.
_PAUSE = 2.0
_MOST_GATHER_S = 0.06  # a fifth of the time that holds wait for records
_RETRY_S = 0.15
# Attempts carry one number, so that the store takes only the first of them.
_LEAST_S = 0.12
_MOST_ATTEMPTS = 3
_LIMIT_S = 0.9  # the store's own limit for one call
_MOST_ITEMS = 400  # keeps an append well under a call's limit of bytes
_MOST_BYTES = 500_000


class Journal:
    """Appends the records of changed jobs in the name of one leader."""

    def __init__(
        self,
        *,
        store: ports.Store,
        core: scheduler.Scheduler,
        token: model.Token,
        meters: metrics.Metrics,
    ):
        self._store = store
        self._core = core
        self._token = token
        self._meters = meters
        self._number = 0
        self._pace = hedging.Pace(least_s=_LEAST_S)
        self._wake = asyncio.Event()
        self._waiting: list[asyncio.Future[None]] = []
        self.failing_since: float | None = None

    async def open(self) -> None:
        """Shuts out earlier leaders. Raises Conflict and PlatformError."""
        writer = ports.Writer(self._token, 0)
        await self._store.append(ports.Table.PROGRESS, (), writer=writer)

    def wake(self) -> None:
        """Has changes written; nobody waits for it."""
        self._wake.set()

    def flush(self) -> asyncio.Future[None]:
        """Returns a future that is done once all changes are stored."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self._wake.set()
        return fut

    async def run(self) -> None:
        """Writes until cancelled. Raises Conflict once shut out."""
        took_s = 0.0
        while True:
            if not self._core.dirty and not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            await asyncio.sleep(_gather_s(took_s))
            begun_s = time.monotonic()
            await self._write()
            took_s = time.monotonic() - begun_s

    async def _write(self) -> None:
        waiting, self._waiting = self._waiting, []
        ends = self._core.processed_ends()
        states: dict = {}
        items: list[tuple[bytes, bytes]] = []
        for job_id in list(self._core.dirty):
            job_run = self._core.jobs.get(job_id)
            if job_run is not None:
                states[job_id] = job_run.state
                value = execution.encode(job_run)
                items.append((job_id.encode(), value))
        self._core.dirty.clear()
        for chunk in _chunks(items):
            await self._append(chunk)
        self._core.on_recorded(states, ends)
        for fut in waiting:
            if not fut.done():
                fut.set_result(None)

    async def _append(self, items: list[tuple[bytes, bytes]]) -> None:
        """Repeats one append, under one number, until it is confirmed."""
        writer = ports.Writer(self._token, self._number)
        while True:
            begun = time.monotonic()
            try:
                await hedging.first_success(
                    lambda: self._store.append(
                        ports.Table.PROGRESS, items, writer=writer
                    ),
                    pace=self._pace,
                    most=_MOST_ATTEMPTS,
                    limit_s=_LIMIT_S,
                )
            except exceptions.AmaranthflowError as exc:
                self._note_failure(exc, len(items))
                await asyncio.sleep(_RETRY_S)
                continue
            self._number += 1
            self._meters.observe('progress_append', time.monotonic() - begun)
            if self.failing_since is not None:
                logs.event('progress_resumed', items=len(items))
                self.failing_since = None
            return

    def _note_failure(self, exc: Exception, items: int) -> None:
        self._meters.count('progress_append_failures')
        if self.failing_since is None:
            self.failing_since = time.monotonic()
            logs.event('progress_stalled', items=items, error=str(exc))


def _gather_s(took_s: float) -> float:
    """Returns how long changes gather after a write that took so long."""
    return min(_MOST_GATHER_S, max(_GATHER_S, _PAUSE * took_s))


def _chunks(
    items: list[tuple[bytes, bytes]],
) -> t.Iterator[list[tuple[bytes, bytes]]]:
    chunk: list[tuple[bytes, bytes]] = []
    size = 0
    for key, value in items:
        if chunk and (len(chunk) >= _MOST_ITEMS or size > _MOST_BYTES):
            yield chunk
            chunk, size = [], 0
        chunk.append((key, value))
        size += len(value)
    if chunk:
        yield chunk
