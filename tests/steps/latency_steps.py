"""Steps for latency.feature."""

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import latency


@behave.given('latency histograms with records of tenants "{a}" and "{b}"')
def step_tenants(context, a, b):
    context.histograms = latency.LatencyHistograms()
    for tenant in (a, b):
        context.histograms.record(tenant, 'quote', 1000.0)


@behave.given('latency histograms with records of {low:d} us and {high:d} us')
def step_outside(context, low, high):
    context.histograms = latency.LatencyHistograms()
    for value in (low, high):
        context.histograms.record('a', 'quote', value)


@behave.given(
    'latency histograms with one record for each of {count:d} tenants'
)
def step_many(context, count):
    context.histograms = latency.LatencyHistograms()
    for number in range(count):
        context.histograms.record(f't{number}', 'quote', 1000.0)


@behave.when('the latency histograms are reset')
def step_reset(context):
    context.histograms.reset()


def _check_tenants(rows, tenants):
    assert ','.join(row.tenant_id for row in rows) == tenants


@behave.then('the latency rows for operators are of tenants "{tenants}"')
def step_operators(context, tenants):
    _check_tenants(context.histograms.rows(), tenants)


@behave.then('the latency rows for operators are of tenants ""')
def step_operators_none(context):
    _check_tenants(context.histograms.rows(), '')


@behave.then('the latency rows for "{tenant}" are of tenants "{tenants}"')
def step_rows(context, tenant, tenants):
    _check_tenants(context.histograms.rows(tenant), tenants)


@behave.then('the latency rows for "{tenant}" are of tenants ""')
def step_rows_none(context, tenant):
    _check_tenants(context.histograms.rows(tenant), '')


@behave.then(
    'the latency row counts {count:d} with a greatest value of {ms:d} ms'
)
def step_row(context, count, ms):
    (row,) = context.histograms.rows('a')
    assert (row.count, row.max_ms) == (count, ms), row


@behave.then(
    'there are {count:d} latency histograms that count {records:d} records'
)
def step_bounded(context, count, records):
    assert len(context.histograms) == count
    assert sum(row.count for row in context.histograms.rows()) == records


@hypothesis.settings(max_examples=30)
@hypothesis.given(st.lists(st.integers(1, 60_000_000), min_size=1))
def _check_percentiles(values):
    histograms = latency.LatencyHistograms()
    for value in values:
        histograms.record('a', 'quote', value)
    (row,) = histograms.rows('a')
    values.sort()
    assert row.max_ms == values[-1] / 1000
    for part, found_ms in (
        (0.5, row.p50_ms),
        (0.99, row.p99_ms),
        (0.999, row.p999_ms),
    ):
        rank = max(1, int(part * len(values) + 0.5))
        expected_ms = values[rank - 1] / 1000
        assert expected_ms <= found_ms <= expected_ms * 1.02


@behave.then('latency percentiles agree with sorted values on random records')
def step_percentiles(context):
    _check_percentiles()
