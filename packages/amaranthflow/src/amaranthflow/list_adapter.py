"""HTTP client of the platform's list of instances."""

import json
import typing as t

import aiohttp

from . import exceptions
from . import http_calls
from . import platform


class HttpInstanceList:
    """Implements ``platform.InstanceList``.

    :param url: base address, ``http://IP:PORT``.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float = 5.0,
    ):
        self._session = session
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s

    async def snapshot(self) -> t.Mapping[str, platform.InstancePhase]:
        """Maps the ids of workers and entry instances to their phases."""
        url = f'{self._url}/instances'
        try:
            resp = await http_calls.send(
                self._session, 'GET', url, timeout_s=self._timeout_s
            )
            http_calls.check_status(resp, url)
        except exceptions.PlatformUncertain as exc:
            # A failed read has no effect.
            raise exceptions.PlatformError(exc.reason) from exc
        return _parse(resp.body)


def _parse(body: bytes) -> dict[str, platform.InstancePhase]:
    try:
        phases = json.loads(body)
        return {
            str(instance): platform.InstancePhase(phase)
            for instance, phase in phases.items()
        }
    except (ValueError, AttributeError) as exc:
        raise exceptions.PlatformError('invalid instance list') from exc
