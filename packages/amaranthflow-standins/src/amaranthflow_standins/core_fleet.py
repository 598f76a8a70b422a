"""A fleet of members that replicate their state over one in-memory log.

Members run the real state, follower, journal and ownership, under a fake
clock. Faults can be injected into the network between them, their connections
to the log, and their processes.
"""

import asyncio
import dataclasses
import random
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import follower
from amaranthflow import ids
from amaranthflow import journal
from amaranthflow import membership
from amaranthflow import ownership
from amaranthflow import platform
from amaranthflow import racks
from amaranthflow import results
from amaranthflow import snapshots
from amaranthflow import state as state_lib
from amaranthflow_schema.v1 import records_pb2

from . import clock as fake_clock
from . import log as log_lib

_HEARTBEAT_S = 0.5
_ZONES = 3
_SETTLE_TURNS = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetTimes:
    """Timing parameters of the protocol, in seconds."""

    fence_s: float = 2.0
    task_lease_s: float = 4.0
    margin_s: float = 0.25
    batch_delay_s: float = 0.005
    min_interval_s: float = 0.02


class ProcessClock:
    """Clock of one process, which can be paused.

    :ivar skew_ms: error of the wall clock.
    """

    def __init__(self, *, base: clock_lib.Clock):
        self._base = base
        self._running = asyncio.Event()
        self._running.set()
        self.skew_ms = 0

    @property
    def paused(self) -> bool:
        """True while the process is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Stops the process at its next wait."""
        self._running.clear()

    def resume(self) -> None:
        """Resumes the process."""
        self._running.set()

    async def wait_resumed(self) -> None:
        """Waits until the process is not paused."""
        await self._running.wait()

    def monotonic(self) -> float:
        """Seconds of the fleet's clock, pauses included."""
        return self._base.monotonic()

    def wall_ms(self) -> int:
        """Unix time in ms of this process's clock."""
        return self._base.wall_ms() + self.skew_ms

    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task, at least until the process is resumed."""
        await self._base.sleep(seconds)
        await self.wait_resumed()


class LogConnection:
    """Connection of one process to the log.

    :ivar cut: whether the connection is interrupted.
    """

    def __init__(self, *, log: platform.LogService, clock: ProcessClock):
        self._log = log
        self._clock = clock
        self.cut = False

    async def append(self, data: bytes) -> ids.Offset:
        """Appends; the reply is lost if the connection is cut meanwhile."""
        await self._clock.wait_resumed()
        self._check()
        offset = await self._log.append(data)
        await self._clock.wait_resumed()
        if self.cut:
            raise exceptions.PlatformUncertain('no reply from the log')
        return offset

    async def read(self, start: ids.Offset, wait_s: float) -> platform.LogPage:
        """Reads; see ``platform.LogService``."""
        await self._clock.wait_resumed()
        self._check()
        page = await self._log.read(start, wait_s)
        await self._clock.wait_resumed()
        self._check()
        return page

    async def first_offset(self) -> ids.Offset:
        """Returns the offset of the oldest entry kept."""
        await self._clock.wait_resumed()
        self._check()
        return await self._log.first_offset()

    def _check(self) -> None:
        if self.cut:
            raise exceptions.PlatformError('no connection to the log')


class CoreMember:
    """One process of the fleet.

    :ivar alive: False once the process was killed.
    :ivar invalid: number of entries that could not be decoded.
    """

    def __init__(self, *, fleet: 'CoreFleet', member: ids.Member):
        self._fleet = fleet
        self._tasks: set[asyncio.Task] = set()
        self._takeovers: dict[ids.RackId, ids.Epoch] = {}
        self.member = member
        self.alive = True
        self.invalid = 0
        self.clock = ProcessClock(base=fleet.clock)
        self.log_connection = LogConnection(log=fleet.log, clock=self.clock)
        self.state = state_lib.State()
        self.ownership = ownership.Ownership(
            clock=self.clock,
            state=self.state,
            member=member,
            fence_s=fleet.times.fence_s,
            margin_s=fleet.times.margin_s,
        )
        self.journal = journal.Journal(
            log=self.log_connection,
            clock=self.clock,
            member=member,
            batch_delay_s=fleet.times.batch_delay_s,
            min_interval_s=lambda: fleet.times.min_interval_s,
            rng=random.Random(f'{fleet.seed} {member}'),
        )
        self.follower = follower.Follower(
            log=self.log_connection,
            clock=self.clock,
            state=self.state,
            listener=self,
        )

    @property
    def joined(self) -> bool:
        """True while this process is a member according to the log."""
        current = self.state.members.current(self.member.instance)
        return current == self.member

    def start(self) -> None:
        """Starts the tasks of the process."""
        for work in (
            self.follower.run(),
            self.journal.run(),
            self._send_heartbeats(),
        ):
            self.spawn(work)

    def spawn(self, work: t.Coroutine) -> asyncio.Task:
        """Starts a task that is cancelled when the process is killed."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def kill(self) -> None:
        """Stops the process at once."""
        self.alive = False
        for task in self._tasks:
            task.cancel()

    async def write(
        self, record: records_pb2.Record, timeout_s: float = 2.0
    ) -> results.Result:
        """Writes a record; see ``journal.Journal.write``."""
        return await self.journal.write(record, timeout_s)

    async def try_write(self, record, timeout_s: float = 2.0) -> bool:
        """Writes a record and returns whether it was accepted."""
        try:
            return (await self.write(record, timeout_s)).accepted
        except exceptions.AmaranthflowError:
            return False

    async def join(self) -> None:
        """Joins the fleet once the process has caught up with the log."""
        while not self.joined:
            if self.follower.caught_up:
                await self.try_write(self._joined())
            await self.clock.sleep(0.1)

    async def claim(self, rack_id: ids.RackId) -> None:
        """Claims a rack; the takeover starts when the claim is applied."""
        claimed = records_pb2.RackClaimed(
            rack_id=rack_id,
            instance_id=self.member.instance,
            incarnation=self.member.incarnation,
            after_epoch=self.state.racks.epoch(rack_id),
        )
        await self.try_write(records_pb2.Record(rack_claimed=claimed))

    async def release(self, rack_id: ids.RackId) -> None:
        """Releases a rack.

        The process continues to serve it if the write certainly failed.
        """
        holding = self.state.racks.holdings.get(rack_id)
        if holding is None or not self.ownership.owns(rack_id, holding.epoch):
            return
        released = self.ownership.begin_release(rack_id, holding.epoch)
        try:
            await self.write(records_pb2.Record(rack_released=released))
        except exceptions.NotReady:
            self.ownership.cancel_release(rack_id, holding.epoch)
        except exceptions.RequestUncertain:
            pass

    async def close_views(self) -> None:
        """Closes the views that no longer grant any right."""
        through = self.ownership.closed_through()
        if through is not None:
            closed = records_pb2.ViewsClosed(through_offset=through)
            await self.try_write(records_pb2.Record(views_closed=closed))

    async def write_snapshot(self) -> bool:
        """Writes a snapshot of the state to the log.

        :returns: whether all chunks were accepted.
        """
        done = True
        for chunk in snapshots.chunks(self.state, self.member):
            done = await self.try_write(chunk) and done
        return done

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Notifies writers and starts takeovers."""
        self.journal.note_applied(applied)
        self._start_takeovers()
        self._fleet.notify_state(self)

    def on_loaded(self) -> None:
        """Notifies writers and starts takeovers."""
        self.journal.note_position(self.state)
        self._start_takeovers()
        self._fleet.notify_state(self)

    def on_confirmed(self, asked_at: float) -> None:
        """Renews the ownership proof that depends on the log."""
        self.ownership.note_log_confirmed(asked_at)

    def on_invalid(self, exc: exceptions.InvalidRecord) -> None:
        """Counts an entry that cannot be decoded."""
        self.invalid += 1

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fleet.errors.append(task.exception())

    def _joined(self) -> records_pb2.Record:
        joined = records_pb2.MemberJoined(
            instance_id=self.member.instance,
            incarnation=self.member.incarnation,
            zone_id=self._fleet.zone_of(self.member.instance),
        )
        return records_pb2.Record(member_joined=joined)

    def _start_takeovers(self) -> None:
        for holding in self.state.racks.owned_by(self.member):
            if self._takeovers.get(holding.rack_id) != holding.epoch:
                self._takeovers[holding.rack_id] = holding.epoch
                self.spawn(self._take_over(holding))

    async def _take_over(self, holding: racks.RackHolding) -> None:
        rack_id, epoch = holding.rack_id, holding.epoch
        if not holding.handed_over:
            await self.ownership.wait_for_earlier_owners(holding.claim_offset)
            times = self._fleet.times
            await self.clock.sleep(times.task_lease_s + times.margin_s)
        if self.ownership.owns(rack_id, epoch):
            self.ownership.serve(rack_id, epoch)

    async def _send_heartbeats(self) -> None:
        while True:
            self.ownership.forget_departed()
            for member in self._fleet.unlisted:
                self.ownership.note_departed(member)
            for instance_id in list(self.state.members.members):
                if instance_id != self.member.instance:
                    self.spawn(self._send_heartbeat(instance_id))
            await self.clock.sleep(_HEARTBEAT_S)

    async def _send_heartbeat(self, instance_id: ids.InstanceId) -> None:
        asked_at = self.clock.monotonic()
        reply = await self._fleet.exchange_heartbeat(
            self.member.instance, instance_id
        )
        await self.clock.wait_resumed()
        if reply is not None:
            self.ownership.note_answer(
                reply.member, asked_at, reply.view_offset
            )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """Reply of a member to a heartbeat."""

    member: ids.Member
    view_offset: ids.Offset


class CoreFleet:
    """Members, their log and the network between them.

    :ivar cuts: directed pairs of instances between which messages are lost.
    :ivar unlisted: members that the platform's list no longer contains.
    :ivar errors: exceptions that ended tasks of members.
    :ivar reply_delay_s: delay of each heartbeat reply.
    :ivar state_listeners: called with a process after its state changed.
    """

    def __init__(
        self,
        *,
        size: int,
        seed: int = 1,
        times: FleetTimes | None = None,
        retention_entries: int = 1_000_000,
        latency_s: float = 0.0,
    ):
        self.seed = seed
        self.times = times or FleetTimes()
        self.clock = fake_clock.FakeClock(settle_turns=_SETTLE_TURNS)
        self.log = log_lib.LogStandin(
            clock=self.clock,
            rng=random.Random(seed),
            retention_entries=retention_entries,
            latency_s=latency_s,
        )
        self.cuts: set[tuple[str, str]] = set()
        self.unlisted: set[ids.Member] = set()
        self.errors: list[BaseException] = []
        self.reply_delay_s = 0.0
        self.state_listeners: list[t.Callable[[CoreMember], None]] = []
        self.processes: dict[ids.InstanceId, CoreMember] = {}
        self._loop = asyncio.new_event_loop()
        self._ended: list[CoreMember] = []
        self.instance_ids = [ids.InstanceId(f'i{n + 1}') for n in range(size)]

    def zone_of(self, instance_id: ids.InstanceId) -> ids.ZoneId:
        """Returns the availability zone of an instance."""
        number = self.instance_ids.index(instance_id)
        return ids.ZoneId(f'z{number % _ZONES + 1}')

    def run_coroutine(self, work: t.Awaitable) -> t.Any:
        """Runs a coroutine that does not wait for the clock."""
        return self._loop.run_until_complete(work)

    def run_for(self, seconds: float) -> None:
        """Advances the clock."""
        self.run_coroutine(self.clock.run_for(seconds))

    def start(self, instance_id: ids.InstanceId) -> CoreMember:
        """Starts a process on an instance, which then joins the fleet."""
        before = self.processes.get(instance_id)
        incarnation = before.member.incarnation + 1 if before else 1
        member = ids.Member(instance_id, ids.Incarnation(incarnation))
        self.run_coroutine(self._start(member))
        return self.processes[instance_id]

    def start_all(self) -> None:
        """Starts a process on each instance; all join one after another."""
        for instance_id in self.instance_ids:
            self.start(instance_id)
            self.run_for(1)

    def kill(self, instance_id: ids.InstanceId) -> None:
        """Stops the process of an instance at once."""
        process = self.processes[instance_id]
        process.kill()
        self.run_coroutine(self.clock.settle())

    def live_processes(self) -> tuple[CoreMember, ...]:
        """Returns the processes that run or are paused."""
        return tuple(p for p in self.processes.values() if p.alive)

    def spawn(self, process: CoreMember, work: t.Coroutine) -> asyncio.Task:
        """Runs a coroutine as a task of a process."""

        async def begin():
            return process.spawn(work)

        return self.run_coroutine(begin())

    def cut(self, first: str, second: str, both: bool = True) -> None:
        """Drops messages from one instance to the other."""
        self.cuts.add((first, second))
        if both:
            self.cuts.add((second, first))

    def heal(self) -> None:
        """Restores the network and all connections to the log."""
        self.cuts.clear()
        for process in self.live_processes():
            process.log_connection.cut = False

    def drop_from_list(self, member: ids.Member) -> None:
        """Removes the instance of a dead process from the platform's list."""
        self.unlisted.add(member)

    def admitting(self, rack_id: ids.RackId) -> list[ids.Member]:
        """Returns the members that would start work on a rack now."""
        return [
            p.member
            for p in self.live_processes()
            if not p.clock.paused and p.ownership.admits(rack_id)
        ]

    def views(self, instance_id: ids.InstanceId) -> list[membership.View]:
        """Returns the views kept by the process of an instance."""
        return self.processes[instance_id].state.members.views

    def notify_state(self, process: CoreMember) -> None:
        """Notifies listeners that the state of a process has changed."""
        for listener in self.state_listeners:
            listener(process)

    async def exchange_heartbeat(
        self, sender: str, instance_id: str
    ) -> HeartbeatReply | None:
        """Sends a heartbeat and returns its reply, None if either is lost."""
        target = self.processes.get(ids.InstanceId(instance_id))
        if (sender, instance_id) in self.cuts or target is None:
            return None
        await target.clock.wait_resumed()
        if not target.alive:
            return None
        reply = HeartbeatReply(
            member=target.member, view_offset=target.state.view_offset
        )
        if self.reply_delay_s:
            await self.clock.sleep(self.reply_delay_s)
        lost = (instance_id, sender) in self.cuts
        return None if lost else reply

    def close(self) -> None:
        """Stops all processes and closes the event loop."""
        for process in self.live_processes():
            process.kill()
        self.run_coroutine(self.clock.settle())
        self.run_coroutine(_cancel_all())
        self._loop.close()

    async def _start(self, member: ids.Member) -> None:
        process = CoreMember(fleet=self, member=member)
        self.processes[member.instance] = process
        process.start()
        process.spawn(process.join())
        await self.clock.settle()


async def _cancel_all() -> None:
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
