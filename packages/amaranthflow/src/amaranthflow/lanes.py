"""First-in-first-out lanes with removal of any item in constant time."""

import collections
import enum
import typing as t

Key = t.TypeVar('Key', bound=t.Hashable)
Item = t.TypeVar('Item')


class Removal(enum.Enum):
    """What was removed: the head of a lane, another item or nothing."""

    HEAD = 'head'
    INNER = 'inner'
    ABSENT = 'absent'


class Lanes(t.Generic[Key, Item]):
    """Items that wait in lanes, each lane in the order of arrival.

    A lane exists while it holds items, so the number of lanes is bounded by
    that of the keys in use.
    """

    def __init__(self):
        self._lanes: dict[Key, collections.OrderedDict[str, Item]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, key: Key, item_id: str, item: Item) -> bool:
        """Appends an item; returns whether it is the head of its lane.

        The id must not wait in the lane already.
        """
        lane = self._lanes.get(key)
        self._count += 1
        if lane is not None:
            lane[item_id] = item
            return False
        self._lanes[key] = collections.OrderedDict({item_id: item})
        return True

    def remove(self, key: Key, item_id: str) -> Removal:
        """Removes an item; tells where in its lane it was, if at all."""
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
        """Yields the head of each lane, in no stated order."""
        for lane in self._lanes.values():
            yield next(iter(lane.values()))

    def tails(self) -> t.Iterator[Item]:
        """Yields the newest item of each lane, in no stated order."""
        for lane in self._lanes.values():
            yield next(reversed(lane.values()))

    def items(self) -> t.Iterator[Item]:
        """Yields all items, lane by lane."""
        for lane in self._lanes.values():
            yield from lane.values()
