"""What the platform offers, as protocols that adapters implement."""

import dataclasses
import enum
import typing as t

from . import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One append kept by the log."""

    offset: ids.Offset
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogPage:
    """Entries in order, and the offset that the next append will get.

    ``next_offset`` equal to the reader's position means that the reader has
    seen all that was kept when the log answered.
    """

    entries: tuple[Entry, ...]
    next_offset: ids.Offset


class LogService(t.Protocol):
    """Append-only log with offsets, limited retention and outages."""

    async def append(self, data: bytes) -> ids.Offset:
        """Appends one entry.

        :raises PlatformError: it was not kept.
        :raises PlatformUncertain: it may have been kept.
        """

    async def read(self, start: ids.Offset, wait_s: float) -> LogPage:
        """Reads from an offset, waiting for a new entry up to ``wait_s``.

        :raises OffsetExpired: retention has passed ``start``.
        :raises PlatformError: the log does not answer.
        """

    async def first_offset(self) -> ids.Offset:
        """Returns the oldest offset kept."""


class TaskPhase(enum.Enum):
    """Phase of a task as its worker reports it."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskReport:
    """What a worker tells about one task of its own.

    A worker may forget a task that ended; a task missing from the list is
    not running there now.
    """

    task_id: ids.TaskId
    phase: TaskPhase
    lease_left_ms: int
    checkpoint: str = ''
    result: bytes = b''
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Measured use of one task, delayed by the platform.

    :ivar measured_at_ms: Unix time of the measurement, not of the report.
    :ivar slowdown: run time over run time without neighbours, 1.0 is none.
    """

    task_id: ids.TaskId
    task_class: ids.TaskClass
    measured_at_ms: int
    cores: float
    memory_mb: int
    peak_memory_mb: int
    slowdown: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskStart:
    """A request to start a batch task under a lease."""

    task_id: ids.TaskId
    task_class: ids.TaskClass
    tenant_id: ids.TenantId
    lease_ms: int
    not_after_ms: int
    cores: float
    memory_mb: int
    payload: bytes
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendCall:
    """One attempt of a request to a backend server on a worker."""

    request_id: ids.RequestId
    attempt: int
    tenant_id: ids.TenantId
    service_id: ids.ServiceId
    payload: bytes
    timeout_ms: int


class WorkerLink(t.Protocol):
    """Calls to one worker and to the backend servers on it."""

    async def call(self, call: BackendCall) -> bytes:
        """Runs a request; the answer is matched to id and attempt.

        :raises PlatformError: it did not run.
        :raises PlatformUncertain: it may have run.
        """

    async def start(self, start: TaskStart) -> None:
        """Starts a task; starting a running task again is harmless.

        :raises PlatformError: it was refused or not sent.
        :raises PlatformUncertain: it may run.
        """

    async def renew(self, task_ids: t.Sequence[ids.TaskId], lease_ms: int):
        """Extends the leases of running tasks."""

    async def tasks(self) -> tuple[TaskReport, ...]:
        """Lists tasks that run and those that ended not long ago."""

    async def usage(self) -> tuple[UsageReport, ...]:
        """Lists delayed measurements, newest for each task."""

    async def checkpoint(self, task_id: ids.TaskId) -> str:
        """Makes the task write a checkpoint and returns its reference."""

    async def throttle(self, task_id: ids.TaskId, share: float) -> None:
        """Limits the task to a share of its cores, 1.0 lifts the limit."""

    async def stop(self, task_id: ids.TaskId) -> TaskReport:
        """Stops the task; returns how it ended and its last checkpoint."""


class InstancePhase(enum.Enum):
    """Phase of an instance or worker in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class InstanceList(t.Protocol):
    """The platform's delayed list of live and leaving instances."""

    async def snapshot(self) -> t.Mapping[str, InstancePhase]:
        """Maps ids of workers and entry instances to their phase.

        :raises PlatformError: the list does not answer.
        """
