"""Steps for recovery.feature."""

import behave
import hypothesis
from hypothesis import stateful

from amaranthflow_standins import recovery_model


@behave.then(
    'the recovery model violates no invariant in {runs:d} runs'
    ' of {steps:d} steps'
)
def step_model(context, runs, steps):
    settings = hypothesis.settings(
        max_examples=runs,
        stateful_step_count=steps,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(
        recovery_model.RecoveryMachine, settings=settings
    )
