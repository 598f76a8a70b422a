"""Steps for the scheduler's progress_parts.feature."""

import asyncio
import dataclasses

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import metrics
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import progress_writer
from amaranthflow_scheduler import scheduler
from amaranthflow_standins import task_fleet
from amaranthflow_standins import virtual_time

_SMALL_STEP = model.Step(
    count=2, resources=model.Resources(500, 100, 0), estimate_ms=200
)


def _run(context, work):
    return context.loop.run_until_complete(work)


async def _replace_instances(fleet):
    for name in list(fleet.nodes):
        await fleet.kill(name)
        fleet.start_node()
    await fleet.wait_leader(20.0)
    # Workers are silent to the new leader until their leases have ended.
    await asyncio.sleep(8.0)


@behave.given(
    "the task fleet's store accepts records of up to {count:d} bytes"
)
def step_limit(context, count):
    fleet = context.fleet
    fleet.limits = dataclasses.replace(fleet.limits, record_bytes=count)
    fleet.store.faults.record_bytes = count
    _run(context, _replace_instances(fleet))


@behave.when('{count:d} small task jobs are accepted beside it')
def step_small(context, count):
    context.small = [f's{number}' for number in range(count)]
    for job_id in context.small:
        context.fleet.jobs_steps[job_id] = [_SMALL_STEP]
        _run(context, context.fleet.submit(job_id, [_SMALL_STEP]))


@behave.then('the small task jobs are completed')
def step_small_done(context):
    for job_id in context.small:
        state = _run(context, context.fleet.query_state(job_id))
        assert state is model.JobState.COMPLETED, (job_id, state)


@behave.then('task job "{job_id}" can be cancelled within {seconds:g} s')
def step_cancel(context, job_id, seconds):
    cancel = context.fleet.cancel(job_id)
    _run(context, asyncio.wait_for(cancel, seconds))


def _refused(fleet):
    found = 0
    for node in fleet.nodes.values():
        for line in node.meters.render().decode().splitlines():
            if line.startswith('amaranthflow_progress_refused_total'):
                found += int(line.rsplit(' ', 1)[1])
    return found


@behave.then('no record of the task fleet was refused')
def step_none_refused(context):
    assert not _refused(context.fleet)


@behave.then("no part of a job is left in the task fleet's store")
def step_no_part(context):
    _run(context, asyncio.sleep(4.0))
    batch = _run(
        context, context.fleet.store.link('test').newest(ports.Table.PROGRESS)
    )
    keys = [record.key for record in batch.records if record.value]
    assert not [key for key in keys if b'/' in key], keys


class _Store:
    """Stores records, except those of some jobs or for some time.

    :ivar refused: keys of records that it refuses for good.
    :ivar busy_until_s: until when it refuses all.
    """

    def __init__(self, loop):
        self.loop = loop
        self.refused = set()
        self.busy_until_s = 0.0
        self.stored = []
        self.refusals_s = []

    async def append(self, table, items, **options):
        await asyncio.sleep(0.005)
        if self.loop.time() < self.busy_until_s:
            raise exceptions.PlatformError('status 503')
        if any(key in self.refused for key, _ in items):
            self.refusals_s.append(self.loop.time())
            raise ports.RecordRefused('status 400')
        self.stored.extend(key for key, _ in items)
        return 0


class _Clock:
    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        return self._loop.time()


def _writer(context):
    context.loop = virtual_time.VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.store = _Store(context.loop)
    context.meters = metrics.Metrics()
    context.core = scheduler.Scheduler(
        limits=task_fleet.LIMITS, token=model.Token(1), now_s=0.0
    )
    return progress_writer.ProgressWriter(
        store=context.store,
        core=context.core,
        token=model.Token(1),
        meters=context.meters,
        clock=_Clock(context.loop),
    )


@behave.given(
    'a progress writer whose store refuses each record of job "{job_id}"'
)
def step_refusing(context, job_id):
    context.writer = _writer(context)
    context.store.refused.add(job_id.encode())


@behave.given('a progress writer whose store is busy for {seconds:g} s')
def step_busy(context, seconds):
    context.writer = _writer(context)
    context.store.busy_until_s = seconds


async def _write(context):
    task = asyncio.create_task(context.writer.run())
    await asyncio.wait_for(context.writer.flush(), 3.0)
    context.writer.wake()
    # The writer looks at its clock with the next change.
    for _ in range(14):
        await asyncio.sleep(0.5)
        await context.writer.flush()
    task.cancel()
    await asyncio.wait([task])


@behave.when('jobs "{first}" and "{second}" change')
def step_change(context, first, second):
    for job_id in (first, second):
        job = task_fleet.make_job(job_id, [_SMALL_STEP], context.loop)
        context.core.add_job(job)
        context.core.dirty.add(ids.JobId(job_id))
    _run(context, _write(context))


@behave.then(
    'the change of job "{job_id}" is stored, and those who wait are told'
)
def step_stored(context, job_id):
    # Those who wait were told, as the flushes returned.
    assert set(context.store.stored) == {job_id.encode()}, context.store.stored


@behave.then(
    'the refusal of job "{job_id}" is counted and tried again after '
    '{seconds:g} s'
)
def step_counted(context, job_id, seconds):
    first_s, *others_s = context.store.refusals_s
    later_s = [at_s for at_s in others_s if at_s > first_s + 0.5]
    assert later_s, context.store.refusals_s
    assert min(later_s) >= first_s + seconds, context.store.refusals_s
    rendered = context.meters.render().decode()
    assert 'amaranthflow_progress_refused_total 2' in rendered, rendered


@behave.then('the changes of both jobs are stored')
def step_both(context):
    assert set(context.store.stored) == {b'j1', b'j2'}, context.store.stored
    assert 'progress_refused' not in context.meters.render().decode()
