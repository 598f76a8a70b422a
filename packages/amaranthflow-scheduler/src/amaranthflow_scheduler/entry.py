"""Callers' requests at any instance.

An instance stores a job itself and asks the leader about states. Where its
own way to the store fails, the leader stores the job for it.
"""

import asyncio
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import jobrecord
from . import leader as leader_lib
from . import logs
from . import metrics
from . import model
from . import ports
from . import submissions

# A new leader is there about this long after the old one is lost.
RETRY_AFTER_MS = 2_000
_ASK_S = 0.6
_ASK_RETRY_S = 0.1
# How long a question waits for a leader before the caller is told to return.
_PATIENCE_S = 1.2
# After a failed append the leader's way to the store is tried first.
_DETOUR_S = 2.0


class Peers(t.Protocol):
    """The leader as this instance knows it."""

    def local(self) -> leader_lib.Leader | None:
        """Returns the leader if this instance leads."""

    async def ask(self, name: str, message: dict, limit_s: float) -> dict:
        """Calls the leader. Raises NotReady and platform errors."""


class Entry:
    """Hands jobs in and answers for them."""

    def __init__(
        self,
        *,
        store: ports.Store,
        peers: Peers,
        clock: clock_lib.Clock,
        meters: metrics.Metrics,
    ):
        self._submissions = submissions.Submissions(store=store)
        self._peers = peers
        self._clock = clock
        self._meters = meters
        self._detour_until_s = 0.0

    async def submit(self, job: model.Job) -> None:
        """Returns once the job is stored.

        Raises NotReady where it is not and never will be, RequestUncertain
        where it may be; the same job may then be handed in again.
        """
        value = jobrecord.encode(job)
        begun_s = self._clock.monotonic()
        ways = [self._store_here, self._store_by_leader]
        if begun_s < self._detour_until_s:
            ways.reverse()
        certain = True
        reasons = []
        for way in ways:
            try:
                await way(job, value)
            except exceptions.AmaranthflowError as exc:
                reasons.append(str(exc))
                if isinstance(exc, exceptions.PlatformUncertain):
                    certain = False
                continue
            took_s = self._clock.monotonic() - begun_s
            self._meters.observe('accept', took_s)
            logs.event(
                'job_accepted',
                id=job.id,
                queue=job.queue.id,
                way=way.__name__.strip('_'),
                ms=round(took_s * 1000),
            )
            return
        self._meters.count('jobs_refused' if certain else 'jobs_uncertain')
        logs.event(
            'job_not_accepted', id=job.id, certain=certain, reasons=reasons
        )
        reason = '; '.join(reasons)
        if certain:
            raise exceptions.NotReady(reason, retry_after_ms=RETRY_AFTER_MS)
        raise exceptions.RequestUncertain(reason)

    async def _store_here(self, job: model.Job, value: bytes) -> None:
        try:
            await self._submissions.append(job.id.encode(), value)
        except exceptions.AmaranthflowError:
            self._detour_until_s = self._clock.monotonic() + _DETOUR_S
            raise
        local = self._peers.local()
        if local is not None:
            local.take_job(job)

    async def _store_by_leader(self, job: model.Job, value: bytes) -> None:
        if self._peers.local() is not None:
            raise exceptions.PlatformError('this instance leads')
        message = {'id': job.id, 'record': value.decode()}
        try:
            answer = await self._peers.ask('accept', message, _ASK_S)
        except exceptions.NotReady as exc:
            raise exceptions.PlatformError(exc.reason) from exc
        if answer.get('stored'):
            return
        reason = f'the leader did not store it: {answer.get("reason")}'
        if answer.get('certain'):
            raise exceptions.PlatformError(reason)
        raise exceptions.PlatformUncertain(reason)

    async def accept(self, message: dict) -> dict:
        """Stores a job for another instance."""
        job_id = ids.JobId(str(message['id']))
        value = str(message['record']).encode()
        job = jobrecord.decode(job_id, value)
        try:
            await self._store_here(job, value)
        except exceptions.AmaranthflowError as exc:
            certain = not isinstance(exc, exceptions.PlatformUncertain)
            return {'stored': False, 'certain': certain, 'reason': str(exc)}
        logs.event('job_accepted', id=job.id, way='for_peer')
        return {'stored': True}

    async def state(self, job_id: ids.JobId) -> model.JobState | None:
        """Returns a job's state, None for an unknown one. Raises NotReady."""

        def here(local: leader_lib.Leader) -> dict:
            state = local.state(job_id)
            return {'state': state.value if state is not None else None}

        answer = await self._ask('state', {'id': job_id}, here)
        state = answer['state']
        return model.JobState(state) if state else None

    async def cancel(self, job_id: ids.JobId) -> bool:
        """Cancels a job; False for an unknown one. Raises NotReady."""

        async def here(local: leader_lib.Leader) -> dict:
            async with asyncio.timeout(_ASK_S):
                return {'known': await local.cancel(job_id)}

        answer = await self._ask('cancel', {'id': job_id}, here)
        return bool(answer['known'])

    async def pending_count(self, queue: model.QueueId) -> int:
        """Returns how many jobs of a queue have had no run."""

        def here(local: leader_lib.Leader) -> dict:
            return {'count': local.pending_count(queue)}

        answer = await self._ask('count', {'queue': queue}, here)
        return int(answer['count'])

    async def _ask(
        self, name: str, message: dict, here: t.Callable[..., t.Any]
    ) -> dict:
        """Asks the leader, again while there is none or it changes."""
        end_s = self._clock.monotonic() + _PATIENCE_S
        while True:
            try:
                local = self._peers.local()
                if local is None:
                    return await self._peers.ask(name, message, _ASK_S)
                answer = here(local)
                return await answer if asyncio.iscoroutine(answer) else answer
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
            await asyncio.sleep(_ASK_RETRY_S)
