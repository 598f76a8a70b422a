"""Result of applying one record of the log."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Whether a record took effect, and the reason if it did not.

    :ivar version: version of the configuration key, for changes.
    """

    accepted: bool
    reason: str = ''
    version: int = 0


ACCEPTED = Result(accepted=True)


def refused(reason: str) -> Result:
    """Returns the result of a record that has no effect."""
    return Result(accepted=False, reason=reason)
