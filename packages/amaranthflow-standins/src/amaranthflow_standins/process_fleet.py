"""A fleet of real processes: stand-in servers and daemon instances."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing as t

import aiohttp
import grpc

from amaranthflow import ids
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import operators_pb2_grpc
from amaranthflow_schema.v1 import world_pb2

from . import history
from . import loopback_net
from . import standin_process

_START_TIMEOUT_S = 20.0
_RPC_TIMEOUT_S = 5.0
_READY_POLL_S = 0.1
# Below the ports that the system gives to clients and servers of port 0.
_FIRST_PORT = 8200


@dataclasses.dataclass(slots=True, kw_only=True)
class Instance:
    """One process of the daemon.

    :ivar signalled: it was told to exit, so that its exit is expected.
    """

    instance_id: ids.InstanceId
    zone: ids.ZoneId
    http_address: str
    peer_address: str
    process: asyncio.subprocess.Process
    signalled: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class StandinServers:
    """One process of stand-in servers and its addresses."""

    process: asyncio.subprocess.Process
    ports: standin_process.Ports


class Fleet:
    """Starts and stops processes, and sends them faults and configuration.

    :param logs: directory for the output of all processes.
    :param flags: further flags of each instance.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        logs: pathlib.Path,
        flags: t.Sequence[str] = (),
    ):
        self._session = session
        self._logs = logs
        self._instance_flags = flags
        self._platform: StandinServers | None = None
        self._worker_servers: list[StandinServers] = []
        self._output_copies: list[asyncio.Future] = []
        self._net = loopback_net.LoopbackNet()
        # A daemon that is started again gets new addresses.
        self._free_ports = itertools.count(_FIRST_PORT)
        self.instances: dict[ids.InstanceId, Instance] = {}
        self.http_addresses: dict[ids.InstanceId, str] = {}

    @property
    def worker_addresses(self) -> dict[str, str]:
        """Address of each worker, by id."""
        addresses = {}
        for server in self._worker_servers:
            addresses.update(server.ports.workers)
        return addresses

    async def start_platform(self, spec: standin_process.ProcessSpec) -> None:
        """Starts the process of the log and the instance list."""
        self._platform = await self._start_standins('platform', spec)

    async def start_workers(self, spec: standin_process.ProcessSpec) -> None:
        """Starts a process that serves workers."""
        name = f'workers-{len(self._worker_servers)}'
        server = await self._start_standins(name, spec)
        self._worker_servers.append(server)

    async def start_instance(
        self, instance_id: ids.InstanceId, zone: ids.ZoneId
    ) -> Instance:
        """Starts an instance and adds it to the platform's list."""
        http_address = self._new_address()
        peer_address = self._new_address()
        process = await self._spawn(
            instance_id,
            'amaranthflow_daemon.main',
            *self._flags(instance_id, zone, http_address, peer_address),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env=dict(os.environ, PYTHONDONTWRITEBYTECODE='1'),
        )
        # The output goes through a pipe, so that the daemon itself writes
        # nothing to disk, as the machine rules demand.
        self._output_copies.append(
            asyncio.ensure_future(self._copy_output(instance_id, process))
        )
        instance = Instance(
            instance_id=instance_id,
            zone=zone,
            http_address=http_address,
            peer_address=peer_address,
            process=process,
        )
        self.instances[instance_id] = instance
        self.http_addresses[instance_id] = http_address
        await self.set_phase(instance_id, 'live')
        return instance

    async def kill(self, instance_id: ids.InstanceId) -> None:
        """Kills an instance with SIGKILL."""
        instance = self.instances[instance_id]
        instance.signalled = True
        instance.process.send_signal(signal.SIGKILL)
        await instance.process.wait()
        await self.set_phase(instance_id, None)

    def pause(self, instance_id: ids.InstanceId) -> None:
        """Pauses an instance with SIGSTOP; its connections stay open."""
        self.instances[instance_id].process.send_signal(signal.SIGSTOP)

    def resume(self, instance_id: ids.InstanceId) -> None:
        """Resumes a paused instance."""
        self.instances[instance_id].process.send_signal(signal.SIGCONT)

    async def drain(
        self, instance_id: ids.InstanceId, timeout_s: float
    ) -> int | None:
        """Drains an instance; returns its exit code, None after a timeout."""
        instance = self.instances[instance_id]
        instance.signalled = True
        await self.set_phase(instance_id, 'leaving')
        instance.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                code = await instance.process.wait()
        except TimeoutError:
            return None
        await self.set_phase(instance_id, None)
        return code

    async def set_phase(self, instance_id: str, phase: str | None) -> None:
        """Changes the phase of an instance or worker in the list."""
        fields = {'instance_id': instance_id, 'phase': phase}
        await self._control(self._platform, '/control/list', fields)

    async def set_log(self, **faults) -> None:
        """Changes the faults of the log."""
        await self._control(self._platform, '/control/log', faults)

    async def set_worker(self, worker_id: str, **faults) -> None:
        """Changes the faults of a worker."""
        fields = dict(faults, worker_id=worker_id)
        for server in self._worker_servers:
            if worker_id in server.ports.workers:
                await self._control(server, '/control/worker', fields)

    async def histories(self) -> list[history.WorkerHistory]:
        """Returns the histories of all workers."""
        histories = []
        for server in self._worker_servers:
            workers = await self._control(server, '/control/history', {})
            histories += [history.WorkerHistory.from_json(w) for w in workers]
        return histories

    async def send_change(self, change: world_pb2.Change) -> str:
        """Sends a change to an instance; returns why it was refused."""
        address = next(iter(self.instances.values())).peer_address
        async with grpc.aio.insecure_channel(address) as channel:
            stub = operators_pb2_grpc.OperatorsStub(channel)
            request = operators_pb2.ChangeRequest(change=change)
            try:
                reply = await stub.SendChange(request, timeout=_RPC_TIMEOUT_S)
            except grpc.aio.AioRpcError as exc:
                return f'{exc.code().name}: {exc.details()}'
        return '' if reply.accepted else reply.reason or 'refused'

    async def status(
        self, instance: Instance
    ) -> operators_pb2.StatusReply | None:
        """Returns the status of an instance, None if it does not respond."""
        async with grpc.aio.insecure_channel(instance.peer_address) as channel:
            stub = operators_pb2_grpc.OperatorsStub(channel)
            request = operators_pb2.StatusRequest()
            try:
                return await stub.Status(request, timeout=_RPC_TIMEOUT_S)
            except grpc.aio.AioRpcError:
                return None

    async def wait_ready(self, instance: Instance) -> None:
        """Returns once an instance is ready.

        :raises TimeoutError: it does not get ready.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                status = await self.status(instance)
                if status is not None and status.ready:
                    return
                await asyncio.sleep(_READY_POLL_S)

    def unexpectedly_exited(self) -> list[Instance]:
        """Returns instances that exited without having been told to."""
        return [
            instance
            for instance in self.instances.values()
            if not instance.signalled
            and instance.process.returncode is not None
        ]

    async def close(self) -> None:
        """Kills every process."""
        servers = [*self._worker_servers]
        if self._platform is not None:
            servers.append(self._platform)
        processes = [i.process for i in self.instances.values()]
        processes += [server.process for server in servers]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                if process.returncode is None:
                    process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        await asyncio.gather(*self._output_copies)
        self._net.close()

    async def _start_standins(
        self, name: str, spec: standin_process.ProcessSpec
    ) -> StandinServers:
        process = await self._spawn(
            name,
            'amaranthflow_standins.standin_process',
            json.dumps(dataclasses.asdict(spec)),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        async with asyncio.timeout(_START_TIMEOUT_S):
            line = await process.stdout.readline()
        ports = standin_process.Ports(**json.loads(line))
        return StandinServers(process=process, ports=ports)

    async def _spawn(
        self, name: str, module: str, *arguments: str, **streams
    ) -> asyncio.subprocess.Process:
        with self._open_log(name) as log:
            streams.setdefault('stdin', subprocess.DEVNULL)
            streams.setdefault('stderr', log)
            return await asyncio.create_subprocess_exec(
                sys.executable, '-m', module, *arguments, **streams
            )

    async def _copy_output(
        self, name: str, process: asyncio.subprocess.Process
    ) -> None:
        with self._open_log(name) as log:
            while data := await process.stdout.read(1 << 16):
                log.write(data)

    def _open_log(self, name: str) -> t.BinaryIO:
        return open(self._logs / f'{name}.log', 'ab')

    def _new_address(self) -> str:
        return f'{self._net.host(1)}:{next(self._free_ports)}'

    def _flags(
        self,
        instance_id: ids.InstanceId,
        zone: ids.ZoneId,
        http_address: str,
        peer_address: str,
    ) -> t.Iterator[str]:
        ports = self._platform.ports
        yield from ('--instance-id', instance_id)
        yield from ('--zone', zone)
        yield from ('--region', 'kerala')
        yield from ('--http-address', http_address)
        yield from ('--peer-address', peer_address)
        yield from ('--log-url', f'http://{ports.log}')
        yield from ('--list-url', f'http://{ports.instance_list}')
        yield from ('--statsd-address', '')
        yield from self._instance_flags

    async def _control(
        self, server: StandinServers, path: str, fields: dict
    ) -> t.Any:
        url = f'http://{server.ports.control}{path}'
        async with self._session.post(url, json=fields) as resp:
            if resp.status != 200:
                raise RuntimeError(f'{path}: {await resp.text()}')
            return await resp.json()


async def read_program_files(
    session: aiohttp.ClientSession, logs: pathlib.Path
) -> None:
    """Runs a daemon apart until it is ready, so that its files were just read.

    A file system without a journal counts the update of a file's access time
    as bytes that its reader wrote to the disk. Linux updates it only if it is
    older than a day or than the file's last change.

    :raises TimeoutError: the daemon does not get ready.
    """
    fleet = Fleet(session=session, logs=logs)
    try:
        await fleet.start_platform(
            standin_process.ProcessSpec(seed=1, platform=True)
        )
        instance = await fleet.start_instance(
            ids.InstanceId('reader'), ids.ZoneId('kannur')
        )
        await fleet.wait_ready(instance)
    finally:
        await fleet.close()
