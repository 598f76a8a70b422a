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


class AttemptState(enum.Enum):
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
class Attempt:
    """One run of a task on one worker.

    Times are seconds of the leader's clock.

    :ivar visible_from_s: a report requested from this time on that does not
        list the run proves that the worker does not have it; None while the
        start may still arrive.
    :ivar progressed_s: when ``percent`` last rose.
    :ivar slowed_since_s: since when the pace is low.
    :ivar resumed: the run did not begin at 0 percent under this leader.
    :ivar reported: a report has listed the run.
    :ivar last_listed_s: when the newest report that lists the run was taken.
    """

    task: 'TaskRun'
    worker: ids.WorkerId
    run: model.RunNumber
    state: AttemptState
    visible_from_s: float | None = None
    running_since_s: float = 0.0
    progressed_s: float = 0.0
    percent: float = 0.0
    first_percent: float = 0.0
    gauge: float = 0.0
    checkpoint: str = ''
    pace: int = 100
    slowed_since_s: float = 0.0
    resumed: bool = False
    reported: bool = False
    last_listed_s: float | None = None

    @property
    def tail_ratio(self) -> float:
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
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def waiting(self) -> bool:
        """True while the task needs a run and has none."""
        return not self.done and not self.attempts

    @property
    def pristine(self) -> bool:
        """True while nothing has happened to the task."""
        return not self.done and self.next_run == 1 and not self.attempts

    def add_attempt(self, attempt: Attempt) -> None:
        """Counts a run that may be there."""
        self.step_run.waiting -= self.waiting
        self.attempts.append(attempt)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Forgets a run that is gone; again is harmless."""
        if attempt in self.attempts:
            self.attempts.remove(attempt)
            self.step_run.waiting += self.waiting


class StepRun:
    """One occurrence of a step.

    :ivar waiting: number of tasks that need a run and have none.
    :ivar waiting_since_s: since when a task has found no worker, or None.
    """

    __slots__ = (
        'job_run',
        'occurrence',
        'number',
        'step',
        'tasks',
        'tasks_left',
        'waiting',
        'speeds',
        'waiting_since_s',
        'wait_logged',
    )

    def __init__(self, *, job_run: 'JobRun', occurrence: int, number: int):
        self.job_run = job_run
        self.occurrence = occurrence
        self.number = number
        self.step = job_run.job.steps[number]
        self.tasks_left = self.waiting = self.step.count
        self.speeds: list[float] = []
        self.waiting_since_s: float | None = None
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
        return self.tasks_left == 0

    def attempts(self) -> t.Iterator[Attempt]:
        """Yields all runs that may be there."""
        for task in self.tasks:
            yield from task.attempts

    @property
    def has_attempts(self) -> bool:
        """True while a run may be there."""
        return any(True for _ in self.attempts())

    def mark_done(self, task: TaskRun) -> None:
        """Takes a task as done; again is harmless."""
        if not task.done:
            self.waiting -= task.waiting
            task.done = True
            self.tasks_left -= 1


class JobRun:
    """A job and how far it has come.

    :ivar first_run_number: least number of a run that this leader starts.
    """

    def __init__(self, *, job: model.Job, first_run_number: int = 1):
        self.job = job
        self.state = model.JobState.PENDING
        self.recorded_state = model.JobState.PENDING
        self.started = False
        self.ended_ms = 0
        self.first_run_number = first_run_number
        self.open_occurrences: dict[int, list[StepRun]] = {}
        self.closed_occurrences: set[int] = set()

    @property
    def ended(self) -> bool:
        """True once the job needs no further run."""
        return self.state in model.TERMINAL_STATES

    def allocate_run_number(self, task: 'TaskRun') -> model.RunNumber:
        """Returns a number for a new run of a task, higher than any before."""
        run = max(task.next_run, self.first_run_number)
        task.next_run = run + 1
        return model.RunNumber(run)

    def open_due_occurrences(self, now_ms: int) -> None:
        """Opens the occurrences that are due."""
        if (
            len(self.open_occurrences) + len(self.closed_occurrences)
            == self.job.occurrence_count
        ):
            return
        for occurrence in range(self.job.occurrence_count):
            if (
                occurrence in self.open_occurrences
                or occurrence in self.closed_occurrences
            ):
                continue
            if self.job.due_ms(occurrence) > now_ms:
                break
            self.open_occurrence(occurrence)

    def close_complete_occurrences(self) -> None:
        """Forgets the tasks of occurrences that are complete."""
        for occurrence, step_runs in list(self.open_occurrences.items()):
            if all(step_run.complete for step_run in step_runs):
                if not any(step_run.has_attempts for step_run in step_runs):
                    del self.open_occurrences[occurrence]
                    self.closed_occurrences.add(occurrence)

    def all_done(self) -> bool:
        """Tells whether every task of every occurrence is done."""
        count = len(self.open_occurrences) + len(self.closed_occurrences)
        return count == self.job.occurrence_count and all(
            step_run.complete
            for step_runs in self.open_occurrences.values()
            for step_run in step_runs
        )

    def find(self, key: model.TaskKey) -> TaskRun | None:
        """Returns a task of an open occurrence, or None."""
        step_runs = self.open_occurrences.get(key.occurrence)
        if step_runs is None or not 0 <= key.step < len(step_runs):
            return None
        tasks = step_runs[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def runnable_steps(self) -> list[StepRun]:
        """Returns the steps with tasks that may start and have no run."""
        return [
            step_run
            for step_runs in self.open_occurrences.values()
            for step_run in step_runs
            if step_run.waiting and _dependencies_complete(step_run, step_runs)
        ]

    def tasks(self) -> t.Iterator[TaskRun]:
        """Yields the tasks of all open occurrences."""
        for step_runs in self.open_occurrences.values():
            for step_run in step_runs:
                yield from step_run.tasks

    def attempts(self) -> t.Iterator[Attempt]:
        """Yields all runs that may be there."""
        for task in self.tasks():
            yield from task.attempts

    @property
    def has_attempts(self) -> bool:
        """True while a run may be there."""
        return any(True for _ in self.attempts())

    def remaining_work(self) -> float:
        """Returns core-ms of estimated work that is not done."""
        total = 0.0
        for step_runs in self.open_occurrences.values():
            for step_run in step_runs:
                step = step_run.step
                total += (
                    step_run.tasks_left * step.estimate_ms * step.resources.cpu
                )
        return total / 1000

    def open_occurrence(self, occurrence: int) -> None:
        """Lists the tasks of an occurrence."""
        self.open_occurrences[occurrence] = [
            StepRun(job_run=self, occurrence=occurrence, number=number)
            for number in range(len(self.job.steps))
        ]


def _dependencies_complete(
    step_run: StepRun, step_runs: list[StepRun]
) -> bool:
    """Tells whether the steps before one of an occurrence are complete."""
    return all(step_runs[n].complete for n in step_run.step.after)


def first_run_number(token: model.Token) -> int:
    """Returns the least number of a run that a leader may use.

    Records follow starts, so numbers of earlier leaders may be unrecorded.
    """
    return (token - 1) * _RUNS_PER_TOKEN + 1


def critical_path_ms(job: model.Job) -> int:
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
    if job_run.ended and not job_run.has_attempts:
        return _encode_fields(job_run, closed=[], full=[], tasks=[])
    full = [
        [s.occurrence, s.number]
        for step_runs in job_run.open_occurrences.values()
        for s in step_runs
        if s.complete and not s.has_attempts
    ]
    complete = {(occurrence, number) for occurrence, number in full}
    tasks = [
        _encode_task(task)
        for task in job_run.tasks()
        if not task.pristine
        and (task.key.occurrence, task.key.step) not in complete
    ]
    return _encode_fields(
        job_run,
        closed=sorted(job_run.closed_occurrences),
        full=full,
        tasks=tasks,
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
            job_run.first_run_number,
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
        [[attempt.worker, attempt.run] for attempt in task.attempts],
    ]


def decode_ended(job_id: ids.JobId, value: bytes) -> EndedJob:
    """Returns the end of a job whose own record was dropped.

    Raises InvalidRecord, also for a job that has not ended.
    """
    with _converting_errors(job_id):
        _, state, _, ended_ms, *_ = _fields(value)
        ended = EndedJob(model.JobState(state), int(ended_ms))
    if ended.state not in model.TERMINAL_STATES:
        raise exceptions.InvalidRecord(f'job {job_id} runs and has no record')
    return ended


def restore(job_run: JobRun, value: bytes, now_s: float) -> None:
    """Sets a fresh job's progress from its record.

    Recorded runs are taken as running until their worker's report.
    Raises InvalidRecord.
    """
    with _converting_errors(job_run.job.id):
        _, state, started, ended_ms, first_run_number, closed, full, tasks = (
            _fields(value)
        )
        job_run.state = job_run.recorded_state = model.JobState(state)
        job_run.started = bool(started)
        job_run.ended_ms = ended_ms
        job_run.first_run_number = max(
            job_run.first_run_number, first_run_number
        )
        job_run.closed_occurrences = set(closed)
        for occurrence, number in full:
            step_run = _step_run(job_run, occurrence, number)
            for task in step_run.tasks:
                step_run.mark_done(task)
        for row in tasks:
            _restore_task(job_run, row, now_s)


@contextlib.contextmanager
def _converting_errors(job_id: ids.JobId) -> t.Iterator[None]:
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
    if occurrence not in job_run.open_occurrences:
        job_run.open_occurrence(occurrence)
    return job_run.open_occurrences[occurrence][number]


def _restore_task(job_run: JobRun, row: list, now_s: float) -> None:
    occurrence, number, index, done, next_run, failed, saved, attempts = row
    step_run = _step_run(job_run, occurrence, number)
    task = step_run.tasks[index]
    task.next_run = next_run
    task.failed_runs = failed
    task.checkpoint = saved
    if done:
        step_run.mark_done(task)
    for worker, run in attempts:
        attempt = Attempt(
            task=task,
            worker=ids.WorkerId(worker),
            run=model.RunNumber(run),
            state=AttemptState.RUNNING,
            visible_from_s=now_s,
            pace=0,
            slowed_since_s=now_s,
            resumed=True,
        )
        task.add_attempt(attempt)
