"""The ``amaranthflow`` command.

Exit codes: 0 done, 1 refused, 2 invalid flag, variable or file, 3 may have
run, 4 not run but may be tried again.
"""

import contextlib
import json
import pathlib
import sys
import typing as t
import uuid

import typer

from amaranthflow import exceptions
from amaranthflow import verdict as verdict_lib
from amaranthflow_scheduler import configuration_check
from amaranthflow_schema.v1 import operators_pb2

from . import calls
from . import client as client_lib
from . import configuration
from . import errors
from . import flags
from . import render
from . import report
from . import requests

_EPILOG = (
    'Exit codes: 0 done, 1 refused, 2 invalid flag, variable or file, 3 may'
    ' have run, 4 not run but may be tried again.'
)

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help='Operates an amaranthflow fleet.',
    epilog=_EPILOG,
)


@contextlib.contextmanager
def _errors_as_lines() -> t.Iterator[None]:
    """Prints an error as one line on standard error and exits."""
    try:
        yield
    except exceptions.AmaranthflowError as exc:
        typer.echo(render.escape_control(errors.format_line(exc)), err=True)
        raise typer.Exit(errors.exit_code(exc)) from None


def _client(address: str, timeout_s: float) -> client_lib.Client:
    addresses = flags.peer_addresses(address)
    return client_lib.Client(addresses=addresses, timeout_s=timeout_s)


def _print_reply(
    msg: t.Any, as_json: bool, text: t.Callable[[t.Any], str]
) -> None:
    """Prints a reply as JSON or text."""
    if as_json:
        typer.echo(json.dumps(render.fields(msg)))
    else:
        typer.echo(render.escape_control(text(msg)))


def _exit_unless_accepted(reply: t.Any) -> None:
    """Exits with the code for a refusal unless the reply is accepted."""
    if reply.accepted:
        return
    if reply.verdict == verdict_lib.Verdict.MAY_HAVE_RUN.value:
        raise typer.Exit(errors.ExitCode.MAY_HAVE_RUN)
    raise typer.Exit(errors.ExitCode.REFUSED)


@app.command(epilog=_EPILOG)
def status(
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Shows the state, racks and load of each instance."""
    with _errors_as_lines():
        addresses = flags.peer_addresses(address)
        reached = False
        for target in addresses:
            reached |= _print_status(target, timeout_s, as_json)
        if not reached:
            raise typer.Exit(errors.ExitCode.TRY_AGAIN)


def _print_status(address: str, timeout_s: float, as_json: bool) -> bool:
    client = client_lib.Client(addresses=[address], timeout_s=timeout_s)
    try:
        reply = client.status()
    except errors.Unreachable as exc:
        typer.echo(render.escape_control(errors.format_line(exc)), err=True)
        return False
    _print_reply(reply, as_json, render.status)
    return True


@app.command(epilog=_EPILOG)
def review(
    file: flags.File,
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Shows the change in FILE, its digest and the result of the checks."""
    with _errors_as_lines():
        req = requests.load_change(file)
        digest = requests.digest(req)
        if not as_json:
            typer.echo(render.escape_control(render.pretty_json(req)))
            typer.echo(f'digest: {digest}')
        reply = _client(address, timeout_s).review(req)
        if as_json:
            _print_review(req, digest, reply)
        else:
            typer.echo(render.escape_control(render.review(req, reply)))
        _exit_unless_accepted(reply)


def _print_review(
    req: operators_pb2.ChangeRequest,
    digest: str,
    reply: operators_pb2.ChangeReply,
) -> None:
    parts = {
        'request': render.fields(req),
        'digest': digest,
        'reply': render.fields(reply),
    }
    typer.echo(json.dumps(parts))


@app.command(epilog=_EPILOG)
def send(
    file: flags.File,
    digest: t.Annotated[
        str,
        typer.Option(metavar='SHA256', help='Digest printed by review.'),
    ] = '',
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Sends the change in FILE if its digest is that of the review.

    Sending the same file again after a lost reply is harmless: the change
    takes effect once.
    """
    with _errors_as_lines():
        req = requests.load_change(file)
        if not digest:
            raise errors.UsageError('--digest: is required; see review')
        requests.check_digest(req, digest, file)
        reply = _client(address, timeout_s).send(req)
        _print_reply(reply, as_json, render.change_reply)
        _exit_unless_accepted(reply)


@app.command(epilog=_EPILOG)
def show(
    key: t.Annotated[
        str,
        typer.Argument(metavar='[KEY]', help='For example service/cut-plans.'),
    ] = '',
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Shows the configuration in force and booked changes.

    Shows all keys if KEY is not given.
    """
    with _errors_as_lines():
        req = operators_pb2.ShowConfigurationRequest(key=key)
        reply = _client(address, timeout_s).show(req)
        if key and not reply.entries:
            raise exceptions.RequestRefused(f'{key} is not configured')
        _print_reply(reply, as_json, render.configuration)


@app.command(epilog=_EPILOG)
def check(
    file: flags.File,
    in_force: t.Annotated[
        pathlib.Path | None,
        typer.Option(metavar='FILE', help='Configuration in force.'),
    ] = None,
    decoder: t.Annotated[
        str,
        typer.Option(
            envvar='AMARANTHFLOW_DECODER',
            metavar='MODULE:FUNCTION',
            help='Reads files of another format.',
        ),
    ] = '',
    as_json: flags.Json = False,
) -> None:
    """Checks the scheduler's configuration in FILE before it is sent.

    Shows errors, queues that no request can match, limits that contradict
    one another and, with --in-force, what changes. Calls no instance. Exits
    with 1 if there is an error; warnings and changes are none.
    """
    with _errors_as_lines():
        decode = configuration.decode
        if decoder:
            decode = configuration.decoder(decoder)
        before = None
        if in_force is not None:
            before = configuration.load(in_force, decode)
        found = configuration_check.check(
            configuration.load(file, decode), before
        )
        if as_json:
            typer.echo(configuration.as_json(found))
        else:
            typer.echo(render.escape_control(configuration.as_text(found)))
        if configuration.has_errors(found):
            raise typer.Exit(errors.ExitCode.REFUSED)


@app.command(epilog=_EPILOG)
def submit(
    file: flags.File,
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Submits the batch job in FILE.

    Submitting the same file again after a lost reply is harmless: the job
    runs once.
    """
    with _errors_as_lines():
        req = requests.load_job(file)
        reply = _client(address, timeout_s).submit(req)
        _print_reply(reply, as_json, render.job_reply)
        _exit_unless_accepted(reply)


@app.command(epilog=_EPILOG)
def cancel(
    job_id: t.Annotated[str, typer.Argument(metavar='JOB')],
    tenant: flags.Tenant = '',
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Cancels a batch job."""
    with _errors_as_lines():
        req = _job_request(job_id, tenant)
        reply = _client(address, timeout_s).cancel(req)
        _print_reply(reply, as_json, render.job_reply)
        _exit_unless_accepted(reply)


@app.command(epilog=_EPILOG)
def job(
    job_id: t.Annotated[str, typer.Argument(metavar='JOB')],
    tenant: flags.Tenant = '',
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Shows the state of a batch job."""
    with _errors_as_lines():
        req = _job_request(job_id, tenant)
        reply = _client(address, timeout_s).job(req)
        _print_reply(reply, as_json, render.job)
        if reply.phase in ('', 'unknown'):
            raise typer.Exit(errors.ExitCode.REFUSED)


def _job_request(job_id: str, tenant: str) -> operators_pb2.JobRequest:
    return operators_pb2.JobRequest(
        tenant_id=flags.required_tenant(tenant), job_id=job_id
    )


@app.command(epilog=_EPILOG)
def jobs(
    tenant: flags.Tenant = '',
    limit: t.Annotated[
        int,
        typer.Option(
            metavar='COUNT', min=1, help='Maximum number of jobs to list.'
        ),
    ] = 100,
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Lists the batch jobs of a tenant."""
    with _errors_as_lines():
        req = operators_pb2.ListJobsRequest(
            tenant_id=flags.required_tenant(tenant), limit=limit
        )
        reply = _client(address, timeout_s).jobs(req)
        _print_reply(reply, as_json, render.jobs)


@app.command(epilog=_EPILOG)
def explain(
    subject: t.Annotated[
        str,
        typer.Argument(
            metavar='ID', help='Id of a job, a request, a worker or a rack.'
        ),
    ],
    tenant: flags.Tenant = '',
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Shows the decisions about ID and their reasons."""
    with _errors_as_lines():
        req = operators_pb2.ExplainRequest(
            tenant_id=tenant, subject_id=subject
        )
        reply = _client(address, timeout_s).explain(req)
        if not reply.entries:
            raise exceptions.RequestRefused(f'no decisions about {subject}')
        _print_reply(reply, as_json, render.explanation)


@app.command(epilog=_EPILOG)
def latency(
    tenant: flags.Tenant = '',
    address: flags.Address = '',
    timeout_s: flags.Timeout = flags.DEFAULT_TIMEOUT_S,
    as_json: flags.Json = False,
) -> None:
    """Shows latency percentiles for each tenant and class."""
    with _errors_as_lines():
        req = operators_pb2.LatencyRequest(tenant_id=tenant)
        reply = _client(address, timeout_s).latency(req)
        _print_reply(reply, as_json, render.latency)


@app.command(epilog=_EPILOG)
def call(
    service: t.Annotated[str, typer.Argument(metavar='SERVICE')],
    payload: t.Annotated[
        str,
        typer.Option(
            metavar='TEXT', help='Request body; "-" reads standard input.'
        ),
    ] = '-',
    tenant: flags.Tenant = '',
    request_id: t.Annotated[
        str,
        typer.Option(metavar='ID', help='Request id, generated if not given.'),
    ] = '',
    idempotent: t.Annotated[
        bool,
        typer.Option(
            '--idempotent', help='The request may run more than once.'
        ),
    ] = False,
    timeout_ms: t.Annotated[
        int, typer.Option(metavar='MILLISECONDS', min=1)
    ] = 2000,
    http_address: flags.HttpAddress = '',
) -> None:
    """Calls a latency-critical service and prints the reply."""
    with _errors_as_lines():
        addresses = flags.http_addresses(http_address)
        req = calls.Call(
            service_id=service,
            tenant_id=flags.required_tenant(tenant),
            request_id=request_id or uuid.uuid4().hex,
            payload=_payload(payload),
            timeout_ms=timeout_ms,
            idempotent=idempotent,
        )
        reply = calls.send(addresses, req)
        sys.stdout.buffer.write(reply)
        if sys.stdout.isatty():
            sys.stdout.buffer.write(b'\n')
        sys.stdout.buffer.flush()


@app.command('report', epilog=_EPILOG)
def make_report(
    files: t.Annotated[
        list[pathlib.Path],
        typer.Argument(
            metavar='FILE...', help='JSON lines printed by benchmarks.'
        ),
    ],
    output: t.Annotated[
        pathlib.Path,
        typer.Option(metavar='FILE', help='HTML page to write.'),
    ] = pathlib.Path('report.html'),
) -> None:
    """Creates an HTML page with plots from benchmarks' JSON lines."""
    with _errors_as_lines():
        text = report.render_page(report.load(files))
        try:
            output.write_text(text)
        except OSError as exc:
            raise errors.UsageError(
                f'--output: {output}: {exc.strerror}'
            ) from exc
        typer.echo(f'wrote {output}')


def _payload(text: str) -> bytes:
    return sys.stdin.buffer.read() if text == '-' else text.encode()


if __name__ == '__main__':
    app()
