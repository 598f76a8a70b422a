"""Stand-in for a worker that runs tasks under leases and fencing tokens."""

import asyncio
import contextlib
import dataclasses
import random
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports

from . import record_store
from . import task_adviser

_LATENCY_S = 0.002
_COMMAND_TIMEOUT_S = 0.4
_HOLD_TIMEOUT_S = 0.6
_MAX_LEASE_MS = 6_000
_MAX_REPORTED_ENDS = 500
_HEARTBEAT_S = 1.1
_MAX_MISSED_HEARTBEATS = 3
# A task that crashes its worker does so this long after its start.
_CRASH_DELAY_S = 0.01
_RESTART_S = 3.3
# A call that waits for a restart is executed up to this time after it.
_MAX_KEPT_S = 0.8


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """Faults that are active now.

    :ivar unreachable_from: instances that cannot reach the worker; "*" stands
        for all of them.
    :ivar reaches_store: the worker's entries arrive in the store.
    :ivar delayed_share: share of commands that time out and are executed some
        seconds later.
    :ivar lost_reply_share: share of commands that are executed but whose
        reply is lost.
    :ivar lost_report_share: share of calls for a report without a response.
    :ivar keeps_calls: calls that come while the worker is down, and those
        that wait for a response as it crashes, are executed by its next
        incarnation.
    :ivar kept_s: how long after its start, in seconds, at least and at most.
    :ivar keeps_only_starts: of these calls, the others are lost.
    :ivar stalls_starts: starts wait without a response until
        ``TaskWorker.resume_starts`` or a restart.
    :ivar stalled_starts: number of starts that wait; None for all.
    :ivar keeps_connections: open connections outlast a restart, and seem open
        while the worker is down.
    :ivar drops_later_ends: an acknowledgement also holds for ends that get
        their numbers after it.
    :ivar fails: all runs fail.
    :ivar fail_share: share of the runs that fail.
    :ivar hangs: runs that start now never end.
    :ivar slowdown: factor by which new runs take longer.
    """

    unreachable_from: set[str] = dataclasses.field(default_factory=set)
    reaches_store: bool = True
    delayed_share: float = 0.0
    lost_reply_share: float = 0.0
    lost_report_share: float = 0.0
    keeps_calls: bool = False
    kept_s: tuple[float, float] = (0.0, _MAX_KEPT_S)
    keeps_only_starts: bool = False
    stalls_starts: bool = False
    stalled_starts: int | None = None
    keeps_connections: bool = False
    drops_later_ends: bool = False
    fails: bool = False
    fail_share: float = 0.0
    hangs: bool = False
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class StandinRun:
    """One run of a task on a worker. Times are in virtual seconds.

    :ivar lost: it ended with a crash of its worker.
    :ivar crashed_worker: it caused that crash.
    """

    task: model.TaskKey
    run: int
    token: int
    started_s: float
    duration_s: float
    ended_s: float | None = None
    outcome: model.RunOutcome | None = None
    lost: bool = False
    crashed_worker: bool = False


class Plan(t.Protocol):
    """Decides how long each task runs and whether it fails."""

    def duration_s(self, task: model.TaskKey) -> float:
        """Returns the run time in seconds; infinite for a service."""

    def fails(self, task: model.TaskKey, run: int) -> bool:
        """Returns whether a run fails for a reason of its own."""

    def crashes_worker(self, task: model.TaskKey) -> bool:
        """Returns whether each run of a task crashes its worker."""


class TaskWorker:
    """One worker.

    :param history: list to which each run is added, for checks.
    :param clock_rate: seconds that its clock advances in one second.
    :ivar restarted: is set with each restart.
    :ivar incarnation: number of starts of the worker's process.
    :ivar kept_calls_executed: number of calls that were meant for an earlier
        incarnation.
    :ivar adviser: gives the tickets that starts need; None if they need none.
    :ivar capacities: each capacity and the time from which it was in effect.
    """

    def __init__(
        self,
        *,
        entry: model.WorkerEntry,
        plan: Plan,
        rng: random.Random,
        history: list[tuple['TaskWorker', StandinRun]],
        clock_rate: float = 1.0,
    ):
        self.entry = entry
        self.faults = WorkerFaults()
        self.up = True
        self.replaced = False
        self.incarnation = 1
        self.kept_calls_executed = 0
        self.adviser: task_adviser.TaskAdviser | None = None
        self.capacities = [(0.0, entry.capacity)]
        self._plan = plan
        self._rng = rng
        self._history = history
        self._clock_rate = clock_rate
        self._loop = asyncio.get_running_loop()
        self._changed = asyncio.Event()
        self.restarted = asyncio.Event()
        self._kept_calls: list[t.Callable[[], t.Any]] = []
        self._reset()

    def _reset(self) -> None:
        self.token = 0
        self.started_s = self._loop.time()
        self.entry = dataclasses.replace(self.entry, born_ms=self.born_ms)
        self.running: dict[model.TaskKey, StandinRun] = {}
        self._ends: list[ports.RunEnd] = []
        self._end_number = 0
        self._acknowledged = 0
        self._blocked_runs: dict[model.TaskKey, int] = {}
        self._deadline_ms = 0
        self._lease_timer: asyncio.TimerHandle | None = None

    @property
    def id(self) -> ids.WorkerId:
        """Id of the worker."""
        return self.entry.id

    @property
    def born_ms(self) -> int:
        """Start time of the worker's process."""
        return int(self.started_s * 1000) + 1

    def resize(self, cpu: int) -> None:
        """Changes the number of processors, in thousandths of a core."""
        capacity = self.entry.capacity._replace(cpu=cpu)
        self.entry = dataclasses.replace(self.entry, capacity=capacity)
        self.capacities.append((self._loop.time(), capacity))

    def clock_ms(self) -> int:
        """Returns the time of the worker's own clock, 0 at its last start."""
        elapsed_s = self._loop.time() - self.started_s
        return int(elapsed_s * self._clock_rate * 1000)

    def crash(self) -> None:
        """Ends all runs and loses all state; heartbeats stop."""
        for run in list(self.running.values()):
            run.ended_s = self._loop.time()
            run.lost = True
        self.up = False
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self._reset()

    def restart(self, labels: frozenset[str] | None = None) -> None:
        """Starts a new incarnation under the same id, unless it is up.

        :param labels: labels of the new incarnation if they differ.
        """
        if self.up:
            return
        self.incarnation += 1
        self.up = True
        if labels is not None:
            self.entry = dataclasses.replace(self.entry, labels=labels)
        self._reset()
        self.restarted.set()
        self.faults.stalls_starts = False
        kept, self._kept_calls = self._kept_calls, []
        for call in kept:
            self.keep(call)

    def keep(self, call: t.Callable[[], t.Any]) -> None:
        """Keeps a call for the incarnation that runs next, or runs now."""
        if not self.up:
            self._kept_calls.append(call)
            return
        delay_s = self._rng.uniform(*self.faults.kept_s)
        self._loop.call_later(delay_s, self._execute_kept, call)

    def _execute_kept(self, call: t.Callable[[], t.Any]) -> None:
        if not self.up:
            self.keep(call)
            return
        self.kept_calls_executed += 1
        _execute_unanswered(call)

    def stall(self, call: t.Callable[[], t.Any]) -> None:
        """Lets a call wait for ``resume_starts`` or the next incarnation."""
        self._kept_calls.append(call)
        if self.faults.stalled_starts is not None:
            self.faults.stalled_starts -= 1
            self.faults.stalls_starts = self.faults.stalled_starts > 0

    def resume_starts(self) -> None:
        """Ends the stall of starts; executes those that wait at once."""
        self.faults.stalls_starts = False
        if self.up:
            stalled, self._kept_calls = self._kept_calls, []
            for call in stalled:
                _execute_unanswered(call)

    def replace(self) -> None:
        """Crashes permanently; another worker takes over its address."""
        self.crash()
        self.replaced = True

    # Commands.

    def start(self, command: ports.StartCommand, token: int) -> int:
        """Starts a run, and returns the time of the worker's clock in ms.

        A repeated command for a run that is active changes nothing.
        """
        self._check(token)
        self._extend(command.deadline_ms)
        active = self.running.get(command.task)
        if active is not None and active.run == command.run:
            return self.clock_ms()
        if (
            command.run <= self._blocked_runs.get(command.task, 0)
            or active is not None
        ):
            raise ports.CommandRefused(ports.Refusal.STALE_RUN)
        if command.deadline_ms <= self.clock_ms():
            raise ports.CommandRefused(ports.Refusal.DEADLINE_PASSED)
        if self.adviser is not None and not self.adviser.permits(
            command.task, self.id, command.ticket
        ):
            raise ports.CommandRefused(ports.Refusal.INVALID_TICKET)
        duration_s = self._plan.duration_s(command.task) * self.faults.slowdown
        run = StandinRun(
            task=command.task,
            run=command.run,
            token=token,
            started_s=self._loop.time(),
            duration_s=duration_s,
        )
        self.running[command.task] = run
        self._history.append((self, run))
        if self._plan.crashes_worker(command.task):
            self._loop.call_later(_CRASH_DELAY_S, self._crash_by, run)
        if duration_s != float('inf') and not self.faults.hangs:
            self._loop.call_later(duration_s, self._finish, run)
        return self.clock_ms()

    def stop(self, task: model.TaskKey, run: int, token: int) -> int:
        """Stops a run and blocks it and all earlier runs of its task.

        :returns: the time of the worker's clock in ms.
        """
        self._check(token)
        self._blocked_runs[task] = max(run, self._blocked_runs.get(task, 0))
        active = self.running.get(task)
        if active is not None and active.run <= run:
            self._end(active, model.RunOutcome.STOPPED)
        return self.clock_ms()

    def _crash_by(self, run: StandinRun) -> None:
        if self.running.get(run.task) is run:
            run.crashed_worker = True
            self.crash()
            self._loop.call_later(_RESTART_S, self.restart)

    def _check(self, token: int) -> None:
        if token < self.token:
            raise ports.CommandRefused(ports.Refusal.STALE_TOKEN)
        self.token = token

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms() + _MAX_LEASE_MS)
        if deadline_ms <= self._deadline_ms:
            return
        self._deadline_ms = deadline_ms
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_s = (deadline_ms - self.clock_ms()) / 1000 / self._clock_rate
        self._lease_timer = self._loop.call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, model.RunOutcome.LEASE_EXPIRED)

    def _finish(self, run: StandinRun) -> None:
        if run.ended_s is not None or self.running.get(run.task) is not run:
            return
        fails = self.faults.fails or self._plan.fails(run.task, run.run)
        if self.faults.fail_share:
            fails = fails or self._rng.random() < self.faults.fail_share
        self._end(
            run, model.RunOutcome.FAILED if fails else model.RunOutcome.DONE
        )

    def _end(self, run: StandinRun, outcome: model.RunOutcome) -> None:
        run.ended_s = self._loop.time()
        run.outcome = outcome
        self.running.pop(run.task, None)
        self._blocked_runs[run.task] = max(
            run.run, self._blocked_runs.get(run.task, 0)
        )
        self._end_number += 1
        end = ports.RunEnd(self._end_number, run.task, run.run, outcome, '')
        if not self.faults.drops_later_ends or (
            end.number > self._acknowledged
        ):
            self._ends.append(end)
        self._changed.set()
        self._changed = asyncio.Event()

    def renew(
        self, token: int, acknowledged: int, deadline_ms: int | None
    ) -> None:
        """Extends leases and drops ends; see ``renew_leases``."""
        self._check(token)
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self._acknowledged = max(self._acknowledged, acknowledged)
        self._ends = [end for end in self._ends if end.number > acknowledged]

    async def renew_leases(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> ports.WorkerReport:
        """Extends leases and returns a report, after a long poll for ends.

        :param acknowledged: number of the last end that the caller knows;
            this and all earlier ends are dropped.
        :param deadline_ms: new end of the leases on the worker's clock, None
            to leave them unchanged.
        :param wait_ms: how long to wait for an end where none is pending.
        """
        self.renew(token, acknowledged, deadline_ms)
        incarnation = self.incarnation
        if wait_ms and not self._ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                # No run ended: the report lists those that are active.
                pass
        if incarnation != self.incarnation or not self.up:
            raise exceptions.PlatformUncertain('connection lost')
        now_s = self._loop.time()
        return ports.WorkerReport(
            clock_ms=self.clock_ms(),
            born_ms=self.born_ms,
            running=[
                ports.RunProgress(
                    run.task,
                    model.RunNumber(run.run),
                    '',
                    _percent(run, now_s),
                    0.0,
                )
                for run in self.running.values()
            ],
            ended=self._ends[:_MAX_REPORTED_ENDS],
        )


def _execute_unanswered(call: t.Callable[[], t.Any]) -> None:
    """Executes a call whose sender has timed out and sees no refusal."""
    with contextlib.suppress(ports.CommandRefused):
        call()


def _percent(run: StandinRun, now_s: float) -> float:
    return min(99.0, 100 * (now_s - run.started_s) / run.duration_s)


async def send_heartbeats(
    worker: TaskWorker,
    store: record_store.RecordStore,
    encode: t.Callable[[TaskWorker, int], bytes],
) -> None:
    """Writes a worker's entry to the store with each heartbeat and restart.

    The entry is removed after three missed heartbeats.

    :param encode: returns the entry, given the number of the heartbeat.
    """
    missed = seq = 0
    key = worker.id.encode()
    while True:
        seq += 1
        faults = worker.faults
        registers = faults.reaches_store and '*' not in faults.unreachable_from
        if worker.up and registers:
            missed = 0
            store.put(ports.Table.WORKERS, key, encode(worker, seq))
        else:
            missed += 1
            if missed == _MAX_MISSED_HEARTBEATS:
                store.put(ports.Table.WORKERS, key, b'')
        await _wait(worker.restarted, _HEARTBEAT_S)
        worker.restarted.clear()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Returns once an event is set or the time is over."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


class TaskWorkerLink:
    """Implements ``ports.WorkerLink`` from one instance to one worker."""

    def __init__(
        self, *, worker: TaskWorker, instance: str, rng: random.Random
    ):
        self._worker = worker
        self._instance = instance
        self._rng = rng
        self._incarnation: int | None = None

    def connected(self) -> bool:
        """Returns whether the worker has reported on the open connection."""
        if self._incarnation is None:
            return False
        if self._worker.faults.keeps_connections:
            return True
        return self._worker.up and (
            self._incarnation == self._worker.incarnation
        )

    def _disconnected(self) -> bool:
        unreachable_from = self._worker.faults.unreachable_from
        return bool(unreachable_from & {'*', self._instance})

    def _reachable(self) -> bool:
        return self._worker.up and not self._disconnected()

    def _keep(self, call: t.Callable[..., t.Any], *args: t.Any) -> None:
        """Keeps a call that found the worker down, if the fault is set."""
        faults = self._worker.faults
        if faults.keeps_only_starts and call != self._worker.start:
            return
        if faults.keeps_calls and not self._disconnected():
            self._worker.keep(lambda: call(*args))

    async def renew_leases(
        self,
        *,
        token: model.Token,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> ports.WorkerReport:
        """Renews leases and returns a report; see ``TaskWorker``."""
        if self._worker.replaced:
            await asyncio.sleep(_LATENCY_S)
            raise ports.CommandRefused(ports.Refusal.OTHER_INCARNATION)
        if not self._reachable():
            self._incarnation = None
            self._keep(self._worker.renew, token, acknowledged, deadline_ms)
            await asyncio.sleep(_HOLD_TIMEOUT_S)
            raise exceptions.PlatformUncertain('no response')
        await asyncio.sleep(_LATENCY_S)
        # A call that is given up closes the connection.
        self._incarnation = None
        await self._lose_report(wait_ms / 1000)
        self._incarnation = self._worker.incarnation
        try:
            report = await self._worker.renew_leases(
                token, acknowledged, deadline_ms, wait_ms
            )
        except exceptions.PlatformUncertain:
            self._keep(self._worker.renew, token, acknowledged, deadline_ms)
            raise
        if not self._reachable():
            self._incarnation = None
            raise exceptions.PlatformUncertain('no response')
        return report

    async def list_runs(self, token: model.Token) -> ports.WorkerReport:
        """Lists runs; see ``TaskWorker``."""
        if not self._reachable():
            await asyncio.sleep(_COMMAND_TIMEOUT_S)
            raise exceptions.PlatformUncertain('no response')
        await asyncio.sleep(_LATENCY_S)
        await self._lose_report(0.0)
        return await self._worker.renew_leases(token, 0, None, 0)

    async def _lose_report(self, wait_s: float) -> None:
        share = self._worker.faults.lost_report_share
        if share and self._rng.random() < share:
            await asyncio.sleep(wait_s + _HOLD_TIMEOUT_S)
            raise exceptions.PlatformUncertain('no response')

    async def start(
        self,
        command: ports.StartCommand,
        token: model.Token,
        *,
        limit_s: float | None = None,
    ) -> int:
        """Starts a run."""
        timeout_s = min(limit_s or _COMMAND_TIMEOUT_S, _COMMAND_TIMEOUT_S)
        return await self._send_command(
            self._worker.start, command, token, timeout_s=timeout_s
        )

    async def stop(
        self, task: model.TaskKey, run: model.RunNumber, token: model.Token
    ) -> int:
        """Stops a run, or prevents its start."""
        return await self._send_command(self._worker.stop, task, run, token)

    async def pace(
        self,
        task: model.TaskKey,
        run: model.RunNumber,
        percent: int,
        token: model.Token,
    ) -> int:
        """Does nothing: tasks of these workers do not slow each other down."""
        await asyncio.sleep(_LATENCY_S)
        return self._worker.clock_ms()

    async def _send_command(
        self,
        command: t.Callable[..., int],
        *args: t.Any,
        timeout_s: float = _COMMAND_TIMEOUT_S,
    ) -> int:
        if not self._reachable():
            self._keep(command, *args)
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        incarnation = self._worker.incarnation
        await asyncio.sleep(_LATENCY_S)
        if not self._worker.up or self._worker.incarnation != incarnation:
            # The process that the command was sent to has ended meanwhile.
            self._keep(command, *args)
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        if self._worker.faults.stalls_starts and command == self._worker.start:
            self._worker.stall(lambda: command(*args))
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        if self._rng.random() < self._worker.faults.delayed_share:
            loop = asyncio.get_running_loop()
            delay_s = self._rng.uniform(2.0, 12.0)
            loop.call_later(
                delay_s, self._execute_late, incarnation, command, *args
            )
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        clock_ms = command(*args)
        if self._rng.random() < self._worker.faults.lost_reply_share:
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        return clock_ms

    def _execute_late(
        self, incarnation: int, command: t.Callable[..., int], *args: t.Any
    ) -> None:
        if not self._worker.up or self._worker.incarnation != incarnation:
            # The process that the command was sent to has ended meanwhile.
            self._keep(command, *args)
            return
        _execute_unanswered(lambda: command(*args))

    def close(self) -> None:
        """Closes the connection."""
        self._incarnation = None
