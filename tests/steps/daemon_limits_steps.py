"""Steps for the daemon's client_limits.feature: a real process and a crowd."""

import asyncio
import contextlib
import pathlib
import tempfile

import aiohttp
import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_daemon import peer_channel
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_standins import crowd
from amaranthflow_standins import grpc_crowd
from amaranthflow_standins import process_fleet
from amaranthflow_standins import standin_process

_BODY_BYTES = 262_144
_HEAD = b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Tenant: t\r\n'
_ATTEMPTS = 100
_PAUSE_S = 0.2
_ANSWER_S = 10.0
_RESPONSE_BYTES = 1_000


@behave.given(
    'a daemon that may use {memory_mb:d} MB and {descriptors:d} descriptors'
)
def step_daemon(context, memory_mb, descriptors):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.exit_stack = contextlib.AsyncExitStack()
    context.add_cleanup(lambda: _run(context, context.exit_stack.aclose()))
    flags = {
        '--memory-mb': memory_mb,
        '--max-descriptors': descriptors,
        '--max-body-bytes': _BODY_BYTES,
    }
    _run(context, _start(context, flags))


def _run(context, work):
    return context.loop.run_until_complete(work)


async def _start(context, flags):
    stack = context.exit_stack
    folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
    context.session = await stack.enter_async_context(aiohttp.ClientSession())
    fleet = process_fleet.Fleet(
        session=context.session,
        logs=folder,
        flags=[str(part) for flag in flags.items() for part in flag],
    )
    stack.push_async_callback(fleet.close)
    await fleet.start_platform(
        standin_process.ProcessSpec(seed=1, platform=True)
    )
    context.instance = await fleet.start_instance(
        ids.InstanceId('i1'), ids.ZoneId('kannur')
    )
    assert await _status(context, '/ready') == 200
    context.watch = crowd.ProcessWatch(pid=context.instance.process.pid)


async def _status(context, path):
    """Returns the status of a request that is repeated unless it is 2xx/4xx.

    A caller that got no response or a 503 tries again on a new connection.
    """
    url = f'http://{context.instance.http_address}{path}'
    headers = {'X-Tenant': 't', 'Connection': 'close'}
    timeout = aiohttp.ClientTimeout(total=_ANSWER_S)
    status = None
    for _ in range(_ATTEMPTS):
        try:
            async with context.session.get(
                url, headers=headers, timeout=timeout
            ) as resp:
                status = resp.status
        except (aiohttp.ClientError, TimeoutError) as exc:
            status = repr(exc)
        if status in (200, 404):
            break
        await asyncio.sleep(_PAUSE_S)
    return status


@behave.when('{count:d} clients of the daemon send {what}')
def step_crowd(context, count, what):
    address = context.instance.http_address
    _run(context, _send_crowd(context, address, count, what))


@behave.when("{count:d} clients of the daemon's peer address send {what}")
def step_peer_crowd(context, count, what):
    address = context.instance.peer_address
    if what == 'nothing':
        _run(context, _send_crowd(context, address, count, what))
    else:
        _run(context, _send_calls(context, address, count, what))


async def _send_crowd(context, address, count, what):
    clients = _clients(context, count, crowd.Client, address)
    pieces = [crowd.sent_bytes(what, _HEAD, _BODY_BYTES) for _ in clients]
    await crowd.send(clients, pieces, context.watch)


async def _send_calls(context, address, count, what):
    clients = _clients(context, count, grpc_crowd.Client, address)
    await crowd.send(clients, [what] * count, context.watch)


def _clients(context, count, client_type, address):
    host, _, port = address.rpartition(':')
    context.clients = [client_type((host, int(port))) for _ in range(count)]
    for client in context.clients:
        context.exit_stack.callback(client.close)
    return context.clients


@behave.then(
    'the daemon runs, and used at most {memory_mb:d} MB and {descriptors:d} '
    'descriptors'
)
def step_bounds(context, memory_mb, descriptors):
    assert context.instance.process.returncode is None
    peak_mb, most = context.watch.peak_mb(), context.watch.descriptors
    assert peak_mb <= memory_mb and most <= descriptors, (peak_mb, most)


@behave.then(
    'some of them got {status:d} and "{text}", the others no response yet'
)
def step_refused(context, status, text):
    async def collect():
        work = (client.received(_RESPONSE_BYTES) for client in context.clients)
        return await asyncio.gather(*work)

    responses = [data for data in _run(context, collect()) if data]
    assert 0 < len(responses) < len(context.clients), len(responses)
    start = b'HTTP/1.1 %d ' % status
    odd = [
        data
        for data in responses
        if not (data.startswith(start) and text.encode() in data)
    ]
    assert not odd, odd[:2]


@behave.when('a caller of the daemon sends a job of the maximum size {how}')
def step_single(context, how):
    body = b'{"task_class":"t"}'.ljust(_BODY_BYTES)
    if how == 'of known length':
        data = b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    else:
        pairs = (body[n : n + 2] for n in range(0, len(body), 2))
        chunks = b''.join(b'2\r\n%s\r\n' % pair for pair in pairs)
        data = crowd.CHUNKED + chunks + b'0\r\n\r\n'
    context.response = _run(context, _exchange(context, _HEAD + data))


async def _exchange(context, data):
    host, _, port = context.instance.http_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(_ANSWER_S):
            head = await reader.readuntil(b'\r\n\r\n')
            return head + await reader.readuntil(b'}')
    finally:
        writer.close()


@behave.then('the caller of the daemon got {status:d} and "{text}"')
def step_single_response(context, status, text):
    start = b'HTTP/1.1 %d ' % status
    assert context.response.startswith(start), context.response
    assert text.encode() in context.response, context.response


@behave.then('the daemon answers its readiness check and a query')
def step_answers(context):
    async def ask():
        return [
            await _status(context, path) for path in ('/ready', '/v1/jobs/j')
        ]

    assert _run(context, ask()) == [200, 404]


@behave.then(
    "the daemon answers another instance's heartbeat and its largest request"
)
def step_peer_answered(context):
    assert _run(context, _ask_as_peer(context)) == ['i1', 'unknown service']


async def _ask_as_peer(context):
    """Returns who answered a heartbeat, and the reason of a refusal.

    Another instance tries again on a new connection.
    """
    heartbeat = peer_pb2.HeartbeatRequest(instance_id='i2')
    req = peer_pb2.ExecuteRequest(
        request_id='r', payload=bytes(_BODY_BYTES), timeout_ms=1_000
    )
    found = None
    for _ in range(_ATTEMPTS):
        channel = peer_channel.GrpcChannel(
            address=context.instance.peer_address
        )
        try:
            answer = await channel.heartbeat(heartbeat, _ANSWER_S)
            reply = await channel.execute(req, _ANSWER_S)
            return [answer.instance_id, reply.reason]
        except exceptions.AmaranthflowError as exc:
            found = repr(exc)
        finally:
            await channel.close()
        await asyncio.sleep(_PAUSE_S)
    return found
