"""Expected run times of tasks, learned for each queue.

Answers a load whose declared run times are far off: an order by declared work
then lets long jobs pass for short ones. How far a queue's declarations can be
relied on is learned from the steps that were done: the logarithm of the run
time is fitted as a line over that of the declared time. A queue whose
declarations say nothing gets the same run time for all of its tasks.
"""

import math

from . import model

# Declared times may be off by ten times for all steps of a queue, run times
# vary by two or three times: one run time tells as much as the declarations.
_PRIOR_LEVEL_STEPS = 1.0
# Whether larger declarations mean longer runs shows only after some steps.
_PRIOR_SLOPE_STEPS = 6.0
# Variance of the logarithm of declared times that the prior assumes.
_PRIOR_VARIANCE = 0.25
# Weight that earlier steps keep with each new one, so that the fit follows
# the last few hundred.
_KEPT_WEIGHT = 0.99
# Variance of the logarithm of run times around the expected one, until some
# steps were done, and the weight of each one in it.
_FIRST_SQUARED_ERROR = 0.25
_SQUARED_ERROR_WEIGHT = 0.05
_MIN_MS = 1.0


class _Fit:
    """A line through points whose weight fades with each further one.

    The sums are those of linear regression.

    :ivar squared_error: mean one of recent predictions.
    """

    __slots__ = ('weight', 'x', 'y', 'xx', 'xy', 'squared_error')

    def __init__(self):
        self.weight = self.x = self.y = self.xx = self.xy = 0.0
        self.squared_error = _FIRST_SQUARED_ERROR

    def add(self, x: float, y: float) -> None:
        """Adds a point: the logarithms of a declared and a true time."""
        if self.weight:
            error = y - self.predict(x)
            self.squared_error += _SQUARED_ERROR_WEIGHT * (
                error * error - self.squared_error
            )
        self.weight = _KEPT_WEIGHT * self.weight + 1.0
        self.x = _KEPT_WEIGHT * self.x + x
        self.y = _KEPT_WEIGHT * self.y + y
        self.xx = _KEPT_WEIGHT * self.xx + x * x
        self.xy = _KEPT_WEIGHT * self.xy + x * y

    def predict(self, x: float) -> float:
        """Returns the expected logarithm of the run time."""
        mean_x, mean_y = self.x / self.weight, self.y / self.weight
        variance = self.xx - self.weight * mean_x * mean_x
        covariance = self.xy - self.weight * mean_x * mean_y
        prior = _PRIOR_SLOPE_STEPS * _PRIOR_VARIANCE
        slope = (covariance + prior) / (variance + prior)
        slope = min(1.0, max(0.0, slope))
        trusted = self.weight / (self.weight + _PRIOR_LEVEL_STEPS)
        line = mean_y + slope * (x - mean_x)
        return trusted * line + (1.0 - trusted) * x


class DurationModel:
    """Learned run times of all queues."""

    def __init__(self):
        self._fits: dict[model.QueueId, _Fit] = {}

    def observe(
        self, queue: model.QueueId, step: model.Step, observed_ms: float
    ) -> None:
        """Learns from the first task of a step that was done.

        How long an opportunistic run takes depends on what others leave it,
        so nothing is learned from one.
        """
        if step.opportunistic:
            return
        if step.estimate_ms < _MIN_MS or observed_ms < _MIN_MS:
            return
        fit = self._fits.setdefault(queue, _Fit())
        fit.add(math.log(step.estimate_ms), math.log(observed_ms))

    def expected_ms(self, queue: model.QueueId, step: model.Step) -> float:
        """Returns the expected run time of a task of a step."""
        fit = self._fits.get(queue)
        if fit is None or step.estimate_ms < _MIN_MS:
            return float(step.estimate_ms)
        return math.exp(fit.predict(math.log(step.estimate_ms)))

    def deviation(self, queue: model.QueueId) -> float:
        """Returns how far run times are off the expected ones.

        It is the standard deviation of the logarithm of the run time.
        """
        fit = self._fits.get(queue)
        found = _FIRST_SQUARED_ERROR if fit is None else fit.squared_error
        return math.sqrt(found)
