"""Admission of services to a pool that is nearly full.

Tasks of a service run until its job is cancelled. Once services fill a pool, a
further one waits until another ends, and takes what is left to batch work. It
is refused at once instead, so that its caller learns of it and can come back,
and batch work keeps the room that it needs.

Batch work keeps a share of the pool while it uses it, and the room that the
short jobs of late will need again, if the new service would leave less of it.
What matters are pieces that their tasks fit into: a service that takes pieces
too small for them is welcome.
"""

import dataclasses
import typing as t

from amaranthflow import ids

from . import execution
from . import logs
from . import model
from . import room as room_lib
from . import service_lifetimes
from . import short_jobs
from . import workers

# Services leave this share of a pool to batch jobs that use it or will.
_BATCH_SHARE = 0.15
# A service is refused if expected short jobs of its priority or a higher one
# would lose the use of more than this share of the processors that it takes.
# Jobs need processors for part of the time, services for all of it.
_MAX_DISPLACED_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """What admission looks at.

    :ivar complete: whether the workers are known; they are not during the
        first seconds of the first leader.
    :ivar workers: the workers of the pool.
    :ivar job_runs: the jobs of the pool that have not ended.
    """

    id: ids.ServiceId
    complete: bool
    workers: t.Sequence[workers.Worker]
    job_runs: t.Sequence[execution.JobRun]

    @classmethod
    def gather(
        cls,
        service: ids.ServiceId,
        fleet: t.Iterable[workers.Worker],
        job_runs: t.Iterable[execution.JobRun],
        *,
        evacuated: t.Container[ids.ZoneId] = (),
        complete: bool,
    ) -> 'Pool':
        """Returns the ready workers of a pool and its jobs.

        :param evacuated: availability zones that get no new runs.
        """
        return cls(
            id=service,
            complete=complete,
            workers=[
                worker
                for worker in fleet
                if worker.entry.service == service
                and worker.entry.state is model.WorkerState.READY
                and worker.entry.zone not in evacuated
            ],
            job_runs=[run for run in job_runs if not run.ended],
        )

    def waiting_services(self) -> list[room_lib.Demand]:
        """Returns the tasks of services that wait, which go first."""
        return [
            room_lib.Demand(step_run.step, step_run.waiting)
            for job_run in self.job_runs
            for step_run in job_run.runnable_steps()
            if step_run.step.service
        ]

    def running_services(
        self, now_ms: int
    ) -> list[service_lifetimes.RunningService]:
        """Returns the services that run, with their ages."""
        return [
            service_lifetimes.RunningService(
                cpu=service_cpu(job_run.job),
                age_s=max(0, now_ms - job_run.job.accepted_ms) / 1000,
            )
            for job_run in self.job_runs
            if is_service(job_run.job)
        ]


class Refusal(t.NamedTuple):
    """Why a service is refused, and when it should come back."""

    reason: str
    retry_after_ms: int


class Admission:
    """Decides which services a pool takes.

    :ivar short_jobs: the arrivals of batch jobs.
    :ivar lifetimes: the lifetimes of services.
    """

    def __init__(self):
        self.short_jobs = short_jobs.ShortJobs()
        self.lifetimes = service_lifetimes.ServiceLifetimes()

    def refusal(
        self, job: model.Job, pool: Pool, now_s: float, now_ms: int
    ) -> Refusal | None:
        """Returns why a job is refused, None if it is accepted.

        Only services are ever refused.
        """
        if not is_service(job) or not pool.workers:
            return None
        waiting = pool.waiting_services()
        expected = self.short_jobs.expected(
            pool.id,
            job.queue.priority,
            _BATCH_SHARE * _capacity_cpu(pool.workers),
            now_s,
        )
        displaced = 0
        if pool.complete and not has_room(job, pool.workers, waiting):
            reason, missing = 'no-room', service_cpu(job)
        else:
            displaced = displaced_cpu(job, pool.workers, waiting, expected)
            if displaced <= _MAX_DISPLACED_SHARE * service_cpu(job):
                return None
            reason, missing = 'displaces-short-jobs', displaced
        wait_s = self.lifetimes.wait_s(
            pool.id, missing, pool.running_services(now_ms)
        )
        logs.event(
            'service_refused',
            id=job.id,
            why=reason,
            tasks=sum(step.count for step in job.steps),
            cpu=max(step.resources.cpu for step in job.steps),
            displaced_cpu=displaced,
            expected_cpu=_total_cpu(expected),
            waiting=sum(demand.tasks for demand in waiting),
            workers=len(pool.workers),
            free_cpu=sum(worker.free().cpu for worker in pool.workers),
            retry_after_s=round(wait_s, 1),
        )
        return Refusal(reason, round(wait_s * 1000))


def is_service(job: model.Job) -> bool:
    """Returns whether a job has tasks that run until it is cancelled."""
    return any(step.service for step in job.steps)


def service_cpu(job: model.Job) -> int:
    """Returns the processors that the services of a job need."""
    return _total_cpu(_demands(job))


def has_room(
    job: model.Job,
    candidates: t.Sequence[workers.Worker],
    waiting: t.Iterable[room_lib.Demand],
) -> bool:
    """Returns whether a pool can run all tasks of a job's services now.

    :param candidates: the workers of the pool.
    :param waiting: tasks of other services that wait, which go first.
    """
    room = _service_room(candidates)
    for demand in waiting:
        room.fill(demand)
    return all(
        room_lib.total_tasks(room.fill(demand)) == demand.tasks
        for demand in _demands(job)
    )


def displaced_cpu(
    job: model.Job,
    candidates: t.Sequence[workers.Worker],
    waiting: t.Iterable[room_lib.Demand],
    expected: t.Sequence[room_lib.Demand],
) -> int:
    """Returns the processors that a job's services take from short jobs.

    These are the processors of expected tasks that find room without the
    services and none beside them.
    """
    if not expected:
        return 0
    for_services = _service_room(candidates)
    for_jobs = room_lib.Room.beside_services(candidates)
    for demand in waiting:
        _take(demand, for_services, for_jobs)
    before = room_lib.missing_cpu(for_jobs, expected)
    for demand in _demands(job):
        _take(demand, for_services, for_jobs)
    return room_lib.missing_cpu(for_jobs, expected) - before


def _take(
    demand: room_lib.Demand,
    for_services: room_lib.Room,
    for_jobs: room_lib.Room,
) -> None:
    """Takes the room of services from both views of a pool."""
    for worker, tasks in for_services.fill(demand):
        for_jobs.take(worker, demand.step.resources, tasks)


def _demands(job: model.Job) -> list[room_lib.Demand]:
    return [
        room_lib.Demand(step, step.count) for step in job.steps if step.service
    ]


def _total_cpu(demands: t.Iterable[room_lib.Demand]) -> int:
    return sum(demand.tasks * demand.step.resources.cpu for demand in demands)


def _capacity_cpu(candidates: t.Iterable[workers.Worker]) -> int:
    return sum(worker.entry.capacity.cpu for worker in candidates)


def _service_room(candidates: t.Sequence[workers.Worker]) -> room_lib.Room:
    """Returns the room for services on each worker."""
    batch = [worker.batch_resources() for worker in candidates]
    kept = _BATCH_SHARE * _capacity_cpu(candidates)
    displaceable = sum(used.cpu for used in batch) - kept
    rooms = []
    for worker, used in zip(candidates, batch, strict=True):
        free = worker.free()
        if 0 < used.cpu <= displaceable:
            free = free.plus(used)
            displaceable -= used.cpu
        rooms.append((worker, free))
    return room_lib.Room(rooms)
