"""What the leader knows about services and the opportunistic runs beside them.

Joins interference and exposure: each report of a worker updates both, and new
paces follow from it.
"""

import typing as t

from . import exposure
from . import pacing
from . import tail_latency
from . import workers


class Colocation:
    """Interference and exposure of all services.

    :ivar tail_model: what opportunistic runs do to services.
    :ivar exposure: how near each service is to failing its callers.
    """

    def __init__(self):
        self.exposure = exposure.Exposure()
        self.tail_model = tail_latency.TailModel()

    def on_report(
        self, worker: workers.Worker, now_s: float, now_ms: int
    ) -> list[pacing.PaceChange]:
        """Learns from a worker's newest report and returns new paces."""
        if worker.service_count:
            self.exposure.observe(worker, now_s)
        self.tail_model.observe(worker, now_s, now_ms)
        return pacing.plan(worker, self.tail_model, now_s)

    def mark_silent(
        self, found: t.Iterable[workers.Worker], since_s: float
    ) -> None:
        """Counts tasks of which nothing was heard since a time as hurt."""
        for worker in found:
            if not worker.service_count or worker.last_report_s is None:
                continue
            if worker.last_report_s < since_s:
                self.exposure.mark_silent(worker)
