"""Steps for the features of the amaranthflow command."""

import json
import pathlib

import behave
from typer import testing

from amaranthflow import exceptions
from amaranthflow_cli import client as client_lib
from amaranthflow_cli import main
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import world_pb2
from amaranthflow_standins import operators

_EXAMPLES = pathlib.Path('docs/examples')
_NOW_MS = 1_796_342_400_000
# Longer than any reply takes, also on a busy machine.
_TIMEOUT_S = 30.0
# Waited for in vain at a silent instance; the next one replies within it.
_SILENCE_TIMEOUT_S = 3.0
_FIRST_CHANGES = ('tenant', 'service', 'worker', 'policy')


@behave.given('a cli fleet of {count:d} instance')
@behave.given('a cli fleet of {count:d} instances')
def step_fleet(context, count):
    context.fleet = []
    for number in range(1, count + 1):
        standin = operators.OperatorsStandin(
            instance_id=f'i{number}', now_ms=_NOW_MS
        )
        standin.start()
        context.add_cleanup(standin.stop)
        context.fleet.append(standin)
    # The address stays when an instance is stopped.
    context.addresses = [standin.address for standin in context.fleet]


@behave.given("cli's instance {number:d} is stopped")
def step_stopped(context, number):
    context.fleet[number - 1].stop()


@behave.given("cli's instance {number:d} loses its replies")
def step_loses(context, number):
    context.fleet[number - 1].fault = operators.Fault.LOST_REPLY


@behave.given("cli's instance {number:d} is silent")
def step_silent(context, number):
    context.fleet[number - 1].fault = operators.Fault.SILENT


@behave.given("cli's instance {number:d} rejects calls as invalid")
def step_invalid(context, number):
    context.fleet[number - 1].fault = operators.Fault.REFUSES


@behave.given("cli's instance {number:d} works again")
def step_well(context, number):
    context.fleet[number - 1].fault = operators.Fault.NONE


@behave.given("cli's instance {number:d} is not ready for {wait_ms:d} ms")
def step_not_ready(context, number, wait_ms):
    context.fleet[number - 1].fault = operators.Fault.NOT_READY
    context.fleet[number - 1].retry_after_ms = wait_ms


def _run(context, *args):
    words = [
        str(_EXAMPLES / word) if word.endswith('.json') else word
        for word in args
    ]
    env = {'AMARANTHFLOW_ADDRESS': ','.join(context.addresses)}
    context.result = testing.CliRunner(env=env).invoke(main.app, words)


@behave.when('cli runs "{command}"')
def step_run(context, command):
    _run(context, *command.split())
    for line in context.result.stdout.splitlines():
        if line.startswith('digest: '):
            context.digest = line.removeprefix('digest: ')


@behave.when('cli runs "{command}" with the digest of that review')
def step_run_digest(context, command):
    _run(context, *command.split(), '--digest', context.digest)


@behave.given('cli has sent "{file}"')
def step_sent(context, file):
    step_run(context, f'review {file}')
    step_run_digest(context, f'send {file}')
    step_code(context, 0)


@behave.then('cli ends with {code:d}')
def step_code(context, code):
    assert context.result.exit_code == code, context.result.output


@behave.then('cli prints "{text}"')
def step_prints(context, text):
    assert text in context.result.stdout, context.result.output


@behave.then('cli does not print "{text}"')
def step_prints_not(context, text):
    assert text not in context.result.output, context.result.output


@behave.then('cli lists "{first}" before "{second}"')
def step_order(context, first, second):
    text = context.result.stdout
    assert -1 < text.find(first) < text.find(second), text


@behave.then('cli\'s error line has "{text}"')
def step_error(context, text):
    (line,) = context.result.stderr.splitlines()
    assert text in line, line


@behave.then('cli prints JSON with "{path}"')
def step_json(context, path):
    value = json.loads(context.result.stdout)
    for name in path.split('.'):
        value = value[name]


@behave.then('cli\'s instance {number:d} received no "{method}"')
def step_received_no(context, number, method):
    methods = [call.method for call in context.fleet[number - 1].received]
    assert method not in methods, methods


@behave.then("cli's instance {number:d} received {count:d} calls")
def step_received(context, number, count):
    assert len(context.fleet[number - 1].received) == count


@behave.then('cli reviews every example of a first change as passed')
def step_examples(context):
    assert context.fleet
    for name in _FIRST_CHANGES:
        _run(context, 'review', f'{name}.json')
        step_code(context, 0)


@behave.given(
    'cli\'s instance {number:d} runs job "{job_id}" on worker "{worker_id}"'
)
def step_job(context, number, job_id, worker_id):
    reply = operators_pb2.JobReply(
        verdict=peer_pb2.RUN_VERDICT_COMPLETED,
        accepted=True,
        job_id=job_id,
        phase='running',
        attempt=2,
        evictions=1,
        worker_id=worker_id,
    )
    replies = context.fleet[number - 1].replies
    replies['ListJobs'] = operators_pb2.ListJobsReply(jobs=[reply])
    for method in ('SubmitJob', 'CancelJob', 'ShowJob'):
        replies[method] = reply


@behave.then(
    'cli\'s instance {number:d} received job "{job_id}" of "{tenant_id}"'
    ' to cancel'
)
def step_cancelled(context, number, job_id, tenant_id):
    call = context.fleet[number - 1].received[-1]
    assert call.method == 'CancelJob'
    assert call.request.job_id == job_id
    assert call.request.tenant_id == tenant_id


def _refuse(context, number, method, verdict, reason):
    context.fleet[number - 1].replies[method] = operators_pb2.JobReply(
        verdict=f'RUN_VERDICT_{verdict}', reason=reason
    )


@behave.given(
    'cli\'s instance {number:d} answers "{method}" with "{verdict}"'
    ' and "{reason}"'
)
def step_refuse(context, number, method, verdict, reason):
    _refuse(context, number, method, verdict, reason)


@behave.given(
    'cli\'s instance {number:d} answers "{method}" with "{verdict}"'
    ' and an escape'
)
def step_escape(context, number, method, verdict):
    _refuse(context, number, method, verdict, '\x1b[2Jgone')


@behave.given(
    'cli\'s instance {number:d} explains "{subject}" by "{later}"'
    ' after "{earlier}"'
)
def step_explain(context, number, subject, later, earlier):
    reply = operators_pb2.ExplainReply()
    reply.entries.add(at_ms=_NOW_MS + 5, decision=later, reason='noisy')
    reply.entries.add(at_ms=_NOW_MS, decision=earlier, reason='room')
    context.fleet[number - 1].replies['Explain'] = reply


@behave.given("cli's instance {number:d} knows no job")
def step_no_job(context, number):
    context.fleet[number - 1].replies['ShowJob'] = operators_pb2.JobReply(
        verdict=peer_pb2.RUN_VERDICT_NOT_RUN,
        phase='unknown',
        reason='unknown job',
    )


@behave.given("cli's instance {number:d} has a latency row")
def step_latency(context, number):
    reply = operators_pb2.LatencyReply()
    reply.rows.add(
        tenant_id='malabar',
        task_class='plan',
        count=12,
        p50_ms=3.5,
        p99_ms=9.2,
        p999_ms=9.9,
        max_ms=11,
    )
    context.fleet[number - 1].replies['Latency'] = reply


@behave.given('cli\'s instance {number:d} refuses every change: "{reason}"')
def step_refuses(context, number, reason):
    replies = context.fleet[number - 1].replies
    replies['SendChange'] = operators_pb2.ChangeReply(
        verdict=peer_pb2.RUN_VERDICT_NOT_RUN, reason=reason
    )


def _call(context, call):
    context.outcome = 'answered'
    try:
        context.reply = call()
    except exceptions.AmaranthflowError as exc:
        context.outcome = exc.verdict.label
        context.exc = exc


def _client(context):
    silent = any(
        standin.fault is operators.Fault.SILENT for standin in context.fleet
    )
    return client_lib.Client(
        addresses=context.addresses,
        timeout_s=_SILENCE_TIMEOUT_S if silent else _TIMEOUT_S,
    )


@behave.when("cli's client writes")
def step_writes(context):
    change = world_pb2.Change(
        change_id='c1',
        key='policy/global',
        policy=world_pb2.Policy(relief_slowdown=2),
    )
    req = operators_pb2.ChangeRequest(change=change)
    _call(context, lambda: _client(context).send(req))


@behave.when("cli's client reads")
def step_reads(context):
    _call(context, lambda: _client(context).status())


@behave.then('cli\'s client outcome is "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@behave.then("cli's client may try again after {wait_ms:d} ms")
def step_retry_after(context, wait_ms):
    assert context.exc.retry_after_ms == wait_ms


@behave.then("cli's client reply is accepted")
def step_reply_accepted(context):
    assert context.reply.accepted, context.reply


@behave.then('cli\'s client reply says "{reason}"')
def step_reply_says(context, reason):
    assert not context.reply.accepted
    assert context.reply.reason == reason
