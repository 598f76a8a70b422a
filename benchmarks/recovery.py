"""Measures recovery and the replicated state; prints JSON lines.

Times without an owner are simulated with a fake clock and the daemon's
default settings. All other times are measured in real time on this machine.
"""

import argparse
import asyncio
import json
import random
import statistics
import time
import timeit
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import follower
from amaranthflow import ids
from amaranthflow import journal
from amaranthflow import snapshots
from amaranthflow import state as state_lib
from amaranthflow_daemon import settings
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import clock as fake_clock
from amaranthflow_standins import core_fleet
from amaranthflow_standins import log as log_lib

_RACK = ids.RackId('r1')
_START_MS = 1_700_000_000_000
_LOG_LATENCY_S = 0.005
_NETWORK_DELAY_S = 0.001
_DETECTION_DELAY_S = 0.1
_SAMPLE_INTERVAL_S = 0.05
_LIST_DELAY_S = 10.0
_CHANGE_COUNT = 30
_RECORDS_PER_BATCH = 100
_MEMBER = ids.Member(ids.InstanceId('i1'), ids.Incarnation(1))
_RECORDS_PER_KIND = 20_000
_PAGE_KB = 4


def _print(name: str, **figures) -> None:
    rounded = {
        key: round(value, 3) if isinstance(value, float) else value
        for key, value in figures.items()
    }
    print(json.dumps({'measure': name, **rounded}), flush=True)


def _default_setting(name: str) -> float:
    return settings.Settings.__dataclass_fields__[name].default


def _start_fleet(size: int) -> core_fleet.CoreFleet:
    times = core_fleet.FleetTimes(
        fence_s=_default_setting('fence_s'),
        task_lease_s=_default_setting('task_lease_s'),
        margin_s=_default_setting('clock_margin_s'),
    )
    fleet = core_fleet.CoreFleet(
        size=size, times=times, latency_s=_LOG_LATENCY_S
    )
    fleet.start_all()
    fleet.spawn(fleet.processes['i1'], fleet.processes['i1'].claim(_RACK))
    fleet.run_for(1)
    return fleet


def _claim(fleet: core_fleet.CoreFleet, name: str) -> None:
    process = fleet.processes[ids.InstanceId(name)]
    fleet.spawn(process, process.claim(_RACK))


def _time_until_serving(fleet: core_fleet.CoreFleet, owner: str) -> float:
    started_at = fleet.clock.monotonic()
    while [m.instance for m in fleet.admitting(_RACK)] != [owner]:
        fleet.run_for(_SAMPLE_INTERVAL_S)
    return fleet.clock.monotonic() - started_at


def _wait_for_suspicion(fleet: core_fleet.CoreFleet) -> float:
    """Runs the fake clock until a dead member is suspected; returns the s."""
    suspicion_s = _default_setting('suspect_s') + _DETECTION_DELAY_S
    fleet.run_for(suspicion_s)
    return suspicion_s


def _owner_dies(size: int) -> float:
    fleet = _start_fleet(size)
    fleet.kill(ids.InstanceId('i1'))
    suspicion_s = _wait_for_suspicion(fleet)
    _claim(fleet, 'i2')
    spent_s = suspicion_s + _time_until_serving(fleet, 'i2')
    fleet.close()
    return spent_s


def _successor_dies(size: int) -> float:
    fleet = _start_fleet(size)
    fleet.kill(ids.InstanceId('i1'))
    suspicion_s = _wait_for_suspicion(fleet)
    _claim(fleet, 'i2')
    fleet.run_for(3)
    fleet.kill(ids.InstanceId('i2'))
    suspicion_s += 3 + _wait_for_suspicion(fleet)
    _claim(fleet, 'i3')
    spent_s = suspicion_s + _time_until_serving(fleet, 'i3')
    fleet.close()
    return spent_s


def _majority_dies(size: int) -> float:
    fleet = _start_fleet(size)
    dead = fleet.instance_ids[: size // 2 + 1]
    for instance_id in dead:
        fleet.kill(instance_id)
    suspicion_s = _wait_for_suspicion(fleet)
    last = fleet.instance_ids[-1]
    _claim(fleet, last)
    fleet.run_for(_LIST_DELAY_S - suspicion_s)
    for instance_id in dead:
        fleet.drop_from_list(fleet.processes[instance_id].member)
    spent_s = _LIST_DELAY_S + _time_until_serving(fleet, last)
    fleet.close()
    return spent_s


def _owner_releases(size: int) -> float:
    fleet = _start_fleet(size)
    owner = fleet.processes[ids.InstanceId('i1')]
    fleet.spawn(owner, owner.release(_RACK))
    started_at = fleet.clock.monotonic()
    while not owner.state.racks.holdings[_RACK].released:
        fleet.run_for(_SAMPLE_INTERVAL_S)
    _claim(fleet, 'i2')
    _time_until_serving(fleet, 'i2')
    spent_s = fleet.clock.monotonic() - started_at
    fleet.close()
    return spent_s


def measure_ownerless() -> None:
    """Measures the time in which no member admits work to a rack."""
    cases = {
        'owner dies': _owner_dies,
        'owner and its successor die': _successor_dies,
        'majority dies, list 10 s late': _majority_dies,
        'owner releases': _owner_releases,
    }
    for name, case in cases.items():
        _print('without owner', case=name, members=9, seconds=case(9))


class _RemoteLog:
    """Adds the network delay to each request and reply of a log."""

    def __init__(self, log: log_lib.LogStandin):
        self._log = log

    async def append(self, data: bytes) -> ids.Offset:
        await asyncio.sleep(_NETWORK_DELAY_S)
        offset = await self._log.append(data)
        await asyncio.sleep(_NETWORK_DELAY_S)
        return offset

    async def read(self, start: ids.Offset, wait_s: float):
        await asyncio.sleep(_NETWORK_DELAY_S)
        page = await self._log.read(start, wait_s)
        await asyncio.sleep(_NETWORK_DELAY_S)
        return page

    async def first_offset(self) -> ids.Offset:
        await asyncio.sleep(_NETWORK_DELAY_S)
        return await self._log.first_offset()


class _Replica:
    """State, follower and journal of one member."""

    def __init__(self, *, log, clock, member, interval_s: float):
        self.state = state_lib.State()
        self._applied = asyncio.Event()
        self._clock = clock
        self.journal = journal.Journal(
            log=log,
            clock=clock,
            member=member,
            batch_delay_s=_default_setting('batch_delay_ms') / 1000,
            min_interval_s=lambda: interval_s,
            rng=random.Random(1),
        )
        self.follower = follower.Follower(
            log=log, clock=clock, state=self.state, listener=self
        )

    def on_applied(self, applied: state_lib.Applied) -> None:
        self.journal.note_applied(applied)
        self._applied.set()

    def on_loaded(self) -> None:
        self.journal.note_position(self.state)

    def on_confirmed(self, asked_at: float) -> None:
        pass

    def on_invalid(self, exc: Exception) -> None:
        raise exc

    async def wait_for_version(self, version: int) -> None:
        """Returns once a version of worker w1 is in force on this member."""
        while not self._has_version(version):
            self._applied.clear()
            await self._applied.wait()

    def _has_version(self, version: int) -> bool:
        now_ms = self.state.now_ms(self._clock.wall_ms())
        found = self.state.config.in_force('worker/w1', now_ms)
        return found is not None and found.version >= version

    def start(self) -> list[asyncio.Task]:
        coroutines = (self.follower.run(), self.journal.run())
        return [asyncio.ensure_future(coroutine) for coroutine in coroutines]


def _replicas(log, clock, count: int) -> list[_Replica]:
    interval_s = count / _default_setting('log_appends_per_s')
    return [
        _Replica(
            log=log,
            clock=clock,
            member=ids.Member(ids.InstanceId(f'i{n}'), ids.Incarnation(1)),
            interval_s=interval_s,
        )
        for n in range(count)
    ]


def _worker_change(number: int, version: int) -> world_pb2.Change:
    change = world_pb2.Change(
        change_id=f'c{number}-{version}',
        key=f'worker/w{number}',
        expected_version=version,
    )
    change.worker.CopyFrom(
        world_pb2.Worker(
            worker_id=f'w{number}',
            address=f'127.0.0.1:{number + 1}',
            rack_id=f'r{number // 8}',
            zone_id='z1',
            slots=8,
            connections=60,
            capacity=world_pb2.Size(cores=32, memory_mb=125_000),
        )
    )
    return change


async def _measure_propagation(count: int) -> list[float]:
    clock = clock_lib.SystemClock()
    log = log_lib.LogStandin(
        clock=clock, rng=random.Random(1), latency_s=_LOG_LATENCY_S
    )
    replicas = _replicas(_RemoteLog(log), clock, count)
    tasks = [task for replica in replicas for task in replica.start()]
    times = []
    for version in range(_CHANGE_COUNT):
        await asyncio.sleep(0.05)
        record = records_pb2.Record(change=_worker_change(1, version))
        started_at = time.perf_counter()
        writer = replicas[version % count].journal
        asyncio.ensure_future(writer.write(record, 5))
        for replica in replicas:
            await replica.wait_for_version(version + 1)
        times.append(time.perf_counter() - started_at)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return times


def measure_change() -> None:
    """Measures the time until a change is in force on all members."""
    for count in (3, 9, 30):
        times = asyncio.run(_measure_propagation(count))
        _print(
            'change in force everywhere',
            members=count,
            median_ms=statistics.median(times) * 1000,
            max_ms=max(times) * 1000,
        )


class _Writer:
    """Encodes batches of one writer and applies them to a state."""

    def __init__(self):
        self.state = state_lib.State()
        self.now_ms = _START_MS
        self._sequence = 0

    def encode(self, records: t.Sequence[records_pb2.Record]) -> list[bytes]:
        """Serializes records into batches, as the log stores them."""
        batches = []
        for start in range(0, len(records), _RECORDS_PER_BATCH):
            self._sequence += 1
            batch = records_pb2.Batch(
                writer=_MEMBER.instance,
                incarnation=_MEMBER.incarnation,
                sequence=self._sequence,
                written_at_ms=self.now_ms,
                records=records[start : start + _RECORDS_PER_BATCH],
            )
            batches.append(batch.SerializeToString())
        return batches

    def apply(self, records: t.Sequence[records_pb2.Record]) -> float:
        """Applies records; returns the time in s, without encoding."""
        batches = self.encode(records)
        started_at = time.perf_counter()
        results = [
            result
            for data in batches
            for result in self.state.apply(
                self.state.next_offset, data
            ).results
        ]
        spent_s = time.perf_counter() - started_at
        refused = [r.reason for r in results if not r.accepted]
        assert not refused, refused[0]
        return spent_s


def _claim_rack(writer: _Writer) -> None:
    joined = records_pb2.MemberJoined(
        instance_id=_MEMBER.instance, incarnation=_MEMBER.incarnation
    )
    claimed = records_pb2.RackClaimed(rack_id=_RACK)
    writer.apply(
        [
            records_pb2.Record(member_joined=joined),
            records_pb2.Record(rack_claimed=claimed),
        ]
    )


def _job_submitted(number: int) -> records_pb2.Record:
    job = world_pb2.Job(
        job_id=f'job-{number:08}',
        tenant_id=f'tenant-{number % 46}',
        task_class='sorting',
        declared=world_pb2.Size(cores=2, memory_mb=4000),
        declared_run_ms=600_000,
        idempotent=True,
        payload=b'x' * 100,
    )
    return records_pb2.Record(job_submitted=records_pb2.JobSubmitted(job=job))


def _job_key(number: int) -> str:
    return f'tenant-{number % 46}/job-{number:08}'


def _attempt_started(number: int, attempt: int = 1) -> records_pb2.Record:
    return records_pb2.Record(
        attempt_started=records_pb2.AttemptStarted(
            job_id=_job_key(number),
            attempt=attempt,
            worker_id=f'w{number % 9900}',
            rack_id=_RACK,
            rack_epoch=1,
        )
    )


def _attempt_checkpointed(number: int) -> records_pb2.Record:
    return records_pb2.Record(
        attempt_checkpointed=records_pb2.AttemptCheckpointed(
            job_id=_job_key(number), attempt=1, checkpoint='cp-1', rack_epoch=1
        )
    )


def _attempt_ended(number: int) -> records_pb2.Record:
    return records_pb2.Record(
        attempt_ended=records_pb2.AttemptEnded(
            job_id=_job_key(number),
            attempt=1,
            outcome=records_pb2.OUTCOME_COMPLETED,
            rack_epoch=1,
        )
    )


def _request_claimed(number: int) -> records_pb2.Record:
    return records_pb2.Record(
        request_claimed=records_pb2.RequestClaimed(
            tenant_id=f'tenant-{number % 46}', request_id=f'req-{number:010}'
        )
    )


def _request_released(number: int) -> records_pb2.Record:
    claimed = _request_claimed(number).request_claimed
    return records_pb2.Record(
        request_released=records_pb2.RequestReleased(
            tenant_id=claimed.tenant_id, request_id=claimed.request_id
        )
    )


def measure_apply() -> None:
    """Measures the time in us to apply a record of each kind."""
    writer = _Writer()
    _claim_rack(writer)
    record_makers = {
        'job submitted': _job_submitted,
        'attempt started': _attempt_started,
        'attempt checkpointed': _attempt_checkpointed,
        'attempt ended': _attempt_ended,
        'request claimed': _request_claimed,
        'request released': _request_released,
    }
    for name, make_record in record_makers.items():
        records = [make_record(number) for number in range(_RECORDS_PER_KIND)]
        spent_s = writer.apply(records)
        _print('apply', kind=name, us=spent_s / _RECORDS_PER_KIND * 1e6)


def measure_configuration() -> None:
    """Measures changes with 9,900 workers and 9,900 booked changes."""
    writer = _Writer()
    workers = [_worker_change(n, 0) for n in range(9_900)]
    spent_s = writer.apply([records_pb2.Record(change=c) for c in workers])
    _print('change', case='worker added', us=spent_s / 9_900 * 1e6)
    booked_changes = [_worker_change(n, 1) for n in range(9_900)]
    for number, change in enumerate(booked_changes):
        change.effective_at_ms = _START_MS + 100_000 + number * 60_000
        change.worker.capacity.cores = 30
    spent_s = writer.apply(
        [records_pb2.Record(change=c) for c in booked_changes]
    )
    _print('change', case='booking, up to 9,900', us=spent_s / 9_900 * 1e6)
    tenant = world_pb2.Change(change_id='t', key='tenant/a')
    tenant.tenant.tenant_id = 'a'
    tenant.tenant.weight = 1
    tenant.tenant.guarantee.cores = 1000
    config = writer.state.config
    us = timeit.timeit(lambda: config.check(tenant, _START_MS), number=20)
    _print('change', case='check with 9,900 bookings', us=us / 20 * 1e6)
    us = timeit.timeit(lambda: config.bodies('worker', _START_MS), number=5)
    _print('change', case='list 9,900 workers', us=us / 5 * 1e6)


def measure_replay() -> None:
    """Measures replay and snapshots for three numbers of live jobs."""
    for count in (10_000, 50_000, 200_000):
        writer = _Writer()
        _claim_rack(writer)
        replay_s = writer.apply([_job_submitted(n) for n in range(count)])
        replay_s += writer.apply([_attempt_started(n) for n in range(count)])
        started_at = time.perf_counter()
        chunks = snapshots.chunks(writer.state, _MEMBER)
        write_s = time.perf_counter() - started_at
        size = sum(len(c.snapshot_chunk.data) for c in chunks)
        load_s = _load_snapshot(chunks)
        ten_thousands = count / 10_000
        _print(
            'live jobs',
            jobs=count,
            replay_ms_per_10k=replay_s / ten_thousands * 1000,
            snapshot_ms_per_10k=write_s / ten_thousands * 1000,
            load_ms_per_10k=load_s / ten_thousands * 1000,
            snapshot_kb_per_10k=size / ten_thousands / 1000,
            appends=len(chunks),
        )


def _load_snapshot(chunks: t.Sequence[records_pb2.Record]) -> float:
    started_at = time.perf_counter()
    assembler = snapshots.ChunkAssembler()
    for chunk in chunks:
        snapshot = assembler.add(chunk.snapshot_chunk)
    state_lib.State().load(snapshot)
    return time.perf_counter() - started_at


def measure_admission() -> None:
    """Measures the check before each task start, with nine members."""
    fleet = _start_fleet(9)
    ownership = fleet.processes[ids.InstanceId('i1')].ownership
    checks = 100_000
    spent_s = timeit.timeit(lambda: ownership.admits(_RACK), number=checks)
    _print('admission', proof='log', us=spent_s / checks * 1e6)
    fleet.log.set_faults(down=True)
    fleet.run_for(4)
    assert ownership.admits(_RACK)
    spent_s = timeit.timeit(lambda: ownership.admits(_RACK), number=checks)
    _print('admission', proof='majority', us=spent_s / checks * 1e6)
    fleet.close()


async def _count_appends(starts_per_s: int, seconds: int) -> int:
    """Returns the appends of task starts, with two records for each start.

    The records are distributed over nine members.
    """
    clock = fake_clock.FakeClock(settle_turns=12)
    log = log_lib.LogStandin(
        clock=clock, rng=random.Random(1), latency_s=_LOG_LATENCY_S
    )
    replicas = _replicas(log, clock, 9)
    tasks = [task for replica in replicas for task in replica.start()]
    await clock.run_for(1)
    before = log.append_count
    writes = []
    for number in range(starts_per_s * seconds // 10):
        for index in range(20):
            record = _request_claimed(number * 20 + index)
            writer = replicas[number % 9].journal
            writes.append(asyncio.ensure_future(writer.write(record, 60)))
        await clock.run_for(10 / starts_per_s)
    appends = log.append_count - before
    await clock.run_for(2)
    assert all(w.done() and w.result().accepted for w in writes)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return appends


def measure_appends() -> None:
    """Measures the appends per second that task starts and ends cause."""
    seconds = 5
    for starts_per_s in (100, 1000, 4100):
        appends = asyncio.run(_count_appends(starts_per_s, seconds))
        _print(
            'appends',
            starts_per_s=starts_per_s,
            appends_per_s=appends / seconds,
            per_1000_starts=appends / seconds / starts_per_s * 1000,
        )


def _resident_mb() -> float:
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * _PAGE_KB / 1024


def measure_memory() -> None:
    """Measures memory over ten simulated hours.

    A million requests and 100,000 jobs pass through the state.
    """
    writer = _Writer()
    _claim_rack(writer)
    for step in range(100):
        writer.now_ms += 360_000
        first = step * 10_000
        writer.apply([_request_claimed(first + n) for n in range(10_000)])
        numbers = range(step * 1000, step * 1000 + 1000)
        for make_record in (_job_submitted, _attempt_started, _attempt_ended):
            writer.apply([make_record(number) for number in numbers])
        if step % 20 == 19:
            _print(
                'memory',
                requests=first + 10_000,
                claims_kept=len(writer.state.claims),
                jobs_kept=len(writer.state.jobs.jobs),
                resident_mb=_resident_mb(),
            )


_MEASUREMENTS = {
    'ownerless': measure_ownerless,
    'change': measure_change,
    'apply': measure_apply,
    'configuration': measure_configuration,
    'replay': measure_replay,
    'admission': measure_admission,
    'appends': measure_appends,
    'memory': measure_memory,
}


def main() -> None:
    """Runs all measurements, or those named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', choices=[[], *_MEASUREMENTS])
    names = parser.parse_args().names or list(_MEASUREMENTS)
    for name in names:
        _MEASUREMENTS[name]()


if __name__ == '__main__':
    main()
