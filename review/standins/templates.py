"""Filling in of a template with the fields of the settings.

``{{a.b}}`` is a value as text and ``{{a.b|json}}`` as JSON, ``{{#a}}`` and
``{{^a}}`` begin sections that end with ``{{/a}}``.
"""

import json
import re
import typing as t

_TAG = re.compile(r'\{\{([#^/]?)([^{}|\s]+)(\|json)?\}\}')
_NOTHING = object()


class _Entry(t.NamedTuple):
    """What a section is rendered for."""

    value: t.Any
    key: str | int = ''
    comma: str = ''


def render(template: str, fields: dict) -> str:
    """Returns the template filled in.

    Raises KeyError for a value as JSON that is not among the fields, and
    ValueError for a section without its begin or end.
    """
    return _render(template, [_Entry(fields)])


def _render(text: str, entries: list[_Entry]) -> str:
    """Fills in a text; the innermost entry is the first one."""
    done = []
    start = 0
    while match := _TAG.search(text, start):
        done.append(text[start : match.start()])
        start = match.end()
        sign, name, _ = match.groups()
        if sign:
            body, start = _body(text, match)
            done.extend(_section(sign, _find(name, entries), body, entries))
        else:
            done.append(_placeholder(match, entries))
    return ''.join(done) + text[start:]


def _body(text: str, begin: re.Match) -> tuple[str, int]:
    """Returns the text inside a section and the position after its end."""
    depth = 1 if begin[1] != '/' else 0
    for match in _TAG.finditer(text, begin.end()):
        if depth and match[1] and match[2] == begin[2]:
            depth += -1 if match[1] == '/' else 1
            if depth == 0:
                return text[begin.end() : match.start()], match.end()
    raise ValueError(f'section without its begin or end: {begin[0]}')


def _section(
    sign: str, value: t.Any, body: str, entries: list[_Entry]
) -> t.Iterator[str]:
    absent = value is _NOTHING or value is None or value is False
    if sign == '^':
        if absent:
            yield _render(body, entries)
    elif not absent:
        for entry in _entries(value):
            yield _render(body, [entry, *entries])


def _entries(value: t.Any) -> list[_Entry]:
    if isinstance(value, dict):
        rows = list(value.items())
    elif isinstance(value, list):
        rows = list(enumerate(value))
    else:
        return [_Entry(value)]
    last = len(rows) - 1
    return [
        _Entry(row, key, ',' if number < last else '')
        for number, (key, row) in enumerate(rows)
    ]


def _placeholder(match: re.Match, entries: list[_Entry]) -> str:
    name = match[2]
    if name == ',':
        return entries[0].comma
    value = entries[0].key if name == '@' else _find(name, entries)
    if not match[3]:
        return _text(value)
    if value is _NOTHING:
        raise KeyError(name)
    return json.dumps(value)


def _find(name: str, entries: list[_Entry]) -> t.Any:
    """Returns the value of a name in the innermost entry that has it."""
    if name == '.':
        return entries[0].value
    for entry in entries:
        value = entry.value
        for word in name.split('.'):
            value = _member(value, word)
        if value is not _NOTHING:
            return value
    return _NOTHING


def _member(value: t.Any, word: str) -> t.Any:
    if isinstance(value, dict):
        return value.get(word, _NOTHING)
    if isinstance(value, list) and word.isdecimal() and int(word) < len(value):
        return value[int(word)]
    return _NOTHING


def _text(value: t.Any) -> str:
    if value is _NOTHING or value is None:
        return ''
    if isinstance(value, str):
        return value
    if isinstance(value, list):
        return ','.join(_text(one) for one in value)
    return json.dumps(value)
