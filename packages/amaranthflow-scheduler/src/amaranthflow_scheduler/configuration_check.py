"""Checks of a configuration before it is sent, and its changes.

Finds what no single field shows: queues that no request can reach, limits
that contradict one another, and what differs from the version in force.
"""

import collections
import enum
import typing as t

from . import httplimits
from . import model

# A request for a job ends with its id.
_JOB_ID_CHARS = 16
_QUEUE_FIELDS = (
    'host',
    'prefix',
    'service',
    'priority',
    'max_attempts',
    'stretch',
    'target_ms',
    'advised',
    'advice',
)
_LIMITS = (
    'max_body_bytes',
    'max_head_bytes',
    'head_timeout_ms',
    'idle_timeout_ms',
)


class Severity(enum.Enum):
    """How a finding affects callers.

    ERROR: the configuration does not do what it says. WARNING: it may be
    meant otherwise. CHANGE: a difference from the version in force.
    """

    ERROR = 'error'
    WARNING = 'warning'
    CHANGE = 'change'


class Finding(t.NamedTuple):
    """One result of a check.

    :ivar subject: what the finding is about, for example ``queue plans``.
    """

    severity: Severity
    subject: str
    text: str


def check(
    cfg: model.Configuration, in_force: model.Configuration | None = None
) -> list[Finding]:
    """Returns the findings of a configuration, errors first.

    :param in_force: the version in force, to which it is compared.
    """
    found = [
        *_check_queues(cfg),
        *_check_matches(cfg),
        *_check_services(cfg),
        *_check_limits(cfg),
    ]
    if in_force is not None:
        found.extend(_check_version(cfg, in_force))
        found.extend(_changes(cfg, in_force))
    order = list(Severity)
    return sorted(found, key=lambda finding: order.index(finding.severity))


def _error(subject: str, text: str) -> Finding:
    return Finding(Severity.ERROR, subject, text)


def _warning(subject: str, text: str) -> Finding:
    return Finding(Severity.WARNING, subject, text)


def _subject(queue: model.Queue) -> str:
    return f'queue {queue.id}'


def _check_queues(cfg: model.Configuration) -> t.Iterator[Finding]:
    """Yields the fields of queues that are out of range."""
    counts = collections.Counter(queue.id for queue in cfg.queues)
    for queue_id, count in counts.items():
        if count > 1:
            yield _error(f'queue {queue_id}', f'is defined {count} times')
    for queue in cfg.queues:
        subject = _subject(queue)
        if queue.max_attempts < 1:
            yield _error(subject, 'max_attempts must be at least 1')
        if queue.stretch <= 0:
            yield _error(subject, 'stretch must be positive')
        elif queue.stretch < 1 and not queue.target_ms:
            yield _error(subject, 'no job can be on time with a stretch < 1')
        if queue.priority < 0:
            yield _error(subject, 'priority must not be negative')
        if queue.target_ms < 0:
            yield _error(subject, 'target_ms must not be negative')


def _check_matches(cfg: model.Configuration) -> t.Iterator[Finding]:
    """Yields the queues that no request can match."""
    first: dict[tuple[str, str], model.Queue] = {}
    for queue in cfg.queues:
        reason = _why_unreachable(queue, cfg)
        other = first.setdefault((queue.host, queue.prefix), queue)
        if reason is None and other is not queue:
            reason = f'queue {other.id} has the same host and prefix'
        if reason is not None:
            yield _error(_subject(queue), f'never matches: {reason}')
        elif not queue.prefix.endswith('/'):
            yield _warning(
                _subject(queue),
                f'prefix {queue.prefix!r} does not end with a slash, so that'
                ' it also matches longer names',
            )


def _why_unreachable(
    queue: model.Queue, cfg: model.Configuration
) -> str | None:
    """Returns why no request can match a queue, None if one can."""
    if not queue.host:
        return 'it has no host'
    if queue.host != queue.host.lower():
        return 'the host of a request is compared in lower case'
    if ':' in queue.host:
        return 'the port of a request is not compared with the host'
    if not queue.prefix.startswith('/'):
        return f'prefix {queue.prefix!r} does not begin with a slash'
    for text in (queue.host, queue.prefix):
        if not (text.isascii() and text.isprintable()) or ' ' in text:
            return f'{text!r} cannot occur in a request'
    if '?' in queue.prefix or '#' in queue.prefix:
        return f'prefix {queue.prefix!r} is not part of a path'
    shortest = len(queue.prefix) + _JOB_ID_CHARS + len(queue.host)
    if shortest > cfg.max_head_bytes:
        return 'its requests exceed max_head_bytes'
    return None


def _check_services(cfg: model.Configuration) -> t.Iterator[Finding]:
    used = {queue.service for queue in cfg.queues}
    for queue in cfg.queues:
        if queue.service not in cfg.services:
            yield _error(
                _subject(queue), f'service {queue.service} is not defined'
            )
    for service in sorted(cfg.services - used):
        yield _warning(f'service {service}', 'no queue uses it')


def _check_limits(cfg: model.Configuration) -> t.Iterator[Finding]:
    for name in _LIMITS:
        if getattr(cfg, name) <= 0:
            yield _error('limits', f'{name} must be positive')
    request_ms = round(1000 * httplimits.Limits().request_s)
    if cfg.head_timeout_ms > request_ms:
        yield _error(
            'limits',
            f'head_timeout_ms {cfg.head_timeout_ms} has no effect, as a'
            f' request has to arrive within {request_ms} ms',
        )


def _check_version(
    cfg: model.Configuration, in_force: model.Configuration
) -> t.Iterator[Finding]:
    if cfg.version <= in_force.version:
        yield _error(
            f'version {cfg.version}',
            f'is ignored, as version {in_force.version} is in force',
        )


def _changes(
    cfg: model.Configuration, in_force: model.Configuration
) -> t.Iterator[Finding]:
    """Yields the differences from the version in force."""
    before = {queue.id: queue for queue in in_force.queues}
    after = {queue.id: queue for queue in cfg.queues}
    for queue_id in sorted(before.keys() | after.keys()):
        subject = f'queue {queue_id}'
        if queue_id not in after:
            text = 'is removed; its jobs run on under their last settings'
            yield Finding(Severity.CHANGE, subject, text)
        elif queue_id not in before:
            queue = after[queue_id]
            text = f'is added for {queue.host}{queue.prefix}'
            yield Finding(Severity.CHANGE, subject, text)
        else:
            old, new = before[queue_id], after[queue_id]
            yield from _field_changes(subject, _QUEUE_FIELDS, old, new)
    for service in sorted(cfg.services ^ in_force.services):
        text = 'is added' if service in cfg.services else 'is removed'
        yield Finding(Severity.CHANGE, f'service {service}', text)
    for service in sorted(
        (cfg.checked_services ^ in_force.checked_services)
        & cfg.services
        & in_force.services
    ):
        now = service in cfg.checked_services
        text = f'its workers {"refuse" if now else "accept"} what does not fit'
        yield Finding(Severity.CHANGE, f'service {service}', text)
    yield from _field_changes('limits', _LIMITS, in_force, cfg)


def _field_changes(
    subject: str, names: t.Iterable[str], old: t.Any, new: t.Any
) -> t.Iterator[Finding]:
    for name in names:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            text = f'{name} changes from {before} to {after}'
            yield Finding(Severity.CHANGE, subject, text)
