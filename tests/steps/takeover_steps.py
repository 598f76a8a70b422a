"""Steps for takeover.feature."""

import json

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import elections
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_scheduler import takeover
from amaranthflow_scheduler import tenure
from amaranthflow_scheduler import workers
from amaranthflow_standins import task_fleet

_LEASE_END_S = 6.0
_STEP_S = 0.25
_TOKEN = model.Token(7)
_LIMITS = scheduler.Limits(hold_max_s=6.0, state_kept_s=120.0)


def _core(token):
    return scheduler.Scheduler(
        limits=_LIMITS, token=model.Token(token), now_s=0.0
    )


def _job(job_id):
    step = model.Step(
        count=2, resources=model.Resources(1_000, 100, 0), estimate_ms=1_000
    )
    return model.Job(
        id=ids.JobId(job_id),
        queue=task_fleet.QUEUE,
        payload='payload',
        steps=(step,),
        accepted_ms=0,
    )


@behave.given(
    'a takeover at second 0 that holds job "{job_id}" until second {grace:g}'
)
def step_takeover(context, job_id, grace):
    context.takeover = takeover.Takeover(elected_s=0.0)
    context.takeover.hold([ids.JobId(job_id)], grace)
    context.fleet = {}
    context.report_s = {}


@behave.given('worker "{name}" reports at second {second:g}')
def step_reports(context, name, second):
    step_silent(context, name)
    context.report_s[name] = second


@behave.given('worker "{name}" never reports')
def step_silent(context, name):
    context.fleet[name] = workers.Worker(
        entry=task_fleet.worker_entry(name, address=name),
        lease_end_s=_LEASE_END_S,
    )


@behave.then('job "{job_id}" is held until second {released:g}')
def step_held_until(context, job_id, released):
    now_s = 0.0
    while now_s < 2 * _LEASE_END_S:
        for name, second in context.report_s.items():
            if now_s >= second:
                context.fleet[name].last_report_s = now_s
        context.takeover.release(context.fleet.values(), now_s)
        if not context.takeover.is_held(ids.JobId(job_id)):
            break
        now_s += _STEP_S
    # A lease that ends at a moment may still be valid at it.
    assert released <= now_s <= released + _STEP_S, now_s
    assert not context.takeover.holding


@behave.then('job "{job_id}" is not held')
def step_not_held(context, job_id):
    assert not context.takeover.is_held(ids.JobId(job_id))


@behave.then('job "{job_id}" is held')
def step_held(context, job_id):
    assert context.takeover.is_held(ids.JobId(job_id))


def _handover(context, core, job_id, kind):
    record = core.progress_record(ids.JobId(job_id))
    handover = takeover.Handover(
        complete=kind == 'complete', progress={ids.JobId(job_id): record}
    )
    # As it arrives over the network.
    message = json.loads(json.dumps(handover.encode()))
    context.handover = takeover.decode(message)


@behave.given(
    'job "{job_id}" whose task "{index:d}" runs on "{name}" according to a '
    'handover that is {kind}'
)
def step_handed_over(context, job_id, index, name, kind):
    core = _core(_TOKEN - 1)
    core.on_entry_changed(task_fleet.worker_entry(name, address=name), 0.0)
    core.add_job(_job(job_id))
    core.on_restored(0.0, 0, store_was_lost=False)
    worker = core.workers[ids.WorkerId(name)]
    report = ports.WorkerReport(clock_ms=0, born_ms=1, running=[], ended=[])
    core.on_report(worker, report, 0.0, 0.1, 0)
    core.plan(0.1, 0)
    key = model.TaskKey(ids.JobId(job_id), 0, 0, index)
    assert core.jobs[key.job].find(key).attempts
    _handover(context, core, job_id, kind)


@behave.given(
    'job "{job_id}" has ended according to a handover that is {kind}'
)
def step_ended(context, job_id, kind):
    core = _core(_TOKEN - 1)
    core.add_job(_job(job_id))
    job_run = core.jobs[ids.JobId(job_id)]
    job_run.open_due_occurrences(0)
    for task in job_run.tasks():
        task.step_run.mark_done(task)
    job_run.state = model.JobState.COMPLETED
    _handover(context, core, job_id, kind)


@behave.when(
    'a new leader restores job "{job_id}" without any stored progress'
)
def step_restore(context, job_id):
    core = _core(_TOKEN)
    core.on_entry_changed(task_fleet.worker_entry('w1', address='w1'), 0.0)
    core.restore_job(
        _job(job_id), context.handover.progress[ids.JobId(job_id)], 0.0
    )
    core.on_restored(0.0, 0, handover=context.handover, store_was_lost=False)
    context.core = core
    context.takeover = core.takeover


@behave.then('task "{index:d}" of job "{job_id}" runs on "{name}"')
def step_runs_on(context, index, job_id, name):
    key = model.TaskKey(ids.JobId(job_id), 0, 0, index)
    attempts = context.core.jobs[key.job].find(key).attempts
    assert [attempt.worker for attempt in attempts] == [name], attempts


@behave.then('the progress of job "{job_id}" has to be stored')
def step_dirty(context, job_id):
    assert ids.JobId(job_id) in context.core.dirty


@behave.then('job "{job_id}" is shown as {state}')
def step_shown(context, job_id, state):
    shown = context.core.state(ids.JobId(job_id))
    assert shown is model.JobState(state), shown


@behave.when('its progress is stored')
def step_stored(context):
    core = context.core
    states = {job_id: core.jobs[job_id].state for job_id in core.dirty}
    core.on_recorded(states, core.processed_ends())


@behave.when('the handover {message} is decoded')
def step_decode(context, message):
    try:
        context.decoded = takeover.decode(json.loads(message))
    except exceptions.InvalidRecord:
        context.decoded = None


@behave.then('the handover is refused')
def step_refused(context):
    assert context.decoded is None, context.decoded


def _record(offset):
    term = elections.Term(
        token=_TOKEN, instance=ids.InstanceId('other'), address='other'
    )
    value = elections.encode(term, instance='other', address='other')
    return ports.Record(offset, elections.KEY, value)


@behave.given(
    'an observer that has read a record of the leader at second {second:g}'
)
def step_observer(context, second):
    _observe(context, second, elections.Size())


@behave.given(
    "a small instance's observer that has read a record of the leader at "
    'second {second:g}'
)
def step_small_observer(context, second):
    _observe(context, second, elections.Size(link_mbps=5))


def _observe(context, second, size):
    context.observer = elections.Observer(
        instance=ids.InstanceId('this'), claim_delay_s=size.claim_delay_s
    )
    context.end = int(_TOKEN)
    step_record(context, second)


@behave.when('the leader leads on without an offer')
def step_doubted(context):
    context.observer.mark_doubted()


@behave.then(
    'its next read of the leaders may wait for {wait:g} s at second {second:g}'
)
def step_next_read(context, wait, second):
    found = context.observer.read_wait_s(second, 0.7)
    assert abs(found - wait) < 1e-6, found


@behave.when('it reads another record of the leader at second {second:g}')
def step_record(context, second):
    batch = ports.Batch([_record(context.end)], context.end + 1)
    context.end += 1
    context.observer.on_read(batch, second, second)


@behave.given('a read without records until second {second:g}')
def step_silence(context, second):
    context.observer.on_read(ports.Batch([], context.end), 0.0, second)


@behave.when('the leader offers its term at second {second:g}')
def step_offer(context, second):
    context.observer.mark_offered(second)


@behave.when('a read of the observer fails')
def step_read_fails(context):
    context.observer.on_read_failure()


@behave.then('it may claim at second {second:g}')
def step_may_claim(context, second):
    assert context.observer.may_claim(second)


@behave.then('it may not claim at second {second:g}')
def step_may_not_claim(context, second):
    assert not context.observer.may_claim(second)


@behave.given(
    'a tenure with leases of {lease:g} s where workers grant {longest:g} s'
)
def step_tenure(context, lease, longest):
    context.tenure = tenure.Tenure(
        claim_sent_s=0.0, hold_max_s=longest, lease_s=lease
    )
    context.end = 0


@behave.given('a renewal that was sent at second {second:g} and is stored')
@behave.when(
    'a renewal that was sent at second {second:g} is found to be stored'
)
def step_renewed(context, second):
    context.tenure.on_sent(context.end, second)
    context.tenure.on_stored(context.end)
    context.end += 1


@behave.when('the term is offered at second {second:g}')
def step_term_offered(context, second):
    context.tenure.on_offered(second)


@behave.then('the leader is the only one at second {second:g}')
def step_exclusive(context, second):
    assert context.tenure.is_exclusive(second)


@behave.then('the leader is not the only one at second {second:g}')
def step_not_exclusive(context, second):
    assert not context.tenure.is_exclusive(second)


@behave.then('the leader may renew leases at second {second:g}')
def step_valid(context, second):
    assert context.tenure.is_valid(second)


@behave.then('the leader may not renew leases at second {second:g}')
def step_not_valid(context, second):
    assert not context.tenure.is_valid(second)


@behave.given(
    'a new leader that restores job "{job_id}" and is elected at second 0'
)
def step_elected(context, job_id):
    context.core = _core(_TOKEN)
    for name in ('w1', 'w2'):
        entry = task_fleet.worker_entry(name, address=name)
        context.core.on_entry_changed(entry, 0.0)
    context.core.restore_job(_job(job_id), None, 0.0)
    context.core.on_restored(0.0, 0, store_was_lost=False)
    context.reports_s = {}


@behave.given('its worker "{name}" reports at second {second:g}')
@behave.when('its worker "{name}" reports at second {second:g}')
def step_core_reports(context, name, second):
    context.reports_s[ids.WorkerId(name)] = second


@behave.when('its worker "{name}" reports never')
def step_core_silent(context, name):
    assert name not in context.reports_s


@behave.given(
    'the entry of its worker "{name}" is removed at second {second:g}'
)
def step_core_removed(context, name, second):
    context.removed = ids.WorkerId(name), second


def _play(context):
    """Plays 10 s; notes when workers are forgotten and jobs start."""
    core = context.core
    context.forgotten_s, context.started_s = {}, {}
    now_s = 0.0
    while now_s < 10.0:
        removed, removed_s = context.removed
        if now_s == removed_s:
            core.on_entry_removed(removed, now_s)
        for worker in list(core.workers.values()):
            report_s = context.reports_s.get(worker.id, now_s + 1.0)
            # A worker without an entry reports once.
            once = worker.id == removed
            if now_s == report_s or (now_s > report_s and not once):
                report = ports.WorkerReport(
                    clock_ms=0, born_ms=1, running=[], ended=[]
                )
                core.on_report(worker, report, now_s, now_s, 0)
            if core.drop_worker(worker.id, now_s):
                context.forgotten_s[worker.id] = now_s
        core.plan(now_s, 0)
        for command in core.take_commands():
            started = command.attempt.task.key.job
            context.started_s.setdefault(started, now_s)
        now_s += _STEP_S


@behave.then('its job "{job_id}" starts at second {second:g}')
def step_core_starts(context, job_id, second):
    _play(context)
    assert context.started_s == {job_id: second}, context.started_s


@behave.then('its worker "{name}" is forgotten at second {second:g}')
def step_core_forgotten(context, name, second):
    assert context.forgotten_s == {name: second}, context.forgotten_s
