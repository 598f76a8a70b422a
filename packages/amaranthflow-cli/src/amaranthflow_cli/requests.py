"""Request files: one request as JSON according to the schema."""

import hashlib
import pathlib
import typing as t

from google.protobuf import json_format
from google.protobuf import message

from amaranthflow_schema.v1 import operators_pb2

from . import errors

_MAX_FILE_BYTES = 1024 * 1024

_M = t.TypeVar('_M', bound=message.Message)


def load_change(path: pathlib.Path) -> operators_pb2.ChangeRequest:
    """Reads a change, which must have a change id and a key.

    :raises RequestFileError: as one line that names the file.
    """
    req = _load(path, operators_pb2.ChangeRequest())
    if not req.change.change_id:
        raise errors.RequestFileError(f'{path}: change.change_id is missing')
    if not req.change.key:
        raise errors.RequestFileError(f'{path}: change.key is missing')
    return req


def load_job(path: pathlib.Path) -> operators_pb2.SubmitJobRequest:
    """Reads a job, which must have a job id and a tenant.

    :raises RequestFileError: as one line that names the file.
    """
    req = _load(path, operators_pb2.SubmitJobRequest())
    if not req.job.job_id:
        raise errors.RequestFileError(f'{path}: job.job_id is missing')
    if not req.job.tenant_id:
        raise errors.RequestFileError(f'{path}: job.tenant_id is missing')
    return req


def digest(req: message.Message) -> str:
    """Returns the SHA-256 of the deterministic serialization, in hex."""
    data = req.SerializeToString(deterministic=True)
    return hashlib.sha256(data).hexdigest()


def check_digest(
    req: message.Message, expected: str, path: pathlib.Path
) -> None:
    """Checks that a request is the one that was reviewed.

    :raises DigestMismatch: naming both digests.
    """
    actual = digest(req)
    if expected.strip().lower() != actual:
        raise errors.DigestMismatch(
            f'{path}: digest is {actual}, --digest says {expected};'
            ' nothing was sent, review the file again'
        )


def _load(path: pathlib.Path, req: _M) -> _M:
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise errors.RequestFileError(f'{path}: {exc.strerror}') from exc
    if len(data) > _MAX_FILE_BYTES:
        raise errors.RequestFileError(f'{path}: over {_MAX_FILE_BYTES} bytes')
    try:
        return json_format.Parse(data, req)
    except (json_format.ParseError, UnicodeDecodeError) as exc:
        raise errors.RequestFileError(f'{path}: {exc}') from exc
