"""Event loop that the steps of one behave scenario share."""

import asyncio
import typing as t


def run(context: t.Any, work: t.Coroutine) -> t.Any:
    """Runs a coroutine in the event loop of the scenario."""
    if 'scenario_loop' not in context:
        context.scenario_loop = asyncio.new_event_loop()
        context.add_cleanup(_close, context.scenario_loop)
    return context.scenario_loop.run_until_complete(work)


def _close(loop: asyncio.AbstractEventLoop) -> None:
    loop.run_until_complete(_end_tasks())
    loop.close()


async def _end_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
