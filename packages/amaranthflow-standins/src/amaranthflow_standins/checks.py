"""Checks of invariants, from observations of callers and workers only."""

import collections
import dataclasses
import enum
import itertools
import math
import typing as t

from amaranthflow import verdict as verdict_lib

from . import history
from . import observations

# The platform's list is delayed, so that a leaving worker may still receive
# work for a few seconds.
LEAVING_GRACE_S = 5.0
OUTAGE_ANSWERED_SHARE = 0.95
# Leases granted by a killed instance lapse within this time.
KILL_LAPSE_S = 6.0

_FINAL_PHASES = frozenset(('completed', 'cancelled', 'set-aside'))
_RESUMABLE = frozenset(
    (history.RunOutcome.STOPPED, history.RunOutcome.LEASE_LAPSED)
)


class Invariant(enum.Enum):
    """An invariant whose violation can be observed."""

    NOT_LOST = 'lost'
    NOT_DOUBLED = 'doubled'
    RIGHT_ANSWERS = 'wrong_answers'
    TRUE_NOT_RUN = 'false_not_run'
    WITHIN_CAPACITY = 'over_capacity'
    LEAVING_IDLE = 'work_on_leaving'
    GRACEFUL_STOP = 'ungraceful_stop'
    TENANTS_APART = 'foreign_reads'
    MACHINE_RULES = 'machine_rules'
    OUTAGE = 'outage'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InvariantViolation:
    """One observed violation of an invariant."""

    invariant: Invariant
    subject: str
    detail: str


def check_all(observed: observations.Observations) -> list[InvariantViolation]:
    """Returns every violation found."""
    checks = (
        check_lost,
        check_doubled_requests,
        check_doubled_jobs,
        check_answers,
        check_not_run,
        check_capacity,
        check_leaving,
        check_stops,
        check_drains,
        check_tenants,
        check_rules,
        check_outage,
    )
    return [violation for check in checks for violation in check(observed)]


def check_lost(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """Every accepted job reaches a final phase; idempotent ones complete."""
    for job in observed.jobs:
        if not job.accepted:
            continue
        if job.phase not in _FINAL_PHASES:
            detail = f'accepted, but "{job.phase}" at the end'
        elif job.phase == 'set-aside' and job.idempotent:
            detail = f'idempotent, but set aside: {job.reason}'
        elif job.phase == 'cancelled' and not job.cancel_sent:
            detail = 'cancelled, but not by its caller'
        else:
            continue
        yield InvariantViolation(
            invariant=Invariant.NOT_LOST, subject=job.label, detail=detail
        )
    for req in observed.requests:
        if not req.tries:
            yield InvariantViolation(
                invariant=Invariant.NOT_LOST,
                subject=req.request_id,
                detail='never sent',
            )


def check_doubled_requests(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """A non-idempotent request runs at most once."""
    runs = _request_runs(observed)
    for req in observed.requests:
        matching = runs[req.tenant_id, req.request_id]
        if not req.idempotent and len(matching) > 1:
            yield InvariantViolation(
                invariant=Invariant.NOT_DOUBLED,
                subject=req.request_id,
                detail=f'ran {len(matching)} times: {_describe(matching)}',
            )


def check_doubled_jobs(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """A job has one run at a time, and completes only once."""
    runs = _job_runs(observed)
    for job in observed.jobs:
        matching = sorted(runs[job.label], key=lambda run: run.started_s)
        for detail in _duplicate_runs(job, matching, observed.died_at_s):
            yield InvariantViolation(
                invariant=Invariant.NOT_DOUBLED,
                subject=job.label,
                detail=f'{detail}: {_describe(matching)}',
            )


def _duplicate_runs(
    job: observations.JobRecord,
    runs: list[history.Run],
    died_at_s: t.Mapping[str, float],
) -> t.Iterator[str]:
    counts = collections.Counter(run.subject for run in runs)
    if counts and max(counts.values()) > 1:
        yield 'the same attempt ran twice'
    for first, second in itertools.pairwise(runs):
        if first.ended_s is None or second.started_s < first.ended_s:
            yield 'runs overlap'
        elif first.outcome is history.RunOutcome.COMPLETED:
            if not (
                job.idempotent and _completion_lost(first, second, died_at_s)
            ):
                yield 'ran again after completion'
        elif not job.idempotent and not _is_resumed(first, second):
            yield 'not idempotent, but ran again'


def _completion_lost(
    first: history.Run,
    second: history.Run,
    died_at_s: t.Mapping[str, float],
) -> bool:
    """Returns whether the worker may have died before reporting the end."""
    died_s = died_at_s.get(first.worker_id)
    return died_s is not None and died_s < second.started_s


def _is_resumed(first: history.Run, second: history.Run) -> bool:
    return first.outcome in _RESUMABLE and bool(second.checkpoint)


def check_answers(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """Each answer or result is complete and belongs to its request or job."""
    for req in observed.requests:
        if req.right_answer is False:
            yield InvariantViolation(
                invariant=Invariant.RIGHT_ANSWERS,
                subject=req.request_id,
                detail='the answer is incomplete or of another request',
            )
    for job in observed.jobs:
        if job.right_result is False:
            yield InvariantViolation(
                invariant=Invariant.RIGHT_ANSWERS,
                subject=job.label,
                detail='the result is incomplete or of another job',
            )


def check_not_run(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """Requests and jobs reported as not run did not run."""
    runs = _request_runs(observed)
    for req in observed.requests:
        for run in runs[req.tenant_id, req.request_id]:
            last_try = _last_try_before(req.tries, run.started_s)
            if last_try is None or not _reported_not_run(last_try):
                continue
            yield InvariantViolation(
                invariant=Invariant.TRUE_NOT_RUN,
                subject=req.request_id,
                detail=f'ran on {run.worker_id} despite "{last_try.reason}"',
            )
    job_runs = _job_runs(observed)
    for job in observed.jobs:
        refused = job.tries and all(
            _reported_not_run(client_try) for client_try in job.tries
        )
        if refused and job_runs[job.label]:
            yield InvariantViolation(
                invariant=Invariant.TRUE_NOT_RUN,
                subject=job.label,
                detail=f'ran despite "{job.tries[-1].reason}"',
            )


def _reported_not_run(client_try: observations.Try) -> bool:
    return client_try.verdict is verdict_lib.Verdict.NOT_RUN


def _last_try_before(
    tries: list[observations.Try], at_s: float
) -> observations.Try | None:
    """Returns the newest try sent before a run, which must have caused it."""
    sent = [client_try for client_try in tries if client_try.sent_s <= at_s]
    return sent[-1] if sent else None


def check_capacity(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """No worker receives more work than its limits allow."""
    for worker in observed.workers:
        for violation in worker.violations:
            yield InvariantViolation(
                invariant=Invariant.WITHIN_CAPACITY,
                subject=worker.worker_id,
                detail=(
                    f'{violation.used:g} {violation.limit} of'
                    f' {violation.allowed:g} at {violation.at_s:.3f} s'
                ),
            )


def check_leaving(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """A leaving worker receives no new work after the grace period."""
    for worker in observed.workers:
        leaving_s = observed.leaving_at_s.get(worker.worker_id)
        if leaving_s is None:
            continue
        for run in worker.runs:
            late_s = run.started_s - leaving_s
            if late_s > LEAVING_GRACE_S:
                yield InvariantViolation(
                    invariant=Invariant.LEAVING_IDLE,
                    subject=run.subject,
                    detail=f'started on {run.worker_id} {late_s:.1f} s late',
                )


def check_stops(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """A drained instance exits with code 0."""
    for instance_id, code in observed.exit_codes.items():
        if code != 0:
            detail = 'did not exit' if code is None else f'exit code {code}'
            yield InvariantViolation(
                invariant=Invariant.GRACEFUL_STOP,
                subject=instance_id,
                detail=detail,
            )


def check_drains(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """A drained instance answers its requests and hands over its tasks."""
    for instance_id, begun_s in observed.drained_at_s.items():
        for req in observed.requests:
            if any(
                _cut_off(client_try, instance_id, begun_s)
                for client_try in req.tries
            ):
                yield InvariantViolation(
                    invariant=Invariant.GRACEFUL_STOP,
                    subject=req.request_id,
                    detail=f'no response from {instance_id} while it drained',
                )
        killed_s = max(observed.killed_at_s.values(), default=-math.inf)
        for run in _lapsed_runs(
            observed, max(begun_s, killed_s + KILL_LAPSE_S)
        ):
            yield InvariantViolation(
                invariant=Invariant.GRACEFUL_STOP,
                subject=run.subject,
                detail=f'its lease lapsed after {instance_id} drained',
            )


def _cut_off(
    client_try: observations.Try, instance_id: str, begun_s: float
) -> bool:
    return (
        client_try.instance_id == instance_id
        and client_try.ended_s > begun_s
        and client_try.verdict is verdict_lib.Verdict.MAY_HAVE_RUN
    )


def _lapsed_runs(
    observed: observations.Observations,
    begin_s: float,
    end_s: float = math.inf,
) -> t.Iterator[history.Run]:
    for worker in observed.workers:
        for run in worker.runs:
            lapsed = run.outcome is history.RunOutcome.LEASE_LAPSED
            if lapsed and begin_s < run.ended_s < end_s:
                yield run


def check_tenants(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """No tenant can read the jobs of another one."""
    for subject in observed.foreign_reads:
        yield InvariantViolation(
            invariant=Invariant.TENANTS_APART,
            subject=subject,
            detail='shown to another tenant',
        )


def check_rules(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """Instances obey the machine rules."""
    for detail in observed.rules_broken:
        subject = detail.partition(' ')[0]
        yield InvariantViolation(
            invariant=Invariant.MACHINE_RULES, subject=subject, detail=detail
        )


def check_outage(
    observed: observations.Observations,
) -> t.Iterator[InvariantViolation]:
    """An outage of the log stops neither requests nor running tasks.

    No job is accepted during the outage.
    """
    if observed.outage is None:
        return
    begin_s, end_s = observed.outage
    for run in _lapsed_runs(observed, begin_s, end_s):
        yield InvariantViolation(
            invariant=Invariant.OUTAGE,
            subject=run.subject,
            detail=f'its lease on {run.worker_id} lapsed',
        )
    for job in observed.jobs:
        last = job.tries[-1] if job.tries else None
        if job.accepted and begin_s < last.sent_s < last.ended_s < end_s:
            yield InvariantViolation(
                invariant=Invariant.OUTAGE,
                subject=job.label,
                detail='accepted during the outage of the log',
            )
    share = answered_share(observed, True)
    if share < OUTAGE_ANSWERED_SHARE:
        yield InvariantViolation(
            invariant=Invariant.OUTAGE,
            subject='requests',
            detail=f'only {share:.1%} of the idempotent were answered',
        )


def answered_share(
    observed: observations.Observations, idempotent: bool
) -> float:
    """Returns the share of requests answered during the outage.

    It is 1.0 if there was no outage or no request.
    """
    if observed.outage is None:
        return 1.0
    begin_s, end_s = observed.outage
    sent = [
        req
        for req in observed.requests
        if req.idempotent is idempotent
        and req.tries
        and begin_s < req.tries[0].sent_s < end_s
    ]
    answered = sum(req.right_answer is True for req in sent)
    return answered / len(sent) if sent else 1.0


_RunsByRequest = t.Mapping[tuple[str, str], list[history.Run]]


def _request_runs(observed: observations.Observations) -> _RunsByRequest:
    runs = collections.defaultdict(list)
    for worker in observed.workers:
        for run in worker.runs:
            if run.kind is history.RunKind.REQUEST:
                runs[run.tenant_id, run.subject].append(run)
    return runs


def _job_runs(
    observed: observations.Observations,
) -> t.Mapping[str, list[history.Run]]:
    runs = collections.defaultdict(list)
    for worker in observed.workers:
        for run in worker.runs:
            if run.kind is history.RunKind.TASK:
                runs[run.label].append(run)
    return runs


def _describe(runs: list[history.Run]) -> str:
    return ', '.join(
        f'{run.subject} on {run.worker_id} from {run.started_s:.3f}'
        f' {run.outcome.value}'
        for run in runs
    )


def added_latencies_s(observed: observations.Observations) -> list[float]:
    """Returns the latency of each request beyond its service time."""
    runs = _request_runs(observed)
    added = []
    for req in observed.requests:
        if req.right_answer is None:
            continue
        matching = runs[req.tenant_id, req.request_id]
        completed = [
            run.ended_s - run.started_s
            for run in matching
            if run.outcome is history.RunOutcome.COMPLETED
        ]
        if completed:
            added.append(req.duration_s - completed[-1])
    return added


def evictions(observed: observations.Observations) -> int:
    """Counts runs that were stopped although their job was not cancelled."""
    cancelled = {job.label for job in observed.jobs if job.cancel_sent}
    return sum(
        run.outcome is history.RunOutcome.STOPPED
        for label, runs in _job_runs(observed).items()
        if label not in cancelled
        for run in runs
    )


def lapses(observed: observations.Observations) -> int:
    """Counts runs of batch tasks whose lease lapsed."""
    return sum(1 for _ in _lapsed_runs(observed, 0.0))
