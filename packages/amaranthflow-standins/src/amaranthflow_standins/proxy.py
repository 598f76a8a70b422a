"""TCP proxy on loopback that harms the connections through it."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536


class Fault(enum.Enum):
    """What happens to bytes on their way.

    ONE_WAY: the caller's bytes arrive, nothing comes back. SILENT: nothing
    arrives either way and no connection is closed.
    """

    NONE = 'none'
    DELAY = 'delay'
    ONE_WAY = 'one-way'
    SILENT = 'silent'


class Proxy:
    """Forwards connections to one address.

    :ivar delay_s: how long bytes take while the harm is DELAY.
    """

    def __init__(self, *, host: str, target: tuple[str, int]):
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.port = 0
        self._host = host
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """``IP:PORT`` at which the proxy listens."""
        return f'{self._host}:{self.port}'

    async def open(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._take, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Ends all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def _take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._serve(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            # Whoever called learns it as from a process that is gone.
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(peer_writer)
        await asyncio.gather(
            self._pump(reader, peer_writer, ignored=Fault.ONE_WAY),
            self._pump(peer_reader, writer, ignored=Fault.NONE),
        )
        self._writers -= {writer, peer_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        ignored: Fault,
    ) -> None:
        lossy = {Fault.SILENT, Fault.ONE_WAY} - {ignored}
        swallowed = False
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                # A connection that lost bytes stays silent for good.
                swallowed = swallowed or self.fault in lossy
                if not swallowed:
                    writer.write(chunk)
                    await writer.drain()
        if not swallowed:
            with contextlib.suppress(OSError):
                writer.close()
