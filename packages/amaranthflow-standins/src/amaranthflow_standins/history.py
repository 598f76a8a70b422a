"""History of the runs on a worker, used by the invariant checks."""

import dataclasses
import enum

from amaranthflow import ids


class RunKind(enum.Enum):
    """Requests run on backend servers; tasks are batch work."""

    REQUEST = 'request'
    TASK = 'task'


class RunOutcome(enum.Enum):
    """How a run ended on its worker."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_LAPSED = 'lease lapsed'
    TIMED_OUT = 'timed out'
    DIED = 'died'


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request or task on one worker.

    :ivar subject: id of the request or of the task.
    :ivar started_s: monotonic time, as is ``ended_s``.
    :ivar checkpoint: reference of the checkpoint that the run resumed from.
    :ivar label: name of a batch task given by its submitter.
    """

    worker_id: ids.WorkerId
    kind: RunKind
    subject: str
    attempt: int
    tenant_id: ids.TenantId
    cores: float
    memory_mb: int
    started_s: float
    ended_s: float | None = None
    outcome: RunOutcome = RunOutcome.RUNNING
    checkpoint: str = ''
    label: str = ''

    def to_json(self) -> dict:
        """Returns the fields as JSON values."""
        fields = dataclasses.asdict(self)
        return dict(fields, kind=self.kind.value, outcome=self.outcome.value)

    @classmethod
    def from_json(cls, fields: dict) -> 'Run':
        """Creates an object from the result of ``to_json``."""
        kind = RunKind(fields['kind'])
        outcome = RunOutcome(fields['outcome'])
        return cls(**dict(fields, kind=kind, outcome=outcome))


@dataclasses.dataclass(slots=True, kw_only=True)
class Peaks:
    """Peak usage of each resource."""

    slots: int = 0
    connections: int = 0
    cores: float = 0.0
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One time at which a limit of the worker was exceeded."""

    worker_id: ids.WorkerId
    limit: str
    allowed: float
    used: float
    at_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerHistory:
    """Runs in order of their start, peak usage, and limit violations."""

    worker_id: ids.WorkerId
    runs: list[Run] = dataclasses.field(default_factory=list)
    peaks: Peaks = dataclasses.field(default_factory=Peaks)
    violations: list[Violation] = dataclasses.field(default_factory=list)

    def to_json(self) -> dict:
        """Returns the history as JSON values."""
        return {
            'worker_id': self.worker_id,
            'runs': [run.to_json() for run in self.runs],
            'peaks': dataclasses.asdict(self.peaks),
            'violations': [dataclasses.asdict(v) for v in self.violations],
        }

    @classmethod
    def from_json(cls, fields: dict) -> 'WorkerHistory':
        """Creates an object from the result of ``to_json``."""
        return cls(
            worker_id=fields['worker_id'],
            runs=[Run.from_json(run) for run in fields['runs']],
            peaks=Peaks(**fields['peaks']),
            violations=[Violation(**v) for v in fields['violations']],
        )
