"""Interfaces of the platform, which adapters implement."""

import dataclasses
import enum
import typing as t

from . import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry of the log."""

    offset: ids.Offset
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogPage:
    """Entries in order, and the offset of the next append.

    A reader whose position equals ``next_offset`` has read all entries that
    the log had when it responded.
    """

    entries: tuple[Entry, ...]
    next_offset: ids.Offset


class LogService(t.Protocol):
    """Append-only log with offsets, limited retention and outages."""

    async def append(self, data: bytes) -> ids.Offset:
        """Appends one entry.

        :raises PlatformError: the entry was not appended.
        :raises PlatformUncertain: the entry may have been appended.
        """

    async def read(self, start: ids.Offset, wait_s: float) -> LogPage:
        """Reads from an offset, waiting for a new entry up to ``wait_s``.

        :raises OffsetExpired: the log does not keep ``start`` any more.
        :raises PlatformError: the log does not respond.
        """

    async def first_offset(self) -> ids.Offset:
        """Returns the oldest offset that the log keeps."""


class TaskPhase(enum.Enum):
    """Phase of a task as its worker reports it."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskReport:
    """Report of a worker about one of its tasks.

    A worker may forget a task that has ended; a task without a report is not
    running there.
    """

    task_id: ids.TaskId
    phase: TaskPhase
    lease_left_ms: int
    checkpoint: str = ''
    result: bytes = b''
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Measured resource usage of a task, delayed by the platform.

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
        """Runs a request; the response is matched by id and attempt.

        :raises PlatformError: it did not run.
        :raises PlatformUncertain: it may have run.
        """

    async def start(self, start: TaskStart) -> None:
        """Starts a task; starting a running task again is harmless.

        :raises PlatformError: the start was refused or not sent.
        :raises PlatformUncertain: the task may run.
        """

    async def renew(self, task_ids: t.Sequence[ids.TaskId], lease_ms: int):
        """Extends the leases of running tasks."""

    async def tasks(self) -> tuple[TaskReport, ...]:
        """Lists running tasks and those that ended recently."""

    async def usage(self) -> tuple[UsageReport, ...]:
        """Lists the newest, delayed measurement of each task."""

    async def checkpoint(self, task_id: ids.TaskId) -> str:
        """Makes a task write a checkpoint; returns a reference to it."""

    async def throttle(self, task_id: ids.TaskId, share: float) -> None:
        """Limits a task to a share of its cores; 1.0 removes the limit."""

    async def stop(self, task_id: ids.TaskId) -> TaskReport:
        """Stops a task; returns its outcome and its last checkpoint."""


class InstancePhase(enum.Enum):
    """Phase of an instance or worker in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class InstanceList(t.Protocol):
    """The platform's delayed list of live and leaving instances."""

    async def snapshot(self) -> t.Mapping[str, InstancePhase]:
        """Maps the ids of workers and entry instances to their phases.

        :raises PlatformError: the list does not respond.
        """
