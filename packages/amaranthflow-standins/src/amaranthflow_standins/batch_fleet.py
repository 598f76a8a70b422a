"""Batch jobs on the members of a core fleet, with workers under leases.

This is a simplified version of the daemon's handling of batch jobs, sufficient
to cause the failures that the replicated core has to tolerate.
"""

import dataclasses

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow_schema.v1 import records_pb2

from . import clock as fake_clock
from . import core_fleet

START_VALID_S = 1.0
_POLL_S = 0.5
_OUTCOME = records_pb2.Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One run of an attempt on a worker. Times are monotonic seconds."""

    key: jobs.JobKey
    attempt: int
    worker_id: ids.WorkerId
    checkpoint: str
    started_at: float
    lease_until: float
    ended_at: float | None = None
    completed: bool = False

    def end_by(self, now: float) -> float:
        """Returns the time at which the run ended or its lease ends."""
        return self.lease_until if self.ended_at is None else self.ended_at

    def is_active_at(self, now: float) -> bool:
        """Returns whether the run is active."""
        return self.ended_at is None and now < self.lease_until


class BatchWorker:
    """Runs attempts until they complete, are stopped or their lease lapses.

    :ivar reachable: False while all calls are lost.
    :ivar start_delay_s: delay of each start command.
    """

    def __init__(self, *, worker_id: ids.WorkerId, rack_id: ids.RackId):
        self.worker_id = worker_id
        self.rack_id = rack_id
        self.reachable = True
        self.start_delay_s = 0.0
        self.runs: list[Run] = []

    def find(self, key: jobs.JobKey, attempt: int) -> Run | None:
        """Returns the newest run of an attempt, or None."""
        for run in reversed(self.runs):
            if (run.key, run.attempt) == (key, attempt):
                return run
        return None

    def running(self, now: float) -> list[Run]:
        """Returns the active runs."""
        return [run for run in self.runs if run.is_active_at(now)]


class BatchFleet:
    """Workers of a core fleet, and the handling of batch jobs by members."""

    def __init__(self, *, fleet: core_fleet.CoreFleet):
        self.fleet = fleet
        self.workers: dict[ids.WorkerId, BatchWorker] = {}
        self._starting: set[tuple[ids.Member, jobs.JobKey, int]] = set()
        self._renewed: dict[tuple[ids.Member, jobs.JobKey, int], float] = {}

    @property
    def clock(self) -> fake_clock.FakeClock:
        """The fleet's clock."""
        return self.fleet.clock

    def add_worker(self, worker_id: str, rack_id: str) -> BatchWorker:
        """Adds a worker to a rack."""
        worker = BatchWorker(
            worker_id=ids.WorkerId(worker_id), rack_id=ids.RackId(rack_id)
        )
        self.workers[worker.worker_id] = worker
        return worker

    def runs(self) -> list[Run]:
        """Returns all runs on all workers."""
        return [run for w in self.workers.values() for run in w.runs]

    async def start_next(
        self, process: core_fleet.CoreMember, worker: BatchWorker
    ) -> None:
        """Starts the newest waiting job on a worker."""
        waiting = process.state.jobs.waiting
        entry = next(reversed(waiting.values()), None)
        if entry is None or not process.ownership.admits(worker.rack_id):
            return
        key, attempt = entry.key, entry.attempt + 1
        started = records_pb2.AttemptStarted(
            job_id=str(key),
            attempt=attempt,
            worker_id=worker.worker_id,
            rack_id=worker.rack_id,
            rack_epoch=process.state.racks.epoch(worker.rack_id),
        )
        attempt_key = (process.member, key, attempt)
        self._starting.add(attempt_key)
        try:
            record = records_pb2.Record(attempt_started=started)
            if await process.try_write(record):
                await self._start(process, worker, key, attempt)
        finally:
            self._starting.discard(attempt_key)

    async def poll(self, process: core_fleet.CoreMember) -> None:
        """Monitors the running jobs on the racks of a process forever."""
        while True:
            for entry in list(process.state.jobs.running.values()):
                await self._monitor(process, entry)
            await process.clock.sleep(_POLL_S)

    async def evict(
        self, process: core_fleet.CoreMember, run: Run, checkpoint: str
    ) -> None:
        """Stops a run after a checkpoint and records the eviction."""
        worker = self.workers[run.worker_id]
        if not worker.reachable or not process.ownership.admits(
            worker.rack_id
        ):
            return
        run.ended_at = run.ended_at or min(
            self.clock.monotonic(), run.lease_until
        )
        await self._record_end(
            process, run.key, run.attempt, _OUTCOME.OUTCOME_EVICTED, checkpoint
        )

    async def _start(self, process, worker, key, attempt: int) -> None:
        if not process.ownership.admits(worker.rack_id):
            await self._record_end(
                process, key, attempt, _OUTCOME.OUTCOME_NOT_RUN
            )
            return
        entry = process.state.jobs.running.get(key)
        if entry is None or entry.attempt != attempt:
            return
        sent_at = self.clock.monotonic()
        checkpoint = entry.checkpoint
        self._renewed[process.member, key, attempt] = sent_at + START_VALID_S
        await self.clock.sleep(worker.start_delay_s)
        now = self.clock.monotonic()
        if worker.reachable and now <= sent_at + START_VALID_S:
            self._record_start(worker, key, attempt, checkpoint)
        await process.clock.sleep(sent_at + START_VALID_S - now)

    def _record_start(
        self, worker, key, attempt: int, checkpoint: str
    ) -> None:
        now = self.clock.monotonic()
        worker.runs.append(
            Run(
                key=key,
                attempt=attempt,
                worker_id=worker.worker_id,
                checkpoint=checkpoint,
                started_at=now,
                lease_until=now + self.fleet.times.task_lease_s,
            )
        )

    async def _monitor(self, process, entry: jobs.JobEntry) -> None:
        attempt_key = (process.member, entry.key, entry.attempt)
        holding = process.state.racks.holdings.get(entry.rack_id)
        if holding is None or attempt_key in self._starting:
            return
        if not process.ownership.owns(entry.rack_id, holding.epoch):
            return
        if not self.workers[entry.worker_id].reachable:
            await self._check_unreachable(process, entry, attempt_key)
            return
        await self._reconcile(process, entry, attempt_key)

    async def _reconcile(
        self, process, entry: jobs.JobEntry, attempt_key
    ) -> None:
        now = self.clock.monotonic()
        run = self.workers[entry.worker_id].find(entry.key, entry.attempt)
        if run is not None and run.completed:
            await self._record_end(
                process,
                entry.key,
                entry.attempt,
                _OUTCOME.OUTCOME_COMPLETED,
            )
        elif run is not None and run.is_active_at(now):
            if process.ownership.has_valid_proof():
                self._renewed[attempt_key] = now
                run.lease_until = now + self.fleet.times.task_lease_s
        elif entry.rack_id in process.ownership.serving():
            await self._record_end(
                process, entry.key, entry.attempt, _OUTCOME.OUTCOME_LOST
            )

    async def _check_unreachable(
        self, process, entry: jobs.JobEntry, attempt_key
    ) -> None:
        if entry.rack_id not in process.ownership.serving():
            return
        now = self.clock.monotonic()
        times = self.fleet.times
        since = self._renewed.setdefault(attempt_key, now)
        if now - since > times.task_lease_s + times.margin_s:
            await self._record_end(
                process, entry.key, entry.attempt, _OUTCOME.OUTCOME_LOST
            )

    async def _record_end(
        self, process, key, attempt: int, outcome: int, checkpoint: str = ''
    ) -> None:
        entry = process.state.jobs.running.get(key)
        if entry is None:
            return
        ended = records_pb2.AttemptEnded(
            job_id=str(key),
            attempt=attempt,
            outcome=outcome,
            checkpoint=checkpoint,
            rack_epoch=process.state.racks.epoch(entry.rack_id),
        )
        try:
            await process.write(records_pb2.Record(attempt_ended=ended))
        except exceptions.AmaranthflowError:
            return
