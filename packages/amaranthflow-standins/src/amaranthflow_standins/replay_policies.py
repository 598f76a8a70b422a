"""Policies under replay: the whole one, and those it is compared with."""

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
_AGE_PERIOD_MS = 10_000


class Policy(t.Protocol):
    """What a replay asks of a policy. Times are ms of the trace."""

    placer: world.Placer

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Adds a tenant."""

    def add(self, ledger: world.WorkerLedger) -> None:
        """Adds a worker."""

    def lost(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """A worker has lost all its tasks."""

    def reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """A booking asks for room on a worker."""

    def size(self, job: world_pb2.Job) -> world.Size:
        """Returns what to reserve for a job's task."""

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a waiting batch task."""

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting batch task."""

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields batch tasks in the order to place them."""

    def avoid(
        self, task: world.Task, now_ms: int
    ) -> t.Collection[ids.WorkerId]:
        """Returns workers that a task must not get."""

    def started(
        self, task: world.Task, worker_id: ids.WorkerId, now_ms: int
    ) -> None:
        """A task was started."""

    def ended(
        self,
        task: world.Task,
        worker_id: ids.WorkerId,
        phase: platform.TaskPhase,
        now_ms: int,
    ) -> bool:
        """A task ended; False where its job is set aside for good."""

    def changed(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """A worker's ledger has changed."""

    def take(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Late usage reports of a worker."""

    def relieve(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Asked each second for the steps due on a worker."""

    def drain(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """A worker is leaving as booked."""


class NaivePolicy:
    """First fit by declared sizes, FIFO, no learning and no relief."""

    def __init__(self):
        self.placer: world.Placer = first_fit.FirstFitPlacer()
        self._waiting: collections.OrderedDict[ids.TaskId, world.Task] = (
            collections.OrderedDict()
        )
        self._failures: collections.Counter[ids.JobId] = collections.Counter()

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Ignores tenants."""

    def add(self, ledger: world.WorkerLedger) -> None:
        """Adds a worker."""
        self.placer.add(ledger)

    def lost(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Does nothing."""

    def reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Ignores bookings."""

    def size(self, job: world_pb2.Job) -> world.Size:
        """Returns the declared size."""
        return world.Size.from_message(job.declared)

    def push(self, task: world.Task, now_ms: int) -> None:
        """Adds a task at the end."""
        self._waiting[task.task_id] = task

    def cancel(self, task_id: ids.TaskId) -> bool:
        """Removes a waiting task."""
        return self._waiting.pop(task_id, None) is not None

    def candidates(self, now_ms: int) -> t.Iterator[world.Task]:
        """Yields the head until it does not start."""
        while self._waiting:
            head = next(iter(self._waiting.values()))
            yield head
            if head.task_id in self._waiting:
                return

    def avoid(
        self, task: world.Task, now_ms: int
    ) -> t.Collection[ids.WorkerId]:
        """Avoids nothing."""
        return ()

    def started(
        self, task: world.Task, worker_id: ids.WorkerId, now_ms: int
    ) -> None:
        """Takes the task off the queue."""
        self._waiting.pop(task.task_id, None)

    def ended(
        self,
        task: world.Task,
        worker_id: ids.WorkerId,
        phase: platform.TaskPhase,
        now_ms: int,
    ) -> bool:
        """Gives a job up after the third failure."""
        if phase is not platform.TaskPhase.FAILED:
            return True
        job = ids.split_batch_task_id(task.task_id)
        if job is None:
            return True
        self._failures[job[0]] += 1
        return self._failures[job[0]] < health_lib.WORKERS_TO_SET_ASIDE

    def changed(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Does nothing."""

    def take(
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
        """Relieves nothing."""
        return ()

    def drain(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Lets tasks run until the worker stops."""
        return ()


class FullPolicy:
    """All decisions of the scheduler, as the daemon makes them."""

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
        self._aged_at_ms = 0

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Adds a tenant."""
        self.queue.configure(tenant)

    def add(self, ledger: world.WorkerLedger) -> None:
        """Adds a worker."""
        self._ledgers[ledger.worker.worker_id] = ledger
        self.placer.add(ledger)
        self._health.add(ledger.worker.worker_id)
        self._calls.add(ledger.worker.worker_id)

    def lost(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Forgets what was learned of a worker."""
        self.relief.forget(ledger.worker.worker_id)
        self.learner.forget(ledger.worker.worker_id)
        ledger.accepting_batch = True
        self.queue.release_worker(ledger.worker.worker_id)

    def reserve(self, worker_id: ids.WorkerId, size: world.Size) -> None:
        """Keeps room for booked growth."""
        self.placer.set_reserve(worker_id, size)

    def size(self, job: world_pb2.Job) -> world.Size:
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
        """Yields tasks in the fair order, by learned sizes.

        A task that was pushed by its declared size takes the learned one.
        """
        for task in self.queue.candidates(now_ms):
            task.size = self.sizes.size_for(
                task.tenant_id, task.task_class, task.size
            )
            yield task
        self._hold_workers(now_ms)

    def _hold_workers(self, now_ms: int) -> None:
        """Holds the emptiest worker for each task overtaken too long."""
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
                emptiest = min(ledgers, key=_load)
                worker_id = emptiest.worker.worker_id
                self.queue.hold(task.task_id, worker_id, now_ms)

    def avoid(
        self, task: world.Task, now_ms: int
    ) -> t.Collection[ids.WorkerId]:
        """Returns workers in quarantine, held, or where the job failed."""
        if task.kind is world.TaskKind.LATENCY:
            return self._calls.avoid(_service(task), now_ms)
        avoid = self._health.avoid(now_ms) | self.queue.avoid(task)
        job = ids.split_batch_task_id(task.task_id)
        return avoid | self._jobs.workers(job[0])

    def started(
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

    def ended(
        self,
        task: world.Task,
        worker_id: ids.WorkerId,
        phase: platform.TaskPhase,
        now_ms: int,
    ) -> bool:
        """Counts an end; False where the job is set aside."""
        if task.kind is world.TaskKind.LATENCY:
            self._call_ended(task, worker_id, phase, now_ms)
            return True
        self.queue.ended(task.task_id)
        job_id, _ = ids.split_batch_task_id(task.task_id)
        return self._attempt_ended(task, job_id, worker_id, phase, now_ms)

    def changed(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Refreshes what depends on the ledger."""
        self.placer.refresh(ledger.worker.worker_id)
        self.learner.note_tasks(ledger, now_ms)

    def take(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Learns from late reports."""
        if now_ms - self._aged_at_ms >= _AGE_PERIOD_MS:
            self._aged_at_ms = now_ms
            self.model.advance(now_ms)
        self.learner.learn(ledger, reports, now_ms)
        self.placer.refresh(ledger.worker.worker_id)
        return ()

    def relieve(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Returns the steps due now."""
        return self.relief.decide(ledger, now_ms)

    def drain(
        self, ledger: world.WorkerLedger, now_ms: int
    ) -> tuple[relief_lib.Step, ...]:
        """Moves every batch task."""
        return tuple(
            _move(ledger, task, 'the worker leaves as booked')
            for task in ledger.tasks.values()
            if task.kind is world.TaskKind.BATCH
        )

    def _call_ended(self, task, worker_id, phase, now_ms) -> None:
        arguments = _service(task), worker_id, task.task_id
        if phase is platform.TaskPhase.COMPLETED:
            self._calls.succeeded(*arguments, now_ms)
        elif phase is platform.TaskPhase.FAILED:
            self._calls.failed(*arguments, now_ms)
        else:
            self._calls.stopped(*arguments)

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
        return all(one.kind is not set_aside for one in findings)


class EvictingPolicy(FullPolicy):
    """The whole policy, but each measured breach evicts a task at once."""

    def take(
        self,
        ledger: world.WorkerLedger,
        reports: t.Sequence[platform.UsageReport],
        now_ms: int,
    ) -> tuple[relief_lib.Step, ...]:
        """Learns, and evicts for each report over the limit."""
        super().take(ledger, reports, now_ms)
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
        """Takes no other step."""
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
