"""Stand-ins of the platform for the scripts of the third review.

A store, workers, instances as processes and a caller, all on loopback
addresses. They use the standard library only and behave as the users' pages
say; a case sets a fault explicitly.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PREFIX = '/amaranthflow/'
HOST = 'jobs.example'
HOLD_MAX_MS = 6_000
STOP_S = 0.05
GRACE_S = 6.0
SAVE_S = 0.5
_HEARTBEAT_S = 1.1
_SILENCE_S = 60.0  # longer than any caller waits
_MAX_ENDS = 500
_PAGE_ITEMS = 500
_DISTURBED_RATIO = 2
_LENGTH = struct.Struct('>I')
_HEAD = struct.Struct('>QQ')
_PORTS = {'callers': 8161, 'ready': 8167, 'peers': 8166}


def now_s() -> float:
    """Returns the time of a clock that all parts of a test share."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('w')
        self.started_s = now_s()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start of the test."""
        line = f'{now_s() - self.started_s:8.3f} {text}'
        print(line, file=self._file, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Answer(t.NamedTuple):
    """Response to a request."""

    status: int
    body: bytes = b''


def as_json(status: int, **fields: t.Any) -> Answer:
    """Returns a response with a JSON body."""
    return Answer(status, json.dumps(fields).encode())


class Request(t.NamedTuple):
    """Request that a stand-in has read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = t.Callable[[Request], t.Awaitable[Answer | None]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


class Server:
    """HTTP/1.1 server; a call gets no answer if its handler returns None."""

    def __init__(self, handler: Handler, host: str, port: int = 0):
        self._handler = handler
        self._host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent = False
        self._silent_socks: list[socket.socket] = []
        # What came on open connections while it was silent.
        self.unread: list[tuple[float, bytes]] = []

    @property
    def address(self) -> str:
        """Address as entries and settings name it."""
        return f'{self._host}:{self.port}'

    async def open(self) -> None:
        """Listens; the first time on a free port, later on the same one."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port, limit=4_194_304
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for sock in self._silent_socks:
            sock.close()
        self._silent_socks.clear()
        self._silent = False

    def fall_silent(self) -> None:
        """Leaves all connections without an answer, and new ones pending.

        So does a machine without power: nobody accepts on the socket that
        replaces the listener, and its queue is full.
        """
        self._silent = True
        if self._server is not None:
            self._server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self.port))
        listener.listen(0)
        self._silent_socks.append(listener)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self._host, self.port))
            self._silent_socks.append(sock)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (found := await read_head(reader)) is not None:
                first, headers = found
                method, target, _ = first.split(' ', 2)
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length)
                path, _, text = target.partition('?')
                query = dict(urllib.parse.parse_qsl(text))
                if self._silent:
                    self.unread.append((now_s(), body))
                    await asyncio.sleep(_SILENCE_S)
                    return
                answer = await self._handler(
                    Request(method, path, query, headers, body)
                )
                if answer is None or self._silent:
                    await asyncio.sleep(_SILENCE_S)
                    return
                head = (
                    f'HTTP/1.1 {answer.status} X\r\n'
                    f'Content-Length: {len(answer.body)}\r\n'
                    'Content-Type: application/json\r\n\r\n'
                )
                writer.write(head.encode() + answer.body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The test is over; a task that ends as cancelled is reported.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class _Table:
    """A partition of a keyed topic."""

    def __init__(self):
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()
        self.epoch = 0
        self.sequence: int | None = None
        self.answers: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def append(self, key: bytes, value: bytes) -> int:
        """Adds a record; returns its offset."""
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's store with the calls that the scheduler uses."""

    def __init__(self):
        self._tables: dict[str, _Table] = collections.defaultdict(_Table)

    def put(self, topic: str, key: str, value: t.Any) -> None:
        """Writes a record as the operator or a worker does."""
        encoded = b'' if value is None else json.dumps(value).encode()
        self._tables[topic].append(key.encode(), encoded)

    def newest(self, topic: str, key: str) -> t.Any:
        """Returns the newest value of a key, None without one."""
        found = self._tables[topic].newest.get(key.encode())
        return None if found is None else json.loads(found[1])

    async def handle(self, req: Request) -> Answer | None:
        """Answers one call."""
        table = self._tables[req.query['topic']]
        if req.path == PREFIX + 'log-append':
            await asyncio.sleep(0.004)
            return self._append(table, req.query, req.body)
        if req.path == PREFIX + 'log-read':
            return await self._read(table, req.query)
        if req.path == PREFIX + 'log-newest':
            return self._newest(table, req.query.get('after'))
        return Answer(404)

    def _append(self, table: _Table, query: dict, body: bytes) -> Answer:
        end = len(table.records)
        if 'at' in query and int(query['at']) != end:
            return as_json(412, end=end)
        if 'epoch' in query:
            refused = self._check_writer(table, query, body)
            if refused is not None:
                return refused
        position = 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            record = body[position : position + length]
            position += length
            key_end = 1 + record[0]
            table.append(record[1:key_end], record[key_end:])
        return as_json(200, offset=end, end=len(table.records))

    def _check_writer(
        self, table: _Table, query: dict, body: bytes
    ) -> Answer | None:
        epoch, sequence = int(query['epoch']), int(query['seq'])
        if epoch < table.epoch:
            return as_json(409, reason='fenced')
        if epoch > table.epoch:
            table.epoch, table.sequence = epoch, None
            table.answers.clear()
        if not body:
            return as_json(200, offset=len(table.records))
        if sequence in table.answers:
            return as_json(200, offset=table.answers[sequence])
        if table.sequence is not None and sequence != table.sequence + 1:
            return as_json(409, reason='seq', expected=table.sequence + 1)
        table.sequence = sequence
        table.answers[sequence] = len(table.records)
        while len(table.answers) > 5:
            table.answers.popitem(last=False)
        return None

    async def _read(self, table: _Table, query: dict) -> Answer:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        if start >= len(table.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await table.changed.wait()
            except TimeoutError:
                pass
        body = bytearray(_HEAD.pack(len(table.records), 0))
        limit = 1_024 * int(query.get('max_kb', '1024'))
        for key, value in table.records[start:]:
            if len(body) > _HEAD.size and len(body) + len(value) > limit:
                break
            length = 1 + len(key) + len(value)
            body += _LENGTH.pack(length) + bytes((len(key),)) + key + value
        return Answer(200, bytes(body))

    def _newest(self, table: _Table, after: str | None) -> Answer:
        keys = sorted(table.newest)
        if after is not None:
            keys = [key for key in keys if key > after.encode()]
        items = [
            {
                'key': key.decode('latin-1'),
                'value': base64.b64encode(table.newest[key][1]).decode(),
                'offset': table.newest[key][0],
            }
            for key in keys[:_PAGE_ITEMS]
        ]
        more = len(keys) > _PAGE_ITEMS
        return as_json(200, items=items, more=more, end=len(table.records))


class Work(t.NamedTuple):
    """What a task needs and does.

    :ivar duration_s: infinite for a task that lasts.
    :ivar tail_ms: tail of its response times beside nothing that fills; None
        for a task that does not serve.
    :ivar fills: its processors do not count against the worker's capacity.
    """

    duration_s: float
    cpu: int
    tail_ms: int | None = None
    fills: bool = False


class _Run:
    """A run on a worker."""

    def __init__(self, *, number: int, work: Work):
        self.number = number
        self.work = work
        self.stopping = False
        self.worked_s = 0.0

    @property
    def percent(self) -> int:
        """Progress of the run."""
        if self.work.duration_s == float('inf'):
            return 100
        return min(99, int(100 * self.worked_s / self.work.duration_s))


class History:
    """What all workers have been told and have run.

    :ivar starts: time, worker, task and run of each start.
    :ivar ends: time, worker, task, run and kind of each end.
    """

    def __init__(self, record: Record):
        self.record = record
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []

    def started(self, worker: str, task: str, run: int) -> None:
        """Notes that a worker has begun a run."""
        self.starts.append((now_s(), worker, task, run))
        self.record.write(f'run      {task} run {run} starts on {worker}')

    def ended(self, worker: str, task: str, run: int, how: str) -> None:
        """Notes the end of a run."""
        self.ends.append((now_s(), worker, task, run, how))
        self.record.write(f'run      {task} run {run} on {worker}: {how}')


class Worker:
    """A worker with one life at a time.

    :param work: returns what a task needs.
    :ivar drops_start: tells of a start whether it gets no answer.
    :ivar late_s: when such a start is carried out; never if None.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        store: Store,
        history: History,
        work: t.Callable[[str], Work],
        cpu: int,
        guards: bool = True,
        kind: str = 'a',
        rack: str = 'r1',
        zone: str = 'z1',
        service: str = 'pool',
    ):
        self.name = name
        self.cpu = cpu
        self.kind = kind
        self.guards = guards
        self.drops_start: t.Callable[[dict], bool] = lambda fields: False
        self.late_s: float | None = None
        self._place = {'rack': rack, 'zone': zone, 'service': service}
        self._store = store
        self._history = history
        self._work = work
        self._server = Server(self._handle, host)
        self._sequence = 0
        self._beats: asyncio.Task | None = None
        self._ticks: asyncio.Task | None = None
        self._later: set[asyncio.Task] = set()
        self.up = False
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self._began_s = now_s()
        self._token = 0
        self._deadline_ms = 0
        self._count = 0
        self._finished: list[tuple[int, str, int, str, str]] = []
        self.running: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._changed = asyncio.Event()

    @property
    def used_cpu(self) -> int:
        """Processors of all runs, also of those that are being stopped."""
        return sum(
            run.work.cpu for run in self.running.values() if not run.work.fills
        )

    def _gauge(self, run: _Run) -> int:
        """Returns the rough figure of the last half second of a run."""
        if run.work.tail_ms is None:
            return run.work.cpu
        filling = any(one.work.fills for one in self.running.values())
        return (
            _DISTURBED_RATIO * run.work.tail_ms
            if filling
            else (run.work.tail_ms)
        )

    def _clock_ms(self) -> int:
        return int(1000 * (now_s() - self._began_s))

    async def start(self) -> None:
        """Begins to serve and to write entries."""
        await self._server.open()
        self.up = True
        loop = asyncio.get_running_loop()
        self._beats = loop.create_task(self._beat())
        self._ticks = loop.create_task(self._tick())

    def stop(self) -> None:
        """Ends the worker and all that runs on it."""
        self._end_tasks()
        self._server.close()

    def crash(self) -> None:
        """Ends the process of the worker: its address refuses connections."""
        for task, run in self.running.items():
            self._history.ended(self.name, task, run.number, 'crashed')
        self.stop()
        self._begin_life()

    def lose_power(self) -> None:
        """Ends the machine of the worker, which answers nothing any more."""
        self._server.fall_silent()
        for task, run in self.running.items():
            self._history.ended(self.name, task, run.number, 'lost')
        self._end_tasks()
        self.running.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * _HEARTBEAT_S, self._expire)

    def unread_order_s(self, job: str) -> float | None:
        """Returns when a call for a job last came that nobody has read."""
        found = [
            at_s
            for at_s, body in self._server.unread
            if f'"{job}'.encode() in body
        ]
        return found[-1] if found else None

    def _expire(self) -> None:
        """Removes the entry unless the worker is back."""
        if not self.up:
            self._store.put('keyed.servers', self.name, None)

    def _end_tasks(self) -> None:
        self.up = False
        for task in (self._beats, self._ticks, *self._later):
            if task is not None:
                task.cancel()

    async def restart(
        self, *, cpu: int | None = None, kind: str | None = None
    ) -> None:
        """Starts the next life, which may be of another kind."""
        self.cpu = cpu or self.cpu
        self.kind = kind or self.kind
        self._server.close()
        self._begin_life()
        await self.start()

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            self._store.put('keyed.servers', self.name, self._entry())
            await asyncio.sleep(_HEARTBEAT_S)

    def _entry(self) -> dict:
        return {
            'service': self._place['service'],
            'address': self._server.address,
            'zone': self._place['zone'],
            'version': '1',
            'slots': 8,
            'state': 'ready',
            'cold_ms': 0,
            'seq': self._sequence,
            'capacity': {'cpu': self.cpu, 'mem_mb': 64_000, 'gpu': 0},
            'labels': [self.kind, self._place['rack']],
            'born': self.born,
        }

    async def _tick(self) -> None:
        before_s = now_s()
        while True:
            await asyncio.sleep(0.01)
            passed_s, before_s = now_s() - before_s, now_s()
            lapsed = self.running and self._clock_ms() > self._deadline_ms
            speed = self._speed_of_filling()
            for task, run in list(self.running.items()):
                run.worked_s += passed_s * (speed if run.work.fills else 1.0)
                if lapsed:
                    self._end(task, 'lapsed')
                elif run.worked_s >= run.work.duration_s:
                    self._end(task, 'done')

    def _speed_of_filling(self) -> float:
        """Returns the speed of tasks that share what others leave unused."""
        wanted = sum(
            run.work.cpu for run in self.running.values() if run.work.fills
        )
        left = self.cpu - self.used_cpu
        return min(1.0, left / wanted) if wanted else 1.0

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self._count += 1
        row = (self._count, task, run.number, how, '')
        self._finished.append(row)
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._history.ended(self.name, task, run.number, how)
        self._changed.set()
        self._changed = asyncio.Event()

    # calls

    async def _handle(self, req: Request) -> Answer | None:
        if req.headers.get('x-target-instance') != self.name:
            return Answer(421)
        fields = json.loads(req.body or b'{}')
        if req.path == PREFIX + 'run-start':
            return await self._handle_start(fields)
        if self._is_fenced(fields):
            return self._refuse('fence')
        if req.path == PREFIX + 'run-stop':
            return self._stop(fields)
        if req.path == PREFIX + 'hold':
            return await self._hold(fields)
        return as_json(200, clock_ms=self._clock_ms(), born=self.born)

    def _is_fenced(self, fields: dict) -> bool:
        token = fields.get('fencing_token', 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _refuse(self, reason: str) -> Answer:
        clock_ms = self._clock_ms()
        return as_json(409, clock_ms=clock_ms, reason=reason, born=self.born)

    async def _handle_start(self, fields: dict) -> Answer | None:
        task, run = fields['task'], fields['run']
        if not self.drops_start(fields):
            return self.execute_start(fields)
        self._history.record.write(
            f'order    {task} run {run} to {self.name} gets no answer'
        )
        if self.late_s is not None:
            loop = asyncio.get_running_loop()
            self._later.add(loop.create_task(self._execute_late(fields)))
        return None

    async def _execute_late(self, fields: dict) -> None:
        await asyncio.sleep(self.late_s)
        answer = self.execute_start(fields)
        self._history.record.write(
            f'order    {fields["task"]} run {fields["run"]} is carried out '
            f'late by {self.name}: {answer.status} {answer.body.decode()}'
        )

    def execute_start(self, fields: dict) -> Answer:
        """Carries out a start; returns the response."""
        task, run = fields['task'], fields['run']
        if self._is_fenced(fields):
            return self._refuse('fence')
        self._extend(fields['deadline_ms'])
        there = self.running.get(task)
        if there is not None and there.number == run:
            return as_json(200, clock_ms=self._clock_ms(), born=self.born)
        if run <= self._highest.get(task, 0):
            return self._refuse('old')
        if fields['deadline_ms'] < self._clock_ms():
            return self._refuse('late')
        work = self._work(task)
        needed = 0 if work.fills else work.cpu
        if self.guards and self.used_cpu + needed > self.cpu:
            return self._refuse('room')
        self.running[task] = _Run(number=run, work=work)
        self._history.started(self.name, task, run)
        return as_json(200, clock_ms=self._clock_ms(), born=self.born)

    def _extend(self, deadline_ms: int) -> None:
        latest_ms = self._clock_ms() + HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest_ms))

    def _stop(self, fields: dict) -> Answer:
        task, number = fields['task'], fields['run']
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S, self._finish_stop, task, run
            )
        return as_json(200, clock_ms=self._clock_ms(), born=self.born)

    def _finish_stop(self, task: str, run: _Run) -> None:
        if self.running.get(task) is run:
            self._end(task, 'stopped')

    async def _hold(self, fields: dict) -> Answer:
        if 'deadline_ms' in fields:
            self._extend(fields['deadline_ms'])
        observed = fields.get('observed', 0)
        self._finished = [row for row in self._finished if row[0] > observed]
        wait_s = fields.get('wait_ms', 0) / 1000
        if wait_s and not self._finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return as_json(
            200,
            clock_ms=self._clock_ms(),
            born=self.born,
            running=[
                [task, run.number, '', run.percent, self._gauge(run)]
                for task, run in self.running.items()
            ],
            finished=[list(row) for row in self._finished[:_MAX_ENDS]],
        )


class Instance:
    """An instance of the scheduler as a process."""

    def __init__(
        self,
        *,
        name: str,
        host: str,
        store: str,
        seeds: t.Sequence[str],
        folder: pathlib.Path,
        adviser: str | None = None,
    ):
        self.name = name
        self.host = host
        self._log = folder / f'{name}.log'
        self._path = folder / f'{name}.json'
        self._process: asyncio.subprocess.Process | None = None
        settings = {
            'instance': name,
            'callers_address': f'{host}:{_PORTS["callers"]}',
            'ready_address': f'{host}:{_PORTS["ready"]}',
            'peers_address': f'{host}:{_PORTS["peers"]}',
            'seeds': [f'{seed}:{_PORTS["peers"]}' for seed in seeds],
            'store': {'address': store},
            'hold_max_ms': HOLD_MAX_MS,
            'state_kept_s': 120,
            'grace_s': GRACE_S,
            'core_share': 0.537,
            'core_speed': 2,
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'max_descriptors': 4_100,
        }
        if adviser is not None:
            settings['adviser_address'] = adviser
        self._path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Starts the process; returns once it listens."""
        env = dict(os.environ, AMARANTHFLOW_CONFIG=str(self._path))
        path = str(ROOT / 'target' / 'deps')
        env['PYTHONPATH'] = path
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                'platform/run.py',
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(
                    self.host, _PORTS['callers']
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise CannotRunError(f'{self.name} does not listen')

    @property
    def running(self) -> bool:
        """True while the process runs."""
        return self._process is not None and self._process.returncode is None

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.running:
            self._process.send_signal(signum)

    async def wait(self, within_s: float) -> None:
        """Waits for the end of the process; kills it after some time."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(within_s):
                await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    def leads(self) -> bool:
        """Returns whether the log says that this process leads."""
        found = ''
        for line in self._log.read_text(errors='replace').splitlines():
            if '"event":"started"' in line:
                found = ''
            elif '"event":"leading"' in line or '"event":"led"' in line:
                found = 'leading' if '"leading"' in line else 'led'
        return self.running and found == 'leading'


class CannotRunError(Exception):
    """The case cannot be run here."""


def _reserve_net() -> tuple[str, socket.socket]:
    """Returns a prefix of loopback addresses that no other test uses."""
    for number in range(os.getpid(), os.getpid() + 64_000):
        prefix = f'127.{1 + (number >> 8) % 250}.{number % 256}'
        lock = socket.socket()
        try:
            lock.bind((f'{prefix}.254', 8160))
        except OSError:
            lock.close()
            continue
        return prefix, lock
    raise CannotRunError('no free prefix of loopback addresses')


class Case:
    """A test: its stand-ins, its instances and its record.

    :ivar trouble: False if the disruption is to be left out.
    """

    def __init__(self, folder: str):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.record.write(f'TROUBLE={int(self.trouble)}')
        self.history = History(self.record)
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.instances: list[Instance] = []
        self._prefix, self._lock = _reserve_net()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._store_server = Server(self.store.handle, f'{self._prefix}.1')
        self._version = 0

    def configure(
        self,
        routes: t.Sequence[dict],
        *,
        checks: bool = True,
        service: str = 'pool',
    ) -> None:
        """Writes a configuration as the operator does."""
        self._version += 3
        value = {
            'version': self._version,
            'routes': [
                {'hostname': HOST, 'service': service, **route}
                for route in routes
            ],
            'services': [{'name': service, 'admission_check': checks}],
            'limits': {'max_body_bytes': 262_144},
        }
        self.store.put('keyed.op', 'config', value)

    async def open(self) -> None:
        """Starts the store."""
        await self._store_server.open()

    async def add_worker(self, name: str, **settings: t.Any) -> Worker:
        """Starts a worker."""
        number = len(self.workers)
        worker = Worker(
            name=name,
            host=f'{self._prefix}.{100 + number}',
            store=self.store,
            history=self.history,
            **settings,
        )
        self.workers[name] = worker
        await worker.start()
        return worker

    def host(self, number: int) -> str:
        """Returns an address that the test has to itself."""
        return f'{self._prefix}.{number}'

    async def add_instances(
        self, count: int, adviser: str | None = None
    ) -> None:
        """Starts instances and waits until one leads and all are ready."""
        hosts = [f'{self._prefix}.{2 + n}' for n in range(count)]
        self.instances = [
            Instance(
                name=f'edge-{n + 1}',
                host=host,
                store=self._store_server.address,
                seeds=hosts[:3],
                folder=self.folder,
                adviser=adviser,
            )
            for n, host in enumerate(hosts)
        ]
        await asyncio.gather(*(one.start() for one in self.instances))
        for _ in range(200):
            if self.leader() is not None:
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.05)
        raise CannotRunError('no instance leads')

    def leader(self) -> Instance | None:
        """Returns the instance that leads, None without one."""
        return next((one for one in self.instances if one.leads()), None)

    async def call(
        self,
        instance: Instance,
        method: str,
        path: str,
        body: t.Any = None,
        timeout_s: float = 3.0,
    ) -> Answer:
        """Sends a caller's request; status 0 stands for no answer."""
        content = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Deadline-Ms: {int(1000 * timeout_s)}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(
                    instance, head.encode() + content
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.record.write(
                f'caller   {method} {path} at {instance.name}: {exc!r}'
            )
            return Answer(0)
        text = answer.body.decode()
        self.record.write(
            f'caller   {method} {path} at {instance.name}: '
            f'{answer.status} {text}'
        )
        return answer

    async def _exchange(self, instance: Instance, data: bytes) -> Answer:
        reader, writer = await asyncio.open_connection(
            instance.host, _PORTS['callers']
        )
        try:
            writer.write(data)
            found = await read_head(reader)
            if found is None:
                raise ConnectionResetError('no answer')
            first, headers = found
            length = int(headers.get('content-length', '0'))
            return Answer(
                int(first.split()[1]), await reader.readexactly(length)
            )
        finally:
            writer.close()

    async def submit(self, path: str, steps: list[dict]) -> bool:
        """Hands a job in until it is accepted; returns whether it was."""
        body = {'spec': 'text', 'steps': steps}
        for attempt in range(20):
            running = [one for one in self.instances if one.running]
            instance = running[attempt % len(running)]
            answer = await self.call(instance, 'POST', path, body)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path: str) -> str | None:
        """Asks for a job's state; returns None without one."""
        for instance in [one for one in self.instances if one.running]:
            answer = await self.call(instance, 'GET', path)
            if answer.status == 200:
                return json.loads(answer.body)['state']
            if answer.status == 410:
                return 'unknown'
        return None

    async def close(self) -> None:
        """Ends all that the test has started."""
        for instance in self.instances:
            instance.send(signal.SIGKILL)
            await instance.wait(5.0)
        if 'KEEP_LOGS' in os.environ:
            for path in self.folder.glob('*.log'):
                kept = pathlib.Path(os.environ['KEEP_LOGS']) / path.name
                kept.write_bytes(path.read_bytes())
        for worker in self.workers.values():
            worker.stop()
        self._store_server.close()
        self._lock.close()
        self._temporary.cleanup()


def run(folder: str, test: t.Callable[[Case], t.Awaitable[bool]]) -> int:
    """Runs a test, which returns whether the rule held.

    Returns 0 if it did, 1 if it was broken, 2 if the case could not run.
    """

    async def main() -> int:
        case = Case(folder)
        try:
            async with asyncio.timeout(115):
                await case.open()
                held = await test(case)
        except (CannotRunError, TimeoutError) as exc:
            case.record.write(f'the case could not run: {exc!r}')
            return 2
        finally:
            await case.close()
        case.record.write('the rule held' if held else 'the rule was broken')
        return 0 if held else 1

    try:
        return asyncio.run(main())
    except CannotRunError as exc:
        print(exc, file=sys.stderr)
        return 2
