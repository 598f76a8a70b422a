"""Checks of workers, at most one of each worker at a time."""

import asyncio
import dataclasses
import typing as t

from amaranthflow import ids

from . import workers


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Check:
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    passed: bool = False


class SharedChecks:
    """Lets all who ask about a worker before the answer share one check."""

    def __init__(self):
        self._pending: dict[ids.WorkerId, _Check] = {}

    async def passes(
        self,
        worker: workers.Worker,
        check: t.Callable[[], t.Awaitable[bool]],
    ) -> bool:
        """Returns whether a worker passes the check that is pending.

        :param check: checks the worker if no check of it is pending.
        """
        pending = self._pending.get(worker.id)
        if pending is not None:
            await pending.done.wait()
            return pending.passed
        own = self._pending[worker.id] = _Check()
        try:
            own.passed = await check()
        finally:
            del self._pending[worker.id]
            own.done.set()
        return own.passed
