"""Builds the daemon, serves and shuts down gracefully."""

import asyncio
import random
import signal
import socket

import aiohttp
import grpc.aio
import sanic

from amaranthflow import adapters
from amaranthflow import clock as clock_lib
from amaranthflow import http_calls
from amaranthflow import world
from amaranthflow_schema.v1 import peer_pb2_grpc

from . import call_guard
from . import client_guard
from . import components
from . import logs
from . import node as node_lib
from . import operators
from . import peer_channel
from . import peer_service
from . import resource_checks
from . import settings
from . import worker_sessions


class Process:
    """Lifecycle of the daemon: its components and servers."""

    def __init__(self, *, cfg: settings.Settings):
        self._cfg = cfg
        self._stop = asyncio.Event()

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then drains; returns 0."""
        stop_logs = logs.configure(
            level=self._cfg.log_level, instance_id=self._cfg.instance_id
        )
        async with http_calls.new_session() as session:
            self._components = components.Components(
                cfg=self._cfg,
                clock=clock_lib.SystemClock(),
                links=_links(self._cfg, session),
                rng=random.Random(),
            )
            server = await self._serve()
            resource_checks.check_process()
            self._components.start()
            logs.log_event('started', member=str(self._components.node.member))
            await self._wait_for_signal()
            await self._drain()
            await server.stop(grace=1.0)
            await self._components.node.cancel_tasks()
        stop_logs()
        return 0

    async def _serve(self) -> grpc.aio.Server:
        """Starts the gRPC and HTTP servers.

        :raises SettingsError: an address cannot be bound.
        """
        cfg = self._cfg
        limits = peer_channel.ServerLimits.from_settings(cfg)
        members = self._components.node.state.members
        guard = call_guard.CallGuard(
            port=settings.split_address(cfg.peer_address)[1],
            limits=limits,
            count_instances=lambda: len(members.members),
            metrics=self._components.node.metrics,
        )
        server = grpc.aio.server(
            options=peer_channel.server_options(limits), interceptors=[guard]
        )
        peer_pb2_grpc.add_PeerServicer_to_server(
            peer_service.PeerService(
                node=self._components.node,
                peers=self._components.peers,
                dispatcher=self._components.dispatcher,
            ),
            server,
        )
        operators.add_to_server(
            operators.OperatorService(
                node=self._components.node,
                sessions=self._components.sessions,
                submissions=self._components.submissions,
            ),
            server,
        )
        _check_free('http_address', self._cfg.http_address)
        _check_free('peer_address', self._cfg.peer_address)
        server.add_insecure_port(self._cfg.peer_address)
        await server.start()
        self._call_guard_task = asyncio.create_task(guard.run())
        await self._serve_http()
        return server

    async def _serve_http(self) -> None:
        listener = _bind('http_address', self._cfg.http_address)
        app = self._components.http_api.make_app()
        app.ctx.guard = client_guard.ClientGuard(
            memory_mb=self._cfg.memory_mb,
            max_descriptors=self._cfg.max_descriptors,
            metrics=self._components.node.metrics,
        )
        self._http: sanic.server.AsyncioServer = await app.create_server(
            sock=listener,
            protocol=client_guard.ClientProtocol,
            return_asyncio_server=True,
            access_log=False,
        )
        self._guard_task = asyncio.create_task(app.ctx.guard.run())
        await self._http.startup()
        await self._http.start_serving()

    async def _wait_for_signal(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self._stop.wait()

    async def _drain(self) -> None:
        """Finishes requests, hands over racks and closes the HTTP server."""
        logs.log_event('draining')
        if not await self._components.drain():
            logs.log_event('drain timed out', level=logs.WARNING)
        self._http.close()
        await self._http.wait_closed()
        logs.log_event('stopped')


def _links(
    cfg: settings.Settings, session: aiohttp.ClientSession
) -> node_lib.PlatformLinks:
    def connect(worker: world.Worker) -> adapters.HttpWorkerLink:
        return adapters.HttpWorkerLink(
            session=session,
            address=worker.address,
            timeout_s=worker_sessions.POLL_TIMEOUT_S,
        )

    return node_lib.PlatformLinks(
        log=adapters.HttpLogService(session=session, url=cfg.log_url),
        instances=adapters.HttpInstanceList(session=session, url=cfg.list_url),
        connect=connect,
        connect_peer=lambda address: peer_channel.GrpcChannel(address=address),
    )


def _bind(name: str, address: str) -> socket.socket:
    host, port = settings.split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as exc:
        listener.close()
        raise settings.bind_error(name, address, exc) from exc
    return listener


def _check_free(name: str, address: str) -> None:
    """Fails early for an address in use, which grpc logs at length."""
    _bind(name, address).close()
