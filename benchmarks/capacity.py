"""Measures how memory, messages and processor time grow with the load.

Prints one JSON line for each measurement: the sizes, the value measured at
each of them and the straight line fitted to the values.
``docs/CAPACITY.md`` extrapolates the slopes to the target size.
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

_HEARTBEAT_COUNTS = (200, 800, 3_200)
_JOB_COUNTS = (2_000, 8_000, 32_000)
_CONFIG_KEY_COUNTS = (500, 2_000, 8_000)
_CLAIM_COUNTS = (5_000, 20_000, 80_000)
_HISTOGRAM_COUNTS = (8, 32, 92)
_DECISION_COUNTS = (1_000, 2_000, 4_000)
_WORKER_COUNTS = (6, 24, 96)
_INSTANCE_COUNTS = (3, 6, 12)
_REQUEST_RATES_PER_S = (20, 60, 120)
_BATCH_TASK_COUNTS = (24, 72, 168)
_MEASURE_S = 6.0
_SETTLE_S = 4.0
_TENANT_COUNT = 46
_SLOTS_PER_WORKER = 8
_US_PER_S = 1_000_000
_CLOCK_TICKS_PER_S = 100

Measure = t.Callable[[int], float]


def _fit(sizes: t.Sequence[int], values: t.Sequence[float]) -> dict:
    """Fits a straight line by least squares.

    The result holds its slope, offset and coefficient of determination (r2).
    """
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    squared_deviations = sum((x - mean_x) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in pairs) / squared_deviations
    )
    offset = mean_y - slope * mean_x
    pairs = zip(sizes, values, strict=True)
    residual = sum((y - offset - slope * x) ** 2 for x, y in pairs)
    total = sum((y - mean_y) ** 2 for y in values)
    r_squared = 1.0 - residual / total if total else 1.0
    return {'slope': slope, 'offset': offset, 'r2': round(r_squared, 4)}


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


def _retained_bytes(build: t.Callable[[], object]) -> float:
    """Returns the memory in bytes that the built object retains."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return after - before


def _job(index: int) -> world_pb2.Job:
    return world_pb2.Job(
        job_id=f'job-{index:08d}',
        tenant_id=f'tenant-{index % _TENANT_COUNT}',
        task_class=f'class-{index % 5}',
        declared=world_pb2.Size(cores=1, memory_mb=2000),
        declared_run_ms=60_000,
        idempotent=True,
        payload=b'x' * 100,
    )


class _Writer:
    """Encodes batches of one member and applies them to a state.

    :ivar bytes: size of all encoded batches.
    """

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
        """Applies the records as one batch.

        :raises RuntimeError: the state refused a record.
        """
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


def _submitted_record(index: int) -> records_pb2.Record:
    submitted = records_pb2.JobSubmitted(job=_job(index))
    return records_pb2.Record(job_submitted=submitted)


def _job_id(index: int) -> str:
    return f'tenant-{index % _TENANT_COUNT}/job-{index:08d}'


def _started_record(index: int) -> records_pb2.Record:
    started = records_pb2.AttemptStarted(
        job_id=_job_id(index),
        attempt=1,
        worker_id=f'worker-{index % 100}',
        rack_id='r',
        rack_epoch=1,
    )
    return records_pb2.Record(attempt_started=started)


def _ended_record(index: int) -> records_pb2.Record:
    ended = records_pb2.AttemptEnded(
        job_id=_job_id(index),
        attempt=1,
        outcome=records_pb2.OUTCOME_COMPLETED,
        rack_epoch=1,
        result=b'x' * 40,
    )
    return records_pb2.Record(attempt_ended=ended)


def _writer_with_running_jobs(count: int) -> _Writer:
    writer = _Writer()
    for index in range(count):
        writer.apply(_submitted_record(index))
        writer.apply(_started_record(index))
    return writer


def _worker_change(index: int) -> records_pb2.Record:
    worker = world_pb2.Worker(
        worker_id=f'worker-{index}',
        address=f'127.0.{index // 250}.{index % 250 + 1}:9000',
        rack_id=f'rack-{index // 8}',
        zone_id='zone',
        capacity=world_pb2.Size(cores=32, memory_mb=125_000),
        slots=_SLOTS_PER_WORKER,
        connections=60,
    )
    change = world_pb2.Change(
        change_id=f'change-{index}',
        key=f'worker/worker-{index}',
        worker=worker,
    )
    return records_pb2.Record(change=change)


def _writer_with_workers(count: int) -> _Writer:
    writer = _Writer()
    for index in range(count):
        writer.apply(_worker_change(index))
    return writer


def _writer_with_claims(count: int) -> _Writer:
    writer = _Writer()
    for index in range(count):
        claimed = records_pb2.RequestClaimed(
            tenant_id=f'tenant-{index % _TENANT_COUNT}',
            request_id=f'request-{index:012d}',
        )
        writer.apply(records_pb2.Record(request_claimed=claimed))
    return writer


def _latency_histograms(count: int) -> latency.LatencyHistograms:
    histograms = latency.LatencyHistograms()
    for index in range(count):
        tenant_id = ids.TenantId(f'tenant-{index}')
        histograms.record(tenant_id, ids.TaskClass('class'), 1000.0)
    return histograms


def _decision_log(count: int) -> decisions.DecisionLog:
    log = decisions.DecisionLog()
    for index in range(count):
        log.add(
            f'job-{index}',
            ids.TenantId(f'tenant-{index % _TENANT_COUNT}'),
            decisions.DecisionKind.PLACED,
            f'slows latency-critical neighbours least, to 1.{index}',
            index,
        )
    return log


def _measure_state() -> None:
    """Measures the memory of each table of the state."""
    tables: tuple[tuple[str, t.Sequence[int], t.Callable], ...] = (
        ('memory of running jobs', _JOB_COUNTS, _writer_with_running_jobs),
        (
            'memory of configuration keys',
            _CONFIG_KEY_COUNTS,
            _writer_with_workers,
        ),
        ('memory of request claims', _CLAIM_COUNTS, _writer_with_claims),
        ('memory of histograms', _HISTOGRAM_COUNTS, _latency_histograms),
        ('memory of decisions', _DECISION_COUNTS, _decision_log),
    )
    for name, sizes, build in tables:
        values = [_retained_bytes(lambda b=build, n=n: b(n)) for n in sizes]
        _report(name, 'bytes', sizes, values)


def _cpu_seconds(work: t.Callable[[], object]) -> float:
    """Runs the work; returns the processor time of this process in s."""
    started = time.process_time()
    work()
    return time.process_time() - started


def _job_lifecycle_us(count: int) -> float:
    """Returns the time in us to apply submission, start and end of jobs."""
    writer = _Writer()

    def work() -> None:
        for record in (_submitted_record, _started_record, _ended_record):
            for index in range(count):
                writer.apply(record(index))

    return _cpu_seconds(work) * _US_PER_S


def _job_lifecycle_bytes(count: int) -> float:
    writer = _writer_with_running_jobs(count)
    for index in range(count):
        writer.apply(_ended_record(index))
    return writer.bytes


def _snapshot_bytes(count: int) -> float:
    snapshot = _writer_with_running_jobs(count).state.snapshot()
    return len(snapshot.SerializeToString())


def _snapshot_us(count: int) -> float:
    state = _writer_with_running_jobs(count).state
    return (
        _cpu_seconds(lambda: state.snapshot().SerializeToString()) * _US_PER_S
    )


def _config_change_us(count: int) -> float:
    return _cpu_seconds(lambda: _writer_with_workers(count)) * _US_PER_S


def _heartbeat_us(count: int) -> float:
    """Returns the time in us to build, encode and decode heartbeats."""
    heartbeat = peer_pb2.HeartbeatRequest(
        instance_id='instance-1', incarnation=1_700_000_000_000
    )

    def work() -> None:
        for index in range(count):
            heartbeat.view_offset = index
            peer_pb2.HeartbeatRequest.FromString(heartbeat.SerializeToString())

    return _cpu_seconds(work) * _US_PER_S


def _measure_records() -> None:
    measures: tuple[tuple[str, str, t.Sequence[int], Measure], ...] = (
        (
            'time of a job: submit, start, end',
            'us',
            _JOB_COUNTS,
            _job_lifecycle_us,
        ),
        (
            'log bytes of a job: submit, start, end',
            'bytes',
            _JOB_COUNTS,
            _job_lifecycle_bytes,
        ),
        (
            'bytes of a snapshot of running jobs',
            'bytes',
            _JOB_COUNTS,
            _snapshot_bytes,
        ),
        (
            'time of a snapshot of running jobs',
            'us',
            _JOB_COUNTS,
            _snapshot_us,
        ),
        (
            'time of a configuration change',
            'us',
            _CONFIG_KEY_COUNTS,
            _config_change_us,
        ),
        ('time of heartbeat messages', 'us', _JOB_COUNTS, _heartbeat_us),
    )
    for name, unit, sizes, measure in measures:
        _report(name, unit, sizes, [measure(size) for size in sizes])


class _ProcessUsage(t.NamedTuple):
    """Resources that a process has used since its start.

    :ivar sampled_at_s: monotonic time of this sample.
    :ivar bytes: bytes read and written through file descriptors.
    """

    sampled_at_s: float
    cpu_s: float
    bytes: int
    resident_mb: float


def _read_usage(pid: int) -> _ProcessUsage:
    """Reads the usage of a process from ``/proc``."""
    proc = pathlib.Path(f'/proc/{pid}')
    fields = (proc / 'stat').read_text().rpartition(')')[2].split()
    counters = dict(
        line.split(': ') for line in (proc / 'io').read_text().splitlines()
    )
    status = (proc / 'status').read_text()
    resident = status.partition('VmRSS:')[2].split()[0]
    return _ProcessUsage(
        sampled_at_s=time.monotonic(),
        cpu_s=(int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S,
        bytes=int(counters['rchar']) + int(counters['wchar']),
        resident_mb=int(resident) / 1024,
    )


class _HeartbeatResponder(peer_pb2_grpc.PeerServicer):
    """Peer service that replies to heartbeats only."""

    async def Heartbeat(self, request_iterator, context):
        """Replies with the view offset and the load of each request."""
        async for request in request_iterator:
            yield peer_pb2.HeartbeatReply(
                instance_id='instance-2',
                incarnation=1_700_000_000_000,
                view_offset=request.view_offset,
                load=request.load,
            )


class _CountingProxy:
    """TCP proxy that counts the bytes forwarded in both directions."""

    def __init__(self, *, port: int):
        self._port = port
        self.bytes = 0

    async def open(self) -> str:
        """Starts to listen; returns the address."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _accept(self, reader, writer) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, upstream_writer),
                self._forward(upstream_reader, writer),
            )

    async def _forward(self, reader, writer) -> None:
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


async def _exchange_heartbeats(count: int) -> tuple[float, float]:
    """Exchanges heartbeats; returns their bytes and processor time in us.

    Client, proxy and server run in this process.
    """
    server = grpc.aio.server()
    peer_pb2_grpc.add_PeerServicer_to_server(_HeartbeatResponder(), server)
    proxy = _CountingProxy(port=server.add_insecure_port('127.0.0.1:0'))
    await server.start()
    channel = peer_channel.GrpcChannel(address=await proxy.open())
    req = peer_pb2.HeartbeatRequest(
        instance_id='instance-1',
        incarnation=1_700_000_000_000,
        view_offset=1_000_000,
        load=peer_pb2.LoadSummary(free_slots=100, total_slots=200),
    )
    await channel.heartbeat(req, 5.0)
    proxy.bytes = 0
    started = time.process_time()
    for _ in range(count):
        await channel.heartbeat(req, 5.0)
    spent_s = time.process_time() - started
    await channel.close()
    await server.stop(0)
    return proxy.bytes, spent_s * _US_PER_S


def _measure_heartbeats() -> None:
    exchanges = [
        asyncio.run(_exchange_heartbeats(n)) for n in _HEARTBEAT_COUNTS
    ]
    _report(
        'bytes of heartbeat exchanges',
        'bytes',
        _HEARTBEAT_COUNTS,
        [f[0] for f in exchanges],
    )
    _report(
        'time of heartbeat exchanges',
        'us',
        _HEARTBEAT_COUNTS,
        [f[1] for f in exchanges],
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
    for change in _config_changes(fleet.worker_addresses):
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
    raise RuntimeError('the instances did not become ready in time')


def _config_changes(addresses: dict[str, str]) -> t.Iterator[world_pb2.Change]:
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


async def _send_calls(addresses: list[str], rate: int, seconds: float) -> int:
    """Sends idempotent calls at a rate per second; returns the successes."""
    succeeded = 0

    async def call(session: aiohttp.ClientSession, index: int) -> None:
        nonlocal succeeded
        address = addresses[index % len(addresses)]
        async with session.post(
            f'http://{address}/v1/services/service/call',
            data=b'x' * 500,
            headers={'X-Tenant': 'tenant', 'X-Idempotent': 'true'},
        ) as resp:
            await resp.read()
            succeeded += resp.status == 200

    async with aiohttp.ClientSession() as session:
        calls = []
        for index in range(int(rate * seconds)):
            calls.append(asyncio.ensure_future(call(session, index)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)
    return succeeded


async def _submit_jobs(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, tasks: int
) -> None:
    """Submits batch jobs that run for ten minutes; waits until all run.

    They are still running when the measurement ends.
    """
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
    raise RuntimeError('not all tasks started in time')


class _MeanUsage(t.NamedTuple):
    """Mean resource usage of the instances of a fleet."""

    core_percent: float
    bytes_per_s: float
    resident_mb: float


async def _measure_fleet(
    instances: int, workers: int, rate: int = 0, tasks: int = 0
) -> _MeanUsage:
    """Measures the mean usage of the instances of a fleet.

    :param rate: requests per second sent to the fleet.
    :param tasks: batch tasks running on its workers.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with aiohttp.ClientSession() as session:
            fleet = fleet_lib.Fleet(session=session, logs=pathlib.Path(folder))
            try:
                await _start_fleet(fleet, instances, workers)
                await _submit_jobs(session, fleet, tasks)
                return await _measure_usage(fleet, rate)
            finally:
                await fleet.close()


async def _measure_usage(fleet: fleet_lib.Fleet, rate: int) -> _MeanUsage:
    pids = [i.process.pid for i in fleet.instances.values()]
    before = [_read_usage(pid) for pid in pids]
    if rate:
        addresses = [i.http_address for i in fleet.instances.values()]
        succeeded = await _send_calls(addresses, rate, _MEASURE_S)
        if succeeded < rate * _MEASURE_S * 0.99:
            raise RuntimeError(f'only {succeeded} calls succeeded')
    else:
        await asyncio.sleep(_MEASURE_S)
    after = [_read_usage(pid) for pid in pids]
    pairs = list(zip(before, after, strict=True))
    spent_s = sum(b.sampled_at_s - a.sampled_at_s for a, b in pairs)
    return _MeanUsage(
        core_percent=100 * sum(b.cpu_s - a.cpu_s for a, b in pairs) / spent_s,
        bytes_per_s=sum(b.bytes - a.bytes for a, b in pairs) / spent_s,
        resident_mb=sum(b.resident_mb for b in after) / len(pids),
    )


async def _measure_instances() -> None:
    """Measures daemon processes by their workers, peers and requests."""
    measured = [await _measure_fleet(1, n) for n in _WORKER_COUNTS]
    _report_usage('idle instance by workers owned', _WORKER_COUNTS, measured)
    measured = [await _measure_fleet(n, 6) for n in _INSTANCE_COUNTS]
    _report_usage('idle instance by instances', _INSTANCE_COUNTS, measured)
    measured = [
        await _measure_fleet(1, 24, rate=n) for n in _REQUEST_RATES_PER_S
    ]
    _report_usage(
        'instance by requests/s, own workers', _REQUEST_RATES_PER_S, measured
    )
    measured = [
        await _measure_fleet(1, 24, tasks=n) for n in _BATCH_TASK_COUNTS
    ]
    _report_usage(
        'instance by batch tasks, 24 workers', _BATCH_TASK_COUNTS, measured
    )


def _report_usage(
    name: str, sizes: t.Sequence[int], measured: list[_MeanUsage]
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
    asyncio.run(_measure_instances())
    return 0


if __name__ == '__main__':
    sys.exit(main())
