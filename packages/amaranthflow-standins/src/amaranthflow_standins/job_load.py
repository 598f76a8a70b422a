"""Submits batch jobs, cancels some, and polls them until they end."""

import base64
import binascii
import dataclasses
import json
import random
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import ids

from . import balancer as balancer_lib
from . import caller as caller_lib
from . import observations
from . import program

_MAX_SUBMISSIONS = 20
_RETRY_S = 0.25
_POLL_S = 0.5
_FINAL_PHASES = ('completed', 'cancelled', 'set-aside')
_NON_IDEMPOTENT_SHARE = 0.5
_CANCEL_SHARE = 0.05
_URGENT_SHARE = 0.1
_PRIVATE_SHARE = 0.1
_MIN_RUN_MS = 200
_MAX_RUN_MS = 1500
_CORES = 1.0
_MEMORY_MB = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A job to submit, and its record.

    :ivar fields: JSON fields of the submission, without the payload.
    :ivar cancelled: the job is to be cancelled once accepted.
    :ivar private: no other tenant uses the job's id.
    """

    record: observations.JobRecord
    fields: t.Mapping[str, t.Any]
    payload: bytes
    cancelled: bool
    private: bool


def draw(
    tenant_id: ids.TenantId,
    task_class: ids.TaskClass,
    number: str,
    rng: random.Random,
) -> Job:
    """Returns a random job.

    All tenants use the same job ids, except for a share of private ones. The
    declared run time differs from the actual one by a factor of up to five.
    """
    private = rng.random() < _PRIVATE_SHARE
    prefix = tenant_id if private else 'job'
    record = observations.JobRecord(
        job_id=ids.JobId(f'{prefix}-{number}'),
        tenant_id=tenant_id,
        idempotent=rng.random() >= _NON_IDEMPOTENT_SHARE,
    )
    run_ms = rng.randrange(_MIN_RUN_MS, _MAX_RUN_MS)
    fields = {
        'job_id': record.job_id,
        'task_class': task_class,
        'cores': _CORES,
        'memory_mb': _MEMORY_MB,
        'run_ms': round(run_ms * rng.uniform(0.2, 5.0)),
        'idempotent': record.idempotent,
        'urgent': rng.random() < _URGENT_SHARE,
    }
    payload = json.dumps({'run_ms': run_ms, 'label': record.label})
    return Job(
        record=record,
        fields=fields,
        payload=payload.encode(),
        cancelled=rng.random() < _CANCEL_SHARE,
        private=private,
    )


class JobSender:
    """Submits each job under one id until accepted, then polls its phase."""

    def __init__(
        self,
        *,
        caller: caller_lib.Caller,
        balancer: balancer_lib.Balancer,
        clock: clock_lib.Clock,
        rng: random.Random,
        tenant_ids: t.Sequence[ids.TenantId],
        observed: observations.Observations,
    ):
        self._caller = caller
        self._balancer = balancer
        self._clock = clock
        self._rng = rng
        self._tenant_ids = tenant_ids
        self._observed = observed

    async def follow(self, job: Job) -> None:
        """Submits a job and polls it until it ends."""
        await self._submit(job)
        if not job.record.accepted:
            return
        if job.private:
            await self._read_as_other_tenants(job.record)
        if job.cancelled:
            await self._cancel(job.record)
        while job.record.phase not in _FINAL_PHASES:
            await self._pause(_POLL_S)
            await self._poll(job)

    async def _submit(self, job: Job) -> None:
        for _ in range(_MAX_SUBMISSIONS):
            instance_id = self._balancer.choose()
            if instance_id is not None:
                reply = await self._caller.submit(
                    instance_id, job.record, job.fields, job.payload
                )
                job.record.tries.append(reply.outcome)
                if reply.status in (200, 202):
                    job.record.accepted = True
                    return
                if reply.is_final_refusal:
                    return
            await self._pause(_RETRY_S)

    async def _pause(self, seconds: float) -> None:
        await self._clock.sleep(seconds * self._rng.uniform(0.75, 1.25))

    async def _read_as_other_tenants(
        self, record: observations.JobRecord
    ) -> None:
        for tenant_id in self._tenant_ids:
            instance_id = self._balancer.choose()
            if tenant_id == record.tenant_id or instance_id is None:
                continue
            reply = await self._caller.job(
                instance_id, tenant_id, record.job_id
            )
            if reply.status == 200:
                self._observed.foreign_reads.append(record.label)

    async def _cancel(self, record: observations.JobRecord) -> None:
        instance_id = self._balancer.choose()
        if instance_id is None:
            return
        record.cancel_sent = True
        await self._caller.job(
            instance_id, record.tenant_id, record.job_id, 'DELETE'
        )

    async def _poll(self, job: Job) -> None:
        record = job.record
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
        if record.phase == 'completed':
            expected = program.result_of(job.payload)
            record.right_result = _result(fields) == expected


def _result(fields: t.Mapping[str, t.Any]) -> bytes:
    try:
        return base64.b64decode(fields.get('result') or '', validate=True)
    except (binascii.Error, TypeError):
        return b''
