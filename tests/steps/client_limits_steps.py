"""Steps for client_limits.feature: a real process and a crowd of clients."""

import asyncio
import contextlib
import json
import pathlib
import random
import re
import signal
import tempfile

from amaranthflow_platform_standins import processes
from amaranthflow_platform_standins import servers
import behave

from amaranthflow_scheduler import jobrecord
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_standins import crowd
from amaranthflow_standins import loopback_net
from amaranthflow_standins import record_store
from amaranthflow_standins import task_fleet

_BODY_BYTES = 262_144  # the configuration's default
_PEER_BODY_BYTES = 1_048_576
_ANSWER_S = 10.0
_ATTEMPTS = 10
_HEAD = b'POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\n'
_PEER_HEAD = b'POST /peer/state HTTP/1.1\r\nHost: x\r\n'


@behave.given(
    'an instance that may use {memory_mb:d} MB and {descriptors:d} descriptors'
)
def step_instance(context, memory_mb, descriptors):
    context.limits = {
        'memory_mb': memory_mb,
        'max_descriptors': descriptors,
    }
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.exit_stack = contextlib.AsyncExitStack()
    context.add_cleanup(lambda: _run(context, _stop(context)))
    _run(context, _start(context))


def _run(context, work):
    return context.loop.run_until_complete(work)


async def _stop(context):
    await context.exit_stack.aclose()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _start(context):
    folder = context.exit_stack.enter_context(tempfile.TemporaryDirectory())
    store = record_store.RecordStore(rng=random.Random(1))
    value = servers.configuration_record(task_fleet.QUEUE, 1)
    store.put(ports.Table.CONFIGURATION, b'config', value)
    net = loopback_net.LoopbackNet()
    context.exit_stack.callback(net.close)
    handler = servers.StoreHandler(store=store, instance='n0')
    server, port = await servers.serve(handler, net.host(1))
    context.exit_stack.callback(server.stop)
    context.instance = processes.Instance(
        name='n0',
        host=net.host(2),
        store=f'{net.host(1)}:{port}',
        folder=pathlib.Path(folder),
        limits=context.limits,
    )
    await context.instance.start([net.host(2)])
    context.exit_stack.push_async_callback(
        context.instance.stop, signal.SIGKILL, processes.GRACE_S
    )
    assert await _submit(context, 1) == 200
    context.watch = crowd.ProcessWatch(pid=context.instance.pid)


@behave.when('{count:d} clients send {what} to its {server} server')
def step_crowd(context, count, what, server):
    _run(context, _send_crowd(context, count, what, server))


async def _send_crowd(context, count, what, server):
    address = context.instance.addresses[server]
    total = _PEER_BODY_BYTES if server == 'peers' else _BODY_BYTES
    clients = [crowd.Client(address) for _ in range(count)]
    heads = [
        _PEER_HEAD if server == 'peers' else _HEAD % (number + 100)
        for number in range(count)
    ]
    for client in clients:
        context.exit_stack.callback(client.close)
    pieces = [crowd.sent_bytes(what, head, total) for head in heads]
    await crowd.send(clients, pieces, context.watch)


def _large_body(kind):
    number = int(re.search(r'\d+', kind)[0])
    steps, payload = [{'count': 1}], 'payload'
    if kind.endswith('tasks'):
        steps = [{'count': number}]
    elif kind.endswith('characters'):
        payload = 'x' * number
    elif kind.endswith('steps'):
        steps *= number
    else:
        steps.append({'count': 1, 'after': [0] * number})
    fields = {'spec': payload, 'steps': steps}
    return json.dumps(fields, separators=(',', ':')).encode()


@behave.when('{count:d} clients submit jobs {kind}, {at_once:d} at a time')
def step_large_jobs(context, count, kind, at_once):
    body = _large_body(kind)
    requests = [_job(100 + number, body) for number in range(count)]
    work = _send_requests(context, 'callers', requests, at_once)
    context.found = _run(context, work)


async def _send_requests(context, server, requests, at_once):
    """Returns the statuses that each request got."""
    address = context.instance.addresses[server]

    async def send(data):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_ANSWER_S):
                return await _statuses(address, data, 1)

    sampler = asyncio.create_task(context.watch.sample_descriptors())
    found = []
    for start in range(0, len(requests), at_once):
        batch = requests[start : start + at_once]
        found += await asyncio.gather(*(send(data) for data in batch))
    await context.watch.wait_idle()
    sampler.cancel()
    return found


@behave.when(
    "{count:d} clients send another instance's message with {number:d} {what}"
)
def step_large_messages(context, count, number, what):
    step = model.Step(count=1, resources=model.Resources(100, 64, 0))
    job = model.Job(
        id=servers.job_id(100),
        queue=task_fleet.QUEUE,
        payload='',
        steps=(step,),
        accepted_ms=0,
    )
    fields = {'id': job.id, 'record': jobrecord.encode(job).decode()}
    if what == 'empty objects':
        fields['x'] = [{}] * number
    else:
        fields |= {f'{n:x}': 0 for n in range(number)}
    body = json.dumps(fields, separators=(',', ':')).encode()
    head = b'POST /peer/accept HTTP/1.1\r\nHost: x\r\nContent-Length: %d'
    data = head % len(body) + b'\r\n\r\n' + body
    _run(context, _send_requests(context, 'peers', [data] * count, count))


@behave.then('all of them are accepted')
def step_all_accepted(context):
    assert all(statuses == [200] for statuses in context.found), context.found


@behave.then(
    'it runs, and used at most {memory_mb:d} MB and {descriptors:d} '
    'descriptors'
)
def step_bounds(context, memory_mb, descriptors):
    instance = context.instance
    assert instance.running and not instance.unexpected_exits
    peak_mb, most = context.watch.peak_mb(), context.watch.descriptors
    assert peak_mb <= memory_mb and most <= descriptors, (peak_mb, most)
    assert not instance.program_faults(), instance.program_faults()


# ordinary requests


def _job(number, body):
    head = _HEAD % number
    return head + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)


def _body():
    step = model.Step(count=1, resources=model.Resources(100, 64, 0))
    return servers.job_body([step])


async def _statuses(address, data, count):
    """Sends bytes; returns the statuses of the first responses."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        received = b''
        found = []
        while len(found) < count and (piece := await reader.read(65_536)):
            received += piece
            found = re.findall(rb'HTTP/1.1 (\d+) [^{]*{', received)
        return [int(status) for status in found]
    finally:
        writer.close()


async def _submit(context, number):
    """Submits a job like a caller who tries again; returns the status."""
    status = None
    for _ in range(_ATTEMPTS):
        try:
            async with asyncio.timeout(_ANSWER_S):
                statuses = await _statuses(
                    context.instance.addresses['callers'],
                    _job(number, _body()),
                    1,
                )
        except (OSError, TimeoutError) as exc:
            status = repr(exc)
            continue
        status = statuses[0] if statuses else 'closed'
        if status == 200:
            break
        await asyncio.sleep(0.5)
    return status


@behave.then('a job is accepted')
def step_accepted(context):
    status = _run(context, _submit(context, 2))
    assert status == 200, status


@behave.then('its readiness check is answered')
def step_ready(context):
    async def check():
        data = b'GET /amaranthflow/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
        address = context.instance.addresses['ready']
        async with asyncio.timeout(_ANSWER_S):
            return await _statuses(address, data, 1)

    assert _run(context, check()) == [200]


def _chunked_job(number, body):
    chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
    return _HEAD % number + crowd.CHUNKED + chunks + b'0\r\n\r\n'


@behave.when('a client submits a job {how}')
def step_submits(context, how):
    body = _body()
    data, count = _job(3, body), 1
    if how == 'with a body of the maximum size':
        data = _job(3, body + b' ' * (_BODY_BYTES - len(body)))
    elif how == 'in chunks of 1 byte':
        data = _chunked_job(3, body + b' ' * (_BODY_BYTES - len(body)))
    elif how == 'after some empty lines':
        data = b'\r\n' * 4 + data
    else:
        state = _HEAD.replace(b'POST', b'GET') % 3 + b'\r\n'
        data, count = data + 2 * state, 3

    async def work():
        async with asyncio.timeout(_ANSWER_S):
            address = context.instance.addresses['callers']
            return await _statuses(address, data, count)

    context.statuses = _run(context, work())


@behave.then('the client gets the statuses {statuses}')
def step_statuses(context, statuses):
    assert context.statuses == [int(s) for s in statuses.split()], (
        context.statuses
    )
