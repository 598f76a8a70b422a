"""Records what becomes of the attempts of batch jobs."""

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
    """Writes starts, checkpoints and ends of attempts to the log."""

    def __init__(self, *, node: node_lib.Node, health: health.WorkerHealth):
        self._node = node
        self._health = health
        self._ending: set[ids.TaskId] = set()
        self._unsent: set[ids.TaskId] = set()

    def is_ending(self, task_id: ids.TaskId) -> bool:
        """Tells whether the end of an attempt is being recorded."""
        return task_id in self._ending

    async def start(
        self,
        entry: jobs.JobEntry,
        attempt: int,
        session: sessions_lib.WorkerSession,
    ) -> bool:
        """Records a start; False where it is not sure to be in the log.

        If such a record lands after all, the worker's next report shows
        that the attempt was never started.
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
            self._unsent.add(jobqueue.task_id_of(entry, attempt))
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
        """Records a checkpoint in the background, once."""
        made = records_pb2.AttemptCheckpointed(
            job_id=str(entry.key),
            attempt=entry.attempt,
            checkpoint=checkpoint,
            rack_epoch=session.epoch,
        )
        record = records_pb2.Record(attempt_checkpointed=made)
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
        """Records the end that a worker reports."""
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
        """Records an attempt that no longer runs and left no outcome."""
        outcome = jobs.Outcome.OUTCOME_LOST
        if task_id in self._unsent:
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
        """Records the end of an attempt in the background, surely.

        A second call for the same attempt has no effect meanwhile.
        """
        if task_id in self._ending:
            return
        self._ending.add(task_id)
        self._judge(session, entry, task_id, outcome, reason)
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
        """Records an end; repeated until the log has an answer."""
        record = records_pb2.Record(attempt_ended=ended)
        right = self._node.ownership
        try:
            while right.owns(session.worker.rack_id, session.epoch):
                try:
                    result = await self._node.journal.write(
                        record, _RECORD_TIMEOUT_S
                    )
                except exceptions.AmaranthflowError:
                    await self._node.clock.sleep(_END_RETRY_S)
                    continue
                if result.accepted:
                    self._note_recorded(entry, ended)
                return
        finally:
            self._ending.discard(task_id)
            self._unsent.discard(task_id)

    def _judge(self, session, entry, task_id, outcome, reason: str) -> None:
        """Tells the worker's health how an attempt ended."""
        worker_id = session.worker.worker_id
        job_id = ids.JobId(str(entry.key))
        now_ms = self._node.clock.wall_ms()
        found: tuple[health.Finding, ...] = ()
        if outcome == jobs.Outcome.OUTCOME_COMPLETED:
            found = self._health.succeeded(worker_id, job_id, task_id, now_ms)
        elif outcome == jobs.Outcome.OUTCOME_FAILED:
            found = self._health.failed(
                worker_id, job_id, task_id, reason, now_ms
            )
        else:
            self._health.stopped(worker_id, task_id)
        self._node.record_findings(found)

    def _note_recorded(self, entry: jobs.JobEntry, ended) -> None:
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
        short = name.removeprefix('OUTCOME_').lower().replace('_', ' ')
        self.record_decision(
            entry, kind, f'attempt {ended.attempt} {short}: {ended.reason}'
        )

    def record_decision(
        self,
        entry: jobs.JobEntry,
        kind: decisions.DecisionKind,
        reason: str,
    ) -> None:
        """Keeps a decision about a job."""
        self._node.record_decision(
            entry.key.job_id, kind, reason, entry.key.tenant_id
        )
