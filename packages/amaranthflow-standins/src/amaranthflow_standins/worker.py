"""A worker in memory that is called without a network."""

import asyncio
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import worker_adapter

from . import machine as machine_lib
from . import timeouts


class WorkerStandin:
    """Implements ``amaranthflow.platform.WorkerLink`` for one machine.

    An operation that times out may still be executed later, as on a worker
    that was paused.

    :param timeout_s: timeout of every operation except ``call``.
    """

    def __init__(
        self,
        *,
        machine: machine_lib.Machine,
        clock: clock_lib.Clock,
        timeout_s: float = 5.0,
    ):
        self.machine = machine
        self._clock = clock
        self._timeout_s = timeout_s
        self._calls = 0
        self._pending: set[asyncio.Task] = set()

    async def call(self, call: platform.BackendCall) -> bytes:
        """Runs a request; see ``platform.WorkerLink``."""
        self._count_calls(1)
        try:
            answer = await self._deliver(
                self.machine.run_call(call), call.timeout_ms / 1000
            )
        finally:
            self._count_calls(-1)
        return worker_adapter.check_response(
            call,
            worker_adapter.ResponseHead(
                request_id=answer.request_id,
                attempt=str(answer.attempt),
                length=str(answer.length),
                sha256=answer.sha256,
            ),
            answer.body,
        )

    async def start(self, start: platform.TaskStart) -> None:
        """Starts a task."""
        await self._deliver(self.machine.start(start), self._timeout_s)

    async def renew(
        self, task_ids: t.Sequence[ids.TaskId], lease_ms: int
    ) -> None:
        """Extends leases."""
        work = self.machine.renew(task_ids, lease_ms)
        await self._deliver(work, self._timeout_s)

    async def tasks(self) -> tuple[platform.TaskReport, ...]:
        """Returns reports of running and ended tasks."""
        return await self._deliver(self.machine.tasks(), self._timeout_s)

    async def usage(self) -> tuple[platform.UsageReport, ...]:
        """Returns delayed measurements of running tasks."""
        return await self._deliver(self.machine.usage(), self._timeout_s)

    async def checkpoint(self, task_id: ids.TaskId) -> str:
        """Writes a checkpoint of a task."""
        work = self.machine.checkpoint(task_id)
        return await self._deliver(work, self._timeout_s)

    async def throttle(self, task_id: ids.TaskId, share: float) -> None:
        """Limits a task to a share of its cores."""
        work = self.machine.throttle(task_id, share)
        await self._deliver(work, self._timeout_s)

    async def stop(self, task_id: ids.TaskId) -> platform.TaskReport:
        """Stops a task."""
        work = self.machine.stop(task_id)
        return await self._deliver(work, self._timeout_s)

    async def close(self) -> None:
        """Cancels operations that outlived their timeout."""
        await timeouts.cancel(*self._pending)

    def _count_calls(self, delta: int) -> None:
        self._calls += delta
        self.machine.count_connections(self._calls)

    async def _deliver(self, work: t.Coroutine, timeout_s: float):
        task = asyncio.ensure_future(work)
        self._pending.add(task)
        task.add_done_callback(self._on_done)
        try:
            return await timeouts.run_with_timeout(
                self._clock, asyncio.shield(task), timeout_s
            )
        except TimeoutError as exc:
            reason = 'the worker does not answer'
            raise exceptions.PlatformUncertain(reason) from exc

    def _on_done(self, task: asyncio.Task) -> None:
        self._pending.discard(task)
        if not task.cancelled():
            task.exception()
