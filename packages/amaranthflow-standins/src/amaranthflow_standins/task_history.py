"""What callers and workers observed, and which invariants that violates."""

import collections
import dataclasses
import typing as t

from amaranthflow import ids
from amaranthflow_scheduler import model

from . import task_worker

# A second run of a task may still be starting while its job is already
# reported as completed.
_COMPLETION_GRACE_S = 1.0
# All runs of a cancelled job have ended after this time, which covers a
# takeover, a lease on a slow clock, and a stop command.
MAX_RUN_AFTER_CANCEL_S = 12.0
# The platform allows this long for commands in progress when their job is
# cancelled.
_CANCEL_GRACE_S = 3.0
# A capacity that has shrunk counts after this time, which covers the contact
# time of the platform and a heartbeat.
_SHRINK_GRACE_S = 4.1
# Crashes by its runs after which a task may be started only as often as the
# second number. The job of a task that crashes workers may fail after the
# third number of crashes under it.
_MAX_CRASHES = 3
_MAX_STARTS_AFTER_CRASHES = 2
_MIN_CRASHES = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class AcceptedJob:
    """A job as its caller sees it."""

    job: model.Job
    accepted_s: float
    cancelled_s: float | None = None


class TaskHistory:
    """History of a fleet. Times are seconds of one clock.

    :ivar runs: each run with its worker, in order of start.
    :ivar jobs: accepted jobs.
    :ivar shown: time when a caller first saw the newest state of each job.
    :ivar refused: jobs whose submissions were all answered "not accepted".
    """

    def __init__(self):
        self.runs: list[
            tuple[task_worker.TaskWorker, task_worker.StandinRun]
        ] = []
        self.jobs: dict[ids.JobId, AcceptedJob] = {}
        self.shown: dict[ids.JobId, tuple[float, model.JobState]] = {}
        self.refused: set[ids.JobId] = set()

    def record_shown(
        self, job_id: ids.JobId, state: model.JobState, now_s: float
    ) -> None:
        """Records the state that a caller received for a job."""
        known = self.shown.get(job_id)
        if known is None or known[1] is not state:
            self.shown[job_id] = (now_s, state)

    def unexplained_end(
        self, job_id: ids.JobId, state: model.JobState | None
    ) -> t.Iterator[str]:
        """Yields a line if a job was cancelled or failed without a cause."""
        accepted = self.jobs[job_id]
        if state is model.JobState.CANCELLED and accepted.cancelled_s is None:
            yield f'{job_id} is cancelled, but no caller cancelled it'
        if state is model.JobState.FAILED:
            failed = sum(
                run.task.job == job_id
                and run.outcome is model.RunOutcome.FAILED
                for _, run in self.runs
            )
            lost = collections.Counter(
                run.task for _, run in self.runs if run.lost
            )
            given_up = any(
                task.job == job_id and lost[task] >= _MIN_CRASHES
                for task in self._crashes()
            )
            if failed < accepted.job.queue.max_attempts and not given_up:
                yield f'{job_id} failed after {failed} failed runs'

    def unstopped_runs(self, now_s: float) -> list[str]:
        """Returns a line for each run that outlived its cancelled job."""
        return [
            f'{run.task} still runs, but its job was cancelled'
            for _, run in self.runs
            if run.ended_s is None
            and (accepted := self.jobs.get(run.task.job)) is not None
            and accepted.cancelled_s is not None
            and now_s > accepted.cancelled_s + MAX_RUN_AFTER_CANCEL_S
        ]

    def starts_in_zone(self, zone: str, since_s: float) -> list[str]:
        """Returns a line for each run that has started in a zone since then.

        :param since_s: time from which the zone's evacuation is in force.
        """
        return [
            f'{run.task} started in {zone} {run.started_s - since_s:.2f} s '
            f'after the bound of its evacuation'
            for worker, run in self.runs
            if worker.entry.zone == zone and run.started_s > since_s
        ]

    def violations(self) -> list[str]:
        """Returns a line for each violated invariant."""
        findings = [*self._duplicate_runs(), *self._out_of_order_runs()]
        findings.extend(self._over_capacity())
        findings.extend(self._started_after_cancel())
        findings.extend(self._refused_but_ran())
        findings.extend(self._crashed_too_often())
        return findings

    def last_crash_by_task_s(self) -> float:
        """Returns when a task last crashed its worker, or minus infinity."""
        ended_s = [run.ended_s for _, run in self.runs if run.crashed_worker]
        return max(ended_s, default=float('-inf'))

    def _crashes(self) -> list[model.TaskKey]:
        return [run.task for _, run in self.runs if run.crashed_worker]

    def _crashed_too_often(self) -> t.Iterator[str]:
        counts = collections.Counter(self._crashes())
        for task, count in counts.items():
            if count > _MAX_CRASHES + _MAX_STARTS_AFTER_CRASHES:
                yield f'{task} crashed {count} workers'

    def _refused_but_ran(self) -> t.Iterator[str]:
        for _, run in self.runs:
            if run.task.job in self.refused:
                yield f'{run.task} ran, but its job was refused'

    def _by_task(
        self,
    ) -> dict[
        model.TaskKey,
        list[tuple[task_worker.TaskWorker, task_worker.StandinRun]],
    ]:
        runs = collections.defaultdict(list)
        for worker, run in self.runs:
            runs[run.task].append((worker, run))
        return runs

    def _step(self, task: model.TaskKey) -> model.Step:
        return self.jobs[task.job].job.steps[task.step]

    def _duplicate_runs(self) -> t.Iterator[str]:
        for task, runs in self._by_task().items():
            if task.job not in self.jobs or self._step(task).backups:
                continue
            runs.sort(key=lambda pair: pair[1].started_s)
            yield from _repeated_numbers(task, runs)
            for (_, first), (_, second) in zip(runs, runs[1:], strict=False):
                if first.ended_s is None or first.ended_s > second.started_s:
                    yield (
                        f'{task}: run {second.run} started at '
                        f'{second.started_s:.2f} during run {first.run}'
                    )
            for _, run in runs:
                if run.outcome is model.RunOutcome.DONE:
                    later = [r for _, r in runs if r.started_s > run.ended_s]
                    yield from self._started_after_completion(task, run, later)

    def _started_after_completion(
        self,
        task: model.TaskKey,
        done: task_worker.StandinRun,
        later: list[task_worker.StandinRun],
    ) -> t.Iterator[str]:
        shown = self.shown.get(task.job)
        if shown is None or shown[1] is not model.JobState.COMPLETED:
            return
        for run in later:
            if run.started_s > shown[0] + _COMPLETION_GRACE_S:
                yield f'{task}: run {run.run} started after completion'

    def _out_of_order_runs(self) -> t.Iterator[str]:
        done: dict[tuple, float] = {}
        for _, run in self.runs:
            if run.outcome is model.RunOutcome.DONE:
                known = done.get(run.task, float('inf'))
                done[run.task] = min(known, run.ended_s)
        for _, run in self.runs:
            if run.task.job not in self.jobs:
                continue
            job = self.jobs[run.task.job].job
            for number in self._step(run.task).after:
                for index in range(job.steps[number].count):
                    key = run.task._replace(step=number, index=index)
                    if done.get(key, float('inf')) > run.started_s:
                        yield f'{run.task} started before {key} completed'

    def _over_capacity(self) -> t.Iterator[str]:
        by_worker = collections.defaultdict(list)
        for worker, run in self.runs:
            by_worker[worker].append(run)
        for worker, runs in by_worker.items():
            for run in runs:
                used = sum(
                    self._step(other.task).resources.cpu
                    for other in runs
                    if other.task.job in self.jobs
                    and other.started_s <= run.started_s
                    and (
                        other.ended_s is None or other.ended_s > run.started_s
                    )
                    and not self._step(other.task).opportunistic
                )
                if used > _capacity_cpu(worker, run.started_s):
                    yield f'{worker.id}: {used} used at {run.started_s:.2f}'

    def _started_after_cancel(self) -> t.Iterator[str]:
        for _, run in self.runs:
            accepted = self.jobs.get(run.task.job)
            if accepted is None or accepted.cancelled_s is None:
                continue
            if run.started_s > accepted.cancelled_s + _CANCEL_GRACE_S:
                yield f'{run.task} started after its job was cancelled'


def _repeated_numbers(
    task: model.TaskKey,
    runs: list[tuple[task_worker.TaskWorker, task_worker.StandinRun]],
) -> t.Iterator[str]:
    """Yields a line for each run number that was used again.

    A start is sent again to the same worker under its number, and two of its
    incarnations may execute the copies.

    :param runs: the runs of the task, in order of start.
    """
    known: dict[int, tuple[task_worker.TaskWorker, bool]] = {}
    for worker, run in runs:
        before = known.get(run.run)
        is_done = run.outcome is model.RunOutcome.DONE
        known[run.run] = worker, is_done
        if before is not None and (before[0] is not worker or before[1]):
            yield f'{task}: run number {run.run} again on {worker.id}'


def _capacity_cpu(worker: task_worker.TaskWorker, at_s: float) -> int:
    """Returns the most processors that a worker may be given at a time."""
    capacities = list(worker.capacities)
    ends = [since_s for since_s, _ in capacities[1:]] + [float('inf')]
    return max(
        capacity.cpu
        for (since_s, capacity), end_s in zip(capacities, ends, strict=True)
        if since_s <= at_s and end_s > at_s - _SHRINK_GRACE_S
    )
