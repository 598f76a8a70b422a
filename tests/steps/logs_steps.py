"""Steps for logs.feature."""

import io
import json
import threading

import behave

from amaranthflow import linewriter
from amaranthflow_daemon import logs
from amaranthflow_daemon import settings


def _start(context, level, instance):
    context.stop = logs.configure(
        level=level, instance_id=instance, stream=context.stream
    )


@behave.given('a logs stream at level "{level}" for instance "{instance}"')
def step_stream(context, level, instance):
    context.stream = io.BytesIO()
    _start(context, settings.LogLevel(level), instance)


@behave.when(
    'logs write request "{request_id}" with an event inside attempt {n:d}'
)
def step_request(context, request_id, n):
    with logs.request_action(request_id, service='s'):
        with logs.request_action(request_id, attempt=n):
            logs.log_event('forwarded', worker='w1')


@behave.when('logs switch to instance "{instance}" and write job "{job_id}"')
def step_switch(context, instance, job_id):
    context.stop()
    _start(context, settings.LogLevel.INFO, instance)
    with logs.job_action(job_id):
        pass


@behave.when('logs write request "{request_id}" that fails with "{reason}"')
def step_fails(context, request_id, reason):
    try:
        with logs.request_action(request_id):
            raise ValueError(reason)
    except ValueError:
        return
    raise AssertionError('the exception was not propagated')


@behave.when('logs write an event about "{task_id}"')
def step_about(context, task_id):
    logs.log_event('decision', task_id=task_id, reason='room')


@behave.when('logs write one event and one action of each level')
def step_levels(context):
    for level in settings.LogLevel:
        logs.log_event('event', level=level)
        with logs.request_action('r1', level=level):
            assert logs.enabled(settings.LogLevel.ERROR)


def _lines(context):
    context.stop()
    text = context.stream.getvalue().decode()
    return [json.loads(line) for line in text.splitlines()]


@behave.then('logs have {count:d} lines')
def step_count(context, count):
    lines = _lines(context)
    assert len(lines) == count, lines


@behave.then(
    'logs lines {first:d} to {last:d} are of task "{task}" on "{instance}"'
)
def step_tasks(context, first, last, task, instance):
    for line in _lines(context)[first - 1 : last]:
        assert (line['task_uuid'], line['instance']) == (task, instance)


@behave.then('logs line {number:d} is of task "{task}" on "{instance}"')
def step_task(context, number, task, instance):
    line = _lines(context)[number - 1]
    assert (line['task_uuid'], line['instance']) == (task, instance)


@behave.then('logs nest the lines of attempt {n:d} under those of the request')
def step_levels_of_lines(context, n):
    levels = [line['task_level'] for line in _lines(context)[:5]]
    attempt = levels[1][0]
    assert levels == [[1], [attempt, 1], [attempt, 2], [attempt, 3], [2]]
    assert attempt % 10 == n


@behave.then('logs line {number:d} has "{field}" as "{value}"')
def step_field(context, number, field, value):
    assert _lines(context)[number - 1][field] == value


class _StalledStream(io.BytesIO):
    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.resume = threading.Event()

    def write(self, data):
        self.entered.set()
        self.resume.wait()
        return super().write(data)


class _ClosedStream(_StalledStream):
    def write(self, data):
        super().write(b'')
        raise BrokenPipeError


@behave.given('a logs writer for {limit:d} lines whose reader stalls')
def step_stalled(context, limit):
    context.stream = _StalledStream()
    context.writer = linewriter.LineWriter(stream=context.stream, limit=limit)


@behave.given('a logs writer whose reader has closed')
def step_closed(context):
    context.stream = _ClosedStream()
    context.failures = []
    hook = threading.excepthook
    context.add_cleanup(setattr, threading, 'excepthook', hook)
    threading.excepthook = context.failures.append
    context.writer = linewriter.LineWriter(stream=context.stream)


@behave.when('logs queue {count:d} lines and the reader resumes')
def step_queue(context, count):
    context.writer.write(b'{"n":0}\n')
    context.stream.entered.wait()
    for number in range(1, count + 1):
        context.writer.write(b'{"n":%d}\n' % number)
    context.stream.resume.set()
    context.stop = context.writer.stop


@behave.then(
    'logs have the first {kept:d} lines and the count of {lost:d} dropped'
)
def step_dropped(context, kept, lost):
    lines = _lines(context)
    assert [line.get('n') for line in lines] == [*range(kept + 1), None]
    assert lines[-1]['count'] == lost


@behave.then('logs show no failure of the writer')
def step_no_failure(context):
    assert context.failures == []
