"""Runs batch jobs on the workers of this instance."""

import asyncio
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import health
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow import platform
from amaranthflow import state as state_lib
from amaranthflow import world

from . import attempts
from . import jobqueue
from . import logs
from . import node as node_lib
from . import worker_sessions as sessions_lib

_PLACE_PERIOD_S = 0.25
_MAX_CONCURRENT_LAUNCHES = 256
_RETRY_ELSEWHERE_MS = 2000
_MIN_CHECKPOINT_PERIOD_S = 5.0
_MAX_CHECKPOINTS_PER_S = 20


class BatchRunner:
    """Starts attempts, tracks them by worker reports and records their end.

    An attempt is recorded in the log before it is started. Its end is
    recorded when the worker reports it, or when its lease has expired for
    certain.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        placer: world.Placer,
        queue: jobqueue.JobQueue,
        health: health.WorkerHealth,
        observer: sessions_lib.Observer,
    ):
        self._node = node
        self._queue = queue
        self._health = health
        self._recorder = attempts.AttemptRecorder(node=node, health=health)
        self._observer = observer
        self._placer = placer
        self._launching: set[jobs.JobKey] = set()
        self._start_sent_at: dict[ids.TaskId, float] = {}
        self._moving: set[ids.TaskId] = set()
        self._checkpointed_at: dict[ids.TaskId, float] = {}
        self._wakeup = asyncio.Event()
        self.sessions: sessions_lib.WorkerSessions | None = None

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Checks for waiting jobs after each batch of records."""
        self._wakeup.set()

    def on_loaded(self) -> None:
        """Checks for waiting jobs after the state was replaced."""
        self._wakeup.set()

    async def run(self) -> t.NoReturn:
        """Places waiting jobs until cancelled."""
        while True:
            self.place_waiting()
            self._wakeup.clear()
            await clock_lib.wait_event(
                self._node.clock, self._wakeup, _PLACE_PERIOD_S
            )

    def place_waiting(self) -> None:
        """Starts to launch each waiting job that fits on a worker here.

        Does nothing while the instance drains or the log is unreachable.
        """
        if self._node.draining or not self._node.journal.reachable:
            return
        now_ms = self._node.clock.wall_ms()
        unhealthy = self._health.avoid(now_ms)
        usable = self._usable(unhealthy)
        self._queue.drop_stale_holds(usable.keys())
        for entry, task in self._queue.candidates():
            if len(self._launching) >= _MAX_CONCURRENT_LAUNCHES:
                return
            if entry.key not in self._launching:
                self._place(entry, task, unhealthy)
        self._hold_workers(usable)

    def _usable(
        self, unhealthy: frozenset[ids.WorkerId]
    ) -> dict[ids.WorkerId, world.WorkerLedger]:
        return {
            worker_id: session.ledger
            for worker_id, session in self.sessions.by_id.items()
            if worker_id not in unhealthy and not session.ledger.leaving
        }

    def _hold_workers(
        self, usable: t.Mapping[ids.WorkerId, world.WorkerLedger]
    ) -> None:
        """Holds the least loaded worker for a starving job.

        Other batch jobs do not use that worker until the job fits on it.
        """
        for entry, task in self._queue.starving_jobs():
            avoid = self._queue.avoid(task).union(self._failed_on(entry))
            ledgers = [
                ledger
                for worker_id, ledger in usable.items()
                if worker_id not in avoid and _may_ever_fit(ledger, task)
            ]
            if ledgers:
                least_loaded = min(ledgers, key=_load_key)
                self._hold(entry, task, least_loaded.worker.worker_id)

    def _hold(
        self,
        entry: jobs.JobEntry,
        task: world.Task,
        worker_id: ids.WorkerId,
    ) -> None:
        if self._queue.hold(task, worker_id):
            self._recorder.record_decision(
                entry, decisions.DecisionKind.QUEUED, f'{worker_id} is held'
            )

    def _place(
        self,
        entry: jobs.JobEntry,
        task: world.Task,
        unhealthy: frozenset[ids.WorkerId],
    ) -> None:
        avoid = unhealthy.union(
            self._failed_on(entry), self._queue.avoid(task)
        )
        placement = self._placer.choose(task, avoid)
        if placement is None:
            return
        session = self.sessions.by_id[placement.worker_id]
        if not session.admits or not session.ledger.reserve(task):
            return
        task.started_at_ms = self._node.clock.wall_ms()
        self._placer.refresh(placement.worker_id)
        self._observer.note_change(session)
        self._launching.add(entry.key)
        self._queue.launched(entry, task)
        self._health.started(
            placement.worker_id, task.task_id, self._node.clock.wall_ms()
        )
        self._recorder.record_decision(
            entry, decisions.DecisionKind.PLACED, placement.reason
        )
        self._node.spawn(
            self._launch(entry, task, session), f'launch {entry.key}'
        )

    def _failed_on(self, entry: jobs.JobEntry) -> t.Collection[str]:
        """Returns workers on which the job should not be retried now.

        If the job has failed on all workers of this instance, the other
        rack owners get ``_RETRY_ELSEWHERE_MS`` to place it. After that only
        the last worker it failed on is avoided.
        """
        failed = entry.failed_workers
        if not failed or set(self.sessions.by_id) - set(failed):
            return failed
        waited_ms = self._node.clock.wall_ms() - entry.changed_at_ms
        if waited_ms < _RETRY_ELSEWHERE_MS:
            return failed
        return failed[-1:] if len(self.sessions.by_id) > 1 else ()

    async def reconcile(
        self,
        session: sessions_lib.WorkerSession,
        reports: tuple[platform.TaskReport, ...],
        asked_at: float,
    ) -> tuple[ids.TaskId, ...]:
        """Reconciles a worker's reported tasks with the recorded attempts.

        Records reported ends, stops tasks of attempts that the log does not
        have as running and ends attempts that the worker no longer runs.

        :param asked_at: monotonic time at which the report was requested.
        :returns: the tasks whose leases are to be renewed.
        """
        reported = {r.task_id: r for r in reports}
        recorded = self._recorded(session)
        keep = []
        for report in reports:
            if ids.split_batch_task_id(report.task_id) is None:
                continue
            entry = recorded.get(report.task_id)
            if report.phase is not platform.TaskPhase.RUNNING:
                self._note_end(session, entry, report)
            elif entry is None:
                self._stop_stale(session, report)
            else:
                self._start_sent_at.pop(report.task_id, None)
                self._adopt(session, self._queue.task_of(entry, entry.attempt))
                self._handle_running(session, entry, report)
                keep.append(report.task_id)
        if not session.serving:
            # A start sent by the previous owner may still reach the worker.
            return tuple(keep)
        for task_id in self._missing(session, recorded, reported, asked_at):
            self._note_missing(session, recorded.get(task_id), task_id)
        return tuple(keep)

    async def on_leases_expired(
        self, session: sessions_lib.WorkerSession
    ) -> None:
        """Ends all attempts on a worker on which every lease has expired."""
        if not session.serving:
            return
        for task_id, entry in self._recorded(session).items():
            if entry.key not in self._launching:
                self._note_lost(
                    session, entry, task_id, 'worker does not answer'
                )
        for task_id, task in list(session.ledger.tasks.items()):
            if task.kind is world.TaskKind.BATCH:
                if not self._is_launching(task_id):
                    self._release(session, task_id)

    def has_pending_start(self, session: sessions_lib.WorkerSession) -> bool:
        """Returns whether a start on the worker is in flight or uncertain."""
        now = self._node.clock.monotonic()
        return any(
            self._is_launching(task_id) or self._may_still_arrive(task_id, now)
            for task_id, task in session.ledger.tasks.items()
            if task.kind is world.TaskKind.BATCH
        )

    async def _launch(
        self,
        entry: jobs.JobEntry,
        task: world.Task,
        session: sessions_lib.WorkerSession,
    ) -> None:
        attempt = entry.attempt + 1
        with logs.job_action(str(entry.key), attempt=attempt):
            try:
                recorded = await self._recorder.start(entry, attempt, session)
                if recorded:
                    await self._start(entry, task, session)
                else:
                    self._release(session, task.task_id)
                    self._queue.launch_failed(entry)
            finally:
                self._launching.discard(entry.key)

    async def _start(
        self,
        entry: jobs.JobEntry,
        task: world.Task,
        session: sessions_lib.WorkerSession,
    ) -> None:
        cfg = self._node.cfg
        lease_ms = int(cfg.task_lease_s * 1000)
        start = platform.TaskStart(
            task_id=task.task_id,
            task_class=task.task_class,
            tenant_id=task.tenant_id,
            lease_ms=lease_ms,
            not_after_ms=self._node.clock.wall_ms() + lease_ms,
            cores=task.size.cores,
            memory_mb=task.size.memory_mb,
            payload=entry.job.payload,
            checkpoint=entry.checkpoint,
        )
        if not session.admits:
            self._end_not_run(
                session, entry, task, 'the worker no longer accepts work'
            )
            return
        self._start_sent_at[task.task_id] = self._node.clock.monotonic()
        session.note_start()
        try:
            await session.link.start(start)
        except exceptions.PlatformUncertain as exc:
            # The worker's next report shows whether the task runs.
            logs.log_event('start not confirmed', reason=exc.reason)
        except exceptions.PlatformError as exc:
            self._end_not_run(session, entry, task, exc.reason)
            return
        else:
            self._start_sent_at.pop(task.task_id, None)
        self._recorder.record_decision(
            entry,
            decisions.DecisionKind.STARTED,
            f'attempt {entry.attempt} on {session.worker.worker_id}',
        )

    def _end_not_run(self, session, entry, task: world.Task, reason: str):
        self._release(session, task.task_id)
        self._recorder.end(
            session, entry, task.task_id, jobs.Outcome.OUTCOME_NOT_RUN, reason
        )

    def _recorded(self, session) -> dict[ids.TaskId, jobs.JobEntry]:
        on_worker = self._node.state.jobs.on_worker.get(
            session.worker.worker_id, {}
        )
        return {
            jobqueue.task_id_of(e, e.attempt): e for e in on_worker.values()
        }

    def _missing(self, session, recorded, reported, asked_at: float):
        """Yields expected tasks that the worker does not report.

        Starts that were in flight when the report was requested may be
        missing from it and are not yielded.
        """
        expected = set(recorded)
        expected.update(
            task_id
            for task_id, task in session.ledger.tasks.items()
            if task.kind is world.TaskKind.BATCH
        )
        for task_id in expected - set(reported):
            if self._is_launching(task_id):
                continue
            if not self._may_still_arrive(task_id, asked_at):
                yield task_id

    def _is_launching(self, task_id: ids.TaskId) -> bool:
        job_id, _ = ids.split_batch_task_id(task_id)
        return jobs.JobKey.parse(job_id) in self._launching

    def _may_still_arrive(self, task_id: ids.TaskId, asked_at: float) -> bool:
        """Returns whether a start sent earlier may still reach the worker."""
        sent_at = self._start_sent_at.get(task_id)
        if sent_at is None:
            return False
        cfg = self._node.cfg
        return asked_at < sent_at + cfg.task_lease_s + cfg.clock_margin_s

    def _note_missing(self, session, entry, task_id: ids.TaskId) -> None:
        if entry is None:
            self._release(session, task_id)
        else:
            self._note_lost(session, entry, task_id, 'worker does not run it')

    def _note_lost(self, session, entry, task_id: ids.TaskId, reason: str):
        """Ends an attempt that stopped without reporting an outcome."""
        self._release(session, task_id)
        self._recorder.end_lost(session, entry, task_id, reason)

    def _note_end(self, session, entry, report: platform.TaskReport) -> None:
        self._release(session, report.task_id)
        if entry is not None:
            self._recorder.end_reported(session, entry, report)

    def _adopt(self, session, task: world.Task) -> None:
        if task.task_id not in session.ledger.tasks:
            session.ledger.adopt(task)
            self._placer.refresh(session.worker.worker_id)

    def _handle_running(
        self, session, entry, report: platform.TaskReport
    ) -> None:
        """Stops, moves or checkpoints a running task as needed.

        The checkpoint period grows with the number of running jobs, so that
        all jobs together make at most ``_MAX_CHECKPOINTS_PER_S``.
        """
        if entry.cancel_requested:
            self.stop(session, report.task_id, 'cancelled')
            return
        if session.draining:
            self.move(session, report.task_id, 'the worker is leaving')
            return
        if report.checkpoint and report.checkpoint != entry.checkpoint:
            self._recorder.checkpoint(session, entry, report.checkpoint)
        now = self._node.clock.monotonic()
        last_at = self._checkpointed_at.setdefault(report.task_id, now)
        running = len(self._node.state.jobs.running)
        period_s = max(
            _MIN_CHECKPOINT_PERIOD_S, running / _MAX_CHECKPOINTS_PER_S
        )
        if now - last_at >= period_s and self._node.journal.reachable:
            self._checkpointed_at[report.task_id] = now
            self._node.spawn(
                self._checkpoint(session, entry, report.task_id),
                f'checkpoint {report.task_id}',
            )

    def move(
        self,
        session: sessions_lib.WorkerSession,
        task_id: ids.TaskId,
        reason: str,
    ) -> None:
        """Checkpoints the task and stops it, in the background.

        A task that cannot be resumed elsewhere keeps running.
        """
        if task_id not in self._moving:
            self._moving.add(task_id)
            self._node.spawn(self._move(session, task_id), f'move {task_id}')

    def stop(
        self,
        session: sessions_lib.WorkerSession,
        task_id: ids.TaskId,
        reason: str,
    ) -> None:
        """Stops the task, in the background, unless it is being moved."""
        if task_id not in self._moving:
            self._node.spawn(self._stop(session, task_id), f'stop {task_id}')

    async def _move(
        self, session: sessions_lib.WorkerSession, task_id: ids.TaskId
    ) -> None:
        """Stops a task if it can be resumed, else leaves it running.

        The worker's next report shows how the task ended.
        """
        try:
            if await self._can_resume(session, task_id):
                await self._stop(session, task_id)
        finally:
            self._moving.discard(task_id)

    async def _can_resume(
        self, session: sessions_lib.WorkerSession, task_id: ids.TaskId
    ) -> bool:
        """Returns whether the task has a checkpoint or is idempotent."""
        try:
            await session.link.checkpoint(task_id)
        except exceptions.AmaranthflowError as exc:
            logs.log_event('checkpoint failed', reason=exc.reason)
            entry = self._recorded(session).get(task_id)
            return entry is not None and entry.job.idempotent
        return True

    async def _checkpoint(self, session, entry, task_id: ids.TaskId) -> None:
        try:
            checkpoint = await session.link.checkpoint(task_id)
        except exceptions.AmaranthflowError as exc:
            logs.log_event('checkpoint failed', reason=exc.reason)
            return
        self._recorder.checkpoint(session, entry, checkpoint)

    def _stop_stale(self, session, report: platform.TaskReport) -> None:
        """Stops a task whose attempt is not running according to the log."""
        if self._recorder.is_ending(report.task_id) or self._is_launching(
            report.task_id
        ):
            return
        self._adopt(session, self._stale_task(report.task_id))
        self._node.spawn(
            self._stop(session, report.task_id), f'stop {report.task_id}'
        )

    def _stale_task(self, task_id: ids.TaskId) -> world.Task:
        """Returns a ledger entry for a task whose attempt has ended.

        Its size is zero if the state no longer has the job.
        """
        job_id, attempt = ids.split_batch_task_id(task_id)
        entry = self._node.state.jobs.jobs.get(jobs.JobKey.parse(job_id))
        if entry is not None:
            return self._queue.task_of(entry, attempt)
        return world.Task(
            task_id=task_id,
            tenant_id=ids.TenantId(''),
            task_class=ids.TaskClass(''),
            kind=world.TaskKind.BATCH,
            size=world.ZERO_SIZE,
        )

    async def _stop(self, session, task_id: ids.TaskId) -> None:
        try:
            await session.link.stop(task_id)
        except exceptions.AmaranthflowError as exc:
            logs.log_event('stop failed', reason=exc.reason)

    def _release(self, session, task_id: ids.TaskId) -> None:
        self._start_sent_at.pop(task_id, None)
        self._checkpointed_at.pop(task_id, None)
        if session.ledger.release(task_id) is not None:
            self._placer.refresh(session.worker.worker_id)
            self._observer.note_change(session)
            self.sessions.notify_capacity()
            self._wakeup.set()


def _may_ever_fit(ledger: world.WorkerLedger, task: world.Task) -> bool:
    """Returns whether the task would fit if no other batch task ran there."""
    worker = ledger.worker
    if not ledger.accepting_batch or worker.slots <= ledger.reserved_slots:
        return False
    return task.size.fits(worker.capacity)


def _load_key(ledger: world.WorkerLedger) -> tuple[float, ids.WorkerId]:
    worker = ledger.worker
    return ledger.used.dominant_share(worker.capacity), worker.worker_id
