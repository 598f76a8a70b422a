"""Order in which waiting jobs get workers.

Jobs whose delay costs callers most go first, see ``claims``. Services go after
other jobs of their priority, the ones with the largest tasks first, as these
are the hardest to place.
"""

from . import claims as claims_lib
from . import execution
from . import model


def objective_ms(job_run: execution.JobRun) -> float:
    """Returns the time to completion within which a job is on time."""
    job = job_run.job
    critical_path_ms = execution.critical_path_ms(job)
    return job.queue.stretch * critical_path_ms + job.queue.target_ms


def rank(
    job_run: execution.JobRun, now_ms: int, claims: claims_lib.Claims
) -> tuple:
    """Returns a sort key; the job with the smallest key goes first."""
    job = job_run.job
    expired, priority, size = False, job.queue.priority, 0.0
    is_service = any(step.service for step in job.steps)
    if is_service:
        size = -float(_max_step_cpu(job))
    elif job.occurrences:
        size = job_run.remaining_work()
    else:
        claim = claims.of(job_run, now_ms)
        expired, priority, size = claim.rank(now_ms)
    return expired, priority, is_service, size, job.accepted_ms, job.id


def _max_step_cpu(job: model.Job) -> int:
    return max(step.resources.cpu for step in job.steps)
