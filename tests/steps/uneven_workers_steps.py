"""Steps for uneven_workers.feature."""

import asyncio
import dataclasses

import behave

from amaranthflow_scheduler import model
from amaranthflow_standins import task_fleet
from amaranthflow_standins import virtual_time

_WORKERS = 30
_SEED = 11
_STEP = model.Step(
    count=10, resources=model.Resources(1_000, 100, 0), estimate_ms=500
)
_JOB_INTERVAL_S = 0.022
# Share of the processors that jobs of other shapes take.
_LOAD = 0.5
_FAULT_FROM_S, _FAULT_TO_S = 5.0, 15.0
_FINISH_S = 20.0
_SETTLE_S = 6.0
_FAULTS = {
    'are sound': {},
    'leave half of the orders unanswered': {'delayed_share': 0.5},
    'leave 4% of the orders unanswered': {'delayed_share': 0.04},
    'leave 4% of the calls for reports unanswered': {
        'lost_report_share': 0.04
    },
    'fail half of the runs': {'fail_share': 0.5},
    'fail all runs': {'fails': True},
    'are slow': {'slowdown': 4.0},
    'end no run': {'hangs': True},
}


class _Plan:
    def __init__(self, step):
        self._step = step

    def duration_s(self, task):
        return self._step.estimate_ms / 1000

    def fails(self, task, run):
        return False

    def crashes_worker(self, task):
        return False


class _Play:
    """Short jobs on workers of which some have a fault for a while.

    :ivar submitted: when each job was submitted, by its id.
    """

    def __init__(self, loop, share, faults, step=_STEP):
        self.loop = loop
        self.step = step
        self.share = share
        self.faults = faults
        self.submitted = {}
        self.fleet = task_fleet.TaskFleet(
            loop=loop, plan=_Plan(step), seed=_SEED
        )

    @property
    def objective_s(self):
        """Time within which a job is on time."""
        queue = task_fleet.QUEUE
        path_ms = queue.stretch * self.step.estimate_ms
        return (path_ms + queue.target_ms) / 1000

    @property
    def _interval_s(self):
        if self.step is _STEP:
            return _JOB_INTERVAL_S
        work = self.step.count * self.step.estimate_ms / 1000
        processors = _WORKERS * task_fleet.WORKER_CPU / 1000
        return work / (_LOAD * processors)

    async def run(self, seconds):
        fleet = self.fleet
        fleet.configure()
        every = [fleet.add_worker(f'w{number}') for number in range(_WORKERS)]
        odd = every[:: round(1 / self.share)]
        fleet.start_node()
        await fleet.wait_leader()
        await asyncio.sleep(_SETTLE_S)
        started_s = self.loop.time()
        self.loop.call_later(_FAULT_FROM_S, self._set, odd, self.faults)
        sound = {name: type(value)() for name, value in self.faults.items()}
        sound = {n: 1.0 if n == 'slowdown' else v for n, v in sound.items()}
        self.loop.call_later(_FAULT_TO_S, self._set, odd, sound)
        while self.loop.time() < started_s + seconds:
            job_id = f'u{len(self.submitted)}'
            self.submitted[job_id] = self.loop.time()
            await fleet.submit(job_id, [self.step])
            await asyncio.sleep(self._interval_s)
        await asyncio.sleep(_FINISH_S)

    def took_under_fault_s(self, took_s):
        """Returns the times of the jobs submitted while workers have faults.

        :param took_s: the times of all jobs.
        """
        first_s = min(self.submitted.values())
        return [
            took_s[job_id]
            for job_id, at_s in self.submitted.items()
            if _FAULT_FROM_S <= at_s - first_s < _FAULT_TO_S
        ]

    def _set(self, odd, faults):
        for worker in odd:
            for name, value in faults.items():
                setattr(worker.faults, name, value)

    def took_s(self):
        """Returns for each job how long it took, infinity if it failed."""
        core = next(iter(self.fleet.nodes.values())).leader.core
        found = {}
        for job_id, started_s in self.submitted.items():
            ended_ms = float('inf')
            if core.state(job_id) is model.JobState.COMPLETED:
                ended = core.jobs.get(job_id) or core.ended[job_id]
                ended_ms = ended.ended_ms
            began_ms = self.loop.wall_ms() - 1000 * (
                self.loop.time() - started_s
            )
            found[job_id] = (ended_ms - began_ms) / 1000
        return found


@behave.given('uneven workers of which {share:g} {fault}')
def step_play(context, share, fault):
    context.loop = virtual_time.VirtualLoop()
    context.play = _Play(context.loop, share, _FAULTS[fault])
    context.fleet = context.play.fleet
    context.add_cleanup(_stop, context)


@behave.given(
    'uneven workers for jobs of {count:d} tasks of {seconds:g} s with '
    'backups, of which {share:g} {fault}'
)
def step_play_backups(context, count, seconds, share, fault):
    _play_steps(context, count, seconds, share, fault, backups=True)


@behave.given(
    'uneven workers for jobs of {count:d} tasks of {seconds:g} s, of which '
    '{share:g} {fault}'
)
def step_play_jobs(context, count, seconds, share, fault):
    _play_steps(context, count, seconds, share, fault, backups=False)


def _play_steps(context, count, seconds, share, fault, *, backups):
    step = dataclasses.replace(
        _STEP, count=count, estimate_ms=round(seconds * 1000), backups=backups
    )
    context.loop = virtual_time.VirtualLoop()
    context.play = _Play(context.loop, share, _FAULTS[fault], step)
    context.fleet = context.play.fleet
    context.add_cleanup(_stop, context)


def _stop(context):
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    context.loop.run_until_complete(asyncio.sleep(0))
    context.loop.close()


@behave.when('uneven workers run short jobs for {seconds:g} s')
def step_run(context, seconds):
    context.loop.run_until_complete(context.play.run(seconds))
    context.took_s = context.play.took_s()


@behave.then('uneven workers complete at least {share:g} of the jobs on time')
def step_on_time(context, share):
    took_s = context.took_s.values()
    objective_s = context.play.objective_s
    on_time = sum(seconds <= objective_s for seconds in took_s)
    assert on_time >= share * len(took_s), (on_time, len(took_s))


@behave.then(
    'uneven workers complete at least {share:g} of the jobs under the fault '
    'on time'
)
def step_on_time_under_fault(context, share):
    took_s = context.play.took_under_fault_s(context.took_s)
    objective_s = context.play.objective_s
    on_time = sum(seconds <= objective_s for seconds in took_s)
    assert on_time >= share * len(took_s), (on_time, len(took_s))


@behave.then('uneven workers get at most {most:g} runs more than tasks')
def step_runs(context, most):
    tasks = len(context.took_s) * context.play.step.count
    more = len(context.fleet.runs) - tasks
    assert more <= most, more


@behave.then('uneven workers complete at least {share:g} of the jobs at all')
def step_completed(context, share):
    found = [s for s in context.took_s.values() if s < float('inf')]
    assert len(found) >= share * len(context.took_s), len(found)
