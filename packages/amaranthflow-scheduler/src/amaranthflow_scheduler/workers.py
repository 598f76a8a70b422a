"""What the leader believes of each worker, and how old that belief is."""

import dataclasses
import typing as t

from amaranthflow import ids

from . import execution
from . import model

# A worker's steady clock may be this much slow (platform's pages).
CLOCK_RATE = 0.98
# Longest pause for services; they may wait 3 s where there is room (the
# platform's rule on lost tasks).
SERVICE_PAUSE_S = 2.0
# Share of a service's processor that is idle on the average: services are
# sized for their peaks.
SERVICE_IDLE = 0.5
# The same while opportunistic runs get this share of what they can use.
SERVICE_IDLE_SEEN = 0.65
UNSQUEEZED = 0.93
# Network delay and timers between a lease's end and the last run's end.
LAPSE_SLACK_S = 0.15


class Sample(t.NamedTuple):
    """Tails and loads of one report.

    :ivar tails: image and logarithm of the tail of each service's task.
    :ivar loads: share of the worker's processor in use by each image.
    """

    at_s: float
    tails: dict[model.TaskKey, tuple[ids.TaskClass, float]]
    loads: dict[ids.TaskClass, float]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Worker:
    """One worker. Times are seconds of the leader's clock.

    :ivar lapsed_s: by then all runs whose lease is not renewed have ended.
    :ivar processed: number of the last end taken into account.
    :ivar observed: number of the last end that is in the store.
    :ivar unanswered: starts without an answer since the last answered one.
    :ivar tails: expected logarithm of the highest tail of each service
        image, as a share of its target.
    :ivar shunned_s: when the last pause of starts there began.
    :ivar shunned_until_s: end of that pause.
    :ivar paced_s: when paces were last changed.
    :ivar moves_tried_s: when slowed runs were last tried elsewhere.
    :ivar passing_count: number of ``passing_runs``.
    :ivar used: what runs take; opportunistic ones take no processor.
    :ivar unlisted_s: when the worker's entry went, None while it is there.
    """

    entry: model.WorkerEntry
    lapsed_s: float
    unlisted_s: float | None = None
    answered_s: float | None = None
    clock_ms: int = 0
    clock_s: float = 0.0
    born_ms: int = 0
    processed: int = 0
    observed: int = 0
    copies: list[execution.Copy] = dataclasses.field(default_factory=list)
    used: model.Resources = model.Resources()
    opportunistic_cpu: int = 0
    opportunistic_count: int = 0
    service_count: int = 0
    passing_count: int = 0
    service_cpu: int = 0
    service_images: dict[str, int] = dataclasses.field(default_factory=dict)
    tails: dict[ids.TaskClass, float] = dataclasses.field(default_factory=dict)
    sample: Sample | None = None
    paced_s: float = 0.0
    moves_tried_s: float = 0.0
    shunned_s: float = 0.0
    shunned_until_s: float = 0.0
    unanswered: int = 0
    failures_in_row: int = 0
    failed_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    successes: int = 0
    pace_factor: float = 1.0
    _room: tuple[model.WorkerEntry, model.Resources] | None = None
    _unused_cpu: float | None = None

    @property
    def id(self) -> ids.WorkerId:
        """Id of the worker."""
        return self.entry.id

    def clock_now(self, now_s: float) -> int:
        """Returns the least that the worker's clock can show now."""
        return self.clock_ms + int((now_s - self.clock_s) * 1000 * CLOCK_RATE)

    def sync_clock(self, clock_ms: int, now_s: float) -> None:
        """Takes a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_s = now_s

    def passed_s(self, deadline_ms: int) -> float:
        """Returns when a time on the worker's clock has surely passed."""
        left_s = (deadline_ms - self.clock_ms) / 1000
        return self.clock_s + left_s / CLOCK_RATE + LAPSE_SLACK_S

    def extend_lease(self, deadline_ms: int) -> None:
        """Notes that a call which sets this deadline is on its way."""
        self.lapsed_s = max(self.lapsed_s, self.passed_s(deadline_ms))

    def shun(self, now_s: float, seconds: float) -> None:
        """Lets nothing start there for a while."""
        self.shunned_s = now_s
        self.shunned_until_s = max(self.shunned_until_s, now_s + seconds)

    def shunned(self, now_s: float, *, by_services: bool) -> bool:
        """Tells whether nothing may start there now.

        Runs of services have no limit of attempts, and have to be placed
        where there is room, so they return sooner.
        """
        until_s = self.shunned_until_s
        if by_services:
            until_s = min(until_s, self.shunned_s + SERVICE_PAUSE_S)
        return now_s < until_s

    def attach(self, copy: execution.Copy) -> None:
        """Adds a run and what it takes."""
        self.copies.append(copy)
        self._count(copy, 1)

    def detach(self, copy: execution.Copy) -> None:
        """Removes a run; again is harmless."""
        if copy in self.copies:
            self.copies.remove(copy)
            self._count(copy, -1)

    def runs_changed(self) -> None:
        """Notes that runs came, went or were reported anew."""
        self._unused_cpu = None

    def _count(self, copy: execution.Copy, sign: int) -> None:
        self._room = None
        self.runs_changed()
        step = copy.task.step_run.step
        cpu, mem_mb, gpu = self.used
        need = step.resources
        if step.opportunistic:
            self.opportunistic_cpu += sign * need.cpu
        else:
            cpu += sign * need.cpu
        self.used = model.Resources(
            cpu, mem_mb + sign * need.mem_mb, gpu + sign * need.gpu
        )
        if step.opportunistic:
            self.opportunistic_count += sign
        elif not step.service:
            self.passing_count += sign
        if step.tail_target_ms and not step.opportunistic:
            self.service_count += sign
            self.service_cpu += sign * need.cpu
            images = self.service_images
            images[step.image] = images.get(step.image, 0) + sign
            if not images[step.image]:
                del images[step.image]

    def room(self) -> model.Resources:
        """Returns what is free."""
        if self._room is None or self._room[0] is not self.entry:
            self._room = (self.entry, self.entry.capacity.minus(self.used))
            self.runs_changed()
        return self._room[1]

    def passing_runs(self) -> list[execution.Copy]:
        """Returns the runs that take processors and will end."""
        return [
            copy
            for copy in self.copies
            if not copy.task.step_run.step.service
            and not copy.task.step_run.step.opportunistic
        ]

    def passing(self) -> model.Resources:
        """Returns what ``passing_runs`` take together."""
        total = model.Resources()
        for copy in self.passing_runs():
            total = total.plus(copy.task.step_run.step.resources)
        return total

    def unused_cpu(self) -> float:
        """Returns what another opportunistic run may expect to use."""
        room = self.room()
        if self._unused_cpu is None:
            idle = SERVICE_IDLE if self._squeezed() else SERVICE_IDLE_SEEN
            unused = room.cpu + idle * self.service_cpu
            self._unused_cpu = unused - self.opportunistic_cpu
        return self._unused_cpu

    def _squeezed(self) -> bool:
        """Tells whether opportunistic runs get less than they could use."""
        used = wanted = 0.0
        for copy in self.opportunistic():
            if copy.reported and copy.pace == 100 and copy.gauge > 0:
                used += copy.gauge
                wanted += copy.task.step_run.step.resources.cpu
        return used < UNSQUEEZED * wanted or not wanted

    def services(self) -> list[execution.Copy]:
        """Returns the runs that have a target for their tail latency."""
        return [
            copy
            for copy in self.copies
            if copy.task.step_run.step.tail_target_ms
        ]

    def opportunistic(self) -> list[execution.Copy]:
        """Returns the runs that use what others leave."""
        return [
            copy
            for copy in self.copies
            if copy.task.step_run.step.opportunistic
        ]
