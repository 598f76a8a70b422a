"""Steps for operators.feature, over gRPC on loopback."""

import ast
import asyncio
import math

import behave
import grpc.aio

from amaranthflow import ids
from amaranthflow import membership
from amaranthflow import verdict
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import operators_pb2_grpc
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import local_fleet
from amaranthflow_standins import loopback
from amaranthflow_standins import scenario

_NAME = 'i0'
_UNKNOWN_FIELD = b'\xfa\x07\x03abc'  # field 127
_NUMBERS = {"float('nan')": math.nan, "float('inf')": math.inf}


async def _start(context):
    fleet = local_fleet.LocalFleet(seed=1)
    fleet.start(_NAME)
    await fleet.clock.run_for(2.0)
    await fleet.configure(_NAME)
    await fleet.clock.run_for(10.0)
    context.fleet = fleet
    context.loopback = loopback.Loopback(fleet=fleet, name=_NAME)
    await context.loopback.open()


@behave.given('an operators instance on loopback')
def step_start(context):
    scenario.run(context, _start(context))
    context.add_cleanup(scenario.run, context, context.loopback.close())


def _ask(context, method, req):
    context.error = None
    try:
        work = context.loopback.grpc(method, req)
        context.reply = scenario.run(context, work)
    except grpc.aio.AioRpcError as exc:
        context.error = exc


def _tenant(weight=1.0, **fields):
    return world_pb2.Tenant(tenant_id='t', weight=weight, **fields)


_BODIES = {
    'tenant': {'tenant': _tenant()},
    'none': {},
    'nan-weight': {'tenant': _tenant(weight=math.nan)},
    'huge-quota': {'tenant': _tenant(quota=world_pb2.Size(cores=1e9))},
    'false-remove': {'remove': False},
    'no-address': {
        'worker': world_pb2.Worker(
            worker_id='w', rack_id='r', zone_id='z', slots=1, connections=1
        )
    },
    'bad-port': {
        'worker': world_pb2.Worker(
            worker_id='w',
            address='127.0.0.1:99999',
            rack_id='r',
            zone_id='z',
            slots=1,
            connections=1,
        )
    },
    'long-operator': {'tenant': _tenant(), 'operator': 'o' * 100_000},
    'unknown-fields': {'tenant': _tenant()},
}


@behave.when('the operators send a change of key "{key}" with body "{body}"')
def step_change(context, key, body):
    change = world_pb2.Change(change_id='c', key=key, **_BODIES[body])
    if body == 'unknown-fields':
        change.MergeFromString(_UNKNOWN_FIELD)
    context.appends = context.fleet.log.append_count
    _ask(context, 'SendChange', operators_pb2.ChangeRequest(change=change))


@behave.when('the operators send a change of key "" with body "{body}"')
def step_change_no_key(context, body):
    step_change(context, '', body)


@behave.when(
    'the operators send change "{change_id}" of tenant "{tenant}" with weight'
    ' {weight:d}'
)
def step_change_weight(context, change_id, tenant, weight):
    body = world_pb2.Tenant(tenant_id=tenant, weight=weight)
    change = world_pb2.Change(
        change_id=change_id, key=f'tenant/{tenant}', tenant=body
    )
    _ask(context, 'SendChange', operators_pb2.ChangeRequest(change=change))


@behave.when('the operators send garbage to "{method}"')
def step_garbage(context, method):
    _ask(context, method, b'\xff\xff\xff')


@behave.when('the operators send a job of {count:d} bytes')
def step_oversized(context, count):
    job = world_pb2.Job(job_id='j', payload=b'x' * count)
    _ask(context, 'SubmitJob', operators_pb2.SubmitJobRequest(job=job))


@behave.when('the operators submit a job with "{field}" of {value}')
def step_submit(context, field, value):
    job = world_pb2.Job(
        job_id='j', tenant_id=local_fleet.TENANT, task_class='t'
    )
    holder = job.declared if field in ('cores', 'memory_mb') else job
    setattr(holder, field, _value(value))
    _ask(context, 'SubmitJob', operators_pb2.SubmitJobRequest(job=job))


def _value(text):
    if text in _NUMBERS:
        return _NUMBERS[text]
    if '**' in text:
        return 2**64 - 1
    base, _, times = text.partition(' * ')
    return ast.literal_eval(base) * int(times or 1)


@behave.when('the operators ask for job "{job}" of tenant "{tenant}"')
def step_show(context, job, tenant):
    req = operators_pb2.JobRequest(tenant_id=tenant, job_id=job)
    _ask(context, 'ShowJob', req)


@behave.then('the operators get "{reason}", not run')
def step_refused(context, reason):
    assert context.error is None, context.error
    assert context.reply.verdict == verdict.Verdict.NOT_RUN.value
    assert not context.reply.accepted, context.reply
    assert reason in context.reply.reason, context.reply


@behave.then('the operators get "", completed')
def step_completed(context):
    assert context.error is None, context.error
    assert context.reply.accepted, context.reply


@behave.then("the operators' log has no new entry")
def step_not_written(context):
    assert context.fleet.log.append_count == context.appends


@behave.then('the operators\' call ends with "{code}"')
def step_error(context, code):
    assert context.error is not None, context.reply
    assert context.error.code().name == code, context.error


@behave.then('the operators can still send changes and read the status')
def step_serves(context):
    step_change_weight(context, 'valid', 't', 1)
    step_completed(context)
    _ask(context, 'Status', operators_pb2.StatusRequest())
    assert context.error is None, context.error
    assert context.reply.ready, context.reply


class _Peer(operators_pb2_grpc.OperatorsServicer):
    """Explains with the given reason, or never replies for None."""

    def __init__(self, reason):
        self._reason = reason

    async def Explain(self, request, context):
        if self._reason is None:
            await asyncio.Event().wait()
        entry = operators_pb2.Explanation(at_ms=1, reason=self._reason)
        return operators_pb2.ExplainReply(entries=[entry])


@behave.given(
    "operators' peers of which {good:d} answer, {silent:d} are silent and"
    ' {large:d} exceeds the size limit'
)
def step_peers(context, good, silent, large):
    context.silent = silent
    scenario.run(context, _open_peers(context, 'good', good, 'because'))
    scenario.run(context, _open_peers(context, 'silent', silent, None))
    long_reason = 'x' * 1_000_000
    scenario.run(context, _open_peers(context, 'large', large, long_reason))


async def _open_peers(context, kind, count, reason):
    server = grpc.aio.server()
    operators_pb2_grpc.add_OperatorsServicer_to_server(_Peer(reason), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    context.add_cleanup(scenario.run, context, server.stop(None))
    members = context.fleet.instances[_NAME].parts.node.state.members.members
    for index in range(count):
        name = ids.InstanceId(f'{kind}-{index}')
        members[name] = membership.MemberInfo(
            member=ids.Member(name, ids.Incarnation(1)),
            zone_id=ids.ZoneId('zone-1'),
            peer_address=f'127.0.0.1:{port}',
        )


@behave.when('the operators ask to explain "{subject}"')
def step_explain(context, subject):
    scenario.run(context, _explain(context, subject))


async def _explain(context, subject):
    clock = context.fleet.clock
    req = operators_pb2.ExplainRequest(tenant_id='t', subject_id=subject)
    work = asyncio.ensure_future(
        context.loopback.call_without_advancing('Explain', req)
    )
    started = False
    while not started or _pending_queries() > context.silent:
        await asyncio.sleep(0)
        started = started or _pending_queries() > context.silent
    await clock.run_for(0.9)
    context.pending_before = _pending_queries()
    await clock.run_for(0.2)
    context.pending_after = _pending_queries()
    context.reply = await work


def _pending_queries():
    names = [task.get_name() for task in asyncio.all_tasks()]
    return sum(name.startswith('explain ') for name in names)


@behave.then('the operators have {count:d} explanations of peers')
def step_explained(context, count):
    reasons = [entry.reason for entry in context.reply.entries]
    assert reasons == ['because'] * count, reasons


@behave.then(
    "the operators' silent peers were awaited for 1 s of the fleet's clock"
)
def step_waited(context):
    assert context.pending_before == context.silent, context.pending_before
    assert context.pending_after == 0, context.pending_after
