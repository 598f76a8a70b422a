"""Steps for second_tries.feature."""

import dataclasses
import math
import re

import behave

from amaranthflow import ids
from amaranthflow_scheduler import claims
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import durations
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_scheduler import second_tries
from amaranthflow_scheduler import worker_history
from amaranthflow_scheduler import workers
from amaranthflow_standins import task_fleet

_BEGAN_S = 100.0
_BORN_MS = 7
_RUN_MS = 1000
_RESPONSE_S = 0.01
_QUEUE = model.Queue(
    id=model.QueueId('jobs'),
    host='jobs.example',
    prefix='/jobs/',
    service=ids.ServiceId('workers'),
    stretch=2.0,
    target_ms=500,
)
_STATE = re.compile(r'at (\d+)%, listed at ([\d.]+) s(?: and at ([\d.]+) s)?')
_OFF = {'not': 1.0, 'two times': 2.0, 'six times': 6.0}


def _step(**fields):
    return model.Step(
        resources=model.Resources(1000, 100, 0), estimate_ms=_RUN_MS, **fields
    )


def _job(*steps, queue=_QUEUE):
    return model.Job(
        id=ids.JobId('j'),
        queue=queue,
        payload='',
        steps=steps,
        accepted_ms=round(_BEGAN_S * 1000),
    )


def _start(context, *steps, queue=_QUEUE):
    context.job_run = execution.JobRun(job=_job(*steps, queue=queue))
    context.job_run.open_occurrence(0)
    context.claims = claims.Claims(durations=durations.DurationModel())
    context.tries = second_tries.SecondTries(context.claims)


def _entry(name, cpu=8000):
    return model.WorkerEntry(
        id=ids.WorkerId(name),
        service=_QUEUE.service,
        address=name,
        zone=ids.ZoneId('z1'),
        state=model.WorkerState.READY,
        capacity=model.Resources(cpu, 64_000, 0),
    )


def _worker(name):
    worker = workers.Worker(
        entry=_entry(name), lease_end_s=math.inf, born_ms=_BORN_MS
    )
    worker.history.on_answer(_RESPONSE_S)
    return worker


def _attempt(context, task, worker, **fields):
    attempt = execution.Attempt(
        task=task,
        worker=worker.id,
        run=context.job_run.allocate_run_number(task),
        state=execution.AttemptState.RUNNING,
        born_ms=_BORN_MS,
        running_since_s=_BEGAN_S,
        progressed_s=_BEGAN_S,
    )
    for name, value in fields.items():
        setattr(attempt, name, value)
    task.add_attempt(attempt)
    worker.attach(attempt)
    return attempt


@behave.given('second tries for a job whose steps permit {what}')
def step_job(context, what):
    fields = {
        'backups': {'backups': True},
        'no backups': {},
        'backups in gangs': {'backups': True, 'gang': True},
    }[what]
    _start(context, _step(count=2, **fields))
    # Other runs of the step take 1 s.
    step_run = context.job_run.open_occurrences[0][0]
    step_run.speeds.append(100_000 / _RUN_MS)


@behave.given(
    'second tries for a job of runs of {run_s:g} s with {spare_s:g} s to '
    'spare when they end'
)
def step_spare(context, run_s, spare_s):
    # With a second run that starts then.
    queue = dataclasses.replace(_QUEUE, target_ms=round(1000 * spare_s))
    step = dataclasses.replace(
        _step(count=2, backups=True), estimate_ms=round(1000 * run_s)
    )
    _start(context, step, queue=queue)
    context.run_s = run_s
    step_run = context.job_run.open_occurrences[0][0]
    step_run.speeds.append(100 / run_s)


@behave.given('second tries for a job of two tasks that permits backups')
def step_pair(context):
    _start(context, _step(count=2, backups=True))


@behave.given('second tries see beside it a run {state}')
def step_beside(context, state):
    task = context.job_run.open_occurrences[0][0].tasks[1]
    fields = {}
    if state.startswith('at '):
        percent = float(state.removeprefix('at ').removesuffix('%'))
        fields = {'percent': percent, 'progressed_s': _BEGAN_S + 0.5}
    _attempt(context, task, _worker('w2'), **fields)


@behave.given('second tries for a job of one task that permits backups')
def step_single(context):
    _start(context, _step(count=1, backups=True))


@behave.given(
    'second tries for a job with a further step that permits backups'
)
def step_further(context):
    steps = _step(count=2, backups=True), _step(count=1, after=(0,))
    _start(context, *steps)
    context.job_run.open_occurrences[0][0].speeds.append(100_000 / _RUN_MS)


@behave.given(
    'second tries have seen {count:d} steps with declarations that are '
    '{off} off'
)
def step_learned(context, count, off):
    for number in range(count):
        ratio = _OFF[off] if number % 2 else 1 / _OFF[off]
        context.claims.durations.observe(
            _QUEUE.id, _step(count=1), _RUN_MS * ratio
        )


@behave.given('second tries see a run {state}')
def step_run(context, state):
    task = context.job_run.open_occurrences[0][0].tasks[0]
    context.worker = worker = _worker('w1')
    worker.last_report_s = _BEGAN_S
    found = _STATE.match(state)
    if found is not None:
        percent, progressed_s, listed_s = found.groups()
        listed_s = _BEGAN_S + float(listed_s or progressed_s)
        moved = int(percent) > 0
        progressed_s = _BEGAN_S + float(progressed_s) * moved
        context.attempt = _attempt(
            context,
            task,
            worker,
            percent=float(percent),
            progressed_s=progressed_s,
            last_listed_s=listed_s,
        )
        worker.last_report_s = listed_s
    elif state.startswith('whose start has no answer'):
        context.attempt = _attempt(
            context,
            task,
            worker,
            state=execution.AttemptState.UNCERTAIN,
            running_since_s=0.0,
        )
        worker.back_off(_BEGAN_S + 0.3, 1.0)
        worker.last_report_s += 0.4 if 'report' in state else 0.2
    else:
        assert state == 'that no report has listed', state
        context.attempt = _attempt(context, task, worker)
        worker.last_report_s = _BEGAN_S + 1.4
    if 'slow to respond' in state:
        worker.history.on_answer(0.08)
    if 'unstored' in state:
        worker.processed_end = 1
    if 'another' in state:
        _attempt(context, task, _worker('w2'))
    if 'suspected' in state:
        task.crashes = 1


@behave.given('second tries see it later at {state}')
def step_later(context, state):
    found = _STATE.match(f'at {state}')
    percent, listed_s = float(found.group(1)), _BEGAN_S + float(found.group(2))
    context.attempt.on_progress(percent, listed_s)
    context.attempt.last_listed_s = listed_s
    context.worker.last_report_s = listed_s


@behave.when('second tries are looked for after {seconds:g} s')
def step_find(context, seconds):
    now_s = _BEGAN_S + seconds
    context.found = list(
        context.tries.find([context.worker], now_s, round(now_s * 1000))
    )


@behave.when('second tries are looked for {due_s:g} s after the run was due')
def step_find_due(context, due_s):
    # The newest report lists it without further progress.
    listed_s = _BEGAN_S + context.run_s + due_s
    context.attempt.last_listed_s = context.worker.last_report_s = listed_s
    step_find(context, context.run_s + due_s)


@behave.when('second tries are started')
def step_started(context):
    for found in context.found:
        context.tries.on_started(found)


@behave.then('second tries find {cause}')
def step_found(context, cause):
    causes = [found.cause.value for found in context.found]
    assert causes == ([] if cause == 'nothing' else [cause]), causes


@behave.then(
    'second tries reject workers that are slow, fail or leave starts '
    'unanswered'
)
def step_sound(context):
    sound, slow, fails, mute = map(_worker, ('w1', 'w2', 'w3', 'w4'))
    slow.history.on_straggler(2.0)
    fails.history.on_failure(ids.JobId('other'))
    mute.history = worker_history.WorkerHistory(unanswered_share=0.5)
    found = second_tries.sound([sound, slow, fails, mute])
    assert found == [sound], [worker.id for worker in found]


@behave.then('second tries prefer workers that have ended a younger run')
def step_proven(context):
    older, younger, without, reborn = map(_worker, ('w1', 'w2', 'w3', 'w4'))
    older.history.on_success(_BEGAN_S - 0.1)
    younger.history.on_success(_BEGAN_S + 0.1)
    younger.history.on_success(_BEGAN_S - 0.1)
    reborn.history.on_success(_BEGAN_S + 0.1)
    reborn.history.on_restart()
    every = [older, younger, without, reborn]
    found = second_tries.proven(every, context.attempt)
    assert found == [younger], [worker.id for worker in found]


@behave.then('second tries count {count:d}')
def step_count(context, count):
    assert context.tries.started == count


@behave.then('second tries take the first worker as slow')
def step_slow(context):
    assert context.worker.history.slowness > 1.5


def _report(context, worker, now_s, rows=()):
    report = ports.WorkerReport(
        clock_ms=round(now_s * 1000),
        born_ms=_BORN_MS,
        running=[
            ports.RunProgress(attempt.task.key, attempt.run, '', percent, 0.0)
            for attempt, percent in rows
        ],
        ended=[],
    )
    context.core.on_report(worker, report, now_s, now_s, round(now_s * 1000))


def _starts(core):
    return [
        command.attempt
        for command in core.take_commands()
        if isinstance(command, commands.Start)
    ]


@behave.given('second tries of a leader whose third worker {trait}')
def step_leader(context, trait):
    context.core = core = scheduler.Scheduler(
        limits=task_fleet.LIMITS, token=model.Token(1), now_s=0.0
    )
    for name in ('w1', 'w2', 'w3'):
        # There is room for one run.
        core.on_entry_changed(_entry(name, cpu=1000), _BEGAN_S)
        worker = core.workers[ids.WorkerId(name)]
        worker.lease_end_s = math.inf
        _report(context, worker, _BEGAN_S)
    core.add_job(_job(_step(count=2, backups=True)))
    core.plan(_BEGAN_S, round(_BEGAN_S * 1000))
    context.attempts = _starts(core)
    for attempt in context.attempts:
        core.on_sent(attempt)
        core.on_started(attempt, _BEGAN_S)
    used = {attempt.worker for attempt in context.attempts}
    (third,) = (w for w in core.workers.values() if w.id not in used)
    if trait == 'is slow':
        third.history.on_straggler(2.0)
    elif trait == 'fails':
        third.history.on_failure(ids.JobId('other'))
    else:
        assert trait == 'is sound', trait


@behave.when('the leader of second tries ticks after {seconds:g} s')
def step_leader_ticks(context, seconds):
    now_s = _BEGAN_S + seconds
    percents = {
        a.worker: p for a, p in zip(context.attempts, (5.0, 50.0), strict=True)
    }
    for worker in context.core.workers.values():
        rows = [(a, percents[worker.id]) for a in worker.attempts]
        _report(context, worker, now_s, rows)
    context.core.tick(now_s, round(now_s * 1000))


@behave.then('the leader of second tries starts {count:d} run')
def step_leader_starts(context, count):
    started = _starts(context.core)
    assert len(started) == count, started
    for attempt in started:
        assert attempt.task is context.attempts[0].task
