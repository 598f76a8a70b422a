"""Maintains the membership and the ownership of racks."""

import asyncio
import typing as t

from amaranthflow import assignment
from amaranthflow import decisions
from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import racks
from amaranthflow import snapshots
from amaranthflow import state as state_lib
from amaranthflow_schema.v1 import records_pb2

from . import batch
from . import logs
from . import node as node_lib
from . import peers as peers_lib
from . import worker_sessions as sessions_lib

_RELEASE_POLL_S = 0.1
_PROPOSE_PERIOD_S = 0.2
_LIST_POLL_PERIOD_S = 0.5
_RECORD_TIMEOUT_S = 2.0
_REMOVE_AFTER_S = 8.0
_MISPLACED_SETTLE_S = 3.0
_HANDOVER_POLL_S = 0.02
_HANDOVER_TIMEOUT_S = 10.0
_MAX_OPEN_VIEWS = 8
_SNAPSHOT_ENTRIES = 5000
_SNAPSHOT_PERIOD_S = 600.0


class Controller:
    """Joins the fleet, claims racks, hands them over and leaves.

    Every decision here is only a proposal to the log. Safety rests on
    ``ownership`` alone: a wrong proposal costs time but cannot make two
    instances act on the same worker.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        peers: peers_lib.Peers,
        sessions: sessions_lib.WorkerSessions,
        runner: batch.BatchRunner,
    ):
        self._node = node
        self._peers = peers
        self._sessions = sessions
        self._runner = runner
        self._takeovers: dict[ids.RackId, ids.Epoch] = {}
        self._handing_over: set[ids.RackId] = set()
        self._misplaced_since: dict[ids.RackId, float] = {}
        self._desired_inputs: tuple | None = None
        self._cached_desired: t.Mapping[ids.RackId, ids.InstanceId] = {}
        self._listed: set[str] = set()
        self._absent: frozenset[str] = frozenset()
        self._snapshot_offset = 0
        self._snapshot_at = node.clock.monotonic()

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Starts the takeover of a rack once its claim is applied."""
        if applied.offset == self._node.state.view_offset:
            self._begin_takeovers()

    def on_loaded(self) -> None:
        """Starts takeovers of racks that the replaced state assigns here."""
        self._begin_takeovers()

    async def run(self) -> t.NoReturn:
        """Proposes missing changes periodically until cancelled."""
        while True:
            if self._node.follower.caught_up and not self._node.draining:
                await self._propose()
            await self._node.clock.sleep(_PROPOSE_PERIOD_S)

    async def watch_list(self) -> t.NoReturn:
        """Polls the platform's list of instances until cancelled."""
        while True:
            try:
                listed = await self._node.links.instances.snapshot()
            except exceptions.PlatformError as exc:
                logs.log_event('list does not answer', reason=exc.reason)
            else:
                self._note_list(listed)
            self._sessions.note_leaving(self._peers.all_leaving())
            await self._node.clock.sleep(_LIST_POLL_PERIOD_S)

    async def leave(self) -> None:
        """Hands over all racks and leaves the fleet."""
        owned = self._node.state.racks.owned_by(self._node.member)
        await asyncio.gather(*(self._hand_over(h) for h in owned))
        left = records_pb2.MemberLeft(
            instance_id=self._node.member.instance,
            incarnation=self._node.member.incarnation,
            graceful=True,
        )
        await self._write(records_pb2.Record(member_left=left))

    async def _propose(self) -> None:
        if not self._node.joined:
            await self._join()
            return
        self._node.ownership.forget_departed()
        if self._node.journal.reachable:
            await self._remove_members()
            await self._claim_racks()
            self._hand_over_misplaced()
            await self._close_views()
            await self._make_snapshot()

    async def _join(self) -> None:
        member = self._node.member
        joined = records_pb2.MemberJoined(
            instance_id=member.instance,
            incarnation=member.incarnation,
            zone_id=self._node.cfg.zone,
            peer_address=self._node.cfg.peer_address,
        )
        await self._write(records_pb2.Record(member_joined=joined))

    async def _remove_members(self) -> None:
        """Removes members that are gone or unreachable for too long.

        Only the live member with the lowest name does so, so that members
        do not write the same record.
        """
        silent = self._peers.majority_suspects()
        gone = [
            link.info.member
            for instance_id, link in self._peers.links.items()
            if (instance_id in silent and link.silent_s > _REMOVE_AFTER_S)
            or (instance_id in self._absent and link.suspect)
        ]
        if gone and self._is_lowest_member(silent):
            await asyncio.gather(*(self._remove(m) for m in gone))

    async def _remove(self, member: ids.Member) -> None:
        left = records_pb2.MemberLeft(
            instance_id=member.instance, incarnation=member.incarnation
        )
        await self._write(records_pb2.Record(member_left=left))

    def _is_lowest_member(self, silent: t.Collection[str]) -> bool:
        """Returns whether this is the first live member by name."""
        alive = set(self._node.state.members.members) - set(silent)
        return min(alive, default=None) == self._node.member.instance

    async def _claim_racks(self) -> None:
        holdings = self._node.state.racks.holdings
        desired = self._desired()
        claims = [
            self._claim(rack_id)
            for rack_id, instance_id in desired.items()
            if instance_id == self._node.member.instance
            and rack_id not in self._handing_over
            and self._is_claimable(holdings.get(rack_id))
        ]
        await asyncio.gather(*claims)

    def _desired(self) -> t.Mapping[ids.RackId, ids.InstanceId]:
        """Returns the desired owners, cached until the inputs change."""
        unavailable = self._unavailable()
        members = frozenset(self._node.state.members.members) - unavailable
        inputs = (self._node.config_generation, members)
        if inputs != self._desired_inputs:
            self._desired_inputs = inputs
            self._cached_desired = assignment.desired_owners(
                self._rack_ids(), members
            )
        return self._cached_desired

    def _rack_ids(self) -> set[ids.RackId]:
        workers = self._node.state.config.bodies('worker', self._node.now_ms())
        return {ids.RackId(body.rack_id) for body in workers.values()}

    def _unavailable(self) -> frozenset[str]:
        draining = {i for i, n in self._peers.links.items() if n.draining}
        return self._presumed_dead() | draining

    def _presumed_dead(self) -> frozenset[str]:
        """Returns instances assumed to have ended or to be partitioned off."""
        gone = self._absent & self._peers.suspects()
        return self._peers.majority_suspects() | gone

    def _is_claimable(self, holding: racks.RackHolding | None) -> bool:
        """Returns whether a rack has no owner that could serve it."""
        if holding is None or holding.released:
            return True
        current = self._node.state.members.current(holding.owner.instance)
        if current != holding.owner:
            return True
        return holding.owner.instance in self._presumed_dead()

    async def _claim(self, rack_id: ids.RackId) -> None:
        epoch = self._node.state.racks.epoch(rack_id)
        claimed = records_pb2.RackClaimed(
            rack_id=rack_id,
            instance_id=self._node.member.instance,
            incarnation=self._node.member.incarnation,
            after_epoch=epoch,
        )
        await self._write(records_pb2.Record(rack_claimed=claimed))

    def _begin_takeovers(self) -> None:
        for holding in self._node.state.racks.owned_by(self._node.member):
            if self._takeovers.get(holding.rack_id) != holding.epoch:
                self._takeovers[holding.rack_id] = holding.epoch
                self._node.spawn(
                    self._take_over(holding), f'takeover {holding.rack_id}'
                )

    async def _take_over(self, holding: racks.RackHolding) -> None:
        """Waits until no previous owner can act, then serves the rack.

        After a handover this is at once. Otherwise the ownership of earlier
        members must expire first, and then the leases of tasks that they
        may have started.
        """
        rack_id, epoch = holding.rack_id, holding.epoch
        ownership = self._node.ownership
        reason = f'epoch {epoch}, handed over: {holding.handed_over}'
        self._node.record_decision(
            rack_id, decisions.DecisionKind.CLAIMED, reason
        )
        if not holding.handed_over:
            await ownership.wait_for_earlier_owners(holding.claim_offset)
            for session in self._sessions.of_rack(rack_id):
                # The previous owner's last start may begin a lease as late as
                # one sent from here now.
                session.note_start()
            cfg = self._node.cfg
            await self._node.clock.sleep(cfg.task_lease_s + cfg.clock_margin_s)
        if not ownership.owns(rack_id, epoch):
            return
        for session in self._sessions.of_rack(rack_id):
            session.reconciled = False
        ownership.serve(rack_id, epoch)
        await asyncio.gather(
            *(session.poll() for session in self._sessions.of_rack(rack_id))
        )
        self._node.record_decision(
            rack_id, decisions.DecisionKind.RESTORED, f'served at {epoch}'
        )

    def _hand_over_misplaced(self) -> None:
        """Hands over racks that have been misplaced for long enough.

        A rack is misplaced while its desired owner is another connected
        member. Waiting ``_MISPLACED_SETTLE_S`` avoids moves while the
        membership still changes.
        """
        now = self._node.clock.monotonic()
        desired = self._desired()
        for holding in self._node.state.racks.owned_by(self._node.member):
            rack_id = holding.rack_id
            desired_owner = desired.get(rack_id, self._node.member.instance)
            link = self._peers.links.get(desired_owner)
            if link is None or not link.connected:
                self._misplaced_since.pop(rack_id, None)
                continue
            since = self._misplaced_since.setdefault(rack_id, now)
            if (
                now - since > _MISPLACED_SETTLE_S
                and rack_id not in self._handing_over
            ):
                del self._misplaced_since[rack_id]
                self._node.spawn(
                    self._hand_over(holding), f'hand over {rack_id}'
                )

    async def _hand_over(self, holding: racks.RackHolding) -> None:
        """Stops admission on a rack, waits until it is idle, releases it."""
        rack_id = holding.rack_id
        if rack_id in self._handing_over:
            return
        self._handing_over.add(rack_id)
        ownership = self._node.ownership
        released = ownership.begin_release(rack_id, holding.epoch)
        self._sessions.update_rack(rack_id)
        try:
            await self._wait_idle(rack_id)
            await self._release(holding, released)
        except exceptions.NotReady as exc:
            logs.log_event(
                'rack not released', rack=rack_id, reason=exc.reason
            )
            self._resume(holding)
        finally:
            self._handing_over.discard(rack_id)

    async def _release(
        self,
        holding: racks.RackHolding,
        released: records_pb2.RackReleased,
    ) -> None:
        """Records the release of a rack; returns once it is no longer held.

        :raises NotReady: the record was not appended to the log.
        """
        record = records_pb2.Record(rack_released=released)
        try:
            await self._node.journal.write(record, _RECORD_TIMEOUT_S)
        except exceptions.RequestUncertain:
            # The record may still be appended at any time, so nothing is
            # admitted on the rack until it is.
            while self._node.ownership.owns(holding.rack_id, holding.epoch):
                await self._node.clock.sleep(_RELEASE_POLL_S)
        self._node.record_decision(
            holding.rack_id, decisions.DecisionKind.RELEASED, 'handed over'
        )

    def _resume(self, holding: racks.RackHolding) -> None:
        """Continues to serve a rack that could not be released."""
        ownership = self._node.ownership
        if ownership.owns(holding.rack_id, holding.epoch):
            ownership.cancel_release(holding.rack_id, holding.epoch)
            self._sessions.update_rack(holding.rack_id)

    async def _wait_idle(self, rack_id: ids.RackId) -> None:
        """Waits until no requests or starts on a rack are in flight.

        :raises NotReady: after ``_HANDOVER_TIMEOUT_S``.
        """
        clock = self._node.clock
        until = clock.monotonic() + _HANDOVER_TIMEOUT_S
        while clock.monotonic() < until:
            sessions = self._sessions.of_rack(rack_id)
            if not any(self._is_busy(session) for session in sessions):
                return
            await clock.sleep(_HANDOVER_POLL_S)
        raise exceptions.NotReady(f'work on rack {rack_id} does not end')

    def _is_busy(self, session: sessions_lib.WorkerSession) -> bool:
        requests = len(session.ledger.tasks) - session.ledger.batch_count
        return requests > 0 or self._runner.has_pending_start(session)

    async def _close_views(self) -> None:
        """Records which old membership views are closed, if many are open."""
        views = self._node.state.members.views
        if len(views) <= _MAX_OPEN_VIEWS or not self._is_lowest_member(()):
            return
        through = self._node.ownership.closed_through()
        if through is not None:
            closed = records_pb2.ViewsClosed(through_offset=through)
            await self._write(records_pb2.Record(views_closed=closed))

    async def _make_snapshot(self) -> None:
        """Writes a snapshot to the log before its oldest entries expire."""
        now = self._node.clock.monotonic()
        offset = self._node.state.next_offset
        due = (
            offset - self._snapshot_offset >= _SNAPSHOT_ENTRIES
            or now - self._snapshot_at >= _SNAPSHOT_PERIOD_S
        )
        if not due or not self._is_lowest_member(self._peers.suspects()):
            return
        self._snapshot_offset = offset
        self._snapshot_at = now
        for record in snapshots.chunks(self._node.state, self._node.member):
            await self._write(record)

    def _note_list(
        self, listed: t.Mapping[str, platform.InstancePhase]
    ) -> None:
        """Updates the leaving workers and departed instances from the list.

        A name that was listed earlier and no longer is has gone. A member
        that was never seen in the list is judged by its age, because the
        list may lag by up to ``list_delay_s``.
        """
        # An instance that was never listed may be too new to appear.
        self._listed = {n for n in self._listed if self._is_name_in_use(n)}
        self._listed.update(listed)
        leaving = {
            name
            for name, phase in listed.items()
            if phase is platform.InstancePhase.LEAVING
        }
        missing = self._listed - listed.keys()
        self._peers.leaving = frozenset(leaving | missing)
        gone = {
            m
            for m in self._members_of_open_views()
            if self._is_gone(m, listed)
        }
        for member in gone:
            self._node.ownership.note_departed(member)
        self._absent = frozenset(missing | {m.instance for m in gone})

    def _is_gone(self, member: ids.Member, listed: t.Container[str]) -> bool:
        """Returns whether a member is known to have ended.

        That is so if a list newer than the member's start does not name its
        instance. A younger member may have been started after the previous
        process of its instance was removed from the list.
        """
        age_s = (self._node.clock.wall_ms() - member.incarnation) / 1000
        limit_s = self._node.cfg.list_delay_s + self._node.cfg.clock_margin_s
        return member.instance not in listed and age_s > limit_s

    def _members_of_open_views(self) -> t.Iterator[ids.Member]:
        for view in self._node.state.members.views:
            yield from view.members

    def _is_name_in_use(self, name: str) -> bool:
        """Returns whether a worker, a member or an open view has the name."""
        if name in self._node.state.members.members:
            return True
        if name in self._sessions.by_id:
            return True
        return any(m.instance == name for m in self._members_of_open_views())

    async def _write(self, record: records_pb2.Record) -> None:
        kind = record.WhichOneof('kind')
        try:
            result = await self._node.journal.write(record, _RECORD_TIMEOUT_S)
        except exceptions.AmaranthflowError as exc:
            logs.log_event(
                'record not confirmed',
                level=logs.WARNING,
                kind=kind,
                reason=exc.reason,
            )
            return
        if not result.accepted:
            logs.log_event('record rejected', kind=kind, reason=result.reason)
