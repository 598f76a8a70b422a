"""One process of stand-in servers: ``python -m ... SPEC``.

SPEC is a ``ProcessSpec`` as JSON. Once all ports are open, the process writes
their addresses (``Ports``) to stdout as one line of JSON. It exits on SIGTERM
or SIGINT, or when its stdin is closed.
"""

import asyncio
import dataclasses
import json
import random
import signal
import sys

from amaranthflow import clock as clock_lib
from amaranthflow import world

from . import instances
from . import log as log_lib
from . import machine as machine_lib
from . import servers


@dataclasses.dataclass(slots=True, kw_only=True)
class ProcessSpec:
    """Servers and parameters of one process.

    :ivar platform: serve the log and the instance list.
    :ivar worker_ids: serve these workers, all of the same size.
    :ivar service_size: cores and memory of one request, by service id.
    """

    seed: int
    platform: bool = False
    worker_ids: list[str] = dataclasses.field(default_factory=list)
    cores: float = 32.0
    memory_mb: int = 125_000
    slots: int = 8
    connections: int = 60
    service_time_s: float = 0.005
    service_size: dict = dataclasses.field(default_factory=dict)
    list_delay_s: float = 1.0
    appends_per_s: float = 400.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Ports:
    """Addresses (``IP:PORT``) of the servers of one process."""

    control: str
    log: str = ''
    instance_list: str = ''
    workers: dict[str, str] = dataclasses.field(default_factory=dict)


class _Process:
    def __init__(self, spec: ProcessSpec):
        self._spec = spec
        self._clock = clock_lib.SystemClock()
        self._log: servers.LogServer | None = None
        self._list: servers.InstanceListServer | None = None
        self._workers: list[servers.WorkerServer] = []

    async def open(self) -> Ports:
        if self._spec.platform:
            await self._open_platform()
        for index, worker_id in enumerate(self._spec.worker_ids):
            await self._open_worker(index, worker_id)
        control = servers.ControlServer(
            log=self._log, instance_list=self._list, workers=self._workers
        )
        await control.service.open()
        ports = Ports(control=control.service.address)
        if self._log is not None and self._list is not None:
            ports.log = self._log.service.address
            ports.instance_list = self._list.service.address
        for server in self._workers:
            worker_id = server.machine.worker.worker_id
            ports.workers[worker_id] = server.service.address
        return ports

    async def _open_platform(self) -> None:
        log = log_lib.LogStandin(
            clock=self._clock,
            rng=random.Random(self._spec.seed),
            appends_per_s=self._spec.appends_per_s,
        )
        self._log = servers.LogServer(log=log)
        await self._log.service.open()
        instance_list = instances.InstanceListStandin(
            clock=self._clock, delay_s=self._spec.list_delay_s
        )
        self._list = servers.InstanceListServer(instance_list=instance_list)
        await self._list.service.open()

    async def _open_worker(self, index: int, worker_id: str) -> None:
        spec = self._spec
        worker = world.Worker(
            worker_id=worker_id,
            address='',
            rack_id='',
            zone_id='',
            capacity=world.Size(cores=spec.cores, memory_mb=spec.memory_mb),
            slots=spec.slots,
            connections=spec.connections,
        )
        machine = machine_lib.Machine(
            worker=worker,
            clock=self._clock,
            rng=random.Random(spec.seed * 1000 + index),
            service_time_s=spec.service_time_s,
            service_sizes={
                service_id: world.Size(**size)
                for service_id, size in spec.service_size.items()
            },
        )
        server = servers.WorkerServer(machine=machine)
        await server.service.open()
        self._workers.append(server)


async def _serve(spec: ProcessSpec) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_reader(sys.stdin.fileno(), _read_stdin, loop, stop)
    ports = await _Process(spec).open()
    print(json.dumps(dataclasses.asdict(ports)), flush=True)
    await stop.wait()


def _read_stdin(loop: asyncio.AbstractEventLoop, stop: asyncio.Event) -> None:
    if not sys.stdin.buffer.raw.read(1024):
        loop.remove_reader(sys.stdin.fileno())
        stop.set()


def main() -> None:
    """Runs the servers described by the first argument."""
    asyncio.run(_serve(ProcessSpec(**json.loads(sys.argv[1]))))


if __name__ == '__main__':
    main()
