"""Limits the wait for a response to a command."""

import asyncio
import typing as t

from amaranthflow import exceptions

# While this process is busy, a response may have arrived without being read.
_READ_S = 0.02

Result = t.TypeVar('Result')


async def within(
    limit_s: float, call: t.Coroutine[t.Any, t.Any, Result]
) -> Result:
    """Returns the result of a call that takes ``limit_s`` seconds at most.

    Raises PlatformUncertain if it takes longer; the call is cancelled then.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as timeout:
            timer = loop.call_later(limit_s, _allow_read, timeout)
            try:
                return await call
            finally:
                timer.cancel()
    except TimeoutError as exc:
        raise exceptions.PlatformUncertain(
            f'no response in {limit_s:.2f} s'
        ) from exc


def _allow_read(timeout: asyncio.Timeout) -> None:
    """Ends a call unless its response is read within a moment."""
    loop = asyncio.get_running_loop()
    timeout.reschedule(loop.time() + _READ_S)
