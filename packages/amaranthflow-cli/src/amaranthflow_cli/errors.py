"""Errors of the command line and their exit codes."""

import enum

from amaranthflow import exceptions
from amaranthflow import verdict


class ExitCode(enum.IntEnum):
    """Exit codes of ``amaranthflow``.

    Both ``REFUSED`` and ``TRY_AGAIN`` mean that the request did not run;
    only after ``TRY_AGAIN`` may it succeed later.
    """

    DONE = 0
    REFUSED = 1
    WRONG_USAGE = 2
    MAY_HAVE_RUN = 3
    TRY_AGAIN = 4


class UsageError(exceptions.SettingsError):
    """A flag, a variable or a file is invalid. Nothing was sent."""


class RequestFileError(UsageError):
    """A request file cannot be read or does not follow the schema."""


class DigestMismatch(UsageError):
    """A request file differs from the one that was reviewed."""


class Unreachable(exceptions.NotReady):
    """No instance accepted the request. It did not run."""


def exit_code(exc: exceptions.AmaranthflowError) -> ExitCode:
    """Returns the exit code for an error."""
    if isinstance(exc, exceptions.SettingsError):
        return ExitCode.WRONG_USAGE
    if exc.verdict is not verdict.Verdict.NOT_RUN:
        return ExitCode.MAY_HAVE_RUN
    if isinstance(exc, exceptions.RequestRefused):
        return ExitCode.REFUSED
    return ExitCode.TRY_AGAIN


def format_line(exc: exceptions.AmaranthflowError) -> str:
    """Returns the one-line message for an error."""
    reason = ' '.join(exc.reason.split())
    if isinstance(exc, exceptions.SettingsError):
        return f'amaranthflow: {reason}'
    text = f'amaranthflow: {exc.verdict.label}: {reason}'
    if exc.retry_after_ms is not None:
        text += f'; try again in {exc.retry_after_ms / 1000:g} s'
    return text
