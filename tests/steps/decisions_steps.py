"""Steps for decisions.feature."""

import behave

from amaranthflow import decisions


def _add(context, subject, tenant, kind, reason='because'):
    context.at_ms += 1
    context.log.add(
        subject, tenant, decisions.DecisionKind(kind), reason, context.at_ms
    )


@behave.given(
    'a decision log that saw "{kinds}" of {noun} "{subject}" of "{tenant}"'
)
def step_log(context, kinds, noun, subject, tenant):
    context.at_ms = 0
    context.log = decisions.DecisionLog()
    for kind in kinds.split(','):
        _add(context, subject, tenant, kind)


@behave.given(
    'the decision log saw "{kind}" of worker "{subject}" of "{tenant}"'
)
def step_saw(context, kind, subject, tenant):
    _add(context, subject, tenant, kind)


@behave.given(
    'the decision log saw "{kind}" of worker "{subject}" of operators'
)
def step_saw_operators(context, kind, subject):
    _add(context, subject, '', kind)


@behave.given(
    'a decision log that saw {count:d} decisions on job "{job}" of "{tenant}"'
)
def step_many(context, count, job, tenant):
    context.at_ms = 0
    context.log = decisions.DecisionLog()
    for number in range(count):
        _add(context, job, tenant, 'placed', reason=str(number))


@behave.when('the decision log sees {count:d} jobs of "{tenant}"')
def step_jobs(context, count, tenant):
    context.last = count - 1
    for number in range(count):
        _add(context, f'{tenant}{number}', tenant, 'placed')


def _explained(context, subject, tenant):
    found = context.log.explain(tenant, subject)
    return ','.join(decision.kind.value for decision in found)


@behave.then('the decision log explains "{subject}" to "{tenant}" as ""')
def step_explains_nothing(context, subject, tenant):
    assert _explained(context, subject, tenant) == ''


@behave.then(
    'the decision log explains "{subject}" to "{tenant}" as "{kinds}"'
)
def step_explains(context, subject, tenant, kinds):
    assert _explained(context, subject, tenant) == kinds


@behave.then('the decision log explains "{subject}" to operators as "{kinds}"')
def step_explains_all(context, subject, kinds):
    assert _explained(context, subject, '') == kinds


@behave.then(
    'the decision log keeps the newest {count:d} on job "{job}" of "{tenant}"'
)
def step_newest(context, count, job, tenant):
    reasons = [d.reason for d in context.log.explain(tenant, job)]
    assert reasons == [str(number) for number in range(100 - count, 100)]


@behave.then('the decision log keeps {least:d} to {most:d} subjects')
def step_bounded(context, least, most):
    assert least <= len(context.log) <= most


@behave.then(
    'the decision log explains the newest job of "{tenant}" but not its oldest'
)
def step_oldest(context, tenant):
    assert _explained(context, f'{tenant}{context.last}', tenant)
    assert not _explained(context, f'{tenant}0', tenant)
