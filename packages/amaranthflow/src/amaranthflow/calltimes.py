"""Slowdown of latency-critical classes, measured from their calls."""

import dataclasses

from . import ids

MIN_CALLS = 20
MAX_CLASSES = 256
_BASELINE_CALLS = 200.0


@dataclasses.dataclass(slots=True)
class _Window:
    """Calls of one class on one worker since the last ``take``."""

    total_s: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class _Baseline:
    """Mean time of calls without a batch task on the same worker."""

    mean_s: float = 0.0
    count: float = 0.0

    def add(self, seconds: float) -> None:
        self.count = min(self.count + 1.0, _BASELINE_CALLS)
        self.mean_s += (seconds - self.mean_s) / self.count


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallSlowdown:
    """Slowdown of a class on a worker, relative to no batch tasks.

    :ivar slowdown: mean time over mean time without batch tasks.
    :ivar calls: number of calls that were measured.
    """

    task_class: ids.TaskClass
    slowdown: float
    calls: int


class CallTimes:
    """Compares call times beside batch tasks with those without any.

    A class has no slowdown until ``MIN_CALLS`` calls without a batch task on
    the same worker were measured. At most ``MAX_CLASSES`` classes are kept.
    """

    def __init__(self):
        self._baselines: dict[ids.TaskClass, _Baseline] = {}
        self._windows: dict[ids.WorkerId, dict[ids.TaskClass, _Window]] = {}

    def note(
        self,
        worker_id: ids.WorkerId,
        task_class: ids.TaskClass,
        seconds: float,
        batch_tasks: int,
    ) -> None:
        """Records the time of one answered call.

        :param batch_tasks: batch tasks on the worker during the call.
        """
        if batch_tasks:
            windows = self._windows.setdefault(worker_id, {})
            window = windows.setdefault(task_class, _Window())
            window.total_s += seconds
            window.count += 1
            return
        baseline = self._baselines.get(task_class)
        if baseline is None:
            if len(self._baselines) >= MAX_CLASSES:
                return
            baseline = self._baselines[task_class] = _Baseline()
        baseline.add(seconds)

    def take(self, worker_id: ids.WorkerId) -> tuple[CallSlowdown, ...]:
        """Returns slowdowns with enough calls and resets their windows."""
        windows = self._windows.get(worker_id, {})
        slowdowns = []
        for task_class, window in list(windows.items()):
            baseline = self._baselines.get(task_class)
            if baseline is None or baseline.count < MIN_CALLS:
                del windows[task_class]
            elif window.count >= MIN_CALLS:
                del windows[task_class]
                mean_s = window.total_s / window.count
                slowdowns.append(
                    CallSlowdown(
                        task_class=task_class,
                        slowdown=mean_s / baseline.mean_s,
                        calls=window.count,
                    )
                )
        return tuple(slowdowns)

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Removes the calls on a worker that is no longer owned."""
        self._windows.pop(worker_id, None)
