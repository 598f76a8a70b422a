"""Ownership of racks, replicated through the log."""

import dataclasses

from amaranthflow_schema.v1 import records_pb2

from . import ids
from . import results


@dataclasses.dataclass(slots=True, kw_only=True)
class RackHolding:
    """Owner of a rack.

    :ivar epoch: number of claims so far; a record of an older epoch is
        refused.
    :ivar released: the owner has released the rack and admits no work there.
    :ivar taken_over: the rack was released by an owner whose takeover was
        complete, so that no earlier owner has a right any more.
    :ivar handed_over: the rack was released this way before it was claimed,
        so that this owner need not wait for the rights of earlier ones.
    """

    rack_id: ids.RackId
    owner: ids.Member
    epoch: ids.Epoch
    claim_offset: ids.Offset
    released: bool = False
    handed_over: bool = False
    taken_over: bool = False


class RackTable:
    """Replicated table of owners, changed only by records of the log."""

    def __init__(self):
        self.holdings: dict[ids.RackId, RackHolding] = {}

    def epoch(self, rack_id: ids.RackId) -> ids.Epoch:
        """Returns the rack's epoch, 0 if it never had an owner."""
        holding = self.holdings.get(rack_id)
        return holding.epoch if holding else ids.Epoch(0)

    def is_owner(
        self, rack_id: ids.RackId, member: ids.Member, epoch: int
    ) -> bool:
        """Returns whether a member owns a rack in an epoch.

        That stays true after a release until the rack is claimed again.
        """
        holding = self.holdings.get(rack_id)
        return (
            holding is not None
            and holding.owner == member
            and holding.epoch == epoch
        )

    def claim(
        self, record, member: ids.Member, offset: ids.Offset
    ) -> results.Result:
        """Assigns a rack to a member if the claim names its current epoch."""
        rack_id = ids.RackId(record.rack_id)
        holding = self.holdings.get(rack_id)
        if record.after_epoch != self.epoch(rack_id):
            return results.refused(f'rack is at epoch {self.epoch(rack_id)}')
        if holding and holding.owner == member and not holding.released:
            return results.refused('the member owns the rack already')
        self.holdings[rack_id] = RackHolding(
            rack_id=rack_id,
            owner=member,
            epoch=ids.Epoch(record.after_epoch + 1),
            claim_offset=offset,
            handed_over=holding is None or holding.taken_over,
        )
        return results.ACCEPTED

    def release(self, record, member: ids.Member) -> results.Result:
        """Marks a rack as released by its owner."""
        rack_id = ids.RackId(record.rack_id)
        if not self.is_owner(rack_id, member, record.epoch):
            return results.refused('the member does not own the rack')
        holding = self.holdings[rack_id]
        if holding.released:
            return results.refused('the member has released the rack')
        holding.released = True
        # If the takeover was not complete, the next claimant must wait.
        holding.taken_over = record.taken_over or holding.handed_over
        return results.ACCEPTED

    def may_start(
        self, rack_id: ids.RackId, member: ids.Member, epoch: int
    ) -> bool:
        """Returns whether a member may record starts of tasks on a rack."""
        owner = self.is_owner(rack_id, member, epoch)
        return owner and not self.holdings[rack_id].released

    def owned_by(self, member: ids.Member) -> tuple[RackHolding, ...]:
        """Returns the racks that a member owns and has not released."""
        return tuple(
            h
            for h in self.holdings.values()
            if h.owner == member and not h.released
        )

    def dump(self, snapshot: records_pb2.Snapshot) -> None:
        """Adds all holdings to a snapshot."""
        for rack_id in sorted(self.holdings):
            holding = self.holdings[rack_id]
            snapshot.racks.add(
                rack_id=rack_id,
                instance_id=holding.owner.instance,
                incarnation=holding.owner.incarnation,
                epoch=holding.epoch,
                released=holding.released,
                claim_offset=holding.claim_offset,
                handed_over=holding.handed_over,
                taken_over=holding.taken_over,
            )

    def load(self, snapshot: records_pb2.Snapshot) -> None:
        """Replaces all holdings with those of a snapshot."""
        self.holdings = {}
        for state in snapshot.racks:
            owner = ids.Member(
                ids.InstanceId(state.instance_id),
                ids.Incarnation(state.incarnation),
            )
            self.holdings[ids.RackId(state.rack_id)] = RackHolding(
                rack_id=ids.RackId(state.rack_id),
                owner=owner,
                epoch=ids.Epoch(state.epoch),
                claim_offset=ids.Offset(state.claim_offset),
                released=state.released,
                handed_over=state.handed_over,
                taken_over=state.taken_over,
            )
