"""Configuration files of the scheduler, and their check."""

import pathlib
import pkgutil
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow_scheduler import configuration_check
from amaranthflow_scheduler import decoding
from amaranthflow_scheduler import model

from . import errors

Decode = t.Callable[[bytes], model.Configuration]


def decode(value: bytes) -> model.Configuration:
    """Decodes a file with the scheduler's own names. Raises InvalidRecord."""
    return decoding.decode(value, model.Configuration)


def decoder(name: str) -> Decode:
    """Returns the function that reads files of another format.

    :param name: module and function, for example ``package.module:function``.

    :raises UsageError: if there is no such function.
    """
    try:
        found = pkgutil.resolve_name(name)
    except (ImportError, AttributeError, ValueError) as exc:
        raise errors.UsageError(f'--decoder: {name}: {exc}') from exc
    if not callable(found):
        raise errors.UsageError(f'--decoder: {name} is not a function')
    return found


def load(file: pathlib.Path, decode_file: Decode) -> model.Configuration:
    """Reads a configuration file.

    :raises RequestFileError: if it cannot be read.
    """
    try:
        return decode_file(file.read_bytes())
    except OSError as exc:
        raise errors.RequestFileError(f'{file}: {exc.strerror}') from exc
    except exceptions.InvalidRecord as exc:
        raise errors.RequestFileError(f'{file}: {exc.reason}') from exc


def as_text(findings: t.Sequence[configuration_check.Finding]) -> str:
    """Returns a line for each finding, or one that says there is none."""
    if not findings:
        return 'no findings'
    return '\n'.join(
        f'{found.severity.value}: {found.subject}: {found.text}'
        for found in findings
    )


def as_json(findings: t.Sequence[configuration_check.Finding]) -> str:
    """Returns the findings as a JSON list."""
    return msgspec.json.encode(
        [found._asdict() for found in findings]
    ).decode()


def has_errors(findings: t.Iterable[configuration_check.Finding]) -> bool:
    """Returns whether a finding is an error."""
    error = configuration_check.Severity.ERROR
    return any(found.severity is error for found in findings)
