"""Steps for the scheduler's incarnations.feature."""

import asyncio
import dataclasses
import itertools

import behave
import msgspec

from amaranthflow import ids
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import incarnations
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_scheduler import unanswered_starts
from amaranthflow_scheduler import workers
from amaranthflow_standins import task_fleet

_JOBS_PER_S = 4
# Run times of the tasks in seconds; the long ones outlast any lease.
_RUN_TIMES_S = (0.3, 1.5, 12.0)
_BACK_S = 3.0
_MAX_POLLS = 30_000
_MAX_WARM_UP_JOBS = 10
_FORMER_CLOCK_MS = 60_000


def _steps(count, seconds):
    resources = model.Resources(1_000, 100, 0)
    return [
        model.Step(
            count=count, resources=resources, estimate_ms=round(seconds * 1000)
        )
    ]


async def _submit_jobs(fleet):
    run_times = itertools.cycle(_RUN_TIMES_S)
    for number in itertools.count():
        steps = _steps(2, next(run_times))
        fleet.jobs_steps[f'b{number}'] = steps
        await fleet.submit(f'b{number}', steps)
        await asyncio.sleep(1 / _JOBS_PER_S)


@behave.given(
    'calls that come while a task worker is down are executed after its '
    'restart'
)
def step_keep(context):
    context.before = context.fleet.leader()
    for worker in context.fleet.workers.values():
        worker.faults.keeps_calls = True


@behave.given('task jobs of short and long tasks arrive')
def step_load(context):
    context.jobs = context.loop.create_task(_submit_jobs(context.fleet))


def _cut_off(workers, cut):
    for worker in workers:
        worker.faults.reaches_store = not cut
        if cut:
            worker.faults.unreachable_from.add('*')
        else:
            worker.faults.unreachable_from.discard('*')


async def _restart(context, workers, down_s):
    for worker in workers:
        worker.crash()
    await asyncio.sleep(down_s)
    for worker in workers:
        worker.restart()


async def _restart_and_cut(context, names, times, down_s, later_s, cut_s):
    workers = [context.fleet.workers[name] for name in names.split()]
    for _ in range(times):
        await _restart(context, workers, down_s)
        await asyncio.sleep(later_s)
        _cut_off(workers, True)
        await asyncio.sleep(cut_s)
        _cut_off(workers, False)
        await asyncio.sleep(_BACK_S)


@behave.when(
    'task workers "{names}" restart after {down:g} s and are cut off '
    '{later:g} s later for {cut:g} s, {times:d} times'
)
def step_restart_and_cut(context, names, down, later, cut, times):
    context.loop.run_until_complete(
        _restart_and_cut(context, names, times, down, later, cut)
    )


@behave.when('no more task jobs arrive')
def step_no_load(context):
    context.jobs.cancel()


@behave.given(
    'calls that come while a task worker is down are executed {seconds:g} s '
    'after its restart'
)
def step_keep_for(context, seconds):
    for worker in context.fleet.workers.values():
        worker.faults.keeps_calls = True
        worker.faults.kept_s = (seconds, seconds)


@behave.given(
    'starts that come while a task worker is down are executed {seconds:g} s '
    'after its restart'
)
def step_keep_starts(context, seconds):
    step_keep_for(context, seconds)
    for worker in context.fleet.workers.values():
        worker.faults.keeps_only_starts = True


@behave.when('commands to task worker "{name}" are executed at once again')
def step_at_once(context, name):
    context.fleet.workers[name].faults.delayed_share = 0.0


async def _use_all_workers(fleet):
    core = fleet.nodes[fleet.leader()].leader.core
    for number in range(_MAX_WARM_UP_JOBS):
        job_id = f'warm-up-{number}'
        fleet.jobs_steps[job_id] = _steps(8, 0.1)
        await fleet.submit(job_id, fleet.jobs_steps[job_id])
        await asyncio.sleep(0.2)
        since_s = fleet.loop.time() - 1.0
        if all(w.answered_s > since_s for w in core.workers.values()):
            return
    raise AssertionError('a worker gets no start')


@behave.given('task workers have just answered starts')
def step_warm_up(context):
    context.loop.run_until_complete(_use_all_workers(context.fleet))


@behave.when('the next start at each task worker waits')
def step_stall_next(context):
    for worker in context.fleet.workers.values():
        worker.faults.stalls_starts = True
        worker.faults.stalled_starts = 1


@behave.when('{count:d} task jobs with steps "1x0.5" are accepted')
def step_small_jobs(context, count):
    for number in range(count):
        steps = _steps(1, 0.5)
        context.fleet.jobs_steps[f'c{number}'] = steps
        context.loop.run_until_complete(
            context.fleet.submit(f'c{number}', steps)
        )


@behave.when('all task workers restart after {seconds:g} s')
def step_restart_all(context, seconds):
    workers = list(context.fleet.workers.values())
    context.loop.run_until_complete(_restart(context, workers, seconds))


@behave.then('a task worker has executed a call of a former incarnation')
def step_any_executed_kept(context):
    workers = context.fleet.workers.values()
    assert any(worker.kept_calls_executed for worker in workers)


@behave.then('all task jobs are completed')
def step_all_completed(context):
    for job_id in context.fleet.jobs:
        state = context.loop.run_until_complete(
            context.fleet.query_state(job_id)
        )
        assert state is model.JobState.COMPLETED, (job_id, state)


@behave.then('the task fleet has left no start unanswered')
def step_none_unanswered(context):
    assert not _leader_count(context, 'starts_unanswered')


@behave.when('only starts wait at task worker "{name}"')
def step_stall(context, name):
    context.fleet.workers[name].faults.stalls_starts = True


@behave.when('task worker "{name}" lets starts wait for {seconds:g} s')
def step_stall_for(context, name, seconds):
    worker = context.fleet.workers[name]
    worker.faults.stalls_starts = True
    context.loop.call_later(seconds, worker.resume_starts)


@behave.when('task worker "{name}" loses {percent:d}% of its replies')
def step_lose_replies(context, name, percent):
    context.fleet.workers[name].faults.lost_reply_share = percent / 100


@behave.when('task worker "{name}" executes {percent:d}% of its commands late')
def step_delay_commands(context, name, percent):
    context.fleet.workers[name].faults.delayed_share = percent / 100


@behave.when('task worker "{name}" goes down')
def step_down(context, name):
    context.fleet.workers[name].crash()


@behave.when('task worker "{name}" is up again')
def step_up(context, name):
    context.fleet.workers[name].restart()


@behave.when('task worker "{name}" is up again, cut off for {cut:g} s')
def step_up_cut(context, name, cut):
    worker = context.fleet.workers[name]
    worker.restart()
    _cut_off([worker], True)
    context.loop.call_later(cut, _cut_off, [worker], False)


@behave.when('task worker "{name}" is cut off for {cut:g} s')
def step_cut(context, name, cut):
    worker = context.fleet.workers[name]
    _cut_off([worker], True)
    context.loop.call_later(cut, _cut_off, [worker], False)


@behave.then(
    'task worker "{name}" has executed a call of a former incarnation'
)
def step_executed_kept(context, name):
    assert context.fleet.workers[name].kept_calls_executed


async def _restart_instances(fleet, times):
    for _ in range(times):
        names = list(fleet.nodes)
        for name in names:
            await fleet.kill(name)
        for name in names:
            fleet.start_node(name)
        await fleet.wait_leader()


@behave.when('all task instances are killed and start again at once')
def step_restart_all(context):
    context.loop.run_until_complete(_restart_instances(context.fleet, 1))


@behave.when('all task instances are killed and start again at once, twice')
def step_restart_all_twice(context):
    context.loop.run_until_complete(_restart_instances(context.fleet, 2))


@behave.given('connections to task workers outlast their restarts')
def step_keep_connections(context):
    for worker in context.fleet.workers.values():
        worker.faults.keeps_connections = True


@behave.then(
    'the start of a run on "{name}" was answered by a later incarnation'
)
def step_later_life(context, name):
    worker = context.fleet.workers[name]
    runs = [run for other, run in context.fleet.runs if other is worker]
    assert any(run.started_s > worker.started_s for run in runs), runs


@behave.given(
    'ends below an acknowledged number are dropped later, too: {answer}'
)
def step_drop_later(context, answer):
    for worker in context.fleet.workers.values():
        worker.faults.drops_later_ends = answer == 'yes'


@behave.then('no task of the task fleet has run again after it was done')
def step_done_once(context):
    ended = {}
    for _, run in context.fleet.runs:
        assert run.task not in ended, (run, ended[run.task])
        if run.outcome is model.RunOutcome.DONE:
            ended[run.task] = run


def _report(context, born_ms, clock_ms, running, sent_s, now_s):
    report = ports.WorkerReport(
        clock_ms=clock_ms, born_ms=born_ms, running=running, ended=[]
    )
    context.core.on_report(
        context.worker, report, sent_s, now_s, round(1000 * now_s)
    )


@behave.given(
    "a scheduler's worker that restarted at 1.5 s and runs a task since 2 s"
)
def step_restarted(context):
    context.core = core = scheduler.Scheduler(
        limits=task_fleet.LIMITS, token=model.Token(1), now_s=0.0
    )
    core.on_entry_changed(task_fleet.worker_entry('w1', address='w1'), 0.0)
    context.worker = core.workers[ids.WorkerId('w1')]
    _report(context, 1, _FORMER_CLOCK_MS, [], 0.1, 0.1)
    _report(context, 1_500, 300, [], 1.8, 1.8)
    job = model.Job(
        id=ids.JobId('a'),
        queue=task_fleet.QUEUE,
        payload='',
        steps=tuple(_steps(1, 9.0)),
        accepted_ms=1_800,
    )
    core.add_job(job)
    core.on_arrival(job, 1.8)
    core.plan(1.9, 1_900)
    (start,) = core.take_commands()
    context.attempt = start.attempt
    core.on_sent(start.attempt, 1.9)
    core.on_started(start.attempt, 2.0, 0.1)
    row = ports.RunProgress(
        start.attempt.task.key, start.attempt.run, '', 1, 0
    )
    _report(context, 1_500, 600, [row], 2.1, 2.1)


@behave.when(
    'a report of its former incarnation, requested at 1 s, arrives at 2.5 s'
)
def step_late_report(context):
    _report(context, 1, _FORMER_CLOCK_MS + 1_000, [], 1.0, 2.5)


@behave.then('the task has no other start and no crash')
def step_no_start(context):
    core = context.core
    core.tick(2.6, 2_600)
    core.plan(2.6, 2_600)
    sent = core.take_commands()
    assert not any(isinstance(c, commands.Start) for c in sent), sent
    assert context.attempt.task.crashes == 0, context.attempt.task.crashes


@behave.then("the worker's clock is held to be 1 s at most")
def step_clock(context):
    clock_ms = context.worker.min_clock_ms(2.5)
    assert clock_ms <= 1_000, clock_ms


@behave.then('no task of the task fleet has run on a worker of kind "{kind}"')
def step_other_kind(context, kind):
    found = [r for w, r in context.fleet.runs if kind in w.entry.labels]
    assert not found, found


@behave.when('task worker "{name}" is up again as kind "{kind}"')
def step_up_as(context, name, kind):
    context.fleet.workers[name].restart(frozenset((kind,)))


def _leader_count(context, name):
    """Returns a counter of the present leader."""
    leader = context.fleet.nodes[context.fleet.leader()].leader
    lines = leader._deps.meters.render().decode().splitlines()
    counters = dict(line.rsplit(' ', 1) for line in lines)
    return int(counters.get(f'amaranthflow_{name}_total', 0))


async def _crash_once_sent(context, name, job_id, kind):
    fleet = context.fleet
    sent = _leader_count(context, 'starts')
    steps = [dataclasses.replace(step, label=kind) for step in _steps(1, 0.5)]
    fleet.jobs_steps[job_id] = steps
    submission = context.loop.create_task(fleet.submit(job_id, steps))
    for _ in range(_MAX_POLLS):
        if _leader_count(context, 'starts') > sent:
            break
        await asyncio.sleep(0.0002)
    await asyncio.sleep(0.001)
    fleet.workers[name].crash()
    await submission


@behave.when(
    'task worker "{name}" goes down 1 ms after the start of a task of job '
    '"{job_id}" that requires kind "{kind}"'
)
def step_down_once_sent(context, name, job_id, kind):
    context.loop.run_until_complete(
        _crash_once_sent(context, name, job_id, kind)
    )


@behave.then('the task fleet has sent no start to a former incarnation')
def step_no_former(context):
    count = _leader_count(context, 'starts_by_other_incarnations')
    assert not count, count


@behave.then('the leader has checked incarnations {count:d} times')
def step_checks(context, count):
    found = _leader_count(context, 'incarnation_checks')
    assert found == count, found


@behave.given('the leader cannot reach task worker "{name}"')
def step_unreachable(context, name):
    fleet = context.fleet
    fleet.workers[name].faults.unreachable_from.add(fleet.leader())


@behave.when('the leader can neither write to the store nor be asked')
def step_no_renewal(context):
    fleet = context.fleet
    leader = fleet.leader()
    for table in (ports.Table.LEADERS, ports.Table.PROGRESS):
        fleet.store.faults.silent_tables.add((leader, table))
    fleet.frozen.add(leader)


async def _restart_once_run(fleet, name, job_id):
    def runs():
        return any(run.task.job == job_id for _, run in fleet.runs)

    for _ in range(_MAX_POLLS):
        if runs():
            break
        await asyncio.sleep(0.001)
    fleet.workers[name].crash()
    fleet.workers[name].restart()


@behave.when('task worker "{name}" restarts as soon as "{job_id}" runs')
def step_restart_once_run(context, name, job_id):
    context.loop.run_until_complete(
        _restart_once_run(context.fleet, name, job_id)
    )


@behave.given('the tokens of a term whose renewals fail')
def step_tokens(context):
    context.confirmed = False
    context.tokens = incarnations.Tokens(
        model.Token(7), is_exclusive=lambda: context.confirmed
    )
    entry = task_fleet.worker_entry('w1', address='w1')
    context.worker = workers.Worker(entry=entry, lease_end_s=0.0)


def _answer(context):
    worker = context.worker
    token = context.tokens.for_call(worker)
    incarnations.on_answer(worker, token, 1.0, 6.0)


@behave.when('a worker of the term answers its first call')
def step_first_answer(context):
    _answer(context)


@behave.when(
    'the store has a record of the term and the worker answers a call'
)
def step_later_answer(context):
    context.tokens.on_stored(7)
    _answer(context)


@behave.when('the term is confirmed and the worker answers a call')
def step_confirmed_answer(context):
    context.confirmed = True
    _answer(context)


@behave.then('the worker of the term is fenced')
def step_fenced(context):
    assert context.worker.fenced


@behave.then('the worker of the term is not fenced')
def step_not_fenced(context):
    assert not context.worker.fenced


@behave.then('its leases count until second {second:g}')
def step_leases(context, second):
    end_s = context.worker.lease_end_s
    assert round(end_s, 2) == second, end_s


@behave.when(
    'the start of another task is recorded and answered {seconds:g} s later'
)
def step_recorded(context, seconds):
    core = context.core
    job = dataclasses.replace(core.jobs[ids.JobId('a')].job, id=ids.JobId('b'))
    core.add_job(job)
    core.plan(2.2, 2_200)
    (start,) = core.take_commands()
    core.on_sent(start.attempt, 2.2)
    context.before = core.progress_record(job.id)
    core.dirty.clear()
    core.on_started(start.attempt, 2.2 + seconds)


@behave.then('its job is recorded again, without an unconfirmed start')
def step_recorded_again(context):
    core = context.core
    assert core.dirty == {ids.JobId('b')}, core.dirty
    after = core.progress_record(ids.JobId('b'))
    assert len(msgspec.json.decode(context.before)) == 10, context.before
    assert len(msgspec.json.decode(after)) == 8, after


@behave.given('a start with token 5 to a worker that has restarted since')
def step_unconfirmed(context):
    step_restarted(context)
    context.worker.former_token = context.attempt.token = model.Token(5)
    context.worker.token = model.Token(6)
    context.attempt.confirmed = False
    context.attempt.born_ms = 1
    context.attempt.task.add_unanswered(
        execution.UnansweredStart(
            context.worker.id, context.attempt.run, context.attempt.sent_s
        )
    )


@behave.when(
    'a report without its run answers a call with token {token:d}, {age:g} s '
    'after the start'
)
def step_absent(context, token, age):
    sent_s = context.attempt.sent_s + age
    context.proved = incarnations.is_gone(
        context.attempt, context.worker, model.Token(token), sent_s
    )


@behave.then('the absence of the run is proved: {expected}')
def step_proved(context, expected):
    assert context.proved is (expected == 'yes')


@behave.then('its task is still bound to its worker')
def step_bound(context):
    bindings = unanswered_starts.Bindings(
        fleet=context.core.workers, max_lease_s=6.0
    )
    task = context.attempt.task
    bindings.on_restored(task.step_run.job_run)
    bindings.expire(context.attempt.sent_s + 9.0)
    bound = unanswered_starts.bound_to(task)
    assert bound == {context.worker.id}, bound


@behave.when('the worker refuses a call with token {token:d} for its token')
def step_refused(context, token):
    context.outdated = incarnations.is_outdated(
        ports.CommandRefused(ports.Refusal.STALE_TOKEN),
        context.worker,
        model.Token(token),
    )


@behave.then('the refusal is outdated: {expected}')
def step_outdated(context, expected):
    assert context.outdated is (expected == 'yes')
