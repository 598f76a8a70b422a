"""Settings of the daemon, validated before anything is started."""

import dataclasses
import enum
import ipaddress
import math
import re
import typing as t
from urllib import parse

from amaranthflow import exceptions
from amaranthflow import ids

_VARIABLE_PREFIX = 'AMARANTHFLOW_'
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_MAX_PORT = 65535
_MIN_BODY_BYTES = 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MIN_HEARTBEATS_PER_FENCE = 2
_MIN_MEMORY_MB = 64
_MAX_MEMORY_MB = 1024 * 1024
_MIN_DESCRIPTORS = 128
_MAX_DESCRIPTORS = 1024 * 1024


class LogLevel(enum.Enum):
    """Minimum level that is written to the log."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Validated settings of one daemon process, see ``from_values``.

    Names ending in ``_s`` are in seconds, in ``_ms`` in milliseconds.

    :ivar http_address: "IP:PORT" for callers.
    :ivar peer_address: "IP:PORT" for other instances and operators.
    :ivar statsd_address: "IP:PORT", empty to send no metrics.
    :ivar memory_mb: memory that the process may use.
    :ivar max_descriptors: descriptors that the process may open.
    :ivar start_peers: addresses of peers to fetch the state from at startup
        while the log does not answer.
    :ivar zones: known availability zones, empty to allow any name.
    """

    instance_id: ids.InstanceId
    zone: ids.ZoneId
    region: str = ''
    zones: tuple[ids.ZoneId, ...] = ()
    http_address: str
    peer_address: str
    log_url: str
    list_url: str
    statsd_address: str = ''
    start_peers: tuple[str, ...] = ()
    heartbeat_s: float = 0.5
    suspect_s: float = 1.5
    fence_s: float = 2.0
    task_lease_s: float = 4.0
    clock_margin_s: float = 0.25
    list_delay_s: float = 30.0
    batch_delay_ms: float = 5.0
    log_appends_per_s: float = 300.0
    max_body_bytes: int = 1024 * 1024
    memory_mb: int = 512
    max_descriptors: int = 4096
    drain_s: float = 20.0
    log_level: LogLevel = LogLevel.INFO

    @classmethod
    def from_values(cls, **values: t.Any) -> 'Settings':
        """Parses and validates values given as text or as their own type.

        A value that is missing or None takes its default.

        :raises ExceptionGroup: with one ``SettingsError`` for each invalid
            value; each is one line that names the flag and the variable.
        """
        errors: list[Exception] = []
        parsed = _parse_all(values, errors)
        if not errors:
            cfg = cls(**parsed)
            errors = list(_cross_check(cfg))
        if errors:
            raise ExceptionGroup('invalid settings', errors)
        return cfg


def flag_of(name: str) -> str:
    """Returns the command line flag of a setting."""
    return '--' + name.replace('_', '-')


def variable_of(name: str) -> str:
    """Returns the environment variable of a setting."""
    return _VARIABLE_PREFIX + name.upper()


def setting_error(name: str, problem: str) -> exceptions.SettingsError:
    """Builds the one-line error for an invalid value of a setting."""
    return exceptions.SettingsError(
        f'{flag_of(name)} ({variable_of(name)}): {problem}'
    )


def bind_error(name: str, address: str, exc: OSError) -> Exception:
    """Builds the error for an address that cannot be bound."""
    return setting_error(
        name, f'cannot listen on {address}: {exc.strerror or exc}'
    )


def split_address(address: str) -> tuple[str, int]:
    """Splits a valid "IP:PORT" or "[IPv6]:PORT" into host and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def parse_address(text: str) -> str:
    """Validates an "IP:PORT" whose host is an IP address, not a name.

    :raises ValueError: with a one-line description of the problem.
    """
    host, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError(f'"{text}" is not of the form IP:PORT')
    _check_host(host, text)
    if not port.isdecimal() or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f'port of "{text}" is not in 1 to {_MAX_PORT}')
    return text


def _check_host(host: str, text: str) -> None:
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f'host of "{text}" is not an IP address') from None
    if bracketed != (number.version == 6):
        raise ValueError(f'"{text}" is not of the form IP:PORT or [IPv6]:PORT')


def _parse_optional_address(text: str) -> str:
    return parse_address(text) if text else ''


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError(
            f'"{text}" is not a name of up to 63 letters, digits, ".", "_", '
            '"-", starting with a letter or digit'
        )
    return text


def _parse_optional_name(text: str) -> str:
    return _parse_name(text) if text else ''


def _parse_names(value: str | t.Iterable[str]) -> tuple[str, ...]:
    parts = value.split(',') if isinstance(value, str) else value
    names = [part.strip() for part in parts if part.strip()]
    return tuple(_parse_name(name) for name in names)


def _parse_url(text: str) -> str:
    url = parse.urlsplit(text)
    if url.scheme not in ('http', 'https') or not url.hostname:
        raise ValueError(f'"{text}" is not a URL like http://HOST:PORT')
    if url.query or url.fragment:
        raise ValueError(f'"{text}" has a query or fragment')
    # Reading it raises ValueError if the port is invalid.
    _ = url.port
    return text.rstrip('/')


def _parse_positive(value: str | float) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        raise ValueError(f'"{value}" is not a number') from None
    if not math.isfinite(number) or number <= 0:
        raise ValueError(f'"{value}" is not greater than 0')
    return number


def _integer_parser(least: int, most: int) -> t.Callable[[t.Any], int]:
    def parse(value: str | int) -> int:
        try:
            number = int(value)
        except (TypeError, ValueError):
            raise ValueError(f'"{value}" is not an integer') from None
        if not least <= number <= most:
            raise ValueError(f'{number} is not in {least} to {most}')
        return number

    return parse


def _parse_level(value: str | LogLevel) -> LogLevel:
    if isinstance(value, LogLevel):
        return value
    try:
        return LogLevel(value.lower())
    except ValueError:
        known = ', '.join(level.value for level in LogLevel)
        raise ValueError(f'"{value}" is not one of {known}') from None


def _parse_addresses(value: str | t.Sequence[str]) -> tuple[str, ...]:
    if isinstance(value, str):
        value = [part.strip() for part in value.split(',') if part.strip()]
    return tuple(parse_address(address) for address in value)


_PARSERS: dict[str, t.Callable[[t.Any], t.Any]] = {
    'instance_id': _parse_name,
    'zone': _parse_name,
    'region': _parse_optional_name,
    'zones': _parse_names,
    'http_address': parse_address,
    'peer_address': parse_address,
    'log_url': _parse_url,
    'list_url': _parse_url,
    'statsd_address': _parse_optional_address,
    'max_body_bytes': _integer_parser(_MIN_BODY_BYTES, _MAX_BODY_BYTES),
    'memory_mb': _integer_parser(_MIN_MEMORY_MB, _MAX_MEMORY_MB),
    'max_descriptors': _integer_parser(_MIN_DESCRIPTORS, _MAX_DESCRIPTORS),
    'log_level': _parse_level,
    'start_peers': _parse_addresses,
}


def _parse_all(
    values: t.Mapping[str, t.Any], errors: list[Exception]
) -> dict[str, t.Any]:
    parsed = {}
    for field in dataclasses.fields(Settings):
        value = values.get(field.name)
        if value is None:
            if field.default is dataclasses.MISSING:
                errors.append(setting_error(field.name, 'is required'))
            continue
        parser = _PARSERS.get(field.name, _parse_positive)
        try:
            parsed[field.name] = parser(value)
        except ValueError as exc:
            errors.append(setting_error(field.name, str(exc)))
    return parsed


def _cross_check(cfg: Settings) -> t.Iterator[exceptions.SettingsError]:
    if cfg.zones and cfg.zone not in cfg.zones:
        known = ', '.join(cfg.zones)
        yield setting_error(
            'zone', f'unknown availability zone "{cfg.zone}", known: {known}'
        )
    if cfg.http_address == cfg.peer_address:
        yield setting_error(
            'peer_address',
            f'{cfg.peer_address} is also {flag_of("http_address")}',
        )
    yield from _check_greater(cfg, 'suspect_s', 'heartbeat_s', 1)
    yield from _check_greater(
        cfg, 'fence_s', 'heartbeat_s', _MIN_HEARTBEATS_PER_FENCE
    )
    yield from _check_greater(cfg, 'task_lease_s', 'fence_s', 1)


def _check_greater(
    cfg: Settings, name: str, other: str, factor: int
) -> t.Iterator[exceptions.SettingsError]:
    """Yields an error unless a setting exceeds a multiple of another."""
    value = getattr(cfg, name)
    bound = factor * getattr(cfg, other)
    if value > bound:
        return
    times = f'{factor} times ' if factor > 1 else ''
    yield setting_error(
        name,
        f'{value:g} is not greater than {times}{flag_of(other)}, {bound:g}',
    )
