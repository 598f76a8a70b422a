"""Starts that no worker has answered, and that may still be executed.

The load are workers that leave calls unanswered and carry them out late, also
after they have started again under their ids. Each start command is noted
from before it is sent until it is answered, or its run or the end of its run
is listed.

As long as such a start may be executed, its task is bound to the worker that
it was sent to, and starts on no other one. A worker has one incarnation at a
time and runs nothing of former ones, so that a late start never runs beside
another run, however often the worker restarts.

Nor does the task start there again. A worker that restarts knows no stop, no
token and no end of before, so that its next incarnation would execute a start
that waits there although the task has been done meanwhile. No call can reach
that incarnation earlier, and a start names none. The task waits until the
worker lists its run, or until the start is too old to be executed.

Tasks of services are never done. Their starts are sent again, under their run
numbers, while the worker lists no such run: an incarnation executes a run
number once. They get another number once the present incarnation rejects the
former one, and wait only while their worker can run nothing.
"""

import typing as t

from amaranthflow import ids

from . import execution
from . import model
from . import workers

# Age up to which a start without a response is taken to be executed. The
# platform names no limit; commands were seen to be up to 12 s late.
_MAX_AGE_S = 12.0
# Together with the longest lease, 6.3 s: a gang whose workers are lost starts
# again within 10 s, and a task of a service, which may be without a run for
# 9 s, earlier.
_MAX_SILENT_GANG_AGE_S = 3.5
_MAX_SERVICE_AGE_S = 2.0


def on_answer(attempt: execution.Attempt) -> None:
    """Notes that the worker has answered the newest start of an attempt."""
    _remove(attempt.task, attempt.worker, attempt.run, index=-1)


def on_executed(
    task: execution.TaskRun, worker: ids.WorkerId, run: int
) -> None:
    """Notes that a worker has executed a start, of which it lists the run.

    Any of the copies may be the one; the newest ones are kept.
    """
    _remove(task, worker, run, index=0)


def _remove(
    task: execution.TaskRun, worker: ids.WorkerId, run: int, *, index: int
) -> None:
    found = [
        start
        for start in task.unanswered
        if (start.worker, start.run) == (worker, run)
    ]
    if found:
        task.remove_unanswered([found[index]])


def describe(task: execution.TaskRun) -> list[str]:
    """Returns the unanswered starts of a task, for the log."""
    return [f'{start.run} on {start.worker}' for start in task.unanswered]


def count_waiting(step_runs: t.Iterable[execution.StepRun]) -> int:
    """Returns the number of waiting tasks with unanswered starts."""
    return sum(
        task.waiting
        for step_run in step_runs
        for task in step_run.unsettled.values()
    )


class Bindings:
    """Notes unanswered starts, and tells which tasks are bound to workers.

    :param fleet: all workers, which the caller keeps up to date.
    :param max_lease_s: longest lease that a worker grants.
    """

    def __init__(
        self,
        *,
        fleet: t.Mapping[ids.WorkerId, workers.Worker],
        max_lease_s: float,
    ):
        self._fleet = fleet
        self._max_lease_s = max_lease_s
        # In the order of their starts, as plans have to be repeatable.
        self._unsettled: dict[execution.TaskRun, None] = {}

    def on_sent(self, attempt: execution.Attempt) -> None:
        """Notes that a start command of an attempt is being sent."""
        task = attempt.task
        if task.step_run.step.backups:
            # Several runs at once are permitted.
            return
        task.add_unanswered(
            execution.UnansweredStart(
                attempt.worker, attempt.run, attempt.sent_s
            )
        )
        self._unsettled[task] = None

    def on_restored(self, job_run: execution.JobRun) -> None:
        """Takes over the starts that a record of a job names."""
        for step_runs in job_run.open_occurrences.values():
            for step_run in step_runs:
                for task in step_run.unsettled.values():
                    self._unsettled[task] = None

    def on_replaced(self, worker: ids.WorkerId) -> None:
        """Notes that a worker has ended for good and executes nothing."""
        for task in self._unsettled:
            task.remove_unanswered(
                [start for start in task.unanswered if start.worker == worker]
            )

    def expire(self, now_s: float) -> set[ids.JobId]:
        """Drops starts that are too old to be executed.

        Returns the jobs whose records name them.
        """
        jobs = set()
        for task in list(self._unsettled):
            over = [
                start
                for start in task.unanswered
                if self._is_over(start, task.step_run.step, now_s)
            ]
            if over:
                task.ignored_by |= {start.worker for start in over}
                task.remove_unanswered(over)
                jobs.add(task.key.job)
            if not task.unanswered:
                del self._unsettled[task]
        return jobs

    def _is_over(
        self,
        start: execution.UnansweredStart,
        step: model.Step,
        now_s: float,
    ) -> bool:
        """Returns whether a start can have no effect any more.

        A worker that has reported since it became too old would have listed
        its run; on a silent one that run ends with the longest lease.
        """
        worker = self._fleet.get(start.worker)
        reported_s = None
        if worker is not None and worker.fenced:
            reported_s = worker.last_report_s
        executed_s = start.sent_s + _max_age_s(step, silent=True)
        if reported_s is not None and reported_s > executed_s:
            executed_s = start.sent_s + _max_age_s(step)
            if reported_s > executed_s:
                return True
        return now_s > workers.lease_end_s(executed_s, self._max_lease_s)

    def may_still_run(self, attempt: execution.Attempt, now_s: float) -> bool:
        """Returns whether a run may exist on a worker whose leases have ended.

        The worker is silent. It may still execute the start, or have restarted
        and executed it later than it was sent.
        """
        visible_from_s = attempt.visible_from_s
        if visible_from_s is None or visible_from_s > now_s:
            return True
        step = attempt.task.step_run.step
        return any(
            (start.worker, start.run) == (attempt.worker, attempt.run)
            and not self._is_over(start, step, now_s)
            for start in attempt.task.unanswered
        )


def bound_to(task: execution.TaskRun) -> frozenset[ids.WorkerId]:
    """Returns the workers to which a task is bound.

    With more than one, the task starts nowhere.
    """
    return frozenset(start.worker for start in task.unanswered)


def waiting(step_run: execution.StepRun) -> list[execution.TaskRun]:
    """Returns the waiting tasks of a step that are bound."""
    return [task for task in step_run.unsettled.values() if task.waiting]


def leaves_any(step_run: execution.StepRun) -> bool:
    """Returns whether a waiting task of a step may use any worker."""
    return len(waiting(step_run)) < step_run.waiting


def may_start(
    task: execution.TaskRun, worker: workers.Worker, now_s: float
) -> bool:
    """Returns whether a bound task may start on its worker again.

    The worker has to have answered a start since, or to be in another
    incarnation, which has rejected none yet.
    """
    if not may_repeat(task) or now_s < worker.refused_until_s:
        return False
    newest_s = max(start.sent_s for start in task.unanswered)
    return max(worker.born_reported_s, worker.answered_s) > newest_s


def may_repeat(task: execution.TaskRun) -> bool:
    """Returns whether a start without an answer may be sent again.

    A task with backups starts elsewhere instead.
    """
    step = task.step_run.step
    return step.service and not step.backups


def holds(task: execution.TaskRun) -> bool:
    """Returns whether a task has to wait while a start is unanswered."""
    step = task.step_run.step
    return not step.service and not step.backups


def _max_age_s(step: model.Step, *, silent: bool = False) -> float:
    """Returns the age up to which a start is taken to be executed.

    :param silent: its worker has not reported since.
    """
    if step.service:
        return _MAX_SERVICE_AGE_S
    if step.gang and silent:
        return _MAX_SILENT_GANG_AGE_S
    return _MAX_AGE_S
