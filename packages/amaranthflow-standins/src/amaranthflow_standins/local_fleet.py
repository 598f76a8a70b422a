"""A fleet of daemon instances in one process, under a fake clock.

The instances run the daemon's own code; only sockets are replaced. Faults are
set between steps of the clock, so that a run can be reproduced.
"""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import platform
from amaranthflow import world
from amaranthflow_daemon import components as components_lib
from amaranthflow_daemon import node as node_lib
from amaranthflow_daemon import peer_service
from amaranthflow_daemon import router
from amaranthflow_daemon import settings
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import clock as clock_lib
from . import gate as gate_lib
from . import history
from . import instances
from . import log as log_lib
from . import machine as machine_lib
from . import timeouts
from . import worker as worker_lib

TENANT = ids.TenantId('tenant-a')
SERVICE = ids.ServiceId('plans')
_PEER_LATENCY_S = 0.001
_LIST_DELAY_S = 2.0
_CHANGE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalInstance:
    """One instance of a local fleet."""

    parts: components_lib.Components
    gate: gate_lib.PauseGate
    service: peer_service.PeerService
    list_view: '_ListView'

    @property
    def name(self) -> ids.InstanceId:
        """Id of the instance."""
        return self.parts.node.member.instance


class _ListView:
    """The platform's list as one instance sees it; it can be frozen."""

    def __init__(self, *, source: platform.InstanceList):
        self._source = source
        self._frozen: t.Mapping[str, platform.InstancePhase] | None = None

    def freeze(self, listed: t.Mapping[str, platform.InstancePhase]) -> None:
        """Returns these phases in all further snapshots."""
        self._frozen = listed

    async def snapshot(self) -> t.Mapping[str, platform.InstancePhase]:
        """Returns the phase of each instance."""
        if self._frozen is not None:
            return self._frozen
        return await self._source.snapshot()


class _LocalChannel:
    """Implements the daemon's ``PeerChannel`` without a network."""

    def __init__(self, *, fleet: 'LocalFleet', source: str, address: str):
        self._fleet = fleet
        self._source = source
        self._address = address
        self._closed = asyncio.Event()

    async def heartbeat(
        self, req: peer_pb2.HeartbeatRequest, timeout_s: float
    ) -> peer_pb2.HeartbeatReply:
        """Calls the peer's service."""
        return await self._call('Heartbeat', req, timeout_s)

    async def execute(
        self, req: peer_pb2.ExecuteRequest, timeout_s: float
    ) -> peer_pb2.ExecuteReply:
        """Calls the peer's service."""
        return await self._call('Execute', req, timeout_s)

    async def fetch_state(
        self, req: peer_pb2.FetchStateRequest, timeout_s: float
    ) -> bytes:
        """Calls the peer's service."""
        return await self._call('FetchState', req, timeout_s)

    async def close(self) -> None:
        """Cancels calls in progress."""
        self._closed.set()

    async def _call(self, method: str, req, timeout_s: float):
        work = asyncio.ensure_future(self._deliver(method, req))
        # The peer continues with the call even if the caller times out.
        self._fleet.track_task(work)
        closed = asyncio.ensure_future(self._closed.wait())
        timer = asyncio.ensure_future(self._fleet.clock.sleep(timeout_s))
        try:
            await asyncio.wait(
                {work, closed, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            closed.cancel()
            timer.cancel()
        if not work.done():
            raise exceptions.RequestUncertain('the peer did not respond')
        return work.result()

    async def _deliver(self, method: str, req):
        clock = self._fleet.clock
        await clock.sleep(_PEER_LATENCY_S)
        peer = await self._fleet.wait_reachable(self._source, self._address)
        reply = await _call_service(peer.service, method, req)
        await clock.sleep(_PEER_LATENCY_S)
        await peer.gate.wait()
        await self._fleet.wait_reachable(peer.name, self._source)
        return reply


async def _call_service(service: peer_service.PeerService, method: str, req):
    if method == 'Heartbeat':
        return service.answer_heartbeat()
    if method == 'FetchState':
        chunks = service.FetchState(req, None)
        return b''.join([chunk.data async for chunk in chunks])
    return await service.Execute(req, None)


class LocalFleet:
    """Instances, workers, log and instance list, with fault injection.

    :param racks: number of racks, with ``workers_per_rack`` workers each.
    """

    def __init__(
        self,
        *,
        seed: int,
        racks: int = 2,
        workers_per_rack: int = 2,
        log: log_lib.LogStandin | None = None,
    ):
        self.clock = clock_lib.FakeClock()
        self.rng = random.Random(seed)
        self.log = log or log_lib.LogStandin(
            clock=self.clock, rng=random.Random(seed + 1), latency_s=0.002
        )
        self.list = instances.InstanceListStandin(
            clock=self.clock, delay_s=_LIST_DELAY_S
        )
        self.instances: dict[str, LocalInstance] = {}
        self.workers = [
            _worker(rack, index)
            for rack in range(racks)
            for index in range(workers_per_rack)
        ]
        self.machines = {
            worker.worker_id: machine_lib.Machine(
                worker=worker,
                clock=self.clock,
                rng=random.Random(f'{seed}/{worker.worker_id}'),
            )
            for worker in self.workers
        }
        self._links: dict[str, worker_lib.WorkerStandin] = {
            worker_id: worker_lib.WorkerStandin(
                machine=machine, clock=self.clock, timeout_s=1.0
            )
            for worker_id, machine in self.machines.items()
        }
        self._ended: list[LocalInstance] = []
        self._cuts: set[frozenset[str]] = set()
        self._tracked_tasks: set[asyncio.Task] = set()

    def start(
        self,
        name: str,
        zone: str = 'zone-1',
        start_peers: t.Sequence[str] = (),
        **values,
    ) -> None:
        """Starts an instance, whose name must not be in use."""
        gate = gate_lib.PauseGate()
        clock = gate_lib.GatedClock(clock=self.clock, gate=gate)
        cfg = settings.Settings.from_values(
            instance_id=name,
            zone=zone,
            http_address='127.0.0.1:1001',
            peer_address='127.0.0.1:1002',
            log_url='http://127.0.0.1:1003',
            list_url='http://127.0.0.1:1004',
            **values,
        )
        list_view = _ListView(source=self.list)
        # Peers are addressed by name, since there are no sockets.
        cfg = dataclasses.replace(
            cfg, peer_address=name, start_peers=tuple(start_peers)
        )
        parts = components_lib.Components(
            cfg=cfg,
            clock=clock,
            links=self._platform_links(name, gate, list_view),
            rng=random.Random(self.rng.random()),
        )
        service = peer_service.PeerService(
            node=parts.node, peers=parts.peers, dispatcher=parts.dispatcher
        )
        self.instances[name] = LocalInstance(
            parts=parts, gate=gate, service=service, list_view=list_view
        )
        self.list.set_phase(name, platform.InstancePhase.LIVE)
        parts.start()

    async def kill(self, name: str) -> None:
        """Stops an instance at once, without a graceful shutdown."""
        instance = self.instances.pop(name)
        self._ended.append(instance)
        instance.gate.kill()
        await self._cancel_tasks(instance)
        self.list.set_phase(name, None)

    async def _cancel_tasks(self, instance: LocalInstance) -> None:
        """Cancels all tasks, and those that they start when cancelled."""
        while tasks := instance.parts.node.running_tasks():
            for task in tasks:
                task.cancel()
            await self.clock.settle()

    async def drain(self, name: str) -> bool:
        """Drains an instance and returns whether that was graceful."""
        parts = self.instances[name].parts
        work = asyncio.ensure_future(parts.drain())
        while not work.done():
            await self.clock.run_for(0.1)
        self._ended.append(self.instances[name])
        await self._cancel_tasks(self.instances.pop(name))
        self.list.set_phase(name, None)
        return work.result()

    async def freeze_list(self, instance: LocalInstance) -> None:
        """Permanently freezes the instance list that one instance sees."""
        frozen = await self.list.snapshot()
        instance.list_view.freeze(frozen)

    def cut(self, first: str, second: str) -> None:
        """Blocks all messages between two instances."""
        self._cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """Removes all cuts."""
        self._cuts.clear()

    async def wait_reachable(self, source: str, target: str) -> LocalInstance:
        """Waits until the target is reachable and returns it.

        :raises RequestUncertain: there is no such instance.
        """
        while True:
            if frozenset((source, target)) in self._cuts:
                await self.clock.sleep(0.05)
                continue
            instance = self.instances.get(target)
            if instance is None:
                raise exceptions.RequestUncertain('the connection is reset')
            await instance.gate.wait()
            return instance

    def track_task(self, task: asyncio.Task) -> None:
        """Holds a reference to a background task until it ends."""
        self._tracked_tasks.add(task)
        task.add_done_callback(self._forget)

    async def configure(self, through: str) -> None:
        """Configures the workers, one tenant and its service."""
        for worker in self.workers:
            await self.change(
                through, f'worker/{worker.worker_id}', _worker_body(worker)
            )
        tenant = world_pb2.Tenant(tenant_id=TENANT, weight=1.0)
        await self.change(through, f'tenant/{TENANT}', tenant)
        service = world_pb2.Service(
            service_id=SERVICE,
            tenant_id=TENANT,
            size=world_pb2.Size(cores=1, memory_mb=100),
            timeout_ms=1000,
            reserved_slots=2,
            task_class='plan',
        )
        await self.change(through, f'service/{SERVICE}', service)

    async def change(self, through: str, key: str, body, **fields):
        """Writes a change through an instance and returns its result."""
        change = world_pb2.Change(
            change_id=f'{key}/{self.rng.random()}', key=key, **fields
        )
        kind = key.partition('/')[0]
        getattr(change, kind).CopyFrom(body)
        record = records_pb2.Record(change=change)
        journal = self.instances[through].parts.node.journal
        return await self.run_until_done(
            journal.write(record, _CHANGE_TIMEOUT_S)
        )

    async def run_until_done(self, work: t.Awaitable, timeout_s: float = 60.0):
        """Advances the clock until ``work`` is done; returns its result.

        :raises TimeoutError: it took longer than ``timeout_s``.
        """
        task = asyncio.ensure_future(work)
        until = self.clock.monotonic() + timeout_s
        while not task.done() and self.clock.monotonic() < until:
            await self.clock.run_for(0.05)
        if not task.done():
            task.cancel()
            raise TimeoutError('the work was not done in time')
        return task.result()

    async def call(
        self, through: str, request_id: str, idempotent: bool = True
    ) -> peer_pb2.ExecuteReply:
        """Sends a request through an instance."""
        req = router.CallerRequest(
            request_id=ids.RequestId(request_id),
            tenant_id=TENANT,
            service_id=SERVICE,
            payload=payload_of(request_id),
            idempotent=idempotent,
        )
        return await self.instances[through].parts.router.call(req)

    async def submit(self, through: str, job_id: str, run_s: float, **fields):
        """Submits a batch job through an instance."""
        job = self.make_job(job_id, run_s, **fields)
        submissions = self.instances[through].parts.submissions
        return await self.run_until_done(submissions.submit(job))

    def make_job(self, job_id: str, run_s: float, **fields) -> world_pb2.Job:
        """Returns a batch job with the given run time."""
        payload = f'{{"run_ms": {round(run_s * 1000)}, "label": "{job_id}"}}'
        return world_pb2.Job(
            job_id=job_id,
            tenant_id=TENANT,
            task_class='sort',
            declared=world_pb2.Size(cores=1, memory_mb=100),
            payload=payload.encode(),
            **fields,
        )

    def job(self, job_id: str):
        """Returns a job as the instance with the newest state describes it."""
        instance = max(
            self.instances.values(),
            key=lambda i: i.parts.node.state.next_offset,
        )
        return instance.parts.submissions.show(TENANT, job_id)

    def owner(self, rack_id: str) -> str:
        """Returns the owner of a rack according to the newest state."""
        newest = max(
            (i.parts.node.state for i in self.instances.values()),
            key=lambda state: state.next_offset,
        )
        return newest.racks.holdings[ids.RackId(rack_id)].owner.instance

    def serving(self, rack_id: str) -> list[str]:
        """Returns the instances that would start work on a rack now."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.parts.node.ownership.admits(ids.RackId(rack_id))
        ]

    def runs(self, subject_part: str) -> list[history.Run]:
        """Returns all runs whose subject contains a string."""
        return [
            run
            for machine in self.machines.values()
            for run in machine.history.runs
            if subject_part in run.subject
        ]

    def violations(self) -> list[history.Violation]:
        """Returns each violation of a worker's limits."""
        return [
            violation
            for machine in self.machines.values()
            for violation in machine.history.violations
        ]

    def overlaps(self) -> list[tuple[history.Run, history.Run]]:
        """Returns pairs of simultaneous runs of the same batch job."""
        by_job: dict[ids.JobId, list[history.Run]] = {}
        for run in self.runs('job:'):
            job_id, _ = ids.split_batch_task_id(ids.TaskId(run.subject))
            by_job.setdefault(job_id, []).append(run)
        return [
            (first, second)
            for runs in by_job.values()
            for index, first in enumerate(runs)
            for second in runs[index + 1 :]
            if _overlap(first, second)
        ]

    async def close(self) -> None:
        """Cancels all tasks, including those of stopped instances."""
        await timeouts.cancel(*self._tracked_tasks)
        for name in list(self.instances):
            await self.kill(name)
        for instance in self._ended:
            await self._cancel_tasks(instance)
        for link in self._links.values():
            await link.close()
        for machine in self.machines.values():
            await machine.close()

    def _platform_links(
        self, name: str, gate: gate_lib.PauseGate, list_view: _ListView
    ) -> node_lib.PlatformLinks:
        def connect(worker: world.Worker) -> platform.WorkerLink:
            link = self._links[worker.worker_id]
            return gate_lib.Gated(target=link, gate=gate)

        def connect_peer(address: str) -> _LocalChannel:
            channel = _LocalChannel(fleet=self, source=name, address=address)
            return gate_lib.Gated(target=channel, gate=gate)

        return node_lib.PlatformLinks(
            log=gate_lib.Gated(target=self.log, gate=gate),
            instances=gate_lib.Gated(target=list_view, gate=gate),
            connect=connect,
            connect_peer=connect_peer,
        )

    def _forget(self, task: asyncio.Task) -> None:
        self._tracked_tasks.discard(task)
        if not task.cancelled():
            task.exception()


def payload_of(request_id: str) -> bytes:
    """Returns the payload that ``LocalFleet.call`` sends."""
    return b'payload of ' + request_id.encode()


def _overlap(first: history.Run, second: history.Run) -> bool:
    starts = max(first.started_s, second.started_s)
    ends = [run.ended_s for run in (first, second) if run.ended_s is not None]
    return not ends or starts < min(ends)


def _worker(rack: int, index: int) -> world.Worker:
    return world.Worker(
        worker_id=ids.WorkerId(f'worker-{rack}-{index}'),
        address=f'127.0.0.1:{2000 + rack * 100 + index}',
        rack_id=ids.RackId(f'rack-{rack}'),
        zone_id=ids.ZoneId('zone-1'),
        capacity=world.Size(cores=32, memory_mb=125_000),
        slots=8,
        connections=60,
    )


def _worker_body(worker: world.Worker) -> world_pb2.Worker:
    return world_pb2.Worker(
        worker_id=worker.worker_id,
        address=worker.address,
        rack_id=worker.rack_id,
        zone_id=worker.zone_id,
        capacity=world_pb2.Size(
            cores=worker.capacity.cores, memory_mb=worker.capacity.memory_mb
        ),
        slots=worker.slots,
        connections=worker.connections,
    )
