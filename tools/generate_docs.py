"""Writes the generated tables into the documentation for operators.

A table is placed between two comment lines, ``<!-- NAME -->`` and
``<!-- end NAME -->``; the rest of a page is left unchanged.
"""

import pathlib
import sys

from amaranthflow_daemon import tables

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGES = (
    ('docs/operations/settings.md', 'settings', tables.settings_table),
    ('docs/operations/metrics.md', 'metrics', tables.metrics_table),
)


def replace_table(text: str, name: str, table: str) -> str:
    """Returns the page with the table between its comment lines.

    :raises ValueError: the page lacks the comment lines.
    """
    begin, end = f'<!-- {name} -->\n', f'<!-- end {name} -->\n'
    start = text.index(begin) + len(begin)
    stop = text.index(end, start)
    return text[:start] + table + text[stop:]


def main(args: list[str]) -> int:
    """Updates the pages; with ``--check`` only lists those out of date."""
    stale = []
    for page, name, make_table in _PAGES:
        path = _ROOT / page
        old = path.read_text()
        new = replace_table(old, name, make_table())
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
