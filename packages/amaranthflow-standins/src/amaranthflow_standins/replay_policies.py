"""Scheduling policies under replay: the full one and the baselines."""

import collections
import random
import typing as t

from amaranthflow import fairness
from amaranthflow import first_fit
from amaranthflow import health as health_lib
from amaranthflow import ids
from amaranthflow import interference
from amaranthflow import learning
from amaranthflow import placement
from amaranthflow import platform
from amaranthflow import relief as relief_lib
from amaranthflow import sizes
from amaranthflow import world
from amaranthflow_schema.v1 import world_pb2

_SLOWDOWN_LIMIT = 1.5
_AGING_PERIOD_MS = 10_000


class Policy(t.Protocol):
    """Interface between a replay and a policy. Times are ms of the trace."""

    placer: world.Placer

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Adds a tenant."""

    def add_worker(self, ledger: world.WorkerLedger) -> None:
        """Adds a worker."""

    def worker_lost(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Handles a worker that has lost all its tasks."""

    def set_reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Reserves capacity on a worker for booked growth."""

    def size_for(self, job: world_pb2.Job) -> world.Size:
        """Returns the size to reserve for the task of a job."""

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting batch task."""

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting batch task."""

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields batch tasks in the order in which to place them."""

    def avoid(
        self, task: world.Task, now_ms: int
    ) -> t.Collection[ids.WorkerId]:
        """Returns workers on which a task must not be placed."""

    def task_started(
        self, task: world.Task, worker_id: ids.WorkerId, now_ms: int
    ) -> None:
        """Handles the start of a task."""

    def task_ended(
        self,
        task: world.Task,
        worker_id: ids.WorkerId,
        phase: platform.TaskPhase,
        now_ms: int,
    ) -> bool:
        """Handles the end of a task; returns False if its job is set aside."""

    def refresh(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Handles a change of a worker's ledger."""

    def learn_usage(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Handles delayed usage reports of a worker."""

    def relieve(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns the relief steps due on a worker; called every second."""

    def drain(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns the steps for a worker that leaves by a booked change."""


class FirstFitPolicy:
    """Baseline: first fit by declared sizes, FIFO, no learning or relief."""

    def __init__(self):
        self.placer: world.Placer = first_fit.FirstFitPlacer()
        self._waiting: collections.OrderedDict[ids.TaskId, world.Task] = (
            collections.OrderedDict()
        )
        self._failures: collections.Counter[ids.JobId] = collections.Counter()

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Ignores tenants."""

    def add_worker(self, ledger: world.WorkerLedger) -> None:
        """Adds a worker."""
        self.placer.add(ledger)

    def worker_lost(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Does nothing."""

    def set_reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Ignores bookings."""

    def size_for(self, job: world_pb2.Job) -> world.Size:
        """Returns the declared size."""
        return world.Size.from_message(job.declared)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a task at the end of the queue."""
        self._waiting[task.task_id] = task

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting task."""
        return self._waiting.pop(task_id, None) is not None

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields the head of the queue until one does not start."""
        while self._waiting:
            head = next(iter(self._waiting.values()))
            yield head
            if head.task_id in self._waiting:
                return

    def avoid(
        self, task: world.Task, now_ms: int
    ) -> t.Collection[ids.WorkerId]:
        """Returns no workers."""
        return ()

    def task_started(
        self, task: world.Task, worker_id: ids.WorkerId, now_ms: int
    ) -> None:
        """Removes the task from the queue."""
        self._waiting.pop(task.task_id, None)

    def task_ended(
        self,
        task: world.Task,
        worker_id: ids.WorkerId,
        phase: platform.TaskPhase,
        now_ms: int,
    ) -> bool:
        """Sets a job aside after its third failure."""
        if phase is not platform.TaskPhase.FAILED:
            return True
        job = ids.split_batch_task_id(task.task_id)
        if job is None:
            return True
        self._failures[job[0]] += 1
        return self._failures[job[0]] < health_lib.WORKERS_TO_SET_ASIDE

    def refresh(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Does nothing."""

    def learn_usage(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Learns nothing."""
        return ()

    def relieve(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns no steps."""
        return ()

    def drain(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns no steps; tasks run until the worker stops."""
        return ()


class FullPolicy:
    """All decisions of the scheduler, as made by the daemon."""

    def __init__(self, *, capacity: world.Size, slots: int, seed: int):
        rng = random.Random(seed)
        self.model = interference.InterferenceModel()
        self.sizes = sizes.SizeModel()
        self.relief = relief_lib.Relief(
            model=self.model,
            policy=relief_lib.ReliefPolicy(slowdown_limit=_SLOWDOWN_LIMIT),
        )
        self.learner = learning.UsageLearner(
            interference=self.model, sizes=self.sizes, relief=self.relief
        )
        self.placer = placement.InterferencePlacer(
            model=self.model, slowdown_limit=_SLOWDOWN_LIMIT
        )
        self.queue = fairness.FairQueue(capacity=capacity, slots=slots)
        self._jobs = health_lib.JobHealth()
        self._health = health_lib.WorkerHealth(rng=rng, jobs=self._jobs)
        self._calls = health_lib.CallHealth(rng=rng)
        self._ledgers: dict[ids.WorkerId, world.WorkerLedger] = {}
        self._last_aging_ms = 0

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Adds a tenant."""
        self.queue.configure(tenant)

    def add_worker(self, ledger: world.WorkerLedger) -> None:
        """Adds a worker."""
        self._ledgers[ledger.worker.worker_id] = ledger
        self.placer.add(ledger)
        self._health.add(ledger.worker.worker_id)
        self._calls.add(ledger.worker.worker_id)

    def worker_lost(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Discards the state of a worker and releases its holds."""
        self.relief.forget(ledger.worker.worker_id)
        self.learner.forget(ledger.worker.worker_id)
        ledger.accepting_batch = True
        self.queue.release_worker(ledger.worker.worker_id)

    def set_reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Reserves capacity for booked growth."""
        self.placer.set_reserve(worker_id, size)

    def size_for(self, job: world_pb2.Job) -> world.Size:
        """Returns the learned size."""
        declared = world.Size.from_message(job.declared)
        return self.sizes.size_for(job.tenant_id, job.task_class, declared)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting task."""
        self.queue.push(task, now_ms)

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting task."""
        return self.queue.cancel(task_id)

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields tasks in fair order, with their learned sizes.

        A task that was queued with its declared size gets the learned one.
        """
        for task in self.queue.candidates(now_ms):
            task.size = self.sizes.size_for(
                task.tenant_id, task.task_class, task.size
            )
            yield task
        self._hold_workers(now_ms)

    def _hold_workers(self, now_ms: int) -> None:
        """Holds the least loaded worker for each starving task."""
        for task in self.queue.starving_tasks(now_ms):
            avoid = self.avoid(task, now_ms)
            ledgers = [
                ledger
                for worker_id, ledger in self._ledgers.items()
                if worker_id not in avoid
                and ledger.accepting_batch
                and not ledger.leaving
                and task.size.fits(ledger.worker.capacity)
            ]
            if ledgers:
                least_loaded = min(ledgers, key=_load)
                worker_id = least_loaded.worker.worker_id
                self.queue.hold(task.task_id, worker_id, now_ms)

    def avoid(
        self, task: world.Task, now_ms: int
    ) -> t.Collection[ids.WorkerId]:
        """Returns workers that are quarantined, held, or failed the job."""
        if task.kind is world.TaskKind.LATENCY:
            return self._calls.avoid(_service(task), now_ms)
        avoid = self._health.avoid(now_ms) | self.queue.avoid(task)
        job = ids.split_batch_task_id(task.task_id)
        return avoid | self._jobs.workers(job[0])

    def task_started(
        self, task: world.Task, worker_id: ids.WorkerId, now_ms: int
    ) -> None:
        """Counts a start."""
        if task.kind is world.TaskKind.LATENCY:
            self._calls.started(
                _service(task), worker_id, task.task_id, now_ms
            )
            return
        self.queue.started(task)
        self._health.started(worker_id, task.task_id, now_ms)

    def task_ended(
        self,
        task: world.Task,
        worker_id: ids.WorkerId,
        phase: platform.TaskPhase,
        now_ms: int,
    ) -> bool:
        """Counts an end; returns False if the job is set aside."""
        if task.kind is world.TaskKind.LATENCY:
            self._call_ended(task, worker_id, phase, now_ms)
            return True
        self.queue.ended(task.task_id)
        job_id, _ = ids.split_batch_task_id(task.task_id)
        return self._attempt_ended(task, job_id, worker_id, phase, now_ms)

    def refresh(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Updates the placement index and the learner."""
        self.placer.refresh(ledger.worker.worker_id)
        self.learner.note_tasks(ledger, now_ms)

    def learn_usage(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Learns from delayed reports."""
        if now_ms - self._last_aging_ms >= _AGING_PERIOD_MS:
            self._last_aging_ms = now_ms
            self.model.advance(now_ms)
        self.learner.learn(ledger, reports, now_ms)
        self.placer.refresh(ledger.worker.worker_id)
        return ()

    def relieve(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns the relief steps due now."""
        return self.relief.decide(ledger, now_ms)

    def drain(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns a move of each batch task."""
        return tuple(
            _move(ledger, task, 'the worker leaves by a booked change')
            for task in ledger.tasks.values()
            if task.kind is world.TaskKind.BATCH
        )

    def _call_ended(self, task, worker_id, phase, now_ms) -> None:
        args = _service(task), worker_id, task.task_id
        if phase is platform.TaskPhase.COMPLETED:
            self._calls.succeeded(*args, now_ms)
        elif phase is platform.TaskPhase.FAILED:
            self._calls.failed(*args, now_ms)
        else:
            self._calls.stopped(*args)

    def _attempt_ended(self, task, job_id, worker_id, phase, now_ms) -> bool:
        if phase is platform.TaskPhase.COMPLETED:
            self._health.succeeded(worker_id, job_id, task.task_id, now_ms)
            return True
        if phase is not platform.TaskPhase.FAILED:
            self._health.stopped(worker_id, task.task_id)
            return True
        findings = self._health.failed(
            worker_id, job_id, task.task_id, 'the task failed', now_ms
        )
        set_aside = health_lib.FindingKind.JOB_SET_ASIDE
        return all(finding.kind is not set_aside for finding in findings)


class EvictingPolicy(FullPolicy):
    """Full policy, but each measured breach evicts a task at once."""

    def learn_usage(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Learns, and returns an eviction for each report over the limit."""
        super().learn_usage(ledger, reports, now_ms)
        steps = []
        evicted = set()
        for report in reports:
            victim = self._victim(ledger, report, evicted)
            if victim is not None:
                evicted.add(victim.task_id)
                steps.append(_move(ledger, victim, 'the first breach'))
        return tuple(steps)

    def relieve(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns no other steps."""
        return ()

    def _victim(self, ledger, report, evicted) -> world.Task | None:
        services = {
            task.task_class
            for task in ledger.tasks.values()
            if task.kind is world.TaskKind.LATENCY
        }
        if report.task_class not in services:
            return None
        if report.slowdown <= _SLOWDOWN_LIMIT:
            return None
        batch = [
            task
            for task in ledger.tasks.values()
            if task.kind is world.TaskKind.BATCH
            and task.task_id not in evicted
        ]
        return max(
            batch,
            key=lambda task: self.model.excess(
                report.task_class, task.task_class
            ),
            default=None,
        )


def _move(
    ledger: world.WorkerLedger, task: world.Task, reason: str
) -> relief_lib.Step:
    return relief_lib.Step(
        kind=relief_lib.StepKind.MOVE,
        worker_id=ledger.worker.worker_id,
        task_id=task.task_id,
        reason=reason,
    )


def _load(ledger: world.WorkerLedger) -> tuple[float, ids.WorkerId]:
    worker = ledger.worker
    return ledger.used.dominant_share(worker.capacity), worker.worker_id


def _service(task: world.Task) -> ids.ServiceId:
    return ids.ServiceId(task.task_class)
