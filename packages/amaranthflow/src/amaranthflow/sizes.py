"""Task sizes learned from usage, which replace the declared sizes."""

import dataclasses
import math

from . import ids
from . import platform
from . import world

_MEMORY_MARGIN = 1.1
_MIN_CORES = 0.1
_MIN_GAIN = 0.02


@dataclasses.dataclass(slots=True)
class _Usage:
    """Usage of one tenant's task class.

    :ivar tasks: tasks that count as measured, up to the number needed.
    :ivar cores_square: mean of the squared cores.
    :ivar peak_mb: peak memory in the current window.
    """

    window_start_ms: int
    tasks: set[ids.TaskId] = dataclasses.field(default_factory=set)
    cores_mean: float = 0.0
    cores_square: float = 0.0
    cores_at_ms: int = -(2**62)
    peak_mb: int = 0
    previous_peak_mb: int = 0

    @property
    def memory_mb(self) -> int:
        """Peak of the current and the previous window."""
        return max(self.peak_mb, self.previous_peak_mb)

    @property
    def cores(self) -> float:
        """Mean of the measured cores plus one standard deviation."""
        variance = self.cores_square - self.cores_mean**2
        return self.cores_mean + math.sqrt(max(0.0, variance))


class SizeModel:
    """Learns the cores and the peak memory of each tenant's task classes.

    Reserved memory is raised by the first measured peak above it, plus a
    margin. It falls below the declared memory only after reports of several
    tasks. A peak counts for one to two windows. Cores follow an exponential
    moving average.

    :param tasks_needed: measured tasks that replace the declared size.
    :param settled_ms: age from which a task counts as measured, since memory
        grows in the first part of a run.
    :param half_life_ms: time in which measured cores lose half their weight.
    :param window_ms: least time for which a measured peak counts.
    :param max_entries: limit of classes; the least recently measured one is
        evicted.
    """

    def __init__(
        self,
        *,
        tasks_needed: int = 3,
        settled_ms: int = 20_000,
        half_life_ms: int = 600_000,
        window_ms: int = 86_400_000,
        max_entries: int = 4096,
    ):
        self._tasks_needed = tasks_needed
        self._settled_ms = settled_ms
        self._decay_per_ms = math.log(2) / half_life_ms
        self._window_ms = window_ms
        self._max_entries = max_entries
        self._usages: dict[tuple[ids.TenantId, ids.TaskClass], _Usage] = {}

    def observe(
        self,
        tenant_id: ids.TenantId,
        report: platform.UsageReport,
        age_ms: int | None = None,
    ) -> None:
        """Learns from one report of one of the tenant's tasks.

        :param age_ms: how long the task had run when it was measured; None,
            if unknown, counts as settled.
        """
        key = (tenant_id, report.task_class)
        usage = self._usages.pop(key, None)
        if usage is None:
            usage = _Usage(report.measured_at_ms)
        self._usages[key] = usage
        self._rotate_window(usage, report.measured_at_ms)
        peak_mb = max(report.memory_mb, report.peak_memory_mb)
        usage.peak_mb = max(usage.peak_mb, peak_mb)
        settled = age_ms is None or age_ms >= self._settled_ms
        if settled and len(usage.tasks) < self._tasks_needed:
            usage.tasks.add(report.task_id)
        self._average_cores(usage, report)
        if len(self._usages) > self._max_entries:
            del self._usages[next(iter(self._usages))]

    def size_for(
        self,
        tenant_id: ids.TenantId,
        task_class: ids.TaskClass,
        declared: world.Size,
    ) -> world.Size:
        """Returns the size to reserve for a task.

        Accelerators are always as declared.
        """
        usage = self._usages.get((tenant_id, task_class))
        if usage is None:
            return declared
        memory_mb = math.ceil(usage.memory_mb * _MEMORY_MARGIN)
        confidence = len(usage.tasks) / self._tasks_needed
        if confidence < 1.0:
            memory_mb = max(memory_mb, declared.memory_mb)
        cores = confidence * usage.cores + (1.0 - confidence) * declared.cores
        return world.Size(
            cores=max(cores, _MIN_CORES),
            memory_mb=memory_mb,
            accelerators=declared.accelerators,
        )

    def _rotate_window(self, usage: _Usage, at_ms: int) -> None:
        elapsed_ms = at_ms - usage.window_start_ms
        if elapsed_ms < self._window_ms:
            return
        recent = elapsed_ms < 2 * self._window_ms
        usage.previous_peak_mb = usage.peak_mb if recent else 0
        usage.peak_mb = 0
        usage.window_start_ms = at_ms

    def _average_cores(
        self, usage: _Usage, report: platform.UsageReport
    ) -> None:
        elapsed_ms = max(0, report.measured_at_ms - usage.cores_at_ms)
        retained = math.exp(-elapsed_ms * self._decay_per_ms)
        gain = max(1.0 - retained, _MIN_GAIN)
        usage.cores_mean += gain * (report.cores - usage.cores_mean)
        square = report.cores**2
        usage.cores_square += gain * (square - usage.cores_square)
        usage.cores_at_ms = max(usage.cores_at_ms, report.measured_at_ms)
