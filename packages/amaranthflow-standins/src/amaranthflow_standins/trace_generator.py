"""Generates seeded traces of the two deployments at their present sizes.

The actual interference, run times and sizes are drawn at random. Schedulers
under replay see only declared values and usage reports.
"""

import dataclasses
import enum
import heapq
import random
import typing as t

from amaranthflow_schema.v1 import trace_pb2
from amaranthflow_schema.v1 import world_pb2

END_MS = 600_000
_REPORT_PERIOD_MS = 5_000
_REPORT_DELAY_MS = 6_000
_RUN_SIGMA = 0.2
_ZONES = 4
_SLOTS = 8
_CONNECTIONS = 60
_RESERVED_SLOTS = 3
_BACKLOG_PER_SLOT = 2
_OFFERED_LOAD = 1.5
_FIRST_TENANT_SHARE = 0.4


class TraceName(enum.Enum):
    """Names of the situations that traces cover."""

    ORDINARY_DAY = 'ordinary-day'
    NOISY_WAVES = 'noisy-waves'
    LOAD_SHIFT = 'load-shift'
    WRONG_SIZES = 'wrong-sizes'
    CANCELLATION_WAVE = 'cancellation-wave'
    FAILING_WORKERS = 'failing-workers'
    RACK_LOSS = 'rack-loss'
    BOOKED_MOVE = 'booked-move'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceProfile:
    """A latency-critical service: its requests and their arrival rate.

    :ivar per_s: mean arrival rate.
    :ivar sensitivity: factor on the interference of its neighbours.
    """

    name: str
    run_ms: int
    cores: float
    memory_mb: int
    tail_limit_ms: int
    timeout_ms: int
    per_s: float
    sensitivity: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchProfile:
    """A class of batch tasks.

    :ivar noise: mean slowdown that one task adds to a neighbour.
    """

    name: str
    run_ms: int
    cores: float
    memory_mb: int
    noise: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Machines, services, batch classes and tenants of one installation."""

    name: str
    workers: int
    rack_size: int
    cores: int
    memory_mb: int
    tenants: int
    services: tuple[ServiceProfile, ...]
    batch: tuple[BatchProfile, ...]


CONSORTIUM = Deployment(
    name='consortium',
    workers=35,
    rack_size=8,
    cores=32,
    memory_mb=125_000,
    tenants=6,
    services=(
        ServiceProfile(
            name='plan',
            run_ms=2_000,
            cores=2.0,
            memory_mb=3_000,
            tail_limit_ms=6_000,
            timeout_ms=15_000,
            per_s=10.0,
            sensitivity=1.2,
        ),
        ServiceProfile(
            name='quote',
            run_ms=900,
            cores=1.0,
            memory_mb=1_500,
            tail_limit_ms=2_700,
            timeout_ms=8_000,
            per_s=20.0,
            sensitivity=0.8,
        ),
    ),
    batch=(
        BatchProfile(
            name='sort', run_ms=60_000, cores=3.5, memory_mb=18_000, noise=0.5
        ),
        BatchProfile(
            name='nest', run_ms=80_000, cores=4.0, memory_mb=14_000, noise=0.06
        ),
        BatchProfile(
            name='grade',
            run_ms=40_000,
            cores=2.0,
            memory_mb=11_000,
            noise=0.15,
        ),
        BatchProfile(
            name='bill', run_ms=50_000, cores=1.5, memory_mb=20_000, noise=0.03
        ),
    ),
)

KERBRAT = Deployment(
    name='kerbrat',
    workers=25,
    rack_size=6,
    cores=64,
    memory_mb=250_000,
    tenants=5,
    services=(
        ServiceProfile(
            name='preview',
            run_ms=700,
            cores=2.0,
            memory_mb=3_000,
            tail_limit_ms=2_100,
            timeout_ms=6_000,
            per_s=20.0,
            sensitivity=1.3,
        ),
        ServiceProfile(
            name='layout',
            run_ms=1_600,
            cores=4.0,
            memory_mb=6_000,
            tail_limit_ms=4_800,
            timeout_ms=12_000,
            per_s=8.0,
            sensitivity=0.8,
        ),
    ),
    batch=(
        BatchProfile(
            name='proof', run_ms=90_000, cores=8.0, memory_mb=36_000, noise=0.5
        ),
        BatchProfile(
            name='promotion',
            run_ms=50_000,
            cores=6.0,
            memory_mb=26_000,
            noise=0.15,
        ),
        BatchProfile(
            name='labels',
            run_ms=40_000,
            cores=4.0,
            memory_mb=28_000,
            noise=0.05,
        ),
        BatchProfile(
            name='archive',
            run_ms=60_000,
            cores=3.0,
            memory_mb=38_000,
            noise=0.03,
        ),
    ),
)

DEPLOYMENTS = (CONSORTIUM, KERBRAT)


def deployment(name: str) -> Deployment:
    """Returns a deployment by its name."""
    return next(
        candidate for candidate in DEPLOYMENTS if candidate.name == name
    )


def generate(
    *,
    name: TraceName,
    deployment: Deployment,
    seed: int,
    end_ms: int = END_MS,
) -> list[trace_pb2.TraceEvent]:
    """Returns the events of a trace in order of time.

    Equal arguments give equal traces.

    :param end_ms: length of the trace. The first tenth is warm-up; the
        incident that the trace is named after comes after two fifths.
    """
    builder = _Builder(name, deployment, seed, end_ms)
    streams = [
        builder.setup(),
        builder.requests(),
        builder.jobs(),
        builder.incidents(),
    ]
    return list(heapq.merge(*streams, key=lambda event: event.at_ms))


class _DeclarationError(t.NamedTuple):
    """Ratios of declared to actual sizes.

    :ivar actual_memory: factor on the actual memory usage of the class.
    """

    cores: float
    memory: float
    actual_memory: float = 1.0


_DECLARED_TEN_TIMES_MORE = _DeclarationError(10.0, 10.0)
_DECLARED_TEN_TIMES_LESS = _DeclarationError(0.1, 0.1, actual_memory=2.5)


class _Builder:
    def __init__(
        self, name: TraceName, deployment: Deployment, seed: int, end_ms: int
    ):
        self._name = name
        self._deployment = deployment
        self._seed = seed
        self._end_ms = end_ms
        self._incident_ms = end_ms * 2 // 5
        self._declaration_errors = self._draw_declaration_errors()
        self._jobs = self._draw_jobs()

    def _rng(self, stream: str) -> random.Random:
        name = self._deployment.name
        return random.Random(f'{self._name}/{name}/{self._seed}/{stream}')

    def setup(self) -> t.Iterator[trace_pb2.TraceEvent]:
        yield _event(
            0,
            header=trace_pb2.TraceHeader(
                name=self._name.value,
                deployment=self._deployment.name,
                seed=self._seed,
                warm_up_ms=self._end_ms // 10,
                end_ms=self._end_ms,
                report_period_ms=_REPORT_PERIOD_MS,
                report_delay_ms=_REPORT_DELAY_MS,
            ),
        )
        for number in range(self._deployment.workers):
            yield _event(0, worker=self._worker(number))
        for number in range(self._deployment.tenants):
            tenant = world_pb2.Tenant(tenant_id=_tenant(number), weight=1.0)
            yield _event(0, tenant=tenant)
        for profile in self._deployment.services:
            yield _event(0, service=_service(profile))
        yield from self._pairs(0, self._rng('pairs'))

    def requests(self) -> t.Iterator[trace_pb2.TraceEvent]:
        streams = [
            self._requests_of(profile) for profile in self._deployment.services
        ]
        yield from heapq.merge(*streams, key=lambda event: event.at_ms)

    def jobs(self) -> t.Iterator[trace_pb2.TraceEvent]:
        for at_ms, arrival in self._jobs:
            yield _event(at_ms, job=arrival)

    def incidents(self) -> t.Iterator[trace_pb2.TraceEvent]:
        match self._name:
            case TraceName.NOISY_WAVES:
                yield from self._noisy_waves()
            case TraceName.LOAD_SHIFT:
                yield from self._pairs(
                    self._incident_ms, self._rng('shift'), 2
                )
            case TraceName.CANCELLATION_WAVE:
                yield from self._cancellations()
            case TraceName.FAILING_WORKERS:
                yield from self._failing_workers()
            case TraceName.RACK_LOSS:
                yield from self._rack(
                    self._incident_ms, trace_pb2.WORKER_MODE_DOWN
                )
                yield from self._rack(
                    self._incident_ms * 7 // 4, trace_pb2.WORKER_MODE_RUNNING
                )
            case TraceName.BOOKED_MOVE:
                yield from self._booked_move()

    def _worker(self, number: int) -> world_pb2.Worker:
        rack = number // self._deployment.rack_size
        return world_pb2.Worker(
            worker_id=f'w{number:02}',
            address=f'127.0.0.1:{20_000 + number}',
            rack_id=f'r{rack}',
            zone_id=f'z{rack % _ZONES}',
            capacity=world_pb2.Size(
                cores=self._deployment.cores,
                memory_mb=self._deployment.memory_mb,
            ),
            slots=_SLOTS,
            connections=_CONNECTIONS,
        )

    def _pairs(
        self, at_ms: int, rng: random.Random, rotation: int = 0
    ) -> t.Iterator[trace_pb2.TraceEvent]:
        """Draws the interference of each pair of classes.

        :param rotation: shift of the noise between the batch classes.
        """
        classes = self._deployment.batch
        for number, profile in enumerate(classes):
            noise = classes[(number + rotation) % len(classes)].noise
            for service in self._deployment.services:
                excess = noise * service.sensitivity * rng.uniform(0.6, 1.4)
                yield _pair(at_ms, service.name, profile.name, excess)
                yield _pair(at_ms, profile.name, service.name, 0.03)
            for victim in classes:
                excess = 0.5 * noise * rng.uniform(0.4, 1.6)
                yield _pair(at_ms, victim.name, profile.name, excess)
        for victim in self._deployment.services:
            for service in self._deployment.services:
                yield _pair(at_ms, victim.name, service.name, 0.03)

    def _noisy_waves(self) -> t.Iterator[trace_pb2.TraceEvent]:
        rng = self._rng('waves')
        noisy = max(self._deployment.batch, key=lambda profile: profile.noise)
        for start_ms in range(
            self._end_ms // 5, self._end_ms, self._end_ms // 4
        ):
            for service in self._deployment.services:
                normal_excess = noisy.noise * service.sensitivity
                wave_excess = normal_excess * rng.uniform(3.0, 5.0)
                yield _pair(start_ms, service.name, noisy.name, wave_excess)
            for service in self._deployment.services:
                normal_excess = noisy.noise * service.sensitivity
                end_ms = start_ms + self._end_ms // 10
                yield _pair(end_ms, service.name, noisy.name, normal_excess)

    def _requests_of(
        self, profile: ServiceProfile
    ) -> t.Iterator[trace_pb2.TraceEvent]:
        rng = self._rng(f'requests/{profile.name}')
        at_s = 0.0
        number = 0
        while True:
            at_s += rng.expovariate(self._rate(profile, at_s))
            if at_s * 1000 >= self._end_ms:
                return
            number += 1
            truth = trace_pb2.TaskTruth(
                run_ms=_run_ms(rng, profile.run_ms),
                cores=profile.cores,
                peak_memory_mb=profile.memory_mb,
            )
            arrival = trace_pb2.RequestArrival(
                request_id=f'{profile.name}-{number}',
                service_id=profile.name,
                truth=truth,
            )
            yield _event(int(at_s * 1000), request=arrival)

    def _rate(self, profile: ServiceProfile, at_s: float) -> float:
        """Returns requests per second; the mean rate times 0.5 to 1.5."""
        daytime = 1.0 - abs(2.0 * at_s * 1000 / self._end_ms - 1.0)
        rate = profile.per_s * (0.5 + daytime)
        first = profile is self._deployment.services[0]
        if at_s * 1000 >= self._incident_ms:
            if self._name is TraceName.LOAD_SHIFT:
                rate *= 0.5 if first else 2.0
            if self._name is TraceName.BOOKED_MOVE and not first:
                rate *= 1.5
        return rate

    def _draw_declaration_errors(
        self,
    ) -> dict[tuple[int, str], '_DeclarationError']:
        """Draws the error of each tenant's declaration of each class."""
        rng = self._rng('declared')
        errors = {}
        for tenant in range(self._deployment.tenants):
            for profile in self._deployment.batch:
                error = _DeclarationError(
                    rng.uniform(1.0, 1.6), rng.uniform(1.2, 2.5)
                )
                if self._name is TraceName.WRONG_SIZES:
                    error = rng.choice(
                        (_DECLARED_TEN_TIMES_LESS, _DECLARED_TEN_TIMES_MORE)
                    )
                errors[tenant, profile.name] = error
        return errors

    def _draw_jobs(self) -> list[tuple[int, trace_pb2.JobArrival]]:
        rng = self._rng('jobs')
        slots = self._deployment.workers * (_SLOTS - _RESERVED_SLOTS)
        mean_s = (
            sum(profile.run_ms for profile in self._deployment.batch) / 1000
        )
        mean_s /= len(self._deployment.batch)
        per_s = _OFFERED_LOAD * slots / mean_s
        times = [rng.uniform(0, 5.0) for _ in range(slots * _BACKLOG_PER_SLOT)]
        at_s = 5.0
        while at_s * 1000 < self._end_ms:
            times.append(at_s)
            at_s += rng.expovariate(per_s)
        return [
            (int(at_s * 1000), self._job(number, rng))
            for number, at_s in enumerate(sorted(times))
        ]

    def _job(self, number: int, rng: random.Random) -> trace_pb2.JobArrival:
        tenant = 0
        if rng.random() >= _FIRST_TENANT_SHARE:
            tenant = rng.randrange(1, self._deployment.tenants)
        profile = rng.choice(self._deployment.batch)
        error = self._declaration_errors[tenant, profile.name]
        memory_mb = profile.memory_mb * error.actual_memory
        job = world_pb2.Job(
            job_id=f'job-{number}',
            tenant_id=_tenant(tenant),
            task_class=profile.name,
            declared=self._declared(profile.cores, memory_mb, error),
            idempotent=True,
        )
        truth = trace_pb2.TaskTruth(
            run_ms=_run_ms(rng, profile.run_ms),
            cores=profile.cores,
            peak_memory_mb=int(memory_mb * rng.uniform(0.85, 1.0)),
        )
        return trace_pb2.JobArrival(job=job, truth=truth)

    def _declared(
        self, cores: float, memory_mb: float, error: '_DeclarationError'
    ) -> world_pb2.Size:
        return world_pb2.Size(
            cores=min(cores * error.cores, self._deployment.cores),
            memory_mb=min(
                int(memory_mb * error.memory), self._deployment.memory_mb
            ),
        )

    def _cancellations(self) -> t.Iterator[trace_pb2.TraceEvent]:
        rng = self._rng('cancellations')
        for at_ms, arrival in self._jobs:
            if at_ms < self._incident_ms and rng.random() < 0.6:
                cancellation = trace_pb2.JobCancellation(
                    job_id=arrival.job.job_id
                )
                yield _event(self._incident_ms, cancellation=cancellation)

    def _failing_workers(self) -> t.Iterator[trace_pb2.TraceEvent]:
        rng = self._rng('failing')
        for number in rng.sample(range(self._deployment.workers), 2):
            yield _event(
                self._incident_ms // 2,
                worker_change=trace_pb2.WorkerChange(
                    worker_id=f'w{number:02}',
                    mode=trace_pb2.WORKER_MODE_FAILING,
                ),
            )

    def _rack(self, at_ms: int, mode: int) -> t.Iterator[trace_pb2.TraceEvent]:
        for number in range(self._deployment.rack_size):
            change = trace_pb2.WorkerChange(
                worker_id=f'w{self._deployment.rack_size + number:02}',
                mode=mode,
            )
            yield _event(at_ms, worker_change=change)

    def _booked_move(self) -> t.Iterator[trace_pb2.TraceEvent]:
        """Removes a rack by a booked change while the second service grows."""
        booked_ms = self._incident_ms * 3 // 4
        growth = world_pb2.Size(
            cores=2 * self._deployment.services[-1].cores,
            memory_mb=2 * self._deployment.services[-1].memory_mb,
        )
        for number in range(self._deployment.workers):
            reserve = trace_pb2.BookedReserve(
                worker_id=f'w{number:02}', size=growth
            )
            yield _event(booked_ms, reserve=reserve)
        yield from self._rack(booked_ms, trace_pb2.WORKER_MODE_LEAVING)
        yield from self._rack(self._incident_ms, trace_pb2.WORKER_MODE_DOWN)


def _event(at_ms: int, **kind) -> trace_pb2.TraceEvent:
    return trace_pb2.TraceEvent(at_ms=at_ms, **kind)


def _pair(
    at_ms: int, victim: str, neighbour: str, excess: float
) -> trace_pb2.TraceEvent:
    pair = trace_pb2.PairTruth(
        victim=victim, neighbour=neighbour, excess=round(excess, 4)
    )
    return _event(at_ms, pair=pair)


def _tenant(number: int) -> str:
    return f'tenant-{number}'


def _service(profile: ServiceProfile) -> world_pb2.Service:
    return world_pb2.Service(
        service_id=profile.name,
        tenant_id=_tenant(0),
        size=world_pb2.Size(cores=profile.cores, memory_mb=profile.memory_mb),
        timeout_ms=profile.timeout_ms,
        tail_limit_ms=profile.tail_limit_ms,
        reserved_slots=_RESERVED_SLOTS,
        task_class=profile.name,
    )


def _run_ms(rng: random.Random, mean_ms: int) -> int:
    return max(1, int(mean_ms * rng.lognormvariate(0.0, _RUN_SIGMA)))
