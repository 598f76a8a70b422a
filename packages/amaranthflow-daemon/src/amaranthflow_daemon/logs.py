"""Log of the daemon: JSON lines by eliot on standard output.

The ``task_uuid`` of a request's or job's lines is the request or job id, so
that one search over the logs of all instances finds everything done for it.
An "@" in an id is written as "%40".
"""

import contextlib
import sys
import time
import typing as t

import eliot

from amaranthflow import linewriter

from . import settings

# Lines of an attempt are nested in the task of its request. The offset keeps
# their levels apart from those of the lines that the entry instance writes.
_ATTEMPT_LEVEL_OFFSET = 1_000_000

_SEVERITY = {level: rank for rank, level in enumerate(settings.LogLevel)}

DEBUG = settings.LogLevel.DEBUG
INFO = settings.LogLevel.INFO
WARNING = settings.LogLevel.WARNING
ERROR = settings.LogLevel.ERROR


class _Filter:
    """Minimum severity that is written; nothing before ``configure``."""

    def __init__(self):
        self.min_severity = len(_SEVERITY)

    def close(self) -> None:
        """Drops all lines from now on."""
        self.min_severity = len(_SEVERITY)


_filter = _Filter()
_OFF = contextlib.nullcontext()


def configure(
    *,
    level: settings.LogLevel,
    instance_id: str,
    stream: t.BinaryIO | None = None,
) -> t.Callable[[], None]:
    """Starts writing; returns a function that flushes and stops.

    Every line carries the field ``instance``. Stopping twice is harmless.

    :param stream: standard output by default.
    """
    writer = linewriter.LineWriter(stream=stream or sys.stdout.buffer)
    destination = eliot.FileDestination(file=writer)
    eliot.add_global_fields(instance=instance_id)
    eliot.add_destinations(destination)
    _filter.min_severity = _SEVERITY[level]

    cleanup = contextlib.ExitStack()
    cleanup.callback(writer.stop)
    cleanup.callback(eliot.remove_destination, destination)
    cleanup.callback(_filter.close)
    return cleanup.close


def enabled(level: settings.LogLevel) -> bool:
    """Returns whether lines of a level are written."""
    return _SEVERITY[level] >= _filter.min_severity


def log_event(
    name: str,
    *,
    level: settings.LogLevel = INFO,
    task_id: str = '',
    **fields: t.Any,
) -> None:
    """Writes one line, as part of the caller's current action.

    :param task_id: request or job that the line is about, if the caller is
        not within an action of it.
    """
    if _SEVERITY[level] < _filter.min_severity:
        return
    if not task_id:
        eliot.log_message(name, level=level.value, **fields)
        return
    message = {
        'message_type': name,
        'task_uuid': _escape(task_id),
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
    attempt passes its number. Exceptions that leave the block are logged and
    propagate.
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
    if _SEVERITY[level] < _filter.min_severity:
        return _OFF
    position = f'/{_ATTEMPT_LEVEL_OFFSET + attempt}' if attempt else '/'
    return eliot.Action.continue_task(
        task_id=f'{_escape(task_id)}@{position}',
        action_type=f'{kind}:attempt' if attempt else kind,
        level=level.value,
        **fields,
    )


def _escape(task_id: str) -> str:
    """Escapes "@", which separates the id from the position in a task."""
    return task_id.replace('@', '%40')
