"""Instances of the system, started with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import tomllib

from . import templates

ROOT = pathlib.Path(__file__).resolve().parents[2]
_START_TIMEOUT_S = 20.0


def loopback_net() -> str:
    """Returns a /24 prefix of loopback addresses for this process only."""
    pid = os.getpid()
    return f'127.{1 + (pid >> 8) % 250}.{pid % 256}'


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Instance:
    """An instance on a loopback address of its own."""

    def __init__(
        self, *, name: str, host: str, store: str, folder: pathlib.Path
    ):
        self.name = name
        self.host = host
        self.front = f'{host}:{_free_port(host)}'
        self.ready = f'{host}:{_free_port(host)}'
        self.control = f'{host}:{_free_port(host)}'
        self.exits = 0
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.json'
        self._store = store
        self._process: asyncio.subprocess.Process | None = None
        self._deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )

    def fields(self, seeds: list[str]) -> dict:
        """Returns the fields that the template of the settings may use."""
        return {
            'node_name': self.name,
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'control': self.control,
            },
            'seeds': seeds,
            'advice': None,
            'platform': {'address': self._store},
            'bounds': {
                'hold_max_ms': 6_000,
                'status_s': 120,
                'grace_s': 6,
            },
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4_100,
                'link_mbps': 1000.0,
            },
        }

    def write_settings(self, fields: dict) -> pathlib.Path:
        """Writes the settings that the process reads; returns their path."""
        role = self._deploy['roles']['instance']
        template = (ROOT / role['template']).read_text()
        self._settings.write_text(templates.render(template, fields))
        return self._settings

    async def start(self, seeds: list[str]) -> None:
        """Starts the process; returns once it listens."""
        self.write_settings(self.fields(seeds))
        words = self._deploy['roles']['instance']['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['AMARANTHFLOW_CONFIG'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        host, _, port = self.front.rpartition(':')
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.05)  # it does not listen yet
                    continue
                writer.close()
                return

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(signum)

    @property
    def running(self) -> bool:
        """True while the process runs."""
        return self._process is not None and self._process.returncode is None

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def events(self, *names: str) -> list[dict]:
        """Returns the events of these names in the log."""
        found = []
        for line in self.log.read_text(errors='replace').splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # the end of a line that is being written
            if event.get('event') in names:
                found.append(event)
        return found
