"""What the leader knows about each worker, and how recent it is."""

import dataclasses
import typing as t

from amaranthflow import ids

from . import execution
from . import logs
from . import model
from . import worker_history

# Lowest rate of a worker's monotonic clock that the platform permits.
MIN_CLOCK_RATE = 0.98
# The platform permits a service to wait 3 s for a lost task if there is free
# capacity.
MAX_SERVICE_BACKOFF_S = 2.0
# Share of a service's processors that is idle on average; services are sized
# for their peak load.
SERVICE_IDLE_SHARE = 0.5
# Network and timer delay between the end of a lease and of the last run.
LEASE_END_MARGIN_S = 0.15


def lease_end_s(now_s: float, lease_s: float) -> float:
    """Returns when a lease of a worker's clock has certainly ended."""
    return now_s + lease_s / MIN_CLOCK_RATE + LEASE_END_MARGIN_S


class Sample(t.NamedTuple):
    """Headroom and loads of one report.

    :ivar headroom: image and headroom of each service's task.
    :ivar loads: share of the worker's processors that the opportunistic runs
        of each image use.
    """

    at_s: float
    headroom: dict[model.TaskKey, tuple[ids.TaskClass, float]]
    loads: dict[ids.TaskClass, float]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Worker:
    """A worker and its attempts.

    Times are in seconds of the leader's clock.

    :ivar lease_end_s: time by which all runs have ended unless their lease is
        renewed.
    :ivar unlisted_since_s: when the worker's entry was removed, or None.
    :ivar last_report_s: when the last report arrived, or None.
    :ivar clock_ms: last reading of the worker's clock.
    :ivar clock_s: when that reading arrived.
    :ivar born_ms: start time of the worker process; 0 if unknown.
    :ivar born_reported_s: when that incarnation first reported.
    :ivar token: fencing token of the calls to this incarnation.
    :ivar former_token: highest token of calls to earlier ones.
    :ivar fenced: it has answered a call with a higher token than those.
    :ivar restart_suspected: a later incarnation has answered a start; cleared
        by the next report.
    :ivar deadline_ms: latest lease deadline that was sent to this incarnation.
    :ivar unanswered: calls for reports since the last answer.
    :ivar answered_s: when it last answered a start.
    :ivar processed_end: number of the last processed end of a run.
    :ivar stored_end: number of the last end whose effect is stored.
    :ivar used: resources in use; opportunistic runs use no processors here.
    :ivar opportunistic_cpu: processor demand of the opportunistic runs.
    :ivar opportunistic_count: number of opportunistic runs.
    :ivar service_count: number of runs with a target for their tail latency.
    :ivar service_cpu: processors of these runs.
    :ivar service_images: number of these runs by image.
    :ivar batch_count: number of ``batch_attempts``.
    :ivar expected_headroom: least headroom expected of each service image.
    :ivar expected_ratios: highest tail ratios expected with another run, by
        its image and processors; cleared when one of them changes.
    :ivar sample: the last report that was used for learning.
    :ivar last_pace_change_s: when paces were last changed.
    :ivar last_move_check_s: when slowed runs were last compared with other
        workers.
    :ivar probation: an isolated run that may still crash the worker, on which
        no other run starts meanwhile.
    :ivar lapsed: young runs whose leases expired while the worker was silent.
    :ivar crashed_s: time of the last report before the last crash, or None.
    :ivar crashed_isolated: only isolated runs can have caused that crash.
    :ivar up_since_s: when this incarnation first reported; minus infinity if
        the leader does not know.
    :ivar backoff_since_s: when the last backoff began.
    :ivar backoff_until_s: when it ends.
    :ivar refused_until_s: until when it gets no start of a task that is bound
        to it, as it has refused a start.
    :ivar history: how reliable and how fast it has been.
    :ivar max_batch_cpu: processors that further batch runs, and further
        opportunistic runs, may take in all; None for no limit of their own.
    """

    entry: model.WorkerEntry
    lease_end_s: float
    unlisted_since_s: float | None = None
    last_report_s: float | None = None
    clock_ms: int = 0
    clock_s: float = 0.0
    born_ms: int = 0
    born_reported_s: float = float('-inf')
    token: model.Token = model.Token(0)
    former_token: model.Token = model.Token(0)
    fenced: bool = False
    restart_suspected: bool = False
    deadline_ms: int = 0
    unanswered: int = 0
    answered_s: float = float('-inf')
    processed_end: int = 0
    stored_end: int = 0
    attempts: list[execution.Attempt] = dataclasses.field(default_factory=list)
    used: model.Resources = model.Resources()
    opportunistic_cpu: int = 0
    opportunistic_count: int = 0
    service_count: int = 0
    batch_count: int = 0
    service_cpu: int = 0
    service_images: dict[str, int] = dataclasses.field(default_factory=dict)
    expected_headroom: dict[ids.TaskClass, float] = dataclasses.field(
        default_factory=dict
    )
    expected_ratios: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    sample: Sample | None = None
    last_pace_change_s: float = 0.0
    last_move_check_s: float = 0.0
    probation: execution.Attempt | None = None
    lapsed: list[execution.Attempt] = dataclasses.field(default_factory=list)
    crashed_s: float | None = None
    crashed_isolated: bool = False
    up_since_s: float = float('-inf')
    backoff_since_s: float = 0.0
    backoff_until_s: float = 0.0
    refused_until_s: float = 0.0
    history: worker_history.WorkerHistory = dataclasses.field(
        default_factory=worker_history.WorkerHistory
    )
    max_batch_cpu: int | None = None
    _free: tuple[model.WorkerEntry, model.Resources] | None = None

    @property
    def id(self) -> ids.WorkerId:
        """Id of the worker."""
        return self.entry.id

    @property
    def entry_is_current(self) -> bool:
        """True if the entry is listed and of the incarnation that reports.

        Another incarnation may have other labels and another capacity.
        """
        if self.unlisted_since_s is not None:
            return False
        known = 0 not in (self.entry.born_ms, self.born_ms)
        return not known or self.entry.born_ms == self.born_ms

    def min_clock_ms(self, now_s: float) -> int:
        """Returns the lowest value that the worker's clock can show now."""
        return self.clock_ms + int(
            (now_s - self.clock_s) * 1000 * MIN_CLOCK_RATE
        )

    def sync_clock(self, clock_ms: int, now_s: float) -> None:
        """Stores a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_s = now_s

    def deadline_passed_s(self, deadline_ms: int) -> float:
        """Returns when a time of the worker's clock has certainly passed."""
        return lease_end_s(self.clock_s, (deadline_ms - self.clock_ms) / 1000)

    def extend_lease(self, deadline_ms: int) -> None:
        """Notes that a call which sets this lease deadline is being sent."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.lease_end_s = max(
            self.lease_end_s, self.deadline_passed_s(deadline_ms)
        )

    def back_off(self, now_s: float, seconds: float) -> None:
        """Prevents starts on the worker for a while."""
        self.backoff_since_s = now_s
        self.backoff_until_s = max(self.backoff_until_s, now_s + seconds)

    def on_no_answer(self, now_s: float) -> None:
        """Backs off after a start without an answer."""
        self.answered_s = float('-inf')
        self.back_off(now_s, self.history.on_no_answer())

    def shun(self, now_s: float, seconds: float, why: str) -> None:
        """Backs off from a worker that seems to be faulty, and logs it."""
        self.back_off(now_s, seconds)
        logs.event(
            'worker_shunned',
            worker=self.id,
            why=why,
            seconds=seconds,
            failed_jobs=len(self.history.failed_jobs),
        )

    def in_backoff(self, now_s: float, *, for_service: bool) -> bool:
        """Returns whether starts on the worker are prevented now.

        The backoff is shorter for services, since they must be placed quickly
        if there is free capacity, and failures do not end their jobs.
        """
        until_s = self.backoff_until_s
        if for_service:
            until_s = min(
                until_s, self.backoff_since_s + MAX_SERVICE_BACKOFF_S
            )
        return now_s < until_s

    def attach(self, attempt: execution.Attempt) -> None:
        """Adds an attempt and its resources."""
        self.attempts.append(attempt)
        if attempt.isolated:
            self.probation = attempt
        self._update_totals(attempt, 1)

    def detach(self, attempt: execution.Attempt) -> None:
        """Removes an attempt; does nothing if it was removed before."""
        if attempt in self.attempts:
            self.attempts.remove(attempt)
            self._update_totals(attempt, -1)
        if self.probation is attempt:
            self.probation = None

    def _update_totals(self, attempt: execution.Attempt, sign: int) -> None:
        self._free = None
        step = attempt.task.step_run.step
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
            self.batch_count += sign
        if step.tail_target_ms and not step.opportunistic:
            self.service_count += sign
            self.service_cpu += sign * need.cpu
            images = self.service_images
            images[step.image] = images.get(step.image, 0) + sign
            if not images[step.image]:
                del images[step.image]

    def free(self) -> model.Resources:
        """Returns the resources that are not in use."""
        if self._free is None or self._free[0] is not self.entry:
            self._free = (self.entry, self.entry.capacity.minus(self.used))
        return self._free[1]

    def limit_permits(self, step: model.Step) -> bool:
        """Returns whether ``max_batch_cpu`` permits one more run of a step.

        It always permits the first run of a kind, and all of services.
        """
        if self.max_batch_cpu is None or step.service:
            return True
        if step.opportunistic:
            held = self.opportunistic_cpu
        else:
            held = self.batch_resources().cpu
        return not held or held + step.resources.cpu <= self.max_batch_cpu

    def batch_attempts(self) -> list[execution.Attempt]:
        """Returns the runs that are neither services nor opportunistic."""
        return [
            attempt
            for attempt in self.attempts
            if not attempt.task.step_run.step.service
            and not attempt.task.step_run.step.opportunistic
        ]

    def batch_resources(self) -> model.Resources:
        """Returns the total resources of ``batch_attempts``."""
        total = model.Resources()
        for attempt in self.batch_attempts():
            total = total.plus(attempt.task.step_run.step.resources)
        return total

    def unused_cpu(self) -> float:
        """Returns the processors left unused for another opportunistic run."""
        idle = SERVICE_IDLE_SHARE * self.service_cpu
        return self.free().cpu + idle - self.opportunistic_cpu

    def service_attempts(self) -> list[execution.Attempt]:
        """Returns the runs that have a target for their tail latency."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.task.step_run.step.tail_target_ms
        ]

    def opportunistic_attempts(self) -> list[execution.Attempt]:
        """Returns the opportunistic runs."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.task.step_run.step.opportunistic
        ]


def placeholder_entry(worker_id: ids.WorkerId) -> model.WorkerEntry:
    """Returns an entry for a worker whose own entry is missing."""
    return model.WorkerEntry(
        id=worker_id,
        service=ids.ServiceId(''),
        address='',
        zone=ids.ZoneId(''),
        state=model.WorkerState.DRAINING,
        capacity=model.Resources(),
    )
