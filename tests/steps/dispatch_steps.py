"""Steps for the dispatcher, on a fake clock and without servers."""

import asyncio
import random
import types

import behave

from amaranthflow import verdict
from amaranthflow import world
from amaranthflow_daemon import components as components_lib
from amaranthflow_daemon import node as node_lib
from amaranthflow_daemon import settings
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import instances
from amaranthflow_standins import log as log_lib
from amaranthflow_standins import machine as machine_lib
from amaranthflow_standins import scenario
from amaranthflow_standins import worker as worker_lib

_TIMEOUT_MS = 2000
_SERVICE = world_pb2.Change(
    change_id='s1',
    key='service/quotes',
    operator='o',
    service=world_pb2.Service(
        service_id='quotes',
        tenant_id='house-a',
        task_class='quotes',
        size=world_pb2.Size(cores=1, memory_mb=1),
        timeout_ms=_TIMEOUT_MS,
    ),
)


def _settings():
    return settings.Settings.from_values(
        instance_id='i1',
        zone='z1',
        http_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        log_url='http://127.0.0.1:3',
        list_url='http://127.0.0.1:4',
    )


async def _make_parts(clock, link=None):
    links = node_lib.PlatformLinks(
        log=log_lib.LogStandin(clock=clock, rng=random.Random(1)),
        instances=instances.InstanceListStandin(clock=clock),
        connect=lambda worker: link,
        connect_peer=lambda address: None,
    )
    return components_lib.Components(
        cfg=_settings(), clock=clock, links=links, rng=random.Random(1)
    )


def _add_service(parts, clock):
    result = parts.node.state.config.apply(_SERVICE, clock.wall_ms())
    assert result.accepted, result


async def _execute(context, request_id, timeout_ms=_TIMEOUT_MS):
    req = peer_pb2.ExecuteRequest(
        request_id=request_id,
        attempt=1,
        tenant_id='house-a',
        service_id='quotes',
        timeout_ms=timeout_ms,
    )
    return await context.parts.dispatcher.execute(req)


@behave.given('a dispatcher without workers')
def step_dispatcher(context):
    context.clock = clock_lib.FakeClock()
    context.parts = scenario.run(context, _make_parts(context.clock))
    _add_service(context.parts, context.clock)
    context.parts.node.ownership.note_log_confirmed(context.clock.monotonic())


@behave.given('a dispatcher with a worker whose slots are taken')
def step_full(context):
    step_dispatcher(context)
    worker = world.Worker(
        worker_id='w1',
        address='',
        rack_id='r1',
        zone_id='z1',
        capacity=world.Size(cores=1, memory_mb=1),
        slots=0,
        connections=1,
    )
    context.session = types.SimpleNamespace(
        worker=worker, ledger=world.WorkerLedger(worker=worker)
    )
    context.parts.sessions.by_id['w1'] = context.session


@behave.when('a request reaches the dispatcher')
def step_request(context):
    async def begin():
        reply = asyncio.ensure_future(_execute(context, 'q1'))
        await context.clock.settle()
        return reply

    context.reply = scenario.run(context, begin())


@behave.when("the dispatcher's worker closes")
def step_close(context):
    context.session.ledger.leaving = True
    del context.parts.sessions.by_id['w1']
    context.parts.sessions.refresh()
    scenario.run(context, context.clock.settle())


@behave.then('the dispatcher queues the request')
def step_waits(context):
    assert not context.reply.done()


@behave.then(
    'the dispatcher has refused the request as not run after 0 seconds'
)
def step_refused(context):
    assert context.clock.monotonic() == 0
    assert context.reply.done()
    reply = context.reply.result()
    assert reply.verdict == verdict.Verdict.NOT_RUN.value, reply
    assert 'open' in reply.reason, reply


class _Daemon:
    """A daemon in memory that owns one worker."""

    def __init__(self, clock, slots):
        rng = random.Random(1)
        self.worker = world.Worker(
            worker_id='w1',
            address='127.0.0.1:9',
            rack_id='r1',
            zone_id='z1',
            capacity=world.Size(cores=64, memory_mb=1000),
            slots=slots,
            connections=60,
        )
        self.machine = machine_lib.Machine(
            worker=self.worker, clock=clock, rng=rng, service_time_s=0.3
        )
        self.link = worker_lib.WorkerStandin(
            machine=self.machine, clock=clock, timeout_s=1.0
        )

    async def start(self, context):
        context.parts = await _make_parts(context.clock, self.link)
        context.parts.start()
        message = world_pb2.Worker(
            worker_id='w1',
            address=self.worker.address,
            rack_id='r1',
            zone_id='z1',
            capacity=world_pb2.Size(cores=64, memory_mb=1000),
            slots=self.worker.slots,
            connections=60,
        )
        change = world_pb2.Change(
            change_id='c1', key='worker/w1', operator='o', worker=message
        )
        await context.clock.run_for(2)
        writing = asyncio.ensure_future(_write(context.parts, change))
        await context.clock.run_for(20)
        result = await writing
        assert result.accepted, result
        await _write_service(context)
        assert context.parts.sessions.open


async def _write(parts, change):
    record = records_pb2.Record(change=change)
    return await parts.node.journal.write(record, 1.0)


async def _write_service(context):
    writing = asyncio.ensure_future(_write(context.parts, _SERVICE))
    await context.clock.run_for(1)
    assert (await writing).accepted


@behave.given('a dispatcher that serves a worker of {slots:d} slots')
def step_serving(context, slots):
    context.clock = clock_lib.FakeClock()
    context.daemon = _Daemon(context.clock, slots)
    context.machine = context.daemon.machine
    scenario.run(context, context.daemon.start(context))


@behave.when("the dispatcher's worker pauses")
def step_pause_worker(context):
    context.machine.set_faults(frozen=True)


@behave.when('{count:d} requests reach the dispatcher')
def step_requests(context, count):
    async def begin():
        context.replies = [
            asyncio.ensure_future(_execute(context, f'early-{index}'))
            for index in range(count)
        ]

    scenario.run(context, begin())


@behave.when('{seconds:d} seconds pass for the dispatcher')
def step_pass(context, seconds):
    scenario.run(context, context.clock.run_for(seconds))


@behave.when(
    "the dispatcher's worker resumes and requests arrive for {seconds:d}"
    ' seconds'
)
def step_resume_worker(context, seconds):
    async def arrive():
        context.machine.set_faults(frozen=False)
        later = []
        for index in range(seconds * 20):
            work = _execute(context, f'later-{index}')
            later.append(asyncio.ensure_future(work))
            await context.clock.run_for(0.05)
        await context.clock.run_for(3)
        return await asyncio.gather(*later)

    scenario.run(context, arrive())


@behave.then('the dispatcher reports that each request may have run')
def step_uncertain(context):
    for reply in context.replies:
        reported = reply.result().verdict
        assert reported == verdict.Verdict.MAY_HAVE_RUN.value, reply


@behave.then(
    "the dispatcher's worker has run the early requests and later ones"
)
def step_ran(context):
    names = [run.subject for run in context.machine.history.runs]
    assert sum(name.startswith('early') for name in names) == 4, names
    assert sum(name.startswith('later') for name in names) > 20, names


@behave.then(
    "the dispatcher's worker never had more than {slots:d} slots in use"
)
def step_peak(context, slots):
    assert context.machine.history.peaks.slots == slots
    assert not context.machine.history.violations


@behave.when("the dispatcher's worker fails every call")
def step_fail(context):
    context.machine.set_faults(fails_everything=True)


@behave.then('the dispatcher has {count:d} free slots')
def step_free_slots(context, count):
    assert context.parts.sessions.load().free_slots == count


@behave.when('a request that has {timeout_ms:d} ms reaches the dispatcher')
def step_short(context, timeout_ms):
    async def begin():
        await context.clock.settle()
        work = _execute(context, 'short', timeout_ms)
        context.reply = asyncio.ensure_future(work)

    scenario.run(context, begin())


@behave.then('the dispatcher reports that the request did not run')
def step_not_run(context):
    reply = context.reply.result()
    assert reply.verdict == verdict.Verdict.NOT_RUN.value, reply
    names = [run.subject for run in context.machine.history.runs]
    assert 'short' not in str(names), names


@behave.then('the dispatcher has answered the request')
def step_answered(context):
    reply = context.reply.result()
    assert reply.verdict == verdict.Verdict.COMPLETED.value, reply


@behave.when("the dispatcher's calls are cancelled")
def step_cancel(context):
    async def cancel():
        await context.clock.settle()
        for work in tuple(context.parts.dispatcher._in_flight):
            work.cancel()
        await context.clock.settle()

    health = context.parts.dispatcher._health
    context.stopped = []
    health.stopped = lambda *args: context.stopped.append(args)
    scenario.run(context, cancel())


@behave.then("the dispatcher's health tracking has {count:d} calls as stopped")
def step_stopped(context, count):
    expected = [
        ('quotes', 'w1', f'req:early-{index}:1') for index in range(count)
    ]
    assert sorted(context.stopped) == expected, context.stopped
