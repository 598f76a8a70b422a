"""Runs scheduler instances, workers and a record store in virtual time.

Only the network, the workers and the platform are stand-ins: the instances
run the real code of the scheduler.
"""

import asyncio
import dataclasses
import random
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import elections
from amaranthflow_scheduler import metrics
from amaranthflow_scheduler import model
from amaranthflow_scheduler import node as node_lib
from amaranthflow_scheduler import peering
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler

from . import record_store
from . import task_adviser
from . import task_history
from . import task_worker
from . import virtual_time

_PEER_LATENCY_S = 0.002
WORKER_CPU = 8_000
QUEUE = model.Queue(
    id=model.QueueId('jobs'),
    host='jobs.example',
    prefix='/jobs/',
    service=ids.ServiceId('workers'),
    max_attempts=2,
    stretch=2.0,
    target_ms=500,
)
_SIZE = elections.Size()
LIMITS = scheduler.Limits(hold_max_s=6.0, state_kept_s=120.0, evacuate_s=5.0)
_CONFIGURATION_KEY = b'config'
_EVACUATION_PREFIX = b'zone:'


class _Decoder:
    """Decodes the records that this fleet writes."""

    def worker(self, key: bytes, value: bytes) -> model.WorkerEntry | None:
        fields = msgspec.json.decode(value)
        fields['state'] = model.WorkerState(fields['state'])
        fields['capacity'] = model.Resources(*fields['capacity'])
        fields['labels'] = frozenset(fields['labels'])
        return model.WorkerEntry(**fields)

    def configuration(
        self, key: bytes, value: bytes
    ) -> model.Configuration | None:
        if key != _CONFIGURATION_KEY:
            return None
        return model.Configuration(
            version=int(value),
            queues=(QUEUE,),
            checked_services=frozenset((QUEUE.service,)),
            max_body_bytes=262_144,
            idle_timeout_ms=15_000,
        )

    def evacuated_zone(self, key: bytes) -> ids.ZoneId | None:
        if not key.startswith(_EVACUATION_PREFIX):
            return None
        return ids.ZoneId(key.removeprefix(_EVACUATION_PREFIX).decode())


class _WorkerLinkFactory:
    def __init__(self, fleet: 'TaskFleet', instance: str):
        self._fleet = fleet
        self._instance = instance

    def link(self, worker: ids.WorkerId, address: str) -> ports.WorkerLink:
        return self._fleet.worker_link(worker, self._instance)


class _UnavailableAdviser:
    available = False

    async def advise(
        self,
        job: ids.JobId,
        occurrence: int,
        step: int,
        workers: t.Sequence,
        *,
        limit_s: float,
    ) -> tuple[dict[ids.WorkerId, str], int]:
        raise exceptions.PlatformError('this fleet has no adviser')


class _Clock:
    """Clock of one instance, whose wall time may differ from the loop's."""

    def __init__(self, fleet: 'TaskFleet', instance: str):
        self._fleet = fleet
        self._instance = instance

    def monotonic(self) -> float:
        return self._fleet.loop.monotonic()

    def wall_ms(self) -> int:
        offset_ms = self._fleet.clock_offset_ms.get(self._instance, 0)
        return self._fleet.loop.wall_ms() + offset_ms

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class _PeerClient:
    def __init__(self, fleet: 'TaskFleet', instance: str):
        self._fleet = fleet
        self._instance = instance

    async def call(
        self, address: str, name: str, message: dict, timeout_s: float
    ) -> dict:
        node = self._fleet.nodes.get(address)
        frozen = self._fleet.frozen
        if self._instance in self._fleet.losing_next_call:
            self._fleet.losing_next_call.discard(self._instance)
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        if node is None and address not in frozen:
            await asyncio.sleep(_PEER_LATENCY_S)
            raise ports.ConnectionRefused(address)
        if node is None or self._instance in frozen or address in frozen:
            await asyncio.sleep(timeout_s)
            raise exceptions.PlatformUncertain('no response')
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(_PEER_LATENCY_S)
                received = peering.decode_message(msgspec.json.encode(message))
                return await node.handle_call(name, received)
        except TimeoutError as exc:
            raise exceptions.PlatformUncertain('no response') from exc


def worker_entry(
    name: str,
    *,
    address: str,
    cpu: int = WORKER_CPU,
    rack: str = 'r1',
    zone: str = 'z1',
) -> model.WorkerEntry:
    """Returns the entry of a worker of the service that runs all jobs."""
    return model.WorkerEntry(
        id=ids.WorkerId(name),
        service=QUEUE.service,
        address=address,
        zone=ids.ZoneId(zone),
        state=model.WorkerState.READY,
        capacity=model.Resources(cpu, 64_000, 0),
        rack=rack,
    )


def _encode_entry(worker: task_worker.TaskWorker, seq: int) -> bytes:
    return msgspec.json.encode(dataclasses.asdict(worker.entry))


def make_job(
    job_id: str,
    steps: t.Sequence[model.Step],
    loop: virtual_time.VirtualLoop,
    **fields: t.Any,
) -> model.Job:
    """Returns a job of the only queue, accepted at the loop's present time.

    :param fields: fields of the job that differ.
    """
    job = model.Job(
        id=ids.JobId(job_id),
        queue=QUEUE,
        payload='payload',
        steps=tuple(steps),
        accepted_ms=loop.wall_ms(),
    )
    return dataclasses.replace(job, **fields)


class TaskFleet(task_history.TaskHistory):
    """A fleet and the history of everything that it ran.

    :param plan: how long each task runs and whether it fails.
    :param seed: seed of all random choices.
    :ivar frozen: names of instances that neither send nor answer calls
        between instances.
    :ivar losing_next_call: names of instances of which the next call to
        another one is lost.
    :ivar clock_offset_ms: error of the wall clock, by instance name.
    :ivar limits: of instances that start from now on.
    :ivar adviser: of instances that start from now on, if any.
    """

    def __init__(
        self,
        *,
        loop: virtual_time.VirtualLoop,
        plan: task_worker.Plan,
        seed: int = 1,
    ):
        super().__init__()
        self.loop = loop
        self.rng = random.Random(seed)
        self.store = record_store.RecordStore(rng=self.rng)
        self.workers: dict[ids.WorkerId, task_worker.TaskWorker] = {}
        self.nodes: dict[str, node_lib.Node] = {}
        self.frozen: set[str] = set()
        self.losing_next_call: set[str] = set()
        self.clock_offset_ms: dict[str, int] = {}
        self.limits = LIMITS
        self.adviser: task_adviser.TaskAdviser | None = None
        self._plan = plan
        self._heartbeats: list[asyncio.Task] = []
        self._version = 0
        self._started = 0

    # Setup.

    def configure(self) -> None:
        """Stores a new version of the configuration."""
        self._version += 1
        value = str(self._version).encode()
        self.store.put(ports.Table.CONFIGURATION, _CONFIGURATION_KEY, value)

    def evacuate(self, zone: str, *, active: bool = True) -> None:
        """Stores the evacuation of an availability zone, or takes it back."""
        key = _EVACUATION_PREFIX + zone.encode()
        value = b'{}' if active else b''
        self.store.put(ports.Table.CONFIGURATION, key, value)

    def add_worker(
        self,
        name: str,
        *,
        cpu: int = WORKER_CPU,
        rack: str = 'r1',
        zone: str = 'z1',
    ) -> task_worker.TaskWorker:
        """Adds a worker and starts to send its heartbeats."""
        entry = worker_entry(name, address=name, cpu=cpu, rack=rack, zone=zone)
        worker = task_worker.TaskWorker(
            entry=entry, plan=self._plan, rng=self.rng, history=self.runs
        )
        self.workers[entry.id] = worker
        heartbeats = task_worker.send_heartbeats(
            worker, self.store, _encode_entry
        )
        self._heartbeats.append(self.loop.create_task(heartbeats))
        return worker

    def worker_link(
        self, worker: ids.WorkerId, instance: str
    ) -> ports.WorkerLink:
        """Returns a link from an instance to a worker."""
        return task_worker.TaskWorkerLink(
            worker=self.workers[worker], instance=instance, rng=self.rng
        )

    def start_node(
        self, name: str = '', *, size: elections.Size = _SIZE
    ) -> str:
        """Starts an instance.

        :returns: its name, which is also its address.
        """
        self._started += 1
        name = name or f'n{self._started}'
        node = node_lib.Node(
            identity=node_lib.Identity(
                instance=ids.InstanceId(name),
                address=name,
                seeds=tuple(self.nodes)[:3],
                size=size,
            ),
            store=self.store.link(name),
            link_factory=_WorkerLinkFactory(self, name),
            decoder=_Decoder(),
            adviser=self.adviser or _UnavailableAdviser(),
            peer_client=_PeerClient(self, name),
            clock=_Clock(self, name),
            limits=self.limits,
            meters=metrics.Metrics(),
        )
        self.nodes[name] = node
        node.start()
        return name

    async def kill(self, name: str) -> None:
        """Stops an instance at once, without notice to the other ones."""
        node = self.nodes.pop(name)
        node.kill()
        await asyncio.sleep(0)

    def leader(self) -> str | None:
        """Returns the name of a leader that is ready, or None."""
        for name, node in self.nodes.items():
            if node.leader is not None and node.leader.ready:
                return name
        return None

    async def wait_leader(self, within_s: float = 10.0) -> str:
        """Waits for a leader that is ready and returns its name.

        :raises AssertionError: there is none after ``within_s``.
        """
        end_s = self.loop.time() + within_s
        while self.loop.time() < end_s:
            name = self.leader()
            if name is not None:
                return name
            await asyncio.sleep(0.05)
        raise AssertionError(f'no leader within {within_s} s')

    # Callers.

    async def submit(
        self, job_id: str, steps: t.Sequence[model.Step], **fields: t.Any
    ) -> model.Job:
        """Submits a job to random instances until one accepts it."""
        job = make_job(job_id, steps, self.loop, **fields)
        while True:
            node = self.rng.choice(list(self.nodes.values()) or [None])
            try:
                if node is None:
                    raise exceptions.NotReady('no instance')
                await node.job_api.submit(job)
                break
            except exceptions.AmaranthflowError:
                await asyncio.sleep(0.2)
        self.jobs[job.id] = task_history.AcceptedJob(
            job=job, accepted_s=self.loop.time()
        )
        return job

    async def query_state(self, job_id: str) -> model.JobState | None:
        """Queries random instances until one returns the state of a job.

        :returns: None if the job is unknown.
        """
        while True:
            node = self.rng.choice(list(self.nodes.values()) or [None])
            try:
                if node is None:
                    raise exceptions.NotReady('no instance')
                state = await node.job_api.state(ids.JobId(job_id))
            except exceptions.AmaranthflowError:
                await asyncio.sleep(0.2)
                continue
            if state is not None:
                self.record_shown(ids.JobId(job_id), state, self.loop.time())
            return state

    async def cancel(self, job_id: str) -> None:
        """Cancels a job at random instances until one acknowledges it."""
        while True:
            node = self.rng.choice(list(self.nodes.values()) or [None])
            try:
                if node is not None:
                    await node.job_api.cancel(ids.JobId(job_id))
                    break
            except exceptions.AmaranthflowError:
                # The cancellation was not acknowledged: send it again.
                pass
            await asyncio.sleep(0.2)
        self.jobs[ids.JobId(job_id)].cancelled_s = self.loop.time()

    async def wait_state(
        self, job_id: str, state: model.JobState, within_s: float
    ) -> float:
        """Waits until a job is in a state and returns the seconds waited.

        :raises AssertionError: it is not in that state after ``within_s``.
        """
        started_s = self.loop.time()
        while self.loop.time() - started_s < within_s:
            if await self.query_state(job_id) is state:
                return self.loop.time() - started_s
            await asyncio.sleep(0.1)
        seen = await self.query_state(job_id)
        raise AssertionError(
            f'{job_id} is {seen} after {within_s} s, not {state}'
        )
