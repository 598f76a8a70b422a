"""Simulated machine of a worker stand-in, with its runs and faults."""

import asyncio
import dataclasses
import hashlib
import random
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import world

from . import faults as faults_lib
from . import history as history_lib
from . import program
from . import running_task
from . import timeouts

_MAX_REPORTS = 2000
_ROUNDING_TOLERANCE = 1e-6
_MIN_SHARE = 0.01
_SERVICE_TIME_SIGMA = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A backend server's answer as it is sent, faults included.

    ``length`` and ``sha256`` are those of the complete answer, even if
    ``body`` has been truncated or replaced.
    """

    request_id: ids.RequestId
    attempt: int
    body: bytes
    length: int
    sha256: str
    service_time_us: int


class BackendFailed(exceptions.PlatformFailed):
    """The backend server started the request and failed."""


class Machine:
    """Runs requests and tasks, and records them in its history.

    Work above the limits of the worker is not refused, but each violation is
    recorded.

    :param service_time_s: median service time of a request.
    :param service_sizes: cores and memory that one request of each service
        uses; requests of other services use none.
    :param usage_delay_s: minimum age of a measurement when it is reported.
    """

    def __init__(
        self,
        *,
        worker: world.Worker,
        clock: clock_lib.Clock,
        rng: random.Random,
        service_time_s: float = 0.005,
        service_sizes: t.Mapping[ids.ServiceId, world.Size] | None = None,
        slowdown: faults_lib.Slowdown = faults_lib.no_slowdown,
        usage_delay_s: float = 2.0,
    ):
        self.worker = worker
        self.faults = faults_lib.WorkerFaults()
        self.history = history_lib.WorkerHistory(worker_id=worker.worker_id)
        self.slowdown = slowdown
        self._clock = clock
        self._rng = rng
        self._service_time_s = service_time_s
        self._service_sizes = service_sizes or {}
        self._usage_delay_s = usage_delay_s
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._died = asyncio.Event()
        self._active: list[history_lib.Run] = []
        self._active_services: dict[int, str] = {}
        self._running: dict[ids.TaskId, running_task.RunningTask] = {}
        self._reports: dict[ids.TaskId, platform.TaskReport] = {}
        self._samples: list[platform.UsageReport] = []
        self._background: set[asyncio.Task] = set()
        self._last_body = b''

    def set_faults(self, **changes) -> None:
        """Changes faults; ``dead`` ends all runs at once."""
        self.faults = dataclasses.replace(self.faults, **changes)
        if self.faults.frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()
        if self.faults.dead:
            self._end_all()

    def count_connections(self, connections: int) -> None:
        """Records the number of open connections."""
        peaks = self.history.peaks
        peaks.connections = max(peaks.connections, connections)
        self._check_limit('connections', self.worker.connections, connections)

    async def run_call(self, call: platform.BackendCall) -> Answer:
        """Runs a request on a backend server.

        :raises PlatformError: the machine is dead; the request did not run.
        :raises PlatformUncertain: the machine died or failed during the
            request.
        """
        await self._wait_reachable()
        run = self._start_request(call)
        died = self._died
        service_s = self._draw_service_s(call.service_id)
        limit_s = call.timeout_ms / 1000
        await clock_lib.wait_event(self._clock, died, min(service_s, limit_s))
        if died.is_set():
            raise exceptions.PlatformUncertain('the worker died')
        self._active_services.pop(id(run), None)
        self._record_end(run, self._request_outcome(service_s, limit_s))
        if run.outcome is not history_lib.RunOutcome.COMPLETED:
            raise BackendFailed(f'the backend server {run.outcome.value}')
        answer = self._answer(call, run)
        if self._happens(self.faults.late_share):
            await self._clock.sleep(self.faults.late_s)
        return answer

    async def start(self, start: platform.TaskStart) -> None:
        """Starts a task; see ``platform.WorkerLink``."""
        await self._wait_reachable()
        self._start_task(start)
        if self._happens(self.faults.duplicated_start_share):
            self._run_in_background(self._start_again(start))

    async def renew(
        self, task_ids: t.Sequence[ids.TaskId], lease_ms: int
    ) -> None:
        """Extends leases; unknown tasks are ignored."""
        await self._wait_reachable()
        until_s = self._clock.monotonic() + lease_ms / 1000
        for task_id in task_ids:
            task = self._running.get(task_id)
            if task is not None:
                task.lease_until_s = max(task.lease_until_s, until_s)
                task.changed.set()

    async def tasks(self) -> tuple[platform.TaskReport, ...]:
        """Returns reports of running and ended tasks."""
        await self._wait_reachable()
        now_s = self._clock.monotonic()
        running = [task.report(now_s) for task in self._running.values()]
        return (*running, *self._reports.values())

    async def usage(self) -> tuple[platform.UsageReport, ...]:
        """Returns the newest measurement of each task that may be reported."""
        await self._wait_reachable()
        self._sample_tasks()
        visible_ms = self._clock.wall_ms() - self._usage_delay_s * 1000
        newest = {}
        for sample in self._samples:
            if sample.measured_at_ms <= visible_ms:
                newest[sample.task_id] = sample
        self._samples = [
            sample
            for sample in self._samples
            if sample.measured_at_ms > visible_ms
            or newest[sample.task_id] is sample
        ][-_MAX_REPORTS:]
        return tuple(newest.values())

    async def checkpoint(self, task_id: ids.TaskId) -> str:
        """Writes a checkpoint of a task and returns its reference."""
        await self._wait_reachable()
        task = self._get_task(task_id)
        task.catch_up(self._clock.monotonic())
        task.checkpoint = program.checkpoint_at(task_id, task.progress_s)
        return task.checkpoint

    async def throttle(self, task_id: ids.TaskId, share: float) -> None:
        """Limits a task to a share of its full rate, at least 1%."""
        await self._wait_reachable()
        task = self._get_task(task_id)
        task.catch_up(self._clock.monotonic())
        task.share = max(share, _MIN_SHARE)
        self._update_rates()

    async def stop(self, task_id: ids.TaskId) -> platform.TaskReport:
        """Stops a task and returns its final report."""
        await self._wait_reachable()
        if task_id in self._reports:
            return self._reports[task_id]
        task = self._get_task(task_id)
        self._end_task(task, history_lib.RunOutcome.STOPPED)
        return self._reports[task_id]

    async def close(self) -> None:
        """Cancels all asyncio tasks of the machine."""
        await timeouts.cancel(*self._background)

    async def _wait_reachable(self) -> None:
        if self.faults.dead:
            raise exceptions.PlatformError('the worker is dead')
        await self._unfrozen.wait()
        if self.faults.dead:
            raise exceptions.PlatformUncertain('the worker died')

    def _happens(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _run_in_background(self, work: t.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _start_request(self, call: platform.BackendCall) -> history_lib.Run:
        size = self._service_sizes.get(call.service_id, world.ZERO_SIZE)
        run = history_lib.Run(
            worker_id=self.worker.worker_id,
            kind=history_lib.RunKind.REQUEST,
            subject=call.request_id,
            attempt=call.attempt,
            tenant_id=call.tenant_id,
            cores=size.cores,
            memory_mb=size.memory_mb,
            started_s=self._clock.monotonic(),
        )
        self._active_services[id(run)] = call.service_id
        self._record_start(run)
        return run

    def _record_start(self, run: history_lib.Run) -> None:
        self.history.runs.append(run)
        self._active.append(run)
        self._check_limits()

    def _record_end(self, run: history_lib.Run, outcome) -> None:
        run.ended_s = self._clock.monotonic()
        run.outcome = outcome
        self._active.remove(run)

    def _check_limits(self) -> None:
        peaks = self.history.peaks
        capacity = self.worker.capacity
        slots = len(self._active)
        cores = sum(run.cores for run in self._active)
        memory_mb = sum(run.memory_mb for run in self._active)
        peaks.slots = max(peaks.slots, slots)
        peaks.cores = max(peaks.cores, cores)
        peaks.memory_mb = max(peaks.memory_mb, memory_mb)
        self._check_limit('slots', self.worker.slots, slots)
        self._check_limit('cores', capacity.cores, cores)
        self._check_limit('memory_mb', capacity.memory_mb, memory_mb)

    def _check_limit(self, limit: str, allowed: float, used: float) -> None:
        if used <= allowed + _ROUNDING_TOLERANCE:
            return
        violation = history_lib.Violation(
            worker_id=self.worker.worker_id,
            limit=limit,
            allowed=allowed,
            used=used,
            at_s=self._clock.monotonic(),
        )
        self.history.violations.append(violation)

    def _draw_service_s(self, service_id: ids.ServiceId) -> float:
        spread = self._rng.lognormvariate(0.0, _SERVICE_TIME_SIGMA)
        factor = self.slowdown(service_id, self._neighbour_classes(None))
        interference = self.faults.interference
        return self._service_time_s * spread * factor * interference

    def _neighbour_classes(
        self, excluded: running_task.RunningTask | None
    ) -> list[str]:
        classes = [
            task.start.task_class
            for task in self._running.values()
            if task is not excluded
        ]
        return classes + list(self._active_services.values())

    def _request_outcome(
        self, service_s: float, limit_s: float
    ) -> history_lib.RunOutcome:
        if service_s > limit_s:
            return history_lib.RunOutcome.TIMED_OUT
        if self.faults.fails_everything:
            return history_lib.RunOutcome.FAILED
        return history_lib.RunOutcome.COMPLETED

    def _answer(
        self, call: platform.BackendCall, run: history_lib.Run
    ) -> Answer:
        body = program.answer_to(
            call.tenant_id, call.service_id, call.request_id, call.payload
        )
        sent, self._last_body = self._corrupt(body), body
        foreign = self._happens(self.faults.foreign_share)
        request_id = f'other-{call.request_id}' if foreign else call.request_id
        return Answer(
            request_id=ids.RequestId(request_id),
            attempt=call.attempt,
            body=sent,
            length=len(body),
            sha256=hashlib.sha256(body).hexdigest(),
            service_time_us=round((run.ended_s - run.started_s) * 1_000_000),
        )

    def _corrupt(self, body: bytes) -> bytes:
        if self._happens(self.faults.garbage_share):
            return self._rng.randbytes(len(body))
        if self._happens(self.faults.cut_short_share):
            return body[: len(body) // 2]
        return body

    def _start_task(self, start: platform.TaskStart) -> None:
        if start.task_id in self._running or start.task_id in self._reports:
            return
        if self._clock.wall_ms() > start.not_after_ms:
            raise exceptions.PlatformError(
                'the start arrived after its deadline'
            )
        task = running_task.RunningTask.begin(
            start, self.worker.worker_id, self._clock.monotonic()
        )
        self._running[start.task_id] = task
        self._record_start(task.run)
        self._update_rates()
        self._run_in_background(self._run_task(task))

    async def _start_again(self, start: platform.TaskStart) -> None:
        await self._clock.sleep(self.faults.late_s)
        try:
            self._start_task(start)
        except exceptions.PlatformError:
            return

    async def _run_task(self, task: running_task.RunningTask) -> None:
        while not task.ended:
            now_s = self._clock.monotonic()
            task.catch_up(now_s)
            if task.done or self.faults.fails_everything:
                self._end_task(task, self._task_outcome(task))
                return
            lease_left_s = task.lease_until_s - now_s
            if lease_left_s <= 0:
                self._end_task(task, history_lib.RunOutcome.LEASE_LAPSED)
                return
            task.changed.clear()
            wait_s = min(task.remaining_s, lease_left_s)
            await clock_lib.wait_event(self._clock, task.changed, wait_s)

    def _task_outcome(
        self, task: running_task.RunningTask
    ) -> history_lib.RunOutcome:
        if self.faults.fails_everything or task.program.fails:
            return history_lib.RunOutcome.FAILED
        return history_lib.RunOutcome.COMPLETED

    def _end_task(self, task: running_task.RunningTask, outcome) -> None:
        task_id = task.start.task_id
        if self._running.pop(task_id, None) is None:
            return
        self._record_end(task.run, outcome)
        task.ended = True
        task.changed.set()
        self._reports[task_id] = task.report_ended()
        while len(self._reports) > _MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        self._update_rates()

    def _get_task(self, task_id: ids.TaskId) -> running_task.RunningTask:
        task = self._running.get(task_id)
        if task is None:
            raise exceptions.PlatformError(f'no task {task_id} runs here')
        return task

    def _update_rates(self) -> None:
        now_s = self._clock.monotonic()
        for task in self._running.values():
            task.catch_up(now_s)
            task.slowdown = self.faults.interference * self.slowdown(
                task.start.task_class, self._neighbour_classes(task)
            )
            task.changed.set()

    def _sample_tasks(self) -> None:
        now_ms = self._clock.wall_ms()
        for task in self._running.values():
            self._samples.append(task.measure(now_ms))

    def _end_all(self) -> None:
        for task in list(self._running.values()):
            self._end_task(task, history_lib.RunOutcome.DIED)
        for run in list(self._active):
            self._record_end(run, history_lib.RunOutcome.DIED)
        self._active_services.clear()
        self._reports.clear()
        self._samples.clear()
        self._died.set()
        self._died = asyncio.Event()
