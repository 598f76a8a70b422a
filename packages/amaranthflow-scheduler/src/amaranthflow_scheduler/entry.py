"""Callers' requests at any instance.

The leader stores jobs and tells their states. Where the leader does not
answer, an instance stores a job itself.
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
# The leader stores a job within a few ms. When it takes longer, the leader is
# asked whether it is there.
_HEDGE_S = 0.12
# No further way is tried later than this: it would only add to the load of a
# slow store.
_LAST_START_S = 0.45
# A caller learns after this time that its job's fate is unknown. The leader
# gives up sooner unless the store is slow; then an append and the one before
# it take about a second.
_ACCEPT_S = 1.8
# Share of the caller's patience that one try may take.
_PATIENCE_SHARE = 0.45
# Callers that do not say how long they wait.
_USUAL_PATIENCE_S = 4.0
_ASK_RETRY_S = 0.1
# How long a question waits for a leader before the caller is told to return.
_PATIENCE_S = 1.2


class Peers(t.Protocol):
    """The leader as this instance knows it."""

    def local(self) -> leader_lib.Leader | None:
        """Returns the leader if this instance leads."""

    def store_lost(self) -> bool:
        """Tells whether the store did not answer the last read."""

    async def leads(self) -> bool:
        """Asks the leader whether it is there and still leads."""

    async def ask(self, name: str, message: dict, limit_s: float) -> dict:
        """Calls the leader. Raises NotReady and platform errors."""


class _Outcome:
    """What came of the ways to store a job.

    :ivar way: the way on which it is stored, empty if none.
    :ivar certain: it is not stored and never will be.
    """

    def __init__(self):
        self.way = ''
        self.certain = True
        self.reasons: list[str] = []

    def take(self, way: str, task: asyncio.Task) -> None:
        """Takes the end of one way."""
        exc = task.exception()
        if exc is None:
            self.way = way
            return
        self.reasons.append(f'{way}: {exc}')
        if not isinstance(exc, exceptions.AmaranthflowError):
            raise exc
        if isinstance(exc, exceptions.PlatformUncertain):
            self.certain = False

    def overdue(self, ways: list[str]) -> None:
        """Takes ways that have no answer yet."""
        self.certain = False
        self.reasons.extend(f'{way}: no answer yet' for way in ways)


def _forget(task: asyncio.Task) -> None:
    """Notes the end of a way that nobody waits for any longer."""
    if not task.cancelled() and task.exception() is not None:
        logs.event('way_failed_late', error=str(task.exception()))


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

    async def submit(
        self, job: model.Job, *, patience_s: float = _USUAL_PATIENCE_S
    ) -> None:
        """Returns once the job is stored.

        :param patience_s: how long the caller waits for an answer; it gets
            one soon enough to ask again.

        Raises NotReady where it is not and never will be, RequestUncertain
        where it may be; the same job may then be handed in again.
        """
        value = jobrecord.encode(job)
        begun_s = self._clock.monotonic()
        limit_s = min(_ACCEPT_S, _PATIENCE_SHARE * patience_s)
        outcome = await self._try_ways(job, value, limit_s)
        took_s = self._clock.monotonic() - begun_s
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
        certain = outcome.certain
        self._meters.count('jobs_refused' if certain else 'jobs_uncertain')
        logs.event(
            'job_not_accepted',
            id=job.id,
            certain=certain,
            reasons=outcome.reasons,
            ms=round(took_s * 1000),
        )
        reason = '; '.join(outcome.reasons)
        if certain:
            raise exceptions.NotReady(reason, retry_after_ms=RETRY_AFTER_MS)
        raise exceptions.RequestUncertain(reason)

    async def _try_ways(
        self, job: model.Job, value: bytes, limit_s: float
    ) -> '_Outcome':
        """Tries the leader's way, and the own one where it fails.

        The leader stores the jobs of all instances by few appends, which
        matters most while the store is slow. A leader that is silent is
        asked whether it still leads; while it does, it is waited for.
        Storing a job twice is harmless, so both ways may be under way.
        """
        outcome = _Outcome()
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        end_s = begun_s + limit_s
        ways = [self._store_by_leader, self._store_here]
        if self._peers.local() is not None:
            ways = [self._store_here]
        pending: dict[asyncio.Task, str] = {}
        while ways or pending:
            if ways and (not pending or not await self._peers.leads()):
                way = ways.pop(0)
                name = way.__name__.strip('_')
                pending[loop.create_task(way(job, value))] = name
            wait_s = _HEDGE_S if ways else max(0.0, end_s - loop.time())
            done, _ = await asyncio.wait(
                pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                outcome.take(pending.pop(task), task)
            if outcome.way:
                break
            if loop.time() - begun_s > _LAST_START_S:
                ways.clear()
            if not done and loop.time() >= end_s:
                outcome.overdue(list(pending.values()))
                break
        for task in pending:
            task.add_done_callback(_forget)
        return outcome

    async def _store_here(self, job: model.Job, value: bytes) -> None:
        if self._peers.store_lost():
            raise exceptions.PlatformError('the store is away')
        await self._submissions.append(job.id.encode(), value)
        local = self._peers.local()
        if local is not None:
            local.take_job(job)

    async def _store_by_leader(self, job: model.Job, value: bytes) -> None:
        message = {'id': job.id, 'record': value.decode()}
        try:
            answer = await self._peers.ask('accept', message, _ACCEPT_S)
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

        async def here(local: leader_lib.Leader) -> dict:
            state = await local.state(job_id)
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
