"""Steps for the stand-in worker."""

import asyncio
import json
import random

import behave

from amaranthflow import platform
from amaranthflow import world
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import history as history_lib
from amaranthflow_standins import machine as machine_lib
from amaranthflow_standins import program
from amaranthflow_standins import scenario
from amaranthflow_standins import worker as worker_lib

_MEMORY_MB = 400
_START_MS = clock_lib.FakeClock().wall_ms()
_START_DEADLINE_MS = 3_600_000


def _start(task_id, run_s, lease_s, checkpoint='', not_after_ms=None):
    if not_after_ms is None:
        not_after_ms = _START_MS + _START_DEADLINE_MS
    return platform.TaskStart(
        task_id=task_id,
        task_class='cut-plan',
        tenant_id='house-a',
        lease_ms=lease_s * 1000,
        not_after_ms=not_after_ms,
        cores=1.0,
        memory_mb=_MEMORY_MB,
        payload=json.dumps({'run_ms': run_s * 1000}).encode(),
        checkpoint=checkpoint,
    )


def _call():
    return platform.BackendCall(
        request_id='r1',
        attempt=1,
        tenant_id='house-a',
        service_id='quotes',
        payload=b'saddle',
        timeout_ms=500,
    )


def _run(context, work):
    async def settled():
        result = await work
        await context.clock.settle()
        return result

    return scenario.run(context, settled())


def _runs(context, kind):
    runs = context.machine.history.runs
    return [run for run in runs if run.kind is kind]


@behave.given('a stand-in worker with {slots:d} slots and {memory_mb:d} MB')
def step_worker(context, slots, memory_mb):
    context.clock = clock_lib.FakeClock()
    worker = world.Worker(
        worker_id='w1',
        address='',
        rack_id='r1',
        zone_id='z1',
        capacity=world.Size(cores=8, memory_mb=memory_mb),
        slots=slots,
        connections=4,
    )
    context.machine = machine_lib.Machine(
        worker=worker, clock=context.clock, rng=random.Random(1)
    )
    context.link = worker_lib.WorkerStandin(
        machine=context.machine, clock=context.clock
    )


@behave.given('the stand-in worker\'s fault "{fault}" is {value:g}')
def step_fault(context, fault, value):
    flag = isinstance(getattr(context.machine.faults, fault), bool)
    context.machine.set_faults(**{fault: bool(value) if flag else value})


@behave.given("the stand-in worker's tasks slow each other by {factor:g}")
def step_slowdown(context, factor):
    def slowdown(task_class, neighbours):
        return factor if neighbours else 1.0

    context.machine.slowdown = slowdown


@behave.when(
    'the stand-in worker starts "{task_id}" running {run_s:d} s'
    ' on a lease of {lease_s:d} s'
)
def step_start(context, task_id, run_s, lease_s):
    context.run_s = run_s
    _run(context, context.link.start(_start(task_id, run_s, lease_s)))


@behave.when(
    'the stand-in worker resumes it as "{task_id}" on a lease of {lease_s:d} s'
)
def step_resume(context, task_id, lease_s):
    start = _start(task_id, context.run_s, lease_s, context.checkpoint)
    _run(context, context.link.start(start))


@behave.when(
    'the stand-in worker\'s lease of "{task_id}" is renewed for {lease_s:d} s'
)
def step_renew(context, task_id, lease_s):
    _run(context, context.link.renew([task_id], lease_s * 1000))


@behave.when(
    'the stand-in worker writes a checkpoint of "{task_id}" and stops it'
)
def step_checkpoint(context, task_id):
    context.checkpoint = _run(context, context.link.checkpoint(task_id))
    report = _run(context, context.link.stop(task_id))
    assert report.phase is platform.TaskPhase.STOPPED
    assert report.checkpoint == context.checkpoint


@behave.when('the stand-in worker throttles "{task_id}" to {share:g}')
def step_throttle(context, task_id, share):
    _run(context, context.link.throttle(task_id, share))


@behave.when('the stand-in worker dies')
def step_die(context):
    context.machine.set_faults(dead=True)
    _run(context, context.clock.settle())


@behave.when('the stand-in worker wakes')
def step_wake(context):
    context.machine.set_faults(frozen=False)
    _run(context, context.clock.settle())


@behave.when('{seconds:d} seconds pass for the stand-in worker')
def step_pass(context, seconds):
    _run(context, context.clock.run_for(seconds))


@behave.then(
    'the stand-in worker\'s run of "{task_id}" ended "{outcome}" at {at_s:g} s'
)
def step_ended(context, task_id, outcome, at_s):
    runs = [
        run for run in context.machine.history.runs if run.subject == task_id
    ]
    assert len(runs) == 1, runs
    assert runs[0].outcome is history_lib.RunOutcome(outcome), runs
    assert abs(runs[0].ended_s - at_s) < 1e-6, runs


@behave.then('the stand-in worker reports "{task_id}" as "{phase}"')
def step_report(context, task_id, phase):
    reports = {r.task_id: r for r in _run(context, context.link.tasks())}
    assert reports[task_id].phase.value == phase, reports
    assert bool(reports[task_id].result) == (phase == 'completed')


@behave.then('a start whose deadline was 1 ms ago raises "{error}"')
def step_late_start(context, error):
    not_after_ms = context.clock.wall_ms() - 1
    start = _start('job:late:1', 1, 9, not_after_ms=not_after_ms)
    _check_raises(context, context.link.start(start), error)


def _check_raises(context, work, error):
    async def run():
        task = asyncio.ensure_future(work)
        await context.clock.run_for(1)
        return await asyncio.gather(task, return_exceptions=True)

    [result] = scenario.run(context, run())
    names = [cls.__name__ for cls in type(result).__mro__]
    assert error in names, result


@behave.then('a call to the stand-in worker raises "{error}"')
def step_call_error(context, error):
    _check_raises(context, context.link.call(_call()), error)


@behave.then('a call to the stand-in worker is answered')
def step_call(context):
    async def run():
        task = asyncio.ensure_future(context.link.call(_call()))
        await context.clock.run_for(1)
        return await task

    expected = program.answer_to('house-a', 'quotes', 'r1', b'saddle')
    assert scenario.run(context, run()) == expected


@behave.then('the stand-in worker has run {count:d} tasks')
def step_task_count(context, count):
    runs = _runs(context, history_lib.RunKind.TASK)
    assert len(runs) == count, runs


@behave.then('the stand-in worker has run {count:d} requests')
def step_request_count(context, count):
    runs = _runs(context, history_lib.RunKind.REQUEST)
    assert len(runs) == count, runs


@behave.then('the stand-in worker\'s last request ended "{outcome}"')
def step_last_request(context, outcome):
    run = _runs(context, history_lib.RunKind.REQUEST)[-1]
    assert run.outcome is history_lib.RunOutcome(outcome), run


@behave.then("the stand-in worker's usage reports no slowdown")
def step_no_usage(context):
    assert _run(context, context.link.usage()) == ()


@behave.then(
    "the stand-in worker's usage reports a slowdown of {factor:g}"
    ' measured at {at_s:d} s'
)
def step_usage(context, factor, at_s):
    reports = _run(context, context.link.usage())
    assert len(reports) == 2, reports
    for report in reports:
        assert report.slowdown == factor, report
        assert report.measured_at_ms == _START_MS + at_s * 1000, report


@behave.then('the stand-in worker has recorded no violation')
def step_no_violation(context):
    assert not context.machine.history.violations


@behave.then('the stand-in worker has recorded violations of "{limits}"')
def step_violations(context, limits):
    found = [v.limit for v in context.machine.history.violations]
    assert found == limits.split(), found
