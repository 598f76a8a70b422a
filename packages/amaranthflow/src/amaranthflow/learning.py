"""Brings late usage reports together with what ran beside a task then."""

import bisect
import collections
import dataclasses
import typing as t

from . import calltimes
from . import ids
from . import interference
from . import platform
from . import relief as relief_lib
from . import sizes as sizes_lib
from . import world

_KEPT_MS = 60_000
_MAX_MOMENTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _Moment:
    """What ran on a worker from a time on."""

    at_ms: int
    tasks: dict[ids.TaskId, world.Task]
    shares: dict[ids.TaskId, float]


class UsageLearner:
    """Feeds usage reports to the models of interference, sizes and relief.

    :ivar interference: learns from each report with known neighbours.
    :ivar sizes: learns from each report of a known batch task.
    :ivar relief: is told of measured latency-critical tasks.
    """

    def __init__(
        self,
        *,
        interference: interference.InterferenceModel,
        sizes: sizes_lib.SizeModel,
        relief: relief_lib.Relief,
    ):
        self.interference = interference
        self.sizes = sizes
        self.relief = relief
        self._workers: dict[ids.WorkerId, collections.deque[_Moment]] = {}

    def note_tasks(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Notes what runs on a worker; call it after each change."""
        worker_id = ledger.worker.worker_id
        moments = self._workers.get(worker_id)
        if moments is None:
            moments = collections.deque(maxlen=_MAX_MOMENTS)
            self._workers[worker_id] = moments
        while moments and moments[0].at_ms < now_ms - _KEPT_MS:
            moments.popleft()
        shares = self.relief.shares(worker_id)
        moments.append(_Moment(now_ms, ledger.tasks.copy(), shares))

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Drops what is known of a worker that was lost or handed over."""
        self._workers.pop(worker_id, None)

    def learn(
        self,
        ledger: world.WorkerLedger,
        reports: t.Iterable[platform.UsageReport],
        now_ms: int,
    ) -> None:
        """Learns from the reports of one worker.

        A report of a task that was not known to run there at that time is
        ignored. A running task that was measured above its reservation has
        it raised; the ledger may then pass its capacity, which relief sees.
        """
        moments = self._workers.get(ledger.worker.worker_id, ())
        for report in reports:
            moment = _at(moments, report.measured_at_ms)
            task = moment and moment.tasks.get(report.task_id)
            if task is None:
                continue
            self._learn_size(task, report)
            self._learn_slowdown(ledger, moment, task, report, now_ms)
            _raise_reservation(ledger, report)

    def learn_from_calls(
        self,
        ledger: world.WorkerLedger,
        measured: t.Iterable[calltimes.CallSlowdown],
        now_ms: int,
    ) -> None:
        """Learns from call times of latency-critical classes of a worker."""
        neighbours: dict[ids.TaskClass, float] = {}
        for task in ledger.tasks.values():
            if task.kind is world.TaskKind.BATCH:
                share = self.relief.share(
                    ledger.worker.worker_id, task.task_id
                )
                share += neighbours.get(task.task_class, 0.0)
                neighbours[task.task_class] = share
        for found in measured:
            self.interference.observe(
                found.task_class, neighbours, found.slowdown, now_ms, now_ms
            )
            self.relief.note_slowdown(
                ledger.worker.worker_id,
                found.task_class,
                found.slowdown,
                now_ms,
            )

    def _learn_size(
        self, task: world.Task, report: platform.UsageReport
    ) -> None:
        if task.kind is world.TaskKind.BATCH:
            age_ms = report.measured_at_ms - task.started_at_ms
            self.sizes.observe(task.tenant_id, report, age_ms)

    def _learn_slowdown(
        self,
        ledger: world.WorkerLedger,
        moment: _Moment,
        task: world.Task,
        report: platform.UsageReport,
        now_ms: int,
    ) -> None:
        measured_at_ms = report.measured_at_ms
        self.interference.observe(
            task.task_class,
            _neighbours(moment, task.task_id),
            report.slowdown,
            measured_at_ms,
            now_ms,
        )
        if task.kind is world.TaskKind.LATENCY:
            self.relief.note_slowdown(
                ledger.worker.worker_id,
                task.task_class,
                report.slowdown,
                measured_at_ms,
            )


def _at(moments: t.Sequence[_Moment], measured_at_ms: int) -> _Moment | None:
    """Returns the newest moment that is not later, None where unknown."""
    index = bisect.bisect_right(
        moments, measured_at_ms, key=lambda moment: moment.at_ms
    )
    return moments[index - 1] if index else None


def _neighbours(
    moment: _Moment, task_id: ids.TaskId
) -> dict[ids.TaskClass, float]:
    neighbours: dict[ids.TaskClass, float] = {}
    for other_id, other in moment.tasks.items():
        if other_id != task_id:
            weight = moment.shares.get(other_id, 1.0)
            weight += neighbours.get(other.task_class, 0.0)
            neighbours[other.task_class] = weight
    return neighbours


def _raise_reservation(
    ledger: world.WorkerLedger, report: platform.UsageReport
) -> None:
    task = ledger.tasks.get(report.task_id)
    if task is None or report.peak_memory_mb <= task.size.memory_mb:
        return
    size = dataclasses.replace(task.size, memory_mb=report.peak_memory_mb)
    ledger.resize(report.task_id, size)
