"""Steps for report.feature."""

import html.parser
import pathlib
import tempfile

import behave
from typer import testing

from amaranthflow_cli import main


class _Links(html.parser.HTMLParser):
    """Collects the external resources that a page would load."""

    def __init__(self):
        super().__init__()
        self.links = []

    def handle_starttag(self, tag, attrs):
        if tag in ('script', 'link', 'img'):
            self.links += [v for k, v in attrs if k in ('src', 'href')]


@behave.given('a report file with these lines')
def step_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.source = pathlib.Path(folder.name) / 'measured.jsonl'
    context.source.write_text(context.text)
    context.output = context.source.with_suffix('.html')


@behave.when('the report is made')
def step_make(context):
    args = ['report', str(context.source), '--output', str(context.output)]
    context.result = testing.CliRunner().invoke(main.app, args)


@behave.then('the report ends with {code:d}')
def step_code(context, code):
    assert context.result.exit_code == code, context.result.output


@behave.then('the report has the titles "{titles}"')
def step_titles(context, titles):
    page = context.output.read_text()
    for title in titles.split(', '):
        assert f'"title":{{"text":"{title}"}}' in page, title


@behave.then('the report has no title with "{text}"')
def step_no_title(context, text):
    assert f'"title":{{"text":"{text}' not in context.output.read_text()


@behave.then('the report has the text "{text}"')
def step_text(context, text):
    assert text in context.output.read_text()


@behave.then('the report draws the fit to {value:d} at {size:d}')
def step_fit(context, value, size):
    page = context.output.read_text()
    assert f'"x":[3,{size}],"y":[30,{value}]' in page


@behave.then('the report loads no external resource')
def step_links(context):
    links = _Links()
    links.feed(context.output.read_text())
    assert links.links == []


@behave.then('the report\'s error has "{text}"')
def step_error(context, text):
    (line,) = context.result.stderr.splitlines()
    assert text in line, line
