"""Stand-in for the adviser, which decides where steps may run."""

import asyncio
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import model

_MAX_WAITING = 32


class TaskAdviser:
    """Handles one call after the other, also those that were given up.

    :param policy: how long a call takes, and its tickets are valid.
    :ivar available: as of ``ports.Adviser``.
    :ivar lost_calls: number of further calls that it does not receive.
    :ivar refused: workers for which it gives no ticket.
    :ivar calls: number of calls that it has handled.
    :ivar asked_about: how often each worker was named.
    """

    available = True

    def __init__(
        self,
        *,
        policy: model.AdvicePolicy,
        born_ms: t.Callable[[ids.WorkerId], int],
    ):
        self.policy = policy
        self.lost_calls = 0
        self.refused: set[str] = set()
        self.calls = 0
        self.asked_about: list[ids.WorkerId] = []
        self._born_ms = born_ms
        self._loop = asyncio.get_running_loop()
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._tickets: dict[tuple[tuple, ids.WorkerId, str], float] = {}

    async def advise(
        self,
        job: ids.JobId,
        occurrence: int,
        step: int,
        workers: t.Sequence[ids.WorkerId],
        *,
        limit_s: float,
    ) -> tuple[dict[ids.WorkerId, str], int]:
        """Returns tickets; see ``ports.Adviser``."""
        if self._waiting >= _MAX_WAITING:
            raise exceptions.PlatformError('adviser: 429')
        if self.lost_calls:
            self.lost_calls -= 1
            await asyncio.sleep(limit_s)
            raise exceptions.PlatformUncertain('no response')
        call = self._loop.create_task(
            self._handle((job, occurrence, step), list(workers))
        )
        done, _ = await asyncio.wait({call}, timeout=limit_s)
        if not done:
            raise exceptions.PlatformUncertain('no response')
        return call.result(), self.policy.valid_ms

    async def _handle(
        self, step: tuple, workers: list[ids.WorkerId]
    ) -> dict[ids.WorkerId, str]:
        self._waiting += 1
        async with self._turn:
            await asyncio.sleep(self.policy.call_ms(len(workers)) / 1000)
        self._waiting -= 1
        self.calls += 1
        self.asked_about.extend(workers)
        until_s = self._loop.time() + self.policy.valid_ms / 1000
        good = [worker for worker in workers if worker not in self.refused]
        tickets = {w: f'{w}-{self._born_ms(w)}' for w in good}
        for worker, text in tickets.items():
            self._tickets[step, worker, text] = until_s
        return tickets

    def permits(
        self, task: model.TaskKey, worker: ids.WorkerId, ticket: str
    ) -> bool:
        """Returns whether a worker accepts a ticket for a task now."""
        step = (task.job, task.occurrence, task.step)
        until_s = self._tickets.get((step, worker, ticket), 0.0)
        own = ticket == f'{worker}-{self._born_ms(worker)}'
        return own and self._loop.time() < until_s
