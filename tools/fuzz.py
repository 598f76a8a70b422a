"""Runs the model-based test of recovery with many steps and a given seed."""

import argparse
import sys

import hypothesis
from hypothesis import stateful

from amaranthflow_standins import recovery_model

_STEPS_PER_RUN = 100


def main() -> int:
    """Runs the state machine; returns 0, or raises the failing check."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=2000)
    args = parser.parse_args()
    runs = max(1, args.steps // _STEPS_PER_RUN)
    print(f'fuzz: seed {args.seed}, {runs} runs of {_STEPS_PER_RUN} steps')
    hypothesis.seed(args.seed)(recovery_model.RecoveryMachine)
    settings = hypothesis.settings(
        max_examples=runs,
        stateful_step_count=_STEPS_PER_RUN,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(
        recovery_model.RecoveryMachine, settings=settings
    )
    print('fuzz: no invariant was violated')
    return 0


if __name__ == '__main__':
    sys.exit(main())
