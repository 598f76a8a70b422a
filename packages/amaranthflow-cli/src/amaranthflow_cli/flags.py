"""Flags shared by several commands, and validation of their values."""

import ipaddress
import pathlib
import typing as t

import typer

from . import errors

_MAX_PORT = 65535

Address = t.Annotated[
    str,
    typer.Option(
        '--address',
        envvar='AMARANTHFLOW_ADDRESS',
        metavar='IP:PORT,...',
        help='Peer addresses of instances, tried in order.',
    ),
]
HttpAddress = t.Annotated[
    str,
    typer.Option(
        '--http-address',
        envvar='AMARANTHFLOW_HTTP_ADDRESS',
        metavar='IP:PORT,...',
        help='HTTP addresses of instances, tried in order.',
    ),
]
Timeout = t.Annotated[
    float,
    typer.Option(
        '--timeout-s',
        envvar='AMARANTHFLOW_TIMEOUT_S',
        metavar='SECONDS',
        help='Maximum wait for the reply of an instance.',
        min=0.001,
    ),
]
Json = t.Annotated[
    bool, typer.Option('--json', help='Print JSON instead of text.')
]
Tenant = t.Annotated[
    str,
    typer.Option(
        '--tenant',
        envvar='AMARANTHFLOW_TENANT',
        metavar='ID',
        help='Tenant of the job or request.',
    ),
]
File = t.Annotated[
    pathlib.Path, typer.Argument(metavar='FILE', help='Request file.')
]
DEFAULT_TIMEOUT_S = 10.0


def peer_addresses(text: str) -> list[str]:
    """Splits and validates the value of ``--address``.

    :raises UsageError: naming the flag and the variable.
    """
    return _parse_addresses('--address', 'AMARANTHFLOW_ADDRESS', text)


def http_addresses(text: str) -> list[str]:
    """Splits and validates the value of ``--http-address``.

    :raises UsageError: naming the flag and the variable.
    """
    return _parse_addresses(
        '--http-address', 'AMARANTHFLOW_HTTP_ADDRESS', text
    )


def required_tenant(text: str) -> str:
    """Checks that ``--tenant`` is given.

    :raises UsageError: naming the flag and the variable.
    """
    if not text:
        raise errors.UsageError('--tenant (AMARANTHFLOW_TENANT): is required')
    return text


def _parse_addresses(flag: str, variable: str, text: str) -> list[str]:
    """Splits and validates a list of "IP:PORT"."""
    addresses = [part.strip() for part in text.split(',') if part.strip()]
    if not addresses:
        raise errors.UsageError(f'{flag} ({variable}): is required')
    for address in addresses:
        host, _, port = address.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
            valid = 1 <= int(port) <= _MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            raise errors.UsageError(
                f'{flag} ({variable}): "{address}" is not IP:PORT'
            )
    return addresses
