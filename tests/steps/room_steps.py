"""Steps for the scheduler's room.feature: a nearly full pool is played."""

import collections
import dataclasses
import math
import random

import behave

from amaranthflow import ids
from amaranthflow_scheduler import admission
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import job_ranking
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import room
from amaranthflow_scheduler import scheduler
from amaranthflow_scheduler import service_lifetimes
from amaranthflow_scheduler import short_jobs
from amaranthflow_scheduler import workers
from amaranthflow_standins import task_fleet

_POOL = ids.ServiceId('workers')
_QUEUE = model.Queue(
    id=model.QueueId('q'),
    host='h',
    prefix='/p/',
    service=_POOL,
    max_attempts=3,
    stretch=1.5,
    target_ms=300,
)
_CORES = (64, 64, 96)
_TICK_S = 0.1
_REPORT_INTERVAL_S = 0.5
_IMAGES = 6
# The leader has been elected for longer than it takes to read all jobs.
_START_S = 5.0


def _entry(name, cores):
    return model.WorkerEntry(
        id=ids.WorkerId(name),
        service=_POOL,
        address=name,
        zone=ids.ZoneId('z'),
        state=model.WorkerState.READY,
        capacity=model.Resources(cores * 1000, 1_000_000, 0),
    )


def _job(job_id, *steps, at_s=0.0, priority=0):
    return model.Job(
        id=ids.JobId(job_id),
        queue=dataclasses.replace(_QUEUE, priority=priority),
        payload='',
        steps=steps,
        accepted_ms=round(at_s * 1000),
    )


def _service(job_id, tasks, cores, image='', at_s=0.0, priority=0):
    step = model.Step(
        count=tasks,
        resources=model.Resources(round(cores * 1000), 100, 0),
        service=True,
        image=image,
        tail_target_ms=50,
    )
    return _job(job_id, step, at_s=at_s, priority=priority)


def _short(job_id, tasks, cores, seconds, at_s=0.0, priority=0):
    step = model.Step(
        count=tasks,
        resources=model.Resources(round(cores * 1000), 100, 0),
        estimate_ms=round(seconds * 1000),
    )
    return _job(job_id, step, at_s=at_s, priority=priority)


class _Play:
    """A scheduler with workers that run what they are told."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.core = scheduler.Scheduler(
            limits=task_fleet.LIMITS, token=model.Token(1), now_s=0.0
        )
        self.now_s = _START_S
        self._ends = []
        self._end_numbers = collections.Counter()
        for number in range(count):
            entry = _entry(f'w{number:03}', _CORES[number % len(_CORES)])
            self.core.on_entry_changed(entry, self.now_s)
            self.core.workers[entry.id].lease_end_s = math.inf
        self._report_all()

    @property
    def _now_ms(self):
        return round(self.now_s * 1000)

    def service_share(self):
        """Returns the share of the processors that services hold."""
        fleet = self.core.workers.values()
        held = sum(worker.service_cpu for worker in fleet)
        return held / sum(worker.entry.capacity.cpu for worker in fleet)

    def submit(self, job):
        """Submits a job; returns whether it was accepted."""
        if self.core.refusal(job, self.now_s, self._now_ms) is not None:
            return False
        self.core.add_job(job)
        self.core.on_arrival(job, self.now_s)
        return True

    def submit_service(self):
        """Submits a service of usual sizes."""
        job = _service(
            f's{len(self.core.jobs)}',
            tasks=self.rng.randint(4, 8),
            cores=self.rng.uniform(8.5, 18.0),
            image=f'i{self.rng.randrange(_IMAGES)}',
            at_s=self.now_s,
        )
        return self.submit(job)

    def submit_short(self, name):
        """Submits a short wide job and returns it."""
        cores = min(34.0, self.rng.lognormvariate(2.2, 0.45))
        job = _short(
            name,
            tasks=self.rng.randint(3, 8),
            cores=cores,
            seconds=self.rng.uniform(0.3, 0.8),
            at_s=self.now_s,
        )
        assert self.submit(job)
        return job

    def advance(self):
        """Plays one tick."""
        self.now_s += _TICK_S
        self._report_all()
        self.core.tick(self.now_s, self._now_ms)
        self.core.plan(self.now_s, self._now_ms)
        for command in self.core.take_commands():
            if isinstance(command, commands.Start):
                self._start(command.attempt)
            elif isinstance(command, commands.Stop):
                self._stop(command.attempt)

    def _start(self, attempt):
        self.core.on_sent(attempt)
        self.core.on_started(attempt, self.now_s)
        step = attempt.task.step_run.step
        if not step.service:
            end_s = self.now_s + step.estimate_ms / 1000
            self._ends.append((end_s, attempt, model.RunOutcome.DONE))

    def _stop(self, attempt):
        self.core.on_stopped(attempt, self.now_s)
        self._ends.append((self.now_s, attempt, model.RunOutcome.STOPPED))

    def _report_all(self):
        ended = collections.defaultdict(list)
        due = [row for row in self._ends if row[0] <= self.now_s + 1e-6]
        self._ends = [row for row in self._ends if row not in due]
        for _, attempt, outcome in due:
            ended[attempt.worker].append((attempt, outcome))
        for worker in list(self.core.workers.values()):
            last_s = worker.last_report_s
            if (
                worker.id in ended
                or last_s is None
                or self.now_s - last_s >= _REPORT_INTERVAL_S
            ):
                self._report(worker, ended.get(worker.id, []))

    def _report(self, worker, ended):
        ends = []
        for attempt, outcome in ended:
            self._end_numbers[worker.id] += 1
            ends.append(
                ports.RunEnd(
                    self._end_numbers[worker.id],
                    attempt.task.key,
                    attempt.run,
                    outcome,
                    '',
                )
            )
        gone = {id(attempt) for attempt, _ in ended}
        running = [
            ports.RunProgress(attempt.task.key, attempt.run, '', 100.0, 5.0)
            for attempt in worker.attempts
            if id(attempt) not in gone
        ]
        report = ports.WorkerReport(
            clock_ms=self._now_ms, born_ms=1, running=running, ended=ends
        )
        self.core.on_report(
            worker, report, self.now_s, self.now_s, self._now_ms
        )


# load


@behave.given(
    'a room play of {count:d} workers with seed {seed:d}, {percent:d}% of '
    'them held by services'
)
def step_play(context, count, seed, percent):
    context.play = _Play(count, seed)
    refused = 0
    while context.play.service_share() < percent / 100 and refused < 20:
        refused += not context.play.submit_service()
        context.play.advance()


@behave.when(
    'room for short wide jobs is wanted for {seconds:d} s, {rate:g} jobs a '
    'second, while a service comes each {interval:g} s'
)
def step_burst(context, seconds, rate, interval):
    play = context.play
    jobs = []
    context.services = context.services_accepted = 0
    ticks = round(seconds / _TICK_S)
    for tick in range(ticks):
        while len(jobs) < rate * tick * _TICK_S:
            jobs.append(play.submit_short(f'j{len(jobs)}'))
        if tick % round(interval / _TICK_S) == 0:
            context.services += 1
            context.services_accepted += play.submit_service()
        play.advance()
    for _ in range(round(3 / _TICK_S)):
        play.advance()
    context.job_runs = [play.core.jobs[job.id] for job in jobs]


@behave.then('at least {percent:d}% of the short wide jobs are on time')
def step_on_time(context, percent):
    on_time = sum(
        job_run.ended
        and job_run.ended_ms - job_run.job.accepted_ms
        <= job_ranking.objective_ms(job_run)
        for job_run in context.job_runs
    )
    share = on_time / len(context.job_runs)
    assert share >= percent / 100, (on_time, len(context.job_runs))


@behave.then('room was found for at least {count:d} of these services')
def step_services(context, count):
    assert context.services_accepted >= count, (
        context.services_accepted,
        context.services,
    )


# the view of a pool


def _worker(name, free):
    """Returns a worker of 64 cores, of which a service holds the rest."""
    worker = workers.Worker(entry=_entry(name, 64), lease_end_s=0.0)
    job_run = execution.JobRun(job=_service(f's-{name}', 1, 64 - free))
    job_run.open_due_occurrences(0)
    task = job_run.open_occurrences[0][0].tasks[0]
    attempt = execution.Attempt(
        task=task,
        worker=worker.id,
        run=model.RunNumber(1),
        state=execution.AttemptState.RUNNING,
    )
    worker.attach(attempt)
    return worker


@behave.given('room workers of 64 cores with {free} cores free')
def step_workers(context, free):
    context.workers = [
        _worker(f'w{number}', int(cores))
        for number, cores in enumerate(free.split())
    ]
    context.room = room.Room(
        (worker, worker.free()) for worker in context.workers
    )


@behave.then('{count:d} tasks of {cores:d} cores fit into the room')
def step_fit(context, count, cores):
    need = model.Resources(cores * 1000, 100, 0)
    assert context.room.fits(need) == count, context.room.fits(need)


@behave.when('{count:d} tasks of {cores:g} cores take room')
def step_take(context, count, cores):
    need = model.Resources(round(cores * 1000))
    step = model.Step(count=count, resources=need)
    context.room.fill(room.Demand(step, count))


@behave.then('the largest piece of room is {cores:d} cores')
def step_largest(context, cores):
    assert context.room.largest_cpu() == cores * 1000


# admission


@behave.given(
    'short jobs of {tasks:d} tasks of {cores:d} cores for 1 s, priority '
    '{priority:d}, have come each second for {seconds:d} s'
)
def step_arrivals(context, tasks, cores, priority, seconds):
    context.admission = admission.Admission()
    for second in range(seconds):
        job = _short(f'j{second}', tasks, cores, 1.0, priority=priority)
        context.admission.short_jobs.on_accepted(_POOL, job, float(second))
    context.now_s = float(seconds)


@behave.when(
    'a service of {tasks:d} tasks of {cores:d} cores, priority {priority:d}, '
    'asks for room after {seconds:d} s'
)
def step_ask(context, tasks, cores, priority, seconds):
    pool = admission.Pool(
        id=_POOL, complete=True, workers=context.workers, job_runs=[]
    )
    job = _service('new', tasks, cores, priority=priority)
    context.refusal = context.admission.refusal(
        job, pool, context.now_s + seconds, 0
    )


@behave.then('the answer to the service is "{reason}"')
def step_answer(context, reason):
    refusal = context.refusal
    assert (refusal.reason if refusal else 'accepted') == reason, refusal


@behave.given(
    'a leader of a room pool that was elected {seconds:d} s ago and has '
    'restored {jobs:d} jobs'
)
def step_leader(context, seconds, jobs):
    context.core = scheduler.Scheduler(
        limits=task_fleet.LIMITS, token=model.Token(2), now_s=0.0
    )
    for number in range(jobs):
        context.core.restore_job(_short(f'j{number}', 1, 1, 1.0), None, 0.0)
    context.core.on_restored(0.0, 0, store_was_lost=False)
    context.core.on_entry_changed(_entry('w1', 64), 0.0)
    context.now_s = float(seconds)


@behave.when('a service that fits no worker asks it for room')
def step_ask_leader(context):
    job = _service('new', 1, 65)
    context.refusal = context.core.refusal(job, context.now_s, 0)


@behave.given('{ended:d} services of a room pool ended after {seconds:d} s')
def step_ended(context, ended, seconds):
    context.lifetimes = service_lifetimes.ServiceLifetimes()
    for _ in range(ended):
        context.lifetimes.on_ended(_POOL, float(seconds))


@behave.then(
    '{cpu:d} cores come free in {wait:g} s beside {count:d} services of '
    '{held:d} cores that are {age:d} s old'
)
def step_wait(context, cpu, wait, count, held, age):
    running = [service_lifetimes.RunningService(held * 1000, float(age))]
    found = context.lifetimes.wait_s(_POOL, cpu * 1000, running * count)
    assert abs(found - wait) < 0.01, found


@behave.given('an earlier leader accepted short jobs for {seconds:d} s')
def step_earlier(context, seconds):
    context.arrivals = short_jobs.ShortJobs()
    accepted = [
        (_POOL, _short(f'j{n}', 10, 1, 1.0, at_s=n / 10))
        for n in range(seconds * 10)
    ]
    context.arrivals.restore(accepted, 100.0, seconds * 1000)


@behave.then('a new leader expects them to need about {cores:d} cores')
def step_expects(context, cores):
    demands = context.arrivals.expected(_POOL, 0, float('inf'), 100.0)
    found = sum(d.tasks * d.step.resources.cpu for d in demands) / 1000
    assert abs(found - cores) <= 0.1 * cores, found


@behave.then(
    'at most {percent:d}% of the room lies in pieces below {cores:d} cores'
)
def step_pieces(context, percent, cores):
    fleet = context.play.core.workers.values()
    free = [worker.free().cpu for worker in fleet]
    small = sum(cpu for cpu in free if cpu < cores * 1000)
    assert small <= percent / 100 * sum(free), (small, sum(free))
