"""Steps for quarantine.feature."""

import random

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import quarantine

_REASON = 'failed'


@behave.given('a quarantine of {count:d} workers')
def step_members(context, count):
    context.now_ms = 0
    context.quarantine = quarantine.Quarantine(rng=random.Random(1))
    for number in range(count):
        context.quarantine.add(f'm{number}')


@behave.when('quarantine excludes "{member}"')
def step_enter(context, member):
    assert context.quarantine.exclude(member, _REASON, context.now_ms)


@behave.then('quarantine refuses to exclude "{member}"')
def step_refuse(context, member):
    assert not context.quarantine.exclude(member, _REASON, context.now_ms)


@behave.when('{seconds:d} s of quarantine time pass')
def step_pass(context, seconds):
    context.now_ms += seconds * 1000


@behave.when('the quarantine starts probe "{probe}" on "{member}"')
def step_probe(context, probe, member):
    assert context.quarantine.may_use(member, context.now_ms)
    context.quarantine.started(member, probe, context.now_ms)


@behave.when(
    '{count:d} tasks start on "{member}" without a check by the quarantine'
)
def step_unasked(context, count, member):
    for number in range(count):
        context.quarantine.started(member, f'x{number}', context.now_ms)


@behave.when('quarantine probe "{probe}" on "{member}" succeeds')
def step_succeeds(context, probe, member):
    context.quarantine.succeeded(member, probe, context.now_ms)


@behave.when('quarantine probe "{probe}" on "{member}" fails')
def step_fails(context, probe, member):
    context.quarantine.failed(member, probe, context.now_ms)


@behave.when('"{member}" passes the probation of the quarantine')
def step_restore(context, member):
    context.now_ms += 40_000
    restored = False
    for probe in ('p1', 'p2'):
        step_probe(context, probe, member)
        restored = context.quarantine.succeeded(member, probe, context.now_ms)
    assert restored


@behave.when(
    'probes start on "{member}" each {seconds:d} s, as long as the '
    'quarantine lets them'
)
def step_probes(context, member, seconds):
    context.probes = 0
    for number in range(10):
        if context.quarantine.may_use(member, context.now_ms):
            step_probe(context, f'p{number}', member)
            context.probes += 1
        context.now_ms += seconds * 1000


@behave.then('{count:d} quarantine probes run on "{member}"')
def step_count(context, count, member):
    assert context.probes == count, context.probes


@behave.then('"{member}" is {phase} and gets {amount} from the quarantine')
def step_phase(context, member, phase, amount):
    phases = {
        'healthy': quarantine.Phase.HEALTHY,
        'quarantined': quarantine.Phase.QUARANTINED,
        'on probation': quarantine.Phase.PROBATION,
    }
    found = context.quarantine.phase(member, context.now_ms)
    assert found is phases[phase], found
    usable = context.quarantine.may_use(member, context.now_ms)
    assert usable == (amount == 'work')
    reason = context.quarantine.reason(member)
    assert reason == ('' if phase == 'healthy' else _REASON)


_members = st.sampled_from([f'm{number}' for number in range(10)])
_probes = st.sampled_from('pqr')
_operations = st.one_of(
    st.tuples(st.sampled_from(('exclude', 'remove', 'add')), _members),
    st.tuples(
        st.sampled_from(('started', 'succeeded', 'failed')), _members, _probes
    ),
    st.tuples(st.just('pass'), st.sampled_from((1, 40, 120, 4000))),
)


@hypothesis.settings(max_examples=60)
@hypothesis.given(st.lists(_operations, max_size=80))
def _check_share(operations):
    members = quarantine.Quarantine(rng=random.Random(1), max_share=0.3)
    known = set()
    now_ms = 0
    for name, *arguments in operations:
        if name == 'pass':
            now_ms += arguments[0] * 1000
        elif name == 'exclude':
            out = len(members.excluded())
            allowed = max(1, int(0.3 * len(known)))
            was_out = arguments[0] in members.excluded()
            entered = members.exclude(arguments[0], _REASON, now_ms)
            possible = arguments[0] in known and out < allowed
            assert entered == (was_out or possible)
        elif name in ('add', 'remove'):
            getattr(members, name)(*arguments)
            change = known.add if name == 'add' else known.discard
            change(*arguments)
        else:
            getattr(members, name)(*arguments, now_ms)
        assert set(members.excluded()) <= known


@behave.then('the quarantine keeps to its share on random histories')
def step_share(context):
    _check_share()
