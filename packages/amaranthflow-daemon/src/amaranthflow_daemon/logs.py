"""Log of the daemon: JSON lines by eliot on standard output.

The ``task_uuid`` of a request's or job's lines is its own id, so that one
search over the logs of all instances shows all that was done for it. An "@"
in an id is written as "%40".
"""

import contextlib
import sys
import time
import typing as t

import eliot

from amaranthflow import linewriter

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

    def close(self) -> None:
        """Lets nothing through."""
        self.least = len(_SEVERITY)


_filter = _Filter()
_OFF = contextlib.nullcontext()


def configure(
    *,
    level: settings.LogLevel,
    instance_id: str,
    stream: t.BinaryIO | None = None,
) -> t.Callable[[], None]:
    """Starts writing; returns a function that writes the rest and stops.

    Every line carries ``instance``. Stopping twice is harmless.
    """
    writer = linewriter.LineWriter(stream=stream or sys.stdout.buffer)
    destination = eliot.FileDestination(file=writer)
    eliot.add_global_fields(instance=instance_id)
    eliot.add_destinations(destination)
    _filter.least = _SEVERITY[level]

    cleanup = contextlib.ExitStack()
    cleanup.callback(writer.stop)
    cleanup.callback(eliot.remove_destination, destination)
    cleanup.callback(_filter.close)
    return cleanup.close


def enabled(level: settings.LogLevel) -> bool:
    """Tells whether lines of a level are written."""
    return _SEVERITY[level] >= _filter.least


def log_event(
    name: str,
    *,
    level: settings.LogLevel = INFO,
    task_id: str = '',
    **fields: t.Any,
) -> None:
    """Writes one line, within the action that the calling task is in.

    :param task_id: request or job that the line is about, where the calling
        task is in no action of it.
    """
    if _SEVERITY[level] < _filter.least:
        return
    if not task_id:
        eliot.log_message(name, level=level.value, **fields)
        return
    message = {
        'message_type': name,
        'task_uuid': _quoted(task_id),
        'task_level': [1],
        'timestamp': time.time(),
        'level': level.value,
        **fields,
    }
    eliot.Logger().write(message)


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
        task_id=f'{_quoted(task_id)}@{place}',
        action_type=f'{kind}:attempt' if attempt else kind,
        level=level.value,
        **fields,
    )


def _quoted(task_id: str) -> str:
    """Leaves out "@", which separates an id from a place within a task."""
    return task_id.replace('@', '%40')
