"""Hedged requests: repeats of a call while the first one is pending.

Some stores lose responses. Waiting for a timeout before a retry would delay
callers, and cancelling the first attempt would lose its response if the store
is only slow. Use hedging only for calls that may take effect twice.
"""

import asyncio
import typing as t

from amaranthflow import exceptions

# Weight of the newest duration in the moving average.
_NEWEST_WEIGHT = 0.3
_HEDGE_RATIO = 3.0
_TIMEOUT_RATIO = 2.0

Result = t.TypeVar('Result')


class LatencyEstimate:
    """Moving average of the duration of one kind of calls.

    :param min_delay_s: lower limit of the delay before a repeat.
    """

    def __init__(self, *, min_delay_s: float):
        self._min_delay_s = min_delay_s
        self._average_s = 0.0

    def record(self, seconds: float) -> None:
        """Adds the duration of a call that succeeded or timed out."""
        self._average_s += _NEWEST_WEIGHT * (seconds - self._average_s)
        if seconds > _HEDGE_RATIO * self._average_s:
            self._average_s = seconds / _HEDGE_RATIO

    @property
    def hedge_delay_s(self) -> float:
        """Seconds without a response after which to start another attempt."""
        return max(self._min_delay_s, _HEDGE_RATIO * self._average_s)


async def first_success(
    call: t.Callable[[], t.Coroutine[t.Any, t.Any, Result]],
    *,
    latency: LatencyEstimate,
    max_attempts: int,
    timeout_s: float,
) -> Result:
    """Returns the first success of up to ``max_attempts`` attempts.

    Another attempt starts when the previous ones take longer than usual.
    If no attempt succeeds, raises PlatformUncertain if the outcome of any is
    unknown, and the last error otherwise. Errors that are not platform errors
    are raised at once.

    :param timeout_s: time after which all attempts are cancelled, in seconds;
        it is extended while calls usually take long.
    """
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task[Result]] = set()
    started_s = loop.time()
    end_s = started_s + max(timeout_s, _TIMEOUT_RATIO * latency.hedge_delay_s)
    error: exceptions.AmaranthflowError | None = None
    started = 0
    try:
        while started < max_attempts or running:
            if started < max_attempts and error is None:
                running.add(loop.create_task(call()))
                started += 1
            if not running:
                break
            left_s = max(0.0, end_s - loop.time())
            wait_s = left_s
            if started < max_attempts and error is None:
                wait_s = min(left_s, latency.hedge_delay_s)
            done, running = await asyncio.wait(
                running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done and loop.time() >= end_s:
                reason = f'no response within {end_s - started_s:.2f} s'
                error = exceptions.PlatformUncertain(reason)
                break
            succeeded, error = _outcome(done, error)
            del done
            if succeeded is not None:
                latency.record(loop.time() - started_s)
                return succeeded.result()
    finally:
        for task in running:
            task.cancel()
    assert error is not None
    if isinstance(error, exceptions.PlatformUncertain):
        # Calls without a response take at least this long. Earlier repeats
        # would only add load.
        latency.record(loop.time() - started_s)
    try:
        raise error
    finally:
        # A cycle with this frame would keep what the call sends for long.
        del error


def _outcome(
    done: t.Iterable[asyncio.Task[Result]],
    error: exceptions.AmaranthflowError | None,
) -> tuple[asyncio.Task[Result] | None, exceptions.AmaranthflowError | None]:
    """Returns an attempt that succeeded, if any, and the worst error."""
    succeeded = None
    for task in done:
        exc = task.exception()
        if exc is None:
            succeeded = task
        elif isinstance(exc, exceptions.AmaranthflowError):
            error = _more_severe(error, exc)
        else:
            raise exc
    return succeeded, error


def _more_severe(
    previous: exceptions.AmaranthflowError | None,
    exc: exceptions.AmaranthflowError,
) -> exceptions.AmaranthflowError:
    if isinstance(previous, exceptions.PlatformUncertain):
        return previous
    return exc
