"""Steps for calls.feature."""

import asyncio
import fnmatch
import hashlib
import threading

from aiohttp import web
import behave
from typer import testing

from amaranthflow_cli import main


class _Instance:
    """HTTP interface of one instance, in a separate thread."""

    def __init__(self, answer):
        self.requests = []
        self._answer = answer
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def stop(self):
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self):
        self._loop.run_until_complete(self._serve())
        self._ready.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._runner.cleanup())
        self._loop.close()

    async def _serve(self):
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None)
        )
        await self._runner.setup()
        tcp_site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await tcp_site.start()
        port = self._runner.addresses[0][1]
        self.address = f'127.0.0.1:{port}'

    async def _handle(self, request):
        self.requests.append((request, await request.read()))
        return self._answer(request)


def _complete_reply(text, request_id=None, sent=None):
    def answer(request):
        return web.Response(
            body=text if sent is None else sent,
            headers={
                'X-Request-Id': request_id or request.headers['X-Request-Id'],
                'X-Sha256': hashlib.sha256(text).hexdigest(),
            },
        )

    return answer


def _refused(status, reason, **more):
    body = {'verdict': 'not run', 'reason': reason, **more}
    return lambda request: web.json_response(body, status=status)


def _closed(request):
    request.transport.abort()
    return web.Response()


_FAULTS = {
    "another request's id": _complete_reply(b'plan 7', request_id='r0'),
    'a byte missing': _complete_reply(b'plan 7', sent=b'plan '),
    'a closed connection': _closed,
    'garbage': lambda request: web.Response(status=500, text='<html>'),
    'a redirect': lambda request: web.Response(
        status=307, headers={'Location': '/elsewhere'}
    ),
    'no capacity for 2000 ms': _refused(429, 'busy', retry_after_ms=2000),
    'an unknown service': _refused(404, 'unknown service'),
}


def _add(context, answer):
    instance = _Instance(answer)
    context.add_cleanup(instance.stop)
    context.instances = [*getattr(context, 'instances', []), instance]
    context.addresses = [
        *getattr(context, 'addresses', []),
        instance.address,
    ]


@behave.given('calls go to an instance that answers "{text}"')
@behave.given('calls go next to an instance that answers "{text}"')
def step_answers(context, text):
    _add(context, _complete_reply(text.encode()))


@behave.given('calls go to an instance that answers with {fault}')
def step_fault(context, fault):
    if fault == 'a closed port':
        _add(context, None)
        context.instances[-1].stop()
    else:
        _add(context, _FAULTS[fault])


@behave.when('calls run "{options}"')
def step_run(context, options):
    args = ['call', 'cut/plans', '--tenant', 'malabar', *options.split()]
    env = {'AMARANTHFLOW_HTTP_ADDRESS': ','.join(context.addresses)}
    context.result = testing.CliRunner(env=env).invoke(main.app, args)


@behave.then('calls end with {code:d}')
def step_code(context, code):
    assert context.result.exit_code == code, context.result.output


@behave.then('calls end with {code:d} and print "{text}"')
def step_print(context, code, text):
    step_code(context, code)
    assert context.result.stdout == text, context.result.output


@behave.then('calls end with {code:d} and the error "{pattern}"')
def step_error(context, code, pattern):
    step_code(context, code)
    assert context.result.stdout == ''
    (line,) = context.result.stderr.splitlines()
    assert fnmatch.fnmatch(line, f'amaranthflow: {pattern}*'), line


@behave.then('calls sent "{body}" to "{path}" for "{tenant}"')
def step_sent(context, body, path, tenant):
    ((request, sent),) = context.instances[0].requests
    assert (request.method, request.raw_path) == ('POST', path)
    assert request.headers['X-Tenant'] == tenant
    assert request.headers['X-Idempotent'] == 'false'
    assert sent == body.encode()


@behave.then('calls reached the next instance {count:d} times')
def step_reached(context, count):
    assert len(context.instances[1].requests) == count
