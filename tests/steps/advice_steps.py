"""Steps for the scheduler's advice.feature."""

import asyncio
import dataclasses

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import advice
from amaranthflow_scheduler import model
from amaranthflow_standins import task_adviser
from amaranthflow_standins import task_fleet
from amaranthflow_standins import virtual_time

_SETTLE_S = 6.0
_STEP = model.Step(
    count=1, resources=model.Resources(1_000, 100, 0), estimate_ms=500
)


class _Plan:
    def duration_s(self, task):
        return 0.5

    def fails(self, task, run):
        return False

    def crashes_worker(self, task):
        return False


def _queue(policy):
    return dataclasses.replace(
        task_fleet.QUEUE,
        id=model.QueueId('advised'),
        prefix='/advised/',
        advised=True,
        advice=policy,
    )


def _stop(context):
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    context.loop.run_until_complete(asyncio.sleep(0))
    context.loop.close()


async def _start_fleet(context, count, policy):
    fleet = task_fleet.TaskFleet(loop=context.loop, plan=_Plan())
    fleet.adviser = task_adviser.TaskAdviser(
        policy=policy, born_ms=lambda worker: fleet.workers[worker].born_ms
    )
    fleet.configure()
    for number in range(count):
        fleet.add_worker(f'w{number}').adviser = fleet.adviser
    fleet.start_node()
    await fleet.wait_leader()
    await asyncio.sleep(_SETTLE_S)
    return fleet


@behave.given(
    'an advised fleet of {count:d} workers with advice in {decide:d} and '
    '{each:d} ms, valid for {valid:d} ms'
)
def step_advised_fleet(context, count, decide, each, valid):
    context.loop = virtual_time.VirtualLoop()
    context.add_cleanup(_stop, context)
    policy = model.AdvicePolicy(decide, each, valid)
    context.queue = _queue(policy)
    context.fleet = context.loop.run_until_complete(
        _start_fleet(context, count, policy)
    )


@behave.given(
    "the advised fleet's configuration says {decide:d} and {each:d} ms"
)
def step_says(context, decide, each):
    valid_ms = context.queue.advice.valid_ms
    context.queue = _queue(model.AdvicePolicy(decide, each, valid_ms))


@behave.given('the adviser does not receive {count:d} call')
def step_lost(context, count):
    context.fleet.adviser.lost_calls = count


@behave.when('{jobs:d} advised jobs of {tasks:d} tasks are accepted')
def step_jobs(context, jobs, tasks):
    step = dataclasses.replace(_STEP, count=tasks)
    for number in range(jobs):
        context.loop.run_until_complete(
            context.fleet.submit(f'a{number}', [step], queue=context.queue)
        )


@behave.then('each advised job has started within {seconds:g} s')
def step_started(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    started = {run.task.job for _, run in context.fleet.runs}
    assert started == set(context.fleet.jobs), started


@behave.then('the adviser has handled {count:d} call')
def step_calls(context, count):
    assert context.fleet.adviser.calls == count, context.fleet.adviser.calls


@behave.given(
    'advice for a step with calls of {took:d} ms is requested at {at:g} s'
)
def step_request(context, took, at):
    if not hasattr(context, 'advice'):
        context.advice = advice.Advice()
        context.requests = 0
    context.requests += 1
    context.advice.request(
        advice.StepKey(ids.JobId(f'j{context.requests}'), 0, 0),
        [ids.WorkerId('w1')],
        model.AdvicePolicy(decide_ms=took),
        at,
        wanted=1,
    )


@behave.then(
    'the calls for advice are those of {first:d}, {second:d} and {third:d} ms'
)
def step_order(context, first, second, third):
    queries = [context.advice.next_query(6.0) for _ in range(3)]
    found = [query.policy.decide_ms for query in queries]
    assert found == [first, second, third], found


@behave.when('an advised job is submitted there')
def step_submit_refused(context):
    job = task_fleet.make_job(
        'a', [_STEP], context.loop, queue=_queue(model.AdvicePolicy())
    )
    node = next(iter(context.fleet.nodes.values()))
    try:
        context.loop.run_until_complete(node.job_api.submit(job))
        context.refused = None
    except exceptions.NotReady as exc:
        context.refused = exc


@behave.then('it is refused as "{text}"')
def step_refused(context, text):
    assert text in context.refused.reason, context.refused
    assert context.refused.retry_after_ms > 0, context.refused
