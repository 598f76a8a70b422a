"""HTML page with plots of the JSON lines printed by benchmarks and the demo.

The fields of a line decide how it is plotted, whichever benchmark it is from:

- ``p50_ms``, ``p99_ms``, ``p999_ms``: tail latency;
- ``evictions``: evictions;
- names that end in ``_per_s`` or ``_per_hour``: throughput;
- ``sizes`` and ``values`` (lists of equal length), ``slope``, ``intercept``
  and, optionally, ``target`` (a size) and ``unit``: a capacity slope.

The string values of a line form its label. Nested objects are treated as
separate lines that inherit the label.
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
    """Numeric values of one line or of one object nested in a line."""

    label: str
    values: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Measured sizes and values with their linear fit.

    :ivar target: size up to which the fit is drawn, None for the largest one
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
    """All measurements read from the files.

    :ivar skipped: lines that are not JSON objects.
    """

    rows: list[Row] = dataclasses.field(default_factory=list)
    slopes: list[Slope] = dataclasses.field(default_factory=list)
    skipped: int = 0


def load(paths: t.Sequence[pathlib.Path]) -> Measurements:
    """Reads JSON lines; other lines are skipped and counted.

    :raises RequestFileError: for an unreadable file or one without
        measurements.
    """
    measurements = Measurements()
    for path in paths:
        before = len(measurements.rows) + len(measurements.slopes)
        for line in _lines(path):
            _add_line(measurements, path.stem, line)
        if len(measurements.rows) + len(measurements.slopes) == before:
            raise errors.RequestFileError(f'{path}: no measurements in it')
    return measurements


def render_page(measurements: Measurements) -> str:
    """Returns a self-contained HTML page.

    :raises UsageError: if plotly is not installed.
    """
    figures = _figures(measurements)
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
        f'<h1>amaranthflow report</h1>{"".join(parts)}{_table(measurements)}'
        '</body></html>\n'
    )


def _lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text().splitlines()
    except OSError as exc:
        raise errors.RequestFileError(f'{path}: {exc.strerror}') from exc
    except UnicodeDecodeError as exc:
        raise errors.RequestFileError(f'{path}: not UTF-8 text') from exc


def _add_line(measurements: Measurements, name: str, line: str) -> None:
    try:
        record = json.loads(line)
    except ValueError:
        record = None
    if not isinstance(record, dict):
        measurements.skipped += bool(line.strip())
        return
    _add_record(measurements, (name,), record)


def _add_record(
    measurements: Measurements,
    labels: tuple[str, ...],
    record: dict[str, t.Any],
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
        measurements.slopes.append(slope)
        return
    values = {k: float(v) for k, v in record.items() if _is_number(v)}
    if values:
        measurements.rows.append(Row(label=label, values=values))
    for key, value in record.items():
        items = value if isinstance(value, list) else [value]
        for item in items:
            if isinstance(item, dict):
                _add_record(measurements, (*labels, key), item)


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


def _figures(measurements: Measurements) -> list[t.Any]:
    rates = sorted(
        {
            k
            for row in measurements.rows
            for k in row.values
            if k.endswith(_RATES)
        }
    )
    figures = [
        _bars('Tail latency', 'ms', measurements.rows, _PERCENTILES),
        _bars('Evictions', 'evictions', measurements.rows, ('evictions',)),
    ]
    figures += [
        _bars(f'Throughput: {rate}', rate, measurements.rows, (rate,))
        for rate in rates
    ]
    figures += [_slope_figure(slope) for slope in measurements.slopes]
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
    """Returns a grouped bar chart, None if no row has any of the names."""
    graph = _plotly()
    bars = []
    for name in names:
        matching = [row for row in rows if name in row.values]
        if matching:
            bars.append(
                graph.Bar(
                    name=name,
                    x=_labels(matching),
                    y=[row.values[name] for row in matching],
                )
            )
    if not bars:
        return None
    figure = graph.Figure(bars)
    figure.update_layout(
        title=title, yaxis_title=axis, barmode='group', height=_HEIGHT_PX
    )
    return figure


def _labels(rows: t.Sequence[Row]) -> list[str]:
    """Returns the labels; rows with equal labels get a value appended."""
    counts = collections.Counter(row.label for row in rows)
    labels = []
    for row in rows:
        key, value = next(iter(row.values.items()))
        shared = counts[row.label] > 1
        suffix = f' ({key} {value:g})' if shared else ''
        labels.append(row.label + suffix)
    return labels


def _slope_figure(slope: Slope) -> t.Any:
    graph = _plotly()
    last = max(slope.sizes) if slope.target is None else slope.target
    ends = (min(slope.sizes), last)
    measured = graph.Scatter(
        name='measured', mode='markers', x=slope.sizes, y=slope.values
    )
    fit = graph.Scatter(
        name=f'fit, {slope.at(last):.4g} at {last:g}',
        mode='lines',
        x=ends,
        y=[slope.at(size) for size in ends],
    )
    figure = graph.Figure([measured, fit])
    figure.update_layout(
        title=f'Capacity: {slope.label}',
        xaxis_title='size',
        yaxis_title=slope.unit,
        height=_HEIGHT_PX,
    )
    return figure


def _table(measurements: Measurements) -> str:
    """Returns an HTML table of all rows."""
    lines = [
        f'<tr><td>{html.escape(row.label)}</td><td>'
        + ', '.join(f'{html.escape(k)} {v:g}' for k, v in row.values.items())
        + '</td></tr>'
        for row in measurements.rows
    ]
    return (
        f'<h2>Values</h2><p>{measurements.skipped} other lines skipped.</p>'
        f'<table>{"".join(lines)}</table>'
    )
