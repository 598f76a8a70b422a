"""Page with plots from the JSON lines that benchmarks and the demo print.

A line is sorted by its fields, whatever benchmark it is from:

- ``p50_ms``, ``p99_ms``, ``p999_ms``: tail latency;
- ``evictions``: evictions;
- names that end in ``_per_s`` or ``_per_hour``: throughput;
- ``sizes`` and ``values`` (lists of equal length), ``slope``, ``intercept``
  and, optionally, ``target`` (a size) and ``unit``: a capacity slope.

Its texts make its label; objects inside it are lines of their own that
inherit the label.
"""

import collections
import dataclasses
import html
import json
import pathlib
import typing as t

from . import errors

_PERCENTILES = ('p50_ms', 'p99_ms', 'p999_ms')
_RATES = ('_per_s', '_per_hour')
_HEIGHT_PX = 480


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Values of one line or of one object inside a line."""

    label: str
    values: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Measured sizes and values with their linear fit.

    :ivar target: size to which the fit is drawn, None for the last one
        measured.
    """

    label: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    target: float | None

    def at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return self.intercept + self.slope * size


@dataclasses.dataclass(slots=True, kw_only=True)
class Measurements:
    """All that was read from the files.

    :ivar skipped: lines that are not JSON objects.
    """

    rows: list[Row] = dataclasses.field(default_factory=list)
    slopes: list[Slope] = dataclasses.field(default_factory=list)
    skipped: int = 0


def load(paths: t.Sequence[pathlib.Path]) -> Measurements:
    """Reads JSON lines; other lines are skipped and counted.

    :raises RequestFileError: for a file without any JSON object.
    """
    found = Measurements()
    for path in paths:
        before = len(found.rows) + len(found.slopes)
        for line in _lines(path):
            _add_line(found, path.stem, line)
        if len(found.rows) + len(found.slopes) == before:
            raise errors.RequestFileError(f'{path}: no measurements in it')
    return found


def page(found: Measurements) -> str:
    """Returns one HTML page that needs no other file.

    :raises UsageError: where plotly is not installed.
    """
    figures = _figures(found)
    parts = [
        figure.to_html(
            full_html=False,
            include_plotlyjs=index == 0,
            div_id=f'figure-{index}',
        )
        for index, figure in enumerate(figures)
    ]
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        '<title>amaranthflow report</title></head><body>'
        f'<h1>amaranthflow report</h1>{"".join(parts)}{_table(found)}'
        '</body></html>\n'
    )


def _lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text().splitlines()
    except OSError as exc:
        raise errors.RequestFileError(f'{path}: {exc.strerror}') from exc
    except UnicodeDecodeError as exc:
        raise errors.RequestFileError(f'{path}: not UTF-8 text') from exc


def _add_line(found: Measurements, name: str, line: str) -> None:
    try:
        record = json.loads(line)
    except ValueError:
        record = None
    if not isinstance(record, dict):
        found.skipped += bool(line.strip())
        return
    _add_record(found, (name,), record)


def _add_record(
    found: Measurements, labels: tuple[str, ...], record: dict[str, t.Any]
) -> None:
    texts = [
        value
        for key, value in record.items()
        if isinstance(value, str) and key != 'unit'
    ]
    labels = (*labels, *texts)
    label = ': '.join(labels)
    slope = _slope(label, record)
    if slope is not None:
        found.slopes.append(slope)
        return
    values = {k: float(v) for k, v in record.items() if _is_number(v)}
    if values:
        found.rows.append(Row(label=label, values=values))
    for key, value in record.items():
        inner = value if isinstance(value, list) else [value]
        for item in inner:
            if isinstance(item, dict):
                _add_record(found, (*labels, key), item)


def _is_number(value: t.Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _slope(label: str, record: dict[str, t.Any]) -> Slope | None:
    sizes, values = record.get('sizes'), record.get('values')
    if not isinstance(sizes, list) or not isinstance(values, list):
        return None
    numbers = [*sizes, *values, record.get('slope'), record.get('intercept')]
    if len(sizes) != len(values) or not all(map(_is_number, numbers)):
        return None
    target = record.get('target')
    return Slope(
        label=label,
        unit=str(record.get('unit', '')),
        sizes=tuple(sizes),
        values=tuple(values),
        slope=record['slope'],
        intercept=record['intercept'],
        target=target if _is_number(target) else None,
    )


def _figures(found: Measurements) -> list[t.Any]:
    rates = sorted(
        {k for row in found.rows for k in row.values if k.endswith(_RATES)}
    )
    figures = [
        _bars('Tail latency', 'ms', found.rows, _PERCENTILES),
        _bars('Evictions', 'evictions', found.rows, ('evictions',)),
    ]
    figures += [
        _bars(f'Throughput: {rate}', rate, found.rows, (rate,))
        for rate in rates
    ]
    figures += [_slope_figure(slope) for slope in found.slopes]
    return [figure for figure in figures if figure is not None]


def _plotly() -> t.Any:
    try:
        from plotly import graph_objects
    except ImportError as exc:
        raise errors.UsageError(
            'report needs plotly: pip install "amaranthflow-cli[report]"'
        ) from exc
    return graph_objects


def _bars(
    title: str, axis: str, rows: t.Sequence[Row], names: t.Sequence[str]
) -> t.Any:
    """Returns grouped bars, None where no row has any of the names."""
    objects = _plotly()
    bars = []
    for name in names:
        having = [row for row in rows if name in row.values]
        if having:
            bars.append(
                objects.Bar(
                    name=name,
                    x=_labels(having),
                    y=[row.values[name] for row in having],
                )
            )
    if not bars:
        return None
    figure = objects.Figure(bars)
    figure.update_layout(
        title=title, yaxis_title=axis, barmode='group', height=_HEIGHT_PX
    )
    return figure


def _labels(rows: t.Sequence[Row]) -> list[str]:
    """Returns labels; rows that share one are told apart by a value."""
    counts = collections.Counter(row.label for row in rows)
    labels = []
    for row in rows:
        key, value = next(iter(row.values.items()))
        shared = counts[row.label] > 1
        suffix = f' ({key} {value:g})' if shared else ''
        labels.append(row.label + suffix)
    return labels


def _slope_figure(slope: Slope) -> t.Any:
    objects = _plotly()
    last = max(slope.sizes) if slope.target is None else slope.target
    ends = (min(slope.sizes), last)
    measured = objects.Scatter(
        name='measured', mode='markers', x=slope.sizes, y=slope.values
    )
    fit = objects.Scatter(
        name=f'fit, {slope.at(last):.4g} at {last:g}',
        mode='lines',
        x=ends,
        y=[slope.at(size) for size in ends],
    )
    figure = objects.Figure([measured, fit])
    figure.update_layout(
        title=f'Capacity: {slope.label}',
        xaxis_title='size',
        yaxis_title=slope.unit,
        height=_HEIGHT_PX,
    )
    return figure


def _table(found: Measurements) -> str:
    """Returns all rows as a table, values as they were read."""
    lines = [
        f'<tr><td>{html.escape(row.label)}</td><td>'
        + ', '.join(f'{html.escape(k)} {v:g}' for k, v in row.values.items())
        + '</td></tr>'
        for row in found.rows
    ]
    return (
        f'<h2>Values</h2><p>{found.skipped} other lines skipped.</p>'
        f'<table>{"".join(lines)}</table>'
    )
