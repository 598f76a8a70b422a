"""Commands of the scheduler that the leader sends to workers."""

import typing as t

from . import execution
from . import model


class Start(t.NamedTuple):
    """Start a planned run."""

    attempt: execution.Attempt


class Stop(t.NamedTuple):
    """Stop a run, or prevent it from starting."""

    attempt: execution.Attempt


class Resolve(t.NamedTuple):
    """Find out whether a worker has executed a start that it has not answered.

    Prevent it from starting if not.
    """

    attempt: execution.Attempt


class StopOrphan(t.NamedTuple):
    """Stop a run that belongs to no known task."""

    worker: str
    task: model.TaskKey
    run: model.RunNumber


class SetPace(t.NamedTuple):
    """Set the percentage of full speed at which a run works."""

    attempt: execution.Attempt
    percent: int


Command = Start | Stop | Resolve | StopOrphan | SetPace
