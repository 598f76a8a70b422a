"""Simulates an admission queue under a multiple of its capacity."""

import asyncio
import dataclasses
import math
import random
import typing as t

from amaranthflow import admission
from amaranthflow import exceptions
from amaranthflow import ids

from . import virtual_time

_SLOTS = 64
_RUN_S = 0.05
_MAX_RUN_FACTOR = 1.5
_DEADLINE_S = 0.5
_TENANTS = 8
_GREEDY_SHARE = 0.5
_CAPACITY_PER_S = _SLOTS / _RUN_S
_US_PER_S = 1_000_000


@dataclasses.dataclass(slots=True)
class Report:
    """Outcome of a run at one load.

    :ivar load: arrival rate relative to the capacity.
    :ivar goodput: answers before the deadline, relative to the capacity of
        the slots until the last answer.
    :ivar late: fraction of requests answered after the deadline.
    :ivar p99_s: 99th percentile of the response time of requests that ran.
    :ivar tenants: fraction of requests answered before the deadline, for each
        tenant; the first one sends half of all requests.
    :ivar refused_after_s: mean time until a refusal.
    """

    load: float
    goodput: float
    late: float
    p99_s: float
    tenants: list[float]
    refused_after_s: float


class _Slots:
    """A pool of equal slots."""

    def __init__(self):
        self.free = _SLOTS

    def try_reserve(self, request: admission.AdmissionRequest) -> bool | None:
        if not self.free:
            return None
        self.free -= 1
        return True

    def release(self, grant: bool) -> None:
        self.free += 1


class OverloadDriver:
    """Poisson arrivals of 8 tenants, one of which sends half of all requests.

    :param make_queue: creates the queue from the arguments of
        ``AdmissionQueue``.
    """

    def __init__(
        self,
        *,
        seed: int,
        load: float,
        seconds: float,
        make_queue: t.Callable = admission.AdmissionQueue,
        max_wait_s: float = math.inf,
    ):
        self._rng = random.Random(seed)
        self._load = load
        self._seconds = seconds
        self._make_queue = make_queue
        self._max_wait_s = max_wait_s
        self._slots = _Slots()
        self._times_s: list[float] = []
        self._refused_s: list[float] = []
        self._sent = [0] * _TENANTS
        self._answered = [0] * _TENANTS
        self._late = 0

    def run(self) -> Report:
        """Runs the simulation in virtual time and returns its report."""
        took_s = virtual_time.run(self._main)
        in_time = sum(self._answered)
        return Report(
            load=self._load,
            goodput=in_time / (_CAPACITY_PER_S * took_s),
            late=self._late / sum(self._sent),
            p99_s=sorted(self._times_s)[int(len(self._times_s) * 0.99)],
            tenants=[
                answered / max(1, sent)
                for answered, sent in zip(
                    self._answered, self._sent, strict=True
                )
            ],
            refused_after_s=sum(self._refused_s)
            / max(1, len(self._refused_s)),
        )

    async def _main(self, loop: virtual_time.VirtualLoop) -> float:
        queue = self._make_queue(
            clock=loop,
            try_reserve=self._slots.try_reserve,
            release=self._slots.release,
        )
        expiry = asyncio.create_task(queue.run())
        async with asyncio.TaskGroup() as group:
            number = 0
            while loop.time() < self._seconds:
                rate = self._load * _CAPACITY_PER_S
                await loop.sleep(self._rng.expovariate(rate))
                group.create_task(self._request(loop, queue, number))
                number += 1
        expiry.cancel()
        return loop.time()

    async def _request(self, loop, queue, number: int) -> None:
        tenant = 0
        if self._rng.random() >= _GREEDY_SHARE:
            tenant = self._rng.randrange(1, _TENANTS)
        self._sent[tenant] += 1
        run_s = (
            self._rng.uniform(2 - _MAX_RUN_FACTOR, _MAX_RUN_FACTOR) * _RUN_S
        )
        start_s = loop.time()
        request = admission.AdmissionRequest(
            request_id=ids.RequestId(str(number)),
            tenant_id=ids.TenantId(f't{tenant}'),
            service_id=ids.ServiceId('s'),
            deadline_s=start_s + _DEADLINE_S,
            run_s=_MAX_RUN_FACTOR * _RUN_S,
            max_wait_s=self._max_wait_s,
        )
        try:
            grant = await queue.enter(request)
        except exceptions.Overloaded:
            self._refused_s.append(loop.time() - start_s)
            return
        await loop.sleep(run_s)
        self._slots.release(grant)
        queue.wake()
        self._count(tenant, loop.time() - start_s)

    def _count(self, tenant: int, took_s: float) -> None:
        self._times_s.append(took_s)
        if took_s <= _DEADLINE_S:
            self._answered[tenant] += 1
        else:
            self._late += 1
