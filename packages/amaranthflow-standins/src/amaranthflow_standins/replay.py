"""Replays a trace under a scheduling policy and measures the outcome.

The replay simulates the platform: machines, delayed usage reports, failures
and checkpoints. A policy receives only what the platform would report.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import random
import time
import typing as t

from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import relief
from amaranthflow import world
from amaranthflow_schema.v1 import trace_pb2
from amaranthflow_schema.v1 import world_pb2

from . import colocation
from . import outcomes
from . import replay_policies

_DISPATCH_PERIOD_MS = 500
_SECOND_MS = 1_000
_FAILURE_DELAY_MS = 300
_CHECKPOINT_TIME_MS = 2_000
_RESTART_COST_MS = 1_000
_MEMORY_CHECK_DELAY_MS = 15_000
_SLOWDOWN_NOISE = 0.05
_MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Request:
    """State of a latency-critical request."""

    request_id: ids.RequestId
    service: world_pb2.Service
    truth: trace_pb2.TaskTruth
    arrived_at_ms: int
    attempt: int = 0
    failed_on: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    closed: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Job:
    """State of a batch job: its remaining work and current attempt."""

    job: world_pb2.Job
    truth: trace_pb2.TaskTruth
    remaining_ms: float
    attempt: int = 0
    evictions: int = 0
    failed_on: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    task: world.Task | None = None
    worker_id: ids.WorkerId | None = None


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _WorkerState:
    """A worker: its ledger, which the policy reads, and its machine."""

    ledger: world.WorkerLedger
    machine: colocation.Machine
    mode: int = trace_pb2.WORKER_MODE_RUNNING


class _JobEvent(enum.Enum):
    ARRIVED = 'arrived'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    SET_ASIDE = 'set aside'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCounts:
    """Number of jobs of a trace in each state."""

    arrived: int
    completed: int
    cancelled: int
    set_aside: int
    waiting: int
    running: int


_Owner = _Request | _Job
PolicyFactory = t.Callable[[world.Size, int, int], replay_policies.Policy]


class Replay:
    """One run of one trace under one policy.

    :param events: a whole trace, in order of time.
    :param make_policy: called with the fleet's capacity, its slots and the
        trace's seed.
    """

    def __init__(
        self,
        *,
        events: t.Sequence[trace_pb2.TraceEvent],
        make_policy: PolicyFactory,
    ):
        self._events = events
        self.header = events[0].header
        self.meter = outcomes.Meter()
        self.now_ms = 0
        self._rng = random.Random(self.header.seed)
        self._timers: list[tuple[float, int, t.Callable, tuple]] = []
        self._sequence = itertools.count()
        self._pairs = colocation.PairTable()
        self._workers: dict[ids.WorkerId, _WorkerState] = {}
        self._services: dict[str, world_pb2.Service] = {}
        self._jobs: dict[str, _Job] = {}
        self._owners: dict[ids.TaskId, _Owner] = {}
        self._waiting: collections.deque[_Request] = collections.deque()
        self._dispatch_due = False
        self._job_events: collections.Counter[_JobEvent] = (
            collections.Counter()
        )
        workers = [
            event.worker for event in events if event.HasField('worker')
        ]
        self.capacity = world.Size(
            cores=sum(worker.capacity.cores for worker in workers),
            memory_mb=sum(worker.capacity.memory_mb for worker in workers),
        )
        self._slots = sum(worker.slots for worker in workers)
        self.policy = make_policy(self.capacity, self._slots, self.header.seed)

    def run(self) -> outcomes.Outcome:
        """Replays the whole trace and returns its outcome."""
        self._call_at(0, self._dispatch_jobs)
        self._call_at(0, self._run_every_second)
        for event in self._events:
            self._run_timers(event.at_ms)
            self.now_ms = event.at_ms
            self._handle(event)
        self._run_timers(self.header.end_ms)
        limits = {
            name: service.tail_limit_ms
            for name, service in self._services.items()
        }
        return self.meter.outcome(
            limits, self.header.end_ms - self.header.warm_up_ms
        )

    def job_counts(self) -> JobCounts:
        """Returns the number of jobs in each state now."""
        running = sum(
            isinstance(owner, _Job) for owner in self._owners.values()
        )
        return JobCounts(
            arrived=self._job_events[_JobEvent.ARRIVED],
            completed=self._job_events[_JobEvent.COMPLETED],
            cancelled=self._job_events[_JobEvent.CANCELLED],
            set_aside=self._job_events[_JobEvent.SET_ASIDE],
            waiting=len(self._jobs) - running,
            running=running,
        )

    def _call_at(self, at_ms: float, action: t.Callable, *arguments) -> None:
        timer = (at_ms, next(self._sequence), action, arguments)
        heapq.heappush(self._timers, timer)

    def _run_timers(self, end_ms: int) -> None:
        while self._timers and self._timers[0][0] <= end_ms:
            at_ms, _, action, arguments = heapq.heappop(self._timers)
            self.now_ms = at_ms
            action(*arguments)

    @property
    def _policy_ms(self) -> int:
        """Present time as passed to a policy, in whole ms."""
        return int(self.now_ms)

    @property
    def _is_measured(self) -> bool:
        return self.now_ms >= self.header.warm_up_ms

    def _handle(self, event: trace_pb2.TraceEvent) -> None:
        match event.WhichOneof('kind'):
            case 'worker':
                self._add_worker(event.worker)
            case 'tenant':
                self.policy.configure(event.tenant)
            case 'service':
                self._services[event.service.service_id] = event.service
                self._reserve_slots(event.service)
            case 'request':
                self._request(event.request)
            case 'job':
                self._submit(event.job)
            case 'cancellation':
                self._cancel(event.cancellation.job_id)
            case 'worker_change':
                self._change_worker_mode(event.worker_change)
            case 'pair':
                self._set_pair(event.pair)
            case 'reserve':
                size = world.Size.from_message(event.reserve.size)
                self.policy.set_reserve(event.reserve.worker_id, size)

    def _add_worker(self, message: world_pb2.Worker) -> None:
        worker = world.Worker.from_message(message)
        state = _WorkerState(
            ledger=world.WorkerLedger(worker=worker),
            machine=colocation.Machine(
                capacity=worker.capacity, pairs=self._pairs
            ),
        )
        self._workers[worker.worker_id] = state
        self.policy.add_worker(state.ledger)
        period_ms = self.header.report_period_ms
        first_ms = self._rng.uniform(0, period_ms)
        self._call_at(self.now_ms + first_ms, self._report_usage, state)

    def _reserve_slots(self, service: world_pb2.Service) -> None:
        for state in self._workers.values():
            ledger = state.ledger
            slots = max(ledger.reserved_slots, service.reserved_slots)
            ledger.reserved_slots = slots
            self.policy.refresh(ledger, self._policy_ms)

    def _set_pair(self, pair: trace_pb2.PairTruth) -> None:
        self._pairs.set(pair.victim, pair.neighbour, pair.excess)
        for state in self._workers.values():
            if state.machine.running:
                state.machine.advance_to(self.now_ms)
                state.machine.update_rates()
                self._schedule(state)

    # Latency-critical requests.

    def _request(self, arrival: trace_pb2.RequestArrival) -> None:
        service = self._services[arrival.service_id]
        request = _Request(
            request_id=arrival.request_id,
            service=service,
            truth=arrival.truth,
            arrived_at_ms=self.now_ms,
        )
        deadline_ms = self.now_ms + service.timeout_ms
        self._call_at(deadline_ms, self._expire, request)
        if self._waiting or not self._start_request(request):
            self._waiting.append(request)

    def _start_request(self, request: _Request) -> bool:
        request.attempt += 1
        service = request.service
        task = world.Task(
            task_id=ids.request_task_id(request.request_id, request.attempt),
            tenant_id=service.tenant_id,
            task_class=service.task_class,
            kind=world.TaskKind.LATENCY,
            size=world.Size.from_message(service.size),
        )
        state = self._place(task, request.failed_on)
        if state is None:
            request.attempt -= 1
            return False
        self._start(state, task, request, request.truth.run_ms)
        return True

    def _dispatch_requests(self) -> None:
        while self._waiting:
            head = self._waiting[0]
            if not head.closed and not self._start_request(head):
                return
            self._waiting.popleft()

    def _expire(self, request: _Request) -> None:
        if not request.closed:
            self._close(request, None)

    def _close(self, request: _Request, latency_ms: float | None) -> None:
        request.closed = True
        if request.arrived_at_ms < self.header.warm_up_ms:
            return
        service = request.service
        if latency_ms is None:
            self.meter.unanswered(service.service_id, service.timeout_ms)
        else:
            self.meter.answered(service.service_id, latency_ms)

    def _request_ended(
        self,
        request: _Request,
        state: _WorkerState,
        phase: platform.TaskPhase,
    ) -> None:
        if request.closed:
            return
        if phase is platform.TaskPhase.COMPLETED:
            self._close(request, self.now_ms - request.arrived_at_ms)
            return
        request.failed_on.add(state.ledger.worker.worker_id)
        if request.attempt >= _MAX_ATTEMPTS:
            self._close(request, None)
        else:
            self._waiting.append(request)

    # Batch jobs.

    def _submit(self, arrival: trace_pb2.JobArrival) -> None:
        job = _Job(
            job=arrival.job,
            truth=arrival.truth,
            remaining_ms=arrival.truth.run_ms,
        )
        self._jobs[arrival.job.job_id] = job
        self.meter.arrived(arrival.job.task_class)
        self._job_events[_JobEvent.ARRIVED] += 1
        self._push(job)

    def _push(self, job: _Job) -> None:
        job.attempt += 1
        job.worker_id = None
        job.task = world.Task(
            task_id=ids.batch_task_id(job.job.job_id, job.attempt),
            tenant_id=job.job.tenant_id,
            task_class=job.job.task_class,
            kind=world.TaskKind.BATCH,
            size=self.policy.size_for(job.job),
            urgent=job.job.urgent,
            evictions=job.evictions,
        )
        self.policy.push(job.task, self._policy_ms)
        self._dispatch_due = True

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.pop(job_id, None)
        if job is None:
            return
        self._job_events[_JobEvent.CANCELLED] += 1
        if job.worker_id is None:
            self.policy.cancel(job.task.task_id)
            return
        state = self._workers[job.worker_id]
        self._end(state, job.task.task_id, platform.TaskPhase.STOPPED)

    def _dispatch_jobs(self) -> None:
        self._call_at(self.now_ms + _DISPATCH_PERIOD_MS, self._dispatch_jobs)
        if not self._dispatch_due:
            return
        self._dispatch_due = False
        for task in self.policy.candidates(self._policy_ms):
            job = self._find_job(task)
            state = self._place(task, job.failed_on)
            if state is not None:
                job.worker_id = state.ledger.worker.worker_id
                self._start(state, task, job, job.remaining_ms)

    def _find_job(self, task: world.Task) -> _Job:
        job_id, _ = ids.split_batch_task_id(task.task_id)
        return self._jobs[job_id]

    def _attempt_ended(
        self,
        job: _Job,
        state: _WorkerState,
        running: colocation.RunningTask,
        phase: platform.TaskPhase,
        keep_progress: bool,
    ) -> None:
        self._dispatch_due = True
        if job.job.job_id not in self._jobs:
            return
        if phase is platform.TaskPhase.COMPLETED:
            del self._jobs[job.job.job_id]
            self._job_events[_JobEvent.COMPLETED] += 1
            if self._is_measured:
                self.meter.completed(job.job.task_class, job.truth.run_ms)
            return
        progress_ms = job.remaining_ms - running.remaining_ms
        if keep_progress:
            job.remaining_ms = running.remaining_ms + _RESTART_COST_MS
            self.meter.wasted(_RESTART_COST_MS)
        else:
            self.meter.wasted(max(0.0, progress_ms))
        if phase is platform.TaskPhase.FAILED:
            job.failed_on.add(state.ledger.worker.worker_id)

    # Starts and ends of tasks.

    def _place(
        self, task: world.Task, failed_on: t.Collection[ids.WorkerId]
    ) -> _WorkerState | None:
        avoid = self.policy.avoid(task, self._policy_ms)
        if failed_on:
            avoid = {*avoid, *failed_on}
        began = time.perf_counter()
        chosen = self.policy.placer.choose(task, avoid)
        self.meter.decision_s += time.perf_counter() - began
        self.meter.decisions += 1
        return None if chosen is None else self._workers[chosen.worker_id]

    def _start(
        self,
        state: _WorkerState,
        task: world.Task,
        owner: _Owner,
        remaining_ms: float,
    ) -> None:
        task.started_at_ms = self._policy_ms
        if not state.ledger.reserve(task):
            raise AssertionError(f'{task} does not fit')
        running = colocation.RunningTask(
            task=task,
            cores=owner.truth.cores,
            peak_memory_mb=owner.truth.peak_memory_mb,
            remaining_ms=remaining_ms,
            started_at_ms=self.now_ms,
        )
        self._owners[task.task_id] = owner
        state.machine.add(running, self.now_ms)
        worker_id = state.ledger.worker.worker_id
        self.policy.task_started(task, worker_id, self._policy_ms)
        self.policy.refresh(state.ledger, self._policy_ms)
        self._schedule(state)
        if state.mode == trace_pb2.WORKER_MODE_FAILING or owner.truth.fails:
            self._call_at(
                self.now_ms + _FAILURE_DELAY_MS,
                self._fail,
                state,
                task.task_id,
            )
        if task.kind is world.TaskKind.BATCH:
            self._check_memory(state)
            self._call_at(
                self.now_ms + _MEMORY_CHECK_DELAY_MS,
                self._check_memory,
                state,
            )

    def _schedule(self, state: _WorkerState) -> None:
        end_ms = state.machine.next_end_ms()
        if end_ms is not None:
            self._call_at(
                end_ms,
                self._finish,
                state,
                state.machine.version,
            )

    def _finish(self, state: _WorkerState, version: int) -> None:
        if state.machine.version != version:
            return
        state.machine.advance_to(self.now_ms)
        for running in state.machine.completed_tasks():
            self._end(
                state,
                running.task.task_id,
                platform.TaskPhase.COMPLETED,
            )
        if state.machine.version == version:
            self._schedule(state)

    def _fail(self, state: _WorkerState, task_id: ids.TaskId) -> None:
        if task_id in state.machine.running:
            self._end(state, task_id, platform.TaskPhase.FAILED)

    def _end(
        self,
        state: _WorkerState,
        task_id: ids.TaskId,
        phase: platform.TaskPhase,
        keep_progress: bool = False,
    ) -> None:
        """Ends a task; its job is queued again unless it completed.

        :param keep_progress: the progress was written to a checkpoint.
        """
        running = state.machine.remove(task_id, self.now_ms)
        task = state.ledger.release(task_id)
        owner = self._owners.pop(task_id)
        worker_id = state.ledger.worker.worker_id
        may_retry = self.policy.task_ended(
            task, worker_id, phase, self._policy_ms
        )
        self.policy.refresh(state.ledger, self._policy_ms)
        self._schedule(state)
        if isinstance(owner, _Request):
            self._request_ended(owner, state, phase)
        else:
            self._attempt_ended(owner, state, running, phase, keep_progress)
            if owner.job.job_id in self._jobs:
                self._requeue(owner, may_retry)
        self._dispatch_requests()

    def _requeue(self, job: _Job, may_retry: bool) -> None:
        if may_retry:
            self._push(job)
        else:
            del self._jobs[job.job.job_id]
            self._job_events[_JobEvent.SET_ASIDE] += 1

    # Simulation of the platform.

    def _check_memory(self, state: _WorkerState) -> None:
        while True:
            victim = state.machine.out_of_memory(self.now_ms)
            if victim is None:
                return
            self.meter.out_of_memory += 1
            self.meter.lost += 1
            self._deliver_later(state, [self._usage_report(victim)])
            self._end(state, victim.task.task_id, platform.TaskPhase.FAILED)

    def _report_usage(self, state: _WorkerState) -> None:
        self._call_at(
            self.now_ms + self.header.report_period_ms,
            self._report_usage,
            state,
        )
        reports = [
            self._usage_report(running)
            for running in state.machine.running.values()
        ]
        if reports:
            self._deliver_later(state, reports)

    def _usage_report(
        self, running: colocation.RunningTask
    ) -> platform.UsageReport:
        memory_mb = running.memory_mb(self.now_ms)
        return platform.UsageReport(
            task_id=running.task.task_id,
            task_class=running.task.task_class,
            measured_at_ms=self._policy_ms,
            cores=running.cores * running.share,
            memory_mb=memory_mb,
            peak_memory_mb=memory_mb,
            slowdown=running.slowdown * self._rng.gauss(1.0, _SLOWDOWN_NOISE),
        )

    def _deliver_later(
        self, state: _WorkerState, reports: list[platform.UsageReport]
    ) -> None:
        delay_ms = self._rng.uniform(0.5, 1.0) * self.header.report_delay_ms
        self._call_at(self.now_ms + delay_ms, self._deliver, state, reports)

    def _deliver(
        self, state: _WorkerState, reports: list[platform.UsageReport]
    ) -> None:
        steps = self.policy.learn_usage(state.ledger, reports, self._policy_ms)
        self._apply_steps(state, steps)

    def _run_every_second(self) -> None:
        self._call_at(self.now_ms + _SECOND_MS, self._run_every_second)
        for state in self._workers.values():
            steps = self.policy.relieve(state.ledger, self._policy_ms)
            self._apply_steps(state, steps)
        if self._is_measured:
            self._sample_shares()

    def _apply_steps(
        self, state: _WorkerState, steps: t.Iterable[relief.Step]
    ) -> None:
        for step in steps:
            self._apply_step(state, step)
            self.policy.refresh(state.ledger, self._policy_ms)
            self._dispatch_due = True

    def _apply_step(self, state: _WorkerState, step: relief.Step) -> None:
        running = step.task_id in state.machine.running
        match step.kind:
            case relief.StepKind.HOLD:
                state.ledger.accepting_batch = False
            case relief.StepKind.ACCEPT:
                state.ledger.accepting_batch = True
            case relief.StepKind.MOVE if running:
                self._call_at(
                    self.now_ms + _CHECKPOINT_TIME_MS,
                    self._evict,
                    state,
                    step.task_id,
                    True,
                )
            case relief.StepKind.STOP if running:
                self._evict(state, step.task_id, False)
            case relief.StepKind.THROTTLE | relief.StepKind.RESUME if running:
                state.machine.throttle(step.task_id, step.share, self.now_ms)
                self._schedule(state)

    def _evict(
        self,
        state: _WorkerState,
        task_id: ids.TaskId,
        keep_progress: bool,
    ) -> None:
        if task_id not in state.machine.running:
            return
        job = self._owners[task_id]
        job.evictions += 1
        self.meter.evicted(job.job.job_id)
        self._end(state, task_id, platform.TaskPhase.STOPPED, keep_progress)

    def _change_worker_mode(self, change: trace_pb2.WorkerChange) -> None:
        state = self._workers[change.worker_id]
        state.mode = change.mode
        state.ledger.leaving = change.mode in (
            trace_pb2.WORKER_MODE_DOWN,
            trace_pb2.WORKER_MODE_LEAVING,
        )
        self.policy.refresh(state.ledger, self._policy_ms)
        if change.mode == trace_pb2.WORKER_MODE_DOWN:
            self._stop_all_tasks(state)
        if change.mode == trace_pb2.WORKER_MODE_LEAVING:
            steps = self.policy.drain(state.ledger, self._policy_ms)
            self._apply_steps(state, steps)
        self._dispatch_due = True

    def _stop_all_tasks(self, state: _WorkerState) -> None:
        for task_id, running in list(state.machine.running.items()):
            if running.task.kind is world.TaskKind.BATCH:
                self.meter.lost += 1
            self._end(state, task_id, platform.TaskPhase.STOPPED)
        self.policy.worker_lost(state.ledger, self._policy_ms)

    def _sample_shares(self) -> None:
        slots: collections.Counter = collections.Counter()
        cores: collections.Counter = collections.Counter()
        memory: collections.Counter = collections.Counter()
        waiting = set()
        for job in self._jobs.values():
            tenant_id = job.job.tenant_id
            if job.worker_id is None:
                waiting.add(tenant_id)
                continue
            slots[tenant_id] += 1
            cores[tenant_id] += job.truth.cores
            memory[tenant_id] += job.truth.peak_memory_mb
        shares = {
            tenant_id: max(
                slots[tenant_id] / self._slots,
                cores[tenant_id] / self.capacity.cores,
                memory[tenant_id] / self.capacity.memory_mb,
            )
            for tenant_id in slots
        }
        self.meter.sample_shares(shares, waiting)
