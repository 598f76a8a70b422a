"""Steps for the dispatcher, on a fake clock and without servers."""

import asyncio
import random
import types

import behave

from amaranthflow import verdict
from amaranthflow import world
from amaranthflow_daemon import node as node_lib
from amaranthflow_daemon import parts as parts_lib
from amaranthflow_daemon import settings
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import instances
from amaranthflow_standins import log as log_lib
from amaranthflow_standins import scenario

_TIMEOUT_MS = 2000


def _settings():
    return settings.Settings.checked(
        instance_id='i1',
        zone='z1',
        http_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        log_url='http://127.0.0.1:3',
        list_url='http://127.0.0.1:4',
    )


async def _make_parts(clock):
    links = node_lib.PlatformLinks(
        log=log_lib.LogStandin(clock=clock, rng=random.Random(1)),
        instances=instances.InstanceListStandin(clock=clock),
        connect=lambda worker: None,
        connect_peer=lambda address: None,
    )
    return parts_lib.Parts(
        cfg=_settings(), clock=clock, links=links, rng=random.Random(1)
    )


def _add_service(parts, clock):
    service = world_pb2.Service(
        service_id='quotes',
        tenant_id='house-a',
        task_class='quotes',
        size=world_pb2.Size(cores=1, memory_mb=1),
        timeout_ms=_TIMEOUT_MS,
    )
    change = world_pb2.Change(
        change_id='c1', key='service/quotes', operator='o', service=service
    )
    result = parts.node.state.config.apply(change, clock.wall_ms())
    assert result.accepted, result


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
    context.site = types.SimpleNamespace(
        worker=worker, ledger=world.WorkerLedger(worker=worker)
    )
    context.parts.sites.by_id['w1'] = context.site


@behave.when('a request reaches the dispatcher')
def step_request(context):
    async def begin():
        req = peer_pb2.ExecuteRequest(
            request_id='q1',
            attempt=1,
            tenant_id='house-a',
            service_id='quotes',
            timeout_ms=_TIMEOUT_MS,
        )
        work = context.parts.dispatcher.execute(req)
        reply = asyncio.ensure_future(work)
        await context.clock.settle()
        return reply

    context.reply = scenario.run(context, begin())


@behave.when("the dispatcher's worker closes")
def step_close(context):
    context.site.ledger.leaving = True
    del context.parts.sites.by_id['w1']
    context.parts.sites.refresh()
    scenario.run(context, context.clock.settle())


@behave.then('the dispatcher lets it wait')
def step_waits(context):
    assert not context.reply.done()


@behave.then('the dispatcher has refused it as not run after 0 seconds')
def step_refused(context):
    assert context.clock.monotonic() == 0
    assert context.reply.done()
    reply = context.reply.result()
    assert reply.verdict == verdict.Verdict.NOT_RUN.value, reply
    assert 'open' in reply.reason, reply
