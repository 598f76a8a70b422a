"""Which slowed runs are stopped so that they go on elsewhere.

Opportunistic runs beside a service with a high tail latency are slowed. Many
of them end sooner on another worker, although a move takes time.
"""

import typing as t

from . import execution
from . import workers

# A resumable run moves once its pace has been below this percentage for this
# long, unless it is nearly done and still makes progress.
LOW_PACE_PERCENT = 60
_RESUMABLE_MOVE_DELAY_S = 0.4
_NEARLY_DONE_PERCENT = 85
# At this pace or below, the rest of a run takes longer than a move.
_STALLED_PACE_PERCENT = 15
# A run that cannot be resumed loses its work when it moves. Services slow such
# runs for 2 to 7 s, and a task takes about 2 s.
_RESTART_MOVE_DELAY_S = 0.8


def slowed_runs(
    worker: workers.Worker, now_s: float
) -> t.Iterator[execution.Attempt]:
    """Yields the runs of a worker that have been slowed for too long."""
    for attempt in worker.opportunistic_attempts():
        if attempt.state is not execution.AttemptState.RUNNING:
            continue
        if attempt.pace < LOW_PACE_PERCENT and _ends_sooner_elsewhere(
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
