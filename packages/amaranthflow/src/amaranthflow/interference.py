"""Slowdown that classes of tasks cause to each other, learned from reports.

Each ordered pair (victim, neighbour) has an excess: how much one neighbour
adds to the victim's slowdown, 0.2 is a fifth of its run time. The excesses
of all neighbours add up. A pair is a scalar Kalman filter whose mean and
variance relax to a common prior, so that thin or old evidence counts little.
"""

import dataclasses
import math
import typing as t

from . import ids

_HALF_LIVES_KEPT = 6

# Number of neighbours of each class. A throttled one counts by its share.
Neighbours = t.Mapping[ids.TaskClass, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """What is known of one pair, for explanations.

    :ivar excess: added slowdown for each neighbour.
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
    """Learns excesses and predicts slowdowns. State is bounded.

    :param prior_excess: excess assumed of an unknown pair.
    :param prior_deviation: how far pairs are expected to differ from it.
    :param noise_deviation: spread of one report around the truth.
    :param half_life_ms: time in which evidence loses half of its weight.
    :param max_pairs: pairs kept; the least recently reported one is dropped.
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
        self._oldest_ms = half_life_ms * _HALF_LIVES_KEPT
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

        :param neighbours: those of the time of the measurement, without the
            victim itself.
        :param slowdown: run time over run time without neighbours.

        A report older than a few half-lives, one without neighbours or one
        that is not a finite number is ignored.
        """
        lag_ms = max(0, now_ms - measured_at_ms)
        if lag_ms > self._oldest_ms or not math.isfinite(slowdown):
            return
        touched = [
            (self._touch(victim, neighbour, measured_at_ms), weight)
            for neighbour, weight in neighbours.items()
            if weight > 0
        ]
        noise = self._noise_variance * math.exp(lag_ms * self._decay_per_ms)
        _correct(touched, slowdown - 1.0, noise)
        self._bound()

    def observe_change(
        self,
        victim: ids.TaskClass,
        changes: Neighbours,
        change: float,
        now_ms: int,
    ) -> None:
        """Learns from two successive measurements of one victim.

        What is the same in both, the victim's own load above all, cancels.

        :param changes: by how much each neighbour grew, negative if it shrank.
        :param change: by how much the victim's slowdown grew.
        """
        if not math.isfinite(change):
            return
        touched = [
            (self._touch(victim, neighbour, now_ms), weight)
            for neighbour, weight in changes.items()
            if weight
        ]
        _correct(touched, change, self._noise_variance)
        self._bound()

    def advance(self, now_ms: int) -> None:
        """Ages every pair; drops those that have come back to the prior."""
        for key, pair in list(self._pairs.items()):
            if now_ms - pair.updated_at_ms > self._oldest_ms:
                del self._pairs[key]
                continue
            self._age(pair, now_ms)

    def excess(self, victim: ids.TaskClass, neighbour: ids.TaskClass) -> float:
        """Returns the excess that one neighbour causes, never negative."""
        pair = self._pairs.get((victim, neighbour))
        if pair is None:
            return self.prior_excess
        return pair.mean if pair.mean > 0.0 else 0.0

    def predict(self, victim: ids.TaskClass, neighbours: Neighbours) -> float:
        """Returns the slowdown expected beside these neighbours, from 1."""
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
        """Takes what another model has learned; own evidence is kept."""
        for found in estimates:
            self._pairs.setdefault(
                (found.victim, found.neighbour),
                _Pair(found.excess, found.deviation**2, found.updated_at_ms),
            )
        self._bound()

    def _touch(
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
        kept = math.exp(-elapsed_ms * self._decay_per_ms)
        pair.mean = self.prior_excess + (pair.mean - self.prior_excess) * kept
        gap = self._prior_variance - pair.variance
        pair.variance = self._prior_variance - gap * kept
        pair.updated_at_ms = at_ms

    def _bound(self) -> None:
        while len(self._pairs) > self._max_pairs:
            del self._pairs[next(iter(self._pairs))]


def _correct(
    touched: list[tuple[_Pair, float]], excess: float, noise: float
) -> None:
    """Shares the error of the prediction out by each pair's uncertainty."""
    error = excess - sum(pair.mean * weight for pair, weight in touched)
    spread = noise + sum(
        pair.variance * weight * weight for pair, weight in touched
    )
    for pair, weight in touched:
        gain = pair.variance * weight / spread
        pair.mean += gain * error
        pair.variance *= 1.0 - gain * weight
