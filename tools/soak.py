"""Soak test: runs the real processes under injected faults, by seed."""

import argparse
import os
import pathlib
import sys

from amaranthflow_platform_standins import soak

_LOG_FOLDER = pathlib.Path(__file__).resolve().parents[1] / 'build' / 'soak'


def main() -> int:
    """Runs the seeds; returns 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--instances', type=int, default=4)
    parser.add_argument('--workers', type=int, default=5)
    args = parser.parse_args()
    size = soak.Size(
        seconds=args.seconds, instances=args.instances, workers=args.workers
    )
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = _LOG_FOLDER / f'{seed}-{os.getpid()}'
        report = soak.run_soak(seed, size=size, folder=folder)
        print(
            f'seed {seed}: {report.jobs} jobs, {report.runs} runs, '
            f'{len(report.faults)} faults, answers {report.answers}, '
            f'{len(report.violations)} invariant violations'
        )
        if report.violations:
            failed += 1
            for line in (*report.violations[:10], *report.faults):
                print(f'  {line}')
            print(f'  logs: {folder}')
    print(f'{args.seeds} seeds, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
