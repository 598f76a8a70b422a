"""Versioned configuration with changes booked for a later time."""

import bisect
import collections
import dataclasses
import hashlib
import types
import typing as t

from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import exceptions
from . import headroom
from . import results
from . import validation

MIN_BOOKING_LEAD_MS = 10_000
KEEP_CHANGE_IDS_MS = 24 * 3600 * 1000
# By then the leases of tasks on a removed worker have expired, whatever the
# differences between clocks.
WORKER_REJOIN_DELAY_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """One version of a key.

    :ivar effective_at_ms: time from which it is in force; for a change that
        was not booked, the log's time when it was applied.
    """

    version: int
    change: world_pb2.Change
    effective_at_ms: int

    @property
    def kind(self) -> str:
        """Name of the field of the change's body."""
        return self.change.WhichOneof('body')

    @property
    def settled_at_ms(self) -> int:
        """Time from which the version before this one is not needed."""
        wait_ms = WORKER_REJOIN_DELAY_MS if self.kind == 'remove' else 0
        return self.effective_at_ms + wait_ms


class _Settlement(t.NamedTuple):
    """Time at which a key's versions must be checked again."""

    at_ms: int
    key: str


class Timeline:
    """Versions of one key, in the order of version and effective time."""

    def __init__(self, *, key: str):
        self.key = key
        self.version = 0
        self.versions: list[Version] = []

    def in_force(self, now_ms: int) -> Version | None:
        """Returns the version in force, None before the first one."""
        index = bisect.bisect_right(
            self.versions, now_ms, key=lambda v: v.effective_at_ms
        )
        return self.versions[index - 1] if index else None

    def booked(self, now_ms: int) -> tuple[Version, ...]:
        """Returns the versions that are not in force yet."""
        return tuple(v for v in self.versions if v.effective_at_ms > now_ms)

    def withdrawable(self, now_ms: int) -> tuple[Version, ...]:
        """Returns booked versions that are not yet in force on any clock."""
        return self.booked(now_ms + MIN_BOOKING_LEAD_MS - 1)

    def drop_superseded(self, now_ms: int) -> None:
        """Removes versions that are not needed any more."""
        while len(self.versions) > 1:
            if self.versions[1].settled_at_ms > now_ms:
                return
            del self.versions[0]

    def settlements(self, settled_ms: int) -> list[_Settlement]:
        """Returns the times at which the versions must be checked again."""
        settlements = []
        for index, version in enumerate(self.versions):
            if index or version.settled_at_ms > settled_ms:
                settlements.append(
                    _Settlement(version.settled_at_ms, self.key)
                )
            if settled_ms < version.effective_at_ms < version.settled_at_ms:
                settlements.append(
                    _Settlement(version.effective_at_ms, self.key)
                )
        return settlements

    def addresses(self) -> set[str]:
        """Returns the worker addresses of all versions kept."""
        return {
            v.change.worker.address
            for v in self.versions
            if v.kind == 'worker'
        }

    def deltas(self) -> list[headroom.Delta]:
        """Returns the change of the headroom by each version."""
        deltas = []
        before = headroom.ZERO
        for version in self.versions:
            amount = _headroom_change(version.change)
            change = amount.minus(before)
            deltas.append(headroom.Delta(version.effective_at_ms, change))
            before = amount
        return deltas


def _body(change: world_pb2.Change):
    kind = change.WhichOneof('body')
    return None if kind == 'remove' else getattr(change, kind)


def _headroom_change(change: world_pb2.Change) -> headroom.Amount:
    """Returns what a change contributes to the headroom."""
    kind = change.WhichOneof('body')
    if kind == 'tenant':
        guarantee = headroom.Amount.from_message(change.tenant.guarantee)
        return headroom.ZERO.minus(guarantee)
    if kind == 'worker':
        return headroom.Amount.from_message(change.worker.capacity)
    return headroom.ZERO


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CachedBodies:
    """Messages of one kind, valid until the next change of any key."""

    found: t.Mapping[str, t.Any]
    revision: int
    from_ms: int
    until_ms: int | None

    def is_valid(self, revision: int, now_ms: int) -> bool:
        """Returns whether the messages are those in force at a time."""
        if revision != self.revision or now_ms < self.from_ms:
            return False
        return self.until_ms is None or now_ms < self.until_ms


class Configuration:
    """Replicated configuration of all keys.

    It depends only on the records applied. Queries take the current time,
    which must not be before the log's time.
    """

    def __init__(self):
        self._timelines: dict[str, Timeline] = {}
        self._decided: collections.OrderedDict[
            str, records_pb2.AppliedChange
        ] = collections.OrderedDict()
        self._headroom = headroom.Headroom()
        self._settled_until_ms = 0
        self._settlements: list[_Settlement] = []
        self._addresses: dict[str, str] = {}
        self._bodies: dict[str, _CachedBodies] = {}
        self.revision = 0

    def check(self, change: world_pb2.Change, now_ms: int) -> results.Result:
        """Returns what ``apply`` would return, without applying the change."""
        try:
            validation.check_change(change)
        except exceptions.RequestRefused as exc:
            return results.refused(exc.reason)
        timeline = self._timelines.get(change.key) or Timeline(key=change.key)
        if change.expected_version != timeline.version:
            return self._conflict(change, timeline)
        reason = (
            self._check_time(change, timeline, now_ms)
            or self._check_worker_address(change, timeline, now_ms)
            or self._check_guarantees(change, timeline, now_ms)
        )
        if reason:
            return results.refused(reason)
        return results.Result(accepted=True, version=timeline.version + 1)

    def apply(self, change: world_pb2.Change, now_ms: int) -> results.Result:
        """Applies a change; a repeated change id has no further effect.

        :param now_ms: the log's time, the same on every instance.
        """
        self._forget_changes(now_ms)
        self._drop_superseded(now_ms)
        known = self._decided.get(change.change_id)
        digest = _digest(change)
        if known is not None and known.sha256 not in (b'', digest):
            return results.refused('another change has this change_id')
        if known is not None:
            return results.Result(
                accepted=known.accepted,
                reason=known.reason,
                version=known.version,
            )
        result = self.check(change, now_ms)
        if result.accepted:
            self._add_version(change, result.version, now_ms)
        self._decided[change.change_id] = records_pb2.AppliedChange(
            change_id=change.change_id,
            version=result.version,
            accepted=result.accepted,
            reason=result.reason,
            at_ms=now_ms,
            sha256=digest,
        )
        return result

    def in_force(self, key: str, now_ms: int) -> Version | None:
        """Returns the version in force, None if the key is not set."""
        timeline = self._timelines.get(key)
        version = timeline.in_force(now_ms) if timeline else None
        if version is None or version.change.WhichOneof('body') == 'remove':
            return None
        return version

    def timelines(self) -> t.Iterator[Timeline]:
        """Iterates over the timelines of all keys."""
        return iter(self._timelines.values())

    def bodies(self, kind: str, now_ms: int) -> t.Mapping[str, t.Any]:
        """Maps names to the messages of one kind that are in force."""
        cached = self._bodies.get(kind)
        if cached is None or not cached.is_valid(self.revision, now_ms):
            cached = self._list_bodies(kind, now_ms)
            self._bodies[kind] = cached
        return cached.found

    def next_booking_ms(self, now_ms: int) -> int | None:
        """Returns the next time at which a version becomes effective.

        For the removal of a worker, the time at which the worker may be
        added again counts too. None if there is no such time.
        """
        index = bisect.bisect_right(
            self._settlements, now_ms, key=lambda d: d.at_ms
        )
        return (
            self._settlements[index].at_ms
            if index < len(self._settlements)
            else None
        )

    def _list_bodies(self, kind: str, now_ms: int) -> _CachedBodies:
        prefix = f'{kind}/'
        found = {}
        for key in self._timelines:
            if key.startswith(prefix):
                version = self.in_force(key, now_ms)
                if version is not None:
                    found[key.removeprefix(prefix)] = _body(version.change)
        return _CachedBodies(
            found=types.MappingProxyType(found),
            revision=self.revision,
            from_ms=now_ms,
            until_ms=self.next_booking_ms(now_ms),
        )

    def dump(self, snapshot: records_pb2.Snapshot) -> None:
        """Adds all keys and decided change ids to a snapshot."""
        for key in sorted(self._timelines):
            timeline = self._timelines[key]
            state = snapshot.keys.add(key=key, version=timeline.version)
            for version in timeline.versions:
                change = world_pb2.Change()
                change.CopyFrom(version.change)
                change.effective_at_ms = version.effective_at_ms
                state.timeline.add(version=version.version, change=change)
        snapshot.changes.extend(self._decided.values())

    def load(self, snapshot: records_pb2.Snapshot) -> None:
        """Replaces all keys and change ids with those of a snapshot."""
        self._timelines = {}
        self._headroom = headroom.Headroom()
        self._headroom.advance(snapshot.log_time_ms)
        self._settled_until_ms = snapshot.log_time_ms
        self._settlements = []
        self._addresses = {}
        for state in snapshot.keys:
            timeline = Timeline(key=state.key)
            timeline.version = state.version
            timeline.versions = [
                Version(
                    version=entry.version,
                    change=entry.change,
                    effective_at_ms=entry.change.effective_at_ms,
                )
                for entry in state.timeline
            ]
            self._timelines[state.key] = timeline
            self._index(timeline)
        self._decided = collections.OrderedDict(
            (change.change_id, change) for change in snapshot.changes
        )
        self.revision += 1

    def _conflict(self, change, timeline: Timeline) -> results.Result:
        winner = timeline.versions[-1].change if timeline.versions else None
        text = f'{change.key} is at version {timeline.version}'
        if winner is not None:
            text += f', set by change {winner.change_id}'
            text += f' of {winner.operator or "an unnamed operator"}'
        return results.Result(
            accepted=False, reason=text, version=timeline.version
        )

    def _check_time(self, change, timeline: Timeline, now_ms: int) -> str:
        at_ms = change.effective_at_ms
        if at_ms and at_ms < now_ms + MIN_BOOKING_LEAD_MS:
            return f'a booking needs {MIN_BOOKING_LEAD_MS} ms of lead'
        booked = timeline.booked(now_ms)
        if change.WhichOneof('body') == 'withdraw':
            return _check_withdrawal(change, timeline, now_ms)
        if booked and at_ms <= booked[-1].effective_at_ms:
            last = booked[-1]
            return (
                f'{change.key} is booked at {last.effective_at_ms}'
                f' by change {last.change.change_id}; withdraw that first'
            )
        return ''

    def _check_worker_address(
        self, change, timeline: Timeline, now_ms: int
    ) -> str:
        """Prevents two owners from admitting work to the same machine."""
        if change.WhichOneof('body') != 'worker':
            return ''
        user = self._addresses.get(change.worker.address, change.key)
        if user != change.key:
            return f'{user} has the address {change.worker.address}'
        if not timeline.versions:
            return ''
        last = timeline.versions[-1]
        if last.kind == 'remove':
            first_ms = last.effective_at_ms + WORKER_REJOIN_DELAY_MS
            if (change.effective_at_ms or now_ms) < first_ms:
                return (
                    f'{change.key} may come back'
                    f' {WORKER_REJOIN_DELAY_MS} ms after it left'
                )
            return ''
        new, old = change.worker, last.change.worker
        if (new.rack_id, new.address) != (old.rack_id, old.address):
            return f'{change.key} changes rack or address, remove it first'
        return ''

    def _check_guarantees(
        self, change, timeline: Timeline, now_ms: int
    ) -> str:
        """Checks that guarantees fit the capacity from now on."""
        after = _versions_after(change, timeline, now_ms)
        deltas = headroom.negated(timeline.deltas()) + after.deltas()
        first_ms = change.effective_at_ms or now_ms
        shortage = self._headroom.first_shortage(deltas, first_ms)
        if shortage is None:
            return ''
        return (
            f'guarantees would exceed the capacity'
            f' at {shortage.at_ms} by {shortage.headroom.shortage()}'
        )

    def _add_version(self, change, version: int, now_ms: int) -> None:
        timeline = self._timelines.get(change.key)
        if timeline is None:
            timeline = Timeline(key=change.key)
        else:
            self._unindex(timeline)
        timeline = _versions_after(change, timeline, now_ms)
        timeline.version = version
        timeline.drop_superseded(now_ms)
        self._timelines[change.key] = timeline
        self._index(timeline)
        self.revision += 1

    def _drop_superseded(self, now_ms: int) -> None:
        """Removes versions that are not needed any more."""
        self._headroom.advance(now_ms)
        count = bisect.bisect_right(
            self._settlements, now_ms, key=lambda d: d.at_ms
        )
        keys = {item.key for item in self._settlements[:count]}
        timelines = [self._timelines[key] for key in keys]
        for timeline in timelines:
            self._unindex(timeline)
            timeline.drop_superseded(now_ms)
        self._settled_until_ms = now_ms
        for timeline in timelines:
            self._index(timeline)

    def _index(self, timeline: Timeline) -> None:
        self._headroom.add(timeline.deltas())
        for item in timeline.settlements(self._settled_until_ms):
            bisect.insort(self._settlements, item)
        for address in timeline.addresses():
            self._addresses[address] = timeline.key

    def _unindex(self, timeline: Timeline) -> None:
        self._headroom.subtract(timeline.deltas())
        for item in timeline.settlements(self._settled_until_ms):
            del self._settlements[bisect.bisect_left(self._settlements, item)]
        for address in timeline.addresses():
            del self._addresses[address]

    def _forget_changes(self, now_ms: int) -> None:
        limit_ms = now_ms - KEEP_CHANGE_IDS_MS
        while self._decided:
            oldest = next(iter(self._decided.values()))
            if oldest.at_ms >= limit_ms:
                return
            self._decided.popitem(last=False)


def _digest(change: world_pb2.Change) -> bytes:
    data = change.SerializeToString(deterministic=True)
    return hashlib.sha256(data).digest()


def _versions_after(change, timeline: Timeline, now_ms: int) -> Timeline:
    """Returns a copy of a timeline with a change applied to it."""
    after = Timeline(key=timeline.key)
    after.versions = list(timeline.versions)
    if change.WhichOneof('body') == 'withdraw':
        count = len(timeline.withdrawable(now_ms))
        del after.versions[len(after.versions) - count :]
        return after
    after.versions.append(
        Version(
            version=timeline.version + 1,
            change=change,
            effective_at_ms=change.effective_at_ms or now_ms,
        )
    )
    return after


def _check_withdrawal(change, timeline: Timeline, now_ms: int) -> str:
    if timeline.withdrawable(now_ms):
        return ''
    if timeline.booked(now_ms):
        return (
            f'what is booked for {change.key} is due within'
            f' {MIN_BOOKING_LEAD_MS} ms'
        )
    return f'{change.key} has no booking'
