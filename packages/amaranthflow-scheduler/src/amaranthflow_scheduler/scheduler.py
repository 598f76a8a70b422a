"""Decisions of the leader: which runs start, stop or slow down, and where.

The scheduler uses neither the network nor a clock. Its methods take events
together with their times, and ``take_commands`` returns the resulting
commands to workers. ``dirty`` holds the jobs whose progress has to be stored,
and ``on_recorded`` takes what has been stored.
"""

import collections
import dataclasses
import types
import typing as t

from amaranthflow import ids

from . import admission
from . import advice
from . import claims
from . import colocation
from . import commands
from . import crashes
from . import evacuations as evacuations_lib
from . import execution
from . import incarnations
from . import job_memory
from . import job_ranking
from . import logs
from . import model
from . import pacing
from . import placement
from . import pools as pools_lib
from . import ports
from . import preemption
from . import progress_parts
from . import relocation
from . import report_intervals
from . import reservations
from . import sampling
from . import second_tries
from . import silence
from . import step_planner
from . import stragglers
from . import suspects
from . import takeover as takeover_lib
from . import unanswered_starts
from . import withdrawals
from . import worker_history
from . import workers

# A worker's entry that expired while the store was unavailable is back within
# this time; the platform documents about two seconds.
_UNLISTED_GRACE_S = 2.5
# Time in which workers may report runs of jobs that a new leader has not read
# yet.
_JOB_DISCOVERY_S = 2.0
# A report holds up to 500 ends; one with as many may be incomplete.
_MAX_ENDS_PER_REPORT = 500
_NO_CAPACITY_BACKOFF_S = 0.3
_UNHEALTHY_BACKOFF_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits set by the platform and the machine; times are in seconds.

    :ivar hold_max_s: longest lease that a worker grants.
    :ivar state_kept_s: how long the state of an ended job is available.
    :ivar evacuate_s: time after an operator's request from which nothing
        starts in an evacuated availability zone; None where operators
        evacuate none.
    :ivar jobs_bytes: memory that accepted jobs may take.
    :ivar record_bytes: size of the largest record that the store accepts.
    :ivar call_bytes: size of the largest append that the store accepts.
    """

    hold_max_s: float
    state_kept_s: float
    evacuate_s: float | None = None
    jobs_bytes: int = job_memory.share_of(200)
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


class Counts(t.NamedTuple):
    """Numbers for metrics and logs.

    :ivar copies: number of attempts.
    :ivar bound_tasks: waiting tasks of which a start is unanswered.
    """

    jobs: int
    waiting_tasks: int
    bound_tasks: int
    copies: int
    workers: int
    workers_unreliable: int
    second_tries: int


class Scheduler:
    """State and decisions of one leader, from its election on.

    :ivar jobs: jobs of which the steps are known.
    :ivar ended: jobs of which only the final state is known.
    :ivar dirty: jobs whose progress has changed since it was recorded.
    :ivar silence: which workers have not reported lately.
    :ivar evacuations: requests of operators, which the caller keeps up to
        date.
    :ivar earlier_leases_end_s: when all leases of earlier leaders have ended.
    """

    def __init__(
        self,
        *,
        limits: Limits,
        token: model.Token,
        now_s: float,
        evacuations: evacuations_lib.Evacuations | None = None,
    ):
        self.jobs: dict[ids.JobId, execution.JobRun] = {}
        self.ended: dict[ids.JobId, execution.EndedJob] = {}
        self.workers: dict[ids.WorkerId, workers.Worker] = {}
        self._max_report_age_s = report_intervals.silent_after_s(0)
        self._sampler = sampling.Sampler()
        self.dirty: set[ids.JobId] = set()
        self.withdrawals = withdrawals.Withdrawals()
        self.evacuations = evacuations or evacuations_lib.Evacuations()
        self._limits = limits
        self._first_run_number = execution.first_run_number(token)
        self._elected_s = now_s
        self._active: dict[ids.JobId, execution.JobRun] = {}
        self._resumable_jobs: set[ids.JobId] = set()  # of the active ones
        self._queues: dict[model.QueueId, model.Queue] = {}
        self.silence = silence.Silence(self.workers, self._queues)
        self._commands: list[commands.Command] = []
        self.colocation = colocation.Colocation()
        self.tail_model = self.colocation.tail_model
        self.claims = claims.Claims()
        self.second_tries = second_tries.SecondTries(self.claims)
        self.admission = admission.Admission()
        self._known_histories: dict[
            tuple[ids.WorkerId, int], worker_history.WorkerHistory
        ] = {}
        self._reservations = reservations.Reservations()
        self.advice = advice.Advice()
        self._bindings = unanswered_starts.Bindings(
            fleet=self.workers, max_lease_s=limits.hold_max_s
        )
        self._planner = step_planner.StepPlanner(
            state=self,
            fleet=self.workers,
            advice=self.advice,
            reservations=self._reservations,
            sampler=self._sampler,
            tail_model=self.tail_model,
        )
        self._unconfigured_jobs: set[ids.JobId] = set()
        self.takeover = takeover_lib.Takeover(elected_s=now_s)
        self._restored = False
        self.earlier_leases_end_s = workers.lease_end_s(
            now_s, limits.hold_max_s
        )

    # jobs

    def configure(self, cfg: model.Configuration) -> None:
        """Updates the queues; those that were removed are kept.

        Jobs of a removed queue still run under its last settings.
        """
        for queue in cfg.queues:
            self._queues[queue.id] = queue

    def hold_unconfigured(self, job_ids: t.Iterable[ids.JobId]) -> None:
        """Holds those of the jobs whose queue the configuration has otherwise.

        They were accepted under another version, which may be newer. They
        start nothing until ``release_unconfigured``.
        """
        for job_id in job_ids:
            queue = self.jobs[job_id].job.queue
            if self._queues.get(queue.id) != queue:
                self._unconfigured_jobs.add(job_id)

    def unconfigured_jobs(self) -> frozenset[ids.JobId]:
        """Returns the jobs that wait for the newest configuration."""
        return frozenset(self._unconfigured_jobs)

    def release_unconfigured(self, job_ids: t.Iterable[ids.JobId]) -> None:
        """Lets jobs start now that the newest configuration is known."""
        self._unconfigured_jobs.difference_update(job_ids)

    def _is_held(self, job_id: ids.JobId) -> bool:
        return (
            self.takeover.is_held(job_id) or job_id in self._unconfigured_jobs
        )

    def queue_of(self, job: model.Job) -> model.Queue:
        """Returns the current configuration of a job's queue."""
        return self._queues.get(job.queue.id, job.queue)

    def _pool(self, job_run: execution.JobRun) -> ids.ServiceId:
        """Returns the service whose workers run a job."""
        return self.queue_of(job_run.job).service

    def knows(self, job_id: ids.JobId) -> bool:
        """Returns whether a job is known to have been accepted."""
        return job_id in self.jobs or job_id in self.ended

    def add_job(self, job: model.Job) -> bool:
        """Adds an accepted job; returns False if it is known already."""
        if self.knows(job.id):
            return False
        job_run = execution.JobRun(
            job=job, first_run_number=self._first_run_number
        )
        self.jobs[job.id] = job_run
        self._active[job.id] = job_run
        if preemption.has_resumable_steps(job):
            self._resumable_jobs.add(job.id)
        withdrawn_ms = self.withdrawals.pop(job.id)
        if withdrawn_ms is not None:
            self._end_job(job_run, model.JobState.CANCELLED, withdrawn_ms)
        return True

    def on_arrival(self, job: model.Job, now_s: float) -> None:
        """Notes that a job was accepted just now."""
        service = self.queue_of(job).service
        self.admission.short_jobs.on_accepted(service, job, now_s)

    def refusal(
        self, job: model.Job, now_s: float, now_ms: int
    ) -> admission.Refusal | None:
        """Returns why a new job may not be accepted, None if it may.

        Workers with a late report count as well.
        """
        if self.knows(job.id):
            return None
        service = self.queue_of(job).service
        pool = admission.Pool.gather(
            service,
            self.workers.values(),
            (
                run
                for run in self._active.values()
                if self._pool(run) == service
            ),
            evacuated=self.evacuated_zones,
            complete=self._restored
            or now_s - self._elected_s > _JOB_DISCOVERY_S,
        )
        return self.admission.refusal(job, pool, now_s, now_ms)

    def restore_job(
        self,
        job: model.Job,
        progress: bytes | None,
        now_s: float,
        parts: t.Mapping[int, bytes] = types.MappingProxyType({}),
    ) -> None:
        """Adds a job with the progress that an earlier leader recorded.

        :param parts: records of the parts of its progress, if it has any.
        """
        if not self.add_job(job) or progress is None:
            return
        job_run = self.jobs[job.id]
        execution.restore(job_run, progress, now_s, parts)
        self._bindings.on_restored(job_run)
        for attempt in list(job_run.attempts()):
            self._attach_restored(attempt, now_s)
            if job_run.ended or attempt.task.done:
                # The stop of the earlier leader may not have arrived.
                self._stop(attempt, 'not-wanted')
        self._deactivate_if_finished(job_run)

    def restore_ended(self, job_id: ids.JobId, progress: bytes) -> None:
        """Adds a job of which only the final state is recorded.

        Raises InvalidRecord if the record cannot be read.
        """
        self.ended[job_id] = execution.decode_ended(job_id, progress)

    def on_restored(
        self,
        now_s: float,
        now_ms: int,
        *,
        handover: takeover_lib.Handover | None = None,
        store_was_lost: bool,
    ) -> None:
        """Ends the restoration of jobs.

        :param handover: what the previous leader has passed on; the jobs were
            restored with its records.
        :param store_was_lost: the store was unavailable, so that entries of
            workers may be missing.
        """
        for job_run in self._active.values():
            job_run.open_due_occurrences(now_ms)
        if handover is not None:
            self._record_anew(handover.progress)
        if handover is None or not handover.complete:
            unlisted = any(
                w.unlisted_since_s is not None for w in self.workers.values()
            )
            grace_s = _UNLISTED_GRACE_S * (unlisted or store_was_lost)
            self.takeover.hold(self._active, now_s + grace_s)
        self.admission.short_jobs.restore(
            ((self._pool(run), run.job) for run in self.jobs.values()),
            now_s,
            now_ms,
        )
        self._restored = bool(self.jobs)

    def _record_anew(self, job_ids: t.Iterable[ids.JobId]) -> None:
        """Records jobs of which the store may not have the newest progress."""
        for job_id in job_ids:
            self.dirty.add(job_id)
            job_run = self.jobs.get(job_id)
            if job_run is not None:
                job_run.recorded_state = model.JobState.PENDING

    def _attach_restored(
        self, attempt: execution.Attempt, now_s: float
    ) -> None:
        worker = self.workers.get(attempt.worker)
        if worker is None:
            worker = self._add_worker(
                workers.placeholder_entry(attempt.worker)
            )
            worker.unlisted_since_s = now_s - _UNLISTED_GRACE_S
        worker.attach(attempt)

    def cancel(self, job_id: ids.JobId, now_ms: int) -> bool:
        """Cancels a job; returns False if the job is unknown.

        An unknown job is cancelled as well if it turns up later.
        """
        job_run = self.jobs.get(job_id)
        if job_run is not None and not job_run.ended:
            self._end_job(job_run, model.JobState.CANCELLED, now_ms)
        if self.knows(job_id):
            return True
        if self.withdrawals.add(job_id, now_ms):
            self.dirty.add(job_id)
            logs.event('job_withdrawn', id=job_id)
        return False

    def progress_record(self, job_id: ids.JobId) -> bytes | None:
        """Returns the whole state of a job, or None for a forgotten one."""
        job_run = self.jobs.get(job_id)
        if job_run is None:
            return self.withdrawals.encode(job_id)
        return execution.encode(job_run)

    def progress_records(self, job_id: ids.JobId) -> list[progress_parts.Item]:
        """Returns what to store of a job; nothing of a forgotten one."""
        job_run = self.jobs.get(job_id)
        if job_run is not None:
            return progress_parts.records(job_run, self._limits.record_bytes)
        value = self.withdrawals.encode(job_id)
        return [] if value is None else [(job_id.encode(), value)]

    def on_not_recorded(self, job_id: ids.JobId) -> None:
        """Notes that the store has refused what was to be stored of a job."""
        job_run = self.jobs.get(job_id)
        if job_run is not None:
            progress_parts.forget_stored(job_run)

    def state(self, job_id: ids.JobId) -> model.JobState | None:
        """Returns a job's state as reported to callers, None if unknown.

        A terminal state is reported only once it is recorded, since a later
        leader could otherwise contradict it.
        """
        job_run = self.jobs.get(job_id)
        if job_run is None:
            ended = self.ended.get(job_id)
            return ended.state if ended is not None else None
        if job_run.ended and job_run.recorded_state is job_run.state:
            return job_run.state
        if job_run.ended or job_run.started:
            return model.JobState.RUNNING
        return model.JobState.PENDING

    def pending_count(self, queue: model.QueueId) -> int:
        """Returns the number of a queue's jobs without any run so far."""
        return sum(
            1
            for job_run in self._active.values()
            if not job_run.started
            and not job_run.ended
            and job_run.job.queue.id == queue
        )

    def retire_jobs(self) -> list[ids.JobId]:
        """Drops the steps of jobs whose final state is recorded.

        Returns these jobs, whose job records a later leader does not need.
        """
        retired = [
            job_id
            for job_id, job_run in self.jobs.items()
            if job_run.ended
            and job_run.recorded_state is job_run.state
            and job_id not in self._active
            and job_id not in self.dirty
        ]
        for job_id in retired:
            job_run = self.jobs.pop(job_id)
            self.ended[job_id] = execution.EndedJob(
                job_run.state, job_run.ended_ms
            )
        return retired

    def expired_jobs(self, now_ms: int) -> list[ids.JobId]:
        """Returns the jobs whose state need not be kept any longer."""
        kept_ms = self._limits.state_kept_s * 1000
        withdrawn = self.withdrawals.expired(now_ms, kept_ms)
        return withdrawn + [
            job_id
            for job_id, ended in self.ended.items()
            if now_ms - ended.ended_ms > kept_ms
        ]

    def forget_jobs(self, job_ids: t.Iterable[ids.JobId]) -> None:
        """Forgets jobs whose records were deleted."""
        for job_id in job_ids:
            self.ended.pop(job_id, None)
            self.withdrawals.pop(job_id)

    def counts(self) -> Counts:
        """Returns the numbers of jobs, waiting tasks, attempts and workers."""
        attempts = sum(len(w.attempts) for w in self.workers.values())
        step_runs = list(self.waiting_steps())
        waiting = sum(step_run.waiting for step_run in step_runs)
        return Counts(
            jobs=len(self.jobs),
            waiting_tasks=waiting,
            bound_tasks=unanswered_starts.count_waiting(step_runs),
            copies=attempts,
            workers=len(self.workers),
            workers_unreliable=sum(
                worker.history.notable for worker in self.workers.values()
            ),
            second_tries=self.second_tries.started,
        )

    def waiting_steps(self) -> t.Iterator[execution.StepRun]:
        """Yields the steps with tasks that may start and have no attempt."""
        for job_run in self._active.values():
            if not job_run.ended:
                yield from job_run.runnable_steps()

    # workers

    def on_entry_changed(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Handles a new or changed entry of a worker."""
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = self._add_worker(entry)
        before = worker.entry
        worker.entry = entry
        worker.expected_ratios.clear()
        worker.unlisted_since_s = None
        if before.state is not entry.state or before is entry:
            logs.event(
                'worker_entry',
                worker=entry.id,
                state=entry.state.value,
                service=entry.service,
                rack=entry.rack,
                zone=entry.zone,
                leaves_in_ms=entry.leaves_in_ms,
            )

    def on_entry_removed(self, worker_id: ids.WorkerId, now_s: float) -> None:
        """Handles the removal of a worker's entry."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.unlisted_since_s is None:
            worker.unlisted_since_s = now_s
            logs.event(
                'worker_unlisted',
                worker=worker_id,
                runs=len(worker.attempts),
                last_report_age_s=_elapsed_s(worker.last_report_s, now_s),
            )

    def _add_worker(self, entry: model.WorkerEntry) -> workers.Worker:
        worker = workers.Worker(
            entry=entry, lease_end_s=self.earlier_leases_end_s
        )
        self.workers[entry.id] = worker
        return worker

    def is_available(self, worker: workers.Worker, now_s: float) -> bool:
        """Returns whether a worker may get new runs, apart from backoff.

        A worker without an entry may not: starts may be unrecorded, and the
        next leader would not ask this worker about them. Nor may one whose
        entry is of another incarnation.
        """
        return not worker.probation and self._accepts_runs(worker, now_s)

    def _accepts_runs(self, worker: workers.Worker, now_s: float) -> bool:
        """Returns whether a worker may get runs unless one is isolated."""
        if worker.entry.state is not model.WorkerState.READY:
            return False
        if worker.entry.zone in self.evacuations.zones:
            return False
        if not worker.entry_is_current or not worker.fenced:
            return False
        last_report_s = worker.last_report_s
        if last_report_s is None:
            return False
        return now_s - last_report_s <= self._max_report_age_s

    @property
    def evacuated_zones(self) -> frozenset[ids.ZoneId]:
        """Availability zones that get no new runs."""
        return self.evacuations.zones

    def on_evacuations_changed(
        self, before: t.Iterable[ids.ZoneId], now_s: float
    ) -> None:
        """Withdraws the runs that were planned in newly evacuated zones.

        Other runs there go on.

        :param before: zones that were evacuated before the change.
        """
        self.evacuations.limit_returning(self.workers.values(), now_s)
        for zone in self.evacuated_zones.difference(before):
            members = [
                worker
                for worker in self.workers.values()
                if worker.entry.zone == zone
            ]
            for attempt in evacuations_lib.planned_runs(members):
                self._stop(attempt, 'zone-evacuated')
            evacuations_lib.log_in_force(zone, members)

    def usable(
        self, worker: workers.Worker, now_s: float, *, service: bool = False
    ) -> bool:
        """Returns whether a worker may get a new run.

        :param service: the run belongs to a service.
        """
        if not self.is_available(worker, now_s):
            return False
        return not worker.in_backoff(now_s, for_service=service)

    def encode_histories(self) -> bytes:
        """Returns a record of what is known of unreliable workers."""
        return worker_history.encode(
            (worker.id, worker.born_ms, worker.history)
            for worker in self.workers.values()
        )

    def restore_histories(self, value: bytes) -> int:
        """Restores what an earlier leader knew, as workers report again.

        Returns the number of workers. Raises InvalidRecord.
        """
        self._known_histories = worker_history.decode(value)
        return len(self._known_histories)

    def drop_worker(self, worker_id: ids.WorkerId, now_s: float) -> bool:
        """Forgets a worker that has left.

        Returns False and keeps the worker while it may run something, also
        without a record, or may come back.
        """
        worker = self.workers[worker_id]
        if worker.attempts or worker.unlisted_since_s is None:
            return False
        if takeover_lib.may_have_unrecorded_runs(worker, now_s):
            return False
        if now_s - worker.unlisted_since_s <= _UNLISTED_GRACE_S:
            return False
        if _elapsed_s(worker.last_report_s, now_s) < self._max_report_age_s:
            return False
        del self.workers[worker_id]
        return True

    # reports

    def on_report(
        self,
        worker: workers.Worker,
        report: ports.WorkerReport,
        sent_s: float,
        now_s: float,
        now_ms: int,
        *,
        token: model.Token | None = None,
    ) -> None:
        """Handles a worker's report.

        :param sent_s: time at which the report was requested.
        :param token: token of that call; None if it is higher than those of
            all calls to earlier incarnations.
        """
        if incarnations.is_overtaken(worker, report, sent_s):
            return
        if report.born_ms != worker.born_ms:
            known = {(row.task, row.run) for row in report.running}
            known.update((end.task, end.run) for end in report.ended)
            self._on_crash(worker, report.born_ms, now_s, now_ms, known)
            if now_s - self._elected_s > _JOB_DISCOVERY_S:
                worker.up_since_s = now_s
            incarnations.on_restart(worker, report, now_s)
            key = (worker.id, report.born_ms)
            history = self._known_histories.pop(key, None)
            worker.history = history or worker.history
        incarnations.on_answer(worker, token, now_s, self._limits.hold_max_s)
        worker.lapsed.clear()
        worker.unanswered = 0
        worker.restart_suspected = False
        worker.sync_clock(report.clock_ms, now_s)
        worker.last_report_s = now_s
        ended = {(end.task, end.run) for end in report.ended}
        for end in sorted(report.ended, key=lambda end: end.number):
            if end.number <= worker.processed_end:
                continue
            if not self._on_end(worker, end, now_s, now_ms):
                break
            worker.processed_end = end.number
        for row in report.running:
            self._on_running(worker, row, sent_s, now_s)
        if len(report.ended) < _MAX_ENDS_PER_REPORT:
            self._remove_unlisted(worker, ended, token, sent_s, now_s)
        worker.history.fade(now_s)
        for change in self.colocation.on_report(worker, now_s, now_ms):
            self._set_pace(worker, change, now_s)

    def on_report_failed(self, worker: workers.Worker) -> None:
        """Handles that a worker's report could not be handled.

        The worker gets no run until one can.
        """
        worker.last_report_s = None

    def on_worker_replaced(
        self, worker: workers.Worker, now_s: float, now_ms: int
    ) -> None:
        """Handles that another worker answers at a worker's address.

        The process of the worker and all its runs have ended.
        """
        self._on_crash(worker, 0, now_s, now_ms)
        worker.last_report_s = None
        worker.lease_end_s = float('-inf')
        self._bindings.on_replaced(worker.id)
        for attempt in list(worker.attempts):
            self._remove(attempt, 'worker-replaced')

    def _on_crash(
        self,
        worker: workers.Worker,
        born_ms: int,
        now_s: float,
        now_ms: int,
        known: t.Container[tuple[model.TaskKey, model.RunNumber]] = (),
    ) -> None:
        """Gives up the jobs that crash one worker after the other."""
        found = crashes.on_restart(worker, self._losses(now_s), born_ms, known)
        for attempt in found:
            task = attempt.task
            job_run = task.step_run.job_run
            self.dirty.add(task.key.job)
            if suspects.is_convicted(task) and not job_run.ended:
                _log('task_given_up', attempt, crashes=task.crashes)
                self._end_job(job_run, model.JobState.FAILED, now_ms)

    def _losses(self, now_s: float) -> suspects.Losses:
        silent_from_s = now_s - self._max_report_age_s
        return suspects.Losses(self.workers.values(), silent_from_s)

    def _remove_unlisted(
        self,
        worker: workers.Worker,
        ended: set[tuple[model.TaskKey, model.RunNumber]],
        token: model.Token | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Removes the attempts that a complete report shows to be gone.

        :param ended: the runs whose ends the report lists.
        :param token: token of the call for the report, see ``on_report``.
        """
        for attempt in list(worker.attempts):
            if attempt.last_listed_s == now_s:
                continue
            if not incarnations.is_gone(attempt, worker, token, sent_s):
                continue
            if (attempt.task.key, attempt.run) not in ended:
                self._remove(attempt, 'not-listed')

    def _on_end(
        self,
        worker: workers.Worker,
        end: ports.RunEnd,
        now_s: float,
        now_ms: int,
    ) -> bool:
        """Handles the end of a run.

        Returns False if its job may not have been read yet; the end then has
        to be listed again.
        """
        job_run = self.jobs.get(end.task.job)
        if job_run is None:
            all_jobs_read = now_s - self._elected_s > _JOB_DISCOVERY_S
            return all_jobs_read or end.task.job in self.ended
        task = job_run.find(end.task)
        if task is None:
            return True
        attempt = task.find_attempt(worker.id, end.run)
        if attempt is None or not attempt.confirmed:
            unanswered_starts.on_executed(task, worker.id, end.run)
        self.dirty.add(job_run.job.id)
        logs.event(
            'run_ended',
            id=end.task.job,
            task=end.task.name_in_job,
            run=end.run,
            worker=worker.id,
            ending=end.ending.value,
            number=end.number,
            known=attempt is not None,
        )
        if attempt is not None:
            self._record_speed(attempt, end, now_s)
            self.detach(attempt)
        if task.step_run.step.gang and end.ending is not model.RunOutcome.DONE:
            self._stop_gang(task.step_run, end.run)
        task.next_run = max(task.next_run, end.run + 1)
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.ending is model.RunOutcome.DONE:
            worker.history.on_success(attempt.began_s if attempt else 0.0)
            self._on_done(task, now_ms)
        elif end.ending is model.RunOutcome.FAILED:
            self._on_failed(worker, task, end.run, now_s, now_ms)
        self._deactivate_if_finished(job_run)
        return True

    def _record_speed(
        self, attempt: execution.Attempt, end: ports.RunEnd, now_s: float
    ) -> None:
        """Adds the speed of a successful run to those of its step."""
        duration_s = now_s - attempt.running_since_s
        if (
            end.ending is model.RunOutcome.DONE
            and attempt.running_since_s
            and duration_s > 0
        ):
            percent = 100 - attempt.first_percent
            if attempt.pace == 100 and percent > 0:
                step_run = attempt.task.step_run
                if not step_run.speeds:
                    self.claims.durations.observe(
                        step_run.job_run.job.queue.id,
                        step_run.step,
                        100_000 * duration_s / percent,
                    )
                step_run.speeds.append(percent / duration_s)
            if not attempt.resumed:
                self.admission.short_jobs.on_run_done(
                    attempt.task.step_run.step, duration_s
                )

    def _on_done(self, task: execution.TaskRun, now_ms: int) -> None:
        step_run = task.step_run
        if step_run.step.service:
            return
        members = step_run.tasks if step_run.step.gang else [task]
        for member in members:
            step_run.mark_done(member)
            for attempt in list(member.attempts):
                self._stop(attempt, 'done-elsewhere')
        job_run = step_run.job_run
        if not job_run.ended and job_run.all_done():
            self._end_job(job_run, model.JobState.COMPLETED, now_ms)

    def _on_failed(
        self,
        worker: workers.Worker,
        task: execution.TaskRun,
        run: model.RunNumber,
        now_s: float,
        now_ms: int,
    ) -> None:
        job_run = task.step_run.job_run
        if run not in task.failed_runs:
            task.add_failure(run, worker.id)
            backoff_s = worker.history.on_failure(job_run.job.id)
            if backoff_s:
                worker.shun(now_s, backoff_s, 'fails')
        if task.step_run.step.service or job_run.ended or task.done:
            return
        max_attempts = self.queue_of(job_run.job).max_attempts
        if len(task.failed_runs) >= max_attempts:
            # The job, rather than the workers, is probably the cause.
            for other in self.workers.values():
                other.history.excuse(job_run.job.id)
            self._end_job(job_run, model.JobState.FAILED, now_ms)

    def _stop_gang(
        self, step_run: execution.StepRun, run: model.RunNumber
    ) -> None:
        for attempt in list(step_run.attempts()):
            if attempt.run <= run:
                self._stop(attempt, 'gang-broken')

    def _on_running(
        self,
        worker: workers.Worker,
        row: ports.RunProgress,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Handles a run that a report lists as running."""
        discovering = now_s - self._elected_s <= _JOB_DISCOVERY_S
        if discovering and not self.knows(row.task.job):
            return
        job_run = self.jobs.get(row.task.job)
        task = job_run.find(row.task) if job_run is not None else None
        if task is None:
            command = commands.StopOrphan(worker.id, row.task, row.run)
            self._commands.append(command)
            return
        attempt = task.find_attempt(worker.id, row.run)
        if attempt is None:
            attempt = self._adopt(worker, task, row, sent_s, now_s)
        self._update(attempt, row, now_s)

    def _adopt(
        self,
        worker: workers.Worker,
        task: execution.TaskRun,
        row: ports.RunProgress,
        sent_s: float,
        now_s: float,
    ) -> execution.Attempt:
        """Adds a reported run that no record names; stops it if unwanted."""
        step = task.step_run.step
        superseded = bool(task.attempts) and not step.backups
        unwanted = superseded or task.done or task.step_run.job_run.ended
        attempt = execution.Attempt(
            task=task,
            worker=worker.id,
            run=row.run,
            state=execution.AttemptState.RUNNING,
            visible_from_s=sent_s,
            pace=execution.UNKNOWN_PACE,
            slowed_since_s=now_s,
            resumed=True,
            confirmed=True,
            born_ms=worker.born_ms,
        )
        task.add_attempt(attempt)
        worker.attach(attempt)
        task.next_run = max(task.next_run, row.run + 1)
        self.dirty.add(row.task.job)
        logs.event(
            'run_adopted',
            id=row.task.job,
            task=row.task.name_in_job,
            run=row.run,
            worker=worker.id,
            born_ms=worker.born_ms,
            unwanted=unwanted,
        )
        if unwanted:
            self._stop(attempt, 'not-wanted')
        return attempt

    def _update(
        self, attempt: execution.Attempt, row: ports.RunProgress, now_s: float
    ) -> None:
        """Updates an attempt from the report of its worker."""
        if attempt.state in (
            execution.AttemptState.SENT,
            execution.AttemptState.UNCERTAIN,
        ):
            attempt.state = execution.AttemptState.RUNNING
            attempt.visible_from_s = now_s
        if not attempt.confirmed:
            attempt.born_ms = self.workers[attempt.worker].born_ms
            unanswered_starts.on_executed(
                attempt.task, attempt.worker, attempt.run
            )
            if attempt.state is execution.AttemptState.STOPPING:
                # An earlier incarnation may have accepted the stop.
                self._commands.append(commands.Stop(attempt))
        if attempt.confirm():
            self.dirty.add(attempt.task.key.job)
        if not attempt.reported:
            attempt.reported = True
            if attempt.resumed or not attempt.running_since_s:
                attempt.running_since_s = attempt.progressed_s = now_s
                attempt.first_percent = attempt.percent = row.percent
        if not attempt.survived:
            self._check_survival(attempt, now_s)
        attempt.on_progress(row.percent, now_s)
        attempt.gauge = row.gauge
        attempt.last_listed_s = now_s
        if row.checkpoint:
            attempt.checkpoint = row.checkpoint
            attempt.task.checkpoint = row.checkpoint
        attempt.task.step_run.job_run.started = True

    def _check_survival(
        self, attempt: execution.Attempt, now_s: float
    ) -> None:
        """Ends the probation of a run that has not crashed its worker."""
        worker = self.workers[attempt.worker]
        if not attempt.born_ms:
            attempt.born_ms = worker.born_ms
        if now_s - attempt.running_since_s < suspects.PROBATION_S:
            return
        attempt.survived = True
        if worker.probation is attempt:
            worker.probation = None

    def _set_pace(
        self, worker: workers.Worker, change: pacing.PaceChange, now_s: float
    ) -> None:
        attempt = change.attempt
        _log(
            'run_paced',
            attempt,
            before=attempt.pace,
            percent=change.percent,
            pressure=round(pacing.worst_tail_ratio(worker), 2),
        )
        pacing.apply(change, now_s)
        self._commands.append(commands.SetPace(attempt, change.percent))

    def _move_slowed(self, now_s: float) -> None:
        """Stops slowed runs for which another worker is better."""
        slowed = relocation.find_slowed(
            self.workers, self.colocation.exposure, now_s
        )
        if not slowed:
            return
        pools = self._pool_indexes(now_s)

        def rank(step_run: execution.StepRun) -> placement.Ranking:
            queue = self.queue_of(step_run.job_run.job)
            found = pools[queue.service].for_tasks.for_step(step_run.step)
            if queue.advised:
                found = self.advice.choose(
                    step_run, found, now_s, queue.advice
                )
            return placement.Ranking(step_run, found, self.tail_model)

        for attempt in relocation.moves(slowed, rank, self.tail_model):
            self._move(attempt, 'slowed-beside-service')

    # results of commands

    def on_sent(self, attempt: execution.Attempt, now_s: float = 0.0) -> None:
        """Notes that a start command is being sent."""
        worker = self.workers[attempt.worker]
        attempt.state = execution.AttemptState.SENT
        attempt.sent_s = now_s
        attempt.token = worker.token
        attempt.born_ms = worker.born_ms
        self._bindings.on_sent(attempt)

    def on_start_slow(self, attempt: execution.Attempt) -> None:
        """Notes that the answer to a start takes longer than usual.

        Until it comes, or is given up, other tasks wait for no such answer.
        """
        worker = self.workers.get(attempt.worker)
        if worker is not None:
            worker.back_off(
                attempt.sent_s + worker.history.retry_limit_s,
                worker.history.response_limit_s,
            )

    def on_sent_again(
        self, attempt: execution.Attempt, expired_s: float, now_s: float
    ) -> None:
        """Notes that an unanswered start command is being sent again.

        :param expired_s: time from which the worker no longer executes it.
        """
        attempt.sent_s = now_s
        attempt.token = self.workers[attempt.worker].token
        attempt.visible_from_s = expired_s
        self._bindings.on_sent(attempt)

    def may_send_again(self, attempt: execution.Attempt, now_s: float) -> bool:
        """Returns whether a worker may get an unanswered start again now."""
        worker = self.workers[attempt.worker]
        if worker.probation not in (None, attempt):
            return False
        return self._accepts_runs(worker, now_s)

    def on_started(
        self, attempt: execution.Attempt, now_s: float, took_s: float = 0.0
    ) -> None:
        """Notes that a worker has started a run ``took_s`` after the call."""
        attempt.task.step_run.job_run.started = True
        unanswered_starts.on_answer(attempt)
        if attempt.confirm():
            self.dirty.add(attempt.task.key.job)
        if attempt.state in (
            execution.AttemptState.SENT,
            execution.AttemptState.UNCERTAIN,
        ):
            attempt.state = execution.AttemptState.RUNNING
        attempt.visible_from_s = now_s
        if not attempt.running_since_s:
            attempt.running_since_s = attempt.progressed_s = now_s
        worker = self.workers.get(attempt.worker)
        if worker is not None:
            worker.history.on_answer(took_s)
            worker.answered_s = now_s

    def on_start_refused(
        self, attempt: execution.Attempt, refusal: ports.Refusal, now_s: float
    ) -> None:
        """Handles that a worker has refused a start without any effect."""
        worker = self.workers.get(attempt.worker)
        unanswered_starts.on_answer(attempt)
        if worker is not None:
            worker.refused_until_s = now_s + _NO_CAPACITY_BACKOFF_S
        _log('start_refused', attempt, refusal=refusal.value)
        if refusal is ports.Refusal.NO_CAPACITY and worker is not None:
            worker.back_off(now_s, _NO_CAPACITY_BACKOFF_S)
        if refusal is ports.Refusal.UNHEALTHY and worker is not None:
            worker.shun(now_s, _UNHEALTHY_BACKOFF_S, refusal.value)
        self._remove(attempt, refusal.value)

    def on_start_failed(
        self, attempt: execution.Attempt, now_s: float
    ) -> None:
        """Handles that a start command could not be sent."""
        worker = self.workers.get(attempt.worker)
        unanswered_starts.on_answer(attempt)
        if worker is not None:
            worker.back_off(now_s, _NO_CAPACITY_BACKOFF_S)
            worker.refused_until_s = now_s + _NO_CAPACITY_BACKOFF_S
        self._remove(attempt, 'not-sent')

    def on_start_uncertain(
        self,
        attempt: execution.Attempt,
        expired_s: float,
        now_s: float,
        *,
        answered: bool = False,
    ) -> None:
        """Handles that a start command was not answered.

        :param expired_s: time from which the worker no longer executes the
            command.
        :param answered: a later incarnation of the worker has answered it. The
            run is stopped, as its end might not be listed.
        """
        if attempt.state is execution.AttemptState.STOPPING:
            if attempt.visible_from_s is None:
                attempt.visible_from_s = expired_s
            return
        if attempt.state is not execution.AttemptState.SENT:
            return
        worker = self.workers.get(attempt.worker)
        if worker is not None:
            worker.on_no_answer(now_s)
        attempt.state = execution.AttemptState.UNCERTAIN
        attempt.visible_from_s = expired_s
        resolve = commands.Stop if answered else commands.Resolve
        self._commands.append(resolve(attempt))

    def on_listed(
        self,
        attempt: execution.Attempt,
        report: ports.WorkerReport,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Handles what a worker lists after a start without an answer.

        A run that is there goes on. One that is not there after the worker has
        accepted its stop will not start in this incarnation. Nothing else
        follows from the report, as newer ones may have been handled.

        :param asked_s: when the report was requested.
        """
        worker = self.workers.get(attempt.worker)
        if worker is None or attempt not in worker.attempts:
            return
        if report.born_ms != attempt.born_ms:
            return
        if len(report.ended) >= _MAX_ENDS_PER_REPORT:
            return
        own = (attempt.task.key, attempt.run)
        running = {(row.task, row.run): row for row in report.running}
        visible_from_s = attempt.visible_from_s
        if visible_from_s is None or visible_from_s > asked_s:
            if own in running and (
                attempt.state is execution.AttemptState.UNCERTAIN
            ):
                self._update(attempt, running[own], now_s)
            return
        listed = {(end.task, end.run) for end in report.ended}
        if own not in listed and own not in running:
            self._remove(attempt, 'start-void')

    def on_stopped(self, attempt: execution.Attempt, now_s: float) -> None:
        """Notes that a worker has accepted a stop and will list the end."""
        if attempt.visible_from_s is None or attempt.visible_from_s > now_s:
            attempt.visible_from_s = now_s

    # stored progress

    def processed_ends(self) -> dict[ids.WorkerId, tuple[int, int]]:
        """Returns the ends of runs whose effects ``dirty`` covers.

        For each worker with an end that is not stored, these are its
        ``born_ms`` and the number of the last end.
        """
        return {
            w.id: (w.born_ms, w.processed_end)
            for w in self.workers.values()
            if w.processed_end != w.stored_end
        }

    def on_recorded(
        self,
        states: dict[ids.JobId, model.JobState],
        ends: dict[ids.WorkerId, tuple[int, int]],
    ) -> None:
        """Notes the job states and the ends of runs that are stored.

        The states may then be reported to callers, and the workers may forget
        these ends.
        """
        for job_id, state in states.items():
            job_run = self.jobs.get(job_id)
            if job_run is not None:
                job_run.recorded_state = state
        for worker_id, (born_ms, number) in ends.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.born_ms == born_ms:
                worker.stored_end = max(worker.stored_end, number)

    # decisions

    def take_commands(self) -> list[commands.Command]:
        """Returns the commands since the last call."""
        taken, self._commands = self._commands, []
        return taken

    def tick(self, now_s: float, now_ms: int) -> None:
        """Handles expired leases, draining workers and stragglers.

        Also moves runs that are slowed beside services.
        """
        fleet_size = len(self.workers)
        self._max_report_age_s = report_intervals.silent_after_s(fleet_size)
        losses = self._losses(now_s)
        self.dirty.update(self._bindings.expire(now_s))
        for worker in list(self.workers.values()):
            if worker.attempts and now_s > worker.lease_end_s:
                found = crashes.on_silence(worker, losses)
                self.dirty.update(attempt.task.key.job for attempt in found)
                for attempt in list(worker.attempts):
                    if not self._bindings.may_still_run(attempt, now_s):
                        self._remove(attempt, 'lease-lapsed')
            if worker.entry.state is model.WorkerState.DRAINING:
                self._drain(worker, now_s)
        self.evacuations.limit_returning(self.workers.values(), now_s)
        self.colocation.mark_silent(
            self.workers.values(), now_s - self._max_report_age_s
        )
        self._apply_remedies(now_s, now_ms)
        self._move_slowed(now_s)

    def _drain(self, worker: workers.Worker, now_s: float) -> None:
        """Stops the runs that lose no work or would not end by themselves."""
        for attempt in worker.attempts:
            if attempt.state is not execution.AttemptState.RUNNING:
                continue
            step = attempt.task.step_run.step
            if step.service or step.checkpoints:
                self._move(attempt, 'worker-drains')

    def _apply_remedies(self, now_s: float, now_ms: int) -> None:
        """Backs up, or stops, the runs that are much slower than others."""
        silent_from_s = now_s - self._max_report_age_s
        fleet = list(self.workers.values())
        for remedy in stragglers.remedies(fleet, now_s, silent_from_s):
            if remedy.backup:
                self._start_backup(remedy.attempt, now_s, remedy.why)
            else:
                self._move(remedy.attempt, remedy.why)
        for found in self.second_tries.find(fleet, now_s, now_ms):
            if self._start_backup(found.attempt, now_s, second_tries.WHY):
                self.second_tries.on_started(found)

    def _start_backup(
        self, attempt: execution.Attempt, now_s: float, why: str
    ) -> bool:
        """Starts a second run; returns False if no worker may get it."""
        task = attempt.task
        if self._is_held(task.key.job) or not second_tries.permitted(task):
            return False
        found = self._planner.candidates(task, now_s)
        worker = None
        if why == second_tries.WHY:
            found = second_tries.sound(found)
            proven = second_tries.proven(found, attempt)
            worker = placement.choose(task, proven, self.tail_model)
        worker = worker or placement.choose(task, found, self.tail_model)
        if worker is not None:
            self._planner.place(task, worker, now_s, why)
        return worker is not None

    def plan(self, now_s: float, now_ms: int) -> None:
        """Starts waiting tasks of services and batch jobs.

        ``plan_opportunistic`` starts the others.
        """
        self.takeover.release(self.workers.values(), now_s)
        runnable = self._runnable_steps(now_ms, opportunistic=False)
        if not runnable:
            self._reservations.clear()
            return
        pools = self._pool_indexes(now_s)
        self._reserve(runnable, pools, now_s)
        self._planner.plan_steps(runnable, pools, now_s)
        self._preempt(runnable, pools, now_s, now_ms)

    def _preempt(
        self,
        planned: list[execution.StepRun],
        pools: t.Mapping[ids.ServiceId, pools_lib.PoolIndexes],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Stops runs for more important jobs that would be late."""
        if not self._resumable_jobs:
            return
        waiting = collections.defaultdict(list)
        for step_run in planned:
            if not unanswered_starts.leaves_any(step_run):
                continue
            if preemption.may_preempt(step_run):
                waiting[self._pool(step_run.job_run)].append(step_run)
        for pool, step_runs in waiting.items():
            fleet = pools[pool].for_tasks.workers
            for attempt in preemption.find(
                step_runs, fleet, self.claims, now_s, now_ms
            ):
                self._move(attempt, 'preempted')

    def plan_opportunistic(self, now_s: float, now_ms: int) -> None:
        """Starts waiting opportunistic tasks.

        While many wait this takes long, as each step looks at all workers.
        """
        runnable = self._runnable_steps(now_ms, opportunistic=True)
        if runnable:
            self._planner.plan_steps(
                runnable, self._pool_indexes(now_s), now_s
            )

    def _runnable_steps(
        self, now_ms: int, *, opportunistic: bool
    ) -> list[execution.StepRun]:
        """Returns the steps with waiting tasks, in the order of their jobs.

        :param opportunistic: selects opportunistic steps or all others.
        """
        found = []
        for job_run in self._active.values():
            if job_run.ended or self._is_held(job_run.job.id):
                continue
            job_run.open_due_occurrences(now_ms)
            steps = [
                step_run
                for step_run in job_run.runnable_steps()
                if step_run.step.opportunistic is opportunistic
            ]
            if steps:
                rank = job_ranking.rank(job_run, now_ms, self.claims)
                found.append((rank, steps))
        found.sort(key=lambda entry: entry[0])
        return [step_run for _, steps in found for step_run in steps]

    def _pool_indexes(
        self, now_s: float
    ) -> t.Mapping[ids.ServiceId, pools_lib.PoolIndexes]:
        """Returns the usable workers of each pool."""
        return pools_lib.index(
            (
                worker
                for worker in self.workers.values()
                if self.is_available(worker, now_s)
            ),
            now_s,
            self._sampler,
        )

    def _reserve(
        self,
        runnable: list[execution.StepRun],
        pools: t.Mapping[ids.ServiceId, pools_lib.PoolIndexes],
        now_s: float,
    ) -> None:
        """Reserves workers for waiting services and stops runs on them."""
        waiting = [
            (
                step_run,
                pools[self._pool(step_run.job_run)].for_services.workers,
            )
            for step_run in runnable
            if step_run.step.service and unanswered_starts.leaves_any(step_run)
        ]
        self._reservations.update(waiting, now_s)
        for worker in self._reservations.reserved_workers():
            for attempt in self._reservations.attempts_to_stop(worker, now_s):
                self._move(attempt, 'reserved-for-service')

    def submit_start(self, attempt: execution.Attempt, why: str) -> None:
        """Sends the start of a planned attempt."""
        key = attempt.task.key
        self.dirty.add(key.job)
        self._commands.append(commands.Start(attempt))
        worker = self.workers[attempt.worker]
        _log(
            'run_planned',
            attempt,
            why=why,
            born_ms=worker.born_ms,
            free_cpu=worker.free().cpu,
            failed=len(attempt.task.failed_runs),
            unanswered=unanswered_starts.describe(attempt.task),
        )

    # ends of runs and jobs

    def _stop(self, attempt: execution.Attempt, why: str) -> None:
        if attempt.state is execution.AttemptState.STOPPING:
            return
        if attempt.state is execution.AttemptState.PLANNED:
            self._remove(attempt, why)
            return
        uncertain = attempt.state is execution.AttemptState.UNCERTAIN
        attempt.state = execution.AttemptState.STOPPING
        _log('run_stopped', attempt, why=why)
        if not uncertain:
            self._commands.append(commands.Stop(attempt))

    def _move(self, attempt: execution.Attempt, why: str) -> None:
        """Stops a run whose task can start on another worker."""
        if not attempt.task.unanswered:
            self._stop(attempt, why)

    def detach(self, attempt: execution.Attempt) -> None:
        """Takes an attempt from its task and its worker."""
        attempt.task.remove_attempt(attempt)
        worker = self.workers.get(attempt.worker)
        if worker is not None:
            worker.detach(attempt)

    def _remove(self, attempt: execution.Attempt, why: str) -> None:
        self.detach(attempt)
        if attempt.checkpoint:
            attempt.task.checkpoint = attempt.checkpoint
        self.dirty.add(attempt.task.key.job)
        _log(
            'run_gone',
            attempt,
            why=why,
            confirmed=attempt.confirmed,
            born_ms=attempt.born_ms,
            unanswered=unanswered_starts.describe(attempt.task),
        )
        if attempt.task.step_run.step.gang:
            self._stop_gang(attempt.task.step_run, attempt.run)
        self._deactivate_if_finished(attempt.task.step_run.job_run)

    def _end_job(
        self, job_run: execution.JobRun, state: model.JobState, now_ms: int
    ) -> None:
        job_run.state = state
        job_run.ended_ms = now_ms
        self.dirty.add(job_run.job.id)
        if admission.is_service(job_run.job):
            self.admission.lifetimes.on_ended(
                self._pool(job_run),
                (now_ms - job_run.job.accepted_ms) / 1000,
            )
        logs.event(
            'job_ended',
            id=job_run.job.id,
            state=state.value,
            after_ms=now_ms - job_run.job.accepted_ms,
            objective_ms=round(job_ranking.objective_ms(job_run)),
            no_worker_ms=round(job_run.no_worker_s * 1000),
        )
        for attempt in list(job_run.attempts()):
            self._stop(attempt, state.value)
        self._deactivate_if_finished(job_run)

    def _deactivate_if_finished(self, job_run: execution.JobRun) -> None:
        """Deactivates a job that has ended and has no attempt left."""
        job_run.close_complete_occurrences()
        if job_run.ended and not job_run.has_attempts:
            self._active.pop(job_run.job.id, None)
            self._resumable_jobs.discard(job_run.job.id)
            self.advice.forget(job_run.job.id)


def _log(event: str, attempt: execution.Attempt, **fields: t.Any) -> None:
    """Logs an event of one attempt."""
    logs.event(
        event,
        id=attempt.task.key.job,
        task=attempt.task.key.name_in_job,
        run=attempt.run,
        worker=attempt.worker,
        **fields,
    )


def _elapsed_s(then_s: float | None, now_s: float) -> float:
    """Returns the time since ``then_s``, infinity if that is None."""
    return float('inf') if then_s is None else now_s - then_s
