"""Limits, usage and fair shares of tenants."""

import dataclasses
import typing as t

from amaranthflow_schema.v1 import world_pb2

from . import ids
from . import world

_DEFAULT_WEIGHT = 1.0
_CORES_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Configured limits of a tenant. Zero means no limit or no guarantee.

    :ivar weight: share of the fleet relative to other tenants.
    :ivar quota: upper limit of the resources of its running batch tasks.
    :ivar quota_slots: upper limit of the number of its running batch tasks.
    :ivar guarantee: resources that the tenant gets before tenants whose
        guarantee is already met.
    :ivar urgent_slots: number of urgent tasks that may run ahead of other
        work.
    """

    weight: float = _DEFAULT_WEIGHT
    quota: world.Size = world.ZERO_SIZE
    quota_slots: int = 0
    guarantee: world.Size = world.ZERO_SIZE
    urgent_slots: int = 0

    @classmethod
    def from_message(cls, message: world_pb2.Tenant) -> 'Limits':
        """Converts a schema message; a weight of 0 or less counts as 1."""
        weight = message.weight if message.weight > 0 else _DEFAULT_WEIGHT
        return cls(
            weight=weight,
            quota=world.Size.from_message(message.quota),
            quota_slots=message.quota_slots,
            guarantee=_guarantee(message.guarantee),
            urgent_slots=message.urgent_slots,
        )


def _guarantee(message: world_pb2.Size) -> world.Size:
    size = world.Size.from_message(message)
    return world.ZERO_SIZE if size == world.ZERO_SIZE else size


@dataclasses.dataclass(slots=True)
class Usage:
    """Sum of the sizes of running tasks, and their number.

    :ivar urgent: how many of them were started as urgent.
    """

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    urgent: int = 0

    def add(self, size: world.Size) -> None:
        """Adds one task."""
        self.cores += size.cores
        self.memory_mb += size.memory_mb
        self.accelerators += size.accelerators
        self.slots += 1

    def subtract(self, size: world.Size) -> None:
        """Removes one task."""
        self.slots -= 1
        self.memory_mb -= size.memory_mb
        self.accelerators -= size.accelerators
        # Resetting the sum keeps rounding errors from accumulating.
        self.cores = self.cores - size.cores if self.slots else 0.0

    def ratio(self, total: world.Size, slots: int = 0) -> float:
        """Returns the largest used fraction of any resource of a total.

        Resources of which the total has none are left out.
        """
        ratio = 0.0
        if total.cores > 0:
            ratio = self.cores / total.cores
        if total.memory_mb > 0:
            ratio = max(ratio, self.memory_mb / total.memory_mb)
        if total.accelerators > 0:
            ratio = max(ratio, self.accelerators / total.accelerators)
        if slots > 0:
            ratio = max(ratio, self.slots / slots)
        return ratio

    def fits_quota(self, size: world.Size, limits: Limits) -> bool:
        """Returns whether one more task of a size stays within the quota."""
        quota = limits.quota
        if 0 < limits.quota_slots <= self.slots:
            return False
        if 0 < quota.cores < self.cores + size.cores - _CORES_TOLERANCE:
            return False
        if 0 < quota.memory_mb < self.memory_mb + size.memory_mb:
            return False
        wanted = self.accelerators + size.accelerators
        return not 0 < quota.accelerators < wanted


_NO_USAGE = Usage()


def exceeds_quota(size: world.Size, limits: Limits) -> bool:
    """Returns whether a task of a size alone exceeds the quota."""
    return not _NO_USAGE.fits_quota(size, limits)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A tenant's claim to a part of the fleet.

    :ivar floor: largest fraction of any resource that is guaranteed.
    """

    tenant_id: ids.TenantId
    weight: float
    floor: float


def entitlements(
    claims: t.Collection[Claim],
) -> dict[ids.TenantId, float]:
    """Divides the fleet by weight; no tenant gets less than its floor.

    Floors that add up to more than the whole fleet are scaled down.
    """
    scale = max(1.0, sum(claim.floor for claim in claims))
    entitled: dict[ids.TenantId, float] = {}
    ordered = sorted(claims, key=lambda c: -c.floor / c.weight)
    remaining = 1.0
    weights = sum(claim.weight for claim in claims)
    for claim in ordered:
        floor = claim.floor / scale
        by_weight = max(0.0, remaining) * claim.weight / weights
        entitled[claim.tenant_id] = max(floor, by_weight)
        remaining -= entitled[claim.tenant_id]
        weights -= claim.weight
    return entitled


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """Usage of a tenant, as shown to the tenant and to operators.

    :ivar dominant_share: largest fraction of any resource that it uses.
    :ivar entitlement: fraction of the fleet that it may use by weight and
        guarantee, among the tenants that have work now.
    :ivar running: number of running tasks.
    :ivar waiting: number of waiting tasks, parked ones included.
    """

    tenant_id: ids.TenantId
    dominant_share: float
    entitlement: float
    running: int
    waiting: int
