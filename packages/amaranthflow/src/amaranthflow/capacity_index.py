"""Index of the free capacity of workers: finds those where a size fits."""

import dataclasses

from . import world

_FANOUT = 32
_CORES_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreeCapacity:
    """Free slots and resources of a worker for one kind of task."""

    slots: int
    size: world.Size


_NO_CAPACITY = FreeCapacity(slots=0, size=world.ZERO_SIZE)


class CapacityIndex:
    """Free capacities by position, in a tree of the maxima of each resource.

    A search skips the branches in which any maximum is too small. The cost
    of an update is proportional to the depth of the tree, that of a search
    to the number of positions found plus the branches whose maxima come from
    different workers.
    """

    def __init__(self):
        self._count = 0
        self._levels = [_Level()]

    def __len__(self) -> int:
        """Number of positions."""
        return self._count

    def append(self) -> int:
        """Adds a position without free capacity and returns it."""
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

    def update(self, position: int, free: FreeCapacity) -> None:
        """Sets the free capacity at a position."""
        size = free.size
        values = (free.slots, size.cores, size.memory_mb, size.accelerators)
        index = position
        for depth, level in enumerate(self._levels):
            if not level.replace(index, values):
                return
            index //= _FANOUT
            if depth + 1 < len(self._levels):
                values = level.maxima(index * _FANOUT)

    def clear(self, position: int) -> None:
        """Sets a position to no free capacity."""
        self.update(position, _NO_CAPACITY)

    def find(
        self, size: world.Size, start: int, limit: int | None = None
    ) -> list[int]:
        """Returns positions with a free slot where a size fits.

        They are in ascending order from ``start``, followed by those from 0
        up to ``start``.

        :param limit: most positions to return, None for all.
        """
        search = _Search(size, self._count if limit is None else limit)
        self._search(search, start, self._count)
        self._search(search, 0, min(start, self._count))
        return search.found

    def _search(self, search: '_Search', start: int, end: int) -> None:
        top = len(self._levels) - 1
        if start < end and search.unfinished():
            self._search_node(search, top, 0, start, end)

    def _search_node(
        self, search: '_Search', depth: int, first: int, start: int, end: int
    ) -> None:
        level = self._levels[depth]
        width = _FANOUT**depth
        low = max(first, start // width)
        high = min(first + _FANOUT, -(-end // width))
        if not depth:
            search.scan(level, low, high)
            return
        for index in range(low, high):
            if level.satisfies(index, search):
                self._search_node(
                    search, depth - 1, index * _FANOUT, start, end
                )
                if not search.unfinished():
                    return

    def _add_root(self) -> None:
        below = self._levels[-1]
        root = _Level()
        self._levels.append(root)
        for first in range(0, len(below.slots), _FANOUT):
            root.grow()
            root.replace(first // _FANOUT, below.maxima(first))


class _Search:
    """Criteria and results of one search."""

    __slots__ = ('cores', 'memory_mb', 'accelerators', 'limit', 'found')

    def __init__(self, size: world.Size, limit: int):
        self.cores = size.cores - _CORES_TOLERANCE
        self.memory_mb = size.memory_mb
        self.accelerators = size.accelerators
        self.limit = limit
        self.found: list[int] = []

    def unfinished(self) -> bool:
        return len(self.found) < self.limit

    def scan(self, level: '_Level', low: int, high: int) -> None:
        """Collects the positions that fit in a range of the lowest level."""
        for index in range(low, high):
            if level.satisfies(index, self):
                self.found.append(index)
                if len(self.found) >= self.limit:
                    return


class _Level:
    """One level of the tree, with a column for each resource."""

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
        """Stores values; returns False if they are unchanged."""
        if values == self._at(index):
            return False
        slots, cores, memory_mb, accelerators = values
        self.slots[index] = slots
        self.cores[index] = cores
        self.memory_mb[index] = memory_mb
        self.accelerators[index] = accelerators
        return True

    def satisfies(self, index: int, search: '_Search') -> bool:
        """Returns whether a position or branch meets all criteria."""
        return (
            self.slots[index] >= 1
            and self.memory_mb[index] >= search.memory_mb
            and self.cores[index] >= search.cores
            and self.accelerators[index] >= search.accelerators
        )

    def maxima(self, first: int):
        """Returns the maximum of each column over one node's children."""
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
