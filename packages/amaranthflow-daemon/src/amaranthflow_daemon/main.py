"""Entry point of ``amaranthflowd``."""

import os

# libuv reads this when it is loaded; io_uring is not allowed on the machines.
os.environ['UV_USE_IO_URING'] = '0'

import asyncio  # noqa: E402

import uvloop  # noqa: E402

from . import options  # noqa: E402
from . import process  # noqa: E402
from . import settings  # noqa: E402


def run(cfg: settings.Settings) -> int:
    """Runs the daemon until SIGTERM; returns the exit code."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(process.Process(cfg=cfg).run())


app = options.make_app(run)

if __name__ == '__main__':
    app()
