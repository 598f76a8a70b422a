"""Injects random failures into a fleet of the scheduler, by seed."""

import argparse
import sys

from amaranthflow_standins import task_fuzz


def main() -> int:
    """Runs the seeds; returns 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument(
        '--seeds', type=int, default=20, help='number of seeds'
    )
    parser.add_argument(
        '--deadly', action='store_true', help='some tasks crash workers'
    )
    parser.add_argument(
        '--evacuated',
        action='store_true',
        help='operators evacuate availability zones',
    )
    parser.add_argument(
        '--restarted',
        action='store_true',
        help='workers restart under their ids and are cut off soon after',
    )
    parser.add_argument(
        '--stalled',
        action='store_true',
        help='with --restarted: starts of these workers wait before',
    )
    args = parser.parse_args()
    failed = 0
    runs = 0
    for seed in range(args.seed, args.seed + args.seeds):
        result = task_fuzz.explore(
            seed,
            deadly=args.deadly,
            evacuated=args.evacuated,
            restarted=args.restarted,
            stalled=args.stalled,
        )
        runs += result.runs
        if not result.violations:
            continue
        failed += 1
        print(f'seed {seed}:')
        for line in (*result.violations[:5], *result.faults):
            print(f'  {line}')
    print(f'{args.seeds} seeds, {runs} task runs, {failed} seeds failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
