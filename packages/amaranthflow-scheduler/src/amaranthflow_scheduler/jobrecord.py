"""Encodes and decodes the stored record of an accepted job."""

import dataclasses

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import model

_FORMAT = 1  # increase it when the meaning of a field changes
_STEP_DEFAULTS = model.Step(count=1, resources=model.Resources())


def encode(job: model.Job) -> bytes:
    """Returns the record; step fields with default values are left out."""
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
        if name == 'count' or value != getattr(_STEP_DEFAULTS, name):
            fields[name] = value
    return fields


def decode(job_id: ids.JobId, value: bytes) -> model.Job:
    """Returns the job. Raises InvalidRecord if it cannot be read."""
    try:
        fields = msgspec.json.decode(value)
        if fields.pop('format') != _FORMAT:
            raise exceptions.InvalidRecord(
                f'unknown record format of job {job_id}'
            )
        queue = model.Queue(**fields.pop('queue'))
        steps = tuple(_decode_step(step) for step in fields.pop('steps'))
        return model.Job(id=job_id, queue=queue, steps=steps, **fields)
    except (
        msgspec.MsgspecError,
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
    ) as exc:
        raise exceptions.InvalidRecord(f'job {job_id}: {exc}') from exc


def _decode_step(fields: dict) -> model.Step:
    fields['resources'] = model.Resources(*fields.get('resources', ()))
    fields['after'] = tuple(fields.get('after', ()))
    return model.Step(**fields)
