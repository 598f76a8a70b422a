"""Whether a request has run."""

import enum


class Verdict(enum.Enum):
    """Whether a request has run on a backend server.

    A non-idempotent request may be retried only after ``NOT_RUN``.
    """

    NOT_RUN = 1
    MAY_HAVE_RUN = 2
    COMPLETED = 3

    @property
    def label(self) -> str:
        """Name shown to callers, such as ``may have run``."""
        return self.name.lower().replace('_', ' ')
