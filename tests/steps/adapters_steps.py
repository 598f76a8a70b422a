"""Steps for adapters.feature; peers are stand-ins on loopback ports."""

import asyncio
import json
import random

from aiohttp import web
import behave

from amaranthflow import adapters
from amaranthflow import log_adapter
from amaranthflow import platform
from amaranthflow import world
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import instances
from amaranthflow_standins import log as log_lib
from amaranthflow_standins import machine as machine_lib
from amaranthflow_standins import program
from amaranthflow_standins import scenario
from amaranthflow_standins import servers
from amaranthflow_standins import tcp_service

_CALL_TIMEOUT_MS = 10_000
_SHORT_TIMEOUT_MS = 100


class _Peer:
    def __init__(self, handlers):
        self.service = tcp_service.TcpService(handlers=handlers)


def _run(context, work):
    return scenario.run(context, work)


def _open(context, make_server):
    async def open_all():
        server = make_server()
        await server.service.open()
        return server, adapters.new_session()

    context.server, context.session = _run(context, open_all())
    context.add_cleanup(_close, context, context.server.service)


def _close(context, service):
    async def close_all():
        await context.session.close()
        await service.close()

    _run(context, close_all())


def _raises(context, work, error):
    try:
        _run(context, work)
    except Exception as exc:
        assert type(exc).__name__ == error, repr(exc)
    else:
        raise AssertionError(f'no {error} was raised')


def _call(index=1, timeout_ms=_CALL_TIMEOUT_MS):
    return platform.BackendCall(
        request_id=f'r{index}',
        attempt=index,
        tenant_id='house-a',
        service_id='quotes',
        payload=b'%d' % index,
        timeout_ms=timeout_ms,
    )


def _open_log(context, **settings):
    context.log = log_lib.LogStandin(
        clock=clock_lib.FakeClock(), rng=random.Random(1), **settings
    )
    _open(context, lambda: servers.LogServer(log=context.log))
    context.adapter = adapters.HttpLogService(
        session=context.session, url=f'http://{context.server.service.address}'
    )


@behave.given('an adapter to a log on a port')
def step_log(context):
    _open_log(context)


@behave.given('an adapter to a log on a port that keeps 1 entry')
def step_short_log(context):
    _open_log(context, retention_entries=1)


@behave.given('an adapter to a worker on a port')
def step_worker(context):
    worker = world.Worker(
        worker_id='w1',
        address='',
        rack_id='r1',
        zone_id='z1',
        capacity=world.Size(cores=8, memory_mb=1000),
        slots=8,
        connections=60,
    )
    context.worker_clock = clock_lib.FakeClock()
    context.machine = machine_lib.Machine(
        worker=worker,
        clock=context.worker_clock,
        rng=random.Random(1),
        service_time_s=0.0,
    )
    _open(context, lambda: servers.WorkerServer(machine=context.machine))
    context.adapter = adapters.HttpWorkerLink(
        session=context.session, address=context.server.service.address
    )


@behave.given('an adapter to a peer that answers "{body}"')
def step_malformed(context, body):
    async def answer(req):
        return web.Response(text=body)

    paths = ('/tasks/list', '/instances', '/append')
    handlers = dict.fromkeys(paths, answer)
    _open(context, lambda: _Peer(handlers))
    address = context.server.service.address
    url = f'http://{address}'
    session = context.session
    context.adapter = adapters.HttpLogService(session=session, url=url)
    context.list = adapters.HttpInstanceList(session=session, url=url)
    context.worker = adapters.HttpWorkerLink(session=session, address=address)


@behave.given('an adapter to a peer that answers {count:d} nested lists')
def step_nested(context, count):
    step_malformed(context, '[' * count + ']' * count)


_REPORT = {
    'task_id': 'job:a:1',
    'phase': 'running',
    'lease_left_ms': 5,
    'result': '',
}
_USAGE = {
    'task_id': 'job:a:1',
    'task_class': 'sort',
    'measured_at_ms': 5,
    'cores': 1,
    'memory_mb': 5,
    'peak_memory_mb': 5,
    'slowdown': 1.0,
}


@behave.given('an adapter to a worker whose {kind} has "{name}" of {value}')
def step_odd_field(context, kind, name, value):
    rows = {'report': dict(_REPORT), 'usage': dict(_USAGE)}
    rows[kind][name] = json.loads(value)
    paths = {'/tasks/list': 'report', '/usage': 'usage'}

    def answer_with(row):
        async def answer(req):
            return web.Response(text=json.dumps([row]))

        return answer

    handlers = {path: answer_with(rows[k]) for path, k in paths.items()}
    _open(context, lambda: _Peer(handlers))
    context.worker = adapters.HttpWorkerLink(
        session=context.session, address=context.server.service.address
    )


@behave.then('the adapter\'s report raises "{error}"')
def step_report_error(context, error):
    _raises(context, context.worker.tasks(), error)


@behave.then('the adapter\'s usage raises "{error}"')
def step_usage_error(context, error):
    _raises(context, context.worker.usage(), error)


@behave.then("the adapter's report and usage are read")
def step_right_reports(context):
    [report] = _run(context, context.worker.tasks())
    assert report.reason == 'fine', report
    [usage] = _run(context, context.worker.usage())
    assert usage.memory_mb == 5, usage


@behave.given(
    'an adapter to an instance list with "{first}" "{phase}"'
    ' and "{second}" "{other}"'
)
def step_list(context, first, phase, second, other):
    standin = instances.InstanceListStandin(
        clock=clock_lib.FakeClock(), delay_s=0
    )
    standin.set_phase(first, platform.InstancePhase(phase))
    standin.set_phase(second, platform.InstancePhase(other))
    _open(context, lambda: servers.InstanceListServer(instance_list=standin))
    context.list = adapters.HttpInstanceList(
        session=context.session, url=f'http://{context.server.service.address}'
    )


@behave.when('the adapter appends {count:d} entries of {size:d} bytes')
def step_append(context, count, size):
    for index in range(count):
        data = bytes([index]) * size
        offset = _run(context, context.adapter.append(data))
        assert offset == index + 1, offset
    context.size = size


@behave.when('the log behind the adapter has the fault "{fault}"')
@behave.when('the worker behind the adapter has the fault "{fault}"')
def step_fault(context, fault):
    _run(context, context.server.set_faults(**{fault: True}))


@behave.when('the log behind the adapter has recovered')
def step_recovered(context):
    _run(context, context.server.set_faults(down=False))


@behave.when('the adapter makes {count:d} calls at once')
def step_calls(context, count):
    async def burst():
        calls = [context.adapter.call(_call(i)) for i in range(count)]
        return await asyncio.gather(*calls)

    context.answers = _run(context, burst())


@behave.when("the adapter's calls use all their connections")
def step_hold(context):
    async def hold():
        context.held = [
            asyncio.ensure_future(context.adapter.call(_call(i)))
            for i in range(28)
        ]
        for _ in range(100):
            await asyncio.sleep(0)

    context.machine.set_faults(frozen=True)
    _run(context, hold())


@behave.when('the adapter starts task "{task_id}" with 300 arbitrary bytes')
def step_start(context, task_id):
    context.payload = bytes(range(256)) + bytes(44)
    start = platform.TaskStart(
        task_id=task_id,
        task_class='sort',
        tenant_id='house-a',
        lease_ms=5000,
        not_after_ms=context.worker_clock.wall_ms(),
        cores=1.5,
        memory_mb=10,
        payload=context.payload,
        checkpoint='job:a:0@250',
    )
    _run(context, context.adapter.start(start))


@behave.then(
    'the adapter reads {count:d} complete entries from offset {start:d}'
)
def step_read(context, count, start):
    page = _run(context, context.adapter.read(start, 0))
    expected = tuple(
        platform.Entry(offset=offset, data=bytes([offset - 1]) * context.size)
        for offset in range(start, start + count)
    )
    assert page.entries == expected
    assert page.next_offset == start + count


@behave.then("an adapter's waiting read gets the next append")
def step_wait(context):
    async def wait():
        read = asyncio.ensure_future(context.adapter.read(4, 30))
        await context.adapter.append(b'fourth')
        return await read

    page = _run(context, wait())
    assert page.entries == (platform.Entry(offset=4, data=b'fourth'),)


@behave.then('the adapter\'s read of offset {start:d} raises "{error}"')
def step_read_error(context, start, error):
    _raises(context, context.adapter.read(start, 0), error)


@behave.then("the adapter's first offset is {offset:d}")
def step_first(context, offset):
    assert _run(context, context.adapter.first_offset()) == offset


@behave.then('the adapter\'s append raises "{error}"')
def step_append_error(context, error):
    _raises(context, context.adapter.append(b'x'), error)


@behave.then('the log behind the adapter keeps {count:d}')
def step_kept(context, count):
    assert len(context.log.entries) == count


@behave.then(
    'an adapter\'s page truncated anywhere inside an entry raises "{error}"'
)
def step_cut_page(context, error):
    async def unpack(body):
        return log_adapter.unpack_entries(body)

    entries = (platform.Entry(offset=7, data=b'abcd'),)
    body = log_adapter.pack_entries(entries)
    assert log_adapter.unpack_entries(body) == entries
    for length in range(1, len(body)):
        _raises(context, unpack(body[:length]), error)


@behave.then("the adapter's calls all get their own responses")
def step_answers(context):
    for index, answer in enumerate(context.answers):
        payload = b'%d' % index
        expected = program.answer_to('house-a', 'quotes', f'r{index}', payload)
        assert answer == expected, answer


@behave.then(
    'the worker behind the adapter saw between {low:d} and {high:d}'
    ' connections'
)
def step_connections(context, low, high):
    peak = context.machine.history.peaks.connections
    assert low <= peak <= high, peak


@behave.then('the adapter\'s call raises "{error}"')
def step_call_error(context, error):
    call = _call(timeout_ms=_SHORT_TIMEOUT_MS)
    _raises(context, context.adapter.call(call), error)


@behave.then('the adapter\'s next call raises "{error}" within its timeout')
def step_no_connection(context, error):
    call = _call(index=99, timeout_ms=_SHORT_TIMEOUT_MS)
    _raises(context, context.adapter.call(call), error)


@behave.then('the adapter renews a lease')
def step_renew(context):
    context.machine.set_faults(frozen=False)
    _run(context, context.adapter.renew(['job:a:1'], 1000))


@behave.then('the worker behind the adapter has run {count:d} calls')
def step_run_count(context, count):
    assert len(context.machine.history.runs) == count


@behave.then('the adapter\'s list shows "{task_id}" as "{phase}" on its lease')
def step_running(context, task_id, phase):
    [report] = _run(context, context.adapter.tasks())
    assert report.task_id == task_id
    assert report.phase.value == phase
    assert report.lease_left_ms == 5000, report


@behave.then('the adapter\'s list shows "{task_id}" as "{phase}"')
def step_listed(context, task_id, phase):
    [report] = _run(context, context.adapter.tasks())
    assert report.task_id == task_id
    assert report.phase.value == phase


@behave.then('the adapter\'s stop of "{task_id}" returns its checkpoint')
def step_stop(context, task_id):
    reference = _run(context, context.adapter.checkpoint(task_id))
    assert program.progress_of(reference) == 0.25, reference
    report = _run(context, context.adapter.stop(task_id))
    assert report.checkpoint == reference


@behave.then('the adapter\'s stop of "{task_id}" raises "{error}"')
def step_stop_error(context, task_id, error):
    _raises(context, context.adapter.stop(task_id), error)


@behave.then('the adapter\'s list of tasks raises "{error}"')
def step_tasks_error(context, error):
    _raises(context, context.worker.tasks(), error)


@behave.then('the adapter\'s list of instances raises "{error}"')
def step_list_error(context, error):
    _raises(context, context.list.snapshot(), error)


@behave.then(
    'the adapter\'s list of instances is "{first}" "{phase}"'
    ' and "{second}" "{other}"'
)
def step_list_is(context, first, phase, second, other):
    expected = {
        first: platform.InstancePhase(phase),
        second: platform.InstancePhase(other),
    }
    assert _run(context, context.list.snapshot()) == expected
