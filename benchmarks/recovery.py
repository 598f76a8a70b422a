"""Measures recovery and the replicated state; prints one JSON line each.

Times without an owner come from a fake clock with the daemon's default
settings. All other times are real ones of this machine.
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
_PATH_S = 0.001
_TICK_S = 0.1
_SAMPLE_S = 0.05
_LIST_DELAY_S = 10.0
_CHANGES = 30
_BATCH_RECORDS = 100
_MEMBER = ids.Member(ids.InstanceId('i1'), ids.Incarnation(1))
_KIND_RECORDS = 20_000
_PAGE_KB = 4


def _print(name: str, **figures) -> None:
    rounded = {
        key: round(value, 3) if isinstance(value, float) else value
        for key, value in figures.items()
    }
    print(json.dumps({'measure': name, **rounded}), flush=True)


# Time without an owner.


def _default(name: str) -> float:
    return settings.Settings.__dataclass_fields__[name].default


def _fleet(size: int) -> core_fleet.CoreFleet:
    times = core_fleet.FleetTimes(
        fence_s=_default('fence_s'),
        task_lease_s=_default('task_lease_s'),
        margin_s=_default('clock_margin_s'),
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


def _time_until_served(fleet: core_fleet.CoreFleet, owner: str) -> float:
    started_at = fleet.clock.monotonic()
    while [m.instance for m in fleet.admitting(_RACK)] != [owner]:
        fleet.run_for(_SAMPLE_S)
    return fleet.clock.monotonic() - started_at


def _detect(fleet: core_fleet.CoreFleet) -> float:
    """Lets the time pass in which peers come to suspect a dead member."""
    suspicion_s = _default('suspect_s') + _TICK_S
    fleet.run_for(suspicion_s)
    return suspicion_s


def _owner_dies(size: int) -> float:
    fleet = _fleet(size)
    fleet.kill(ids.InstanceId('i1'))
    suspicion_s = _detect(fleet)
    _claim(fleet, 'i2')
    spent_s = suspicion_s + _time_until_served(fleet, 'i2')
    fleet.close()
    return spent_s


def _successor_dies(size: int) -> float:
    fleet = _fleet(size)
    fleet.kill(ids.InstanceId('i1'))
    suspicion_s = _detect(fleet)
    _claim(fleet, 'i2')
    fleet.run_for(3)
    fleet.kill(ids.InstanceId('i2'))
    suspicion_s += 3 + _detect(fleet)
    _claim(fleet, 'i3')
    spent_s = suspicion_s + _time_until_served(fleet, 'i3')
    fleet.close()
    return spent_s


def _majority_dies(size: int) -> float:
    fleet = _fleet(size)
    dead = fleet.instance_ids[: size // 2 + 1]
    for instance_id in dead:
        fleet.kill(instance_id)
    suspicion_s = _detect(fleet)
    last = fleet.instance_ids[-1]
    _claim(fleet, last)
    fleet.run_for(_LIST_DELAY_S - suspicion_s)
    for instance_id in dead:
        fleet.drop_from_list(fleet.processes[instance_id].member)
    spent_s = _LIST_DELAY_S + _time_until_served(fleet, last)
    fleet.close()
    return spent_s


def _released(size: int) -> float:
    fleet = _fleet(size)
    owner = fleet.processes[ids.InstanceId('i1')]
    fleet.spawn(owner, owner.release(_RACK))
    started_at = fleet.clock.monotonic()
    while not owner.state.racks.holdings[_RACK].released:
        fleet.run_for(_SAMPLE_S)
    _claim(fleet, 'i2')
    _time_until_served(fleet, 'i2')
    spent_s = fleet.clock.monotonic() - started_at
    fleet.close()
    return spent_s


def measure_ownerless() -> None:
    """Time in which no member admits work to a rack."""
    cases = {
        'owner dies': _owner_dies,
        'owner and its successor die': _successor_dies,
        'majority dies, list 10 s late': _majority_dies,
        'owner releases': _released,
    }
    for name, case in cases.items():
        _print('without owner', case=name, members=9, seconds=case(9))


# A change of the configuration everywhere.


class _DistantLog:
    """Adds the time of the network to a log."""

    def __init__(self, log: log_lib.LogStandin):
        self._log = log

    async def append(self, data: bytes) -> ids.Offset:
        await asyncio.sleep(_PATH_S)
        offset = await self._log.append(data)
        await asyncio.sleep(_PATH_S)
        return offset

    async def read(self, start: ids.Offset, wait_s: float):
        await asyncio.sleep(_PATH_S)
        page = await self._log.read(start, wait_s)
        await asyncio.sleep(_PATH_S)
        return page

    async def first_offset(self) -> ids.Offset:
        await asyncio.sleep(_PATH_S)
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
            batch_delay_s=_default('batch_delay_ms') / 1000,
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
        """Returns once a version of the worker w1 is in force here."""
        while not self._has_version(version):
            self._applied.clear()
            await self._applied.wait()

    def _has_version(self, version: int) -> bool:
        now_ms = self.state.now_ms(self._clock.wall_ms())
        found = self.state.config.in_force('worker/w1', now_ms)
        return found is not None and found.version >= version

    def start(self) -> list[asyncio.Task]:
        works = (self.follower.run(), self.journal.run())
        return [asyncio.ensure_future(work) for work in works]


def _replicas(log, clock, count: int) -> list[_Replica]:
    interval_s = count / _default('log_appends_per_s')
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


async def _spread(count: int) -> list[float]:
    clock = clock_lib.SystemClock()
    log = log_lib.LogStandin(
        clock=clock, rng=random.Random(1), latency_s=_LOG_LATENCY_S
    )
    replicas = _replicas(_DistantLog(log), clock, count)
    tasks = [task for replica in replicas for task in replica.start()]
    times = []
    for version in range(_CHANGES):
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
    """Time from sending a change until all members have it in force."""
    for count in (3, 9, 30):
        times = asyncio.run(_spread(count))
        _print(
            'change in force everywhere',
            members=count,
            median_ms=statistics.median(times) * 1000,
            max_ms=max(times) * 1000,
        )


# The state by itself.


class _Writer:
    """Applies records to a state in batches of one writer."""

    def __init__(self):
        self.state = state_lib.State()
        self.now_ms = _START_MS
        self._sequence = 0

    def entries(self, records: t.Sequence[records_pb2.Record]) -> list[bytes]:
        """Serializes records as the log would keep them."""
        found = []
        for start in range(0, len(records), _BATCH_RECORDS):
            self._sequence += 1
            batch = records_pb2.Batch(
                writer=_MEMBER.instance,
                incarnation=_MEMBER.incarnation,
                sequence=self._sequence,
                written_at_ms=self.now_ms,
                records=records[start : start + _BATCH_RECORDS],
            )
            found.append(batch.SerializeToString())
        return found

    def apply(self, records: t.Sequence[records_pb2.Record]) -> float:
        """Applies records; returns the seconds that took."""
        entries = self.entries(records)
        started_at = time.perf_counter()
        results = [
            result
            for data in entries
            for result in self.state.apply(
                self.state.next_offset, data
            ).results
        ]
        spent_s = time.perf_counter() - started_at
        refused = [r.reason for r in results if not r.accepted]
        assert not refused, refused[0]
        return spent_s


def _own_rack(writer: _Writer) -> None:
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


def _submitted(number: int) -> records_pb2.Record:
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


def _key(number: int) -> str:
    return f'tenant-{number % 46}/job-{number:08}'


def _started(number: int, attempt: int = 1) -> records_pb2.Record:
    return records_pb2.Record(
        attempt_started=records_pb2.AttemptStarted(
            job_id=_key(number),
            attempt=attempt,
            worker_id=f'w{number % 9900}',
            rack_id=_RACK,
            rack_epoch=1,
        )
    )


def _checkpointed(number: int) -> records_pb2.Record:
    return records_pb2.Record(
        attempt_checkpointed=records_pb2.AttemptCheckpointed(
            job_id=_key(number), attempt=1, checkpoint='cp-1', rack_epoch=1
        )
    )


def _ended(number: int) -> records_pb2.Record:
    return records_pb2.Record(
        attempt_ended=records_pb2.AttemptEnded(
            job_id=_key(number),
            attempt=1,
            outcome=records_pb2.OUTCOME_COMPLETED,
            rack_epoch=1,
        )
    )


def _requested(number: int) -> records_pb2.Record:
    return records_pb2.Record(
        request_claimed=records_pb2.RequestClaimed(
            tenant_id=f'tenant-{number % 46}', request_id=f'req-{number:010}'
        )
    )


def _request_released(number: int) -> records_pb2.Record:
    claimed = _requested(number).request_claimed
    return records_pb2.Record(
        request_released=records_pb2.RequestReleased(
            tenant_id=claimed.tenant_id, request_id=claimed.request_id
        )
    )


def measure_apply() -> None:
    """Microseconds for each record applied, by kind."""
    writer = _Writer()
    _own_rack(writer)
    makers = {
        'job submitted': _submitted,
        'attempt started': _started,
        'attempt checkpointed': _checkpointed,
        'attempt ended': _ended,
        'request claimed': _requested,
        'request released': _request_released,
    }
    for name, maker in makers.items():
        records = [maker(number) for number in range(_KIND_RECORDS)]
        spent_s = writer.apply(records)
        _print('apply', kind=name, us=spent_s / _KIND_RECORDS * 1e6)


def measure_configuration() -> None:
    """Cost of changes with 9,900 workers and 10,000 bookings."""
    writer = _Writer()
    workers = [_worker_change(n, 0) for n in range(9_900)]
    spent_s = writer.apply([records_pb2.Record(change=c) for c in workers])
    _print('change', case='worker added', us=spent_s / 9_900 * 1e6)
    bookings = [_worker_change(n, 1) for n in range(9_900)]
    for number, change in enumerate(bookings):
        change.effective_at_ms = _START_MS + 100_000 + number * 60_000
        change.worker.capacity.cores = 30
    spent_s = writer.apply([records_pb2.Record(change=c) for c in bookings])
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
    """Replay time and snapshot size for three numbers of live jobs."""
    for count in (10_000, 50_000, 200_000):
        writer = _Writer()
        _own_rack(writer)
        replay_s = writer.apply([_submitted(n) for n in range(count)])
        replay_s += writer.apply([_started(n) for n in range(count)])
        started_at = time.perf_counter()
        chunks = snapshots.chunks(writer.state, _MEMBER)
        write_s = time.perf_counter() - started_at
        size = sum(len(c.snapshot_chunk.data) for c in chunks)
        load_s = _load(chunks)
        per = count / 10_000
        _print(
            'live jobs',
            jobs=count,
            replay_ms_per_10k=replay_s / per * 1000,
            snapshot_ms_per_10k=write_s / per * 1000,
            load_ms_per_10k=load_s / per * 1000,
            snapshot_kb_per_10k=size / per / 1000,
            appends=len(chunks),
        )


def _load(chunks: t.Sequence[records_pb2.Record]) -> float:
    started_at = time.perf_counter()
    assembly = snapshots.ChunkAssembler()
    for chunk in chunks:
        snapshot = assembly.add(chunk.snapshot_chunk)
    state_lib.State().load(snapshot)
    return time.perf_counter() - started_at


def measure_admission() -> None:
    """Cost of the check before each start of work, nine members."""
    fleet = _fleet(9)
    right = fleet.processes[ids.InstanceId('i1')].ownership
    checks = 100_000
    spent_s = timeit.timeit(lambda: right.admits(_RACK), number=checks)
    _print('admission', proof='log', us=spent_s / checks * 1e6)
    fleet.log.set_faults(down=True)
    fleet.run_for(4)
    assert right.admits(_RACK)
    spent_s = timeit.timeit(lambda: right.admits(_RACK), number=checks)
    _print('admission', proof='majority', us=spent_s / checks * 1e6)
    fleet.close()


async def _count_appends(starts_per_s: int, seconds: int) -> int:
    """Two records for each start, spread over nine members."""
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
        for part in range(20):
            record = _requested(number * 20 + part)
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
    """Appends a second that task starts cost, a start and an end each."""
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
    """Memory while a million requests and 100,000 jobs pass in ten hours."""
    writer = _Writer()
    _own_rack(writer)
    for step in range(100):
        writer.now_ms += 360_000
        first = step * 10_000
        writer.apply([_requested(first + n) for n in range(10_000)])
        numbers = range(step * 1000, step * 1000 + 1000)
        for maker in (_submitted, _started, _ended):
            writer.apply([maker(number) for number in numbers])
        if step % 20 == 19:
            _print(
                'memory',
                requests=first + 10_000,
                claims_kept=len(writer.state.claims),
                jobs_kept=len(writer.state.jobs.jobs),
                resident_mb=_resident_mb(),
            )


_MEASURES = {
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
    """Runs all measures or the named ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', choices=[[], *_MEASURES])
    names = parser.parse_args().names or list(_MEASURES)
    for name in names:
        _MEASURES[name]()


if __name__ == '__main__':
    main()
