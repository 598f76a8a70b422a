"""Calls of a latency-critical service over HTTP, as callers make them."""

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
_DIGEST_HEADER = 'X-Sha256'
# Time for the reply's way back after the deadline has passed there.
_REPLY_MARGIN_S = 1.0
_HTTP_OK = 200
_HTTP_BAD_REQUEST = 400
_HTTP_SERVER_ERROR = 500
_HTTP_TOO_MANY = 429


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of a caller.

    :ivar idempotent: it may be run again after its answer was lost.
    """

    service_id: str
    tenant_id: str
    request_id: str
    payload: bytes
    timeout_ms: int
    idempotent: bool


def send(addresses: t.Sequence[str], call: Call) -> bytes:
    """Returns the answer of the first instance that takes the call.

    Goes on to the next instance only where the attempt did not run or the
    call is idempotent.

    :param addresses: "IP:PORT" of instances' interfaces for callers.
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
    raise _last_of(failures)


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
        reason = str(exc) or 'no answer in time'
        raise exceptions.RequestUncertain(f'{address}: {reason}') from exc
    if status != _HTTP_OK:
        raise _error_of(address, status, body)
    _check_whole(address, call, received, body)
    return body


def _check_whole(
    address: str, call: Call, received: t.Mapping[str, str], body: bytes
) -> None:
    """Checks that an answer is whole and belongs to the call."""
    if received.get(_REQUEST_HEADER) != call.request_id:
        raise exceptions.RequestUncertain(
            f'{address}: the answer is for another request'
        )
    if received.get(_DIGEST_HEADER) != hashlib.sha256(body).hexdigest():
        raise exceptions.RequestUncertain(f'{address}: the answer is damaged')


def _headers(call: Call) -> dict[str, str]:
    return {
        _TENANT_HEADER: call.tenant_id,
        _REQUEST_HEADER: call.request_id,
        _IDEMPOTENT_HEADER: 'true' if call.idempotent else 'false',
        _TIMEOUT_HEADER: str(call.timeout_ms),
    }


def _error_of(
    address: str, status: int, body: bytes
) -> exceptions.AmaranthflowError:
    """Makes the error that an instance's answer tells of."""
    try:
        told = json.loads(body)
        verdict = told['verdict']
        reason = f'{address}: {told["reason"]}'
        retry_after_ms = told.get('retry_after_ms')
    except (ValueError, LookupError, TypeError, AttributeError):
        return exceptions.RequestUncertain(
            f'{address}: status {status} without a verdict'
        )
    if verdict != verdict_lib.Verdict.NOT_RUN.label:
        return exceptions.RequestUncertain(reason)
    final = _HTTP_BAD_REQUEST <= status < _HTTP_SERVER_ERROR
    if final and status != _HTTP_TOO_MANY:
        return exceptions.RequestRefused(reason)
    return exceptions.Overloaded(reason, retry_after_ms=retry_after_ms)


def _last_of(
    failures: t.Sequence[exceptions.AmaranthflowError],
) -> exceptions.AmaranthflowError:
    """Joins failures; one that may have run makes the whole so."""
    reason = '; '.join(exc.reason for exc in failures)
    for exc in failures:
        if exc.verdict is verdict_lib.Verdict.MAY_HAVE_RUN:
            return exceptions.RequestUncertain(reason)
    waits = [e.retry_after_ms for e in failures if e.retry_after_ms]
    return errors.Unreachable(
        f'no instance took it: {reason}',
        retry_after_ms=min(waits, default=None),
    )
