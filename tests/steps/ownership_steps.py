"""Steps for ownership.feature."""

import behave

from amaranthflow import ids
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import core_fleet

_SAMPLE_S = 0.05
_RACK = ids.RackId('r1')

behave.register_type(Names=lambda text: text.replace(',', ' ').split())


class _Bench:
    """A fleet, sampled while time passes.

    :ivar samples: admitting instances of each sample of the last run.
    :ivar doubles: samples with more than one admitting instance.
    """

    def __init__(self, size, running):
        self.fleet = core_fleet.CoreFleet(size=size)
        self.samples = []
        self.doubles = []
        for instance_id in self.fleet.instance_ids[:running]:
            self.fleet.start(instance_id)
            self.run_for(1)

    def process(self, name):
        return self.fleet.processes[ids.InstanceId(name)]

    def do(self, name, work):
        return self.fleet.spawn(self.process(name), work)

    def run_for(self, seconds):
        self.samples = []
        step_s = _SAMPLE_S if seconds < 100 else 20 * _SAMPLE_S
        for _ in range(round(seconds / step_s)):
            self._sample()
            self.fleet.run_for(step_s)
        self._sample()
        assert not self.fleet.errors, self.fleet.errors

    def _sample(self):
        admitting = [m.instance for m in self.fleet.admitting(_RACK)]
        self.samples.append(admitting)
        if len(admitting) > 1:
            self.doubles.append(admitting)


@behave.given('an ownership fleet of {size:d}')
def step_fleet(context, size):
    context.bench = _Bench(size, size)
    context.add_cleanup(context.bench.fleet.close)


@behave.given(
    'an ownership fleet of {size:d} in which {name:w} serves rack r1'
)
def step_serving(context, size, name):
    step_fleet(context, size)
    step_claims(context, name)
    context.bench.run_for(1)
    assert context.bench.samples[-1] == [name]


@behave.given(
    'an ownership fleet of {size:d} of which {running:d} run and {name:w}'
    ' serves rack r1'
)
def step_part(context, size, running, name):
    context.bench = _Bench(size, running)
    context.add_cleanup(context.bench.fleet.close)
    step_claims(context, name)
    context.bench.run_for(1)


@behave.given(
    'the ownership member {name:w} reaches its peers but not the log'
)
def step_no_log(context, name):
    context.bench.process(name).log_connection.cut = True


@behave.given(
    'the ownership member {name:w} reaches its peers but not the log soon'
)
def step_no_log_soon(context, name):
    context.bench.cut_after_release = name


@behave.given('only the ownership member {name:w} reaches the log')
def step_only_log(context, name):
    for process in context.bench.fleet.live_processes():
        process.log_connection.cut = process.member.instance != name


@behave.given('the ownership log is down')
def step_log_down(context):
    context.bench.fleet.log.set_faults(down=True)


@behave.given('the ownership log keeps the next append without a reply')
def step_lose_reply(context):
    context.bench.fleet.log.set_faults(lose_replies=1)


@behave.given('the ownership member {name:w} is paused')
def step_pause(context, name):
    context.bench.process(name).clock.pause()


@behave.given(
    'the ownership member {name:w} has claimed rack r1 {seconds:d} s ago'
)
def step_claimed(context, name, seconds):
    step_claims(context, name)
    context.bench.run_for(seconds)


@behave.given('nothing arrives from ownership member {name:w}')
def step_one_sided(context, name):
    fleet = context.bench.fleet
    for other in fleet.instance_ids:
        fleet.cut(name, other, both=False)


@behave.given('ownership answers are delayed by {seconds:d} s')
def step_slow_answers(context, seconds):
    context.bench.fleet.reply_delay_s = seconds


@behave.given('the ownership members {names:Names} reach each other only')
def step_isolated(context, names):
    fleet = context.bench.fleet
    for name in names:
        context.bench.process(name).log_connection.cut = True
        for other in fleet.instance_ids:
            if other not in names:
                fleet.cut(name, other)


@behave.when('the ownership member {name:w} claims rack r1')
def step_claims(context, name):
    context.bench.do(name, context.bench.process(name).claim(_RACK))
    context.bench.run_for(0.1)


@behave.when('the ownership member {name:w} releases rack r1')
def step_releases(context, name):
    context.bench.do(name, context.bench.process(name).release(_RACK))
    cut = getattr(context.bench, 'cut_after_release', None)
    if cut is not None:
        # The log stores the append 5 ms after the call; its reply is lost.
        context.bench.fleet.run_for(0.01)
        context.bench.process(cut).log_connection.cut = True
    context.bench.run_for(3)


@behave.when('the ownership member {name:w} wakes')
def step_wakes(context, name):
    context.bench.process(name).clock.resume()
    context.bench.run_for(1)


@behave.when(
    'the ownership members {names:Names} are cut off from {others:Names}'
)
def step_cut(context, names, others):
    for name in names:
        for other in others:
            context.bench.fleet.cut(name, other)


@behave.when('the ownership network is restored')
def step_heal(context):
    context.bench.fleet.heal()


@behave.when('the ownership members {names:Names} die')
def step_die(context, names):
    for name in names:
        context.bench.fleet.kill(ids.InstanceId(name))
    context.bench.run_for(0.1)


@behave.when('the ownership list removes the dead members')
def step_drop(context):
    for process in context.bench.fleet.processes.values():
        if not process.alive:
            context.bench.fleet.drop_from_list(process.member)


@behave.when('the ownership members {names:Names} are restarted')
@behave.when('the ownership members {names:Names} are started')
def step_start(context, names):
    for name in names:
        context.bench.fleet.start(ids.InstanceId(name))
    context.bench.run_for(1)


@behave.when(
    'the ownership member {name:w} is restarted with the state of {peer:w}'
)
def step_start_from_peer(context, name, peer):
    context.bench.fleet.kill(ids.InstanceId(name))
    process = context.bench.fleet.start(ids.InstanceId(name))
    snapshot = context.bench.process(peer).state.snapshot()
    process.follower.adopt(snapshot)
    context.bench.run_for(1)


@behave.when('the ownership member {name:w} closes views')
def step_close(context, name):
    context.bench.run_for(1)
    context.bench.do(name, context.bench.process(name).close_views())
    context.bench.run_for(1)


@behave.then(
    'only the ownership member {name:w} admits on rack r1 after {seconds:g} s'
)
def step_only_after(context, name, seconds):
    context.bench.run_for(seconds)
    assert context.bench.samples[-1] == [name], context.bench.samples[-1]


@behave.then(
    'only the ownership member {name:w} admits on rack r1 for {seconds:g} s'
)
def step_only_for(context, name, seconds):
    context.bench.run_for(seconds)
    assert all(sample == [name] for sample in context.bench.samples)


@behave.then('no ownership member admits on rack r1 after {seconds:g} s')
def step_none_after(context, seconds):
    context.bench.run_for(seconds)
    assert context.bench.samples[-1] == []


@behave.then('no ownership member admits on rack r1 for {seconds:g} s')
def step_none_for(context, seconds):
    context.bench.run_for(seconds)
    assert not any(context.bench.samples)


@behave.then(
    'no ownership member but {name:w} admits on rack r1 for {seconds:g} s'
)
def step_none_but(context, name, seconds):
    context.bench.run_for(seconds)
    assert all(sample in ([], [name]) for sample in context.bench.samples)


@behave.then('no two ownership members ever admitted on rack r1')
def step_never_two(context):
    assert not context.bench.doubles, context.bench.doubles[0]


@behave.then('the ownership member {name:w} keeps {count:d} view')
def step_views(context, name, count):
    views = context.bench.fleet.views(ids.InstanceId(name))
    assert len(views) == count, views


@behave.then(
    'the ownership member {name:w} knows {owner:w} as the owner of rack r1'
)
def step_knows(context, name, owner):
    holding = context.bench.process(name).state.racks.holdings[_RACK]
    assert holding.owner.instance == owner


@behave.then('the ownership member {name:w} is not caught up')
def step_not_caught_up(context, name):
    assert not context.bench.process(name).follower.caught_up


@behave.then(
    'the ownership log refuses an attempt that {name:w} starts on rack r1'
)
def step_attempt(context, name):
    process = context.bench.process(name)
    job = world_pb2.Job(job_id='j1', tenant_id='t', task_class='sort')
    submitted = records_pb2.Record(
        job_submitted=records_pb2.JobSubmitted(job=job)
    )
    started = records_pb2.Record(
        attempt_started=records_pb2.AttemptStarted(
            job_id='t/j1',
            attempt=1,
            worker_id='w1',
            rack_id=_RACK,
            rack_epoch=process.state.racks.epoch(_RACK),
        )
    )
    submit = context.bench.do(name, process.try_write(submitted))
    start = context.bench.do(name, process.try_write(started))
    context.bench.run_for(1)
    assert submit.result()
    assert not start.result()
