"""Steps for the stand-in log."""

import asyncio
import random

import behave

from amaranthflow import exceptions
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import log as log_lib
from amaranthflow_standins import scenario


def _make(context, **settings):
    context.clock = clock_lib.FakeClock()
    context.log = log_lib.LogStandin(
        clock=context.clock, rng=random.Random(1), **settings
    )


async def _read_timed(context, start, wait_s):
    begun_s = context.clock.monotonic()
    page = await context.log.read(start, wait_s)
    return page, context.clock.monotonic() - begun_s


def _offsets(text):
    return [int(word) for word in text.split()]


@behave.given('a stand-in log')
def step_log(context):
    _make(context)


@behave.given('a stand-in log that keeps {count:d} entries')
def step_log_count(context, count):
    _make(context, retention_entries=count)


@behave.given('a stand-in log that keeps entries for {seconds:d} seconds')
def step_log_age(context, seconds):
    _make(context, retention_s=seconds)


@behave.given('a stand-in log that accepts {rate:d} appends a second')
def step_log_rate(context, rate):
    _make(context, appends_per_s=rate)


@behave.given(
    'a reader waits for the stand-in log from {start:d} for {wait_s:d} seconds'
)
def step_reader(context, start, wait_s):
    async def begin():
        reader = asyncio.ensure_future(_read_timed(context, start, wait_s))
        await context.clock.settle()
        return reader

    context.reader = scenario.run(context, begin())
    assert not context.reader.done()


@behave.when('{count:d} entries are appended to the stand-in log')
def step_append(context, count):
    for index in range(count):
        scenario.run(context, context.log.append(b'%d' % index))


@behave.when('{seconds:d} seconds pass for the stand-in log')
def step_pass(context, seconds):
    scenario.run(context, context.clock.run_for(seconds))


@behave.when('the stand-in log goes down')
def step_down(context):
    context.log.set_faults(down=True)


@behave.when('the stand-in log loses the next reply')
def step_lose_reply(context):
    context.log.set_faults(lose_replies=1)


@behave.when('the stand-in log loses the next request')
def step_lose_request(context):
    context.log.set_faults(lose_requests=1)


@behave.when('{count:d} appends reach the stand-in log at once')
def step_append_at_once(context, count):
    async def burst():
        appends = [context.log.append(b'') for _ in range(count)]
        gathered = asyncio.gather(*appends, return_exceptions=True)
        await context.clock.run_for(5)
        return await gathered

    context.results = scenario.run(context, burst())


@behave.then(
    'reading the stand-in log from {start:d} gives offsets "{offsets}"'
    ' and next {following:d}'
)
def step_page(context, start, offsets, following):
    page = scenario.run(context, context.log.read(start, 0))
    found = [entry.offset for entry in page.entries]
    assert found == _offsets(offsets), found
    assert page.next_offset == following, page.next_offset


@behave.then(
    'reading the stand-in log from {start:d} finds the offset expired'
)
def step_expired(context, start):
    try:
        scenario.run(context, context.log.read(start, 0))
    except exceptions.OffsetExpired:
        return
    raise AssertionError('the offset was read')


@behave.then(
    'the stand-in log\'s reader got offsets "{offsets}"'
    ' after {seconds:d} seconds'
)
def step_reader_got(context, offsets, seconds):
    _check_reader(context, _offsets(offsets), seconds)


@behave.then(
    'the stand-in log\'s reader got offsets "" after {seconds:d} seconds'
)
def step_reader_got_none(context, seconds):
    _check_reader(context, [], seconds)


def _check_reader(context, offsets, seconds):
    page, elapsed_s = scenario.run(context, _await(context.reader))
    assert [entry.offset for entry in page.entries] == offsets
    assert elapsed_s == seconds, elapsed_s


async def _await(fut):
    return await fut


@behave.then('the stand-in log\'s reader got "{error}"')
def step_reader_error(context, error):
    scenario.run(context, context.clock.settle())
    assert type(context.reader.exception()).__name__ == error


@behave.then(
    'appending to the stand-in log raises "{error}" and keeps {count:d}'
)
def step_append_error(context, error, count):
    try:
        scenario.run(context, context.log.append(b'x'))
    except exceptions.AmaranthflowError as exc:
        assert type(exc).__name__ == error, exc
    else:
        raise AssertionError('the append succeeded')
    context.log.set_faults(down=False)
    assert len(context.log.entries) == count


@behave.then('the stand-in log kept {count:d} of them')
def step_kept(context, count):
    offsets = [r for r in context.results if isinstance(r, int)]
    assert sorted(offsets) == list(range(1, count + 1)), offsets
    assert len(context.log.entries) == count


@behave.then('the stand-in log refused {count:d} of them')
def step_refused(context, count):
    refused = [
        r for r in context.results if isinstance(r, exceptions.PlatformError)
    ]
    assert len(refused) == count, context.results
