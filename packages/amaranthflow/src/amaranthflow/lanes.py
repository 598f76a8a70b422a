"""Keyed FIFO queues with removal of any item in constant time."""

import collections
import enum
import typing as t

Key = t.TypeVar('Key', bound=t.Hashable)
Item = t.TypeVar('Item')


class Removal(enum.Enum):
    """Position of a removed item in its lane."""

    HEAD = 'head'
    INNER = 'inner'
    ABSENT = 'absent'


class Lanes(t.Generic[Key, Item]):
    """One FIFO queue, called a lane, for each key.

    A lane exists only while it holds items, so there are never more lanes
    than keys in use.
    """

    def __init__(self):
        self._lanes: dict[Key, collections.OrderedDict[str, Item]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, key: Key, item_id: str, item: Item) -> bool:
        """Appends an item; returns whether it is the head of its lane.

        The lane must not hold an item of this id already.
        """
        lane = self._lanes.get(key)
        self._count += 1
        if lane is not None:
            lane[item_id] = item
            return False
        self._lanes[key] = collections.OrderedDict({item_id: item})
        return True

    def remove(self, key: Key, item_id: str) -> Removal:
        """Removes an item, if present, and returns its position."""
        lane = self._lanes.get(key)
        if lane is None or item_id not in lane:
            return Removal.ABSENT
        was_head = next(iter(lane)) == item_id
        del lane[item_id]
        self._count -= 1
        if not lane:
            del self._lanes[key]
        return Removal.HEAD if was_head else Removal.INNER

    def heads(self) -> t.Iterator[Item]:
        """Yields the oldest item of each lane, in unspecified order."""
        for lane in self._lanes.values():
            yield next(iter(lane.values()))

    def tails(self) -> t.Iterator[Item]:
        """Yields the newest item of each lane, in unspecified order."""
        for lane in self._lanes.values():
            yield next(reversed(lane.values()))

    def items(self) -> t.Iterator[Item]:
        """Yields all items, one lane after another."""
        for lane in self._lanes.values():
            yield from lane.values()
