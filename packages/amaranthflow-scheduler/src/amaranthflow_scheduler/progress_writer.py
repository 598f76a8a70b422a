"""Writes the progress records of jobs, batched into few appends.

An append that the store does not answer, or refuses for the time being, is
repeated. One whose content it refuses is split until the job is found whose
records are the reason. That job is tried again later, and the others go on.
"""

import asyncio
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import hedging
from . import logs
from . import metrics
from . import model
from . import ports
from . import progress_parts
from . import scheduler

# Changes are collected for this long, which keeps the calls to the store few.
_BATCH_DELAY_S = 0.02
# Pause after a write as a multiple of its duration. Under load, more changes
# of a job then share one record.
_PAUSE_RATIO = 2.0
# A fifth of the time that lease renewals wait for records.
_MAX_BATCH_DELAY_S = 0.06
_RETRY_S = 0.15
# All attempts carry the same sequence number, so the store applies only one.
_MIN_HEDGE_DELAY_S = 0.12
_MAX_ATTEMPTS = 3
_TIMEOUT_S = 0.9  # the store's own limit for one call
_MAX_ITEMS = 400  # keeps an append well below the size limit of a call
_MAX_BYTES = 500_000
_MAX_CALL_SHARE = 0.25
# Pause before records that the store has refused are tried again.
_REFUSED_RETRY_S = 5.0
# A failure that lasts is logged again with each of these.
_LOG_INTERVAL_S = 10.0


class _Group(t.NamedTuple):
    """Records of one job, which are appended together."""

    job_id: ids.JobId
    items: list[progress_parts.Item]


class ProgressWriter:
    """Appends the records of changed jobs under the token of one leader.

    :param call_bytes: size of the largest append that the store accepts.
    """

    def __init__(
        self,
        *,
        store: ports.Store,
        core: scheduler.Scheduler,
        token: model.Token,
        meters: metrics.Metrics,
        clock: clock_lib.Clock,
        call_bytes: int = 2_097_152,
    ):
        self._store = store
        self._max_bytes = min(_MAX_BYTES, int(_MAX_CALL_SHARE * call_bytes))
        self._refused: dict[ids.JobId, float] = {}
        self._logged_s = float('-inf')
        self._clock = clock
        self._core = core
        self._token = token
        self._meters = meters
        self._sequence = 0
        self._latency = hedging.LatencyEstimate(min_delay_s=_MIN_HEDGE_DELAY_S)
        self._wake = asyncio.Event()
        self._waiting: list[asyncio.Future[None]] = []
        self._ended = False
        self._writing: frozenset[ids.JobId] = frozenset()
        self.failing_since_s: float | None = None

    async def open(self) -> None:
        """Fences off earlier leaders. Raises Conflict and platform errors."""
        writer = ports.Writer(self._token, 0)
        await self._store.append(ports.Table.PROGRESS, (), writer=writer)

    def unstored(self) -> frozenset[ids.JobId]:
        """Returns the jobs of which the store may lack the last changes."""
        return self._writing.union(self._core.dirty)

    def wake(self) -> None:
        """Triggers a write of pending changes without waiting for it."""
        self._wake.set()

    def flush(self) -> asyncio.Future[None]:
        """Returns a future that completes once all changes are stored.

        It raises NotReady if the writer has ended or ends before that.
        """
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self._wake.set()
        if self._ended:
            self.close()
        return fut

    def close(self) -> None:
        """Ends the writer: nothing that waits will be stored."""
        self._ended = True
        for fut in self._waiting:
            if not fut.done():
                reason = 'the term has ended before all changes were stored'
                fut.set_exception(exceptions.NotReady(reason))
        self._waiting = []

    async def run(self) -> None:
        """Writes until cancelled. Raises Conflict once fenced off."""
        try:
            await self._run()
        finally:
            self.close()

    async def _run(self) -> None:
        took_s = 0.0
        while True:
            if not self._core.dirty and not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            await asyncio.sleep(_batch_delay_s(took_s))
            started_s = self._clock.monotonic()
            await self._write()
            took_s = self._clock.monotonic() - started_s

    async def _write(self) -> None:
        waiting = len(self._waiting)
        self._retry_refused()
        ends = self._core.processed_ends()
        states: dict = {}
        groups: list[_Group] = []
        for job_id in list(self._core.dirty):
            self._refused.pop(job_id, None)
            items = self._core.progress_records(job_id)
            if items:
                groups.append(_Group(job_id, items))
            job_run = self._core.jobs.get(job_id)
            if job_run is not None:
                states[job_id] = job_run.state
        self._writing = frozenset(self._core.dirty)
        self._core.dirty.clear()
        for chunk in _chunks(groups, self._max_bytes):
            await self._append(chunk)
        self._writing = frozenset()
        for job_id in self._refused:
            states.pop(job_id, None)
        self._core.on_recorded(states, ends)
        stored, self._waiting = (
            self._waiting[:waiting],
            self._waiting[waiting:],
        )
        for fut in stored:
            if not fut.done():
                fut.set_result(None)

    def _retry_refused(self) -> None:
        """Lets records be written again that were refused for a while."""
        now_s = self._clock.monotonic()
        due = [job for job, at_s in self._refused.items() if now_s >= at_s]
        for job_id in due:
            del self._refused[job_id]
            self._core.dirty.add(job_id)

    def _on_refused(self, group: _Group, exc: Exception) -> None:
        """Sets the records of a job aside that the store has refused."""
        self._meters.count('progress_refused')
        self._refused[group.job_id] = (
            self._clock.monotonic() + _REFUSED_RETRY_S
        )
        self._core.on_not_recorded(group.job_id)
        logs.event(
            'progress_refused',
            id=group.job_id,
            records=len(group.items),
            bytes=progress_parts.group_bytes(group.items),
            largest=max(len(value) for _, value in group.items),
            error=str(exc),
        )

    async def _append(self, groups: list[_Group]) -> None:
        """Appends records, without those that the store refuses."""
        items = [item for group in groups for item in group.items]
        try:
            await self._append_items(items)
        except ports.RecordRefused as exc:
            if len(groups) == 1:
                self._on_refused(groups[0], exc)
                return
            middle = len(groups) // 2
            await self._append(groups[:middle])
            await self._append(groups[middle:])

    async def _append_items(self, items: list[progress_parts.Item]) -> None:
        """Repeats an append under one sequence number until confirmed.

        Raises RecordRefused.
        """
        writer = ports.Writer(self._token, self._sequence)
        while True:
            started_s = self._clock.monotonic()
            try:
                await hedging.first_success(
                    lambda: self._store.append(
                        ports.Table.PROGRESS, items, writer=writer
                    ),
                    latency=self._latency,
                    max_attempts=_MAX_ATTEMPTS,
                    timeout_s=_TIMEOUT_S,
                )
            except ports.RecordRefused:
                raise
            except exceptions.AmaranthflowError as exc:
                self._log_failure(exc, items)
                await asyncio.sleep(_RETRY_S)
                continue
            self._sequence += 1
            self._meters.observe(
                'progress_append', self._clock.monotonic() - started_s
            )
            if self.failing_since_s is not None:
                logs.event('progress_resumed', items=len(items))
                self.failing_since_s = None
            return

    def _log_failure(
        self, exc: Exception, items: list[progress_parts.Item]
    ) -> None:
        self._meters.count('progress_append_failures')
        now_s = self._clock.monotonic()
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        elif now_s - self._logged_s < _LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        logs.event(
            'progress_stalled',
            items=len(items),
            bytes=progress_parts.group_bytes(items),
            since_s=round(now_s - self.failing_since_s, 1),
            error=str(exc),
        )


def _batch_delay_s(took_s: float) -> float:
    """Returns how long to collect changes after a write of this duration."""
    return min(_MAX_BATCH_DELAY_S, max(_BATCH_DELAY_S, _PAUSE_RATIO * took_s))


def _chunks(groups: list[_Group], max_bytes: int) -> t.Iterator[list[_Group]]:
    chunk: list[_Group] = []
    count = size = 0
    for group in groups:
        if chunk and (count >= _MAX_ITEMS or size > max_bytes):
            yield chunk
            chunk, count, size = [], 0, 0
        chunk.append(group)
        count += len(group.items)
        size += progress_parts.group_bytes(group.items)
    if chunk:
        yield chunk
