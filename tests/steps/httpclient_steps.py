"""Steps for httpclient.feature, over loopback."""

import asyncio
import contextlib

import behave

from amaranthflow import exceptions
from amaranthflow_scheduler import httpclient

_HOST = '127.0.0.1'
_LETTERS = b'x' * 65_536
_PIECES = 200  # far over the limit
_TIMEOUT_S = 10.0


@behave.given('an HTTP client that reads responses of up to {size:d} bytes')
def step_client(context, size):
    context.size = size


async def _call(context, send):
    ended = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(OSError):
            await reader.readuntil(b'\r\n\r\n')
            await send(writer)
            await reader.read()
        ended.set()
        writer.close()

    server = await asyncio.start_server(serve, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = httpclient.Client(
        address=f'{_HOST}:{port}',
        max_conns=1,
        max_response_bytes=context.size,
    )
    try:
        response = await client.call('GET', '/', timeout_s=_TIMEOUT_S)
        context.outcome = response.status
    except exceptions.PlatformUncertain as exc:
        context.outcome = exc.reason
        async with asyncio.timeout(_TIMEOUT_S):
            await ended.wait()
    finally:
        client.close()
        server.close()
        await asyncio.sleep(0.01)
    context.ended = ended.is_set()


@behave.when('its server sends "{start}" and then letters without end')
def step_endless(context, start):
    async def send(writer):
        writer.write(start.encode().decode('unicode_escape').encode())
        for _ in range(_PIECES):
            writer.write(_LETTERS)
            await writer.drain()

    asyncio.run(_call(context, send))


@behave.when('its server sends a response of {size:d} bytes')
def step_response(context, size):
    async def send(writer):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        body = b'x' * (size - len(head % 100))
        writer.write(head % len(body) + body)

    asyncio.run(_call(context, send))


async def _call_twice(context):
    received = asyncio.Queue()

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                received.put_nowait(await reader.readuntil(b'\r\n\r\n'))
        writer.close()

    server = await asyncio.start_server(serve, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = httpclient.Client(address=f'{_HOST}:{port}', max_conns=1)
    calls = (
        client.call('GET', '/', timeout_s=_TIMEOUT_S / 10),
        client.call('GET', '/', timeout_s=_TIMEOUT_S / 50),
    )
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    client.close()
    server.close()
    await asyncio.sleep(0.01)
    context.outcomes = outcomes
    context.received = received.qsize()


@behave.when("a second call has to wait for the first one's response")
def step_second_call(context):
    asyncio.run(_call_twice(context))


@behave.then('the HTTP client\'s second call was not sent, "{start} * {end}"')
def step_not_sent(context, start, end):
    first, second = context.outcomes
    assert type(first) is exceptions.PlatformUncertain, first
    assert type(second) is exceptions.PlatformError, second
    assert second.reason.startswith(start), second
    assert second.reason.endswith(end), second
    assert context.received == 1, context.received


@behave.then('the HTTP client\'s call is uncertain, "{reason}"')
def step_uncertain(context, reason):
    assert context.outcome == reason, context.outcome


@behave.then('the HTTP client has closed the connection')
def step_closed(context):
    assert context.ended


@behave.then("the HTTP client's call has status {status:d}")
def step_status(context, status):
    assert context.outcome == status, context.outcome
