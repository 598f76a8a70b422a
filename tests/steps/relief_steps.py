"""Steps for relief.feature."""

import random

import behave

from amaranthflow import interference
from amaranthflow import relief
from amaranthflow import world


def _ledger(name, latency, batch):
    worker = world.Worker(
        worker_id=name,
        address='',
        rack_id='r0',
        zone_id='z0',
        capacity=world.Size(cores=32, memory_mb=125_000),
        slots=8,
        connections=60,
    )
    ledger = world.WorkerLedger(worker=worker)
    kinds = [(one, world.TaskKind.LATENCY) for one in latency]
    kinds += [(one, world.TaskKind.BATCH) for one in batch]
    for task_class, kind in kinds:
        task = world.Task(
            task_id=task_class,
            tenant_id='house',
            task_class=task_class,
            kind=kind,
            size=world.Size(cores=2, memory_mb=4000),
        )
        assert ledger.reserve(task)
    return ledger


@behave.given('a relief worker with "{victim}" and batch tasks "{names}"')
def step_worker(context, victim, names):
    context.model = interference.InterferenceModel()
    context.relief = relief.Relief(model=context.model)
    context.ledger = _ledger('w0', [victim], names.split(', '))
    context.now_ms = 1_000_000
    context.steps_taken = []


@behave.given('relief knows that "{neighbour}" slows "{victim}" by {excess:g}')
@behave.when('relief learns that "{neighbour}" slows "{victim}" by {excess:g}')
def step_knows(context, neighbour, victim, excess):
    now_ms = context.now_ms
    for _ in range(2000):
        context.model.observe(
            victim, {neighbour: 1}, 1 + excess, now_ms, now_ms
        )


@behave.given('the job of relief task "{name}" was evicted {times:d} times')
def step_evicted(context, name, times):
    context.ledger.tasks[name].evictions = times


def _second(context, slowdown=None):
    context.now_ms += 1000
    if slowdown is not None:
        context.relief.note_slowdown('w0', 'quote', slowdown, context.now_ms)
    steps = context.relief.decide(context.ledger, context.now_ms)
    context.steps_taken.extend(steps)


@behave.when('relief decides each second for {seconds:d} s')
def step_decides(context, seconds):
    for _ in range(seconds):
        _second(context)


@behave.when(
    'relief decides each second for {seconds:d} s'
    ' while "quote" measures {slowdown:g}'
)
def step_measures(context, seconds, slowdown):
    for _ in range(seconds):
        _second(context, slowdown)


@behave.when(
    'relief sees measured {high:g} and {low:g} in turn'
    ' each {period:d} s for {seconds:d} s'
)
def step_turns(context, high, low, period, seconds):
    context.model = interference.InterferenceModel()
    context.relief = relief.Relief(model=context.model)
    for second in range(seconds):
        _second(context, high if second // period % 2 else low)


@behave.when(
    'relief gets a late report that "quote" measured {slowdown:g}'
    ' before its last step'
)
def step_late(context, slowdown):
    before_ms = context.now_ms - 3_000
    context.relief.note_slowdown('w0', 'quote', slowdown, before_ms)


@behave.when('relief task "{name}" is measured to need {memory:d} MB')
def step_memory(context, name, memory):
    size = world.Size(cores=2, memory_mb=memory)
    context.ledger.resize(name, size)


@behave.then('relief has taken no step')
def step_none(context):
    assert context.steps_taken == [], context.steps_taken


@behave.then('relief has taken the steps "{text}"')
def step_taken(context, text):
    taken = [
        f'{step.kind.value} {step.task_id or ""}'.strip()
        for step in context.steps_taken
    ]
    assert ', '.join(taken) == text, taken
    assert all(step.reason for step in context.steps_taken)


@behave.then('relief has stopped "{name}"')
def step_stopped(context, name):
    last = context.steps_taken[-1]
    assert last.kind is relief.StepKind.STOP and last.task_id == name


@behave.then('relief has moved nothing')
def step_moved_nothing(context):
    kinds = {step.kind for step in context.steps_taken}
    assert relief.StepKind.THROTTLE in kinds
    assert relief.StepKind.MOVE not in kinds


@behave.then('the relief reason of the next step does not report 9 times')
def step_reason(context):
    step_decides(context, 6)
    reason = context.steps_taken[-1].reason
    assert context.steps_taken[-1].kind is relief.StepKind.THROTTLE
    assert 'slowed 1.8' in reason, reason


@behave.then(
    'relief of many noisy workers moves at most {limit:d} tasks in any minute'
)
def step_bound(context, limit):
    rng = random.Random(5)
    names = [f'w{number}' for number in range(20)]
    ledgers = [_ledger(name, ['quote'], ['noisy', 'mild']) for name in names]
    moves = []
    for now_ms in range(0, 300_000, 1000):
        for ledger in ledgers:
            slowdown = rng.uniform(1.6, 3.0)
            name = ledger.worker.worker_id
            context.relief.note_slowdown(name, 'quote', slowdown, now_ms)
            for step in context.relief.decide(ledger, now_ms):
                if step.kind is relief.StepKind.MOVE:
                    moves.append(now_ms)
    assert len(moves) > limit
    for start in moves:
        assert sum(start <= at < start + 60_000 for at in moves) <= limit
