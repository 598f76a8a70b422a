"""Accepts, cancels and shows batch jobs for callers and operators."""

from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow import results
from amaranthflow import validation
from amaranthflow import verdict
from amaranthflow import world
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import metrics
from . import node as node_lib

_RECORD_TIMEOUT_S = 3.0
_RETRY_AFTER_MS = 1000
_MAX_LISTED_JOBS = 1000


class Submissions:
    """Job operations for a tenant, which sees its own jobs only."""

    def __init__(self, *, node: node_lib.Node):
        self._node = node

    async def submit(self, job: world_pb2.Job) -> operators_pb2.JobReply:
        """Accepts a job once its record is confirmed.

        :raises RequestRefused: the job is invalid or can never run.
        :raises NotReady: the job was not accepted and may be sent again.
        :raises RequestUncertain: the job may have been accepted; sending it
            again is harmless.
        """
        validation.check_job(job)
        self._check_tenant(job.tenant_id)
        self._check_fits(job)
        submitted = records_pb2.JobSubmitted(job=job)
        await self._write(records_pb2.Record(job_submitted=submitted))
        self._node.record_decision(
            job.job_id,
            decisions.DecisionKind.ACCEPTED,
            'the record is confirmed',
            job.tenant_id,
        )
        self._node.metrics.count(
            metrics.Metric.JOBS_ACCEPTED,
            tenant_id=job.tenant_id,
            task_class=job.task_class,
        )
        return self.show(job.tenant_id, job.job_id)

    async def cancel(
        self, tenant_id: str, job_id: str
    ) -> operators_pb2.JobReply:
        """Cancels a waiting job or requests to stop a running one.

        :raises RequestRefused: there is no such job, or it has finished.
        """
        self._entry(tenant_id, job_id)
        cancelled = records_pb2.JobCancelled(
            tenant_id=tenant_id, job_id=job_id
        )
        await self._write(records_pb2.Record(job_cancelled=cancelled))
        return self.show(tenant_id, job_id)

    def show(self, tenant_id: str, job_id: str) -> operators_pb2.JobReply:
        """Returns the state of a job.

        :raises RequestRefused: there is no such job.
        """
        return _describe(self._entry(tenant_id, job_id))

    def list(self, tenant_id: str, limit: int) -> operators_pb2.ListJobsReply:
        """Lists the newest jobs of a tenant, or of all for an empty id."""
        limit = min(limit or _MAX_LISTED_JOBS, _MAX_LISTED_JOBS)
        found = operators_pb2.ListJobsReply()
        for entry in reversed(self._node.state.jobs.jobs.values()):
            if len(found.jobs) >= limit:
                break
            if tenant_id in ('', entry.key.tenant_id):
                found.jobs.append(_describe(entry))
        return found

    def _entry(self, tenant_id: str, job_id: str) -> jobs.JobEntry:
        key = jobs.JobKey(ids.TenantId(tenant_id), ids.JobId(job_id))
        entry = self._node.state.jobs.jobs.get(key)
        if entry is None:
            raise exceptions.RequestRefused('unknown job')
        return entry

    def _check_tenant(self, tenant_id: str) -> None:
        key = f'tenant/{tenant_id}'
        if self._node.state.config.in_force(key, self._node.now_ms()) is None:
            raise exceptions.RequestRefused('unknown tenant')

    def _check_fits(self, job: world_pb2.Job) -> None:
        """Refuses a job that exceeds the quota or fits no worker."""
        now_ms = self._node.now_ms()
        config = self._node.state.config
        size = world.Size.from_message(job.declared)
        quota = config.in_force(f'tenant/{job.tenant_id}', now_ms)
        if not _within_quota(size, quota.change.tenant):
            raise exceptions.RequestRefused('the job exceeds the quota')
        workers = config.bodies('worker', now_ms).values()
        if workers and not any(_fits(size, body) for body in workers):
            raise exceptions.RequestRefused('the job fits no worker')

    async def _write(self, record: records_pb2.Record) -> results.Result:
        if self._node.draining or not self._node.ready:
            raise exceptions.NotReady(
                'the instance does not accept work',
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if not self._node.journal.reachable:
            raise exceptions.NotReady(
                'the log does not answer', retry_after_ms=_RETRY_AFTER_MS
            )
        result = await self._node.journal.write(record, _RECORD_TIMEOUT_S)
        if not result.accepted:
            raise exceptions.RequestRefused(result.reason)
        return result


def _fits(size: world.Size, body: world_pb2.Worker) -> bool:
    return size.fits(world.Size.from_message(body.capacity))


def _within_quota(size: world.Size, tenant: world_pb2.Tenant) -> bool:
    if not tenant.HasField('quota'):
        return True
    return size.fits(world.Size.from_message(tenant.quota))


def _describe(entry: jobs.JobEntry) -> operators_pb2.JobReply:
    return operators_pb2.JobReply(
        verdict=_verdict(entry).value,
        accepted=True,
        reason=entry.reason,
        job_id=entry.key.job_id,
        phase=entry.phase.label,
        attempt=entry.attempt,
        worker_id=entry.worker_id,
        checkpoint=entry.checkpoint,
        evictions=entry.evictions,
        result=entry.result,
    )


def _verdict(entry: jobs.JobEntry) -> verdict.Verdict:
    if entry.phase is jobs.JobPhase.COMPLETED:
        return verdict.Verdict.COMPLETED
    if entry.attempt == 0:
        return verdict.Verdict.NOT_RUN
    return verdict.Verdict.MAY_HAVE_RUN
