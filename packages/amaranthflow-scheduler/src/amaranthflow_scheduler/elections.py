"""Leader election by conditional appends to the leaders table.

An instance claims leadership with an append that requires the table's end to
be unchanged. The offset of a claim is unique and increases, so the next
number serves as the leader's fencing token. The leader renews its record
periodically. An instance that follows the table without gaps and sees no
renewal for a while claims.
"""

import dataclasses
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import decoding
from . import logs
from . import model
from . import ports

KEY = b'leader'
# Interval between renewals of the leader's record. Three missed renewals are a
# third of a worker's lease, so that a new leader reaches the workers before
# leases expire.
RENEW_INTERVAL_S = 0.5
LEADER_TIMEOUT_S = 1.5
# Silence after which an instance checks whether the leader still leads.
LEADER_PROBE_AFTER_S = 0.65
# A silent leader that leads on may offer its term a moment later. Instances
# that could claim at once ask it again after this time.
_ASK_AGAIN_S = 0.2
# Reads further apart than this do not prove silence in between.
_MAX_READ_GAP_S = 1.6

# A leader of 175 workers uses 0.4 cores on average, one of 246 workers up to
# 0.9. Its tables of a few MB have to arrive within a second.
_LEADER_PROCESSORS = 1.0
_LEADER_LINK_MBPS = 50.0
# A large instance claims within some 20 ms. One that takes longer than this
# delay would not be a better leader.
SMALL_CLAIM_DELAY_S = 0.5
# A small leader is asked to hand over after this time. It is twice the time
# within which leaders that reach the store must not change.
HAND_OVER_AFTER_S = 6.0
# Pause after which an instance that failed to recover may claim again.
CLAIM_PAUSE_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Resources of an instance.

    :ivar processors: processors of usual speed, may be a fraction.
    :ivar link_mbps: bandwidth of the network link in Mbit/s.
    """

    processors: float = _LEADER_PROCESSORS
    link_mbps: float = _LEADER_LINK_MBPS

    @property
    def claim_delay_s(self) -> float:
        """Seconds by which the instance delays its claims if it is small."""
        small = (
            self.processors < _LEADER_PROCESSORS,
            self.link_mbps < _LEADER_LINK_MBPS,
        )
        return SMALL_CLAIM_DELAY_S * any(small)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """A leader's term according to its newest record.

    :ivar released: the leader has resigned.
    :ivar recorded: all starts that may take effect were recorded before.
    :ivar small: the instance is smaller than a leader of a fleet should be.
    """

    token: model.Token
    instance: ids.InstanceId
    address: str
    released: bool = False
    recorded: bool = False
    small: bool = False


def encode(
    term: Term | None, *, instance: str, address: str, small: bool = False
) -> bytes:
    """Returns the value of a leader record; without a term it is a claim."""
    fields = {'instance': instance, 'address': address, 'small': small}
    if term is not None:
        fields['token'] = term.token
        fields['released'] = term.released
        fields['recorded'] = term.recorded
    return msgspec.json.encode(fields)


class _Record(msgspec.Struct):
    instance: str
    address: str
    token: t.Annotated[int, msgspec.Meta(ge=1)] | None = None  # none: a claim
    released: bool = False
    recorded: bool = False
    small: bool = False


def decode(record: ports.Record) -> Term:
    """Returns the term of a leader record. Raises InvalidRecord."""
    try:
        fields = decoding.decode(record.value, _Record)
    except exceptions.InvalidRecord as exc:
        reason = f'leader record at {record.offset}: {exc}'
        raise exceptions.InvalidRecord(reason) from exc
    claim_token = record.offset + 1
    token = claim_token if fields.token is None else fields.token
    if token > claim_token:
        reason = f'leader record at {record.offset}: token {token} is too high'
        raise exceptions.InvalidRecord(reason)
    return Term(
        token=model.Token(token),
        instance=ids.InstanceId(fields.instance),
        address=fields.address,
        released=fields.released,
        recorded=fields.recorded,
        small=fields.small,
    )


def read_terms(
    records: t.Iterable[ports.Record],
) -> t.Iterator[tuple[int, Term]]:
    """Yields the offsets and terms of leader records.

    Records of other writers are logged and left out.
    """
    for record in records:
        if record.key != KEY or not record.value:
            continue
        try:
            yield record.offset, decode(record)
        except exceptions.InvalidRecord as exc:
            logs.event(
                'record_set_aside', offset=record.offset, error=str(exc)
            )


class Observer:
    """Tracks the leader from reads of the leaders table.

    :param instance: this instance. A term of this instance that the process
        does not serve belongs to an earlier process.
    :param timeout_s: silence after which this instance claims.
    :param claim_delay_s: delay of claims relative to larger instances.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        timeout_s: float = LEADER_TIMEOUT_S,
        claim_delay_s: float = 0.0,
    ):
        self.term: Term | None = None
        self.end = 0
        self._instance = instance
        self._ended_term: Term | None = None
        self._offered = False
        self._doubted = False
        self._timeout_s = timeout_s
        self._claim_delay_s = claim_delay_s
        self._vacant_since_s: float | None = None
        self._term_since_s = 0.0
        self._claims_paused_until_s = float('-inf')
        self._silent_since_s: float | None = None
        self._last_read_s: float | None = None

    def on_read(
        self, batch: ports.Batch, sent_s: float, now_s: float
    ) -> Term | None:
        """Applies a read; returns the term if it is new or has changed.

        :param sent_s: time at which the read was sent, in seconds.
        :param now_s: time at which the response arrived, in seconds.
        """
        gap = (
            self._last_read_s is None
            or sent_s - self._last_read_s > _MAX_READ_GAP_S
        )
        self._last_read_s = now_s
        terms = [term for _, term in read_terms(batch.records)]
        if gap or terms or self._silent_since_s is None:
            self._silent_since_s = now_s
        if gap or terms:
            self._offered = self._doubted = False
        self.end = batch.end
        previous = self.term
        if terms:
            self.term = terms[-1]
        if previous is None or self.term is None:
            self._term_since_s = now_s
        elif self.term.token != previous.token:
            self._term_since_s = now_s
        if not self._is_vacant():
            self._vacant_since_s = None
        elif self._vacant_since_s is None:
            self._vacant_since_s = now_s
        return self.term if self.term != previous else None

    def learn(self, term: Term, now_s: float) -> bool:
        """Follows a term that another instance has named, if it is newer.

        A claim still needs reads of the table.
        """
        if self.term is not None and self.term.token >= term.token:
            return False
        self.term = term
        self._term_since_s = now_s
        return True

    def on_read_failure(self) -> None:
        """Handles a failed read; the measured silence starts again."""
        self._silent_since_s = None
        self._vacant_since_s = None
        self._offered = self._doubted = False

    def pause_claims(self, now_s: float) -> None:
        """Lets other instances claim first for ``CLAIM_PAUSE_S`` seconds."""
        self._claims_paused_until_s = now_s + CLAIM_PAUSE_S

    def mark_ended(self, term: Term, now_s: float) -> None:
        """Marks a term as ended because its process no longer leads."""
        self._ended_term = term
        if self._vacant_since_s is None and self._is_vacant():
            self._vacant_since_s = now_s

    def mark_offered(self, now_s: float) -> None:
        """Notes that the leader, which cannot renew its term, offers it.

        The offer ends with the next record of a leader. A small instance does
        not use it: a larger one may ask the leader up to a read later.
        """
        if self._claim_delay_s > 0:
            return
        self._offered = True
        if self._vacant_since_s is None:
            self._vacant_since_s = now_s

    def mark_doubted(self) -> None:
        """Notes that the leader, though silent, leads on without an offer."""
        self._doubted = True

    def silent_s(self, now_s: float) -> float:
        """Returns for how many seconds there was provably no record."""
        if self._silent_since_s is None:
            return 0.0
        return now_s - self._silent_since_s

    def term_age_s(self, now_s: float) -> float:
        """Returns for how many seconds the newest term has been known."""
        return now_s - self._term_since_s

    def may_claim(self, now_s: float) -> bool:
        """Returns whether this instance, which does not lead, may claim."""
        return self.claims_in_s(now_s) <= 0.0

    def claims_in_s(self, now_s: float) -> float:
        """Returns the seconds until this instance may claim.

        The result is infinite before the first read and after a failed one.
        """
        if self._silent_since_s is None:
            return float('inf')
        left_s = self._timeout_s + self._claim_delay_s - self.silent_s(now_s)
        if self._vacant_since_s is not None:
            vacant_s = now_s - self._vacant_since_s
            left_s = min(left_s, self._claim_delay_s - vacant_s)
        return max(left_s, self._claims_paused_until_s - now_s)

    def read_wait_s(self, now_s: float, max_s: float) -> float:
        """Returns how long a read may wait for the next record.

        It ends once a claim is due, or a silent leader is to be asked again.
        """
        if self._doubted and not self._claim_delay_s:
            max_s = min(max_s, _ASK_AGAIN_S)
        due_s = self.claims_in_s(now_s)
        return min(due_s, max_s) if due_s > 0 else max_s

    def _is_vacant(self) -> bool:
        """Returns whether no process serves the newest term, or offers it."""
        term = self.term
        if self._offered:
            return True
        if term is None or term.released or term == self._ended_term:
            return True
        return term.instance == self._instance
