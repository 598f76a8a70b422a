"""Steps for admission.feature."""

import asyncio
import functools
import gc
import math
import random

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import admission
from amaranthflow import exceptions
from amaranthflow import verdict
from amaranthflow_standins import overload_driver
from amaranthflow_standins import reference_admission
from amaranthflow_standins import virtual_time

_LIMIT = 4
_DEADLINE_S = 1.0
_SETTLE_S = 1e-9


class _Bench:
    """An admission queue for a number of slots, in virtual time."""

    def __init__(self, *, slots, limit=_LIMIT):
        self.loop = virtual_time.VirtualLoop()
        self.free = {'s': slots, 'other': slots}
        self.ready = True
        self.reserved = []
        self.tasks = []
        self.queue = self.loop.run_until_complete(self._make(limit))

    async def _make(self, limit):
        return admission.AdmissionQueue(
            clock=self.loop,
            try_reserve=self._try_reserve,
            release=self._release,
            limit=limit,
        )

    def _try_reserve(self, request):
        if not self.ready:
            raise exceptions.NotReady('not the owner any more')
        if not self.free[request.service_id]:
            return None
        self.free[request.service_id] -= 1
        self.reserved.append(request.request_id)
        return request

    def _release(self, request):
        self.free[request.service_id] += 1

    def arrive(
        self,
        tenant,
        service='s',
        deadline_s=_DEADLINE_S,
        run_s=0.0,
        max_wait_s=math.inf,
    ):
        request = admission.AdmissionRequest(
            request_id=str(len(self.tasks)),
            tenant_id=tenant,
            service_id=service,
            deadline_s=self.loop.time() + deadline_s,
            run_s=run_s,
            max_wait_s=max_wait_s,
        )
        self.tasks.append(self.loop.create_task(self.queue.enter(request)))
        self.settle()
        return request

    def settle(self):
        self.pass_time(_SETTLE_S)

    def pass_time(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def free_slot(self, service='s'):
        self.free[service] += 1
        self.queue.wake()

    def outcome(self, number):
        task = self.tasks[number]
        if not task.done():
            return reference_admission.Outcome.WAITING
        if task.cancelled():
            return reference_admission.Outcome.CANCELLED
        if task.exception():
            return reference_admission.Outcome.REFUSED
        return reference_admission.Outcome.GRANTED

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.settle()
        self.loop.close()


@behave.given('an admission queue for {slots:d} slot')
def step_queue(context, slots):
    step_queue_of(context, _LIMIT, slots)


@behave.given('an admission queue of {limit:d} places for {slots:d} slot')
def step_queue_of(context, limit, slots):
    context.bench = _Bench(slots=slots, limit=limit)
    context.expiry = context.bench.loop.create_task(context.bench.queue.run())
    context.add_cleanup(context.bench.close)
    context.add_cleanup(context.expiry.cancel)


@behave.given('the admission weight of "{tenant}" is {weight:d}')
def step_weight(context, tenant, weight):
    context.bench.queue.configure(tenant, weight)


@behave.when('admission requests arrive: {tenants}')
def step_arrive(context, tenants):
    for tenant in tenants.split():
        context.bench.arrive(tenant)


@behave.when('an admission request of service "{service}" arrives')
def step_arrive_other(context, service):
    context.bench.arrive('a', service)


@behave.when('an admission slot is freed')
def step_free_one(context):
    step_free(context, 1)


@behave.when('{count:d} admission slots are freed')
def step_free(context, count):
    for _ in range(count):
        context.bench.free_slot()
    context.bench.settle()


@behave.when('an admission slot is freed each {seconds:f} s, {count:d} times')
def step_free_each(context, seconds, count):
    for _ in range(count):
        context.bench.pass_time(seconds)
        step_free(context, 1)


@behave.when('{seconds:d} s of admission time pass')
def step_pass(context, seconds):
    context.bench.pass_time(seconds)


@behave.when('admission request {number:d} is cancelled')
def step_cancel(context, number):
    context.bench.tasks[number].cancel()
    context.bench.settle()


@behave.when(
    'an admission slot is freed while request {number:d} is cancelled'
)
def step_cancel_granted(context, number):
    context.bench.free_slot()
    assert str(number) in context.bench.reserved
    context.bench.tasks[number].cancel()
    context.bench.settle()


@behave.when('{count:d} admission requests arrive and are cancelled')
def step_wave(context, count):
    bench = context.bench
    for number in range(count):
        request = admission.AdmissionRequest(
            request_id=f'wave{number}',
            tenant_id='a',
            service_id='s',
            deadline_s=1000.0,
        )
        task = bench.loop.create_task(bench.queue.enter(request))
        bench.settle()
        task.cancel()
        bench.settle()


@behave.then(
    'the admission queue keeps references to at most {count:d} requests'
)
def step_no_leak(context, count):
    gc.collect()
    kept = [
        o
        for o in gc.get_objects()
        if isinstance(o, admission.AdmissionRequest)
    ]
    assert len(kept) <= count, len(kept)


@behave.when('the admission owner is no longer ready')
def step_not_ready(context):
    context.bench.ready = False


@behave.when('the admission queue closes')
def step_close(context):
    context.bench.queue.close('the instance stops')
    context.bench.settle()


@behave.then('the admission outcomes are: {outcomes}')
def step_outcomes(context, outcomes):
    numbers = range(len(context.bench.tasks))
    found = [context.bench.outcome(number).value for number in numbers]
    assert found == outcomes.split(), found
    assert len(context.bench.queue) == found.count('waiting')


@behave.then('no refused admission request ever held a slot')
def step_never_held(context):
    assert context.bench.reserved == ['0']


@behave.then('each admission refusal says not run and when to retry')
def step_refusals(context):
    exc = context.bench.tasks[1].exception()
    assert isinstance(exc, exceptions.Overloaded)
    assert exc.verdict is verdict.Verdict.NOT_RUN
    assert exc.retry_after_ms > 0


_WEIGHTS = {'arrive': 50, 'free': 30, 'advance': 15, 'cancel': 5}


class _Comparison:
    """The queue and its reference, which get the same events."""

    def __init__(self):
        self.bench = _Bench(slots=2, limit=5)
        self.reference = reference_admission.ReferenceAdmission(
            limit=5, free={'s': 2, 'other': 2}
        )
        self.bench.queue.configure('b', 2.0)
        self.reference.weights['b'] = 2.0

    def arrive(self, rng):
        now_s = self.bench.loop.time()
        request = self.bench.arrive(
            rng.choice('aaabc'),
            rng.choice(('s', 's', 'other')),
            deadline_s=rng.choice((0.05, 0.5, 2.0)),
            run_s=rng.choice((0.0, 0.04, 0.1)),
            max_wait_s=rng.choice((0.1, 0.3, math.inf)),
        )
        self.reference.enter(request, now_s)

    def free(self, rng):
        service = rng.choice(('s', 's', 'other'))
        self.reference.free_one(service, self.bench.loop.time())
        self.bench.free_slot(service)

    def advance(self, rng):
        self.bench.pass_time(rng.choice((0.01, 0.03, 0.1, 0.7)))

    def cancel(self, rng):
        if self.bench.tasks:
            number = rng.randrange(len(self.bench.tasks))
            self.reference.cancel(str(number))
            self.bench.tasks[number].cancel()

    def check(self):
        self.bench.queue.expire()
        self.reference.expire(self.bench.loop.time())
        self.bench.settle()
        for number in range(len(self.bench.tasks)):
            outcome = self.bench.outcome(number)
            expected = self.reference.requests[str(number)].outcome
            assert outcome is expected, (number, outcome, expected)
        assert self.bench.free == self.reference.free


@hypothesis.settings(max_examples=25)
@hypothesis.given(st.integers(0, 1_000_000), st.integers(1, 250))
def _check_histories(seed, length):
    rng = random.Random(seed)
    comparison = _Comparison()
    names = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()), k=length)
    for name in names:
        getattr(comparison, name)(rng)
        comparison.check()
    comparison.bench.close()


@behave.then('the admission queue and its reference agree on random histories')
def step_agree(context):
    _check_histories()


def _overload(context, load, make_queue, max_wait_s=math.inf):
    context.report = overload_driver.OverloadDriver(
        seed=3,
        load=load,
        seconds=3,
        make_queue=make_queue,
        max_wait_s=max_wait_s,
    ).run()


@behave.when('{load:d} times the capacity arrives at an admission queue')
def step_overload(context, load):
    _overload(
        context, load, functools.partial(admission.AdmissionQueue, limit=200)
    )


@behave.when(
    '{load:d} times the capacity arrives at an admission queue with a '
    'longest wait of {wait:f} s'
)
def step_overload_short(context, load, wait):
    _overload(context, load, admission.AdmissionQueue, wait)


@behave.when('{load:d} times the capacity arrives at a first-come queue')
def step_overload_naive(context, load):
    _overload(context, load, reference_admission.FirstComeQueue)


@behave.then('the admission goodput is at least {least:f} of the capacity')
def step_goodput(context, least):
    assert context.report.goodput >= least, context.report


@behave.then('the admission goodput is below {most:f} of the capacity')
def step_collapse(context, most):
    assert context.report.goodput < most, context.report


@behave.then('no admitted request is answered late')
def step_none_late(context):
    assert context.report.late == 0, context.report


@behave.then('the admission latency is at most {most:f} s at p99')
def step_p99(context, most):
    assert context.report.p99_s <= most, context.report


@behave.then(
    'the admission queue answers small tenants {times:d} times as often as '
    'the greedy one'
)
def step_greedy(context, times):
    greedy, *small = context.report.tenants
    assert min(small) >= times * greedy, context.report
