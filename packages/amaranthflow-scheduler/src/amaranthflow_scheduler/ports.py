"""What the scheduler needs of a platform, as protocols."""

import dataclasses
import enum
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids

from . import model


class Table(enum.Enum):
    """Tables of keyed records. The newest record of a key is kept."""

    JOBS = 'jobs'
    PROGRESS = 'progress'
    LEADERS = 'leaders'
    CONFIGURATION = 'configuration'
    WORKERS = 'workers'


class Record(t.NamedTuple):
    """A record of a table; an empty value says that the key was dropped."""

    offset: int
    key: bytes
    value: bytes


class Batch(t.NamedTuple):
    """Records in order and the offset that follows the table's last one."""

    records: list[Record]
    end: int


class Conflict(Exception):
    """An append was refused as its condition does not hold.

    :ivar end: end of the table, None where it is not known.
    """

    def __init__(self, reason: str, *, end: int | None = None):
        super().__init__(reason)
        self.end = end


class NobodyListens(exceptions.PlatformError):
    """The address refuses connections: its process is gone."""


class Writer(t.NamedTuple):
    """A writer that shuts out all those with a lower token.

    :ivar number: consecutive number of the append.
    """

    token: model.Token
    number: int


class Store(t.Protocol):
    """The platform's record store.

    Methods raise ``PlatformError`` where nothing was done and
    ``PlatformUncertain`` where the call may have taken effect.
    """

    async def append(
        self,
        table: Table,
        items: t.Sequence[tuple[bytes, bytes]],
        *,
        expected_end: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        """Adds records, all or none; returns the first one's offset.

        Raises ``Conflict`` where ``expected_end`` does not hold or a higher
        token has written. No items with a writer only set its token.
        """

    async def read(
        self, table: Table, start: int, *, wait_ms: int = 0
    ) -> Batch:
        """Returns records from an offset on, waiting for the first.

        Raises ``OffsetExpired`` where they are no longer kept.
        """

    async def newest(self, table: Table) -> Batch:
        """Returns the newest record of each key that was not dropped.

        ``end`` is the table's end before the first page was read.
        """


class Progress(t.NamedTuple):
    """A run as its worker lists it.

    :ivar gauge: tail latency in ms of a service's task, thousandths of a
        core in use of another.
    """

    task: model.TaskKey
    run: model.RunNumber
    saved: str
    percent: float
    gauge: float


class End(t.NamedTuple):
    """The end of a run as its worker lists it, numbered by the worker."""

    number: int
    task: model.TaskKey
    run: model.RunNumber
    ending: model.RunOutcome
    saved: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """A worker's answer to a hold.

    :ivar clock_ms: the worker's own clock.
    """

    clock_ms: int
    born_ms: int
    running: list[Progress]
    ended: list[End]


class Refusal(enum.Enum):
    """Why a worker did not start a run. Nothing was done.

    TOKEN: another holder has a higher token. OLD: a run as high was stopped
    or has ended there. LATE: the deadline had passed. ROOM: no capacity.
    UNHEALTHY: the worker takes no work now. OTHER_LIFE: another life of the
    worker answers. INVALID: the worker cannot read the order.
    """

    TOKEN = 'token'
    OLD = 'old'
    LATE = 'late'
    ROOM = 'room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other-life'
    INVALID = 'invalid'


class OrderRefused(Exception):
    """A worker refused an order and did nothing."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.value)
        self.refusal = refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Order to start a run; void once the worker's clock is past its end."""

    task: model.TaskKey
    run: model.RunNumber
    payload: str
    deadline_ms: int
    checkpoint: str = ''
    ticket: str = ''


class WorkerLink(t.Protocol):
    """Connections to one worker.

    Calls raise ``OrderRefused``, ``PlatformError`` where nothing was done,
    ``PlatformUncertain`` where the order may be carried out, also later.
    """

    def connected(self) -> bool:
        """Tells whether the worker has reported on a connection still open.

        The next hold then reaches the same life of the worker.
        """

    async def hold(
        self,
        *,
        token: model.Token,
        observed: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Report:
        """Renews the lease of all that runs there and lists it.

        :param observed: ends up to this number are forgotten there.
        :param wait_ms: how long the answer may wait for an end.
        """

    async def start(self, order: StartOrder, token: model.Token) -> int:
        """Starts a run; returns the worker's clock."""

    async def stop(
        self, task: model.TaskKey, run: model.RunNumber, token: model.Token
    ) -> int:
        """Stops a run, or keeps it from starting; returns the clock."""

    async def pace(
        self,
        task: model.TaskKey,
        run: model.RunNumber,
        percent: int,
        token: model.Token,
    ) -> int:
        """Sets the share at which a run works; returns the clock."""

    def close(self) -> None:
        """Closes all connections."""


class Adviser(t.Protocol):
    """Knows which workers may run a step."""

    async def advise(
        self, job: ids.JobId, occurrence: int, step: int, workers: t.Sequence
    ) -> tuple[dict[ids.WorkerId, str], int]:
        """Returns the tickets of the workers that may, and their ms left.

        Raises PlatformError and PlatformUncertain; neither has an effect.
        """


class Fleet(t.Protocol):
    """Makes links to workers."""

    def link(self, worker: ids.WorkerId, address: str) -> WorkerLink:
        """Returns a link; connects at the first call."""


class Decoder(t.Protocol):
    """Reads records that others write."""

    def worker(self, key: bytes, value: bytes) -> model.WorkerEntry | None:
        """Returns a worker's entry, or None where it names none to use."""

    def configuration(
        self, key: bytes, value: bytes
    ) -> model.Configuration | None:
        """Returns a configuration, or None for other and bad records."""


class Caller(t.Protocol):
    """Calls another instance of the scheduler."""

    async def call(
        self, address: str, name: str, message: dict, timeout_s: float
    ) -> dict:
        """Returns the answer; raises as the store does."""
