"""Admission of services to a pool that is nearly full.

Tasks of a service run until its job is cancelled. Once services fill a pool, a
further one waits until another ends, and takes what is left to batch work. It
is refused at once instead, so that its caller learns of it and can come back,
and batch work keeps a part of the pool.
"""

import typing as t

from . import model
from . import placement
from . import workers

# Services do not displace batch runs that use less than this share of a pool.
_BATCH_SHARE = 0.15


class Demand(t.NamedTuple):
    """Tasks of one step that need room."""

    step: model.Step
    tasks: int


def has_room(
    job: model.Job,
    candidates: t.Sequence[workers.Worker],
    waiting: t.Iterable[Demand],
) -> bool:
    """Returns whether a pool can run all tasks of a job's services now.

    :param candidates: the workers of the pool.
    :param waiting: tasks of other services that wait, which go first.
    """
    rooms = _rooms(candidates)
    for demand in waiting:
        _fill(rooms, demand)
    return all(
        _fill(rooms, Demand(step, step.count)) == step.count
        for step in job.steps
        if step.service
    )


_Rooms = list[tuple[workers.Worker, model.Resources]]


def _rooms(candidates: t.Sequence[workers.Worker]) -> _Rooms:
    """Returns the room for services on each worker."""
    batch = [worker.batch_resources() for worker in candidates]
    capacity = sum(worker.entry.capacity.cpu for worker in candidates)
    displaceable = sum(used.cpu for used in batch) - _BATCH_SHARE * capacity
    rooms = []
    for worker, used in zip(candidates, batch, strict=True):
        room = worker.free()
        if 0 < used.cpu <= displaceable:
            room = room.plus(used)
            displaceable -= used.cpu
        rooms.append((worker, room))
    return rooms


def _fill(rooms: _Rooms, demand: Demand) -> int:
    """Takes the room of a step's tasks; returns the number that fit."""
    step, tasks = demand
    placed = 0
    for number, (worker, room) in enumerate(rooms):
        if not placement.label_permits(worker, step):
            continue
        here = 0
        while placed < tasks and step.resources.fits(room):
            if step.max_per_worker and here == step.max_per_worker:
                break
            room = room.minus(step.resources)
            here += 1
            placed += 1
        rooms[number] = (worker, room)
    return placed
