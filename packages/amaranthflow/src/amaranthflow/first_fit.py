"""Naive policies: the baseline of the differential tests and benchmarks."""

import typing as t

from . import ids
from . import world


class FirstFitPlacer:
    """Places a task on the first worker with room, in order of addition."""

    def __init__(self):
        self._ledgers: dict[ids.WorkerId, world.WorkerLedger] = {}

    def add(self, ledger: world.WorkerLedger) -> None:
        """Makes a worker available."""
        self._ledgers[ledger.worker.worker_id] = ledger

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Takes a worker away."""
        self._ledgers.pop(worker_id, None)

    def refresh(self, worker_id: ids.WorkerId) -> None:
        """Does nothing: every choice looks at the ledgers themselves."""

    def choose(
        self, task: world.Task, avoid: t.Collection[ids.WorkerId] = ()
    ) -> world.Placement | None:
        """Returns the first worker with room, or None."""
        for worker_id, ledger in self._ledgers.items():
            if worker_id not in avoid and ledger.has_room(task):
                return world.Placement(
                    worker_id=worker_id, reason='first worker with room'
                )
        return None
