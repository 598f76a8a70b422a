"""Structured log of an instance: JSON lines on standard output.

Writing does not block; lines are dropped if the reader stalls.
"""

import sys
import time
import typing as t

import msgspec

from amaranthflow import linewriter

# Lines are collected for this long before a write, which saves system calls at
# high rates.
_FLUSH_DELAY_S = 0.1
_QUEUE_LINES = 5_000  # about 1 MB of lines that wait for a stalled reader
# Clients choose paths and hosts, which must not fill the queue.
_MAX_FIELD_CHARS = 400


class _Log:
    """Destination of the lines; none before ``configure``."""

    def __init__(self):
        self.writer: linewriter.LineWriter | None = None
        self.instance = ''


_log = _Log()


def configure(
    *, instance: str, stream: t.BinaryIO | None = None
) -> t.Callable[[], None]:
    """Starts writing; returns a function that flushes and stops."""
    writer = linewriter.LineWriter(
        stream=stream or sys.stdout.buffer,
        limit=_QUEUE_LINES,
        gather_s=_FLUSH_DELAY_S,
    )
    _log.writer = writer
    _log.instance = instance

    def stop() -> None:
        _log.writer = None
        writer.stop()

    return stop


def event(name: str, **fields: t.Any) -> None:
    """Writes one line.

    :param name: name of the event.
    :param fields: fields of the line; ``id`` is the job or request concerned.
    """
    if _log.writer is None:
        return
    line = {
        'time': round(time.time(), 3),
        'event': name,
        'instance': _log.instance,
    }
    fields = {key: _shortened(value) for key, value in fields.items()}
    try:
        encoded = msgspec.json.encode(line | fields, enc_hook=str)
    except (ValueError, OverflowError, RecursionError):
        # A value of another program must not end the work that is logged.
        texts = {key: ascii(value) for key, value in fields.items()}
        encoded = msgspec.json.encode(line | texts)
    _log.writer.write(encoded + b'\n')


def _shortened(value: t.Any) -> t.Any:
    """Returns the value, or the beginning of a long string."""
    if isinstance(value, str) and len(value) > _MAX_FIELD_CHARS:
        return f'{value[:_MAX_FIELD_CHARS]}... ({len(value)} characters)'
    return value
