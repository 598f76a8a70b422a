"""Replays all traces under several policies and measures placement decisions.

Prints a table, one JSON line for each trace and deployment, the cost of a
decision at three fleet sizes, and whether each stated target is met. All
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
_FLEET_SIZES = (35, 350, 9_900)
_SLOTS_PER_WORKER = 28
_RESERVED_SLOTS_PER_WORKER = 8
_TASKS_PER_WORKER = 19
_MAX_TRIES = 20
_LATENCY_TASK_SHARE = 0.2
_STARTS_PER_ROUND = 4_000
_ROUNDS = 3
_NOISY_WAVES = trace_generator.TraceName.NOISY_WAVES
_LOAD_SHIFT = trace_generator.TraceName.LOAD_SHIFT
_ORDINARY_DAY = trace_generator.TraceName.ORDINARY_DAY


class _Case(t.NamedTuple):
    deployment: str
    trace: trace_generator.TraceName
    policy: str
    seed: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Cost:
    """Mean cost of placement decisions at one fleet size.

    :ivar running: number of tasks that run during the measurement.
    """

    workers: int
    running: int
    decision_us: float
    starts_per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Target:
    """A stated target and the measured value.

    :ivar is_upper_bound: whether the value must not exceed the bound;
        otherwise it must not fall below it.
    """

    text: str
    measured: float
    bound: float
    is_upper_bound: bool

    @property
    def met(self) -> bool:
        if self.is_upper_bound:
            return self.measured <= self.bound
        return self.measured >= self.bound


_Results = dict[_Case, outcomes.Outcome]


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=_SEEDS)
    parser.add_argument('--processes', type=int, default=_PROCESSES)
    args = parser.parse_args()
    costs = [_measure_cost(workers) for workers in _FLEET_SIZES]
    results = _replay_all(args.seeds, args.processes)
    print(
        'deployment trace policy: p50/p99/p99.9 of each service in ms,'
        ' of its tail limit'
    )
    for deployment, trace in _deployment_traces():
        for policy in _policies(trace):
            seed_outcomes = _seed_outcomes(results, deployment, trace, policy)
            print(_table_row(deployment, trace, policy, seed_outcomes))
    for deployment, trace in _deployment_traces():
        print(_json_line(results, deployment, trace))
    for cost in costs:
        print(json.dumps(dataclasses.asdict(cost)))
    for target in _targets(results, costs):
        mark = 'met' if target.met else 'MISSED'
        sign = '<=' if target.is_upper_bound else '>='
        print(
            f'{mark:6} {target.text}:'
            f' {target.measured:.3g} {sign} {target.bound:g}'
        )


def _deployment_traces():
    names = [deployment.name for deployment in trace_generator.DEPLOYMENTS]
    return list(itertools.product(names, trace_generator.TraceName))


def _policies(trace: trace_generator.TraceName) -> tuple[str, ...]:
    if trace in (_NOISY_WAVES, _LOAD_SHIFT, _ORDINARY_DAY):
        return ('whole', 'naive', 'evicting')
    return ('whole', 'naive')


def _make_policy(policy: str, capacity: world.Size, slots: int, seed: int):
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
        make_policy=lambda *args: _make_policy(case.policy, *args),
    ).run()


def _replay_all(seeds: int, processes: int) -> _Results:
    cases = [
        _Case(deployment, trace, policy, seed)
        for deployment, trace in _deployment_traces()
        for policy in _policies(trace)
        for seed in range(1, seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        replayed = list(pool.map(_run, cases))
    return dict(zip(cases, replayed, strict=True))


def _seed_outcomes(results: _Results, deployment, trace, policy):
    return [
        outcome
        for case, outcome in results.items()
        if case[:3] == (deployment, trace, policy)
    ]


def _median(seed_outcomes: list[outcomes.Outcome], name: str) -> float:
    return statistics.median(
        getattr(outcome, name) for outcome in seed_outcomes
    )


def _service_medians(
    seed_outcomes: list[outcomes.Outcome], index: int
) -> dict:
    services = [outcome.services[index] for outcome in seed_outcomes]
    medians = {
        name: round(
            statistics.median(getattr(service, name) for service in services)
        )
        for name in ('p50_ms', 'p99_ms', 'p999_ms', 'unanswered', 'requests')
    }
    medians['service'] = services[0].service_id
    medians['tail_limit_ms'] = services[0].tail_limit_ms
    return medians


_METRIC_DIGITS = {
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


def _summary(seed_outcomes: list[outcomes.Outcome]) -> dict:
    summary = {
        name: round(_median(seed_outcomes, name), digits)
        for name, digits in _METRIC_DIGITS.items()
    }
    summary['services'] = [
        _service_medians(seed_outcomes, index)
        for index in range(len(seed_outcomes[0].services))
    ]
    return summary


def _table_row(deployment, trace, policy, seed_outcomes) -> str:
    summary = _summary(seed_outcomes)
    services = ' '.join(
        f'{service["service"]}'
        f' {service["p50_ms"]}/{service["p99_ms"]}/{service["p999_ms"]}'
        f' of {service["tail_limit_ms"]}'
        for service in summary['services']
    )
    return (
        f'{deployment} {trace.value} {policy}: {services}'
        f' batch/h {summary["batch_per_hour"]}'
        f' evictions {summary["evictions"]}'
        f' wasted h {summary["wasted_hours"]}'
        f' worst tenant share {summary["worst_share"]}'
        f' decisions/s {summary["decisions_per_s"]}'
    )


def _json_line(results: _Results, deployment, trace) -> str:
    line = {'deployment': deployment, 'trace': trace.value}
    for policy in _policies(trace):
        seed_outcomes = _seed_outcomes(results, deployment, trace, policy)
        line[policy] = _summary(seed_outcomes)
    return json.dumps(line)


def _targets(results: _Results, costs: list[_Cost]) -> list[_Target]:
    targets = []
    for deployment in trace_generator.DEPLOYMENTS:
        for trace in (_NOISY_WAVES, _LOAD_SHIFT):
            targets += _tail_targets(results, deployment, trace)
            targets.append(_eviction_target(results, deployment.name, trace))
    targets.append(_throughput_target(results))
    for deployment in trace_generator.DEPLOYMENTS:
        targets.append(_tenant_share_target(results, deployment.name))
    growth = costs[-1].decision_us / costs[0].decision_us
    targets.append(
        _Target(
            text='cost of a decision, 9,900 workers relative to 35',
            measured=growth,
            bound=3,
            is_upper_bound=True,
        )
    )
    targets.append(
        _Target(
            text='starts per second with 9,900 workers',
            measured=costs[-1].starts_per_s,
            bound=4_100,
            is_upper_bound=False,
        )
    )
    return targets


def _tail_targets(results, deployment, trace) -> list[_Target]:
    targets = []
    for index, service in enumerate(deployment.services):
        full, first_fit = (
            _service_medians(
                _seed_outcomes(results, deployment.name, trace, policy), index
            )
            for policy in ('whole', 'naive')
        )
        targets.append(
            _Target(
                text=f'{deployment.name} {trace.value} {service.name}'
                ' p99 relative to the naive policy',
                measured=full['p99_ms'] / first_fit['p99_ms'],
                bound=0.5,
                is_upper_bound=True,
            )
        )
    return targets


def _eviction_target(results, deployment, trace) -> _Target:
    full, evicting = (
        _median(
            _seed_outcomes(results, deployment, trace, policy), 'evictions'
        )
        for policy in ('whole', 'evicting')
    )
    return _Target(
        text=f'{deployment} {trace.value} evictions'
        ' relative to the evicting policy',
        measured=full / max(1, evicting),
        bound=0.25,
        is_upper_bound=True,
    )


def _throughput_target(results: _Results) -> _Target:
    full, first_fit = (
        _median(
            _seed_outcomes(results, 'consortium', _ORDINARY_DAY, policy),
            'batch_per_hour',
        )
        for policy in ('whole', 'naive')
    )
    return _Target(
        text='consortium ordinary-day batch work relative to the naive policy',
        measured=full / first_fit,
        bound=1.15,
        is_upper_bound=False,
    )


def _tenant_share_target(results: _Results, deployment: str) -> _Target:
    worst = min(
        _median(
            _seed_outcomes(results, deployment, trace, 'whole'), 'worst_share'
        )
        for trace in trace_generator.TraceName
    )
    return _Target(
        text=f'{deployment} lowest share of a tenant relative to its'
        ' entitlement, over all traces',
        measured=worst,
        bound=0.9,
        is_upper_bound=False,
    )


class _Fleet:
    """A fleet at its target load that makes placement decisions only."""

    def __init__(self, workers: int):
        self._rng = random.Random(workers)
        self._model = _trained_model(self._rng)
        self._placer = placement.InterferencePlacer(
            model=self._model, slowdown_limit=2.5
        )
        self._ledgers: dict[str, world.WorkerLedger] = {}
        self._running: list[tuple[str, str]] = []
        self._started = 0
        for number in range(workers):
            self._add_worker(number)
        while len(self._running) < workers * _TASKS_PER_WORKER:
            self.start()

    def __len__(self) -> int:
        return len(self._running)

    def _add_worker(self, number: int) -> None:
        rack = number // 32
        worker = world.Worker(
            worker_id=f'w{number}',
            address='',
            rack_id=f'r{rack}',
            zone_id=f'z{rack % 5}',
            capacity=world.Size(cores=64, memory_mb=250_000),
            slots=_SLOTS_PER_WORKER,
            connections=60,
        )
        ledger = world.WorkerLedger(
            worker=worker, reserved_slots=_RESERVED_SLOTS_PER_WORKER
        )
        self._ledgers[worker.worker_id] = ledger
        self._placer.add(ledger)

    def start(self) -> list[float]:
        """Starts a random task; returns the duration of each decision in s.

        A task that fits on no worker is replaced by another random task, as
        a queue would try the next one.

        :raises AssertionError: none of the tasks tried fits.
        """
        times = []
        while len(times) < _MAX_TRIES:
            task = self._random_task()
            started_at_s = time.perf_counter()
            chosen = self._placer.choose(task)
            times.append(time.perf_counter() - started_at_s)
            if chosen is not None:
                self._reserve(task, chosen.worker_id)
                return times
        raise AssertionError(
            'the fleet has no capacity left for its target load'
        )

    def _reserve(self, task: world.Task, worker_id: str) -> None:
        if not self._ledgers[worker_id].reserve(task):
            raise AssertionError('the chosen worker has no free capacity')
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

    def _random_task(self) -> world.Task:
        self._started += 1
        is_latency = self._rng.random() < _LATENCY_TASK_SHARE
        names = _LATENCY_CLASSES if is_latency else _BATCH_CLASSES
        kinds = world.TaskKind
        return world.Task(
            task_id=f't{self._started}',
            tenant_id='tenant',
            task_class=self._rng.choice(names),
            kind=kinds.LATENCY if is_latency else kinds.BATCH,
            size=world.Size(cores=2.0, memory_mb=8_000),
        )


_LATENCY_CLASSES = tuple(f'service-{number}' for number in range(4))
_BATCH_CLASSES = tuple(f'batch-{number}' for number in range(8))


def _trained_model(rng: random.Random) -> interference.InterferenceModel:
    model = interference.InterferenceModel()
    classes = _LATENCY_CLASSES + _BATCH_CLASSES
    for victim, neighbour in itertools.product(classes, classes):
        slowdown = 1.0 + rng.uniform(0.0, 0.1)
        for _ in range(10):
            model.observe(victim, {neighbour: 1}, slowdown, 0, 0)
    return model


def _measure_cost(workers: int) -> _Cost:
    """Ends and starts tasks at a constant load; returns the best round.

    The time of a start includes the end of another task, the reservation
    and both refreshes of the placement index.
    """
    fleet = _Fleet(workers)
    gc.collect()
    gc.freeze()
    costs = [_measure_round(workers, fleet) for _ in range(_ROUNDS)]
    gc.unfreeze()
    return max(costs, key=lambda cost: cost.starts_per_s)


def _measure_round(workers: int, fleet: _Fleet) -> _Cost:
    times = []
    started_at_s = time.perf_counter()
    for _ in range(_STARTS_PER_ROUND):
        fleet.end()
        times += fleet.start()
    total_s = time.perf_counter() - started_at_s
    return _Cost(
        workers=workers,
        running=len(fleet),
        decision_us=round(statistics.mean(times) * 1e6, 1),
        starts_per_s=round(_STARTS_PER_ROUND / total_s),
    )


if __name__ == '__main__':
    sys.exit(main())
