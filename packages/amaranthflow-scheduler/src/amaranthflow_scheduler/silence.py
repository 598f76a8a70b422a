"""Which workers have not reported lately.

Answers leaders of thousands of workers that cannot renew their term: whether
all workers still report is asked for each command, and must not take a look at
each worker.
"""

import typing as t

from amaranthflow import ids

from . import model
from . import report_intervals
from . import workers

# An unconfirmed leader may go on with reports up to this age.
_MAX_AGE_S = report_intervals.silent_after_s(0)
# A worker that is added counts after this time at the latest.
_RECHECK_S = 0.05


class Silence:
    """Listed workers of the queues without a new report.

    :param fleet: all workers, which the caller keeps up to date.
    :param queues: all queues, which the caller keeps up to date.
    """

    def __init__(
        self,
        fleet: t.Mapping[ids.WorkerId, workers.Worker],
        queues: t.Mapping[model.QueueId, model.Queue],
    ):
        self._fleet = fleet
        self._queues = queues
        self._silent: workers.Worker | None = None
        self._all_heard_until_s = float('-inf')

    def count(self, now_s: float) -> int:
        """Returns the number of silent workers."""
        return sum(
            _is_silent(worker, now_s) for worker in self._listed_workers()
        )

    def hears_all(self, now_s: float) -> bool:
        """Returns whether each listed worker has just reported.

        Each report proves that the worker knew no higher token.
        """
        if now_s < self._all_heard_until_s:
            return True
        silent = self._silent
        if (
            silent is not None
            and self._fleet.get(silent.id) is silent
            and silent.unlisted_since_s is None
            and _is_silent(silent, now_s)
        ):
            return False
        self._silent = None
        oldest_s = now_s
        for worker in self._listed_workers():
            if _is_silent(worker, now_s):
                self._silent = worker
                return False
            oldest_s = min(oldest_s, worker.last_report_s or now_s)
        if not self._fleet:
            return False
        self._all_heard_until_s = min(
            oldest_s + _MAX_AGE_S, now_s + _RECHECK_S
        )
        return True

    def _listed_workers(self) -> t.Iterator[workers.Worker]:
        services = {queue.service for queue in self._queues.values()}
        return (
            worker
            for worker in self._fleet.values()
            if worker.unlisted_since_s is None
            and worker.entry.service in services
        )


def _is_silent(worker: workers.Worker, now_s: float) -> bool:
    last_s = worker.last_report_s
    return last_s is None or now_s - last_s > _MAX_AGE_S
