"""Assignment of racks to instances by bounded rendezvous hashing."""

import hashlib
import math
import typing as t

from . import ids


def desired_owners(
    rack_ids: t.Iterable[ids.RackId], instances: t.Collection[ids.InstanceId]
) -> dict[ids.RackId, ids.InstanceId]:
    """Maps each rack to the instance that should own it.

    Every instance computes the same map from the same arguments. Each
    instance gets at most ceil(racks / instances) racks, and few racks move
    when an instance is added or removed. Empty if there is no instance.
    """
    racks = sorted(rack_ids)
    if not instances or not racks:
        return {}
    limit = math.ceil(len(racks) / len(instances))
    counts = dict.fromkeys(instances, 0)
    desired = {}
    for rack_id in racks:
        ranked = sorted(instances, key=lambda i: _weight(rack_id, i))
        owner = next(i for i in ranked if counts[i] < limit)
        counts[owner] += 1
        desired[rack_id] = owner
    return desired


def _weight(rack_id: ids.RackId, instance_id: ids.InstanceId) -> bytes:
    text = f'{rack_id}|{instance_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
