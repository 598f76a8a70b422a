"""Admission queue of latency-critical requests at the owner of workers."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import math
import typing as t

from . import clock as clock_lib
from . import exceptions
from . import ids
from . import lanes
from . import ranking

DEFAULT_LIMIT = 512
MAX_TENANTS = 1024

_EXPIRY_INTERVAL_S = 0.01
_INTERVAL_SMOOTHING = 0.05
_MIN_RETRY_AFTER_MS = 10
_MS_PER_S = 1000
_MAX_STALE_TIMERS = 64
_DEFAULT_WEIGHT = 1.0

Grant = t.TypeVar('Grant')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A request that asks for capacity on a worker.

    :ivar deadline_s: time by which it must be answered, by the monotonic
        clock of the queue.
    :ivar run_s: expected run time; the request is refused once less than
        that is left before the deadline.
    :ivar max_wait_s: longest expected wait for which it is queued. A short
        limit keeps the latency of queued requests low and lets the others
        go to another owner at once.
    """

    request_id: ids.RequestId
    tenant_id: ids.TenantId
    service_id: ids.ServiceId
    deadline_s: float
    run_s: float = 0.0
    max_wait_s: float = math.inf

    @property
    def latest_start_s(self) -> float:
        """When the request must start to be answered in time."""
        return self.deadline_s - self.run_s


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    request: AdmissionRequest
    key: str
    sequence: int
    granted: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Timer:
    at_s: float
    sequence: int
    waiter: _Waiter = dataclasses.field(compare=False)


class _GrantInterval:
    """Smoothed interval between the grants of a queue."""

    def __init__(self):
        self._mean_s = 0.0
        self._last_s = 0.0

    def restart(self, now_s: float) -> None:
        """Starts a busy period: the next interval is measured from now."""
        self._last_s = now_s

    def note_grant(self, now_s: float) -> None:
        sample_s = now_s - self._last_s
        self._last_s = now_s
        if self._mean_s == 0.0:
            self._mean_s = sample_s
        self._mean_s += _INTERVAL_SMOOTHING * (sample_s - self._mean_s)

    def interval_s(self, now_s: float) -> float:
        """Returns the mean, or the time since the last grant if longer."""
        return max(self._mean_s, now_s - self._last_s)


class _Flow:
    """Waiting requests of one tenant, with its weight and virtual time."""

    def __init__(self):
        self.weight = _DEFAULT_WEIGHT
        self.virtual_time = 0.0
        self.grant_interval = _GrantInterval()
        self.waiting: lanes.Lanes[ids.ServiceId, _Waiter] = lanes.Lanes()

    def oldest(self, full: t.Collection[ids.ServiceId]) -> _Waiter | None:
        heads = (
            waiter
            for waiter in self.waiting.heads()
            if waiter.request.service_id not in full
        )
        return min(heads, key=_sequence, default=None)

    def newest(self) -> _Waiter:
        return max(self.waiting.tails(), key=_sequence)


class AdmissionQueue(t.Generic[Grant]):
    """Admits the requests of all tenants in fair order.

    Tenants are served by weight with start-time fair queueing. The requests
    of a tenant for one service are served in the order of arrival. A request
    that is not expected to start in time is refused on arrival. While
    ``limit`` requests wait, a new one displaces the newest request of the
    tenant with the longest queue relative to its weight. All refusals are
    ``Overloaded``: the request did not run.

    :param try_reserve: reserves capacity for a request, returns None if
        there is none. An ``AmaranthflowError`` that it raises is raised to
        the request.
    :param release: releases capacity that a request does not use. It need
        not call ``wake``.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        try_reserve: t.Callable[[AdmissionRequest], Grant | None],
        release: t.Callable[[Grant], None],
        limit: int = DEFAULT_LIMIT,
    ):
        self._clock = clock
        self._try_reserve = try_reserve
        self._release = release
        self._limit = limit
        self._flows: dict[ids.TenantId, _Flow] = {}
        self._by_turn = ranking.Ranking()
        self._by_backlog = ranking.Ranking()
        self._services: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )
        self._timers: list[_Timer] = []
        self._sequence = itertools.count()
        self._waiting_weight = 0.0
        self._virtual_time = 0.0
        self._grant_interval = _GrantInterval()
        self._count = 0
        self._nonempty = asyncio.Event()

    def __len__(self) -> int:
        return self._count

    def configure(self, tenant_id: ids.TenantId, weight: float) -> None:
        """Sets a tenant's weight; 0 or less counts as 1."""
        flow = self._flow(tenant_id)
        old = flow.weight
        flow.weight = weight if weight > 0 else _DEFAULT_WEIGHT
        if flow.waiting:
            self._waiting_weight += flow.weight - old
            self._rank(tenant_id, flow)

    def remove_tenant(self, tenant_id: ids.TenantId) -> None:
        """Resets a tenant to the default weight; its requests stay queued."""
        flow = self._flows.get(tenant_id)
        if flow is None:
            return
        self.configure(tenant_id, _DEFAULT_WEIGHT)
        if not flow.waiting:
            del self._flows[tenant_id]

    async def enter(self, request: AdmissionRequest) -> Grant:
        """Waits for capacity and returns what ``try_reserve`` returned.

        If the caller is cancelled after the grant, the grant is released.

        :raises Overloaded: there is no capacity in time; the request did
            not run.
        """
        flow = self._flow(request.tenant_id)
        self.expire()
        self._refuse_expired(request)
        if not self._services[request.service_id]:
            grant = self._try_reserve(request)
            if grant is not None:
                self._charge(flow)
                self._rank(request.tenant_id, flow)
                return grant
        self._refuse_long_wait(flow, request)
        self._refuse_overflow(flow, request)
        waiter = self._enqueue(flow, request)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def wake(self) -> None:
        """Grants freed capacity to queued requests; call on each release."""
        self.expire()
        full: set[ids.ServiceId] = set()
        cursor = None
        while len(full) < len(self._services):
            rank = self._by_turn.first(after=cursor)
            if rank is None:
                return
            waiter = self._flows[rank.tenant_id].oldest(full)
            if waiter is None:
                cursor = rank
            elif not self._serve(waiter):
                full.add(waiter.request.service_id)

    def expire(self) -> None:
        """Refuses queued requests that can no longer start in time."""
        now_s = self._clock.monotonic()
        while self._timers and self._timers[0].at_s <= now_s:
            waiter = heapq.heappop(self._timers).waiter
            if not waiter.granted.done():
                self._refuse(waiter, 'the deadline passed in the queue')

    async def run(self) -> None:
        """Calls ``expire`` periodically until cancelled."""
        while True:
            await self._nonempty.wait()
            await self._clock.sleep(_EXPIRY_INTERVAL_S)
            self.expire()

    def close(self, reason: str) -> None:
        """Refuses all queued requests, for example before a shutdown."""
        for flow in list(self._flows.values()):
            for waiter in list(flow.waiting.items()):
                self._refuse(waiter, reason)

    def expected_wait_s(self, tenant_id: ids.TenantId) -> float:
        """Estimates how long a new request of the tenant would wait.

        The estimate is the mean interval between grants times the number of
        grants up to this request's turn. If it is longer, the mean interval
        between the tenant's own grants times the position in the tenant's
        queue is returned, since requests of other tenants that arrive later
        may be served first. 0 while no request waits.
        """
        return self._estimate_s(self._flow(tenant_id))

    def _estimate_s(self, flow: _Flow) -> float:
        if not self._count:
            return 0.0
        now_s = self._clock.monotonic()
        position = len(flow.waiting) + 1
        weights = self._waiting_weight
        own_s = 0.0
        if flow.waiting:
            own_s = position * flow.grant_interval.interval_s(now_s)
        else:
            weights += flow.weight
        turns = min(position * weights / flow.weight, self._count + 1)
        return max(own_s, turns * self._grant_interval.interval_s(now_s))

    def _refuse_expired(self, request: AdmissionRequest) -> None:
        if request.latest_start_s <= self._clock.monotonic():
            raise exceptions.Overloaded(
                'the deadline leaves no time to run',
                retry_after_ms=_MIN_RETRY_AFTER_MS,
            )

    def _refuse_long_wait(
        self, flow: _Flow, request: AdmissionRequest
    ) -> None:
        left_s = request.latest_start_s - self._clock.monotonic()
        left_s = min(left_s, request.max_wait_s)
        wait_s = self._estimate_s(flow)
        if wait_s > left_s:
            raise exceptions.Overloaded(
                'the expected wait is too long for the deadline',
                retry_after_ms=_retry_after_ms(wait_s - left_s),
            )

    def _refuse_overflow(self, flow: _Flow, request: AdmissionRequest) -> None:
        if self._count < self._limit:
            return
        worst = self._by_backlog.last()
        excess = (len(flow.waiting) + 1) / flow.weight
        if worst is None or excess >= worst.value:
            raise exceptions.Overloaded(
                'the queue is full',
                retry_after_ms=_retry_after_ms(self._estimate_s(flow)),
            )
        self._refuse(
            self._flows[worst.tenant_id].newest(),
            'the queue is full and the tenant is over its share',
        )

    def _enqueue(self, flow: _Flow, request: AdmissionRequest) -> _Waiter:
        sequence = next(self._sequence)
        waiter = _Waiter(
            request=request,
            key=str(sequence),
            sequence=sequence,
            granted=asyncio.get_running_loop().create_future(),
        )
        now_s = self._clock.monotonic()
        if not self._count:
            self._grant_interval.restart(now_s)
            self._nonempty.set()
        if not flow.waiting:
            flow.grant_interval.restart(now_s)
            self._waiting_weight += flow.weight
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        self._count += 1
        self._services[request.service_id] += 1
        flow.waiting.add(request.service_id, waiter.key, waiter)
        self._rank(request.tenant_id, flow)
        self._add_timer(waiter)
        return waiter

    def _add_timer(self, waiter: _Waiter) -> None:
        if len(self._timers) > 2 * self._count + _MAX_STALE_TIMERS:
            self._timers = [
                timer
                for timer in self._timers
                if not timer.waiter.granted.done()
            ]
            heapq.heapify(self._timers)
        timer = _Timer(waiter.request.latest_start_s, waiter.sequence, waiter)
        heapq.heappush(self._timers, timer)

    def _serve(self, waiter: _Waiter) -> bool:
        """Grants capacity; returns whether the waiter left the queue."""
        if waiter.granted.done():
            # The caller was cancelled but its coroutine has not run since.
            self._dequeue(waiter)
            return True
        try:
            grant = self._try_reserve(waiter.request)
        except exceptions.AmaranthflowError as exc:
            self._dequeue(waiter)
            waiter.granted.set_exception(exc)
            return True
        if grant is None:
            return False
        flow = self._flows[waiter.request.tenant_id]
        now_s = self._clock.monotonic()
        self._charge(flow)
        self._grant_interval.note_grant(now_s)
        flow.grant_interval.note_grant(now_s)
        self._dequeue(waiter)
        waiter.granted.set_result(grant)
        return True

    def _charge(self, flow: _Flow) -> None:
        if not flow.waiting:
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        self._virtual_time = max(flow.virtual_time, self._virtual_time)
        flow.virtual_time += 1.0 / flow.weight

    def _abandon(self, waiter: _Waiter) -> None:
        granted = waiter.granted
        if granted.cancelled() or not granted.done():
            self._dequeue(waiter)
        elif granted.exception() is None:
            self._release(granted.result())
            self.wake()

    def _refuse(self, waiter: _Waiter, reason: str) -> None:
        self._dequeue(waiter)
        if waiter.granted.done():
            return
        wait_s = self._estimate_s(self._flow(waiter.request.tenant_id))
        waiter.granted.set_exception(
            exceptions.Overloaded(
                reason, retry_after_ms=_retry_after_ms(wait_s)
            )
        )

    def _dequeue(self, waiter: _Waiter) -> None:
        request = waiter.request
        flow = self._flows[request.tenant_id]
        removal = flow.waiting.remove(request.service_id, waiter.key)
        if removal is lanes.Removal.ABSENT:
            return
        self._count -= 1
        self._services[request.service_id] -= 1
        if not self._services[request.service_id]:
            del self._services[request.service_id]
        if not flow.waiting:
            self._waiting_weight -= flow.weight
        if not self._count:
            self._waiting_weight = 0.0
            self._nonempty.clear()
        self._rank(request.tenant_id, flow)

    def _rank(self, tenant_id: ids.TenantId, flow: _Flow) -> None:
        if not flow.waiting:
            self._by_turn.discard(tenant_id)
            self._by_backlog.discard(tenant_id)
            return
        excess = len(flow.waiting) / flow.weight
        turn = ranking.Rank(0, flow.virtual_time, tenant_id)
        self._by_turn.place(turn)
        self._by_backlog.place(ranking.Rank(0, excess, tenant_id))

    def _flow(self, tenant_id: ids.TenantId) -> _Flow:
        flow = self._flows.get(tenant_id)
        if flow is None:
            if len(self._flows) >= MAX_TENANTS:
                self._forget_idle()
            flow = _Flow()
            self._flows[tenant_id] = flow
        return flow

    def _forget_idle(self) -> None:
        self._flows = {
            tenant_id: flow
            for tenant_id, flow in self._flows.items()
            if flow.waiting or flow.weight != _DEFAULT_WEIGHT
        }


def _sequence(waiter: _Waiter) -> int:
    return waiter.sequence


def _retry_after_ms(wait_s: float) -> int:
    return max(_MIN_RETRY_AFTER_MS, round(wait_s * _MS_PER_S))
