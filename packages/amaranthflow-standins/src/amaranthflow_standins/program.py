"""What requests and batch tasks compute on worker stand-ins."""

import dataclasses
import hashlib
import json

_DEFAULT_RUN_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Program:
    """Behaviour of a batch task, read from its payload.

    :ivar run_s: run time without throttle or slowdown.
    :ivar memory_mb: memory actually used, 0 for the declared amount.
    :ivar fails: the task ends as failed instead of completed.
    :ivar label: name given by the submitter, for checks.
    """

    run_s: float
    memory_mb: int = 0
    fails: bool = False
    label: str = ''


def parse(payload: bytes) -> Program:
    """Reads ``{"run_ms": .., "memory_mb": .., "fails": .., "label": ..}``.

    Any other payload is a task that runs for one second.
    """
    try:
        fields = json.loads(payload)
        return Program(
            run_s=fields.get('run_ms', _DEFAULT_RUN_MS) / 1000,
            memory_mb=int(fields.get('memory_mb', 0)),
            fails=bool(fields.get('fails', False)),
            label=str(fields.get('label', '')),
        )
    except (ValueError, TypeError, AttributeError):
        return Program(run_s=_DEFAULT_RUN_MS / 1000)


def result_of(payload: bytes) -> bytes:
    """Returns the result of a completed task."""
    return b'done ' + hashlib.sha256(payload).hexdigest().encode()


def answer_to(
    tenant_id: str, service_id: str, request_id: str, payload: bytes
) -> bytes:
    """Returns the correct answer to a request, unique to that request."""
    head = f'{tenant_id}/{service_id}/{request_id}:'.encode()
    return head + payload[::-1]


def checkpoint_at(task_id: str, progress_s: float) -> str:
    """Returns the reference of a checkpoint."""
    return f'{task_id}@{round(progress_s * 1000)}'


def progress_of(checkpoint: str) -> float:
    """Returns the progress in seconds stored in a checkpoint, 0.0 if none."""
    _, _, progress_ms = checkpoint.rpartition('@')
    return int(progress_ms) / 1000 if progress_ms.isdigit() else 0.0
