"""Jobs, queues and workers as the scheduler sees them.

Times are milliseconds, processor shares thousandths of a core, memory MB.
"""

import dataclasses
import enum
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids

QueueId = t.NewType('QueueId', str)
Token = t.NewType('Token', int)
RunNumber = t.NewType('RunNumber', int)

_MAX_TASKS = 10_000  # tasks of one job; bounds the memory that one job takes


class TaskKey(t.NamedTuple):
    """Place of a task: its job, the job's occurrence, step and index."""

    job: ids.JobId
    occurrence: int
    step: int
    index: int


class JobState(enum.Enum):
    """What callers are told of a job."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


TERMINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class WorkerState(enum.Enum):
    """Whether a worker takes new tasks."""

    READY = 'ready'
    DRAINING = 'draining'


class RunOutcome(enum.Enum):
    """How a run of a task ended on its worker.

    LEASE_EXPIRED: the leader did not renew the lease in time. GANG_BROKEN:
    another member of its gang ended. GANG_INCOMPLETE: the other members of
    its gang did not arrive in time.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


class Resources(t.NamedTuple):
    """Amounts of a worker or a task."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Returns the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.mem_mb + other.mem_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Returns the difference; amounts may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.mem_mb - other.mem_mb,
            self.gpu - other.gpu,
        )

    def fits(self, room: 'Resources') -> bool:
        """Tells whether this much fits into a room."""
        return (
            self.cpu <= room.cpu
            and self.mem_mb <= room.mem_mb
            and self.gpu <= room.gpu
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Equal tasks of a job.

    :ivar after: earlier steps that must be done first.
    :ivar checkpoints: runs save their progress and can be resumed.
    :ivar gang: the tasks run only together.
    :ivar same_rack: the tasks are slower when spread over racks.
    :ivar label: label that the worker must have, or empty.
    :ivar data_rack: rack on which the tasks are faster, or empty.
    :ivar max_per_worker: most tasks of the step on one worker, 0 for any.
    :ivar backups: several runs of one task may run at once.
    :ivar service: the tasks run until the job is cancelled.
    :ivar image: what the tasks run; the tasks of an image behave alike.
    :ivar tail_target_ms: limit of the tail latency of a service's tasks.
    :ivar opportunistic: the tasks use what others leave unused.
    :ivar max_unavailable: tasks of a service that may be away at once by the
        scheduler's own action.
    """

    count: int
    resources: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    backups: bool = False
    service: bool = False
    image: str = ''
    tail_target_ms: int = 0
    opportunistic: bool = False
    max_unavailable: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Where jobs are handed in, and how they are treated.

    :ivar priority: 0 goes first.
    :ivar stretch: a job is on time within this multiple of its longest chain
        of work plus ``target_ms``.
    """

    id: QueueId
    host: str
    prefix: str
    service: ids.ServiceId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    advised: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """An accepted job.

    :ivar payload: text that is passed to each task.
    :ivar queue: the queue as it was when the job was accepted.
    :ivar occurrences: how often the steps run; 0 means once, at once.
    :ivar first_due_ms: Unix time of the first occurrence.
    """

    id: ids.JobId
    queue: Queue
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def due_ms(self, occurrence: int) -> int:
        """Unix time from which an occurrence may start."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    @property
    def occurrence_count(self) -> int:
        """How many occurrences there are, at least one."""
        return max(1, self.occurrences)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEntry:
    """What a worker last said of itself.

    :ivar born_ms: start of this life of the worker, 0 while not known.
    :ivar leaves_in_ms: least time left of a draining worker.
    """

    id: ids.WorkerId
    service: ids.ServiceId
    address: str
    zone: ids.ZoneId
    state: WorkerState
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ''
    born_ms: int = 0
    leaves_in_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Queues and services in force. Versions only rise."""

    version: int
    queues: tuple[Queue, ...]
    checked_services: frozenset[ids.ServiceId]
    max_body_bytes: int
    idle_timeout_ms: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


def validate_job(job: Job) -> None:
    """Raises RequestRefused where a job could never be carried out."""
    if not job.steps:
        raise exceptions.RequestRefused('a job needs at least one step')
    total = sum(step.count for step in job.steps) * job.occurrence_count
    if total > _MAX_TASKS:
        reason = f'{total} tasks; a job may have {_MAX_TASKS}'
        raise exceptions.RequestRefused(reason)
    for number, step in enumerate(job.steps):
        if step.count < 1:
            reason = f'step {number} has no tasks'
            raise exceptions.RequestRefused(reason)
        if any(not 0 <= n < number for n in step.after):
            reason = f'step {number} waits for a step that is not before it'
            raise exceptions.RequestRefused(reason)
