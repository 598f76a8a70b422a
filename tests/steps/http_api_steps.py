"""Steps for http_api.feature, over HTTP on loopback."""

import asyncio
import json

import behave

from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import local_fleet
from amaranthflow_standins import loopback
from amaranthflow_standins import scenario

_NAME = 'i0'


async def _start(fleet, other):
    fleet.start(_NAME)
    await fleet.clock.run_for(2.0)
    await fleet.configure(_NAME)
    tenant = world_pb2.Tenant(
        tenant_id=other, weight=1.0, quota=world_pb2.Size(cores=4)
    )
    result = await fleet.change(_NAME, f'tenant/{other}', tenant)
    assert result.accepted, result
    await fleet.clock.run_for(10.0)
    opened = loopback.Loopback(fleet=fleet, name=_NAME)
    await opened.open()
    return opened


@behave.given(
    'an entry instance on loopback with tenants "{first}" and "{other}"'
)
def step_start(context, first, other):
    assert first == local_fleet.TENANT
    context.fleet = scenario.run(context, _make_fleet())
    context.loopback = scenario.run(context, _start(context.fleet, other))
    context.add_cleanup(scenario.run, context, context.loopback.close())


async def _make_fleet():
    return local_fleet.LocalFleet(seed=1)


def _http(context, method, path, tenant='tenant-a', **kwargs):
    headers = {'X-Tenant': tenant, **kwargs.pop('headers', {})}
    work = context.loopback.http(method, path, headers=headers, **kwargs)
    context.reply = scenario.run(context, work)


@behave.when('job \'{body}\' is posted for "{tenant}"')
def step_submit(context, body, tenant):
    _http(context, 'POST', '/v1/jobs', tenant, data=body.encode())


@behave.when('a job of {count:d} nested lists is posted')
def step_nested(context, count):
    _http(context, 'POST', '/v1/jobs', data=b'[' * count + b']' * count)


@behave.when('a job of {count:d} bytes is posted')
def step_oversized(context, count):
    _http(context, 'POST', '/v1/jobs', data=b' ' * count)


@behave.when('the HTTP API gets "{method}" "{path}" from "{tenant}"')
def step_ask(context, method, path, tenant):
    _http(context, method, path, tenant)


@behave.when('the HTTP API is called with header "{name}" of "{value}"')
def step_header(context, name, value):
    _call(context, {name: value})


@behave.when('the HTTP API is called with header "{name}" of ""')
def step_empty_header(context, name):
    _call(context, {name: ''})


@behave.when('the HTTP API is called with a timeout of {count:d} digits')
def step_long_timeout(context, count):
    _call(context, {'X-Timeout-Ms': '1' * count})


def _call(context, headers=()):
    path = f'/v1/services/{local_fleet.SERVICE}/call'
    _http(context, 'POST', path, data=b'x', headers=dict(headers))


@behave.when("the HTTP API's router fails")
def step_router_fails(context):
    async def fail(req):
        raise RuntimeError('secret detail')

    context.fleet.instances[_NAME].parts.router.call = fail
    _call(context)


@behave.when("undecodable entries are appended to the instance's log")
def step_garbage(context):
    fleet = context.fleet
    node = fleet.instances[_NAME].parts.node
    context.set_aside = []
    node.on_invalid = context.set_aside.append

    async def append():
        for data in (b'\xff' * 9, b'garbage', _odd_batch()):
            await fleet.run_until_done(
                asyncio.ensure_future(fleet.log.append(data))
            )
        await fleet.clock.run_for(2.0)

    scenario.run(context, append())


def _odd_batch():
    batch = records_pb2.Batch(writer='x', incarnation=1, sequence=1)
    batch.records.add()
    batch.records.add().job_submitted.SetInParent()
    batch.records.add().attempt_ended.job_id = 'no-slash'
    return batch.SerializeToString()


@behave.then('the HTTP API answers {status:d}')
def step_status(context, status):
    assert context.reply.status == status, context.reply


@behave.then('the HTTP API answers {status:d}, not run, with "{reason}"')
def step_refused(context, status, reason):
    _check_refusal(context.reply, status, 'not run', reason)


@behave.then('the HTTP API answers {status:d}, not run, with ""')
def step_refused_any(context, status):
    _check_refusal(context.reply, status, 'not run', '')


@behave.then('the HTTP API answers 500 and that the request may have run')
def step_internal(context):
    _check_refusal(context.reply, 500, 'may have run', '')
    assert b'secret' not in context.reply.body, context.reply


def _check_refusal(reply, status, verdict, reason):
    assert reply.status == status, reply
    body = json.loads(reply.body)
    assert body['verdict'] == verdict, reply
    assert body['reason'], reply
    assert reason in body['reason'], reply
    assert reply.headers['X-Verdict'] == verdict.replace(' ', '-'), reply


@behave.then('the HTTP API discloses nothing about "{tenant}"')
def step_no_leak(context, tenant):
    shown = context.reply.body + str(context.reply.headers).encode()
    for name in (tenant, local_fleet.SERVICE):
        assert name.encode() not in shown, context.reply


@behave.then('the HTTP API still serves requests')
def step_serves(context):
    _call(context)
    assert context.reply.status == 200, context.reply
    parts = context.fleet.instances[_NAME].parts
    assert parts.http_api.in_progress == 0, parts.http_api.in_progress
    _http(context, 'POST', '/v1/jobs', data=b'{"task_class": "t"}')
    assert context.reply.status == 202, context.reply


@behave.then('the instance has set aside {count:d} records')
def step_set_aside(context, count):
    assert len(context.set_aside) == count, context.set_aside
