"""Stand-ins of workers that run tasks under leases and fencing tokens.

A job's ``spec`` tells how long its tasks take, as text: ``ms=800``, or
``fail=20`` if they fail after that time; without it they last until they are
stopped.
"""

import asyncio
import dataclasses
import json
import time
import typing as t

from . import http
from . import store as store_lib

HEARTBEAT_S = 1.1
_MISSED_HEARTBEATS = 3
_HOLD_MAX_MS = 6_000
_STOP_S = 0.02
_GANG_S = 3.0
_SAVE_S = 0.5
_POLL_S = 0.02
_MAX_ENDS = 500


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task. Times are in seconds of the test.

    :ivar born: incarnation of the worker.
    :ivar work_s: when a member of a gang began to work, else the start.
    :ivar how: how it ended; ``lost`` with its worker.
    :ivar observed_s: when the end was acknowledged.
    """

    task: str
    run: int
    worker: str
    born: int
    token: int
    labels: tuple[str, ...]
    start_s: float
    work_s: float | None
    seconds: float
    fails: bool
    end_s: float | None = None
    how: str = ''
    observed_s: float | None = None

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.task.partition('.')[0]


@dataclasses.dataclass(slots=True, kw_only=True)
class Step:
    """What a worker has to know of a step."""

    count: int
    cpu: int
    gang: bool
    checkpoint: bool


class Fleet:
    """All workers, the jobs that they know and the history of runs."""

    def __init__(self, *, store: store_lib.Store):
        self.store = store
        self.started_s = time.monotonic()
        self.runs: list[Run] = []
        self.steps: dict[tuple[str, int], Step] = {}
        self.workers: list[Worker] = []
        self.refusals: list[tuple[float, str, str, str]] = []

    def now_s(self) -> float:
        """Seconds since the start of the test."""
        return time.monotonic() - self.started_s

    def add_job(self, job_id: str, steps: list[dict]) -> None:
        """Notes the steps of a job that is handed in."""
        for number, step in enumerate(steps):
            self.steps[job_id, number] = Step(
                count=step['count'],
                cpu=step.get('cpu', 0),
                gang=bool(step.get('gang')),
                checkpoint=bool(step.get('checkpoint')),
            )

    def step(self, task: str) -> Step:
        """Returns the step of a task."""
        job_id, _, number, _ = task.split('.')
        return self.steps.get((job_id, int(number))) or Step(
            count=1, cpu=0, gang=False, checkpoint=False
        )

    def members(self, run: Run) -> list[tuple['Worker', Run]]:
        """Returns the active runs of a gang."""
        prefix = run.task.rpartition('.')[0]
        return [
            (worker, other)
            for worker in self.workers
            for other in worker.running.values()
            if other.run == run.run and other.task.rpartition('.')[0] == prefix
        ]


class Worker:
    """One worker.

    :ivar paths: its listening servers by the name of the instance that uses
        them; one for all under the empty name.
    :ivar up: the process runs.
    :ivar frozen: it accepts connections and answers nothing.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        worker_id: str,
        host: str,
        service: str,
        kind: str = 'a',
        zone: str = 'z1',
        rack: str = 'r1',
        cpu: int = 8_000,
        instances: t.Sequence[str] = ('',),
    ):
        self.id = worker_id
        self.kind = kind
        self.zone = zone
        self.up = False
        self.frozen = False
        self.reaches_store = True
        self.cpu = cpu
        self.service = service
        self.rack = rack
        self.running: dict[str, Run] = {}
        self.paths = {
            name: http.Server(host=host, handler=self._handle)
            for name in instances
        }
        self._fleet = fleet
        self._tasks: list[asyncio.Task] = []
        self._changed = asyncio.Event()
        self._missed = 0
        self._reset()
        fleet.workers.append(self)

    def _reset(self) -> None:
        self.born = int(time.time() * 1000)
        self._clock_from_s = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._seq = 0
        self._ends: list[tuple[int, Run]] = []
        self._last_end = 0
        self._blocked: dict[str, int] = {}
        self.running = {}

    def clock_ms(self) -> int:
        """Returns the worker's own clock."""
        return int((time.monotonic() - self._clock_from_s) * 1000)

    # life

    async def start(self) -> None:
        """Starts the process and registers it."""
        self._reset()
        self.up = True
        for server in self.paths.values():
            await server.open()
        loop = asyncio.get_running_loop()
        if not self._tasks:
            self._tasks.append(loop.create_task(self._send_heartbeats()))
        else:
            self._register()
        self._tasks.append(loop.create_task(self._watch(self.born)))

    def crash(self) -> None:
        """Ends the process at once."""
        self.up = False
        for server in self.paths.values():
            server.close()
        self._lose_runs()

    def freeze(self) -> None:
        """Loses the machine: nothing runs, and nobody answers."""
        self.up = False
        self.frozen = True
        self._lose_runs()

    def _lose_runs(self) -> None:
        for run in self.running.values():
            run.end_s, run.how = self._fleet.now_s(), 'lost'
        self.running = {}

    def stop(self) -> None:
        """Ends the stand-in."""
        for task in self._tasks:
            task.cancel()
        for server in self.paths.values():
            server.close()

    def record(self) -> bytes:
        """Returns the entry in the store."""
        return json.dumps(
            {
                'service': self.service,
                'address': next(iter(self.paths.values())).address,
                'zone': self.zone,
                'version': '1',
                'slots': 8,
                'state': 'ready',
                'cold_ms': 0,
                'seq': self._seq,
                'born': self.born,
                'capacity': {
                    'cpu': self.cpu,
                    'mem_mb': 64_000,
                    'gpu': 0,
                },
                'labels': [self.kind, self.rack],
            }
        ).encode()

    def _register(self) -> None:
        self._seq += 1
        self._missed = 0
        self._fleet.store.put(store_lib.SERVERS, self.id, self.record())

    async def _send_heartbeats(self) -> None:
        while True:
            if self.up and self.reaches_store:
                self._register()
            else:
                self._missed += 1
                if self._missed == _MISSED_HEARTBEATS:
                    self._fleet.store.put(store_lib.SERVERS, self.id, b'')
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch(self, born: int) -> None:
        """Ends runs that are done and those whose lease has expired."""
        while self.born == born:
            await asyncio.sleep(_POLL_S)
            if not self.up or self.born != born:
                return
            now_s = self._fleet.now_s()
            if self.running and self.clock_ms() > self._deadline_ms:
                for run in list(self.running.values()):
                    self._end(run, 'lapsed')
            for run in list(self.running.values()):
                if run.task in self.running:
                    self._advance(run, now_s)

    def _advance(self, run: Run, now_s: float) -> None:
        step = self._fleet.step(run.task)
        if step.gang and run.work_s is None:
            members = self._fleet.members(run)
            if len(members) == step.count:
                for _, member in members:
                    member.work_s = now_s
            elif now_s - run.start_s > _GANG_S:
                self._end(run, 'alone')
                return
        if run.work_s is None or now_s - run.work_s < run.seconds:
            return
        if not step.gang:
            self._end(run, 'failed' if run.fails else 'done')
            return
        for worker, member in self._fleet.members(run):
            worker._end(member, 'done')

    def _end(self, run: Run, how: str) -> None:
        """Ends a run; other members of a gang break."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.end_s, run.how = self._fleet.now_s(), how
        self._blocked[run.task] = max(self._blocked.get(run.task, 0), run.run)
        self._last_end += 1
        self._ends.append((self._last_end, run))
        self._changed.set()
        self._changed = asyncio.Event()
        if self._fleet.step(run.task).gang and how != 'done':
            for worker, member in self._fleet.members(run):
                worker._end(member, 'broken')

    # calls

    async def _handle(self, req: http.Request) -> http.Response:
        if not self.up:
            raise http.NoAnswer
        if req.headers.get('x-target-instance') != self.id:
            return http.json_response(421, clock_ms=self.clock_ms())
        fields = json.loads(req.body)
        call = req.path.rpartition('/')[2]
        born = self.born
        if fields['fencing_token'] < self._token:
            self._fleet.refusals.append(
                (self._fleet.now_s(), self.id, call, 'fence')
            )
            return self._refused('fence')
        self._token = fields['fencing_token']
        if call == 'run-start':
            return self._run_start(fields)
        if call == 'run-stop':
            await self._run_stop(fields)
            return http.json_response(200, clock_ms=self.clock_ms())
        if call == 'hold':
            return await self._hold(fields, born)
        return http.json_response(200, clock_ms=self.clock_ms())

    def _refused(self, reason: str) -> http.Response:
        return http.json_response(409, clock_ms=self.clock_ms(), reason=reason)

    def _extend(self, deadline_ms: int) -> None:
        latest = self.clock_ms() + _HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _run_start(self, fields: dict) -> http.Response:
        task, number = fields['task'], fields['run']
        if fields['deadline_ms'] < self.clock_ms():
            return self._refused('late')
        self._extend(fields['deadline_ms'])
        active = self.running.get(task)
        if active is not None and active.run == number:
            return http.json_response(200, clock_ms=self.clock_ms())
        if active is not None or number <= self._blocked.get(task, 0):
            return self._refused('old')
        step = self._fleet.step(task)
        used = sum(self._fleet.step(name).cpu for name in self.running)
        if used + step.cpu > self.cpu:
            return self._refused('room')
        now_s = self._fleet.now_s()
        run = Run(
            task=task,
            run=number,
            worker=self.id,
            born=self.born,
            token=fields['fencing_token'],
            labels=(self.kind, self.rack),
            start_s=now_s,
            work_s=None if step.gang else now_s,
            seconds=_seconds(fields['spec']),
            fails=fields['spec'].startswith('fail='),
        )
        self.running[task] = run
        self._fleet.runs.append(run)
        return http.json_response(200, clock_ms=self.clock_ms())

    async def _run_stop(self, fields: dict) -> None:
        task, number = fields['task'], fields['run']
        self._blocked[task] = max(self._blocked.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(_STOP_S, self._end, run, 'stopped')

    async def _hold(self, fields: dict, born: int) -> http.Response:
        if 'deadline_ms' in fields:
            self._extend(fields['deadline_ms'])
        self._acknowledge(fields['observed'])
        wait_s = fields.get('wait_ms', 0) / 1000
        if wait_s and not self._ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass  # no run has ended
        if not self.up or self.born != born:
            raise http.NoAnswer
        now_s = self._fleet.now_s()
        return http.json_response(
            200,
            clock_ms=self.clock_ms(),
            born=self.born,
            running=[
                [
                    run.task,
                    run.run,
                    self._saved(run, now_s),
                    _percent(run, now_s),
                    0,
                ]
                for run in self.running.values()
            ],
            finished=[
                [
                    number,
                    run.task,
                    run.run,
                    run.how,
                    self._saved(run, run.end_s or now_s),
                ]
                for number, run in self._ends[:_MAX_ENDS]
            ],
        )

    def _saved(self, run: Run, now_s: float) -> str:
        """Returns the newest checkpoint; runs do not resume from it here."""
        if not self._fleet.step(run.task).checkpoint or run.work_s is None:
            return ''
        saves = int((now_s - run.work_s) / _SAVE_S)
        return f'{saves:08x}{run.run:08x}' if saves else ''

    def _acknowledge(self, observed: int) -> None:
        for number, run in self._ends:
            if number <= observed:
                run.observed_s = self._fleet.now_s()
        self._ends = [row for row in self._ends if row[0] > observed]


def _seconds(spec: str) -> float:
    name, _, value = spec.partition('=')
    return int(value) / 1000 if name in ('ms', 'fail') else float('inf')


def _percent(run: Run, now_s: float) -> int:
    if run.work_s is None:
        return 0
    if run.seconds == float('inf'):
        return 100
    return min(99, int(100 * (now_s - run.work_s) / run.seconds))
