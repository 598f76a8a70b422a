"""Writes the generated tables into the operators' pages.

A table stands between two comment lines, ``<!-- NAME -->`` and
``<!-- end NAME -->``; the rest of a page is left as it is.
"""

import pathlib
import sys

from amaranthflow_daemon import tables

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGES = (
    ('docs/operations/settings.md', 'settings', tables.settings_table),
    ('docs/operations/metrics.md', 'metrics', tables.metrics_table),
)


def updated(text: str, name: str, table: str) -> str:
    """Returns a page with the table in its place.

    :raises ValueError: the page has no such place.
    """
    begin, end = f'<!-- {name} -->\n', f'<!-- end {name} -->\n'
    first = text.index(begin) + len(begin)
    last = text.index(end, first)
    return text[:first] + table + text[last:]


def main(args: list[str]) -> int:
    """Updates the pages; with ``--check`` only tells which are stale."""
    stale = []
    for page, name, make_table in _PAGES:
        path = _ROOT / page
        old = path.read_text()
        new = updated(old, name, make_table())
        if new == old:
            continue
        stale.append(page)
        if '--check' not in args:
            path.write_text(new)
    for page in stale:
        print(page)
    return 1 if stale and '--check' in args else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
