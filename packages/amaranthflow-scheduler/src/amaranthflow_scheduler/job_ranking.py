"""Order in which waiting jobs get workers.

Jobs that can still be on time go first, then those of higher priority, then
those with the least remaining work. In bursts of large and small jobs this
minimizes the mean time to completion.
"""

from . import execution
from . import model

# A job that is older than this multiple of its objective has no value left.
_MAX_AGE_RATIO = 3.0


def objective_ms(job_run: execution.JobRun) -> float:
    """Returns the time to completion within which a job is on time."""
    job = job_run.job
    critical_path_ms = execution.critical_path_ms(job)
    return job.queue.stretch * critical_path_ms + job.queue.target_ms


def rank(job_run: execution.JobRun, now_ms: int) -> tuple:
    """Returns a sort key; the job with the smallest key goes first."""
    job = job_run.job
    age_ms = now_ms - job.accepted_ms
    is_service = any(step.service for step in job.steps)
    too_late = (
        not is_service
        and not job.occurrences
        and age_ms > _MAX_AGE_RATIO * objective_ms(job_run)
    )
    return (
        too_late,
        job.queue.priority,
        is_service,
        -_max_step_cpu(job) if is_service else job_run.remaining_work(),
        job.accepted_ms,
        job.id,
    )


def _max_step_cpu(job: model.Job) -> int:
    return max(step.resources.cpu for step in job.steps)
