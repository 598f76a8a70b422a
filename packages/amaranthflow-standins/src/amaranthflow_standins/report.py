"""Report of the demo: a table and a line of JSON."""

import collections
import dataclasses
import json
import typing as t

from amaranthflow import verdict as verdict_lib

from . import checks
from . import observations

_MAX_SHOWN_VIOLATIONS = 10
_MAX_SHOWN_SLOW_REQUESTS = 5
_MEDIAN_TARGET_MS = 15.0
_P99_TARGET_MS = 100.0
_JSON_INVARIANTS = (
    checks.Invariant.NOT_LOST,
    checks.Invariant.NOT_DOUBLED,
    checks.Invariant.RIGHT_ANSWERS,
    checks.Invariant.TRUE_NOT_RUN,
    checks.Invariant.WITHIN_CAPACITY,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdleUsage:
    """Mean resource usage of the instances without load.

    :ivar core_share: CPU usage; 1.0 is one core.
    """

    bytes_per_s: float
    core_share: float
    rss_mb: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Results of one run of the demo.

    :ivar took_s: time from the first request to the end of the last job.
    """

    observed: observations.Observations
    violations: list[checks.InvariantViolation]
    idle: IdleUsage
    took_s: float

    def count(self, invariant: checks.Invariant) -> int:
        """Returns the number of violations of an invariant."""
        return sum(
            violation.invariant is invariant for violation in self.violations
        )

    def json_line(self) -> str:
        """Returns the result as one line of JSON."""
        added_ms = self._added_ms()
        fields: dict[str, t.Any] = {
            'requests': len(self.observed.requests),
            'jobs': len(self.observed.jobs),
        }
        for invariant in _JSON_INVARIANTS:
            fields[invariant.value] = self.count(invariant)
        fields['p50_ms'] = round(percentile(added_ms, 50), 2)
        fields['p99_ms'] = round(percentile(added_ms, 99), 2)
        fields['jobs_per_s'] = round(self._completed() / self.took_s, 2)
        fields['evictions'] = checks.evictions(self.observed)
        return json.dumps(fields)

    def details(self) -> t.Iterator[str]:
        """Yields a line for each try of each request and job."""
        for record in (*self.observed.requests, *self.observed.jobs):
            name = getattr(record, 'request_id', '') or record.label
            for client_try in record.tries:
                yield (
                    f'{client_try.sent_s:.3f} {client_try.ended_s:.3f} {name}'
                    f' {client_try.instance_id} {client_try.verdict.label}:'
                    f' {client_try.reason}'
                )

    def table(self) -> str:
        """Returns a human-readable table."""
        rows = [
            *self._request_rows(),
            *self._slow_rows(),
            *self._job_rows(),
            *self._worker_rows(),
            *self._outage_rows(),
            *self._idle_rows(),
        ]
        rows += [
            (f'broken: {invariant.value}', str(self.count(invariant)))
            for invariant in checks.Invariant
        ]
        width = max(len(name) for name, _ in rows)
        lines = [f'{name:<{width}}  {value}' for name, value in rows]
        lines += [
            f'  {violation.invariant.value} {violation.subject}:'
            f' {violation.detail}'
            for violation in self.violations[:_MAX_SHOWN_VIOLATIONS]
        ]
        hidden = len(self.violations) - _MAX_SHOWN_VIOLATIONS
        if hidden > 0:
            lines.append(f'  and {hidden} more')
        return '\n'.join(lines)

    def _request_rows(self) -> t.Iterator[tuple[str, str]]:
        requests = self.observed.requests
        answered = sum(req.right_answer is not None for req in requests)
        ends = collections.Counter(
            req.verdict for req in requests if req.right_answer is None
        )
        not_run = ends[verdict_lib.Verdict.NOT_RUN]
        may_have_run = ends[verdict_lib.Verdict.MAY_HAVE_RUN]
        added_ms = self._added_ms()
        yield 'requests', str(len(requests))
        yield '  answered', str(answered)
        yield '  not run', str(not_run)
        yield '  may have run', str(may_have_run)
        yield '  tries', str(sum(len(req.tries) for req in requests))
        yield (
            'added latency p50 / p99 / max',
            f'{percentile(added_ms, 50):.1f} / {percentile(added_ms, 99):.1f}'
            f' / {percentile(added_ms, 100):.1f} ms'
            f' (target {_MEDIAN_TARGET_MS:g} / {_P99_TARGET_MS:g})',
        )

    def _job_rows(self) -> t.Iterator[tuple[str, str]]:
        jobs = self.observed.jobs
        phases = collections.Counter(
            job.phase or 'no phase' for job in jobs if job.accepted
        )
        yield 'jobs', str(len(jobs))
        yield '  accepted', str(sum(job.accepted for job in jobs))
        for phase, count in sorted(phases.items()):
            yield f'  {phase}', str(count)
        yield '  evictions', str(checks.evictions(self.observed))
        yield '  leases lapsed', str(checks.lapses(self.observed))

    def _worker_rows(self) -> t.Iterator[tuple[str, str]]:
        peaks = [worker.peaks for worker in self.observed.workers]
        yield (
            'highest use of a worker',
            f'{max(p.slots for p in peaks)} slots,'
            f' {max(p.connections for p in peaks)} connections,'
            f' {max(p.cores for p in peaks):g} cores,'
            f' {max(p.memory_mb for p in peaks)} MB',
        )

    def _outage_rows(self) -> t.Iterator[tuple[str, str]]:
        if self.observed.outage is None:
            return
        idempotent = checks.answered_share(self.observed, True)
        non_idempotent = checks.answered_share(self.observed, False)
        yield 'answered without the log', f'{idempotent:.1%} of idempotent'
        yield '', f'{non_idempotent:.1%} of non-idempotent'

    def _slow_rows(self) -> t.Iterator[tuple[str, str]]:
        sent = [req for req in self.observed.requests if req.tries]
        begun_s = min((req.tries[0].sent_s for req in sent), default=0.0)
        sent.sort(key=lambda req: req.duration_s, reverse=True)
        for req in sent[:_MAX_SHOWN_SLOW_REQUESTS]:
            tries = ', '.join(
                f'{client_try.instance_id}'
                f' {client_try.ended_s - client_try.sent_s:.3f} s'
                f' {client_try.reason.strip()}'
                for client_try in req.tries
            )
            at_s = req.tries[0].sent_s - begun_s
            yield (
                'slow request',
                f'{req.duration_s:.3f} s at {at_s:.1f} s: {tries}',
            )

    def _idle_rows(self) -> t.Iterator[tuple[str, str]]:
        yield (
            'idle instance',
            f'{self.idle.bytes_per_s / 1000:.1f} KB/s,'
            f' {self.idle.core_share:.1%} of a core,'
            f' {self.idle.rss_mb:.0f} MB',
        )

    def _added_ms(self) -> list[float]:
        return [s * 1000 for s in checks.added_latencies_s(self.observed)]

    def _completed(self) -> int:
        return sum(job.phase == 'completed' for job in self.observed.jobs)


def percentile(values: t.Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile, 0.0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]
