"""Seeded fault injection for the scheduler's fleet.

Random jobs arrive while instances are killed, while the store is unavailable,
slow or loses replies, and while workers are cut off, restart or execute
commands late. Invariants are checked from the view of the callers and the
workers. Once all faults are over, every job has to reach a final state.
"""

import asyncio
import dataclasses
import random

from amaranthflow import ids
from amaranthflow_scheduler import model

from . import task_fleet
from . import task_history
from . import task_shapes
from . import task_worker
from . import virtual_time

_INSTANCES = 4
_WORKERS = 5
_JOBS = 25
_FAULT_PHASE_S = 40.0
_FAULTS = 10
_RECOVERY_LIMIT_S = 60.0
_CANCELLED_SHARE = 0.1
_POISONED_SHARE = 0.05
_DEADLY_SHARE = 0.12
_FAILED_RUN_SHARE = 0.03
_MAX_TASKS_PER_STEP = 5
_ESTIMATES_MS = (300, 800, 2000, 5000)
_ZONES = ('z1', 'z2')
_EVACUATIONS = 4
_EVACUATION_RANGE_S = (5.5, 12.0)
_EVACUATION_BOUND_S = 5.0
_RESTARTS = 6
_DOWN_RANGE_S = (0.1, 2.0)
_UP_RANGE_S = (0.1, 1.5)
_STALL_RANGE_S = (0.5, 3.0)
_CUT_RANGE_S = (1.0, 9.0)


@dataclasses.dataclass(slots=True, kw_only=True)
class FuzzResult:
    """Result of one seed.

    :ivar violations: violated invariants, one line each.
    :ivar faults: start and end of each injected fault, one line each.
    """

    seed: int
    violations: list[str]
    faults: list[str]
    runs: int


class _Exploration:
    def __init__(
        self,
        seed: int,
        loop: virtual_time.VirtualLoop,
        *,
        deadly: bool,
        evacuated: bool,
        restarted: bool,
        stalled: bool,
    ):
        self.rng = random.Random(seed)
        # A generator of its own keeps the other choices of a seed.
        self._deadly_rng = random.Random(seed) if deadly else None
        self._zone_rng = random.Random(seed) if evacuated else None
        self._restart_rng = random.Random(seed) if restarted else None
        self._stall_rng = random.Random(seed) if stalled else None
        self._store_reachable = asyncio.Event()
        self._store_reachable.set()
        self._store_back_s = float('-inf')
        self._violations: list[str] = []
        self.plan = task_shapes.RandomPlan(
            rng=self.rng, fail_share=_FAILED_RUN_SHARE
        )
        self.fleet = task_fleet.TaskFleet(loop=loop, plan=self.plan, seed=seed)
        self.faults: list[str] = []
        self.seed = seed

    async def run(self) -> FuzzResult:
        fleet = self.fleet
        fleet.configure()
        for number in range(_WORKERS):
            fleet.add_worker(
                f'w{number}',
                rack=f'r{number % 2}',
                zone=_ZONES[number % 2 if self._zone_rng else 0],
            )
        for _ in range(_INSTANCES):
            fleet.start_node()
        await fleet.wait_leader()
        work = [self._job(number) for number in range(_JOBS)]
        work.extend(self._fault() for _ in range(_FAULTS))
        if self._zone_rng is not None:
            work.extend(
                self._evacuate(zone, self._zone_rng) for zone in _ZONES
            )
        if self._restart_rng is not None:
            for worker in fleet.workers.values():
                worker.faults.keeps_calls = True
            work.extend(
                self._restart_and_cut(self._restart_rng)
                for _ in range(_RESTARTS)
            )
        try:
            async with asyncio.timeout(_FAULT_PHASE_S + _RECOVERY_LIMIT_S):
                async with asyncio.TaskGroup() as group:
                    for coro in work:
                        group.create_task(coro)
                violations = await self._finish()
        except TimeoutError:
            violations = ['callers get no response']
        await asyncio.sleep(task_history.MAX_RUN_AFTER_CANCEL_S)
        violations.extend(fleet.unstopped_runs(fleet.loop.time()))
        violations.extend(self._violations)
        violations.extend(fleet.violations())
        return FuzzResult(
            seed=self.seed,
            violations=violations,
            faults=self.faults,
            runs=len(fleet.runs),
        )

    async def _job(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, _FAULT_PHASE_S))
        job_id = f'j{number:02}'
        steps = task_shapes.random_steps(
            self.rng, max_tasks=_MAX_TASKS_PER_STEP, estimates_ms=_ESTIMATES_MS
        )
        self.plan.steps[job_id] = steps
        if self.rng.random() < _POISONED_SHARE:
            self.plan.poisoned.add(job_id)
        self._choose_deadly(job_id, steps)
        await self.fleet.submit(job_id, steps)
        if steps[0].service or self.rng.random() < _CANCELLED_SHARE:
            await asyncio.sleep(self.rng.uniform(0.0, 6.0))
            await self.fleet.cancel(job_id)

    def _choose_deadly(self, job_id: str, steps: list[model.Step]) -> None:
        rng = self._deadly_rng
        if rng is None or rng.random() >= _DEADLY_SHARE:
            return
        step = rng.randrange(len(steps))
        index = rng.randrange(steps[step].count)
        self.plan.deadly.add(model.TaskKey(ids.JobId(job_id), 0, step, index))

    async def _evacuate(self, zone: str, rng: random.Random) -> None:
        """Evacuates a zone some times, for longer than the bound."""
        fleet = self.fleet
        for _ in range(_EVACUATIONS):
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            # Operators cannot reach the store in an outage either.
            await self._store_reachable.wait()
            duration_s = rng.uniform(*_EVACUATION_RANGE_S)
            self._note(f'evacuate {zone} for {duration_s:.1f} s')
            fleet.evacuate(zone)
            began_s = fleet.loop.time()
            await asyncio.sleep(duration_s)
            known_s = max(began_s, self._store_back_s)
            self._violations.extend(
                fleet.starts_in_zone(zone, known_s + _EVACUATION_BOUND_S)
            )
            await self._store_reachable.wait()
            fleet.evacuate(zone, active=False)
            self._note(f'{zone} is taken back')

    async def _fault(self) -> None:
        rng = self.rng
        await asyncio.sleep(rng.uniform(0.0, _FAULT_PHASE_S))
        fault = rng.choice(
            (
                self._kill,
                self._kill_all,
                self._silent,
                self._busy_leader,
                self._lossy,
                self._slow,
                self._compact,
                self._cut,
                self._crash,
                self._late,
                self._step_down,
            )
        )
        duration_s = rng.uniform(0.5, 6.0)
        name = fault.__name__.strip('_')
        self._note(f'{name} for {duration_s:.1f} s')
        await fault(duration_s)
        self._note(f'{name} is over')

    def _note(self, text: str) -> None:
        self.faults.append(f'{self.fleet.loop.time():.2f} {text}')

    async def _kill(self, duration_s: float) -> None:
        leader = self.fleet.leader()
        names = [leader] if leader else list(self.fleet.nodes)[:1]
        await self._restart(names, duration_s)

    async def _kill_all(self, duration_s: float) -> None:
        await self._restart(list(self.fleet.nodes), duration_s / 3)

    async def _restart(self, names: list[str], duration_s: float) -> None:
        for name in names:
            await self.fleet.kill(name)
        await asyncio.sleep(duration_s)
        for name in names:
            self.fleet.start_node(name)

    async def _step_down(self, duration_s: float) -> None:
        leader = self.fleet.leader()
        if leader is None:
            return
        until_s = self.fleet.loop.time() + duration_s
        await self.fleet.nodes[leader].step_down(until_s=until_s)
        if leader in self.fleet.nodes:
            await self._restart([leader], duration_s / 3)

    async def _silent(self, duration_s: float) -> None:
        names = set(self.fleet.nodes)
        silent = self.fleet.store.faults.silent
        silent |= names
        self._store_reachable.clear()
        await asyncio.sleep(duration_s)
        silent -= names
        self._store_back_s = self.fleet.loop.time()
        if not silent:
            self._store_reachable.set()

    async def _busy_leader(self, duration_s: float) -> None:
        name = self.fleet.leader()
        if name is None:
            return
        self.fleet.store.faults.busy.add(name)
        await asyncio.sleep(duration_s)
        self.fleet.store.faults.busy.discard(name)

    async def _lossy(self, duration_s: float) -> None:
        faults = self.fleet.store.faults
        faults.lost_reply_share, faults.delayed_share = 0.3, 0.1
        await asyncio.sleep(duration_s)
        faults.lost_reply_share = faults.delayed_share = 0.0

    async def _slow(self, duration_s: float) -> None:
        self.fleet.store.faults.slow_s = 0.25
        await asyncio.sleep(duration_s)
        self.fleet.store.faults.slow_s = 0.0

    async def _compact(self, duration_s: float) -> None:
        self.fleet.store.compact()

    async def _cut(self, duration_s: float) -> None:
        worker = self.rng.choice(list(self.fleet.workers.values()))
        instance = self.rng.choice(['*', *self.fleet.nodes])
        worker.faults.unreachable_from.add(instance)
        await asyncio.sleep(duration_s)
        worker.faults.unreachable_from.discard(instance)

    async def _crash(self, duration_s: float) -> None:
        worker = self.rng.choice(list(self.fleet.workers.values()))
        if not worker.up:
            return
        worker.crash()
        await asyncio.sleep(duration_s)
        worker.restart()

    async def _restart_and_cut(self, rng: random.Random) -> None:
        """Restarts some workers under their ids and cuts them off soon after.

        Calls that come meanwhile reach their next incarnations.
        """
        await asyncio.sleep(rng.uniform(0.0, _FAULT_PHASE_S))
        workers = list(self.fleet.workers.values())
        chosen = rng.sample(workers, rng.randint(1, 3))
        await self._stall_starts(chosen)
        chosen = [worker for worker in chosen if worker.up]
        names = ' '.join(worker.id for worker in chosen)
        self._note(f'restart of {names}')
        for worker in chosen:
            worker.crash()
        await asyncio.sleep(rng.uniform(*_DOWN_RANGE_S))
        for worker in chosen:
            worker.restart()
        await asyncio.sleep(rng.uniform(*_UP_RANGE_S))
        for worker in chosen:
            worker.faults.unreachable_from.add('*')
        self._note(f'{names} are cut off')
        await asyncio.sleep(rng.uniform(*_CUT_RANGE_S))
        for worker in chosen:
            worker.faults.unreachable_from.discard('*')
        self._note(f'{names} are reachable')

    async def _stall_starts(
        self, workers: list[task_worker.TaskWorker]
    ) -> None:
        if self._stall_rng is None:
            return
        names = ' '.join(worker.id for worker in workers)
        self._note(f'starts of {names} wait')
        for worker in workers:
            worker.faults.stalls_starts = True
        await asyncio.sleep(self._stall_rng.uniform(*_STALL_RANGE_S))

    async def _late(self, duration_s: float) -> None:
        worker = self.rng.choice(list(self.fleet.workers.values()))
        worker.faults.delayed_share = 0.5
        await asyncio.sleep(duration_s)
        worker.faults.delayed_share = 0.0

    async def _finish(self) -> list[str]:
        """Waits for all jobs and returns a line for each unexpected state.

        A worker that a task has crashed is a fault, which may follow the last
        injected one.
        """
        findings = []
        started_s = self.fleet.loop.time()
        for job_id in self.fleet.jobs:
            while True:
                state = await self.fleet.query_state(job_id)
                if state in model.TERMINAL_STATES:
                    break
                quiet_s = max(started_s, self.fleet.last_crash_by_task_s())
                if self.fleet.loop.time() > quiet_s + _RECOVERY_LIMIT_S / 2:
                    findings.append(f'{job_id} is {state} at the end')
                    break
                await asyncio.sleep(0.2)
            findings.extend(self.fleet.unexplained_end(job_id, state))
        return findings


def explore(
    seed: int,
    *,
    deadly: bool = False,
    evacuated: bool = False,
    restarted: bool = False,
    stalled: bool = False,
) -> FuzzResult:
    """Runs one seed in virtual time.

    :param deadly: some tasks crash their workers.
    :param evacuated: operators evacuate availability zones.
    :param restarted: workers restart under their ids and are cut off soon
        after; their next incarnations execute calls for the former ones.
    :param stalled: their starts wait for some time before, while they answer
        all other calls.
    """

    async def main(loop: virtual_time.VirtualLoop) -> FuzzResult:
        exploration = _Exploration(
            seed,
            loop,
            deadly=deadly,
            evacuated=evacuated,
            restarted=restarted,
            stalled=stalled,
        )
        try:
            return await exploration.run()
        finally:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    return virtual_time.run(main)
