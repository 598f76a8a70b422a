"""Limits of the clients of an HTTP server."""

import dataclasses

# Memory of an open connection: its objects, and responses not yet sent.
_CONN_BYTES = 24_576
_MEMORY_SHARE = 0.125  # for the connections of one server
_DESCRIPTOR_SHARE = 0.25  # the rest is for own connections and other servers
_MIN_CONNS = 16
_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of each client.

    :ivar head_bytes: length of the target and the headers.
    :ivar headers: number of headers and trailers.
    :ivar body_bytes: length of a body.
    :ivar requests_ahead: complete requests that wait for an earlier one;
        further ones are not read until there is room.
    :ivar head_s: time for a head to arrive after its first byte.
    :ivar request_s: time for a whole request to arrive.
    :ivar idle_s: time without a request, and time for which a client may
        leave responses unread.
    """

    head_bytes: int = 16_384
    headers: int = 100
    body_bytes: int = 262_144
    requests_ahead: int = 16
    head_s: float = 10.0
    request_s: float = 60.0
    idle_s: float = 15.0


def max_conns(memory_mb: int, max_descriptors: int) -> int:
    """Returns how many connections a server of a process may have."""
    by_memory = int(memory_mb * _MB * _MEMORY_SHARE) // _CONN_BYTES
    by_descriptors = int(max_descriptors * _DESCRIPTOR_SHARE)
    return max(_MIN_CONNS, min(by_memory, by_descriptors))
