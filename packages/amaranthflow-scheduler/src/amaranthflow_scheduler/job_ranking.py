"""Order in which waiting jobs get workers.

Answers bursts of large jobs beside small ones: work that can still be on
time goes first, then the higher priority, then the job with the least work
left, which keeps the mean time to completion lowest.
"""

from . import execution
from . import model

_HOPELESS = 3.0  # beyond this multiple of its objective a job earns nothing


def objective_ms(job_run: execution.JobRun) -> float:
    """Returns the time within which a job is on time."""
    job = job_run.job
    chain_ms = execution.critical_path_ms(job)
    return job.queue.stretch * chain_ms + job.queue.target_ms


def rank(job_run: execution.JobRun, now_ms: int) -> tuple:
    """Returns a sort key; the least goes first."""
    job = job_run.job
    age_ms = now_ms - job.accepted_ms
    is_service = any(step.service for step in job.steps)
    hopeless = (
        not is_service
        and not job.occurrences
        and age_ms > _HOPELESS * objective_ms(job_run)
    )
    return (
        hopeless,
        job.queue.priority,
        is_service,
        -_largest(job) if is_service else job_run.remaining_work(),
        job.accepted_ms,
        job.id,
    )


def _largest(job: model.Job) -> int:
    return max(step.resources.cpu for step in job.steps)
