"""When a worker's report is late enough to ask again.

Load: short jobs while some calls to workers get no response. A report waits at
the worker for the end of a run, so that a lost one is noticed only after that
wait and the limit of a response: longer than a short job has. Once a run of
such a job should have ended and nothing has come, the worker is asked again,
beside the call that waits.
"""

import typing as t

from . import claims as claims_lib
from . import execution
from . import ports
from . import report_intervals
from . import workers

# A lost report delays a job by up to this time. Only jobs with less than ten
# times as much are worth another call.
_DELAY_S = report_intervals.MIN_INTERVAL_S + 0.25
_MAX_OBJECTIVE_S = 10 * _DELAY_S
# Round trip, and what progress in whole percents leaves open.
_MARGIN_S = 0.1
# Too little progress to tell the end of a run from.
_MIN_PERCENT = 5.0


def due_s(
    worker: workers.Worker, claims: claims_lib.Claims, now_s: float
) -> float | None:
    """Returns when the end of a run should have been reported.

    Returns None if no run makes another call worthwhile.
    """
    return min(_due_s(worker, claims, now_s), default=None)


def _due_s(
    worker: workers.Worker, claims: claims_lib.Claims, now_s: float
) -> t.Iterator[float]:
    if not worker.batch_count:
        return
    for attempt in worker.batch_attempts():
        end_s = _end_s(attempt, claims)
        # The last report told that an earlier end was expected wrongly.
        if end_s is None or end_s < now_s:
            continue
        if _is_short(attempt.task.step_run.job_run, claims):
            yield end_s + _MARGIN_S


def _end_s(
    attempt: execution.Attempt, claims: claims_lib.Claims
) -> float | None:
    """Returns when a run should end, None if that is not known."""
    if attempt.state is not execution.AttemptState.RUNNING:
        return None
    done = attempt.percent - attempt.first_percent
    took_s = attempt.progressed_s - attempt.running_since_s
    if done >= _MIN_PERCENT and took_s > 0:
        left = 100 - attempt.percent
        return attempt.progressed_s + left * took_s / done
    if attempt.resumed:
        return None
    step_run = attempt.task.step_run
    queue_id = step_run.job_run.job.queue.id
    run_ms = claims.durations.expected_ms(queue_id, step_run.step)
    return attempt.running_since_s + run_ms / 1000


def _is_short(job_run: execution.JobRun, claims: claims_lib.Claims) -> bool:
    """Returns whether a lost report may make a job late."""
    if job_run.ended or not claims_lib.has_claim(job_run.job):
        return False
    objective_ms = claims.objective_ms(job_run.job)
    return objective_ms <= 1000 * _MAX_OBJECTIVE_S


def has_news(worker: workers.Worker, report: ports.WorkerReport) -> bool:
    """Returns whether a report lists an end that is not known yet."""
    return report.born_ms != worker.born_ms or any(
        end.number > worker.processed_end for end in report.ended
    )
