"""Tables of the operators' documentation, generated from the code."""

import typing as t

from . import metrics
from . import options


def settings_table() -> str:
    """Returns the options of the daemon as a Markdown table."""
    header = ('Flag', 'Variable', 'Default', 'Unit', 'Meaning', 'Refused')
    rows = [
        (
            f'`{option.flag}`',
            f'`{option.variable}`',
            _default(option),
            option.unit,
            option.text,
            option.bad_values,
        )
        for option in options.OPTIONS
    ]
    return _table(header, rows)


def metrics_table() -> str:
    """Returns the metrics of the daemon as a Markdown table."""
    header = ('Name', 'Kind', 'Unit', 'Meaning')
    rows = [
        (
            f'`{_path(metric.value)}`',
            metric.value.kind.value,
            metric.value.unit,
            metric.value.text,
        )
        for metric in metrics.Metric
    ]
    return _table(header, rows)


def _default(option: options.Option) -> str:
    if option.default is None:
        return 'required'
    return f'`{option.default}`' if option.default else 'empty'


def _path(description: metrics.Description) -> str:
    suffix = '.TENANT.CLASS' if description.by_class else ''
    return f'{metrics.PREFIX}.{description.name}{suffix}'


def _table(header: t.Sequence[str], rows: t.Sequence[t.Sequence[str]]) -> str:
    lines = [header, ['---'] * len(header), *rows]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)
