"""Fair queue of the waiting jobs that this instance may place."""

import heapq
import itertools
import typing as t
import zlib

from amaranthflow import fairness
from amaranthflow import holds as holds_lib
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow import sizes
from amaranthflow import state as state_lib
from amaranthflow import world
from amaranthflow_schema.v1 import records_pb2

from . import node as node_lib

_STEAL_DELAY_MS = 500
_MAX_HOLDS = 1
_JOB_RECORDS = {
    'job_submitted',
    'job_cancelled',
    'attempt_started',
    'attempt_ended',
}


def task_id_of(entry: jobs.JobEntry, attempt: int) -> ids.TaskId:
    """Returns the task id of one attempt, unique across all tenants."""
    return ids.batch_task_id(ids.JobId(str(entry.key)), attempt)


class JobQueue:
    """Fair queue over the replicated jobs.

    Usage is counted across all instances. Each waiting job has one home
    among the owners of racks, which avoids contention for its next attempt.
    The other owners may place it after ``_STEAL_DELAY_MS``.
    """

    def __init__(self, *, node: node_lib.Node, sizes: sizes.SizeModel):
        self._node = node
        self._sizes = sizes
        self._queue = fairness.FairQueue(
            capacity=world.ZERO_SIZE, slots=0, hold_limit=_MAX_HOLDS
        )
        self._counted_tasks: dict[jobs.JobKey, ids.TaskId] = {}
        self._deferred: list[tuple[int, int, jobs.JobKey]] = []
        self._sequence = itertools.count()
        self._owners: tuple[str, ...] = ()
        self._tenants: set[str] = set()

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Applies the job changes of a batch of records."""
        if applied.offset == self._node.state.view_offset:
            self._update_owners()
        for record, result in zip(
            applied.batch.records, applied.results, strict=False
        ):
            if result.accepted and record.WhichOneof('kind') in _JOB_RECORDS:
                self._sync(_key_of(record))

    def on_loaded(self) -> None:
        """Rebuilds the queue from the replaced state."""
        self._update_owners()
        for key in set(self._counted_tasks) | set(self._node.state.jobs.jobs):
            self._sync(key)

    def on_config(self) -> None:
        """Applies the tenants' limits and the fleet's capacity."""
        now_ms = self._node.now_ms()
        config = self._node.state.config
        tenants = config.bodies('tenant', now_ms)
        for tenant in tenants.values():
            self._queue.configure(tenant)
        for tenant_id in self._tenants - tenants.keys():
            self._queue.remove_tenant(ids.TenantId(tenant_id))
        self._tenants = set(tenants)
        total, slots = world.ZERO_SIZE, 0
        for worker in config.bodies('worker', now_ms).values():
            total = total.plus(world.Size.from_message(worker.capacity))
            slots += worker.slots
        self._queue.set_capacity(total, slots)

    def candidates(self) -> t.Iterator[tuple[jobs.JobEntry, world.Task]]:
        """Yields waiting jobs in the order to try them, each once."""
        now_ms = self._node.clock.wall_ms()
        self._push_due(now_ms)
        for queued in self._queue.candidates(now_ms):
            key = _key_of_task(queued.task_id)
            entry = self._node.state.jobs.waiting.get(key)
            if entry is not None:
                yield entry, self.task_of(entry, entry.attempt + 1)

    def starving_jobs(self) -> t.Iterator[tuple[jobs.JobEntry, world.Task]]:
        """Yields starving jobs with their home here, to hold a worker for."""
        for queued in self._queue.starving_tasks(self._node.clock.wall_ms()):
            key = _key_of_task(queued.task_id)
            entry = self._node.state.jobs.waiting.get(key)
            if entry is not None and self._is_home(key):
                yield entry, queued

    def hold(self, task: world.Task, worker_id: ids.WorkerId) -> bool:
        """Holds a worker for a waiting job; returns False if it cannot."""
        now_ms = self._node.clock.wall_ms()
        return self._queue.hold(task.task_id, worker_id, now_ms)

    def holds(self) -> tuple[holds_lib.Hold, ...]:
        """Returns the holds, oldest first."""
        return self._queue.holds()

    def drop_stale_holds(self, usable: t.Collection[ids.WorkerId]) -> None:
        """Ends holds on unusable workers and for jobs whose home has moved."""
        for hold in self._queue.holds():
            home = self._is_home(_key_of_task(hold.task_id))
            if not home or hold.worker_id not in usable:
                self._queue.release_worker(hold.worker_id)

    def avoid(self, task: world.Task) -> frozenset[ids.WorkerId]:
        """Returns the workers held for other jobs."""
        return self._queue.avoid(task)

    def launched(self, entry: jobs.JobEntry, task: world.Task) -> None:
        """Counts a task that is being started."""
        self._counted_tasks[entry.key] = task.task_id
        self._queue.started(task)

    def launch_failed(self, entry: jobs.JobEntry) -> None:
        """Stops counting a task whose start failed."""
        self._sync(entry.key)

    def task_of(self, entry: jobs.JobEntry, attempt: int) -> world.Task:
        """Returns the task of an attempt with the size to reserve for it."""
        declared = world.Size.from_message(entry.job.declared)
        tenant_id = entry.key.tenant_id
        task_class = ids.TaskClass(entry.job.task_class)
        return world.Task(
            task_id=task_id_of(entry, attempt),
            tenant_id=tenant_id,
            task_class=task_class,
            kind=world.TaskKind.BATCH,
            size=self._sizes.size_for(tenant_id, task_class, declared),
            urgent=entry.job.urgent,
            evictions=entry.evictions,
        )

    def _sync(self, key: jobs.JobKey) -> None:
        """Synchronizes the queue with the state of one job."""
        counted = self._counted_tasks.pop(key, None)
        if counted is not None:
            self._queue.ended(counted)
        self._queue.cancel_job(ids.JobId(str(key)))
        entry = self._node.state.jobs.jobs.get(key)
        if entry is None or entry.phase.finished:
            return
        if entry.phase is jobs.JobPhase.RUNNING:
            self.launched(entry, self.task_of(entry, entry.attempt))
        elif self._is_home(key):
            self._push(entry, self._node.clock.wall_ms())
        else:
            due_ms = self._node.clock.wall_ms() + _STEAL_DELAY_MS
            heapq.heappush(self._deferred, (due_ms, next(self._sequence), key))

    def _push_due(self, now_ms: int) -> None:
        while self._deferred and self._deferred[0][0] <= now_ms:
            _, _, key = heapq.heappop(self._deferred)
            entry = self._node.state.jobs.waiting.get(key)
            if entry is not None and key not in self._counted_tasks:
                self._push(entry, now_ms)

    def _push(self, entry: jobs.JobEntry, now_ms: int) -> None:
        if len(self._queue) < fairness.MAX_WAITING:
            self._queue.push(self.task_of(entry, entry.attempt + 1), now_ms)

    def _is_home(self, key: jobs.JobKey) -> bool:
        if not self._owners:
            return False
        index = zlib.crc32(str(key).encode()) % len(self._owners)
        return self._owners[index] == self._node.member.instance

    def _update_owners(self) -> None:
        holdings = self._node.state.racks.holdings.values()
        self._owners = tuple(
            sorted({h.owner.instance for h in holdings if not h.released})
        )


def _key_of_task(task_id: ids.TaskId) -> jobs.JobKey:
    job_id, _ = ids.split_batch_task_id(task_id)
    return jobs.JobKey.parse(job_id)


def _key_of(record: records_pb2.Record) -> jobs.JobKey:
    kind = record.WhichOneof('kind')
    body = getattr(record, kind)
    if kind == 'job_submitted':
        body = body.job
    if kind in ('job_submitted', 'job_cancelled'):
        return jobs.JobKey(
            ids.TenantId(body.tenant_id), ids.JobId(body.job_id)
        )
    return jobs.JobKey.parse(body.job_id)
