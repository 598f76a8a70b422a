"""Claims that limit a non-idempotent request to a single run."""

import collections
import dataclasses
import typing as t

from amaranthflow_schema.v1 import records_pb2

from . import ids
from . import results

KEEP_CLAIMS_MS = 3600 * 1000


class ClaimKey(t.NamedTuple):
    """Key of a claim. Request ids are unique only within a tenant."""

    tenant_id: ids.TenantId
    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Claim:
    claimant: ids.Member
    at_ms: int


class ClaimTable:
    """Replicated set of claimed requests, each kept for ``KEEP_CLAIMS_MS``."""

    def __init__(self):
        self._claimed: collections.OrderedDict[ClaimKey, _Claim] = (
            collections.OrderedDict()
        )

    def __len__(self):
        return len(self._claimed)

    def claim(
        self, record, claimant: ids.Member, now_ms: int
    ) -> results.Result:
        """Claims a request; all but its first claim are refused."""
        key = _key(record)
        if key in self._claimed:
            return results.refused('a request with this id was sent before')
        self._claimed[key] = _Claim(claimant=claimant, at_ms=now_ms)
        return results.ACCEPTED

    def release(self, record, claimant: ids.Member) -> results.Result:
        """Removes the claim of a request that certainly did not run.

        Refused unless ``claimant`` holds the claim.
        """
        claim = self._claimed.get(_key(record))
        if claim is None or claim.claimant != claimant:
            return results.refused('the writer does not hold the claim')
        del self._claimed[_key(record)]
        return results.ACCEPTED

    def expire(self, now_ms: int) -> None:
        """Removes claims older than ``KEEP_CLAIMS_MS``."""
        limit_ms = now_ms - KEEP_CLAIMS_MS
        while self._claimed:
            key = next(iter(self._claimed))
            if self._claimed[key].at_ms >= limit_ms:
                return
            del self._claimed[key]

    def dump(self, snapshot: records_pb2.Snapshot) -> None:
        """Adds all claims to a snapshot."""
        for key, claim in self._claimed.items():
            snapshot.requests.add(
                tenant_id=key.tenant_id,
                request_id=key.request_id,
                at_ms=claim.at_ms,
                instance_id=claim.claimant.instance,
                incarnation=claim.claimant.incarnation,
            )

    def load(self, snapshot: records_pb2.Snapshot) -> None:
        """Replaces all claims with those of a snapshot."""
        self._claimed = collections.OrderedDict(
            (_key(state), _claim(state)) for state in snapshot.requests
        )


def _key(message) -> ClaimKey:
    return ClaimKey(
        ids.TenantId(message.tenant_id), ids.RequestId(message.request_id)
    )


def _claim(state: records_pb2.RequestState) -> _Claim:
    claimant = ids.Member(
        ids.InstanceId(state.instance_id), ids.Incarnation(state.incarnation)
    )
    return _Claim(claimant=claimant, at_ms=state.at_ms)
