"""Repeats of a call whose answer is overdue, beside the first one.

Answers stores that lose answers: waiting for a time limit before a repeat
would hold callers up, and ending the first attempt would lose its answer
where the store is only slow. For calls that may take effect twice.
"""

import asyncio
import typing as t

from amaranthflow import exceptions

# Weight of the newest duration in the usual one.
_WEIGHT = 0.3
_RATIO = 3.0
_GIVE_UP_RATIO = 2.0

Result = t.TypeVar('Result')


class Pace:
    """How long calls of a kind usually take.

    :param least_s: a repeat is not sent sooner.
    """

    def __init__(self, *, least_s: float):
        self._least_s = least_s
        self._usual_s = 0.0

    def note(self, seconds: float) -> None:
        """Takes the duration of a call, answered or given up."""
        self._usual_s += _WEIGHT * (seconds - self._usual_s)
        if seconds > _RATIO * self._usual_s:
            self._usual_s = seconds / _RATIO

    @property
    def patience_s(self) -> float:
        """Seconds after which a further attempt is worth it."""
        return max(self._least_s, _RATIO * self._usual_s)


async def first_success(
    call: t.Callable[[], t.Coroutine[t.Any, t.Any, Result]],
    *,
    pace: Pace,
    most: int,
    limit_s: float,
) -> Result:
    """Returns the first success of up to ``most`` attempts.

    A further attempt starts when those before are silent for longer than
    usual. Raises the last error, an uncertain one if there was any; other
    errors than those of the platform are raised at once.

    :param limit_s: seconds after which all are given up; longer while calls
        usually take long.
    """
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task[Result]] = set()
    begun_s = loop.time()
    end_s = begun_s + max(limit_s, _GIVE_UP_RATIO * pace.patience_s)
    error: exceptions.AmaranthflowError | None = None
    started = 0
    try:
        while started < most or running:
            if started < most and error is None:
                running.add(loop.create_task(call()))
                started += 1
            if not running:
                break
            left_s = max(0.0, end_s - loop.time())
            wait_s = left_s
            if started < most and error is None:
                wait_s = min(left_s, pace.patience_s)
            done, running = await asyncio.wait(
                running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done and loop.time() >= end_s:
                reason = f'no answer within {end_s - begun_s:.2f} s'
                error = exceptions.PlatformUncertain(reason)
                break
            succeeded = None
            for task in done:
                exc = task.exception()
                if exc is None:
                    succeeded = task
                elif isinstance(exc, exceptions.AmaranthflowError):
                    error = _graver(error, exc)
                else:
                    raise exc
            if succeeded is not None:
                pace.note(loop.time() - begun_s)
                return succeeded.result()
    finally:
        for task in running:
            task.cancel()
    assert error is not None
    if isinstance(error, exceptions.PlatformUncertain):
        # Overdue calls take at least this long; repeats would only add load.
        pace.note(loop.time() - begun_s)
    raise error


def _graver(
    before: exceptions.AmaranthflowError | None,
    exc: exceptions.AmaranthflowError,
) -> exceptions.AmaranthflowError:
    if isinstance(before, exceptions.PlatformUncertain):
        return before
    return exc
