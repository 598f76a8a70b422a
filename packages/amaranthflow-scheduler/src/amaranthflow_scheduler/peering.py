"""Calls between instances: JSON over HTTP on a separate address."""

import typing as t

import msgspec

from amaranthflow import exceptions

from . import decoding
from . import httpclient
from . import httpserver
from . import node as node_lib

_PREFIX = '/peer/'
_MAX_CONNS = 8  # concurrent calls to one instance; state queries are frequent


class _Message(t.TypedDict, total=False):
    """Fields of all calls. Others are skipped, so that they take no memory."""

    id: str
    queue: str
    record: str
    token: int
    successor: int
    instance: str
    address: str
    follows: bool


def decode_message(body: bytes) -> dict:
    """Returns the known fields of a call. Raises InvalidRecord."""
    return t.cast(dict, decoding.decode(body, _Message))


class PeerClient:
    """Client of other instances with persistent connections."""

    def __init__(self):
        self._clients: dict[str, httpclient.Client] = {}

    async def call(
        self, address: str, name: str, message: dict, timeout_s: float
    ) -> dict:
        """Returns the response. Raises NotReady and platform errors."""
        client = self._clients.get(address)
        if client is None:
            client = httpclient.Client(address=address, max_conns=_MAX_CONNS)
            self._clients[address] = client
        body = msgspec.json.encode(message)
        response = await client.call(
            'POST', _PREFIX + name, body, timeout_s=timeout_s
        )
        if response.status == 503:
            raise exceptions.NotReady('the instance is not ready')
        if response.status != 200:
            reason = f'{name} at {address}: status {response.status}'
            raise exceptions.PlatformUncertain(reason)
        try:
            return decoding.decode(response.body, dict)
        except exceptions.InvalidRecord as exc:
            reason = f'{name} at {address}: {exc}'
            raise exceptions.PlatformUncertain(reason) from exc


class PeerHandler:
    """Handles calls of other instances and serves the metrics."""

    def __init__(self, *, node: node_lib.Node):
        self._node = node

    async def __call__(self, req: httpserver.Request) -> httpserver.Response:
        """Returns the response to one request."""
        if req.path == '/metrics':
            return httpserver.Response(
                status=200,
                body=self._node.meters.render(),
                content_type='text/plain; version=0.0.4',
            )
        if not req.path.startswith(_PREFIX):
            return httpserver.Response(status=404)
        try:
            message = decode_message(req.body)
            name = req.path.removeprefix(_PREFIX)
            result = await self._node.handle_call(name, message)
        except exceptions.NotReady:
            return httpserver.Response(status=503)
        except (exceptions.AmaranthflowError, KeyError):
            return httpserver.Response(status=400)
        return httpserver.Response(
            status=200, body=msgspec.json.encode(result)
        )
