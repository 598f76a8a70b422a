"""Interfaces that a platform adapter implements for the scheduler."""

import dataclasses
import enum
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids

from . import model


class Table(enum.Enum):
    """Tables of keyed records. The store keeps the newest record per key."""

    JOBS = 'jobs'
    PROGRESS = 'progress'
    LEADERS = 'leaders'
    CONFIGURATION = 'configuration'
    WORKERS = 'workers'


class Record(t.NamedTuple):
    """A record of a table; an empty value is a tombstone for the key."""

    offset: int
    key: bytes
    value: bytes


class Batch(t.NamedTuple):
    """Records in offset order.

    :ivar end: offset from which to continue reading.
    """

    records: list[Record]
    end: int


class Conflict(Exception):
    """The store rejected an append because its condition does not hold.

    :ivar end: end offset of the table, None if unknown.
    """

    def __init__(self, reason: str, *, end: int | None = None):
        super().__init__(reason)
        self.end = end


class RecordRefused(exceptions.PlatformError):
    """The store rejects what an append holds; repeating it does not help."""


class ConnectionRefused(exceptions.PlatformError):
    """The address refuses connections, so its process has ended."""


class Writer(t.NamedTuple):
    """Identity of a fenced append.

    The store rejects appends by writers with a lower token, and applies
    appends with the same token and sequence number once.

    :ivar sequence: consecutive number of the append.
    """

    token: model.Token
    sequence: int


class Store(t.Protocol):
    """The platform's record store.

    Methods raise ``PlatformError`` if the call had no effect and
    ``PlatformUncertain`` if it may have taken effect.
    """

    async def append(
        self,
        table: Table,
        items: t.Sequence[tuple[bytes, bytes]],
        *,
        expected_end: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        """Appends all records or none; returns the offset of the first.

        An append without items only registers the writer's token.

        :param expected_end: required end offset of the table.

        Raises ``Conflict`` if the table has another end than
        ``expected_end`` or a writer with a higher token has written, and
        ``RecordRefused`` if a record or all of them are too large.
        """

    async def read(
        self, table: Table, start: int, *, wait_ms: int = 0
    ) -> Batch:
        """Returns the records from offset ``start`` on.

        :param wait_ms: how long to wait for the first record.

        Raises ``OffsetExpired`` if the store no longer keeps them.
        """

    async def newest(self, table: Table) -> Batch:
        """Returns the newest record of each key without tombstones.

        ``end`` is the end of the table before the first page was read, so
        that reading on from there misses no record.
        """


class RunProgress(t.NamedTuple):
    """Progress of one run as its worker reports it.

    :ivar checkpoint: newest checkpoint of the run, or empty.
    :ivar percent: completed share of the task.
    :ivar gauge: for a task of a service its tail latency in ms, for another
        task its processor use in thousandths of a core.
    """

    task: model.TaskKey
    run: model.RunNumber
    checkpoint: str
    percent: float
    gauge: float


class RunEnd(t.NamedTuple):
    """End of one run as its worker reports it.

    :ivar number: consecutive number that the worker gives to the end.
    :ivar checkpoint: newest checkpoint of the run, or empty.
    """

    number: int
    task: model.TaskKey
    run: model.RunNumber
    ending: model.RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """Response of a worker to a lease renewal.

    :ivar clock_ms: reading of the worker's own clock.
    :ivar born_ms: start of this incarnation of the worker.
    """

    clock_ms: int
    born_ms: int
    running: list[RunProgress]
    ended: list[RunEnd]


class Refusal(enum.Enum):
    """Reason why a worker rejected a command. The command had no effect.

    STALE_TOKEN: the worker has seen a higher fencing token. STALE_RUN: a run
    with this or a higher number was stopped or has ended on the worker.
    DEADLINE_PASSED: the command arrived after its deadline. NO_CAPACITY: the
    worker lacks free capacity for the run. INVALID_TICKET: the worker does
    not accept the ticket. UNHEALTHY: the worker accepts no work at present.
    OTHER_INCARNATION: another incarnation of the worker, or another worker,
    uses the address. INVALID: the worker cannot parse the command.
    """

    STALE_TOKEN = 'token'
    STALE_RUN = 'old'
    DEADLINE_PASSED = 'late'
    NO_CAPACITY = 'room'
    INVALID_TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other-life'
    INVALID = 'invalid'


class CommandRefused(Exception):
    """A worker rejected a command; the command had no effect."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.value)
        self.refusal = refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartCommand:
    """Command to start a run.

    :ivar deadline_ms: time on the worker's clock after which the worker
        rejects the command.
    :ivar checkpoint: checkpoint to resume from, or empty.
    :ivar ticket: ticket of the adviser, or empty.
    """

    task: model.TaskKey
    run: model.RunNumber
    payload: str
    deadline_ms: int
    checkpoint: str = ''
    ticket: str = ''


class WorkerLink(t.Protocol):
    """Connections to one worker.

    Calls raise ``CommandRefused`` if the worker rejects the command,
    ``PlatformError`` if it had no effect and ``PlatformUncertain`` if the
    worker may execute it now or later.
    """

    def connected(self) -> bool:
        """Returns whether the worker has reported on the open connection.

        The next lease renewal then reaches the same incarnation.
        """

    async def renew_leases(
        self,
        *,
        token: model.Token,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Renews the leases of all runs of the worker and lists the runs.

        :param acknowledged: the worker discards ends up to this number.
        :param deadline_ms: new end of the leases on the worker's clock, None
            to leave them as they are.
        :param wait_ms: how long the worker may delay the response until a
            run ends.
        """

    async def list_runs(self, token: model.Token) -> WorkerReport:
        """Returns what the worker runs now, without renewing leases.

        The responses of this call and of ``renew_leases`` may overtake each
        other.
        """

    async def start(
        self,
        command: StartCommand,
        token: model.Token,
        *,
        limit_s: float | None = None,
    ) -> int:
        """Starts a run; returns the worker's clock in ms.

        Raises ``PlatformError`` also if the command could not be sent in
        time, for instance since other calls take all connections.

        :param limit_s: how long to wait for a connection, and then for the
            response; None for the usual time.
        """

    async def stop(
        self, task: model.TaskKey, run: model.RunNumber, token: model.Token
    ) -> int:
        """Stops a run, or prevents a later start of it.

        Returns the worker's clock in ms.
        """

    async def pace(
        self,
        task: model.TaskKey,
        run: model.RunNumber,
        percent: int,
        token: model.Token,
    ) -> int:
        """Throttles a run to a percentage of its full speed.

        Returns the worker's clock in ms.
        """

    def close(self) -> None:
        """Closes all connections."""


class Adviser(t.Protocol):
    """Service that decides which workers may run a step.

    :ivar available: the settings name an adviser.
    """

    available: bool

    async def advise(
        self,
        job: ids.JobId,
        occurrence: int,
        step: int,
        workers: t.Sequence,
        *,
        limit_s: float,
    ) -> tuple[dict[ids.WorkerId, str], int]:
        """Returns a ticket per permitted worker and their validity in ms.

        The validity is 0 if the response does not name it. Raises
        PlatformUncertain if there is no response within ``limit_s`` seconds;
        the adviser may still be handling the call. Raises PlatformError
        otherwise. The call changes no state in either case.
        """


class WorkerLinkFactory(t.Protocol):
    """Creates links to workers."""

    def link(self, worker: ids.WorkerId, address: str) -> WorkerLink:
        """Returns a link that connects on its first call."""


class Decoder(t.Protocol):
    """Decodes records that workers and operators write."""

    def worker(self, key: bytes, value: bytes) -> model.WorkerEntry | None:
        """Returns a worker's entry, or None if the record is invalid."""

    def configuration(
        self, key: bytes, value: bytes
    ) -> model.Configuration | None:
        """Returns a configuration, or None for other or invalid records."""

    def evacuated_zone(self, key: bytes) -> ids.ZoneId | None:
        """Returns the availability zone that a record's key evacuates.

        The record is in force until a tombstone follows. Returns None for
        other or invalid keys.
        """


class PeerClient(t.Protocol):
    """Client of the other instances of the scheduler."""

    async def call(
        self, address: str, name: str, message: dict, timeout_s: float
    ) -> dict:
        """Returns the response; raises the same errors as ``Store``."""
