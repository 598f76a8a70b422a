"""Leader: renews the workers' leases, plans and sends commands."""

import asyncio
import dataclasses
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import admission
from . import advice
from . import command_sender
from . import contacts
from . import elections
from . import evacuations as evacuations_lib
from . import incarnations
from . import job_memory
from . import jobrecord
from . import links
from . import load_monitor
from . import logs
from . import metrics
from . import model
from . import overdue_reports
from . import ports
from . import progress_parts
from . import progress_writer
from . import report_intervals
from . import response_limits
from . import scheduler
from . import store_health
from . import takeover
from . import tenure
from . import workers

# Lease that each renewal sets. It is longer than a takeover plus two lost
# renewals. The work of an unreachable worker cannot start on another worker
# before this time has passed.
_LEASE_MS = 4_500
_RENEWAL_PAUSE_S = 0.25
_FLUSH_TIMEOUT_S = 0.3
_WORKERS_POLL_S = 0.4
_JOBS_WAIT_MS = 1_000
_STORE_RETRY_S = 0.2
_STORE_POLL_S = 0.02
_TICK_S = 0.1
_LOAD_INTERVAL_S = 1.0
_ADVICE_POLL_S = 0.02
# Pauses after calls without advice double up to the second value.
_ADVICE_RETRY_S = 0.1
_MAX_ADVICE_RETRY_S = 1.0
_PLAN_DELAY_S = 0.004
# Pause after a planning pass as a multiple of its duration. It leaves most of
# the processor to lease renewals and callers while many jobs wait.
_PLAN_PAUSE_RATIO = 3.0
# The next leader has to read the records of jobs that ended since the last
# cleanup.
_CLEANUP_INTERVAL_S = 2.0
# Keys in the progress table, whose other keys are job ids.
_TAILS_KEY = b'tails'
_HISTORIES_KEY = b'worker-histories'
# A resignation takes two calls, a record of progress and that of the leader,
# and two more if a renewal was under way.
_RESIGN_TIMEOUT_S = 0.6
_RESIGN_TIMEOUT_RATIO = 4.0
_MAX_RESIGN_TIMEOUT_S = 1.5
# A renewal takes a few ms, or a quarter of a second while the store is slow. A
# lost one and its repetition fit into the time after which others claim.
_RENEWAL_TIMEOUT_S = 0.6
# Renewals in a row without a response after which the store is taken to refuse
# this instance if it serves others. A single one may have been lost.
_FAILED_RENEWALS = 2
_RENEWAL_TIMEOUT_RATIO = 1.5
_MAX_RENEWAL_TIMEOUT_S = 0.9  # of a single call
# A read of the operator's table waits up to 1 s for records, and one lost read
# is repeated.
_MIN_TABLE_AGE_S = 2.5
# Leases last 4.5 s, so another instance can recover before they expire.
_READ_STALL_S = 2.5


class TermEnded(Exception):
    """The term has ended; no more commands may be sent under its token."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Collaborators of a leader.

    :ivar refresh_configuration: reads the newest configuration from the store
        and applies it; raises platform errors.
    """

    store: store_health.ObservedStore
    link_factory: ports.WorkerLinkFactory
    decoder: ports.Decoder
    adviser: ports.Adviser
    clock: clock_lib.Clock
    meters: metrics.Metrics
    limits: scheduler.Limits
    refresh_configuration: t.Callable[[], t.Awaitable[None]]


class Leader:
    """One term of this instance as leader, from the claim to its end.

    :ivar cannot_read: the term ended because the instance could not read the
        store's tables.

    :param claim_sent_s: time at which the claim was sent, in seconds.
    :param leaders_end: end offset of the leaders table after the claim.
    :param request_handover: asks the previous leader for what it has not
        stored; returns None if it cannot be asked.
    :param evacuations: what the instance knows of them, kept up to date by
        the caller.
    :param store_was_lost: the store was unavailable a short time ago, so
        entries of workers may be missing.
    """

    def __init__(
        self,
        *,
        deps: Dependencies,
        term: elections.Term,
        claim_sent_s: float,
        leaders_end: int,
        cfg: model.Configuration | None,
        request_handover: t.Callable[
            [], t.Awaitable[takeover.Handover | None]
        ],
        evacuations: evacuations_lib.Evacuations,
        store_was_lost: bool,
    ):
        self.term = term
        self.ready = False
        self._deps = deps
        self._clock = deps.clock
        self._leaders_end = leaders_end
        self._tenure = tenure.Tenure(
            claim_sent_s=claim_sent_s,
            hold_max_s=deps.limits.hold_max_s,
            lease_s=_LEASE_MS / 1000,
        )
        self._resigning = False
        self._suspended = False
        self._failed_renewals = 0
        self._orphans: set[bytes] = set()
        self._recovered = False
        self._request_handover = request_handover
        self._store_was_lost = store_was_lost
        self.core = scheduler.Scheduler(
            limits=deps.limits,
            token=term.token,
            now_s=deps.clock.monotonic(),
            evacuations=evacuations,
        )
        if cfg is not None:
            self.core.configure(cfg)
        self._progress_writer = progress_writer.ProgressWriter(
            store=deps.store,
            core=self.core,
            token=term.token,
            meters=deps.meters,
            clock=deps.clock,
            call_bytes=deps.limits.call_bytes,
        )
        self._load = load_monitor.LoadMonitor(meters=deps.meters)
        self._job_memory = job_memory.JobMemory(
            max_bytes=deps.limits.jobs_bytes
        )
        self._tokens = incarnations.Tokens(
            term.token, is_exclusive=self._is_exclusive
        )
        self._links = links.Links(factory=deps.link_factory)
        self._contacts = contacts.Contacts()
        self._sender = command_sender.CommandSender(
            term=self,
            tokens=self._tokens,
            core=self.core,
            links=self._links,
            contacts=self._contacts,
            meters=deps.meters,
            clock=deps.clock,
        )
        self._replan = asyncio.Event()
        self._replan_opportunistic = asyncio.Event()
        self._unconfigured = asyncio.Event()
        self._jobs_end = 0
        self._workers_end = 0
        self._group: asyncio.TaskGroup | None = None
        self._ended = asyncio.Event()
        self._end_reason = ''
        self.cannot_read = False
        self._stalled_since_s: float | None = None

    # term

    async def run(self) -> None:
        """Leads until the term ends."""
        logs.event('leading', token=self.term.token)
        self._deps.meters.count('terms')
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                lead_task = group.create_task(
                    self._run_guarded(self._lead_term)
                )
                await self._ended.wait()
                lead_task.cancel()
                raise TermEnded(self._end_reason)
        except* TermEnded:
            pass
        finally:
            self.ready = False
            self._links.close()
            logs.event('led', token=self.term.token, why=self._end_reason)

    def end_term(self, reason: str) -> None:
        """Ends the term at once."""
        if not self._ended.is_set():
            self._end_reason = reason
            self._ended.set()

    async def resign(self, *, until_s: float | None = None) -> None:
        """Flushes pending changes and releases the leadership.

        Without the store no other instance can be elected and all leases would
        expire, so the leader first leads on until the store responds.

        :param until_s: when the term ends at the latest; the default is as
            soon as possible.
        """
        if until_s is not None:
            await self._wait_for_store(until_s - self._resign_timeout_s())
        if self._ended.is_set():
            return
        has_changes, self.ready = self.ready, False
        # Another instance may lead as soon as the store has the release.
        self._resigning = True
        try:
            async with asyncio.timeout(self._resign_timeout_s()):
                if has_changes:
                    await self._progress_writer.flush()
                await self._renew_term(released=True)
        except (
            TimeoutError,
            exceptions.AmaranthflowError,
            ports.Conflict,
        ) as exc:
            logs.event('resignation_not_stored', error=repr(exc))
        finally:
            # Also if the call is cancelled: no command is sent any more.
            self.end_term('resigned')

    async def _wait_for_store(self, until_s: float) -> None:
        """Returns once the store responds, the term ends or time is up."""
        while not self._ended.is_set():
            left_s = until_s - self._clock.monotonic()
            if left_s <= 0:
                return
            if self._deps.store.away:
                await asyncio.sleep(min(left_s, _STORE_POLL_S))
                continue
            timeout_s = min(left_s, self._renewal_timeout_s())
            try:
                async with asyncio.timeout(timeout_s):
                    await self._renew_term(released=False)
                return
            except ports.Conflict as exc:
                self.end_term(f'store: {exc}')
            except (TimeoutError, exceptions.AmaranthflowError) as exc:
                logs.event('resignation_delayed', error=repr(exc))
                await asyncio.sleep(min(left_s, _STORE_RETRY_S))

    def offer_term(self) -> bool:
        """Offers the term to an instance that reads the store.

        The store may refuse this instance alone. The leader goes on as far as
        another one may have been elected; if the claim fails, the next renewal
        that is stored makes it the only one again.

        Returns False if the term can be renewed.
        """
        now_s = self._clock.monotonic()
        unconfirmed_s = now_s - self._tenure.confirmed_s
        if self._failed_renewals < _FAILED_RENEWALS:
            return False
        if unconfirmed_s < elections.LEADER_PROBE_AFTER_S:
            return False
        if not self._tenure.offered:
            logs.event(
                'term_offered',
                token=self.term.token,
                unconfirmed_s=round(unconfirmed_s, 2),
            )
        self._tenure.on_offered(now_s)
        return True

    def yield_term(self, successor: model.Token) -> takeover.Handover:
        """Ends the term at once and returns what the store does not have."""
        # No command is sent from here on, also not by calls that have begun.
        self._resigning = True
        handover = self.handover()
        self.end_term(f'handed over to token {successor}')
        return handover

    def handover(self) -> takeover.Handover:
        """Returns what the next leader needs once no command is sent."""
        records = {
            job_id: self.core.progress_record(job_id)
            for job_id in self._progress_writer.unstored()
        }
        return takeover.Handover(
            complete=self._recovered and not self.core.takeover.holding,
            progress={
                job_id: record
                for job_id, record in records.items()
                if record is not None
            },
        )

    async def _lead_term(self) -> None:
        group = self._group
        assert group is not None
        group.create_task(self._run_guarded(self._renew_term_loop))
        await self._recover()
        self.ready = self._recovered = True
        loops = [
            self._progress_writer.run,
            self._jobs_loop,
            self._configuration_loop,
            self._workers_loop,
            self._tick_loop,
            self._plan_loop,
            self._plan_opportunistic_loop,
            self._load_loop,
            self._advice_loop,
            self._cleanup_loop,
        ]
        for loop in loops:
            group.create_task(self._run_guarded(loop))

    async def _run_guarded(
        self, loop: t.Callable[[], t.Awaitable[None]]
    ) -> None:
        try:
            await loop()
        except ports.Conflict as exc:
            self.end_term(f'store: {exc}')
        except exceptions.AmaranthflowError as exc:
            self.end_term(f'{loop.__name__}: {exc}')
        except Exception as exc:
            # A program fault: another instance takes over.
            logs.event('loop_failed', loop=loop.__name__, error=repr(exc))
            self.end_term(f'{loop.__name__} failed')

    async def _renew_term_loop(self) -> None:
        pause_s = elections.RENEW_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            started_s = self._clock.monotonic()
            try:
                async with asyncio.timeout(self._renewal_timeout_s()):
                    await self._renew_term(released=False)
            except (TimeoutError, exceptions.AmaranthflowError) as exc:
                self._failed_renewals += 1
                logs.event('renewal_failed', error=repr(exc))
                if self.ready:
                    # The store is out of reach for all calls.
                    self._stalled_since_s = None
                pause_s = _STORE_RETRY_S
                continue
            if self._resigning:
                return
            self._failed_renewals = 0
            took_s = self._clock.monotonic() - started_s
            pause_s = max(0.0, elections.RENEW_INTERVAL_S - took_s)
            if self._reads_stalled():
                self.cannot_read = True
                await self.resign()
                return

    def _renewal_timeout_s(self) -> float:
        """Returns how long a renewal may take; longer if the store is slow."""
        usual_s = _RENEWAL_TIMEOUT_RATIO * self._deps.store.slowest_s
        return min(max(_RENEWAL_TIMEOUT_S, usual_s), _MAX_RENEWAL_TIMEOUT_S)

    def _resign_timeout_s(self) -> float:
        """Returns how long a resignation may take, also by the store."""
        usual_s = _RESIGN_TIMEOUT_RATIO * self._deps.store.slowest_s
        return min(max(_RESIGN_TIMEOUT_S, usual_s), _MAX_RESIGN_TIMEOUT_S)

    def _reads_stalled(self) -> bool:
        """Returns whether reads of the store have failed for too long.

        The check follows a successful renewal, so the term would go on.
        """
        now_s = self._clock.monotonic()
        if self.ready and self._knows_evacuations():
            self._stalled_since_s = None
        elif self.ready and self._stalled_since_s is None:
            self._stalled_since_s = now_s
        if self._stalled_since_s is None:
            return False
        return now_s - self._stalled_since_s > _READ_STALL_S

    async def _renew_term(self, *, released: bool) -> None:
        """Stores a record of this term.

        :param released: the record is the last one, which ends the term.
        """
        if self._resigning and not released:
            return
        recorded = released and self._is_recorded()
        term = dataclasses.replace(
            self.term,
            released=released,
            recorded=recorded,
        )
        value = elections.encode(
            term,
            instance=term.instance,
            address=term.address,
            small=term.small,
        )
        table = ports.Table.LEADERS
        self._tenure.on_sent(self._leaders_end, self._clock.monotonic())
        try:
            offset = await self._deps.store.append(
                table,
                [(elections.KEY, value)],
                expected_end=self._leaders_end,
            )
        except ports.Conflict:
            self._leaders_end = await self._end_after_own_record()
            if released:
                # What the store has is a renewal, which keeps the term.
                await self._renew_term(released=True)
            return
        self._on_term_stored(offset)

    def _is_recorded(self) -> bool:
        handover = self.handover()
        return handover.complete and not handover.progress

    def on_leader_records(self, records: t.Iterable[ports.Record]) -> None:
        """Handles records of leaders, among them renewals of this term.

        The responses to the renewals themselves may have been lost.
        """
        for offset, term in elections.read_terms(records):
            if term.token == self.term.token:
                self._failed_renewals = 0
                self._on_term_stored(offset)

    def _on_term_stored(self, offset: int) -> None:
        """Notes that the store has a record of this term at an offset."""
        self._tenure.on_stored(offset)
        self._tokens.on_stored(offset)
        self._leaders_end = max(self._leaders_end, offset + 1)

    def _may_command(self) -> bool:
        """Returns whether runs may be started and leases renewed.

        Without the store the leader goes on as long as each worker still
        reports under its token: a newer leader uses no worker before it has
        set its own token there.
        """
        if self._resigning:
            return False
        now_s = self._clock.monotonic()
        return self._tenure.is_valid(now_s) or self.core.silence.hears_all(
            now_s
        )

    def may_start(self) -> bool:
        """Returns whether runs may be started."""
        return self._may_command() and self._knows_evacuations()

    def _knows_evacuations(self) -> bool:
        """Returns whether the operator's table was read recently enough.

        A worker executes a start command for ``START_VALID_MS``; by then no
        evacuation may be overdue that this instance has not read.
        """
        evacuate_s = self._deps.limits.evacuate_s
        if evacuate_s is None:
            return True
        max_age_s = max(
            evacuate_s - command_sender.START_VALID_MS / 1000, _MIN_TABLE_AGE_S
        )
        return self.core.evacuations.is_current(
            self._clock.monotonic(),
            max_age_s,
            self._tenure.confirmed_s,
        )

    def on_evacuations_changed(self, before: t.Iterable[ids.ZoneId]) -> None:
        """Handles that the operator's requests differ from those before.

        Does nothing during recovery, which ends with a look at all requests.
        """
        if not self.ready:
            return
        self.core.on_evacuations_changed(before, self._clock.monotonic())
        self.dispatch()
        self.request_plans()

    def _may_take_jobs(self) -> bool:
        """Returns whether jobs may be taken that the leader does not know.

        A newer leader would start them at once, on workers that still report
        to this one.
        """
        return self._is_exclusive()

    def _is_exclusive(self) -> bool:
        return self._tenure.is_exclusive(self._clock.monotonic())

    def _log_suspension(self) -> None:
        """Logs when the leader stops to send commands, or sends them again."""
        suspended = not self.may_start()
        if suspended is self._suspended:
            return
        self._suspended = suspended
        now_s = self._clock.monotonic()
        logs.event(
            'leader_suspended' if suspended else 'leader_resumed',
            token=self.term.token,
            unconfirmed_s=round(now_s - self._tenure.confirmed_s, 2),
            silent_workers=self.core.silence.count(now_s),
            unread_s=round(now_s - self.core.evacuations.read_s, 2),
        )
        if suspended:
            self._deps.meters.count('suspensions')

    async def _end_after_own_record(self) -> int:
        """Returns the table's end if no other instance has claimed.

        Raises Conflict if one has, or if this cannot be told any more.
        """
        table = ports.Table.LEADERS
        try:
            batch = await self._deps.store.read(table, self._leaders_end)
        except exceptions.OffsetExpired:
            batch = await self._deps.store.newest(table)
            if not list(elections.read_terms(batch.records)):
                raise ports.Conflict('no record of a leader is left') from None
        for _, term in elections.read_terms(batch.records):
            if term.token != self.term.token:
                raise ports.Conflict('another instance has claimed leadership')
        self.on_leader_records(batch.records)
        return batch.end

    # recovery

    async def _recover(self) -> None:
        started_s = self._clock.monotonic()
        await self._retry(self._progress_writer.open)
        progress = await self._retry(
            lambda: self._deps.store.newest(ports.Table.PROGRESS)
        )
        jobs = await self._retry(
            lambda: self._deps.store.newest(ports.Table.JOBS)
        )
        # The operator may have evacuated a zone since this instance's last
        # read, which a pause of the process can put off.
        entries, _ = await asyncio.gather(
            self._retry(lambda: self._deps.store.newest(ports.Table.WORKERS)),
            self._retry(self._deps.refresh_configuration),
        )
        # The previous leader goes on renewing leases until it is asked.
        handover = await self._request_handover()
        now_s = self._clock.monotonic()
        self._apply_worker_entries(entries, now_s)
        self._workers_end = entries.end
        self._restore(jobs, progress, handover, now_s)
        self.core.hold_unconfigured(self.core.jobs)
        self.core.on_restored(
            now_s,
            self._clock.wall_ms(),
            handover=handover,
            store_was_lost=self._store_was_lost,
        )
        self._jobs_end = jobs.end
        self.core.on_evacuations_changed((), now_s)
        for worker in list(self.core.workers.values()):
            self._start_worker_loop(worker)
        counts = self.core.counts()
        logs.event(
            'recovered',
            token=self.term.token,
            jobs=counts.jobs,
            runs=counts.copies,
            workers=counts.workers,
            handed_over=len(handover.progress) if handover else None,
            complete=handover is not None and handover.complete,
            leases_left_s=round(self.core.earlier_leases_end_s - now_s, 2),
            seconds=round(self._clock.monotonic() - started_s, 3),
        )

    async def _retry(self, call: t.Callable[[], t.Awaitable]) -> t.Any:
        while True:
            try:
                result = await call()
                self._stalled_since_s = None
                return result
            except exceptions.AmaranthflowError as exc:
                if self._stalled_since_s is None:
                    self._stalled_since_s = self._clock.monotonic()
                logs.event('recovery_stalled', error=str(exc))
                await asyncio.sleep(_STORE_RETRY_S)

    def _restore(
        self,
        jobs: ports.Batch,
        progress: ports.Batch,
        handover: takeover.Handover | None,
        now_s: float,
    ) -> None:
        progress_by_key = {
            record.key: record.value for record in progress.records
        }
        if handover is not None:
            for job_id, value in handover.progress.items():
                progress_by_key[job_id.encode('latin-1')] = value
        self._restore_tails(progress_by_key.pop(_TAILS_KEY, b''))
        self._restore_histories(progress_by_key.pop(_HISTORIES_KEY, b''))
        parts = progress_parts.take_parts(progress_by_key)
        self._restore_withdrawals(progress_by_key)
        for record in jobs.records:
            job = self._decode_job(record)
            if job is None:
                continue
            try:
                self.core.restore_job(
                    job,
                    progress_by_key.get(record.key),
                    now_s,
                    parts.get(record.key, {}),
                )
            except exceptions.InvalidRecord as exc:
                logs.event('record_set_aside', id=job.id, error=str(exc))
        self._orphans = progress_parts.orphans(parts, self.core.jobs)
        listed = {record.key for record in jobs.records}
        for key, value in progress_by_key.items():
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

    def _restore_histories(self, value: bytes) -> None:
        if not value:
            return
        try:
            count = self.core.restore_histories(value)
        except exceptions.InvalidRecord as exc:
            logs.event(
                'record_set_aside', id='worker-histories', error=str(exc)
            )
            return
        logs.event('worker_histories_restored', workers=count)

    def _restore_withdrawals(
        self, progress_by_key: dict[bytes, bytes]
    ) -> None:
        """Takes the records of withdrawn jobs out of the progress records."""
        for key, value in list(progress_by_key.items()):
            job_id = ids.JobId(key.decode('latin-1'))
            try:
                if self.core.withdrawals.restore(job_id, value):
                    del progress_by_key[key]
            except exceptions.InvalidRecord as exc:
                logs.event('record_set_aside', id=job_id, error=str(exc))

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
            if not self._may_take_jobs():
                await asyncio.sleep(_STORE_RETRY_S)
                continue
            try:
                batch = await self._deps.store.read(
                    ports.Table.JOBS, self._jobs_end, wait_ms=_JOBS_WAIT_MS
                )
            except exceptions.OffsetExpired:
                batch = await self._retry(
                    lambda: self._deps.store.newest(ports.Table.JOBS)
                )
            except exceptions.AmaranthflowError as exc:
                logs.event('jobs_read_failed', error=str(exc))
                await asyncio.sleep(_STORE_RETRY_S)
                continue
            if self._may_take_jobs():
                self._add_stored_jobs(batch)

    def _add_stored_jobs(self, batch: ports.Batch) -> None:
        self._jobs_end = max(self._jobs_end, batch.end)
        for record in batch.records:
            job = self._decode_job(record)
            if job is not None:
                self.add_stored_job(job)

    async def admit(self, job: model.Job) -> None:
        """Raises Overloaded if there is no room for a job.

        The pool may have none for its services, or this process none for
        another job. Raises NotReady for a service while the room in its pool
        is not known.
        """
        if admission.is_service(job):
            self._check_ready()
        if self.core.knows(job.id):
            return
        now_s = self._clock.monotonic()
        refusal = None
        if self.ready:
            refusal = self.core.refusal(job, now_s, self._clock.wall_ms())
        if refusal is None and self._job_memory.take(
            job, self.core.jobs, now_s
        ):
            return
        if self.ready:
            # The caller may repeat a request whose response was lost.
            await self._read_latest_jobs()
            if self.core.knows(job.id):
                return
        if refusal is not None:
            raise exceptions.Overloaded(
                'the pool has no room for the service',
                retry_after_ms=refusal.retry_after_ms,
            )
        self._deps.meters.count('jobs_refused_memory')
        raise exceptions.Overloaded(
            'too little memory for the job',
            retry_after_ms=job_memory.RETRY_AFTER_MS,
        )

    def add_stored_job(self, job: model.Job) -> None:
        """Adds a job whose record is in the store.

        Does nothing during recovery, which reads the record together with
        the job's progress, and while another instance may have been elected.
        """
        if not self.ready or not self._may_take_jobs():
            return
        if not self.core.add_job(job):
            return
        self.core.on_arrival(job, self._clock.monotonic())
        self.core.hold_unconfigured((job.id,))
        self._deps.meters.count('jobs')
        logs.event(
            'job_taken',
            id=job.id,
            queue=job.queue.id,
            tasks=sum(step.count for step in job.steps),
            age_ms=self._clock.wall_ms() - job.accepted_ms,
        )
        self._unconfigured.set()
        self.request_plans()

    async def _configuration_loop(self) -> None:
        """Reads the configuration for jobs that may need a newer version.

        Otherwise this instance could start a job of a new queue and then
        answer that there is no such queue.
        """
        while True:
            self._unconfigured.clear()
            jobs = self.core.unconfigured_jobs()
            if not jobs:
                await self._unconfigured.wait()
                continue
            try:
                await self._deps.refresh_configuration()
            except exceptions.AmaranthflowError as exc:
                logs.event(
                    'jobs_await_configuration', jobs=len(jobs), error=str(exc)
                )
                await asyncio.sleep(_STORE_RETRY_S)
                continue
            self.core.release_unconfigured(jobs)
            self.request_plans()

    async def _workers_loop(self) -> None:
        while True:
            await asyncio.sleep(_WORKERS_POLL_S)
            try:
                batch = await self._deps.store.read(
                    ports.Table.WORKERS, self._workers_end
                )
                is_complete = False
            except exceptions.OffsetExpired:
                batch = await self._retry(
                    lambda: self._deps.store.newest(ports.Table.WORKERS)
                )
                is_complete = True
            except exceptions.AmaranthflowError as exc:
                logs.event('workers_read_failed', error=str(exc))
                continue
            now_s = self._clock.monotonic()
            self._apply_worker_entries(batch, now_s)
            if is_complete:
                self._remove_unlisted(batch, now_s)
            self._workers_end = batch.end

    def _remove_unlisted(self, batch: ports.Batch, now_s: float) -> None:
        listed = {record.key.decode('latin-1') for record in batch.records}
        for worker_id in list(self.core.workers):
            if worker_id not in listed:
                self.core.on_entry_removed(worker_id, now_s)

    def _apply_worker_entries(self, batch: ports.Batch, now_s: float) -> None:
        for record in batch.records:
            worker_id = ids.WorkerId(record.key.decode('latin-1'))
            if not record.value:
                self.core.on_entry_removed(worker_id, now_s)
                continue
            entry = self._deps.decoder.worker(record.key, record.value)
            if entry is None:
                continue
            is_known = worker_id in self.core.workers
            self.core.on_entry_changed(entry, now_s)
            if not is_known and self.ready:
                self._start_worker_loop(self.core.workers[entry.id])

    def _start_worker_loop(self, worker: workers.Worker) -> None:
        assert self._group is not None
        self._group.create_task(
            self._run_guarded(lambda: self._worker_loop(worker))
        )

    # workers

    async def _worker_loop(self, worker: workers.Worker) -> None:
        """Renews the leases of one worker until the worker is removed."""
        lost = failed = False
        while True:
            if self.core.drop_worker(worker.id, self._clock.monotonic()):
                self._links.drop(worker.id)
                return
            if not worker.entry.address:
                await asyncio.sleep(_RENEWAL_PAUSE_S)
                continue
            try:
                # Without a renewal the runs of a worker whose reports cannot
                # be handled end, and may start elsewhere.
                extend = not failed
                if self._links.get(worker).connected():
                    await self._renew_leases(worker, extend=extend)
                else:
                    fleet_size = len(self.core.workers)
                    async with self._contacts.report_slot(
                        fleet_size, lost=lost
                    ):
                        await self._renew_leases(worker, extend=extend)
                if lost:
                    logs.event('worker_back', worker=worker.id)
                lost = failed = False
            except ports.CommandRefused as exc:
                if exc.refusal is ports.Refusal.STALE_TOKEN:
                    self.end_term(f'worker {worker.id} has a higher token')
                    return
                if exc.refusal is ports.Refusal.OTHER_INCARNATION:
                    self.core.on_worker_replaced(
                        worker, self._clock.monotonic(), self._clock.wall_ms()
                    )
                    self.request_plans()
                await asyncio.sleep(_RENEWAL_PAUSE_S)
            except exceptions.AmaranthflowError as exc:
                if not lost:
                    # The call alone may have been lost: it is repeated at
                    # once.
                    self._log_worker_lost(worker, exc)
                    lost = True
                    continue
                await asyncio.sleep(_RENEWAL_PAUSE_S)
            except ports.Conflict:
                raise
            except Exception as exc:
                # What one worker reports must not end the term, as the next
                # leader would read the same report.
                logs.event('report_failed', worker=worker.id, error=repr(exc))
                self._deps.meters.count('reports_failed')
                self.core.on_report_failed(worker)
                failed = True
                await asyncio.sleep(_RENEWAL_PAUSE_S)

    def _log_worker_lost(self, worker: workers.Worker, exc: Exception) -> None:
        now_s = self._clock.monotonic()
        logs.event(
            'worker_lost',
            worker=worker.id,
            runs=len(worker.attempts),
            lease_left_s=round(worker.lease_end_s - now_s, 2),
            error=str(exc),
        )
        self._deps.meters.count('workers_lost')

    async def _renew_leases(
        self, worker: workers.Worker, *, extend: bool
    ) -> None:
        """Asks a worker for a report.

        :param extend: also renew the leases of its runs if possible.
        """
        link = self._links.get(worker)
        # The first call on a connection may reach another incarnation of the
        # worker. It must neither acknowledge ends nor rely on the known clock.
        connected = (
            link.connected()
            and worker.born_ms != 0
            and not worker.restart_suspected
        )
        token = self._tokens.for_call(worker)
        sent_s = self._clock.monotonic()
        deadline_ms = None
        if connected and extend and self._may_command():
            deadline_ms = worker.min_clock_ms(sent_s) + _LEASE_MS
            worker.extend_lease(deadline_ms)
        all_stored = worker.stored_end == worker.processed_end
        wait_ms = 0
        due_s = None
        if connected and worker.fenced and all_stored:
            wait_ms = self._report_interval_ms(worker, sent_s)
            due_s = overdue_reports.due_s(worker, self.core.claims, sent_s)
        worker.unanswered += 1
        call = response_limits.within(
            wait_ms / 1000 + worker.history.response_limit_s,
            link.renew_leases(
                token=token,
                acknowledged=worker.stored_end if connected else 0,
                deadline_ms=deadline_ms,
                wait_ms=wait_ms,
            ),
        )
        try:
            if due_s is None:
                report = await call
            else:
                report, asked_s = await self._ask_again(worker, call, due_s)
                sent_s = asked_s or sent_s
        except ports.CommandRefused as exc:
            if not incarnations.is_outdated(exc, worker, token):
                raise
            return
        before = (worker.born_ms, worker.fenced)
        self.core.on_report(
            worker,
            report,
            sent_s,
            self._clock.monotonic(),
            self._clock.wall_ms(),
            token=token,
        )
        self.dispatch()
        if worker.stored_end != worker.processed_end:
            self.request_plans()
            await self._flush_briefly()
            if worker.stored_end != worker.processed_end:
                await asyncio.sleep(_RENEWAL_PAUSE_S)
        elif before != (worker.born_ms, worker.fenced):
            self.request_plans()
        if not worker.fenced and not self._tokens.can_fence(worker):
            await asyncio.sleep(_RENEWAL_PAUSE_S)

    async def _ask_again(
        self,
        worker: workers.Worker,
        call: t.Coroutine[t.Any, t.Any, ports.WorkerReport],
        due_s: float,
    ) -> tuple[ports.WorkerReport, float | None]:
        """Returns a worker's report; asks for another one if it is overdue.

        Also returns when the other one was requested, None if the first call
        has responded. The other one is used only if it lists a further end:
        the first call, which would list it too, is then given up.

        :param call: waits for the first report.
        """
        first = asyncio.get_running_loop().create_task(call)
        try:
            await asyncio.wait(
                {first}, timeout=max(0.0, due_s - self._clock.monotonic())
            )
            if first.done():
                return await first, None
            asked_s = self._clock.monotonic()
            try:
                other = await response_limits.within(
                    worker.history.response_limit_s,
                    self._links.get(worker).list_runs(worker.token),
                )
            except (exceptions.AmaranthflowError, ports.CommandRefused):
                # The first call tells the state of the worker.
                return await first, None
            if first.done() or not overdue_reports.has_news(worker, other):
                return await first, None
            self._deps.meters.count('reports_overdue')
            return other, asked_s
        finally:
            first.cancel()

    def _report_interval_ms(self, worker: workers.Worker, now_s: float) -> int:
        """Returns how long a worker may wait with its next report."""
        interval_s = report_intervals.MIN_INTERVAL_S
        # An unconfirmed leader goes on only while it hears from all workers.
        if not worker.attempts and self._tenure.is_exclusive(now_s):
            fleet_size = len(self.core.workers)
            interval_s = report_intervals.idle_interval_s(fleet_size)
        return round(1000 * interval_s)

    async def _flush_briefly(self) -> bool:
        """Waits a short time until all changes are stored.

        Returns whether they are.
        """
        try:
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self._progress_writer.flush()
        except TimeoutError:
            return False
        return True

    # commands

    def dispatch(self) -> None:
        """Sends the new commands of the scheduler."""
        new_commands = self.core.take_commands()
        if self.core.dirty:
            self._progress_writer.wake()
        for command in new_commands:
            self._spawn(self._sender.send(command))

    def _spawn(self, work: t.Coroutine) -> None:
        if self._group is None or self._ended.is_set():
            work.close()
            return

        async def run() -> None:
            await work

        self._group.create_task(self._run_guarded(run))

    # decisions

    async def _tick_loop(self) -> None:
        while True:
            due_s = self._clock.monotonic() + _TICK_S
            await asyncio.sleep(_TICK_S)
            now_s = self._clock.monotonic()
            self._load.on_timer(now_s - due_s)
            self._log_suspension()
            self.core.tick(now_s, self._clock.wall_ms())
            self.dispatch()
            # Backoffs of workers end and occurrences of jobs come due.
            self.request_plans()

    async def _plan_loop(self) -> None:
        await self._plan_repeatedly(self._replan, self.core.plan, 'plan')

    async def _plan_opportunistic_loop(self) -> None:
        """Plans apart from other work, which must not wait for it."""
        await self._plan_repeatedly(
            self._replan_opportunistic,
            self.core.plan_opportunistic,
            'plan_opportunistic',
        )

    async def _plan_repeatedly(
        self,
        wanted: asyncio.Event,
        plan: t.Callable[[float, int], None],
        name: str,
    ) -> None:
        took_s = 0.0
        while True:
            await wanted.wait()
            await asyncio.sleep(max(_PLAN_DELAY_S, _PLAN_PAUSE_RATIO * took_s))
            wanted.clear()
            if not self.may_start():
                continue
            started_s = self._clock.monotonic()
            plan(started_s, self._clock.wall_ms())
            took_s = self._clock.monotonic() - started_s
            self._deps.meters.observe(name, took_s)
            self._load.on_plan(name, took_s)
            self.dispatch()

    def request_plans(self) -> None:
        """Lets the loops of plans look for what can start now."""
        self._replan.set()
        self._replan_opportunistic.set()

    async def _load_loop(self) -> None:
        while True:
            await asyncio.sleep(_LOAD_INTERVAL_S)
            self._load.report(
                self.core.workers.values(), self.core.waiting_steps()
            )

    async def _advice_loop(self) -> None:
        """Sends the queries for the adviser, one at a time."""
        pause_s = _ADVICE_RETRY_S
        while True:
            query = self.core.advice.next_query(self._clock.monotonic())
            if query is None:
                await asyncio.sleep(_ADVICE_POLL_S)
                continue
            if await self._ask_adviser(query):
                pause_s = _ADVICE_RETRY_S
                self.request_plans()
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, _MAX_ADVICE_RETRY_S)

    async def _ask_adviser(self, query: advice.Query) -> bool:
        """Sends a query; returns whether the adviser has answered it."""
        incarnations = {
            worker_id: self.core.workers[worker_id].born_ms
            for worker_id in query.workers
            if worker_id in self.core.workers
        }
        asked_s = self._clock.monotonic()
        step = query.step
        try:
            tickets, valid_ms = await self._deps.adviser.advise(
                step.job,
                step.occurrence,
                step.step,
                query.workers,
                limit_s=query.limit_s,
            )
        except exceptions.AmaranthflowError as exc:
            now_s = self._clock.monotonic()
            if isinstance(exc, exceptions.PlatformUncertain):
                self.core.advice.on_no_response(query, asked_s, now_s)
            else:
                self.core.advice.on_failed()
            logs.event(
                'advice_unanswered',
                id=step.job,
                asked=len(query.workers),
                after_ms=round(1000 * (now_s - asked_s)),
                error=str(exc),
            )
            return False
        now_s = self._clock.monotonic()
        logs.event(
            'advice',
            id=step.job,
            step=f'{step.occurrence}.{step.step}',
            asked=len(query.workers),
            good=len(tickets),
            valid_ms=valid_ms,
            ms=round(1000 * (now_s - asked_s)),
        )
        self.core.advice.on_response(
            query,
            tickets,
            incarnations,
            sent_s=asked_s,
            now_s=now_s,
            valid_ms=valid_ms,
        )
        return True

    async def _cleanup_loop(self) -> None:
        obsolete: set[ids.JobId] = set()
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            counts = self.core.counts()
            exposed = self.core.colocation.exposure.counts()
            for name, value in (counts._asdict() | exposed._asdict()).items():
                self._deps.meters.gauge(name, value)
            await self._record_lessons()
            obsolete.update(self.core.retire_jobs())
            old = self.core.expired_jobs(self._clock.wall_ms())
            obsolete.update(old)
            keys = {job_id.encode() for job_id in obsolete}
            if await self._delete_records(ports.Table.JOBS, keys):
                obsolete.clear()
                keys = self._orphans.union(job_id.encode() for job_id in old)
                if await self._delete_records(ports.Table.PROGRESS, keys):
                    self._orphans = set()
                    self.core.forget_jobs(old)

    async def _record_lessons(self) -> None:
        """Stores what was learned of tails and workers.

        Its loss is harmless.
        """
        items = [
            (_TAILS_KEY, self.core.tail_model.encode()),
            (_HISTORIES_KEY, self.core.encode_histories()),
        ]
        try:
            await self._deps.store.append(ports.Table.PROGRESS, items)
        except exceptions.AmaranthflowError as exc:
            logs.event('lessons_not_recorded', error=str(exc))

    async def _delete_records(
        self, table: ports.Table, keys: t.Collection[bytes]
    ) -> bool:
        """Deletes records.

        Returns False if the store may still have them.
        """
        if not keys:
            return True
        items = [(key, b'') for key in keys]
        try:
            await self._deps.store.append(table, items)
        except exceptions.AmaranthflowError as exc:
            logs.event('records_not_dropped', error=str(exc))
            return False
        return True

    # queries of callers

    async def state(self, job_id: ids.JobId) -> model.JobState | None:
        """Returns a job's state, None for an unknown job.

        Raises NotReady if the leader is not ready or cannot check whether
        the store has a job that is unknown here.
        """
        self._check_ready()
        if not self.core.knows(job_id):
            await self._read_latest_jobs()
        return self.core.state(job_id)

    async def cancel(self, job_id: ids.JobId) -> bool:
        """Cancels a job; returns False for an unknown one.

        The store may still be about to store an unknown job, so that its
        cancellation is recorded as well.

        Raises NotReady if the leader is not ready or cannot check whether
        the store has a job that is unknown here.
        """
        self._check_ready()
        if not self.core.knows(job_id):
            await self._read_latest_jobs()
        known = self.core.cancel(job_id, self._clock.wall_ms())
        self.dispatch()
        await self._progress_writer.flush()
        return known

    async def _read_latest_jobs(self) -> None:
        """Reads the jobs that other instances have stored so far."""
        try:
            batch = await self._deps.store.read(
                ports.Table.JOBS, self._jobs_end
            )
        except exceptions.AmaranthflowError as exc:
            reason = f'cannot read the newest jobs: {exc}'
            raise exceptions.NotReady(reason) from exc
        # If the term has ended during the read, the jobs would be ignored.
        self._check_ready()
        if not self._may_take_jobs():
            raise exceptions.NotReady('the leadership is not confirmed')
        self._add_stored_jobs(batch)

    def pending_count(self, queue: model.QueueId) -> int:
        """Returns how many jobs of a queue have not had a run yet.

        Raises NotReady.
        """
        self._check_ready()
        return self.core.pending_count(queue)

    def _check_ready(self) -> None:
        if not self.ready or self._ended.is_set():
            raise exceptions.NotReady('the leader is not ready')
