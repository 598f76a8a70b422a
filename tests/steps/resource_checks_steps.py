"""Steps for resource_checks.feature."""

import os
import pathlib
import tempfile

import behave

from amaranthflow_daemon import resource_checks

_PID = 77
_MAP = '7f0000000000-7f0000001000 {} 00000000 00:00 0     {}\n'


def _make_proc(context):
    """Creates a proc file system with one process in a temporary folder."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    proc = pathlib.Path(folder.name)
    for name in ('fd', 'fdinfo'):
        (proc / str(_PID) / name).mkdir(parents=True)
    (proc / str(_PID) / 'stat').write_text(f'{_PID} (self) S 1 0')
    maps = _MAP.format('rw-p', '[heap]') + _MAP.format('rw-p', '')
    (proc / str(_PID) / 'maps').write_text(maps)
    mounts = 'proc /proc proc rw 0 0\ntmpfs /dev/shm tmpfs rw,nosuid 0 0\n'
    (proc / 'mounts').write_text(mounts)
    return proc


def _open(proc, number, target, flags):
    (proc / str(_PID) / 'fd' / number).symlink_to(target)
    info = proc / str(_PID) / 'fdinfo' / number
    info.write_text(f'pos:\t0\nflags:\t{flags:o}\n')


def _open_file(proc, number, flags):
    path = proc / 'file'
    path.write_text('')
    _open(proc, number, path, flags)


def _map(proc, permissions, path):
    with (proc / str(_PID) / 'maps').open('a') as maps:
        maps.write(_MAP.format(permissions, path))


def _process(proc, pid, parent):
    (proc / str(pid)).mkdir()
    text = f'{pid} (some (odd) name) S {parent} 0'
    (proc / str(pid) / 'stat').write_text(text)


# Like the kernel's, these links may point to names that do not exist.
_RESOURCES = {
    'an io_uring': lambda p: _open(p, '9', 'anon_inode:[io_uring]', 0),
    'an io_uring mapping': lambda p: _map(p, 'rw-s', 'anon_inode:[io_uring]'),
    'a memfd': lambda p: _open(p, '9', '/memfd:x', os.O_RDWR),
    'a shm mapping': lambda p: _map(p, 'rw-s', '/dev/shm/x'),
    'a read-only shm mapping': lambda p: _map(p, 'r--s', '/dev/shm/x'),
    'a shared mapping': lambda p: _map(p, 'rw-s', '/dev/zero (deleted)'),
    'a file for writing': lambda p: _open_file(p, '9', os.O_WRONLY),
    'a child': lambda p: _process(p, 78, _PID),
    'a file for reading': lambda p: _open_file(p, '9', os.O_RDONLY),
    'a file as stdout': lambda p: _open_file(p, '1', os.O_WRONLY),
    'a private mapping': lambda p: _map(p, 'rw-p', '/lib/libc.so.6'),
    'another process child': lambda p: _process(p, 78, _PID + 2),
}


@behave.given('a process table for the resource checks')
def step_table(context):
    context.proc = _make_proc(context)


@behave.given('the checked process holds {resource}')
def step_resource(context, resource):
    _RESOURCES[resource](context.proc)


@behave.when('the resource checks inspect the process')
def step_inspect(context):
    _inspect(context, proc=context.proc, pid=_PID)


def _inspect(context, **options):
    context.findings = ()
    try:
        resource_checks.check_process(**options)
    except resource_checks.ForbiddenResource as exc:
        assert '\n' not in str(exc)
        context.findings = exc.findings


@behave.then('the resource checks find nothing')
def step_nothing(context):
    assert context.findings == (), context.findings


@behave.then('the resource checks find only "{finding}"')
def step_found(context, finding):
    (line,) = context.findings
    assert finding in line, line


@behave.given('a descriptor for writing in the process of the resource checks')
def step_descriptor(context):
    context.file = tempfile.TemporaryFile()
    context.add_cleanup(context.file.close)


@behave.when('the resource checks inspect this process')
def step_inspect_current(context):
    _inspect(context)


@behave.then('the resource checks report that descriptor')
def step_named(context):
    wanted = f'descriptor {context.file.fileno()} writes to file'
    assert any(wanted in f for f in context.findings), context.findings
