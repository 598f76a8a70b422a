"""Measurements of a replay."""

import collections
import dataclasses
import math

from amaranthflow import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceOutcome:
    """Latencies of one service.

    Refused and failed requests are included with their timeout as latency.
    """

    service_id: str
    tail_limit_ms: int
    requests: int
    unanswered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Result of replaying one trace under one policy.

    :ivar batch_per_hour: run time of completed batch tasks without
        neighbours, in hours per hour.
    :ivar jobs_per_hour: completed batch jobs per hour.
    :ivar evictions: attempts ended by the policy.
    :ivar worst_job_evictions: maximum number of evictions of one job.
    :ivar lost: batch attempts ended by the loss of a worker or by a lack of
        memory.
    :ivar wasted_hours: run time whose progress was lost.
    :ivar worst_share: minimum over all tenants of the share used while jobs
        waited, relative to the entitlement; 1.0 if no job ever waited.
    :ivar least_class: minimum over all task classes of the fraction of jobs
        that completed.
    :ivar out_of_memory: tasks killed because memory exceeded the capacity.
    :ivar decisions_per_s: decisions per second of wall time.
    :ivar decision_us: mean wall time of one placement decision.
    """

    services: tuple[ServiceOutcome, ...]
    batch_per_hour: float
    jobs_per_hour: float
    evictions: int
    worst_job_evictions: int
    lost: int
    wasted_hours: float
    worst_share: float
    least_class: float
    out_of_memory: int
    decisions: int
    decisions_per_s: float
    decision_us: float


class Meter:
    """Collects the measurements of one replay."""

    def __init__(self):
        self.decisions = 0
        self.decision_s = 0.0
        self.jobs_done = 0
        self.lost = 0
        self.out_of_memory = 0
        self._batch_ms = 0.0
        self._arrived: collections.Counter[ids.TaskClass] = (
            collections.Counter()
        )
        self._completed: collections.Counter[ids.TaskClass] = (
            collections.Counter()
        )
        self._wasted_ms = 0.0
        self._evictions: collections.Counter[ids.JobId] = collections.Counter()
        self._actual_shares: collections.Counter[ids.TenantId] = (
            collections.Counter()
        )
        self._entitled_shares: collections.Counter[ids.TenantId] = (
            collections.Counter()
        )
        self._latencies: dict[str, list[float]] = {}
        self._unanswered: collections.Counter[str] = collections.Counter()

    def answered(self, service_id: str, latency_ms: float) -> None:
        """Counts an answered request."""
        self._latencies.setdefault(service_id, []).append(latency_ms)

    def unanswered(self, service_id: str, timeout_ms: float) -> None:
        """Counts a request that was refused, failed or timed out."""
        self._unanswered[service_id] += 1
        self.answered(service_id, timeout_ms)

    def arrived(self, task_class: ids.TaskClass) -> None:
        """Counts a submitted job."""
        self._arrived[task_class] += 1

    def completed(self, task_class: ids.TaskClass, run_ms: float) -> None:
        """Counts a completed job."""
        self.jobs_done += 1
        self._completed[task_class] += 1
        self._batch_ms += run_ms

    def evicted(self, job_id: ids.JobId) -> None:
        """Counts an attempt that the policy evicted."""
        self._evictions[job_id] += 1

    def wasted(self, run_ms: float) -> None:
        """Counts progress that was lost."""
        self._wasted_ms += run_ms

    def sample_shares(
        self,
        held: dict[ids.TenantId, float],
        waiting: set[ids.TenantId],
    ) -> None:
        """Samples dominant shares, assuming equal weights.

        Only tenants with waiting jobs are sampled, as the other ones have no
        use for a larger share.
        """
        active = {name for name, share in held.items() if share} | waiting
        if not active:
            return
        entitled = sum(held.values()) / len(active)
        for tenant_id in waiting:
            self._actual_shares[tenant_id] += held.get(tenant_id, 0.0)
            self._entitled_shares[tenant_id] += entitled

    def outcome(self, limits: dict[str, int], measured_ms: float) -> Outcome:
        """Returns the outcome of the replay.

        :param limits: tail latency limit of each service, in ms.
        :param measured_ms: length of the measured part of the trace.
        """
        hours = measured_ms / 3_600_000
        shares = [
            self._actual_shares[tenant_id] / entitled
            for tenant_id, entitled in self._entitled_shares.items()
            if entitled
        ]
        decision_s = self.decision_s / max(1, self.decisions)
        return Outcome(
            services=tuple(self._service(*item) for item in limits.items()),
            batch_per_hour=self._batch_ms / 3_600_000 / hours,
            jobs_per_hour=self.jobs_done / hours,
            evictions=self._evictions.total(),
            worst_job_evictions=max(self._evictions.values(), default=0),
            lost=self.lost,
            wasted_hours=self._wasted_ms / 3_600_000,
            worst_share=min(shares, default=1.0),
            least_class=self._min_class_completion(),
            out_of_memory=self.out_of_memory,
            decisions=self.decisions,
            decisions_per_s=1.0 / decision_s if decision_s else 0.0,
            decision_us=decision_s * 1e6,
        )

    def _min_class_completion(self) -> float:
        return min(
            (
                self._completed[task_class] / count
                for task_class, count in self._arrived.items()
            ),
            default=1.0,
        )

    def _service(self, service_id: str, limit_ms: int) -> ServiceOutcome:
        latencies = sorted(self._latencies.get(service_id, []))
        return ServiceOutcome(
            service_id=service_id,
            tail_limit_ms=limit_ms,
            requests=len(latencies),
            unanswered=self._unanswered[service_id],
            p50_ms=percentile(latencies, 0.5),
            p99_ms=percentile(latencies, 0.99),
            p999_ms=percentile(latencies, 0.999),
        )


def percentile(ordered: list[float], fraction: float) -> float:
    """Returns the nearest-rank percentile of sorted values, NaN if none."""
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
