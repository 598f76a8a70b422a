"""Steps for the stand-in clock."""

import asyncio

import behave

from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import scenario


async def _sleep(context, seconds):
    await context.clock.sleep(seconds)
    context.woken.append(seconds)


async def _tick(context, seconds):
    while True:
        await context.clock.sleep(seconds)
        context.woken.append(context.clock.monotonic())


async def _begin(context, *tasks):
    context.tasks = [asyncio.ensure_future(task) for task in tasks]
    await context.clock.settle()


@behave.given('a stand-in clock with sleepers of 3, 1 and 2 seconds')
def step_sleepers(context):
    context.clock = clock_lib.FakeClock()
    context.woken = []
    sleepers = [_sleep(context, seconds) for seconds in (3, 1, 2)]
    scenario.run(context, _begin(context, *sleepers))


@behave.given('a stand-in clock with a task that wakes every 2 seconds')
def step_ticker(context):
    context.clock = clock_lib.FakeClock()
    context.woken = []
    scenario.run(context, _begin(context, _tick(context, 2)))


@behave.when('the stand-in clock is advanced by {seconds:d} seconds')
def step_advance(context, seconds):
    context.clock.advance(seconds)
    scenario.run(context, context.clock.settle())


@behave.when('the stand-in clock runs for {seconds:d} seconds')
def step_run(context, seconds):
    scenario.run(context, context.clock.run_for(seconds))


@behave.then('the stand-in clock has woken the sleepers of 1 and 2 seconds')
def step_woken(context):
    assert context.woken == [1, 2], context.woken


@behave.then("the stand-in clock's task woke at 2, 4 and 6 seconds")
def step_ticks(context):
    assert context.woken == [2, 4, 6], context.woken
    assert context.clock.monotonic() == 7
    elapsed_ms = context.clock.wall_ms() - clock_lib.FakeClock().wall_ms()
    assert elapsed_ms == 7000
