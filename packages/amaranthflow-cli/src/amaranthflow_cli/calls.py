"""Client for calls of latency-critical services over HTTP."""

import asyncio
import dataclasses
import hashlib
import json
import typing as t
from urllib import parse

import aiohttp

from amaranthflow import exceptions
from amaranthflow import verdict as verdict_lib

from . import errors

_CONNECT_TIMEOUT_S = 2.0
_PATH = '/v1/services/{service}/call'
_TENANT_HEADER = 'X-Tenant'
_REQUEST_HEADER = 'X-Request-Id'
_IDEMPOTENT_HEADER = 'X-Idempotent'
_TIMEOUT_HEADER = 'X-Timeout-Ms'
_SHA256_HEADER = 'X-Sha256'
# Time for a reply to arrive after the deadline has passed on the instance.
_REPLY_MARGIN_S = 1.0
_HTTP_OK = 200
_HTTP_BAD_REQUEST = 400
_HTTP_SERVER_ERROR = 500
_HTTP_TOO_MANY = 429


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of a caller.

    :ivar idempotent: the request may be run again after its reply was lost.
    """

    service_id: str
    tenant_id: str
    request_id: str
    payload: bytes
    timeout_ms: int
    idempotent: bool


def send(addresses: t.Sequence[str], call: Call) -> bytes:
    """Returns the reply of the first instance that runs the call.

    Tries the next instance only if the attempt did not run or the call is
    idempotent.

    :param addresses: "IP:PORT" of the instances' HTTP interfaces.
    :raises AmaranthflowError: with the verdict on the call.
    """
    return asyncio.run(_send(addresses, call))


async def _send(addresses: t.Sequence[str], call: Call) -> bytes:
    failures: list[exceptions.AmaranthflowError] = []
    timeout = aiohttp.ClientTimeout(
        total=call.timeout_ms / 1000 + _REPLY_MARGIN_S,
        sock_connect=_CONNECT_TIMEOUT_S,
    )
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in addresses:
            try:
                return await _send_one(session, address, call)
            except exceptions.RequestRefused:
                raise
            except exceptions.RequestUncertain as exc:
                if not call.idempotent:
                    raise
                failures.append(exc)
            except exceptions.AmaranthflowError as exc:
                failures.append(exc)
    raise _combine(failures)


async def _send_one(
    session: aiohttp.ClientSession, address: str, call: Call
) -> bytes:
    service = parse.quote(call.service_id, safe='')
    url = f'http://{address}' + _PATH.format(service=service)
    try:
        async with session.post(
            url,
            data=call.payload,
            headers=_headers(call),
            allow_redirects=False,
        ) as response:
            body = await response.read()
            status = response.status
            received = response.headers
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as exc:
        raise errors.Unreachable(f'{address} refuses connections') from exc
    except (TimeoutError, aiohttp.ClientError) as exc:
        reason = str(exc) or 'no reply in time'
        raise exceptions.RequestUncertain(f'{address}: {reason}') from exc
    if status != _HTTP_OK:
        raise _error_from_reply(address, status, body)
    _check_reply(address, call, received, body)
    return body


def _check_reply(
    address: str, call: Call, received: t.Mapping[str, str], body: bytes
) -> None:
    """Checks that a reply is complete and belongs to the call.

    :raises RequestUncertain: otherwise.
    """
    if received.get(_REQUEST_HEADER) != call.request_id:
        raise exceptions.RequestUncertain(
            f'{address}: the reply is for another request'
        )
    if received.get(_SHA256_HEADER) != hashlib.sha256(body).hexdigest():
        raise exceptions.RequestUncertain(f'{address}: the reply is damaged')


def _headers(call: Call) -> dict[str, str]:
    return {
        _TENANT_HEADER: call.tenant_id,
        _REQUEST_HEADER: call.request_id,
        _IDEMPOTENT_HEADER: 'true' if call.idempotent else 'false',
        _TIMEOUT_HEADER: str(call.timeout_ms),
    }


def _error_from_reply(
    address: str, status: int, body: bytes
) -> exceptions.AmaranthflowError:
    """Builds the error that an instance's reply reports."""
    try:
        content = json.loads(body)
        verdict = content['verdict']
        reason = f'{address}: {content["reason"]}'
        retry_after_ms = content.get('retry_after_ms')
    except (ValueError, LookupError, TypeError, AttributeError):
        return exceptions.RequestUncertain(
            f'{address}: status {status} without a verdict'
        )
    if verdict != verdict_lib.Verdict.NOT_RUN.label:
        return exceptions.RequestUncertain(reason)
    client_error = _HTTP_BAD_REQUEST <= status < _HTTP_SERVER_ERROR
    if client_error and status != _HTTP_TOO_MANY:
        return exceptions.RequestRefused(reason)
    return exceptions.Overloaded(reason, retry_after_ms=retry_after_ms)


def _combine(
    failures: t.Sequence[exceptions.AmaranthflowError],
) -> exceptions.AmaranthflowError:
    """Combines the failures of all attempts into one error.

    If any attempt may have run, the call may have run.
    """
    reason = '; '.join(exc.reason for exc in failures)
    for exc in failures:
        if exc.verdict is verdict_lib.Verdict.MAY_HAVE_RUN:
            return exceptions.RequestUncertain(reason)
    waits = [e.retry_after_ms for e in failures if e.retry_after_ms]
    return errors.Unreachable(
        f'no instance accepted it: {reason}',
        retry_after_ms=min(waits, default=None),
    )
