"""Steps for settings.feature."""

import errno
import os

import behave
from typer import testing

from amaranthflow_daemon import options
from amaranthflow_daemon import settings

_COMPLETE = {
    'instance_id': 'i1',
    'zone': 'Kannur',
    'zones': 'Kannur, Thrissur',
    'http_address': '127.0.0.1:8001',
    'peer_address': '127.0.0.1:9001',
    'log_url': 'http://127.0.0.1:7001',
    'list_url': 'http://127.0.0.1:7002/',
}


@behave.given('settings that are complete')
def step_complete(context):
    context.values = dict(_COMPLETE)


@behave.given('the setting "{name}" given as "{value}"')
def step_given(context, name, value):
    context.values[name] = value


@behave.given('the setting "{name}" left out')
def step_left_out(context, name):
    del context.values[name]


@behave.when('the settings are validated')
def step_check(context):
    context.errors = []
    try:
        context.cfg = settings.Settings.from_values(**context.values)
    except* Exception as group:
        context.errors = [str(exc) for exc in group.exceptions]


@behave.then('the setting "{name}" is "{value}"')
def step_value(context, name, value):
    assert not context.errors, context.errors
    assert str(getattr(context.cfg, name)) == value


@behave.then('the settings are refused only for "{name}", saying "{problem}"')
def step_refused(context, name, problem):
    # An invalid list of zones is reported for the zone that it lacks.
    name = 'zone' if name == 'zones' else name
    (line,) = context.errors
    flag = settings.flag_of(name)
    assert line.startswith(f'{flag} ({settings.variable_of(name)}): '), line
    assert problem in line, line
    assert '\n' not in line


@behave.then('the settings are refused for "{names}"')
def step_refused_all(context, names):
    flags = [line.split(' ')[0] for line in context.errors]
    assert flags == [settings.flag_of(name) for name in names.split(', ')]


def _prepare(context, args):
    context.args = args
    context.env = {}
    context.got = None

    def run(cfg):
        context.got = cfg
        return 0

    context.run = run


@behave.given('a settings command line that is complete')
def step_command_line(context):
    args = []
    for name, value in _COMPLETE.items():
        args += [settings.flag_of(name), value]
    _prepare(context, args)


@behave.given('a settings command line that asks for help')
def step_help(context):
    _prepare(context, ['--help'])


@behave.given('the settings variable "{variable}" is "{value}"')
def step_variable(context, variable, value):
    context.env[variable] = value


@behave.given('the settings flag "{flag}" is "{value}"')
def step_flag(context, flag, value):
    context.args += [flag, value]


@behave.given('a settings run that finds the HTTP port in use')
def step_in_use(context):
    def run(cfg):
        exc = OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        raise settings.bind_error('http_address', cfg.http_address, exc)

    context.run = run


@behave.when('the settings command line is run')
def step_run(context):
    app = options.make_app(lambda cfg: context.run(cfg))
    runner = testing.CliRunner(env={**context.env, 'COLUMNS': '200'})
    context.result = runner.invoke(app, context.args)


@behave.then('the settings command ends with {code:d}')
def step_code(context, code):
    assert context.result.exit_code == code, context.result.output


@behave.then('the run got the setting "{name}" as "{value}"')
def step_got(context, name, value):
    assert str(getattr(context.got, name)) == value, context.got


@behave.then('its only settings error line has "{text}"')
def step_line(context, text):
    (line,) = context.result.stderr.splitlines()
    assert text in line, line


@behave.then('the settings help names every flag, variable and default')
def step_help_complete(context):
    words = ' '.join(context.result.stdout.split())
    for option in options.OPTIONS:
        assert f'{option.flag} {option.unit}' in words, option
        assert f'[env var: {option.variable}]' in words, option
        if option.default:
            assert f'[default: {option.default}]' in words, option
    named = {option.name for option in options.OPTIONS}
    assert named == set(settings.Settings.__dataclass_fields__)
