"""Which slowed runs are stopped so that they go on elsewhere.

Opportunistic runs beside a service with a high tail latency are slowed. Many
of them end sooner on another worker, although a move takes time.
"""

import typing as t

from amaranthflow import ids

from . import execution
from . import exposure
from . import pacing
from . import placement
from . import tail_latency
from . import workers

# A resumable run moves once its pace has been low for this long, unless it is
# nearly done and still makes progress.
_RESUMABLE_MOVE_DELAY_S = 0.4
_NEARLY_DONE_PERCENT = 85
# At this pace or below, the rest of a run takes longer than a move.
_STALLED_PACE_PERCENT = 15
# A run that cannot be resumed loses its work when it moves. Services slow such
# runs for 2 to 7 s, and a task takes about 2 s.
_RESTART_MOVE_DELAY_S = 0.8
# Each check looks at all workers, whose tail latencies change within half a
# second.
_MAX_CHECK_INTERVAL_S = 0.5
# Interval per worker that a check looks at; leaves most of a processor free.
_CHECK_INTERVAL_PER_WORKER_S = 0.003


def find_slowed(
    found: t.Mapping[ids.WorkerId, workers.Worker],
    exposed: exposure.Exposure,
    now_s: float,
) -> list[execution.Attempt]:
    """Returns the runs that have been slowed for too long.

    Those beside the services that are nearest to failing their callers come
    first. Looks only at workers that were not looked at a short time ago.
    """
    interval_s = min(
        _MAX_CHECK_INTERVAL_S, _CHECK_INTERVAL_PER_WORKER_S * len(found)
    )
    slowed: list[tuple[float, list[execution.Attempt]]] = []
    for worker in found.values():
        if not worker.service_count or not worker.opportunistic_count:
            continue
        if now_s - worker.last_move_check_s >= interval_s:
            worker.last_move_check_s = now_s
            runs = list(slowed_runs(worker, now_s))
            if runs:
                slowed.append((exposed.worst_urgency(worker), runs))
    slowed.sort(key=lambda entry: -entry[0])
    return [attempt for _, runs in slowed for attempt in runs]


def moves(
    slowed: t.Iterable[execution.Attempt],
    rank: t.Callable[[execution.StepRun], placement.Ranking],
    tail_model: tail_latency.TailModel,
) -> t.Iterator[execution.Attempt]:
    """Yields the slowed runs for which another worker is better.

    :param rank: ranks the workers that the tasks of a step may use.
    """
    rankings: dict[execution.StepRun, placement.Ranking] = {}
    for attempt in slowed:
        step_run = attempt.task.step_run
        ranking = rankings.get(step_run)
        if ranking is None:
            ranking = rankings[step_run] = rank(step_run)
        other = ranking.best(attempt.task)
        if other is not None and other.id != attempt.worker:
            # Counts as placed, so that not all runs choose this worker.
            tail_model.add(other, step_run.step)
            ranking.placed(other)
            yield attempt


def slowed_runs(
    worker: workers.Worker, now_s: float
) -> t.Iterator[execution.Attempt]:
    """Yields the runs of a worker that have been slowed for too long."""
    for attempt in worker.opportunistic_attempts():
        if attempt.state is not execution.AttemptState.RUNNING:
            continue
        if attempt.pace < pacing.LOW_PACE_PERCENT and _ends_sooner_elsewhere(
            attempt, now_s
        ):
            yield attempt


def _ends_sooner_elsewhere(attempt: execution.Attempt, now_s: float) -> bool:
    """Returns whether a slowed run would end sooner on another worker."""
    slowed_s = now_s - attempt.slowed_since_s
    stalled = attempt.pace <= _STALLED_PACE_PERCENT
    if attempt.task.step_run.step.checkpoints:
        return slowed_s >= _RESUMABLE_MOVE_DELAY_S and (
            stalled or attempt.percent <= _NEARLY_DONE_PERCENT
        )
    return stalled and slowed_s >= _RESTART_MOVE_DELAY_S
