"""Slopes of state, messages, processor time and memory, as lines of JSON.

Each line gives the sizes, what was measured at each, and the straight line
fitted to them. ``docs/CAPACITY.md`` carries the slopes to the target size.
"""

import asyncio
import base64
import contextlib
import gc
import json
import pathlib
import random
import sys
import tempfile
import time
import tracemalloc
import typing as t

import aiohttp
import grpc.aio

from amaranthflow import decisions
from amaranthflow import ids
from amaranthflow import latency
from amaranthflow import state as state_lib
from amaranthflow_daemon import peer_channel
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import peer_pb2_grpc
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import process_fleet as fleet_lib
from amaranthflow_standins import standin_process

_HEARTBEATS = (200, 800, 3_200)
_JOBS = (2_000, 8_000, 32_000)
_KEYS = (500, 2_000, 8_000)
_CLAIMS = (5_000, 20_000, 80_000)
_HISTOGRAMS = (8, 32, 92)
_DECISIONS = (1_000, 2_000, 4_000)
_WORKERS = (6, 24, 96)
_INSTANCES = (3, 6, 12)
_RATES = (20, 60, 120)
_BATCH_TASKS = (24, 72, 168)
_MEASURE_S = 6.0
_SETTLE_S = 4.0
_TENANTS = 46
_SLOTS = 8
_US_PER_S = 1_000_000
_TICKS_PER_S = 100

Measure = t.Callable[[int], float]


def _fit(sizes: t.Sequence[int], values: t.Sequence[float]) -> dict:
    """Fits a straight line by least squares."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    offset = mean_y - slope * mean_x
    pairs = zip(sizes, values, strict=True)
    residual = sum((y - offset - slope * x) ** 2 for x, y in pairs)
    total = sum((y - mean_y) ** 2 for y in values)
    fit = 1.0 - residual / total if total else 1.0
    return {'slope': slope, 'offset': offset, 'r2': round(fit, 4)}


def _report(
    name: str, unit: str, sizes: t.Sequence[int], values: list[float]
) -> None:
    line = {
        'benchmark': f'capacity/{name}',
        'unit': unit,
        'sizes': list(sizes),
        'values': [round(v, 3) for v in values],
        **_fit(sizes, values),
    }
    print(json.dumps(line), flush=True)


def _memory_bytes(build: t.Callable[[], object]) -> float:
    """Returns the memory that an object keeps."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _job(index: int) -> world_pb2.Job:
    return world_pb2.Job(
        job_id=f'job-{index:08d}',
        tenant_id=f'tenant-{index % _TENANTS}',
        task_class=f'class-{index % 5}',
        declared=world_pb2.Size(cores=1, memory_mb=2000),
        declared_run_ms=60_000,
        idempotent=True,
        payload=b'x' * 100,
    )


class _Writer:
    """Makes batches of one member, with the state that they lead to."""

    def __init__(self):
        self.state = state_lib.State()
        self.bytes = 0
        self._sequence = 0
        joined = records_pb2.MemberJoined(
            instance_id='i', incarnation=1, peer_address='127.0.0.1:1'
        )
        claimed = records_pb2.RackClaimed(
            rack_id='r', instance_id='i', incarnation=1
        )
        self.apply(records_pb2.Record(member_joined=joined))
        self.apply(records_pb2.Record(rack_claimed=claimed))

    def apply(self, *records: records_pb2.Record) -> None:
        """Applies one batch; refusals end the benchmark."""
        self._sequence += 1
        batch = records_pb2.Batch(
            writer='i',
            incarnation=1,
            sequence=self._sequence,
            written_at_ms=1_700_000_000_000,
            records=records,
        )
        data = batch.SerializeToString()
        self.bytes += len(data)
        applied = self.state.apply(self.state.next_offset, data)
        for result in applied.results:
            if not result.accepted:
                raise RuntimeError(result.reason)


def _submitted(index: int) -> records_pb2.Record:
    submitted = records_pb2.JobSubmitted(job=_job(index))
    return records_pb2.Record(job_submitted=submitted)


def _job_id(index: int) -> str:
    return f'tenant-{index % _TENANTS}/job-{index:08d}'


def _started(index: int) -> records_pb2.Record:
    started = records_pb2.AttemptStarted(
        job_id=_job_id(index),
        attempt=1,
        worker_id=f'worker-{index % 100}',
        rack_id='r',
        rack_epoch=1,
    )
    return records_pb2.Record(attempt_started=started)


def _ended(index: int) -> records_pb2.Record:
    ended = records_pb2.AttemptEnded(
        job_id=_job_id(index),
        attempt=1,
        outcome=records_pb2.OUTCOME_COMPLETED,
        rack_epoch=1,
        result=b'x' * 40,
    )
    return records_pb2.Record(attempt_ended=ended)


def _running_state(count: int) -> _Writer:
    writer = _Writer()
    for index in range(count):
        writer.apply(_submitted(index))
        writer.apply(_started(index))
    return writer


def _worker_change(index: int) -> records_pb2.Record:
    worker = world_pb2.Worker(
        worker_id=f'worker-{index}',
        address=f'127.0.{index // 250}.{index % 250 + 1}:9000',
        rack_id=f'rack-{index // 8}',
        zone_id='zone',
        capacity=world_pb2.Size(cores=32, memory_mb=125_000),
        slots=_SLOTS,
        connections=60,
    )
    change = world_pb2.Change(
        change_id=f'change-{index}',
        key=f'worker/worker-{index}',
        worker=worker,
    )
    return records_pb2.Record(change=change)


def _configured(count: int) -> _Writer:
    writer = _Writer()
    for index in range(count):
        writer.apply(_worker_change(index))
    return writer


def _claimed(count: int) -> _Writer:
    writer = _Writer()
    for index in range(count):
        claimed = records_pb2.RequestClaimed(
            tenant_id=f'tenant-{index % _TENANTS}',
            request_id=f'request-{index:012d}',
        )
        writer.apply(records_pb2.Record(request_claimed=claimed))
    return writer


def _book(count: int) -> latency.LatencyHistograms:
    book = latency.LatencyHistograms()
    for index in range(count):
        tenant_id = ids.TenantId(f'tenant-{index}')
        book.record(tenant_id, ids.TaskClass('class'), 1000.0)
    return book


def _decided(count: int) -> decisions.DecisionLog:
    log = decisions.DecisionLog()
    for index in range(count):
        log.add(
            f'job-{index}',
            ids.TenantId(f'tenant-{index % _TENANTS}'),
            decisions.DecisionKind.PLACED,
            f'slows latency-critical neighbours least, to 1.{index}',
            index,
        )
    return log


def _measure_state() -> None:
    """Memory of each table, and time and bytes of the records behind it."""
    tables: tuple[tuple[str, t.Sequence[int], t.Callable], ...] = (
        ('memory of running jobs', _JOBS, _running_state),
        ('memory of configuration keys', _KEYS, _configured),
        ('memory of request claims', _CLAIMS, _claimed),
        ('memory of histograms', _HISTOGRAMS, _book),
        ('memory of decisions', _DECISIONS, _decided),
    )
    for name, sizes, build in tables:
        values = [_memory_bytes(lambda b=build, n=n: b(n)) for n in sizes]
        _report(name, 'bytes', sizes, values)


def _timed(work: t.Callable[[], object]) -> float:
    started = time.process_time()
    work()
    return time.process_time() - started


def _life_us(count: int) -> float:
    """Time to apply submission, start and end of each of a number of jobs."""
    writer = _Writer()

    def work() -> None:
        for record in (_submitted, _started, _ended):
            for index in range(count):
                writer.apply(record(index))

    return _timed(work) * _US_PER_S


def _life_bytes(count: int) -> float:
    writer = _running_state(count)
    for index in range(count):
        writer.apply(_ended(index))
    return writer.bytes


def _snapshot_bytes(count: int) -> float:
    snapshot = _running_state(count).state.snapshot()
    return len(snapshot.SerializeToString())


def _snapshot_us(count: int) -> float:
    state = _running_state(count).state
    return _timed(lambda: state.snapshot().SerializeToString()) * _US_PER_S


def _change_us(count: int) -> float:
    return _timed(lambda: _configured(count)) * _US_PER_S


def _heartbeat_us(count: int) -> float:
    """Time to make, encode and decode a number of heartbeats."""
    beat = peer_pb2.HeartbeatRequest(
        instance_id='instance-1', incarnation=1_700_000_000_000
    )

    def work() -> None:
        for index in range(count):
            beat.view_offset = index
            peer_pb2.HeartbeatRequest.FromString(beat.SerializeToString())

    return _timed(work) * _US_PER_S


def _measure_records() -> None:
    measures: tuple[tuple[str, str, t.Sequence[int], Measure], ...] = (
        ('time of a job: submit, start, end', 'us', _JOBS, _life_us),
        (
            'log bytes of a job: submit, start, end',
            'bytes',
            _JOBS,
            _life_bytes,
        ),
        (
            'bytes of a snapshot of running jobs',
            'bytes',
            _JOBS,
            _snapshot_bytes,
        ),
        ('time of a snapshot of running jobs', 'us', _JOBS, _snapshot_us),
        ('time of a configuration change', 'us', _KEYS, _change_us),
        ('time of heartbeat messages', 'us', _JOBS, _heartbeat_us),
    )
    for name, unit, sizes, measure in measures:
        _report(name, unit, sizes, [measure(size) for size in sizes])


class _Usage(t.NamedTuple):
    """What a process has used so far."""

    at_s: float
    cpu_s: float
    bytes: int
    resident_mb: float


def _usage(pid: int) -> _Usage:
    """Reads processor time, bytes through file descriptors and memory."""
    proc = pathlib.Path(f'/proc/{pid}')
    fields = (proc / 'stat').read_text().rpartition(')')[2].split()
    counters = dict(
        line.split(': ') for line in (proc / 'io').read_text().splitlines()
    )
    status = (proc / 'status').read_text()
    resident = status.partition('VmRSS:')[2].split()[0]
    return _Usage(
        at_s=time.monotonic(),
        cpu_s=(int(fields[11]) + int(fields[12])) / _TICKS_PER_S,
        bytes=int(counters['rchar']) + int(counters['wchar']),
        resident_mb=int(resident) / 1024,
    )


class _Answering(peer_pb2_grpc.PeerServicer):
    """Answers heartbeats and nothing else."""

    async def Heartbeat(self, request_iterator, context):
        """Answers as a peer with an idle worker does."""
        async for request in request_iterator:
            yield peer_pb2.HeartbeatReply(
                instance_id='instance-2',
                incarnation=1_700_000_000_000,
                view_offset=request.view_offset,
                load=request.load,
            )


class _Relay:
    """Passes TCP on to another port and counts the bytes both ways."""

    def __init__(self, *, port: int):
        self._port = port
        self.bytes = 0

    async def open(self) -> str:
        """Listens; returns the address."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _accept(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )

    async def _copy(self, reader, writer) -> None:
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


async def _exchange_heartbeats(count: int) -> tuple[float, float]:
    """Returns bytes and processor time in us of a number of exchanges.

    Both ends and the relay run in this process.
    """
    server = grpc.aio.server()
    peer_pb2_grpc.add_PeerServicer_to_server(_Answering(), server)
    relay = _Relay(port=server.add_insecure_port('127.0.0.1:0'))
    await server.start()
    channel = peer_channel.GrpcChannel(address=await relay.open())
    req = peer_pb2.HeartbeatRequest(
        instance_id='instance-1',
        incarnation=1_700_000_000_000,
        view_offset=1_000_000,
        load=peer_pb2.LoadSummary(free_slots=100, total_slots=200),
    )
    await channel.heartbeat(req, 5.0)
    relay.bytes = 0
    started = time.process_time()
    for _ in range(count):
        await channel.heartbeat(req, 5.0)
    spent_s = time.process_time() - started
    await channel.close()
    await server.stop(0)
    return relay.bytes, spent_s * _US_PER_S


def _measure_heartbeats() -> None:
    found = [asyncio.run(_exchange_heartbeats(n)) for n in _HEARTBEATS]
    _report(
        'bytes of heartbeat exchanges',
        'bytes',
        _HEARTBEATS,
        [f[0] for f in found],
    )
    _report(
        'time of heartbeat exchanges', 'us', _HEARTBEATS, [f[1] for f in found]
    )


async def _start_fleet(
    fleet: fleet_lib.Fleet, instances: int, workers: int
) -> None:
    await fleet.start_platform(
        standin_process.ProcessSpec(seed=1, platform=True)
    )
    await fleet.start_workers(
        standin_process.ProcessSpec(
            seed=1, worker_ids=[f'w{n}' for n in range(workers)]
        )
    )
    for index in range(instances):
        await fleet.start_instance(
            ids.InstanceId(f'instance-{index}'), ids.ZoneId('zone')
        )
    await _wait_until_ready(fleet)
    for change in _changes(fleet.worker_addresses):
        reason = await fleet.send_change(change)
        if reason:
            raise RuntimeError(reason)
    await asyncio.sleep(_SETTLE_S)


async def _wait_until_ready(fleet: fleet_lib.Fleet) -> None:
    for _ in range(200):
        replies = [await fleet.status(i) for i in fleet.instances.values()]
        if all(reply is not None and reply.ready for reply in replies):
            return
        await asyncio.sleep(0.1)
    raise RuntimeError('the instances do not become ready')


def _changes(addresses: dict[str, str]) -> t.Iterator[world_pb2.Change]:
    for index, (worker_id, address) in enumerate(addresses.items()):
        change = _worker_change(index).change
        change.key = f'worker/{worker_id}'
        change.change_id = f'capacity-{worker_id}'
        change.worker.worker_id = worker_id
        change.worker.address = address
        yield change
    yield world_pb2.Change(
        change_id='capacity-tenant',
        key='tenant/tenant',
        tenant=world_pb2.Tenant(tenant_id='tenant', weight=1),
    )
    yield world_pb2.Change(
        change_id='capacity-service',
        key='service/service',
        service=world_pb2.Service(
            service_id='service',
            tenant_id='tenant',
            size=world_pb2.Size(cores=1, memory_mb=100),
            timeout_ms=2000,
            task_class='class',
        ),
    )


async def _load(addresses: list[str], rate: int, seconds: float) -> int:
    """Sends idempotent calls at a rate; returns how many were answered."""
    answered = 0

    async def call(session: aiohttp.ClientSession, index: int) -> None:
        nonlocal answered
        address = addresses[index % len(addresses)]
        async with session.post(
            f'http://{address}/v1/services/service/call',
            data=b'x' * 500,
            headers={'X-Tenant': 'tenant', 'X-Idempotent': 'true'},
        ) as resp:
            await resp.read()
            answered += resp.status == 200

    async with aiohttp.ClientSession() as session:
        calls = []
        for index in range(int(rate * seconds)):
            calls.append(asyncio.ensure_future(call(session, index)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)
    return answered


async def _submit(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, tasks: int
) -> None:
    """Submits batch jobs that outlast the measurement; waits until all run."""
    instance = next(iter(fleet.instances.values()))
    payload = base64.b64encode(b'{"run_ms": 600000}').decode()
    for index in range(tasks):
        body = {
            'job_id': f'job-{index}',
            'task_class': 'class',
            'cores': 1,
            'memory_mb': 100,
            'idempotent': True,
            'payload': payload,
        }
        async with session.post(
            f'http://{instance.http_address}/v1/jobs',
            json=body,
            headers={'X-Tenant': 'tenant'},
        ) as resp:
            if resp.status != 202:
                raise RuntimeError(await resp.text())
    for _ in range(100):
        status = await fleet.status(instance)
        if status is not None and status.jobs_running == tasks:
            return
        await asyncio.sleep(0.2)
    raise RuntimeError('not all tasks run')


class _Measured(t.NamedTuple):
    """Use of one instance, mean of all."""

    core_percent: float
    bytes_per_s: float
    resident_mb: float


async def _measure_fleet(
    instances: int, workers: int, rate: int = 0, tasks: int = 0
) -> _Measured:
    """Measures the mean use of the instances of a fleet.

    :param rate: requests/s sent to it.
    :param tasks: batch tasks that run on its workers.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with aiohttp.ClientSession() as session:
            fleet = fleet_lib.Fleet(session=session, logs=pathlib.Path(folder))
            try:
                await _start_fleet(fleet, instances, workers)
                await _submit(session, fleet, tasks)
                return await _use(fleet, rate)
            finally:
                await fleet.close()


async def _use(fleet: fleet_lib.Fleet, rate: int) -> _Measured:
    pids = [i.process.pid for i in fleet.instances.values()]
    before = [_usage(pid) for pid in pids]
    if rate:
        addresses = [i.http_address for i in fleet.instances.values()]
        answered = await _load(addresses, rate, _MEASURE_S)
        if answered < rate * _MEASURE_S * 0.99:
            raise RuntimeError(f'only {answered} calls were answered')
    else:
        await asyncio.sleep(_MEASURE_S)
    after = [_usage(pid) for pid in pids]
    pairs = list(zip(before, after, strict=True))
    spent_s = sum(b.at_s - a.at_s for a, b in pairs)
    return _Measured(
        core_percent=100 * sum(b.cpu_s - a.cpu_s for a, b in pairs) / spent_s,
        bytes_per_s=sum(b.bytes - a.bytes for a, b in pairs) / spent_s,
        resident_mb=sum(b.resident_mb for b in after) / len(pids),
    )


async def _measure_processes() -> None:
    """Use of a real daemon against workers owned, peers and requests."""
    measured = [await _measure_fleet(1, n) for n in _WORKERS]
    _report_use('idle instance by workers owned', _WORKERS, measured)
    measured = [await _measure_fleet(n, 6) for n in _INSTANCES]
    _report_use('idle instance by instances', _INSTANCES, measured)
    measured = [await _measure_fleet(1, 24, rate=n) for n in _RATES]
    _report_use('instance by requests/s, own workers', _RATES, measured)
    measured = [await _measure_fleet(1, 24, tasks=n) for n in _BATCH_TASKS]
    _report_use('instance by batch tasks, 24 workers', _BATCH_TASKS, measured)


def _report_use(
    name: str, sizes: t.Sequence[int], measured: list[_Measured]
) -> None:
    _report(
        f'{name}: processor',
        '% of a core',
        sizes,
        [m.core_percent for m in measured],
    )
    _report(
        f'{name}: traffic',
        'bytes/s',
        sizes,
        [m.bytes_per_s for m in measured],
    )
    _report(f'{name}: memory', 'MB', sizes, [m.resident_mb for m in measured])


def main() -> int:
    """Runs all measurements."""
    random.seed(1)
    _measure_state()
    _measure_records()
    _measure_heartbeats()
    asyncio.run(_measure_processes())
    return 0


if __name__ == '__main__':
    sys.exit(main())
