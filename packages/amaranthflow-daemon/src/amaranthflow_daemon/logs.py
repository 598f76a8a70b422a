"""Log of the daemon: JSON lines by eliot on standard output.

The ``task_uuid`` of a request's or job's lines is its own id, so that one
search over the logs of all instances shows all that was done for it. An "@"
in an id is written as "%40".
"""

import contextlib
import sys
import typing as t

import eliot

from . import settings

# An attempt's lines stand below the request's own; attempts are numbered
# apart from the lines that the entry instance writes.
_ATTEMPT_LEVEL = 1_000_000

_SEVERITY = {level: rank for rank, level in enumerate(settings.LogLevel)}

DEBUG = settings.LogLevel.DEBUG
INFO = settings.LogLevel.INFO
WARNING = settings.LogLevel.WARNING
ERROR = settings.LogLevel.ERROR


class _Filter:
    """Least severity that is written; nothing before ``configure``."""

    def __init__(self):
        self.least = len(_SEVERITY)


_filter = _Filter()
_OFF = contextlib.nullcontext()


def configure(
    *,
    level: settings.LogLevel,
    instance_id: str,
    stream: t.TextIO | None = None,
) -> t.Callable[[], None]:
    """Starts writing; returns a function that stops it.

    Every line carries ``instance``.
    """
    destination = eliot.FileDestination(file=stream or sys.stdout)
    eliot.add_global_fields(instance=instance_id)
    eliot.add_destinations(destination)
    _filter.least = _SEVERITY[level]

    def stop() -> None:
        _filter.least = len(_SEVERITY)
        eliot.remove_destination(destination)

    return stop


def enabled(level: settings.LogLevel) -> bool:
    """Tells whether lines of a level are written."""
    return _SEVERITY[level] >= _filter.least


def log_event(
    name: str, *, level: settings.LogLevel = INFO, **fields: t.Any
) -> None:
    """Writes one line, within the action that the calling task is in."""
    if _SEVERITY[level] >= _filter.least:
        eliot.log_message(name, level=level.value, **fields)


def request_action(
    request_id: str,
    *,
    attempt: int = 0,
    level: settings.LogLevel = INFO,
    **fields: t.Any,
) -> t.ContextManager[t.Any]:
    """Returns the action of a request, to be entered with ``with``.

    The entry instance leaves ``attempt`` at 0; the instance that runs an
    attempt gives its number. Errors that leave the block are logged and
    passed on.
    """
    return _action('request', request_id, attempt, level, fields)


def job_action(
    job_id: str,
    *,
    attempt: int = 0,
    level: settings.LogLevel = INFO,
    **fields: t.Any,
) -> t.ContextManager[t.Any]:
    """Returns the action of a job or of one attempt to run it."""
    return _action('job', job_id, attempt, level, fields)


def _action(
    kind: str,
    task_id: str,
    attempt: int,
    level: settings.LogLevel,
    fields: dict[str, t.Any],
) -> t.ContextManager[t.Any]:
    if _SEVERITY[level] < _filter.least:
        return _OFF
    place = f'/{_ATTEMPT_LEVEL + attempt}' if attempt else '/'
    return eliot.Action.continue_task(
        task_id=f'{task_id.replace("@", "%40")}@{place}',
        action_type=f'{kind}:attempt' if attempt else kind,
        level=level.value,
        **fields,
    )
