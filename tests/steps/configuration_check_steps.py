"""Steps for the check of a configuration."""

import dataclasses
import json
import pathlib
import tempfile

import behave
import msgspec
from typer import testing

from amaranthflow import ids
from amaranthflow_cli import main
from amaranthflow_scheduler import model

_PLANS = model.Queue(
    id=model.QueueId('plans'),
    host='h.example',
    prefix='/plans/',
    service=ids.ServiceId('s'),
    max_attempts=2,
    stretch=1.5,
    target_ms=250,
)
_QUOTES = dataclasses.replace(
    _PLANS, id=model.QueueId('quotes'), prefix='/quotes/'
)
_SORTS = dataclasses.replace(
    _PLANS, id=model.QueueId('sorts'), prefix='/sorts/'
)
_CFG = model.Configuration(
    version=7,
    queues=(_PLANS, _QUOTES),
    services=frozenset([ids.ServiceId('s')]),
    checked_services=frozenset(),
    max_body_bytes=4_096,
    max_head_bytes=2_048,
    head_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)
_NEW = dataclasses.replace(_CFG, version=8)


def _plans(**fields):
    plans = dataclasses.replace(_PLANS, **fields)
    return dataclasses.replace(_NEW, queues=(plans, _QUOTES))


_EDITS = {
    'two queues': _CFG,
    'a new version': _NEW,
    'a queue twice': dataclasses.replace(_NEW, queues=(_PLANS, _PLANS)),
    'no attempts': _plans(max_attempts=0),
    'no stretch': _plans(stretch=0.0),
    'a stretch below 1': _plans(stretch=0.5, target_ms=0),
    'a negative priority': _plans(priority=-1),
    'a negative target': _plans(target_ms=-1),
    'an unknown service': _plans(service=ids.ServiceId('nowhere')),
    'the same prefix twice': dataclasses.replace(
        _NEW, queues=(_PLANS, dataclasses.replace(_QUOTES, prefix='/plans/'))
    ),
    'no host': _plans(host=''),
    'a host with capitals': _plans(host='H.example'),
    'a port in a host': _plans(host='h.example:80'),
    'a prefix without a slash': _plans(prefix='plans/'),
    'a query in a prefix': _plans(prefix='/plans?a/'),
    'a space in a prefix': _plans(prefix='/pl ans/'),
    'a prefix beyond the head': _plans(prefix=f'/{"p" * 2_048}/'),
    'an open prefix': _plans(prefix='/plans'),
    'no body': dataclasses.replace(_NEW, max_body_bytes=0),
    'a short idle timeout': dataclasses.replace(_NEW, idle_timeout_ms=1_000),
    'a long head timeout': dataclasses.replace(_NEW, head_timeout_ms=60_001),
    'an unused service': dataclasses.replace(
        _NEW, services=_CFG.services | {ids.ServiceId('spare')}
    ),
    'a longer target': _plans(target_ms=500),
    'one queue': dataclasses.replace(_NEW, queues=(_PLANS,)),
    'three queues': dataclasses.replace(
        _NEW, queues=(_PLANS, _QUOTES, _SORTS)
    ),
    'workers that check': dataclasses.replace(
        _NEW, checked_services=_CFG.services
    ),
    'a longer body': dataclasses.replace(_NEW, max_body_bytes=8_192),
}
_FILES = {
    'a file without a queue': b'{"version":1}',
    'a file that is no JSON': b'{]',
}
_PLATFORM_FILE = {
    'version': 1,
    'routes': [
        {
            'name': 'r',
            'hostname': 'h.example',
            'path_prefix': '/r/',
            'service': 'nowhere',
        }
    ],
    'services': [],
}


def _file(context, name, content):
    if not hasattr(context, 'folder'):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = pathlib.Path(folder.name)
    path = context.folder / name
    path.write_bytes(content)
    return str(path)


def _check(context, *words):
    context.result = testing.CliRunner().invoke(main.app, ['check', *words])


@behave.given('a configuration with {edit}')
def step_configuration(context, edit):
    content = msgspec.json.encode(_EDITS[edit])
    context.file = _file(context, 'new.json', content)


@behave.when('cli checks it')
def step_check(context):
    _check(context, context.file)


@behave.when('cli checks it as JSON')
def step_check_json(context):
    _check(context, context.file, '--json')


@behave.when('cli checks it against two queues')
def step_check_against(context):
    old = _file(context, 'old.json', msgspec.json.encode(_CFG))
    _check(context, context.file, '--in-force', old)


@behave.when('cli checks the file "{name}"')
def step_check_file(context, name):
    if name == 'a missing file':
        _check(context, 'missing.json')
        return
    _check(context, _file(context, 'new.json', _FILES[name]))


@behave.when("cli checks a file in the platform's format")
def step_check_platform(context):
    file = _file(context, 'new.json', json.dumps(_PLATFORM_FILE).encode())
    decoder = 'amaranthflow_platform.wire:decode_configuration'
    _check(context, file, '--decoder', decoder)


@behave.when('cli checks with the decoder "{name}"')
def step_check_decoder(context, name):
    _check(context, 'missing.json', '--decoder', name)


@behave.then('the findings name "{subject}" as "{severity}"')
def step_findings(context, subject, severity):
    (found,) = json.loads(context.result.stdout)
    assert (found['subject'], found['severity']) == (subject, severity), found
