"""Steps for large_fleet.feature."""

import asyncio
import collections
import dataclasses
import random
from unittest import mock

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import model
from amaranthflow_scheduler import placement
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_scheduler import silence
from amaranthflow_scheduler import suspects
from amaranthflow_scheduler import workers
from amaranthflow_standins import task_fleet
from amaranthflow_standins import task_worker
from amaranthflow_standins import virtual_time

_CONNECT_TIMEOUT_S = 0.5
_COMMAND_TIMEOUT_S = 0.4
_ROUND_TRIP_S = 0.002
_POOL_CPU = 8_000
_PLANNED_S = 10.0


class _Plan:
    def duration_s(self, task):
        return 8.0

    def fails(self, task, run):
        return False

    def crashes_worker(self, task):
        return False


class _Processor:
    """The processor time that calls take.

    :ivar used_s: of all calls so far.
    :ivar first_calls: reports on new connections.
    :ivar starts: calls that start a run.
    :ivar reports: by worker.
    """

    def __init__(self, loop, call_s, first_call_s):
        self.loop = loop
        self.call_s = call_s
        self.first_call_s = first_call_s
        self.used_s = 0.0
        self.first_calls = 0
        self.starts = 0
        self.unanswered_starts = 0
        self.reports = collections.Counter()

    def spend(self, seconds):
        self.used_s += seconds
        self.loop.spend(seconds)


class _CostlyLink(task_worker.TaskWorkerLink):
    """Takes time of the only processor for each call."""

    def __init__(self, *, processor, **fields):
        super().__init__(**fields)
        self._processor = processor

    async def renew_leases(self, **fields):
        processor = self._processor
        if not self.connected():
            await self._connect()
        report = await super().renew_leases(**fields)
        processor.spend(processor.call_s)
        processor.reports[self._worker.id] += 1
        return report

    async def start(self, command, token, *, limit_s=_COMMAND_TIMEOUT_S):
        processor = self._processor
        # A check of the worker starts no run.
        processor.starts += command.deadline_ms > 0
        started_s = processor.loop.time()
        processor.spend(processor.first_call_s)
        clock_ms = await super().start(command, token, limit_s=limit_s)
        if processor.loop.time() - started_s > limit_s:
            processor.unanswered_starts += 1
            raise exceptions.PlatformUncertain('no response')
        return clock_ms

    async def _connect(self):
        processor = self._processor
        processor.first_calls += 1
        started_s = processor.loop.time()
        processor.spend(processor.first_call_s / 2)
        if not self._reachable():
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            raise exceptions.PlatformError('no connection')
        await asyncio.sleep(_ROUND_TRIP_S)
        processor.spend(processor.first_call_s / 2)
        if processor.loop.time() - started_s > _CONNECT_TIMEOUT_S:
            raise exceptions.PlatformError('no connection')


class _CostlyFleet(task_fleet.TaskFleet):
    def __init__(self, *, processor, **fields):
        super().__init__(**fields)
        self.processor = processor

    def worker_link(self, worker, instance):
        return _CostlyLink(
            worker=self.workers[worker],
            instance=instance,
            rng=self.rng,
            processor=self.processor,
        )


class _CountingFleet(dict):
    """Counts the looks at all workers."""

    looks = 0

    def values(self):
        self.looks += 1
        return super().values()


def _stop(context):
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    context.loop.run_until_complete(asyncio.sleep(0))
    context.loop.close()


def _leader(context):
    return context.fleet.nodes['n1'].leader


@behave.given(
    'a large fleet of {count:d} workers with calls of {call_ms:g} ms and '
    'first calls of {first_ms:g} ms'
)
def step_fleet(context, count, call_ms, first_ms):
    context.loop = virtual_time.VirtualLoop()
    context.add_cleanup(_stop, context)
    context.processor = _Processor(
        context.loop, call_ms / 1000, first_ms / 1000
    )

    async def make():
        context.fleet = _CostlyFleet(
            loop=context.loop, plan=_Plan(), processor=context.processor
        )
        context.fleet.configure()
        for number in range(count):
            context.fleet.add_worker(f'w{number + 1}')

    context.loop.run_until_complete(make())


@behave.given('{count:d} workers of the large fleet do not respond')
def step_silent(context, count):
    for number in range(count):
        worker = context.fleet.workers[ids.WorkerId(f'w{number + 1}')]
        worker.faults.unreachable_from = {'n1'}


@behave.when('the large fleet is led for {seconds:g} s')
def step_lead(context, seconds):
    async def lead():
        fleet = context.fleet
        fleet.start_node('n1')
        await fleet.wait_leader()
        await asyncio.sleep(seconds)

    context.loop.run_until_complete(lead())


@behave.when('the large fleet is led for {seconds:g} s more')
def step_lead_more(context, seconds):
    context.processor.used_s = 0.0
    context.processor.reports.clear()
    context.led_s = seconds
    context.loop.run_until_complete(asyncio.sleep(seconds))


@behave.when(
    'a job with {count:d} tasks of {seconds:g} s runs in the large fleet'
)
def step_job(context, count, seconds):
    step = model.Step(
        count=count,
        resources=model.Resources(task_fleet.WORKER_CPU, 100, 0),
        estimate_ms=round(1000 * seconds),
    )
    context.loop.run_until_complete(context.fleet.submit('a1', [step]))


@behave.when(
    'a job with {count:d} tasks of {seconds:g} s that is due in {due:g} s is '
    'stored in the large fleet'
)
def step_due_job(context, count, seconds, due):
    step = model.Step(
        count=count,
        resources=model.Resources(task_fleet.WORKER_CPU, 100, 0),
        estimate_ms=round(1000 * seconds),
    )
    due_ms = context.loop.wall_ms() + round(1000 * due)
    submitted = context.fleet.submit(
        'a1', [step], occurrences=1, first_due_ms=due_ms
    )
    context.loop.run_until_complete(submitted)


@behave.when('1 worker of the large fleet does not respond from now on')
def step_one_lost(context):
    worker = next(iter(context.fleet.workers.values()))
    worker.faults.unreachable_from = {'n1'}


@behave.when('all instances of the large fleet are lost for {seconds:g} s')
def step_lose_all(context, seconds):
    async def lose():
        fleet = context.fleet
        assert list(fleet.nodes) == ['n1'], fleet.nodes
        await fleet.kill('n1')
        await asyncio.sleep(seconds)
        fleet.start_node('n1')
        context.restarted_s = context.loop.time()

    context.loop.run_until_complete(lose())


@behave.then(
    'the job of the large fleet starts within {seconds:g} s after that'
)
def step_job_starts(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    runs = [run for _, run in context.fleet.runs if run.task.job == 'a1']
    assert runs, seconds
    assert all(run.started_s > context.restarted_s for run in runs)


@behave.then("the large fleet's leader has heard from {count:d} workers")
def step_heard(context, count):
    fleet = _leader(context).core.workers.values()
    heard = sum(worker.last_report_s is not None for worker in fleet)
    assert heard == count, heard


@behave.then(
    '{count:d} runs of the large fleet have started, each with one answered '
    'call'
)
def step_started(context, count):
    running = [
        attempt
        for worker in _leader(context).core.workers.values()
        for attempt in worker.attempts
        if attempt.state is execution.AttemptState.RUNNING
    ]
    assert len(running) == count, len(running)
    processor = context.processor
    assert processor.starts == count, processor.starts
    assert not processor.unanswered_starts, processor.unanswered_starts


@behave.then("the large fleet's leader may use {count:d} workers")
def step_usable(context, count):
    core, now_s = _leader(context).core, context.loop.time()
    found = sum(core.usable(w, now_s) for w in core.workers.values())
    assert found == count, found


@behave.then('at most {count:d} first calls were made in the large fleet')
def step_first_calls(context, count):
    assert context.processor.first_calls <= count, (
        context.processor.first_calls
    )


@behave.then('the large fleet has had 1 term')
def step_terms(context):
    leader = _leader(context)
    assert leader is not None and leader.ready
    assert leader.term.token == 1, leader.term


@behave.then(
    "the large fleet has used at most {share:g} of its leader's processor"
)
def step_used(context, share):
    used = context.processor.used_s / context.led_s
    assert used <= share, used


def _check_interval(context, found, interval_s):
    expected = context.led_s / interval_s
    for worker_id in found:
        reports = context.processor.reports[worker_id]
        assert expected - 1 <= reports <= expected + 1, reports


@behave.then('workers of the large fleet have reported each {interval:g} s')
def step_interval(context, interval):
    _check_interval(context, context.fleet.workers, interval)


@behave.then(
    'the workers of the large fleet with runs have reported each '
    '{interval:g} s'
)
def step_busy_interval(context, interval):
    busy = [w.id for w in _leader(context).core.workers.values() if w.attempts]
    assert busy
    _check_interval(context, busy, interval)


@behave.given(
    'a large fleet of {count:d} workers of which all have just reported'
)
def step_reported(context, count):
    context.reported = _CountingFleet()
    queue = task_fleet.QUEUE
    context.silence = silence.Silence(context.reported, {queue.id: queue})
    context.now_s = 100.0
    for number in range(count):
        entry = task_fleet.worker_entry(f'w{number}', address='a')
        context.reported[entry.id] = workers.Worker(
            entry=entry, lease_end_s=0.0, last_report_s=context.now_s
        )


@behave.when("one of the large fleet's workers is silent")
def step_one_silent(context):
    worker = context.reported[ids.WorkerId('w7')]
    worker.last_report_s = context.now_s - 2.0


@behave.when(
    'it is asked {count:d} times within {seconds:g} s whether all workers '
    'report'
)
def step_ask(context, count, seconds):
    context.reported.looks = context.true = 0
    # What was true before may hold for a moment.
    started_s = context.now_s + 0.1
    for number in range(count):
        context.now_s = started_s + seconds * number / count
        context.true += context.silence.hears_all(context.now_s)


@behave.then(
    'it was true {true:d} times with at most {looks:d} looks at all workers'
)
def step_answers(context, true, looks):
    assert context.true == true, context.true
    assert context.reported.looks <= looks, context.reported.looks


def _pool_step(kind, count):
    step = model.Step(
        count=count,
        resources=model.Resources(_POOL_CPU // 4, 100, 0),
        estimate_ms=1_000,
        service=kind == 'service',
        opportunistic=kind == 'opportunistic',
        gang=kind == 'gang',
        same_rack=kind == 'gang',
        label='fast' if kind == 'labelled' else '',
        image='a' if kind in ('service', 'opportunistic') else '',
    )
    return step


@behave.given('a large pool of {count:d} workers')
def step_pool(context, count):
    context.core = scheduler.Scheduler(
        limits=task_fleet.LIMITS, token=model.Token(1), now_s=0.0
    )
    context.core.configure(
        model.Configuration(
            version=1,
            queues=(task_fleet.QUEUE,),
            checked_services=frozenset(),
            max_body_bytes=1,
            idle_timeout_ms=1,
        )
    )
    report = ports.WorkerReport(clock_ms=1, born_ms=1, running=[], ended=[])
    for number in range(count):
        entry = task_fleet.worker_entry(
            f'w{number}', address='a', cpu=_POOL_CPU, rack=f'r{number % 300}'
        )
        context.core.on_entry_changed(entry, _PLANNED_S)
        worker = context.core.workers[entry.id]
        context.core.on_report(worker, report, _PLANNED_S, _PLANNED_S, 0)


@behave.given(
    'only {count:d} workers of the large pool have the label "{label}"'
)
def step_labels(context, count, label):
    for worker in list(context.core.workers.values())[-count:]:
        worker.entry = dataclasses.replace(
            worker.entry, labels=frozenset((label,))
        )


@behave.given('only 1 worker of the large pool has memory left')
def step_memory(context):
    for worker in list(context.core.workers.values())[:-1]:
        capacity = worker.entry.capacity._replace(mem_mb=10)
        worker.entry = dataclasses.replace(worker.entry, capacity=capacity)


@behave.given(
    '{steps:d} {kind:w} steps of {count:d} tasks wait in the large pool'
)
def step_wait(context, steps, kind, count):
    for number in range(steps):
        job = model.Job(
            id=ids.JobId(f'j{number}'),
            queue=task_fleet.QUEUE,
            payload='',
            steps=(_pool_step(kind, count),),
            accepted_ms=0,
        )
        context.core.add_job(job)


@behave.when('the large pool is planned')
def step_plan(context):
    looks = 0
    may_run = placement.may_run

    def count(worker, step):
        nonlocal looks
        looks += 1
        return may_run(worker, step)

    with mock.patch.object(placement, 'may_run', count):
        context.core.plan(_PLANNED_S, 0)
        context.core.plan_opportunistic(_PLANNED_S, 0)
    context.looks = looks
    context.planned = [
        command.attempt
        for command in context.core.take_commands()
        if isinstance(command, commands.Start)
    ]


@behave.then(
    '{runs:d} runs are planned with at most {looks:d} looks at a worker'
)
def step_planned(context, runs, looks):
    assert len(context.planned) == runs, len(context.planned)
    assert context.looks <= looks, context.looks


@behave.then(
    '{runs:d} runs are planned with at least {looks:d} looks at a worker'
)
def step_planned_thoroughly(context, runs, looks):
    assert len(context.planned) == runs, len(context.planned)
    assert context.looks >= looks, context.looks


@behave.then('each step of the large pool runs on {count:d} rack')
def step_racks(context, count):
    racks = collections.defaultdict(set)
    for attempt in context.planned:
        worker = context.core.workers[attempt.worker]
        racks[attempt.task.key.job].add(worker.entry.rack)
    assert racks
    assert all(len(found) == count for found in racks.values()), racks


@behave.given(
    '{count:d} workers of the large pool run a young task each, in a zone of '
    'their own'
)
def step_young(context, count):
    step = model.Step(
        count=count,
        resources=model.Resources(_POOL_CPU, 100, 0),
        estimate_ms=10_000,
    )
    core = context.core
    core.add_job(
        model.Job(
            id=ids.JobId('j1'),
            queue=task_fleet.QUEUE,
            payload='',
            steps=(step,),
            accepted_ms=0,
        )
    )
    core.plan(_PLANNED_S, 0)
    # A plan looks at some workers for each step.
    while any(step_run.waiting for step_run in core.waiting_steps()):
        core.plan(_PLANNED_S, 0)
    context.lost = []
    for command in core.take_commands():
        worker = core.workers[command.attempt.worker]
        worker.entry = dataclasses.replace(
            worker.entry, zone=ids.ZoneId('lost')
        )
        worker.lease_end_s = _PLANNED_S + 4.5
        core.on_sent(command.attempt)
        core.on_started(command.attempt, _PLANNED_S)
        context.lost.append(command.attempt)
    assert len(context.lost) == count, len(context.lost)


@behave.when('these workers have been silent until their leases expire')
def step_zone_lost(context):
    core = context.core
    now_s = _PLANNED_S + 5.0
    report = ports.WorkerReport(clock_ms=1, born_ms=1, running=[], ended=[])
    for worker in core.workers.values():
        if not worker.attempts:
            core.on_report(worker, report, now_s, now_s, 0)
    context.looks = 0
    lost_s = suspects._lost_s

    def count(worker, silent_from_s):
        context.looks += 1
        return lost_s(worker, silent_from_s)

    with mock.patch.object(suspects, '_lost_s', count):
        core.tick(now_s, round(now_s * 1000))


@behave.then(
    '{count:d} runs of the large pool have ended, none of which is a suspect'
)
def step_no_suspect(context, count):
    ended = [a for a in context.lost if not a.task.attempts]
    assert len(ended) == count, len(ended)
    assert not any(attempt.task.crashes for attempt in ended)


@behave.then('workers were looked at {count:d} times for losses')
def step_loss_looks(context, count):
    assert context.looks == count, context.looks


_LOSS_FROM_S = 98.0


def _random_worker(rng, number, zones, racks):
    entry = task_fleet.worker_entry(
        f'w{number}',
        address='a',
        zone=f'z{rng.randrange(zones)}',
        rack=f'r{rng.randrange(racks)}',
    )
    # Equal times and distances of exactly a second are among them.
    times = [95.0, 95.5, 96.0, 96.5, _LOSS_FROM_S, 99.0]
    times.append(rng.uniform(94.0, 99.0))
    return workers.Worker(
        entry=entry,
        lease_end_s=0.0,
        last_report_s=rng.choice([None, *times]),
        crashed_s=rng.choice([None, None, *times]),
    )


@behave.given(
    '{fleets:d} random fleets of {count:d} workers in {zones:d} zones of '
    '{racks:d} racks'
)
def step_random_fleets(context, fleets, count, zones, racks):
    rng = random.Random(count)
    context.fleets = [
        [_random_worker(rng, number, zones, racks) for number in range(count)]
        for _ in range(fleets)
    ]


def _last_seen_s(worker):
    if worker.last_report_s is None or worker.last_report_s >= _LOSS_FROM_S:
        return worker.crashed_s
    return worker.last_report_s


def _is_lost_with_others(worker, fleet):
    """Returns whether three and half of a zone or rack were lost together."""
    if worker.last_report_s is None:
        return False
    zone = [w for w in fleet if w.entry.zone == worker.entry.zone]
    rack = [w for w in zone if w.entry.rack == worker.entry.rack]
    for group in (zone, rack):
        seen_s = [_last_seen_s(member) for member in group]
        lost = sum(
            at_s is not None and abs(at_s - worker.last_report_s) <= 1.0
            for at_s in seen_s
        )
        if lost >= 3 and lost >= 0.5 * len(group):
            return True
    return False


@behave.then(
    'each worker there is lost together with others exactly if a direct count '
    'says so'
)
def step_same_verdicts(context):
    verdicts = set()
    for fleet in context.fleets:
        losses = suspects.Losses(fleet, _LOSS_FROM_S)
        for worker in fleet:
            expected = _is_lost_with_others(worker, fleet)
            assert losses.is_outage(worker) is expected, worker
            verdicts.add(expected)
    assert verdicts == {True, False}, verdicts
