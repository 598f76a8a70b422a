"""How far a job has come, and the record that a new leader restores it from.

A record holds the whole state of one job, so that the newest one suffices.
"""

import contextlib
import dataclasses
import enum
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import model

_FORMAT = 1  # layout of the record; raise it when a field changes its meaning
# Numbers of one task's runs that one token is worth. Tokens rise twice a
# second, a task is started a few times a second at most.
_RUNS_PER_TOKEN = 1_000


class CopyState(enum.Enum):
    """What the leader knows of one run of a task.

    PLANNED: no order was sent. SENT: the order was sent. RUNNING: its worker
    said so. UNCERTAIN: the order has no answer and may be carried out late.
    STOPPING: a stop was ordered.
    """

    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    UNCERTAIN = 'uncertain'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Copy:
    """One run of a task on one worker.

    Times are seconds of the leader's clock.

    :ivar settled_s: from here on a report of the worker that does not list
        the run proves that it is not there; None while it may still arrive.
    :ivar moved_s: when ``percent`` last rose.
    :ivar slowed_s: since when the pace is low.
    :ivar resumed: the run did not begin at 0 percent under this leader.
    :ivar reported: a report has listed the run.
    :ivar listed_s: when the newest report that lists the run was taken.
    """

    task: 'TaskRun'
    worker: ids.WorkerId
    run: model.Run
    state: CopyState
    settled_s: float | None = None
    running_s: float = 0.0
    moved_s: float = 0.0
    percent: float = 0.0
    first_percent: float = 0.0
    gauge: float = 0.0
    saved: str = ''
    pace: int = 100
    slowed_s: float = 0.0
    resumed: bool = False
    reported: bool = False
    listed_s: float | None = None

    @property
    def tail_share(self) -> float:
        """Tail of a service's run as a share of its target."""
        return self.gauge / self.task.step_run.step.tail_target_ms


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskRun:
    """A task and its runs."""

    key: model.TaskKey
    step_run: 'StepRun'
    done: bool = False
    next_run: int = 1
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    failed_on: list[ids.WorkerId] = dataclasses.field(default_factory=list)
    checkpoint: str = ''
    copies: list[Copy] = dataclasses.field(default_factory=list)

    @property
    def waiting(self) -> bool:
        """True while the task needs a run and has none."""
        return not self.done and not self.copies

    @property
    def pristine(self) -> bool:
        """True while nothing has happened to the task."""
        return not self.done and self.next_run == 1 and not self.copies

    def add_copy(self, copy: Copy) -> None:
        """Counts a run that may be there."""
        self.step_run.waiting -= self.waiting
        self.copies.append(copy)

    def drop_copy(self, copy: Copy) -> None:
        """Forgets a run that is gone; again is harmless."""
        if copy in self.copies:
            self.copies.remove(copy)
            self.step_run.waiting += self.waiting


class StepRun:
    """One occurrence of a step.

    :ivar waiting: number of tasks that need a run and have none.
    :ivar waits_since_s: since when a task finds no worker, None if none does.
    """

    __slots__ = (
        'job_run',
        'occurrence',
        'number',
        'step',
        'tasks',
        'left',
        'waiting',
        'speeds',
        'waits_since_s',
        'wait_logged',
    )

    def __init__(self, *, job_run: 'JobRun', occurrence: int, number: int):
        self.job_run = job_run
        self.occurrence = occurrence
        self.number = number
        self.step = job_run.job.steps[number]
        self.left = self.waiting = self.step.count
        self.speeds: list[float] = []
        self.waits_since_s: float | None = None
        self.wait_logged = False
        self.tasks = [
            TaskRun(
                key=model.TaskKey(job_run.job.id, occurrence, number, index),
                step_run=self,
            )
            for index in range(self.step.count)
        ]

    @property
    def complete(self) -> bool:
        """True once all tasks are done."""
        return self.left == 0

    def copies(self) -> t.Iterator[Copy]:
        """Yields all runs that may be there."""
        for task in self.tasks:
            yield from task.copies

    @property
    def has_copies(self) -> bool:
        """True while a run may be there."""
        return any(True for _ in self.copies())

    def mark_done(self, task: TaskRun) -> None:
        """Takes a task as done; again is harmless."""
        if not task.done:
            self.waiting -= task.waiting
            task.done = True
            self.left -= 1


class JobRun:
    """A job and how far it has come.

    :ivar first_run: least number of a run that this leader starts.
    """

    def __init__(self, *, job: model.Job, first_run: int = 1):
        self.job = job
        self.state = model.JobState.PENDING
        self.shown = model.JobState.PENDING
        self.started = False
        self.ended_ms = 0
        self.first_run = first_run
        self.opened: dict[int, list[StepRun]] = {}
        self.closed: set[int] = set()

    @property
    def ended(self) -> bool:
        """True once the job needs no further run."""
        return self.state in model.ENDED

    def take_run(self, task: 'TaskRun') -> model.Run:
        """Returns a number for a new run of a task, higher than any before."""
        run = max(task.next_run, self.first_run)
        task.next_run = run + 1
        return model.Run(run)

    def open_due(self, now_ms: int) -> None:
        """Opens the occurrences that are due."""
        if len(self.opened) + len(self.closed) == self.job.runs_of_steps:
            return
        for occurrence in range(self.job.runs_of_steps):
            if occurrence in self.opened or occurrence in self.closed:
                continue
            if self.job.due_ms(occurrence) > now_ms:
                break
            self.open(occurrence)

    def close_complete(self) -> None:
        """Forgets the tasks of occurrences that are complete."""
        for occurrence, step_runs in list(self.opened.items()):
            if all(step_run.complete for step_run in step_runs):
                if not any(step_run.has_copies for step_run in step_runs):
                    del self.opened[occurrence]
                    self.closed.add(occurrence)

    def all_done(self) -> bool:
        """Tells whether every task of every occurrence is done."""
        count = len(self.opened) + len(self.closed)
        return count == self.job.runs_of_steps and all(
            step_run.complete
            for step_runs in self.opened.values()
            for step_run in step_runs
        )

    def find(self, key: model.TaskKey) -> TaskRun | None:
        """Returns a task of an open occurrence, or None."""
        step_runs = self.opened.get(key.occurrence)
        if step_runs is None or not 0 <= key.step < len(step_runs):
            return None
        tasks = step_runs[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def wanting_steps(self) -> list[StepRun]:
        """Returns the steps with tasks that may start and have no run."""
        return [
            step_run
            for step_runs in self.opened.values()
            for step_run in step_runs
            if step_run.waiting and _may_begin(step_run, step_runs)
        ]

    def tasks(self) -> t.Iterator[TaskRun]:
        """Yields the tasks of all open occurrences."""
        for step_runs in self.opened.values():
            for step_run in step_runs:
                yield from step_run.tasks

    def copies(self) -> t.Iterator[Copy]:
        """Yields all runs that may be there."""
        for task in self.tasks():
            yield from task.copies

    @property
    def has_copies(self) -> bool:
        """True while a run may be there."""
        return any(True for _ in self.copies())

    def work_left(self) -> float:
        """Returns core-ms of estimated work that is not done."""
        total = 0.0
        for step_runs in self.opened.values():
            for step_run in step_runs:
                step = step_run.step
                total += step_run.left * step.estimate_ms * step.resources.cpu
        return total / 1000

    def open(self, occurrence: int) -> None:
        """Lists the tasks of an occurrence."""
        self.opened[occurrence] = [
            StepRun(job_run=self, occurrence=occurrence, number=number)
            for number in range(len(self.job.steps))
        ]


def _may_begin(step_run: StepRun, step_runs: list[StepRun]) -> bool:
    """Tells whether the steps before one of an occurrence are complete."""
    return all(step_runs[n].complete for n in step_run.step.after)


def first_run(token: model.Token) -> int:
    """Returns the least number of a run that a leader may use.

    Records follow starts, so numbers of earlier leaders may be unrecorded.
    """
    return (token - 1) * _RUNS_PER_TOKEN + 1


def longest_chain_ms(job: model.Job) -> int:
    """Returns the estimated time of a job's longest chain of steps."""
    ends: list[int] = []
    for step in job.steps:
        start = max((ends[n] for n in step.after), default=0)
        ends.append(start + step.estimate_ms)
    return max(ends, default=0)


class EndedJob(t.NamedTuple):
    """What is still told of a job of which nothing runs any more."""

    state: model.JobState
    ended_ms: int


def encode(job_run: JobRun) -> bytes:
    """Returns the record of a job's progress."""
    if job_run.ended and not job_run.has_copies:
        return _encode_fields(job_run, closed=[], full=[], tasks=[])
    full = [
        [s.occurrence, s.number]
        for step_runs in job_run.opened.values()
        for s in step_runs
        if s.complete and not s.has_copies
    ]
    complete = {(occurrence, number) for occurrence, number in full}
    tasks = [
        _encode_task(task)
        for task in job_run.tasks()
        if not task.pristine
        and (task.key.occurrence, task.key.step) not in complete
    ]
    return _encode_fields(
        job_run, closed=sorted(job_run.closed), full=full, tasks=tasks
    )


def _encode_fields(
    job_run: JobRun, *, closed: list, full: list, tasks: list
) -> bytes:
    return msgspec.json.encode(
        [
            _FORMAT,
            job_run.state.value,
            int(job_run.started),
            job_run.ended_ms,
            job_run.first_run,
            closed,
            full,
            tasks,
        ]
    )


def _encode_task(task: TaskRun) -> list:
    return [
        task.key.occurrence,
        task.key.step,
        task.key.index,
        int(task.done),
        task.next_run,
        task.failed_runs,
        task.checkpoint,
        [[copy.worker, copy.run] for copy in task.copies],
    ]


def decode_ended(job_id: ids.JobId, value: bytes) -> EndedJob:
    """Returns the end of a job whose own record was dropped.

    Raises InvalidRecord, also for a job that has not ended.
    """
    with _reading(job_id):
        _, state, _, ended_ms, *_ = _fields(value)
        ended = EndedJob(model.JobState(state), int(ended_ms))
    if ended.state not in model.ENDED:
        raise exceptions.InvalidRecord(f'job {job_id} runs and has no record')
    return ended


def restore(job_run: JobRun, value: bytes, now_s: float) -> None:
    """Sets a fresh job's progress from its record.

    Recorded runs are taken as running until their worker's report.
    Raises InvalidRecord.
    """
    with _reading(job_run.job.id):
        _, state, started, ended_ms, first_run, closed, full, tasks = _fields(
            value
        )
        job_run.state = job_run.shown = model.JobState(state)
        job_run.started = bool(started)
        job_run.ended_ms = ended_ms
        job_run.first_run = max(job_run.first_run, first_run)
        job_run.closed = set(closed)
        for occurrence, number in full:
            step_run = _step_run(job_run, occurrence, number)
            for task in step_run.tasks:
                step_run.mark_done(task)
        for row in tasks:
            _restore_task(job_run, row, now_s)


@contextlib.contextmanager
def _reading(job_id: ids.JobId) -> t.Iterator[None]:
    """Tells of a progress record that cannot be read by InvalidRecord."""
    try:
        yield
    except (
        msgspec.MsgspecError,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
    ) as exc:
        reason = f'progress of job {job_id}: {exc}'
        raise exceptions.InvalidRecord(reason) from exc


def _fields(value: bytes) -> list:
    """Returns the fields of a progress record in their order."""
    fields = msgspec.json.decode(value)
    if fields[0] != _FORMAT:
        raise exceptions.InvalidRecord(f'format {fields[0]} of progress')
    return fields


def _step_run(job_run: JobRun, occurrence: int, number: int) -> StepRun:
    if occurrence not in job_run.opened:
        job_run.open(occurrence)
    return job_run.opened[occurrence][number]


def _restore_task(job_run: JobRun, row: list, now_s: float) -> None:
    occurrence, number, index, done, next_run, failed, saved, copies = row
    step_run = _step_run(job_run, occurrence, number)
    task = step_run.tasks[index]
    task.next_run = next_run
    task.failed_runs = failed
    task.checkpoint = saved
    if done:
        step_run.mark_done(task)
    for worker, run in copies:
        copy = Copy(
            task=task,
            worker=ids.WorkerId(worker),
            run=model.Run(run),
            state=CopyState.RUNNING,
            settled_s=now_s,
            pace=0,
            slowed_s=now_s,
            resumed=True,
        )
        task.add_copy(copy)
