"""Steps for rooms.feature."""

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import capacity_index
from amaranthflow import world

_SIZES = st.builds(
    world.Size,
    cores=st.integers(0, 4).map(float),
    memory_mb=st.integers(0, 4),
    accelerators=st.integers(0, 1),
)
_ROOMS = st.builds(
    capacity_index.FreeCapacity, slots=st.integers(0, 2), size=_SIZES
)


@behave.then('the room index equals a plain scan after any updates')
def step_equals(context):
    count = st.sampled_from([1, 5, 32, 33, 70, 1030])
    update = st.tuples(st.integers(0, 2000), _ROOMS)

    @hypothesis.given(
        count, st.lists(update, max_size=60), _SIZES, st.integers(0, 2000)
    )
    def check(count, updates, size, start):
        index = capacity_index.CapacityIndex()
        plain = [None] * count
        for _ in range(count):
            index.append()
        for position, room in updates:
            plain[position % count] = room
            index.update(position % count, room)
        start %= count
        order = [*range(start, count), *range(start)]
        expected = [p for p in order if _fits(plain[p], size)]
        assert index.find(size, start) == expected
        assert index.find(size, start, 3) == expected[:3]

    check()


def _fits(room, size):
    return room is not None and room.slots > 0 and size.fits(room.size)


@behave.given('a room index of {count:d} full workers')
def step_full(context, count):
    context.rooms = capacity_index.CapacityIndex()
    for _ in range(count):
        context.rooms.append()


@behave.when('the room index is told of 1 slot at position {position:d}')
def step_slot(context, position):
    room = capacity_index.FreeCapacity(
        slots=1, size=world.Size(cores=1, memory_mb=10)
    )
    context.rooms.update(position, room)


@behave.then('the room index finds only position {position:d}')
def step_only(context, position):
    size = world.Size(cores=1, memory_mb=10)
    assert context.rooms.find(size, 0) == [position]
    assert context.rooms.find(size, 9000) == [position]
