"""Injects random failures into a fleet of the daemon's components."""

import argparse
import asyncio
import sys

from amaranthflow_standins import fleet_fuzz

_STEPS_PER_RUN = 120


def main() -> int:
    """Runs one fleet per 120 steps; returns 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=600)
    args = parser.parse_args()
    runs = max(1, args.steps // _STEPS_PER_RUN)
    for seed in range(args.seed, args.seed + runs):
        fuzz = fleet_fuzz.FleetFuzz(seed=seed)
        violations = asyncio.run(fuzz.run(_STEPS_PER_RUN))
        if violations:
            print(f'seed {seed} violated an invariant:')
            print('\n'.join([*violations, *fuzz.trace]))
            return 1
        count = sum(fuzz.events.values())
        print(f'seed {seed}: {count} failures and repairs, no violations')
    return 0


if __name__ == '__main__':
    sys.exit(main())
