"""Configuration: a timeline of versions for each key, bookings included."""

import bisect
import collections
import dataclasses
import typing as t

from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import exceptions
from . import results
from . import validation
from . import world

MIN_BOOKING_LEAD_MS = 10_000
KEEP_CHANGE_IDS_MS = 24 * 3600 * 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """One version of a key; in force from ``effective_at_ms`` on.

    ``effective_at_ms`` is 0 for a change that took effect at once.
    """

    version: int
    change: world_pb2.Change
    effective_at_ms: int


class Timeline:
    """Versions of one key, ordered by version and by effective time."""

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

    def drop_superseded(self, now_ms: int) -> None:
        """Forgets the versions before the one in force."""
        while len(self.versions) > 1:
            if self.versions[1].effective_at_ms > now_ms:
                return
            del self.versions[0]


def _body(change: world_pb2.Change):
    kind = change.WhichOneof('body')
    return None if kind == 'remove' else getattr(change, kind)


def _sum_size(change: world_pb2.Change) -> world.Size:
    """Returns what a change adds to the sum of capacity or guarantees."""
    kind = change.WhichOneof('body')
    if kind == 'tenant':
        return world.Size.from_message(change.tenant.guarantee)
    if kind == 'worker':
        return world.Size.from_message(change.worker.capacity)
    return world.NOTHING


class Configuration:
    """All keys. Deterministic: depends only on the records applied.

    Queries take the time, which must not be before the log's time.
    """

    def __init__(self):
        self._timelines: dict[str, Timeline] = {}
        self._decided: collections.OrderedDict[
            str, records_pb2.AppliedChange
        ] = collections.OrderedDict()
        self._settled = {'tenant': world.NOTHING, 'worker': world.NOTHING}
        self._with_bookings: set[str] = set()
        self.revision = 0

    def check(self, change: world_pb2.Change, now_ms: int) -> results.Result:
        """Tells what ``apply`` would answer, without any effect."""
        try:
            validation.check_change(change)
        except exceptions.RequestRefused as exc:
            return results.refused(exc.reason)
        timeline = self._timelines.get(change.key) or Timeline(key=change.key)
        if change.expected_version != timeline.version:
            return self._conflict(change, timeline)
        reason = self._check_time(change, timeline, now_ms)
        reason = reason or self._check_sum(change, now_ms)
        if reason:
            return results.refused(reason)
        return results.Result(accepted=True, version=timeline.version + 1)

    def apply(self, change: world_pb2.Change, now_ms: int) -> results.Result:
        """Applies a change of the log; a repeated change id has no effect.

        :param now_ms: the log's time, the same on every instance.
        """
        self._forget_changes(now_ms)
        known = self._decided.get(change.change_id)
        if known is not None:
            return results.Result(
                accepted=known.accepted,
                reason=known.reason,
                version=known.version,
            )
        result = self.check(change, now_ms)
        if result.accepted:
            self._enter(change, result.version, now_ms)
        self._decided[change.change_id] = records_pb2.AppliedChange(
            change_id=change.change_id,
            version=result.version,
            accepted=result.accepted,
            reason=result.reason,
            at_ms=now_ms,
        )
        return result

    def in_force(self, key: str, now_ms: int) -> Version | None:
        """Returns the version in force; None if absent or removed."""
        timeline = self._timelines.get(key)
        version = timeline.in_force(now_ms) if timeline else None
        if version is None or version.change.WhichOneof('body') == 'remove':
            return None
        return version

    def timelines(self) -> t.Iterator[Timeline]:
        """Iterates over all keys."""
        return iter(self._timelines.values())

    def bodies(self, kind: str, now_ms: int) -> dict[str, t.Any]:
        """Maps names to the messages of one kind that are in force."""
        prefix = f'{kind}/'
        found = {}
        for key in self._timelines:
            if key.startswith(prefix):
                version = self.in_force(key, now_ms)
                if version is not None:
                    found[key.removeprefix(prefix)] = _body(version.change)
        return found

    def next_booking_ms(self, now_ms: int) -> int | None:
        """Returns the earliest effective time after now."""
        times = [
            version.effective_at_ms
            for timeline in self._timelines.values()
            for version in timeline.booked(now_ms)
        ]
        return min(times, default=None)

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
        """Replaces the content by a snapshot's."""
        self._timelines = {}
        self._settled = {'tenant': world.NOTHING, 'worker': world.NOTHING}
        self._with_bookings = set()
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
            self._note_size(state.key, snapshot.log_time_ms)
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
            return '' if booked else f'{change.key} has no booking'
        if booked and at_ms <= booked[-1].effective_at_ms:
            last = booked[-1]
            return (
                f'{change.key} is booked at {last.effective_at_ms}'
                f' by change {last.change.change_id}; withdraw that first'
            )
        return ''

    def _enter(self, change, version: int, now_ms: int) -> None:
        timeline = self._timelines.setdefault(
            change.key, Timeline(key=change.key)
        )
        self._forget_size(change.key)
        timeline.version = version
        if change.WhichOneof('body') == 'withdraw':
            booked = len(timeline.booked(now_ms))
            del timeline.versions[len(timeline.versions) - booked :]
        else:
            timeline.versions.append(
                Version(
                    version=version,
                    change=change,
                    effective_at_ms=change.effective_at_ms,
                )
            )
        timeline.drop_superseded(now_ms)
        self._note_size(change.key, now_ms)
        self.revision += 1

    def _forget_changes(self, now_ms: int) -> None:
        limit_ms = now_ms - KEEP_CHANGE_IDS_MS
        while self._decided:
            oldest = next(iter(self._decided.values()))
            if oldest.at_ms >= limit_ms:
                return
            self._decided.popitem(last=False)

    def _check_sum(self, change: world_pb2.Change, now_ms: int) -> str:
        """Checks that guarantees fit the capacity at every later moment."""
        if change.key.partition('/')[0] not in ('tenant', 'worker'):
            return ''
        self._settle(now_ms)
        for at_ms in self._moments(change, now_ms):
            promised = self._total('tenant', change, at_ms, now_ms)
            capacity = self._total('worker', change, at_ms, now_ms)
            if not promised.fits(capacity):
                return (
                    f'guarantees of {promised.cores:g} cores and'
                    f' {promised.memory_mb} MB exceed the capacity of'
                    f' {capacity.cores:g} cores and {capacity.memory_mb} MB'
                    f' at {at_ms}'
                )
        return ''

    def _moments(self, change: world_pb2.Change, now_ms: int) -> list[int]:
        first_ms = change.effective_at_ms or now_ms
        moments = {first_ms}
        for key in self._with_bookings:
            for version in self._timelines[key].booked(now_ms):
                moments.add(version.effective_at_ms)
        return sorted(m for m in moments if m >= first_ms)

    def _total(self, kind, change, at_ms: int, now_ms: int) -> world.Size:
        total = self._settled[kind]
        keys = {k for k in self._with_bookings if k.startswith(f'{kind}/')}
        if change.key.startswith(f'{kind}/') and change.key not in keys:
            total = total.minus(self._settled_size(change.key))
            keys.add(change.key)
        for key in keys:
            total = total.plus(self._size_with(key, change, at_ms, now_ms))
        return total

    def _size_with(self, key, change, at_ms: int, now_ms: int) -> world.Size:
        """Returns a key's size at a time as if the change were applied."""
        if key == change.key and change.WhichOneof('body') != 'withdraw':
            return _sum_size(change)
        if key == change.key:
            at_ms = now_ms
        version = self._timelines[key].in_force(at_ms)
        return _sum_size(version.change) if version else world.NOTHING

    def _settle(self, now_ms: int) -> None:
        """Moves keys whose bookings have passed to the settled totals."""
        for key in list(self._with_bookings):
            self._forget_size(key)
            self._timelines[key].drop_superseded(now_ms)
            self._note_size(key, now_ms)

    def _settled_size(self, key: str) -> world.Size:
        timeline = self._timelines.get(key)
        if timeline is None or not timeline.versions:
            return world.NOTHING
        return _sum_size(timeline.versions[0].change)

    def _forget_size(self, key: str) -> None:
        kind = key.partition('/')[0]
        if key in self._with_bookings:
            self._with_bookings.discard(key)
        elif kind in self._settled:
            size = self._settled_size(key)
            self._settled[kind] = self._settled[kind].minus(size)

    def _note_size(self, key: str, now_ms: int) -> None:
        kind = key.partition('/')[0]
        versions = self._timelines[key].versions
        if kind not in self._settled or not versions:
            return
        if len(versions) > 1 or versions[0].effective_at_ms > now_ms:
            self._with_bookings.add(key)
            return
        size = _sum_size(versions[0].change)
        self._settled[kind] = self._settled[kind].plus(size)
