"""HTTP calls to the platform; errors tell whether the call had effect."""

import dataclasses
import socket
import typing as t

import aiohttp

from . import exceptions

REQUEST_ID_HEADER = 'X-Request-Id'
ATTEMPT_HEADER = 'X-Attempt'
SHA256_HEADER = 'X-Sha256'
LENGTH_HEADER = 'X-Length'
VERDICT_HEADER = 'X-Verdict'
NOT_RUN = 'not-run'

_NOT_RUN_STATUSES = (429, 503)
_FAILED_STATUS = 500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_TCP_USER_TIMEOUT_MS = 4000
_IDLE_CONNECTION_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: t.Mapping[str, str]
    body: bytes


def new_session() -> aiohttp.ClientSession:
    """Creates a session without a connection limit for the adapters.

    The adapters limit their connections. The kernel probes idle connections
    and drops those whose peer does not respond, so that a later call does
    not time out on them.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=_IDLE_CONNECTION_TIMEOUT_S,
        socket_factory=_open_socket,
    )
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


def _open_socket(addr_info) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    return sock


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    timeout_s: float,
    headers: t.Mapping[str, str] | None = None,
    body: bytes | None = None,
) -> Response:
    """Sends a request and reads the whole response.

    :param timeout_s: timeout of the whole exchange.
    :raises PlatformError: no connection was opened, so nothing was sent.
    :raises PlatformUncertain: there is no complete response.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method,
            url,
            headers=headers,
            data=body,
            timeout=timeout,
            allow_redirects=False,
        ) as resp:
            return Response(
                status=resp.status,
                headers=resp.headers,
                body=await resp.read(),
            )
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
        raise exceptions.PlatformError(f'{url}: {exc}') from exc
    except (aiohttp.ClientError, OSError) as exc:
        reason = f'{url}: {str(exc) or type(exc).__name__}'
        raise exceptions.PlatformUncertain(reason) from exc


def check_status(resp: Response, url: str) -> None:
    """Raises an error unless the status is 200.

    :raises PlatformError: the response states that nothing ran.
    :raises PlatformFailed: status 500: the call has ended.
    :raises PlatformUncertain: any other status.
    """
    if resp.status == 200:
        return
    reason = f'{url}: status {resp.status} {_one_line(resp.body)}'
    verdict = resp.headers.get(VERDICT_HEADER)
    if resp.status in _NOT_RUN_STATUSES and verdict == NOT_RUN:
        raise exceptions.PlatformError(reason)
    if resp.status == _FAILED_STATUS:
        raise exceptions.PlatformFailed(reason)
    raise exceptions.PlatformUncertain(reason)


def _one_line(body: bytes) -> str:
    return body[:200].decode(errors='replace').replace('\n', ' ')
