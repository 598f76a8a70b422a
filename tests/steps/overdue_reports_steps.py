"""Steps for overdue_reports.feature."""

import math
import re

import behave

from amaranthflow import ids
from amaranthflow_scheduler import claims
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import model
from amaranthflow_scheduler import overdue_reports
from amaranthflow_scheduler import workers

_BEGAN_S = 100.0
_QUEUE = model.Queue(
    id=model.QueueId('jobs'),
    host='jobs.example',
    prefix='/jobs/',
    service=ids.ServiceId('workers'),
    stretch=2.0,
    target_ms=500,
)
_LISTED = re.compile(r'at (\d+)%, listed at ([\d.]+) s')
_KINDS = {
    'a job of 5 s': {'estimate_ms': 5_000},
    'a service': {'service': True},
    'an opportunistic task': {'opportunistic': True},
}


def _start(context, **fields):
    step = {'count': 2, 'estimate_ms': 1_000} | fields
    job = model.Job(
        id=ids.JobId('j'),
        queue=_QUEUE,
        payload='',
        steps=(model.Step(resources=model.Resources(1000, 100, 0), **step),),
        accepted_ms=round(_BEGAN_S * 1000),
    )
    context.job_run = execution.JobRun(job=job)
    context.job_run.open_occurrence(0)
    entry = model.WorkerEntry(
        id=ids.WorkerId('w1'),
        service=_QUEUE.service,
        address='w1',
        zone=ids.ZoneId('z1'),
        state=model.WorkerState.READY,
        capacity=model.Resources(8_000, 64_000, 0),
    )
    context.worker = workers.Worker(entry=entry, lease_end_s=math.inf)
    return _add_run(context, 0)


def _add_run(context, number):
    task = context.job_run.open_occurrences[0][0].tasks[number]
    attempt = execution.Attempt(
        task=task,
        worker=context.worker.id,
        run=context.job_run.allocate_run_number(task),
        state=execution.AttemptState.RUNNING,
        running_since_s=_BEGAN_S,
        progressed_s=_BEGAN_S,
    )
    task.add_attempt(attempt)
    context.worker.attach(attempt)
    return attempt


@behave.given("a short job's run {state}")
def step_run(context, state):
    attempt = _start(context)
    if state.startswith('beside'):
        attempt = _add_run(context, 1)
    found = _LISTED.search(state)
    if found is not None:
        attempt.percent = float(found.group(1))
        attempt.progressed_s = _BEGAN_S + float(found.group(2))
    elif state == 'whose start has no answer':
        attempt.state = execution.AttemptState.UNCERTAIN
    elif state == 'that is being stopped':
        attempt.state = execution.AttemptState.STOPPING
    elif state == 'from a checkpoint, not yet listed':
        attempt.resumed = True
    else:
        assert state == 'that no report has listed', state


@behave.given('a run of {kind}')
def step_kind(context, kind):
    _start(context, **_KINDS[kind])


@behave.when("its worker's report is requested at {seconds:g} s")
def step_request(context, seconds):
    context.due_s = overdue_reports.due_s(
        context.worker, claims.Claims(), _BEGAN_S + seconds
    )


@behave.then('the report is overdue after {seconds:g} s')
def step_due(context, seconds):
    assert context.due_s is not None
    found_s = context.due_s - _BEGAN_S
    assert abs(found_s - seconds) < 0.01, found_s


@behave.then('the report is overdue at no time')
def step_never(context):
    assert context.due_s is None, context.due_s - _BEGAN_S
