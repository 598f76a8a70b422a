"""Queue of batch tasks that is fair among tenants."""

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

_AGE_RESOLUTION_MS = 1000
_GUARANTEED_TIER = 0
_NOT_GUARANTEED_TIER = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    queue: tenant_queue.TenantQueue
    size: world.Size
    urgent: bool


class FairQueue:
    """Waiting batch tasks of all tenants.

    Candidates are tried in this order:

    - urgent tasks within their tenant's urgent slots;
    - tasks for which a worker is held;
    - after every ``STARTS_PER_AGED`` starts, a task of a tenant that has had
      waiting tasks but no start for ``AGED_MS``;
    - tasks of tenants below their guarantee;
    - tasks of the tenant with the smallest dominant share for its weight.

    Shares count slots as a resource. A guarantee is a fraction of the fleet:
    it is met once the tenant uses what is guaranteed, or the same fraction
    of any other resource. Within a tenant, evicted tasks come first, the
    others in the order of arrival.

    A tenant's tasks wait in lanes by size. A lane whose head fits on no
    worker is skipped for the rest of the round. Once the heads of a lane
    have been bypassed by later tasks for ``tenant_queue.STARVATION_MS``,
    ``starving_tasks`` lists its head and the caller holds a worker for it
    with ``hold``; at most ``hold_limit`` workers are held. If the quota is
    the reason, later tasks of the tenant wait until the head fits. A task
    larger than its tenant's whole quota is parked until the quota changes.
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
        """Sets the capacity of the whole fleet, to which shares relate."""
        self._capacity = capacity
        self._slots = slots
        for queue in self._tenants.values():
            self._rank(queue)

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Applies a tenant's limits; running tasks over them are kept."""
        queue = self._tenant(ids.TenantId(tenant.tenant_id))
        self._bypassed_lanes = {
            lane for lane in self._bypassed_lanes if lane.owner is not queue
        }
        queue.configure(shares.Limits.from_message(tenant))
        self._rank(queue)

    def remove_tenant(self, tenant_id: ids.TenantId) -> None:
        """Resets a tenant to the default limits; its tasks are kept."""
        if tenant_id in self._tenants:
            self.configure(world_pb2.Tenant(tenant_id=tenant_id))
            self._forget_idle()

    def exceeds_quota(self, task: world.Task) -> bool:
        """Returns whether a task alone exceeds its tenant's quota."""
        queue = self._tenants.get(task.tenant_id)
        limits = queue.limits if queue else shares.Limits()
        return shares.exceeds_quota(task.size, limits)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a task, unless it already waits or runs.

        :raises Overloaded: ``MAX_WAITING`` tasks wait, or ``MAX_TENANTS``
            tenants have work.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if task.task_id in self._waiting or task.task_id in self._running:
            return
        self._check_limits(task.tenant_id)
        queue = self._tenant(task.tenant_id)
        entry = tenant_queue.Entry(
            task=task, sequence=next(self._sequence), now_ms=now_ms
        )
        self._waiting[task.task_id] = entry
        if entry.job_id is not None:
            self._jobs[entry.job_id] = entry
        if queue.add(entry):
            self._rank(queue)

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a task in O(1); returns False if it does not wait."""
        entry = self._waiting.get(task_id)
        if entry is None:
            return False
        self._holds.release(task_id)
        if self._remove(entry):
            self._rank(self._tenants[entry.task.tenant_id])
        return True

    def cancel_job(self, job_id: ids.JobId) -> bool:
        """Removes a job's waiting task; returns False if it has none."""
        entry = self._jobs.get(job_id)
        return entry is not None and self.cancel(entry.task.task_id)

    def started(self, task: world.Task) -> None:
        """Counts a task that runs on any worker; counts each task once."""
        entry = self._waiting.get(task.task_id)
        if entry is not None:
            entry.started = True
            self._remove(entry)
            self._note_start(entry.lane)
        if task.task_id not in self._running:
            self._count_start(task)
        if task.task_id in self._holds:
            self._transfer_hold(task.task_id, entry)

    def ended(self, task_id: ids.TaskId) -> None:
        """Counts the end of a task; unknown ids are ignored."""
        running = self._running.pop(task_id, None)
        if running is None:
            return
        queue = running.queue
        queue.usage.subtract(running.size)
        queue.usage.urgent -= running.urgent
        if queue.waiting:
            self._rank_share(queue)
            self._rank_urgent(queue)

    def share(self, tenant_id: ids.TenantId) -> shares.Share:
        """Returns a tenant's share; an unknown tenant uses nothing."""
        queue = self._tenants.get(tenant_id)
        if queue is None:
            queue = tenant_queue.TenantQueue(tenant_id)
        claims = [
            self._share_claim(other)
            for other in self._tenants.values()
            if not other.is_idle() and other is not queue
        ]
        claims.append(self._share_claim(queue))
        return shares.Share(
            tenant_id=tenant_id,
            dominant_share=self._dominant_share(queue),
            entitlement=shares.entitlements(claims)[tenant_id],
            running=queue.usage.slots,
            waiting=queue.waiting + len(queue.parked),
        )

    def parked(self, tenant_id: ids.TenantId) -> tuple[ids.TaskId, ...]:
        """Returns a tenant's tasks that alone exceed its quota."""
        queue = self._tenants.get(tenant_id)
        return tuple(queue.parked) if queue else ()

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields the tasks of one round in the order to try them.

        The caller tries to place each task before it takes the next one, and
        calls ``started`` if that succeeds; otherwise the task is assumed to
        fit on no worker. Tasks may be pushed, cancelled, started and ended
        during a round. A round ends when every lane is empty or skipped, so
        there is at most one failed placement for each lane.
        """
        self._now_ms = max(self._now_ms, now_ms)
        this_round = tenant_queue.Round(now_ms)
        self._expire_holds(now_ms)
        yield from self._walk_ranking(this_round, self._by_urgent, urgent=True)
        yield from self._held_tasks(this_round)
        yield from self._aged_task(this_round)
        yield from self._walk_ranking(this_round, self._by_share, urgent=False)

    def starving_tasks(self, now_ms: int) -> tuple[world.Task, ...]:
        """Returns starving tasks, for each of which a worker should be held.

        Those of the tenant with the smallest share come first. Empty while
        the limit of holds is reached.
        """
        if self._holds.full():
            return ()
        claims = sorted(
            self._starving_lanes(now_ms), key=self._starvation_rank
        )
        return tuple(lane.head.task for lane in claims)

    def hold(
        self, task_id: ids.TaskId, worker_id: ids.WorkerId, now_ms: int
    ) -> bool:
        """Holds a worker for a waiting task; returns False if it cannot."""
        if task_id not in self._waiting:
            return False
        return self._holds.add(task_id, worker_id, now_ms)

    def holds(self) -> tuple[holds.Hold, ...]:
        """Returns the holds, oldest first."""
        return self._holds.current()

    def release_worker(self, worker_id: ids.WorkerId) -> None:
        """Ends the hold on a worker that was removed."""
        self._holds.release_worker(worker_id)

    def avoid(self, task: world.Task) -> frozenset[ids.WorkerId]:
        """Returns workers held for other tasks, for ``Placer.choose``."""
        return self._holds.avoid(task.task_id)

    def _walk_ranking(
        self,
        this_round: tenant_queue.Round,
        order: ranking.Ranking,
        urgent: bool,
    ) -> t.Iterator[world.Task]:
        # A start only moves a tenant to a later rank, so tenants before the
        # cursor have no task left to try in this round.
        cursor = None
        while (rank := order.first(after=cursor)) is not None:
            entry = self._tenants[rank.tenant_id].next_entry(
                this_round, urgent
            )
            if entry is None:
                cursor = rank
                continue
            yield entry.task
            self._note_offer(entry, this_round)

    def _held_tasks(
        self, this_round: tenant_queue.Round
    ) -> t.Iterator[world.Task]:
        for hold in self._holds.current():
            entry = self._waiting.get(hold.task_id)
            if entry is not None and self._may_offer(entry, this_round):
                yield entry.task
                self._note_offer(entry, this_round)

    def _aged_task(
        self, this_round: tenant_queue.Round
    ) -> t.Iterator[world.Task]:
        if self._starts_since_aged < STARTS_PER_AGED:
            return
        entry = self._first_aged(this_round)
        if entry is not None:
            self._starts_since_aged = 0
            yield entry.task
            self._note_offer(entry, this_round)

    def _first_aged(
        self, this_round: tenant_queue.Round
    ) -> tenant_queue.Entry | None:
        cursor = None
        while (rank := self._by_age.first(after=cursor)) is not None:
            if this_round.now_ms - rank.value < AGED_MS:
                return None
            entry = self._tenants[rank.tenant_id].oldest()
            if self._may_offer(entry, this_round):
                return entry
            cursor = rank
        return None

    def _note_offer(
        self, entry: tenant_queue.Entry, this_round: tenant_queue.Round
    ) -> None:
        if not entry.started:
            if entry.task.task_id in self._waiting:
                this_round.skip(entry.lane)
            return
        for lane in this_round.skipped:
            if lane.head is not None:
                lane.mark_bypassed(this_round.now_ms)
                self._bypassed_lanes.add(lane)
        this_round.skipped.clear()

    def _may_offer(
        self, entry: tenant_queue.Entry, this_round: tenant_queue.Round
    ) -> bool:
        return self._tenants[entry.task.tenant_id].may_offer(entry, this_round)

    def _starving_lanes(self, now_ms: int) -> list[tenant_queue.Lane]:
        return [
            lane
            for lane in self._bypassed_lanes
            if lane.is_starving(now_ms)
            and lane.owner.fits_quota(lane.head)
            and lane.head.task.task_id not in self._holds
        ]

    def _starvation_rank(
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
        queue = self._tenant(task.tenant_id)
        urgent = task.urgent and queue.free_urgent_slots() > 0
        self._running[task.task_id] = _Running(queue, task.size, urgent)
        queue.usage.add(task.size)
        queue.usage.urgent += urgent
        queue.last_start_ms = self._now_ms
        self._starts_since_aged += 1
        self._rank(queue)

    def _transfer_hold(
        self, task_id: ids.TaskId, entry: tenant_queue.Entry | None
    ) -> None:
        """Transfers the hold to the next task of the lane, or releases it.

        The lane keeps the drained worker, so that no other has to drain for
        it, until a starving lane without a hold ranks before it.
        """
        lane = entry.lane if entry is not None else None
        claims = self._starving_lanes(self._now_ms)
        best = min(claims, key=self._starvation_rank, default=None)
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
        """Removes a waiting task; returns whether it was a lane's head."""
        task_id = entry.task.task_id
        del self._waiting[task_id]
        if self._jobs.get(entry.job_id) is entry:
            del self._jobs[entry.job_id]
        was_head = self._tenants[entry.task.tenant_id].remove(entry)
        if entry.lane is not None and entry.lane.head is None:
            self._bypassed_lanes.discard(entry.lane)
        return was_head

    def _check_limits(self, tenant_id: ids.TenantId) -> None:
        if len(self._waiting) >= MAX_WAITING:
            raise exceptions.Overloaded('too many batch tasks wait')
        if tenant_id in self._tenants or len(self._tenants) < MAX_TENANTS:
            return
        self._forget_idle()
        if len(self._tenants) >= MAX_TENANTS:
            raise exceptions.Overloaded('too many tenants have work')

    def _tenant(self, tenant_id: ids.TenantId) -> tenant_queue.TenantQueue:
        queue = self._tenants.get(tenant_id)
        if queue is None:
            queue = tenant_queue.TenantQueue(tenant_id)
            self._tenants[tenant_id] = queue
        return queue

    def _forget_idle(self) -> None:
        default = shares.Limits()
        self._tenants = {
            tenant_id: queue
            for tenant_id, queue in self._tenants.items()
            if not queue.is_idle() or queue.limits != default
        }

    def _share_claim(self, queue: tenant_queue.TenantQueue) -> shares.Claim:
        limits = queue.limits
        return shares.Claim(
            tenant_id=queue.tenant_id,
            weight=limits.weight,
            floor=limits.guarantee.dominant_share(self._capacity),
        )

    def _dominant_share(self, queue: tenant_queue.TenantQueue) -> float:
        return queue.usage.ratio(self._capacity, self._slots)

    def _rank(self, queue: tenant_queue.TenantQueue) -> None:
        if not queue.waiting:
            self._by_share.discard(queue.tenant_id)
            self._by_urgent.discard(queue.tenant_id)
            self._by_age.discard(queue.tenant_id)
            return
        self._rank_share(queue)
        self._rank_urgent(queue)
        self._rank_age(queue)

    def _rank_share(self, queue: tenant_queue.TenantQueue) -> None:
        self._by_share.place(self._share_rank(queue))

    def _rank_urgent(self, queue: tenant_queue.TenantQueue) -> None:
        if not queue.urgent_waiting or queue.free_urgent_slots() <= 0:
            self._by_urgent.discard(queue.tenant_id)
            return
        used = queue.usage.urgent / queue.limits.urgent_slots
        self._by_urgent.place(ranking.Rank(0, used, queue.tenant_id))

    def _rank_age(self, queue: tenant_queue.TenantQueue) -> None:
        since_ms = max(queue.oldest().pushed_at_ms, queue.last_start_ms)
        # Rounding avoids most rank changes of tenants that start many tasks
        # a second.
        since_ms -= since_ms % _AGE_RESOLUTION_MS
        self._by_age.place(ranking.Rank(0, since_ms, queue.tenant_id))

    def _share_rank(self, queue: tenant_queue.TenantQueue) -> ranking.Rank:
        limits = queue.limits
        share = self._dominant_share(queue)
        if limits.guarantee is not world.ZERO_SIZE:
            guaranteed = limits.guarantee.dominant_share(self._capacity)
            used = queue.usage.ratio(limits.guarantee)
            # A guarantee of a resource that the fleet lacks cannot be met.
            if guaranteed > 0.0 and max(used, share / guaranteed) < 1.0:
                met = max(used, share / guaranteed)
                return ranking.Rank(_GUARANTEED_TIER, met, queue.tenant_id)
        return ranking.Rank(
            _NOT_GUARANTEED_TIER, share / limits.weight, queue.tenant_id
        )
