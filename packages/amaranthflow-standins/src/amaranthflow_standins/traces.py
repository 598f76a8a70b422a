"""Line-based file format of traces.

Each line of a trace is a ``TraceEvent`` in protobuf JSON, in order of time.
``python -m amaranthflow_standins.traces`` prints a generated trace.
"""

import argparse
import sys
import typing as t

from google.protobuf import json_format

from amaranthflow_schema.v1 import trace_pb2

from . import trace_generator


def write(events: t.Iterable[trace_pb2.TraceEvent], file: t.TextIO) -> None:
    """Writes one line for each event."""
    for event in events:
        file.write(line(event))
        file.write('\n')


def line(event: trace_pb2.TraceEvent) -> str:
    """Returns the line of one event, without the newline."""
    return json_format.MessageToJson(event, indent=None)


def read(file: t.Iterable[str]) -> t.Iterator[trace_pb2.TraceEvent]:
    """Parses the lines of a trace; blank lines are skipped.

    :raises google.protobuf.json_format.ParseError: a line is invalid.
    """
    for text in file:
        if text.strip():
            yield json_format.Parse(text, trace_pb2.TraceEvent())


def main() -> None:
    """Prints a generated trace."""
    parser = argparse.ArgumentParser(description='Prints a generated trace.')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--deployment',
        choices=[
            deployment.name for deployment in trace_generator.DEPLOYMENTS
        ],
        default='consortium',
    )
    parser.add_argument(
        '--trace',
        choices=[name.value for name in trace_generator.TraceName],
        default='ordinary-day',
    )
    args = parser.parse_args()
    events = trace_generator.generate(
        name=trace_generator.TraceName(args.trace),
        deployment=trace_generator.deployment(args.deployment),
        seed=args.seed,
    )
    write(events, sys.stdout)


if __name__ == '__main__':
    main()
