"""Steps for jobqueue.feature, on a fake clock and without servers."""

import asyncio

import behave

from amaranthflow import platform
from amaranthflow_standins import local_fleet
from amaranthflow_standins import scenario

_NAME = 'i0'
_SMALL_RUNS_S = (12, 15, 18, 21, 24, 27)  # distinct, to end one by one
_SMALL_EACH_2_S = 1
_BACKLOG = 12


@behave.given('a jobqueue fleet of {count:d} worker')
@behave.given('a jobqueue fleet of {count:d} workers')
def step_fleet(context, count):
    scenario.run(context, _start(context, count))
    context.add_cleanup(scenario.run, context, context.fleet.close())


async def _start(context, count):
    fleet = local_fleet.LocalFleet(seed=1, racks=1, workers_per_rack=count)
    fleet.start(_NAME)
    await fleet.clock.run_for(2.0)
    await fleet.configure(_NAME)
    await fleet.clock.run_for(10.0)
    context.fleet = fleet
    context.parts = fleet.instances[_NAME].parts
    context.count = count


@behave.given("the jobqueue's instance is not the home of any job")
def step_not_home(context):
    context.parts.queue._is_home = lambda key: False


@behave.when(
    'a jobqueue job of {cores:d} cores waits while small jobs arrive for'
    ' {seconds:d} s'
)
def step_load(context, cores, seconds):
    scenario.run(context, _load(context, cores, seconds))


async def _load(context, cores, seconds, until_held=False):
    fleet = context.fleet
    context.submitted = 0
    await _send_small(context, _BACKLOG * context.count)
    large = fleet.make_job('large', 1.0)
    large.task_class = 'large'
    large.declared.cores = cores
    await fleet.run_until_done(context.parts.submissions.submit(large))
    until_s = fleet.clock.monotonic() + seconds
    context.held = ''
    while fleet.clock.monotonic() < until_s and not context.held:
        await _send_small(context, _SMALL_EACH_2_S * context.count)
        await _pass_2_s(context, until_held)


async def _pass_2_s(context, until_held):
    for _ in range(40):
        await context.fleet.clock.run_for(0.05)
        for hold in context.parts.queue.holds():
            if until_held:
                context.held = hold.worker_id
                return


async def _send_small(context, count):
    submits = []
    for _ in range(count):
        run_s = _SMALL_RUNS_S[context.submitted % len(_SMALL_RUNS_S)]
        job = context.fleet.make_job(f'small-{context.submitted}', run_s)
        submits.append(context.parts.submissions.submit(job))
        context.submitted += 1
    await context.fleet.run_until_done(asyncio.gather(*submits))


@behave.when('a jobqueue job of {cores:d} cores waits until a worker is held')
def step_load_until_held(context, cores):
    scenario.run(context, _load(context, cores, 120, until_held=True))
    assert context.held


@behave.when("the jobqueue's held worker begins to leave")
def step_leave(context):
    context.fleet.list.set_phase(context.held, platform.InstancePhase.LEAVING)
    scenario.run(context, context.fleet.clock.run_for(4.0))


@behave.then("the jobqueue's hold is on another worker")
def step_other_hold(context):
    holds = context.parts.queue.holds()
    held = [hold.worker_id for hold in holds]
    large = context.fleet.runs('/large:')
    workers = held + [run.worker_id for run in large]
    assert workers, 'no worker was held again'
    assert context.held not in workers, workers


@behave.then("the jobqueue's large job has been started")
def step_started(context):
    assert context.fleet.runs('/large:'), context.fleet.job('large')


@behave.then("the jobqueue's large job still waits")
def step_waits(context):
    assert context.fleet.job('large').phase == 'waiting'


@behave.then("the jobqueue's small jobs have run before it and after it")
def step_small(context):
    [large] = context.fleet.runs('/large:')
    starts = [run.started_s for run in context.fleet.runs('/small-')]
    assert min(starts) < large.started_s < max(starts), large


@behave.then('no jobqueue worker is held')
def step_no_hold(context):
    assert not context.parts.queue.holds()
