"""Steps for peer_channel.feature, over loopback."""

import asyncio

import behave
import grpc.aio

from amaranthflow import exceptions
from amaranthflow_daemon import peer_channel
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import peer_pb2_grpc

_SHORT_S = 0.3
_LONG_S = 30.0


class _Server(peer_pb2_grpc.PeerServicer):
    """Echoes the view offset; delays the reply to one heartbeat."""

    def __init__(self):
        self.streams = 0
        self.unanswered = 0
        self.received = asyncio.Event()
        self.status = None

    async def Heartbeat(self, request_iterator, context):
        self.streams += 1
        async for request in request_iterator:
            if request.view_offset == self.unanswered:
                await asyncio.sleep(_LONG_S)
            yield peer_pb2.HeartbeatReply(view_offset=request.view_offset)

    async def Execute(self, request, context):
        self.received.set()
        if self.status is not None:
            await context.abort(*self.status)
        await asyncio.sleep(_LONG_S)


def _run(context, work):
    return context.loop.run_until_complete(work)


async def _open(context):
    context.servicer = _Server()
    context.server = grpc.aio.server()
    peer_pb2_grpc.add_PeerServicer_to_server(context.servicer, context.server)
    port = context.server.add_insecure_port('127.0.0.1:0')
    await context.server.start()
    context.channel = peer_channel.GrpcChannel(address=f'127.0.0.1:{port}')


async def _close(context):
    await context.channel.close()
    await context.server.stop(0)


def _clean_up(context):
    _run(context, _close(context))
    context.loop.close()


@behave.given('a peer channel to a server')
def step_open(context):
    context.loop = asyncio.new_event_loop()
    _run(context, _open(context))
    context.add_cleanup(_clean_up, context)


@behave.when('the server of the peer channel does not answer heartbeat 1')
def step_silent(context):
    context.servicer.unanswered = 1


@behave.when('the peer channel sends {count:d} heartbeats')
def step_send(context, count):
    context.replies = _run(context, _send(context, count))


async def _send(context, count):
    replies = []
    for offset in range(1, count + 1):
        req = peer_pb2.HeartbeatRequest(view_offset=offset)
        unanswered_now = offset == context.servicer.unanswered
        timeout_s = _SHORT_S if unanswered_now else _LONG_S
        try:
            reply = await context.channel.heartbeat(req, timeout_s)
        except exceptions.RequestUncertain:
            replies.append('none')
        else:
            replies.append(str(reply.view_offset))
    return replies


@behave.then(
    'the peer channel got the replies {replies} over {count:d} stream'
)
@behave.then(
    'the peer channel got the replies {replies} over {count:d} streams'
)
def step_replies(context, replies, count):
    assert context.replies == replies.split(', '), context.replies
    assert context.servicer.streams == count, context.servicer.streams


@behave.when('the peer channel is closed during a request')
def step_close(context):
    _run(context, _close_during_request(context))


async def _close_during_request(context):
    req = peer_pb2.ExecuteRequest(request_id='q')
    work = asyncio.ensure_future(context.channel.execute(req, _LONG_S))
    await context.servicer.received.wait()
    await context.channel.close()
    try:
        await work
    except exceptions.RequestUncertain as exc:
        context.error = exc


@behave.when(
    'the server of the peer channel ends a request with {status} "{details}"'
)
def step_refuse(context, status, details):
    context.servicer.status = (grpc.StatusCode[status], details)
    _run(context, _refused_request(context))


async def _refused_request(context):
    req = peer_pb2.ExecuteRequest(request_id='q')
    try:
        await context.channel.execute(req, _LONG_S)
    except exceptions.AmaranthflowError as exc:
        context.error = exc


@behave.then("the peer channel's request may have run")
def step_verdict(context):
    assert context.error.verdict.label == 'may have run'


@behave.then("the peer channel's request has not run")
def step_not_run(context):
    assert context.error.verdict.label == 'not run'
