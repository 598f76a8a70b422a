"""First-fit placement, the baseline of differential tests and benchmarks."""

import typing as t

from . import ids
from . import world


class FirstFitPlacer:
    """Chooses the first worker, in the order of addition, with capacity."""

    def __init__(self):
        self._ledgers: dict[ids.WorkerId, world.WorkerLedger] = {}

    def add(self, ledger: world.WorkerLedger) -> None:
        """Makes a worker available."""
        self._ledgers[ledger.worker.worker_id] = ledger

    def remove(self, worker_id: ids.WorkerId) -> None:
        """Removes a worker; unknown ids are ignored."""
        self._ledgers.pop(worker_id, None)

    def refresh(self, worker_id: ids.WorkerId) -> None:
        """Does nothing: ``choose`` reads the ledgers."""

    def choose(
        self, task: world.Task, avoid: t.Collection[ids.WorkerId] = ()
    ) -> world.Placement | None:
        """Returns the first worker where the task fits, or None."""
        for worker_id, ledger in self._ledgers.items():
            if worker_id not in avoid and ledger.can_reserve(task):
                return world.Placement(
                    worker_id=worker_id, reason='first worker with room'
                )
        return None
