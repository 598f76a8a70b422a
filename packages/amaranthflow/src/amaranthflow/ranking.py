"""Tenants sorted by keys that change over time."""

import bisect
import typing as t

from . import ids


class Rank(t.NamedTuple):
    """Sort key of a tenant: lower tier first, then lower value, then id."""

    tier: int
    value: float
    tenant_id: ids.TenantId


class Ranking:
    """Tenants in the order of their ranks.

    Intended for up to a few thousand tenants: a change takes O(log n)
    comparisons, and O(n) to shift a list.
    """

    def __init__(self):
        self._sorted: list[Rank] = []
        self._ranks: dict[ids.TenantId, Rank] = {}

    def __len__(self) -> int:
        return len(self._ranks)

    def place(self, rank: Rank) -> None:
        """Adds a tenant or changes its rank."""
        old = self._ranks.get(rank.tenant_id)
        if old == rank:
            return
        if old is not None:
            del self._sorted[bisect.bisect_left(self._sorted, old)]
        bisect.insort(self._sorted, rank)
        self._ranks[rank.tenant_id] = rank

    def discard(self, tenant_id: ids.TenantId) -> None:
        """Removes a tenant, if present."""
        old = self._ranks.pop(tenant_id, None)
        if old is not None:
            del self._sorted[bisect.bisect_left(self._sorted, old)]

    def first(self, after: Rank | None = None) -> Rank | None:
        """Returns the first rank, or the first one after ``after``."""
        start = 0
        if after is not None:
            start = bisect.bisect_right(self._sorted, after)
        if start >= len(self._sorted):
            return None
        return self._sorted[start]

    def last(self) -> Rank | None:
        """Returns the last rank, None if there is none."""
        return self._sorted[-1] if self._sorted else None
