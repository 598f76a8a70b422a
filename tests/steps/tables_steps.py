"""Steps for tables.feature."""

import pathlib

import behave

from amaranthflow_daemon import metrics
from amaranthflow_daemon import options
from amaranthflow_daemon import tables

_TABLES = {
    'settings': tables.settings_table,
    'metrics': tables.metrics_table,
}
_HEADER_LINES = 2


@behave.then('the tables page "{page}" contains the current "{name}" table')
def step_current(context, page, name):
    text = pathlib.Path(page).read_text()
    _, _, rest = text.partition(f'<!-- {name} -->\n')
    found, _, _ = rest.partition(f'<!-- end {name} -->\n')
    assert found == _TABLES[name](), 'run tools/generate_docs.py'


@behave.then('the tables have one row for each option and metric')
def step_rows(context):
    rows = tables.settings_table().splitlines()[_HEADER_LINES:]
    assert len(rows) == len(options.OPTIONS)
    rows = tables.metrics_table().splitlines()[_HEADER_LINES:]
    assert len(rows) == len(metrics.Metric)
