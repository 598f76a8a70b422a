"""Checks for resources that this process must not use.

The daemon starts no process, opens no io_uring, shares no memory with other
processes and writes no file. The checks read the kernel's tables in /proc, so
they also find what a library has opened.
"""

import os
import pathlib
import stat
import typing as t

from amaranthflow import exceptions

_PROC = pathlib.Path('/proc')
_STANDARD_STREAMS = frozenset(('0', '1', '2'))
_SHARED_MEMORY = ('/memfd:', '/SYSV')
_IO_URING = 'anon_inode:[io_uring]'
_MAPS_FIELDS = 6
_MOUNT_FIELDS = 3


def shared_memory_prefixes(proc: pathlib.Path = _PROC) -> tuple[str, ...]:
    """Returns the path prefixes under which the kernel lists shared memory.

    POSIX shared memory consists of files in tmpfs mounts below /dev,
    wherever those are mounted.
    """
    prefixes = []
    for line in (proc / 'mounts').read_text().splitlines():
        fields = line.split(maxsplit=_MOUNT_FIELDS)
        mount_point, kind = fields[1], fields[2]
        if kind == 'tmpfs' and mount_point.startswith('/dev/'):
            prefixes.append(f'{mount_point}/')
    return (*_SHARED_MEMORY, *prefixes)


class ForbiddenResource(exceptions.SettingsError):
    """The process holds a resource that it must not use.

    :ivar findings: one line for each such resource.
    """

    def __init__(self, findings: t.Sequence[str]):
        super().__init__('forbidden: ' + '; '.join(findings))
        self.findings = tuple(findings)


def check_process(proc: pathlib.Path = _PROC, pid: int | None = None) -> None:
    """Checks the descriptors, mappings and children of a process.

    Standard streams may be files, because they are opened by the process
    that starts the daemon.

    :param proc: mount point of the proc file system.
    :param pid: process to check, this one by default.
    :raises ForbiddenResource: naming every forbidden resource.
    """
    pid = os.getpid() if pid is None else pid
    shared_prefixes = shared_memory_prefixes(proc)
    findings = [
        *_descriptor_findings(proc / str(pid), shared_prefixes),
        *_mapping_findings(proc / str(pid), shared_prefixes),
        *_child_findings(proc, pid),
    ]
    if findings:
        raise ForbiddenResource(findings)


def _descriptor_findings(
    process: pathlib.Path, shared_prefixes: tuple[str, ...]
) -> t.Iterator[str]:
    for link in sorted((process / 'fd').iterdir()):
        try:
            finding = _descriptor_finding(process, link, shared_prefixes)
        except FileNotFoundError:
            continue
        if finding:
            yield f'descriptor {link.name} {finding}'


def _descriptor_finding(
    process: pathlib.Path, link: pathlib.Path, shared_prefixes: tuple[str, ...]
) -> str:
    target = os.readlink(link)
    if target == _IO_URING:
        return 'is an io_uring'
    if target.startswith(shared_prefixes):
        return f'is shared memory {target}'
    if link.name in _STANDARD_STREAMS:
        return ''
    if _is_writable_file(process, link):
        return f'writes to file {target}'
    return ''


def _is_writable_file(process: pathlib.Path, link: pathlib.Path) -> bool:
    if not stat.S_ISREG(link.stat().st_mode):
        return False
    info = (process / 'fdinfo' / link.name).read_text()
    for line in info.splitlines():
        name, _, value = line.partition(':')
        if name == 'flags':
            return int(value, 8) & os.O_ACCMODE != os.O_RDONLY
    return False


def _mapping_findings(
    process: pathlib.Path, shared_prefixes: tuple[str, ...]
) -> t.Iterator[str]:
    found = set()
    for line in (process / 'maps').read_text().splitlines():
        fields = line.split(maxsplit=_MAPS_FIELDS - 1)
        permissions = fields[1]
        path = fields[-1] if len(fields) == _MAPS_FIELDS else 'no file'
        if path.startswith(_IO_URING):
            found.add('mapping of an io_uring')
        elif path.startswith(shared_prefixes):
            found.add(f'mapping of shared memory {path}')
        elif 'w' in permissions and 's' in permissions:
            found.add(f'shared writable mapping of {path}')
    yield from sorted(found)


def _child_findings(proc: pathlib.Path, pid: int) -> t.Iterator[str]:
    for path in proc.glob('[0-9]*/stat'):
        try:
            text = path.read_text()
        except (FileNotFoundError, ProcessLookupError):
            continue
        # The name in parentheses may itself contain spaces and parentheses.
        name, _, rest = text.rpartition(')')
        parent = int(rest.split()[1])
        if parent == pid:
            child = path.parent.name
            yield f'child process {child} {name.partition("(")[2]}'
