"""Memory that clients hold in this process, over all its connections.

Load: many clients that each stay within the limits of a connection and
together hold more than the process can spare, such as bodies that stop short
of their end or responses that nobody reads. The clients that have cost the
most memory for the longest time give way, so callers whose requests arrive
and end quickly are served.
"""

import collections
import typing as t

# Making room goes on below the limit, so that it is not needed again at once.
_ROOM_SHARE = 0.125
# Shares of the memory for requests and responses in progress, and for the
# connections of one server; of the descriptors for the latter. The rest is for
# the process itself, its own connections and other servers.
_MEMORY_SHARE = 0.125
_DESCRIPTOR_SHARE = 0.25
# Memory of an open connection: its objects, and responses not yet sent.
_CONN_BYTES = 24_576
_MIN_CONNS = 16
_MB = 1_000_000


class Holder(t.Protocol):
    """A client's connection.

    :ivar waiting_since_s: since when it has not completed a request.
    :ivar busy: a request is being handled; its memory cannot be freed.
    """

    waiting_since_s: float
    busy: bool

    def give_way(self) -> None:
        """Frees the memory that the client holds."""


_Holder = t.TypeVar('_Holder', bound=Holder)


class Intake:
    """Counts the bytes held by all clients and keeps them under a limit.

    :ivar max_bytes: the limit.
    :ivar held_bytes: bytes held now.
    """

    def __init__(self, *, max_bytes: int):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._held: dict[Holder, int] = {}

    def hold(self, holder: Holder, n_bytes: int, now_s: float) -> bool:
        """Sets the bytes that a holder holds.

        Makes others give way, or the holder itself, if it grows and there is
        too little room. Returns whether there is room.
        """
        before = self._held.pop(holder, 0)
        if n_bytes:
            self._held[holder] = n_bytes
        self.held_bytes += n_bytes - before
        if n_bytes <= before or self.held_bytes <= self.max_bytes:
            return True
        self._make_room(now_s)
        return self.held_bytes <= self.max_bytes

    def _make_room(self, now_s: float) -> None:
        def cost(holder: Holder) -> float:
            # Byte-seconds; one second more, so that new holders count too.
            age_s = now_s - holder.waiting_since_s + 1.0
            return self._held[holder] * age_s

        idle = [holder for holder in self._held if not holder.busy]
        target = self.max_bytes * (1.0 - _ROOM_SHARE)
        for holder in sorted(idle, key=cost, reverse=True):
            holder.give_way()
            if self.held_bytes <= target:
                return


class Connections(t.Generic[_Holder]):
    """Open connections of a server, ordered by when they last completed.

    :param max_conns: beyond it, the connection that has waited longest and
        whose request is not being handled has to end.
    """

    def __init__(self, *, max_conns: int):
        self._max_conns = max_conns
        self._conns: collections.OrderedDict[_Holder, None] = (
            collections.OrderedDict()
        )

    def __iter__(self) -> t.Iterator[_Holder]:
        return iter(list(self._conns))

    def __len__(self) -> int:
        return len(self._conns)

    def add(self, conn: _Holder) -> _Holder | None:
        """Adds a connection; removes and returns one if it has to end."""
        self._conns[conn] = None
        if len(self._conns) <= self._max_conns:
            return None
        longest = next((c for c in self._conns if not c.busy), conn)
        del self._conns[longest]
        return longest

    def discard(self, conn: _Holder) -> None:
        """Removes a connection that has ended."""
        self._conns.pop(conn, None)

    def note_completed(self, conn: _Holder) -> None:
        """Notes that a request of a connection is completed."""
        if conn in self._conns:
            self._conns.move_to_end(conn)


def share_of(memory_mb: int) -> int:
    """Returns the bytes that clients may hold in a process of this size."""
    return round(memory_mb * _MB * _MEMORY_SHARE)


def max_conns(
    memory_mb: int, max_descriptors: int, conn_bytes: int = _CONN_BYTES
) -> int:
    """Returns how many connections a server of a process may have.

    :param conn_bytes: memory that a connection may take.
    """
    by_memory = int(memory_mb * _MB * _MEMORY_SHARE) // conn_bytes
    by_descriptors = int(max_descriptors * _DESCRIPTOR_SHARE)
    return max(_MIN_CONNS, min(by_memory, by_descriptors))
