"""Order in which waiting batch tasks are tried, even-handed by tenant."""

import dataclasses
import itertools
import typing as t

from amaranthflow_schema.v1 import world_pb2

from . import exceptions
from . import holds
from . import ids
from . import lanes
from . import ranking
from . import shares
from . import world

MAX_WAITING = 400_000
MAX_TENANTS = 1024
AGED_MS = 5 * 60_000
STARTS_PER_AGED = 16
OVERTAKEN_MS = 60_000
URGENT_OVERTAKEN_MS = 2_000

_MAX_CORES_STEP = 3
_MAX_MEMORY_STEP = 4
_GUARANTEED = 0
_ORDINARY = 1


class LaneKey(t.NamedTuple):
    """Tasks of about the same size, at most 160 lanes for a tenant."""

    urgent: bool
    evicted: bool
    cores_step: int
    memory_step: int
    accelerators: bool


class _Lane(t.NamedTuple):
    tenant_id: ids.TenantId
    key: LaneKey


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Entry:
    task: world.Task
    sequence: int
    pushed_at_ms: int
    lane: _Lane
    started: bool = False
    parked: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Overtaken:
    """Since when tasks tried later start before the heads of a lane.

    :ivar again: whether that happened to the present head too.
    """

    since_ms: int
    again: bool = True


class _Tenant:
    """State of one tenant."""

    def __init__(self, tenant_id: ids.TenantId):
        self.tenant_id = tenant_id
        self.limits = shares.Limits()
        self.usage = shares.Usage()
        self.waiting: lanes.Lanes[LaneKey, _Entry] = lanes.Lanes()
        self.parked: dict[ids.TaskId, _Entry] = {}
        self.urgent_waiting = 0
        self.last_start_ms = 0

    def oldest(self) -> _Entry:
        return min(self.waiting.heads(), key=_order)

    def urgent_left(self) -> int:
        return self.limits.urgent_slots - self.usage.urgent

    def leaves_room(self, entry: _Entry) -> bool:
        return self.usage.leaves_room(entry.task.size, self.limits)

    def idle(self) -> bool:
        return not (self.waiting or self.parked or self.usage.slots)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Round:
    """One pass over the candidates: what was refused in it so far."""

    now_ms: int
    refused: set[_Lane] = dataclasses.field(default_factory=set)
    passed: list[_Lane] = dataclasses.field(default_factory=list)

    def refuse(self, lane: _Lane) -> None:
        self.refused.add(lane)
        self.passed.append(lane)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Running:
    tenant_id: ids.TenantId
    size: world.Size
    urgent: bool


class FairQueue:
    """Waiting batch tasks of all tenants.

    Candidates come in this order: urgent tasks within their tenant's urgent
    slots; tasks for which a worker is held; after every ``STARTS_PER_AGED``
    starts one of a tenant that had work waiting but no start for
    ``AGED_MS``; tenants below their guarantee; then the tenant with the
    least dominant share for its weight.
    Shares count slots as a resource. Within a tenant, evicted tasks come
    first and others as they came.

    A tenant's tasks wait in lanes by size. A head that fits nowhere closes
    its lane for the round only. Once tasks tried later have overtaken the
    heads of a lane for ``OVERTAKEN_MS``, its head is listed by ``overtaken``
    and the caller holds a worker for it with ``hold``; at most
    ``hold_limit`` are held. Where the quota is what keeps it back, its
    tenant's younger tasks wait until it fits. A task larger than its
    tenant's whole quota is parked until the quota changes.
    """

    def __init__(
        self, *, capacity: world.Size, slots: int, hold_limit: int = 1
    ):
        self._capacity = capacity
        self._slots = slots
        self._tenants: dict[ids.TenantId, _Tenant] = {}
        self._waiting: dict[ids.TaskId, _Entry] = {}
        self._jobs: dict[ids.JobId, ids.TaskId] = {}
        self._running: dict[ids.TaskId, _Running] = {}
        self._overtaken: dict[_Lane, _Overtaken] = {}
        self._holds = holds.Holds(limit=hold_limit)
        self._by_share = ranking.Ranking()
        self._by_urgent = ranking.Ranking()
        self._by_age = ranking.Ranking()
        self._sequence = itertools.count()
        self._starts_since_aged = 0
        self._now_ms = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, task_id: ids.TaskId) -> bool:
        return task_id in self._waiting

    def set_capacity(self, capacity: world.Size, slots: int) -> None:
        """Sets the whole fleet's capacity, of which shares are parts."""
        self._capacity = capacity
        self._slots = slots
        for tenant in self._tenants.values():
            self._rank(tenant)

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Applies a tenant's limits; running tasks beyond them stay."""
        state = self._tenant(ids.TenantId(tenant.tenant_id))
        state.limits = shares.Limits.from_message(tenant)
        entries = [*state.waiting.items(), *state.parked.values()]
        entries.sort(key=lambda entry: entry.sequence)
        for entry in entries:
            self._leave_lane(state, entry)
        for entry in entries:
            self._join_lane(state, entry)
        self._rank(state)

    def remove_tenant(self, tenant_id: ids.TenantId) -> None:
        """Returns a tenant to the default limits; its tasks stay."""
        if tenant_id in self._tenants:
            self.configure(world_pb2.Tenant(tenant_id=tenant_id))
            self._forget_idle(self._tenants[tenant_id])

    def exceeds_quota(self, task: world.Task) -> bool:
        """Tells whether the task is larger than its tenant's quota."""
        state = self._tenants.get(task.tenant_id)
        limits = state.limits if state else shares.Limits()
        return shares.exceeds_quota(task.size, limits)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting task; one that waits or runs already is ignored.

        :raises Overloaded: ``MAX_WAITING`` tasks wait.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if task.task_id in self._waiting or task.task_id in self._running:
            return
        if len(self._waiting) >= MAX_WAITING:
            raise exceptions.Overloaded('too many batch tasks wait')
        state = self._tenant(task.tenant_id)
        entry = _Entry(
            task=task,
            sequence=next(self._sequence),
            pushed_at_ms=now_ms,
            lane=_Lane(task.tenant_id, lane_key(task)),
        )
        self._waiting[task.task_id] = entry
        job = ids.split_batch_task_id(task.task_id)
        if job is not None:
            self._jobs[job[0]] = task.task_id
        if self._join_lane(state, entry):
            self._rank(state)

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting task in O(1); False where it does not wait."""
        entry = self._waiting.get(task_id)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def cancel_job(self, job_id: ids.JobId) -> bool:
        """Removes the waiting task of a job; False where none waits."""
        task_id = self._jobs.get(job_id)
        return task_id is not None and self.cancel(task_id)

    def started(self, task: world.Task) -> None:
        """Counts a task that runs anywhere in the fleet, once."""
        entry = self._waiting.get(task.task_id)
        if entry is not None:
            entry.started = True
            self._remove(entry, rank=False)
            self._clear_overtaken(entry.lane)
        if task.task_id in self._running:
            return
        state = self._tenant(task.tenant_id)
        urgent = task.urgent and state.urgent_left() > 0
        self._running[task.task_id] = _Running(
            tenant_id=task.tenant_id, size=task.size, urgent=urgent
        )
        state.usage.add(task.size)
        state.usage.urgent += urgent
        state.last_start_ms = self._now_ms
        self._starts_since_aged += 1
        self._rank(state)

    def ended(self, task_id: ids.TaskId) -> None:
        """Counts the end of a task; unknown ones are ignored."""
        running = self._running.pop(task_id, None)
        if running is None:
            return
        state = self._tenants[running.tenant_id]
        state.usage.subtract(running.size)
        state.usage.urgent -= running.urgent
        self._rank(state)

    def share(self, tenant_id: ids.TenantId) -> shares.Share:
        """Returns how a tenant stands; an unknown one holds nothing."""
        state = self._tenants.get(tenant_id) or _Tenant(tenant_id)
        claims = [
            self._claim(other)
            for other in self._tenants.values()
            if not other.idle() and other is not state
        ]
        claims.append(self._claim(state))
        return shares.Share(
            tenant_id=tenant_id,
            dominant_share=self._dominant_share(state),
            entitlement=shares.entitlements(claims)[tenant_id],
            running=state.usage.slots,
            waiting=len(state.waiting) + len(state.parked),
        )

    def parked(self, tenant_id: ids.TenantId) -> tuple[ids.TaskId, ...]:
        """Returns the tasks that are larger than their tenant's quota."""
        state = self._tenants.get(tenant_id)
        return tuple(state.parked) if state else ()

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields tasks in the order to try them, one round.

        The caller tries to place each task before it asks for the next, and
        calls ``started`` where that succeeds; a task that is not started by
        then is taken to fit nowhere. Tasks may be pushed, cancelled, started
        and ended during a round. A round ends when each lane is empty or was
        refused, so it costs at most one refusal for each lane.
        """
        self._now_ms = max(self._now_ms, now_ms)
        visit = _Round(now_ms=now_ms)
        self._expire_holds(now_ms)
        yield from self._walk(visit, self._by_urgent, urgent=True)
        yield from self._held(visit)
        yield from self._aged(visit)
        yield from self._walk(visit, self._by_share, urgent=False)

    def overtaken(self, now_ms: int) -> tuple[world.Task, ...]:
        """Returns tasks for which a worker should be held.

        Those of the tenant with the least share come first. Empty while the
        limit of holds is reached.
        """
        if self._holds.full():
            return ()
        heads = (
            self._tenants[lane.tenant_id].waiting.head(lane.key)
            for lane in sorted(self._overtaken, key=self._hold_order)
            if self._is_overtaken(lane, now_ms)
        )
        return tuple(
            entry.task
            for entry in heads
            if entry.task.task_id not in self._holds
            and self._tenants[entry.task.tenant_id].leaves_room(entry)
        )

    def hold(
        self, task_id: ids.TaskId, worker_id: ids.WorkerId, now_ms: int
    ) -> bool:
        """Holds a worker for a waiting task; False where it cannot."""
        if task_id not in self._waiting:
            return False
        return self._holds.add(task_id, worker_id, now_ms)

    def holds(self) -> tuple[holds.Hold, ...]:
        """Returns the holds, oldest first."""
        return self._holds.current()

    def release_worker(self, worker_id: ids.WorkerId) -> None:
        """Ends the hold on a worker that has gone."""
        self._holds.release_worker(worker_id)

    def avoid(self, task: world.Task) -> frozenset[ids.WorkerId]:
        """Returns workers held for other tasks, for ``Placer.choose``."""
        return self._holds.avoid(task.task_id)

    def _walk(
        self, visit: _Round, order: ranking.Ranking, urgent: bool
    ) -> t.Iterator[world.Task]:
        # A start only moves a tenant to a later place, so the tenants before
        # the cursor have nothing left to try in this round.
        cursor = None
        while (rank := order.first(after=cursor)) is not None:
            state = self._tenants[rank.tenant_id]
            entry = self._next_entry(state, visit, urgent)
            if entry is None:
                cursor = rank
                continue
            yield from self._offer(entry, visit)

    def _held(self, visit: _Round) -> t.Iterator[world.Task]:
        for hold in self._holds.current():
            entry = self._waiting.get(hold.task_id)
            if entry is not None and self._may_offer(entry, visit):
                yield from self._offer(entry, visit)

    def _aged(self, visit: _Round) -> t.Iterator[world.Task]:
        if self._starts_since_aged < STARTS_PER_AGED:
            return
        cursor = None
        while (rank := self._by_age.first(after=cursor)) is not None:
            if visit.now_ms - rank.value < AGED_MS:
                return
            entry = self._tenants[rank.tenant_id].oldest()
            if self._may_offer(entry, visit):
                self._starts_since_aged = 0
                yield from self._offer(entry, visit)
                return
            cursor = rank

    def _offer(self, entry: _Entry, visit: _Round) -> t.Iterator[world.Task]:
        yield entry.task
        if not entry.started:
            if entry.task.task_id in self._waiting:
                visit.refuse(entry.lane)
            return
        for lane in visit.passed:
            self._mark_overtaken(lane, visit.now_ms)
        visit.passed.clear()

    def _next_entry(
        self, state: _Tenant, visit: _Round, urgent: bool
    ) -> _Entry | None:
        heads = [
            entry
            for entry in state.waiting.heads()
            if (entry.lane.key.urgent or not urgent)
            and entry.lane not in visit.refused
        ]
        for entry in sorted(heads, key=_order):
            if state.leaves_room(entry):
                return entry
            if self._is_overtaken(entry.lane, visit.now_ms):
                # What ends now is saved up for this one.
                return None
            visit.refuse(entry.lane)
        return None

    def _may_offer(self, entry: _Entry, visit: _Round) -> bool:
        state = self._tenants[entry.task.tenant_id]
        return entry.lane not in visit.refused and state.leaves_room(entry)

    def _is_overtaken(self, lane: _Lane, now_ms: int) -> bool:
        overtaken = self._overtaken.get(lane)
        if overtaken is None:
            return False
        limit_ms = URGENT_OVERTAKEN_MS if lane.key.urgent else OVERTAKEN_MS
        return now_ms - overtaken.since_ms >= limit_ms

    def _hold_order(self, lane: _Lane) -> tuple[ranking.Rank, int]:
        rank = self._share_rank(self._tenants[lane.tenant_id])
        return (rank, self._overtaken[lane].since_ms)

    def _mark_overtaken(self, lane: _Lane, now_ms: int) -> None:
        overtaken = self._overtaken.get(lane)
        if overtaken is not None:
            overtaken.again = True
        elif self._tenants[lane.tenant_id].waiting.has(lane.key):
            self._overtaken[lane] = _Overtaken(since_ms=now_ms)

    def _clear_overtaken(self, lane: _Lane) -> None:
        """Notes that a head started; the next one inherits its delay."""
        overtaken = self._overtaken.get(lane)
        if overtaken is None:
            return
        if overtaken.again:
            overtaken.again = False
        else:
            del self._overtaken[lane]

    def _expire_holds(self, now_ms: int) -> None:
        for task_id in self._holds.expire(now_ms):
            self._overtaken.pop(self._waiting[task_id].lane, None)

    def _join_lane(self, state: _Tenant, entry: _Entry) -> bool:
        task = entry.task
        if shares.exceeds_quota(task.size, state.limits):
            entry.parked = True
            state.parked[task.task_id] = entry
            return False
        state.urgent_waiting += entry.lane.key.urgent
        return state.waiting.add(entry.lane.key, task.task_id, entry)

    def _leave_lane(self, state: _Tenant, entry: _Entry) -> bool:
        if entry.parked:
            entry.parked = False
            del state.parked[entry.task.task_id]
            return False
        lane = entry.lane
        state.urgent_waiting -= lane.key.urgent
        removal = state.waiting.remove(lane.key, entry.task.task_id)
        if removal is lanes.Removal.LAST:
            self._overtaken.pop(lane, None)
        return removal is not lanes.Removal.INNER

    def _remove(self, entry: _Entry, rank: bool = True) -> None:
        task_id = entry.task.task_id
        state = self._tenants[entry.task.tenant_id]
        del self._waiting[task_id]
        job = ids.split_batch_task_id(task_id)
        if job is not None and self._jobs.get(job[0]) == task_id:
            del self._jobs[job[0]]
        self._holds.release(task_id)
        if self._leave_lane(state, entry) and rank:
            self._rank(state)

    def _tenant(self, tenant_id: ids.TenantId) -> _Tenant:
        state = self._tenants.get(tenant_id)
        if state is None:
            if len(self._tenants) >= MAX_TENANTS:
                self._forget_idle(*self._tenants.values())
            if len(self._tenants) >= MAX_TENANTS:
                raise exceptions.Overloaded('too many tenants have work')
            state = _Tenant(tenant_id)
            self._tenants[tenant_id] = state
        return state

    def _forget_idle(self, *states: _Tenant) -> None:
        for state in states:
            if state.idle() and state.limits == shares.Limits():
                del self._tenants[state.tenant_id]

    def _claim(self, state: _Tenant) -> shares.Claim:
        limits = state.limits
        floor = limits.guarantee.dominant_share(self._capacity)
        return shares.Claim(
            tenant_id=state.tenant_id, weight=limits.weight, floor=floor
        )

    def _dominant_share(self, state: _Tenant) -> float:
        return state.usage.ratio(self._capacity, self._slots)

    def _rank(self, state: _Tenant) -> None:
        tenant_id = state.tenant_id
        if not state.waiting:
            self._by_share.discard(tenant_id)
            self._by_urgent.discard(tenant_id)
            self._by_age.discard(tenant_id)
            return
        self._by_share.place(self._share_rank(state))
        since_ms = max(state.oldest().pushed_at_ms, state.last_start_ms)
        self._by_age.place(ranking.Rank(0, since_ms, tenant_id))
        self._rank_urgent(state)

    def _rank_urgent(self, state: _Tenant) -> None:
        if not state.urgent_waiting or state.urgent_left() <= 0:
            self._by_urgent.discard(state.tenant_id)
            return
        used = state.usage.urgent / state.limits.urgent_slots
        self._by_urgent.place(ranking.Rank(0, used, state.tenant_id))

    def _share_rank(self, state: _Tenant) -> ranking.Rank:
        guarantee = state.limits.guarantee
        if guarantee != world.NOTHING:
            ratio = state.usage.ratio(guarantee)
            if ratio < 1.0:
                return ranking.Rank(_GUARANTEED, ratio, state.tenant_id)
        value = self._dominant_share(state) / state.limits.weight
        return ranking.Rank(_ORDINARY, value, state.tenant_id)


def _order(entry: _Entry) -> tuple[bool, int]:
    return (not entry.lane.key.evicted, entry.sequence)


def lane_key(task: world.Task) -> LaneKey:
    """Returns the lane of a task: sizes in steps of about 4 times."""
    size = task.size
    gigabytes = size.memory_mb >> 10
    return LaneKey(
        urgent=task.urgent,
        evicted=task.evictions > 0,
        cores_step=min(_MAX_CORES_STEP, int(size.cores).bit_length() // 2),
        memory_step=min(_MAX_MEMORY_STEP, gigabytes.bit_length() // 2),
        accelerators=size.accelerators > 0,
    )
