"""Command line options of the daemon, defined in one table.

The settings page of the operators' documentation is generated from it too.
"""

import dataclasses
import inspect
import typing as t

import typer

from amaranthflow import exceptions

from . import settings

EXIT_WRONG_SETTING = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """Describes a setting for the command line and the documentation.

    :ivar unit: unit or format of the value.
    :ivar text: what the setting does.
    :ivar bad_values: values that are rejected.
    """

    name: str
    unit: str
    text: str
    bad_values: str

    @property
    def flag(self) -> str:
        """Command line flag."""
        return settings.flag_of(self.name)

    @property
    def variable(self) -> str:
        """Environment variable, used if the flag is not given."""
        return settings.variable_of(self.name)

    @property
    def default(self) -> str | None:
        """Default as text, None if the setting is required."""
        value = _DEFAULTS[self.name]
        if value is dataclasses.MISSING:
            return None
        if isinstance(value, settings.LogLevel):
            return value.value
        if isinstance(value, tuple):
            return ','.join(value)
        return f'{value:g}' if isinstance(value, float) else str(value)


_DEFAULTS = {f.name: f.default for f in dataclasses.fields(settings.Settings)}
_NOT_POSITIVE = '0, negative, not a number'
_NOT_ADDRESS = 'host names, port outside 1 to 65535'
_NOT_NAME = 'other than letters, digits, ".", "_", "-"; over 63 characters'
_NOT_URL = 'other schemes, missing host, query or fragment'

OPTIONS = (
    Option(
        name='instance_id',
        unit='NAME',
        text='Name of this instance, unique in the fleet.',
        bad_values=_NOT_NAME,
    ),
    Option(
        name='zone',
        unit='NAME',
        text='Availability zone of this instance.',
        bad_values=f'{_NOT_NAME}; not in --zones if that is given',
    ),
    Option(
        name='region',
        unit='NAME',
        text='Region of this instance.',
        bad_values=_NOT_NAME,
    ),
    Option(
        name='zones',
        unit='NAME,NAME',
        text='Known availability zones; empty allows any.',
        bad_values=_NOT_NAME,
    ),
    Option(
        name='http_address',
        unit='IP:PORT',
        text='Address for callers (HTTP).',
        bad_values=f'{_NOT_ADDRESS}; in use',
    ),
    Option(
        name='peer_address',
        unit='IP:PORT',
        text='Address for other instances and operators (gRPC).',
        bad_values=f'{_NOT_ADDRESS}; in use; same as --http-address',
    ),
    Option(
        name='log_url',
        unit='URL',
        text="The platform's log service.",
        bad_values=_NOT_URL,
    ),
    Option(
        name='list_url',
        unit='URL',
        text="The platform's list of instances.",
        bad_values=_NOT_URL,
    ),
    Option(
        name='statsd_address',
        unit='IP:PORT',
        text='Receiver of statsd metrics (UDP); empty sends none.',
        bad_values=_NOT_ADDRESS,
    ),
    Option(
        name='start_peers',
        unit='IP:PORT,...',
        text='Peers to fetch the state from if the log is down at startup.',
        bad_values=_NOT_ADDRESS,
    ),
    Option(
        name='heartbeat_s',
        unit='SECONDS',
        text='Time between heartbeats on each connection to a peer.',
        bad_values=_NOT_POSITIVE,
    ),
    Option(
        name='suspect_s',
        unit='SECONDS',
        text='Silence after which a connection is replaced.',
        bad_values=f'{_NOT_POSITIVE}; not over --heartbeat-s',
    ),
    Option(
        name='fence_s',
        unit='SECONDS',
        text='Time for which a confirmation of rack ownership is valid.',
        bad_values=f'{_NOT_POSITIVE}; not over twice --heartbeat-s',
    ),
    Option(
        name='task_lease_s',
        unit='SECONDS',
        text='Lease of a task on a worker.',
        bad_values=f'{_NOT_POSITIVE}; not over --fence-s',
    ),
    Option(
        name='clock_margin_s',
        unit='SECONDS',
        text='Allowance for clocks that run at different rates.',
        bad_values=_NOT_POSITIVE,
    ),
    Option(
        name='list_delay_s',
        unit='SECONDS',
        text="Maximum delay of the platform's list of instances.",
        bad_values=_NOT_POSITIVE,
    ),
    Option(
        name='batch_delay_ms',
        unit='MILLISECONDS',
        text='Maximum wait for more records before an append.',
        bad_values=_NOT_POSITIVE,
    ),
    Option(
        name='log_appends_per_s',
        unit='APPENDS/S',
        text='Upper limit of appends to the log by this instance.',
        bad_values=_NOT_POSITIVE,
    ),
    Option(
        name='max_body_bytes',
        unit='BYTES',
        text="Maximum body size of a caller's request.",
        bad_values='not an integer, under 1024, over 67108864',
    ),
    Option(
        name='memory_mb',
        unit='MB',
        text='Memory of the machine; clients may hold an eighth of it.',
        bad_values='not an integer, under 64, over 1048576',
    ),
    Option(
        name='max_descriptors',
        unit='DESCRIPTORS',
        text='Descriptors of the process; clients may take a quarter.',
        bad_values='not an integer, under 128, over 1048576',
    ),
    Option(
        name='drain_s',
        unit='SECONDS',
        text='Maximum duration of a graceful shutdown after SIGTERM.',
        bad_values=_NOT_POSITIVE,
    ),
    Option(
        name='log_level',
        unit='LEVEL',
        text='Minimum level written: debug, info, warning, error.',
        bad_values='other words',
    ),
)


def make_app(
    run: t.Callable[[settings.Settings], int],
) -> typer.Typer:
    """Builds the command line of the daemon.

    ``run`` gets the validated settings and returns the exit code. Each
    ``SettingsError``, also if raised by ``run`` alone or in a group, is
    printed as one line on standard error, and the exit code is 2.
    """
    app = typer.Typer(
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
    )

    def command(**values: str | None) -> None:
        """Runs an entry instance until it has drained after SIGTERM."""
        try:
            code = run(settings.Settings.from_values(**values))
        except* exceptions.SettingsError as group:
            print_errors(group)
            raise typer.Exit(EXIT_WRONG_SETTING) from None
        raise typer.Exit(code)

    command.__signature__ = inspect.Signature(
        [_parameter(option) for option in OPTIONS]
    )
    command.__annotations__ = {o.name: _annotation(o) for o in OPTIONS}
    app.command()(command)
    return app


def print_errors(group: BaseExceptionGroup) -> None:
    """Prints each error of a group as one line on standard error."""
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            print_errors(exc)
        else:
            typer.echo(f'amaranthflowd: {exc}', err=True)


def _annotation(option: Option) -> t.Any:
    default = option.default
    shown = 'required' if default is None else f'default: {default or "none"}'
    declared = typer.Option(
        option.flag,
        envvar=option.variable,
        metavar=option.unit,
        help=f'{option.text} [{shown}]',
        show_default=False,
    )
    return t.Annotated[str | None, declared]


def _parameter(option: Option) -> inspect.Parameter:
    return inspect.Parameter(
        option.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=_annotation(option),
    )
