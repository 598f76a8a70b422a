"""Orders that the scheduler wants carried out."""

import typing as t

from . import execution
from . import model


class Start(t.NamedTuple):
    """Start a planned run."""

    copy: execution.Copy


class Stop(t.NamedTuple):
    """Stop a run, or keep it from starting."""

    copy: execution.Copy


class StopStray(t.NamedTuple):
    """Stop a run that belongs to no task."""

    worker: str
    task: model.TaskKey
    run: model.Run


class Pace(t.NamedTuple):
    """Set the percentage at which a run works."""

    copy: execution.Copy
    percent: int


Order = Start | Stop | StopStray | Pace
