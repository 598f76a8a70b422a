"""Which runs are stopped so that others can start in time.

Answers a pool that is full of long batch tasks when short jobs of a higher
priority come, or jobs that can still be on time while the pool works on some
that cannot be of use any more. Only runs that can be resumed are stopped, as
their work is not lost.
"""

import typing as t

from . import claims as claims_lib
from . import execution
from . import model
from . import placement
from . import room as room_lib
from . import workers

# A stop, its report and a start take up to a second. A job that can wait for
# longer and still be on time preempts nothing yet.
_PREEMPTION_MS = 1_000
# A run works for this long, at least, before it is stopped, so that it saves
# its work and goes on in spite of further stops.
_MIN_RUN_S = 2.0
# Runs are stopped on this share of the workers at the same time, at most.
_MAX_SHARE = 0.1


class _Search:
    """Workers on which runs can be stopped for others."""

    def __init__(
        self,
        *,
        fleet: t.Sequence[workers.Worker],
        claims: claims_lib.Claims,
        now_s: float,
        now_ms: int,
    ):
        self._claims = claims
        self._now_ms = now_ms
        self._running = {
            worker: running
            for worker in fleet
            if worker.batch_count
            and (
                running := [
                    attempt
                    for attempt in worker.batch_attempts()
                    if _may_stop(attempt, now_s)
                ]
            )
        }

    def __bool__(self) -> bool:
        return bool(self._running)

    def _claim(self, attempt: execution.Attempt) -> claims_lib.Claim:
        return self._claims.of(attempt.task.step_run.job_run, self._now_ms)

    def _rank(self, attempt: execution.Attempt) -> tuple:
        """Returns a sort key, highest for the run to be stopped first."""
        return *self._claim(attempt).rank(self._now_ms), attempt.task.key

    def take(
        self, step_run: execution.StepRun, room: room_lib.Room
    ) -> list[execution.Attempt]:
        """Returns the runs to stop for a task; none if that does not help.

        Takes the room of the task on the worker on which the fewest
        processors are taken from other runs.
        """
        step = step_run.step
        claim = self._claims.of(step_run.job_run, self._now_ms)
        runs = placement.runs_by_worker(step_run)
        best: tuple[int, workers.Worker] | None = None
        found: list[execution.Attempt] = []
        for worker, running in self._running.items():
            if not placement.label_permits(worker, step):
                continue
            if not placement.count_permits(worker, step, runs):
                continue
            stopped = self._to_stop(step, claim, room.free(worker), running)
            cpu = sum(_resources(attempt).cpu for attempt in stopped)
            if stopped and (best is None or cpu < best[0]):
                best, found = (cpu, worker), stopped
        if best is not None:
            worker = best[1]
            for attempt in found:
                room.give(worker, _resources(attempt))
            room.take(worker, step.resources)
            del self._running[worker]
        return found

    def _to_stop(
        self,
        step: model.Step,
        claim: claims_lib.Claim,
        free: model.Resources,
        running: list[execution.Attempt],
    ) -> list[execution.Attempt]:
        """Returns the runs of a worker without which a task fits there."""
        stopped = []
        for attempt in sorted(running, key=self._rank, reverse=True):
            if not claim.precedes(self._claim(attempt), self._now_ms):
                break
            stopped.append(attempt)
            free = free.plus(_resources(attempt))
            if step.resources.fits(free):
                return stopped
        return []


def find(
    waiting: t.Iterable[execution.StepRun],
    fleet: t.Sequence[workers.Worker],
    claims: claims_lib.Claims,
    now_s: float,
    now_ms: int,
) -> list[execution.Attempt]:
    """Returns the runs to stop.

    :param waiting: batch steps with tasks that have found no worker, the ones
        that go first at the front.
    :param fleet: the usable workers of their pool.
    """
    urgent = [
        step_run
        for step_run in waiting
        if claims.of(step_run.job_run, now_ms).is_urgent(
            now_ms, _PREEMPTION_MS
        )
    ]
    if not urgent:
        return []
    search = _Search(fleet=fleet, claims=claims, now_s=now_s, now_ms=now_ms)
    if not search:
        return []
    ending = [_ending(worker) for worker in fleet]
    left = max(1, int(_MAX_SHARE * len(fleet))) - sum(map(any, ending))
    room = room_lib.Room(
        (worker, worker.free().plus(freed))
        for worker, freed in zip(fleet, ending, strict=True)
    )
    found: list[execution.Attempt] = []
    for step_run in urgent:
        demand = room_lib.Demand(step_run.step, step_run.waiting)
        missing = demand.tasks - room_lib.total_tasks(room.fill(demand))
        while missing and left > 0:
            stopped = search.take(step_run, room)
            if not stopped:
                break
            found.extend(stopped)
            missing -= 1
            left -= 1
    return found


def has_resumable_steps(job: model.Job) -> bool:
    """Returns whether runs of a job may be stopped for others."""
    return not job.occurrences and any(
        step.checkpoints
        and not (step.service or step.opportunistic or step.gang)
        for step in job.steps
    )


def may_preempt(step_run: execution.StepRun) -> bool:
    """Returns whether runs may be stopped for a step, if they are at all."""
    step = step_run.step
    return not (
        step.service
        or step.opportunistic
        or step.gang
        or step_run.job_run.job.occurrences
    )


def _may_stop(attempt: execution.Attempt, now_s: float) -> bool:
    step_run = attempt.task.step_run
    return (
        attempt.state is execution.AttemptState.RUNNING
        and step_run.step.checkpoints
        and not step_run.step.gang
        and not step_run.job_run.job.occurrences
        and bool(attempt.running_since_s)
        and now_s - attempt.running_since_s >= _MIN_RUN_S
    )


def _resources(attempt: execution.Attempt) -> model.Resources:
    return attempt.task.step_run.step.resources


def _ending(worker: workers.Worker) -> model.Resources:
    """Returns the resources of batch runs that are being stopped."""
    total = model.Resources()
    for attempt in worker.batch_attempts():
        if attempt.state is execution.AttemptState.STOPPING:
            total = total.plus(_resources(attempt))
    return total
