"""Stand-in of a worker that runs tasks under leases and tokens."""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports

from . import record_store

_ANSWER_S = 0.002
_ORDER_SILENCE_S = 0.4
_HOLD_SILENCE_S = 0.6
_HOLD_MAX_MS = 6_000
_MOST_ENDS = 500
_BEAT_S = 1.1
_MISSED_BEATS = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """What goes wrong now.

    :ivar unreachable_from: instances that cannot reach the worker; "*" is all.
    :ivar delayed_share: share of orders that get no answer and are carried out
        seconds later.
    :ivar lost_reply_share: share of orders that are done and not answered.
    :ivar fails: all runs fail.
    :ivar hangs: no run moves on.
    :ivar slowdown: runs take this many times as long.
    """

    unreachable_from: set[str] = dataclasses.field(default_factory=set)
    delayed_share: float = 0.0
    lost_reply_share: float = 0.0
    fails: bool = False
    hangs: bool = False
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class StandinRun:
    """A run on a worker; times in virtual seconds."""

    task: model.TaskKey
    run: int
    token: int
    started_s: float
    duration_s: float
    ended_s: float | None = None
    ending: model.RunOutcome | None = None


class Plan(t.Protocol):
    """What a task does when it runs."""

    def duration_s(self, task: model.TaskKey) -> float:
        """Seconds of work; infinite for a service."""

    def fails(self, task: model.TaskKey, run: int) -> bool:
        """Tells whether a run fails by its own fault."""


class TaskWorker:
    """One worker; ``history`` keeps its runs for checks.

    :param clock_rate: its clock's seconds in a second.
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
        self._plan = plan
        self._rng = rng
        self._history = history
        self._clock_rate = clock_rate
        self._loop = asyncio.get_running_loop()
        self._changed = asyncio.Event()
        self._reset()

    def _reset(self) -> None:
        self.token = 0
        self.started_s = self._loop.time()
        self.running: dict[model.TaskKey, StandinRun] = {}
        self._ends: list[ports.End] = []
        self._number = 0
        self._barred: dict[model.TaskKey, int] = {}
        self._deadline_ms = 0
        self._lease: asyncio.TimerHandle | None = None

    @property
    def id(self) -> ids.WorkerId:
        """Id of the worker."""
        return self.entry.id

    def clock_ms(self) -> int:
        """Returns the worker's own clock."""
        passed_s = self._loop.time() - self.started_s
        return int(passed_s * self._clock_rate * 1000)

    def crash(self) -> None:
        """Ends all runs; nothing is listed, nothing is known any more."""
        for run in list(self.running.values()):
            run.ended_s = self._loop.time()
        self.up = False
        if self._lease is not None:
            self._lease.cancel()
        self._reset()

    def restart(self) -> None:
        """Begins another life under the same id."""
        self.incarnation += 1
        self.up = True
        self._reset()

    def replace(self) -> None:
        """Ends for good; another worker answers at the address."""
        self.crash()
        self.replaced = True

    # orders

    def start(self, order: ports.StartOrder, token: int) -> int:
        """Carries out a start order."""
        self._check(token)
        self._extend(order.deadline_ms)
        found = self.running.get(order.task)
        if found is not None and found.run == order.run:
            return self.clock_ms()
        if order.run <= self._barred.get(order.task, 0) or found is not None:
            raise ports.OrderRefused(ports.Refusal.OLD)
        if order.deadline_ms <= self.clock_ms():
            raise ports.OrderRefused(ports.Refusal.LATE)
        duration_s = self._plan.duration_s(order.task) * self.faults.slowdown
        run = StandinRun(
            task=order.task,
            run=order.run,
            token=token,
            started_s=self._loop.time(),
            duration_s=duration_s,
        )
        self.running[order.task] = run
        self._history.append((self, run))
        if duration_s != float('inf') and not self.faults.hangs:
            self._loop.call_later(duration_s, self._finish, run)
        return self.clock_ms()

    def stop(self, task: model.TaskKey, run: int, token: int) -> int:
        """Carries out a stop order."""
        self._check(token)
        self._barred[task] = max(run, self._barred.get(task, 0))
        found = self.running.get(task)
        if found is not None and found.run <= run:
            self._end(found, model.RunOutcome.STOPPED)
        return self.clock_ms()

    def _check(self, token: int) -> None:
        if token < self.token:
            raise ports.OrderRefused(ports.Refusal.TOKEN)
        self.token = token

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms() + _HOLD_MAX_MS)
        if deadline_ms <= self._deadline_ms:
            return
        self._deadline_ms = deadline_ms
        if self._lease is not None:
            self._lease.cancel()
        left_s = (deadline_ms - self.clock_ms()) / 1000 / self._clock_rate
        self._lease = self._loop.call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, model.RunOutcome.LEASE_EXPIRED)

    def _finish(self, run: StandinRun) -> None:
        if run.ended_s is not None or self.running.get(run.task) is not run:
            return
        fails = self.faults.fails or self._plan.fails(run.task, run.run)
        self._end(
            run, model.RunOutcome.FAILED if fails else model.RunOutcome.DONE
        )

    def _end(self, run: StandinRun, ending: model.RunOutcome) -> None:
        run.ended_s = self._loop.time()
        run.ending = ending
        self.running.pop(run.task, None)
        self._barred[run.task] = max(run.run, self._barred.get(run.task, 0))
        self._number += 1
        end = ports.End(self._number, run.task, run.run, ending, '')
        self._ends.append(end)
        self._changed.set()
        self._changed = asyncio.Event()

    async def hold(
        self, token: int, observed: int, deadline_ms: int | None, wait_ms: int
    ) -> ports.Report:
        """Carries out a hold."""
        self._check(token)
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self._ends = [end for end in self._ends if end.number > observed]
        incarnation = self.incarnation
        if wait_ms and not self._ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing ended: the report says what runs.
                pass
        if incarnation != self.incarnation or not self.up:
            raise exceptions.PlatformUncertain('connection lost')
        now_s = self._loop.time()
        return ports.Report(
            clock_ms=self.clock_ms(),
            born_ms=self.incarnation,
            running=[
                ports.Progress(
                    run.task,
                    model.RunNumber(run.run),
                    '',
                    _percent(run, now_s),
                    0.0,
                )
                for run in self.running.values()
            ],
            ended=self._ends[:_MOST_ENDS],
        )


def _percent(run: StandinRun, now_s: float) -> float:
    return min(99.0, 100 * (now_s - run.started_s) / run.duration_s)


async def send_heartbeats(
    worker: TaskWorker,
    store: record_store.RecordStore,
    encode: t.Callable[[TaskWorker, int], bytes],
) -> None:
    """Keeps a worker's entry in the store while it reaches it.

    :param encode: returns the entry, given the number of the heartbeat.
    """
    missed = seq = 0
    key = worker.id.encode()
    while True:
        seq += 1
        if worker.up and '*' not in worker.faults.unreachable_from:
            missed = 0
            store.put(ports.Table.WORKERS, key, encode(worker, seq))
        else:
            missed += 1
            if missed == _MISSED_BEATS:
                store.put(ports.Table.WORKERS, key, b'')
        await asyncio.sleep(_BEAT_S)


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
        """Tells whether the worker has reported on a connection still open."""
        return (
            self._incarnation == self._worker.incarnation and self._worker.up
        )

    def _reachable(self) -> bool:
        cut = self._worker.faults.unreachable_from
        return self._worker.up and not cut & {'*', self._instance}

    async def hold(
        self,
        *,
        token: model.Token,
        observed: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> ports.Report:
        """Renews leases and lists runs."""
        if self._worker.replaced:
            await asyncio.sleep(_ANSWER_S)
            raise ports.OrderRefused(ports.Refusal.OTHER_LIFE)
        if not self._reachable():
            self._incarnation = None
            await asyncio.sleep(_HOLD_SILENCE_S)
            raise exceptions.PlatformUncertain('no answer')
        await asyncio.sleep(_ANSWER_S)
        self._incarnation = self._worker.incarnation
        report = await self._worker.hold(token, observed, deadline_ms, wait_ms)
        if not self._reachable():
            self._incarnation = None
            raise exceptions.PlatformUncertain('no answer')
        return report

    async def start(self, order: ports.StartOrder, token: model.Token) -> int:
        """Starts a run."""
        return await self._order(self._worker.start, order, token)

    async def stop(
        self, task: model.TaskKey, run: model.RunNumber, token: model.Token
    ) -> int:
        """Stops a run, or keeps it from starting."""
        return await self._order(self._worker.stop, task, run, token)

    async def pace(
        self,
        task: model.TaskKey,
        run: model.RunNumber,
        percent: int,
        token: model.Token,
    ) -> int:
        """Does nothing: these workers have no neighbours that disturb."""
        await asyncio.sleep(_ANSWER_S)
        return self._worker.clock_ms()

    async def _order(self, order: t.Callable[..., int], *args: t.Any) -> int:
        if not self._reachable():
            await asyncio.sleep(_ORDER_SILENCE_S)
            raise exceptions.PlatformUncertain('no answer')
        await asyncio.sleep(_ANSWER_S)
        if self._rng.random() < self._worker.faults.delayed_share:
            loop = asyncio.get_running_loop()
            delay_s = self._rng.uniform(2.0, 12.0)
            incarnation = self._worker.incarnation
            loop.call_later(
                delay_s, self._carry_out, incarnation, order, *args
            )
            await asyncio.sleep(_ORDER_SILENCE_S)
            raise exceptions.PlatformUncertain('no answer')
        clock_ms = order(*args)
        if self._rng.random() < self._worker.faults.lost_reply_share:
            await asyncio.sleep(_ORDER_SILENCE_S)
            raise exceptions.PlatformUncertain('no answer')
        return clock_ms

    def _carry_out(
        self, incarnation: int, order: t.Callable[..., int], *args: t.Any
    ) -> None:
        # A worker that starts again knows nothing of before.
        if not self._worker.up or self._worker.incarnation != incarnation:
            return
        try:
            order(*args)
        except ports.OrderRefused:
            # Refused late: nobody waits for the answer.
            return

    def close(self) -> None:
        """Closes the connection."""
        self._incarnation = None
