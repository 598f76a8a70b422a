"""Tasks that may have crashed their workers.

A crash ends all runs of a worker, and any of them may be the cause. A run that
has survived its first second there is an unlikely one; the others make their
tasks suspects. Each further run of a suspect is isolated: it starts where no
other run is that young, and none follows until it has survived. A crash then
has no other explanation.
"""

import bisect
import collections
import dataclasses
import typing as t

from amaranthflow import ids

from . import execution
from . import logs
from . import placement
from . import workers

# Crashes follow a start within milliseconds; reports are half a second apart.
PROBATION_S = 1.0
# A suspect's job is given up after so many crashes of isolated runs, besides
# the crash that made its task a suspect. With as many crashes in all as the
# platform permits, one isolated run is enough.
_MAX_ISOLATED_CRASHES = 2
_MAX_CRASHES = 5
# A suspect may start beside young runs once it has waited this long, unless it
# has that many crashes. The platform permits a task of a service to wait 3 s.
_MAX_ISOLATION_WAIT_S = 2.5
_ISOLATED_ONLY_CRASHES = 3
# Workers of a rack or zone that are lost within this time of one another have
# a common cause, if they are at least so many and this share of its workers.
_OUTAGE_SPREAD_S = 1.0
_MIN_OUTAGE_WORKERS = 3
_OUTAGE_SHARE = 0.5
# Of workers with a common cause at most this share has an isolated run.
_MAX_ISOLATED_SHARE = 0.5
# Isolated runs need a worker that has been up for this long, as some go down
# and up by themselves.
_STABLE_S = 5.0


class Crash(t.NamedTuple):
    """A crash of a worker.

    :ivar suspects: attempts that may have caused it.
    :ivar convicts: they belong to one job and were isolated.
    """

    suspects: list[execution.Attempt]
    convicts: bool


def ran_before(
    attempt: execution.Attempt, worker: workers.Worker, born_ms: int
) -> bool:
    """Returns whether a run was lost with an earlier incarnation.

    An earlier leader's record does not tell the incarnation of a run. A worker
    that was started after the run's job was accepted has lost it as well.

    :param born_ms: the present incarnation, 0 if it is another worker's.
    """
    if attempt.born_ms or worker.born_ms:
        return attempt.born_ms not in (0, born_ms)
    accepted_ms = attempt.task.step_run.job_run.job.accepted_ms
    return not born_ms or born_ms > accepted_ms


def examine(ended: t.Sequence[execution.Attempt]) -> Crash:
    """Returns which of the runs that a crash has ended may have caused it."""
    young = [attempt for attempt in ended if not attempt.survived]
    if not young and len(ended) == 1:
        young = list(ended)
    convicts = len({attempt.task.key.job for attempt in young}) == 1 and all(
        attempt.isolated for attempt in young
    )
    return Crash(young, convicts)


def count(
    crash: Crash, worker: ids.WorkerId, *, confirmed: bool, outage: bool
) -> None:
    """Counts and logs a crash for the tasks of its suspects.

    :param confirmed: the worker has restarted, rather than being silent only.
    :param outage: the worker was lost together with its rack or zone.
    """
    for attempt in crash.suspects:
        task = attempt.task
        task.step_run.suspected = True
        if not attempt.crash_counted:
            attempt.crash_counted = True
            task.crashes += 1
        if confirmed:
            attempt.born_ms = 0
            task.isolated_crashes += crash.convicts and not outage
        logs.event(
            'task_suspected',
            id=task.key.job,
            task=task.key.name_in_job,
            run=attempt.run,
            worker=worker,
            confirmed=confirmed,
            outage=outage,
            isolated=attempt.isolated,
            crashes=task.crashes,
            isolated_crashes=task.isolated_crashes,
        )


def is_convicted(task: execution.TaskRun) -> bool:
    """Returns whether a task is to be given up."""
    return task.isolated_crashes >= _MAX_ISOLATED_CRASHES or (
        task.isolated_crashes > 0 and task.crashes >= _MAX_CRASHES
    )


class Losses:
    """Which workers of each rack and zone were lost at about the same time.

    Answers the loss of a part of a large fleet: the fleet is looked at once,
    however many workers are asked about. No report may be handled meanwhile.
    Several tasks may crash their workers at the same time as well: isolated
    runs are few, so that most workers of an outage have none.

    :param silent_from_s: workers without a report since then are lost.
    """

    def __init__(
        self, fleet: t.Iterable[workers.Worker], silent_from_s: float
    ):
        self._fleet = fleet
        self._silent_from_s = silent_from_s
        self._groups: dict[tuple[str, ...], _Group] | None = None

    def is_outage(self, worker: workers.Worker) -> bool:
        """Returns whether a worker was lost together with its rack or zone."""
        lost_s = worker.last_report_s
        if lost_s is None:
            return False
        if self._groups is None:
            self._groups = self._group()
        groups = self._groups
        return any(
            key in groups and groups[key].is_lost(lost_s)
            for key in _group_keys(worker)
        )

    def _group(self) -> dict[tuple[str, ...], '_Group']:
        groups: dict[tuple[str, ...], _Group] = collections.defaultdict(_Group)
        for worker in self._fleet:
            lost_s = _lost_s(worker, self._silent_from_s)
            for key in _group_keys(worker):
                groups[key].add(lost_s)
            if lost_s is not None and _lost_isolated(
                worker, self._silent_from_s
            ):
                for key in _group_keys(worker):
                    groups[key].isolated_s.append(lost_s)
        for group in groups.values():
            group.lost_s.sort()
            group.isolated_s.sort()
        return dict(groups)


def _group_keys(worker: workers.Worker) -> tuple[tuple[str, ...], ...]:
    entry = worker.entry
    return (entry.zone,), (entry.zone, entry.rack)


def _lost_s(worker: workers.Worker, silent_from_s: float) -> float | None:
    last_s = worker.last_report_s
    if last_s is not None and last_s < silent_from_s:
        return last_s
    return worker.crashed_s


def _lost_isolated(worker: workers.Worker, silent_from_s: float) -> bool:
    """Returns whether only isolated runs can have crashed a lost worker."""
    last_s = worker.last_report_s
    if last_s is None or last_s >= silent_from_s:
        return worker.crashed_isolated
    return examine([*worker.attempts, *worker.lapsed]).convicts


@dataclasses.dataclass(slots=True)
class _Group:
    """The workers of a rack or zone.

    :ivar workers: their number.
    :ivar lost_s: when those that are lost last reported, in order.
    :ivar isolated_s: the same for those that isolated runs may have crashed.
    """

    workers: int = 0
    lost_s: list[float] = dataclasses.field(default_factory=list)
    isolated_s: list[float] = dataclasses.field(default_factory=list)

    def add(self, lost_s: float | None) -> None:
        """Adds a worker; ``lost_s`` is None for one that is not lost."""
        self.workers += 1
        if lost_s is not None:
            self.lost_s.append(lost_s)

    def is_lost(self, at_s: float) -> bool:
        """Returns whether most of the group was lost at about this time."""
        lost = _count_near(self.lost_s, at_s)
        isolated = _count_near(self.isolated_s, at_s)
        return (
            lost >= _MIN_OUTAGE_WORKERS
            and lost >= _OUTAGE_SHARE * self.workers
            and isolated <= _MAX_ISOLATED_SHARE * lost
        )


def _count_near(times_s: t.Sequence[float], at_s: float) -> int:
    """Returns how many of the ordered times are near a moment."""

    def distance_s(time_s: float) -> float:
        return time_s - at_s

    first = bisect.bisect_left(times_s, -_OUTAGE_SPREAD_S, key=distance_s)
    end = bisect.bisect_right(times_s, _OUTAGE_SPREAD_S, key=distance_s)
    return end - first


def isolating(
    candidates: t.Iterable[workers.Worker], now_s: float
) -> list[workers.Worker]:
    """Returns the workers for isolated runs, the best first.

    They are stable and have no young run. Those with the fewest other runs,
    which a crash would end, go first.
    """
    found = [
        worker
        for worker in candidates
        if now_s - worker.up_since_s >= _STABLE_S
        and all(attempt.survived for attempt in worker.attempts)
    ]
    return sorted(found, key=lambda w: (w.service_count, len(w.attempts)))


def choose(
    task: execution.TaskRun,
    candidates: t.Iterable[workers.Worker],
    now_s: float,
) -> workers.Worker | None:
    """Returns the worker for an isolated run of a suspect, or None."""
    step_run = task.step_run
    runs = placement.runs_by_worker(step_run)
    for worker in isolating(candidates, now_s):
        if placement.may_run(worker, step_run.step) and (
            placement.count_permits(worker, step_run.step, runs)
        ):
            return worker
    return None


def waiting(
    step_run: execution.StepRun, now_s: float
) -> list[execution.TaskRun]:
    """Returns the waiting suspects of a step, and notes that they wait."""
    found = [task for task in step_run.tasks if task.waiting and task.crashes]
    for task in found:
        if task.suspect_since_s is None:
            task.suspect_since_s = now_s
    return found


def needs_isolation(task: execution.TaskRun, now_s: float) -> bool:
    """Returns whether the next run of a task has to be isolated."""
    if not task.crashes:
        return False
    since_s = task.suspect_since_s
    if task.step_run.step.gang:
        since_s = task.step_run.waiting_since_s
    waited_s = 0.0 if since_s is None else now_s - since_s
    # A bound task would otherwise crash its worker again and again: that one
    # is rarely stable when the wait is over.
    isolated_only = 2 if task.unanswered else _ISOLATED_ONLY_CRASHES
    return waited_s < _MAX_ISOLATION_WAIT_S or task.crashes >= isolated_only
