"""Steps for interference.feature."""

import math
import random

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import interference

_PERIOD_MS = 5_000
_YEAR_MS = 365 * 86_400_000


@behave.given('an interference model')
def step_model(context):
    context.model = interference.InterferenceModel()
    context.now_ms = 1_000_000


@behave.when(
    'interference of "{neighbour}" on "{victim}" is reported as'
    ' {slowdown:g} {times:d} times'
)
def step_report(context, neighbour, victim, slowdown, times):
    for _ in range(times):
        context.now_ms += _PERIOD_MS
        measured_at_ms = context.now_ms - 3_000
        context.model.observe(
            victim, {neighbour: 1}, slowdown, measured_at_ms, context.now_ms
        )


@behave.when('an interference report is not a number')
def step_nan(context):
    now_ms = context.now_ms
    context.model.observe('quote', {'sort': 1}, math.nan, now_ms, now_ms)


@behave.when(
    'interference of "{neighbour}" on "{victim}" is reported'
    ' {hours:d} hours late as {slowdown:g}'
)
def step_late(context, neighbour, victim, hours, slowdown):
    now_ms = context.now_ms + hours * 3_600_000
    context.model.observe(
        victim, {neighbour: 1}, slowdown, context.now_ms, now_ms
    )


@behave.when('the interference model gets no report for {seconds:d} s')
def step_alone(context, seconds):
    context.now_ms += seconds * 1000
    context.model.advance(context.now_ms)


@behave.when('interference reports of random mixes follow known excesses')
def step_mixes(context):
    rng = random.Random(3)
    context.excesses = {'sort': 0.4, 'proof': 0.1, 'nest': 0.0}
    for _ in range(300):
        context.now_ms += 1_000
        mix = {name: rng.randint(0, 3) for name in context.excesses}
        slowdown = 1 + sum(n * context.excesses[c] for c, n in mix.items())
        context.model.observe(
            'quote', mix, slowdown, context.now_ms, context.now_ms
        )


@behave.when(
    'interference of {count:d} neighbours is reported to a model'
    ' of {limit:d} pairs'
)
def step_many(context, count, limit):
    context.model = interference.InterferenceModel(max_pairs=limit)
    for number in range(count):
        context.model.observe('quote', {f'c{number}': 1}, 1.2, 0, 0)


@behave.then('{count:d} interference pairs are kept, the newest')
def step_kept(context, count):
    estimates = context.model.estimates()
    assert len(estimates) == count
    assert estimates[-1].neighbour == 'c299'
    assert estimates[0].neighbour == f'c{300 - count}'


@behave.then('each interference excess is learned within {error:g}')
def step_each(context, error):
    for neighbour, excess in context.excesses.items():
        learned = context.model.excess('quote', neighbour)
        assert abs(learned - excess) < error, (neighbour, learned)


@behave.then(
    'the interference predicted for "{victim}" beside "{neighbour}"'
    ' is {slowdown:g} within {error:g}'
)
def step_within(context, victim, neighbour, slowdown, error):
    predicted = context.model.predict(victim, {neighbour: 1})
    assert abs(predicted - slowdown) < error, predicted


@behave.then(
    'the interference predicted for "{victim}" beside "{neighbour}"'
    ' is {side:w} {slowdown:g}'
)
def step_side(context, victim, neighbour, side, slowdown):
    predicted = context.model.predict(victim, {neighbour: 1})
    assert (predicted < slowdown) == (side == 'under'), predicted


@behave.then('an interference model without ageing equals the exact posterior')
def step_posterior(context):
    report = st.tuples(st.integers(1, 4), st.floats(1.0, 4.0))

    @hypothesis.given(st.lists(report, min_size=1, max_size=30))
    def check(reports):
        model = interference.InterferenceModel(half_life_ms=_YEAR_MS)
        for count, slowdown in reports:
            model.observe('quote', {'sort': count}, slowdown, 0, 0)
        expected = _posterior_mean(reports)
        learned = model.estimates()[0].excess
        assert math.isclose(learned, expected, rel_tol=1e-6, abs_tol=1e-9)

    check()


def _posterior_mean(reports):
    """Returns the exact posterior mean of a normal prior.

    The prior is (0.05, 0.3), the noise 0.1.
    """
    precision = 1 / 0.3**2
    weighted = 0.05 / 0.3**2
    for count, slowdown in reports:
        precision += count**2 / 0.1**2
        weighted += count * (slowdown - 1.0) / 0.1**2
    return weighted / precision
