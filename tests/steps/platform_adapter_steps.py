"""Steps for the adapter's features. Connections are on the loopback only."""

import asyncio
import contextlib
import json
import pathlib
import re
import socket
import struct
import subprocess
import sys
import tempfile
import types
import urllib.parse

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_platform import adviser
from amaranthflow_platform import http_handlers
from amaranthflow_platform import settings
from amaranthflow_platform import store
from amaranthflow_platform import wire
from amaranthflow_platform import worker_links
from amaranthflow_scheduler import httpclient
from amaranthflow_scheduler import httplimits
from amaranthflow_scheduler import httpserver
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_standins import clock
from amaranthflow_standins import virtual_time

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_HOST = '127.0.0.1'
_JOB = ids.JobId('5c0e7a21d94b36f8')
_QUEUE = model.Queue(
    id=model.QueueId('jobs'),
    host='jobs.example',
    prefix='/jobs/',
    service=ids.ServiceId('s'),
)
_CFG = model.Configuration(
    version=1,
    queues=(_QUEUE,),
    checked_services=frozenset(),
    max_body_bytes=1_000,
    idle_timeout_ms=1_000,
)


@behave.when('a program is started by a script in the folder "platform"')
def step_script(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'platform'
        path.mkdir()
        (path / 'run.py').write_text(
            'import platform, uuid; print(platform.python_version())'
        )
        done = subprocess.run(
            [sys.executable, 'platform/run.py'],
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
        )
    context.done = done
    assert not (_ROOT / 'platform' / '__init__.py').exists()


@behave.then("it imports the standard library's platform module")
def step_stdlib(context):
    assert context.done.returncode == 0, context.done.stderr
    assert context.done.stdout.startswith('3.'), context.done.stdout


# settings


def _render_section(text, name, value):
    """Renders a section of the template, or removes it without a value."""
    head, _, rest = text.partition(f'{{{{#{name}}}}}')
    body, _, tail = rest.partition(f'{{{{/{name}}}}}')
    rendered = body.replace('{{.|json}}', json.dumps(value)) if value else ''
    return head + rendered + tail


@behave.given('platform settings as the template renders them')
def step_settings(context):
    text = (_ROOT / 'deploy' / 'settings.json').read_text()
    text = _render_section(text, 'advice', '10.200.1.9:8169')
    text = _render_section(text, 'bounds.evacuate_ms', 5000)
    text = _render_section(text, 'platform.record_bytes', 262_144)
    text = _render_section(text, 'platform.call_bytes', 2_097_152)
    values = {
        'node_name': 'edge-z-1',
        'listen.front': '10.1.0.13:8161',
        'listen.ready': '10.1.0.13:8167',
        'listen.control': '10.1.0.13:8166',
        'seeds': ['10.1.0.13:8166'],
        'platform.address': '10.200.1.7:8169',
        'bounds.hold_max_ms': 6000,
        'bounds.status_s': 120,
        'bounds.grace_s': 6,
        'limits.cpu_share': 0.537,
        'limits.cores': 2,
        'limits.link_mbps': 1000.0,
        'limits.memory_mb': 300,
        'limits.max_fds': 4100,
    }
    for name, value in values.items():
        text = text.replace(f'{{{{{name}|json}}}}', json.dumps(value))
    assert '{{' not in text, text
    context.settings = json.loads(text)


@behave.given('platform setting "{name}" is {value}')
def step_setting(context, name, value):
    context.settings[name] = json.loads(value)


@behave.when('the platform settings are loaded')
def step_load(context):
    context.error = None
    with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
        json.dump(context.settings, file)
        file.flush()
        try:
            context.cfg = settings.load(file.name)
        except exceptions.SettingsError as exc:
            context.error = exc


@behave.then('the instance is "{name}" with callers at "{address}"')
def step_loaded(context, name, address):
    assert context.error is None, context.error
    assert context.cfg.instance == name
    assert context.cfg.callers_address == address


@behave.then('they are refused, naming "{name}"')
def step_settings_refused(context, name):
    assert name in str(context.error), context.error


# wire


@behave.when("job body '{body}' is decoded")
def step_decode_job(context, body):
    context.error = None
    try:
        context.job = wire.decode_job(_JOB, _QUEUE, body.encode(), 5)
    except exceptions.RequestRefused as exc:
        context.error = exc


@behave.then('step 0 has service, opportunistic and backups set')
def step_traits(context):
    assert context.error is None, context.error
    step = context.job.steps[0]
    assert step.service and step.opportunistic and step.backups
    assert step.resources == model.Resources(500, 64, 0)


@behave.then(
    'step 0 has data on rack "{rack}", {most:d} on a worker, {away:d} '
    'unavailable, label "{label}"'
)
def step_amounts(context, rack, most, away, label):
    step = context.job.steps[0]
    found = (step.data_rack, step.max_per_worker, step.max_unavailable)
    assert found == (rack, most, away), found
    assert step.label == label


@behave.then('it is refused as a bad request')
def step_bad(context):
    assert context.error is not None, context.job
    assert context.error.reason


@behave.when("worker entry '{value}' is decoded")
def step_entry(context, value):
    value = _expand(value)
    context.entry = wire.Decoder().worker(b'i-1', value.encode())


def _expand(text):
    """Writes out repetitions: of a digit or of what nests JSON deeper."""
    return re.sub(
        r'(\d|\[|{"a":) x (\d+)', lambda match: match[1] * int(match[2]), text
    )


@behave.when('worker entry \'{value}\' of worker "{key}" is decoded')
def step_entry_of(context, value, key):
    key = key.encode().decode('unicode_escape').encode('latin-1')
    context.entry = wire.Decoder().worker(key, _expand(value).encode())


@behave.then('there is a worker entry')
def step_has_entry(context):
    assert context.entry is not None


@behave.when('"{address}" is called')
def step_call(context, address):
    async def call():
        client = httpclient.Client(address=_expand(address), max_conns=1)
        try:
            await client.call('GET', '/', timeout_s=0.5)
        except exceptions.PlatformUncertain:
            return 'uncertain'
        except exceptions.PlatformError:
            return 'not done'

    context.outcome = asyncio.run(call())


@behave.then('there is no worker entry')
def step_no_entry(context):
    assert context.entry is None, context.entry


@behave.when("report '{body}' is decoded")
def step_report(context, body):
    context.error = None
    try:
        context.report = wire.decode_report(_expand(body).encode())
    except exceptions.PlatformUncertain as exc:
        context.error = exc


@behave.then(
    'the report has a run at {percent:d} percent with gauge {gauge:d} and '
    'an end numbered {number:d}'
)
def step_reported(context, percent, gauge, number):
    (run,) = context.report.running
    (end,) = context.report.ended
    assert (run.percent, run.gauge, run.run) == (percent, gauge, 2)
    assert run.task == model.TaskKey(_JOB, 0, 1, 17)
    assert (end.number, end.ending) == (number, model.RunOutcome.LEASE_EXPIRED)


@behave.then('the report has a run of job "{job_id}"')
def step_reported_job(context, job_id):
    assert context.error is None, context.error
    (run,) = context.report.running
    assert run.task == model.TaskKey(ids.JobId(job_id), 0, 1, 17)


@behave.then('the outcome of the call is uncertain')
def step_uncertain(context):
    assert context.error is not None


@behave.then(
    'the decoded configuration has {count:d} queues and the longest prefix '
    'wins'
)
def step_configuration(context, count):
    routes = [
        {
            'name': name,
            'hostname': 'H.example',
            'path_prefix': prefix,
            'service': 's',
        }
        for name, prefix in (('a', '/x/'), ('b', '/x/y/'))
    ]
    value = json.dumps({'version': 3, 'routes': routes, 'services': []})
    cfg = wire.Decoder().configuration(b'config', value.encode())
    assert len(cfg.queues) == count
    assert cfg.find_queue('h.example', '/x/y/z').id == 'b'
    assert cfg.find_queue('h.example', '/x/z').id == 'a'
    assert cfg.find_queue('other', '/x/z') is None


@behave.then('a configuration record "{value}" is ignored')
def step_no_configuration(context, value):
    decoder = wire.Decoder()
    value = _expand(value)
    assert decoder.configuration(b'config', value.encode()) is None
    assert decoder.configuration(b'wave/1', b'{}') is None


# store and workers


def _answering(status, body):
    async def handler(req):
        return httpserver.Response(status=status, body=body)

    return handler


async def _serve(handler, limit=1_000_000):
    limits = httplimits.Limits(body_bytes=limit, idle_s=60.0)
    server = httpserver.Server(
        name='test',
        handler=handler,
        limits=lambda: limits,
    )
    await server.start(_HOST, 0)
    return server, f'{_HOST}:{server.port}'


def _with_server(context, work):
    """Runs ``work(address)`` while the context's server is running."""

    async def main():
        server, address = await _serve(context.handler)
        try:
            return await work(address)
        finally:
            server.stop()

    return asyncio.run(main())


@behave.given("a store that responds {status:d} with '{body}'")
@behave.given("a worker that responds {status:d} with '{body}'")
def step_answering(context, status, body):
    context.handler = _answering(status, _expand(body).encode())


@behave.given('a store that never responds')
def step_silent(context):
    async def handler(req):
        await asyncio.sleep(60.0)

    context.handler = handler


@behave.given(
    "a store that sends a table's page in {count:d} pieces, one each "
    '{seconds:g} s'
)
def step_slow_page(context, count, seconds):
    context.page = (count, count, seconds)


@behave.given(
    "a store that sends {sent:d} of the {count:d} pieces of a table's page"
)
def step_part_of_page(context, sent, count):
    context.page = (sent, count, 0.1)


@behave.given(
    'a store whose open connections become silent after {count:d} calls at a '
    'time'
)
def step_silent_connections(context, count):
    context.parallel = count


@behave.when('calls are made one after the other')
def step_calls_in_turn(context):
    context.outcomes = _call_silent(context.parallel)


class _ServedLoop(virtual_time.VirtualLoop):
    """Connects clients to a handler in this process, in virtual time.

    Data is readable at the other end of a socket pair as soon as it is sent,
    so that no timeout depends on the machine's speed.
    """

    def __init__(self, serve):
        super().__init__()
        self._serve = serve
        self._served = []

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        if host is None:
            return await super().create_connection(protocol_factory, **options)
        ours, theirs = socket.socketpair()
        streams = await asyncio.open_connection(sock=theirs)
        self._served.append(self.create_task(self._handle(*streams)))
        return await super().create_connection(protocol_factory, sock=ours)

    async def _handle(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._serve(reader, writer)
        writer.close()

    def run(self, client, work):
        """Runs work that uses a client; returns once all handlers ended."""
        try:
            return self.run_until_complete(self._run(client, work))
        finally:
            self.close()

    async def _run(self, client, work):
        try:
            return await work
        finally:
            client.close()
            await asyncio.gather(*self._served)


def _call_silent(parallel):
    silent = set()
    writers = set()

    async def serve(reader, writer):
        writers.add(writer)
        while await reader.readuntil(b'\r\n\r\n'):
            await asyncio.sleep(0.02)
            if writer not in silent:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    client = httpclient.Client(address=f'{_HOST}:1', max_conns=parallel)

    async def call():
        try:
            await client.call('GET', '/', timeout_s=0.2)
            return True
        except exceptions.PlatformUncertain:
            return False

    async def work():
        await asyncio.gather(*(call() for _ in range(parallel)))
        silent.update(writers)
        return [await call() for _ in range(parallel)]

    return _ServedLoop(serve).run(client, work())


@behave.then('only the first of them times out')
def step_first_times_out(context):
    outcomes = context.outcomes
    assert outcomes == [False] + [True] * (len(outcomes) - 1), outcomes


_SOUND = '{"key":"sound","value":"dg==","offset":9}'


@behave.given('a store that lists an odd record {odd} before a sound one')
def step_odd_item(context, odd):
    odd = _expand(odd)
    if odd.startswith('['):
        odd += ']' * len(odd)
    body = f'{{"items":[{odd},{_SOUND}],"end":10}}'
    context.handler = _answering(200, body.encode())


@behave.given('a store whose first page ends with the key "{key}"')
def step_odd_key(context, key):
    item = json.dumps({'key': key, 'value': 'dg==', 'offset': 3})
    context.queries = []

    async def handler(req):
        query = dict(urllib.parse.parse_qsl(req.path.partition('?')[2]))
        context.queries.append(query)
        more = 'false' if 'after' in query else 'true'
        body = f'{{"items":[{item}],"more":{more},"end":10}}'
        return httpserver.Response(status=200, body=body.encode())

    context.handler = handler


@behave.when('the newest records are listed')
def step_list(context):
    async def work(address):
        return await store.Store(address=address).newest(ports.Table.WORKERS)

    context.batch = _with_server(context, work)


@behave.then('the sound record is among them')
def step_sound_listed(context):
    assert ports.Record(9, b'sound', b'v') in context.batch.records


@behave.then('the second page was asked for after "{key}"')
def step_after(context, key):
    assert context.queries[1]['after'] == key, context.queries


@behave.given(
    'a store whose table has the framed record {frame} before a sound one'
)
def step_odd_frame(context, frame):
    body = struct.pack('>QQ', 7, 0) + bytes.fromhex(frame)
    body += store.encode_record(b'sound', b'v')

    async def handler(req):
        return httpserver.Response(status=200, body=body)

    context.handler = handler


@behave.then('the sound record is read at {offset:d}')
def step_sound_read(context, offset):
    assert context.batch.records[-1] == ports.Record(offset, b'sound', b'v')
    assert context.batch.end == offset + 1


@behave.when('the newest records are read')
def step_newest(context):
    context.outcome = _newest_in_pieces(*context.page)


def _newest_in_pieces(sent, count, seconds):
    body = b'{"items":[{"key":"k","value":"dg==","offset":0}],"end":1}'
    response = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )
    size = -(-len(response) // count)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for number in range(sent):
            await asyncio.sleep(seconds)
            writer.write(response[number * size : (number + 1) * size])
        await reader.read()

    link = store.Store(address=f'{_HOST}:1')

    async def work():
        try:
            batch = await link.newest(ports.Table.JOBS)
            return len(batch.records)
        except exceptions.PlatformUncertain:
            return 'uncertain'

    return _ServedLoop(serve).run(link._client, work())


@behave.then('{count:d} record is read')
def step_records_read(context, count):
    assert context.outcome == count, context.outcome


@behave.given('no store')
def step_no_store(context):
    context.handler = None


@behave.given('a store that returns the records it was sent')
def step_echo(context):
    kept = []

    async def handler(req):
        if 'log-append' in req.path:
            kept.append(req.body)
            return httpserver.Response(status=200, body=b'{"offset":5}')
        head = struct.pack('>QQ', 6, 0)
        return httpserver.Response(status=200, body=head + kept[0])

    context.handler = handler


async def _append(address):
    link = store.Store(address=address)
    try:
        items = [(b'key', b'value')]
        offset = await link.append(ports.Table.JOBS, items)
        return f'offset {offset}'
    except ports.Conflict:
        return 'a conflict'
    except exceptions.PlatformUncertain:
        return 'uncertain'
    except exceptions.PlatformError:
        return 'not done'


@behave.when('a record is appended')
def step_append(context):
    if context.handler is None:
        context.outcome = asyncio.run(_append(f'{_HOST}:1'))
    else:
        context.outcome = _with_server(context, _append)


@behave.then('the append ends as {outcome}')
@behave.then('the start ends as {outcome}')
@behave.then('the read ends as {outcome}')
@behave.then('the call ends as {outcome}')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@behave.when('the table is read from {offset:d}')
def step_read(context, offset):
    async def work(address):
        link = store.Store(address=address)
        return await link.read(ports.Table.JOBS, offset)

    context.batch = _with_server(context, work)


@behave.then('record {offset:d} has the key and value that were appended')
def step_record(context, offset):
    (record,) = context.batch.records
    assert record == ports.Record(offset, b'key', b'value'), record
    assert context.batch.end == offset + 1


@behave.when('a run is started there')
def step_start(context):
    async def work(address):
        link = worker_links.WorkerLinkFactory(max_descriptors=4_096).link(
            ids.WorkerId('i-1'), address
        )
        order = ports.StartCommand(
            task=model.TaskKey(_JOB, 0, 0, 0),
            run=model.RunNumber(1),
            payload='',
            deadline_ms=9,
        )
        try:
            return f'clock {await link.start(order, model.Token(3))}'
        except ports.CommandRefused as exc:
            return f'refused {exc.refusal.value}'
        except exceptions.PlatformUncertain:
            return 'uncertain'

    context.outcome = _with_server(context, work)


# job handler


class _JobApi:
    """Job API whose responses depend on a state."""

    def __init__(self, state):
        self._state = state

    async def submit(self, job, *, client_timeout_s):
        self.client_timeout_s = client_timeout_s
        if self._state == 'refuses':
            raise exceptions.NotReady('store', retry_after_ms=2_000)
        if self._state == 'is full':
            raise exceptions.Overloaded('no room', retry_after_ms=5_000)
        if self._state == 'does not know':
            raise exceptions.RequestUncertain('store')

    async def state(self, job_id):
        known = self._state == 'knows the job'
        return model.JobState.RUNNING if known else None

    async def cancel(self, job_id):
        return self._state == 'knows the job'

    async def pending_count(self, queue):
        return 3


@behave.given('a job handler with a queue at "{place}"')
def step_job_handler(context, place):
    assert place == _QUEUE.host + _QUEUE.prefix


@behave.given('its node {state}')
def step_node(context, state):
    cfg = None if state == 'has no configuration' else _CFG
    context.node = types.SimpleNamespace(cfg=cfg, job_api=_JobApi(state))


@behave.when('a caller sends "{line}" with body \'{body}\'')
def step_send(context, line, body):
    method, path = line.split()
    req = httpserver.Request(
        method=method,
        path=path,
        headers={'host': 'JOBS.example:80'},
        body=body.encode(),
    )
    handler = http_handlers.JobHandler(
        node=context.node, clock=clock.FakeClock()
    )
    context.response = asyncio.run(handler(req))


@behave.when('a caller sends "{line}" with body \'\'')
def step_send_empty(context, line):
    step_send(context, line, '')


@behave.when('a caller with a deadline of "{deadline}" ms submits a job')
def step_deadline(context, deadline):
    req = httpserver.Request(
        method='POST',
        path=f'{_QUEUE.prefix}{_JOB}',
        headers={'host': _QUEUE.host, 'x-deadline-ms': deadline},
        body=b'{"steps":[{"count":1}]}',
    )
    handler = http_handlers.JobHandler(
        node=context.node, clock=clock.FakeClock()
    )
    context.response = asyncio.run(handler(req))


@behave.then('the client timeout is {seconds:g} s')
def step_client_timeout(context, seconds):
    assert context.node.job_api.client_timeout_s == seconds


@behave.then('the caller gets {status:d}')
def step_status(context, status):
    assert context.response.status == status, context.response


@behave.then('the caller gets {seconds:d} s as the time after which to retry')
def step_retry_after(context, seconds):
    assert context.response.retry_after_s == seconds, context.response


# HTTP


@behave.given('an HTTP server with a limit of {limit:d} bytes')
def step_http(context, limit):
    context.limit = limit
    context.draining = False


@behave.given('it drains')
def step_drains(context):
    context.draining = True


def _send_raw(context, data, times=1):
    """Sends bytes; returns the response and that to a later valid request."""

    async def main():
        async def handler(req):
            return httpserver.Response(status=200, body=req.path.encode())

        server, address = await _serve(handler, context.limit)
        server.draining = context.draining
        port = int(address.rpartition(':')[2])
        try:
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(data)
            received = b''
            while (
                received.count(b'HTTP/1.1') < times
                or b'\r\n\r\n' not in received
            ):
                piece = await reader.read(65_536)
                if not piece:
                    break
                received += piece
            writer.close()
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(b'GET /sound HTTP/1.1\r\nHost: x\r\n\r\n')
            valid = await reader.readuntil(b'/sound')
            writer.close()
            return received, valid
        finally:
            server.stop()

    return asyncio.run(main())


@behave.when('a client sends it the bytes "{text}"')
def step_bytes(context, text):
    data = text.encode().decode('unicode_escape').encode('latin-1')
    for size in (200, 20_000):
        data = data.replace(b'{%d}' % size, b'x' * size)
    context.received, context.valid = _send_raw(context, data)


@behave.then('the client gets status {status:d} and the connection ends')
def step_http_status(context, status):
    assert context.received.startswith(b'HTTP/1.1 %d ' % status), (
        context.received
    )
    assert b'Connection: close' in context.received


@behave.then('the next valid request is answered')
def step_valid(context):
    assert context.valid.startswith(b'HTTP/1.1 200'), context.valid


@behave.when('a client sends it two requests at once')
def step_two_requests(context):
    data = b''.join(b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n' % n for n in (1, 2))
    context.received, _ = _send_raw(context, data, times=2)


@behave.then('it gets both responses in order')
def step_in_order(context):
    assert 0 < context.received.find(b'/1') < context.received.find(b'/2')


@behave.when('a client sends it a request')
def step_one_request(context):
    context.received, _ = _send_raw(
        context, b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'
    )


@behave.then('the response announces that the connection closes')
def step_closes(context):
    assert b'Connection: close' in context.received, context.received


@behave.when('a configuration of a queue with advice {advice} is decoded')
def step_decode_advice(context, advice):
    route = {
        'name': 'q',
        'hostname': 'jobs.example',
        'path_prefix': '/',
        'service': 's',
        'advice': json.loads(advice),
    }
    value = {'version': 1, 'routes': [route], 'services': []}
    cfg = wire.decode_configuration(json.dumps(value).encode())
    (context.queue,) = cfg.queues


@behave.then(
    'the queue needs an adviser that decides in {decide:d} and {each:d} ms, '
    'for {valid:d} ms'
)
def step_policy(context, decide, each, valid):
    assert context.queue.advised
    assert context.queue.advice == (decide, each, valid), context.queue


@behave.given("an adviser that responds {status:d} with '{body}'")
def step_adviser(context, status, body):
    step_answering(context, status, body)


@behave.when('it is asked about 2 workers')
def step_ask(context):
    async def work(address):
        link = adviser.Adviser(address=address)
        workers = [ids.WorkerId('i-1'), ids.WorkerId('i-2')]
        try:
            return await link.advise(_JOB, 0, 1, workers, limit_s=3.0)
        except exceptions.PlatformError:
            return 'no answer'

    context.outcome = _with_server(context, work)


@behave.then('the ticket of "{worker}" is "{ticket}" for {valid_ms:d} ms')
def step_ticket(context, worker, ticket, valid_ms):
    assert context.outcome == ({worker: ticket}, valid_ms), context.outcome


@behave.then('there is no advice')
def step_no_advice(context):
    assert context.outcome == 'no answer', context.outcome


@behave.when('its leases are renewed twice')
def step_renewed_twice(context):
    async def work(address):
        link = worker_links.WorkerLinkFactory(max_descriptors=4_096).link(
            ids.WorkerId('i-1'), address
        )
        conns = set()
        for _ in range(2):
            try:
                await link.renew_leases(
                    token=model.Token(1),
                    acknowledged=0,
                    deadline_ms=None,
                    wait_ms=0,
                )
            except ports.CommandRefused:
                conns.add(link._renewals)
        return link.connected(), len(conns)

    context.outcome = _with_server(context, work)


@behave.then('its link is not connected and used {count:d} connection')
def step_not_connected(context, count):
    assert context.outcome == (False, count), context.outcome
