"""Execution state of jobs, and the progress records that restore it.

A progress record holds the whole state of one job, so that a new leader
needs only the newest record of each job. That of a large job is compact: done
tasks are given as ranges, and the tasks may be in further records, its parts,
see ``progress_parts``.
"""

import collections
import contextlib
import dataclasses
import enum
import types
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import decoding
from . import model

_FORMAT = 1  # increase it when the meaning of a field changes
_COMPACT_FORMAT = 2
# A longer checkpoint is not recorded: the task would begin anew.
_MAX_CHECKPOINT_CHARS = 4_096
# Range of run numbers reserved for each token. Tokens increase at most twice a
# second and a task is started a few times a second at most, so that the run
# numbers of two leaders never overlap.
_RUN_NUMBERS_PER_TOKEN = 1_000
# A service's task may fail any number of times, and its record is limited.
_MAX_SERVICE_FAILURES = 8
UNKNOWN_PACE = -1


class UnansweredStart(t.NamedTuple):
    """A start command without an answer, which may still be executed.

    :ivar sent_s: when it was sent, in seconds of the leader's clock.
    """

    worker: ids.WorkerId
    run: model.RunNumber
    sent_s: float


class AttemptState(enum.Enum):
    """What the leader knows about an attempt to run a task.

    PLANNED: no start command was sent. SENT: the start command was sent.
    RUNNING: the worker has confirmed the run. UNCERTAIN: the start command
    was not answered and may still be executed. STOPPING: the attempt is to be
    stopped.
    """

    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    UNCERTAIN = 'uncertain'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """An attempt to run a task on one worker.

    Times are in seconds of the leader's clock.

    :ivar run: number of the run, which increases with each run of the task.
    :ivar sent_s: when its start command was sent; 0 if unknown.
    :ivar token: fencing token of that command.
    :ivar confirmed: a worker has answered the start command or listed the run.
    :ivar recorded_unconfirmed: the newest record says that none has.
    :ivar visible_from_s: a report requested at this time or later that does
        not list the run proves that the worker does not have it; None while
        the start command may still arrive.
    :ivar running_since_s: when the run started or was first reported.
    :ivar progressed_s: when ``percent`` last increased.
    :ivar percent: progress of the task.
    :ivar first_percent: progress in the first report of the run.
    :ivar earlier_s: ``progressed_s`` before ``percent`` last increased.
    :ivar earlier_percent: ``percent`` before that.
    :ivar gauge: tail latency in ms of a service's task, processor use in
        thousandths of a core of any other task.
    :ivar checkpoint: newest checkpoint that the run has saved, or empty.
    :ivar pace: percentage of full speed at which the run works, or
        ``UNKNOWN_PACE``.
    :ivar slowed_since_s: when the pace became low.
    :ivar resumed: the run started from a checkpoint or under an earlier
        leader.
    :ivar reported: a report has listed the run.
    :ivar born_ms: incarnation of the worker to which the run was sent; 0 if
        unknown.
    :ivar survived: it has run long enough not to be suspected of a crash.
    :ivar isolated: no other run was or will be as young on its worker.
    :ivar crash_counted: the task's crashes include that of its worker.
    :ivar last_listed_s: when the newest report that lists the run arrived.
    """

    task: 'TaskRun'
    worker: ids.WorkerId
    run: model.RunNumber
    state: AttemptState
    sent_s: float = 0.0
    token: model.Token = model.Token(0)
    confirmed: bool = False
    recorded_unconfirmed: bool = False
    visible_from_s: float | None = None
    running_since_s: float = 0.0
    progressed_s: float = 0.0
    percent: float = 0.0
    first_percent: float = 0.0
    earlier_s: float = 0.0
    earlier_percent: float = 0.0
    gauge: float = 0.0
    checkpoint: str = ''
    pace: int = 100
    slowed_since_s: float = 0.0
    resumed: bool = False
    reported: bool = False
    born_ms: int = 0
    survived: bool = False
    isolated: bool = False
    crash_counted: bool = False
    last_listed_s: float | None = None

    def confirm(self) -> bool:
        """Notes that a worker has answered the start or listed the run.

        Returns whether a record that says otherwise has to be replaced.
        """
        outdated = self.recorded_unconfirmed and not self.confirmed
        self.confirmed = True
        return outdated

    def on_progress(self, percent: float, now_s: float) -> None:
        """Notes the progress in a report."""
        if percent > self.percent:
            self.earlier_s = self.progressed_s
            self.earlier_percent = self.percent
            self.progressed_s = now_s
            self.percent = percent

    @property
    def began_s(self) -> float:
        """When the run began, 0 if that is not known."""
        return 0.0 if self.resumed else self.running_since_s

    @property
    def tail_ratio(self) -> float:
        """Tail latency of a service's run as a ratio to its target."""
        return self.gauge / self.task.step_run.step.tail_target_ms


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskRun:
    """A task and its attempts.

    :ivar next_run: lowest run number that was not used yet.
    :ivar failed_runs: numbers of the runs that failed; of a service's task
        only the last few.
    :ivar failed_on: workers on which these runs failed.
    :ivar checkpoint: newest known checkpoint, or empty.
    :ivar attempts: the attempts that may still run.
    :ivar unanswered: starts that a worker may still execute, also of attempts
        that have ended.
    :ivar ignored_by: workers that have left a start unanswered until it was
        too old to be executed.
    :ivar crashes: number of workers that it may have crashed.
    :ivar isolated_crashes: number of them that no other job explains.
    :ivar suspect_since_s: since when it has waited for an isolated start, or
        None.
    """

    key: model.TaskKey
    step_run: 'StepRun'
    done: bool = False
    next_run: int = 1
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    failed_on: list[ids.WorkerId] = dataclasses.field(default_factory=list)
    checkpoint: str = ''
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    unanswered: tuple[UnansweredStart, ...] = ()
    ignored_by: frozenset[ids.WorkerId] = frozenset()
    crashes: int = 0
    isolated_crashes: int = 0
    suspect_since_s: float | None = None

    @property
    def waiting(self) -> bool:
        """True while the task needs an attempt and has none."""
        return not self.done and not self.attempts

    @property
    def pristine(self) -> bool:
        """True while the task has neither run nor been planned."""
        return not self.done and self.next_run == 1 and not self.attempts

    def add_attempt(self, attempt: Attempt) -> None:
        """Adds an attempt and updates the number of waiting tasks."""
        self.step_run.waiting -= self.waiting
        self.suspect_since_s = None
        self.attempts.append(attempt)

    def find_attempt(self, worker: ids.WorkerId, run: int) -> Attempt | None:
        """Returns the attempt with a run number on a worker, or None."""
        for attempt in self.attempts:
            if attempt.worker == worker and attempt.run == run:
                return attempt
        return None

    def add_unanswered(self, start: UnansweredStart) -> None:
        """Adds a start that a worker may execute."""
        self.unanswered += (start,)
        self.step_run.unsettled[self.key.index] = self

    def remove_unanswered(self, settled: t.Iterable[UnansweredStart]) -> None:
        """Removes starts that no worker can execute any more."""
        # Copies in a record are equal.
        removed = {id(start) for start in settled}
        self.unanswered = tuple(
            start for start in self.unanswered if id(start) not in removed
        )
        if not self.unanswered:
            self.step_run.unsettled.pop(self.key.index, None)

    def add_failure(self, run: model.RunNumber, worker: ids.WorkerId) -> None:
        """Adds a failed run and its worker."""
        self.failed_runs.append(run)
        self.failed_on.append(worker)
        if self.step_run.step.service:
            del self.failed_runs[:-_MAX_SERVICE_FAILURES]
            del self.failed_on[:-_MAX_SERVICE_FAILURES]

    def remove_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt; does nothing if it was removed before."""
        if attempt in self.attempts:
            self.attempts.remove(attempt)
            self.step_run.waiting += self.waiting


class StepRun:
    """One occurrence of a step.

    :ivar tasks_left: number of tasks that are not done.
    :ivar waiting: number of tasks that need an attempt and have none.
    :ivar speeds: speeds of the completed runs, in percent per second.
    :ivar unsettled: tasks with unanswered starts, by their indexes.
    :ivar waiting_since_s: since when no worker was found for a task, or None.
    :ivar wait_logged: the first time without a worker has been logged.
    :ivar suspected: a task may have crashed a worker.
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
        'unsettled',
        'waiting_since_s',
        'wait_logged',
        'suspected',
    )

    def __init__(self, *, job_run: 'JobRun', occurrence: int, number: int):
        self.job_run = job_run
        self.occurrence = occurrence
        self.number = number
        self.step = job_run.job.steps[number]
        self.tasks_left = self.waiting = self.step.count
        self.speeds: list[float] = []
        self.unsettled: dict[int, TaskRun] = {}
        self.waiting_since_s: float | None = None
        self.wait_logged = False
        self.suspected = False
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
        """Yields all attempts that may still run."""
        for task in self.tasks:
            yield from task.attempts

    @property
    def has_attempts(self) -> bool:
        """True while an attempt may still run."""
        return any(True for _ in self.attempts())

    def end_wait(self, now_s: float) -> None:
        """Notes that a worker was found for each task."""
        if self.waiting_since_s is not None:
            self.job_run.no_worker_s += now_s - self.waiting_since_s
            self.waiting_since_s = None

    def mark_done(self, task: TaskRun) -> None:
        """Marks a task as done; does nothing if it is done already."""
        if not task.done:
            self.waiting -= task.waiting
            task.done = True
            self.tasks_left -= 1


class JobRun:
    """A job and its progress.

    :ivar state: current state of the job.
    :ivar recorded_state: the state that the newest stored record holds.
    :ivar started: a run of the job has started.
    :ivar first_run_number: lowest number of a run that this leader starts.
    :ivar open_occurrences: the steps of the occurrences that are due.
    :ivar closed_occurrences: occurrences that are complete.
    :ivar no_worker_s: how long steps have waited because no worker was found
        for a task, in seconds.
    :ivar parts: number of the first task of each part of the compact record;
        empty while one record holds all.
    :ivar stored_parts: what was last written of each part.
    :ivar part_keys: numbers of all parts that the store may have.
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
        self.no_worker_s = 0.0
        self.parts: list[int] = []
        self.stored_parts: dict[int, bytes] = {}
        self.part_keys: set[int] = set()

    @property
    def ended(self) -> bool:
        """True once the job has reached a terminal state."""
        return self.state in model.TERMINAL_STATES

    def allocate_run_number(self, task: 'TaskRun') -> model.RunNumber:
        """Returns a run number for a task that is higher than all before."""
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
        """Closes occurrences that are complete and drops their tasks."""
        for occurrence, step_runs in list(self.open_occurrences.items()):
            if all(step_run.complete for step_run in step_runs):
                if not any(step_run.has_attempts for step_run in step_runs):
                    del self.open_occurrences[occurrence]
                    self.closed_occurrences.add(occurrence)

    def all_done(self) -> bool:
        """Returns whether all tasks of all occurrences are done."""
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
        """Returns the steps with tasks that may start and have no attempt."""
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
        """Yields all attempts that may still run."""
        for task in self.tasks():
            yield from task.attempts

    @property
    def has_attempts(self) -> bool:
        """True while an attempt may still run."""
        return any(True for _ in self.attempts())

    def remaining_work(self) -> float:
        """Returns the estimated work that is not done, in core-ms."""
        total = 0.0
        for step_runs in self.open_occurrences.values():
            for step_run in step_runs:
                step = step_run.step
                total += (
                    step_run.tasks_left * step.estimate_ms * step.resources.cpu
                )
        return total / 1000

    def open_occurrence(self, occurrence: int) -> None:
        """Creates the steps and tasks of an occurrence."""
        self.open_occurrences[occurrence] = [
            StepRun(job_run=self, occurrence=occurrence, number=number)
            for number in range(len(self.job.steps))
        ]


def _dependencies_complete(
    step_run: StepRun, step_runs: list[StepRun]
) -> bool:
    """Returns whether all steps that a step depends on are complete."""
    return all(step_runs[n].complete for n in step_run.step.after)


def first_run_number(token: model.Token) -> int:
    """Returns the lowest run number that a leader may use.

    Progress is recorded after a start, so that the run numbers which an
    earlier leader used last may not be recorded.
    """
    return (token - 1) * _RUN_NUMBERS_PER_TOKEN + 1


def critical_path_ms(job: model.Job) -> int:
    """Returns the estimated duration of a job's critical path of steps."""
    ends: list[int] = []
    for step in job.steps:
        start = max((ends[n] for n in step.after), default=0)
        ends.append(start + step.estimate_ms)
    return max(ends, default=0)


class EndedJob(t.NamedTuple):
    """State that is kept of an ended job without attempts."""

    state: model.JobState
    ended_ms: int


def encode(job_run: JobRun) -> bytes:
    """Returns the progress record of a job, without parts."""
    if job_run.ended and not job_run.has_attempts:
        return _encode_fields(job_run, closed=[], complete_steps=[], tasks=[])
    complete_steps = [
        [step_run.occurrence, step_run.number]
        for step_runs in job_run.open_occurrences.values()
        for step_run in step_runs
        if step_run.complete and not step_run.has_attempts
    ]
    recorded = {(occurrence, number) for occurrence, number in complete_steps}
    tasks = [
        _encode_task(task)
        for task in job_run.tasks()
        if not task.pristine
        and (task.key.occurrence, task.key.step) not in recorded
    ]
    return _encode_fields(
        job_run,
        closed=sorted(job_run.closed_occurrences),
        complete_steps=complete_steps,
        tasks=tasks,
        suspects=[
            _encode_suspect(task) for task in job_run.tasks() if task.crashes
        ],
        unconfirmed=_encode_unconfirmed(job_run.attempts()),
        unanswered=_encode_unanswered(_unsettled(job_run)),
    )


def encode_head(job_run: JobRun) -> bytes:
    """Returns the compact record of a job, whose tasks are in its parts."""
    fields = _fields(job_run, _COMPACT_FORMAT)
    closed = _ranges(sorted(job_run.closed_occurrences))
    fields += [[], [], [], [], [], [], [], closed, job_run.parts]
    return msgspec.json.encode(fields)


def encode_part(job_run: JobRun, tasks: t.Sequence[TaskRun]) -> bytes:
    """Returns the record of some tasks of a job."""
    done: list[list[int]] = []
    rows = []
    for task in tasks:
        if task.done and not task.attempts:
            _add_done(done, task.key)
        elif not task.pristine:
            rows.append(_encode_task(task))
    attempts = (attempt for task in tasks for attempt in task.attempts)
    # What holds for the whole job is in its own record.
    fields = _fields(JobRun(job=job_run.job), _COMPACT_FORMAT)
    fields += [
        [],
        [],
        rows,
        [_encode_suspect(task) for task in tasks if task.crashes],
        _encode_unconfirmed(attempts),
        _encode_unanswered(task for task in tasks if task.unanswered),
        done,
    ]
    return msgspec.json.encode(fields)


def _add_done(ranges: list[list[int]], key: model.TaskKey) -> None:
    """Adds a task to ranges of occurrence, step, first and last index."""
    if ranges and ranges[-1][:2] == [key.occurrence, key.step]:
        if ranges[-1][3] == key.index - 1:
            ranges[-1][3] = key.index
            return
    ranges.append([key.occurrence, key.step, key.index, key.index])


def _ranges(numbers: t.Iterable[int]) -> list[list[int]]:
    """Returns the first and last number of each range."""
    found: list[list[int]] = []
    for number in numbers:
        if found and found[-1][1] == number - 1:
            found[-1][1] = number
        else:
            found.append([number, number])
    return found


def _fields(job_run: JobRun, form: int) -> list:
    return [
        form,
        job_run.state.value,
        int(job_run.started),
        job_run.ended_ms,
        job_run.first_run_number,
    ]


def _encode_fields(
    job_run: JobRun,
    *,
    closed: list,
    complete_steps: list,
    tasks: list,
    suspects: t.Sequence[list] = (),
    unconfirmed: t.Sequence[list] = (),
    unanswered: t.Sequence[list] = (),
) -> bytes:
    fields = [*_fields(job_run, _FORMAT), closed, complete_steps, tasks]
    if suspects or unconfirmed or unanswered:
        # Earlier versions cannot read records with these fields.
        fields.append(suspects)
    if unconfirmed or unanswered:
        fields.append(unconfirmed)
    if unanswered:
        fields.append(unanswered)
    return msgspec.json.encode(fields)


def _encode_suspect(task: TaskRun) -> list:
    return [
        task.key.occurrence,
        task.key.step,
        task.key.index,
        task.crashes,
        task.isolated_crashes,
        [
            [attempt.worker, attempt.run, attempt.born_ms, attempt.isolated]
            for attempt in task.attempts
        ],
    ]


def _encode_unconfirmed(attempts: t.Iterable[Attempt]) -> list[list[int]]:
    rows = []
    for attempt in attempts:
        attempt.recorded_unconfirmed = not attempt.confirmed
        if not attempt.confirmed:
            key = attempt.task.key
            rows.append([key.occurrence, key.step, key.index, attempt.run])
    return rows


def _unsettled(job_run: JobRun) -> t.Iterator[TaskRun]:
    for step_runs in job_run.open_occurrences.values():
        for step_run in step_runs:
            yield from step_run.unsettled.values()


def _encode_unanswered(tasks: t.Iterable[TaskRun]) -> list[list]:
    """Returns the unanswered starts, by worker and run.

    An attempt that is not confirmed stands for one of its starts.
    """
    rows = []
    for task in tasks:
        if task.done:
            continue
        counts = collections.Counter(
            (start.worker, start.run) for start in task.unanswered
        )
        for (worker, run), count in counts.items():
            attempt = task.find_attempt(worker, run)
            if attempt is not None and not attempt.confirmed:
                count -= 1
            if count:
                rows.append([*task.key[1:], worker, run])
    return rows


def _encode_task(task: TaskRun) -> list:
    return [
        task.key.occurrence,
        task.key.step,
        task.key.index,
        int(task.done),
        task.next_run,
        task.failed_runs,
        task.checkpoint
        if len(task.checkpoint) <= _MAX_CHECKPOINT_CHARS
        else '',
        [[attempt.worker, attempt.run] for attempt in task.attempts],
    ]


_Number = t.Annotated[int, msgspec.Meta(ge=0, le=model.MAX_TIME_MS)]


class _Fields(msgspec.Struct, array_like=True):
    """Fields of a progress record in the order of its format."""

    format: int
    state: model.JobState
    started: int
    ended_ms: _Number
    first_run_number: _Number
    closed: list[_Number]
    complete_steps: list[tuple[_Number, _Number]]
    # Occurrence, step, index, done, next run, failed runs, checkpoint and the
    # workers and numbers of the attempts.
    tasks: list[
        tuple[
            _Number,
            _Number,
            _Number,
            int,
            _Number,
            list[_Number],
            str,
            list[tuple[str, _Number]],
        ]
    ]
    # Occurrence, step, index, crashes, isolated crashes and the attempts'
    # workers, numbers, incarnations and whether they are isolated.
    suspects: list[
        tuple[
            _Number,
            _Number,
            _Number,
            _Number,
            _Number,
            list[tuple[str, _Number, _Number, bool]],
        ]
    ] = []
    # Occurrence, step, index and number of the attempts that no worker has
    # confirmed.
    unconfirmed: list[tuple[_Number, _Number, _Number, _Number]] = []
    # Occurrence, step, index, worker and run of starts that may be executed
    # though their attempts have ended.
    unanswered: list[tuple[_Number, _Number, _Number, str, _Number]] = []
    # Of compact records: occurrence, step, first and last index of tasks that
    # are done; first and last of the closed occurrences; the parts.
    done: list[tuple[_Number, _Number, _Number, _Number]] = []
    closed_ranges: list[tuple[_Number, _Number]] = []
    parts: list[_Number] = []


def decode_ended(job_id: ids.JobId, value: bytes) -> EndedJob:
    """Returns the final state of a job whose job record was dropped.

    Raises InvalidRecord if the record cannot be read or the job has not
    ended.
    """
    with _raising_invalid_record(job_id):
        fields = _decode_fields(value)
    ended = EndedJob(fields.state, fields.ended_ms)
    if ended.state not in model.TERMINAL_STATES:
        raise exceptions.InvalidRecord(
            f'job {job_id} has not ended and has no job record'
        )
    return ended


def restore(
    job_run: JobRun,
    value: bytes,
    now_s: float,
    parts: t.Mapping[int, bytes] = types.MappingProxyType({}),
) -> None:
    """Sets the state of a new JobRun from its progress record.

    Recorded attempts count as running until their worker reports.
    Raises InvalidRecord if the record cannot be read, or a part is missing.

    :param parts: records of the job's parts, by the number of the first task.
    """
    with _raising_invalid_record(job_run.job.id):
        fields = _decode_fields(value)
        job_run.state = job_run.recorded_state = fields.state
        job_run.started = bool(fields.started)
        job_run.ended_ms = fields.ended_ms
        job_run.first_run_number = max(
            job_run.first_run_number, fields.first_run_number
        )
        job_run.closed_occurrences = set(fields.closed)
        for first, last in fields.closed_ranges:
            if last >= job_run.job.occurrence_count:
                raise IndexError(f'there is no occurrence {last}')
            job_run.closed_occurrences.update(range(first, last + 1))
        for occurrence, number in fields.complete_steps:
            step_run = _find_or_open_step(job_run, occurrence, number)
            for task in step_run.tasks:
                step_run.mark_done(task)
        _restore_tasks(job_run, fields, now_s)
        job_run.parts = list(fields.parts)
        job_run.part_keys.update(parts)
        for first in fields.parts:
            if first not in parts:
                raise exceptions.InvalidRecord(f'part {first} is missing')
            _restore_tasks(job_run, _decode_fields(parts[first]), now_s)


def _restore_tasks(job_run: JobRun, fields: _Fields, now_s: float) -> None:
    for occurrence, number, first, last in fields.done:
        step_run = _find_or_open_step(job_run, occurrence, number)
        if last >= len(step_run.tasks):
            raise IndexError(f'step {number} has no task {last}')
        for task in step_run.tasks[first : last + 1]:
            step_run.mark_done(task)
    for row in fields.tasks:
        _restore_task(job_run, row, now_s)
    for row in fields.suspects:
        _restore_suspect(job_run, row)
    for row in fields.unconfirmed:
        _restore_unconfirmed(job_run, row, now_s)
    for row in fields.unanswered:
        _restore_unanswered(job_run, row, now_s)


@contextlib.contextmanager
def _raising_invalid_record(job_id: ids.JobId) -> t.Iterator[None]:
    """Raises InvalidRecord for errors that an unreadable record causes."""
    try:
        yield
    except (exceptions.InvalidRecord, IndexError) as exc:
        reason = f'progress of job {job_id}: {exc}'
        raise exceptions.InvalidRecord(reason) from exc


def _decode_fields(value: bytes) -> _Fields:
    """Raises InvalidRecord."""
    fields = decoding.decode(value, _Fields)
    if fields.format not in (_FORMAT, _COMPACT_FORMAT):
        raise exceptions.InvalidRecord(
            f'unknown format {fields.format} of a progress record'
        )
    return fields


def _find_or_open_step(
    job_run: JobRun, occurrence: int, number: int
) -> StepRun:
    if occurrence >= job_run.job.occurrence_count:
        raise IndexError(f'there is no occurrence {occurrence}')
    if occurrence not in job_run.open_occurrences:
        job_run.open_occurrence(occurrence)
    return job_run.open_occurrences[occurrence][number]


def _restore_task(job_run: JobRun, row: tuple, now_s: float) -> None:
    occurrence, number, index, done, next_run, failed, checkpoint, attempts = (
        row
    )
    step_run = _find_or_open_step(job_run, occurrence, number)
    task = step_run.tasks[index]
    task.next_run = next_run
    task.failed_runs = failed
    task.checkpoint = checkpoint
    if done:
        step_run.mark_done(task)
    for worker, run in attempts:
        attempt = Attempt(
            task=task,
            worker=ids.WorkerId(worker),
            run=model.RunNumber(run),
            state=AttemptState.RUNNING,
            confirmed=True,
            visible_from_s=now_s,
            pace=UNKNOWN_PACE,
            slowed_since_s=now_s,
            resumed=True,
        )
        task.add_attempt(attempt)


def _restore_suspect(job_run: JobRun, row: tuple) -> None:
    occurrence, number, index, crashes, isolated_crashes, attempts = row
    step_run = _find_or_open_step(job_run, occurrence, number)
    step_run.suspected = True
    task = step_run.tasks[index]
    task.crashes = crashes
    task.isolated_crashes = isolated_crashes
    sent = {(worker, run): rest for worker, run, *rest in attempts}
    for attempt in task.attempts:
        born_ms, isolated = sent.get((attempt.worker, attempt.run), (0, False))
        attempt.born_ms = born_ms
        attempt.isolated = isolated


def _restore_unconfirmed(job_run: JobRun, row: tuple, now_s: float) -> None:
    """Marks an attempt whose start may have been sent until now."""
    occurrence, number, index, run = row
    step_run = _find_or_open_step(job_run, occurrence, number)
    for attempt in step_run.tasks[index].attempts:
        if attempt.run == run:
            attempt.confirmed = False
            attempt.sent_s = now_s
            attempt.task.add_unanswered(
                UnansweredStart(attempt.worker, attempt.run, now_s)
            )


def _restore_unanswered(job_run: JobRun, row: tuple, now_s: float) -> None:
    """Adds a start that may have been sent until now."""
    occurrence, number, index, worker, run = row
    step_run = _find_or_open_step(job_run, occurrence, number)
    step_run.tasks[index].add_unanswered(
        UnansweredStart(ids.WorkerId(worker), model.RunNumber(run), now_s)
    )
