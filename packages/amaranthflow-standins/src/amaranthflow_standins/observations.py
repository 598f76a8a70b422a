"""Observations of callers, workers and the platform during a load."""

import dataclasses

from amaranthflow import ids
from amaranthflow import verdict as verdict_lib

from . import history


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Try:
    """One try of a client to send a request or job, and its verdict.

    Times are monotonic seconds. A connection that broke or timed out counts
    as ``MAY_HAVE_RUN``, one that was refused as ``NOT_RUN``.

    :ivar from_instance: the verdict was returned by an instance, not inferred
        by the client.
    """

    sent_s: float
    ended_s: float
    instance_id: ids.InstanceId
    verdict: verdict_lib.Verdict
    from_instance: bool
    reason: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """A latency-critical request and all its tries.

    :ivar right_answer: whether the answer was correct, None if there was
        none.
    """

    request_id: ids.RequestId
    tenant_id: ids.TenantId
    idempotent: bool
    tries: list[Try] = dataclasses.field(default_factory=list)
    right_answer: bool | None = None

    @property
    def verdict(self) -> verdict_lib.Verdict:
        """The overall verdict of all tries.

        A request that was refused after an uncertain try may have run.
        """
        verdicts = {client_try.verdict for client_try in self.tries}
        for verdict in reversed(verdict_lib.Verdict):
            if verdict in verdicts:
                return verdict
        return verdict_lib.Verdict.NOT_RUN

    @property
    def duration_s(self) -> float:
        """Time from the first try to the end of the last one."""
        return self.tries[-1].ended_s - self.tries[0].sent_s


@dataclasses.dataclass(slots=True, kw_only=True)
class JobRecord:
    """A batch job and all its submissions.

    :ivar tries: submissions.
    :ivar phase: the last phase read, empty if there was none.
    :ivar right_result: whether the result was correct, None unless the job
        completed.
    """

    job_id: ids.JobId
    tenant_id: ids.TenantId
    idempotent: bool
    tries: list[Try] = dataclasses.field(default_factory=list)
    accepted: bool = False
    cancel_sent: bool = False
    phase: str = ''
    reason: str = ''
    right_result: bool | None = None

    @property
    def label(self) -> str:
        """Name of the job in the workers' histories."""
        return f'{self.tenant_id}/{self.job_id}'


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """Everything that the checks examine. Times are monotonic seconds.

    :ivar leaving_at_s: time at which each worker was listed as leaving.
    :ivar died_at_s: time at which each dead worker was stopped.
    :ivar killed_at_s: time at which each killed instance was killed.
    :ivar drained_at_s: start of the drain of each drained instance.
    :ivar exit_codes: exit codes of instances that were drained or exited
        unexpectedly, None for those that did not exit.
    :ivar foreign_reads: labels of jobs that another tenant could read.
    :ivar rules_broken: violated machine rules, with the instance's id.
    :ivar outage: start and end of the log's outage.
    """

    requests: list[RequestRecord] = dataclasses.field(default_factory=list)
    jobs: list[JobRecord] = dataclasses.field(default_factory=list)
    workers: list[history.WorkerHistory] = dataclasses.field(
        default_factory=list
    )
    leaving_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    died_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    killed_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    drained_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    exit_codes: dict[str, int | None] = dataclasses.field(default_factory=dict)
    foreign_reads: list[str] = dataclasses.field(default_factory=list)
    rules_broken: list[str] = dataclasses.field(default_factory=list)
    outage: tuple[float, float] | None = None
