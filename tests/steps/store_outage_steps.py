"""Steps for store_outage.feature."""

import asyncio
import re

import behave

from amaranthflow import exceptions
from amaranthflow_scheduler import model
from amaranthflow_scheduler import store_health
from amaranthflow_standins import task_fleet

_STEP = model.Step(
    count=1, resources=model.Resources(1_000, 100, 0), estimate_ms=200
)
_CALL = re.compile(r'([\d.]+)(?::([\d.]+))?-([\d.]+|x)?')
_COUNT = 'store_outage_jobs'


def _instance(fleet, which):
    leader = next(n for n, node in fleet.nodes.items() if node.leader)
    if which == 'the leader':
        return leader
    cut_off = fleet.store.faults.busy & fleet.nodes.keys()
    if which == 'the former leader':
        return fleet.former_leader
    if which == 'a cut off one':
        return max(cut_off - {getattr(fleet, 'former_leader', None)})
    return next(name for name in fleet.nodes if name != leader)


async def _submit(context, which):
    """Returns the outcome, the seconds taken and the time to return after."""
    fleet = context.fleet
    number = getattr(context, _COUNT, 0) + 1
    setattr(context, _COUNT, number)
    job_id = f'o{number}'
    fleet.jobs_steps[job_id] = [_STEP]
    job = task_fleet.make_job(job_id, [_STEP], fleet.loop)
    node = fleet.nodes[_instance(fleet, which)]
    started_s = fleet.loop.time()
    outcome, retry_after_ms = 'accepted', None
    try:
        await node.job_api.submit(job, client_timeout_s=3.0)
    except exceptions.NotReady as exc:
        outcome, retry_after_ms = 'refused', exc.retry_after_ms
    except exceptions.RequestUncertain:
        outcome = 'unknown'
    return outcome, fleet.loop.time() - started_s, retry_after_ms


@behave.when('a store outage meets a job at {which}')
def step_submit(context, which):
    work = _submit(context, which)
    context.outcomes = [context.loop.run_until_complete(work)]


@behave.when(
    'a store outage meets {count:d} jobs at {which} within {span:g} s'
)
def step_submit_many(context, count, which, span):
    async def submit_later(number):
        await asyncio.sleep(span * number / count)
        return await _submit(context, which)

    async def gather():
        return await asyncio.gather(*map(submit_later, range(count)))

    context.outcomes = context.loop.run_until_complete(gather())


@behave.then('the store outage has it {outcome} within {seconds:g} s')
def step_outcome(context, outcome, seconds):
    found, took_s, _ = context.outcomes[0]
    assert found == outcome, context.outcomes
    assert took_s <= seconds, took_s


@behave.then('the store outage leaves the outcome of at most {n:d} unknown')
def step_unknown(context, n):
    unknown = [one for one in context.outcomes if one[0] == 'unknown']
    assert len(unknown) <= n, context.outcomes


@behave.then('the store outage has the others refused within {seconds:g} s')
def step_others(context, seconds):
    others = [one for one in context.outcomes if one[0] != 'unknown']
    assert others, context.outcomes
    for outcome, took_s, _ in others:
        assert outcome == 'refused', context.outcomes
        assert took_s <= seconds, context.outcomes


@behave.then('the store outage has all of them accepted')
def step_all_accepted(context):
    found = {outcome for outcome, _, _ in context.outcomes}
    assert found == {'accepted'}, context.outcomes


@behave.then('the store outage has none of them refused')
def step_none_refused(context):
    found = {outcome for outcome, _, _ in context.outcomes}
    assert 'accepted' in found and 'refused' not in found, context.outcomes


@behave.then('the store outage has its caller return after {seconds:g} s')
def step_return_after(context, seconds):
    outcome, _, retry_after_ms = context.outcomes[0]
    assert outcome == 'refused', context.outcomes
    assert retry_after_ms == round(seconds * 1000), retry_after_ms


@behave.given(
    'the store outage has appends take {append:g} s and responses '
    '{response:g} s'
)
def step_slow(context, append, response):
    faults = context.fleet.store.faults
    faults.append_s, faults.slow_s = append, response
    context.before = context.fleet.leader()


@behave.given('the store is busy for all task instances')
def step_busy(context):
    context.fleet.store.faults.busy.update(context.fleet.nodes)


@behave.given('the store outage is of the leader and {count:d} more instances')
def step_busy_leader(context, count):
    fleet = context.fleet
    fleet.former_leader = leader = fleet.leader()
    others = [name for name in fleet.nodes if name != leader]
    fleet.store.faults.busy.update([leader, *others[:count]])


@behave.given('the store outage is of the first and the last follower')
def step_busy_followers(context):
    fleet = context.fleet
    others = [name for name in fleet.nodes if name != fleet.leader()]
    fleet.store.faults.busy.update([others[0], others[-1]])


@behave.given('the store\'s health has seen the calls "{calls}"')
def step_calls(context, calls):
    events = []
    for sent, wait, ended in _CALL.findall(calls):
        events.append((float(sent), 'sent', float(wait or 0), len(events)))
        call = len(events) - 1
        if ended == 'x':
            events.append((float(sent) + 0.001, 'refused', call, 0))
        elif ended:
            events.append((float(ended), 'responded', call, 0))
    context.events = sorted(events, key=lambda event: event[0])


@behave.then('at {seconds:g} s the store outage health is "{state}"')
def step_state(context, seconds, state):
    health = store_health.StoreHealth()
    numbers = {}
    for at_s, kind, value, call in context.events:
        if at_s > seconds:
            break
        if kind == 'sent':
            numbers[call] = health.on_sent(at_s, wait_s=value)
        elif kind == 'refused':
            health.on_refusal(numbers[value])
        else:
            health.on_response(numbers[value], at_s)
    found = 'responds'
    if health.is_away(seconds):
        found = 'away'
    elif health.is_doubtful(seconds):
        found = 'doubtful'
    assert found == state, found
