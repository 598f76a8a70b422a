"""Steps for the stand-in instance list."""

import behave

from amaranthflow import platform
from amaranthflow_standins import clock as clock_lib
from amaranthflow_standins import instances
from amaranthflow_standins import scenario


@behave.given('a stand-in instance list with a delay of {seconds:d} seconds')
def step_list(context, seconds):
    context.clock = clock_lib.FakeClock()
    context.list = instances.InstanceListStandin(
        clock=context.clock, delay_s=seconds
    )


@behave.when('the stand-in list sets "{instance_id}" to "{phase}"')
def step_set(context, instance_id, phase):
    context.list.set_phase(instance_id, platform.InstancePhase(phase))


@behave.when('{seconds:d} seconds pass for the stand-in list')
def step_pass(context, seconds):
    context.clock.advance(seconds)


@behave.then('the stand-in list shows nothing')
def step_nothing(context):
    assert scenario.run(context, context.list.snapshot()) == {}


@behave.then('the stand-in list shows "{instance_id}" as "{phase}"')
def step_shows(context, instance_id, phase):
    expected = {instance_id: platform.InstancePhase(phase)}
    assert scenario.run(context, context.list.snapshot()) == expected
