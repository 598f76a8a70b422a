"""Steps for the scheduler's unanswered_starts.feature."""

import dataclasses

import behave

from amaranthflow import ids
from amaranthflow_scheduler import commands
from amaranthflow_scheduler import execution
from amaranthflow_scheduler import model
from amaranthflow_scheduler import ports
from amaranthflow_scheduler import scheduler
from amaranthflow_standins import task_fleet

_JOB = ids.JobId('a')
_RESPONSE_LIMIT_S = 0.3
_VOID_S = 1.7
_TICK_S = 0.05
_MAX_S = 30.0
_REPORT_S = 0.25
_LEASE_MS = 4_500
_REFUSALS = {
    'refuses': ports.Refusal.INVALID_TICKET,
    'has no room': ports.Refusal.NO_CAPACITY,
}
# A task whose worker has crashed waits for an isolated start first.
_AT_ONCE_S = 3.0
_TOKEN = model.Token(7)


class _Case:
    """A scheduler, its workers and what they answer.

    :ivar starts: second and worker of each start.
    :ivar born_ms: incarnation of each worker.
    :ivar silent: workers that do not report.
    """

    def __init__(self, step, *, gang_on_one=False):
        self.job = model.Job(
            id=_JOB,
            queue=task_fleet.QUEUE,
            payload='',
            steps=(step,),
            accepted_ms=1_000,
        )
        self.now_s = self._reported_s = 0.0
        self.starts = []
        # A gang of two needs another worker while one is lost.
        names = ('w1', 'w2', 'w3') if step.gang else ('w1', 'w2')
        if gang_on_one:
            names = ('w1', 'w2')
        self.born_ms = dict.fromkeys(names, 1)
        self.token = _TOKEN
        self.silent = set()
        self.ends = {name: [] for name in names}
        self.answers_starts = False
        self.answers_stops = False
        self.fault = ''
        self.new_core()

    def new_core(self):
        self.core = scheduler.Scheduler(
            limits=task_fleet.LIMITS, token=self.token, now_s=self.now_s
        )
        for name in self.born_ms:
            entry = task_fleet.worker_entry(name, address=name)
            self.core.on_entry_changed(entry, self.now_s)

    def worker(self, name):
        return self.core.workers[ids.WorkerId(name)]

    def report(self, name, running=()):
        report = ports.WorkerReport(
            clock_ms=round(1000 * self.now_s),
            born_ms=self.born_ms[name],
            running=list(running),
            ended=self.ends[name],
        )
        worker = self.worker(name)
        worker.token = self.token
        worker.extend_lease(report.clock_ms + _LEASE_MS)
        self.core.on_report(
            worker,
            report,
            self.now_s,
            self.now_s,
            round(1000 * self.now_s),
            token=self.token,
        )

    def listed(self, name):
        """Returns the confirmed runs of a worker that were not stopped."""
        ended = {(end.task, end.run) for end in self.ends[name]}
        return [
            ports.RunProgress(attempt.task.key, attempt.run, '', 1.0, 0.0)
            for attempt in self.worker(name).attempts
            if attempt.confirmed
            and (attempt.task.key, attempt.run) not in ended
        ]

    def plan(self):
        """Plans and carries out the commands that follow."""
        self.core.plan(self.now_s, round(1000 * self.now_s))
        for command in self.core.take_commands():
            if isinstance(command, commands.Start):
                self._start(command.attempt)
            elif isinstance(command, commands.Resolve):
                self.resolve(command.attempt)
            elif isinstance(command, commands.Stop):
                self._stop(command.attempt)

    def _stop(self, attempt):
        self.end(attempt, model.RunOutcome.STOPPED)

    def end(self, attempt, outcome):
        ends = self.ends[attempt.worker]
        number = len(ends) + 1
        key = attempt.task.key
        ends.append(ports.RunEnd(number, key, attempt.run, outcome, ''))

    def _start(self, attempt):
        self.starts.append((self.now_s, attempt.worker))
        attempt.visible_from_s = None
        self.core.on_sent(attempt, self.now_s)
        if attempt.worker == 'w1' and self.fault in _REFUSALS:
            refusal = _REFUSALS[self.fault]
            self.core.on_start_refused(attempt, refusal, self.now_s)
        elif attempt.worker == 'w1' and self.fault == 'is not reached':
            self.core.on_start_failed(attempt, self.now_s)
        elif self.answers_starts or attempt.worker != 'w1':
            self.core.on_started(attempt, self.now_s, 0.01)
        if attempt.worker == 'w1' and self.fault == 'fails':
            self.end(attempt, model.RunOutcome.FAILED)

    def leave_unanswered(self, attempt):
        self.core.on_start_uncertain(attempt, self.now_s + _VOID_S, self.now_s)

    def resolve(self, attempt):
        """Lets the worker accept the stop and list what it runs."""
        if not self.answers_stops:
            return
        self.core.on_stopped(attempt, self.now_s)
        report = ports.WorkerReport(
            clock_ms=round(1000 * self.now_s),
            born_ms=self.born_ms[attempt.worker],
            running=self.listed(attempt.worker),
            ended=[],
        )
        self.core.on_listed(attempt, report, self.now_s, self.now_s)

    def run(self, until_s):
        """Lets time pass; all workers that are not silent report."""
        while self.now_s < until_s - 1e-9:
            self.now_s = round(self.now_s + _TICK_S, 3)
            if self.now_s - self._reported_s >= _REPORT_S:
                self._reported_s = self.now_s
                for name in self.born_ms:
                    if name not in self.silent:
                        self.report(name, self.listed(name))
            self.core.tick(self.now_s, round(1000 * self.now_s))
            for worker in self.core.workers.values():
                for attempt in list(worker.attempts):
                    late = self.now_s - attempt.sent_s >= _RESPONSE_LIMIT_S
                    if attempt.state is execution.AttemptState.SENT and late:
                        self.leave_unanswered(attempt)
            self.plan()


def _step(kind, max_per_worker=1):
    return model.Step(
        count=2 if kind == 'gang' else 1,
        resources=model.Resources(1_000, 100, 0),
        estimate_ms=60_000,
        gang=kind == 'gang',
        service=kind == 'service',
        backups=kind == 'speculative task',
        max_per_worker=max_per_worker if kind == 'gang' else 0,
    )


@behave.given(
    'workers "w1" and "w2", and a {kind} whose start on "w1" at 2 s is not '
    'answered'
)
def step_unanswered(context, kind):
    context.case = case = _Case(_step(kind))
    case.now_s = 1.0
    for name in case.born_ms:
        case.report(name)
    case.silent.add(list(case.born_ms)[-1])
    case.now_s = 2.0
    for name in case.born_ms:
        if name not in case.silent:
            case.report(name)
    for name in case.silent:
        case.worker(name).back_off(2.0, 0.1)
    case.core.add_job(case.job)
    case.plan()
    assert ids.WorkerId('w1') in [name for _, name in case.starts], case.starts
    case.silent.clear()
    (context.attempt,) = case.worker('w1').attempts
    context.task = context.attempt.task
    case.now_s = 2.3
    case.leave_unanswered(context.attempt)
    case.core.take_commands()
    context.before = len(case.starts)


@behave.given('workers "w1" and "w2", and a task of which {what} at 2 s')
def step_no_effect(context, what):
    context.case = case = _Case(_step('task'))
    case.fault = 'has no room' if 'no room' in what else 'is not reached'
    case.now_s = 2.0
    case.report('w1')
    case.core.add_job(case.job)
    case.plan()
    assert case.starts == [(2.0, 'w1')], case.starts
    (task,) = case.core.jobs[_JOB].tasks()
    context.task = task
    context.before = len(case.starts)
    case.silent.add('w1')


def _accept_stop(context):
    context.case.answers_stops = True
    context.case.resolve(context.attempt)


def _restart(context, *, fenced):
    case = context.case
    case.now_s = round(case.now_s + 0.05, 3)
    case.born_ms['w1'] += 1_000
    case.ends['w1'].clear()
    entry = case.worker('w1').entry
    case.core.on_entry_changed(
        dataclasses.replace(entry, born_ms=case.born_ms['w1']), case.now_s
    )
    case.report('w1')
    if fenced:
        case.now_s = round(case.now_s + 0.05, 3)
        case.token = model.Token(case.token + 1)
        case.report('w1')


@behave.when('"w1" reports no more, accepts its stop at 4 s and lists nothing')
def step_then_silent(context):
    case = context.case
    case.silent.add('w1')
    case.run(4.0)
    _accept_stop(context)
    case.answers_stops = False


@behave.when('"w1" accepts its stop and answers other starts')
def step_stopped(context):
    case = context.case
    _accept_stop(context)
    for attempt in list(case.worker('w1').attempts):
        case.resolve(attempt)
    case.now_s = round(case.now_s + 0.05, 3)
    case.worker('w1').answered_s = case.now_s


@behave.when('"w1" {fault} the further starts of the task for {seconds:g} s')
def step_fault(context, fault, seconds):
    case = context.case
    case.fault = fault
    case.answers_starts = True
    case.run(case.now_s + seconds)


@behave.when('a start of the task on "w2" at 2 s may be executed as well')
def step_two_workers(context):
    start = execution.UnansweredStart(
        ids.WorkerId('w2'), model.RunNumber(1), 2.0
    )
    context.task.add_unanswered(start)


@behave.when('"w1" belongs to another service')
def step_other_service(context):
    case = context.case
    entry = dataclasses.replace(
        case.worker('w1').entry, service=ids.ServiceId('other')
    )
    case.core.on_entry_changed(entry, case.now_s)


@behave.when('"w1" restarts at 13 s and is not fenced')
def step_restart_later(context):
    context.case.run(13.0)
    context.case.silent.clear()
    _restart(context, fenced=False)


@behave.when('"w1" lists the end of the run as stopped')
def step_listed_end(context):
    case = context.case
    case.end(context.attempt, model.RunOutcome.STOPPED)
    case.now_s = 2.4
    case.report('w1')


@behave.when('"w1" drains')
def step_drains(context):
    case = context.case
    entry = dataclasses.replace(
        case.worker('w1').entry, state=model.WorkerState.DRAINING
    )
    case.core.on_entry_changed(entry, case.now_s)
    context.began_s = case.now_s


@behave.then('the task has had at most {count:d} starts on "{name}"')
def step_at_most(context, count, name):
    starts = [worker for _, worker in context.case.starts if worker == name]
    assert 1 < len(starts) <= count, context.case.starts


@behave.then('the run goes on there until its task is free, and on "w2" then')
def step_moved_later(context):
    case = context.case
    case.run(3.95)
    assert len(case.starts) == context.before, case.starts
    assert not case.ends['w1'], case.ends
    case.run(5.5)
    assert case.starts[-1][1] == 'w2', case.starts


@behave.given(
    'workers "w1" and "w2", and a gang with two members on "w1", whose starts '
    'at 2 s are not answered'
)
def step_gang_on_one(context):
    step = _step('gang', max_per_worker=0)
    context.case = case = _Case(step, gang_on_one=True)
    case.now_s = 2.0
    case.report('w1')
    case.core.add_job(case.job)
    case.plan()
    assert [name for _, name in case.starts] == ['w1', 'w1'], case.starts
    case.now_s = 2.3
    for attempt in list(case.worker('w1').attempts):
        case.leave_unanswered(attempt)
    case.core.take_commands()
    context.attempt = case.worker('w1').attempts[0]
    context.before = len(case.starts)


@behave.then('no member has another start until second {second:g}')
def step_no_member(context, second):
    context.case.run(second)
    assert len(context.case.starts) == context.before, context.case.starts


@behave.then('all members start together from second {second:g} on')
def step_gang_together(context, second):
    case = context.case
    case.run(second + 0.5)
    later = [started_s for started_s, _ in case.starts[context.before :]]
    assert len(later) == 2 and min(later) >= second, case.starts
    assert len(set(later)) == 1, case.starts


@behave.when('"w1" restarts and is fenced')
def step_fenced(context):
    _restart(context, fenced=True)


@behave.when('"w1" restarts twice and is fenced')
def step_fenced_twice(context):
    _restart(context, fenced=False)
    _restart(context, fenced=True)


@behave.when('"w1" restarts and is not fenced')
def step_not_fenced(context):
    _restart(context, fenced=False)


@behave.when('"w1" reports no more')
def step_silent(context):
    context.case.silent.add('w1')


@behave.when('"w1" is asked and lists the run')
def step_listed(context):
    case, attempt = context.case, context.attempt
    row = ports.RunProgress(attempt.task.key, attempt.run, '', 1.0, 0.0)
    report = ports.WorkerReport(
        clock_ms=2_300, born_ms=1, running=[row], ended=[]
    )
    case.core.on_listed(attempt, report, case.now_s, case.now_s)


@behave.when('its next start is answered')
def step_next_answered(context):
    case = context.case
    case.answers_starts = True
    case.run(case.now_s + 2 * _TICK_S)
    assert case.worker('w1').attempts[0].confirmed
    context.before = len(case.starts)


@behave.when('the start is sent again at 2.35 s, and {outcome}')
def step_sent_again(context, outcome):
    case, attempt = context.case, context.attempt
    case.now_s = 2.35
    case.core.on_sent_again(attempt, 2.35 + _VOID_S, 2.35)
    if outcome == 'answered':
        case.core.on_started(attempt, 2.35)


@behave.when('another leader is elected at 5 s, to which only "w2" reports')
def step_next_leader(context):
    case = context.case
    case.run(5.0)
    record = case.core.progress_record(_JOB)
    case.token = model.Token(case.token + 1)
    case.new_core()
    case.core.restore_job(case.job, record, case.now_s)
    case.core.on_restored(case.now_s, 5_000, store_was_lost=False)
    case.report('w2', case.listed('w2'))


@behave.when('"w1" answers stops and reports, but no starts, for 40 s')
def step_stops_only(context):
    context.case.answers_stops = True
    context.case.resolve(context.attempt)
    context.case.run(context.case.now_s + 40.0)


@behave.when('"w1" answers reports only, for 20 s')
def step_reports_only(context):
    context.case.run(context.case.now_s + 20.0)


@behave.when('its job is cancelled and "w1" accepts the stop')
def step_cancelled(context):
    case = context.case
    case.core.cancel(_JOB, round(1000 * case.now_s))
    case.core.on_stopped(context.attempt, case.now_s)
    case.core.take_commands()


@behave.when('"w1" restarts and lists the run')
def step_restart_lists(context):
    case, attempt = context.case, context.attempt
    case.now_s = 2.5
    case.born_ms['w1'] += 1_000
    row = ports.RunProgress(attempt.task.key, attempt.run, '', 1.0, 0.0)
    case.report('w1', [row])


@behave.then('"w1" is told to stop the run')
def step_told_to_stop(context):
    sent = context.case.core.take_commands()
    assert commands.Stop(context.attempt) in sent, sent


@behave.when('another worker answers at the address of "w1"')
def step_replaced(context):
    case = context.case
    case.core.on_worker_replaced(case.worker('w1'), case.now_s, 2_300)
    case.silent.add('w1')


@behave.then('the task starts on "{name}" from second {second:g} on')
def step_starts_from(context, name, second):
    case = context.case
    while len(case.starts) == context.before and case.now_s < _MAX_S:
        case.run(case.now_s + _TICK_S)
    started_s, worker = case.starts[context.before]
    assert worker in (name, 'w3'), case.starts
    assert second - 0.1 <= started_s <= second + 0.3, case.starts


@behave.then('the task starts again from second {second:g} on')
def step_starts_again(context, second):
    case = context.case
    case.run(second + 0.3)
    started_s, _ = case.starts[context.before]
    assert started_s >= second, case.starts


@behave.then('the task starts on "{name}" at once')
def step_starts_at_once(context, name):
    case = context.case
    due_s = case.now_s + _AT_ONCE_S
    while len(case.starts) == context.before and case.now_s < due_s:
        case.run(case.now_s + _TICK_S)
    assert len(case.starts) > context.before, case.starts
    assert case.starts[context.before][1] == name, case.starts


@behave.then('the task has no other start until second {second:g}')
def step_no_start(context, second):
    context.case.run(second)
    assert len(context.case.starts) == context.before, context.case.starts


@behave.then('the run goes on without a stop')
def step_goes_on(context):
    assert context.attempt.state is execution.AttemptState.RUNNING
    assert context.attempt in context.case.worker('w1').attempts


@behave.when('another leader is elected and "w1" lists the run')
def step_next_leader_listed(context):
    case = context.case
    record = case.core.progress_record(_JOB)
    case.token = model.Token(case.token + 1)
    case.new_core()
    case.core.restore_job(case.job, record, case.now_s)
    (task,) = case.core.jobs[_JOB].tasks()
    (attempt,) = task.attempts
    row = ports.RunProgress(task.key, attempt.run, '', 1.0, 0.0)
    case.report('w1', [row])
    context.task = task


@behave.then('the task is still bound to "{name}"')
def step_still_bound(context, name):
    found = [start.worker for start in context.task.unanswered]
    assert found == [name], context.task.unanswered


@behave.then('the task is bound to no worker')
def step_unbound(context):
    assert not context.task.unanswered, context.task.unanswered


@behave.then(
    'the starts of the task were on "{names}", the last one from second '
    '{second:g} on'
)
def step_sequence(context, names, second):
    starts = context.case.starts
    assert [worker for _, worker in starts] == names.split(), starts
    assert starts[-1][0] >= second, starts
