"""Load of a leader: delays of its event loop, and what waits for capacity.

Late jobs have two kinds of causes: the leader acts late, or no worker has
room. A line of the log each second tells them apart.
"""

import collections
import enum
import typing as t

from . import execution
from . import logs
from . import metrics
from . import model
from . import workers


class Kind(enum.Enum):
    """Kinds of tasks, which compete for different resources."""

    SERVICE = 'service'
    OPPORTUNISTIC = 'opportunistic'
    BATCH = 'batch'


def kind_of(step: model.Step) -> Kind:
    """Returns the kind of a step's tasks."""
    if step.service:
        return Kind.SERVICE
    return Kind.OPPORTUNISTIC if step.opportunistic else Kind.BATCH


class LoadMonitor:
    """Collects durations between two log lines.

    :param meters: gets the gauges ``loop_lag_ms``, ``largest_room_cpu`` and
        ``tasks_without_room``.
    """

    def __init__(self, *, meters: metrics.Metrics):
        self._meters = meters
        self._lag_s = 0.0
        self._plans: dict[str, list[float]] = {}

    def on_timer(self, late_s: float) -> None:
        """Notes by how much a timer of the event loop was late."""
        self._lag_s = max(self._lag_s, late_s)

    def on_plan(self, name: str, seconds: float) -> None:
        """Notes the duration of a planning pass of one kind."""
        self._plans.setdefault(name, []).append(seconds)

    def report(
        self,
        fleet: t.Iterable[workers.Worker],
        waiting: t.Iterable[execution.StepRun],
    ) -> None:
        """Logs the load since the last report.

        :param waiting: steps with tasks that may start and have no attempt.
        """
        lag_ms = round(self._lag_s * 1000)
        self._meters.gauge('loop_lag_ms', lag_ms)
        fleet, waiting = list(fleet), list(waiting)
        wanted = _wanted_cpu(waiting)
        held = _held_cpu(fleet)
        largest = max((worker.free().cpu for worker in fleet), default=0)
        without_room = sum(
            step_run.waiting
            for step_run in waiting
            if kind_of(step_run.step) is Kind.BATCH
            and step_run.step.resources.cpu > largest
        )
        self._meters.gauge('largest_room_cpu', largest)
        self._meters.gauge('tasks_without_room', without_room)
        logs.event(
            'leader_load',
            lag_ms=lag_ms,
            plans={name: len(took) for name, took in self._plans.items()},
            plan_ms={
                name: round(sum(took) * 1000)
                for name, took in self._plans.items()
            },
            capacity=sum(worker.entry.capacity.cpu for worker in fleet),
            largest_room=largest,
            tasks_without_room=without_room,
            held={kind.value: held[kind] for kind in Kind},
            waiting={kind.value: wanted[kind] for kind in Kind},
        )
        self._lag_s = 0.0
        self._plans.clear()


def _wanted_cpu(
    waiting: t.Iterable[execution.StepRun],
) -> collections.Counter[Kind]:
    """Returns the processors that waiting tasks need, by kind."""
    wanted: collections.Counter[Kind] = collections.Counter()
    for step_run in waiting:
        need = step_run.waiting * step_run.step.resources.cpu
        wanted[kind_of(step_run.step)] += need
    return wanted


def _held_cpu(
    fleet: t.Iterable[workers.Worker],
) -> collections.Counter[Kind]:
    """Returns the processors that runs hold, by kind."""
    held: collections.Counter[Kind] = collections.Counter()
    for worker in fleet:
        held[Kind.SERVICE] += worker.service_cpu
        held[Kind.BATCH] += worker.used.cpu - worker.service_cpu
        held[Kind.OPPORTUNISTIC] += worker.opportunistic_cpu
    return held
