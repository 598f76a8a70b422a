"""How much room short jobs need, from their arrivals of late.

Short jobs hold processors for a second or less and then wait for none: what
they need next does not show in what waits or runs at one moment. Their
arrivals show it. The load answered here is a pool that services nearly fill,
in which batch jobs arrive in waves.

The record is a hint that lasts as long as the leader: a new one learns it
within seconds.
"""

import collections
import dataclasses
import math
import typing as t

from amaranthflow import ids

from . import model
from . import room

_AVERAGING_S = 8.0
# Jobs that come at random need more than their average at times. With so many
# standard deviations above it there is room at 39 of 40 moments.
_DEVIATIONS = 2.0
# A wave of arrivals is expected to come back while a service runs, which is
# for a minute or more.
_PEAK_DECAY_S = 30.0
# Arrivals of the first second say little about a rate.
_MIN_AGE_S = 1.0
# Jobs are known for this long, at least, after they were accepted.
_RESTORED_S = 2.0
# Number of the last steps whose sizes are kept.
_MAX_STEPS = 200
# Weight of the newest run in the ratio of durations to estimates.
_DURATION_WEIGHT = 0.02


@dataclasses.dataclass(slots=True)
class _Arrivals:
    """Arrivals of the jobs of one pool and priority.

    :ivar work: decaying sum of the work that arrived, in thousandths of a
        core-second.
    :ivar squares: decaying sum of the squared processors of steps times their
        duration, from which the variance of the load follows.
    :ivar peak: highest recent load, in thousandths of a core.
    """

    since_s: float
    updated_s: float
    work: float = 0.0
    squares: float = 0.0
    peak: float = 0.0
    steps: collections.deque[model.Step] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_STEPS)
    )

    def advance(self, now_s: float) -> None:
        """Decays the sums to a time and updates the peak."""
        passed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        self.work *= math.exp(-passed_s / _AVERAGING_S)
        self.squares *= math.exp(-passed_s / _AVERAGING_S)
        self.peak *= math.exp(-passed_s / _PEAK_DECAY_S)
        if self.updated_s - self.since_s >= _AVERAGING_S:
            self.peak = max(self.peak, self._load())

    def _load(self) -> float:
        age_s = max(_MIN_AGE_S, self.updated_s - self.since_s)
        time_s = _AVERAGING_S * -math.expm1(-age_s / _AVERAGING_S)
        deviation = math.sqrt(self.squares / time_s)
        return self.work / time_s + _DEVIATIONS * deviation

    def load(self) -> float:
        """Returns the processors that the jobs need at a time of many."""
        return max(self.peak, self._load())


class ShortJobs:
    """Record of the batch jobs that have arrived of late."""

    def __init__(self):
        self._arrivals: dict[tuple[ids.ServiceId, int], _Arrivals] = {}
        self._duration_ratio = 1.0

    def on_accepted(
        self, pool: ids.ServiceId, job: model.Job, now_s: float
    ) -> None:
        """Notes the arrival of a job; jobs without batch steps do not count.

        Jobs with due times do not count either: their arrival is not when
        they need room.
        """
        steps = [step for step in job.steps if _is_batch(step)]
        if not steps or job.occurrences:
            return
        key = pool, job.queue.priority
        arrivals = self._arrivals.get(key)
        if arrivals is None:
            arrivals = self._arrivals[key] = _Arrivals(now_s, now_s)
        arrivals.advance(now_s)
        arrivals.work += sum(map(_work, steps))
        arrivals.squares += sum(
            _work(step) * step.count * step.resources.cpu for step in steps
        )
        arrivals.steps.extend(steps)

    def restore(
        self,
        accepted: t.Iterable[tuple[ids.ServiceId, model.Job]],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Notes the arrivals of jobs that an earlier leader accepted.

        Older jobs are left out: most of them have ended and are forgotten,
        so that the rest tells nothing about their number.

        :param accepted: jobs, each with its pool.
        """
        ages_s = [
            ((now_ms - job.accepted_ms) / 1000, pool, job)
            for pool, job in accepted
        ]
        for age_s, pool, job in sorted(ages_s, key=lambda row: -row[0]):
            if 0 <= age_s <= _RESTORED_S:
                self.on_accepted(pool, job, now_s - age_s)
        for arrivals in self._arrivals.values():
            arrivals.since_s = now_s - _RESTORED_S

    def on_run_done(self, step: model.Step, duration_s: float) -> None:
        """Notes how long a run took, for estimates that are off."""
        if _is_batch(step) and step.estimate_ms:
            ratio = duration_s * 1000 / step.estimate_ms
            self._duration_ratio += _DURATION_WEIGHT * (
                ratio - self._duration_ratio
            )

    def expected(
        self,
        pool: ids.ServiceId,
        priority: int,
        max_cpu: float,
        now_s: float,
    ) -> list[room.Demand]:
        """Returns the tasks that will need room at the same time.

        Their sizes are those of the last steps.

        :param priority: jobs of lower priority are left out.
        :param max_cpu: processors of the tasks, at most.
        """
        loads = list(self._loads(pool, priority, now_s))
        total = sum(load for _, load in loads)
        share = min(1.0, max_cpu / total) if total else 0.0
        return [
            demand
            for arrivals, load in loads
            for demand in _sample(arrivals.steps, load * share)
        ]

    def _loads(
        self, pool: ids.ServiceId, priority: int, now_s: float
    ) -> t.Iterator[tuple[_Arrivals, float]]:
        for (other_pool, other_priority), arrivals in self._arrivals.items():
            if other_pool == pool and other_priority <= priority:
                arrivals.advance(now_s)
                yield arrivals, arrivals.load() * self._duration_ratio


def _sample(steps: t.Iterable[model.Step], load: float) -> list[room.Demand]:
    """Returns a number of tasks of each step that together make a load."""
    total = sum(map(_work, steps))
    if not total:
        return []
    found = []
    share_left = 0.0
    for step in sorted(steps, key=lambda step: -step.resources.cpu):
        # Parts of a task are passed on to the next smaller step.
        share_left += _work(step) * load / total
        tasks = int(share_left / max(1, step.resources.cpu))
        if tasks:
            share_left -= tasks * step.resources.cpu
            found.append(room.Demand(step, tasks))
    return found


def _is_batch(step: model.Step) -> bool:
    return not step.service and not step.opportunistic


def _work(step: model.Step) -> float:
    """Returns the work of a step in thousandths of a core-second."""
    estimate_s = max(1, step.estimate_ms) / 1000
    return step.count * step.resources.cpu * estimate_s
