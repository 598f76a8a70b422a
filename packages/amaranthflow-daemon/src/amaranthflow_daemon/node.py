"""State and services shared by the components of one daemon process."""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import follower
from amaranthflow import health
from amaranthflow import ids
from amaranthflow import journal
from amaranthflow import latency
from amaranthflow import ownership
from amaranthflow import platform
from amaranthflow import state as state_lib
from amaranthflow import world

from . import logs
from . import metrics
from . import peer_channel
from . import settings

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformLinks:
    """Connections to the platform and to other instances.

    :ivar connect: creates the link to a worker.
    :ivar connect_peer: opens a channel to a peer's "IP:PORT".
    """

    log: platform.LogService
    instances: platform.InstanceList
    connect: t.Callable[[world.Worker], platform.WorkerLink]
    connect_peer: t.Callable[[str], peer_channel.PeerChannel]


class StateListener(t.Protocol):
    """Receives changes of the replicated state."""

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Called after a batch was applied."""

    def on_loaded(self) -> None:
        """Called after the whole state was replaced."""


class Node:
    """Context shared by all components of one daemon process.

    :ivar draining: set by the graceful shutdown, never cleared.
    :ivar state_from_peer: the state was fetched from a peer because the log
        did not answer at startup. It is enough to serve callers; ownership
        of racks is granted by the log alone.
    :ivar config_generation: counts changes of the configuration in force.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        clock: clock_lib.Clock,
        links: PlatformLinks,
        rng: random.Random,
    ):
        self.cfg = cfg
        self.clock = clock
        self.links = links
        self.rng = rng
        self.member = ids.Member(
            cfg.instance_id, ids.Incarnation(clock.wall_ms())
        )
        self.state = state_lib.State()
        self.metrics = metrics.Metrics(address=cfg.statsd_address)
        self.latency = latency.LatencyHistograms()
        self.decisions = decisions.DecisionLog()
        self.draining = False
        self.state_from_peer = False
        self.config_generation = 0
        self.listeners: list[StateListener] = []
        self._tasks: set[asyncio.Task] = set()
        self.ownership = ownership.Ownership(
            clock=clock,
            state=self.state,
            member=self.member,
            fence_s=cfg.fence_s,
            margin_s=cfg.clock_margin_s,
        )
        self.follower = follower.Follower(
            log=links.log, clock=clock, state=self.state, listener=self
        )
        self.journal = self._new_journal()

    @property
    def joined(self) -> bool:
        """Whether the log lists this process as a member."""
        current = self.state.members.current(self.member.instance)
        return current == self.member

    @property
    def ready(self) -> bool:
        """Whether this instance can serve callers."""
        has_state = self.follower.caught_up or self.state_from_peer
        return has_state and not self.draining

    def now_ms(self) -> int:
        """Returns the time at which configuration is evaluated, Unix ms."""
        return self.state.now_ms(self.clock.wall_ms())

    def record_decision(
        self,
        subject_id: str,
        kind: decisions.DecisionKind,
        reason: str,
        tenant_id: str = '',
    ) -> None:
        """Adds a decision to the decision log and logs it as an event."""
        self.decisions.add(
            subject_id,
            ids.TenantId(tenant_id),
            kind,
            reason,
            self.clock.wall_ms(),
        )
        logs.log_event(
            'decision',
            task_id=subject_id,
            subject=subject_id,
            kind=kind.value,
            reason=reason,
            tenant=tenant_id,
        )

    def record_findings(self, findings: t.Iterable[health.Finding]) -> None:
        """Records health findings about workers and jobs as decisions."""
        for finding in findings:
            self.record_decision(
                finding.subject_id,
                decisions.DecisionKind.QUARANTINED,
                f'{finding.kind.value}: {finding.reason}',
            )

    def spawn(self, work: t.Coroutine, name: str) -> asyncio.Task:
        """Starts a task that is cancelled when the process ends.

        An exception in it is logged and does not affect other tasks.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)
        return task

    def running_tasks(self) -> tuple[asyncio.Task, ...]:
        """Returns the tasks that are still running."""
        return tuple(self._tasks)

    async def cancel_tasks(self) -> None:
        """Cancels all tasks and waits until they end."""
        tasks = self.running_tasks()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Forwards a batch to the journal and the listeners."""
        self.journal.note_applied(applied)
        for listener in self.listeners:
            listener.on_applied(applied)

    def on_loaded(self) -> None:
        """Notifies the journal and the listeners of the replaced state."""
        self.journal.note_position(self.state)
        for listener in self.listeners:
            listener.on_loaded()

    def on_confirmed(self, asked_at: float) -> None:
        """Renews the confirmation of ownership that the log provides."""
        self.journal.note_readable()
        self.ownership.note_log_confirmed(asked_at)

    def on_invalid(self, exc: exceptions.InvalidRecord) -> None:
        """Counts and logs a log entry that cannot be decoded."""
        self.metrics.count(metrics.Metric.RECORDS_SET_ASIDE)
        logs.log_event(
            'record set aside', level=logs.WARNING, reason=exc.reason
        )

    def _new_journal(self) -> journal.Journal:
        return journal.Journal(
            log=self.links.log,
            clock=self.clock,
            member=self.member,
            batch_delay_s=self.cfg.batch_delay_ms / _MS_PER_S,
            min_interval_s=self._append_interval_s,
            rng=self.rng,
        )

    def _append_interval_s(self) -> float:
        """Returns this member's minimum time between appends.

        The log's append rate is divided evenly among the members.
        """
        members = max(1, len(self.state.members.members))
        return members / self.cfg.log_appends_per_s

    def _note_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log_event(
                'task failed',
                level=logs.ERROR,
                task=task.get_name(),
                reason=repr(task.exception()),
            )
