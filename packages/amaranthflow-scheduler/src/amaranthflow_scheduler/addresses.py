"""Network addresses, written "IP:PORT"."""

import functools
import ipaddress

# Each heartbeat of a worker repeats its address.
_MAX_CACHED = 4_096
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


@functools.lru_cache(maxsize=_MAX_CACHED)
def split(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of an address.

    Raises ValueError if the text is anything else, a host name included,
    since no names are looked up.
    """
    host, _, digits = address.rpartition(':')
    ipaddress.ip_address(host)
    # int() accepts other digits as well, and raises for thousands of them.
    if not (digits.isascii() and digits.isdigit()):
        raise ValueError(f'{address[:40]!r} has no port')
    if len(digits) > _MAX_PORT_DIGITS or not 0 < int(digits) <= _MAX_PORT:
        raise ValueError(f'{address[:40]!r} has a port out of range')
    return host, int(digits)
