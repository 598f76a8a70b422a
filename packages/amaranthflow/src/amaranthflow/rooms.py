"""Index of the room on workers: finds those where a size fits."""

import dataclasses
import typing as t

from . import world

_FANOUT = 32
_CORES_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Room:
    """Free slots and free size of a worker, for one kind of task."""

    slots: int
    size: world.Size


_NO_ROOM = Room(slots=0, size=world.NOTHING)


class RoomIndex:
    """Rooms by position, under a tree of the maxima of each resource.

    A branch is searched only where each maximum is large enough. An update
    costs the depth of the tree, a search what it finds plus the branches in
    which the maxima come from different workers.
    """

    def __init__(self):
        self._count = 0
        self._levels = [_Level()]

    def __len__(self) -> int:
        """Number of positions."""
        return self._count

    def append(self) -> int:
        """Adds a position without room and returns it."""
        position = self._count
        self._count += 1
        index = position
        for level in self._levels:
            if index < len(level.slots):
                return position
            level.grow()
            index //= _FANOUT
        if len(self._levels[-1].slots) > _FANOUT:
            self._add_root()
        return position

    def update(self, position: int, room: Room) -> None:
        """Replaces the room at a position."""
        size = room.size
        values = (room.slots, size.cores, size.memory_mb, size.accelerators)
        index = position
        for depth, level in enumerate(self._levels):
            if not level.replace(index, values):
                return
            index //= _FANOUT
            if depth + 1 < len(self._levels):
                values = level.maxima(index * _FANOUT)

    def clear(self, position: int) -> None:
        """Takes all room from a position."""
        self.update(position, _NO_ROOM)

    def find(self, size: world.Size, start: int) -> t.Iterator[int]:
        """Yields each position with a slot and the size, from start around.

        The order is that of positions, beginning at ``start``.
        """
        need = (
            1,
            size.cores - _CORES_ROUNDING,
            size.memory_mb,
            size.accelerators,
        )
        top = len(self._levels) - 1
        yield from self._search(top, 0, need, start, self._count)
        yield from self._search(top, 0, need, 0, min(start, self._count))

    def _search(
        self, depth: int, first: int, need, start: int, end: int
    ) -> t.Iterator[int]:
        level = self._levels[depth]
        width = _FANOUT**depth
        low = max(first, start // width)
        high = min(first + _FANOUT, -(-end // width), len(level.slots))
        for index in range(low, high):
            if not level.has(index, need):
                continue
            if depth:
                child = index * _FANOUT
                yield from self._search(depth - 1, child, need, start, end)
            else:
                yield index

    def _add_root(self) -> None:
        below = self._levels[-1]
        root = _Level()
        self._levels.append(root)
        for first in range(0, len(below.slots), _FANOUT):
            root.grow()
            root.replace(first // _FANOUT, below.maxima(first))


class _Level:
    """Columns of one level of the tree."""

    __slots__ = ('slots', 'cores', 'memory_mb', 'accelerators')

    def __init__(self):
        self.slots: list[int] = []
        self.cores: list[float] = []
        self.memory_mb: list[int] = []
        self.accelerators: list[int] = []

    def grow(self) -> None:
        self.slots.append(0)
        self.cores.append(0.0)
        self.memory_mb.append(0)
        self.accelerators.append(0)

    def replace(self, index: int, values) -> bool:
        """Stores values; False where they are the ones already there."""
        if values == self._at(index):
            return False
        slots, cores, memory_mb, accelerators = values
        self.slots[index] = slots
        self.cores[index] = cores
        self.memory_mb[index] = memory_mb
        self.accelerators[index] = accelerators
        return True

    def has(self, index: int, need) -> bool:
        """Tells whether no column is less than needed."""
        slots, cores, memory_mb, accelerators = need
        return (
            self.slots[index] >= slots
            and self.memory_mb[index] >= memory_mb
            and self.cores[index] >= cores
            and self.accelerators[index] >= accelerators
        )

    def maxima(self, first: int):
        """Largest value of each column from ``first`` on."""
        last = first + _FANOUT
        return (
            max(self.slots[first:last]),
            max(self.cores[first:last]),
            max(self.memory_mb[first:last]),
            max(self.accelerators[first:last]),
        )

    def _at(self, index: int):
        return (
            self.slots[index],
            self.cores[index],
            self.memory_mb[index],
            self.accelerators[index],
        )
