"""What is known about a request that got no plain answer."""

import enum


class Verdict(enum.Enum):
    """Says whether a request may have run on a backend server.

    Only ``NOT_RUN`` allows a retry of a non-idempotent request.
    """

    NOT_RUN = 1
    MAY_HAVE_RUN = 2
    COMPLETED = 3

    @property
    def label(self) -> str:
        """The form shown to callers: ``not run``, ``may have run`` ..."""
        return self.name.lower().replace('_', ' ')
