"""How long a leader may act after a renewal that the store confirmed."""

from . import elections

# Share of another instance's waiting time that is certain to pass, since the
# clocks of instances may differ in speed.
_CERTAIN_SHARE = 0.9


class Tenure:
    """What a leader may conclude from the renewals that the store has.

    Other instances claim after ``LEADER_TIMEOUT_S`` without a record, so this
    leader is the only one for as long after a renewal. If it was replaced
    after that, the next leader waits for the longest lease before it starts
    what may run on a worker that it cannot reach. Leases that were renewed
    until shortly before expire within this time.

    Times are in seconds of the leader's clock.

    :param claim_sent_s: when the claim was sent, which the store confirmed.
    :param hold_max_s: longest lease that a worker grants.
    :param lease_s: lease that each renewal of a worker's lease sets.
    """

    def __init__(
        self, *, claim_sent_s: float, hold_max_s: float, lease_s: float
    ):
        self.confirmed_s = claim_sent_s
        wait_s = elections.LEADER_TIMEOUT_S
        self._exclusive_s = _CERTAIN_SHARE * wait_s
        wait_s += max(0.0, hold_max_s - lease_s)
        self._valid_s = _CERTAIN_SHARE * wait_s
        self._offered_valid_s = _CERTAIN_SHARE * max(0.0, hold_max_s - lease_s)
        self._sent_s: dict[int, float] = {}
        self._offers: tuple[float, float] | None = None  # first and last

    def on_sent(self, end: int, now_s: float) -> None:
        """Notes a renewal that the store applies only at this offset."""
        self._sent_s.setdefault(end, now_s)

    def on_stored(self, offset: int) -> None:
        """Notes that the store has a renewal of this term at an offset."""
        sent_s = self._sent_s.get(offset)
        if sent_s is None:
            return
        self.confirmed_s = max(self.confirmed_s, sent_s)
        if self._offers is not None and sent_s > self._offers[1]:
            self._offers = None
        for end in [end for end in self._sent_s if end <= offset]:
            del self._sent_s[end]

    @property
    def offered(self) -> bool:
        """True while another instance may claim at once."""
        return self._offers is not None

    def on_offered(self, now_s: float) -> None:
        """Notes that another instance was told that it may claim at once.

        It may do so until the store has a renewal that was sent later: a claim
        is conditional on the records that were read before.
        """
        first_s = now_s if self._offers is None else self._offers[0]
        self._offers = (first_s, now_s)

    def is_exclusive(self, now_s: float) -> bool:
        """Returns whether no other instance can have been elected."""
        if self.offered:
            return False
        return now_s - self.confirmed_s < self._exclusive_s

    def is_valid(self, now_s: float) -> bool:
        """Returns whether jobs known before may be started and leases renewed.

        Jobs that were stored after ``is_exclusive`` has ended may be new to
        the next leader, which starts them at once.
        """
        if self._offers is not None:
            if now_s - self._offers[0] >= self._offered_valid_s:
                return False
        return now_s - self.confirmed_s < self._valid_s
