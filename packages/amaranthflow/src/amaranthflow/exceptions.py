"""Errors of the scheduler. Each carries the verdict a caller is told."""

from . import verdict as verdict_lib


class AmaranthflowError(Exception):
    """Base of all errors raised by the packages.

    :param reason: one line in plain English.
    :param retry_after_ms: when a retry makes sense, None if it never does.
    """

    verdict = verdict_lib.Verdict.NOT_RUN

    def __init__(self, reason: str, *, retry_after_ms: int | None = None):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class RequestRefused(AmaranthflowError):
    """The request is invalid or not permitted. It did not run."""


class Overloaded(AmaranthflowError):
    """No room within the deadline. The request did not run."""


class NotReady(AmaranthflowError):
    """The instance lacks the state or the right to act. Nothing ran."""


class RequestUncertain(AmaranthflowError):
    """The request may have run and its answer is lost."""

    verdict = verdict_lib.Verdict.MAY_HAVE_RUN


class PlatformError(AmaranthflowError):
    """A call to the platform failed before it can have taken effect."""


class PlatformUncertain(AmaranthflowError):
    """A call to the platform failed; it may have taken effect."""

    verdict = verdict_lib.Verdict.MAY_HAVE_RUN


class PlatformFailed(PlatformUncertain):
    """A call took effect at least in part and has ended without a result."""


class OffsetExpired(PlatformError):
    """The log no longer keeps the requested offset."""


class InvalidRecord(AmaranthflowError):
    """A record or snapshot cannot be decoded."""


class SettingsError(AmaranthflowError):
    """A flag or environment variable has a wrong value."""
