"""Steps for learning.feature."""

import behave

from amaranthflow import interference
from amaranthflow import learning
from amaranthflow import platform
from amaranthflow import relief
from amaranthflow import sizes
from amaranthflow import world


def _task(name):
    kinds = world.TaskKind
    return world.Task(
        task_id=name,
        tenant_id='house',
        task_class=name,
        kind=kinds.LATENCY if name == 'quote' else kinds.BATCH,
        size=world.Size(cores=2, memory_mb=4000),
    )


def _report(name, at_ms, slowdown=1.0, memory_mb=1000):
    return platform.UsageReport(
        task_id=name,
        task_class=name,
        measured_at_ms=at_ms,
        cores=2.0,
        memory_mb=memory_mb,
        peak_memory_mb=memory_mb,
        slowdown=slowdown,
    )


@behave.given('a learner of a worker with "{victim}" beside "{neighbour}"')
def step_learner(context, victim, neighbour):
    worker = world.Worker(
        worker_id='w0',
        address='',
        rack_id='r0',
        zone_id='z0',
        capacity=world.Size(cores=32, memory_mb=125_000),
        slots=8,
        connections=60,
    )
    context.ledger = world.WorkerLedger(worker=worker)
    context.model = interference.InterferenceModel()
    context.relief = relief.Relief(model=context.model)
    context.learner = learning.UsageLearner(
        interference=context.model,
        sizes=sizes.SizeModel(),
        relief=context.relief,
    )
    for name in (victim, neighbour):
        assert context.ledger.reserve(_task(name))
    context.learner.note_tasks(context.ledger, 0)


@behave.when('learning sees "{old}" replaced by "{new}" after {seconds:d} s')
def step_replaced(context, old, new, seconds):
    context.ledger.release(old)
    assert context.ledger.reserve(_task(new))
    context.learner.note_tasks(context.ledger, seconds * 1000)


@behave.when(
    'learning gets a report of "{name}" from {seconds:d} s'
    ' with slowdown {slowdown:g}'
)
def step_report(context, name, seconds, slowdown):
    report = _report(name, seconds * 1000, slowdown)
    context.learner.learn(context.ledger, [report], 9_000)


@behave.when(
    'learning gets {count:d} reports of "{name}" with slowdown {slowdown:g}'
)
def step_reports(context, count, name, slowdown):
    for number in range(count):
        at_ms = number * 100
        report = _report(name, at_ms, slowdown)
        context.learner.learn(context.ledger, [report], at_ms + 3_000)


@behave.when(
    'relief throttled "{name}" before learning gets {count:d} more'
    ' with slowdown {slowdown:g}'
)
def step_throttled(context, name, count, slowdown):
    for now_ms in range(10_000, 40_000, 1_000):
        context.relief.note_slowdown('w0', 'quote', 1.8, now_ms)
        context.relief.decide(context.ledger, now_ms)
    assert context.relief.shares('w0') == {name: 0.4}
    context.learner.note_tasks(context.ledger, 40_000)
    for _ in range(count):
        report = _report('quote', 41_000, slowdown)
        context.learner.learn(context.ledger, [report], 44_000)


@behave.when('learning gets a report that "{name}" used {memory:d} MB')
def step_memory(context, name, memory):
    report = _report(name, 1_000, memory_mb=memory)
    context.learner.learn(context.ledger, [report], 4_000)


@behave.then('learning attributes the slowdown to "{cause}" and not "{other}"')
def step_attributes(context, cause, other):
    prior = context.model.prior_excess
    assert context.model.excess('quote', cause) > 0.5
    assert context.model.excess('quote', other) == prior


@behave.then(
    'learning has an excess of {excess:g} within {error:g}'
    ' for "{neighbour}" on "{victim}"'
)
def step_excess(context, excess, error, neighbour, victim):
    learned = context.model.excess(victim, neighbour)
    assert abs(learned - excess) < error, learned


@behave.then('reservations exceed the capacity and relief moves "{name}"')
def step_moves(context, name):
    assert context.ledger.free.memory_mb < 0
    steps = context.relief.decide(context.ledger, 5_000)
    assert [step.task_id for step in steps] == [name]
    assert steps[0].kind is relief.StepKind.MOVE


@behave.then('learning attributes the slowdown to no class')
def step_no_class(context):
    assert context.model.estimates() == ()
