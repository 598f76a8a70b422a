"""Steps for preemption.feature: short jobs come to a pool of long tasks."""

import collections
import math
import random

import behave

from amaranthflow import ids
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import job_ranking
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_standins import task_fleet

_POOL = ids.ServiceId('workers')
_WORKERS, _CORES = 20, 16
_TICK_S = 0.1
_REPORT_INTERVAL_S = 0.5
_START_S = 5.0
_LONG_S = 20.0
_SECONDS = 40
_SHORT_PRIORITY, _LONG_PRIORITY = 0, 2


def _job(
    job_id, tasks, cores, seconds, *, at_s, priority, checkpoints, stretch=1.5
):
    queue = model.Queue(
        id=model.QueueId(f'q{priority}'),
        host='h',
        prefix=f'/p{priority}/',
        service=_POOL,
        priority=priority,
        max_attempts=3,
        stretch=stretch,
        target_ms=300,
    )
    step = model.Step(
        count=tasks,
        resources=model.Resources(round(cores * 1000), 100, 0),
        estimate_ms=round(seconds * 1000),
        checkpoints=checkpoints,
    )
    return model.Job(
        id=ids.JobId(job_id),
        queue=queue,
        payload='',
        steps=(step,),
        accepted_ms=round(at_s * 1000),
    )


class _Play:
    """A scheduler with workers whose runs save their work when stopped."""

    def __init__(
        self, *, saves, long_priority=_LONG_PRIORITY, long_stretch=4.0
    ):
        self.core = scheduler.Scheduler(
            limits=task_fleet.LIMITS, token=model.Token(1), now_s=0.0
        )
        self.now_s = _START_S
        self.stopped = collections.Counter()
        self.lost_s = 0.0
        self._saves = saves
        self._long_priority = long_priority
        self._long_stretch = long_stretch
        self._saved_s = collections.defaultdict(float)
        self._running = {}
        self._ended = collections.defaultdict(list)
        self._end_numbers = collections.Counter()
        for number in range(_WORKERS):
            entry = model.WorkerEntry(
                id=ids.WorkerId(f'w{number:02}'),
                service=_POOL,
                address='',
                zone=ids.ZoneId('z'),
                state=model.WorkerState.READY,
                capacity=model.Resources(_CORES * 1000, 1_000_000, 0),
            )
            self.core.on_entry_changed(entry, self.now_s)
            self.core.workers[entry.id].lease_end_s = math.inf

    @property
    def now_ms(self):
        """The time in Unix milliseconds."""
        return round(self.now_s * 1000)

    def submit_long(self, count):
        """Submits long jobs of one task with half of a worker each."""
        for _ in range(count):
            self._submit(
                _job(
                    f'long{len(self.core.jobs):03}',
                    1,
                    _CORES / 2,
                    _LONG_S,
                    at_s=self.now_s,
                    priority=self._long_priority,
                    checkpoints=self._saves,
                    stretch=self._long_stretch,
                )
            )

    def submit_short(self, rng):
        """Submits a short job of a few tasks."""
        self._submit(
            _job(
                f'short{len(self.core.jobs):03}',
                rng.randint(1, 4),
                rng.uniform(2.0, 6.0),
                rng.uniform(0.3, 0.8),
                at_s=self.now_s,
                priority=_SHORT_PRIORITY,
                checkpoints=False,
            )
        )

    def _submit(self, job):
        if self.core.refusal(job, self.now_s, self.now_ms) is None:
            self.core.add_job(job)

    def advance(self):
        """Plays one tick."""
        self.now_s += _TICK_S
        self._end_runs()
        for worker in list(self.core.workers.values()):
            last_s = worker.last_report_s
            if (
                self._ended[worker.id]
                or last_s is None
                or self.now_s - last_s >= _REPORT_INTERVAL_S
            ):
                self._report(worker)
        self.core.tick(self.now_s, self.now_ms)
        self.core.plan(self.now_s, self.now_ms)
        for command in self.core.take_commands():
            if isinstance(command, commands.Start):
                attempt = command.attempt
                self.core.on_sent(attempt)
                self.core.on_started(attempt, self.now_s)
                self._running[attempt] = self.now_s
            elif isinstance(command, commands.Stop):
                self._stop(command.attempt)

    def _work_s(self, attempt):
        """Returns the work of a run's task that is done."""
        key = attempt.task.key
        return self._saved_s[key] + self.now_s - self._running[attempt]

    def _end_runs(self):
        for attempt in list(self._running):
            estimate_ms = attempt.task.step_run.step.estimate_ms
            if self._work_s(attempt) * 1000 >= estimate_ms:
                self._end(attempt, model.RunOutcome.DONE)

    def _stop(self, attempt):
        self.core.on_stopped(attempt, self.now_s)
        self.stopped[attempt.task.key.job] += 1
        if attempt.task.step_run.step.checkpoints:
            self._saved_s[attempt.task.key] = self._work_s(attempt)
        else:
            self.lost_s += self.now_s - self._running[attempt]
        self._end(attempt, model.RunOutcome.STOPPED)

    def _end(self, attempt, outcome):
        del self._running[attempt]
        self._end_numbers[attempt.worker] += 1
        checkpoints = attempt.task.step_run.step.checkpoints
        self._ended[attempt.worker].append(
            ports.RunEnd(
                self._end_numbers[attempt.worker],
                attempt.task.key,
                attempt.run,
                outcome,
                'saved' if checkpoints else '',
            )
        )

    def _report(self, worker):
        running = []
        for attempt in worker.attempts:
            if attempt in self._running:
                step = attempt.task.step_run.step
                percent = 100_000 * self._work_s(attempt) / step.estimate_ms
                running.append(
                    ports.RunProgress(
                        attempt.task.key, attempt.run, '', percent, 5.0
                    )
                )
        report = ports.WorkerReport(
            clock_ms=self.now_ms,
            born_ms=1,
            running=running,
            ended=self._ended.pop(worker.id, []),
        )
        self.core.on_report(
            worker, report, self.now_s, self.now_s, self.now_ms
        )

    def on_time(self, name):
        """Returns the jobs of a kind that are on time, and all of them."""
        found = [
            run
            for job_id, run in self.core.jobs.items()
            if job_id.startswith(name)
        ]
        on_time = sum(
            run.state is model.JobState.COMPLETED
            and run.ended_ms - run.job.accepted_ms
            <= job_ranking.objective_ms(run)
            for run in found
        )
        return on_time, len(found)


def _play(seed, **options):
    play = _Play(**options)
    rng = random.Random(seed)
    for _ in range(3):
        play.advance()
    # Two of them fill a worker; the others wait.
    play.submit_long(2 * _WORKERS + 10)
    for _ in range(30):
        play.advance()
    for tick in range(round(_SECONDS / _TICK_S)):
        # Waves of 3 s in each 10 s.
        if tick % 100 < 30 and tick % 2 == 0:
            play.submit_short(rng)
        play.advance()
    for _ in range(round(60 / _TICK_S)):
        play.advance()
    return play


@behave.when(
    'short jobs come to a pool full of long tasks that save their work, '
    'seed {seed:d}'
)
def step_saving(context, seed):
    context.play = _play(seed, saves=True)


@behave.when(
    'short jobs come to a pool full of long tasks that save nothing, '
    'seed {seed:d}'
)
def step_not_saving(context, seed):
    context.play = _play(seed, saves=False)


@behave.when(
    'short jobs come to a pool full of long tasks of their priority, '
    'seed {seed:d}'
)
def step_same_priority(context, seed):
    context.play = _play(seed, saves=True, long_priority=_SHORT_PRIORITY)


@behave.when(
    'short jobs come to a pool full of tasks of their priority that are of no '
    'use any more, seed {seed:d}'
)
def step_expired(context, seed):
    context.play = _play(
        seed, saves=True, long_priority=_SHORT_PRIORITY, long_stretch=0.01
    )


@behave.then('at least {percent:d}% of the preempting jobs are on time')
def step_short_on_time(context, percent):
    on_time, count = context.play.on_time('short')
    assert on_time >= percent / 100 * count, (on_time, count)


@behave.then('at least {percent:d}% of the preempted jobs are on time')
def step_long_on_time(context, percent):
    on_time, count = context.play.on_time('long')
    assert on_time >= percent / 100 * count, (on_time, count)


@behave.then('no task is stopped more than {most:d} times')
def step_stops(context, most):
    stopped = context.play.stopped
    assert max(stopped.values(), default=0) <= most, stopped


@behave.then('no run is stopped')
def step_none_stopped(context):
    assert not context.play.stopped, context.play.stopped
