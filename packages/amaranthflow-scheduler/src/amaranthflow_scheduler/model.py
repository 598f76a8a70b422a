"""Data model of the scheduler: jobs, queues, workers and configuration.

Times are in milliseconds, processor amounts in thousandths of a core and
memory in MB.
"""

import dataclasses
import enum
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids

QueueId = t.NewType('QueueId', str)
Token = t.NewType('Token', int)
RunNumber = t.NewType('RunNumber', int)

_MAX_TASKS_PER_JOB = 10_000  # bounds the memory that one job takes
# Sums of a few thousand amounts, and all times, are exact as floats.
MAX_AMOUNT = 2**40
MAX_TIME_MS = 2**53


class TaskKey(t.NamedTuple):
    """Identifies a task by its job, occurrence, step and index in the step."""

    job: ids.JobId
    occurrence: int
    step: int
    index: int

    @property
    def name_in_job(self) -> str:
        """Occurrence, step and index, as logs show them."""
        return f'{self.occurrence}.{self.step}.{self.index}'


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


TERMINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class WorkerState(enum.Enum):
    """Whether a worker accepts new tasks."""

    READY = 'ready'
    DRAINING = 'draining'


class RunOutcome(enum.Enum):
    """How a run of a task ended on its worker.

    LEASE_EXPIRED: the lease was not renewed in time. GANG_BROKEN: another
    member of the task's gang ended. GANG_INCOMPLETE: the other members of
    the gang did not arrive in time.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


class Resources(t.NamedTuple):
    """Resources that a worker has or that a task needs."""

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
        """Returns the difference, whose amounts may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.mem_mb - other.mem_mb,
            self.gpu - other.gpu,
        )

    def fits(self, available: 'Resources') -> bool:
        """Returns whether no amount exceeds the available one."""
        return (
            self.cpu <= available.cpu
            and self.mem_mb <= available.mem_mb
            and self.gpu <= available.gpu
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A number of identical tasks of a job.

    :ivar after: numbers of the earlier steps that must complete first.
    :ivar checkpoints: the tasks save checkpoints and can resume from them.
    :ivar gang: all tasks of the step have to run at the same time.
    :ivar same_rack: the tasks run faster when they share a rack.
    :ivar label: label that a worker must have; empty if none is required.
    :ivar data_rack: rack that stores the data of the tasks, on which they
        run faster; empty if there is none.
    :ivar max_per_worker: maximum number of tasks of the step on one worker;
        0 for no limit.
    :ivar backups: a task may have several runs at the same time.
    :ivar service: the tasks run until the job is cancelled.
    :ivar image: program of the tasks; tasks of one image behave alike.
    :ivar tail_target_ms: target for the tail latency of a service's tasks.
    :ivar opportunistic: the tasks use only processor time that other tasks
        leave unused.
    :ivar max_unavailable: number of a service's tasks that the scheduler may
        take out of service at the same time.
    """

    count: int
    resources: Resources = Resources()
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


class AdvicePolicy(t.NamedTuple):
    """What the configuration says of the adviser; 0 where it says nothing.

    :ivar decide_ms: time of a call for advice, beside that for each worker.
    :ivar each_ms: time for each worker that a call names.
    :ivar valid_ms: how long its tickets are valid.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0

    def call_ms(self, workers: int) -> int:
        """Returns how long a call that names some workers takes."""
        return self.decide_ms + workers * self.each_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """A queue that accepts jobs, and how its jobs are scheduled.

    :ivar host: host name of the requests that submit jobs to the queue.
    :ivar prefix: prefix of the paths of these requests.
    :ivar service: service whose workers run the jobs.
    :ivar priority: 0 is the highest.
    :ivar max_attempts: number of failed runs of one task that fail its job.
    :ivar stretch: a job is on time if it completes within this multiple of
        its critical path plus ``target_ms``.
    :ivar advised: tasks may start only with a ticket of the adviser.
    :ivar advice: how the adviser handles calls for the queue.
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
    advice: AdvicePolicy = AdvicePolicy()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """An accepted job.

    :ivar payload: text that is passed to each task.
    :ivar queue: the queue as configured when the job was accepted.
    :ivar accepted_ms: Unix time at which the job was accepted.
    :ivar occurrences: how often the steps run; 0 means once, immediately.
    :ivar first_due_ms: Unix time of the first occurrence.
    :ivar interval_ms: time between the start times of two occurrences.
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
        """Returns the Unix time from which an occurrence may start."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    @property
    def occurrence_count(self) -> int:
        """Number of occurrences, at least one."""
        return max(1, self.occurrences)

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences."""
        return sum(step.count for step in self.steps) * self.occurrence_count


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEntry:
    """A worker's latest entry in the table of workers.

    :ivar born_ms: start time of the worker process, which identifies its
        incarnation; 0 if unknown.
    :ivar leaves_in_ms: minimum time until a draining worker leaves.
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
    """The queues and services in effect. Versions only increase.

    :ivar checked_services: services whose workers refuse what does not fit.
    """

    version: int
    queues: tuple[Queue, ...]
    checked_services: frozenset[ids.ServiceId]
    max_body_bytes: int
    idle_timeout_ms: int
    services: frozenset[ids.ServiceId] = frozenset()
    max_head_bytes: int = 16_384
    head_timeout_ms: int = 10_000

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix that matches a path.

        Returns None if there is none.
        """
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


def validate_job(job: Job) -> None:
    """Raises RequestRefused if a job can never be executed."""
    if not job.steps:
        raise exceptions.RequestRefused('a job needs at least one step')
    times = (job.accepted_ms, job.first_due_ms, job.interval_ms)
    if not all(0 <= time <= MAX_TIME_MS for time in times):
        raise exceptions.RequestRefused('a time of the job is out of range')
    if not 0 <= job.occurrences <= _MAX_TASKS_PER_JOB:
        raise exceptions.RequestRefused('too many or too few occurrences')
    if job.task_count > _MAX_TASKS_PER_JOB:
        reason = (
            f'the job has {job.task_count} tasks; '
            f'the maximum is {_MAX_TASKS_PER_JOB}'
        )
        raise exceptions.RequestRefused(reason)
    for number, step in enumerate(job.steps):
        if step.count < 1:
            reason = f'step {number} has no tasks'
            raise exceptions.RequestRefused(reason)
        amounts = (
            *step.resources,
            step.estimate_ms,
            step.max_per_worker,
            step.tail_target_ms,
            step.max_unavailable,
        )
        if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
            reason = f'step {number} has an amount out of range'
            raise exceptions.RequestRefused(reason)
        if any(not 0 <= n < number for n in step.after):
            reason = (
                f'step {number} depends on a step that does not precede it'
            )
            raise exceptions.RequestRefused(reason)
