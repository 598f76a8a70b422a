"""Decisions of the leader: which run starts, stops or slows, and where.

No network and no clock of its own: facts come in by methods with their
times, orders go out by ``take_orders``. What must last is named by ``dirty``
until ``recorded`` says that it is stored.
"""

import collections
import dataclasses
import typing as t

from amaranthflow import ids

from . import advice
from . import execution
from . import logs
from . import model
from . import order
from . import orders
from . import pacing
from . import placement
from . import ports
from . import reservations
from . import stragglers
from . import tails
from . import workers

# A worker whose last answer is older gets no new run; holds are answered
# after half a second at most.
_CONTACT_S = 1.2
# An entry that lapsed while the store was away is back within this time
# (platform's pages say about two seconds).
_UNLISTED_GRACE_S = 2.5
# Time in which a new leader may meet runs of jobs that it has not read yet.
_SETTLING_S = 2.0
# A worker that lists more ends than it can send at once lists 500.
_MOST_ENDS = 500
_ROOM_PAUSE_S = 0.3
_UNHEALTHY_PAUSE_S = 1.0
# Pause after a start without an answer; doubles with each further one.
_UNANSWERED_PAUSE_S = 0.3
_MOST_PAUSE_S = 8.0
# A worker on which runs of two jobs failed, and none ended well since.
_GREY_JOBS = 2
_GREY_PAUSE_S = 5.0
_HUNG_PAUSE_S = 4.0
# Weight of the newest observation in a worker's relative speed.
_PACE_WEIGHT = 0.4
# A resumable run whose pace stays below this percentage for so long moves,
# unless it is nearly done and still works.
_SLOWED = 60
_SLOWED_S = 0.4
_NEARLY = 85
# At this pace a run as good as stands still: the rest of it takes longer than
# a move.
_STANDS = 15
# A run that cannot be resumed loses its work; services that make it wait do so
# for 2 to 7 s (log of large quiet-1), and a task takes about 2 s.
_RESTART_S = 0.8
# Each try looks at all workers, whose tails change within half a second.
_MOVES_EVERY_S = 0.5
# Pause for each worker that a try looks at: leaves most of a processor.
_MOVES_COST_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Times set by the platform, in seconds.

    :ivar hold_max_s: longest lease a worker grants.
    :ivar state_kept_s: how long the state of an ended job is told.
    """

    hold_max_s: float
    state_kept_s: float


class Counts(t.NamedTuple):
    """Sizes for metrics and logs."""

    jobs: int
    waiting_tasks: int
    copies: int
    workers: int


class _Pool(t.NamedTuple):
    """Usable workers of one pool, for runs that end and for services."""

    for_tasks: placement.Rooms
    for_services: placement.Rooms

    def of(self, step_run: execution.StepRun) -> placement.Rooms:
        """Returns the workers that a step's tasks may use."""
        lasts = step_run.step.service
        return self.for_services if lasts else self.for_tasks


class Scheduler:
    """State and decisions of one leader, from its election on."""

    def __init__(self, *, limits: Limits, token: model.Token, now_s: float):
        self.jobs: dict[ids.JobId, execution.JobRun] = {}
        self.ended: dict[ids.JobId, execution.EndedJob] = {}
        self.workers: dict[ids.WorkerId, workers.Worker] = {}
        self.dirty: set[ids.JobId] = set()
        self._limits = limits
        self._first_run = execution.first_run(token)
        self._since_s = now_s
        self._active: dict[ids.JobId, execution.JobRun] = {}
        self._queues: dict[model.QueueId, model.Queue] = {}
        self._orders: list[orders.Order] = []
        self.tails = tails.Tails()
        self._reservations = reservations.Reservations()
        self.advice = advice.Advice()
        self._held_back: set[ids.JobId] = set()
        self._listed_by_s = now_s
        self._unknown_leases_s = now_s + self._longest_lease_s()

    def _longest_lease_s(self) -> float:
        longest_s = self._limits.hold_max_s / workers.CLOCK_RATE
        return longest_s + workers.LAPSE_SLACK_S

    # jobs

    def configure(self, cfg: model.Configuration) -> None:
        """Takes the queues in force; those that went are remembered."""
        for queue in cfg.queues:
            self._queues[queue.id] = queue

    def queue_of(self, job: model.Job) -> model.Queue:
        """Returns a job's queue as it is now."""
        return self._queues.get(job.queue.id, job.queue)

    def knows(self, job_id: ids.JobId) -> bool:
        """Tells whether a job was accepted, as far as is known here."""
        return job_id in self.jobs or job_id in self.ended

    def add_job(self, job: model.Job) -> bool:
        """Takes an accepted job; False where it is known already."""
        if self.knows(job.id):
            return False
        job_run = execution.JobRun(job=job, first_run=self._first_run)
        self.jobs[job.id] = job_run
        self._active[job.id] = job_run
        return True

    def restore_job(
        self, job: model.Job, progress: bytes | None, now_s: float
    ) -> None:
        """Takes a job and what an earlier leader recorded of it."""
        if not self.add_job(job) or progress is None:
            return
        job_run = self.jobs[job.id]
        execution.restore(job_run, progress, now_s)
        for copy in list(job_run.copies()):
            self._recall(copy, now_s)
            if job_run.ended or copy.task.done:
                # The earlier leader's stop may not have arrived.
                self._stop(copy, 'not-wanted')
        self._settle_job(job_run)

    def restore_ended(self, job_id: ids.JobId, progress: bytes) -> None:
        """Takes a job of which only the end is recorded.

        Raises InvalidRecord.
        """
        self.ended[job_id] = execution.decode_ended(job_id, progress)

    def hold_back(
        self, now_s: float, now_ms: int, *, store_was_lost: bool
    ) -> None:
        """Keeps tasks of restored jobs from starting while one may run.

        An earlier leader's last starts may not be recorded. They show once
        every worker has answered, or have lapsed.

        :param store_was_lost: entries of workers may still be missing.
        """
        unlisted = any(w.unlisted_s is not None for w in self.workers.values())
        for job_run in self._active.values():
            job_run.open_due(now_ms)
            self._held_back.add(job_run.job.id)
        self._listed_by_s = now_s
        if unlisted or store_was_lost:
            self._listed_by_s += _UNLISTED_GRACE_S

    def _release_held(self, now_s: float) -> None:
        if now_s < self._listed_by_s:
            return
        for worker in self.workers.values():
            if worker.answered_s is None and now_s <= worker.lapsed_s:
                return
        logs.event(
            'held_jobs_released',
            jobs=len(self._held_back),
            seconds=round(now_s - self._since_s, 2),
        )
        self._held_back.clear()

    def _recall(self, copy: execution.Copy, now_s: float) -> None:
        worker = self.workers.get(copy.worker)
        if worker is None:
            worker = self._add_worker(_lost_entry(copy.worker))
            worker.unlisted_s = now_s - _UNLISTED_GRACE_S
        worker.attach(copy)

    def cancel(self, job_id: ids.JobId, now_ms: int) -> bool:
        """Ends a job at its caller's wish; False where none is known."""
        job_run = self.jobs.get(job_id)
        if job_run is not None and not job_run.ended:
            self._end_job(job_run, model.JobState.CANCELLED, now_ms)
        return self.knows(job_id)

    def state(self, job_id: ids.JobId) -> model.JobState | None:
        """Returns what may be told of a job, None where none is known."""
        job_run = self.jobs.get(job_id)
        if job_run is None:
            ended = self.ended.get(job_id)
            return ended.state if ended is not None else None
        if job_run.ended and job_run.shown is job_run.state:
            return job_run.state
        if job_run.ended or job_run.started:
            return model.JobState.RUNNING
        return model.JobState.PENDING

    def pending_count(self, queue: model.QueueId) -> int:
        """Returns how many jobs of a queue have had no run yet."""
        return sum(
            1
            for job_run in self._active.values()
            if not job_run.started
            and not job_run.ended
            and job_run.job.queue.id == queue
        )

    def retire(self) -> list[ids.JobId]:
        """Keeps only the ends of jobs that have ended and are recorded.

        Returns these jobs; a next leader does not need their steps.
        """
        retired = [
            job_id
            for job_id, job_run in self.jobs.items()
            if job_run.ended
            and job_run.shown is job_run.state
            and job_id not in self._active
            and job_id not in self.dirty
        ]
        for job_id in retired:
            job_run = self.jobs.pop(job_id)
            self.ended[job_id] = execution.EndedJob(
                job_run.state, job_run.ended_ms
            )
        return retired

    def forgettable(self, now_ms: int) -> list[ids.JobId]:
        """Returns jobs whose state need not be told any longer."""
        kept_ms = self._limits.state_kept_s * 1000
        return [
            job_id
            for job_id, ended in self.ended.items()
            if now_ms - ended.ended_ms > kept_ms
        ]

    def forget(self, job_ids: t.Iterable[ids.JobId]) -> None:
        """Drops jobs whose records are dropped."""
        for job_id in job_ids:
            self.ended.pop(job_id, None)

    def counts(self) -> Counts:
        """Returns sizes."""
        copies = sum(len(w.copies) for w in self.workers.values())
        waiting = sum(
            step_run.waiting
            for job_run in self._active.values()
            for step_run in job_run.wanting_steps()
        )
        return Counts(len(self.jobs), waiting, copies, len(self.workers))

    # workers

    def entry_changed(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Takes what a worker says of itself."""
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = self._add_worker(entry)
        before = worker.entry
        worker.entry = entry
        worker.unlisted_s = None
        if before.state is not entry.state or before is entry:
            logs.event(
                'worker_entry',
                worker=entry.id,
                state=entry.state.value,
                service=entry.service,
                rack=entry.rack,
                leaves_in_ms=entry.leaves_in_ms,
            )

    def entry_gone(self, worker_id: ids.WorkerId, now_s: float) -> None:
        """Notes that a worker's entry went."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.unlisted_s is None:
            worker.unlisted_s = now_s
            logs.event(
                'worker_unlisted',
                worker=worker_id,
                runs=len(worker.copies),
                answered_ago_s=_ago(worker.answered_s, now_s),
            )

    def _add_worker(self, entry: model.WorkerEntry) -> workers.Worker:
        worker = workers.Worker(entry=entry, lapsed_s=self._unknown_leases_s)
        self.workers[entry.id] = worker
        return worker

    def in_use(self, worker: workers.Worker, now_s: float) -> bool:
        """Tells whether a worker may get new runs unless it is shunned.

        An unlisted one may not: a next leader would not know of it, and
        starts may be unrecorded.
        """
        if worker.entry.state is not model.WorkerState.READY:
            return False
        if worker.unlisted_s is not None:
            return False
        answered_s = worker.answered_s
        return answered_s is not None and now_s - answered_s <= _CONTACT_S

    def usable(
        self, worker: workers.Worker, now_s: float, *, service: bool = False
    ) -> bool:
        """Tells whether a worker may get a new run, or one of a service."""
        if not self.in_use(worker, now_s):
            return False
        return not worker.shunned(now_s, by_services=service)

    def drop_worker(self, worker_id: ids.WorkerId, now_s: float) -> bool:
        """Forgets a worker that is gone; False while something may run."""
        worker = self.workers[worker_id]
        if worker.copies or worker.unlisted_s is None:
            return False
        if now_s - worker.unlisted_s <= _UNLISTED_GRACE_S:
            return False
        if _ago(worker.answered_s, now_s) < _CONTACT_S:
            return False
        del self.workers[worker_id]
        return True

    # reports

    def on_report(
        self,
        worker: workers.Worker,
        report: ports.Report,
        sent_s: float,
        now_s: float,
        now_ms: int,
    ) -> None:
        """Takes a worker's report; ``sent_s`` is when it was asked for."""
        if report.born_ms != worker.born_ms:
            self._new_life(worker, report.born_ms)
        worker.sync_clock(report.clock_ms, now_s)
        worker.answered_s = now_s
        ended = {(end.task, end.run) for end in report.ended}
        for end in sorted(report.ended, key=lambda end: end.number):
            if end.number <= worker.processed:
                continue
            if not self._on_end(worker, end, now_s, now_ms):
                break
            worker.processed = end.number
        for row in report.running:
            self._on_running(worker, row, sent_s, now_s)
        if len(report.ended) < _MOST_ENDS:
            self._drop_unlisted(worker, ended, sent_s, now_s)
        self.tails.observe(worker, now_s, now_ms)
        self._pace(worker, now_s)
        worker.runs_changed()

    def on_replaced(self, worker: workers.Worker) -> None:
        """Notes that another worker answers at a worker's address.

        Its process is gone, and all that ran there.
        """
        worker.answered_s = None
        worker.lapsed_s = float('-inf')
        for copy in list(worker.copies):
            self._remove(copy, 'worker-replaced')

    def _new_life(self, worker: workers.Worker, born_ms: int) -> None:
        if worker.born_ms:
            logs.event(
                'worker_reborn',
                worker=worker.id,
                before=worker.born_ms,
                born_ms=born_ms,
                runs=len(worker.copies),
            )
        worker.born_ms = born_ms
        worker.processed = worker.observed = 0
        worker.failed_jobs.clear()
        worker.failures_in_row = 0
        worker.shunned_until_s = 0.0
        worker.pace_factor = 1.0

    def _drop_unlisted(
        self,
        worker: workers.Worker,
        ended: set[tuple[model.TaskKey, model.Run]],
        sent_s: float,
        now_s: float,
    ) -> None:
        for copy in list(worker.copies):
            settled_s = copy.settled_s
            if copy.listed_s == now_s:
                continue
            if settled_s is None or settled_s > sent_s:
                continue
            if (copy.task.key, copy.run) not in ended:
                self._remove(copy, 'not-listed')

    def _on_end(
        self,
        worker: workers.Worker,
        end: ports.End,
        now_s: float,
        now_ms: int,
    ) -> bool:
        job_run = self.jobs.get(end.task.job)
        if job_run is None:
            settled = now_s - self._since_s > _SETTLING_S
            return settled or end.task.job in self.ended
        task = job_run.find(end.task)
        if task is None:
            return True
        copy = _find_copy(task, worker.id, end.run)
        self.dirty.add(job_run.job.id)
        logs.event(
            'run_ended',
            id=end.task.job,
            task=_name(end.task),
            run=end.run,
            worker=worker.id,
            ending=end.ending.value,
            number=end.number,
            known=copy is not None,
        )
        if copy is not None:
            self._learn(copy, end, now_s)
            self._detach(copy)
        if task.step_run.step.gang and end.ending is not model.Ending.DONE:
            self._stop_gang(task.step_run, end.run)
        task.next_run = max(task.next_run, end.run + 1)
        task.checkpoint = end.saved or task.checkpoint
        if end.ending is model.Ending.DONE:
            self._on_done(worker, task, now_ms)
        elif end.ending is model.Ending.FAILED:
            self._on_failed(worker, task, end.run, now_s, now_ms)
        self._settle_job(job_run)
        return True

    def _learn(
        self, copy: execution.Copy, end: ports.End, now_s: float
    ) -> None:
        lasted_s = now_s - copy.running_s
        if end.ending is model.Ending.DONE and copy.running_s and lasted_s > 0:
            percent = 100 - copy.first_percent
            if copy.pace == 100 and percent > 0:
                copy.task.step_run.speeds.append(percent / lasted_s)

    def _on_done(
        self, worker: workers.Worker, task: execution.TaskRun, now_ms: int
    ) -> None:
        worker.successes += 1
        worker.failures_in_row = 0
        worker.failed_jobs.clear()
        step_run = task.step_run
        if step_run.step.service:
            return
        members = step_run.tasks if step_run.step.gang else [task]
        for member in members:
            step_run.mark_done(member)
            for copy in list(member.copies):
                self._stop(copy, 'done-elsewhere')
        job_run = step_run.job_run
        if not job_run.ended and job_run.all_done():
            self._end_job(job_run, model.JobState.COMPLETED, now_ms)

    def _on_failed(
        self,
        worker: workers.Worker,
        task: execution.TaskRun,
        run: model.Run,
        now_s: float,
        now_ms: int,
    ) -> None:
        job_run = task.step_run.job_run
        if run not in task.failed_runs:
            task.failed_runs.append(run)
            task.failed_on.append(worker.id)
            self._suspect(worker, job_run.job.id, now_s)
        if task.step_run.step.service or job_run.ended or task.done:
            return
        most = self.queue_of(job_run.job).max_attempts
        if len(task.failed_runs) >= most:
            for other in self.workers.values():
                other.failed_jobs.discard(job_run.job.id)
            self._end_job(job_run, model.JobState.FAILED, now_ms)

    def _stop_gang(self, step_run: execution.StepRun, run: model.Run) -> None:
        for copy in list(step_run.copies()):
            if copy.run <= run:
                self._stop(copy, 'gang-broken')

    def _suspect(
        self, worker: workers.Worker, job_id: ids.JobId, now_s: float
    ) -> None:
        worker.failures_in_row += 1
        worker.failed_jobs.add(job_id)
        if len(worker.failed_jobs) >= _GREY_JOBS:
            self._shun(worker, _GREY_PAUSE_S, 'fails', now_s)

    def _shun(
        self, worker: workers.Worker, seconds: float, why: str, now_s: float
    ) -> None:
        worker.shun(now_s, seconds)
        logs.event(
            'worker_shunned',
            worker=worker.id,
            why=why,
            seconds=seconds,
            failed_jobs=len(worker.failed_jobs),
        )

    def _on_running(
        self,
        worker: workers.Worker,
        row: ports.Progress,
        sent_s: float,
        now_s: float,
    ) -> None:
        settling = now_s - self._since_s <= _SETTLING_S
        if settling and not self.knows(row.task.job):
            return
        job_run = self.jobs.get(row.task.job)
        task = job_run.find(row.task) if job_run is not None else None
        if task is None:
            stray = orders.StopStray(worker.id, row.task, row.run)
            self._orders.append(stray)
            return
        copy = _find_copy(task, worker.id, row.run)
        if copy is None:
            copy = self._adopt(worker, task, row, sent_s, now_s)
        self._update(copy, row, now_s)

    def _adopt(
        self,
        worker: workers.Worker,
        task: execution.TaskRun,
        row: ports.Progress,
        sent_s: float,
        now_s: float,
    ) -> execution.Copy:
        """Takes over a run that no record names."""
        step = task.step_run.step
        rivals = bool(task.copies) and not step.backups
        unwanted = rivals or task.done or task.step_run.job_run.ended
        copy = execution.Copy(
            task=task,
            worker=worker.id,
            run=row.run,
            state=execution.CopyState.RUNNING,
            settled_s=sent_s,
            pace=0,
            slowed_s=now_s,
            resumed=True,
        )
        task.add_copy(copy)
        worker.attach(copy)
        task.next_run = max(task.next_run, row.run + 1)
        self.dirty.add(row.task.job)
        logs.event(
            'run_adopted',
            id=row.task.job,
            task=_name(row.task),
            run=row.run,
            worker=worker.id,
            unwanted=unwanted,
        )
        if unwanted:
            self._stop(copy, 'not-wanted')
        return copy

    def _update(
        self, copy: execution.Copy, row: ports.Progress, now_s: float
    ) -> None:
        if copy.state in (
            execution.CopyState.SENT,
            execution.CopyState.UNCERTAIN,
        ):
            copy.state = execution.CopyState.RUNNING
            copy.settled_s = now_s
        if not copy.reported:
            copy.reported = True
            if copy.resumed or not copy.running_s:
                copy.running_s = copy.moved_s = now_s
                copy.first_percent = copy.percent = row.percent
        if row.percent > copy.percent:
            copy.percent = row.percent
            copy.moved_s = now_s
        copy.gauge = row.gauge
        copy.listed_s = now_s
        if row.saved:
            copy.saved = row.saved
            copy.task.checkpoint = row.saved
        copy.task.step_run.job_run.started = True

    def _pace(self, worker: workers.Worker, now_s: float) -> None:
        for change in pacing.plan(worker, self.tails, now_s):
            copy = change.copy
            _log(
                'run_paced',
                copy,
                before=copy.pace,
                percent=change.percent,
                pressure=round(pacing.pressure(worker), 2),
            )
            if copy.pace >= _SLOWED > change.percent:
                copy.slowed_s = now_s
            copy.pace = change.percent
            self._orders.append(orders.Pace(copy, change.percent))

    def _move_slowed(self, now_s: float) -> None:
        """Moves runs that are slowed here and would not be elsewhere."""
        pause_s = min(_MOVES_EVERY_S, _MOVES_COST_S * len(self.workers))
        slowed = []
        for worker in self.workers.values():
            if not worker.service_count or not worker.opportunistic_count:
                continue
            if now_s - worker.moves_tried_s >= pause_s:
                worker.moves_tried_s = now_s
                slowed.extend(_slowed_runs(worker, now_s))
        if not slowed:
            return
        rooms = self._rooms(now_s)
        rankings: dict[execution.StepRun, placement.Ranking] = {}
        for copy in slowed:
            step_run = copy.task.step_run
            ranking = rankings.get(step_run)
            if ranking is None:
                queue = self.queue_of(step_run.job_run.job)
                found = rooms[queue.service].for_tasks.for_step(step_run.step)
                if queue.advised:
                    found = self._advised(step_run, found, now_s)
                ranking = placement.Ranking(step_run, found, self.tails)
                rankings[step_run] = ranking
            other = ranking.best(copy.task)
            if other is not None and other.id != copy.worker:
                # Counted as placed, so that not all choose the same worker.
                self.tails.add(other, step_run.step)
                ranking.placed(other)
                self._stop(copy, 'slowed-beside-service')

    # answers to orders

    def on_sent(self, copy: execution.Copy) -> None:
        """Notes that a start order is on its way."""
        copy.state = execution.CopyState.SENT

    def on_started(self, copy: execution.Copy, now_s: float) -> None:
        """Notes that a worker has started a run."""
        copy.task.step_run.job_run.started = True
        if copy.state is execution.CopyState.SENT:
            copy.state = execution.CopyState.RUNNING
        copy.settled_s = now_s
        if not copy.running_s:
            copy.running_s = copy.moved_s = now_s
        worker = self.workers.get(copy.worker)
        if worker is not None:
            worker.unanswered = 0

    def on_start_refused(
        self, copy: execution.Copy, refusal: ports.Refusal, now_s: float
    ) -> None:
        """Notes that a worker has refused a run and done nothing."""
        worker = self.workers.get(copy.worker)
        _log(
            'start_refused',
            copy,
            refusal=refusal.value,
        )
        if refusal is ports.Refusal.ROOM and worker is not None:
            worker.shun(now_s, _ROOM_PAUSE_S)
        if refusal is ports.Refusal.UNHEALTHY and worker is not None:
            self._shun(worker, _UNHEALTHY_PAUSE_S, refusal.value, now_s)
        self._remove(copy, refusal.value)

    def on_start_failed(self, copy: execution.Copy, now_s: float) -> None:
        """Notes that a start order could not be sent."""
        worker = self.workers.get(copy.worker)
        if worker is not None:
            worker.shun(now_s, _ROOM_PAUSE_S)
        self._remove(copy, 'not-sent')

    def on_start_uncertain(
        self, copy: execution.Copy, void_s: float, now_s: float
    ) -> None:
        """Notes that a start order has no answer.

        :param void_s: from here on the order can no longer be carried out.
        """
        if copy.state is not execution.CopyState.SENT:
            return
        worker = self.workers.get(copy.worker)
        if worker is not None:
            pause_s = _UNANSWERED_PAUSE_S * 2**worker.unanswered
            worker.unanswered += 1
            pause_s = min(_MOST_PAUSE_S, pause_s)
            worker.shun(now_s, pause_s)
        copy.state = execution.CopyState.UNCERTAIN
        copy.settled_s = void_s
        self._orders.append(orders.Stop(copy))

    def on_stopped(self, copy: execution.Copy, now_s: float) -> None:
        """Notes that a worker has taken a stop; the end will be listed."""
        if copy.settled_s is None or copy.settled_s > now_s:
            copy.settled_s = now_s

    # stored progress

    def seen_ends(self) -> dict[ids.WorkerId, tuple[int, int]]:
        """Returns (life, number of the last end) that ``dirty`` covers."""
        return {w.id: (w.born_ms, w.processed) for w in self.workers.values()}

    def recorded(
        self,
        states: dict[ids.JobId, model.JobState],
        ends: dict[ids.WorkerId, tuple[int, int]],
    ) -> None:
        """Takes what is stored by now as fit to be told and observed."""
        for job_id, state in states.items():
            job_run = self.jobs.get(job_id)
            if job_run is not None:
                job_run.shown = state
        for worker_id, (born_ms, number) in ends.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.born_ms == born_ms:
                worker.observed = max(worker.observed, number)

    # decisions

    def take_orders(self) -> list[orders.Order]:
        """Returns the orders since the last call."""
        taken, self._orders = self._orders, []
        return taken

    def tick(self, now_s: float) -> None:
        """Finds lapsed runs and stragglers, moves slowed runs."""
        for worker in list(self.workers.values()):
            if worker.copies and now_s > worker.lapsed_s:
                for copy in list(worker.copies):
                    if self._may_outlive(copy, now_s):
                        continue
                    self._remove(copy, 'lease-lapsed')
            if worker.entry.state is model.WorkerState.DRAINING:
                self._evacuate(worker, now_s)
        self._judge_runs(now_s)
        self._move_slowed(now_s)

    def _may_outlive(self, copy: execution.Copy, now_s: float) -> bool:
        """A start on its way may still begin until it is void."""
        return copy.settled_s is None or copy.settled_s > now_s

    def _evacuate(self, worker: workers.Worker, now_s: float) -> None:
        for copy in worker.copies:
            if copy.state is not execution.CopyState.RUNNING:
                continue
            step = copy.task.step_run.step
            if step.service or step.checkpoints:
                self._stop(copy, 'worker-drains')

    def _judge_runs(self, now_s: float) -> None:
        for worker in self.workers.values():
            if _ago(worker.answered_s, now_s) > _CONTACT_S:
                self._back_up_silent(worker, now_s)
                continue
            if not worker.passing_count:
                continue
            for copy in worker.passing_runs():
                running = copy.state is execution.CopyState.RUNNING
                if not running or copy.task.step_run.step.gang:
                    continue
                verdict = stragglers.judge(copy, now_s)
                if verdict is not stragglers.Verdict.FINE:
                    self._relocate(worker, copy, verdict, now_s)

    def _back_up_silent(self, worker: workers.Worker, now_s: float) -> None:
        for copy in list(worker.copies):
            if copy.task.step_run.step.backups:
                self._back_up(copy, now_s, 'worker-silent')

    def _relocate(
        self,
        worker: workers.Worker,
        copy: execution.Copy,
        verdict: stragglers.Verdict,
        now_s: float,
    ) -> None:
        _log(
            'run_straggles',
            copy,
            verdict=verdict.value,
            percent=copy.percent,
            running_s=round(now_s - copy.running_s, 2),
            still_s=round(now_s - copy.moved_s, 2),
        )
        if verdict is stragglers.Verdict.HUNG:
            self._shun(worker, _HUNG_PAUSE_S, 'hangs', now_s)
        else:
            usual = stragglers.usual_speed(copy, now_s)
            own = stragglers.speed(copy, now_s)
            if usual and own:
                ratio = usual / own
                worker.pace_factor += _PACE_WEIGHT * (
                    ratio - worker.pace_factor
                )
        if copy.task.step_run.step.backups:
            self._back_up(copy, now_s, verdict.value)
        elif verdict is not stragglers.Verdict.BACK_UP:
            self._stop(copy, verdict.value)

    def _back_up(self, copy: execution.Copy, now_s: float, why: str) -> None:
        task = copy.task
        if task.key.job in self._held_back:
            return
        if task.done or len(task.copies) > 1 or task.step_run.job_run.ended:
            return
        worker = placement.choose(
            task, self._candidates(task, now_s), self.tails
        )
        if worker is not None:
            self._place(task, worker, now_s, why)

    def plan(self, now_s: float, now_ms: int) -> None:
        """Places waiting tasks while there is room."""
        if self._held_back:
            self._release_held(now_s)
        wanting = self._wanting_steps(now_ms)
        if not wanting:
            self._reservations.clear()
            return
        rooms = self._rooms(now_s)
        self._reserve(wanting, rooms, now_s)
        full = placement.Full()
        for step_run in wanting:
            pool = rooms[self.queue_of(step_run.job_run.job).service]
            self._plan_step(step_run, pool.of(step_run), full, now_s)

    def _wanting_steps(self, now_ms: int) -> list[execution.StepRun]:
        """Returns the steps with tasks that wait, in the order of jobs."""
        found = []
        for job_run in self._active.values():
            if job_run.ended or job_run.job.id in self._held_back:
                continue
            job_run.open_due(now_ms)
            steps = job_run.wanting_steps()
            if steps:
                found.append((order.rank(job_run, now_ms), steps))
        found.sort(key=lambda entry: entry[0])
        return [step_run for _, steps in found for step_run in steps]

    def _rooms(
        self, now_s: float
    ) -> collections.defaultdict[ids.ServiceId, _Pool]:
        """Returns the workers of each pool that may get new runs."""
        for_tasks = collections.defaultdict(list)
        for_services = collections.defaultdict(list)
        for worker in self.workers.values():
            if not self.in_use(worker, now_s):
                continue
            pool = worker.entry.service
            if now_s >= worker.shunned_until_s:
                for_tasks[pool].append(worker)
            elif worker.shunned(now_s, by_services=True):
                continue
            for_services[pool].append(worker)
        found = collections.defaultdict(
            lambda: _Pool(placement.Rooms([]), placement.Rooms([]))
        )
        for pool, usable in for_services.items():
            found[pool] = _Pool(
                placement.Rooms(for_tasks[pool]), placement.Rooms(usable)
            )
        return found

    def _reserve(
        self,
        wanting: list[execution.StepRun],
        rooms: t.Mapping[ids.ServiceId, _Pool],
        now_s: float,
    ) -> None:
        """Keeps workers for services that wait, stops what lasts there."""
        waiting = [
            (
                step_run,
                rooms[
                    self.queue_of(step_run.job_run.job).service
                ].for_services.workers,
            )
            for step_run in wanting
            if step_run.step.service
        ]
        self._reservations.update(waiting, now_s)
        for worker in self._reservations.kept():
            for copy in self._reservations.overdue(worker, now_s):
                self._stop(copy, 'reserved-for-service')

    def _plan_step(
        self,
        step_run: execution.StepRun,
        rooms: placement.Rooms,
        full: placement.Full,
        now_s: float,
    ) -> None:
        step = step_run.step
        queue = self.queue_of(step_run.job_run.job)
        candidates = rooms.for_step(step)
        if queue.advised:
            candidates = self._advised(step_run, candidates, now_s)
        if step.gang:
            self._plan_gang(step_run, candidates, now_s)
            return
        candidates = self._reservations.permitted(step_run, candidates)
        pool = queue.service
        hopeless = full.covers(pool, step) and not self._reservations.holds(
            step_run
        )
        ranking = placement.Ranking(
            step_run, () if hopeless else candidates, self.tails
        )
        for task in step_run.tasks:
            if not task.waiting:
                continue
            worker = ranking.best(task)
            if worker is not None:
                self._place(task, worker, now_s, 'waiting')
                ranking.placed(worker)
                continue
            if step_run.waits_since_s is None:
                step_run.waits_since_s = now_s
            if not hopeless:
                self._log_waiting(task, rooms.workers)
            if not queue.advised:
                # Others may have tickets for workers that this one has not.
                full.add(pool, step)
            return
        step_run.waits_since_s = None

    def _advised(
        self,
        step_run: execution.StepRun,
        candidates: list[workers.Worker],
        now_s: float,
    ) -> list[workers.Worker]:
        """Returns the workers for which there is a ticket, asks for others."""
        key = step_key(step_run)
        ready, others = [], []
        for worker in candidates:
            if self.advice.ticket(key, worker.id, worker.born_ms, now_s):
                ready.append(worker)
            elif placement.may_run(worker, step_run.step):
                others.append(worker)
        if others and len(ready) < step_run.waiting:
            others.sort(key=lambda worker: -worker.room().cpu)
            self.advice.want(key, [worker.id for worker in others])
        return ready

    def _log_waiting(
        self, task: execution.TaskRun, candidates: list[workers.Worker]
    ) -> None:
        """Logs once for each step why a task has no worker."""
        step_run = task.step_run
        if step_run.wait_logged:
            return
        step_run.wait_logged = True
        rooms = [worker.room().cpu for worker in candidates]
        step = step_run.step
        beside = {}
        if step.opportunistic:
            beside = {
                'unused_cpu': [round(w.unused_cpu()) for w in candidates],
                'tails': [
                    round(self.tails.expected(w, step), 2) for w in candidates
                ],
            }
        logs.event(
            'step_waits',
            id=task.key.job,
            task=_name(task.key),
            cpu=step.resources.cpu,
            opportunistic=step.opportunistic,
            workers=len(candidates),
            largest_room=max(rooms, default=0),
            free_cpu=sum(rooms),
            **beside,
        )

    def _plan_gang(
        self,
        step_run: execution.StepRun,
        candidates: list[workers.Worker],
        now_s: float,
    ) -> None:
        """Places all members of a gang, or none."""
        if step_run.has_copies:
            return
        run = max(task.next_run for task in step_run.tasks)
        saved = max(
            (task.checkpoint for task in step_run.tasks if task.checkpoint),
            default='',
        )
        placed: list[execution.Copy] = []
        for task in step_run.tasks:
            task.next_run = run
            task.checkpoint = saved
            worker = placement.choose(task, candidates, self.tails)
            if worker is None:
                for copy in placed:
                    self._detach(copy)
                    copy.task.next_run = run
                return
            placed.append(self._plan_copy(task, worker, now_s))
        for copy in placed:
            self._announce(copy, 'gang')

    def _candidates(
        self, task: execution.TaskRun, now_s: float
    ) -> list[workers.Worker]:
        queue = self.queue_of(task.step_run.job_run.job)
        found = [
            worker
            for worker in self.workers.values()
            if worker.entry.service == queue.service
            and self.usable(worker, now_s, service=task.step_run.step.service)
        ]
        if queue.advised:
            found = self._advised(task.step_run, found, now_s)
        return self._reservations.permitted(task.step_run, found)

    def _place(
        self,
        task: execution.TaskRun,
        worker: workers.Worker,
        now_s: float,
        why: str,
    ) -> None:
        self._announce(self._plan_copy(task, worker, now_s), why)

    def _plan_copy(
        self,
        task: execution.TaskRun,
        worker: workers.Worker,
        now_s: float,
    ) -> execution.Copy:
        copy = execution.Copy(
            task=task,
            worker=worker.id,
            run=task.step_run.job_run.take_run(task),
            state=execution.CopyState.PLANNED,
            resumed=bool(task.checkpoint),
        )
        task.add_copy(copy)
        worker.attach(copy)
        if task.step_run.step.opportunistic:
            self.tails.add(worker, task.step_run.step)
        return copy

    def _announce(self, copy: execution.Copy, why: str) -> None:
        key = copy.task.key
        self.dirty.add(key.job)
        self._orders.append(orders.Start(copy))
        worker = self.workers[copy.worker]
        _log(
            'run_planned',
            copy,
            why=why,
            free_cpu=worker.room().cpu,
            failed=len(copy.task.failed_runs),
        )

    # bookkeeping

    def _stop(self, copy: execution.Copy, why: str) -> None:
        if copy.state is execution.CopyState.STOPPING:
            return
        if copy.state is execution.CopyState.PLANNED:
            self._remove(copy, why)
            return
        uncertain = copy.state is execution.CopyState.UNCERTAIN
        copy.state = execution.CopyState.STOPPING
        _log(
            'run_stopped',
            copy,
            why=why,
        )
        if not uncertain:
            self._orders.append(orders.Stop(copy))

    def _detach(self, copy: execution.Copy) -> None:
        copy.task.drop_copy(copy)
        worker = self.workers.get(copy.worker)
        if worker is not None:
            worker.detach(copy)

    def _remove(self, copy: execution.Copy, why: str) -> None:
        self._detach(copy)
        if copy.saved:
            copy.task.checkpoint = copy.saved
        self.dirty.add(copy.task.key.job)
        _log(
            'run_gone',
            copy,
            why=why,
        )
        if copy.task.step_run.step.gang:
            self._stop_gang(copy.task.step_run, copy.run)
        self._settle_job(copy.task.step_run.job_run)

    def _end_job(
        self, job_run: execution.JobRun, state: model.JobState, now_ms: int
    ) -> None:
        job_run.state = state
        job_run.ended_ms = now_ms
        self.dirty.add(job_run.job.id)
        logs.event(
            'job_ended',
            id=job_run.job.id,
            state=state.value,
            after_ms=now_ms - job_run.job.accepted_ms,
            objective_ms=round(order.objective_ms(job_run)),
        )
        for copy in list(job_run.copies()):
            self._stop(copy, state.value)
        self._settle_job(job_run)

    def _settle_job(self, job_run: execution.JobRun) -> None:
        """Keeps a job active while a run may be there or is needed."""
        job_run.close_complete()
        if job_run.ended and not job_run.has_copies:
            self._active.pop(job_run.job.id, None)
            self.advice.forget(job_run.job.id)


def _log(event: str, copy: execution.Copy, **fields: t.Any) -> None:
    """Writes a line about one run."""
    logs.event(
        event,
        id=copy.task.key.job,
        task=_name(copy.task.key),
        run=copy.run,
        worker=copy.worker,
        **fields,
    )


def _slowed_runs(
    worker: workers.Worker, now_s: float
) -> t.Iterator[execution.Copy]:
    """Yields the runs that have been slowed here for too long."""
    for copy in worker.opportunistic():
        if copy.state is not execution.CopyState.RUNNING:
            continue
        if copy.pace < _SLOWED and _ends_sooner_elsewhere(copy, now_s):
            yield copy


def _ends_sooner_elsewhere(copy: execution.Copy, now_s: float) -> bool:
    """Tells whether a slowed run is worth a new start on another worker."""
    slowed_s = now_s - copy.slowed_s
    stands = copy.pace <= _STANDS
    if copy.task.step_run.step.checkpoints:
        return slowed_s >= _SLOWED_S and (stands or copy.percent <= _NEARLY)
    return stands and slowed_s >= _RESTART_S


def step_key(step_run: execution.StepRun) -> advice.StepKey:
    """Returns the name of a step's occurrence."""
    job_id = step_run.job_run.job.id
    return advice.StepKey(job_id, step_run.occurrence, step_run.number)


def _find_copy(
    task: execution.TaskRun, worker: ids.WorkerId, run: int
) -> execution.Copy | None:
    for copy in task.copies:
        if copy.worker == worker and copy.run == run:
            return copy
    return None


def _ago(then_s: float | None, now_s: float) -> float:
    return float('inf') if then_s is None else now_s - then_s


def _name(key: model.TaskKey) -> str:
    return f'{key.occurrence}.{key.step}.{key.index}'


def _lost_entry(worker_id: ids.WorkerId) -> model.WorkerEntry:
    return model.WorkerEntry(
        id=worker_id,
        service=ids.ServiceId(''),
        address='',
        zone=ids.ZoneId(''),
        state=model.WorkerState.DRAINING,
        capacity=model.Resources(),
    )
