"""Rights of a member to admit work to the racks that it owns.

A right rests on one of two proofs, each younger than the fence time:

- the log was read to its end and names this member as the owner;
- a majority of the newest view's members answered, and none of those
  counted had seen a newer view than this member has.

A claimant of a rack whose owner did not release it waits until neither
proof of the earlier owner can be young enough. For the second one a
majority of each view that the earlier owner may still count in must have
seen the claim, or be gone for good.
"""

import typing as t

from amaranthflow_schema.v1 import records_pb2

from . import clock as clock_lib
from . import ids
from . import membership
from . import state as state_lib


class Ownership:
    """Proofs of one member, checked right before each start of work.

    :param fence_s: age in seconds at which a proof expires.
    :param margin_s: allowance for clocks that run at different rates.
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
        self._log_proof_at: float | None = None
        self._grants: dict[ids.Member, float] = {}
        self._seen: dict[ids.Member, ids.Offset] = {}
        self._gone: set[ids.Member] = set()
        self._serving: dict[ids.RackId, ids.Epoch] = {}
        self._taken_over: dict[ids.RackId, ids.Epoch] = {}
        self._releasing: dict[ids.RackId, ids.Epoch] = {}

    def note_log_confirmed(self, asked_at: float) -> None:
        """The state holds all that the log kept at a monotonic time."""
        self._log_proof_at = asked_at

    def note_answer(
        self, peer: ids.Member, asked_at: float, view_offset: ids.Offset
    ) -> None:
        """A peer answered a heartbeat that was sent at a monotonic time."""
        seen = self._seen.get(peer, ids.Offset(0))
        self._seen[peer] = max(seen, view_offset)
        if view_offset <= self._state.view_offset:
            newest = self._grants.get(peer, asked_at)
            self._grants[peer] = max(newest, asked_at)
        self._gone.discard(peer)
        self._note_replaced(peer)

    def note_departed(self, member: ids.Member) -> None:
        """The platform's list says that a member's instance is no more."""
        self._gone.add(member)

    def has_valid_proof(self) -> bool:
        """Tells whether either proof is young enough now."""
        oldest = self._clock.monotonic() - self.fence_s
        if self._log_proof_at is not None and self._log_proof_at > oldest:
            return True
        return self._majority_grants(oldest)

    def admits(self, rack_id: ids.RackId) -> bool:
        """Tells whether work may be started on a rack at this moment."""
        epoch = self._serving.get(rack_id)
        if epoch is None or not self.owns(rack_id, epoch):
            return False
        return self.has_valid_proof()

    def owns(self, rack_id: ids.RackId, epoch: ids.Epoch) -> bool:
        """Tells whether the state names this member under this epoch."""
        holding = self._state.racks.holdings.get(rack_id)
        if holding is None or holding.released or holding.epoch != epoch:
            return False
        return holding.owner == self.member

    def serve(self, rack_id: ids.RackId, epoch: ids.Epoch) -> None:
        """Allows work on a rack; its takeover is complete.

        Without effect while a release of the rack may be in the log: the
        next owner relies on it and waits for nothing.
        """
        self._taken_over[rack_id] = epoch
        if self._releasing.get(rack_id) != epoch:
            self._serving[rack_id] = epoch

    def stop_serving(self, rack_id: ids.RackId) -> None:
        """Admits no more work on a rack."""
        self._serving.pop(rack_id, None)

    def begin_release(
        self, rack_id: ids.RackId, epoch: ids.Epoch
    ) -> records_pb2.RackReleased:
        """Admits no more work on a rack; returns the record of its release.

        The caller writes the record once no request runs there.
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
        """Serves on; called only if the release is surely not in the log.

        Without effect where the takeover was not complete.
        """
        if self._releasing.get(rack_id) == epoch:
            del self._releasing[rack_id]
        if self._taken_over.get(rack_id) == epoch:
            self.serve(rack_id, epoch)

    def serving(self) -> t.Mapping[ids.RackId, ids.Epoch]:
        """Racks whose takeover is complete, by epoch."""
        return self._serving

    def open_views(self, before: ids.Offset) -> tuple[membership.View, ...]:
        """Views older than an offset that may still carry a right.

        An owner whose newest view is followed by another one has not seen
        that other one, so a majority that has seen it grants nothing to
        the owner any more. Views without a following one are measured by
        the given offset.
        """
        views = [v for v in self._state.members.views if v.offset < before]
        limits = [*(v.offset for v in views[1:]), before]
        return tuple(
            view
            for view, since in zip(views, limits, strict=True)
            if not self._closed(view, since)
        )

    async def wait_for_earlier_owners(self, claim_offset: ids.Offset) -> None:
        """Returns when no earlier owner has a right any more.

        Called once the claim at ``claim_offset`` is applied here.
        """
        while self.open_views(claim_offset):
            await self._clock.sleep(self.fence_s / 10)
        await self._clock.sleep(self.fence_s + self.margin_s)

    def closed_through(self) -> ids.Offset | None:
        """Newest offset up to which views can be forgotten, if any.

        The newest view is never forgotten.
        """
        views = self._state.members.views
        closed = None
        for view, following in zip(views, views[1:], strict=False):
            if not self._closed(view, following.offset):
                break
            closed = view.offset
        return closed

    def forget_departed(self) -> None:
        """Drops what is known of members that no view names any more."""
        named = set()
        for view in self._state.members.views:
            named.update(view.members)
        self._gone &= named
        self._seen = {m: o for m, o in self._seen.items() if m in named}
        self._grants = {m: a for m, a in self._grants.items() if m in named}

    def _closed(self, view: membership.View, since: ids.Offset) -> bool:
        """Tells whether a majority of a view saw ``since`` or is gone."""
        if not view.members:
            return True
        passed = sum(
            1
            for member in view.members
            if self._is_gone(member) or self._seen_by(member) >= since
        )
        return passed >= view.majority

    def _is_gone(self, member: ids.Member) -> bool:
        """Tells whether a member will never answer again.

        A newer process of its instance, be it this one or one that has
        joined, began after it had ended.
        """
        if member.instance == self.member.instance:
            return member.incarnation < self.member.incarnation
        current = self._state.members.current(member.instance)
        replaced = current and current.incarnation > member.incarnation
        return bool(replaced) or member in self._gone

    def _seen_by(self, member: ids.Member) -> ids.Offset:
        if member == self.member:
            return self._state.view_offset
        return self._seen.get(member, ids.Offset(-1))

    def _note_replaced(self, peer: ids.Member) -> None:
        """A newer incarnation proves that older ones are gone."""
        for view in self._state.members.views:
            for member in view.members:
                if (
                    member.instance == peer.instance
                    and member.incarnation < peer.incarnation
                ):
                    self._gone.add(member)

    def _majority_grants(self, oldest: float) -> bool:
        views = self._state.members.views
        if not views or self.member not in views[-1].members:
            return False
        granted = sum(
            1
            for member in views[-1].members
            if member == self.member
            or self._grants.get(member, oldest) > oldest
        )
        return granted >= views[-1].majority
