"""What callers saw during a run of the load."""

import dataclasses

from amaranthflow import ids
from amaranthflow import verdict as verdict_lib

from . import history


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Try:
    """One time that a client sent a request or job, and what it was told.

    Times are monotonic seconds. A connection that broke or timed out counts
    as ``MAY_HAVE_RUN``, one that was refused as ``NOT_RUN``.

    :ivar told: the verdict was told by an instance, not concluded.
    """

    sent_s: float
    ended_s: float
    instance_id: ids.InstanceId
    verdict: verdict_lib.Verdict
    from_instance: bool
    reason: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """A latency-critical request from its first try to its end.

    :ivar right_answer: None while there was no answer.
    """

    request_id: ids.RequestId
    tenant_id: ids.TenantId
    idempotent: bool
    tries: list[Try] = dataclasses.field(default_factory=list)
    right_answer: bool | None = None

    @property
    def verdict(self) -> verdict_lib.Verdict:
        """What the client knows in the end.

        A request that was refused after an uncertain try may have run.
        """
        verdicts = {one.verdict for one in self.tries}
        for verdict in reversed(verdict_lib.Verdict):
            if verdict in verdicts:
                return verdict
        return verdict_lib.Verdict.NOT_RUN

    @property
    def duration_s(self) -> float:
        """Time from the first try to the end of the last."""
        return self.tries[-1].ended_s - self.tries[0].sent_s


@dataclasses.dataclass(slots=True, kw_only=True)
class JobRecord:
    """A batch job from its first submission on.

    :ivar tries: submissions.
    :ivar phase: the phase seen last, empty if there was none.
    :ivar right_result: None while it has not completed.
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
    """Everything that the checks look at.

    :ivar leaving_at_s: when the platform began to list a worker as leaving.
    :ivar died_at_s: when a worker was made to die.
    :ivar killed_at_s: when an instance was killed.
    :ivar drained_at_s: when an instance was told to drain.
    :ivar exit_codes: of the instances that were drained.
    :ivar foreign_reads: reads of another tenant's job that were answered.
    :ivar rules_broken: machine rules that an instance was seen to break.
    :ivar outage: when the log went down and came back.
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
