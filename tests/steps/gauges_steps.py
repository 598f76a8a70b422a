"""Steps for gauges.feature."""

import asyncio
import types

import behave

from amaranthflow import ids
from amaranthflow import racks
from amaranthflow_daemon import gauges
from amaranthflow_daemon import metrics
from amaranthflow_schema.v1 import peer_pb2

_MEMBER = ids.Member(ids.InstanceId('i1'), ids.Incarnation(1))


class _Metrics:
    """Records the metrics that are sent."""

    def __init__(self, enabled):
        self.enabled = enabled
        self.gauges = []
        self.counts = []

    def gauge(self, metric, value):
        self.gauges.append((metric, value))

    def count(self, metric, *, n=1):
        assert metric is metrics.Metric.LOG_APPENDS
        self.counts.append(n)


class _LateClock:
    """Oversleeps, and cancels the sender after some periods."""

    def __init__(self, late_s, periods):
        self._now = 0.0
        self._late_s = late_s
        self._periods = periods

    def monotonic(self):
        return self._now

    async def sleep(self, seconds):
        if self._periods == 0:
            raise asyncio.CancelledError
        self._periods -= 1
        self._now += seconds + self._late_s


def _node(sent):
    registry = racks.RackTable()
    for name in ('a', 'b'):
        registry.holdings[name] = racks.RackHolding(
            rack_id=name, owner=_MEMBER, epoch=1, claim_offset=1
        )
    jobs = types.SimpleNamespace(waiting=range(4), running=range(2))
    return types.SimpleNamespace(
        member=_MEMBER,
        metrics=sent,
        state=types.SimpleNamespace(racks=registry, jobs=jobs),
        ownership=types.SimpleNamespace(admits=lambda rack: rack == 'a'),
        follower=types.SimpleNamespace(reachable=True),
        journal=types.SimpleNamespace(appends=0),
    )


def _make_gauges(context, enabled):
    context.sent = _Metrics(enabled)
    context.node = _node(context.sent)
    links = {
        'i2': types.SimpleNamespace(connected=True),
        'i3': types.SimpleNamespace(connected=False),
    }
    context.gauges = gauges.Gauges(
        node=context.node,
        peers=types.SimpleNamespace(links=links),
        load=lambda: peer_pb2.LoadSummary(free_slots=5, total_slots=8),
        queue=range(3),
    )


@behave.given(
    'a gauges sender for an instance with 2 racks of which 1 is fenced'
)
def step_sender(context):
    _make_gauges(context, True)


@behave.given('a gauges sender without a receiver')
def step_no_receiver(context):
    _make_gauges(context, False)


@behave.when('the gauges are sent with a lag of {lag:d} ms')
def step_send(context, lag):
    context.gauges.send(lag)


@behave.when('the gauges are sent after 5, 9, 9 and 2 appends')
def step_appends(context):
    for appends in (5, 9, 9, 2):
        context.node.journal.appends = appends
        context.gauges.send(0)


def _run(context, late_s, periods):
    context.node.clock = _LateClock(late_s, periods)
    try:
        asyncio.run(context.gauges.run())
    except asyncio.CancelledError:
        return


@behave.when('the gauges run for 3 s on a clock that sleeps 40 ms too long')
def step_run(context):
    _run(context, 0.04, 3)


@behave.when('the gauges run until they stop')
def step_run_end(context):
    _run(context, 0, 1)


@behave.then('the gauges are "{text}"')
@behave.then('the gauges are ""')
def step_gauges(context, text=''):
    shown = [
        f'{metric.value.name}={value}'
        for metric, value in context.sent.gauges
        if metric is not metrics.Metric.RESIDENT_MB
    ]
    assert sorted(shown) == sorted(text.split()), shown


@behave.then('the gauges report the resident memory of this process')
def step_resident(context):
    value = dict(context.sent.gauges)[metrics.Metric.RESIDENT_MB]
    assert 10 < value < 4096, value


@behave.then('the gauges count 5, 4 and 2 appends')
def step_counts(context):
    assert context.sent.counts == [5, 4, 2], context.sent.counts


@behave.then('the gauges report a lag of {lag:d} ms each time')
def step_lag(context, lag):
    lags = [
        round(value, 6)
        for metric, value in context.sent.gauges
        if metric is metrics.Metric.LOOP_LAG_MS
    ]
    assert lags == [lag] * 3, lags
