"""One instance: follows the store, leads if elected, serves callers."""

import asyncio
import dataclasses
import hashlib
import typing as t

import msgspec

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import elections
from . import evacuations
from . import hedging
from . import job_api as job_api_lib
from . import job_memory
from . import leader as leader_lib
from . import leader_search
from . import logs
from . import metrics
from . import model
from . import ports
from . import scheduler
from . import store_health
from . import takeover

_WAIT_MS = 1_000
# A little longer than LEADER_PROBE_AFTER_S, so that one read without records
# proves that much silence.
_LEADERS_WAIT_MS = 700
_RETRY_S = 0.25
# While the store is unavailable, a read is sent this often without waiting for
# the previous ones, which may never get a response.
_PROBE_INTERVAL_S = 0.2
_PROBES = 4
_PROBE_PAUSE_S = 0.1
# Timeout of calls to other instances; a live one responds within a few ms.
_PEER_TIMEOUT_S = 0.2
# A leader whose store is away may have some 100 KB to hand over.
_HANDOVER_TIMEOUT_S = 0.3
# Spread of the times at which instances claim, so that few claims conflict.
_CLAIM_SPREAD_S = 0.25
# An instance that reaches neither the store nor the leader for this long is
# not ready.
_READY_WITHIN_S = 3.0
# Workers whose entries expired while the store was unavailable are listed
# again within this time.
_RELIST_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Name and size of this instance and its address for other instances.

    :ivar seeds: addresses of other instances; some may be out of date.
    """

    instance: ids.InstanceId
    address: str
    seeds: tuple[str, ...]
    size: elections.Size = elections.Size()


class Node:
    """An instance of the scheduler: election, leadership and job API."""

    def __init__(
        self,
        *,
        identity: Identity,
        store: ports.Store,
        link_factory: ports.WorkerLinkFactory,
        decoder: ports.Decoder,
        adviser: ports.Adviser,
        peer_client: ports.PeerClient,
        clock: clock_lib.Clock,
        limits: scheduler.Limits,
        meters: metrics.Metrics,
    ):
        self.meters = meters
        self.cfg: model.Configuration | None = None
        self.leader: leader_lib.Leader | None = None
        self.stopping = False
        self._identity = identity
        self._store = store_health.ObservedStore(
            store=store, clock=clock, meters=meters
        )
        self._peer_client = peer_client
        self._decoder = decoder
        self._clock = clock
        self._deps = leader_lib.Dependencies(
            store=self._store,
            link_factory=link_factory,
            decoder=decoder,
            adviser=adviser,
            clock=clock,
            meters=meters,
            limits=limits,
            refresh_configuration=self._refresh_configuration,
        )
        spread = hashlib.sha256(identity.instance.encode()).digest()[0] / 255
        timeout_s = elections.LEADER_TIMEOUT_S + spread * _CLAIM_SPREAD_S
        self._observer = elections.Observer(
            instance=identity.instance,
            timeout_s=timeout_s,
            claim_delay_s=identity.size.claim_delay_s,
        )
        self.job_api = job_api_lib.JobApi(
            store=self._store,
            leader_access=self,
            clock=clock,
            meters=meters,
            max_pending_bytes=job_memory.pending_share_of(limits.jobs_bytes),
            has_adviser=adviser.available,
            max_record_bytes=limits.record_bytes,
            max_call_bytes=limits.call_bytes,
        )
        self.evacuations = evacuations.Evacuations()
        self._configured = asyncio.Event()
        self._configuration_end: int | None = None
        self._last_contact_s = float('-inf')
        self._store_unavailable = False
        self._leader_search = leader_search.LeaderSearch()
        self._lost_s = float('-inf')
        self._tasks: list[asyncio.Task] = []
        self._term_task: asyncio.Task | None = None
        # The term whose leader did not respond when it was last asked.
        self._unanswered: model.Token | None = None
        # The last term that this instance led, and what the store may lack.
        self._ended_term: tuple[model.Token, takeover.Handover] | None = None

    @property
    def instance(self) -> ids.InstanceId:
        """Name of this instance."""
        return self._identity.instance

    # start and stop

    def start(self) -> None:
        """Starts to follow the store; returns at once."""
        loop = asyncio.get_running_loop()
        for work in (self._follow_leaders, self._follow_configuration):
            self._tasks.append(loop.create_task(self._restart_on_error(work)))

    async def _restart_on_error(
        self, work: t.Callable[[], t.Awaitable]
    ) -> None:
        """Restarts a loop after a program fault, which is logged."""
        while True:
            try:
                await work()
            except Exception as exc:
                logs.event('loop_failed', loop=work.__name__, error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def step_down(self, *, until_s: float) -> None:
        """Releases the leadership; the instance still serves callers.

        :param until_s: until when it may lead on without the store.
        """
        self.stopping = True
        if self.leader is not None:
            await self.leader.resign(until_s=until_s)

    def stop(self) -> None:
        """Stops following the store."""
        for task in self._tasks:
            task.cancel()

    def kill(self) -> None:
        """Stops all work at once, like a killed process."""
        self.stop()
        if self._term_task is not None:
            self._term_task.cancel()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the addresses of other instances."""
        self._identity = dataclasses.replace(self._identity, seeds=seeds)

    def ready(self) -> bool:
        """Returns whether this instance can serve callers."""
        if self.stopping or self.cfg is None:
            return False
        return self._clock.monotonic() - self._last_contact_s < _READY_WITHIN_S

    # leaders

    async def _follow_leaders(self) -> None:
        # No caller can be served without a configuration. Waiting for it also
        # makes all instances read the leaders table from about the same time
        # on, so that large ones claim first.
        await self._configured.wait()
        started = False
        while True:
            sent_s = self._clock.monotonic()
            try:
                if not started:
                    batch = await self._read_newest_leader()
                    started = True
                else:
                    batch = await self._read_leaders()
            except exceptions.OffsetExpired:
                started = False
                continue
            except exceptions.AmaranthflowError as exc:
                self._set_store_state(exc)
                self._observer.on_read_failure()
                await self._find_leader()
                await asyncio.sleep(_PROBE_PAUSE_S)
                continue
            self._set_store_state(None)
            self._apply_leader_records(batch, sent_s)
            await self._probe_silent_leader()
            await self._request_hand_over()
            await self._claim_if_due()

    def _leaders_wait_ms(self) -> int:
        """Returns how long a read of the leaders table waits for a record."""
        if self.leader is not None:
            return _LEADERS_WAIT_MS
        now_s = self._clock.monotonic()
        max_s = _LEADERS_WAIT_MS / 1000
        return round(1000 * self._observer.read_wait_s(now_s, max_s))

    async def _read_leaders(self) -> ports.Batch:
        if not self._store_unavailable:
            return await self._store.read(
                ports.Table.LEADERS,
                self._observer.end,
                wait_ms=self._leaders_wait_ms(),
            )
        # Callers are refused until the store is found to respond again.
        return await hedging.first_success(
            lambda: self._store.read(ports.Table.LEADERS, self._observer.end),
            latency=hedging.LatencyEstimate(min_delay_s=_PROBE_INTERVAL_S),
            max_attempts=_PROBES,
            timeout_s=_PROBES * _PROBE_INTERVAL_S,
        )

    async def _read_newest_leader(self) -> ports.Batch:
        batch = await self._store.newest(ports.Table.LEADERS)
        end = max((r.offset + 1 for r in batch.records), default=batch.end)
        return ports.Batch(batch.records, end)

    def _apply_leader_records(self, batch: ports.Batch, sent_s: float) -> None:
        term = self._observer.on_read(batch, sent_s, self._clock.monotonic())
        if self.leader is not None:
            self.leader.on_leader_records(batch.records)
        if term is not None:
            logs.event(
                'leader_known',
                leader=term.instance,
                token=term.token,
                released=term.released,
            )
            if self.leader is not None:
                if term.token > self.leader.term.token:
                    self.leader.end_term(f'token {term.token} claimed')

    def _set_store_state(self, exc: Exception | None) -> None:
        if exc is None:
            self._last_contact_s = self._clock.monotonic()
        else:
            self._lost_s = self._clock.monotonic()
        if (exc is not None) is not self._store_unavailable:
            self._store_unavailable = exc is not None
            name = 'store_lost' if exc is not None else 'store_back'
            logs.event(name, error=str(exc) if exc else None)

    async def _probe_silent_leader(self) -> None:
        """Calls a silent leader to check whether it still leads."""
        term = self._observer.term
        if term is None or term.released or self.leader is not None:
            return
        if self._observer.silent_s(self._clock.monotonic()) < (
            elections.LEADER_PROBE_AFTER_S
        ):
            return
        offered = False
        self._unanswered = None
        try:
            response = await self._query_term(term, follows=True)
            gone = response.get('token') != term.token
            offered = bool(response.get('offered'))
        except ports.ConnectionRefused:
            gone = True
        except exceptions.AmaranthflowError:
            # The leader may still lead. If its silence lasts, an instance
            # claims.
            gone = False
            self._unanswered = term.token
        logs.event(
            'leader_doubted',
            leader=term.instance,
            gone=gone,
            offered=offered,
        )
        if gone:
            self._observer.mark_ended(term, self._clock.monotonic())
        elif offered:
            self._observer.mark_offered(self._clock.monotonic())
        else:
            self._observer.mark_doubted()

    async def _request_hand_over(self) -> None:
        """Asks a small leader to hand over once it has led for a while."""
        term = self._observer.term
        if term is None or not term.small or self._is_small:
            return
        age_s = self._observer.term_age_s(self._clock.monotonic())
        if self.stopping or age_s < elections.HAND_OVER_AFTER_S:
            return
        try:
            response = await self._peer_client.call(
                term.address,
                'hand_over',
                {'token': term.token},
                _PEER_TIMEOUT_S,
            )
            logs.event(
                'leader_relieved', leader=term.instance, resigns=response
            )
        except exceptions.AmaranthflowError as exc:
            logs.event(
                'leader_not_relieved', leader=term.instance, error=str(exc)
            )

    @property
    def _is_small(self) -> bool:
        return self._identity.size.claim_delay_s > 0

    async def _claim_if_due(self) -> None:
        if self.stopping or self._term_task is not None:
            return
        if not self._observer.may_claim(self._clock.monotonic()):
            return
        identity = self._identity
        value = elections.encode(
            None,
            instance=identity.instance,
            address=identity.address,
            small=self._is_small,
        )
        end = self._observer.end
        previous = self._observer.term
        sent_s = self._clock.monotonic()
        try:
            offset = await self._store.append(
                ports.Table.LEADERS,
                [(elections.KEY, value)],
                expected_end=end,
            )
        except ports.Conflict:
            logs.event('claim_lost', end=end)
            return
        except exceptions.AmaranthflowError as exc:
            # If the claim was stored nevertheless, it expires: its token is
            # never used.
            logs.event('claim_unanswered', end=end, error=str(exc))
            self._observer.on_read_failure()
            return
        leader = self._start_term(model.Token(offset + 1), sent_s, previous)
        if self.stopping:
            # It was told to stop while the claim was under way.
            await leader.resign()

    def _start_term(
        self,
        token: model.Token,
        claim_sent_s: float,
        previous: elections.Term | None,
    ) -> leader_lib.Leader:
        term = elections.Term(
            token=token,
            instance=self._identity.instance,
            address=self._identity.address,
            small=self._is_small,
        )
        leader = leader_lib.Leader(
            deps=self._deps,
            term=term,
            claim_sent_s=claim_sent_s,
            leaders_end=token,
            cfg=self.cfg,
            request_handover=lambda: self._request_handover(previous, token),
            evacuations=self.evacuations,
            store_was_lost=self._clock.monotonic() - self._lost_s < _RELIST_S,
        )
        self.leader = leader
        loop = asyncio.get_running_loop()
        self._term_task = loop.create_task(self._run_term(leader))
        return leader

    async def _run_term(self, leader: leader_lib.Leader) -> None:
        try:
            await leader.run()
        except Exception as exc:
            # A program fault ends the term but not the instance.
            logs.event('term_failed', error=repr(exc))
        finally:
            self.leader = None
            self._term_task = None
            self._ended_term = (leader.term.token, leader.handover())
            self._observer.on_read_failure()
            if leader.cannot_read:
                self._observer.pause_claims(self._clock.monotonic())

    async def _request_handover(
        self, term: elections.Term | None, successor: model.Token
    ) -> takeover.Handover | None:
        """Asks the leader of a term for what it has not stored.

        It sends no command from then on. Returns None if it does not respond
        or did not do so a moment ago.
        """
        if term is None:
            return None
        if term.released and term.recorded:
            return takeover.Handover(complete=True)
        if term.token == self._unanswered:
            return None
        message = {
            'token': term.token,
            'successor': successor,
            'instance': self._identity.instance,
            'address': self._identity.address,
        }
        try:
            if term.instance == self._identity.instance:
                response = self._yield_term(message)
            else:
                response = await self._peer_client.call(
                    term.address, 'yield', message, _HANDOVER_TIMEOUT_S
                )
            return takeover.decode(response)
        except exceptions.AmaranthflowError as exc:
            logs.event(
                'term_not_handed_over', leader=term.instance, error=str(exc)
            )
            return None

    def _yield_term(self, message: dict) -> dict:
        """Ends a term of this instance for its successor. Raises NotReady."""
        token = model.Token(int(message['token']))
        successor = model.Token(int(message['successor']))
        leader = self.leader
        if leader is not None and leader.term.token == token < successor:
            handover = leader.yield_term(successor)
        elif self._ended_term is not None and self._ended_term[0] == token:
            handover = self._ended_term[1]
        else:
            raise exceptions.NotReady('this instance did not lead that term')
        if message.get('address'):
            # This instance may not read the record of the next term.
            term = elections.Term(
                token=successor,
                instance=ids.InstanceId(str(message.get('instance'))),
                address=str(message['address']),
            )
            self._learn_term(term, 'successor')
        return handover.encode()

    async def _find_leader(self) -> None:
        """Asks other instances who leads."""
        answers: list[leader_search.Answer] = []
        found_newer = False
        for address in self._leader_search.begin(
            self._observer.term,
            self._identity.seeds,
            own_address=self._identity.address,
        ):
            try:
                response = await self._peer_client.call(
                    address, 'leader', {}, _RETRY_S
                )
                answer = leader_search.decode(response)
            except exceptions.AmaranthflowError:
                # The address may be out of date; try the next one.
                continue
            answers.append(answer)
            term = answer.term()
            if term is not None:
                self._last_contact_s = self._clock.monotonic()
                found_newer = self._learn_term(term, address)
            if leader_search.is_enough(answers, found_newer=found_newer):
                return

    def _learn_term(self, term: elections.Term, source: str) -> bool:
        """Follows a term that another instance has named.

        Returns False if it is not newer than the known one.
        """
        if not self._observer.learn(term, self._clock.monotonic()):
            return False
        self.meters.count('leaders_learned')
        logs.event(
            'leader_learned',
            leader=term.instance,
            token=term.token,
            source=source,
        )
        return True

    # configuration

    async def _follow_configuration(self) -> None:
        wait_ms = _WAIT_MS
        while True:
            try:
                await self._read_configuration(wait_ms=wait_ms)
                wait_ms = _WAIT_MS
            except exceptions.AmaranthflowError as exc:
                logs.event('configuration_read_failed', error=str(exc))
                # A read that does not wait shows sooner whether it is lost.
                wait_ms = 0
                await asyncio.sleep(_RETRY_S)

    async def _read_configuration(self, *, wait_ms: int) -> None:
        """Reads and applies the records since the last read.

        Raises platform errors.
        """
        table = ports.Table.CONFIGURATION
        start = self._configuration_end
        sent_s = self._clock.monotonic()
        is_complete = start is None
        if start is not None:
            try:
                batch = await self._store.read(table, start, wait_ms=wait_ms)
            except exceptions.OffsetExpired:
                is_complete = True
        if is_complete:
            batch = await self._store.newest(table)
        self._configuration_end = max(batch.end, self._configuration_end or 0)
        for record in batch.records:
            self._apply_configuration(record.key, record.value)
        self._apply_evacuations(batch, is_complete=is_complete)
        self.evacuations.on_read(sent_s)

    async def _refresh_configuration(self) -> None:
        await self._read_configuration(wait_ms=0)

    def _apply_configuration(self, key: bytes, value: bytes) -> None:
        cfg = self._decoder.configuration(key, value) if value else None
        if cfg is None:
            return
        if self.cfg is not None and cfg.version <= self.cfg.version:
            return
        self.cfg = cfg
        self._configured.set()
        logs.event(
            'configuration', version=cfg.version, queues=len(cfg.queues)
        )
        if self.leader is not None:
            self.leader.core.configure(cfg)

    def _apply_evacuations(
        self, batch: ports.Batch, *, is_complete: bool
    ) -> None:
        """Handles the operator's evacuation requests among records.

        :param is_complete: the batch has the newest record of each key.
        """
        before = self.evacuations.zones
        now_s = self._clock.monotonic()
        listed = set()
        for record in batch.records:
            zone = self._decoder.evacuated_zone(record.key)
            if zone is None:
                continue
            listed.add(zone)
            self.evacuations.on_record(
                zone, record.offset, now_s, active=bool(record.value)
            )
        if is_complete:
            self.evacuations.on_missing(listed, batch.end, now_s)
        if self.evacuations.zones == before:
            return
        self.meters.count('evacuation_changes')
        self.meters.gauge('evacuated_zones', len(self.evacuations.zones))
        if self.leader is not None:
            self.leader.on_evacuations_changed(before)

    # peers

    def local_leader(self) -> leader_lib.Leader | None:
        """Returns the leader if this instance leads."""
        return self.leader

    async def leader_alive(self) -> bool:
        """Asks the leader whether it still leads; False without response."""
        if self.leader is not None:
            return True
        term = self._observer.term
        if term is None or term.released:
            return False
        try:
            return await self._confirms_term(term)
        except exceptions.AmaranthflowError:
            # The caller falls back to another way to store the job.
            return False

    async def _confirms_term(self, term: elections.Term) -> bool:
        response = await self._query_term(term, follows=False)
        return response.get('token') == term.token

    async def _query_term(
        self, term: elections.Term, *, follows: bool
    ) -> dict:
        """Asks the leader of a term whether it leads. Raises platform errors.

        :param follows: the store proves to this instance that the leader has
            not renewed its term of late.
        """
        return await self._peer_client.call(
            term.address,
            'term',
            {'token': term.token, 'follows': follows},
            _PEER_TIMEOUT_S,
        )

    async def call_leader(
        self, name: str, message: dict, timeout_s: float
    ) -> dict:
        """Calls the leader. Raises NotReady and platform errors."""
        term = self._observer.term
        if term is None or term.released:
            raise exceptions.NotReady('no leader is known')
        if term.address == self._identity.address:
            raise exceptions.NotReady('this instance no longer leads')
        response = await self._peer_client.call(
            term.address, name, message, timeout_s
        )
        self._last_contact_s = self._clock.monotonic()
        return response

    async def handle_call(self, name: str, message: dict) -> dict:
        """Handles a call of another instance.

        Raises NotReady and RequestRefused.
        """
        if name == 'leader':
            return self._leader_info()
        if name == 'term':
            return self._term_info(message)
        if name == 'yield':
            return self._yield_term(message)
        if name == 'accept':
            return await self.job_api.accept(message)
        if self.leader is None:
            raise exceptions.NotReady('this instance does not lead')
        if name == 'hand_over':
            return await self._hand_over(message)
        if name == 'state':
            job_id = ids.JobId(str(message['id']))
            return await self.job_api.look_up(self.leader, job_id)
        if name == 'cancel':
            job_id = ids.JobId(str(message['id']))
            return {'known': await self.leader.cancel(job_id)}
        if name == 'count':
            queue = model.QueueId(str(message['queue']))
            return {'count': self.leader.pending_count(queue)}
        raise exceptions.RequestRefused(f'unknown call {name!r}')

    async def _hand_over(self, message: dict) -> dict:
        leader = self.leader
        if leader is None or leader.term.token != message.get('token'):
            raise exceptions.NotReady('this instance does not lead')
        if not leader.ready or not self._is_small:
            return {'resigned': False}
        self._observer.pause_claims(self._clock.monotonic())
        await leader.resign()
        return {'resigned': True}

    def _term_info(self, message: dict) -> dict:
        leader = self.leader
        response: dict = {'token': None, 'instance': self.instance}
        if leader is None:
            return response
        response['token'] = leader.term.token
        if message.get('follows') and message.get('token') == (
            leader.term.token
        ):
            response['offered'] = leader.offer_term()
        return response

    def _leader_info(self) -> dict:
        answer = leader_search.Answer.of(
            self._observer.term, reads=not self._store_unavailable
        )
        return msgspec.to_builtins(answer)
