"""Timeouts and cancellation of tasks under a given clock."""

import asyncio
import contextlib
import typing as t

from amaranthflow import clock as clock_lib


async def run_with_timeout(
    clock: clock_lib.Clock, work: t.Awaitable, seconds: float
):
    """Returns the result of ``work``.

    :raises TimeoutError: it took longer than ``seconds`` and was cancelled.
    """
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
    finally:
        await cancel(task, timer)
    raise TimeoutError


async def cancel(*tasks: asyncio.Future) -> None:
    """Cancels tasks and waits for their end."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
