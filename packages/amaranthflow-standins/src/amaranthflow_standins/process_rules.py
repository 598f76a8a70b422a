"""Checks from outside that a running process obeys the machine rules."""

import os
import typing as t

from amaranthflow_daemon import resource_checks

_IO_URING = 'anon_inode:[io_uring]'


def broken_rules(pid: int) -> t.Iterator[str]:
    """Yields a line for each rule that the process violates now."""
    for thread in os.listdir(f'/proc/{pid}/task'):
        children = _read(f'/proc/{pid}/task/{thread}/children').split()
        if children:
            yield f'has child processes {children}'
    forbidden = (_IO_URING, *resource_checks.shared_memory_prefixes())
    for target in (*_open_files(pid), *_mapped_files(pid)):
        if target.startswith(forbidden):
            yield f'holds {target}'
    written_bytes = _written_bytes(pid)
    if written_bytes:
        yield f'wrote {written_bytes} bytes to disks'


def _read(path: str) -> str:
    try:
        with open(path) as file:
            return file.read()
    except OSError:
        return ''


def _open_files(pid: int) -> t.Iterator[str]:
    folder = f'/proc/{pid}/fd'
    for name in os.listdir(folder):
        try:
            yield os.readlink(f'{folder}/{name}')
        except OSError:
            continue


def _mapped_files(pid: int) -> t.Iterator[str]:
    for line in _read(f'/proc/{pid}/maps').splitlines():
        fields = line.split(maxsplit=5)
        if len(fields) == 6:
            yield fields[5]


def _written_bytes(pid: int) -> int:
    """Returns the bytes written to disk; the demo captures logs by pipe."""
    for line in _read(f'/proc/{pid}/io').splitlines():
        name, _, value = line.partition(': ')
        if name == 'write_bytes':
            return int(value)
    return 0
