"""Work of the leading instance: holds workers and carries out orders."""

import asyncio
import dataclasses
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import commands
from . import elections
from . import execution
from . import jobrecord
from . import journal
from . import logs
from . import metrics
from . import model
from . import ports
from . import scheduler
from . import workers

# Lease that each hold renews. It outlasts a takeover and two lost holds, and
# bounds how long the work of a silent worker cannot start elsewhere.
_LEASE_MS = 4_500
# A start that is not carried out within this time is void.
_START_VALID_MS = 1_500
# A worker's report is at most this old; a lease is renewed several times.
_HOLD_WAIT_MS = 500
_HOLD_PAUSE_S = 0.25
_RECORD_WAIT_S = 0.3
_STOP_RETRY_S = 0.3
_WORKERS_POLL_S = 0.4
_JOBS_WAIT_MS = 1_000
_STORE_RETRY_S = 0.2
_TICK_S = 0.1
_ADVICE_POLL_S = 0.02
_ADVICE_RETRY_S = 0.1
_PLAN_GATHER_S = 0.004
# Pause after a plan as a multiple of its time; leaves most of the processor
# to holds and callers while many jobs wait.
_PLAN_PAUSE = 3.0
# A next leader reads the steps of jobs that ended since.
_FORGET_EVERY_S = 2.0
# In the table of progress, where all other keys are ids of jobs.
_TAILS_KEY = b'tails'
_RESIGN_S = 0.6
# Leases last 4.5 s; another instance may recover before they lapse.
_RECOVERY_STALL_S = 2.5


class Deposed(Exception):
    """Another instance leads; nothing more may be ordered under the token."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tools:
    """What a leader works with."""

    store: ports.Store
    fleet: ports.Fleet
    decoder: ports.Decoder
    adviser: ports.Adviser
    clock: clock_lib.Clock
    meters: metrics.Metrics
    limits: scheduler.Limits


class Leader:
    """One term in office, from the claim to the end.

    :ivar gave_up: the term ended since its instance could not recover.

    :param store_was_lost: the store was away a short time ago, so that
        entries of workers may be missing.
    """

    def __init__(
        self,
        *,
        tools: Tools,
        term: elections.Term,
        leaders_end: int,
        cfg: model.Configuration | None,
        store_was_lost: bool,
    ):
        self.term = term
        self.ready = False
        self._tools = tools
        self._clock = tools.clock
        self._leaders_end = leaders_end
        self._store_was_lost = store_was_lost
        self.core = scheduler.Scheduler(
            limits=tools.limits,
            token=term.token,
            now_s=tools.clock.monotonic(),
        )
        if cfg is not None:
            self.core.configure(cfg)
        self._journal = journal.Journal(
            store=tools.store,
            core=self.core,
            token=term.token,
            meters=tools.meters,
        )
        self._links: dict[ids.WorkerId, tuple[str, ports.WorkerLink]] = {}
        self._replan = asyncio.Event()
        self._jobs_end = 0
        self._workers_end = 0
        self._group: asyncio.TaskGroup | None = None
        self._over = asyncio.Event()
        self._why = ''
        self.gave_up = False
        self._stalled_s: float | None = None

    # life

    async def run(self) -> None:
        """Leads until deposed or resigned."""
        logs.event('leading', token=self.term.token)
        self._tools.meters.count('terms')
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                office = group.create_task(self._lead())
                await self._over.wait()
                office.cancel()
                raise Deposed(self._why)
        except* Deposed:
            pass
        finally:
            self.ready = False
            for _, link in self._links.values():
                link.close()
            logs.event('led', token=self.term.token, why=self._why)

    def depose(self, why: str) -> None:
        """Ends the term at once."""
        if not self._over.is_set():
            self._why = why
            self._over.set()

    async def resign(self) -> None:
        """Stores what is not stored yet and lets another instance lead."""
        if self._over.is_set():
            return
        has_changes, self.ready = self.ready, False
        try:
            async with asyncio.timeout(_RESIGN_S):
                if has_changes:
                    await self._journal.flush()
                await self._renew(released=True)
        except (
            TimeoutError,
            exceptions.AmaranthflowError,
            ports.Conflict,
        ) as exc:
            logs.event('resignation_not_stored', error=repr(exc))
        self.depose('resigned')

    async def _lead(self) -> None:
        group = self._group
        assert group is not None
        group.create_task(self._guard(self._renew_loop))
        await self._recover()
        self.ready = True
        loops = [
            self._journal.run,
            self._jobs_loop,
            self._workers_loop,
            self._tick_loop,
            self._plan_loop,
            self._advice_loop,
            self._forget_loop,
        ]
        for loop in loops:
            group.create_task(self._guard(loop))

    async def _guard(self, loop: t.Callable[[], t.Awaitable[None]]) -> None:
        try:
            await loop()
        except ports.Conflict as exc:
            self.depose(f'store: {exc}')
        except exceptions.AmaranthflowError as exc:
            self.depose(f'{loop.__name__}: {exc}')
        except Exception as exc:
            # A fault of the program: another instance takes over.
            logs.event('loop_failed', loop=loop.__name__, error=repr(exc))
            self.depose(f'{loop.__name__} failed')

    async def _renew_loop(self) -> None:
        while True:
            await asyncio.sleep(elections.RENEW_S)
            try:
                await self._renew(released=False)
            except exceptions.AmaranthflowError as exc:
                logs.event('renewal_failed', error=str(exc))
                continue
            if self._recovery_fails():
                self.gave_up = True
                await self.resign()
                return

    def _recovery_fails(self) -> bool:
        """Tells whether tables do not arrive though renewals are stored."""
        stalled_s = self._stalled_s
        if self.ready or stalled_s is None:
            return False
        return self._clock.monotonic() - stalled_s > _RECOVERY_STALL_S

    async def _renew(self, *, released: bool) -> None:
        term = dataclasses.replace(self.term, released=released)
        value = elections.encode(
            term,
            instance=term.instance,
            address=term.address,
            small=term.small,
        )
        table = ports.Table.LEADERS
        try:
            offset = await self._tools.store.append(
                table,
                [(elections.KEY, value)],
                expected_end=self._leaders_end,
            )
        except ports.Conflict:
            self._leaders_end = await self._own_end()
            return
        self._leaders_end = offset + 1

    async def _own_end(self) -> int:
        """Returns the end of the table if its newest record is our own."""
        batch = await self._tools.store.newest(ports.Table.LEADERS)
        for record in batch.records:
            if elections.decode(record).token != self.term.token:
                raise ports.Conflict('another instance has claimed')
        newest = max((r.offset for r in batch.records), default=-1)
        return newest + 1

    # recovery

    async def _recover(self) -> None:
        begun_s = self._clock.monotonic()
        await self._retry(self._journal.open)
        progress = await self._retry(
            lambda: self._tools.store.newest(ports.Table.PROGRESS)
        )
        jobs = await self._retry(
            lambda: self._tools.store.newest(ports.Table.JOBS)
        )
        entries = await self._retry(
            lambda: self._tools.store.newest(ports.Table.WORKERS)
        )
        now_s = self._clock.monotonic()
        self._take_workers(entries, now_s)
        self._workers_end = entries.end
        self._restore(jobs, progress, now_s)
        self.core.hold_restored_jobs(
            now_s, self._clock.wall_ms(), store_was_lost=self._store_was_lost
        )
        self._jobs_end = jobs.end
        for worker in list(self.core.workers.values()):
            self._attend(worker)
        counts = self.core.counts()
        logs.event(
            'recovered',
            token=self.term.token,
            jobs=counts.jobs,
            runs=counts.copies,
            workers=counts.workers,
            seconds=round(self._clock.monotonic() - begun_s, 3),
        )

    async def _retry(self, call: t.Callable[[], t.Awaitable]) -> t.Any:
        while True:
            try:
                found = await call()
                self._stalled_s = None
                return found
            except exceptions.AmaranthflowError as exc:
                if self._stalled_s is None:
                    self._stalled_s = self._clock.monotonic()
                logs.event('recovery_stalled', error=str(exc))
                await asyncio.sleep(_STORE_RETRY_S)

    def _restore(
        self, jobs: ports.Batch, progress: ports.Batch, now_s: float
    ) -> None:
        known = {record.key: record.value for record in progress.records}
        self._restore_tails(known.pop(_TAILS_KEY, b''))
        for record in jobs.records:
            job = self._decode_job(record)
            if job is None:
                continue
            try:
                self.core.restore_job(job, known.get(record.key), now_s)
            except exceptions.InvalidRecord as exc:
                logs.event('record_set_aside', id=job.id, error=str(exc))
        listed = {record.key for record in jobs.records}
        for key, value in known.items():
            if key in listed:
                continue
            job_id = ids.JobId(key.decode('latin-1'))
            try:
                self.core.restore_ended(job_id, value)
            except exceptions.InvalidRecord as exc:
                logs.event('record_set_aside', id=job_id, error=str(exc))

    def _restore_tails(self, value: bytes) -> None:
        if not value:
            return
        try:
            pairs = self.core.tail_model.restore(value)
        except exceptions.InvalidRecord as exc:
            logs.event('record_set_aside', id='tails', error=str(exc))
            return
        logs.event('tails_restored', pairs=pairs)

    def _decode_job(self, record: ports.Record) -> model.Job | None:
        if not record.value:
            return None
        job_id = ids.JobId(record.key.decode('latin-1'))
        try:
            return jobrecord.decode(job_id, record.value)
        except exceptions.InvalidRecord as exc:
            logs.event('record_set_aside', id=job_id, error=str(exc))
            return None

    # tables

    async def _jobs_loop(self) -> None:
        while True:
            try:
                batch = await self._tools.store.read(
                    ports.Table.JOBS, self._jobs_end, wait_ms=_JOBS_WAIT_MS
                )
            except exceptions.OffsetExpired:
                batch = await self._retry(
                    lambda: self._tools.store.newest(ports.Table.JOBS)
                )
            except exceptions.AmaranthflowError as exc:
                logs.event('jobs_unread', error=str(exc))
                await asyncio.sleep(_STORE_RETRY_S)
                continue
            self._take_jobs(batch)

    def _take_jobs(self, batch: ports.Batch) -> None:
        self._jobs_end = max(self._jobs_end, batch.end)
        for record in batch.records:
            job = self._decode_job(record)
            if job is not None:
                self.take_job(job)

    def take_job(self, job: model.Job) -> None:
        """Takes a job whose record is stored.

        While recovering, the record is read together with its progress.
        """
        if not self.ready or not self.core.add_job(job):
            return
        self._tools.meters.count('jobs')
        logs.event(
            'job_taken',
            id=job.id,
            queue=job.queue.id,
            tasks=sum(step.count for step in job.steps),
            age_ms=self._clock.wall_ms() - job.accepted_ms,
        )
        self._replan.set()

    async def _workers_loop(self) -> None:
        while True:
            await asyncio.sleep(_WORKERS_POLL_S)
            try:
                batch = await self._tools.store.read(
                    ports.Table.WORKERS, self._workers_end
                )
                whole = False
            except exceptions.OffsetExpired:
                batch = await self._retry(
                    lambda: self._tools.store.newest(ports.Table.WORKERS)
                )
                whole = True
            except exceptions.AmaranthflowError as exc:
                logs.event('workers_unread', error=str(exc))
                continue
            now_s = self._clock.monotonic()
            self._take_workers(batch, now_s)
            if whole:
                self._drop_missing(batch, now_s)
            self._workers_end = batch.end

    def _drop_missing(self, batch: ports.Batch, now_s: float) -> None:
        listed = {record.key.decode('latin-1') for record in batch.records}
        for worker_id in list(self.core.workers):
            if worker_id not in listed:
                self.core.on_entry_removed(worker_id, now_s)

    def _take_workers(self, batch: ports.Batch, now_s: float) -> None:
        for record in batch.records:
            worker_id = ids.WorkerId(record.key.decode('latin-1'))
            if not record.value:
                self.core.on_entry_removed(worker_id, now_s)
                continue
            entry = self._tools.decoder.worker(record.key, record.value)
            if entry is None:
                continue
            known = worker_id in self.core.workers
            self.core.on_entry_changed(entry, now_s)
            if not known and self.ready:
                self._attend(self.core.workers[entry.id])

    def _attend(self, worker: workers.Worker) -> None:
        assert self._group is not None
        self._group.create_task(self._guard(lambda: self._attendance(worker)))

    # workers

    async def _attendance(self, worker: workers.Worker) -> None:
        """Holds one worker until it is gone."""
        lost = False
        while True:
            if self.core.drop_worker(worker.id, self._clock.monotonic()):
                self._drop_link(worker.id)
                return
            if not worker.entry.address:
                await asyncio.sleep(_HOLD_PAUSE_S)
                continue
            try:
                await self._hold(worker)
                if lost:
                    logs.event('worker_back', worker=worker.id)
                lost = False
            except ports.OrderRefused as exc:
                if exc.refusal is ports.Refusal.TOKEN:
                    self.depose(f'worker {worker.id} has a higher token')
                    return
                if exc.refusal is ports.Refusal.OTHER_LIFE:
                    self.core.on_worker_replaced(worker)
                    self._replan.set()
                await asyncio.sleep(_HOLD_PAUSE_S)
            except exceptions.AmaranthflowError as exc:
                if not lost:
                    self._note_lost(worker, exc)
                lost = True
                await asyncio.sleep(_HOLD_PAUSE_S)

    def _note_lost(self, worker: workers.Worker, exc: Exception) -> None:
        now_s = self._clock.monotonic()
        logs.event(
            'worker_lost',
            worker=worker.id,
            runs=len(worker.attempts),
            lease_left_s=round(worker.lease_end_s - now_s, 2),
            error=str(exc),
        )
        self._tools.meters.count('workers_lost')

    async def _hold(self, worker: workers.Worker) -> None:
        link = self._link(worker)
        # The first call on a connection may reach another life of the
        # worker: it must neither forget ends nor trust the clock.
        known = link.connected() and worker.born_ms != 0
        sent_s = self._clock.monotonic()
        deadline_ms = None
        if known:
            deadline_ms = worker.min_clock_ms(sent_s) + _LEASE_MS
            worker.extend_lease(deadline_ms)
        settled = worker.stored_end == worker.processed_end
        report = await link.hold(
            token=self.term.token,
            observed=worker.stored_end if known else 0,
            deadline_ms=deadline_ms,
            wait_ms=_HOLD_WAIT_MS if known and settled else 0,
        )
        before = (worker.born_ms, worker.processed_end)
        self.core.on_report(
            worker,
            report,
            sent_s,
            self._clock.monotonic(),
            self._clock.wall_ms(),
        )
        self._dispatch()
        if worker.stored_end != worker.processed_end:
            self._replan.set()
            await self._stored()
            if worker.stored_end != worker.processed_end:
                await asyncio.sleep(_HOLD_PAUSE_S)
        elif before[0] != worker.born_ms:
            self._replan.set()

    async def _stored(self) -> bool:
        """Waits a little for all changes to be stored; tells whether."""
        try:
            async with asyncio.timeout(_RECORD_WAIT_S):
                await self._journal.flush()
        except TimeoutError:
            return False
        return True

    def _link(self, worker: workers.Worker) -> ports.WorkerLink:
        address = worker.entry.address
        found = self._links.get(worker.id)
        if found is not None and found[0] == address:
            return found[1]
        self._drop_link(worker.id)
        link = self._tools.fleet.link(worker.id, address)
        self._links[worker.id] = (address, link)
        return link

    def _drop_link(self, worker_id: ids.WorkerId) -> None:
        found = self._links.pop(worker_id, None)
        if found is not None:
            found[1].close()

    # orders

    def _dispatch(self) -> None:
        taken = self.core.take_commands()
        if self.core.dirty:
            self._journal.wake()
        for one in taken:
            if isinstance(one, commands.Start):
                self._spawn(self._start(one.attempt))
            elif isinstance(one, commands.Stop):
                self._spawn(self._stop(one.attempt))
            elif isinstance(one, commands.StopOrphan):
                self._spawn(self._stop_stray(one))
            elif isinstance(one, commands.SetPace):
                self._spawn(self._pace(one))

    def _spawn(self, work: t.Coroutine) -> None:
        if self._group is None or self._over.is_set():
            work.close()
            return

        async def run() -> None:
            await work

        self._group.create_task(self._guard(run))

    async def _start(self, attempt: execution.Attempt) -> None:
        worker = self.core.workers.get(attempt.worker)
        if (
            worker is None
            or attempt.state is not execution.AttemptState.PLANNED
        ):
            return
        if attempt not in worker.attempts:
            return
        now_s = self._clock.monotonic()
        task = attempt.task
        order = ports.StartOrder(
            task=task.key,
            run=attempt.run,
            payload=task.step_run.job_run.job.payload,
            deadline_ms=worker.min_clock_ms(now_s) + _START_VALID_MS,
            checkpoint=task.checkpoint,
            ticket=self.core.advice.ticket(
                scheduler.step_key(task.step_run),
                worker.id,
                worker.born_ms,
                now_s,
            ),
        )
        worker.extend_lease(order.deadline_ms)
        void_s = worker.deadline_passed_s(order.deadline_ms)
        self.core.on_sent(attempt)
        self._tools.meters.count('starts')
        try:
            await self._link(worker).start(order, self.term.token)
            self.core.on_started(attempt, self._clock.monotonic())
            self._tools.meters.observe(
                'start', self._clock.monotonic() - now_s
            )
            return
        except ports.OrderRefused as exc:
            if exc.refusal is ports.Refusal.TOKEN:
                self.depose(f'worker {worker.id} has a higher token')
                return
            now_s = self._clock.monotonic()
            self.core.on_start_refused(attempt, exc.refusal, now_s)
        except exceptions.PlatformUncertain as exc:
            self._note_unanswered(attempt, exc)
            now_s = self._clock.monotonic()
            self.core.on_start_uncertain(attempt, void_s, now_s)
        except exceptions.PlatformError:
            self.core.on_start_failed(attempt, self._clock.monotonic())
        self._replan.set()
        self._dispatch()

    def _note_unanswered(
        self, attempt: execution.Attempt, exc: Exception
    ) -> None:
        self._tools.meters.count('starts_unanswered')
        logs.event(
            'start_unanswered',
            id=attempt.task.key.job,
            run=attempt.run,
            worker=attempt.worker,
            error=str(exc),
        )

    async def _stop(self, attempt: execution.Attempt) -> None:
        while True:
            worker = self.core.workers.get(attempt.worker)
            if worker is None or attempt not in worker.attempts:
                return
            if await self._stop_once(worker, attempt.task.key, attempt.run):
                self.core.on_stopped(attempt, self._clock.monotonic())
                return
            await asyncio.sleep(_STOP_RETRY_S)

    async def _stop_stray(self, stray: commands.StopOrphan) -> None:
        worker = self.core.workers.get(ids.WorkerId(stray.worker))
        if worker is not None:
            logs.event(
                'stray_stopped',
                id=stray.task.job,
                run=stray.run,
                worker=stray.worker,
            )
            await self._stop_once(worker, stray.task, stray.run)

    async def _stop_once(
        self, worker: workers.Worker, task: model.TaskKey, run: model.RunNumber
    ) -> bool:
        if not worker.entry.address:
            return False
        try:
            await self._link(worker).stop(task, run, self.term.token)
            return True
        except ports.OrderRefused as exc:
            if exc.refusal is ports.Refusal.TOKEN:
                self.depose(f'worker {worker.id} has a higher token')
                return False
            logs.event(
                'stop_refused',
                id=task.job,
                run=run,
                worker=worker.id,
                refusal=exc.refusal.value,
            )
            return False
        except exceptions.AmaranthflowError as exc:
            logs.event(
                'stop_unanswered',
                id=task.job,
                run=run,
                worker=worker.id,
                error=str(exc),
            )
            return False

    async def _pace(self, change: commands.SetPace) -> None:
        attempt = change.attempt
        worker = self.core.workers.get(attempt.worker)
        if worker is None or attempt not in worker.attempts:
            return
        try:
            await self._link(worker).pace(
                attempt.task.key, attempt.run, change.percent, self.term.token
            )
        except ports.OrderRefused as exc:
            if exc.refusal is ports.Refusal.TOKEN:
                self.depose(f'worker {worker.id} has a higher token')
        except exceptions.AmaranthflowError as exc:
            logs.event(
                'pace_unanswered',
                id=attempt.task.key.job,
                run=attempt.run,
                worker=worker.id,
                percent=change.percent,
                error=str(exc),
            )
            # Unknown pace: the next report orders it anew.
            attempt.pace = -1

    # decisions

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.core.tick(self._clock.monotonic())
            self._dispatch()
            # Pauses end and occurrences come due.
            self._replan.set()

    async def _plan_loop(self) -> None:
        took_s = 0.0
        while True:
            await self._replan.wait()
            await asyncio.sleep(max(_PLAN_GATHER_S, _PLAN_PAUSE * took_s))
            self._replan.clear()
            begun_s = self._clock.monotonic()
            self.core.plan(begun_s, self._clock.wall_ms())
            took_s = self._clock.monotonic() - begun_s
            self._tools.meters.observe('plan', took_s)
            self._dispatch()

    async def _advice_loop(self) -> None:
        """Asks the adviser, one question at a time."""
        while True:
            question = self.core.advice.next_query()
            if question is None:
                await asyncio.sleep(_ADVICE_POLL_S)
                continue
            lives = {
                worker_id: self.core.workers[worker_id].born_ms
                for worker_id in question.workers
                if worker_id in self.core.workers
            }
            asked_s = self._clock.monotonic()
            step = question.step
            try:
                tickets, valid_ms = await self._tools.adviser.advise(
                    step.job, step.occurrence, step.step, question.workers
                )
            except exceptions.AmaranthflowError as exc:
                logs.event('advice_unanswered', id=step.job, error=str(exc))
                await asyncio.sleep(_ADVICE_RETRY_S)
                continue
            logs.event(
                'advice',
                id=step.job,
                step=f'{step.occurrence}.{step.step}',
                asked=len(question.workers),
                good=len(tickets),
                valid_ms=valid_ms,
            )
            until_s = asked_s + valid_ms / 1000
            self.core.advice.on_response(question, tickets, until_s, lives)
            self._replan.set()

    async def _forget_loop(self) -> None:
        unneeded: set[ids.JobId] = set()
        while True:
            await asyncio.sleep(_FORGET_EVERY_S)
            counts = self.core.counts()
            for name, value in counts._asdict().items():
                self._tools.meters.gauge(name, value)
            await self._record_tails()
            unneeded.update(self.core.retire_jobs())
            old = self.core.expired_jobs(self._clock.wall_ms())
            unneeded.update(old)
            if await self._drop(ports.Table.JOBS, unneeded):
                unneeded.clear()
                if await self._drop(ports.Table.PROGRESS, old):
                    self.core.forget_jobs(old)

    async def _record_tails(self) -> None:
        """Records what was learned; a next leader may do without it."""
        items = [(_TAILS_KEY, self.core.tail_model.encode())]
        try:
            await self._tools.store.append(ports.Table.PROGRESS, items)
        except exceptions.AmaranthflowError as exc:
            logs.event('tails_not_recorded', error=str(exc))

    async def _drop(
        self, table: ports.Table, job_ids: t.Collection[ids.JobId]
    ) -> bool:
        """Drops records; False where the store may still have them."""
        if not job_ids:
            return True
        items = [(job_id.encode(), b'') for job_id in job_ids]
        try:
            await self._tools.store.append(table, items)
        except exceptions.AmaranthflowError as exc:
            logs.event('records_not_dropped', error=str(exc))
            return False
        return True

    # questions of callers

    async def state(self, job_id: ids.JobId) -> model.JobState | None:
        """Returns a job's state, None for an unknown job.

        Raises NotReady where a job might be stored that is not known here.
        """
        self._check_ready()
        if not self.core.knows(job_id):
            await self._read_latest_jobs()
        return self.core.state(job_id)

    async def cancel(self, job_id: ids.JobId) -> bool:
        """Cancels a job; False for an unknown one.

        Raises NotReady where a job might be stored that is not known here.
        """
        self._check_ready()
        if not self.core.knows(job_id):
            await self._read_latest_jobs()
        if not self.core.cancel(job_id, self._clock.wall_ms()):
            return False
        self._dispatch()
        await self._journal.flush()
        return True

    async def _read_latest_jobs(self) -> None:
        """Reads jobs that other instances have stored up to now."""
        try:
            batch = await self._tools.store.read(
                ports.Table.JOBS, self._jobs_end
            )
        except exceptions.AmaranthflowError as exc:
            reason = f'the newest jobs cannot be read: {exc}'
            raise exceptions.NotReady(reason) from exc
        # Deposed meanwhile: the jobs read just now would not be taken.
        self._check_ready()
        self._take_jobs(batch)

    def pending_count(self, queue: model.QueueId) -> int:
        """Returns the number of a queue's jobs that have had no run yet."""
        self._check_ready()
        return self.core.pending_count(queue)

    def _check_ready(self) -> None:
        if not self.ready or self._over.is_set():
            raise exceptions.NotReady('the leader is not ready')
