"""Whether the record store responds, judged by this instance's own calls.

An outage of the store may be silent and may concern some instances only. Load:
callers submit jobs all the while. An append without a response leaves the
outcome of its jobs unknown for seconds, so none is sent while the store is in
doubt, and its jobs are refused as soon as the store is known to be away.
"""

import asyncio
import collections
import itertools
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions

from . import logs
from . import metrics
from . import ports

# A response takes a few ms. Calls are held back after the first time without
# any response, and the store counts as away after the second.
_DOUBT_S = 0.1
_SILENT_S = 0.3
# Slow responses raise both limits: they are multiples of the slowest recent
# response, up to the timeout of a call.
_DOUBT_RATIO = 1.5
_SILENT_RATIO = 3.0
_MAX_SILENT_S = 0.9
_RECENT_RESPONSES = 8
# A single refusal may be due to a limit on the rate of calls.
_MAX_REFUSALS = 2
# Older responses prove nothing about the present.
_FRESH_S = _DOUBT_S
_POLL_S = 0.02
# Outages of unknown length: as long again as so far, at most the time after
# which callers with short timeouts have given up.
_MIN_RETRY_AFTER_MS = 1_000
_MAX_RETRY_AFTER_MS = 2_000


class StoreHealth:
    """Judges the store from the times of calls and responses, in seconds."""

    def __init__(self):
        self._due_s: dict[int, float] = {}
        self._numbers = itertools.count()
        self._recent_s: collections.deque[float] = collections.deque(
            maxlen=_RECENT_RESPONSES
        )
        self._response_s = float('-inf')
        self._failed_due_s: float | None = None
        self._refusals = 0

    def on_sent(self, now_s: float, *, wait_s: float = 0.0) -> int:
        """Records a call; returns its number.

        :param wait_s: how long the store may wait before it responds.
        """
        number = next(self._numbers)
        self._due_s[number] = now_s + wait_s
        return number

    def on_response(self, number: int, now_s: float) -> None:
        """Records a response, whatever it says."""
        due_s = self._due_s.pop(number)
        if due_s <= now_s:
            self._recent_s.append(now_s - due_s)
        self._response_s = now_s
        self._failed_due_s = None
        self._refusals = 0

    def on_refusal(self, number: int) -> None:
        """Records that the store refused the call or the connection."""
        del self._due_s[number]
        self._refusals += 1

    def on_no_response(self, number: int) -> None:
        """Records that the caller has given up waiting."""
        due_s = self._due_s.pop(number)
        if not self._counts(due_s):
            return
        if self._failed_due_s is None or due_s < self._failed_due_s:
            self._failed_due_s = due_s

    def silent_s(self, now_s: float) -> float:
        """Returns for how long a response has been due and none has come.

        A call that was due before the newest response tells nothing: its own
        response may have been lost.
        """
        due_s = min(
            (due_s for due_s in self._due_s.values() if self._counts(due_s)),
            default=now_s,
        )
        if self._failed_due_s is not None:
            due_s = min(due_s, self._failed_due_s)
        return max(0.0, now_s - due_s)

    def _counts(self, due_s: float) -> bool:
        return due_s >= self._response_s

    def is_doubtful(self, now_s: float) -> bool:
        """Returns whether another call would probably get no response."""
        limit_s = max(_DOUBT_S, _DOUBT_RATIO * self.slowest_s)
        return self.silent_s(now_s) > limit_s or self.is_away(now_s)

    def is_away(self, now_s: float) -> bool:
        """Returns whether the store responds to no call of this instance."""
        limit_s = max(_SILENT_S, _SILENT_RATIO * self.slowest_s)
        if self._refusals >= _MAX_REFUSALS:
            return True
        return self.silent_s(now_s) > min(limit_s, _MAX_SILENT_S)

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether the newest response still tells something."""
        return now_s - self._response_s < _FRESH_S

    def retry_after_ms(self, now_s: float) -> int:
        """Returns when a caller that is refused now should return."""
        away_ms = min((now_s - self._response_s) * 1000, _MAX_RETRY_AFTER_MS)
        return round(max(away_ms, _MIN_RETRY_AFTER_MS))

    @property
    def slowest_s(self) -> float:
        """Duration of the slowest recent call, 0 without any."""
        return max(self._recent_s, default=0.0)


class ObservedStore:
    """The store with the health that its calls show; a ``ports.Store``."""

    def __init__(
        self,
        *,
        store: ports.Store,
        clock: clock_lib.Clock,
        meters: metrics.Metrics,
    ):
        self._store = store
        self._clock = clock
        self._meters = meters
        self._health = StoreHealth()
        self._last_read: tuple[ports.Table, int] | None = None
        self._away_since_s: float | None = None

    async def append(
        self,
        table: ports.Table,
        items: t.Sequence[tuple[bytes, bytes]],
        *,
        expected_end: int | None = None,
        writer: ports.Writer | None = None,
    ) -> int:
        """Appends records; see ``ports.Store``."""
        return await self._observe(
            self._store.append(
                table, items, expected_end=expected_end, writer=writer
            )
        )

    async def read(
        self, table: ports.Table, start: int, *, wait_ms: int = 0
    ) -> ports.Batch:
        """Returns records from an offset; see ``ports.Store``."""
        self._last_read = table, start
        return await self._observe(
            self._store.read(table, start, wait_ms=wait_ms),
            wait_s=wait_ms / 1000,
        )

    async def newest(self, table: ports.Table) -> ports.Batch:
        """Returns the newest record of each key; see ``ports.Store``."""
        return await self._store.newest(table)

    async def _observe(
        self, call: t.Coroutine[t.Any, t.Any, t.Any], *, wait_s: float = 0.0
    ) -> t.Any:
        health = self._health
        number = health.on_sent(self._clock.monotonic(), wait_s=wait_s)
        try:
            result = await call
        except (
            ports.Conflict,
            ports.RecordRefused,
            exceptions.OffsetExpired,
        ):
            health.on_response(number, self._clock.monotonic())
            raise
        except exceptions.PlatformUncertain:
            health.on_no_response(number)
            raise
        except exceptions.AmaranthflowError:
            health.on_refusal(number)
            raise
        except BaseException:
            # Hedging cancels calls that are still without a response.
            health.on_no_response(number)
            raise
        else:
            health.on_response(number, self._clock.monotonic())
        finally:
            self._log_change()
        return result

    @property
    def away(self) -> bool:
        """Whether the store responds to no call of this instance."""
        self._log_change()
        return self._away_since_s is not None

    @property
    def slowest_s(self) -> float:
        """Duration of the slowest recent call, 0 without any."""
        return self._health.slowest_s

    @property
    def retry_after_ms(self) -> int:
        """Time after which a caller that is refused now should return."""
        return self._health.retry_after_ms(self._clock.monotonic())

    async def confirm(self) -> None:
        """Returns once the store has shown that it responds.

        Raises PlatformError if it is away; nothing was appended.
        """
        now_s = self._clock.monotonic()
        health = self._health
        if not health.is_fresh(now_s) and not health.is_doubtful(now_s):
            await self._probe()
        while health.is_doubtful(self._clock.monotonic()):
            if self.away:
                raise exceptions.PlatformError('the store is away')
            await asyncio.sleep(_POLL_S)

    async def _probe(self) -> None:
        """Repeats the last read, whose outcome the health records."""
        if self._last_read is None:
            return
        try:
            async with asyncio.timeout(_SILENT_S + _POLL_S):
                await self.read(*self._last_read)
        except (TimeoutError, exceptions.AmaranthflowError) as exc:
            logs.event('store_probe_failed', error=repr(exc))

    def _log_change(self) -> None:
        """Logs and counts the beginning and the end of an outage."""
        now_s = self._clock.monotonic()
        away = self._health.is_away(now_s)
        since_s = self._away_since_s
        if away is (since_s is not None):
            return
        self._meters.gauge('store_away', int(away))
        if since_s is not None:
            self._away_since_s = None
            logs.event('store_responds', away_s=round(now_s - since_s, 2))
            return
        self._away_since_s = now_s
        self._meters.count('store_outages')
        silent_s = round(self._health.silent_s(now_s), 2)
        logs.event('store_away', silent_s=silent_s)
