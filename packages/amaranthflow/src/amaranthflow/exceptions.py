"""Errors of the scheduler, each with the verdict reported to the caller."""

from . import verdict as verdict_lib


class AmaranthflowError(Exception):
    """Base class of all errors of the scheduler.

    :param reason: one line in plain English.
    :param retry_after_ms: time after which a retry may succeed, None if a
        retry cannot help.
    """

    verdict = verdict_lib.Verdict.NOT_RUN

    def __init__(self, reason: str, *, retry_after_ms: int | None = None):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class RequestRefused(AmaranthflowError):
    """The request is invalid or not permitted; it did not run."""


class Overloaded(AmaranthflowError):
    """There is no capacity within the deadline; the request did not run."""


class NotReady(AmaranthflowError):
    """The instance lacks the state or the right to act; nothing ran."""


class RequestUncertain(AmaranthflowError):
    """The request may have run, but its response was lost."""

    verdict = verdict_lib.Verdict.MAY_HAVE_RUN


class PlatformError(AmaranthflowError):
    """A call to the platform failed before it can have taken effect."""


class PlatformUncertain(AmaranthflowError):
    """A call to the platform failed; it may have taken effect."""

    verdict = verdict_lib.Verdict.MAY_HAVE_RUN


class PlatformFailed(PlatformUncertain):
    """A call took effect at least partially and ended without a result."""


class OffsetExpired(PlatformError):
    """The log does not keep the requested offset any more."""


class InvalidRecord(AmaranthflowError):
    """A record or snapshot cannot be decoded."""


class SettingsError(AmaranthflowError):
    """A flag or environment variable has an invalid value."""
