"""Steps for metrics.feature."""

import os
import pathlib
import re
import socket

import behave

from amaranthflow_daemon import metrics

_Metric = metrics.Metric


@behave.given('a metrics receiver')
def step_receiver(context):
    context.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.sock.bind(('127.0.0.1', 0))
    context.sock.settimeout(5)
    context.add_cleanup(context.sock.close)
    port = context.sock.getsockname()[1]
    context.metrics = metrics.Metrics(address=f'127.0.0.1:{port}')
    context.add_cleanup(context.metrics.close)


@behave.given('a metrics receiver that closes')
def step_closed(context):
    step_receiver(context)
    context.sock.close()


@behave.given('metrics without a receiver')
def step_none(context):
    context.before = len(os.listdir('/proc/self/fd'))
    context.metrics = metrics.Metrics(address='')


@behave.when(
    'metrics send a timing of {ms:g} ms for tenant "{tenant}" and class ""'
)
def step_timing(context, ms, tenant):
    context.metrics.timing(_Metric.REQUEST_MS, ms, tenant_id=tenant)


@behave.when(
    'metrics count {n:d} evictions for tenant "{tenant}" and class "{name}"'
)
def step_count(context, n, tenant, name):
    context.metrics.count(
        _Metric.EVICTIONS, n=n, tenant_id=tenant, task_class=name
    )


@behave.when('metrics set the slots free to {value:d}')
def step_gauge(context, value):
    context.metrics.gauge(_Metric.SLOTS_FREE, value)


@behave.then('metrics receive "{packet}"')
def step_receive(context, packet):
    assert context.sock.recv(1024).decode() == packet


@behave.then('metrics hold no socket')
def step_no_socket(context):
    assert len(os.listdir('/proc/self/fd')) == context.before


@behave.then('metrics raise no error after closing')
def step_used_after_close(context):
    context.metrics.close()
    context.metrics.gauge(_Metric.SLOTS_FREE, 1)


@behave.then('each metrics name is unique')
def step_unique(context):
    names = [metric.value.name for metric in _Metric]
    assert len(_Metric.__members__) == len(set(names))


@behave.then('each metrics member is used outside its own module')
def step_used(context):
    folder = pathlib.Path(metrics.__file__).parent
    text = ''.join(
        path.read_text()
        for path in folder.glob('*.py')
        if path.name != 'metrics.py'
    )
    words = set(re.findall(r'Metric\.([A-Z_]+)', text))
    assert words == set(_Metric.__members__)
