"""Faults of a worker stand-in, and how its tasks disturb each other."""

import dataclasses
import typing as t


class Slowdown(t.Protocol):
    """Run time over run time alone, given the classes of the neighbours."""

    def __call__(self, task_class: str, neighbours: t.Sequence[str]) -> float:
        """Returns 1.0 for no slowdown."""


def no_slowdown(task_class: str, neighbours: t.Sequence[str]) -> float:
    """Neighbours do not disturb each other."""
    return 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """What is wrong with a worker now. Shares are of answers or starts.

    :ivar frozen: nothing is handled until it is cleared; tasks run on.
    :ivar late_s: how late a late answer or a duplicated start comes.
    :ivar interference: factor on service and run times.
    """

    dead: bool = False
    frozen: bool = False
    fails_everything: bool = False
    garbage_share: float = 0.0
    cut_short_share: float = 0.0
    foreign_share: float = 0.0
    late_share: float = 0.0
    duplicated_start_share: float = 0.0
    late_s: float = 1.0
    interference: float = 1.0
