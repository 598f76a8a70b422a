"""Validation of single configuration changes and jobs."""

import math

from amaranthflow_schema.v1 import world_pb2

from . import exceptions

MAX_ID_LENGTH = 128
MAX_JOB_PAYLOAD_BYTES = 64 * 1024
MAX_SERVICE_TIMEOUT_MS = 4000  # a request must not outlast a task lease
MAX_CORES = 1_000_000
MAX_ATTEMPTS = 100
_MAX_PORT = 65535
_ID_PUNCTUATION = frozenset('-_.:')
_CHANGE_ID_PUNCTUATION = _ID_PUNCTUATION | {'/', '@'}
_ID_FIELDS = {
    'service': 'service_id',
    'tenant': 'tenant_id',
    'worker': 'worker_id',
    'policy': None,
}
_POLICY_KEY = 'policy/global'


def check_id(
    name: str, value: str, extra: frozenset[str] = _ID_PUNCTUATION
) -> None:
    """Raises RequestRefused unless a value is a valid id.

    :param extra: characters allowed besides ASCII letters and digits.
    """
    if not value:
        raise exceptions.RequestRefused(f'{name} is empty')
    if len(value) > MAX_ID_LENGTH:
        raise exceptions.RequestRefused(
            f'{name} is longer than {MAX_ID_LENGTH} characters'
        )
    for char in value:
        if not (char.isascii() and (char.isalnum() or char in extra)):
            raise exceptions.RequestRefused(f'{name} has a wrong character')


def check_size(name: str, size: world_pb2.Size) -> None:
    """Raises RequestRefused unless cores are in 0..MAX_CORES."""
    if not 0 <= size.cores <= MAX_CORES:
        raise exceptions.RequestRefused(f'{name} has wrong cores')


def check_job(job: world_pb2.Job) -> None:
    """Raises RequestRefused for an invalid job."""
    check_id('job_id', job.job_id)
    check_id('tenant_id', job.tenant_id)
    check_id('task_class', job.task_class)
    check_size('declared', job.declared)
    if len(job.payload) > MAX_JOB_PAYLOAD_BYTES:
        raise exceptions.RequestRefused(
            f'payload is over {MAX_JOB_PAYLOAD_BYTES} bytes'
        )


def check_change(change: world_pb2.Change) -> None:
    """Raises RequestRefused for an invalid change."""
    check_id('change_id', change.change_id, _CHANGE_ID_PUNCTUATION)
    kind, _, name = change.key.partition('/')
    if kind not in _ID_FIELDS:
        raise exceptions.RequestRefused(f'unknown kind of key {change.key!r}')
    check_id('name in key', name)
    if kind == 'policy' and change.key != _POLICY_KEY:
        raise exceptions.RequestRefused(f'the only policy is {_POLICY_KEY}')
    if change.effective_at_ms < 0:
        raise exceptions.RequestRefused('effective_at_ms is negative')
    _check_body(change, kind, name)


def _check_body(change: world_pb2.Change, kind: str, name: str) -> None:
    body_kind = change.WhichOneof('body')
    if body_kind is None:
        raise exceptions.RequestRefused('the change has no body')
    if body_kind in ('remove', 'withdraw'):
        _check_flag(change, body_kind)
        return
    if body_kind != kind:
        raise exceptions.RequestRefused(
            f'key {change.key!r} does not take a {body_kind}'
        )
    body = getattr(change, body_kind)
    id_field = _ID_FIELDS[kind]
    if id_field and getattr(body, id_field) != name:
        raise exceptions.RequestRefused(f'{id_field} differs from the key')
    _CHECKS[kind](body)


def _check_flag(change: world_pb2.Change, body_kind: str) -> None:
    if not getattr(change, body_kind):
        raise exceptions.RequestRefused(f'{body_kind} is set to false')
    if body_kind == 'withdraw' and change.effective_at_ms:
        raise exceptions.RequestRefused('a withdrawal cannot be booked')


def _check_service(body: world_pb2.Service) -> None:
    check_id('tenant_id', body.tenant_id)
    check_id('task_class', body.task_class)
    check_size('size', body.size)
    if not 0 < body.timeout_ms <= MAX_SERVICE_TIMEOUT_MS:
        raise exceptions.RequestRefused(
            f'timeout_ms is not in 1..{MAX_SERVICE_TIMEOUT_MS}'
        )


def _check_tenant(body: world_pb2.Tenant) -> None:
    check_size('quota', body.quota)
    check_size('guarantee', body.guarantee)
    if not math.isfinite(body.weight) or body.weight <= 0:
        raise exceptions.RequestRefused('weight is not positive')
    if not 0 <= body.retry_ratio <= 1:
        raise exceptions.RequestRefused('retry_ratio is not in 0..1')


def _check_worker(body: world_pb2.Worker) -> None:
    check_id('rack_id', body.rack_id)
    check_id('zone_id', body.zone_id)
    check_size('capacity', body.capacity)
    host, _, port = body.address.rpartition(':')
    if not host or not _is_port(port):
        raise exceptions.RequestRefused('address is not IP:PORT')
    if body.slots < 1 or body.connections < 1:
        raise exceptions.RequestRefused('slots or connections is zero')


def _is_port(text: str) -> bool:
    if not text.isascii() or not text.isdigit() or len(text) > 5:
        return False
    return 0 < int(text) <= _MAX_PORT


def _check_policy(body: world_pb2.Policy) -> None:
    if not math.isfinite(body.relief_slowdown) or body.relief_slowdown <= 1:
        raise exceptions.RequestRefused('relief_slowdown is not above 1')
    if body.max_attempts > MAX_ATTEMPTS:
        raise exceptions.RequestRefused(f'max_attempts is over {MAX_ATTEMPTS}')


_CHECKS = {
    'service': _check_service,
    'tenant': _check_tenant,
    'worker': _check_worker,
    'policy': _check_policy,
}
