"""A mixed load of two tenants: latency-critical requests and batch jobs."""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import ids

from . import balancer as balancer_lib
from . import caller as caller_lib
from . import job_load
from . import observations
from . import request_load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TenantLoad:
    """Load of one tenant. Arrivals are Poisson processes.

    :ivar wave_jobs: jobs submitted at once in the middle of the load.
    """

    tenant_id: ids.TenantId
    service_id: ids.ServiceId
    task_class: ids.TaskClass
    calls_per_s: float
    jobs_per_s: float
    wave_jobs: int


class Load:
    """Generates the load of all tenants and records their observations.

    The same seed gives the same requests and jobs at the same times.

    :ivar errors: exceptions in the load generator; records are then partial.
    """

    def __init__(
        self,
        *,
        caller: caller_lib.Caller,
        balancer: balancer_lib.Balancer,
        clock: clock_lib.Clock,
        seed: int,
        tenants: t.Sequence[TenantLoad],
        observed: observations.Observations,
    ):
        self.errors: list[BaseException] = []
        self._clock = clock
        self._seed = seed
        self._tenants = tenants
        self._observed = observed
        self._tasks: set[asyncio.Task] = set()
        self._requests = request_load.RequestSender(
            caller=caller,
            balancer=balancer,
            clock=clock,
            rng=self._make_rng('request pauses'),
        )
        self._jobs = job_load.JobSender(
            caller=caller,
            balancer=balancer,
            clock=clock,
            rng=self._make_rng('job pauses'),
            tenant_ids=[tenant.tenant_id for tenant in tenants],
            observed=observed,
        )

    @property
    def unfinished(self) -> int:
        """Number of requests and jobs that have not ended yet."""
        return len(self._tasks)

    async def run(self, seconds: float) -> None:
        """Sends load for a time; requests and jobs may end later."""
        async with asyncio.TaskGroup() as group:
            for tenant in self._tenants:
                group.create_task(self._send_requests(tenant, seconds))
                group.create_task(self._send_jobs(tenant, seconds))
                group.create_task(self._send_wave(tenant, seconds / 2))

    async def finish(self, seconds: float) -> None:
        """Waits for requests and jobs in progress, then cancels them."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def probe(self, tenant: TenantLoad) -> bool:
        """Sends an unrecorded request; returns whether it was answered."""
        request = request_load.draw(
            tenant.tenant_id, tenant.service_id, 'probe', random.Random()
        )
        await self._requests.follow(request)
        return bool(request.record.right_answer)

    def _make_rng(self, name: str) -> random.Random:
        return random.Random(f'{self._seed}/{name}')

    async def _send_requests(self, tenant: TenantLoad, seconds: float) -> None:
        rng = self._make_rng(f'requests of {tenant.tenant_id}')
        async for _ in self._arrivals(tenant.calls_per_s, seconds, rng):
            request = request_load.draw(
                tenant.tenant_id, tenant.service_id, 'request', rng
            )
            self._observed.requests.append(request.record)
            self._spawn(self._requests.follow(request))

    async def _send_jobs(self, tenant: TenantLoad, seconds: float) -> None:
        rng = self._make_rng(f'jobs of {tenant.tenant_id}')
        number = 0
        async for _ in self._arrivals(tenant.jobs_per_s, seconds, rng):
            number += 1
            self._start_job(tenant, f'{number}', rng)

    async def _send_wave(self, tenant: TenantLoad, delay_s: float) -> None:
        rng = self._make_rng(f'wave of {tenant.tenant_id}')
        await self._clock.sleep(delay_s)
        for number in range(1, tenant.wave_jobs + 1):
            self._start_job(tenant, f'wave-{number}', rng)

    def _start_job(
        self, tenant: TenantLoad, number: str, rng: random.Random
    ) -> None:
        job = job_load.draw(tenant.tenant_id, tenant.task_class, number, rng)
        self._observed.jobs.append(job.record)
        self._spawn(self._jobs.follow(job))

    async def _arrivals(
        self, rate_per_s: float, seconds: float, rng: random.Random
    ) -> t.AsyncIterator[None]:
        start_s = self._clock.monotonic()
        due_s = start_s + rng.expovariate(rate_per_s)
        while due_s < start_s + seconds:
            await self._clock.sleep(max(0, due_s - self._clock.monotonic()))
            yield
            due_s += rng.expovariate(rate_per_s)

    def _spawn(self, work: t.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())
