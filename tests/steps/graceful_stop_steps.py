"""Steps for graceful_stop.feature: a real process on loopback addresses."""

import asyncio
import pathlib
import random
import signal
import tempfile

from amaranthflow_platform_standins import processes
from amaranthflow_platform_standins import servers
import behave

from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_standins import loopback_net
from amaranthflow_standins import proxy
from amaranthflow_standins import record_store
from amaranthflow_standins import task_fleet

_STEP = model.Step(
    count=1, resources=model.Resources(1_000, 100, 0), estimate_ms=200
)
_REQUESTS = 20
_READ_S = 0.1
_LEADS_S = 10.0
_STEP_S = 0.05


class _Stop:
    """The instance, its store and the callers' connections."""

    def __init__(self, folder):
        self.net = loopback_net.LoopbackNet()
        self.store = record_store.RecordStore(rng=random.Random(1))
        value = servers.configuration_record(task_fleet.QUEUE, 1)
        self.store.put(ports.Table.CONFIGURATION, b'config', value)
        self.folder = folder
        self.responses = []
        self.took_s = None

    async def start(self):
        host = self.net.host(1)
        handler = servers.StoreHandler(store=self.store, instance='n1')
        self.server, port = await servers.serve(handler, host)
        self.proxy = proxy.Proxy(host=host, target=(host, port))
        await self.proxy.open()
        self.instance = processes.Instance(
            name='n1',
            host=self.net.host(2),
            store=self.proxy.address,
            folder=self.folder,
        )
        await self.instance.start([])
        await self._wait_leads()

    async def _wait_leads(self):
        async with asyncio.timeout(_LEADS_S):
            while True:
                line = await self.exchange(self.post(0))
                if b' 200 ' in line:
                    return
                await asyncio.sleep(_STEP_S)

    def post(self, number):
        body = servers.job_body([_STEP])
        return self.head(number, len(body)) + body

    def head(self, number, length):
        path = task_fleet.QUEUE.prefix + servers.job_id(number)
        return (
            f'POST {path} HTTP/1.1\r\nHost: {task_fleet.QUEUE.host}\r\n'
            f'Content-Length: {length}\r\n\r\n'
        ).encode()

    async def connect(self, request):
        host, _, port = self.instance.callers_address.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        return reader, writer

    async def exchange(self, request):
        reader, writer = await self.connect(request)
        try:
            return await reader.readline()
        finally:
            writer.close()

    async def stop(self):
        self.took_s = await self.instance.stop(
            signal.SIGTERM, 2 * processes.GRACE_S
        )

    def close(self):
        self.proxy.close()
        self.server.stop()
        self.net.close()


def _run(context, work):
    return context.loop.run_until_complete(work)


def _end(context):
    stop = context.stop
    if stop.instance.running:
        _run(context, stop.instance.stop(signal.SIGKILL, processes.GRACE_S))
    stop.close()
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    _run(context, asyncio.sleep(0))
    context.loop.close()


@behave.given('a graceful stop of the real program as the only instance')
def step_start(context):
    context.loop = asyncio.new_event_loop()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.stop = _Stop(pathlib.Path(folder.name))
    _run(context, context.stop.start())
    context.add_cleanup(_end, context)


@behave.given('the graceful stop meets a calm instance')
def step_calm(context):
    pass


@behave.given('the graceful stop meets requests while the store is silent')
def step_silent(context):
    _run(context, _send_to_silent(context.stop))


async def _send_to_silent(stop):
    stop.proxy.fault = proxy.Fault.SILENT
    for number in range(1, _REQUESTS + 1):
        work = stop.exchange(stop.post(number))
        stop.responses.append(asyncio.ensure_future(work))
    await asyncio.sleep(_READ_S)


@behave.given('the graceful stop meets a request whose body does not end')
def step_half(context):
    stop = context.stop
    context.conns = [_run(context, stop.connect(stop.head(1, 100) + b'{'))]
    _run(context, asyncio.sleep(_READ_S))


@behave.when('the graceful stop begins')
def step_stop(context):
    _run(context, context.stop.stop())


@behave.then('the graceful stop ends by itself within the grace time')
def step_ended(context):
    stop = context.stop
    assert stop.took_s < processes.GRACE_S, stop.took_s
    assert stop.instance.exit_status == 0, stop.instance.exit_status
    assert not stop.instance.program_faults()


@behave.then('the graceful stop has answered each complete request')
def step_answered(context):
    async def gather():
        return await asyncio.gather(*context.stop.responses)

    for line in _run(context, gather()):
        assert line.startswith(b'HTTP/1.1 '), line
