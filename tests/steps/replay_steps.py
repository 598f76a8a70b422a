"""Steps for replay.feature."""

import dataclasses
import io

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import world
from amaranthflow_standins import colocation
from amaranthflow_standins import replay
from amaranthflow_standins import replay_policies
from amaranthflow_standins import trace_generator
from amaranthflow_standins import traces

_END_MS = 150_000
_SMALL = dataclasses.replace(
    trace_generator.CONSORTIUM,
    workers=10,
    rack_size=2,
    services=tuple(
        dataclasses.replace(service, per_s=service.per_s / 4)
        for service in trace_generator.CONSORTIUM.services
    ),
)


def _generate(name, deployment=_SMALL, seed=1):
    return trace_generator.generate(
        name=name, deployment=deployment, seed=seed, end_ms=_END_MS
    )


def _full_policy(capacity, slots, seed):
    return replay_policies.FullPolicy(
        capacity=capacity, slots=slots, seed=seed
    )


def _naive_policy(capacity, slots, seed):
    return replay_policies.FirstFitPolicy()


def _outcome(events, make_policy):
    run = replay.Replay(events=events, make_policy=make_policy)
    return dataclasses.replace(run.run(), decision_us=0.0, decisions_per_s=0.0)


@behave.then('each generated trace reads back line by line')
def step_reads_back(context):
    for name in trace_generator.TraceName:
        events = _generate(name)[:1000]
        file = io.StringIO()
        traces.write(events, file)
        file.seek(0)
        assert list(traces.read(file)) == events


@behave.then('generated traces are equal for equal seeds and differ otherwise')
def step_seeds(context):
    name = trace_generator.TraceName.ORDINARY_DAY
    assert _generate(name) == _generate(name)
    assert _generate(name) != _generate(name, seed=2)


@behave.then(
    'the trace of "{deployment}" has {count:d} workers of {cores:d} cores'
    ' and {memory:d} MB, {rack:d} to a rack'
)
def step_sizes(context, deployment, count, cores, memory, rack):
    name = trace_generator.TraceName.ORDINARY_DAY
    events = _generate(name, trace_generator.deployment(deployment))
    workers = [event.worker for event in events if event.HasField('worker')]
    assert len(workers) == count
    assert {worker.capacity.cores for worker in workers} == {cores}
    assert {worker.capacity.memory_mb for worker in workers} == {memory}
    assert {(w.slots, w.connections) for w in workers} == {(8, 60)}
    assert sum(worker.rack_id == 'r0' for worker in workers) == rack


@behave.then(
    'a replay machine completes a task when a small-step simulation does'
)
def step_machine(context):
    change = st.tuples(st.integers(1, 40), st.booleans())

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(st.lists(change, max_size=6), st.floats(0.0, 1.0))
    def check(changes, excess):
        pairs = colocation.PairTable()
        pairs.set('quote', 'noisy', excess)
        machine = colocation.Machine(
            capacity=world.Size(cores=8, memory_mb=1000), pairs=pairs
        )
        machine.add(_running('victim', 'quote', 100.0), 0.0)
        now_ms, noisy, remaining_ms = 0, 0, 100.0
        for elapsed_ms, starts in changes:
            for _ in range(elapsed_ms):
                remaining_ms -= 1.0 / _expected_slowdown(noisy, excess)
            if remaining_ms <= 0:
                break
            now_ms += elapsed_ms
            if starts:
                noisy += 1
                machine.add(_running(f'n{noisy}', 'noisy', 1e9), now_ms)
            elif noisy:
                machine.remove(f'n{noisy}', now_ms)
                noisy -= 1
        else:
            end_ms = now_ms + remaining_ms * _expected_slowdown(noisy, excess)
            assert abs(machine.next_end_ms() - end_ms) < 1e-6

    check()


def _running(task_id, task_class, remaining_ms):
    task = world.Task(
        task_id=task_id,
        tenant_id='house',
        task_class=task_class,
        kind=world.TaskKind.BATCH,
        size=world.ZERO_SIZE,
    )
    return colocation.RunningTask(
        task=task,
        cores=2.0,
        peak_memory_mb=1,
        remaining_ms=remaining_ms,
        started_at_ms=0.0,
    )


def _expected_slowdown(noisy, excess):
    wanted = 2.0 * (1 + noisy) / 8.0
    load = 0.6 + 0.8 * min(1.0, wanted)
    return (1.0 + load * noisy * excess) * max(1.0, wanted)


@behave.given('the replay trace "{name}"')
def step_trace(context, name):
    context.events = _generate(trace_generator.TraceName(name))


@behave.then('replaying it twice under the full policy gives the same outcome')
def step_twice(context):
    first = _outcome(context.events, _full_policy)
    assert first == _outcome(context.events, _full_policy)
    assert first.decisions > 1000


@behave.when('the trace is replayed under the full policy')
def step_whole(context):
    context.replay = replay.Replay(
        events=context.events, make_policy=_full_policy
    )
    context.outcome = context.replay.run()


@behave.then('the replay accounts for each job and each request')
def step_accounts(context):
    arrived = [event.job for event in context.events if event.HasField('job')]
    counts = context.replay.job_counts()
    assert counts.arrived == len(arrived)
    assert counts.completed > 0
    assert counts.waiting == len(context.replay.policy.queue)
    ends = counts.completed + counts.cancelled + counts.set_aside
    assert ends + counts.waiting + counts.running == counts.arrived
    warm_up_ms = context.events[0].header.warm_up_ms
    requests = sum(
        event.HasField('request') and event.at_ms >= warm_up_ms
        for event in context.events
    )
    closed = sum(service.requests for service in context.outcome.services)
    assert requests - 40 <= closed <= requests


@behave.then('the replay p99 of each service is lower under the full policy')
def step_lower(context):
    full = _outcome(context.events, _full_policy)
    naive = _outcome(context.events, _naive_policy)
    for better, worse in zip(full.services, naive.services, strict=True):
        assert better.p99_ms < worse.p99_ms, (better, worse)
