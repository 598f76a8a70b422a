"""Availability zones that get no new runs at an operator's request.

Answers two loads. A pool that loses the workers of a zone for a while: their
runs go on, and everything that would start there starts elsewhere or waits.
And the backlog that meets the workers when the zone is back: they may be slow
at first, so each takes one run at once, and more as the seconds pass. Services
start there at once, since their callers wait.

The operator's records may arrive more than once and out of order, and the
table may have dropped all but the newest record of each zone.
"""

import dataclasses
import typing as t

from amaranthflow import ids

from . import execution
from . import logs
from . import workers

# The first runs on a worker show within this time whether it is slow.
_RETURN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Request:
    """Newest known record of a zone.

    :ivar offset: offset of the record in the operator's table.
    :ivar active: False for a tombstone.
    :ivar changed_s: when it was learned that the zone is evacuated or back.
    """

    offset: int
    active: bool
    changed_s: float


class Evacuations:
    """What an instance has read of the operator's evacuation requests.

    Times are in seconds of the instance's clock. A zone without any worker is
    kept as well, since its workers may be listed later.

    :ivar zones: zones that get no new runs now.
    :ivar read_s: when the last successful read of the table was sent; all
        requests that the store had acknowledged by then are known.
    """

    def __init__(self):
        self.zones: frozenset[ids.ZoneId] = frozenset()
        self.read_s = float('-inf')
        self._requests: dict[ids.ZoneId, _Request] = {}
        self._returning: frozenset[ids.ZoneId] = frozenset()

    # records

    def on_record(
        self, zone: ids.ZoneId, offset: int, now_s: float, *, active: bool
    ) -> None:
        """Handles a request, or a tombstone, which takes it back.

        A record that is not newer than the zone's last one has no effect.
        """
        known = self._requests.get(zone)
        if known is not None and offset <= known.offset:
            return
        changed_s = known.changed_s if known else float('-inf')
        if active is not (zone in self.zones):
            self._log_change(zone, offset, now_s - changed_s, active=active)
            changed_s = now_s
            self.zones ^= {zone}
        self._requests[zone] = _Request(
            offset=offset, active=active, changed_s=changed_s
        )

    def _log_change(
        self, zone: ids.ZoneId, offset: int, seconds: float, *, active: bool
    ) -> None:
        if active:
            logs.event('evacuation_requested', zone=zone, offset=offset)
        else:
            logs.event(
                'evacuation_withdrawn',
                zone=zone,
                offset=offset,
                seconds=round(seconds, 2),
            )

    def on_missing(
        self, listed: t.Container[ids.ZoneId], end: int, now_s: float
    ) -> None:
        """Takes back the requests that a complete list does not have.

        :param listed: zones with a request in the list.
        :param end: end of the table when the list was made; records from
            this offset on may be missing from the list.
        """
        for zone in self.zones:
            if zone not in listed:
                self.on_record(zone, end - 1, now_s, active=False)

    def on_read(self, sent_s: float) -> None:
        """Notes that all records up to this time have been handled."""
        self.read_s = max(self.read_s, sent_s)

    # decisions

    def is_current(
        self, now_s: float, max_age_s: float, store_answered_s: float
    ) -> bool:
        """Returns whether runs may start on what is known.

        A request that the store has acknowledged since the last read may be
        unknown. While the store answers nothing else to this instance either,
        it cannot tell an outage, in which nobody can evacuate a zone, and what
        it knows holds.

        :param max_age_s: how long a request may be unknown.
        :param store_answered_s: when the newest other call was sent that the
            store has carried out.
        """
        known_until_s = min(now_s, store_answered_s)
        return known_until_s - self.read_s <= max_age_s

    def limit_returning(
        self, fleet: t.Iterable[workers.Worker], now_s: float
    ) -> None:
        """Limits the runs on workers whose zones have come back shortly ago.

        Has to be called again as time passes.
        """
        if not self._requests:
            return
        shares = {
            zone: (now_s - request.changed_s) / _RETURN_S
            for zone, request in self._requests.items()
            if not request.active and now_s - request.changed_s < _RETURN_S
        }
        for worker in fleet:
            share = shares.get(worker.entry.zone)
            capacity = worker.entry.capacity.cpu
            worker.max_batch_cpu = (
                None if share is None else round(share * capacity)
            )
        for zone in self._returning.difference(shares, self.zones):
            logs.event('zone_returned', zone=zone)
        self._returning = frozenset(shares)


def planned_runs(
    members: t.Iterable[workers.Worker],
) -> list[execution.Attempt]:
    """Returns the runs of workers for which no command was sent yet."""
    return [
        attempt
        for worker in members
        for attempt in worker.attempts
        if attempt.state is execution.AttemptState.PLANNED
    ]


def log_in_force(
    zone: ids.ZoneId, members: t.Sequence[workers.Worker]
) -> None:
    """Logs that the leader starts nothing more in a zone.

    :param members: the known workers of the zone. There are none if the name
        is wrong, or if the workers are not listed yet.
    """
    logs.event(
        'evacuation_in_force',
        zone=zone,
        workers=len(members),
        runs=sum(len(worker.attempts) for worker in members),
    )
