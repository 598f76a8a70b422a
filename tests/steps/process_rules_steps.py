"""Steps for process_rules.feature."""

import asyncio
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

import aiohttp
import behave

from amaranthflow import ids
from amaranthflow_standins import process_fleet
from amaranthflow_standins import process_rules
from amaranthflow_standins import standin_process

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_AGE_S = 3 * 86_400
_WRITE = """
import sys
with open(sys.argv[1], 'wb') as file:
    file.write(bytes(100_000))
print('written', flush=True)
sys.stdin.read()
"""


def _folder(context):
    # Temporary folders are often in memory, which does not count as a disk.
    parent = _ROOT / 'build'
    parent.mkdir(exist_ok=True)
    folder = tempfile.TemporaryDirectory(dir=parent)
    context.add_cleanup(folder.cleanup)
    return pathlib.Path(folder.name)


@behave.given('a copy of the program whose files were last read days ago')
def step_copy(context):
    context.folder = _folder(context)
    copies = []
    for source in sorted((_ROOT / 'packages').glob('*/src')):
        copy = context.folder / source.parent.name
        shutil.copytree(source, copy)
        copies.append(str(copy))
    read_s = time.time() - _AGE_S
    for path in context.folder.rglob('*'):
        os.utime(path, (read_s, read_s))
    # A block that waits to be written anyway is not counted again.
    os.sync()
    previous = os.environ.get('PYTHONPATH')
    context.add_cleanup(_set_python_path, previous)
    _set_python_path(os.pathsep.join(copies))


def _set_python_path(value):
    os.environ.pop('PYTHONPATH', None)
    if value is not None:
        os.environ['PYTHONPATH'] = value


@behave.when("the program's files are read and a daemon is started")
def step_start(context):
    context.broken = asyncio.run(_broken_rules(context.folder))


async def _broken_rules(logs):
    async with aiohttp.ClientSession() as session:
        await process_fleet.read_program_files(session, logs)
        fleet = process_fleet.Fleet(session=session, logs=logs)
        try:
            await fleet.start_platform(
                standin_process.ProcessSpec(seed=1, platform=True)
            )
            instance = await fleet.start_instance(
                ids.InstanceId('i1'), ids.ZoneId('kannur')
            )
            await fleet.wait_ready(instance)
            return list(process_rules.broken_rules(instance.process.pid))
        finally:
            await fleet.close()


@behave.then('that daemon breaks no machine rule')
def step_no_rule(context):
    assert not context.broken, context.broken


@behave.when('a process writes a file and waits')
def step_write(context):
    process = subprocess.Popen(
        [sys.executable, '-c', _WRITE, str(_folder(context) / 'file')],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.communicate)
    assert process.stdout.readline() == 'written\n'
    context.broken = list(process_rules.broken_rules(process.pid))


@behave.then('that process has written to disks')
def step_written(context):
    (line,) = context.broken
    assert line.startswith('wrote '), line
