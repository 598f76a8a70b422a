"""Encodes and decodes the stored record of an accepted job."""

import dataclasses

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import decoding
from . import model

_FORMAT = 1  # increase it when the meaning of a field changes
_STEP_DEFAULTS = model.Step(count=1)
# Earlier versions cannot read a step without these.
_REQUIRED_STEP_FIELDS = frozenset(('count', 'resources'))


def encode(job: model.Job) -> bytes:
    """Returns the record; step fields with default values are left out.

    Raises RequestRefused for a job that could not be read back.
    """
    try:
        value = _encode(job)
        restored = decode(job.id, value)
    except (exceptions.InvalidRecord, ValueError, OverflowError) as exc:
        raise exceptions.RequestRefused(
            f'job {job.id} cannot be recorded: {exc}'
        ) from exc
    if restored != job:
        raise exceptions.RequestRefused(
            f'job {job.id} would be read back as another one'
        )
    return value


def _encode(job: model.Job) -> bytes:
    return msgspec.json.encode(
        {
            'format': _FORMAT,
            'queue': dataclasses.asdict(job.queue),
            'payload': job.payload,
            'steps': [_encode_step(step) for step in job.steps],
            'accepted_ms': job.accepted_ms,
            'occurrences': job.occurrences,
            'first_due_ms': job.first_due_ms,
            'interval_ms': job.interval_ms,
        }
    )


def _encode_step(step: model.Step) -> dict:
    fields = {}
    for name in _STEP_DEFAULTS.__slots__:
        value = getattr(step, name)
        default = getattr(_STEP_DEFAULTS, name)
        if name in _REQUIRED_STEP_FIELDS or value != default:
            fields[name] = value
    return fields


class _Record(msgspec.Struct):
    format: int
    queue: model.Queue
    payload: str
    steps: tuple[model.Step, ...]
    accepted_ms: int
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


def decode(job_id: ids.JobId, value: bytes) -> model.Job:
    """Returns the job. Raises InvalidRecord if it cannot be read."""
    try:
        fields = decoding.decode(value, _Record)
        if fields.format != _FORMAT:
            raise exceptions.InvalidRecord(f'unknown format {fields.format}')
        job = model.Job(
            id=job_id,
            queue=fields.queue,
            payload=fields.payload,
            steps=fields.steps,
            accepted_ms=fields.accepted_ms,
            occurrences=fields.occurrences,
            first_due_ms=fields.first_due_ms,
            interval_ms=fields.interval_ms,
        )
        model.validate_job(job)
    except (exceptions.InvalidRecord, exceptions.RequestRefused) as exc:
        raise exceptions.InvalidRecord(f'job {job_id}: {exc}') from exc
    return job
