"""A small fleet on this machine, to try the steps of the operators' pages.

``python -m amaranthflow_standins.dev_fleet FOLDER`` starts the platform's
stand-ins, six workers in three racks and three instances in two availability
zones on loopback ports, and configures the workers. FOLDER then contains
``env`` (variables of ``amaranthflow`` for a shell to source), ``pids`` and the
logs. An instance that exits is removed from the platform's list. The fleet
runs until SIGINT or SIGTERM and then stops all its processes.
"""

import asyncio
import pathlib
import signal
import sys
import typing as t

import aiohttp

from amaranthflow import ids
from amaranthflow_schema.v1 import world_pb2

from . import process_fleet as fleet_lib
from . import standin_process

_ZONES = ('kozhikode', 'kozhikode', 'kannur')
_WORKERS_PER_RACK = 2
_CORES = 32.0
_MEMORY_MB = 125_000
_SLOTS = 8
_CONNECTIONS = 60
_SEED = 1
_POLL_S = 0.2
_MAX_POLLS = 100


async def _start(fleet: fleet_lib.Fleet) -> None:
    await fleet.start_platform(
        standin_process.ProcessSpec(seed=_SEED, platform=True)
    )
    worker_ids = [
        f'rack-{rack + 1}-{n + 1}'
        for rack in range(len(_ZONES))
        for n in range(_WORKERS_PER_RACK)
    ]
    await fleet.start_workers(
        standin_process.ProcessSpec(
            seed=_SEED,
            worker_ids=worker_ids,
            cores=_CORES,
            memory_mb=_MEMORY_MB,
            slots=_SLOTS,
            connections=_CONNECTIONS,
        )
    )
    for index, zone in enumerate(_ZONES):
        instance_id = ids.InstanceId(f'instance-{index + 1}')
        await fleet.start_instance(instance_id, ids.ZoneId(zone))


async def _wait_until_ready(fleet: fleet_lib.Fleet) -> None:
    for _ in range(_MAX_POLLS):
        replies = [await fleet.status(i) for i in fleet.instances.values()]
        if all(reply is not None and reply.ready for reply in replies):
            return
        await asyncio.sleep(_POLL_S)
    raise RuntimeError('the instances do not become ready')


async def _configure(fleet: fleet_lib.Fleet) -> None:
    for worker_id, address in fleet.worker_addresses.items():
        reason = await fleet.send_change(_change(worker_id, address))
        if reason:
            raise RuntimeError(f'{worker_id}: {reason}')


def _change(worker_id: str, address: str) -> world_pb2.Change:
    rack_id = worker_id.rpartition('-')[0]
    zone = _ZONES[int(rack_id.rpartition('-')[2]) - 1]
    return world_pb2.Change(
        change_id=f'dev-{worker_id}',
        key=f'worker/{worker_id}',
        operator='dev-fleet',
        worker=world_pb2.Worker(
            worker_id=worker_id,
            address=address,
            rack_id=rack_id,
            zone_id=zone,
            region_id='kerala',
            capacity=world_pb2.Size(cores=_CORES, memory_mb=_MEMORY_MB),
            slots=_SLOTS,
            connections=_CONNECTIONS,
        ),
    )


def _write_files(fleet: fleet_lib.Fleet, folder: pathlib.Path) -> None:
    instances = fleet.instances.values()
    peers = ','.join(i.peer_address for i in instances)
    http = ','.join(i.http_address for i in instances)
    pids = [f'{i.instance_id} {i.process.pid}\n' for i in instances]
    (folder / 'pids').write_text(''.join(pids))
    # Written last, because its existence signals that the fleet is ready.
    (folder / 'env').write_text(
        f'export AMARANTHFLOW_ADDRESS={peers}\n'
        f'export AMARANTHFLOW_HTTP_ADDRESS={http}\n'
    )


async def _update_list(fleet: fleet_lib.Fleet, stop: asyncio.Event) -> None:
    """Removes exited instances from the platform's list until ``stop``."""
    while not stop.is_set():
        for instance in fleet.unexpectedly_exited():
            instance.signalled = True
            await fleet.set_phase(instance.instance_id, None)
        await asyncio.sleep(_POLL_S)


async def _run(folder: pathlib.Path) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with aiohttp.ClientSession() as session:
        fleet = fleet_lib.Fleet(session=session, logs=folder)
        try:
            await _start(fleet)
            await _wait_until_ready(fleet)
            await _configure(fleet)
            _write_files(fleet, folder)
            print(f'ready; . {folder / "env"}', flush=True)
            await _update_list(fleet, stop)
        finally:
            await fleet.close()


def main(argv: t.Sequence[str]) -> int:
    """Runs the fleet; returns the exit code."""
    if len(argv) != 1:
        print(__doc__, file=sys.stderr)
        return 2
    folder = pathlib.Path(argv[0])
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'env').unlink(missing_ok=True)
    asyncio.run(_run(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
