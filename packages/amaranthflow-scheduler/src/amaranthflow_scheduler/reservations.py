"""Workers that are kept for tasks too large for the rooms that are left.

Answers full fleets: processors are free in many small rooms, and each room
that grows is filled by a small task before a large one fits. A service's
task that has waited for a while gets a worker on which nothing else starts;
if what runs there takes long to end, it is stopped.
"""

import dataclasses
import typing as t

from . import execution
from . import logs
from . import placement
from . import workers

# Most rooms that fit open up sooner: the tasks of jobs last about a second.
_PATIENCE_S = 0.5
# A service may wait 3 s in all (the platform's rule on lost tasks).
_STOP_AFTER_S = 1.3
# Share of the usable workers that may be kept at once.
_MOST_KEPT = 0.15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """A worker kept for one task of a step, since a time in seconds."""

    step_run: execution.StepRun
    since_s: float


class Reservations:
    """Which workers are kept for which steps."""

    def __init__(self):
        self._kept: dict[workers.Worker, Reservation] = {}

    def reserved_workers(self) -> list[workers.Worker]:
        """Returns the workers that are kept."""
        return list(self._kept)

    def has_reservation(self, step_run: execution.StepRun) -> bool:
        """Tells whether a worker is kept for a step."""
        return any(k.step_run is step_run for k in self._kept.values())

    def filter_candidates(
        self, step_run: execution.StepRun, candidates: list[workers.Worker]
    ) -> list[workers.Worker]:
        """Returns the workers that are not kept for other steps.

        Opportunistic runs take no processor, so they may go anywhere.
        """
        if not self._kept or step_run.step.opportunistic:
            return candidates
        return [
            worker
            for worker in candidates
            if (kept := self._kept.get(worker)) is None
            or kept.step_run is step_run
        ]

    def clear(self) -> None:
        """Keeps no worker any longer."""
        self._kept.clear()

    def update(
        self,
        waiting: t.Iterable[tuple[execution.StepRun, list[workers.Worker]]],
        now_s: float,
    ) -> None:
        """Keeps workers for the steps that have waited longest.

        :param waiting: steps of services with a task that waits, each with
            the workers that it may use.
        """
        before, self._kept = self._kept, {}
        for step_run, usable in sorted(waiting, key=_waits_since):
            since_s = step_run.waiting_since_s
            if since_s is None or now_s - since_s < _PATIENCE_S:
                continue
            most = max(1, int(_MOST_KEPT * len(usable)))
            found = self._choose(step_run, usable, before)
            for worker in found[: step_run.waiting]:
                if len(self._kept) >= most:
                    break
                known = before.get(worker)
                if known is None or known.step_run is not step_run:
                    known = Reservation(step_run=step_run, since_s=now_s)
                    logs.event(
                        'worker_reserved',
                        id=step_run.job_run.job.id,
                        worker=worker.id,
                        cpu=step_run.step.resources.cpu,
                        room=worker.free().cpu,
                    )
                self._kept[worker] = known

    def _choose(
        self,
        step_run: execution.StepRun,
        usable: list[workers.Worker],
        before: dict[workers.Worker, Reservation],
    ) -> list[workers.Worker]:
        """Returns workers that can make room, the best ones first."""
        step = step_run.step
        runs = placement.runs_by_worker(step_run)

        def rank(worker: workers.Worker) -> tuple[bool, int]:
            known = before.get(worker)
            kept = known is not None and known.step_run is step_run
            return not kept, -worker.free().cpu

        found = [
            worker
            for worker in usable
            if worker not in self._kept
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
        """Returns the runs to stop so that the task fits at last.

        Runs of queues that go before the service's are left to end.
        """
        kept = self._kept.get(worker)
        if kept is None or now_s - kept.since_s < _STOP_AFTER_S:
            return []
        need = kept.step_run.step.resources
        room = worker.free()
        stopped = []
        for attempt in sorted(worker.batch_attempts(), key=_loss):
            if need.fits(room):
                break
            if _priority(attempt.task.step_run) < _priority(kept.step_run):
                continue
            room = room.plus(attempt.task.step_run.step.resources)
            stopped.append(attempt)
        return stopped


def _waits_since(
    entry: tuple[execution.StepRun, list[workers.Worker]],
) -> float:
    return entry[0].waiting_since_s or 0.0


def _priority(step_run: execution.StepRun) -> int:
    return step_run.job_run.job.queue.priority


def _loss(attempt: execution.Attempt) -> tuple[bool, float]:
    """Orders runs by what stopping them throws away."""
    step = attempt.task.step_run.step
    stopping = attempt.state is execution.AttemptState.STOPPING
    lost = 0.0 if step.checkpoints else attempt.percent * step.resources.cpu
    return not stopping, lost
