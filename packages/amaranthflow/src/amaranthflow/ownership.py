"""Right of a member to admit work to the racks that it owns.

The right needs one of two proofs that is younger than the fence time:

- the log was read to its end and names this member as the owner;
- a majority of the newest view's members answered a heartbeat, and none of
  those counted had seen a newer view than this member.

If a rack's owner has not released it, a claimant waits until both proofs of
the earlier owner must have expired. For the second proof, a majority of each
view that the earlier owner may still rely on must have seen the claim or
have departed permanently.
"""

import typing as t

from amaranthflow_schema.v1 import records_pb2

from . import clock as clock_lib
from . import ids
from . import membership
from . import state as state_lib


class Ownership:
    """Proofs of one member, to be checked right before each start of work.

    :param fence_s: age in seconds at which a proof expires.
    :param margin_s: allowance for different clock rates.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        state: state_lib.State,
        member: ids.Member,
        fence_s: float,
        margin_s: float,
    ):
        self._clock = clock
        self._state = state
        self.member = member
        self.fence_s = fence_s
        self.margin_s = margin_s
        self._log_confirmed_at: float | None = None
        self._granted_at: dict[ids.Member, float] = {}
        self._seen_offsets: dict[ids.Member, ids.Offset] = {}
        self._departed: set[ids.Member] = set()
        self._serving: dict[ids.RackId, ids.Epoch] = {}
        self._taken_over: dict[ids.RackId, ids.Epoch] = {}
        self._releasing: dict[ids.RackId, ids.Epoch] = {}

    def note_log_confirmed(self, asked_at: float) -> None:
        """Records that the state includes all entries of the log at a time.

        :param asked_at: monotonic time in s.
        """
        self._log_confirmed_at = asked_at

    def note_answer(
        self, peer: ids.Member, asked_at: float, view_offset: ids.Offset
    ) -> None:
        """Records a peer's answer to a heartbeat.

        :param asked_at: monotonic time in s at which it was sent.
        :param view_offset: newest view that the peer had seen.
        """
        seen = self._seen_offsets.get(peer, ids.Offset(0))
        self._seen_offsets[peer] = max(seen, view_offset)
        if view_offset <= self._state.view_offset:
            newest = self._granted_at.get(peer, asked_at)
            self._granted_at[peer] = max(newest, asked_at)
        self._departed.discard(peer)
        self._note_replaced(peer)

    def note_departed(self, member: ids.Member) -> None:
        """Records that the platform's list has no instance of a member."""
        self._departed.add(member)

    def has_valid_proof(self) -> bool:
        """Returns whether a proof has not expired yet."""
        min_time = self._clock.monotonic() - self.fence_s
        if (
            self._log_confirmed_at is not None
            and self._log_confirmed_at > min_time
        ):
            return True
        return self._has_majority(min_time)

    def admits(self, rack_id: ids.RackId) -> bool:
        """Returns whether work may be started on a rack now."""
        epoch = self._serving.get(rack_id)
        if epoch is None or not self.owns(rack_id, epoch):
            return False
        return self.has_valid_proof()

    def owns(self, rack_id: ids.RackId, epoch: ids.Epoch) -> bool:
        """Returns whether the state names this member as owner in an epoch."""
        holding = self._state.racks.holdings.get(rack_id)
        if holding is None or holding.released or holding.epoch != epoch:
            return False
        return holding.owner == self.member

    def serve(self, rack_id: ids.RackId, epoch: ids.Epoch) -> None:
        """Admits work on a rack after its takeover is complete.

        Has no effect while a release of the rack may be in the log, since
        the next owner relies on the release and does not wait.
        """
        self._taken_over[rack_id] = epoch
        if self._releasing.get(rack_id) != epoch:
            self._serving[rack_id] = epoch

    def stop_serving(self, rack_id: ids.RackId) -> None:
        """Stops admitting work on a rack."""
        self._serving.pop(rack_id, None)

    def begin_release(
        self, rack_id: ids.RackId, epoch: ids.Epoch
    ) -> records_pb2.RackReleased:
        """Stops admitting work on a rack and returns the release record.

        The caller writes the record once no request runs on the rack.
        """
        self.stop_serving(rack_id)
        self._releasing[rack_id] = epoch
        return records_pb2.RackReleased(
            rack_id=rack_id,
            instance_id=self.member.instance,
            incarnation=self.member.incarnation,
            epoch=epoch,
            taken_over=self._taken_over.get(rack_id) == epoch,
        )

    def cancel_release(self, rack_id: ids.RackId, epoch: ids.Epoch) -> None:
        """Resumes serving a rack; the release must not be in the log.

        Has no effect if the takeover of the rack was not complete.
        """
        if self._releasing.get(rack_id) == epoch:
            del self._releasing[rack_id]
        if self._taken_over.get(rack_id) == epoch:
            self.serve(rack_id, epoch)

    def serving(self) -> t.Mapping[ids.RackId, ids.Epoch]:
        """Returns the epochs of the racks whose takeover is complete."""
        return self._serving

    def open_views(self, before: ids.Offset) -> tuple[membership.View, ...]:
        """Returns views before an offset that may still support a right.

        If a view is the newest that an owner has seen, the owner has not
        seen the following one; members that have seen that one grant
        nothing to the owner. A view is therefore closed once a majority of
        its members have seen the following view, or, for the last view, the
        given offset.
        """
        views = [v for v in self._state.members.views if v.offset < before]
        limits = [*(v.offset for v in views[1:]), before]
        return tuple(
            view
            for view, since in zip(views, limits, strict=True)
            if not self._is_closed(view, since)
        )

    async def wait_for_earlier_owners(self, claim_offset: ids.Offset) -> None:
        """Waits until no earlier owner can have a right any more.

        To be called after the claim at ``claim_offset`` was applied here.
        """
        while self.open_views(claim_offset):
            await self._clock.sleep(self.fence_s / 10)
        await self._clock.sleep(self.fence_s + self.margin_s)

    def closed_through(self) -> ids.Offset | None:
        """Returns the newest offset up to which all views are closed.

        Those views can be forgotten. None if there are none; the newest view
        is never included.
        """
        views = self._state.members.views
        closed = None
        for view, following in zip(views, views[1:], strict=False):
            if not self._is_closed(view, following.offset):
                break
            closed = view.offset
        return closed

    def forget_departed(self) -> None:
        """Removes the state of members that are in no view any more."""
        named = set()
        for view in self._state.members.views:
            named.update(view.members)
        self._departed &= named
        self._seen_offsets = {
            m: o for m, o in self._seen_offsets.items() if m in named
        }
        self._granted_at = {
            m: a for m, a in self._granted_at.items() if m in named
        }

    def _is_closed(self, view: membership.View, since: ids.Offset) -> bool:
        """Returns whether a majority of a view saw ``since`` or departed."""
        if not view.members:
            return True
        passed = sum(
            1
            for member in view.members
            if self._has_departed(member) or self._seen_by(member) >= since
        )
        return passed >= view.majority

    def _has_departed(self, member: ids.Member) -> bool:
        """Returns whether a member can never answer again.

        A newer process of the same instance, either this one or one that
        joined, has started only after the member had ended.
        """
        if member.instance == self.member.instance:
            return member.incarnation < self.member.incarnation
        current = self._state.members.current(member.instance)
        replaced = current and current.incarnation > member.incarnation
        return bool(replaced) or member in self._departed

    def _seen_by(self, member: ids.Member) -> ids.Offset:
        if member == self.member:
            return self._state.view_offset
        return self._seen_offsets.get(member, ids.Offset(-1))

    def _note_replaced(self, peer: ids.Member) -> None:
        """Records older incarnations of a peer as departed."""
        for view in self._state.members.views:
            for member in view.members:
                if (
                    member.instance == peer.instance
                    and member.incarnation < peer.incarnation
                ):
                    self._departed.add(member)

    def _has_majority(self, min_time: float) -> bool:
        views = self._state.members.views
        if not views or self.member not in views[-1].members:
            return False
        granted = sum(
            1
            for member in views[-1].members
            if member == self.member
            or self._granted_at.get(member, min_time) > min_time
        )
        return granted >= views[-1].majority
