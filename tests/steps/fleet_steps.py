"""Steps for fleet.feature."""

import asyncio

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import verdict
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import fleet_fuzz
from amaranthflow_standins import history
from amaranthflow_standins import local_fleet

_CHECK_S = 0.1
_FUZZ_STEPS = 100


def _run(context, work):
    return context.loop.run_until_complete(work)


async def _advance(fleet, seconds):
    remaining_s = seconds
    while remaining_s > 1e-9:
        await fleet.clock.run_for(min(_CHECK_S, remaining_s))
        remaining_s -= _CHECK_S
        _check(fleet)


def _check(fleet):
    for rack in ('rack-0', 'rack-1'):
        assert len(fleet.serving(rack)) < 2, fleet.serving(rack)
    assert not fleet.violations(), fleet.violations()
    assert not fleet.overlaps(), fleet.overlaps()


def _close(context):
    _run(context, context.fleet.close())
    context.loop.close()


@behave.given('a fleet of {count:d} instances')
def step_fleet(context, count):
    context.loop = asyncio.new_event_loop()
    context.fleet = local_fleet.LocalFleet(seed=1)
    context.add_cleanup(_close, context)
    _run(context, _start(context.fleet, count))


async def _start(fleet, count):
    for index in range(count):
        fleet.start(f'i{index}')
    await fleet.clock.run_for(2.0)
    await fleet.configure('i0')
    await fleet.clock.run_for(5.0)


@behave.when('the fleet runs for {seconds:g} s')
def step_run(context, seconds):
    _run(context, _advance(context.fleet, seconds))


@behave.when('fleet job "{job}" of {seconds:g} s is submitted')
def step_submit(context, job, seconds):
    _submit(context, job, seconds, idempotent=True)


@behave.when('non-idempotent fleet job "{job}" of {seconds:g} s is submitted')
def step_submit_once(context, job, seconds):
    _submit(context, job, seconds, idempotent=False)


@behave.when('failing fleet job "{job}" is submitted')
def step_submit_failing(context, job):
    for machine in context.fleet.machines.values():
        machine.set_faults(fails_everything=True)
    _submit(context, job, 1.0, idempotent=True)


def _submit(context, job, seconds, idempotent):
    name = next(iter(context.fleet.instances))
    work = context.fleet.submit(name, job, seconds, idempotent=idempotent)
    _run(context, work)


@behave.when('fleet job "{job}" is cancelled')
def step_cancel(context, job):
    instance = next(iter(context.fleet.instances.values()))
    work = instance.parts.submissions.cancel(local_fleet.TENANT, job)
    _run(context, context.fleet.run_until_done(work))


def _newest_state(fleet):
    states = (i.parts.node.state for i in fleet.instances.values())
    return max(states, key=lambda state: state.next_offset)


def _entry(fleet, job):
    jobs = _newest_state(fleet).jobs.jobs
    return next(e for key, e in jobs.items() if key.job_id == job)


@behave.when('the fleet instance that runs job "{job}" is killed')
@behave.when('the fleet instance that owns job "{job}" is killed')
def step_kill_owner_of_job(context, job):
    owner = context.fleet.owner(_entry(context.fleet, job).rack_id)
    _run(context, context.fleet.kill(owner))


@behave.when('the fleet owner of "{rack}" is killed')
def step_kill_owner(context, rack):
    _run(context, context.fleet.kill(context.fleet.owner(rack)))


@behave.when('fleet instance "{name}" is killed')
def step_kill(context, name):
    _run(context, context.fleet.kill(name))


@behave.when('all fleet instances but one are killed')
def step_kill_all_but_one(context):
    for name in sorted(context.fleet.instances)[1:]:
        _run(context, context.fleet.kill(name))


@behave.when('fleet instance "{name}" starts')
def step_start(context, name):
    _run(context, _start_one(context.fleet, name))


@behave.when('fleet instance "{name}" starts with peer "{peer}"')
def step_start_with_peer(context, name, peer):
    _run(context, _start_one(context.fleet, name, start_peers=[peer]))


async def _start_one(fleet, name, **values):
    fleet.start(name, **values)


@behave.when('the fleet owner of "{rack}" is paused')
def step_pause(context, rack):
    context.paused = context.fleet.owner(rack)
    context.fleet.instances[context.paused].gate.pause()


@behave.when('the paused fleet instances resume')
def step_resume(context):
    context.fleet.instances[context.paused].gate.resume()


@behave.when('the fleet owner of "{rack}" is partitioned from all others')
def step_cut(context, rack):
    owner = context.fleet.owner(rack)
    for name in context.fleet.instances:
        if name != owner:
            context.fleet.cut(owner, name)


@behave.when('the fleet log is down')
def step_log_down(context):
    context.fleet.log.set_faults(down=True)


@behave.when('the fleet log answers again')
def step_log_up(context):
    context.fleet.log.set_faults(down=False)


@behave.when('the fleet log loses {count:d} replies')
def step_lose_replies(context, count):
    context.fleet.log.set_faults(lose_replies=count)


def _worker_of(context, job):
    return context.fleet.machines[_entry(context.fleet, job).worker_id]


@behave.when('the fleet worker that runs job "{job}" dies')
def step_worker_dies(context, job):
    _worker_of(context, job).set_faults(dead=True)


@behave.when('the fleet worker that runs job "{job}" freezes')
def step_worker_freezes(context, job):
    _worker_of(context, job).set_faults(frozen=True)


@behave.when('the fleet worker that runs job "{job}" is leaving')
def step_worker_leaves(context, job):
    context.leaving_worker = _worker_of(context, job).worker.worker_id
    context.fleet.list.set_phase(
        context.leaving_worker, platform.InstancePhase.LEAVING
    )


@behave.when('fleet worker "{worker}" is leaving')
def step_named_worker_leaves(context, worker):
    context.leaving_worker = worker
    context.fleet.list.set_phase(worker, platform.InstancePhase.LEAVING)


@behave.when('the list that the fleet owner of "{worker}" sees is outdated')
def step_stale_list(context, worker):
    rack = next(
        w.rack_id for w in context.fleet.workers if w.worker_id == worker
    )
    owner = context.fleet.instances[context.fleet.owner(rack)]
    _run(context, context.fleet.freeze_list(owner))


@behave.when('the fleet workers die')
def step_workers_die(context):
    for machine in context.fleet.machines.values():
        machine.set_faults(dead=True)


@behave.when('the fleet workers return')
def step_workers_return(context):
    for machine in context.fleet.machines.values():
        machine.set_faults(dead=False, frozen=False)


@behave.when('the fleet worker that runs job "{job}" is given {slots:d} slots')
def step_change_slots(context, job, slots):
    worker_id = _entry(context.fleet, job).worker_id
    _change_slots(context, worker_id, slots)


@behave.when(
    'a fleet booking lowers worker "{worker}" to {slots:d} slots in'
    ' {seconds:d} s'
)
def step_book_slots(context, worker, slots, seconds):
    at_ms = context.fleet.clock.wall_ms() + seconds * 1000
    _change_slots(context, worker, slots, effective_at_ms=at_ms)


def _change_slots(context, worker_id, slots, **fields):
    fleet = context.fleet
    timelines = _newest_state(fleet).config.timelines()
    key = f'worker/{worker_id}'
    timeline = next(line for line in timelines if line.key == key)
    body = world_pb2.Worker()
    body.CopyFrom(timeline.versions[-1].change.worker)
    body.slots = slots
    name = next(iter(fleet.instances))
    work = fleet.change(
        name, key, body, expected_version=timeline.version, **fields
    )
    result = _run(context, work)
    assert result.accepted, result.reason


@behave.then(
    'the fleet owner of "{rack}" counts {slots:d} slots on "{worker}"'
)
def step_count_slots(context, rack, slots, worker):
    owner = context.fleet.instances[context.fleet.owner(rack)]
    session = owner.parts.sessions.by_id[ids.WorkerId(worker)]
    assert session.ledger.worker.slots == slots, session.ledger.worker.slots


@behave.then(
    'the fleet ledger of the worker that runs job "{job}" holds {count:d} task'
)
def step_ledger(context, job, count):
    entry = _entry(context.fleet, job)
    owner = context.fleet.instances[context.fleet.owner(entry.rack_id)]
    session = owner.parts.sessions.by_id[entry.worker_id]
    assert session.ledger.worker.slots == 7, session.ledger.worker
    assert len(session.ledger.tasks) == count, session.ledger.tasks


def _job_runs(context, job):
    runs = context.fleet.runs(f'/{job}:')
    return sorted(runs, key=lambda run: run.started_s)


@behave.then('fleet job "{job}" is "{phase}" after {count:d} runs')
def step_job_after(context, job, phase, count):
    step_job(context, job, phase)
    runs = _job_runs(context, job)
    assert len(runs) == count, runs


@behave.then('fleet job "{job}" is "{phase}"')
def step_job(context, job, phase):
    reply = context.fleet.job(job)
    assert reply.phase == phase, reply


@behave.then('the last fleet run of job "{job}" resumed from a checkpoint')
def step_resumed(context, job):
    assert _job_runs(context, job)[-1].checkpoint


@behave.then('each fleet rack is served')
def step_all_served(context):
    for rack in ('rack-0', 'rack-1'):
        assert len(context.fleet.serving(rack)) == 1, rack


@behave.then('fleet rack "{rack}" is not served')
def step_not_served(context, rack):
    assert not context.fleet.serving(rack)


@behave.then('fleet rack "{rack}" is served by another instance')
def step_served_by_other(context, rack):
    serving = context.fleet.serving(rack)
    assert len(serving) == 1, serving
    assert serving != [context.paused], serving


async def _call_outcome(fleet, name, request_id, idempotent):
    try:
        reply = await fleet.call(name, request_id, idempotent)
    except exceptions.AmaranthflowError as exc:
        return exc.verdict
    assert reply.payload, reply
    return verdict.Verdict.COMPLETED


def _call(context, name, request_id, idempotent=True):
    work = _call_outcome(context.fleet, name, request_id, idempotent)
    return _run(context, context.fleet.run_until_done(work))


@behave.then('fleet call "{request}" through each instance is answered')
def step_calls_answered(context, request):
    for name in list(context.fleet.instances):
        outcome = _call(context, name, f'{request}-{name}')
        assert outcome is verdict.Verdict.COMPLETED, (name, outcome)


@behave.then('a fleet job submitted now is refused as not run')
def step_job_refused(context):
    name = next(iter(context.fleet.instances))
    try:
        _run(context, context.fleet.submit(name, 'refused', 1.0))
    except exceptions.AmaranthflowError as exc:
        assert exc.verdict is verdict.Verdict.NOT_RUN, exc
    else:
        raise AssertionError('the job was accepted')
    assert not _job_runs(context, 'refused')


@behave.then('a non-idempotent fleet call now is refused as not run')
def step_call_refused(context):
    name = next(iter(context.fleet.instances))
    outcome = _call(context, name, 'once', idempotent=False)
    assert outcome is verdict.Verdict.NOT_RUN, outcome
    assert not context.fleet.runs('once')


@behave.when(
    'non-idempotent fleet call "{request}" is sent through each instance'
)
def step_send_once(context, request):
    context.outcomes = [
        _call(context, name, request, idempotent=False)
        for name in list(context.fleet.instances)
    ]


@behave.then('fleet call "{request}" has {count:d} runs and was answered once')
def step_ran_once(context, request, count):
    runs = [r for r in context.fleet.runs(request) if r.subject == request]
    assert len(runs) == count, runs
    completed = context.outcomes.count(verdict.Verdict.COMPLETED)
    assert completed == 1, context.outcomes


@behave.then('every answer to the fleet call is "{label}"')
def step_every_answer(context, label):
    assert {outcome.label for outcome in context.outcomes} == {label}, (
        context.outcomes
    )


@behave.then('fleet calls of {seconds:g} s run on other workers')
def step_other_workers(context, seconds):
    fleet = context.fleet
    since_s = fleet.clock.monotonic()
    for index in range(int(seconds * 10)):
        name = sorted(fleet.instances)[index % len(fleet.instances)]
        _call(context, name, f'busy-{index}')
    started = [r for r in fleet.runs('busy-') if r.started_s >= since_s]
    assert len(started) >= int(seconds * 10), len(started)
    assert context.leaving_worker not in {run.worker_id for run in started}


@behave.when('the fleet instance that owns job "{job}" drains under load')
def step_drain(context, job):
    fleet = context.fleet
    owner = fleet.owner(_entry(fleet, job).rack_id)
    context.outcomes = {}
    _run(context, _drain_under_calls(fleet, owner, context.outcomes))


async def _drain_under_calls(fleet, owner, outcomes):
    drain = asyncio.ensure_future(fleet.instances[owner].parts.drain())
    calls = []
    index = 0
    while not drain.done():
        for name in sorted(fleet.instances):
            request_id = f'drain-{index}'
            index += 1
            calls.append(
                asyncio.ensure_future(
                    _record_outcome(fleet, name, request_id, outcomes)
                )
            )
        await _advance(fleet, _CHECK_S)
    await fleet.run_until_done(asyncio.gather(*calls))
    assert drain.result(), 'the drain took too long'
    await fleet.kill(owner)


async def _record_outcome(fleet, name, request_id, outcomes):
    outcomes[request_id] = await _call_outcome(fleet, name, request_id, True)


@behave.then('each fleet call was answered or did not run')
def step_drained_calls(context):
    assert len(context.outcomes) > 10, context.outcomes
    for request_id, outcome in context.outcomes.items():
        runs = [
            run
            for run in context.fleet.runs(request_id)
            if run.kind is history.RunKind.REQUEST
            and run.subject == request_id
        ]
        assert outcome is not verdict.Verdict.MAY_HAVE_RUN, request_id
        completed = outcome is verdict.Verdict.COMPLETED
        assert bool(runs) == completed, (request_id, outcome, runs)


@behave.then('fleet instance "{name}" is ready')
def step_ready(context, name):
    node = context.fleet.instances[name].parts.node
    assert node.ready
    assert node.joined


@behave.then('fleet instance "{name}" is ready for calls')
def step_ready_for_calls(context, name):
    node = context.fleet.instances[name].parts.node
    assert node.ready
    assert not node.joined


@behave.then('fleet instance "{name}" is not ready')
def step_not_ready(context, name):
    assert not context.fleet.instances[name].parts.node.ready


@behave.then(
    'a fleet with random failures of seed {seed:d} has no invariant violations'
)
def step_fuzz(context, seed):
    fuzz = fleet_fuzz.FleetFuzz(seed=seed)
    violations = _run(context, fuzz.run(_FUZZ_STEPS))
    assert not violations, violations
    assert len(fuzz.events) > 5, fuzz.events


async def _answer_calls(fleet, seconds, prefix):
    for index in range(int(seconds * 20)):
        for name in list(fleet.instances):
            fleet.track_task(
                asyncio.ensure_future(
                    _call_outcome(
                        fleet, name, f'{prefix}-{name}-{index}', True
                    )
                )
            )
        await fleet.clock.run_for(0.05)
    _check(fleet)


@behave.when('the fleet answers calls for {seconds:g} s')
def step_answer_calls(context, seconds):
    prefix = f'load-{context.fleet.clock.monotonic()}'
    _run(context, _answer_calls(context.fleet, seconds, prefix))


@behave.when("batch tasks slow the fleet's calls {factor:d} times")
def step_slow(context, factor):
    def slowdown(task_class, neighbours):
        # The stand-in names a call by its service.
        slowed = task_class == local_fleet.SERVICE and neighbours
        return float(factor) if slowed else 1.0

    for machine in context.fleet.machines.values():
        machine.slowdown = slowdown


@behave.when('fleet jobs of {seconds:g} s run on each worker')
def step_jobs_everywhere(context, seconds):
    for index in range(6 * len(context.fleet.workers)):
        _submit(context, f'wide-{index}', seconds, idempotent=True)


def _relief_kinds(fleet):
    found = set()
    for instance in fleet.instances.values():
        log = instance.parts.node.decisions
        for run in fleet.runs('job:'):
            for decision in log.explain(ids.TenantId(''), run.subject):
                found.add(decision.kind.value)
    return found & {'throttled', 'moved'}


@behave.then('the fleet has throttled or moved batch tasks')
def step_relieved(context):
    assert _relief_kinds(context.fleet)


@behave.then('the fleet has not throttled or moved batch tasks')
def step_not_relieved(context):
    assert context.fleet.runs('job:')
    assert not _relief_kinds(context.fleet)


def _send_policy(context, limit):
    body = world_pb2.Policy(relief_slowdown=float(limit))
    name = next(iter(context.fleet.instances))
    work = context.fleet.change(name, 'policy/global', body)
    return _run(context, work)


@behave.when('the fleet policy allows a slowdown of {limit:d} times')
def step_policy(context, limit):
    result = _send_policy(context, limit)
    assert result.accepted, result.reason


@behave.then('a fleet policy with a slowdown limit of {limit:d} is refused')
def step_policy_refused(context, limit):
    result = _send_policy(context, limit)
    assert not result.accepted
    assert 'relief_slowdown' in result.reason, result.reason


@behave.then('every fleet job of 60 s has run in one place at a time')
def step_one_place(context):
    assert not context.fleet.overlaps()
    assert not context.fleet.violations()


@behave.when(
    '{count:d} fleet changes arrive in {seconds:d} s along with 100 jobs'
)
def step_burst(context, count, seconds):
    _run(context, _burst(context, count, seconds))


async def _burst(context, count, seconds):
    fleet = context.fleet
    names = sorted(fleet.instances)
    before = fleet.log.append_count
    context.sent = {}
    for index in range(count):
        name = names[index % len(names)]
        tenant_id = f'burst-{index}'
        context.sent[tenant_id] = fleet.clock.monotonic()
        body = world_pb2.Tenant(tenant_id=tenant_id, weight=1.0)
        change = world_pb2.Change(
            change_id=tenant_id, key=f'tenant/{tenant_id}', tenant=body
        )
        record = records_pb2.Record(change=change)
        journal = fleet.instances[name].parts.node.journal
        fleet.track_task(asyncio.ensure_future(journal.write(record, 5.0)))
        job = fleet.make_job(f'burst-{index}', 1.0, idempotent=True)
        submissions = fleet.instances[name].parts.submissions
        fleet.track_task(asyncio.ensure_future(submissions.submit(job)))
        await fleet.clock.run_for(seconds / count)
    context.appends_per_s = (fleet.log.append_count - before) / seconds
    await fleet.clock.run_for(0.5)
    while any(not _in_force_everywhere(fleet, t) for t in context.sent):
        assert fleet.clock.monotonic() < context.sent['burst-99'] + 9.0
        await fleet.clock.run_for(0.5)


def _in_force_everywhere(fleet, tenant_id):
    return all(
        i.parts.node.state.config.in_force(
            f'tenant/{tenant_id}', i.parts.node.now_ms()
        )
        for i in fleet.instances.values()
    )


@behave.then('every fleet change was in force everywhere within {limit:d} s')
def step_in_force(context, limit):
    waited_s = context.fleet.clock.monotonic() - context.sent['burst-99']
    assert waited_s < limit, waited_s
    assert all(_in_force_everywhere(context.fleet, t) for t in context.sent)


@behave.then('the fleet log accepted at most {limit:d} appends a second')
def step_appends(context, limit):
    assert 0 < context.appends_per_s <= limit, context.appends_per_s
