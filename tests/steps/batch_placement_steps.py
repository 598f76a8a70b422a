"""Steps for batch_placement.feature."""

import random

import behave

from amaranthflow import ids
from amaranthflow_scheduler import batch_placement
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import model
from amaranthflow_scheduler import placement
from amaranthflow_scheduler import tail_latency
from amaranthflow_scheduler import workers

_CORES = 32
_SERVICE_CORES = 16
_SERVICE_TASK_CORES = 8
# Share of the reserved processors that services use.
_SERVICE_USE = 0.5
# Runs beside services leave them a quarter of their target, so that tails bear
# a small shortage.
_MAX_SHORTAGE = 0.125
_TICK_S = 0.1
_OPPORTUNISTIC = (4, 3.5, 1.7)  # tasks of a job, cores and seconds of each
_BATCH = (6, 3.1, 0.8)


def _tasks(name, count, cores, **fields):
    step = model.Step(
        count=count,
        resources=model.Resources(round(cores * 1000), 100, 0),
        image=name[0],
        **fields,
    )
    job = model.Job(
        id=ids.JobId(name),
        queue=model.Queue(
            id=model.QueueId('q'),
            host='h',
            prefix='/p/',
            service=ids.ServiceId('workers'),
        ),
        payload='',
        steps=(step,),
        accepted_ms=0,
    )
    job_run = execution.JobRun(job=job)
    job_run.open_due_occurrences(0)
    return job_run.open_occurrences[0][0].tasks


def _start(task, worker):
    attempt = execution.Attempt(
        task=task,
        worker=worker.id,
        run=model.RunNumber(1),
        state=execution.AttemptState.RUNNING,
    )
    task.add_attempt(attempt)
    worker.attach(attempt)
    return attempt


def _worker(number):
    entry = model.WorkerEntry(
        id=ids.WorkerId(f'w{number}'),
        service=ids.ServiceId('workers'),
        address='',
        zone=ids.ZoneId('z'),
        state=model.WorkerState.READY,
        capacity=model.Resources(_CORES * 1000, 1_000_000, 0),
    )
    worker = workers.Worker(entry=entry, lease_end_s=0.0)
    for task in _tasks(
        f's{number}',
        _SERVICE_CORES // _SERVICE_TASK_CORES,
        _SERVICE_TASK_CORES,
        service=True,
        tail_target_ms=50,
    ):
        _start(task, worker)
    return worker


def _is_short_of_cpu(worker):
    """Returns whether the runs of a worker want far more than it has."""
    wanted = (
        _SERVICE_USE * worker.service_cpu
        + worker.batch_resources().cpu
        + worker.opportunistic_cpu
    )
    return wanted > (1 + _MAX_SHORTAGE) * worker.entry.capacity.cpu


class _Play:
    """Jobs of both kinds on a few workers, task by task."""

    def __init__(self, fleet, seed):
        self.rng = random.Random(seed)
        self.worst_short_share = 0.0
        self.batch_jobs = 0
        self.prompt_batch_jobs = 0
        self._fleet = fleet
        self._tail_model = tail_latency.TailModel()
        self._waiting = []
        self._ends = []
        self._number = 0

    def run(self, seconds, opportunistic_per_s, batch_per_s):
        """Plays jobs that come at random at these rates."""
        for tick in range(round(seconds / _TICK_S)):
            now_s = tick * _TICK_S
            self._end_runs(now_s)
            for _ in range(self._arrivals(opportunistic_per_s)):
                self._submit(_OPPORTUNISTIC, opportunistic=True)
            for _ in range(self._arrivals(batch_per_s)):
                self.batch_jobs += 1
                self.prompt_batch_jobs += self._start_batch(now_s)
            self._start_waiting(now_s)
            short = sum(_is_short_of_cpu(worker) for worker in self._fleet)
            self.worst_short_share = max(
                self.worst_short_share, short / len(self._fleet)
            )

    def _arrivals(self, per_s):
        return int(per_s * _TICK_S + self.rng.random())

    def _end_runs(self, now_s):
        ended = [entry for entry in self._ends if entry[0] <= now_s]
        self._ends = [entry for entry in self._ends if entry[0] > now_s]
        for _, worker, attempt in ended:
            worker.detach(attempt)
            attempt.task.remove_attempt(attempt)

    def _submit(self, kind, **fields):
        count, cores, seconds = kind
        self._number += 1
        name = f'{"o" if fields else "b"}{self._number}'
        tasks = _tasks(name, count, cores, **fields)
        self._waiting += [(task, seconds) for task in tasks]

    def _start_batch(self, now_s):
        """Starts a batch job; returns whether all of its tasks started."""
        before = len(self._waiting)
        self._submit(_BATCH)
        self._start_waiting(now_s)
        return len(self._waiting) <= before

    def _start_waiting(self, now_s):
        waiting, self._waiting = self._waiting, []
        for task, seconds in waiting:
            worker = placement.choose(task, self._fleet, self._tail_model)
            if worker is None:
                self._waiting.append((task, seconds))
            else:
                attempt = _start(task, worker)
                self._ends.append((now_s + seconds, worker, attempt))


@behave.given(
    'workers of 32 cores whose services reserve 16, with opportunistic runs '
    'on "{cores}" cores'
)
def step_opportunistic(context, cores):
    context.fleet = []
    for number, amount in enumerate(cores.split()):
        worker = _worker(number)
        if int(amount):
            (task,) = _tasks(f'o{number}', 1, int(amount), opportunistic=True)
            _start(task, worker)
        context.fleet.append(worker)


@behave.given('batch runs on "{cores}" cores of these workers')
def step_batch(context, cores):
    for number, amount in enumerate(cores.split()):
        if int(amount):
            (task,) = _tasks(f'b{number}', 1, int(amount))
            _start(task, context.fleet[number])


@behave.when('a batch run of {cores:d} cores is placed')
def step_place(context, cores):
    (task,) = _tasks('b', 1, cores)
    context.chosen = placement.choose(
        task, context.fleet, tail_latency.TailModel()
    )


@behave.then('it runs on worker {number:d}')
def step_chosen(context, number):
    assert context.chosen is context.fleet[number], context.chosen.id


@behave.then('{count:d} workers count as short of processors')
def step_count_short(context, count):
    assert batch_placement.count_short(context.fleet) == count


@behave.given('{count:d} workers of 32 cores whose services reserve 16')
def step_fleet(context, count):
    context.fleet = [_worker(number) for number in range(count)]


@behave.when(
    '{opportunistic:d} opportunistic jobs a second and {batch:d} batch jobs '
    'a second come for {seconds:d} s, with seed {seed:d}'
)
def step_play(context, opportunistic, batch, seconds, seed):
    context.batch_play = _Play(context.fleet, seed)
    context.batch_play.run(seconds, opportunistic, batch)


@behave.then(
    'never more than {percent:d}% of the workers are short of an eighth of '
    'their processors'
)
def step_short(context, percent):
    worst = context.batch_play.worst_short_share
    assert worst <= percent / 100, worst


@behave.then('at least {percent:d}% of the batch jobs started at once')
def step_prompt(context, percent):
    play = context.batch_play
    assert play.prompt_batch_jobs >= percent / 100 * play.batch_jobs, (
        play.prompt_batch_jobs,
        play.batch_jobs,
    )
