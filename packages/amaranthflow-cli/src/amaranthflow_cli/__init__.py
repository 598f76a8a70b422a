"""Command line of operators and callers."""

import os

# grpc reads this when it is first used. Its messages about closed connections
# would mix with the command's output.
os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
