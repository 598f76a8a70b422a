"""Steps for placement.feature."""

import collections
import math

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import interference
from amaranthflow import placement
from amaranthflow import world

_CAPACITY = world.Size(cores=32, memory_mb=125_000)
_LATENCY = ('quote', 'plan')
_BATCH = ('sort', 'proof', 'noisy')
_WEIGHTS = placement.PlacementWeights()


class _Fleet:
    def __init__(self, count, model=None, rack_size=4, reserved=1):
        self.reserved = reserved
        self.model = model or interference.InterferenceModel()
        self.placer = placement.InterferencePlacer(model=self.model)
        self.ledgers = {}
        self.tasks = 0
        self.chosen = []
        for number in range(count):
            worker = world.Worker(
                worker_id=f'w{number}',
                address='',
                rack_id=f'r{number // rack_size}',
                zone_id=f'z{number // rack_size % 2}',
                capacity=_CAPACITY,
                slots=8,
                connections=60,
            )
            ledger = world.WorkerLedger(worker=worker, reserved_slots=reserved)
            self.ledgers[worker.worker_id] = ledger
            self.placer.add(ledger)

    def task(self, kind, task_class, cores=4, urgent=False):
        self.tasks += 1
        return world.Task(
            task_id=f't{self.tasks}',
            tenant_id='house',
            task_class=task_class,
            kind=kind,
            size=world.Size(cores=cores, memory_mb=1000),
            urgent=urgent,
        )

    def start(self, task):
        chosen = self.placer.choose(task)
        if chosen is not None:
            self.reserve(task, chosen.worker_id)
            self.chosen.append(chosen)
        return chosen

    def reserve(self, task, worker_id):
        assert self.ledgers[worker_id].reserve(task)
        self.placer.refresh(worker_id)


def _learned_model():
    model = interference.InterferenceModel()
    for number, victim in enumerate(_LATENCY + _BATCH):
        for other, neighbour in enumerate(_LATENCY + _BATCH):
            slowdown = 1.0 + (number * 3 + other * 5) % 7 / 20
            model.observe(victim, {neighbour: 1}, slowdown, 0, 0)
    return model


def _reference_cost(fleet, task, ledger):
    """Returns the cost computed only from the ledgers and the model."""
    if not ledger.can_reserve(task):
        return math.inf
    if task.kind is world.TaskKind.LATENCY:
        return _reference_latency_cost(fleet, task, ledger)
    return _reference_batch_cost(fleet, task, ledger)


def _running(fleet, kind):
    return [
        (ledger.worker, task)
        for ledger in fleet.ledgers.values()
        for task in ledger.tasks.values()
        if task.kind is kind
    ]


def _reference_latency_cost(fleet, task, ledger):
    excess = fleet.model.excess
    cost = sum(
        excess(task.task_class, other.task_class)
        for other in ledger.tasks.values()
    )
    shares = []
    for level in ('rack_id', 'zone_id'):
        own = getattr(ledger.worker, level)
        same = [
            other
            for worker, other in _running(fleet, task.kind)
            if getattr(worker, level) == own
            and other.task_class == task.task_class
        ]
        workers = [
            one
            for one in fleet.ledgers.values()
            if getattr(one.worker, level) == own
        ]
        shares.append(len(same) / len(workers))
    return cost + _WEIGHTS.spread * sum(shares) / 2


def _reference_batch_cost(fleet, task, ledger):
    if not _allows_noisy(fleet, task, ledger):
        return math.inf
    excess = fleet.model.excess
    batch = [o for o in ledger.tasks.values() if o.kind is task.kind]
    latency = [o for o in ledger.tasks.values() if o.kind is not task.kind]
    cost = 0.0
    for victim in latency:
        slowdown = 1.0 + excess(victim.task_class, task.task_class)
        slowdown += sum(
            excess(victim.task_class, other.task_class) for other in batch
        )
        if slowdown > fleet.placer.slowdown_limit:
            return math.inf
        cost += excess(victim.task_class, task.task_class)
    for other in batch:
        mutual = excess(other.task_class, task.task_class)
        mutual += excess(task.task_class, other.task_class)
        cost += _WEIGHTS.batch * mutual
    return cost + _expected_cost(fleet, task, batch)


def _is_noisy(fleet, task_class):
    """Returns whether a worker full of the class exceeds the limit."""
    classes = {
        o.task_class for _, o in _running(fleet, world.TaskKind.LATENCY)
    }
    total = sum(fleet.model.excess(one, task_class) for one in classes)
    slots = 8 - fleet.reserved
    limit = fleet.placer.slowdown_limit - 1.0
    return bool(classes) and total / len(classes) * slots > limit


def _allows_noisy(fleet, task, ledger):
    if not _is_noisy(fleet, task.task_class):
        return True
    noisy = collections.Counter(
        worker.worker_id
        for worker, other in _running(fleet, world.TaskKind.BATCH)
        if _is_noisy(fleet, other.task_class)
    )
    if ledger.worker.worker_id in noisy:
        return True
    noisy_slots = len(noisy) * (8 - fleet.reserved)
    if noisy.total() < 0.7 * noisy_slots:
        return False
    if len(noisy) < max(1, len(fleet.ledgers) // 5):
        return True
    quiet_after = len(fleet.ledgers) - len(noisy) - 1
    latency = len(_running(fleet, world.TaskKind.LATENCY))
    return quiet_after * fleet.reserved >= 1.3 * latency


def _expected_cost(fleet, task, batch):
    excess = fleet.model.excess
    victims = [
        o.task_class for _, o in _running(fleet, world.TaskKind.LATENCY)
    ]
    if not victims:
        return 0.0
    classes = set(victims)
    mean_slowdown = 1.0 + sum(
        excess(victim, other.task_class)
        for victim in classes
        for other in batch
    ) / len(classes)
    added = sum(excess(victim, task.task_class) for victim in victims)
    expected = _WEIGHTS.expected * added / len(fleet.ledgers)
    return expected / mean_slowdown**2


@behave.then(
    'an indexed placement costs as little as the best of a full search'
)
def step_differential(context):
    model = _learned_model()
    event = st.tuples(st.booleans(), st.integers(0, 2), st.integers(0, 99))

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(st.integers(1, 9), st.lists(event, max_size=40))
    def check(count, events):
        fleet = _Fleet(count, model, rack_size=2, reserved=3)
        for is_latency, number, other in events:
            if other < 25:
                _release(fleet, other)
                continue
            _refresh(fleet)
            _check_choice(fleet, is_latency, number)

    check()


def _release(fleet, number):
    ledgers = [one for one in fleet.ledgers.values() if one.tasks]
    if ledgers:
        ledger = ledgers[number % len(ledgers)]
        ledger.release(next(iter(ledger.tasks)))
        fleet.placer.refresh(ledger.worker.worker_id)


def _refresh(fleet):
    # Slowdowns depend on the classes in the fleet at the last refresh.
    for worker_id in fleet.ledgers:
        fleet.placer.refresh(worker_id)


def _check_choice(fleet, is_latency, number):
    kind = world.TaskKind.LATENCY if is_latency else world.TaskKind.BATCH
    classes = _LATENCY if is_latency else _BATCH
    task = fleet.task(kind, classes[number % len(classes)])
    costs = {
        worker_id: _reference_cost(fleet, task, ledger)
        for worker_id, ledger in fleet.ledgers.items()
    }
    least = min(costs.values())
    chosen = fleet.start(task)
    if chosen is None:
        assert least == math.inf
    else:
        assert math.isclose(costs[chosen.worker_id], least, abs_tol=1e-9)


@behave.then('a placement in a large fleet always fits')
def step_large(context):
    fleet = _Fleet(100)
    started = 0
    while fleet.start(fleet.task(world.TaskKind.BATCH, 'sort')):
        started += 1
    assert started == 100 * 7
    while fleet.start(fleet.task(world.TaskKind.LATENCY, 'quote')):
        started += 1
    assert started == 100 * 8


@behave.given('a placement fleet of {count:d} workers')
def step_fleet(context, count):
    context.fleet = _Fleet(count)


@behave.given(
    'placement knows that "{neighbour}" slows "{victim}" by {excess:g}'
)
def step_knows(context, neighbour, victim, excess):
    for _ in range(50):
        context.fleet.model.observe(victim, {neighbour: 1}, 1 + excess, 0, 0)


@behave.given('placement has batch "{name}" on worker {number:d}')
def step_has(context, name, number):
    task = context.fleet.task(world.TaskKind.BATCH, name)
    context.fleet.reserve(task, f'w{number}')


@behave.when('placement chooses for latency-critical "{name}" {times:d} times')
def step_chooses(context, name, times):
    for _ in range(times):
        task = context.fleet.task(world.TaskKind.LATENCY, name)
        assert context.fleet.start(task) is not None


@behave.when(
    'placement reserves {cores:g} cores of worker {number:d} for growth'
)
def step_reserves(context, cores, number):
    size = world.Size(cores=cores)
    context.fleet.placer.set_reserve(f'w{number}', size)


@behave.when('placement loses worker {number:d}')
def step_loses(context, number):
    context.fleet.placer.remove(f'w{number}')


@behave.then('placement has used workers "{numbers}"')
def step_used(context, numbers):
    expected = {f'w{number}' for number in numbers.split(',')}
    assert {one.worker_id for one in context.fleet.chosen} == expected


@behave.then(
    'placement has used {racks:d} racks and {zones:d} availability zones'
)
def step_spread(context, racks, zones):
    workers = [
        context.fleet.ledgers[one.worker_id].worker
        for one in context.fleet.chosen
    ]
    assert len({worker.rack_id for worker in workers}) == racks
    assert len({worker.zone_id for worker in workers}) == zones


@behave.then('placement has no worker for batch "{name}"')
def step_none(context, name):
    task = context.fleet.task(world.TaskKind.BATCH, name)
    assert context.fleet.placer.choose(task) is None


@behave.then('placement has worker {number:d} for {kind} "{name}"')
def step_worker(context, number, kind, name):
    latency = kind == 'latency-critical'
    task_kind = world.TaskKind.LATENCY if latency else world.TaskKind.BATCH
    task = context.fleet.task(task_kind, name, urgent=not latency)
    chosen = context.fleet.placer.choose(task)
    assert chosen is not None and chosen.worker_id == f'w{number}'


@behave.then('the placement reason contains "{text}"')
def step_reason(context, text):
    assert text in context.fleet.chosen[-1].reason


@behave.when('placement chooses for {count:d} batch tasks "{name}"')
def step_batch(context, count, name):
    for _ in range(count):
        assert context.fleet.start(
            context.fleet.task(world.TaskKind.BATCH, name)
        )


@behave.then('placement has put "{name}" on {count:d} workers')
def step_put(context, name, count):
    workers = {
        worker.worker_id
        for worker, task in _running(context.fleet, world.TaskKind.BATCH)
        if task.task_class == name
    }
    assert len(workers) == count, workers
