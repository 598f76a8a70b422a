"""In-memory stand-in for the platform's list of instances."""

import collections
import dataclasses
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import platform


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListChange:
    """One change of the list; ``phase`` None removes the instance."""

    at_s: float
    instance_id: str
    phase: platform.InstancePhase | None


class InstanceListStandin:
    """Implements ``amaranthflow.platform.InstanceList`` with a delay.

    :param delay_s: delay until a change becomes visible in snapshots.
    :ivar changes: every change made, for checks.
    """

    def __init__(self, *, clock: clock_lib.Clock, delay_s: float = 1.0):
        self.delay_s = delay_s
        self.down = False
        self.changes: list[ListChange] = []
        self._clock = clock
        self._pending: collections.deque[ListChange] = collections.deque()
        self._visible: dict[str, platform.InstancePhase] = {}

    def set_phase(
        self, instance_id: str, phase: platform.InstancePhase | None
    ) -> None:
        """Changes the phase of an instance; None removes it."""
        change = ListChange(
            at_s=self._clock.monotonic(), instance_id=instance_id, phase=phase
        )
        self.changes.append(change)
        self._pending.append(change)

    async def snapshot(self) -> t.Mapping[str, platform.InstancePhase]:
        """Returns the phase of each instance as it was ``delay_s`` ago."""
        if self.down:
            raise exceptions.PlatformError('instance list is down')
        visible_until_s = self._clock.monotonic() - self.delay_s
        while self._pending and self._pending[0].at_s <= visible_until_s:
            self._apply(self._pending.popleft())
        return dict(self._visible)

    def _apply(self, change: ListChange) -> None:
        if change.phase is None:
            self._visible.pop(change.instance_id, None)
        else:
            self._visible[change.instance_id] = change.phase
