"""Order in which waiting batch tasks are tried, even-handed by tenant."""

import dataclasses
import itertools
import typing as t

from amaranthflow_schema.v1 import world_pb2

from . import exceptions
from . import holds
from . import ids
from . import ranking
from . import shares
from . import tenant_queue
from . import world

MAX_WAITING = 400_000
MAX_TENANTS = 1024
AGED_MS = 5 * 60_000
STARTS_PER_AGED = 16

_AGE_STEP_MS = 1000
_GUARANTEED = 0
_ORDINARY = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    state: tenant_queue.TenantQueue
    size: world.Size
    urgent: bool


class FairQueue:
    """Waiting batch tasks of all tenants.

    Candidates come in this order: urgent tasks within their tenant's urgent
    slots; tasks for which a worker is held; after every ``STARTS_PER_AGED``
    starts one of a tenant that had work waiting but no start for
    ``AGED_MS``; tenants below their guarantee; then the tenant with the
    least dominant share for its weight. Shares count slots as a resource. A
    guarantee is a part of the fleet: it is met once the tenant holds it, or
    the same part of any other resource. Within a tenant, evicted tasks come
    first and others as they came.

    A tenant's tasks wait in lanes by size. A head that fits nowhere closes
    its lane for the round only. Once tasks tried later have overtaken the
    heads of a lane for ``tenant_queue.STARVATION_MS``, its head is listed by
    ``overtaken`` and the caller holds a worker for it with ``hold``; at most
    ``hold_limit`` are held. Where the quota is what keeps it back, its
    tenant's younger tasks wait until it fits. A task larger than its
    tenant's whole quota is parked until the quota changes.
    """

    def __init__(
        self, *, capacity: world.Size, slots: int, hold_limit: int = 2
    ):
        self._capacity = capacity
        self._slots = slots
        self._tenants: dict[ids.TenantId, tenant_queue.TenantQueue] = {}
        self._waiting: dict[ids.TaskId, tenant_queue.Entry] = {}
        self._jobs: dict[ids.JobId, tenant_queue.Entry] = {}
        self._running: dict[ids.TaskId, _Running] = {}
        self._bypassed_lanes: set[tenant_queue.Lane] = set()
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
        for state in self._tenants.values():
            self._rank(state)

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Applies a tenant's limits; running tasks beyond them stay."""
        state = self._tenant(ids.TenantId(tenant.tenant_id))
        self._bypassed_lanes = {
            lane for lane in self._bypassed_lanes if lane.owner is not state
        }
        state.configure(shares.Limits.from_message(tenant))
        self._rank(state)

    def remove_tenant(self, tenant_id: ids.TenantId) -> None:
        """Returns a tenant to the default limits; its tasks stay."""
        if tenant_id in self._tenants:
            self.configure(world_pb2.Tenant(tenant_id=tenant_id))
            self._forget_idle()

    def exceeds_quota(self, task: world.Task) -> bool:
        """Tells whether the task is larger than its tenant's quota."""
        state = self._tenants.get(task.tenant_id)
        limits = state.limits if state else shares.Limits()
        return shares.exceeds_quota(task.size, limits)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting task; one that waits or runs already is ignored.

        :raises Overloaded: ``MAX_WAITING`` tasks wait, or ``MAX_TENANTS``
            tenants have work.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if task.task_id in self._waiting or task.task_id in self._running:
            return
        self._refuse_excess(task.tenant_id)
        state = self._tenant(task.tenant_id)
        entry = tenant_queue.Entry(
            task=task, sequence=next(self._sequence), now_ms=now_ms
        )
        self._waiting[task.task_id] = entry
        if entry.job_id is not None:
            self._jobs[entry.job_id] = entry
        if state.add(entry):
            self._rank(state)

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting task in O(1); False where it does not wait."""
        entry = self._waiting.get(task_id)
        if entry is None:
            return False
        self._holds.release(task_id)
        if self._remove(entry):
            self._rank(self._tenants[entry.task.tenant_id])
        return True

    def cancel_job(self, job_id: ids.JobId) -> bool:
        """Removes the waiting task of a job; False where none waits."""
        entry = self._jobs.get(job_id)
        return entry is not None and self.cancel(entry.task.task_id)

    def started(self, task: world.Task) -> None:
        """Counts a task that runs anywhere in the fleet, once."""
        entry = self._waiting.get(task.task_id)
        if entry is not None:
            entry.started = True
            self._remove(entry)
            self._note_start(entry.lane)
        if task.task_id not in self._running:
            self._count_start(task)
        if task.task_id in self._holds:
            self._pass_hold(task.task_id, entry)

    def ended(self, task_id: ids.TaskId) -> None:
        """Counts the end of a task; unknown ones are ignored."""
        running = self._running.pop(task_id, None)
        if running is None:
            return
        state = running.state
        state.usage.subtract(running.size)
        state.usage.urgent -= running.urgent
        if state.waiting:
            self._rank_share(state)
            self._rank_urgent(state)

    def share(self, tenant_id: ids.TenantId) -> shares.Share:
        """Returns how a tenant stands; an unknown one holds nothing."""
        state = self._tenants.get(tenant_id)
        if state is None:
            state = tenant_queue.TenantQueue(tenant_id)
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
            waiting=state.waiting + len(state.parked),
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
        visit = tenant_queue.Round(now_ms)
        self._expire_holds(now_ms)
        yield from self._walk(visit, self._by_urgent, urgent=True)
        yield from self._held(visit)
        yield from self._aged(visit)
        yield from self._walk(visit, self._by_share, urgent=False)

    def starving_tasks(self, now_ms: int) -> tuple[world.Task, ...]:
        """Returns tasks for which a worker should be held.

        Those of the tenant with the least share come first. Empty while the
        limit of holds is reached.
        """
        if self._holds.full():
            return ()
        claims = sorted(self._hold_claims(now_ms), key=self._hold_order)
        return tuple(lane.head.task for lane in claims)

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
        self, visit: tenant_queue.Round, order: ranking.Ranking, urgent: bool
    ) -> t.Iterator[world.Task]:
        # A start only moves a tenant to a later place, so the tenants before
        # the cursor have nothing left to try in this round.
        cursor = None
        while (rank := order.first(after=cursor)) is not None:
            entry = self._tenants[rank.tenant_id].next_entry(visit, urgent)
            if entry is None:
                cursor = rank
                continue
            yield entry.task
            self._note_try(entry, visit)

    def _held(self, visit: tenant_queue.Round) -> t.Iterator[world.Task]:
        for hold in self._holds.current():
            entry = self._waiting.get(hold.task_id)
            if entry is not None and self._may_offer(entry, visit):
                yield entry.task
                self._note_try(entry, visit)

    def _aged(self, visit: tenant_queue.Round) -> t.Iterator[world.Task]:
        if self._starts_since_aged < STARTS_PER_AGED:
            return
        entry = self._first_aged(visit)
        if entry is not None:
            self._starts_since_aged = 0
            yield entry.task
            self._note_try(entry, visit)

    def _first_aged(
        self, visit: tenant_queue.Round
    ) -> tenant_queue.Entry | None:
        cursor = None
        while (rank := self._by_age.first(after=cursor)) is not None:
            if visit.now_ms - rank.value < AGED_MS:
                return None
            entry = self._tenants[rank.tenant_id].oldest()
            if self._may_offer(entry, visit):
                return entry
            cursor = rank
        return None

    def _note_try(
        self, entry: tenant_queue.Entry, visit: tenant_queue.Round
    ) -> None:
        if not entry.started:
            if entry.task.task_id in self._waiting:
                visit.refuse(entry.lane)
            return
        for lane in visit.passed:
            if lane.head is not None:
                lane.mark_bypassed(visit.now_ms)
                self._bypassed_lanes.add(lane)
        visit.passed.clear()

    def _may_offer(
        self, entry: tenant_queue.Entry, visit: tenant_queue.Round
    ) -> bool:
        return self._tenants[entry.task.tenant_id].may_offer(entry, visit)

    def _hold_claims(self, now_ms: int) -> list[tenant_queue.Lane]:
        return [
            lane
            for lane in self._bypassed_lanes
            if lane.is_starving(now_ms)
            and lane.owner.leaves_room(lane.head)
            and lane.head.task.task_id not in self._holds
        ]

    def _hold_order(
        self, lane: tenant_queue.Lane
    ) -> tuple[ranking.Rank, int, int]:
        rank = self._share_rank(lane.owner)
        return (rank, lane.bypassed_since_ms, lane.head.order)

    def _note_start(self, lane: tenant_queue.Lane | None) -> None:
        if lane is None:
            return
        lane.note_start()
        if lane.bypassed_since_ms is None:
            self._bypassed_lanes.discard(lane)

    def _count_start(self, task: world.Task) -> None:
        state = self._tenant(task.tenant_id)
        urgent = task.urgent and state.urgent_left() > 0
        self._running[task.task_id] = _Running(state, task.size, urgent)
        state.usage.add(task.size)
        state.usage.urgent += urgent
        state.last_start_ms = self._now_ms
        self._starts_since_aged += 1
        self._rank(state)

    def _pass_hold(
        self, task_id: ids.TaskId, entry: tenant_queue.Entry | None
    ) -> None:
        """Lets the next of the lane have the worker, or frees it.

        The drained worker serves the lane without draining again, until
        another overtaken lane without a hold has a better claim.
        """
        lane = entry.lane if entry is not None else None
        claims = self._hold_claims(self._now_ms)
        best = min(claims, key=self._hold_order, default=None)
        if lane is None or lane is not best:
            self._holds.release(task_id)
            return
        next_id = lane.head.task.task_id
        self._holds.transfer(task_id, next_id, self._now_ms)

    def _expire_holds(self, now_ms: int) -> None:
        for task_id in self._holds.expire(now_ms):
            lane = self._waiting[task_id].lane
            if lane is not None:
                lane.bypassed_since_ms = None
                self._bypassed_lanes.discard(lane)

    def _remove(self, entry: tenant_queue.Entry) -> bool:
        """Returns whether the entry headed a lane."""
        task_id = entry.task.task_id
        del self._waiting[task_id]
        if self._jobs.get(entry.job_id) is entry:
            del self._jobs[entry.job_id]
        was_head = self._tenants[entry.task.tenant_id].remove(entry)
        if entry.lane is not None and entry.lane.head is None:
            self._bypassed_lanes.discard(entry.lane)
        return was_head

    def _refuse_excess(self, tenant_id: ids.TenantId) -> None:
        if len(self._waiting) >= MAX_WAITING:
            raise exceptions.Overloaded('too many batch tasks wait')
        if tenant_id in self._tenants or len(self._tenants) < MAX_TENANTS:
            return
        self._forget_idle()
        if len(self._tenants) >= MAX_TENANTS:
            raise exceptions.Overloaded('too many tenants have work')

    def _tenant(self, tenant_id: ids.TenantId) -> tenant_queue.TenantQueue:
        state = self._tenants.get(tenant_id)
        if state is None:
            state = tenant_queue.TenantQueue(tenant_id)
            self._tenants[tenant_id] = state
        return state

    def _forget_idle(self) -> None:
        default = shares.Limits()
        self._tenants = {
            tenant_id: state
            for tenant_id, state in self._tenants.items()
            if not state.idle() or state.limits != default
        }

    def _claim(self, state: tenant_queue.TenantQueue) -> shares.Claim:
        limits = state.limits
        return shares.Claim(
            tenant_id=state.tenant_id,
            weight=limits.weight,
            floor=limits.guarantee.dominant_share(self._capacity),
        )

    def _dominant_share(self, state: tenant_queue.TenantQueue) -> float:
        return state.usage.ratio(self._capacity, self._slots)

    def _rank(self, state: tenant_queue.TenantQueue) -> None:
        if not state.waiting:
            self._by_share.discard(state.tenant_id)
            self._by_urgent.discard(state.tenant_id)
            self._by_age.discard(state.tenant_id)
            return
        self._rank_share(state)
        self._rank_urgent(state)
        self._rank_age(state)

    def _rank_share(self, state: tenant_queue.TenantQueue) -> None:
        self._by_share.place(self._share_rank(state))

    def _rank_urgent(self, state: tenant_queue.TenantQueue) -> None:
        if not state.urgent_waiting or state.urgent_left() <= 0:
            self._by_urgent.discard(state.tenant_id)
            return
        used = state.usage.urgent / state.limits.urgent_slots
        self._by_urgent.place(ranking.Rank(0, used, state.tenant_id))

    def _rank_age(self, state: tenant_queue.TenantQueue) -> None:
        since_ms = max(state.oldest().pushed_at_ms, state.last_start_ms)
        # Steps spare most moves of tenants that start many tasks a second.
        since_ms -= since_ms % _AGE_STEP_MS
        self._by_age.place(ranking.Rank(0, since_ms, state.tenant_id))

    def _share_rank(self, state: tenant_queue.TenantQueue) -> ranking.Rank:
        limits = state.limits
        share = self._dominant_share(state)
        if limits.guarantee is not world.ZERO_SIZE:
            promised = limits.guarantee.dominant_share(self._capacity)
            held = state.usage.ratio(limits.guarantee)
            # A fleet without the promised resource cannot keep the promise.
            if promised > 0.0 and max(held, share / promised) < 1.0:
                met = max(held, share / promised)
                return ranking.Rank(_GUARANTEED, met, state.tenant_id)
        return ranking.Rank(_ORDINARY, share / limits.weight, state.tenant_id)
