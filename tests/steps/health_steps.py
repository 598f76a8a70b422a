"""Steps for health.feature."""

import itertools
import random

import behave

from amaranthflow import health
from amaranthflow import outliers

_MINUTE_MS = 60_000
_numbers = itertools.count()


def _complete(context, worker, job):
    context.findings += context.health.succeeded(
        worker, job, f'job:{job}:1', context.now_ms
    )


def _fail(context, worker, job):
    context.findings += context.health.failed(
        worker, job, f'job:{job}:1', 'exit status 1', context.now_ms
    )


@behave.given('worker health over {count:d} workers')
def step_health(context, count):
    context.now_ms = 0
    context.findings = ()
    context.workers = [f'w{number}' for number in range(count)]
    context.health = health.WorkerHealth(
        rng=random.Random(1), jobs=health.JobHealth()
    )
    for worker in context.workers:
        context.health.add(worker)


@behave.when('health sees {count:d} jobs complete on each of "{workers}"')
def step_complete(context, count, workers):
    for worker in workers.split(','):
        for _ in range(count):
            _complete(context, worker, f'good{next(_numbers)}')


@behave.when('health sees {count:d} different jobs fail on "{worker}"')
def step_fail(context, count, worker):
    context.jobs = [f'job{next(_numbers)}' for _ in range(count)]
    for job in context.jobs:
        _fail(context, worker, job)


@behave.when('health sees job "{job}" fail on "{workers}"')
def step_fail_job(context, job, workers):
    for worker in workers.split(','):
        _fail(context, worker, job)


@behave.when('health sees jobs "{jobs}" fail on each of "{workers}"')
def step_fail_jobs(context, jobs, workers):
    for job in jobs.split(','):
        step_fail_job(context, job, workers)


@behave.when(
    'everything fails on all workers of health for {minutes:d} minutes'
)
def step_outage(context, minutes):
    jobs = [f'job{next(_numbers)}' for _ in range(60)]
    rng = random.Random(3)
    for _ in range(minutes * 6):
        for worker in context.workers:
            if context.health.may_start(worker, context.now_ms):
                _fail(context, worker, rng.choice(jobs))
        context.now_ms += 10_000


@behave.when('{minutes:d} minutes of health time pass')
def step_pass(context, minutes):
    context.now_ms += minutes * _MINUTE_MS


@behave.when('health sees both probes on "{worker}" complete')
def step_probes(context, worker):
    _complete(context, worker, context.probe)
    step_one_probe(context, worker)
    _complete(context, worker, context.probe)


@behave.when('health is notified that the probe on "{worker}" was stopped')
def step_stopped(context, worker):
    context.health.stopped(worker, f'job:{context.probe}:1')


@behave.then('health lets one probe at a time start on "{worker}"')
def step_one_probe(context, worker):
    assert context.health.may_start(worker, context.now_ms)
    context.probe = f'probe{next(_numbers)}'
    task_id = f'job:{context.probe}:1'
    context.health.started(worker, task_id, context.now_ms)
    assert not context.health.may_start(worker, context.now_ms)


@behave.then('health reports "{kind}" about "{subject}"')
def step_reports(context, kind, subject):
    found = [(f.kind.value, f.subject_id) for f in context.findings]
    assert (kind, subject) in found, context.findings
    assert all(f.reason for f in context.findings)


@behave.then('health keeps batch work off "{worker}" only')
def step_off(context, worker):
    assert context.health.avoid(context.now_ms) == {worker}
    assert not context.health.may_start(worker, context.now_ms)


@behave.then('health keeps batch work off no worker')
def step_off_none(context):
    assert context.health.avoid(context.now_ms) == frozenset()


@behave.then('health counts no failure of those jobs')
def step_discarded(context):
    for job in context.jobs:
        assert context.health.jobs.workers(job) == frozenset()


@behave.then('health has quarantined no worker')
def step_none_quarantined(context):
    kinds = {finding.kind for finding in context.findings}
    assert outliers.FindingKind.WORKER_QUARANTINED not in kinds


@behave.then('health has set no job aside')
def step_none_aside(context):
    kinds = {finding.kind for finding in context.findings}
    assert outliers.FindingKind.JOB_SET_ASIDE not in kinds
    assert outliers.FindingKind.COMMON_CAUSE in kinds


@behave.then('health remembers at most {count:d} jobs')
def step_bounded(context, count):
    assert 0 < len(context.health.jobs) <= count


@behave.given('call health over {count:d} workers')
def step_calls(context, count):
    context.now_ms = 0
    context.workers = [f'w{number}' for number in range(count)]
    context.calls = health.CallHealth(rng=random.Random(1))
    for worker in context.workers:
        context.calls.add(worker)


def _call(context, service, worker, *, answered):
    note = context.calls.succeeded if answered else context.calls.failed
    task_id = f'req:{next(_numbers)}:1'
    context.calls.started(service, worker, task_id, context.now_ms)
    note(service, worker, task_id, context.now_ms)


@behave.when(
    'calls of service "{service}" succeed on all workers but "{worker}"'
)
def step_calls_succeed(context, service, worker):
    for other in context.workers:
        for _ in range(10):
            if other != worker:
                _call(context, service, other, answered=True)


@behave.when('{count:d} calls of service "{service}" fail on "{worker}"')
def step_calls_fail(context, count, service, worker):
    for _ in range(count):
        _call(context, service, worker, answered=False)


@behave.when(
    '{count:d} calls of service "{service}" fail on each worker in turn'
)
def step_calls_fail_all(context, count, service):
    for _ in range(count):
        for worker in context.workers:
            _call(context, service, worker, answered=False)


@behave.when('every other call of service "{service}" fails on "{worker}"')
def step_calls_mixed(context, service, worker):
    for number in range(100):
        _call(context, service, worker, answered=number % 2 == 0)


@behave.when('two probe calls of "{service}" to "{worker}" succeed')
def step_probe_calls(context, service, worker):
    context.calls.succeeded(service, worker, 'req:probe:1', context.now_ms)
    _call(context, service, worker, answered=True)


@behave.then('call health keeps "{service}" off "{worker}" but not "{other}"')
def step_calls_off(context, service, worker, other):
    assert context.calls.avoid(service, context.now_ms) == {worker}
    assert not context.calls.may_call(service, worker, context.now_ms)
    assert context.calls.may_call(other, worker, context.now_ms)


@behave.then('call health keeps "{service}" off at most {count:d} workers')
def step_calls_share(context, service, count):
    assert len(context.calls.avoid(service, context.now_ms)) <= count


@behave.then(
    'call health lets one call of "{service}" at a time through to "{worker}"'
)
def step_calls_probe(context, service, worker):
    assert context.calls.may_call(service, worker, context.now_ms)
    context.calls.started(service, worker, 'req:probe:1', context.now_ms)
    assert not context.calls.may_call(service, worker, context.now_ms)
