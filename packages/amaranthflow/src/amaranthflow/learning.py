"""Matches delayed usage reports with the neighbours at measurement time."""

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

_HISTORY_MS = 60_000
_MAX_HISTORY = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _TaskSnapshot:
    """Tasks on a worker from ``at_ms`` on.

    :ivar shares: share of its cores that each throttled task keeps.
    """

    at_ms: int
    tasks: dict[ids.TaskId, world.Task]
    shares: dict[ids.TaskId, float]


class UsageLearner:
    """Feeds usage reports to the models of interference, sizes and relief.

    :ivar interference: learns from each report with known neighbours.
    :ivar sizes: learns from each report of a known batch task.
    :ivar relief: gets the measured slowdowns of latency-critical tasks.
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
        self._histories: dict[
            ids.WorkerId, collections.deque[_TaskSnapshot]
        ] = {}

    def note_tasks(self, ledger: world.WorkerLedger, now_ms: int) -> None:
        """Records the tasks on a worker; call after each change of them."""
        worker_id = ledger.worker.worker_id
        history = self._histories.get(worker_id)
        if history is None:
            history = collections.deque(maxlen=_MAX_HISTORY)
            self._histories[worker_id] = history
        while history and history[0].at_ms < now_ms - _HISTORY_MS:
            history.popleft()
        shares = self.relief.shares(worker_id)
        history.append(_TaskSnapshot(now_ms, ledger.tasks.copy(), shares))

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Removes the history of a worker that was lost or handed over."""
        self._histories.pop(worker_id, None)

    def learn(
        self,
        ledger: world.WorkerLedger,
        reports: t.Iterable[platform.UsageReport],
        now_ms: int,
    ) -> None:
        """Learns from the reports of one worker.

        A report is ignored unless its task is known to have run there at the
        time of measurement. If a running task's peak memory exceeds its
        reservation, the reservation is raised; the ledger may then exceed
        the worker's capacity, which relief corrects.
        """
        history = self._histories.get(ledger.worker.worker_id, ())
        for report in reports:
            snapshot = _snapshot_at(history, report.measured_at_ms)
            task = snapshot and snapshot.tasks.get(report.task_id)
            if task is None:
                continue
            self._learn_size(task, report)
            self._learn_slowdown(ledger, snapshot, task, report, now_ms)
            _raise_reservation(ledger, report)

    def learn_from_calls(
        self,
        ledger: world.WorkerLedger,
        measured: t.Iterable[calltimes.CallSlowdown],
        now_ms: int,
    ) -> None:
        """Learns from measured call times of latency-critical classes."""
        neighbours: dict[ids.TaskClass, float] = {}
        for task in ledger.tasks.values():
            if task.kind is world.TaskKind.BATCH:
                share = self.relief.share(
                    ledger.worker.worker_id, task.task_id
                )
                share += neighbours.get(task.task_class, 0.0)
                neighbours[task.task_class] = share
        for call in measured:
            self.interference.observe(
                call.task_class, neighbours, call.slowdown, now_ms, now_ms
            )
            self.relief.note_slowdown(
                ledger.worker.worker_id,
                call.task_class,
                call.slowdown,
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
        snapshot: _TaskSnapshot,
        task: world.Task,
        report: platform.UsageReport,
        now_ms: int,
    ) -> None:
        measured_at_ms = report.measured_at_ms
        self.interference.observe(
            task.task_class,
            _neighbours(snapshot, task.task_id),
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


def _snapshot_at(
    history: t.Sequence[_TaskSnapshot], measured_at_ms: int
) -> _TaskSnapshot | None:
    """Returns the newest snapshot that is not later, None if unknown."""
    index = bisect.bisect_right(
        history, measured_at_ms, key=lambda snapshot: snapshot.at_ms
    )
    return history[index - 1] if index else None


def _neighbours(
    snapshot: _TaskSnapshot, task_id: ids.TaskId
) -> dict[ids.TaskClass, float]:
    neighbours: dict[ids.TaskClass, float] = {}
    for other_id, other in snapshot.tasks.items():
        if other_id != task_id:
            weight = snapshot.shares.get(other_id, 1.0)
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
