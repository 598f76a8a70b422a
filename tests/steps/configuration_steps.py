"""Steps for configuration.feature."""

import random

import behave
import hypothesis
from hypothesis import strategies

from amaranthflow import configuration
from amaranthflow import state as state_lib
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

behave.register_type(When=lambda text: _booked_ms(text))
_MICRO = 1_000_000


def _booked_ms(text):
    """Parses ``now`` or ``booked at N s``; returns ms."""
    words = text.split()
    return 0 if words == ['now'] else int(float(words[2]) * 1000)


class _Bench:
    def __init__(self):
        self.config = configuration.Configuration()
        self.sent = []
        self.result = None

    def change(self, key, **fields):
        timeline = {t.key: t for t in self.config.timelines()}.get(key)
        fields.setdefault(
            'expected_version', timeline.version if timeline else 0
        )
        change_id = f'c{len(self.sent) + 1}'
        return world_pb2.Change(change_id=change_id, key=key, **fields)

    def send(self, change, at_s):
        self.sent.append(change)
        self.result = self.config.apply(change, int(at_s * 1000))


def _worker(name, cores, rack='r1'):
    return world_pb2.Worker(
        worker_id=name,
        address=f'127.0.0.1:{ord(name)}',
        rack_id=rack,
        zone_id='z1',
        slots=8,
        connections=60,
        capacity=world_pb2.Size(cores=cores),
    )


def _tenant(name, cores):
    return world_pb2.Tenant(
        tenant_id=name, weight=1, guarantee=world_pb2.Size(cores=cores)
    )


@behave.given('a configuration at 1000 s')
def step_configuration(context):
    context.bench = _Bench()


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} with {cores:d} cores'
)
def step_worker(context, at, name, cores):
    bench = context.bench
    change = bench.change(f'worker/{name}', worker=_worker(name, cores))
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} with {cores:d} cores'
    ' booked at {due:d} s'
)
def step_worker_booked(context, at, name, cores, due):
    bench = context.bench
    change = bench.change(
        f'worker/{name}',
        worker=_worker(name, cores),
        effective_at_ms=due * 1000,
    )
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} on version'
    ' {version:d} by {operator:w}'
)
def step_worker_by(context, at, name, version, operator):
    bench = context.bench
    change = bench.change(
        f'worker/{name}',
        worker=_worker(name, 4),
        expected_version=version,
        operator=operator,
    )
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} removed, {due:When}'
)
def step_removed(context, at, name, due):
    bench = context.bench
    change = bench.change(f'worker/{name}', remove=True, effective_at_ms=due)
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} moved to rack {rack:w}'
)
def step_moved(context, at, name, rack):
    bench = context.bench
    change = bench.change(f'worker/{name}', worker=_worker(name, 8, rack))
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} moved to rack'
    ' {rack:w}, {due:When}'
)
def step_moved_booked(context, at, name, rack, due):
    bench = context.bench
    change = bench.change(
        f'worker/{name}', worker=_worker(name, 8, rack), effective_at_ms=due
    )
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets tenant {name:w} with {cores:d} cores'
    ' {due:When}'
)
def step_tenant(context, at, name, cores, due):
    bench = context.bench
    change = bench.change(
        f'tenant/{name}', tenant=_tenant(name, cores), effective_at_ms=due
    )
    bench.send(change, at)


@behave.when(
    'the configuration at {at:d} s gets the bookings of worker {name:w}'
    ' withdrawn'
)
def step_withdrawn(context, at, name):
    bench = context.bench
    bench.send(bench.change(f'worker/{name}', withdraw=True), at)


@behave.when(
    'the configuration at {at:d} s gets worker {name:w} at the address of'
    ' {other:w}'
)
def step_same_address(context, at, name, other):
    bench = context.bench
    worker = _worker(name, 8)
    worker.address = _worker(other, 8).address
    bench.send(bench.change(f'worker/{name}', worker=worker), at)


@behave.when('the configuration at {at:d} s gets the last change again')
def step_last_again(context, at):
    context.bench.send(context.bench.sent[-1], at)


@behave.when('the configuration at {at:d} s gets the first change again')
def step_first_again(context, at):
    context.bench.send(context.bench.sent[0], at)


@behave.when(
    'the configuration is asked at {at:d} s about tenant {name:w} with'
    ' {cores:d} cores'
)
def step_asked(context, at, name, cores):
    change = context.bench.change(
        f'tenant/{name}', tenant=_tenant(name, cores)
    )
    assert context.bench.config.check(change, at * 1000).accepted


@behave.then('the configuration accepts that as version {version:d}')
def step_accepts(context, version):
    result = context.bench.result
    assert result.accepted, result.reason
    assert result.version == version, result


@behave.then('the configuration refuses that with "{text}"')
def step_refuses(context, text):
    result = context.bench.result
    assert not result.accepted
    assert text in result.reason, result.reason


@behave.then(
    'the configuration says {cores:d} cores for worker {name:w} at {at:g} s'
)
def step_says(context, cores, name, at):
    found = context.bench.config.in_force(f'worker/{name}', int(at * 1000))
    assert found.change.worker.capacity.cores == cores, found


@behave.then('the configuration lists {cores:d} cores in workers at {at:d} s')
def step_lists(context, cores, at):
    bodies = context.bench.config.bodies('worker', at * 1000)
    assert sum(w.capacity.cores for w in bodies.values()) == cores


@behave.then('the configuration changes next at {due:d} s after {at:d} s')
def step_next(context, due, at):
    assert context.bench.config.next_booking_ms(at * 1000) == due * 1000


@behave.then('the configuration remembers {count:d} change id')
def step_remembers(context, count):
    snapshot = records_pb2.Snapshot()
    context.bench.config.dump(snapshot)
    assert len(snapshot.changes) == count


@behave.then(
    'a state whose log is at {log:d} s reads {cores:d} cores for worker'
    ' {name:w} by a clock at {wall:d} s'
)
def step_slow(context, log, cores, name, wall):
    state = state_lib.State()
    state.config = context.bench.config
    batch = records_pb2.Batch(
        writer='i1', sequence=1, written_at_ms=log * 1000
    )
    state.apply(0, batch.SerializeToString())
    now_ms = state.now_ms(wall * 1000)
    found = state.config.in_force(f'worker/{name}', now_ms)
    assert found.change.worker.capacity.cores == cores


def _random_change(rng, versions, number, now_ms):
    """Returns a random change, often near the limit of the headroom."""
    kind = rng.choice(('worker', 'worker', 'tenant', 'tenant'))
    name = rng.choice('abc')
    key = f'{kind}/{name}'
    change = world_pb2.Change(
        change_id=f'c{number}',
        key=key,
        expected_version=versions.get(key, 0),
        effective_at_ms=rng.choice((0, now_ms + rng.randrange(9, 40) * 1000)),
    )
    if rng.random() < 0.2:
        change.effective_at_ms = 0
        change.withdraw = True
    elif kind == 'worker' and rng.random() < 0.2:
        change.remove = True
    elif kind == 'worker':
        cores = rng.choice((0.1, 0.2, 0.3, 1.1, 1e6))
        change.worker.CopyFrom(_worker(name, cores))
    else:
        cores = rng.choice((0.1, 0.3, 0.300001, 0.600001, 1e6))
        change.tenant.CopyFrom(_tenant(name, cores))
    return change


def _history(seed, count):
    """Applies random changes; yields each with its time and its result."""
    rng = random.Random(seed)
    config = configuration.Configuration()
    versions = {}
    now_ms = 1_000_000
    for number in range(count):
        now_ms += rng.randrange(8000)
        change = _random_change(rng, versions, number, now_ms)
        before = records_pb2.Snapshot(log_time_ms=now_ms)
        config.dump(before)
        result = config.apply(change, now_ms)
        if result.accepted:
            versions[change.key] = result.version
        yield change, now_ms, result, before


@behave.then(
    'configurations that load a snapshot at any record agree in {count:d} runs'
)
def step_alike(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        seed=strategies.integers(0, 10**6), start=strategies.integers(0, 59)
    )
    def check(seed, start):
        loaded = None
        for number, step in enumerate(_history(seed, 60)):
            change, now_ms, result, before = step
            if number == start:
                loaded = configuration.Configuration()
                loaded.load(before)
            if loaded is not None:
                own = records_pb2.Snapshot(log_time_ms=now_ms)
                loaded.dump(own)
                assert own == before
                assert loaded.apply(change, now_ms) == result

    check()


class _ReferenceKey:
    """Versions of one key as (effective time, cores) pairs."""

    def __init__(self):
        self.version = 0
        self.changes = []

    def micro_cores(self, at_ms):
        found = 0
        for effective_ms, cores in self.changes:
            if effective_ms <= at_ms:
                found = cores
        return found


def _micro_cores(change):
    kind = change.WhichOneof('body')
    if kind == 'worker':
        return round(change.worker.capacity.cores * _MICRO)
    if kind == 'tenant':
        return round(change.tenant.guarantee.cores * _MICRO)
    return 0


class _Reference:
    """Reference that recalculates the sums of all keys at all times."""

    def __init__(self):
        self.keys = {}

    def apply(self, change, now_ms):
        key = self.keys.setdefault(change.key, _ReferenceKey())
        before = list(key.changes)
        lead_ms = now_ms + configuration.MIN_BOOKING_LEAD_MS
        if change.WhichOneof('body') == 'withdraw':
            key.changes = [c for c in before if c[0] < lead_ms]
        else:
            at_ms = change.effective_at_ms or now_ms
            key.changes = [*before, (at_ms, _micro_cores(change))]
        if self._fits(change.effective_at_ms or now_ms):
            return True
        key.changes = before
        return False

    def _fits(self, first_ms):
        times = {first_ms}
        for key in self.keys.values():
            times.update(at for at, _ in key.changes if at > first_ms)
        return all(
            self._sum('tenant', at) <= self._sum('worker', at) for at in times
        )

    def _sum(self, kind, at_ms):
        return sum(
            key.micro_cores(at_ms)
            for name, key in self.keys.items()
            if name.startswith(kind)
        )


@behave.then('configurations match their reference in {count:d} runs')
def step_reference(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(seed=strategies.integers(0, 10**6))
    def check(seed):
        reference = _Reference()
        for change, now_ms, result, _ in _history(seed, 40):
            if result.accepted:
                assert reference.apply(change, now_ms), (change, result)
            elif 'exceed the capacity' in result.reason:
                assert not reference.apply(change, now_ms), (change, result)

    check()
