"""Members of the fleet, and the views in which majorities are counted."""

import dataclasses

from amaranthflow_schema.v1 import records_pb2

from . import ids
from . import results


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberInfo:
    """A member with the data it joined with."""

    member: ids.Member
    zone_id: ids.ZoneId
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """The set of members after the record at ``offset``."""

    offset: ids.Offset
    members: frozenset[ids.Member]

    @property
    def majority(self) -> int:
        """Least number of members that overlaps with every other majority."""
        return len(self.members) // 2 + 1


class Membership:
    """Replicated table of members, changed only by records of the log.

    Older views are kept until a record states that no owner can rely on them
    any more.
    """

    def __init__(self):
        self.members: dict[ids.InstanceId, MemberInfo] = {}
        self.views: list[View] = []

    def current(self, instance_id: ids.InstanceId) -> ids.Member | None:
        """Returns the member of an instance, None if it has none."""
        info = self.members.get(instance_id)
        return info.member if info else None

    def join(self, record, offset: ids.Offset) -> results.Result:
        """Adds a member; replaces an older incarnation of the instance."""
        member = _member(record)
        present = self.current(member.instance)
        if present and present.incarnation >= member.incarnation:
            return results.refused(f'{present} has joined before')
        self.members[member.instance] = MemberInfo(
            member=member,
            zone_id=ids.ZoneId(record.zone_id),
            peer_address=record.peer_address,
        )
        self._note_view(offset)
        return results.ACCEPTED

    def leave(self, record, offset: ids.Offset) -> results.Result:
        """Removes a member."""
        member = _member(record)
        if self.current(member.instance) != member:
            return results.refused(f'{member} is not a member')
        del self.members[member.instance]
        self._note_view(offset)
        return results.ACCEPTED

    def close_views(self, through: ids.Offset) -> results.Result:
        """Forgets views up to an offset, but never the newest view."""
        kept = [v for v in self.views[:-1] if v.offset > through]
        self.views = kept + self.views[-1:]
        return results.ACCEPTED

    def dump(self, snapshot: records_pb2.Snapshot) -> None:
        """Adds members and views to a snapshot."""
        for instance_id in sorted(self.members):
            info = self.members[instance_id]
            snapshot.members.add(
                instance_id=instance_id,
                incarnation=info.member.incarnation,
                zone_id=info.zone_id,
                peer_address=info.peer_address,
            )
        for view in self.views:
            names = sorted(str(m) for m in view.members)
            snapshot.views.add(offset=view.offset, members=names)

    def load(self, snapshot: records_pb2.Snapshot) -> None:
        """Replaces members and views with those of a snapshot."""
        self.members = {}
        for record in snapshot.members:
            member = _member(record)
            self.members[member.instance] = MemberInfo(
                member=member,
                zone_id=ids.ZoneId(record.zone_id),
                peer_address=record.peer_address,
            )
        self.views = [
            View(
                offset=ids.Offset(state.offset),
                members=frozenset(_parse(name) for name in state.members),
            )
            for state in snapshot.views
        ]

    def _note_view(self, offset: ids.Offset) -> None:
        members = frozenset(i.member for i in self.members.values())
        self.views.append(View(offset=offset, members=members))


def _member(record) -> ids.Member:
    return ids.Member(
        ids.InstanceId(record.instance_id),
        ids.Incarnation(record.incarnation),
    )


def _parse(name: str) -> ids.Member:
    instance_id, _, incarnation = name.rpartition('#')
    return ids.Member(
        ids.InstanceId(instance_id), ids.Incarnation(int(incarnation))
    )
