"""Result of applying one record of the log."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Tells whether a record took effect, and why not.

    :ivar version: version of the configuration key, for changes.
    """

    accepted: bool
    reason: str = ''
    version: int = 0


ACCEPTED = Result(accepted=True)


def refused(reason: str) -> Result:
    """Makes the result of a record without effect."""
    return Result(accepted=False, reason=reason)
