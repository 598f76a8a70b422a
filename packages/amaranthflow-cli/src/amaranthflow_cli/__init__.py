"""Command line of operators and callers."""

import os

# Read by grpc when it is first used; its notes on closed connections would
# stand among the command's own lines.
os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
