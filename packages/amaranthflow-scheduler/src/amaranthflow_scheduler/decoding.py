"""Decoding of JSON that another program has written."""

import functools
import typing as t

import msgspec

from amaranthflow import exceptions


def decode(value: bytes, kind: t.Any = t.Any) -> t.Any:
    """Returns the value as an object of a type.

    Raises InvalidRecord whatever is wrong with the value: besides invalid
    JSON and other types, the decoder refuses deeply nested values with
    RecursionError.
    """
    try:
        return _decoder(kind).decode(value)
    except (ValueError, RecursionError) as exc:
        raise exceptions.InvalidRecord(str(exc)) from exc


@functools.cache
def _decoder(kind: t.Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)
