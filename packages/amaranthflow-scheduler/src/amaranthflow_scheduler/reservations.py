"""Workers reserved for tasks that need more than any worker has free.

On a full fleet the free processors are fragmented, and small tasks take them
before a large one fits. A service's task that has waited for a while
therefore gets a worker on which nothing else starts. If the runs there do not
end soon, they are stopped.
"""

import dataclasses
import typing as t

from . import execution
from . import logs
from . import placement
from . import workers

# Enough capacity is usually free sooner, as the tasks of jobs take about a
# second.
_MIN_WAIT_S = 0.5
# The platform permits a service to wait 3 s in total for a lost task.
_STOP_AFTER_S = 1.3
# Share of the usable workers that may be reserved at the same time.
_MAX_RESERVED_SHARE = 0.15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Reservation of a worker for one task of a step.

    :ivar since_s: when the reservation was made, in seconds.
    """

    step_run: execution.StepRun
    since_s: float


class Reservations:
    """The workers that are reserved, each for one step."""

    def __init__(self):
        self._reserved: dict[workers.Worker, Reservation] = {}

    def reserved_workers(self) -> list[workers.Worker]:
        """Returns the workers that are reserved."""
        return list(self._reserved)

    def has_reservation(self, step_run: execution.StepRun) -> bool:
        """Returns whether a worker is reserved for a step."""
        return any(
            reservation.step_run is step_run
            for reservation in self._reserved.values()
        )

    def filter_candidates(
        self, step_run: execution.StepRun, candidates: list[workers.Worker]
    ) -> list[workers.Worker]:
        """Returns the workers that are not reserved for other steps.

        Opportunistic runs reserve no processors, so they may start anywhere.
        """
        if not self._reserved or step_run.step.opportunistic:
            return candidates
        return [
            worker
            for worker in candidates
            if (reservation := self._reserved.get(worker)) is None
            or reservation.step_run is step_run
        ]

    def clear(self) -> None:
        """Removes all reservations."""
        self._reserved.clear()

    def update(
        self,
        waiting: t.Iterable[tuple[execution.StepRun, list[workers.Worker]]],
        now_s: float,
    ) -> None:
        """Reserves workers for the steps that have waited longest.

        :param waiting: steps of services with a waiting task, each with the
            workers that it may use.
        """
        before, self._reserved = self._reserved, {}
        for step_run, usable in sorted(waiting, key=_waiting_since_s):
            since_s = step_run.waiting_since_s
            if since_s is None or now_s - since_s < _MIN_WAIT_S:
                continue
            max_reserved = max(1, int(_MAX_RESERVED_SHARE * len(usable)))
            found = self._choose(step_run, usable, before)
            for worker in found[: step_run.waiting]:
                if len(self._reserved) >= max_reserved:
                    break
                reservation = before.get(worker)
                if reservation is None or reservation.step_run is not step_run:
                    reservation = Reservation(step_run=step_run, since_s=now_s)
                    logs.event(
                        'worker_reserved',
                        id=step_run.job_run.job.id,
                        worker=worker.id,
                        cpu=step_run.step.resources.cpu,
                        room=worker.free().cpu,
                    )
                self._reserved[worker] = reservation

    def _choose(
        self,
        step_run: execution.StepRun,
        usable: list[workers.Worker],
        before: dict[workers.Worker, Reservation],
    ) -> list[workers.Worker]:
        """Returns workers that could be freed for a step, the best first."""
        step = step_run.step
        runs = placement.runs_by_worker(step_run)

        def rank(worker: workers.Worker) -> tuple[bool, int]:
            reservation = before.get(worker)
            reserved = (
                reservation is not None and reservation.step_run is step_run
            )
            return not reserved, -worker.free().cpu

        found = [
            worker
            for worker in usable
            if worker not in self._reserved
            and placement.label_permits(worker, step)
            and placement.count_permits(worker, step, runs)
            and step.resources.fits(
                worker.free().plus(worker.batch_resources())
            )
        ]
        return sorted(found, key=rank)

    def attempts_to_stop(
        self, worker: workers.Worker, now_s: float
    ) -> list[execution.Attempt]:
        """Returns the runs to stop on a worker so that its reserved task fits.

        Runs of queues with a higher priority than the service's are not
        stopped.
        """
        reservation = self._reserved.get(worker)
        if reservation is None or now_s - reservation.since_s < _STOP_AFTER_S:
            return []
        need = reservation.step_run.step.resources
        free = worker.free()
        to_stop = []
        for attempt in sorted(worker.batch_attempts(), key=_work_lost):
            if need.fits(free):
                break
            if _priority(attempt.task.step_run) < _priority(
                reservation.step_run
            ):
                continue
            free = free.plus(attempt.task.step_run.step.resources)
            to_stop.append(attempt)
        return to_stop


def _waiting_since_s(
    entry: tuple[execution.StepRun, list[workers.Worker]],
) -> float:
    return entry[0].waiting_since_s or 0.0


def _priority(step_run: execution.StepRun) -> int:
    return step_run.job_run.job.queue.priority


def _work_lost(attempt: execution.Attempt) -> tuple[bool, float]:
    """Returns a sort key for runs: the work that is lost if one is stopped."""
    step = attempt.task.step_run.step
    stopping = attempt.state is execution.AttemptState.STOPPING
    lost = 0.0 if step.checkpoints else attempt.percent * step.resources.cpu
    return not stopping, lost
