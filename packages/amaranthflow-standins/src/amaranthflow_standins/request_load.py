"""Sends latency-critical requests, with retries where they are allowed."""

import dataclasses
import random

from amaranthflow import clock as clock_lib
from amaranthflow import ids
from amaranthflow import verdict as verdict_lib

from . import balancer as balancer_lib
from . import caller as caller_lib
from . import observations
from . import program

_MAX_TRIES = 6
_GIVE_UP_S = 3.0
_TIMEOUT_MS = 2000
_RETRY_MS = 25
_NON_IDEMPOTENT_SHARE = 0.5
_MIN_BYTES = 100
_MAX_BYTES = 4000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request to send, and its record."""

    record: observations.RequestRecord
    service_id: ids.ServiceId
    payload: bytes

    @property
    def expected(self) -> bytes:
        """The correct answer."""
        return program.answer_to(
            self.record.tenant_id,
            self.service_id,
            self.record.request_id,
            self.payload,
        )


def draw(
    tenant_id: ids.TenantId,
    service_id: ids.ServiceId,
    prefix: str,
    rng: random.Random,
) -> Request:
    """Returns a random request."""
    request_id = ids.RequestId(f'{prefix}-{rng.getrandbits(64):016x}')
    record = observations.RequestRecord(
        request_id=request_id,
        tenant_id=tenant_id,
        idempotent=rng.random() >= _NON_IDEMPOTENT_SHARE,
    )
    size = rng.randrange(_MIN_BYTES, _MAX_BYTES)
    return Request(
        record=record, service_id=service_id, payload=rng.randbytes(size)
    )


class RequestSender:
    """Sends requests and retries them at other instances while allowed."""

    def __init__(
        self,
        *,
        caller: caller_lib.Caller,
        balancer: balancer_lib.Balancer,
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        self._caller = caller
        self._balancer = balancer
        self._clock = clock
        self._rng = rng

    async def follow(self, request: Request) -> None:
        """Sends a request until it is answered or must not be retried."""
        record = request.record
        deadline_s = self._clock.monotonic() + _GIVE_UP_S
        avoid: set[ids.InstanceId] = set()
        while len(record.tries) < _MAX_TRIES:
            pause_ms = await self._try(request, avoid)
            if pause_ms is None:
                return
            if self._clock.monotonic() + pause_ms / 1000 > deadline_s:
                return
            jitter = self._rng.uniform(0.5, 1.0)
            await self._clock.sleep(pause_ms / 1000 * jitter)

    async def _try(
        self, request: Request, avoid: set[ids.InstanceId]
    ) -> float | None:
        """Sends one try; returns the pause before the next one, or None."""
        record = request.record
        instance_id = self._balancer.choose(avoid)
        if instance_id is None:
            return _RETRY_MS
        reply = await self._caller.call(
            instance_id,
            record,
            request.service_id,
            request.payload,
            _TIMEOUT_MS,
        )
        record.tries.append(reply.outcome)
        if reply.status == 200:
            record.right_answer = caller_lib.is_right_answer(
                reply, record, request.expected
            )
            return None
        if not _may_retry(reply, record.idempotent):
            return None
        avoid.add(instance_id)
        return self._pause_ms(reply, avoid)

    def _pause_ms(
        self, reply: caller_lib.Reply, avoid: set[ids.InstanceId]
    ) -> float:
        """Returns the pause before a retry.

        There is none if the instance did not respond. Another instance is
        tried soon; if all have refused, the retry waits as long as the last
        one asked for.
        """
        if not reply.outcome.from_instance:
            return 0.0
        if self._balancer.ready - avoid:
            return _RETRY_MS
        return reply.retry_after_ms or _RETRY_MS


def _may_retry(reply: caller_lib.Reply, idempotent: bool) -> bool:
    if reply.is_final_refusal:
        return False
    not_run = reply.outcome.verdict is verdict_lib.Verdict.NOT_RUN
    return not_run or idempotent
