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

_MAX_CORES_STEP = 3
_MAX_MEMORY_STEP = 4
_AFTER_EVICTED = 1 << 60


class LaneKey(t.NamedTuple):
    """Tasks of about the same size, at most 160 lanes for a tenant."""

    urgent: bool
    evicted: bool
    cores_step: int
    memory_step: int
    accelerators: bool


def lane_key(task: world.Task) -> LaneKey:
    """Returns the lane of a task: sizes in steps of about 4 times."""
    size = task.size
    gigabytes = size.memory_mb >> 10
    return LaneKey(
        task.urgent,
        task.evictions > 0,
        min(_MAX_CORES_STEP, int(size.cores).bit_length() // 2),
        min(_MAX_MEMORY_STEP, gigabytes.bit_length() // 2),
        size.accelerators > 0,
    )


class Entry:
    """One waiting task.

    :ivar order: evicted tasks come first, others as they came.
    """

    __slots__ = ('task', 'job_id', 'order', 'pushed_at_ms', 'lane', 'started')

    def __init__(self, *, task: world.Task, sequence: int, now_ms: int):
        job = ids.split_batch_task_id(task.task_id)
        self.task = task
        self.job_id = job[0] if job else None
        self.order = sequence if task.evictions else sequence | _AFTER_EVICTED
        self.pushed_at_ms = now_ms
        self.lane: Lane | None = None
        self.started = False


_ORDER = operator.attrgetter('order')


@dataclasses.dataclass(slots=True)
class Round:
    """One pass over the candidates.

    :ivar passed: lanes refused since the last start in this round.
    """

    now_ms: int
    passed: list['Lane'] = dataclasses.field(default_factory=list)

    def refuse(self, lane: 'Lane') -> None:
        """Closes a lane for the rest of the round."""
        lane.refused_in = self
        self.passed.append(lane)


class Lane:
    """First-in-first-out line of tasks of about the same size.

    :ivar refused_in: the last round in which the head was refused.
    :ivar bypassed_since_ms: since when tasks tried later start before the
        heads of this lane, None if they do not.
    :ivar again: whether that happened to the present head too.
    """

    __slots__ = (
        'owner',
        'key',
        'head',
        'refused_in',
        'bypassed_since_ms',
        'again',
        '_entries',
    )

    def __init__(self, *, owner: 'TenantQueue', key: LaneKey, first: Entry):
        self.owner = owner
        self.key = key
        self.head: Entry | None = first
        self.refused_in: Round | None = None
        self.bypassed_since_ms: int | None = None
        self.again = False
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
        """Notes that a task tried later started before the head."""
        self.again = True
        if self.bypassed_since_ms is None:
            self.bypassed_since_ms = now_ms

    def note_start(self) -> None:
        """Notes that a head started; the next one inherits its delay."""
        if not self.again:
            self.bypassed_since_ms = None
        self.again = False

    def is_starving(self, now_ms: int) -> bool:
        """Tells whether the heads have been overtaken for too long."""
        if self.bypassed_since_ms is None:
            return False
        limit_ms = URGENT_STARVATION_MS if self.key.urgent else STARVATION_MS
        return now_ms - self.bypassed_since_ms >= limit_ms


class TenantQueue:
    """A tenant's waiting tasks, limits and usage.

    :ivar parked: tasks larger than the whole quota.
    :ivar last_start_ms: when a task of the tenant last started.
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
        """Adds a task; returns whether it heads a lane."""
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
        """Removes a task; returns whether it headed a lane."""
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
        """Sets the limits and parks tasks anew; lanes start afresh."""
        self.limits = limits
        entries = list(self.parked.values())
        for lane in self._lanes.values():
            entries += lane.entries()
        self.parked.clear()
        self._lanes.clear()
        self.waiting = 0
        self.urgent_waiting = 0
        for entry in sorted(entries, key=_ORDER):
            entry.lane = None
            self.add(entry)

    def oldest(self) -> Entry:
        """Returns the task that comes first of all that are not parked."""
        return min((lane.head for lane in self._lanes.values()), key=_ORDER)

    def next_entry(self, visit: Round, urgent: bool) -> Entry | None:
        """Returns the first task within the quota not refused yet.

        :param urgent: of urgent tasks only.
        """
        heads = [
            lane.head
            for lane in self._lanes.values()
            if lane.refused_in is not visit and (lane.key[0] or not urgent)
        ]
        while heads:
            entry = min(heads, key=_ORDER)
            if self.leaves_room(entry):
                return entry
            if entry.lane.is_starving(visit.now_ms):
                # Room that becomes free is left for this one.
                return None
            visit.refuse(entry.lane)
            heads.remove(entry)
        return None

    def may_offer(self, entry: Entry, visit: Round) -> bool:
        """Tells whether a task is within the quota and not refused yet."""
        refused = entry.lane is None or entry.lane.refused_in is visit
        return not refused and self.leaves_room(entry)

    def leaves_room(self, entry: Entry) -> bool:
        """Tells whether a task is within the quota now."""
        return self.usage.leaves_room(entry.task.size, self.limits)

    def urgent_left(self) -> int:
        """Returns how many more tasks may start as urgent."""
        return self.limits.urgent_slots - self.usage.urgent

    def idle(self) -> bool:
        """Tells whether nothing waits or runs."""
        return not (self.waiting or self.parked or self.usage.slots)
