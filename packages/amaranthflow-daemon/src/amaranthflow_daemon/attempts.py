"""Records starts, checkpoints and ends of batch job attempts."""

from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import health
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow import platform
from amaranthflow_schema.v1 import records_pb2

from . import jobqueue
from . import logs
from . import metrics
from . import node as node_lib
from . import worker_sessions as sessions_lib

_RECORD_TIMEOUT_S = 2.0
_END_RETRY_S = 0.5
_OUTCOMES = {
    platform.TaskPhase.COMPLETED: jobs.Outcome.OUTCOME_COMPLETED,
    platform.TaskPhase.FAILED: jobs.Outcome.OUTCOME_FAILED,
    platform.TaskPhase.STOPPED: jobs.Outcome.OUTCOME_EVICTED,
}
_DECISIONS = {
    jobs.JobPhase.COMPLETED: decisions.DecisionKind.COMPLETED,
    jobs.JobPhase.CANCELLED: decisions.DecisionKind.CANCELLED,
    jobs.JobPhase.SET_ASIDE: decisions.DecisionKind.SET_ASIDE,
}


class AttemptRecorder:
    """Writes starts, checkpoints and ends of attempts to the log.

    Ends are also reported to the worker's health tracking, the metrics and
    the decision log.
    """

    def __init__(self, *, node: node_lib.Node, health: health.WorkerHealth):
        self._node = node
        self._health = health
        self._ending: set[ids.TaskId] = set()
        self._unconfirmed_starts: set[ids.TaskId] = set()

    def is_ending(self, task_id: ids.TaskId) -> bool:
        """Returns whether the end of an attempt is being recorded."""
        return task_id in self._ending

    async def start(
        self,
        entry: jobs.JobEntry,
        attempt: int,
        session: sessions_lib.WorkerSession,
    ) -> bool:
        """Records the start of an attempt.

        Returns False if the log rejected or did not confirm the record. If
        an unconfirmed record is appended later after all, the worker's next
        report shows that the attempt was never started.
        """
        started = records_pb2.AttemptStarted(
            job_id=str(entry.key),
            attempt=attempt,
            worker_id=session.worker.worker_id,
            rack_id=session.worker.rack_id,
            rack_epoch=session.epoch,
        )
        record = records_pb2.Record(attempt_started=started)
        try:
            result = await self._node.journal.write(record, _RECORD_TIMEOUT_S)
        except exceptions.RequestUncertain as exc:
            logs.log_event('start not recorded', reason=exc.reason)
            self._unconfirmed_starts.add(jobqueue.task_id_of(entry, attempt))
            return False
        except exceptions.NotReady as exc:
            logs.log_event('start not recorded', reason=exc.reason)
            return False
        return result.accepted

    def checkpoint(
        self,
        session: sessions_lib.WorkerSession,
        entry: jobs.JobEntry,
        checkpoint: str,
    ) -> None:
        """Records a checkpoint in the background; not retried on failure."""
        checkpointed = records_pb2.AttemptCheckpointed(
            job_id=str(entry.key),
            attempt=entry.attempt,
            checkpoint=checkpoint,
            rack_epoch=session.epoch,
        )
        record = records_pb2.Record(attempt_checkpointed=checkpointed)
        self._node.spawn(self._write_once(record), f'record {entry.key}')

    async def _write_once(self, record: records_pb2.Record) -> None:
        try:
            await self._node.journal.write(record, _RECORD_TIMEOUT_S)
        except exceptions.AmaranthflowError as exc:
            logs.log_event('checkpoint not recorded', reason=exc.reason)

    def end_reported(
        self,
        session: sessions_lib.WorkerSession,
        entry: jobs.JobEntry,
        report: platform.TaskReport,
    ) -> None:
        """Records the outcome that a worker reports for an attempt."""
        outcome = _OUTCOMES[report.phase]
        self.end(
            session, entry, report.task_id, outcome, report.reason, report
        )

    def end_lost(
        self,
        session: sessions_lib.WorkerSession,
        entry: jobs.JobEntry,
        task_id: ids.TaskId,
        reason: str,
    ) -> None:
        """Records the end of an attempt that stopped without an outcome.

        An attempt whose start was not confirmed by the log was never sent
        to a worker, so it is recorded as not run.
        """
        outcome = jobs.Outcome.OUTCOME_LOST
        if task_id in self._unconfirmed_starts:
            outcome = jobs.Outcome.OUTCOME_NOT_RUN
        if entry.cancel_requested:
            outcome = jobs.Outcome.OUTCOME_CANCELLED
        self.end(session, entry, task_id, outcome, reason)

    def end(
        self,
        session: sessions_lib.WorkerSession,
        entry: jobs.JobEntry,
        task_id: ids.TaskId,
        outcome: jobs.Outcome,
        reason: str,
        report: platform.TaskReport | None = None,
    ) -> None:
        """Records the end of an attempt in the background.

        The write is retried until the log answers or the rack is owned by
        another instance. Further calls for the same attempt have no effect
        in the meantime.
        """
        if task_id in self._ending:
            return
        self._ending.add(task_id)
        self._update_health(session, entry, task_id, outcome, reason)
        ended = records_pb2.AttemptEnded(
            job_id=str(entry.key),
            attempt=entry.attempt,
            outcome=outcome,
            reason=reason,
            rack_epoch=session.epoch,
            result=report.result if report else b'',
            checkpoint=report.checkpoint if report else '',
        )
        self._node.spawn(
            self._record_end(session, entry, task_id, ended), f'end {task_id}'
        )

    async def _record_end(self, session, entry, task_id, ended) -> None:
        """Writes an end, retrying until the log accepts or rejects it."""
        record = records_pb2.Record(attempt_ended=ended)
        ownership = self._node.ownership
        try:
            while ownership.owns(session.worker.rack_id, session.epoch):
                try:
                    result = await self._node.journal.write(
                        record, _RECORD_TIMEOUT_S
                    )
                except exceptions.AmaranthflowError:
                    await self._node.clock.sleep(_END_RETRY_S)
                    continue
                if result.accepted:
                    self._report_recorded(entry, ended)
                return
        finally:
            self._ending.discard(task_id)
            self._unconfirmed_starts.discard(task_id)

    def _update_health(
        self, session, entry, task_id, outcome, reason: str
    ) -> None:
        """Updates the worker's health with the outcome of an attempt."""
        worker_id = session.worker.worker_id
        job_id = ids.JobId(str(entry.key))
        now_ms = self._node.clock.wall_ms()
        findings: tuple[health.Finding, ...] = ()
        if outcome == jobs.Outcome.OUTCOME_COMPLETED:
            findings = self._health.succeeded(
                worker_id, job_id, task_id, now_ms
            )
        elif outcome == jobs.Outcome.OUTCOME_FAILED:
            findings = self._health.failed(
                worker_id, job_id, task_id, reason, now_ms
            )
        else:
            self._health.stopped(worker_id, task_id)
        self._node.record_findings(findings)

    def _report_recorded(self, entry: jobs.JobEntry, ended) -> None:
        """Counts and explains an end that the log has confirmed."""
        name = jobs.Outcome.Name(ended.outcome)
        labels = {
            'tenant_id': entry.key.tenant_id,
            'task_class': entry.job.task_class,
        }
        if ended.outcome == jobs.Outcome.OUTCOME_EVICTED:
            self._node.metrics.count(metrics.Metric.EVICTIONS, **labels)
        if entry.phase is jobs.JobPhase.COMPLETED:
            self._node.metrics.count(metrics.Metric.JOBS_COMPLETED, **labels)
        if entry.phase is jobs.JobPhase.SET_ASIDE:
            self._node.metrics.count(metrics.Metric.JOBS_SET_ASIDE, **labels)
        kind = _DECISIONS.get(entry.phase, decisions.DecisionKind.QUEUED)
        outcome_label = name.removeprefix('OUTCOME_').lower().replace('_', ' ')
        self.record_decision(
            entry,
            kind,
            f'attempt {ended.attempt} {outcome_label}: {ended.reason}',
        )

    def record_decision(
        self,
        entry: jobs.JobEntry,
        kind: decisions.DecisionKind,
        reason: str,
    ) -> None:
        """Adds a decision about a job to the decision log."""
        self._node.record_decision(
            entry.key.job_id, kind, reason, entry.key.tenant_id
        )
