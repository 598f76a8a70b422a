"""A mixed load of two tenants: latency-critical requests and batch jobs."""

import asyncio
import base64
import dataclasses
import json
import random
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import ids
from amaranthflow import verdict as verdict_lib

from . import balancer as balancer_lib
from . import caller as caller_lib
from . import observations
from . import program

_REQUEST_TRIES = 6
_REQUEST_LIMIT_S = 3.0
_REQUEST_TIMEOUT_MS = 2000
_JOB_TRIES = 20
_RETRY_MS = 25
_JOB_RETRY_MS = 250
_JOB_POLL_S = 0.5
_FINISHED = ('completed', 'cancelled', 'set-aside')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TenantLoad:
    """What one tenant sends. Arrivals are Poisson processes.

    :ivar wave_jobs: jobs submitted at once in the middle of the load.
    """

    tenant_id: ids.TenantId
    service_id: ids.ServiceId
    task_class: ids.TaskClass
    calls_per_s: float
    jobs_per_s: float
    wave_jobs: int
    non_idempotent_share: float = 0.5
    cancel_share: float = 0.05
    urgent_share: float = 0.1


class Load:
    """Drives the load of all tenants and records what they see."""

    def __init__(
        self,
        *,
        caller: caller_lib.Caller,
        balancer: balancer_lib.Balancer,
        clock: clock_lib.Clock,
        rng: random.Random,
        tenants: t.Sequence[TenantLoad],
        seen: observations.Observations,
    ):
        self._caller = caller
        self._balancer = balancer
        self._clock = clock
        self._rng = rng
        self._tenants = tenants
        self._seen = seen
        self._tasks: set[asyncio.Task] = set()
        self._job_numbers = dict.fromkeys(
            (tenant.tenant_id for tenant in tenants), 0
        )

    @property
    def unfinished(self) -> int:
        """Requests and jobs that have not ended yet."""
        return len(self._tasks)

    async def run(self, seconds: float) -> None:
        """Sends for a time; what was sent may still be under way."""
        async with asyncio.TaskGroup() as group:
            for tenant in self._tenants:
                calls = self._arrivals(
                    tenant, tenant.calls_per_s, seconds, self._begin_request
                )
                jobs = self._arrivals(
                    tenant, tenant.jobs_per_s, seconds, self._begin_job
                )
                group.create_task(calls)
                group.create_task(jobs)
                group.create_task(self._wave(tenant, seconds / 2))

    async def finish(self, seconds: float) -> None:
        """Waits for what is under way, then gives up."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def probe(self, tenant: TenantLoad) -> bool:
        """Sends one request that is not counted; tells if it completed."""
        record = self._new_request(tenant, 'probe')
        await self._follow_request(tenant, record, b'probe')
        return bool(record.right_answer)

    async def _arrivals(
        self,
        tenant: TenantLoad,
        rate_per_s: float,
        seconds: float,
        begin: t.Callable[[TenantLoad], None],
    ) -> None:
        start_s = self._clock.monotonic()
        due_s = start_s + self._rng.expovariate(rate_per_s)
        while due_s < start_s + seconds:
            await self._clock.sleep(max(0, due_s - self._clock.monotonic()))
            begin(tenant)
            due_s += self._rng.expovariate(rate_per_s)

    async def _wave(self, tenant: TenantLoad, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        for _ in range(tenant.wave_jobs):
            self._begin_job(tenant)

    def _spawn(self, work: t.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_request(
        self, tenant: TenantLoad, prefix: str
    ) -> observations.RequestRecord:
        number = len(self._seen.requests)
        return observations.RequestRecord(
            request_id=ids.RequestId(
                f'{prefix}-{number}-{self._rng.getrandbits(32):08x}'
            ),
            tenant_id=tenant.tenant_id,
            idempotent=self._rng.random() >= tenant.non_idempotent_share,
        )

    def _begin_request(self, tenant: TenantLoad) -> None:
        record = self._new_request(tenant, 'request')
        self._seen.requests.append(record)
        payload = self._rng.randbytes(self._rng.randrange(100, 4000))
        self._spawn(self._follow_request(tenant, record, payload))

    async def _follow_request(
        self,
        tenant: TenantLoad,
        record: observations.RequestRecord,
        payload: bytes,
    ) -> None:
        expected = program.answer_to(
            tenant.tenant_id, tenant.service_id, record.request_id, payload
        )
        give_up_s = self._clock.monotonic() + _REQUEST_LIMIT_S
        avoid: set[ids.InstanceId] = set()
        while len(record.tries) < _REQUEST_TRIES:
            instance_id = self._balancer.choose(avoid)
            if instance_id is None:
                await self._pause(_RETRY_MS)
                if self._clock.monotonic() > give_up_s:
                    return
                continue
            reply = await self._caller.call(
                instance_id,
                record,
                tenant.service_id,
                payload,
                _REQUEST_TIMEOUT_MS,
            )
            record.tries.append(reply.outcome)
            if reply.status == 200:
                record.right_answer = caller_lib.answer_is_right(
                    reply, record, expected
                )
                return
            if not _may_retry(reply, record.idempotent):
                return
            if self._clock.monotonic() > give_up_s:
                return
            avoid.add(instance_id)
            if reply.outcome.told:
                await self._pause(reply.retry_after_ms or _RETRY_MS)

    async def _pause(self, delay_ms: float) -> None:
        await self._clock.sleep(delay_ms / 1000 * self._rng.uniform(0.5, 1.0))

    def _begin_job(self, tenant: TenantLoad) -> None:
        self._job_numbers[tenant.tenant_id] += 1
        number = self._job_numbers[tenant.tenant_id]
        # Both tenants use the same ids, but for a few that only one has.
        private = number % 10 == 0
        name = f'{tenant.tenant_id}-{number}' if private else f'job-{number}'
        record = observations.JobRecord(
            job_id=ids.JobId(name),
            tenant_id=tenant.tenant_id,
            idempotent=self._rng.random() >= tenant.non_idempotent_share,
        )
        self._seen.jobs.append(record)
        run_ms = self._rng.randrange(200, 1500)
        cancel = self._rng.random() < tenant.cancel_share
        urgent = self._rng.random() < tenant.urgent_share
        fields = {
            'job_id': record.job_id,
            'task_class': tenant.task_class,
            'cores': 1.0,
            'memory_mb': 1000,
            # The declared run time is far from the true one.
            'run_ms': round(run_ms * self._rng.uniform(0.2, 5.0)),
            'idempotent': record.idempotent,
            'urgent': urgent,
        }
        payload = json.dumps({'run_ms': run_ms, 'label': record.label})
        self._spawn(
            self._follow_job(record, fields, payload.encode(), cancel, private)
        )

    async def _follow_job(
        self,
        record: observations.JobRecord,
        fields: dict,
        payload: bytes,
        cancel: bool,
        private: bool,
    ) -> None:
        await self._submit(record, fields, payload)
        if not record.accepted:
            return
        if private:
            await self._read_as_others(record)
        if cancel:
            await self._cancel(record)
        while record.phase not in _FINISHED:
            await self._clock.sleep(_JOB_POLL_S * self._rng.uniform(0.8, 1.2))
            await self._poll(record, payload)

    async def _submit(
        self, record: observations.JobRecord, fields: dict, payload: bytes
    ) -> None:
        for _ in range(_JOB_TRIES):
            instance_id = self._balancer.choose()
            if instance_id is not None:
                reply = await self._caller.submit(
                    instance_id, record, fields, payload
                )
                record.tries.append(reply.outcome)
                if reply.status in (200, 202):
                    record.accepted = True
                    return
                if reply.status in (400, 403, 404, 413):
                    return
            await self._pause(_JOB_RETRY_MS)

    async def _read_as_others(self, record: observations.JobRecord) -> None:
        for tenant in self._tenants:
            instance_id = self._balancer.choose()
            if tenant.tenant_id == record.tenant_id or instance_id is None:
                continue
            reply = await self._caller.job(
                instance_id, tenant.tenant_id, record.job_id
            )
            if reply.status == 200:
                self._seen.foreign_reads.append(record.label)

    async def _cancel(self, record: observations.JobRecord) -> None:
        instance_id = self._balancer.choose()
        if instance_id is None:
            return
        record.cancel_sent = True
        await self._caller.job(
            instance_id, record.tenant_id, record.job_id, 'DELETE'
        )

    async def _poll(
        self, record: observations.JobRecord, payload: bytes
    ) -> None:
        instance_id = self._balancer.choose()
        if instance_id is None:
            return
        reply = await self._caller.job(
            instance_id, record.tenant_id, record.job_id
        )
        if reply.status != 200:
            return
        fields = reply.fields()
        record.phase = str(fields.get('phase', ''))
        record.reason = str(fields.get('reason', ''))
        record.ended_s = self._clock.monotonic()
        if record.phase == 'completed':
            result = base64.b64decode(fields.get('result') or '')
            record.right_result = result == program.result_of(payload)


def _may_retry(reply: caller_lib.Reply, idempotent: bool) -> bool:
    if reply.status in (400, 403, 404, 413):
        return False
    not_run = reply.outcome.verdict is verdict_lib.Verdict.NOT_RUN
    return not_run or idempotent
