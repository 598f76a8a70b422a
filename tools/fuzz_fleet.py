"""Runs random failures of a fleet of the daemon's parts, with a seed."""

import argparse
import asyncio
import sys

from amaranthflow_standins import fleet_fuzz

_STEPS_PER_RUN = 120


def main() -> int:
    """Runs one fleet for each 120 steps; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=600)
    args = parser.parse_args()
    runs = max(1, args.steps // _STEPS_PER_RUN)
    for seed in range(args.seed, args.seed + runs):
        fuzz = fleet_fuzz.FleetFuzz(seed=seed)
        broken = asyncio.run(fuzz.run(_STEPS_PER_RUN))
        if broken:
            print(f'seed {seed} broke a promise:')
            print('\n'.join([*broken, *fuzz.trace]))
            return 1
        count = sum(fuzz.events.values())
        print(f'seed {seed}: {count} failures and repairs, promises kept')
    return 0


if __name__ == '__main__':
    sys.exit(main())
