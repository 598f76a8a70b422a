"""The waiting jobs that this instance may place, in fair order."""

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

_STEAL_MS = 500
_HOLD_LIMIT = 1
_JOB_RECORDS = {
    'job_submitted',
    'job_cancelled',
    'attempt_started',
    'attempt_ended',
}


def task_id_of(entry: jobs.JobEntry, attempt: int) -> ids.TaskId:
    """Names the task of one attempt; unique over all tenants."""
    return ids.batch_task_id(ids.JobId(str(entry.key)), attempt)


class JobQueue:
    """Fair queue over the replicated jobs.

    Usage counts for all instances. A waiting job has one home among the
    owners of racks, which spares contention for its next attempt; the other
    owners may place it after it has waited for a while.
    """

    def __init__(self, *, node: node_lib.Node, sizes: sizes.SizeModel):
        self._node = node
        self._sizes = sizes
        self._queue = fairness.FairQueue(
            capacity=world.ZERO_SIZE, slots=0, hold_limit=_HOLD_LIMIT
        )
        self._counted: dict[jobs.JobKey, ids.TaskId] = {}
        self._later: list[tuple[int, int, jobs.JobKey]] = []
        self._sequence = itertools.count()
        self._owners: tuple[str, ...] = ()
        self._tenants: set[str] = set()

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Takes over what a batch changed about jobs."""
        if applied.offset == self._node.state.view_offset:
            self._note_owners()
        for record, result in zip(
            applied.batch.records, applied.results, strict=False
        ):
            if result.accepted and record.WhichOneof('kind') in _JOB_RECORDS:
                self._sync(_key_of(record))

    def on_loaded(self) -> None:
        """Starts anew from the replaced state."""
        self._note_owners()
        for key in set(self._counted) | set(self._node.state.jobs.jobs):
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
        """Yields waiting jobs in the order to try them, one round."""
        now_ms = self._node.clock.wall_ms()
        self._push_due(now_ms)
        for queued in self._queue.candidates(now_ms):
            key = _key_of_task(queued.task_id)
            entry = self._node.state.jobs.waiting.get(key)
            if entry is not None:
                yield entry, self.task_of(entry, entry.attempt + 1)

    def overtaken(self) -> t.Iterator[tuple[jobs.JobEntry, world.Task]]:
        """Yields jobs to hold a worker for; only their home does."""
        for queued in self._queue.starving_tasks(self._node.clock.wall_ms()):
            key = _key_of_task(queued.task_id)
            entry = self._node.state.jobs.waiting.get(key)
            if entry is not None and self._is_home(key):
                yield entry, queued

    def hold(self, task: world.Task, worker_id: ids.WorkerId) -> bool:
        """Holds a worker for a waiting job; False where it cannot."""
        now_ms = self._node.clock.wall_ms()
        return self._queue.hold(task.task_id, worker_id, now_ms)

    def holds(self) -> tuple[holds_lib.Hold, ...]:
        """Returns the holds, oldest first."""
        return self._queue.holds()

    def keep_holds(self, usable: t.Collection[ids.WorkerId]) -> None:
        """Ends holds on other workers, and for jobs whose home has moved."""
        for hold in self._queue.holds():
            home = self._is_home(_key_of_task(hold.task_id))
            if not home or hold.worker_id not in usable:
                self._queue.release_worker(hold.worker_id)

    def avoid(self, task: world.Task) -> frozenset[ids.WorkerId]:
        """Returns the workers held for other jobs."""
        return self._queue.avoid(task)

    def launched(self, entry: jobs.JobEntry, task: world.Task) -> None:
        """Counts a task that is being started."""
        self._counted[entry.key] = task.task_id
        self._queue.started(task)

    def failed(self, entry: jobs.JobEntry) -> None:
        """Takes back a start that did not come about."""
        self._sync(entry.key)

    def task_of(self, entry: jobs.JobEntry, attempt: int) -> world.Task:
        """Describes an attempt with the size to reserve for it."""
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
        """Brings the queue in line with one job of the state."""
        counted = self._counted.pop(key, None)
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
            due_ms = self._node.clock.wall_ms() + _STEAL_MS
            heapq.heappush(self._later, (due_ms, next(self._sequence), key))

    def _push_due(self, now_ms: int) -> None:
        while self._later and self._later[0][0] <= now_ms:
            _, _, key = heapq.heappop(self._later)
            entry = self._node.state.jobs.waiting.get(key)
            if entry is not None and key not in self._counted:
                self._push(entry, now_ms)

    def _push(self, entry: jobs.JobEntry, now_ms: int) -> None:
        if len(self._queue) < fairness.MAX_WAITING:
            self._queue.push(self.task_of(entry, entry.attempt + 1), now_ms)

    def _is_home(self, key: jobs.JobKey) -> bool:
        if not self._owners:
            return False
        index = zlib.crc32(str(key).encode()) % len(self._owners)
        return self._owners[index] == self._node.member.instance

    def _note_owners(self) -> None:
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
