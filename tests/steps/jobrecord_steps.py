"""Steps for the scheduler's jobrecord.feature."""

import dataclasses
import json
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_platform import wire
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import jobrecord
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import progress_parts
from amaranthflow_standins import task_fleet

_ID = ids.JobId('5c0e7a21d94b36f8')
_NOW_MS = 1_796_000_000_000
_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
_AMOUNTS = strategies.one_of(
    strategies.integers(0, 3), strategies.integers(0, model.MAX_AMOUNT)
)
_DURATIONS = strategies.one_of(
    _AMOUNTS, strategies.floats(0, model.MAX_AMOUNT, allow_nan=False)
)
_TEXTS = strategies.text(max_size=12)
_FLAGS = strategies.booleans()
_STEPS = strategies.fixed_dictionaries(
    {'count': strategies.integers(1, 4)},
    optional={
        'cpu': _AMOUNTS,
        'mem_mb': _AMOUNTS,
        'gpu': _AMOUNTS,
        'estimate_ms': _DURATIONS,
        'checkpoint': _FLAGS,
        'gang': _FLAGS,
        'prefer_same_rack': _FLAGS,
        'requirements': _TEXTS,
        'affinity': _TEXTS,
        'anti_affinity': _AMOUNTS,
        'speculative': _FLAGS,
        'perpetual': _FLAGS,
        'image': _TEXTS,
        'target_ms': _DURATIONS,
        'fills': _FLAGS,
        'may_miss': _AMOUNTS,
    },
)
_QUEUES = strategies.builds(
    model.Queue,
    id=_TEXTS.map(model.QueueId),
    host=_TEXTS,
    prefix=_TEXTS,
    service=_TEXTS.map(ids.ServiceId),
    priority=strategies.integers(0, 9),
    max_attempts=strategies.integers(1, 9),
    stretch=strategies.floats(0, 1e6),
    target_ms=_AMOUNTS,
    advised=_FLAGS,
    advice=strategies.builds(model.AdvicePolicy, _AMOUNTS, _AMOUNTS, _AMOUNTS),
)


@strategies.composite
def _jobs(draw):
    steps = draw(strategies.lists(_STEPS, min_size=1, max_size=4))
    for number, step in enumerate(steps):
        if number and draw(_FLAGS):
            earlier = strategies.integers(0, number - 1)
            step['after'] = draw(strategies.lists(earlier, max_size=3))
    body = {'spec': draw(_TEXTS), 'steps': steps}
    if draw(_FLAGS):
        body['times'] = draw(strategies.integers(0, 5))
        body['first_ms'] = draw(strategies.integers(0, model.MAX_TIME_MS))
        body['interval_ms'] = draw(_AMOUNTS)
    return wire.decode_job(
        _ID, draw(_QUEUES), json.dumps(body).encode(), _NOW_MS
    )


def _is_restored(job):
    assert jobrecord.decode(job.id, jobrecord.encode(job)) == job


@behave.then('the record of any valid job request restores the job')
def step_any_job(context):
    _SETTINGS(hypothesis.given(_jobs())(_is_restored))()


@behave.when('a caller submits a job with step {step}')
def step_submit(context, step):
    body = f'{{"steps":[{step}]}}'.encode()
    context.job = wire.decode_job(_ID, task_fleet.QUEUE, body, _NOW_MS)


@behave.then('the record of the job restores it')
def step_restored(context):
    _is_restored(context.job)


@behave.when('a record of a job has a step without resources')
def step_without_resources(context):
    step = model.Step(count=2, estimate_ms=300)
    job = model.Job(
        id=_ID,
        queue=task_fleet.QUEUE,
        payload='',
        steps=(step,),
        accepted_ms=_NOW_MS,
    )
    fields = json.loads(jobrecord.encode(job))
    del fields['steps'][0]['resources']
    context.job = jobrecord.decode(_ID, json.dumps(fields).encode())


@behave.then("the job's step requests nothing")
def step_nothing(context):
    (step,) = context.job.steps
    assert step.resources == model.Resources(), step


def _advance(draw, job_run):
    """Brings a job into any state that a leader may record."""
    job_run.open_due_occurrences(draw(strategies.integers(0, 2 * _NOW_MS)))
    for task in list(job_run.tasks()):
        kind = draw(strategies.sampled_from('wait run done fail'.split()))
        if kind == 'wait' or task.done:
            continue
        for attempt in list(task.attempts):
            task.remove_attempt(attempt)
        run = job_run.allocate_run_number(task)
        worker = ids.WorkerId(draw(_TEXTS))
        attempt = execution.Attempt(
            task=task,
            worker=worker,
            run=run,
            state=execution.AttemptState.RUNNING,
            confirmed=draw(_FLAGS),
            born_ms=draw(strategies.integers(0, _NOW_MS)),
        )
        if kind == 'run':
            task.add_attempt(attempt)
        elif kind == 'done':
            job_run.open_occurrences[task.key.occurrence][
                task.key.step
            ].mark_done(task)
        else:
            task.add_failure(run, worker)
        if not task.done and not attempt.confirmed:
            start = execution.UnansweredStart(worker, run, 0.0)
            task.add_unanswered(start)
        task.checkpoint = draw(_TEXTS)
        task.crashes = draw(strategies.integers(0, 2))


@strategies.composite
def _job_runs(draw):
    job_run = execution.JobRun(job=draw(_jobs()), first_run_number=5_001)
    _advance(draw, job_run)
    job_run.started = draw(_FLAGS)
    return job_run


def _progress_is_restored(job_run):
    value = execution.encode(job_run)
    restored = execution.JobRun(job=job_run.job)
    execution.restore(restored, value, 0.0)
    assert _rows(execution.encode(restored)) == _rows(value)


def _rows(value):
    """Returns the fields of a progress record; the order of rows is free."""
    return [
        sorted(field, key=str) if isinstance(field, list) else field
        for field in json.loads(value)
    ]


@behave.then(
    'the progress record of any valid job, however far it is, restores it'
)
def step_any_progress(context):
    _SETTINGS(hypothesis.given(_job_runs())(_progress_is_restored))()


@strategies.composite
def _growing_jobs(draw):
    """Returns a job and how far it is at some points."""
    job = draw(_jobs())
    step = dataclasses.replace(
        job.steps[-1], count=draw(strategies.integers(1, 60)), label=''
    )
    job = dataclasses.replace(job, steps=(*job.steps[:-1], step))
    return execution.JobRun(job=job), draw(strategies.data())


def _states(job_run):
    """Returns what a record has to keep of a job."""
    tasks = {}
    for task in job_run.tasks():
        state = task.done or (
            task.next_run,
            task.failed_runs,
            task.checkpoint,
            [(attempt.worker, attempt.run) for attempt in task.attempts],
            sorted(start[:2] for start in task.unanswered),
        )
        tasks[task.key] = state, task.crashes
    left = [
        [(step_run.tasks_left, step_run.waiting) for step_run in step_runs]
        for _, step_runs in sorted(job_run.open_occurrences.items())
    ]
    return job_run.closed_occurrences, tasks, left


def _parts_fit(drawn, max_bytes):
    job_run, data = drawn
    stored = {}
    for _ in range(3):
        _advance(data.draw, job_run)
        job_run.close_complete_occurrences()
        for key, value in progress_parts.records(job_run, max_bytes):
            assert len(value) <= max_bytes, (key, value)
            stored[key] = value
        found = {key: value for key, value in stored.items() if value}
        parts = progress_parts.take_parts(found)
        (head,) = found.values()
        restored = execution.JobRun(job=job_run.job)
        own = parts.get(job_run.job.id.encode(), {})
        execution.restore(restored, head, 0.0, own)
        restored.close_complete_occurrences()
        # Due occurrences in which nothing has happened are not recorded.
        for occurrence in job_run.open_occurrences:
            if occurrence not in restored.open_occurrences:
                restored.open_occurrence(occurrence)
        assert _states(restored) == _states(job_run)
    job_run.state = model.JobState.CANCELLED
    for task in job_run.tasks():
        for attempt in list(task.attempts):
            task.remove_attempt(attempt)
    for key, value in progress_parts.records(job_run, max_bytes):
        stored[key] = value
    assert [value != b'' for value in stored.values()].count(True) == 1, stored


@behave.then(
    'the records of any valid job have up to {count:d} bytes and restore it '
    'at each point'
)
def step_parts(context, count):
    def check(drawn):
        _parts_fit(drawn, count)

    settings = hypothesis.settings(_SETTINGS, max_examples=60)
    settings(hypothesis.given(_growing_jobs())(check))()


def _submit(context, name, payload=''):
    job = task_fleet.make_job(
        'a', [model.Step(count=1)], context.loop, payload=payload
    )
    node = context.fleet.nodes[name]
    context.refusal = None
    try:
        context.loop.run_until_complete(node.job_api.submit(job))
    except exceptions.AmaranthflowError as exc:
        context.refusal = exc


@behave.when('a job with a payload that is no Unicode text is submitted there')
def step_no_text(context):
    _submit(context, next(iter(context.fleet.nodes)), '\ud800')


@behave.when('a job with a payload of {count:d} bytes is submitted there')
def step_large_payload(context, count):
    _submit(context, next(iter(context.fleet.nodes)), 'x' * count)


@behave.then('the job is refused as "{text}"')
def step_refused(context, text):
    assert type(context.refusal) is exceptions.RequestRefused, context.refusal
    assert text in context.refusal.reason, context.refusal


@behave.when("the task fleet's leader cannot read the records of new jobs")
def step_unreadable(context):
    node = context.fleet.nodes[context.fleet.leader()]
    accept = node.job_api.accept

    async def accept_unreadable(message):
        with mock.patch.object(
            jobrecord,
            'decode',
            side_effect=exceptions.InvalidRecord('unknown format'),
        ):
            return await accept(message)

    patch = mock.patch.object(node.job_api, 'accept', accept_unreadable)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when('a job is submitted to the other instance')
def step_submit_other(context):
    (name,) = set(context.fleet.nodes) - {context.fleet.leader()}
    _submit(context, name)


@behave.then('the job is refused, and its record is not stored')
def step_not_stored(context):
    assert type(context.refusal) is exceptions.Overloaded, context.refusal
    batch = context.loop.run_until_complete(
        context.fleet.store.link('test').newest(ports.Table.JOBS)
    )
    assert not batch.records, batch
