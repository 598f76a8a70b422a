"""Faults of a worker stand-in, and the interference between its tasks."""

import dataclasses
import typing as t


class Slowdown(t.Protocol):
    """Ratio of run time to the run time without any neighbours."""

    def __call__(self, task_class: str, neighbours: t.Sequence[str]) -> float:
        """Returns the slowdown of a task among neighbours; 1.0 is none."""


def no_slowdown(task_class: str, neighbours: t.Sequence[str]) -> float:
    """Returns 1.0: neighbours do not slow each other down."""
    return 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """Faults of a worker that are active now.

    Shares are of all answers, or of all starts for
    ``duplicated_start_share``.

    :ivar dead: the worker has stopped and lost all state.
    :ivar frozen: calls wait until this is cleared; tasks continue to run.
    :ivar garbage_share: answers with a random body.
    :ivar cut_short_share: answers with a truncated body.
    :ivar foreign_share: answers with the id of another request.
    :ivar late_share: answers delayed by ``late_s``.
    :ivar duplicated_start_share: starts that are delivered a second time
        after ``late_s``.
    :ivar interference: factor on service times and run times.
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
