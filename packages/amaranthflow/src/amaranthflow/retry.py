"""Retry decisions: retry budgets, backoff and policy."""

import dataclasses
import enum
import random

from amaranthflow_schema.v1 import world_pb2

from . import ids
from . import verdict as verdict_lib

DEFAULT_RETRY_RATIO = 0.1
DEFAULT_MAX_ATTEMPTS = 3
MAX_TENANTS = 1024

_MIN_TOKENS_PER_S = 0.2
_MAX_TOKENS = 10.0
_BASE_DELAY_MS = 20
_MAX_DELAY_MS = 2000
_MAX_DOUBLINGS = 16
_MS_PER_S = 1000


class RetryBudget:
    """Token bucket of one tenant, refilled by its first attempts.

    Each first attempt adds ``ratio`` tokens and each retry takes one, so
    that retries cannot exceed that fraction of the load for long. A few
    tokens are also added over time, for tenants with few requests.
    """

    def __init__(self, *, ratio: float = DEFAULT_RETRY_RATIO, now_ms: int = 0):
        self.ratio = ratio
        self._tokens = 1.0
        self._filled_at_ms = now_ms

    def first_attempt(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.ratio)

    def available(self, now_ms: int) -> bool:
        """Returns whether ``take`` would succeed."""
        self._refill(now_ms)
        return self._tokens >= 1.0

    def take(self, now_ms: int) -> bool:
        """Takes the token for one retry; returns False if none is left."""
        if not self.available(now_ms):
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._filled_at_ms)
        self._filled_at_ms += elapsed_ms
        added = elapsed_ms * _MIN_TOKENS_PER_S / _MS_PER_S
        self._tokens = min(_MAX_TOKENS, self._tokens + added)


class RetryBudgets:
    """The budgets of all tenants, created on first use.

    Tenants beyond ``MAX_TENANTS`` share one budget.
    """

    def __init__(self):
        self._budgets: dict[ids.TenantId, RetryBudget] = {}
        self._shared = RetryBudget()

    def configure(self, tenant: world_pb2.Tenant) -> None:
        """Sets a tenant's retry ratio; 0 means the default."""
        budget = self.for_tenant(ids.TenantId(tenant.tenant_id))
        if budget is not self._shared:
            budget.ratio = tenant.retry_ratio or DEFAULT_RETRY_RATIO

    def remove_tenant(self, tenant_id: ids.TenantId) -> None:
        """Removes a tenant's budget."""
        self._budgets.pop(tenant_id, None)

    def for_tenant(self, tenant_id: ids.TenantId) -> RetryBudget:
        """Returns the tenant's budget."""
        budget = self._budgets.get(tenant_id)
        if budget is not None:
            return budget
        if len(self._budgets) >= MAX_TENANTS:
            return self._shared
        budget = RetryBudget()
        self._budgets[tenant_id] = budget
        return budget


class Backoff:
    """Exponential backoff with jitter: delays are in the upper half."""

    def __init__(
        self,
        *,
        rng: random.Random,
        base_ms: int = _BASE_DELAY_MS,
        cap_ms: int = _MAX_DELAY_MS,
    ):
        self._rng = rng
        self._base_ms = base_ms
        self._cap_ms = cap_ms

    def delay_ms(self, attempt: int) -> int:
        """Returns the delay after a failed attempt; attempts count from 1."""
        doublings = min(max(0, attempt - 1), _MAX_DOUBLINGS)
        max_delay_ms = min(self._cap_ms, self._base_ms << doublings)
        return round(self._rng.uniform(max_delay_ms / 2, max_delay_ms))


class RetryReason(enum.Enum):
    """Why a request is retried or not; the values are shown to users."""

    RETRY = 'the request is tried again'
    COMPLETED = 'the request completed'
    MAY_HAVE_RUN = 'a non-idempotent request may have run'
    ATTEMPTS = 'the limit of attempts is reached'
    DEADLINE = 'the deadline would pass before the next attempt'
    BUDGET = 'the retry budget of the tenant is spent'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDecision:
    """Whether to retry, and why.

    :ivar delay_ms: how long to wait before the next attempt.
    """

    retry: bool
    reason: RetryReason
    delay_ms: int = 0


class RetryPolicy:
    """Decides whether a request is attempted again.

    A request that certainly did not run may be retried; one that may have
    run is retried only if it is idempotent.
    """

    def __init__(
        self, *, backoff: Backoff, max_attempts: int = DEFAULT_MAX_ATTEMPTS
    ):
        self.max_attempts = max_attempts
        self._backoff = backoff

    def decide(
        self,
        *,
        verdict: verdict_lib.Verdict,
        idempotent: bool,
        attempt: int,
        deadline_left_ms: float,
        budget: RetryBudget,
        now_ms: int,
        retry_after_ms: int = 0,
    ) -> RetryDecision:
        """Decides what follows a failed attempt.

        A token of the budget is taken only if the request is retried.

        :param attempt: number of the failed attempt, from 1.
        :param retry_after_ms: least delay requested by the refusing side.
        """
        reason = self._refusal(verdict, idempotent, attempt)
        if reason is not None:
            return RetryDecision(retry=False, reason=reason)
        delay_ms = max(retry_after_ms, self._backoff.delay_ms(attempt))
        if delay_ms >= deadline_left_ms:
            return RetryDecision(retry=False, reason=RetryReason.DEADLINE)
        if not budget.take(now_ms):
            return RetryDecision(retry=False, reason=RetryReason.BUDGET)
        return RetryDecision(
            retry=True, reason=RetryReason.RETRY, delay_ms=delay_ms
        )

    def _refusal(
        self, verdict: verdict_lib.Verdict, idempotent: bool, attempt: int
    ) -> RetryReason | None:
        if verdict is verdict_lib.Verdict.COMPLETED:
            return RetryReason.COMPLETED
        if verdict is verdict_lib.Verdict.MAY_HAVE_RUN and not idempotent:
            return RetryReason.MAY_HAVE_RUN
        if attempt >= self.max_attempts:
            return RetryReason.ATTEMPTS
        return None
