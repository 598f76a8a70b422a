"""Steps for journal.feature."""

import asyncio
import collections
import random

import behave
import hypothesis
from hypothesis import strategies

from amaranthflow import exceptions
from amaranthflow import follower
from amaranthflow import ids
from amaranthflow import journal
from amaranthflow import state as state_lib
from amaranthflow import verdict
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import log as log_lib

_MEMBER = ids.Member(ids.InstanceId('i1'), ids.Incarnation(5))
_INTERVAL_S = 0.1


class _Bench:
    """A journal and a follower of one member over one log."""

    def __init__(self, seed=1):
        self.clock = clock_lib.FakeClock()
        rng = random.Random(seed)
        self.log = log_lib.LogStandin(clock=self.clock, rng=rng)
        self.state = state_lib.State()
        self.append_times = []
        self.journal = journal.Journal(
            log=self,
            clock=self.clock,
            member=_MEMBER,
            batch_delay_s=0.005,
            min_interval_s=lambda: _INTERVAL_S,
            rng=rng,
        )
        self.follower = follower.Follower(
            log=self.log, clock=self.clock, state=self.state, listener=self
        )
        self.writes = {}
        self.loop = asyncio.new_event_loop()
        self.reader = self.loop.create_task(self.follower.run())
        self.writer = self.loop.create_task(self.journal.run())

    async def append(self, data):
        self.append_times.append(self.clock.monotonic())
        return await self.log.append(data)

    def on_applied(self, applied):
        self.journal.note_applied(applied)

    def on_loaded(self):
        self.journal.note_position(self.state)

    def on_confirmed(self, asked_at):
        pass

    def on_invalid(self, exc):
        pass

    def run_for(self, seconds):
        self.loop.run_until_complete(self.clock.run_for(seconds))

    def write(self, name, timeout_s):
        work = self.journal.write(_claim(name), timeout_s)
        self.writes[name] = self.loop.create_task(work)

    def stop_reader(self):
        self.reader.cancel()
        self.run_for(0)

    def outcome(self, name):
        """Returns the result of a write, or the verdict of its error."""
        task = self.writes[name]
        assert task.done(), name
        if task.exception() is not None:
            assert isinstance(task.exception(), exceptions.AmaranthflowError)
            return task.exception().verdict
        return task.result()

    def close(self):
        tasks = [self.reader, self.writer, *self.writes.values()]
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        self.loop.run_until_complete(gathered)
        self.loop.close()


def _claim(name):
    claimed = records_pb2.RequestClaimed(tenant_id='t', request_id=name)
    return records_pb2.Record(request_claimed=claimed)


def _applied_claims(log):
    """Counts the records of each name in the log that take effect."""
    state = state_lib.State()
    counts = collections.Counter()
    for entry in log.entries:
        applied = state.apply(entry.offset, entry.data)
        for record, result in zip(
            applied.batch.records, applied.results, strict=False
        ):
            name = record.request_claimed.request_id
            counts[name] += int(result.accepted)
    return counts


@behave.given('a journal over a log')
def step_journal(context):
    context.bench = _Bench()
    context.add_cleanup(context.bench.close)
    context.bench.run_for(1)


@behave.given("the journal's log loses the next {count:d} replies")
def step_lose(context, count):
    context.bench.log.set_faults(lose_replies=count)


@behave.given("the journal's log is down")
def step_down(context):
    context.bench.log.set_faults(down=True)


@behave.given("the journal's reader is stopped")
def step_stop_reader(context):
    context.bench.stop_reader()


@behave.given("a newer incarnation of the journal's member has written")
def step_newer(context):
    batch = records_pb2.Batch(
        writer=_MEMBER.instance, incarnation=6, sequence=1
    )
    append = context.bench.log.append(batch.SerializeToString())
    context.bench.loop.run_until_complete(append)


@behave.when('the journal writes record "{name}" and {seconds:d} s pass')
def step_write(context, name, seconds):
    context.bench.write(name, timeout_s=seconds - 1)
    context.bench.run_for(seconds)


@behave.when(
    'the journal writes record "{name}" with a timeout of {seconds:g} s'
)
def step_write_timeout(context, name, seconds):
    context.bench.write(name, timeout_s=seconds)
    context.bench.run_for(0.01)


@behave.when('the journal writes "a" for {first:g} s and "b" for {last:g} s')
def step_write_two(context, first, last):
    context.bench.write('a', timeout_s=first)
    context.bench.write('b', timeout_s=last)


@behave.when('the journal\'s log is up again as soon as "{name}" has ended')
def step_up_at_end(context, name):
    while not context.bench.writes[name].done():
        context.bench.run_for(0.001)
    context.bench.log.set_faults(down=False)
    context.bench.run_for(10)


@behave.when('the journal writes {count:d} records and {seconds:d} s pass')
def step_write_many(context, count, seconds):
    for number in range(count):
        context.bench.write(f'r{number}', timeout_s=2 * seconds)
    context.bench.run_for(seconds)
    context.bench.append_times.clear()


@behave.when("the journal's log is up again for {seconds:d} s")
def step_up(context, seconds):
    context.bench.run_for(1)
    context.bench.log.set_faults(down=False)
    context.bench.run_for(seconds)


@behave.when("the journal's reader adopts a peer's state")
def step_adopt(context):
    context.bench.run_for(1)
    peer = state_lib.State()
    for entry in context.bench.log.entries:
        peer.apply(entry.offset, entry.data)
    context.bench.follower.adopt(peer.snapshot())
    context.bench.run_for(1)


@behave.then('the journal\'s record "{name}" is accepted')
def step_accepted(context, name):
    assert context.bench.outcome(name).accepted


@behave.then('the journal\'s record "{name}" has the verdict "{label}"')
def step_verdict(context, name, label):
    outcome = context.bench.outcome(name)
    assert isinstance(outcome, verdict.Verdict), outcome
    assert outcome.label == label, outcome


@behave.then('the journal\'s log state holds "{name}" once')
def step_holds(context, name):
    assert _applied_claims(context.bench.log)[name] == 1


@behave.then('the journal\'s log state holds no "{name}"')
def step_holds_no(context, name):
    assert _applied_claims(context.bench.log)[name] == 0


@behave.then("the journal's log keeps {count:d} append")
def step_appends(context, count):
    assert context.bench.log.append_count == count


@behave.then("the journal's log keeps at most {count:d} appends")
def step_most_appends(context, count):
    assert 0 < context.bench.log.append_count <= count


@behave.then('the journal appended at most {count:d} times a second')
def step_rate(context, count):
    times = context.bench.append_times
    # A window can contain one append more than its length times the rate.
    for start in times:
        within = [at for at in times if start <= at < start + 1]
        assert len(within) <= count + 1, within


@behave.then("the journal's records are all accepted")
def step_all_accepted(context):
    bench = context.bench
    assert all(bench.outcome(name).accepted for name in bench.writes)


@behave.then("the journal's reader has not failed")
def step_reader(context):
    assert not context.bench.reader.done()


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['write', 'down', 'up', 'lose reply', 'lose request', 'refuse']
        ),
        strategies.sampled_from([0.0, 0.004, 0.02, 0.1, 0.5, 1.3, 4.0]),
        strategies.sampled_from([0.01, 0.07, 0.3, 1.0, 3.0]),
    ),
    max_size=30,
)
_FAULTS = {
    'down': {'down': True},
    'up': {'down': False, 'refuse': False},
    'lose reply': {'lose_replies': 1},
    'lose request': {'lose_requests': 1},
    'refuse': {'refuse': True},
}


def _run_events(bench, events):
    for number, (kind, pause_s, timeout_s) in enumerate(events):
        if kind == 'write':
            bench.write(f'r{number}', timeout_s)
        else:
            bench.log.set_faults(**_FAULTS[kind])
        bench.run_for(pause_s)
    bench.log.set_faults(**_FAULTS['up'], lose_replies=0, lose_requests=0)
    bench.run_for(10)


def _check_outcomes(bench):
    counts = _applied_claims(bench.log)
    assert not bench.reader.done()
    for name in bench.writes:
        outcome = bench.outcome(name)
        assert counts[name] <= 1
        if outcome is verdict.Verdict.NOT_RUN:
            assert counts[name] == 0, name
        elif outcome is not verdict.Verdict.MAY_HAVE_RUN:
            assert outcome.accepted and counts[name] == 1, name


@behave.then(
    'a journal under random faults agrees with the log in {count:d} runs'
)
def step_random(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(events=_EVENTS, seed=strategies.integers(0, 1000))
    def check(events, seed):
        bench = _Bench(seed)
        try:
            _run_events(bench, events)
            _check_outcomes(bench)
        finally:
            bench.close()

    check()
