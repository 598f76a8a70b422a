"""Capacity minus guarantees over time, in integers.

A sum of floating-point cores depends on the order of addition, which differs
between instances. Since all instances must make the same decisions, cores
are summed as integer millionths.
"""

import bisect
import typing as t

from amaranthflow_schema.v1 import world_pb2

_MICROS_PER_CORE = 1_000_000


class Amount(t.NamedTuple):
    """Resources as integers; a negative value is a shortage."""

    micro_cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def from_message(cls, message: world_pb2.Size) -> 'Amount':
        """Converts a schema message; its cores must be finite."""
        return cls(
            round(message.cores * _MICROS_PER_CORE),
            message.memory_mb,
            message.accelerators,
        )

    def plus(self, other: 'Amount') -> 'Amount':
        """Returns the sum."""
        return Amount(
            self.micro_cores + other.micro_cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Amount') -> 'Amount':
        """Returns the difference."""
        return Amount(
            self.micro_cores - other.micro_cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def short(self) -> bool:
        """True if any resource is negative."""
        return min(self) < 0

    def shortage(self) -> str:
        """Describes the negative resources."""
        parts = (
            (self.micro_cores / _MICROS_PER_CORE, 'cores'),
            (self.memory_mb, 'MB'),
            (self.accelerators, 'accelerators'),
        )
        return ', '.join(f'{-n:g} {unit}' for n, unit in parts if n < 0)


ZERO = Amount()


class Delta(t.NamedTuple):
    """A change of the headroom at a time."""

    at_ms: int
    amount: Amount


class Shortage(t.NamedTuple):
    """The first moment at which guarantees exceed the capacity."""

    at_ms: int
    headroom: Amount


class Headroom:
    """The current headroom and the deltas booked for later."""

    def __init__(self):
        self._applied_until_ms = 0
        self._current = ZERO
        self._times: list[int] = []
        self._booked: dict[int, Amount] = {}

    def advance(self, now_ms: int) -> None:
        """Applies the deltas whose time has come to the current headroom."""
        count = bisect.bisect_right(self._times, now_ms)
        for at_ms in self._times[:count]:
            self._current = self._current.plus(self._booked.pop(at_ms))
        del self._times[:count]
        self._applied_until_ms = max(self._applied_until_ms, now_ms)

    def add(self, deltas: t.Iterable[Delta]) -> None:
        """Adds deltas; those whose time has come apply at once."""
        for delta in deltas:
            if delta.at_ms <= self._applied_until_ms:
                self._current = self._current.plus(delta.amount)
            else:
                self._book(delta)

    def subtract(self, deltas: t.Iterable[Delta]) -> None:
        """Removes deltas that were added before."""
        self.add(negated(deltas))

    def first_shortage(
        self, deltas: t.Iterable[Delta], first_ms: int
    ) -> Shortage | None:
        """Returns the first shortage that adding deltas would cause.

        Shortages before ``first_ms`` are ignored. Returns None without a
        search if the deltas do not lower the headroom at any time.
        """
        extra = _sum_by_time(deltas)
        if not _lowers(extra):
            return None
        times = list(self._times)
        for at_ms in {first_ms, *extra} - self._booked.keys():
            bisect.insort(times, at_ms)
        # Plain variables, since this visits all bookings for each change.
        cores, memory_mb, accelerators = self._current
        for at_ms in times:
            part = self._booked.get(at_ms, ZERO)
            if at_ms in extra:
                part = part.plus(extra[at_ms])
            cores += part[0]
            memory_mb += part[1]
            accelerators += part[2]
            short = cores < 0 or memory_mb < 0 or accelerators < 0
            if short and at_ms >= first_ms:
                headroom = Amount(cores, memory_mb, accelerators)
                return Shortage(at_ms, headroom)
        return None

    def _book(self, delta: Delta) -> None:
        if delta.at_ms not in self._booked:
            bisect.insort(self._times, delta.at_ms)
            self._booked[delta.at_ms] = ZERO
        total = self._booked[delta.at_ms].plus(delta.amount)
        self._booked[delta.at_ms] = total
        if total == ZERO:
            del self._booked[delta.at_ms]
            del self._times[bisect.bisect_left(self._times, delta.at_ms)]


def negated(deltas: t.Iterable[Delta]) -> list[Delta]:
    """Returns the deltas with opposite sign."""
    return [Delta(delta.at_ms, ZERO.minus(delta.amount)) for delta in deltas]


def _sum_by_time(deltas: t.Iterable[Delta]) -> dict[int, Amount]:
    extra: dict[int, Amount] = {}
    for delta in deltas:
        extra[delta.at_ms] = extra.get(delta.at_ms, ZERO).plus(delta.amount)
    return extra


def _lowers(extra: dict[int, Amount]) -> bool:
    total = ZERO
    for at_ms in sorted(extra):
        total = total.plus(extra[at_ms])
        if total.short:
            return True
    return False
