"""Frame of a case: set-up, callers, record and verdict."""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import tempfile
import traceback
import typing as t

from . import http
from . import instances
from . import store as store_lib
from . import workers

HOST = 'jobs.example'
PREFIX = '/q/'
SERVICE = 'planning'
_TIMEOUT_S = 3.0
_RETRY_S = 0.3
_READY_TIMEOUT_S = 30.0
_LIMIT_S = 110.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """A job as its caller sees it. Times are in seconds of the test.

    :ivar shown: states that GET has returned, with their times.
    """

    id: str
    steps: list[dict]
    spec: str
    sent_s: float
    accepted_s: float | None = None
    cancelled_s: float | None = None
    shown: list[tuple[float, str]] = dataclasses.field(default_factory=list)


class Held(Exception):
    """The case could not run."""


class Scenario:
    """A small deployment with stand-ins.

    :ivar trouble: False to run the case without its disruption.
    """

    def __init__(self, *, folder: pathlib.Path, temp: pathlib.Path):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.net = instances.loopback_net()
        self.store = store_lib.Store()
        self.fleet = workers.Fleet(store=self.store)
        self.instances: list[instances.Instance] = []
        self.store_paths: dict[str, http.Server] = {}
        self.jobs: dict[str, Job] = {}
        self.broken: list[str] = []
        self._temp = temp
        self._record = (folder / 'record.txt').open('w')
        self._version = 0

    def log(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f'{self.fleet.now_s():8.3f} {text}\n')
        self._record.flush()

    def fail(self, text: str) -> None:
        """Notes that a rule is broken."""
        self.broken.append(text)
        self.log(f'BROKEN {text}')

    # set-up

    def configure(self, **route: t.Any) -> None:
        """Writes a configuration with one route."""
        self._version += 7
        value = {
            'version': self._version,
            'routes': [
                {
                    'name': 'route-1',
                    'hostname': HOST,
                    'path_prefix': PREFIX,
                    'service': SERVICE,
                    'priority': 0,
                    'max_attempts': 3,
                    'stretch_factor': 2.0,
                    'target_latency_ms': 1000,
                    **route,
                }
            ],
            'services': [{'name': SERVICE, 'admission_check': True}],
            'limits': {'max_body_bytes': 262144, 'idle_timeout_ms': 15000},
        }
        self.store.put(
            store_lib.OPERATOR, 'config', json.dumps(value).encode()
        )

    async def add_instance(
        self, name: str, rewrite: store_lib.Rewrite | None = None
    ) -> instances.Instance:
        """Adds an instance with its own path to the store."""
        path = http.Server(
            host=f'{self.net}.1', handler=self.store.handler(rewrite)
        )
        await path.open()
        self.store_paths[name] = path
        instance = instances.Instance(
            name=name,
            host=f'{self.net}.{len(self.instances) + 2}',
            store=path.address,
            folder=self._temp,
        )
        self.instances.append(instance)
        return instance

    async def add_worker(self, worker_id: str, **kwargs: t.Any):
        """Adds and starts a worker."""
        worker = workers.Worker(
            fleet=self.fleet,
            worker_id=worker_id,
            host=f'{self.net}.1',
            service=SERVICE,
            **kwargs,
        )
        await worker.start()
        return worker

    async def start_instances(self) -> None:
        """Starts all instances; returns once they are ready."""
        seeds = [one.control for one in self.instances[:3]]
        waiting = [one for one in self.instances if not one.running]
        await asyncio.gather(*(one.start(seeds) for one in waiting))
        for one in self.instances:
            await self.wait_for(
                lambda one=one: self._is_ready(one), f'{one.name} ready'
            )
        await self.wait_for(self.leader, 'a leader')

    async def _is_ready(self, one: instances.Instance) -> bool:
        response = await http.call('GET', one.ready, '/amaranthflow/readyz')
        return response is not None and response.status == 200

    async def wait_for(
        self,
        condition: t.Callable[[], t.Any],
        what: str,
        timeout_s: float = _READY_TIMEOUT_S,
    ) -> None:
        """Waits for a condition. Raises Held if it does not come true."""
        end_s = self.fleet.now_s() + timeout_s
        while self.fleet.now_s() < end_s:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise Held(f'not in time: {what}')

    def leader(self) -> str:
        """Returns the instance of the newest record of a leader."""
        records = self.store.leader_records()
        return records[-1]['instance'] if records else ''

    # callers

    async def _call(
        self, method: str, path: str, body: bytes, front: str
    ) -> http.Response | None:
        headers = {
            'Host': HOST,
            'Content-Type': 'application/json',
            'X-Deadline-Ms': str(int(_TIMEOUT_S * 1000)),
        }
        response = await http.call(
            method,
            front,
            path,
            body=body,
            headers=headers,
            timeout_s=_TIMEOUT_S,
        )
        status = 'no answer' if response is None else response.status
        text = '' if response is None else response.body[:80].decode()
        self.log(f'{method} {path} at {front}: {status} {text}')
        return response

    def front(self, turn: int) -> str:
        """Returns the address of an instance that runs, by turns."""
        running = [one for one in self.instances if one.running]
        return running[turn % len(running)].front

    async def submit(
        self, job_id: str, steps: list[dict], spec: str, tries: int = 20
    ) -> Job:
        """Hands a job in until it is accepted."""
        job = Job(id=job_id, steps=steps, spec=spec, sent_s=self.fleet.now_s())
        self.jobs[job_id] = job
        self.fleet.add_job(job_id, steps)
        body = json.dumps({'spec': spec, 'steps': steps}).encode()
        for turn in range(tries):
            response = await self._call(
                'POST', PREFIX + job_id, body, self.front(turn)
            )
            if response is not None and 200 <= response.status < 300:
                job.accepted_s = self.fleet.now_s()
                return job
            await asyncio.sleep(_RETRY_S)
        return job

    async def cancel(self, job: Job, tries: int = 20) -> int:
        """Cancels a job; returns the status that acknowledges it, or 0."""
        for turn in range(tries):
            response = await self._call(
                'DELETE', PREFIX + job.id, b'', self.front(turn)
            )
            status = 0 if response is None else response.status
            if 200 <= status < 300 or status == 410:
                job.cancelled_s = self.fleet.now_s()
                return status
            await asyncio.sleep(_RETRY_S)
        return 0

    async def state(self, job: Job, tries: int = 1) -> str:
        """Asks for a job's state; returns an empty text without an answer."""
        for turn in range(tries):
            response = await self._call(
                'GET', PREFIX + job.id, b'', self.front(turn)
            )
            if response is not None and response.status == 200:
                state = json.loads(response.body)['state']
                job.shown.append((self.fleet.now_s(), state))
                return state
            if response is not None and response.status == 410:
                return 'unknown'
            await asyncio.sleep(_RETRY_S)
        return ''

    async def wait_state(
        self, job: Job, states: t.Collection[str], timeout_s: float
    ) -> str:
        """Asks until a job is in one of some states; returns the last one."""
        end_s = self.fleet.now_s() + timeout_s
        turn = 0
        state = ''
        while self.fleet.now_s() < end_s:
            state = await self.state(job) or state
            if state in states:
                return state
            turn += 1
            await asyncio.sleep(_RETRY_S)
        return state

    def runs(self, job_id: str) -> list[workers.Run]:
        """Returns the runs of a job."""
        return [run for run in self.fleet.runs if run.job == job_id]

    # end

    def write_runs(self) -> None:
        """Writes the history of runs to the record."""
        self.log('runs: task run worker token start end how observed')
        for run in sorted(self.fleet.runs, key=lambda run: run.start_s):
            end = 'active' if run.end_s is None else f'{run.end_s:.3f}'
            seen = '-' if run.observed_s is None else f'{run.observed_s:.3f}'
            self.log(
                f'run {run.task} {run.run} {run.worker} {run.labels[0]} '
                f'{run.token} {run.start_s:.3f} {end} {run.how or "-"} {seen}'
            )

    async def tear_down(self) -> None:
        """Ends all processes and stand-ins."""
        for one in self.instances:
            await one.kill()
        for worker in self.fleet.workers:
            worker.stop()
        for path in self.store_paths.values():
            path.close()
        self._record.close()


Play = t.Callable[[Scenario], t.Awaitable[None]]


async def _run(play: Play, folder: pathlib.Path) -> int:
    with tempfile.TemporaryDirectory() as temp:
        scenario = Scenario(folder=folder, temp=pathlib.Path(temp))
        scenario.log(f'trouble={int(scenario.trouble)}')
        code = 2
        try:
            async with asyncio.timeout(_LIMIT_S):
                await play(scenario)
            code = 1 if scenario.broken else 0
        except (Held, TimeoutError, OSError) as exc:
            scenario.log(f'the case could not run: {exc!r}')
        except Exception:
            scenario.log(traceback.format_exc())
        finally:
            scenario.write_runs()
            scenario.log(f'exit code {code}')
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for one in scenario.instances:
                    if one.log.exists():
                        target = pathlib.Path(keep) / one.log.name
                        target.write_bytes(one.log.read_bytes())
            await scenario.tear_down()
    return code


def main(play: Play, file: str) -> t.NoReturn:
    """Plays a case and exits with its verdict."""
    sys.exit(asyncio.run(_run(play, pathlib.Path(file).resolve().parent)))
