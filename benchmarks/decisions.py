"""Replays all traces under several policies and measures each decision.

Prints a table, one JSON line for each trace and deployment, the cost of a
decision at three fleet sizes, and how each stated target came out. All
figures of replays are medians over the seeds.
"""

import argparse
import concurrent.futures
import dataclasses
import gc
import itertools
import json
import random
import statistics
import sys
import time
import typing as t

from amaranthflow import interference
from amaranthflow import placement
from amaranthflow import world
from amaranthflow_standins import outcomes
from amaranthflow_standins import replay
from amaranthflow_standins import replay_policies
from amaranthflow_standins import trace_generator

_SEEDS = 5
_PROCESSES = 5
_FLEETS = (35, 350, 9_900)
_LARGE_SLOTS = 28
_LARGE_RESERVED = 8
_TASKS_PER_WORKER = 19
_TRIES = 20
_LATENCY_PART = 0.2
_STARTS = 4_000
_ROUNDS = 3
_WAVES = trace_generator.TraceName.NOISY_WAVES
_SHIFT = trace_generator.TraceName.LOAD_SHIFT
_DAY = trace_generator.TraceName.ORDINARY_DAY


class _Case(t.NamedTuple):
    deployment: str
    trace: trace_generator.TraceName
    policy: str
    seed: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Cost:
    """Cost of decisions in one loop at one fleet size."""

    workers: int
    running: int
    decision_us: float
    starts_per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Target:
    """A stated target and what was measured."""

    text: str
    measured: float
    bound: float
    at_most: bool

    @property
    def met(self) -> bool:
        if self.at_most:
            return self.measured <= self.bound
        return self.measured >= self.bound


_Results = dict[_Case, outcomes.Outcome]


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=_SEEDS)
    parser.add_argument('--processes', type=int, default=_PROCESSES)
    args = parser.parse_args()
    costs = [_measure_cost(workers) for workers in _FLEETS]
    results = _replay_all(args.seeds, args.processes)
    print('trace policy: p50/p99/p99.9 of each service against its limit')
    for deployment, trace in _places():
        for policy in _policies(trace):
            found = _of(results, deployment, trace, policy)
            print(_row(deployment, trace, policy, found))
    for deployment, trace in _places():
        print(_json_line(results, deployment, trace))
    for cost in costs:
        print(json.dumps(dataclasses.asdict(cost)))
    for target in _targets(results, costs):
        mark = 'met' if target.met else 'MISSED'
        sign = '<=' if target.at_most else '>='
        print(
            f'{mark:6} {target.text}:'
            f' {target.measured:.3g} {sign} {target.bound:g}'
        )


def _places():
    names = [one.name for one in trace_generator.DEPLOYMENTS]
    return list(itertools.product(names, trace_generator.TraceName))


def _policies(trace: trace_generator.TraceName) -> tuple[str, ...]:
    if trace in (_WAVES, _SHIFT, _DAY):
        return ('whole', 'naive', 'evicting')
    return ('whole', 'naive')


def _make(policy: str, capacity: world.Size, slots: int, seed: int):
    match policy:
        case 'naive':
            return replay_policies.FirstFitPolicy()
        case 'evicting':
            return replay_policies.EvictingPolicy(
                capacity=capacity, slots=slots, seed=seed
            )
    return replay_policies.FullPolicy(
        capacity=capacity, slots=slots, seed=seed
    )


def _run(case: _Case) -> outcomes.Outcome:
    events = trace_generator.generate(
        name=case.trace,
        deployment=trace_generator.deployment(case.deployment),
        seed=case.seed,
    )
    return replay.Replay(
        events=events,
        make_policy=lambda *arguments: _make(case.policy, *arguments),
    ).run()


def _replay_all(seeds: int, processes: int) -> _Results:
    cases = [
        _Case(deployment, trace, policy, seed)
        for deployment, trace in _places()
        for policy in _policies(trace)
        for seed in range(1, seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        found = list(pool.map(_run, cases))
    return dict(zip(cases, found, strict=True))


def _of(results: _Results, deployment, trace, policy):
    return [
        outcome
        for case, outcome in results.items()
        if case[:3] == (deployment, trace, policy)
    ]


def _median(found: list[outcomes.Outcome], name: str) -> float:
    return statistics.median(getattr(one, name) for one in found)


def _service_medians(found: list[outcomes.Outcome], index: int) -> dict:
    services = [one.services[index] for one in found]
    medians = {
        name: round(statistics.median(getattr(one, name) for one in services))
        for name in ('p50_ms', 'p99_ms', 'p999_ms', 'unanswered', 'requests')
    }
    medians['service'] = services[0].service_id
    medians['tail_limit_ms'] = services[0].tail_limit_ms
    return medians


_MEASURES = {
    'batch_per_hour': 1,
    'jobs_per_hour': 0,
    'evictions': 1,
    'worst_job_evictions': 0,
    'lost': 1,
    'wasted_hours': 3,
    'worst_share': 3,
    'least_class': 2,
    'out_of_memory': 1,
    'decisions_per_s': 0,
    'decision_us': 1,
}


def _summary(found: list[outcomes.Outcome]) -> dict:
    summary = {
        name: round(_median(found, name), digits)
        for name, digits in _MEASURES.items()
    }
    summary['services'] = [
        _service_medians(found, index)
        for index in range(len(found[0].services))
    ]
    return summary


def _row(deployment, trace, policy, found) -> str:
    summary = _summary(found)
    services = ' '.join(
        f'{one["service"]}'
        f' {one["p50_ms"]}/{one["p99_ms"]}/{one["p999_ms"]}'
        f' of {one["tail_limit_ms"]}'
        for one in summary['services']
    )
    return (
        f'{deployment} {trace.value} {policy}: {services}'
        f' batch/h {summary["batch_per_hour"]}'
        f' evictions {summary["evictions"]}'
        f' wasted h {summary["wasted_hours"]}'
        f' worst house {summary["worst_share"]}'
        f' decisions/s {summary["decisions_per_s"]}'
    )


def _json_line(results: _Results, deployment, trace) -> str:
    line = {'deployment': deployment, 'trace': trace.value}
    for policy in _policies(trace):
        found = _of(results, deployment, trace, policy)
        line[policy] = _summary(found)
    return json.dumps(line)


def _targets(results: _Results, costs: list[_Cost]) -> list[_Target]:
    targets = []
    for deployment in trace_generator.DEPLOYMENTS:
        for trace in (_WAVES, _SHIFT):
            targets += _tail_targets(results, deployment, trace)
            targets.append(_eviction_target(results, deployment.name, trace))
    targets.append(_throughput_target(results))
    for deployment in trace_generator.DEPLOYMENTS:
        targets.append(_share_target(results, deployment.name))
    growth = costs[-1].decision_us / costs[0].decision_us
    targets.append(
        _Target(
            text='cost of a decision, 9,900 workers over 35',
            measured=growth,
            bound=3,
            at_most=True,
        )
    )
    targets.append(
        _Target(
            text='starts a second at 9,900 workers',
            measured=costs[-1].starts_per_s,
            bound=4_100,
            at_most=False,
        )
    )
    return targets


def _tail_targets(results, deployment, trace) -> list[_Target]:
    targets = []
    for index, service in enumerate(deployment.services):
        whole, naive = (
            _service_medians(
                _of(results, deployment.name, trace, policy), index
            )
            for policy in ('whole', 'naive')
        )
        targets.append(
            _Target(
                text=f'{deployment.name} {trace.value} {service.name}'
                ' p99 over naive',
                measured=whole['p99_ms'] / naive['p99_ms'],
                bound=0.5,
                at_most=True,
            )
        )
    return targets


def _eviction_target(results, deployment, trace) -> _Target:
    whole, evicting = (
        _median(_of(results, deployment, trace, policy), 'evictions')
        for policy in ('whole', 'evicting')
    )
    return _Target(
        text=f'{deployment} {trace.value} evictions over evicting at once',
        measured=whole / max(1, evicting),
        bound=0.25,
        at_most=True,
    )


def _throughput_target(results: _Results) -> _Target:
    whole, naive = (
        _median(_of(results, 'consortium', _DAY, policy), 'batch_per_hour')
        for policy in ('whole', 'naive')
    )
    return _Target(
        text='consortium ordinary-day batch work over naive',
        measured=whole / naive,
        bound=1.15,
        at_most=False,
    )


def _share_target(results: _Results, deployment: str) -> _Target:
    worst = min(
        _median(_of(results, deployment, trace, 'whole'), 'worst_share')
        for trace in trace_generator.TraceName
    )
    return _Target(
        text=f'{deployment} worst house over its entitlement, worst trace',
        measured=worst,
        bound=0.9,
        at_most=False,
    )


class _Fleet:
    """A fleet at its target load, for the cost of decisions alone."""

    def __init__(self, workers: int):
        self._rng = random.Random(workers)
        self._model = _learned_model(self._rng)
        self._placer = placement.InterferencePlacer(
            model=self._model, slowdown_limit=2.5
        )
        self._ledgers: dict[str, world.WorkerLedger] = {}
        self._running: list[tuple[str, str]] = []
        self._started = 0
        for number in range(workers):
            self._add(number)
        while len(self._running) < workers * _TASKS_PER_WORKER:
            self.start()

    def __len__(self) -> int:
        return len(self._running)

    def _add(self, number: int) -> None:
        rack = number // 32
        worker = world.Worker(
            worker_id=f'w{number}',
            address='',
            rack_id=f'r{rack}',
            zone_id=f'z{rack % 5}',
            capacity=world.Size(cores=64, memory_mb=250_000),
            slots=_LARGE_SLOTS,
            connections=60,
        )
        ledger = world.WorkerLedger(
            worker=worker, reserved_slots=_LARGE_RESERVED
        )
        self._ledgers[worker.worker_id] = ledger
        self._placer.add(ledger)

    def start(self) -> list[float]:
        """Starts a random task; returns the time of each decision in s.

        A task that has to wait leaves its turn to another, as in a queue.
        """
        times = []
        while len(times) < _TRIES:
            task = self._task()
            began = time.perf_counter()
            chosen = self._placer.choose(task)
            times.append(time.perf_counter() - began)
            if chosen is not None:
                self._reserve(task, chosen.worker_id)
                return times
        raise AssertionError('the fleet does not hold its load')

    def _reserve(self, task: world.Task, worker_id: str) -> None:
        if not self._ledgers[worker_id].reserve(task):
            raise AssertionError('the chosen worker has no room')
        self._placer.refresh(worker_id)
        self._running.append((task.task_id, worker_id))

    def end(self) -> None:
        """Ends a random task."""
        index = self._rng.randrange(len(self._running))
        last = self._running.pop()
        if index < len(self._running):
            self._running[index], last = last, self._running[index]
        task_id, worker_id = last
        self._ledgers[worker_id].release(task_id)
        self._placer.refresh(worker_id)

    def _task(self) -> world.Task:
        self._started += 1
        latency = self._rng.random() < _LATENCY_PART
        names = _LATENCY_CLASSES if latency else _BATCH_CLASSES
        kinds = world.TaskKind
        return world.Task(
            task_id=f't{self._started}',
            tenant_id='tenant',
            task_class=self._rng.choice(names),
            kind=kinds.LATENCY if latency else kinds.BATCH,
            size=world.Size(cores=2.0, memory_mb=8_000),
        )


_LATENCY_CLASSES = tuple(f'service-{number}' for number in range(4))
_BATCH_CLASSES = tuple(f'batch-{number}' for number in range(8))


def _learned_model(rng: random.Random) -> interference.InterferenceModel:
    model = interference.InterferenceModel()
    classes = _LATENCY_CLASSES + _BATCH_CLASSES
    for victim, neighbour in itertools.product(classes, classes):
        slowdown = 1.0 + rng.uniform(0.0, 0.1)
        for _ in range(10):
            model.observe(victim, {neighbour: 1}, slowdown, 0, 0)
    return model


def _measure_cost(workers: int) -> _Cost:
    """Ends and starts tasks at a constant load; the best of three rounds.

    A start counts with the end of another task, its reservation and both
    refreshes of the index.
    """
    fleet = _Fleet(workers)
    gc.collect()
    gc.freeze()
    costs = [_measure_round(workers, fleet) for _ in range(_ROUNDS)]
    gc.unfreeze()
    return max(costs, key=lambda cost: cost.starts_per_s)


def _measure_round(workers: int, fleet: _Fleet) -> _Cost:
    times = []
    began = time.perf_counter()
    for _ in range(_STARTS):
        fleet.end()
        times += fleet.start()
    total_s = time.perf_counter() - began
    return _Cost(
        workers=workers,
        running=len(fleet),
        decision_us=round(statistics.mean(times) * 1e6, 1),
        starts_per_s=round(_STARTS / total_s),
    )


if __name__ == '__main__':
    sys.exit(main())
