"""Which services are nearest to failing their callers.

Answers the load of opportunistic runs that disturb many services at once. A
service is called through all its tasks, so its callers bear a few tasks over
their target; once a quarter is, the whole service fails them. The number of
further tasks that a service can bear decides how carefully the runs beside it
are placed and paced.
"""

import dataclasses
import enum
import math
import typing as t

from . import execution
from . import logs
from . import workers

# Share of a service's tasks over their target at which its callers count the
# whole service as failing.
_LOST_SHARE = 0.25
_EXPOSED_URGENCY = 0.5
# State of services that ended is removed at this interval.
_CLEAN_INTERVAL_S = 10.0


class Standing(enum.Enum):
    """How near a service is to failing its callers.

    SOUND: it can bear further tasks over their target. EXPOSED: one or two
    further ones cost the service. LOST: a quarter of its tasks or more are
    over their target or not heard of.
    """

    SOUND = 'sound'
    EXPOSED = 'exposed'
    LOST = 'lost'


class Counts(t.NamedTuple):
    """Numbers for metrics."""

    exposed_services: int
    lost_services: int
    hurt_tasks: int


@dataclasses.dataclass(slots=True)
class _Service:
    """Tasks of a service that are over their target or not heard of."""

    hurt: set[int] = dataclasses.field(default_factory=set)
    standing: Standing = Standing.SOUND


class Exposure:
    """Counts the hurt tasks of each service from the reports of workers."""

    def __init__(self):
        self._services: dict[execution.StepRun, _Service] = {}
        self._cleaned_s = 0.0

    def observe(self, worker: workers.Worker, now_s: float) -> None:
        """Updates the services on a worker that has just reported."""
        for attempt in worker.service_attempts():
            self._set(attempt, attempt.tail_ratio >= 1.0)
        if now_s - self._cleaned_s >= _CLEAN_INTERVAL_S:
            self._cleaned_s = now_s
            self._forget_ended()

    def mark_silent(self, worker: workers.Worker) -> None:
        """Counts the tasks of a worker that does not report as hurt."""
        for attempt in worker.service_attempts():
            self._set(attempt, True)

    def spare_tasks(self, step_run: execution.StepRun) -> int:
        """Returns how many further hurt tasks cost a service's callers.

        At least one: a service that is lost already is treated as one that
        the next task would cost.
        """
        service = self._services.get(step_run)
        hurt = len(service.hurt) if service is not None else 0
        return _spare_tasks(step_run, hurt)

    def urgency(self, step_run: execution.StepRun) -> float:
        """Returns the share of a service that the next hurt task costs.

        1.0 means that it costs the whole service.
        """
        return 1.0 / self.spare_tasks(step_run)

    def worst_urgency(self, worker: workers.Worker) -> float:
        """Returns the highest urgency of the services on a worker."""
        return max(
            (
                self.urgency(attempt.task.step_run)
                for attempt in worker.service_attempts()
            ),
            default=0.0,
        )

    def standing(self, step_run: execution.StepRun) -> Standing:
        """Returns how near a service is to failing its callers."""
        service = self._services.get(step_run)
        return service.standing if service is not None else Standing.SOUND

    def counts(self) -> Counts:
        """Returns numbers for metrics."""
        standings = [service.standing for service in self._services.values()]
        return Counts(
            standings.count(Standing.EXPOSED),
            standings.count(Standing.LOST),
            sum(len(service.hurt) for service in self._services.values()),
        )

    def _set(self, attempt: execution.Attempt, hurt: bool) -> None:
        step_run = attempt.task.step_run
        service = self._services.get(step_run)
        if service is None:
            if not hurt:
                return
            service = self._services[step_run] = _Service()
        index = attempt.task.key.index
        if (index in service.hurt) is hurt:
            return
        if hurt:
            service.hurt.add(index)
        else:
            service.hurt.remove(index)
        self._update_standing(step_run, service)

    def _update_standing(
        self, step_run: execution.StepRun, service: _Service
    ) -> None:
        """Sets and logs the standing of a service if it has changed."""
        count = step_run.step.count
        hurt = len(service.hurt)
        if hurt >= _LOST_SHARE * count:
            standing = Standing.LOST
        elif hurt and self.urgency(step_run) >= _EXPOSED_URGENCY:
            standing = Standing.EXPOSED
        else:
            standing = Standing.SOUND
        if standing is service.standing:
            return
        logs.event(
            'service_exposure',
            id=step_run.job_run.job.id,
            step=step_run.number,
            before=service.standing.value,
            standing=standing.value,
            hurt=hurt,
            tasks=count,
        )
        service.standing = standing

    def _forget_ended(self) -> None:
        self._services = {
            step_run: service
            for step_run, service in self._services.items()
            if not step_run.job_run.ended and service.hurt
        }


def _spare_tasks(step_run: execution.StepRun, hurt: int) -> int:
    limit = _LOST_SHARE * step_run.step.count
    return max(1, math.ceil(limit - hurt))
