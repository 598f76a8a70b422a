"""HTTP client of a caller, which determines the verdict of each try."""

import base64
import dataclasses
import hashlib
import json
import typing as t

import aiohttp

from amaranthflow import clock as clock_lib
from amaranthflow import http_calls
from amaranthflow import ids
from amaranthflow import verdict as verdict_lib

from . import balancer as balancer_lib
from . import observations

_NOT_RUN_LABELS = ('not-run', 'not run')
_FINAL_STATUSES = (400, 403, 404, 413)
_TIMEOUT_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Result of one try.

    :ivar status: status of the HTTP response, 0 if there was none.
    """

    outcome: observations.Try
    status: int = 0
    headers: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    retry_after_ms: int | None = None

    @property
    def is_final_refusal(self) -> bool:
        """True if every instance would refuse the same request."""
        return self.status in _FINAL_STATUSES

    def fields(self) -> dict:
        """Returns the body as a JSON object, empty if it is not one."""
        try:
            fields = json.loads(self.body)
        except ValueError:
            return {}
        return fields if isinstance(fields, dict) else {}


class Caller:
    """Sends single tries and determines their verdict."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        balancer: balancer_lib.Balancer,
        clock: clock_lib.Clock,
    ):
        self._session = session
        self._balancer = balancer
        self._clock = clock

    async def call(
        self,
        instance_id: ids.InstanceId,
        record: observations.RequestRecord,
        service_id: ids.ServiceId,
        payload: bytes,
        timeout_ms: int,
    ) -> Reply:
        """Sends a latency-critical request."""
        headers = {
            'X-Tenant': record.tenant_id,
            'X-Request-Id': record.request_id,
            'X-Idempotent': 'true' if record.idempotent else 'false',
            'X-Timeout-Ms': str(timeout_ms),
        }
        path = f'/v1/services/{service_id}/call'
        timeout_s = timeout_ms / 1000 + _TIMEOUT_MARGIN_S
        return await self._send(
            instance_id, 'POST', path, timeout_s, headers, payload
        )

    async def submit(
        self,
        instance_id: ids.InstanceId,
        record: observations.JobRecord,
        fields: t.Mapping[str, t.Any],
        payload: bytes,
    ) -> Reply:
        """Submits a batch job."""
        encoded = base64.b64encode(payload).decode()
        body = json.dumps(dict(fields, payload=encoded)).encode()
        headers = {
            'X-Tenant': record.tenant_id,
            'Content-Type': 'application/json',
        }
        return await self._send(
            instance_id, 'POST', '/v1/jobs', 5.0, headers, body
        )

    async def job(
        self,
        instance_id: ids.InstanceId,
        tenant_id: ids.TenantId,
        job_id: ids.JobId,
        method: str = 'GET',
    ) -> Reply:
        """Reads a job, or cancels it with the method ``DELETE``."""
        headers = {'X-Tenant': tenant_id}
        path = f'/v1/jobs/{job_id}'
        return await self._send(instance_id, method, path, 5.0, headers, None)

    async def _send(
        self,
        instance_id: ids.InstanceId,
        method: str,
        path: str,
        timeout_s: float,
        headers: dict,
        body: bytes | None,
    ) -> Reply:
        url = self._balancer.url(instance_id) + path
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        sent_s = self._clock.monotonic()
        try:
            async with self._session.request(
                method, url, headers=headers, data=body, timeout=timeout
            ) as resp:
                content = await resp.read()
                return self._reply(instance_id, sent_s, resp, content)
        except aiohttp.ClientConnectorError as exc:
            verdict = verdict_lib.Verdict.NOT_RUN
            return self._no_reply(instance_id, sent_s, verdict, exc)
        except (aiohttp.ClientError, OSError) as exc:
            verdict = verdict_lib.Verdict.MAY_HAVE_RUN
            return self._no_reply(instance_id, sent_s, verdict, exc)

    def _reply(
        self,
        instance_id: ids.InstanceId,
        sent_s: float,
        resp: aiohttp.ClientResponse,
        content: bytes,
    ) -> Reply:
        fields = _error_fields(resp, content)
        outcome = observations.Try(
            sent_s=sent_s,
            ended_s=self._clock.monotonic(),
            instance_id=instance_id,
            verdict=_verdict_of(resp),
            from_instance=True,
            reason=f'{resp.status} {fields.get("reason", "")}',
        )
        return Reply(
            outcome=outcome,
            status=resp.status,
            headers=resp.headers,
            body=content,
            retry_after_ms=fields.get('retry_after_ms'),
        )

    def _no_reply(
        self,
        instance_id: ids.InstanceId,
        sent_s: float,
        verdict: verdict_lib.Verdict,
        exc: Exception,
    ) -> Reply:
        outcome = observations.Try(
            sent_s=sent_s,
            ended_s=self._clock.monotonic(),
            instance_id=instance_id,
            verdict=verdict,
            from_instance=False,
            reason=type(exc).__name__,
        )
        return Reply(outcome=outcome)


def is_right_answer(
    reply: Reply, record: observations.RequestRecord, expected: bytes
) -> bool:
    """Returns whether a reply with status 200 is the expected answer."""
    headers = reply.headers
    return (
        reply.body == expected
        and headers.get(http_calls.REQUEST_ID_HEADER) == record.request_id
        and headers.get(http_calls.SHA256_HEADER)
        == hashlib.sha256(expected).hexdigest()
    )


def _verdict_of(resp: aiohttp.ClientResponse) -> verdict_lib.Verdict:
    if resp.status in (200, 202):
        return verdict_lib.Verdict.COMPLETED
    verdict = resp.headers.get(http_calls.VERDICT_HEADER)
    if verdict in _NOT_RUN_LABELS:
        return verdict_lib.Verdict.NOT_RUN
    return verdict_lib.Verdict.MAY_HAVE_RUN


def _error_fields(resp: aiohttp.ClientResponse, content: bytes) -> dict:
    if resp.status in (200, 202):
        return {}
    try:
        fields = json.loads(content)
    except ValueError:
        return {'reason': 'unreadable error'}
    return fields if isinstance(fields, dict) else {}
