"""Steps for follower.feature."""

import asyncio
import random

import behave
import hypothesis
from hypothesis import strategies

from amaranthflow import follower
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import snapshots
from amaranthflow import state as state_lib
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import log as log_lib

_WRITERS = ('i1', 'i2', 'i3')
_JOBS = tuple(f'j{n}' for n in range(6))
_START_MS = 1_700_000_000_000
_FOUR_WEEKS_MS = 28 * 86_400_000


class _ZeroBasedLog:
    """Presents a log whose offsets start at 1 as one that starts at 0."""

    def __init__(self, log):
        self._log = log

    async def read(self, start, wait_s):
        page = await self._log.read(ids.Offset(start + 1), wait_s)
        entries = tuple(
            platform.Entry(offset=ids.Offset(e.offset - 1), data=e.data)
            for e in page.entries
        )
        return platform.LogPage(
            entries=entries, next_offset=ids.Offset(page.next_offset - 1)
        )

    async def first_offset(self):
        return ids.Offset(await self._log.first_offset() - 1)


class _Bench:
    """A log, the state of all its entries and one follower.

    :ivar whole: state that applied each entry as it was appended.
    """

    def __init__(self, *, first=1, kept=1_000_000, seed=1):
        self.clock = clock_lib.FakeClock(start_wall_ms=_START_MS)
        self.rng = random.Random(seed)
        self.log = log_lib.LogStandin(
            clock=self.clock, rng=self.rng, retention_entries=kept
        )
        self.first = first
        self.whole = state_lib.State()
        self.read_count = 0
        self.invalid = 0
        self.positions = []
        self.held = False
        self.sequence = 0
        self.loop = asyncio.new_event_loop()
        self.state = state_lib.State()
        source = self.log if first else _ZeroBasedLog(self.log)
        self.source = source
        self.follower = follower.Follower(
            log=self, clock=self.clock, state=self.state, listener=self
        )
        self.task = None

    async def read(self, start, wait_s):
        page = await self.source.read(start, wait_s)
        while self.held:
            await self.clock.sleep(0.1)
        if wait_s > 0:
            self.read_count += len(page.entries)
        return page

    async def first_offset(self):
        return await self.source.first_offset()

    def on_applied(self, applied):
        self.positions.append(self.state.next_offset)

    def on_loaded(self):
        self.positions.append(self.state.next_offset)

    def on_confirmed(self, asked_at):
        pass

    def on_invalid(self, exc):
        self.invalid += 1

    def run_for(self, seconds):
        if self.task is None:
            self.task = self.loop.create_task(self.follower.run())
        self.loop.run_until_complete(self.clock.run_for(seconds))
        assert not self.task.done()

    def append_bytes(self, data):
        offset = self.loop.run_until_complete(self.log.append(data))
        try:
            self.whole.apply(ids.Offset(offset - 1 + self.first), data)
        except Exception as exc:
            assert 'is not a batch' in str(exc), exc

    def append(self, *records):
        self.sequence += 1
        batch = records_pb2.Batch(
            writer=self.rng.choice(_WRITERS),
            incarnation=1,
            sequence=self.sequence,
            written_at_ms=_START_MS + self.sequence * 1000,
            records=records,
        )
        self.append_bytes(batch.SerializeToString())

    def append_random(self, count):
        for _ in range(count):
            size = self.rng.randrange(1, 4)
            self.append(*(random_record(self.rng) for _ in range(size)))

    def append_snapshot(self):
        writer = ids.Member(ids.InstanceId('i1'), ids.Incarnation(1))
        for chunk in snapshots.chunks(self.whole, writer):
            self.append(chunk)

    def close(self):
        if self.task is not None:
            self.task.cancel()
            gathered = asyncio.gather(self.task, return_exceptions=True)
            self.loop.run_until_complete(gathered)
        self.loop.close()


def _member(rng):
    return records_pb2.Record(
        member_joined=records_pb2.MemberJoined(
            instance_id=rng.choice(_WRITERS), incarnation=rng.randrange(1, 4)
        )
    )


def _left(rng):
    return records_pb2.Record(
        member_left=records_pb2.MemberLeft(
            instance_id=rng.choice(_WRITERS), incarnation=rng.randrange(1, 4)
        )
    )


def _claimed(rng):
    return records_pb2.Record(
        rack_claimed=records_pb2.RackClaimed(
            rack_id=rng.choice(('r1', 'r2')), after_epoch=rng.randrange(4)
        )
    )


def _released(rng):
    return records_pb2.Record(
        rack_released=records_pb2.RackReleased(
            rack_id=rng.choice(('r1', 'r2')), epoch=rng.randrange(4)
        )
    )


def _closed(rng):
    return records_pb2.Record(
        views_closed=records_pb2.ViewsClosed(through_offset=rng.randrange(50))
    )


def _change(rng):
    name = rng.choice(('a', 'b', 'c'))
    at_ms = rng.choice((0, _START_MS + rng.randrange(100_000)))
    change = world_pb2.Change(
        change_id=f'c{rng.randrange(40)}',
        key=f'worker/{name}',
        expected_version=rng.randrange(4),
        effective_at_ms=at_ms,
    )
    kind = rng.choice(('worker', 'worker', 'worker', 'remove', 'withdraw'))
    if kind == 'worker':
        change.worker.worker_id = name
        change.worker.rack_id = 'r1'
        change.worker.zone_id = 'z1'
        change.worker.address = f'127.0.0.1:{ord(name)}'
        change.worker.slots = change.worker.connections = 8
        change.worker.capacity.cores = rng.choice((0.1, 0.7, 32))
    else:
        setattr(change, kind, True)
    return records_pb2.Record(change=change)


def _tenant(rng):
    name = rng.choice(('a', 'b'))
    change = world_pb2.Change(
        change_id=f't{rng.randrange(40)}',
        key=f'tenant/{name}',
        expected_version=rng.randrange(3),
    )
    change.tenant.tenant_id = name
    change.tenant.weight = 1
    change.tenant.guarantee.cores = rng.choice((0.1, 0.3, 8, 40))
    return records_pb2.Record(change=change)


def _submitted(rng):
    job = world_pb2.Job(
        job_id=rng.choice(_JOBS),
        tenant_id='t',
        task_class='sort',
        idempotent=rng.random() < 0.5,
    )
    return records_pb2.Record(job_submitted=records_pb2.JobSubmitted(job=job))


def _cancelled(rng):
    return records_pb2.Record(
        job_cancelled=records_pb2.JobCancelled(
            job_id=rng.choice(_JOBS), tenant_id='t'
        )
    )


def _started(rng):
    return records_pb2.Record(
        attempt_started=records_pb2.AttemptStarted(
            job_id=f't/{rng.choice(_JOBS)}',
            attempt=rng.randrange(1, 4),
            worker_id='a',
            rack_id='r1',
            rack_epoch=rng.randrange(4),
        )
    )


def _ended(rng):
    return records_pb2.Record(
        attempt_ended=records_pb2.AttemptEnded(
            job_id=f't/{rng.choice(_JOBS)}',
            attempt=rng.randrange(1, 4),
            rack_epoch=rng.randrange(4),
            outcome=rng.randrange(1, 7),
            checkpoint=rng.choice(('', 'cp')),
        )
    )


def _request(rng):
    return records_pb2.Record(
        request_claimed=records_pb2.RequestClaimed(
            tenant_id='t', request_id=f'q{rng.randrange(9)}'
        )
    )


def _request_released(rng):
    return records_pb2.Record(
        request_released=records_pb2.RequestReleased(
            tenant_id='t', request_id=f'q{rng.randrange(9)}'
        )
    )


_MAKERS = (
    _member,
    _left,
    _claimed,
    _claimed,
    _released,
    _closed,
    _change,
    _change,
    _tenant,
    _submitted,
    _cancelled,
    _started,
    _started,
    _ended,
    _request,
    _request_released,
)


def random_record(rng):
    return rng.choice(_MAKERS)(rng)


@behave.given('a follower of a log that starts at offset {first:d}')
def step_log(context, first):
    context.bench = _Bench(first=first)
    context.add_cleanup(context.bench.close)


@behave.given('a follower of a log that keeps {kept:d} entries')
def step_log_keeps(context, kept):
    context.bench = _Bench(kept=kept)
    context.add_cleanup(context.bench.close)


@behave.given("the follower's log gets {count:d} entries")
@behave.when("the follower's log gets {count:d} entries")
def step_entries(context, count):
    context.bench.append_random(count)


@behave.given("the follower's log gets a snapshot")
@behave.when("the follower's log gets a snapshot")
def step_snapshot(context):
    context.bench.append_snapshot()


@behave.given("the follower's log gets a job and a booking four weeks ahead")
def step_old(context):
    job = world_pb2.Job(job_id='old', tenant_id='t', task_class='sort')
    submitted = records_pb2.JobSubmitted(job=job)
    booking = world_pb2.Change(
        change_id='old',
        key='policy/global',
        effective_at_ms=_START_MS + _FOUR_WEEKS_MS,
    )
    booking.policy.relief_slowdown = 1.5
    context.bench.append(
        records_pb2.Record(job_submitted=submitted),
        records_pb2.Record(change=booking),
    )


@behave.then('the follower knows the job and the booking')
def step_knows_old(context):
    state = context.bench.state
    waiting = {str(key) for key in state.jobs.waiting}
    assert 't/old' in waiting
    due_ms = _START_MS + _FOUR_WEEKS_MS
    assert state.config.in_force('policy/global', due_ms - 1) is None
    assert state.config.in_force('policy/global', due_ms) is not None


@behave.given("the follower's log gets bytes that are no batch")
def step_invalid_batch(context):
    context.bench.append_bytes(b'\xff\xfe{"offset": 1}')


@behave.given("the follower's log gets a record of an unknown kind")
def step_unknown(context):
    # Field 999 of the record stands for a kind of a later version.
    unknown = records_pb2.Record.FromString(b'\xba\x3e\x02\x08\x01')
    context.bench.append(unknown)


@behave.given("the follower's log gets a chunk outside its snapshot")
def step_bad_chunk(context):
    chunk = records_pb2.SnapshotChunk(snapshot_id='x', index=7, count=1)
    context.bench.append(records_pb2.Record(snapshot_chunk=chunk))


@behave.given("the follower's log gets a snapshot with one wrong byte")
def step_bad_snapshot(context):
    writer = ids.Member(ids.InstanceId('i1'), ids.Incarnation(1))
    for chunk in snapshots.chunks(context.bench.whole, writer):
        data = bytearray(chunk.snapshot_chunk.data)
        data[-1] ^= 1
        chunk.snapshot_chunk.data = bytes(data)
        context.bench.append(chunk)


@behave.given('the follower runs for {seconds:d} s')
@behave.when('the follower runs for {seconds:d} s')
def step_run(context, seconds):
    context.bench.run_for(seconds)


@behave.when('the follower adopts the state of a peer')
def step_adopt(context):
    context.bench.follower.adopt(context.bench.whole.snapshot())


@behave.when(
    'the follower adopts the state of a peer while a page is being read'
)
def step_adopt_while_reading(context):
    bench = context.bench
    bench.held = True
    bench.run_for(1)
    bench.follower.adopt(bench.whole.snapshot())
    bench.held = False
    bench.run_for(2)


@behave.then("the follower's position never decreased")
def step_monotone(context):
    positions = context.bench.positions
    assert positions == sorted(positions), positions


@behave.then('the follower has caught up')
def step_caught_up(context):
    assert context.bench.follower.caught_up


@behave.then('the follower has the state of the whole log')
def step_equal(context):
    bench = context.bench
    assert bench.follower.caught_up
    assert bench.state.next_offset == bench.whole.next_offset
    assert bench.state.digest() == bench.whole.digest()


@behave.then('the follower has read at most {count:d} entries')
def step_read(context, count):
    assert context.bench.read_count <= count, context.bench.read_count


@behave.then('the follower misses a snapshot')
def step_misses(context):
    assert context.bench.follower.snapshot_missing
    assert not context.bench.follower.caught_up


@behave.then('the follower has counted {count:d} invalid entry')
def step_invalid(context, count):
    assert context.bench.invalid == count


@behave.then('followers of random logs agree in {count:d} runs')
def step_random(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        seed=strategies.integers(0, 10**6),
        parts=strategies.lists(
            strategies.integers(1, 60), min_size=1, max_size=5
        ),
    )
    def check(seed, parts):
        bench = _Bench(seed=seed, kept=150)
        try:
            for part in parts:
                bench.append_random(part)
                bench.append_snapshot()
            bench.run_for(5)
            assert bench.state.digest() == bench.whole.digest()
        finally:
            bench.close()

    check()
