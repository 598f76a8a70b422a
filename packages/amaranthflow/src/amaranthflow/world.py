"""Core data types: sizes, tasks, workers and reservations on workers."""

import dataclasses
import enum
import typing as t

from amaranthflow_schema.v1 import world_pb2

from . import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Resources: processor cores, memory in MB and accelerators."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def from_message(cls, message: world_pb2.Size) -> 'Size':
        """Converts a schema message."""
        return cls(
            cores=message.cores,
            memory_mb=message.memory_mb,
            accelerators=message.accelerators,
        )

    def plus(self, other: 'Size') -> 'Size':
        """Returns the sum."""
        return Size(
            cores=self.cores + other.cores,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Size') -> 'Size':
        """Returns the difference, which may be negative."""
        return Size(
            cores=self.cores - other.cores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, free: 'Size') -> bool:
        """Returns whether no resource exceeds what is free."""
        # Adding and subtracting cores leaves rounding errors in the sum.
        return (
            self.cores <= free.cores + _CORES_TOLERANCE
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def dominant_share(self, total: 'Size') -> float:
        """Returns the largest of the shares of each resource of a total.

        Resources of which the total has none are left out.
        """
        shares = [0.0]
        if total.cores > 0:
            shares.append(self.cores / total.cores)
        if total.memory_mb > 0:
            shares.append(self.memory_mb / total.memory_mb)
        if total.accelerators > 0:
            shares.append(self.accelerators / total.accelerators)
        return max(shares)


_CORES_TOLERANCE = 1e-6

ZERO_SIZE = Size()


class TaskKind(enum.Enum):
    """Latency-critical tasks answer a waiting caller; batch tasks do not."""

    LATENCY = 'latency'
    BATCH = 'batch'


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """A task that waits for a worker or runs on one.

    :ivar size: resources reserved for it: as declared, or as learned from
        earlier tasks of its class.
    :ivar evictions: number of earlier evictions of the task's job.
    """

    task_id: ids.TaskId
    tenant_id: ids.TenantId
    task_class: ids.TaskClass
    kind: TaskKind
    size: Size
    urgent: bool = False
    evictions: int = 0
    started_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """A machine that runs backend servers and batch tasks."""

    worker_id: ids.WorkerId
    address: str
    rack_id: ids.RackId
    zone_id: ids.ZoneId
    region_id: str = ''
    capacity: Size
    slots: int
    connections: int

    @classmethod
    def from_message(cls, message: world_pb2.Worker) -> 'Worker':
        """Converts a schema message."""
        return cls(
            worker_id=ids.WorkerId(message.worker_id),
            address=message.address,
            rack_id=ids.RackId(message.rack_id),
            zone_id=ids.ZoneId(message.zone_id),
            region_id=message.region_id,
            capacity=Size.from_message(message.capacity),
            slots=message.slots,
            connections=message.connections,
        )


class WorkerLedger:
    """Reservations on one worker; refuses those that would not fit.

    Only the worker's owner keeps a ledger. A reservation is made before a
    task is started and released once the task is known not to run any more.

    :ivar reserved_slots: slots that batch tasks leave free for
        latency-critical requests, set by the configuration.
    :ivar accepting_batch: False while relief or a drain keeps new batch
        tasks away.
    :ivar leaving: True if the worker takes no new task of any kind.
    """

    def __init__(self, *, worker: Worker, reserved_slots: int = 0):
        self.worker = worker
        self.reserved_slots = reserved_slots
        self.accepting_batch = True
        self.leaving = False
        self.tasks: dict[ids.TaskId, Task] = {}
        self.used = ZERO_SIZE
        self._batch_count = 0

    @property
    def free(self) -> Size:
        """Capacity not reserved by any task."""
        return self.worker.capacity.minus(self.used)

    @property
    def free_slots(self) -> int:
        """Slots without a task."""
        return self.worker.slots - len(self.tasks)

    @property
    def batch_count(self) -> int:
        """Batch tasks on the worker."""
        return self._batch_count

    @property
    def free_batch_slots(self) -> int:
        """Slots that batch tasks may take now; can be negative."""
        max_batch = self.worker.slots - self.reserved_slots
        return min(self.free_slots, max_batch - self._batch_count)

    def can_reserve(self, task: Task) -> bool:
        """Returns whether ``reserve`` would succeed."""
        if self.leaving or task.task_id in self.tasks:
            return False
        if task.kind is TaskKind.BATCH:
            if not self.accepting_batch or self.free_batch_slots < 1:
                return False
        elif self.free_slots < 1:
            return False
        return task.size.fits(self.free)

    def reserve(self, task: Task) -> bool:
        """Reserves a slot and the task's size; returns False if none fits."""
        if not self.can_reserve(task):
            return False
        self._add(task)
        return True

    def adopt(self, task: Task) -> None:
        """Records a task that already runs, whether or not it fits."""
        if task.task_id not in self.tasks:
            self._add(task)

    def release(self, task_id: ids.TaskId) -> Task | None:
        """Removes a task that is known not to run any more."""
        task = self.tasks.pop(task_id, None)
        if task is None:
            return None
        self.used = self.used.minus(task.size) if self.tasks else ZERO_SIZE
        if task.kind is TaskKind.BATCH:
            self._batch_count -= 1
        return task

    def resize(self, task_id: ids.TaskId, size: Size) -> None:
        """Replaces the reserved size of a running task with a measured one."""
        task = self.tasks[task_id]
        self.used = self.used.minus(task.size).plus(size)
        task.size = size

    def _add(self, task: Task) -> None:
        self.tasks[task.task_id] = task
        self.used = self.used.plus(task.size)
        if task.kind is TaskKind.BATCH:
            self._batch_count += 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """A worker chosen for a task, and the reason for the choice."""

    worker_id: ids.WorkerId
    reason: str


class Placer(t.Protocol):
    """Chooses workers; ``refresh`` must follow every change of a ledger."""

    def add(self, ledger: WorkerLedger) -> None:
        """Makes a worker available."""

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Removes a worker; unknown ids are ignored."""

    def refresh(self, worker_id: ids.WorkerId) -> None:
        """Recomputes all that is derived from the worker's ledger."""

    def choose(
        self, task: Task, avoid: t.Collection[ids.WorkerId] = ()
    ) -> Placement | None:
        """Returns the best worker where the task fits, None if there is none.

        Reserves nothing.

        :param avoid: workers not to choose.
        """
