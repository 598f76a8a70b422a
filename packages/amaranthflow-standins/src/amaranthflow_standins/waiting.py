"""Waiting for an event with a timeout of a given clock."""

import asyncio
import contextlib
import typing as t

from amaranthflow import clock as clock_lib


async def wait_event(
    clock: clock_lib.Clock, event: asyncio.Event, seconds: float
) -> bool:
    """Waits until the event is set, at most ``seconds``; tells whether."""
    if event.is_set() or seconds <= 0:
        return event.is_set()
    waiter = asyncio.ensure_future(event.wait())
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait(
            {waiter, timer}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        await cancel(waiter, timer)
    return event.is_set()


async def run_with_timeout(
    clock: clock_lib.Clock, work: t.Awaitable, seconds: float
):
    """Returns the result of ``work``.

    :raises TimeoutError: it took longer; ``work`` has been cancelled.
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
    """Cancels tasks and waits until they have ended."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
