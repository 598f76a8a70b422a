"""Who leads: records in the store, conditional on the table's end.

A claim's offset is unique and rises, so the number after it is the leader's
token. The leader repeats its record; an instance that reads the table
without gaps and sees no repeat for a while claims.
"""

import dataclasses

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import model
from . import ports

KEY = b'leader'
# How often the leader repeats its record. Three missing ones are a third of
# a lease, so that a new leader reaches the workers before leases lapse.
RENEW_S = 0.5
TAKEOVER_S = 1.5
# Silence after which the leader is asked whether it still leads.
DOUBT_S = 0.65
# Reads further apart than this prove nothing about the time between them.
_GAP_S = 1.6


# A leader of 175 workers uses 0.4 cores on the average, one of 246 up to 0.9
# (bench, grown deployments). Its tables of a few MB are to arrive within a
# second.
_LEADER_PROCESSORS = 1.0
_LEADER_LINK_MBPS = 50.0
# A larger instance claims within some 20 ms; one that is too slow to be
# there by then is no better leader.
HANDICAP_S = 0.5
# A small instance that leads is asked to hand over after so long; twice the
# time in which leaders that are in touch may not take turns.
RELIEF_S = 6.0
# An instance that failed to recover leaves the next claims to others.
REST_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """What an instance has for its work.

    :ivar processors: whole processors' worth, may be a fraction.
    :ivar link_mbps: bandwidth of its network link, Mbit/s.
    """

    processors: float = _LEADER_PROCESSORS
    link_mbps: float = _LEADER_LINK_MBPS

    @property
    def handicap_s(self) -> float:
        """Seconds by which the instance claims later than a large one."""
        small = (
            self.processors < _LEADER_PROCESSORS,
            self.link_mbps < _LEADER_LINK_MBPS,
        )
        return HANDICAP_S * any(small)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """A leader's time in office as its newest record tells.

    :ivar released: the leader has stepped down.
    :ivar small: the leader's instance is too small for a fleet.
    """

    token: model.Token
    instance: ids.InstanceId
    address: str
    released: bool = False
    small: bool = False


def encode(
    term: Term | None, *, instance: str, address: str, small: bool = False
) -> bytes:
    """Returns a record; without a term it is a claim."""
    fields = {'instance': instance, 'address': address, 'small': small}
    if term is not None:
        fields['token'] = term.token
        fields['released'] = term.released
    return msgspec.json.encode(fields)


def decode(record: ports.Record) -> Term:
    """Returns the term that a record tells of. Raises InvalidRecord."""
    try:
        fields = msgspec.json.decode(record.value)
        token = fields.get('token') or record.offset + 1
        return Term(
            token=model.Token(token),
            instance=ids.InstanceId(fields['instance']),
            address=str(fields['address']),
            released=bool(fields.get('released')),
            small=bool(fields.get('small')),
        )
    except (
        msgspec.MsgspecError,
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
    ) as exc:
        reason = f'leader record at {record.offset}: {exc}'
        raise exceptions.InvalidRecord(reason) from exc


class Observer:
    """What an instance has read of the leaders' table.

    :param instance: this instance. A term of its own that it does not serve
        is one of its former process.
    :param patience_s: silence after which this instance claims.
    :param handicap_s: how much later it claims than larger instances do.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        patience_s: float = TAKEOVER_S,
        handicap_s: float = 0.0,
    ):
        self.term: Term | None = None
        self.end = 0
        self._instance = instance
        self._over: Term | None = None
        self._patience_s = patience_s
        self._handicap_s = handicap_s
        self._free_since_s: float | None = None
        self._term_since_s = 0.0
        self._rests_until_s = float('-inf')
        self._silent_since_s: float | None = None
        self._read_s: float | None = None

    def on_read(
        self, batch: ports.Batch, asked_s: float, now_s: float
    ) -> Term | None:
        """Takes a read; returns a term that is new or has changed.

        :param asked_s: when the read was sent, seconds.
        """
        gap = self._read_s is None or asked_s - self._read_s > _GAP_S
        self._read_s = now_s
        if gap or batch.records or self._silent_since_s is None:
            self._silent_since_s = now_s
        self.end = batch.end
        before = self.term
        for record in batch.records:
            if record.value:
                self.term = decode(record)
        if before is None or self.term is None:
            self._term_since_s = now_s
        elif self.term.token != before.token:
            self._term_since_s = now_s
        if not self._is_free():
            self._free_since_s = None
        elif self._free_since_s is None:
            self._free_since_s = now_s
        return self.term if self.term != before else None

    def on_failure(self) -> None:
        """Notes that a read has failed; silence counts anew."""
        self._silent_since_s = None
        self._free_since_s = None

    def rest(self, now_s: float) -> None:
        """Leaves the next claims to other instances."""
        self._rests_until_s = now_s + REST_S

    def mark_over(self, term: Term, now_s: float) -> None:
        """Notes that a term's process no longer serves it."""
        self._over = term
        if self._free_since_s is None and self._is_free():
            self._free_since_s = now_s

    def silent_s(self, now_s: float) -> float:
        """Returns for how long there surely was no record, in seconds."""
        if self._silent_since_s is None:
            return 0.0
        return now_s - self._silent_since_s

    def term_age_s(self, now_s: float) -> float:
        """Returns for how long the newest term is known, in seconds."""
        return now_s - self._term_since_s

    def may_claim(self, now_s: float) -> bool:
        """Tells whether there is no leader, for one that does not lead."""
        return self.claims_in_s(now_s) <= 0.0

    def claims_in_s(self, now_s: float) -> float:
        """Returns the seconds until this instance may claim if none does."""
        if self._silent_since_s is None:
            return float('inf')
        left_s = self._patience_s + self._handicap_s - self.silent_s(now_s)
        if self._free_since_s is not None:
            free_s = now_s - self._free_since_s
            left_s = min(left_s, self._handicap_s - free_s)
        return max(left_s, self._rests_until_s - now_s)

    def _is_free(self) -> bool:
        """Tells whether nobody serves the newest term."""
        term = self.term
        if term is None or term.released or term == self._over:
            return True
        return term.instance == self._instance
