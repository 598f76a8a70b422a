"""Steps for the scheduler's evacuation.feature."""

import asyncio
import dataclasses
from unittest import mock

import behave

from amaranthflow import ids
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import evacuations
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import logs
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_standins import task_fleet
from amaranthflow_standins import task_fuzz

_CPU = 1_000
_MAX_AGE_S = 3.5
_TICK_S = 0.1
_LEASE_S = 4.5
# A heartbeat, which tells the leader of a worker's zone, and a poll.
_LISTED_S = 2.0
# The last read of the table that was answered ends within this time.
_LONG_READ_S = 1.5


def _watch_logs(context):
    """Collects the events that are logged from now on."""
    context.events = []

    def note(name, **fields):
        context.events.append((name, fields))

    patch = mock.patch.object(logs, 'event', note)
    patch.start()
    context.add_cleanup(patch.stop)


# records


@behave.given('no evacuation has been read')
def step_nothing_read(context):
    _watch_logs(context)
    context.evacuations = evacuations.Evacuations()


@behave.given('the evacuation of "{zone}" at offset {offset:d} is read')
@behave.when('the evacuation of "{zone}" at offset {offset:d} is read')
def step_read(context, zone, offset):
    context.evacuations.on_record(ids.ZoneId(zone), offset, 0.0, active=True)


@behave.given(
    'the end for "{zone}" at offset {offset:d} is read at {seconds:g} s'
)
@behave.when(
    'the end for "{zone}" at offset {offset:d} is read at {seconds:g} s'
)
def step_read_end(context, zone, offset, seconds):
    context.evacuations.on_record(
        ids.ZoneId(zone), offset, seconds, active=False
    )


@behave.when(
    'a complete list up to offset {end:d} has the evacuations "{zones}"'
)
def step_list(context, end, zones):
    context.evacuations.on_missing(set(zones.split()), end, 0.0)


@behave.then('the evacuated zones are "{zones}"')
def step_zones(context, zones):
    assert context.evacuations.zones == set(zones.split())


@behave.then('no zone is evacuated')
def step_no_zones(context):
    assert not context.evacuations.zones, context.evacuations.zones


@behave.then('the events "{names}" were logged')
def step_events(context, names):
    wanted = names.split()
    found = [name for name, _ in context.events if name in wanted]
    assert found == wanted, found


@behave.then('the event "{name}" was logged with {count:d} workers')
def step_event(context, name, count):
    found = [
        fields['workers'] for event, fields in context.events if event == name
    ]
    assert found == [count], found


@behave.then('the event "{name}" is not logged within {seconds:g} s')
def step_no_event(context, name, seconds):
    _pass_time(context, seconds)
    assert name not in [event for event, _ in context.events]


@behave.given('the logs of the instances are watched')
def step_watch(context):
    _watch_logs(context)


@behave.given("the operator's table was last read at {seconds:g} s")
def step_last_read(context, seconds):
    context.evacuations = evacuations.Evacuations()
    context.evacuations.on_read(seconds)


@behave.then(
    'runs {may} start at {now_s:g} s if the store has answered at '
    '{answered_s:g} s'
)
def step_may_start(context, may, now_s, answered_s):
    current = context.evacuations.is_current(now_s, _MAX_AGE_S, answered_s)
    assert current is (may == 'may'), current


# decisions


@behave.given(
    'workers "{first}" in zone "{zone}" and "{second}" in zone "{other}"'
)
def step_two_zones(context, first, zone, second, other):
    step_one_zone(context, first, zone)
    _list_workers(context, second, other)


@behave.given('workers "{names}" in zone "{zone}"')
def step_one_zone(context, names, zone):
    _watch_logs(context)
    context.now_s = 5.0
    context.offset = 0
    context.jobs = 0
    context.evacuations = evacuations.Evacuations()
    context.core = scheduler.Scheduler(
        limits=task_fleet.LIMITS,
        token=model.Token(1),
        now_s=0.0,
        evacuations=context.evacuations,
    )
    _list_workers(context, names, zone)


@behave.when('workers "{names}" of zone "{zone}" are listed')
def step_listed(context, names, zone):
    _list_workers(context, names, zone)


def _list_workers(context, names, zone):
    for name in names.split():
        entry = dataclasses.replace(
            task_fleet.worker_entry(name, address=name),
            zone=ids.ZoneId(zone),
        )
        context.core.on_entry_changed(entry, context.now_s)
        _report(context, context.core.workers[entry.id])


def _report(context, worker):
    """Reports that everything that was sent to a worker runs."""
    worker.lease_end_s = context.now_s + _LEASE_S
    percent = context.now_s  # all runs advance alike
    running = [
        ports.RunProgress(attempt.task.key, attempt.run, '', percent, 0.0)
        for attempt in worker.attempts
        if attempt.state is not execution.AttemptState.PLANNED
    ]
    report = ports.WorkerReport(
        clock_ms=round(context.now_s * 1000),
        born_ms=1,
        running=running,
        ended=[],
    )
    now_ms = round(context.now_s * 1000)
    context.core.on_report(
        worker, report, context.now_s, context.now_s, now_ms
    )


def _change(context, zone, active):
    before = context.evacuations.zones
    context.offset += 1
    context.evacuations.on_record(
        ids.ZoneId(zone), context.offset, context.now_s, active=active
    )
    context.core.on_evacuations_changed(before, context.now_s)


@behave.when('zone "{zone}" is evacuated')
def step_evacuated(context, zone):
    _change(context, zone, True)


@behave.when('zone "{zone}" is taken back at {seconds:g} s')
def step_taken_back(context, zone, seconds):
    context.now_s = seconds
    _change(context, zone, False)


def _add_job(context, count, cores=1, **fields):
    context.jobs += 1
    step = model.Step(
        count=count,
        resources=model.Resources(cores * _CPU, 100, 0),
        estimate_ms=60_000,
        **fields,
    )
    job = model.Job(
        id=ids.JobId(f'j{context.jobs}'),
        queue=task_fleet.QUEUE,
        payload='',
        steps=(step,),
        accepted_ms=0,
    )
    context.core.add_job(job)
    return job


def _pass_time(context, seconds):
    """Lets workers report, and the leader tick and plan, for some time."""
    end_s = context.now_s + seconds
    while context.now_s < end_s - _TICK_S / 2:
        context.now_s += _TICK_S
        for worker in context.core.workers.values():
            _report(context, worker)
        context.core.tick(context.now_s, round(context.now_s * 1000))
        _plan(context)


def _plan(context):
    """Plans once; returns the workers of the starts, which are sent."""
    now_ms = round(context.now_s * 1000)
    context.core.plan(context.now_s, now_ms)
    context.core.plan_opportunistic(context.now_s, now_ms)
    return _send(context)


def _send(context, only=None):
    started = []
    for command in context.core.take_commands():
        if not isinstance(command, commands.Start):
            continue
        attempt = command.attempt
        if attempt.state is not execution.AttemptState.PLANNED:
            continue
        if only is None or attempt.worker == only:
            context.core.on_sent(attempt)
            context.core.on_started(attempt, context.now_s)
            started.append(attempt.worker)
    return started


def _starts(context, count, names, **fields):
    for worker in context.core.workers.values():
        _report(context, worker)
    _add_job(context, count, **fields)
    started = _plan(context)
    assert len(started) == count, started
    assert set(started) <= set(names.split()), started


@behave.then('{count:d} batch tasks start on "{names}"')
@behave.then('{count:d} batch task starts on "{names}"')
def step_start(context, count, names):
    _starts(context, count, names)


@behave.then('1 batch task of {cores:d} processors starts on "{names}"')
def step_start_wide(context, cores, names):
    _starts(context, 1, names, cores=cores)


@behave.then('a service of {count:d} tasks starts on "{names}"')
def step_start_service(context, count, names):
    _starts(context, count, names, service=True)


@behave.then('{count:d} opportunistic tasks start on "{names}"')
def step_start_opportunistic(context, count, names):
    _starts(context, count, names, opportunistic=True)


@behave.then('a gang of {count:d} tasks starts on "{names}"')
def step_start_gang(context, count, names):
    _starts(context, count, names, gang=True)


@behave.then('a gang of {count:d} tasks does not start')
def step_no_gang(context, count):
    _add_job(context, count, gang=True)
    started = _plan(context)
    assert not started, started


@behave.then('no batch task starts')
def step_no_start(context):
    _add_job(context, 1)
    started = _plan(context)
    assert not started, started


@behave.given('a task with backups runs on "{name}"')
def step_with_backups(context, name):
    _add_job(context, 1, backups=True)
    while _plan(context) != [name]:
        _pass_time(context, _TICK_S)
        for attempt in list(_attempts(context)):
            context.core._remove(attempt, 'test')
    _pass_time(context, 2.0)


def _attempts(context):
    for worker in context.core.workers.values():
        yield from worker.attempts


@behave.when('the worker "{name}" is silent')
def step_silent(context, name):
    context.now_s += 1.5
    for worker in context.core.workers.values():
        if worker.id != name:
            _report(context, worker)
    context.core.tick(context.now_s, round(context.now_s * 1000))


@behave.then('the backup run starts on "{name}"')
def step_backup(context, name):
    assert _send(context) == [name]


@behave.given(
    '{count:d} batch tasks are planned, and those on "{name}" were sent'
)
def step_planned(context, count, name):
    _add_job(context, count, max_per_worker=count // 2)
    context.core.plan(context.now_s, round(context.now_s * 1000))
    assert len(_send(context, only=ids.WorkerId(name))) == count // 2


@behave.then('no run is planned on "{name}"')
def step_none_planned(context, name):
    attempts = context.core.workers[ids.WorkerId(name)].attempts
    assert not attempts, attempts


@behave.then('nothing on "{name}" is stopped')
def step_none_stopped(context, name):
    worker = context.core.workers[ids.WorkerId(name)]
    states = {attempt.state for attempt in worker.attempts}
    assert states == {execution.AttemptState.RUNNING}, states
    stops = [
        command
        for command in context.core.take_commands()
        if isinstance(command, commands.Stop)
    ]
    assert not stops, stops


@behave.then('the tasks start on "{name}" once it has room')
def step_start_later(context, name):
    worker = context.core.workers[ids.WorkerId(name)]
    for attempt in list(worker.attempts):
        context.core._remove(attempt, 'test')
    started = _plan(context)
    assert started and set(started) == {name}, started


@behave.then('a service of {count:d} tasks is {outcome}')
def step_admitted(context, count, outcome):
    step = model.Step(
        count=count, resources=model.Resources(_CPU, 100, 0), service=True
    )
    job = model.Job(
        id=ids.JobId('s1'),
        queue=task_fleet.QUEUE,
        payload='',
        steps=(step,),
        accepted_ms=0,
    )
    now_ms = round(context.now_s * 1000)
    refusal = context.core.refusal(job, context.now_s, now_ms)
    assert (refusal is None) is (outcome == 'admitted'), refusal


@behave.when('{count:d} batch tasks wait')
def step_wait(context, count):
    _add_job(context, count)


@behave.then('{count:d} batch tasks run there after {seconds:g} s')
def step_run_after(context, count, seconds):
    _pass_time(context, 10.0 + seconds - context.now_s)
    running = len(list(_attempts(context)))
    assert running == count, running


# whole instances


def _run(context, work):
    return context.loop.run_until_complete(work)


@behave.given('task workers "{names}" are in zone "{zone}"')
def step_in_zone(context, names, zone):
    for name in names.split():
        worker = context.fleet.workers[ids.WorkerId(name)]
        worker.entry = dataclasses.replace(worker.entry, zone=ids.ZoneId(zone))
    _run(context, asyncio.sleep(_LISTED_S))


@behave.given('the operator evacuates zone "{zone}"')
@behave.when('the operator evacuates zone "{zone}"')
def step_evacuate(context, zone):
    context.fleet.evacuate(zone)
    context.evacuated_s = context.loop.time()


@behave.when('the operator takes zone "{zone}" back')
def step_take_back(context, zone):
    context.fleet.evacuate(zone, active=False)
    context.taken_back_s = context.loop.time()


@behave.when(
    'the operator evacuates zone "{zone}" and the leader is {fault} '
    '{seconds:g} s later'
)
def step_evacuate_and_lose(context, zone, fault, seconds):
    if seconds < 0:
        _lose_leader(context, fault)
        _run(context, asyncio.sleep(-seconds))
        step_evacuate(context, zone)
    else:
        step_evacuate(context, zone)
        _run(context, asyncio.sleep(seconds))
        _lose_leader(context, fault)


def _lose_leader(context, fault):
    fleet = context.fleet
    leader = fleet.leader()
    if fault == 'killed':
        _run(context, fleet.kill(leader))
    elif fault == 'cut off from the store':
        fleet.store.faults.silent.add(leader)
    else:
        fleet.store.faults.silent_tables.add(
            (leader, ports.Table.CONFIGURATION)
        )


@behave.given("the instances follow the operator's table no longer")
def step_unfollowed(context):
    for node in context.fleet.nodes.values():
        _, follower = node._tasks
        follower.cancel()


@behave.when(
    'the store does not respond while the operator takes zone "{zone}" back '
    'and the history is dropped'
)
def step_miss_end(context, zone):
    fleet = context.fleet
    fleet.store.faults.silent.update(fleet.nodes)
    _run(context, asyncio.sleep(_LONG_READ_S))
    step_take_back(context, zone)
    fleet.store.compact()
    _run(context, asyncio.sleep(_LONG_READ_S))
    fleet.store.faults.silent.clear()


@behave.when('{count:d} further task jobs are accepted in {seconds:g} s')
def step_more_jobs(context, count, seconds):
    _run(context, _submit_many(context.fleet, count, seconds))


async def _submit_many(fleet, count, seconds):
    step = model.Step(
        count=1, resources=model.Resources(_CPU, 100, 0), estimate_ms=1_500
    )
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            job_id = f'm{number}'
            fleet.jobs_steps[job_id] = [step]
            group.create_task(fleet.submit(job_id, [step]))
            await asyncio.sleep(seconds / count)


def _started_in(context, zone):
    """Returns when runs have started in a zone."""
    return [
        run.started_s
        for worker, run in context.fleet.runs
        if worker.entry.zone == zone
    ]


@behave.then(
    'no run starts in zone "{zone}" later than {seconds:g} s after that'
)
def step_none_late(context, zone, seconds):
    bound_s = context.evacuated_s + seconds
    late = [s for s in _started_in(context, zone) if s > bound_s]
    assert not late, (context.evacuated_s, late[:5], len(late))


@behave.then('no run has started in zone "{zone}" since the leader was lost')
def step_none_since_loss(context, zone):
    leader = context.fleet.nodes[context.fleet.leader()].leader
    new = [
        run
        for worker, run in context.fleet.runs
        if worker.entry.zone == zone and run.token == leader.term.token
    ]
    assert not new, new
    assert any(run.token == leader.term.token for _, run in context.fleet.runs)


@behave.then('runs have started in zone "{zone}"')
def step_started(context, zone):
    found = [s for s in _started_in(context, zone) if s > context.taken_back_s]
    assert found


@behave.then('all accepted task jobs are completed')
def step_all_completed(context):
    for job_id in list(context.fleet.jobs):
        work = context.fleet.wait_state(job_id, model.JobState.COMPLETED, 1.0)
        _run(context, work)


@behave.then('each instance has the evacuated zones "{zones}"')
def step_each_instance(context, zones):
    wanted = set(zones.split())
    found = {
        name: node.evacuations.zones
        for name, node in context.fleet.nodes.items()
    }
    assert all(known == wanted for known in found.values()), found


@behave.then('another task instance leads than before')
def step_other_leads(context):
    fleet = context.fleet
    ((cut_off, _),) = fleet.store.faults.silent_tables
    assert fleet.leader() not in (None, cut_off), fleet.leader()


@behave.then('{count:d} runs of "{job_id}" have started')
def step_runs_of(context, count, job_id):
    runs = [r for _, r in context.fleet.runs if r.task.job == job_id]
    assert len(runs) == count, runs


@behave.when('the fleet fuzzer runs seed {seed:d} with evacuated zones')
def step_explore(context, seed):
    context.explored = task_fuzz.explore(seed, evacuated=True)
