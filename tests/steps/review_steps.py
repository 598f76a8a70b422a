"""Steps for the settings of the review's instances; no process starts."""

import json
import pathlib
import tempfile

import behave

from amaranthflow_platform import settings
from review.standins import instances
from review.standins import templates

_SEEDS = ['10.1.0.13:8166', '10.2.0.30:8166']
_STORE = '10.200.1.7:8169'
_FIELDS = {
    'name': 'one',
    'deep': {'word': 'w'},
    'list': ['a', 'b'],
    'zones': {'z1': 'r1', 'z2': 'r2'},
    'rows': [{'name': 'two'}, {'deep': {'word': 'v'}}],
    'empty': [],
    'yes': True,
    'no': False,
    'zero': 0,
    'none': None,
}


def _change(context, change):
    """Notes a change of the fields."""
    context.review_changes = [*_changes(context), change]


def _changes(context):
    return getattr(context, 'review_changes', ())


def _table(fields, name):
    """Returns the table of a dotted name, and the name in it."""
    *path, last = name.split('.')
    for word in path:
        fields = fields[word]
    return fields, last


@behave.given('review field "{name}" is {value}')
def step_field(context, name, value):
    def change(fields):
        table, last = _table(fields, name)
        table[last] = json.loads(value)

    _change(context, change)


@behave.given('there is no review field "{name}"')
def step_no_field(context, name):
    def change(fields):
        table, last = _table(fields, name)
        del table[last]

    _change(context, change)


@behave.when('a review instance writes its settings')
def step_write(context):
    context.error = None
    with tempfile.TemporaryDirectory() as folder:
        one = instances.Instance(
            name='edge-1',
            host='127.0.0.1',
            store=_STORE,
            folder=pathlib.Path(folder),
        )
        fields = one.fields(_SEEDS)
        for change in _changes(context):
            change(fields)
        context.instance = one
        try:
            path = one.write_settings(fields)
        except KeyError as exc:
            context.error = exc
            return
        context.cfg = settings.load(str(path))


@behave.then(
    'the program has the addresses, store and seeds of the review instance'
)
def step_addresses(context):
    cfg, one = context.cfg, context.instance
    assert cfg.instance == 'edge-1'
    assert cfg.callers_address == one.front
    assert cfg.ready_address == one.ready
    assert cfg.peers_address == one.control
    assert cfg.store.address == _STORE
    assert cfg.seeds == _SEEDS


@behave.then('the program has review setting {name} {value}')
def step_setting(context, name, value):
    found = getattr(context.cfg, name)
    assert found == json.loads(value), found


@behave.then('the review refuses to write them, naming "{name}"')
def step_not_written(context, name):
    assert context.error is not None and name in str(context.error)


@behave.when("review template '{template}' is filled in")
def step_render(context, template):
    context.error = None
    try:
        context.review_text = templates.render(template, _FIELDS)
    except ValueError as exc:
        context.error = exc


@behave.then("the review text is '{text}'")
def step_text(context, text):
    assert context.error is None, context.error
    assert context.review_text == text, context.review_text


@behave.then('the review refuses it, naming "{tag}"')
def step_refused(context, tag):
    assert context.error is not None and tag in str(context.error)
