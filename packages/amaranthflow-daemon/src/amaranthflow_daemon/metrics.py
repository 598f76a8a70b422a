"""Metrics of the daemon, sent to a statsd receiver over UDP."""

import dataclasses
import enum
import ipaddress
import re

import statsd

from . import settings

PREFIX = 'amaranthflow'
_UNSAFE = re.compile(r'[^A-Za-z0-9_-]')


class Kind(enum.Enum):
    """Kind of a metric as statsd names it."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMING = 'timing'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Description:
    """Describes a metric.

    :ivar by_class: the tenant and the task class are appended to the name.
    """

    name: str
    kind: Kind
    unit: str
    text: str
    by_class: bool = False


def _counter(name: str, text: str, unit: str) -> Description:
    return Description(name=name, kind=Kind.COUNTER, unit=unit, text=text)


def _class_counter(name: str, text: str, unit: str) -> Description:
    return Description(
        name=name, kind=Kind.COUNTER, unit=unit, text=text, by_class=True
    )


def _gauge(name: str, text: str, unit: str) -> Description:
    return Description(name=name, kind=Kind.GAUGE, unit=unit, text=text)


def _class_timing(name: str, text: str) -> Description:
    return Description(
        name=name, kind=Kind.TIMING, unit='ms', text=text, by_class=True
    )


class Metric(enum.Enum):
    """All metrics that the daemon sends."""

    REQUEST_MS = _class_timing(
        'request_ms', 'Time from reading a request to writing its reply.'
    )
    QUEUE_MS = _class_timing(
        'queue_ms', 'Time a request waited for a free slot.'
    )
    REQUESTS_COMPLETED = _class_counter(
        'requests_completed', 'Requests answered completely.', 'requests'
    )
    REQUESTS_NOT_RUN = _class_counter(
        'requests_not_run', 'Requests refused or not run.', 'requests'
    )
    REQUESTS_MAY_HAVE_RUN = _class_counter(
        'requests_may_have_run', 'Requests whose reply was lost.', 'requests'
    )
    RETRIES = _class_counter(
        'retries', 'Retried attempts of requests.', 'attempts'
    )
    JOBS_ACCEPTED = _class_counter(
        'jobs_accepted', 'Jobs whose record was confirmed.', 'jobs'
    )
    JOBS_COMPLETED = _class_counter(
        'jobs_completed', 'Jobs that completed.', 'jobs'
    )
    JOBS_SET_ASIDE = _class_counter(
        'jobs_set_aside', 'Jobs that failed on several workers.', 'jobs'
    )
    EVICTIONS = _class_counter(
        'evictions', 'Attempts of jobs that were evicted.', 'attempts'
    )
    CONNECTIONS_REPLACED = _counter(
        'connections_replaced',
        'Unresponsive connections replaced.',
        'connections',
    )
    RECORDS_SET_ASIDE = _counter(
        'records_set_aside', 'Log records that cannot be decoded.', 'records'
    )
    LOG_APPENDS = _counter('log_appends', 'Appends to the log.', 'appends')
    LOG_REACHABLE = _gauge(
        'log_reachable', '1 while the log answers, else 0.', '0 or 1'
    )
    RACKS_OWNED = _gauge('racks_owned', 'Racks owned here.', 'racks')
    RACKS_FENCED = _gauge(
        'racks_fenced', 'Racks owned here but not admitting work.', 'racks'
    )
    SLOTS_FREE = _gauge('slots_free', 'Free slots of owned workers.', 'slots')
    SLOTS_TOTAL = _gauge('slots_total', 'Slots of owned workers.', 'slots')
    REQUESTS_QUEUED = _gauge(
        'requests_queued', 'Requests waiting for a slot.', 'requests'
    )
    JOBS_WAITING = _gauge('jobs_waiting', 'Waiting jobs.', 'jobs')
    JOBS_RUNNING = _gauge('jobs_running', 'Running jobs.', 'jobs')
    PEERS = _gauge('peers', 'Connected other instances.', 'instances')
    CLIENTS_REFUSED = _counter(
        'clients_refused',
        'Callers and calls refused or cut off outside the limits.',
        'clients',
    )
    CLIENT_CONNECTIONS = _gauge(
        'client_connections', 'Open connections of callers.', 'connections'
    )
    CLIENT_BYTES = _gauge(
        'client_bytes', 'Bytes that requests of callers take.', 'bytes'
    )
    PEER_CALLS = _gauge(
        'peer_calls', 'Open calls at the address for instances.', 'calls'
    )
    PEER_BYTES = _gauge(
        'peer_bytes', 'Bytes set aside for these calls.', 'bytes'
    )
    LOOP_LAG_MS = _gauge(
        'loop_lag_ms', 'Delay of the event loop at a timer.', 'ms'
    )
    RESIDENT_MB = _gauge('resident_mb', 'Resident memory.', 'MB')


class _Client(statsd.StatsClient):
    """Drops a packet instead of waiting when the socket buffer is full."""

    def __init__(self, *, host: str, port: int):
        ipv6 = ipaddress.ip_address(host).version == 6
        super().__init__(host, port, prefix=PREFIX, ipv6=ipv6)
        self._sock.setblocking(False)


class Metrics:
    """Sends metrics, or does nothing if no receiver is set.

    Sending never raises and never blocks; packets may be lost.

    :param address: "IP:PORT" of the receiver, empty for none.
    """

    def __init__(self, *, address: str):
        self._client: _Client | None = None
        if address:
            host, port = settings.split_address(address)
            self._client = _Client(host=host, port=port)

    @property
    def enabled(self) -> bool:
        """Whether a receiver is set."""
        return self._client is not None

    def count(
        self,
        metric: Metric,
        *,
        n: int = 1,
        tenant_id: str = '',
        task_class: str = '',
    ) -> None:
        """Adds to a counter."""
        if self._client is not None:
            self._client.incr(_path(metric, tenant_id, task_class), n)

    def timing(
        self,
        metric: Metric,
        duration_ms: float,
        *,
        tenant_id: str = '',
        task_class: str = '',
    ) -> None:
        """Sends one duration."""
        if self._client is not None:
            path = _path(metric, tenant_id, task_class)
            self._client.timing(path, duration_ms)

    def gauge(self, metric: Metric, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(_path(metric, '', ''), value)

    def close(self) -> None:
        """Closes the socket; later calls do nothing."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _path(metric: Metric, tenant_id: str, task_class: str) -> str:
    description = metric.value
    if not description.by_class:
        return description.name
    tenant = _UNSAFE.sub('_', tenant_id) or 'none'
    name = _UNSAFE.sub('_', task_class) or 'none'
    return f'{description.name}.{tenant}.{name}'
