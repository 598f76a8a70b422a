"""Model-based test of the replicated core under random failures.

A hypothesis state machine drives a core fleet with batch jobs. It checks
invariants after each step, and at short intervals while time passes.
"""

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow import state as state_lib
from amaranthflow import verdict
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

from . import batch_fleet
from . import core_fleet

_INSTANCES = 5
_RACKS = (ids.RackId('r1'), ids.RackId('r2'))
_CHECK_PERIOD_S = 0.1
_RETENTION_ENTRIES = 30
_SNAPSHOT_ENTRIES = 10
_OWNERS = [_INSTANCES + n for n in range(len(_RACKS))]
# Numbers of instances, followed by one number for the owner of each rack.
# Owners are listed twice, so that they are chosen more often.
_MEMBERS = strategies.sampled_from([*range(_INSTANCES), *_OWNERS, *_OWNERS])
_RACK = strategies.sampled_from(_RACKS)
_PAUSES = strategies.sampled_from([0.05, 0.3, 1.0, 2.5, 7.0])
_KEYS = ('tenant/a', 'tenant/b')


@dataclasses.dataclass(slots=True, kw_only=True)
class _Write:
    """A claim of a request and the outcome that its writer received.

    :ivar outcome: whether the record was accepted, or the verdict of a
        failure; None while the write is in progress.
    """

    name: str
    outcome: verdict.Verdict | bool | None = None


class InvariantChecker:
    """Checks the invariants that must hold despite all failures.

    :ivar oracle: reference state, to which each log entry is applied once.
    :ivar claims: how often each claim of a request took effect.
    """

    def __init__(self, batch: batch_fleet.BatchFleet):
        self._batch = batch
        self._fleet = batch.fleet
        self._digests: dict[int, str] = {}
        self._versions: dict[tuple[ids.Member, str], int] = {}
        self._checkpoints: dict[jobs.JobKey, str] = {}
        self.oracle = state_lib.State()
        self.claims = collections.Counter()
        self._last_offset = 0
        self._fleet.state_listeners.append(self._check_digest)

    def check(self) -> None:
        """Checks all invariants.

        :raises AssertionError: an invariant is violated.
        """
        assert not self._fleet.errors, self._fleet.errors
        for rack_id in _RACKS:
            admitting = self._fleet.admitting(rack_id)
            assert len(admitting) <= 1, f'{admitting} admit on {rack_id}'
        self._check_runs()
        self._check_configuration()

    def note_checkpoint(self, run: batch_fleet.Run, checkpoint: str) -> None:
        """Records the checkpoint of a run, from which one run may resume."""
        self._checkpoints[run.key] = checkpoint

    def read_log(self) -> None:
        """Applies new log entries to the reference state."""
        for entry in self._fleet.log.entries:
            if entry.offset <= self._last_offset:
                continue
            assert self._last_offset in (0, entry.offset - 1), (
                'entries expired before they were read'
            )
            self._last_offset = entry.offset
            applied = self.oracle.apply(entry.offset, entry.data)
            self._count_claims(applied)

    def check_writes(self, writes: list[_Write]) -> None:
        """Checks that the outcomes of writes agree with the log."""
        for write in writes:
            count = self.claims[write.name]
            assert count <= 1, f'{write.name} took effect {count} times'
            if write.outcome is verdict.Verdict.NOT_RUN:
                assert count == 0, f'{write.name} was reported as not run'
            elif write.outcome is True:
                assert count == 1, f'{write.name} was reported as accepted'

    def _count_claims(self, applied: state_lib.Applied) -> None:
        for record, result in zip(
            applied.batch.records, applied.results, strict=False
        ):
            if record.WhichOneof('kind') == 'request_claimed':
                name = record.request_claimed.request_id
                self.claims[name] += int(result.accepted)

    def _check_digest(self, process: core_fleet.CoreMember) -> None:
        offset = process.state.next_offset
        digest = process.state.digest()
        known = self._digests.setdefault(offset, digest)
        assert known == digest, f'states differ at offset {offset}'

    def _check_runs(self) -> None:
        by_job = collections.defaultdict(list)
        for run in self._batch.runs():
            by_job[run.key].append(run)
        now = self._fleet.clock.monotonic()
        for key, runs in by_job.items():
            attempts = [run.attempt for run in runs]
            assert len(set(attempts)) == len(attempts), f'{key}: {attempts}'
            runs.sort(key=lambda run: run.started_at)
            for run, following in zip(runs, runs[1:], strict=False):
                assert run.end_by(now) <= following.started_at, (
                    f'{key} has simultaneous runs: {run} {following}'
                )
            if _is_non_idempotent(key):
                starts = [run.checkpoint for run in runs]
                assert len(set(starts)) == len(starts), f'{key}: {starts}'

    def _check_configuration(self) -> None:
        for process in self._fleet.live_processes():
            for key in _KEYS:
                self._check_version(process, key)

    def _check_version(self, process: core_fleet.CoreMember, key: str) -> None:
        now_ms = process.state.now_ms(process.clock.wall_ms())
        found = process.state.config.in_force(key, now_ms)
        version = found.version if found else 0
        seen = self._versions.get((process.member, key), 0)
        assert version >= seen, f'{key} went from {seen} to {version}'
        self._versions[process.member, key] = version


def _is_non_idempotent(key: jobs.JobKey) -> bool:
    return key.job_id.startswith('once')


class RecoveryMachine(stateful.RuleBasedStateMachine):
    """Injects random failures into a fleet of five instances."""

    def __init__(self):
        super().__init__()
        self.fleet = core_fleet.CoreFleet(
            size=_INSTANCES, retention_entries=_RETENTION_ENTRIES
        )
        self.batch = batch_fleet.BatchFleet(fleet=self.fleet)
        for number, rack_id in enumerate(_RACKS):
            self.batch.add_worker(f'w{number}a', rack_id)
            self.batch.add_worker(f'w{number}b', rack_id)
        self.checker = InvariantChecker(self.batch)
        self.writes: list[_Write] = []
        self.count = 0
        self._snapshot_at = 0
        for number in range(_INSTANCES):
            self._start(number)
            self._run_for(0.5)
        for number, rack_id in enumerate(_RACKS):
            self.claim(number, rack_id)
        for once in (True, True, False, False):
            self.submit(0, once)
        for rack_id in _RACKS:
            self.start_job(rack_id, 0)

    @stateful.rule(seconds=_PAUSES)
    def wait(self, seconds):
        """Advances the clock."""
        self._run_for(seconds)

    @stateful.rule(number=_MEMBERS, rack_id=_RACK)
    def claim(self, number, rack_id):
        """A member claims a rack, even if another one owns it."""
        self._do(number, lambda p: p.claim(rack_id))

    @stateful.rule(rack_id=_RACK)
    def release(self, rack_id):
        """The owner of a rack releases it."""
        self._do_as_owner(rack_id, lambda p: p.release(rack_id))

    @stateful.rule(
        kind=strategies.sampled_from(
            [
                'cut',
                'cut one way',
                'cut log',
                'cut log',
                'pause',
                'kill',
                'remove',
            ]
        ),
        number=_MEMBERS,
        other=_MEMBERS,
    )
    def disrupt_member(self, kind, number, other):
        """A member is disconnected, paused, killed or wrongly removed."""
        name, peer = self._name(number), self._name(other)
        process = self._process(number)
        if kind == 'cut':
            self.fleet.cut(name, peer)
        elif kind == 'cut one way':
            self.fleet.cut(name, peer, both=False)
        elif kind == 'cut log':
            process.log_connection.cut = True
        elif kind == 'pause':
            process.clock.pause()
        elif kind == 'kill' and process.alive:
            self.fleet.kill(name)
        elif kind == 'remove':
            self._remove(number, self._process(other).member)

    @stateful.rule(
        kind=strategies.sampled_from(
            ['down', 'slow', 'lose replies', 'lose requests', 'slow answers']
        ),
        seconds=strategies.sampled_from([0.2, 0.3, 1.5, 1.9, 4.0]),
    )
    def disrupt_platform(self, kind, seconds):
        """Activates one fault of the log or the network."""
        if kind == 'down':
            self.fleet.log.set_faults(down=True)
        elif kind == 'slow':
            self.fleet.log.set_faults(slow_s=seconds)
        elif kind == 'lose replies':
            self.fleet.log.set_faults(lose_replies=2)
        elif kind == 'lose requests':
            self.fleet.log.set_faults(lose_requests=2)
        else:
            self.fleet.reply_delay_s = seconds

    @stateful.rule(number=_MEMBERS)
    def isolate_from_log(self, number):
        """Disconnects all members but one from the log."""
        reachable = self._process(number)
        for process in self.fleet.live_processes():
            process.log_connection.cut = process is not reachable

    @stateful.rule(number=_MEMBERS, rack_id=_RACK)
    def contend(self, number, rack_id):
        """A member claims a rack, with enough time to take it over."""
        self.claim(number, rack_id)
        self._run_for(7)

    @stateful.rule()
    def heal_network(self):
        """Ends all faults of the network."""
        self.fleet.heal()
        self.fleet.reply_delay_s = 0.0

    @stateful.rule()
    def recover_log(self):
        """Ends all faults of the log."""
        self.fleet.log.set_faults(
            down=False, lose_replies=0, lose_requests=0, slow_s=0.0
        )

    @stateful.rule(number=_MEMBERS)
    def restart(self, number):
        """Restarts the process of an instance, after a kill if it runs."""
        if self._process(number).alive:
            self.fleet.kill(self._name(number))
        self._start(number)

    @stateful.rule()
    def allow_recovery(self):
        """Ends all faults for a while."""
        self._end_faults()
        self._run_for(8)

    @stateful.rule(
        kind=strategies.sampled_from(
            ['close views', 'resume', 'list', 'adopt', 'skew', 'cut worker']
        ),
        number=_MEMBERS,
        other=_MEMBERS,
    )
    def do_routine_event(self, kind, number, other):
        """A minor event, as in normal operation."""
        process = self._process(number)
        if kind == 'close views':
            self._do(number, lambda p: p.close_views())
        elif kind == 'resume':
            process.clock.resume()
        elif kind == 'list' and not process.alive:
            self.fleet.drop_from_list(process.member)
        elif kind == 'adopt' and process.alive and not process.clock.paused:
            process.follower.adopt(self._process(other).state.snapshot())
        elif kind == 'skew':
            process.clock.skew_ms = 1000 * (other - 3)
        elif kind == 'cut worker':
            worker = list(self.batch.workers.values())[other % 4]
            worker.reachable = not worker.reachable

    @stateful.rule(number=_MEMBERS, timeout_s=_PAUSES)
    def write(self, number, timeout_s):
        """A member writes a claim of a request."""
        self.count += 1
        write = _Write(name=f'q{self.count}')
        self.writes.append(write)
        self._do(number, lambda p: self._write(p, write, timeout_s))

    @stateful.rule(number=_MEMBERS, once=strategies.booleans())
    def submit(self, number, once):
        """A caller submits a batch job."""
        self.count += 1
        job = world_pb2.Job(
            job_id=f'{"once" if once else "any"}{self.count}',
            tenant_id='t',
            task_class='sort',
            idempotent=not once,
        )
        submitted = records_pb2.JobSubmitted(job=job)
        record = records_pb2.Record(job_submitted=submitted)
        self._do(number, lambda p: p.try_write(record))

    @stateful.rule(
        rack_id=_RACK, delay_s=strategies.sampled_from([0, 0, 0.7, 2])
    )
    def start_job(self, rack_id, delay_s):
        """An owner starts a waiting job on one of its workers."""
        self.count += 1
        suffix = 'ab'[self.count % 2]
        name = ids.WorkerId(f'w{_RACKS.index(rack_id)}{suffix}')
        worker = self.batch.workers[name]
        worker.start_delay_s = delay_s
        self._do_as_owner(rack_id, lambda p: self.batch.start_next(p, worker))

    @stateful.rule()
    def complete(self):
        """The oldest active run completes."""
        for run in self._running()[:1]:
            run.completed = True
            run.ended_at = self.fleet.clock.monotonic()

    @stateful.rule()
    def evict(self):
        """The oldest active run is evicted."""
        for run in self._running()[:1]:
            self._evict(run)

    @stateful.rule(
        number=_MEMBERS,
        key=strategies.sampled_from(_KEYS),
        lead_s=strategies.sampled_from([0, 0, 9, 11, 14]),
        withdraw=strategies.booleans(),
    )
    def change(self, number, key, lead_s, withdraw):
        """An operator sends an immediate, booked or withdrawn change."""
        self.count += 1
        process = self._process(number)
        timelines = {t.key: t for t in process.state.config.timelines()}
        known = timelines.get(key)
        change = world_pb2.Change(
            change_id=f'c{self.count}',
            key=key,
            expected_version=known.version if known else 0,
        )
        if withdraw:
            change.withdraw = True
        else:
            change.tenant.tenant_id = key.partition('/')[2]
            change.tenant.weight = self.count
            now_ms = process.clock.wall_ms()
            change.effective_at_ms = now_ms + lead_s * 1000 if lead_s else 0
        record = records_pb2.Record(change=change)
        self._do(number, lambda p: p.try_write(record))

    @stateful.invariant()
    def invariants_hold(self):
        """Checks all invariants."""
        self.checker.read_log()
        self.checker.check()

    def teardown(self):
        """Ends all faults, and checks that the fleet agrees with the log."""
        try:
            self._recover()
            self._check_agreement()
        finally:
            self.fleet.close()

    def _recover(self) -> None:
        self._end_faults()
        self._run_for(20)

    def _end_faults(self) -> None:
        self.heal_network()
        self.recover_log()
        for number, process in enumerate(list(self.fleet.processes.values())):
            process.clock.resume()
            if not process.alive:
                self._start(number)

    def _remove(self, number: int, member: ids.Member) -> None:
        left = records_pb2.MemberLeft(
            instance_id=member.instance, incarnation=member.incarnation
        )
        record = records_pb2.Record(member_left=left)
        self._do(number, lambda p: p.try_write(record))

    def _check_agreement(self) -> None:
        self.checker.read_log()
        self.checker.check_writes(self.writes)
        offsets = {p.state.next_offset for p in self.fleet.live_processes()}
        assert offsets == {self.checker.oracle.next_offset}, offsets
        for process in self.fleet.live_processes():
            assert process.follower.caught_up
            assert process.state.digest() == self.checker.oracle.digest()

    def _process(self, number: int) -> core_fleet.CoreMember:
        return self.fleet.processes[self._name(number)]

    def _name(self, number: int) -> ids.InstanceId:
        """Returns the instance with a number, or the owner of a rack."""
        if number < _INSTANCES:
            return self.fleet.instance_ids[number]
        holdings = self.checker.oracle.racks.holdings
        holding = holdings.get(_RACKS[number - _INSTANCES])
        if holding is None:
            return self.fleet.instance_ids[0]
        return holding.owner.instance

    def _start(self, number: int) -> None:
        process = self.fleet.start(self._name(number))
        self.fleet.spawn(process, self.batch.poll(process))

    def _do(self, number: int, work) -> None:
        """Starts a task of a process and advances the clock by a moment."""
        process = self._process(number)
        if process.alive and not process.clock.paused:
            self.fleet.spawn(process, work(process))
            self._run_for(0.05)

    def _evict(self, run: batch_fleet.Run) -> None:
        self.count += 1
        checkpoint = f'cp{self.count}'
        rack_id = self.batch.workers[run.worker_id].rack_id
        self._do_as_owner(
            rack_id, lambda p: self.batch.evict(p, run, checkpoint)
        )

    def _do_as_owner(self, rack_id: ids.RackId, work) -> None:
        holding = self.checker.oracle.racks.holdings.get(rack_id)
        if holding is not None:
            names = self.fleet.instance_ids
            self._do(names.index(holding.owner.instance), work)

    def _running(self) -> list[batch_fleet.Run]:
        now = self.fleet.clock.monotonic()
        return [run for run in self.batch.runs() if run.is_active_at(now)]

    def _run_for(self, seconds: float) -> None:
        steps = max(1, round(seconds / _CHECK_PERIOD_S))
        for _ in range(steps):
            self.fleet.run_for(seconds / steps)
            self.checker.read_log()
            self.checker.check()
        self._write_snapshot_if_due()

    def _write_snapshot_if_due(self) -> None:
        due = self._snapshot_at + _SNAPSHOT_ENTRIES
        if self.fleet.log.next_offset < due:
            return
        for process in self.fleet.live_processes():
            if process.follower.caught_up and not process.clock.paused:
                self._snapshot_at = self.fleet.log.next_offset
                self.fleet.spawn(process, process.write_snapshot())
                return

    async def _write(self, process, write: _Write, timeout_s: float) -> None:
        claimed = records_pb2.RequestClaimed(
            tenant_id='t', request_id=write.name
        )
        record = records_pb2.Record(request_claimed=claimed)
        try:
            result = await process.write(record, timeout_s)
        except exceptions.AmaranthflowError as exc:
            write.outcome = exc.verdict
        else:
            write.outcome = result.accepted
