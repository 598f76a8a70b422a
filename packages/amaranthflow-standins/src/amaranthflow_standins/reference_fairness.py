"""Reference model of ``FairQueue`` that sorts everything at each step."""

import dataclasses
import typing as t

from amaranthflow import fairness
from amaranthflow import holds
from amaranthflow import ids
from amaranthflow import tenant_queue
from amaranthflow import world
from amaranthflow_schema.v1 import world_pb2


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    task: world.Task
    number: int
    pushed_at_ms: int

    def order(self) -> tuple[bool, int]:
        return (self.task.evictions == 0, self.number)


@dataclasses.dataclass(slots=True)
class _Running:
    task: world.Task
    urgent: bool


@dataclasses.dataclass(slots=True)
class _Bypass:
    since_ms: int
    head_bypassed: bool = True


@dataclasses.dataclass(slots=True)
class _Round:
    now_ms: int
    closed: set = dataclasses.field(default_factory=set)
    passed: list = dataclasses.field(default_factory=list)


class ReferenceFairQueue:
    """Same interface and rules as ``FairQueue``, without indexes."""

    def __init__(
        self, *, capacity: world.Size, slots: int, hold_limit: int = 2
    ):
        self.capacity = capacity
        self.slots = slots
        self.hold_limit = hold_limit
        self.tenants: dict[str, world_pb2.Tenant] = {}
        self.waiting: list[_Waiting] = []
        self.running: list[_Running] = []
        self.held: list[tuple[ids.TaskId, int]] = []
        self.number = 0
        self.starts_since_aged = 0
        self.now_ms = 0
        self.last_start_ms: dict[str, int] = {}
        self.bypassed_lanes: dict[tuple, _Bypass] = {}

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Applies a tenant's limits."""
        self.tenants[tenant.tenant_id] = tenant
        self.bypassed_lanes = {
            lane: bypass
            for lane, bypass in self.bypassed_lanes.items()
            if lane[0] != tenant.tenant_id
        }

    def remove_tenant(self, tenant_id: ids.TenantId) -> None:
        """Resets a tenant to the default limits."""
        self.tenants.pop(tenant_id, None)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting task, unless it is known."""
        self.now_ms = now_ms
        tasks = [w.task for w in self.waiting] + [r.task for r in self.running]
        if task.task_id not in [known.task_id for known in tasks]:
            self.waiting.append(_Waiting(task, self.number, now_ms))
            self.number += 1

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting task."""
        before = len(self.waiting)
        self.waiting = [w for w in self.waiting if w.task.task_id != task_id]
        self.held = [h for h in self.held if h[0] != task_id]
        kept = {self._lane(w) for w in self.waiting if not self._parked(w)}
        self.bypassed_lanes = {
            lane: bypass
            for lane, bypass in self.bypassed_lanes.items()
            if lane in kept
        }
        return len(self.waiting) < before

    def started(self, task: world.Task) -> None:
        """Counts the start of a task."""
        held = [h for h in self.held if h[0] == task.task_id]
        lane = (task.tenant_id, tenant_queue.lane_key(task))
        if self.cancel(task.task_id):
            self._pass_on_bypass(lane)
        self._count_start(task)
        if not held:
            return
        claims = sorted(self._claims(self.now_ms), key=self._claim_order)
        if claims and self._lane(claims[0]) == lane:
            self.held.append((claims[0].task.task_id, self.now_ms))

    def _count_start(self, task: world.Task) -> None:
        if any(r.task.task_id == task.task_id for r in self.running):
            return
        left = self._tenant(task.tenant_id).urgent_slots
        left -= self._urgent(task.tenant_id)
        self.running.append(_Running(task, task.urgent and left > 0))
        self.last_start_ms[task.tenant_id] = self.now_ms
        self.starts_since_aged += 1

    def _claim_order(self, waiting: _Waiting) -> tuple:
        tenant_id = waiting.task.tenant_id
        since_ms = self.bypassed_lanes[self._lane(waiting)].since_ms
        order = (self._rank(tenant_id), tenant_id, since_ms)
        return (*order, waiting.order())

    def ended(self, task_id: ids.TaskId) -> None:
        """Counts the end of a task."""
        self.running = [r for r in self.running if r.task.task_id != task_id]

    def hold(self, task_id: ids.TaskId, now_ms: int) -> bool:
        """Records that a worker is held for a task."""
        waits = any(w.task.task_id == task_id for w in self.waiting)
        held = any(h[0] == task_id for h in self.held)
        if not waits or held or len(self.held) >= self.hold_limit:
            return False
        self.held.append((task_id, now_ms))
        return True

    def dominant_share(self, tenant_id: str) -> float:
        """Returns the largest share of any resource that a tenant uses."""
        return max(
            self._used(tenant_id, 'cores') / self.capacity.cores,
            self._used(tenant_id, 'memory_mb') / self.capacity.memory_mb,
            self._slots(tenant_id) / self.slots,
        )

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields tasks in the order in which to try them."""
        self.now_ms = now_ms
        visit = _Round(now_ms)
        self._expire(now_ms)
        while (waiting := self._first_urgent(visit)) is not None:
            yield from self._offer(waiting, visit)
        for task_id, _ in list(self.held):
            for waiting in [
                w for w in self.waiting if w.task.task_id == task_id
            ]:
                if self._may_offer(waiting, visit):
                    yield from self._offer(waiting, visit)
        if self.starts_since_aged >= fairness.STARTS_PER_AGED:
            waiting = self._first_aged(visit)
            if waiting is not None:
                self.starts_since_aged = 0
                yield from self._offer(waiting, visit)
        while (waiting := self._first_fair(visit)) is not None:
            yield from self._offer(waiting, visit)

    def starving_tasks(self, now_ms: int) -> set[ids.TaskId]:
        """Returns the tasks for which a worker should be held."""
        if len(self.held) >= self.hold_limit:
            return set()
        return {w.task.task_id for w in self._claims(now_ms)}

    def _claims(self, now_ms: int) -> list[_Waiting]:
        held = {h[0] for h in self.held}
        heads = {}
        for waiting in sorted(self.waiting, key=_Waiting.order):
            if not self._parked(waiting):
                heads.setdefault(self._lane(waiting), waiting)
        return [
            w
            for w in heads.values()
            if self._is_starving(w, now_ms)
            and w.task.task_id not in held
            and self._is_within_quota(w)
        ]

    def _offer(
        self, waiting: _Waiting, visit: _Round
    ) -> t.Iterator[world.Task]:
        yield waiting.task
        if waiting in self.waiting:
            visit.closed.add(self._lane(waiting))
            visit.passed.append(self._lane(waiting))
            return
        lanes = {self._lane(w) for w in self.waiting if not self._parked(w)}
        for lane in visit.passed:
            if lane in self.bypassed_lanes:
                self.bypassed_lanes[lane].head_bypassed = True
            elif lane in lanes:
                self.bypassed_lanes[lane] = _Bypass(visit.now_ms)
        visit.passed = []

    def _pass_on_bypass(self, lane: tuple) -> None:
        bypass = self.bypassed_lanes.get(lane)
        if bypass is not None and not bypass.head_bypassed:
            del self.bypassed_lanes[lane]
        elif bypass is not None:
            bypass.head_bypassed = False

    def _parked(self, waiting: _Waiting) -> bool:
        tenant = self._tenant(waiting.task.tenant_id)
        return not self._within(tenant, waiting.task, user='')

    def _first_urgent(self, visit: _Round) -> _Waiting | None:
        order = []
        for tenant_id in self._waiting_tenants():
            slots = self._tenant(tenant_id).urgent_slots
            if self._urgent(tenant_id) < slots:
                used = self._urgent(tenant_id) / slots
                order.append((used, tenant_id))
        return self._first([o[1] for o in sorted(order)], visit, True)

    def _first_fair(self, visit: _Round) -> _Waiting | None:
        order = [(*self._rank(t_id), t_id) for t_id in self._waiting_tenants()]
        return self._first([o[2] for o in sorted(order)], visit, False)

    def _first_aged(self, visit: _Round) -> _Waiting | None:
        order = []
        for tenant_id in self._waiting_tenants():
            oldest = self._of(tenant_id)[0]
            last_ms = self.last_start_ms.get(tenant_id, 0)
            since_ms = max(oldest.pushed_at_ms, last_ms)
            if visit.now_ms - since_ms >= fairness.AGED_MS:
                order.append((since_ms, tenant_id, oldest))
        for _, _, oldest in sorted(order, key=lambda aged: aged[:2]):
            if self._may_offer(oldest, visit):
                return oldest
        return None

    def _first(
        self, tenant_ids: list[str], visit: _Round, urgent: bool
    ) -> _Waiting | None:
        for tenant_id in tenant_ids:
            for waiting in self._of(tenant_id):
                if urgent and not waiting.task.urgent:
                    continue
                if self._lane(waiting) in visit.closed:
                    continue
                if self._is_within_quota(waiting):
                    return waiting
                if self._is_starving(waiting, visit.now_ms):
                    break
                visit.closed.add(self._lane(waiting))
                visit.passed.append(self._lane(waiting))
        return None

    def _rank(self, tenant_id: str) -> tuple[int, float]:
        tenant = self._tenant(tenant_id)
        ratios = [
            self._used(tenant_id, name) / getattr(tenant.guarantee, name)
            for name in ('cores', 'memory_mb', 'accelerators')
            if getattr(tenant.guarantee, name)
        ]
        if ratios:
            share = self.dominant_share(tenant_id)
            ratios.append(share / self._guaranteed_share(tenant))
        if ratios and max(ratios) < 1:
            return (0, max(ratios))
        weight = tenant.weight or 1.0
        return (1, self.dominant_share(tenant_id) / weight)

    def _guaranteed_share(self, tenant: world_pb2.Tenant) -> float:
        return max(
            tenant.guarantee.cores / self.capacity.cores,
            tenant.guarantee.memory_mb / self.capacity.memory_mb,
        )

    def _may_offer(self, waiting: _Waiting, visit: _Round) -> bool:
        closed = self._lane(waiting) in visit.closed
        return not closed and self._is_within_quota(waiting)

    def _is_within_quota(self, waiting: _Waiting) -> bool:
        tenant_id = waiting.task.tenant_id
        tenant = self._tenant(tenant_id)
        return self._within(tenant, waiting.task, tenant_id)

    def _within(
        self, tenant: world_pb2.Tenant, task: world.Task, user: str
    ) -> bool:
        for name in ('cores', 'memory_mb', 'accelerators'):
            quota = getattr(tenant.quota, name)
            wanted = self._used(user, name) + getattr(task.size, name)
            if quota and wanted > quota:
                return False
        slots = tenant.quota_slots
        return not slots or self._slots(user) < slots

    def _is_starving(self, waiting: _Waiting, now_ms: int) -> bool:
        limit_ms = tenant_queue.STARVATION_MS
        if waiting.task.urgent:
            limit_ms = tenant_queue.URGENT_STARVATION_MS
        bypass = self.bypassed_lanes.get(self._lane(waiting))
        if bypass is None:
            return False
        return now_ms - bypass.since_ms >= limit_ms

    def _expire(self, now_ms: int) -> None:
        for task_id, since_ms in list(self.held):
            if now_ms - since_ms >= holds.MAX_HOLD_MS:
                self.held.remove((task_id, since_ms))
                for waiting in self.waiting:
                    if waiting.task.task_id == task_id:
                        self.bypassed_lanes.pop(self._lane(waiting), None)

    def _of(self, tenant_id: str) -> list[_Waiting]:
        mine = [
            w
            for w in self.waiting
            if w.task.tenant_id == tenant_id and not self._parked(w)
        ]
        return sorted(mine, key=_Waiting.order)

    def _waiting_tenants(self) -> list[str]:
        known = {w.task.tenant_id for w in self.waiting}
        return [t_id for t_id in known if self._of(t_id)]

    def _tenant(self, tenant_id: str) -> world_pb2.Tenant:
        return self.tenants.get(tenant_id, world_pb2.Tenant())

    def _lane(self, waiting: _Waiting) -> tuple:
        lane = tenant_queue.lane_key(waiting.task)
        return (waiting.task.tenant_id, lane)

    def _used(self, tenant_id: str, name: str) -> float:
        return sum(
            getattr(r.task.size, name)
            for r in self.running
            if r.task.tenant_id == tenant_id
        )

    def _slots(self, tenant_id: str) -> int:
        return sum(r.task.tenant_id == tenant_id for r in self.running)

    def _urgent(self, tenant_id: str) -> int:
        return sum(
            r.urgent for r in self.running if r.task.tenant_id == tenant_id
        )
