"""Reference model of ``AdmissionQueue``, and a first-come baseline."""

import asyncio
import collections
import dataclasses
import enum

from amaranthflow import admission

_SMOOTHING = 0.05


class Outcome(enum.Enum):
    """State of a request."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True)
class _Entry:
    request: admission.AdmissionRequest
    outcome: Outcome = Outcome.WAITING


@dataclasses.dataclass(slots=True)
class _GrantInterval:
    mean_s: float = 0.0
    last_s: float = 0.0

    def record(self, now_s: float) -> None:
        sample_s = now_s - self.last_s
        self.last_s = now_s
        self.mean_s = self.mean_s or sample_s
        self.mean_s += _SMOOTHING * (sample_s - self.mean_s)

    def interval_s(self, now_s: float) -> float:
        return max(self.mean_s, now_s - self.last_s)


class ReferenceAdmission:
    """Same rules as ``AdmissionQueue``, over a plain list without asyncio.

    :ivar free: number of free slots, by service.
    """

    def __init__(self, *, limit: int, free: dict[str, int]):
        self.limit = limit
        self.free = free
        self.weights: dict[str, float] = {}
        self.requests: dict[str, _Entry] = {}
        self.virtual_starts: dict[str, float] = collections.defaultdict(float)
        self.virtual_time = 0.0
        self.grant_interval = _GrantInterval()
        self.tenant_intervals: dict[str, _GrantInterval] = (
            collections.defaultdict(_GrantInterval)
        )

    def enter(self, request: admission.AdmissionRequest, now_s: float) -> None:
        """Grants a slot to a request, queues it or refuses it."""
        self.expire(now_s)
        entry = _Entry(request, Outcome.REFUSED)
        self.requests[request.request_id] = entry
        if request.latest_start_s <= now_s:
            return
        same = [
            r
            for r in self._waiting()
            if r.request.service_id == request.service_id
        ]
        if not same and self._reserve(entry):
            return
        left_s = min(request.latest_start_s - now_s, request.max_wait_s)
        if self._wait_s(request.tenant_id, now_s) > left_s:
            return
        if len(self._waiting()) >= self.limit and not self._displace(request):
            return
        self._join(entry, now_s)

    def cancel(self, request_id: str) -> None:
        """Cancels a request that waits."""
        entry = self.requests.get(request_id)
        if entry is not None and entry.outcome is Outcome.WAITING:
            entry.outcome = Outcome.CANCELLED

    def free_one(self, service_id: str, now_s: float) -> None:
        """Frees a slot of a service and grants it to a waiting request."""
        self.free[service_id] += 1
        self.expire(now_s)
        while (entry := self._next_to_grant()) is not None:
            self._reserve(entry)
            self.grant_interval.record(now_s)
            self.tenant_intervals[entry.request.tenant_id].record(now_s)

    def expire(self, now_s: float) -> None:
        """Refuses requests that can no longer start in time."""
        for entry in self._waiting():
            if entry.request.latest_start_s <= now_s:
                entry.outcome = Outcome.REFUSED

    def _next_to_grant(self) -> _Entry | None:
        order = {
            tenant_id: (self.virtual_starts[tenant_id], tenant_id)
            for tenant_id in self._tenants()
        }
        fitting = [
            r for r in self._waiting() if self.free[r.request.service_id]
        ]
        # The sort is stable, so that requests of one tenant keep their order.
        fitting.sort(key=lambda r: order[r.request.tenant_id])
        return fitting[0] if fitting else None

    def _reserve(self, entry: _Entry) -> bool:
        request = entry.request
        if not self.free[request.service_id]:
            return False
        tenant_id = request.tenant_id
        if tenant_id not in self._tenants():
            self.virtual_starts[tenant_id] = max(
                self.virtual_starts[tenant_id], self.virtual_time
            )
        self.free[request.service_id] -= 1
        entry.outcome = Outcome.GRANTED
        self.virtual_time = max(
            self.virtual_time, self.virtual_starts[tenant_id]
        )
        self.virtual_starts[tenant_id] += 1.0 / self._weight(tenant_id)
        return True

    def _join(self, entry: _Entry, now_s: float) -> None:
        tenant_id = entry.request.tenant_id
        if not self._waiting():
            self.grant_interval.last_s = now_s
        if tenant_id not in self._tenants():
            self.tenant_intervals[tenant_id].last_s = now_s
            self.virtual_starts[tenant_id] = max(
                self.virtual_starts[tenant_id], self.virtual_time
            )
        # Waiting requests are ordered by the time at which they joined.
        del self.requests[entry.request.request_id]
        self.requests[entry.request.request_id] = entry
        entry.outcome = Outcome.WAITING

    def _displace(self, request: admission.AdmissionRequest) -> bool:
        tenants = self._tenants()
        excess = {
            tenant_id: len(self._waiting(tenant_id)) / self._weight(tenant_id)
            for tenant_id in tenants
        }
        largest = max(tenants, key=lambda t_id: (excess[t_id], t_id))
        own = len(self._waiting(request.tenant_id)) + 1
        if own / self._weight(request.tenant_id) >= excess[largest]:
            return False
        self._waiting(largest)[-1].outcome = Outcome.REFUSED
        return True

    def _wait_s(self, tenant_id: str, now_s: float) -> float:
        if not self._waiting():
            return 0.0
        active = self._tenants() | {tenant_id}
        weights = sum(self._weight(t_id) for t_id in active)
        position = len(self._waiting(tenant_id)) + 1
        turns = position * weights / self._weight(tenant_id)
        turns = min(turns, len(self._waiting()) + 1)
        own_s = 0.0
        if tenant_id in self._tenants():
            own_s = position * self.tenant_intervals[tenant_id].interval_s(
                now_s
            )
        return max(own_s, turns * self.grant_interval.interval_s(now_s))

    def _waiting(self, tenant_id: str = '') -> list[_Entry]:
        return [
            r
            for r in self.requests.values()
            if r.outcome is Outcome.WAITING
            and tenant_id in ('', r.request.tenant_id)
        ]

    def _tenants(self) -> set[str]:
        return {r.request.tenant_id for r in self._waiting()}

    def _weight(self, tenant_id: str) -> float:
        return self.weights.get(tenant_id, 1.0)


class FirstComeQueue:
    """Baseline that serves requests in order of arrival and refuses none."""

    def __init__(self, *, try_reserve, **_):
        self._try_reserve = try_reserve
        self._waiting: collections.deque = collections.deque()

    async def enter(self, request: admission.AdmissionRequest):
        """Waits for a slot without any limit."""
        if not self._waiting:
            grant = self._try_reserve(request)
            if grant is not None:
                return grant
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((request, granted))
        return await granted

    def wake(self) -> None:
        """Grants freed slots to waiting requests in order of arrival."""
        while self._waiting:
            request, granted = self._waiting[0]
            grant = self._try_reserve(request)
            if grant is None:
                return
            self._waiting.popleft()
            granted.set_result(grant)

    async def run(self) -> None:
        """Does nothing."""
