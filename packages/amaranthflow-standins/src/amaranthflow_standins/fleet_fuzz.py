"""Random fault injection into a local fleet under load.

A run depends only on its seed. Invariants are checked at each step: at most
one instance starts work on a rack, no worker exceeds a limit, and no job has
two runs at a time. At the end all faults are healed, and the responses that
callers received are compared with the runs on the workers.
"""

import asyncio
import collections
import dataclasses
import random
import typing as t

from amaranthflow import exceptions
from amaranthflow import platform
from amaranthflow import verdict

from . import history
from . import local_fleet
from . import program

STEP_S = 0.25
_RECOVERY_S = 60.0
_MAX_INSTANCES = 5
_LOST_REPLIES = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class _Responses:
    """Responses that a caller received for a request or job."""

    idempotent: bool
    verdicts: list[verdict.Verdict] = dataclasses.field(default_factory=list)
    answers: list[bytes] = dataclasses.field(default_factory=list)


class FleetFuzz:
    """One run.

    :ivar events: number of faults and repairs, by name.
    :ivar trace: time and name of each fault and repair, one line each.
    """

    def __init__(self, *, seed: int):
        self._rng = random.Random(seed)
        self._fleet = local_fleet.LocalFleet(seed=seed, racks=3)
        self._calls: dict[str, _Responses] = {}
        self._jobs: dict[str, _Responses] = {}
        self._pending: set[asyncio.Task] = set()
        self._started = 0
        self._leaving: set[str] = set()
        self.events: collections.Counter[str] = collections.Counter()
        self.trace: list[str] = []

    async def run(self, steps: int) -> list[str]:
        """Runs random steps; returns a line for each violated invariant."""
        try:
            await self._set_up()
            for _ in range(steps):
                await self._act()
                await self._fleet.clock.run_for(STEP_S)
                violations = self._check_now()
                if violations:
                    return violations
            await self._heal()
            return self._check_now() + self._check_responses()
        finally:
            await self._close()

    async def _set_up(self) -> None:
        for _ in range(3):
            self._start_instance()
        await self._fleet.clock.run_for(2.0)
        await self._fleet.configure(next(iter(self._fleet.instances)))
        await self._fleet.clock.run_for(3.0)

    async def _act(self) -> None:
        """Sends random load and sometimes injects a fault."""
        for _ in range(self._rng.randrange(4)):
            self._send_call()
        if self._rng.random() < 0.3:
            self._send_job()
        if self._rng.random() < 0.25:
            faults = (
                self._kill,
                self._drain,
                self._restart,
                self._pause,
                self._resume,
                self._cut,
                self._join_again,
                self._log_down,
                self._log_up,
                self._lose_replies,
                self._freeze_worker,
                self._thaw_workers,
                self._worker_dies,
                self._worker_leaves,
            )
            fault = self._rng.choice(faults)
            await fault()

    def _note(self, event: str, detail: str = '') -> None:
        self.events[event] += 1
        now_s = self._fleet.clock.monotonic()
        self.trace.append(f'{now_s:8.2f} {event} {detail}')

    def _start_instance(self) -> None:
        self._started += 1
        self._fleet.start(f'instance-{self._started}')

    def _random_instance(self) -> str | None:
        names = sorted(self._fleet.instances)
        return self._rng.choice(names) if names else None

    def _send_call(self) -> None:
        name = self._random_instance()
        if name is None:
            return
        request_id = f'call-{len(self._calls)}'
        idempotent = self._rng.random() < 0.5
        if not idempotent and self._calls and self._rng.random() < 0.3:
            # A caller repeats its request at any instance.
            request_id = self._rng.choice(sorted(self._calls))
            if self._calls[request_id].idempotent:
                return
        responses = self._calls.setdefault(
            request_id, _Responses(idempotent=idempotent)
        )
        self._spawn(self._call(name, request_id, responses))

    async def _call(
        self, name: str, request_id: str, responses: _Responses
    ) -> None:
        instance = self._fleet.instances.get(name)
        if instance is None:
            return
        try:
            reply = await self._fleet.call(
                name, request_id, responses.idempotent
            )
        except exceptions.AmaranthflowError as exc:
            outcome = exc.verdict
        else:
            outcome = verdict.Verdict.COMPLETED
            responses.answers.append(reply.payload)
        if instance.gate.dead:
            outcome = verdict.Verdict.MAY_HAVE_RUN
        responses.verdicts.append(outcome)

    def _send_job(self) -> None:
        name = self._random_instance()
        if name is None:
            return
        job_id = f'batch-{len(self._jobs)}.'
        responses = _Responses(idempotent=self._rng.random() < 0.7)
        self._jobs[job_id] = responses
        run_s = self._rng.choice((0.5, 2.0, 10.0))
        self._spawn(self._submit(name, job_id, responses, run_s))

    async def _submit(
        self, name, job_id, responses: _Responses, run_s: float
    ) -> None:
        instance = self._fleet.instances.get(name)
        if instance is None:
            return
        submissions = instance.parts.submissions
        job = self._fleet.make_job(
            job_id, run_s, idempotent=responses.idempotent
        )
        try:
            await submissions.submit(job)
        except exceptions.AmaranthflowError as exc:
            responses.verdicts.append(exc.verdict)
            return
        if not instance.gate.dead:
            responses.verdicts.append(verdict.Verdict.COMPLETED)

    def _spawn(self, work: t.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _kill(self) -> None:
        name = self._random_instance()
        if name is not None and len(self._fleet.instances) > 1:
            self._note('kill', name)
            await self._fleet.kill(name)

    async def _drain(self) -> None:
        name = self._random_instance()
        if name is None or len(self._fleet.instances) < 2:
            return
        if not self._fleet.instances[name].gate.closed:
            self._note('drain', name)
            await self._fleet.drain(name)

    async def _restart(self) -> None:
        if len(self._fleet.instances) < _MAX_INSTANCES:
            self._start_instance()
            self._note('start', f'instance-{self._started}')

    async def _pause(self) -> None:
        name = self._random_instance()
        if name is not None:
            self._note('pause', name)
            self._fleet.instances[name].gate.pause()

    async def _resume(self) -> None:
        self._note('resume')
        for instance in self._fleet.instances.values():
            instance.gate.resume()

    async def _cut(self) -> None:
        names = sorted(self._fleet.instances)
        if len(names) > 1:
            first, second = self._rng.sample(names, 2)
            self._note('cut', f'{first} {second}')
            self._fleet.cut(first, second)

    async def _join_again(self) -> None:
        self._note('heal')
        self._fleet.heal()

    async def _log_down(self) -> None:
        self._note('log down')
        self._fleet.log.set_faults(down=True)

    async def _log_up(self) -> None:
        self._note('log up')
        self._fleet.log.set_faults(down=False)

    async def _lose_replies(self) -> None:
        self._note('lose replies')
        self._fleet.log.set_faults(lose_replies=_LOST_REPLIES)

    def _random_machine(self):
        worker_id = self._rng.choice(sorted(self._fleet.machines))
        return self._fleet.machines[worker_id]

    async def _freeze_worker(self) -> None:
        machine = self._random_machine()
        self._note('freeze', machine.worker.worker_id)
        machine.set_faults(frozen=True)

    async def _thaw_workers(self) -> None:
        self._note('thaw')
        for machine in self._fleet.machines.values():
            machine.set_faults(frozen=False, dead=False)

    async def _worker_dies(self) -> None:
        machine = self._random_machine()
        self._note('worker dies', machine.worker.worker_id)
        machine.set_faults(dead=True)

    async def _worker_leaves(self) -> None:
        worker_id = self._random_machine().worker.worker_id
        leaving = worker_id not in self._leaving
        self._note('leaving', f'{worker_id} {leaving}')
        phase = platform.InstancePhase.LIVE
        if leaving:
            phase = platform.InstancePhase.LEAVING
        self._leaving ^= {worker_id}
        self._fleet.list.set_phase(worker_id, phase)

    async def _heal(self) -> None:
        self._note('healed')
        await self._join_again()
        await self._log_up()
        self._fleet.log.set_faults(lose_replies=0)
        await self._resume()
        await self._thaw_workers()
        for worker_id in self._leaving:
            self._fleet.list.set_phase(worker_id, platform.InstancePhase.LIVE)
        while len(self._fleet.instances) < 2:
            self._start_instance()
        await self._fleet.clock.run_for(_RECOVERY_S)

    def _check_now(self) -> list[str]:
        violations = [
            f'{v.worker_id}: {v.used} {v.limit} of {v.allowed} at {v.at_s:.2f}'
            for v in self._fleet.violations()
        ]
        for first, second in self._fleet.overlaps():
            violations.append(f'simultaneous runs: {first} {second}')
        for rack in range(3):
            serving = self._fleet.serving(f'rack-{rack}')
            if len(serving) > 1:
                violations.append(f'rack-{rack} is served by {serving}')
        return violations

    def _check_responses(self) -> list[str]:
        violations = []
        for request_id, responses in self._calls.items():
            runs = self._request_runs(request_id)
            violations += _check_request(request_id, responses, runs)
        for job_id, responses in self._jobs.items():
            violations += self._check_job(job_id, responses)
        return violations

    def _request_runs(self, request_id: str) -> list[history.Run]:
        return [
            run
            for run in self._fleet.runs(request_id)
            if run.kind is history.RunKind.REQUEST
            and run.subject == request_id
        ]

    def _check_job(
        self, job_id: str, responses: _Responses
    ) -> t.Iterator[str]:
        runs = [
            run
            for run in self._fleet.runs(f'{job_id}:')
            if run.kind is history.RunKind.TASK
        ]
        fresh = [run for run in runs if not run.checkpoint]
        if not responses.idempotent and len(fresh) > 1:
            yield f'{job_id} is not idempotent and started {len(fresh)} times'
        accepted = verdict.Verdict.COMPLETED in responses.verdicts
        if responses.verdicts == [verdict.Verdict.NOT_RUN] and runs:
            yield f'{job_id} ran, but was refused as not run'
        if not accepted:
            return
        phase = self._fleet.job(job_id).phase
        if responses.idempotent and phase != 'completed':
            reply = self._fleet.job(job_id)
            yield f'{job_id} was accepted and is {phase}: {reply.reason}'
        if phase in ('waiting', 'running', 'unknown'):
            yield f'{job_id} was accepted and is still {phase}'

    async def _close(self) -> None:
        for task in list(self._pending):
            task.cancel()
        await asyncio.gather(*self._pending, return_exceptions=True)
        await self._fleet.close()


def _check_request(
    request_id: str, responses: _Responses, runs: list[history.Run]
) -> t.Iterator[str]:
    right = program.answer_to(
        local_fleet.TENANT,
        local_fleet.SERVICE,
        request_id,
        local_fleet.payload_of(request_id),
    )
    if any(answer != right for answer in responses.answers):
        yield f'{request_id} got a wrong answer'
    if not responses.idempotent and len(runs) > 1:
        yield f'{request_id} is not idempotent and ran {len(runs)} times'
    only_refused = set(responses.verdicts) == {verdict.Verdict.NOT_RUN}
    if only_refused and runs:
        yield f'{request_id} ran, but was always refused as not run'
    if verdict.Verdict.COMPLETED in responses.verdicts and not runs:
        yield f'{request_id} was answered, but never ran'
