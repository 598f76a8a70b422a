"""Steps for the invariant checks."""

import behave

from amaranthflow import ids
from amaranthflow import verdict as verdict_lib
from amaranthflow_standins import checks
from amaranthflow_standins import history
from amaranthflow_standins import observations
from amaranthflow_standins import report

_TENANT = ids.TenantId('house-a')


def _observed(context):
    if 'observed' not in context:
        worker = history.WorkerHistory(worker_id=ids.WorkerId('w1'))
        context.observed = observations.Observations(workers=[worker])
    return context.observed


def _try(sent_s, ended_s, verdict):
    return observations.Try(
        sent_s=sent_s,
        ended_s=ended_s,
        instance_id=ids.InstanceId('i1'),
        verdict=verdict_lib.Verdict[verdict],
        from_instance=True,
    )


def _request(context, request_id):
    by_id = {req.request_id: req for req in _observed(context).requests}
    return by_id[request_id]


def _job(context, job_id):
    return {job.job_id: job for job in _observed(context).jobs}[job_id]


def _add_run(context, **fields):
    fields.setdefault('worker_id', 'w1')
    fields.setdefault('tenant_id', _TENANT)
    run = history.Run(cores=0.0, memory_mb=0, **fields)
    _observed(context).workers[0].runs.append(run)


def _add_request_run(context, request_id, start_s, end_s, **fields):
    _add_run(
        context,
        kind=history.RunKind.REQUEST,
        subject=request_id,
        attempt=1,
        started_s=start_s,
        ended_s=end_s,
        outcome=history.RunOutcome.COMPLETED,
        **fields,
    )


def _add_job_run(context, job_id, attempt, start_s, end_s, outcome, resumed):
    _add_run(
        context,
        kind=history.RunKind.TASK,
        subject=f'job:{job_id}:{attempt}',
        attempt=0,
        started_s=start_s,
        ended_s=end_s,
        outcome=history.RunOutcome(outcome),
        checkpoint=resumed,
        label=f'{_TENANT}/{job_id}',
    )


@behave.given('a checked request "{request_id}" that is not idempotent')
def step_request(context, request_id):
    _add_request(context, request_id, False)


@behave.given('a checked request "{request_id}" that is idempotent')
def step_idempotent_request(context, request_id):
    _add_request(context, request_id, True)


def _add_request(context, request_id, idempotent):
    record = observations.RequestRecord(
        request_id=request_id, tenant_id=_TENANT, idempotent=idempotent
    )
    _observed(context).requests.append(record)


@behave.given(
    'a checked try of "{request_id}" at {sent_s:g} to {ended_s:g}'
    ' that ended "{verdict}"'
)
def step_try(context, request_id, sent_s, ended_s, verdict):
    record = _request(context, request_id)
    record.tries.append(_try(sent_s, ended_s, verdict))


@behave.given('a checked answer to "{request_id}" that is {quality}')
def step_answer(context, request_id, quality):
    _request(context, request_id).right_answer = quality == 'right'


@behave.given('a checked result of "{job_id}" that is wrong')
def step_result(context, job_id):
    _job(context, job_id).right_result = False


@behave.given(
    'a checked request run of "{request_id}" from {start_s:g} to {end_s:g}'
)
def step_request_run(context, request_id, start_s, end_s):
    _add_request_run(context, request_id, start_s, end_s)


@behave.given(
    'a checked request run of "{request_id}" from {start_s:g} to {end_s:g}'
    ' on another worker'
)
def step_other_worker(context, request_id, start_s, end_s):
    _add_request_run(context, request_id, start_s, end_s, worker_id='w2')


@behave.given(
    'a checked request run of "{request_id}" from {start_s:g} to {end_s:g}'
    ' of another tenant'
)
def step_other_tenant(context, request_id, start_s, end_s):
    _add_request_run(context, request_id, start_s, end_s, tenant_id='house-b')


@behave.given(
    'a checked job "{job_id}" that is not idempotent and ended "{phase}"'
)
def step_job(context, job_id, phase):
    _add_job(context, job_id, False, phase)


@behave.given(
    'a checked job "{job_id}" that is idempotent and ended "{phase}"'
)
def step_idempotent_job(context, job_id, phase):
    _add_job(context, job_id, True, phase)


@behave.given('a checked job "{job_id}" that is idempotent and was refused')
def step_refused_job(context, job_id):
    record = _add_job(context, job_id, True, '')
    record.accepted = False
    record.tries = [_try(0, 1, 'NOT_RUN')]


def _add_job(context, job_id, idempotent, phase):
    record = observations.JobRecord(
        job_id=job_id,
        tenant_id=_TENANT,
        idempotent=idempotent,
        accepted=True,
        phase=phase,
        tries=[_try(0.9, 1, 'COMPLETED')],
    )
    _observed(context).jobs.append(record)
    return record


@behave.given(
    'a checked run of "{job_id}" attempt {attempt:d} from {start_s:g}'
    ' to {end_s:g} that ended "{outcome}"'
)
def step_job_run(context, job_id, attempt, start_s, end_s, outcome):
    _add_job_run(context, job_id, attempt, start_s, end_s, outcome, '')


@behave.given(
    'a checked run of "{job_id}" attempt {attempt:d} from {start_s:g}'
    ' to {end_s:g} resumed from "{checkpoint}"'
)
def step_resumed(context, job_id, attempt, start_s, end_s, checkpoint):
    _add_job_run(
        context, job_id, attempt, start_s, end_s, 'completed', checkpoint
    )


@behave.given(
    'a checked run of "{job_id}" attempt {attempt:d} from {start_s:g}'
    ' to {end_s:g} resumed from ""'
)
def step_restarted(context, job_id, attempt, start_s, end_s):
    _add_job_run(context, job_id, attempt, start_s, end_s, 'completed', '')


@behave.given('a checked death of the worker at {at_s:g}')
def step_death(context, at_s):
    _observed(context).died_at_s['w1'] = at_s


@behave.given('a checked instance that exited with {code:d}')
def step_exit(context, code):
    _observed(context).exit_codes['i1'] = code


@behave.given('a checked instance that holds an io_uring ring')
def step_ring(context):
    _observed(context).rules_broken.append('i1 holds anon_inode:[io_uring]')


@behave.given('a checked worker that had {used:d} of {allowed:d} slots in use')
def step_violation(context, used, allowed):
    violation = history.Violation(
        worker_id='w1', limit='slots', allowed=allowed, used=used, at_s=1.0
    )
    _observed(context).workers[0].violations.append(violation)


@behave.given('a checked worker that is leaving since {at_s:g}')
def step_leaving(context, at_s):
    _observed(context).leaving_at_s['w1'] = at_s


@behave.given('a checked read of "{job_id}" by another tenant')
def step_foreign(context, job_id):
    _observed(context).foreign_reads.append(job_id)


@behave.given('a checked outage of the log from {begin_s:g} to {end_s:g}')
def step_outage(context, begin_s, end_s):
    _observed(context).outage = (begin_s, end_s)


@behave.then('the checks find nothing')
@behave.then('the checks find ""')
def step_nothing(context):
    found = checks.check_all(_observed(context))
    assert not found, found


@behave.then('the checks find "{invariant}"')
def step_found(context, invariant):
    found = checks.check_all(_observed(context))
    assert {violation.invariant.value for violation in found} == {invariant}, (
        found
    )


@behave.then('the checks measure an added latency of {seconds:g} s')
def step_added(context, seconds):
    assert checks.added_latencies_s(_observed(context)) == [seconds]


@behave.then(
    "the report's percentile {percent:d} of {low:d} to {high:d} is {value:d}"
)
def step_percentile(context, percent, low, high, value):
    values = list(range(high, low - 1, -1))
    assert report.percentile(values, percent) == value


@behave.given('a checked instance that drains since {at_s:g}')
def step_drains(context, at_s):
    _observed(context).drained_at_s['i1'] = at_s


@behave.given('a checked instance that was killed at {at_s:g}')
def step_killed(context, at_s):
    _observed(context).killed_at_s['i2'] = at_s


@behave.given('a checked cancellation of "{job_id}"')
def step_cancel(context, job_id):
    _job(context, job_id).cancel_sent = True


@behave.then('the checks count {count:d} evictions')
def step_evictions(context, count):
    assert checks.evictions(_observed(context)) == count
