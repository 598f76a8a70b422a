"""Steps for requests.feature."""

import hashlib
import pathlib
import tempfile

import behave

from amaranthflow_cli import errors
from amaranthflow_cli import requests


@behave.given("a requests file with '{text}'")
def step_file(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / 'request.json'
    path.write_text(text)
    context.files = [*getattr(context, 'files', []), path]


@behave.given("a requests file with '{text}' followed by {count:d} blanks")
def step_blanks(context, text, count):
    step_file(context, text + ' ' * count)


def _digests(context):
    return [
        requests.digest(requests.load_change(path)) for path in context.files
    ]


@behave.then('both requests files have the same digest')
def step_same(context):
    first, second = _digests(context)
    assert first == second


@behave.then('both requests files have different digests')
def step_different(context):
    first, second = _digests(context)
    assert first != second


@behave.then('its requests digest is the SHA-256 of hex "{data}"')
def step_bytes(context, data):
    expected = hashlib.sha256(bytes.fromhex(data)).hexdigest()
    assert _digests(context) == [expected]


@behave.then('the requests file is refused with "{problem}"')
@behave.then('the requests file is refused with ""')
def step_refused(context, problem=''):
    (path,) = context.files
    try:
        requests.load_change(path)
    except errors.RequestFileError as exc:
        line = errors.format_line(exc)
    else:
        raise AssertionError('it was accepted')
    assert str(path) in line and '\n' not in line, line
    assert problem in line, line
