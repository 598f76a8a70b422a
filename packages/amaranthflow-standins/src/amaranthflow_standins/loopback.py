"""Serves one instance of a local fleet over loopback sockets."""

import asyncio
import dataclasses
import socket
import typing as t

import aiohttp
import grpc.aio

from amaranthflow_daemon import operators
from amaranthflow_daemon import peer_channel
from amaranthflow_schema.v1 import operators_pb2_grpc

from . import local_fleet

_HOST = '127.0.0.1'
_SOCKET_WAIT_S = 0.005
_STEP_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """A complete response of the HTTP interface."""

    status: int
    headers: t.Mapping[str, str]
    body: bytes


class Loopback:
    """HTTP and gRPC servers of one instance, which uses the fleet's clock."""

    def __init__(self, *, fleet: local_fleet.LocalFleet, name: str):
        self._fleet = fleet
        self._parts = fleet.instances[name].parts
        self.http_address = ''
        self.grpc_address = ''

    async def open(self) -> None:
        """Opens both servers on free ports."""
        listener = socket.create_server((_HOST, 0))
        port = listener.getsockname()[1]
        self.http_address = f'{_HOST}:{port}'
        app = self._parts.http_api.make_app()
        # Sanic's touch-up rewrites its own classes and works only once in a
        # process.
        app.config.TOUCHUP = False
        self._http = await app.create_server(
            sock=listener, return_asyncio_server=True, access_log=False
        )
        await self._http.startup()
        await self._http.start_serving()
        limits = peer_channel.ServerLimits.from_settings(self._parts.node.cfg)
        options = peer_channel.server_options(limits)
        self._grpc = grpc.aio.server(options=options)
        service = operators.OperatorService(
            node=self._parts.node,
            sessions=self._parts.sessions,
            submissions=self._parts.submissions,
        )
        operators.add_to_server(service, self._grpc)
        port = self._grpc.add_insecure_port(f'{_HOST}:0')
        self.grpc_address = f'{_HOST}:{port}'
        await self._grpc.start()

    async def close(self) -> None:
        """Closes both servers."""
        self._http.close()
        await self._http.wait_closed()
        await self._grpc.stop(grace=None)

    async def run_until_done(self, work: t.Awaitable) -> t.Any:
        """Advances the fleet's clock until a call over a socket is done."""
        task = asyncio.ensure_future(work)
        while not task.done():
            await asyncio.wait({task}, timeout=_SOCKET_WAIT_S)
            await self._fleet.clock.run_for(_STEP_S)
        return task.result()

    async def http(self, method: str, path: str, **kwargs) -> HttpReply:
        """Sends one request to the HTTP interface."""
        return await self.run_until_done(self._send(method, path, **kwargs))

    async def grpc(self, method: str, req: t.Any) -> t.Any:
        """Sends one request to the operators' interface."""
        return await self.run_until_done(
            self.call_without_advancing(method, req)
        )

    async def call_without_advancing(self, method: str, req: t.Any) -> t.Any:
        """Sends one request like ``grpc``, with the clock stopped."""
        async with grpc.aio.insecure_channel(self.grpc_address) as channel:
            if isinstance(req, bytes):
                path = f'/amaranthflow.v1.Operators/{method}'
                return await channel.unary_unary(path)(req)
            stub = operators_pb2_grpc.OperatorsStub(channel)
            return await getattr(stub, method)(req)

    async def _send(self, method: str, path: str, **kwargs) -> HttpReply:
        url = f'http://{self.http_address}{path}'
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, **kwargs) as resp:
                return HttpReply(
                    status=resp.status,
                    headers=resp.headers,
                    body=await resp.read(),
                )
