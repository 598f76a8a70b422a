"""How long services run, and when room comes free in a full pool.

A caller whose service is refused should come back when another service has
probably ended. The load answered here is a pool in which services come and go
while there is no room for all of them.
"""

import collections
import typing as t

from amaranthflow import ids

# Until a service has ended. Callers give up after a few tries.
_DEFAULT_WAIT_S = 5.0
_MIN_WAIT_S = 1.0
_MAX_WAIT_S = 30.0


class RunningService(t.NamedTuple):
    """A service that runs."""

    cpu: int
    age_s: float


class ServiceLifetimes:
    """Lifetimes of the services that have ended, by pool."""

    def __init__(self):
        self._ended: collections.Counter[ids.ServiceId] = collections.Counter()
        self._lasted_s: collections.defaultdict[ids.ServiceId, float] = (
            collections.defaultdict(float)
        )

    def on_ended(self, pool: ids.ServiceId, lasted_s: float) -> None:
        """Notes that a service has ended."""
        self._ended[pool] += 1
        self._lasted_s[pool] += max(0.0, lasted_s)

    def wait_s(
        self,
        pool: ids.ServiceId,
        cpu: int,
        running: t.Sequence[RunningService],
    ) -> float:
        """Returns the time in which so many processors probably come free.

        Services end at a constant rate: the number of those that have ended
        divided by the total time for which services have run.
        """
        ended = self._ended[pool]
        held = sum(service.cpu for service in running)
        if not ended or not held:
            return _DEFAULT_WAIT_S
        total_s = self._lasted_s[pool] + sum(
            service.age_s for service in running
        )
        freed_per_s = held * ended / max(1.0, total_s)
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, cpu / freed_per_s))
