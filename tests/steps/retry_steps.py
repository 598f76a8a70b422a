"""Steps for retry.feature."""

import random

import behave

from amaranthflow import retry
from amaranthflow import verdict as verdict_lib

_LEFT_MS = 10_000


def _decide(context, **changes):
    arguments = {
        'verdict': verdict_lib.Verdict.NOT_RUN,
        'idempotent': True,
        'attempt': 1,
        'deadline_left_ms': _LEFT_MS,
        'budget': context.budget,
        'now_ms': context.now_ms,
    }
    context.decision = context.policy.decide(**{**arguments, **changes})
    return context.decision


@behave.given('a retry policy of {attempts:d} attempts')
def step_policy(context, attempts):
    context.now_ms = 0
    context.budget = retry.RetryBudget()
    context.policy = retry.RetryPolicy(
        backoff=retry.Backoff(rng=random.Random(1)), max_attempts=attempts
    )


@behave.when(
    'attempt {attempt:d} of a retry request that is {kind} ends "{verdict}"'
)
def step_attempt(context, attempt, kind, verdict):
    _decide(
        context,
        attempt=attempt,
        idempotent=kind == 'idempotent',
        verdict=verdict_lib.Verdict[verdict],
    )


@behave.when('an attempt fails with {left:d} ms of the retry deadline left')
def step_deadline(context, left):
    _decide(context, deadline_left_ms=left)


@behave.when(
    'an attempt is refused with a request to retry after {delay:d} ms'
)
def step_retry_after(context, delay):
    _decide(context, retry_after_ms=delay)


@behave.when(
    '{count:d} first attempts and all their retries fail at one moment'
)
def step_outage(context, count):
    context.retries = 0
    for _ in range(count):
        context.budget.first_attempt()
        attempt = 1
        while _decide(context, attempt=attempt).retry:
            context.retries += 1
            attempt += 1


@behave.when('a retry is refused for the budget')
def step_spent(context):
    while _decide(context).retry:
        pass
    assert context.decision.reason is retry.RetryReason.BUDGET


@behave.when('{seconds:d} s of retry time pass')
def step_pass(context, seconds):
    context.now_ms += seconds * 1000


@behave.then('one more retry is allowed')
def step_one_more(context):
    assert _decide(context).retry
    assert not _decide(context).retry


@behave.then('the retry decision is {reason}')
def step_reason(context, reason):
    assert context.decision.reason is retry.RetryReason[reason]
    assert context.decision.retry == (reason == 'RETRY')


@behave.then('the retry budget still has its token')
def step_token(context):
    assert context.budget.available(context.now_ms)


@behave.then('the retry is made after {delay:d} ms')
def step_delay(context, delay):
    assert context.decision.delay_ms == delay


@behave.then('at most {count:d} retries were allowed')
def step_retries(context, count):
    assert 0.9 * count <= context.retries <= count, context.retries


@behave.given('retry budgets of tenants "{a}" and "{b}"')
def step_budgets(context, a, b):
    context.budgets = retry.RetryBudgets()
    assert context.budgets.for_tenant(a) is not context.budgets.for_tenant(b)


@behave.when('the retry budget of "{tenant}" is spent')
def step_spend(context, tenant):
    while context.budgets.for_tenant(tenant).take(0):
        pass


@behave.then('"{a}" may retry and "{b}" may not')
def step_apart(context, a, b):
    assert context.budgets.for_tenant(a).available(0)
    assert not context.budgets.for_tenant(b).available(0)


@behave.when('{count:d} unknown tenants ask for a retry budget')
def step_many(context, count):
    context.found = {
        id(context.budgets.for_tenant(f'unknown{number}'))
        for number in range(count)
    }


@behave.then('at most {count:d} retry budgets exist')
def step_bounded(context, count):
    assert len(context.found) <= count


@behave.given('a backoff from {base:d} ms to {cap:d} ms')
def step_backoff(context, base, cap):
    context.base_ms = base
    context.cap_ms = cap


def _delays(context, seed, attempt):
    backoff = retry.Backoff(
        rng=random.Random(seed),
        base_ms=context.base_ms,
        cap_ms=context.cap_ms,
    )
    return [backoff.delay_ms(attempt) for _ in range(50)]


@behave.then(
    'the backoff delays of each attempt lie in the upper half of its range'
)
def step_ranges(context):
    for attempt in (1, 2, 5, 7, 8, 40):
        highest = min(context.cap_ms, context.base_ms * 2 ** (attempt - 1))
        delays = _delays(context, 1, attempt)
        assert min(delays) >= highest / 2
        assert max(delays) <= highest


@behave.then('the backoff delays of two seeds differ')
def step_seeds(context):
    assert _delays(context, 1, 4) != _delays(context, 2, 4)
