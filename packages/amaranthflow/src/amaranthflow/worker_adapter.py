"""HTTP client of one worker and of the backend servers on it."""

import asyncio
import base64
import dataclasses
import hashlib
import json
import typing as t

import aiohttp

from . import exceptions
from . import http_calls
from . import ids
from . import platform

TENANT_HEADER = 'X-Tenant'
SERVICE_HEADER = 'X-Service'
TIMEOUT_HEADER = 'X-Timeout-Ms'

_CONTROL_CONNECTIONS = 4
_INTEGER_LIMIT = 2**63
_MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Headers in which a backend server describes its response."""

    request_id: str | None
    attempt: str | None
    length: str | None
    sha256: str | None


def check_response(
    call: platform.BackendCall, head: ResponseHead, body: bytes
) -> bytes:
    """Returns the body if it is the complete response to a call.

    :raises PlatformUncertain: it belongs to another request or attempt.
    :raises PlatformFailed: it is truncated or corrupt.
    """
    if head.request_id != call.request_id or head.attempt != str(call.attempt):
        raise exceptions.PlatformUncertain('response to another request')
    if head.length != str(len(body)):
        raise exceptions.PlatformFailed('truncated response')
    if head.sha256 != hashlib.sha256(body).hexdigest():
        raise exceptions.PlatformFailed(
            'corrupt response: SHA-256 does not match'
        )
    return body


class HttpWorkerLink:
    """Implements ``platform.WorkerLink``.

    :param session: from ``http_calls.new_session``; may be shared.
    :param address: ``IP:PORT`` of the worker.
    :param max_connections: limit of open connections. A few of them are
        reserved for task control, so that calls cannot delay leases.
    :param timeout_s: timeout of every operation except ``call``.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        max_connections: int = 28,
        timeout_s: float = 3.0,
    ):
        self._session = session
        self._url = f'http://{address}'
        self._timeout_s = timeout_s
        control = min(_CONTROL_CONNECTIONS, max(1, max_connections // 2))
        self._call_limit = asyncio.Semaphore(max_connections - control)
        self._control_limit = asyncio.Semaphore(control)

    async def call(self, call: platform.BackendCall) -> bytes:
        """Runs a request; the response is matched by id and attempt."""
        headers = {
            http_calls.REQUEST_ID_HEADER: call.request_id,
            http_calls.ATTEMPT_HEADER: str(call.attempt),
            TENANT_HEADER: call.tenant_id,
            SERVICE_HEADER: call.service_id,
            TIMEOUT_HEADER: str(call.timeout_ms),
        }
        resp = await self._send(
            self._call_limit,
            '/call',
            timeout_s=call.timeout_ms / 1000,
            headers=headers,
            body=call.payload,
        )
        head = ResponseHead(
            request_id=resp.headers.get(http_calls.REQUEST_ID_HEADER),
            attempt=resp.headers.get(http_calls.ATTEMPT_HEADER),
            length=resp.headers.get(http_calls.LENGTH_HEADER),
            sha256=resp.headers.get(http_calls.SHA256_HEADER),
        )
        return check_response(call, head, resp.body)

    async def start(self, start: platform.TaskStart) -> None:
        """Starts a task; starting a running task again is harmless."""
        await self._control('/tasks/start', encode_start(start))

    async def renew(
        self, task_ids: t.Sequence[ids.TaskId], lease_ms: int
    ) -> None:
        """Extends the leases of running tasks."""
        fields = {'task_ids': list(task_ids), 'lease_ms': lease_ms}
        await self._control('/tasks/renew', fields)

    async def tasks(self) -> tuple[platform.TaskReport, ...]:
        """Lists running tasks and those that ended recently."""
        fields = await self._control('/tasks/list', {})
        return _decoded(decode_reports, fields)

    async def usage(self) -> tuple[platform.UsageReport, ...]:
        """Lists the newest, delayed measurement of each task."""
        fields = await self._control('/usage', {})
        return _decoded(decode_usage, fields)

    async def checkpoint(self, task_id: ids.TaskId) -> str:
        """Makes a task write a checkpoint; returns a reference to it."""
        fields = await self._control('/tasks/checkpoint', {'task_id': task_id})
        return _decoded(_decode_checkpoint, fields)

    async def throttle(self, task_id: ids.TaskId, share: float) -> None:
        """Limits a task to a share of its cores."""
        fields = {'task_id': task_id, 'share': share}
        await self._control('/tasks/throttle', fields)

    async def stop(self, task_id: ids.TaskId) -> platform.TaskReport:
        """Stops a task; returns its outcome and its last checkpoint."""
        fields = await self._control('/tasks/stop', {'task_id': task_id})
        return _decoded(decode_report, fields)

    async def _control(self, path: str, fields: dict) -> t.Any:
        resp = await self._send(
            self._control_limit,
            path,
            timeout_s=self._timeout_s,
            headers={'Content-Type': 'application/json'},
            body=json.dumps(fields).encode(),
        )
        return _decoded(json.loads, resp.body)

    async def _send(
        self,
        limit: asyncio.Semaphore,
        path: str,
        *,
        timeout_s: float,
        headers: t.Mapping[str, str],
        body: bytes,
    ) -> http_calls.Response:
        url = self._url + path
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await limit.acquire()
        except TimeoutError as exc:
            reason = f'{url}: all connections are in use'
            raise exceptions.PlatformError(reason) from exc
        try:
            resp = await http_calls.send(
                self._session,
                'POST',
                url,
                timeout_s=max(deadline_s - loop.time(), 0.001),
                headers=headers,
                body=body,
            )
        finally:
            limit.release()
        http_calls.check_status(resp, url)
        return resp


def encode_start(start: platform.TaskStart) -> dict:
    """Returns the JSON fields of a start, with a base64 payload."""
    fields = dataclasses.asdict(start)
    return dict(fields, payload=base64.b64encode(start.payload).decode())


def decode_start(fields: dict) -> platform.TaskStart:
    """Decodes the result of ``encode_start``."""
    payload = base64.b64decode(fields['payload'])
    return platform.TaskStart(**dict(fields, payload=payload))


def encode_report(report: platform.TaskReport) -> dict:
    """Returns the JSON fields of a report, with a base64 result."""
    return dict(
        dataclasses.asdict(report),
        phase=report.phase.value,
        result=base64.b64encode(report.result).decode(),
    )


def decode_report(fields: dict) -> platform.TaskReport:
    """Decodes the result of ``encode_report``."""
    phase = platform.TaskPhase(fields['phase'])
    result = base64.b64decode(fields['result'])
    report = platform.TaskReport(**dict(fields, phase=phase, result=result))
    _check_types(report)
    return report


def decode_reports(fields: list) -> tuple[platform.TaskReport, ...]:
    """Decodes a list of results of ``encode_report``."""
    return tuple(decode_report(report) for report in fields)


def decode_usage(fields: list) -> tuple[platform.UsageReport, ...]:
    """Decodes a list of measurements."""
    reports = tuple(platform.UsageReport(**report) for report in fields)
    for report in reports:
        _check_usage(report)
    return reports


def _check_usage(report: platform.UsageReport) -> None:
    _check_types(report)
    least = min(report.cores, report.memory_mb, report.peak_memory_mb)
    if least < 0 or report.slowdown <= 0:
        raise ValueError('measurement out of range')


def _check_types(report: platform.TaskReport | platform.UsageReport) -> None:
    """Raises TypeError or ValueError for a field of an invalid value."""
    for name, kind in t.get_type_hints(type(report)).items():
        value = getattr(report, name)
        kind = getattr(kind, '__supertype__', kind)
        allowed = (int, float) if kind is float else (kind,)
        if type(value) not in allowed:
            raise TypeError(f'{name} has a wrong type')
        if int in allowed and not abs(value) < _INTEGER_LIMIT:
            raise ValueError(f'{name} is out of range')


def _decode_checkpoint(fields: dict) -> str:
    return str(fields['checkpoint'])


def _decoded(decode: t.Callable, value: t.Any) -> t.Any:
    try:
        return decode(value)
    except _MALFORMED_ERRORS as exc:
        reason = 'malformed response of the worker'
        raise exceptions.PlatformUncertain(reason) from exc
