"""Slowdown that task classes cause to each other, learned from reports.

Each ordered pair (victim, neighbour) has an excess: the slowdown that one
neighbour adds to the victim, where 0.2 is a fifth of its run time. The
excesses of all neighbours add up. Each pair is a scalar Kalman filter whose
mean and variance decay to a common prior, so that sparse or old evidence has
little weight.
"""

import dataclasses
import math
import typing as t

from . import ids

_MAX_AGE_HALF_LIVES = 6

# Number of neighbours of each class. A throttled one counts as its share.
Neighbours = t.Mapping[ids.TaskClass, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Learned excess of one pair.

    :ivar excess: slowdown added by each neighbour.
    :ivar deviation: standard deviation of the excess.
    """

    victim: ids.TaskClass
    neighbour: ids.TaskClass
    excess: float
    deviation: float
    updated_at_ms: int


@dataclasses.dataclass(slots=True)
class _Pair:
    mean: float
    variance: float
    updated_at_ms: int


class InterferenceModel:
    """Learns excesses and predicts slowdowns, with bounded state.

    :param prior_excess: excess assumed of an unknown pair.
    :param prior_deviation: standard deviation of pairs from the prior.
    :param noise_deviation: standard deviation of the error of one report.
    :param half_life_ms: time in which evidence loses half of its weight.
    :param max_pairs: limit of pairs; the least recently reported is evicted.
    """

    def __init__(
        self,
        *,
        prior_excess: float = 0.05,
        prior_deviation: float = 0.3,
        noise_deviation: float = 0.1,
        half_life_ms: int = 300_000,
        max_pairs: int = 4096,
    ):
        self.prior_excess = prior_excess
        self._prior_variance = prior_deviation**2
        self._noise_variance = noise_deviation**2
        self._decay_per_ms = math.log(2) / half_life_ms
        self._max_age_ms = half_life_ms * _MAX_AGE_HALF_LIVES
        self._max_pairs = max_pairs
        self._pairs: dict[tuple[ids.TaskClass, ids.TaskClass], _Pair] = {}

    def observe(
        self,
        victim: ids.TaskClass,
        neighbours: Neighbours,
        slowdown: float,
        measured_at_ms: int,
        now_ms: int,
    ) -> None:
        """Learns from one report.

        A report is ignored if it is older than a few half-lives, has no
        neighbours or is not a finite number.

        :param neighbours: those at the time of the measurement, without the
            victim itself.
        :param slowdown: run time over run time without neighbours.
        """
        lag_ms = max(0, now_ms - measured_at_ms)
        if lag_ms > self._max_age_ms or not math.isfinite(slowdown):
            return
        terms = [
            (self._refreshed_pair(victim, neighbour, measured_at_ms), weight)
            for neighbour, weight in neighbours.items()
            if weight > 0
        ]
        noise = self._noise_variance * math.exp(lag_ms * self._decay_per_ms)
        _kalman_update(terms, slowdown - 1.0, noise)
        self._evict()

    def observe_change(
        self,
        victim: ids.TaskClass,
        changes: Neighbours,
        change: float,
        now_ms: int,
    ) -> None:
        """Learns from two successive measurements of one victim.

        Influences common to both, mainly the victim's own load, cancel out.

        :param changes: difference in the number of each neighbour.
        :param change: difference in the victim's slowdown.
        """
        if not math.isfinite(change):
            return
        terms = [
            (self._refreshed_pair(victim, neighbour, now_ms), weight)
            for neighbour, weight in changes.items()
            if weight
        ]
        _kalman_update(terms, change, self._noise_variance)
        self._evict()

    def advance(self, now_ms: int) -> None:
        """Ages every pair and removes those that have decayed to the prior."""
        for key, pair in list(self._pairs.items()):
            if now_ms - pair.updated_at_ms > self._max_age_ms:
                del self._pairs[key]
                continue
            self._age(pair, now_ms)

    def excess(self, victim: ids.TaskClass, neighbour: ids.TaskClass) -> float:
        """Returns the excess that one neighbour causes, at least 0."""
        pair = self._pairs.get((victim, neighbour))
        if pair is None:
            return self.prior_excess
        return pair.mean if pair.mean > 0.0 else 0.0

    def predict(self, victim: ids.TaskClass, neighbours: Neighbours) -> float:
        """Returns the slowdown expected beside neighbours, at least 1."""
        return 1.0 + sum(
            self.excess(victim, neighbour) * weight
            for neighbour, weight in neighbours.items()
        )

    def estimates(self) -> tuple[Estimate, ...]:
        """Lists the pairs with evidence, least recently reported first."""
        return tuple(
            Estimate(
                victim=victim,
                neighbour=neighbour,
                excess=pair.mean,
                deviation=math.sqrt(pair.variance),
                updated_at_ms=pair.updated_at_ms,
            )
            for (victim, neighbour), pair in self._pairs.items()
        )

    def adopt(self, estimates: t.Iterable[Estimate]) -> None:
        """Adds another model's pairs, except those known here."""
        for estimate in estimates:
            self._pairs.setdefault(
                (estimate.victim, estimate.neighbour),
                _Pair(
                    estimate.excess,
                    estimate.deviation**2,
                    estimate.updated_at_ms,
                ),
            )
        self._evict()

    def _refreshed_pair(
        self, victim: ids.TaskClass, neighbour: ids.TaskClass, at_ms: int
    ) -> _Pair:
        key = (victim, neighbour)
        pair = self._pairs.pop(key, None)
        if pair is None:
            pair = _Pair(self.prior_excess, self._prior_variance, at_ms)
        self._pairs[key] = pair
        self._age(pair, at_ms)
        return pair

    def _age(self, pair: _Pair, at_ms: int) -> None:
        elapsed_ms = at_ms - pair.updated_at_ms
        if elapsed_ms <= 0:
            return
        retained = math.exp(-elapsed_ms * self._decay_per_ms)
        pair.mean = (
            self.prior_excess + (pair.mean - self.prior_excess) * retained
        )
        gap = self._prior_variance - pair.variance
        pair.variance = self._prior_variance - gap * retained
        pair.updated_at_ms = at_ms

    def _evict(self) -> None:
        while len(self._pairs) > self._max_pairs:
            del self._pairs[next(iter(self._pairs))]


def _kalman_update(
    terms: list[tuple[_Pair, float]], excess: float, noise: float
) -> None:
    """Updates pairs by one measurement, the uncertain ones the most.

    :param terms: pairs and the weights with which they add up.
    :param excess: measured sum.
    :param noise: variance of the measurement.
    """
    error = excess - sum(pair.mean * weight for pair, weight in terms)
    spread = noise + sum(
        pair.variance * weight * weight for pair, weight in terms
    )
    for pair, weight in terms:
        gain = pair.variance * weight / spread
        pair.mean += gain * error
        pair.variance *= 1.0 - gain * weight
