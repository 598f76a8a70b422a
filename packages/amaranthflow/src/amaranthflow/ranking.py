"""Sorted order of tenants by keys that change."""

import bisect
import typing as t

from . import ids


class Rank(t.NamedTuple):
    """Place of a tenant: lower tier first, then lower value, then id."""

    tier: int
    value: float
    tenant_id: ids.TenantId


class Ranking:
    """Tenants in the order of their ranks.

    Made for up to some thousand tenants: a change compares O(log n) ranks
    and shifts a list.
    """

    def __init__(self):
        self._sorted: list[Rank] = []
        self._ranks: dict[ids.TenantId, Rank] = {}

    def __len__(self) -> int:
        return len(self._ranks)

    def place(self, rank: Rank) -> None:
        """Adds a tenant or moves it to another place."""
        old = self._ranks.get(rank.tenant_id)
        if old == rank:
            return
        if old is not None:
            del self._sorted[bisect.bisect_left(self._sorted, old)]
        bisect.insort(self._sorted, rank)
        self._ranks[rank.tenant_id] = rank

    def discard(self, tenant_id: ids.TenantId) -> None:
        """Removes a tenant, if it is there."""
        old = self._ranks.pop(tenant_id, None)
        if old is not None:
            del self._sorted[bisect.bisect_left(self._sorted, old)]

    def first(self, after: Rank | None = None) -> Rank | None:
        """Returns the first rank, or the first beyond ``after``."""
        start = 0
        if after is not None:
            start = bisect.bisect_right(self._sorted, after)
        if start >= len(self._sorted):
            return None
        return self._sorted[start]

    def last(self) -> Rank | None:
        """Returns the last rank."""
        return self._sorted[-1] if self._sorted else None
