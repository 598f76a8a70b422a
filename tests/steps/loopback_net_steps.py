"""Steps for loopback_net.feature."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile

import aiohttp
import behave

from amaranthflow import ids
from amaranthflow_standins import loopback_net
from amaranthflow_standins import process_fleet
from amaranthflow_standins import standin_process

_PORT_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
_RESERVE = """
import sys
from amaranthflow_standins import loopback_net

net = loopback_net.LoopbackNet(first=int(sys.argv[1]))
print(net.prefix, flush=True)
sys.stdin.read()
"""


@behave.given(
    'another process has reserved the loopback prefix number {first:d}'
)
def step_other_process(context, first):
    process = subprocess.Popen(
        [sys.executable, '-c', _RESERVE, str(first)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.process = process
    context.add_cleanup(process.communicate)
    context.other_prefix = process.stdout.readline().strip()


@behave.when('that process ends')
def step_process_ends(context):
    context.process.stdin.close()
    context.process.wait()
    context.process.stdin = None


@behave.when('a loopback prefix is reserved, trying number {first:d} first')
def step_reserve(context, first):
    context.net = loopback_net.LoopbackNet(first=first)
    context.add_cleanup(context.net.close)


@behave.then('it is another one than that of the other process')
def step_other_prefix(context):
    assert context.other_prefix.startswith('127.'), context.other_prefix
    assert context.net.prefix != context.other_prefix, context.other_prefix


@behave.then('it is the one that the other process had')
def step_same_prefix(context):
    found = (context.net.prefix, context.other_prefix)
    assert found[0] == found[1], found


@behave.given('a daemon as a process')
def step_daemon(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.loop.run_until_complete(_start(context, pathlib.Path(folder.name)))
    context.add_cleanup(
        lambda: context.loop.run_until_complete(_close(context))
    )


async def _start(context, folder):
    context.session = aiohttp.ClientSession()
    context.fleet = process_fleet.Fleet(session=context.session, logs=folder)
    await context.fleet.start_platform(
        standin_process.ProcessSpec(seed=1, platform=True)
    )
    context.instance = await context.fleet.start_instance(
        ids.InstanceId('i1'), ids.ZoneId('kannur')
    )


async def _close(context):
    await context.fleet.close()
    await context.session.close()


@behave.when('that daemon ends')
def step_daemon_ends(context):
    work = context.fleet.kill(context.instance.instance_id)
    context.loop.run_until_complete(work)


@behave.then(
    'no other process gets its ports from the system or from a reservation'
)
def step_ports_kept(context):
    first, last = map(int, _PORT_RANGE.read_text().split())
    instance = context.instance
    for address in (instance.http_address, instance.peer_address):
        host, _, port = address.rpartition(':')
        assert not first <= int(port) <= last, address
        prefix = host.rpartition('.')[0]
        octets = [int(part) for part in prefix.split('.')]
        net = loopback_net.LoopbackNet(first=(octets[1] - 1) * 256 + octets[2])
        net.close()
        assert net.prefix != prefix, address
