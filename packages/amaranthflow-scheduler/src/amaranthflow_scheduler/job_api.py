"""Job API of an instance: submit, query and cancel jobs.

The leader stores jobs and reports their states. If the leader does not
respond, the instance stores a job itself.
"""

import asyncio
import collections
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import admission
from . import job_memory
from . import jobrecord
from . import leader as leader_lib
from . import logs
from . import metrics
from . import model
from . import store_health
from . import submissions

# A new leader is ready about this long after the loss of the old one.
RETRY_AFTER_MS = 2_000
_QUERY_TIMEOUT_S = 0.6
# The leader stores a job within a few ms. After this time the instance checks
# whether the leader still leads.
_HEDGE_DELAY_S = 0.12
# No further way is tried after this time: it would only add load to a slow
# store.
_MAX_HEDGE_START_S = 0.45
# After this time the caller gets the response that the outcome is unknown. The
# leader gives up earlier unless the store is slow; then an append and the one
# queued before it take about a second.
_ACCEPT_TIMEOUT_S = 1.8
# Share of the caller's timeout that one attempt may take.
_CLIENT_TIMEOUT_SHARE = 0.45
# For callers that do not specify a timeout.
_DEFAULT_CLIENT_TIMEOUT_S = 4.0
# An append without a response may still take effect within this time.
_LATE_APPEND_S = 10.0
_QUERY_RETRY_S = 0.1
# What a record has beside its key and its value, and some more.
_RECORD_HEAD_BYTES = 16
# An operator has to change the settings first.
_NO_ADVISER_RETRY_MS = 30_000
# Pause before a service is offered to the leader again, which may be new.
_ADMISSION_RETRY_S = 0.1
# How long a query waits for a leader before the caller has to retry.
_MAX_QUERY_S = 1.2


class LeaderAccess(t.Protocol):
    """Access to the leader from this instance."""

    def local_leader(self) -> leader_lib.Leader | None:
        """Returns the leader if this instance leads."""

    async def leader_alive(self) -> bool:
        """Asks the leader whether it still leads; False without response."""

    async def call_leader(
        self, name: str, message: dict, timeout_s: float
    ) -> dict:
        """Calls the leader. Raises NotReady and platform errors."""


class _SubmitOutcome:
    """Outcome of the attempts to store a job.

    :ivar way: the way that stored the job, empty if none did.
    :ivar certain: if no way stored the job, True means that it was not and
        will not be stored, False that it may be.
    :ivar retry_after_ms: when to submit again, if there is no room for the
        job; otherwise None.
    :ivar reasons: the failures, one for each way.
    """

    def __init__(self):
        self.way = ''
        self.certain = True
        self.retry_after_ms: int | None = None
        self.reasons: list[str] = []

    def record(self, way: str, task: asyncio.Task) -> None:
        """Records the result of one way."""
        exc = task.exception()
        if exc is None:
            self.way = way
            return
        self.reasons.append(f'{way}: {exc}')
        if not isinstance(exc, exceptions.AmaranthflowError):
            raise exc
        if isinstance(exc, exceptions.Overloaded):
            self.retry_after_ms = exc.retry_after_ms
        if isinstance(exc, exceptions.PlatformUncertain):
            self.certain = False

    def record_pending(self, ways: list[str]) -> None:
        """Records ways without a response as uncertain."""
        self.certain = False
        self.reasons.extend(f'{way}: no answer yet' for way in ways)


def _log_late_failure(task: asyncio.Task) -> None:
    """Logs the failure of a way after the caller got its response."""
    if not task.cancelled() and task.exception() is not None:
        logs.event('late_store_failure', error=str(task.exception()))


class JobApi:
    """Handles jobs for callers of this instance.

    :param has_adviser: whether jobs of queues that need advice can start.
    :param max_record_bytes: size of the largest record that the store accepts.
    :param max_call_bytes: size of the largest append that it accepts.
    """

    def __init__(
        self,
        *,
        store: store_health.ObservedStore,
        leader_access: LeaderAccess,
        clock: clock_lib.Clock,
        meters: metrics.Metrics,
        max_pending_bytes: int,
        has_adviser: bool,
        max_record_bytes: int,
        max_call_bytes: int,
    ):
        self._store = store
        self._pending = job_memory.PendingJobs(max_bytes=max_pending_bytes)
        self._submissions = submissions.Submissions(
            store=store, call_bytes=max_call_bytes
        )
        self._max_record_bytes = max_record_bytes
        self._leader_access = leader_access
        self._clock = clock
        self._meters = meters
        self._has_adviser = has_adviser
        self._maybe_stored: dict[ids.JobId, float] = {}
        self._appending: collections.Counter[ids.JobId] = collections.Counter()

    async def submit(
        self,
        job: model.Job,
        *,
        client_timeout_s: float = _DEFAULT_CLIENT_TIMEOUT_S,
    ) -> None:
        """Stores a job; returns once it is stored.

        :param client_timeout_s: how long the caller waits for a
            response, which comes early enough to allow a retry.

        Raises NotReady or Overloaded if the job was not and will not be
        stored, and RequestUncertain if it may be. The caller may submit the
        same job again in all cases.
        """
        if job.queue.advised and not self._has_adviser:
            if not self._may_be_stored(job.id):
                raise exceptions.NotReady(
                    f'queue {job.queue.id} needs an adviser, and the settings '
                    f'name none',
                    retry_after_ms=_NO_ADVISER_RETRY_MS,
                )
        with self._pending.hold(job):
            await self._submit(job, client_timeout_s)

    async def _submit(self, job: model.Job, client_timeout_s: float) -> None:
        value = jobrecord.encode(job)
        size = len(job.id) + len(value) + _RECORD_HEAD_BYTES
        if size > self._max_record_bytes:
            raise exceptions.RequestRefused(
                f'the record of the job takes {size} bytes; '
                f'the maximum is {self._max_record_bytes}'
            )
        started_s = self._clock.monotonic()
        timeout_s = min(
            _ACCEPT_TIMEOUT_S, _CLIENT_TIMEOUT_SHARE * client_timeout_s
        )
        store = self._store_by_any_way
        if admission.is_service(job):
            store = self._store_admitted
        outcome = await store(job, value, timeout_s)
        took_s = self._clock.monotonic() - started_s
        if outcome.way:
            self._meters.observe('accept', took_s)
            logs.event(
                'job_accepted',
                id=job.id,
                queue=job.queue.id,
                way=outcome.way,
                ms=round(took_s * 1000),
            )
            return
        certain = outcome.certain and not self._may_be_stored(job.id)
        self._meters.count('jobs_refused' if certain else 'jobs_uncertain')
        logs.event(
            'job_not_accepted',
            id=job.id,
            certain=certain,
            reasons=outcome.reasons,
            ms=round(took_s * 1000),
        )
        reason = '; '.join(outcome.reasons)
        if certain and outcome.retry_after_ms is not None:
            raise exceptions.Overloaded(
                reason, retry_after_ms=outcome.retry_after_ms
            )
        if certain:
            raise exceptions.NotReady(
                reason, retry_after_ms=self._retry_after_ms()
            )
        raise exceptions.RequestUncertain(reason)

    def _retry_after_ms(self) -> int:
        if self._store.away:
            return self._store.retry_after_ms
        return RETRY_AFTER_MS

    async def _store_admitted(
        self, job: model.Job, value: bytes, timeout_s: float
    ) -> _SubmitOutcome:
        """Stores a job with services once a leader has looked at the room.

        While the leader changes the request waits for the next one, for as
        long as its caller can still repeat it.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while True:
            left_s = end_s - loop.time()
            outcome = await self._store_by_any_way(job, value, left_s)
            if outcome.way or not outcome.certain:
                return outcome
            if outcome.retry_after_ms is not None or self._store.away:
                return outcome
            if loop.time() + _ADMISSION_RETRY_S >= end_s:
                return outcome
            await asyncio.sleep(_ADMISSION_RETRY_S)

    async def _store_by_any_way(
        self, job: model.Job, value: bytes, timeout_s: float
    ) -> '_SubmitOutcome':
        """Stores a job through the leader, or directly if that fails.

        The leader stores the jobs of all instances with few appends, which
        matters most while the store is slow. If the leader does not respond
        in time, the instance checks whether it still leads and stores the job
        itself only if it does not.
        Storing a job twice is harmless, so both ways may run concurrently.
        """
        outcome = _SubmitOutcome()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        end_s = started_s + timeout_s
        ways = [self._store_by_leader, self._store_here]
        if self._leader_access.local_leader() is not None:
            ways = [self._store_here]
        pending: dict[asyncio.Task, str] = {}
        while ways or pending:
            if ways and (
                not pending or not await self._leader_access.leader_alive()
            ):
                way = ways.pop(0)
                name = way.__name__.strip('_')
                pending[loop.create_task(way(job, value))] = name
            wait_s = _HEDGE_DELAY_S if ways else max(0.0, end_s - loop.time())
            done, _ = await asyncio.wait(
                pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                outcome.record(pending.pop(task), task)
            if outcome.way:
                break
            if outcome.retry_after_ms is not None:
                ways.clear()
            if loop.time() - started_s > _MAX_HEDGE_START_S:
                ways.clear()
            if not done and loop.time() >= end_s:
                outcome.record_pending(list(pending.values()))
                break
        for task in pending:
            task.add_done_callback(_log_late_failure)
        return outcome

    async def _store_here(self, job: model.Job, value: bytes) -> None:
        if self._store.away:
            raise exceptions.PlatformError('the store is away')
        if not self._may_be_stored(job.id):
            await self._admit(job)
        await self._append(job.id, value)
        local = self._leader_access.local_leader()
        if local is not None:
            local.add_stored_job(job)

    async def _admit(self, job: model.Job) -> None:
        """Raises Overloaded or NotReady if a job may not be stored.

        Raises NotReady for a service without a leader that knows the room.
        """
        local = self._leader_access.local_leader()
        if local is not None:
            await local.admit(job)
        elif admission.is_service(job):
            raise exceptions.NotReady('no leader looks at the room for it')

    async def _append(self, job_id: ids.JobId, value: bytes) -> None:
        self._appending[job_id] += 1
        try:
            await self._submissions.append(job_id.encode(), value)
        except exceptions.PlatformUncertain:
            self._maybe_stored[job_id] = self._clock.monotonic()
            raise
        finally:
            self._appending[job_id] -= 1
            if not self._appending[job_id]:
                del self._appending[job_id]

    def _may_be_stored(self, job_id: ids.JobId) -> bool:
        """Returns whether an append of a job may still take effect."""
        now_s = self._clock.monotonic()
        self._maybe_stored = {
            key: failed_s
            for key, failed_s in self._maybe_stored.items()
            if now_s - failed_s < _LATE_APPEND_S
        }
        return job_id in self._appending or job_id in self._maybe_stored

    async def _store_by_leader(self, job: model.Job, value: bytes) -> None:
        message = {'id': job.id, 'record': value.decode()}
        try:
            response = await self._leader_access.call_leader(
                'accept', message, _ACCEPT_TIMEOUT_S
            )
        except exceptions.NotReady as exc:
            raise exceptions.PlatformError(exc.reason) from exc
        if response.get('stored'):
            return
        reason = f'the leader did not store it: {response.get("reason")}'
        if response.get('retry_after_ms'):
            raise exceptions.Overloaded(
                reason, retry_after_ms=int(response['retry_after_ms'])
            )
        if response.get('certain'):
            raise exceptions.PlatformError(reason)
        raise exceptions.PlatformUncertain(reason)

    async def accept(self, message: dict) -> dict:
        """Stores a job for another instance."""
        job_id = ids.JobId(str(message['id']))
        value = str(message['record']).encode()
        try:
            job = jobrecord.decode(job_id, value)
        except exceptions.InvalidRecord as exc:
            logs.event('record_refused', id=job_id, error=str(exc))
            return {
                'stored': False,
                'certain': not self._may_be_stored(job_id),
                'reason': str(exc),
                # No leader of this version could take the job.
                'retry_after_ms': RETRY_AFTER_MS,
            }
        try:
            with self._pending.hold(job):
                await self._store_here(job, value)
        except exceptions.AmaranthflowError as exc:
            certain = not isinstance(exc, exceptions.PlatformUncertain)
            certain = certain and not self._may_be_stored(job_id)
            response = {'stored': False, 'certain': certain}
            response['reason'] = str(exc)
            if isinstance(exc, exceptions.Overloaded):
                response['retry_after_ms'] = exc.retry_after_ms
            return response
        logs.event('job_accepted', id=job.id, way='for_peer')
        return {'stored': True}

    async def state(self, job_id: ids.JobId) -> model.JobState | None:
        """Returns a job's state, None if unknown.

        Raises NotReady, also for an unknown job that may still be stored.
        """

        async def ask_local(local: leader_lib.Leader) -> dict:
            return await self.look_up(local, job_id)

        response = await self._query_leader('state', {'id': job_id}, ask_local)
        if response['state']:
            return model.JobState(response['state'])
        if not response.get('withdrawn') and (
            response.get('may_be_stored') or self._may_be_stored(job_id)
        ):
            raise exceptions.NotReady(
                f'job {job_id} may still be stored',
                retry_after_ms=RETRY_AFTER_MS,
            )
        return None

    async def look_up(
        self, leader: leader_lib.Leader, job_id: ids.JobId
    ) -> dict:
        """Returns what this instance, which leads, knows of a job.

        Raises NotReady.
        """
        state = await leader.state(job_id)
        if state is not None:
            return {'state': state.value}
        return {
            'state': None,
            'withdrawn': job_id in leader.core.withdrawals,
            'may_be_stored': self._may_be_stored(job_id),
        }

    async def cancel(self, job_id: ids.JobId) -> bool:
        """Cancels a job; returns False if unknown. Raises NotReady."""

        async def ask_local(local: leader_lib.Leader) -> dict:
            async with asyncio.timeout(_QUERY_TIMEOUT_S):
                return {'known': await local.cancel(job_id)}

        response = await self._query_leader(
            'cancel', {'id': job_id}, ask_local
        )
        return bool(response['known'])

    async def pending_count(self, queue: model.QueueId) -> int:
        """Returns how many jobs of a queue have not had a run yet.

        Raises NotReady.
        """

        def ask_local(local: leader_lib.Leader) -> dict:
            return {'count': local.pending_count(queue)}

        response = await self._query_leader(
            'count', {'queue': queue}, ask_local
        )
        return int(response['count'])

    async def _query_leader(
        self, name: str, message: dict, ask_local: t.Callable[..., t.Any]
    ) -> dict:
        """Queries the leader; retries while there is none or it changes.

        Raises NotReady after ``_MAX_QUERY_S`` seconds.
        """
        end_s = self._clock.monotonic() + _MAX_QUERY_S
        while True:
            try:
                local = self._leader_access.local_leader()
                if local is None:
                    return await self._leader_access.call_leader(
                        name, message, _QUERY_TIMEOUT_S
                    )
                result = ask_local(local)
                return await result if asyncio.iscoroutine(result) else result
            except (exceptions.AmaranthflowError, TimeoutError) as exc:
                if self._clock.monotonic() > end_s:
                    self._meters.count('questions_unanswered')
                    logs.event(
                        'question_unanswered',
                        id=message.get('id'),
                        question=name,
                        error=str(exc),
                    )
                    raise exceptions.NotReady(
                        f'no leader answers: {exc}',
                        retry_after_ms=RETRY_AFTER_MS,
                    ) from exc
            await asyncio.sleep(_QUERY_RETRY_S)
