"""Calls between instances: JSON over HTTP on their own addresses."""

import msgspec

from amaranthflow import exceptions

from . import httpclient
from . import httpserver
from . import node as node_lib

_PREFIX = '/peer/'
_MOST_CONNS = 8  # calls at once to one instance; states are asked often


class PeerCaller:
    """Calls other instances over kept connections."""

    def __init__(self):
        self._clients: dict[str, httpclient.Client] = {}

    async def call(
        self, address: str, name: str, message: dict, timeout_s: float
    ) -> dict:
        """Returns the answer. Raises NotReady and platform errors."""
        client = self._clients.get(address)
        if client is None:
            client = httpclient.Client(address=address, most_conns=_MOST_CONNS)
            self._clients[address] = client
        body = msgspec.json.encode(message)
        answer = await client.call(
            'POST', _PREFIX + name, body, limit_s=timeout_s
        )
        if answer.status == 503:
            raise exceptions.NotReady('the instance is not ready')
        if answer.status != 200:
            reason = f'{name} at {address}: status {answer.status}'
            raise exceptions.PlatformUncertain(reason)
        try:
            return msgspec.json.decode(answer.body)
        except msgspec.MsgspecError as exc:
            reason = f'{name} at {address}: {exc}'
            raise exceptions.PlatformUncertain(reason) from exc


class PeerHandler:
    """Answers other instances and serves the metrics."""

    def __init__(self, *, node: node_lib.Node):
        self._node = node

    async def __call__(self, req: httpserver.Request) -> httpserver.Response:
        """Returns the answer to one request."""
        if req.path == '/metrics':
            return httpserver.Response(
                status=200,
                body=self._node.meters.render(),
                content_type='text/plain; version=0.0.4',
            )
        if not req.path.startswith(_PREFIX):
            return httpserver.Response(status=404)
        try:
            message = msgspec.json.decode(req.body)
            name = req.path.removeprefix(_PREFIX)
            answer = await self._node.answer(name, message)
        except exceptions.NotReady:
            return httpserver.Response(status=503)
        except (exceptions.AmaranthflowError, msgspec.MsgspecError, KeyError):
            return httpserver.Response(status=400)
        return httpserver.Response(
            status=200, body=msgspec.json.encode(answer)
        )
