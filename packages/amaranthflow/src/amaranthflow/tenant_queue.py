"""Waiting batch tasks of one tenant, in lanes by size."""

import collections
import dataclasses
import operator
import typing as t

from . import ids
from . import shares
from . import world

STARVATION_MS = 60_000
URGENT_STARVATION_MS = 2_000

_MAX_CORES_CLASS = 3
_MAX_MEMORY_CLASS = 4
_NOT_EVICTED_BIT = 1 << 60


class LaneKey(t.NamedTuple):
    """Size class of a lane's tasks; a tenant has at most 160 lanes."""

    urgent: bool
    evicted: bool
    cores_class: int
    memory_class: int
    accelerators: bool


def lane_key(task: world.Task) -> LaneKey:
    """Returns the lane of a task; size classes differ by a factor of 4."""
    size = task.size
    gigabytes = size.memory_mb >> 10
    return LaneKey(
        task.urgent,
        task.evictions > 0,
        min(_MAX_CORES_CLASS, int(size.cores).bit_length() // 2),
        min(_MAX_MEMORY_CLASS, gigabytes.bit_length() // 2),
        size.accelerators > 0,
    )


class Entry:
    """One waiting task.

    :ivar order: sort key: evicted tasks first, then by arrival.
    :ivar lane: None while the task is parked.
    """

    __slots__ = ('task', 'job_id', 'order', 'pushed_at_ms', 'lane', 'started')

    def __init__(self, *, task: world.Task, sequence: int, now_ms: int):
        job = ids.split_batch_task_id(task.task_id)
        self.task = task
        self.job_id = job[0] if job else None
        self.order = (
            sequence if task.evictions else sequence | _NOT_EVICTED_BIT
        )
        self.pushed_at_ms = now_ms
        self.lane: Lane | None = None
        self.started = False


_BY_ORDER = operator.attrgetter('order')


@dataclasses.dataclass(slots=True)
class Round:
    """One pass over the candidates.

    :ivar skipped: lanes skipped since the last start in this round.
    """

    now_ms: int
    skipped: list['Lane'] = dataclasses.field(default_factory=list)

    def skip(self, lane: 'Lane') -> None:
        """Skips a lane for the rest of the round."""
        lane.skipped_in = self
        self.skipped.append(lane)


class Lane:
    """FIFO queue of one tenant's tasks of about the same size.

    :ivar skipped_in: last round in which the lane was skipped.
    :ivar bypassed_since_ms: time from which tasks tried later have started
        before the heads of this lane, None if they have not.
    :ivar head_bypassed: whether the present head was bypassed too.
    """

    __slots__ = (
        'owner',
        'key',
        'head',
        'skipped_in',
        'bypassed_since_ms',
        'head_bypassed',
        '_entries',
    )

    def __init__(self, *, owner: 'TenantQueue', key: LaneKey, first: Entry):
        self.owner = owner
        self.key = key
        self.head: Entry | None = first
        self.skipped_in: Round | None = None
        self.bypassed_since_ms: int | None = None
        self.head_bypassed = False
        self._entries = collections.OrderedDict({first.task.task_id: first})

    def add(self, entry: Entry) -> None:
        """Appends a task."""
        self._entries[entry.task.task_id] = entry

    def remove(self, entry: Entry) -> bool:
        """Removes a task; returns whether it was the head."""
        del self._entries[entry.task.task_id]
        if entry is not self.head:
            return False
        self.head = next(iter(self._entries.values()), None)
        return True

    def entries(self) -> tuple[Entry, ...]:
        """Returns the tasks in order."""
        return tuple(self._entries.values())

    def mark_bypassed(self, now_ms: int) -> None:
        """Notes that a task tried later has started before the head."""
        self.head_bypassed = True
        if self.bypassed_since_ms is None:
            self.bypassed_since_ms = now_ms

    def note_start(self) -> None:
        """Notes that the head has started.

        The next head counts as bypassed for as long as this one, unless this
        one was not bypassed.
        """
        if not self.head_bypassed:
            self.bypassed_since_ms = None
        self.head_bypassed = False

    def is_starving(self, now_ms: int) -> bool:
        """Returns whether the heads have been bypassed for too long."""
        if self.bypassed_since_ms is None:
            return False
        limit_ms = URGENT_STARVATION_MS if self.key.urgent else STARVATION_MS
        return now_ms - self.bypassed_since_ms >= limit_ms


class TenantQueue:
    """A tenant's waiting tasks, limits and usage.

    :ivar parked: tasks that alone exceed the quota.
    :ivar last_start_ms: time of the tenant's last start of a task.
    :ivar waiting: number of waiting tasks that are not parked.
    """

    def __init__(self, tenant_id: ids.TenantId):
        self.tenant_id = tenant_id
        self.limits = shares.Limits()
        self.usage = shares.Usage()
        self.parked: dict[ids.TaskId, Entry] = {}
        self.last_start_ms = 0
        self.waiting = 0
        self.urgent_waiting = 0
        self._lanes: dict[LaneKey, Lane] = {}

    def add(self, entry: Entry) -> bool:
        """Adds a task; returns whether it is the head of a lane."""
        task = entry.task
        if shares.exceeds_quota(task.size, self.limits):
            self.parked[task.task_id] = entry
            return False
        self.waiting += 1
        self.urgent_waiting += task.urgent
        key = lane_key(task)
        lane = self._lanes.get(key)
        if lane is not None:
            entry.lane = lane
            lane.add(entry)
            return False
        entry.lane = Lane(owner=self, key=key, first=entry)
        self._lanes[key] = entry.lane
        return True

    def remove(self, entry: Entry) -> bool:
        """Removes a task; returns whether it was the head of a lane."""
        lane = entry.lane
        if lane is None:
            del self.parked[entry.task.task_id]
            return False
        self.waiting -= 1
        self.urgent_waiting -= lane.key.urgent
        was_head = lane.remove(entry)
        if lane.head is None:
            del self._lanes[lane.key]
        return was_head

    def configure(self, limits: shares.Limits) -> None:
        """Sets the limits and sorts all tasks into new lanes or parks them."""
        self.limits = limits
        entries = list(self.parked.values())
        for lane in self._lanes.values():
            entries += lane.entries()
        self.parked.clear()
        self._lanes.clear()
        self.waiting = 0
        self.urgent_waiting = 0
        for entry in sorted(entries, key=_BY_ORDER):
            entry.lane = None
            self.add(entry)

    def oldest(self) -> Entry:
        """Returns the first task in order that is not parked."""
        return min((lane.head for lane in self._lanes.values()), key=_BY_ORDER)

    def next_entry(self, this_round: Round, urgent: bool) -> Entry | None:
        """Returns the first head within the quota whose lane is not skipped.

        :param urgent: consider urgent tasks only.
        """
        heads = [
            lane.head
            for lane in self._lanes.values()
            if lane.skipped_in is not this_round
            and (lane.key[0] or not urgent)
        ]
        while heads:
            entry = min(heads, key=_BY_ORDER)
            if self.fits_quota(entry):
                return entry
            if entry.lane.is_starving(this_round.now_ms):
                # Quota that becomes free is kept for this task.
                return None
            this_round.skip(entry.lane)
            heads.remove(entry)
        return None

    def may_offer(self, entry: Entry, this_round: Round) -> bool:
        """Returns whether a task is in the quota and its lane not skipped."""
        skipped = entry.lane is None or entry.lane.skipped_in is this_round
        return not skipped and self.fits_quota(entry)

    def fits_quota(self, entry: Entry) -> bool:
        """Returns whether a task is within the remaining quota."""
        return self.usage.fits_quota(entry.task.size, self.limits)

    def free_urgent_slots(self) -> int:
        """Returns how many more tasks may start as urgent."""
        return self.limits.urgent_slots - self.usage.urgent

    def is_idle(self) -> bool:
        """Returns whether no task waits, is parked or runs."""
        return not (self.waiting or self.parked or self.usage.slots)
