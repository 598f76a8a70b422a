"""Steps for capacity_index.feature."""

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
_FREE_CAPACITIES = st.builds(
    capacity_index.FreeCapacity, slots=st.integers(0, 2), size=_SIZES
)


@behave.then('the capacity index equals a full scan after any updates')
def step_equals(context):
    count = st.sampled_from([1, 5, 32, 33, 70, 1030])
    update = st.tuples(st.integers(0, 2000), _FREE_CAPACITIES)

    @hypothesis.given(
        count, st.lists(update, max_size=60), _SIZES, st.integers(0, 2000)
    )
    def check(count, updates, size, start):
        index = capacity_index.CapacityIndex()
        reference = [None] * count
        for _ in range(count):
            index.append()
        for position, free in updates:
            reference[position % count] = free
            index.update(position % count, free)
        start %= count
        order = [*range(start, count), *range(start)]
        expected = [p for p in order if _fits(reference[p], size)]
        assert index.find(size, start) == expected
        assert index.find(size, start, 3) == expected[:3]

    check()


def _fits(free, size):
    return free is not None and free.slots > 0 and size.fits(free.size)


@behave.given('a capacity index of {count:d} full workers')
def step_full(context, count):
    context.index = capacity_index.CapacityIndex()
    for _ in range(count):
        context.index.append()


@behave.when('the capacity index gets 1 free slot at position {position:d}')
def step_slot(context, position):
    free = capacity_index.FreeCapacity(
        slots=1, size=world.Size(cores=1, memory_mb=10)
    )
    context.index.update(position, free)


@behave.then('the capacity index finds only position {position:d}')
def step_only(context, position):
    size = world.Size(cores=1, memory_mb=10)
    assert context.index.find(size, 0) == [position]
    assert context.index.find(size, 9000) == [position]
