"""TCP proxy on loopback that injects network faults."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536


class Fault(enum.Enum):
    """What happens to data that passes the proxy.

    ONE_WAY: data of the client is forwarded, data of the server is dropped.
    SILENT: data of both is dropped, and connections stay open.
    """

    NONE = 'none'
    DELAY = 'delay'
    ONE_WAY = 'one-way'
    SILENT = 'silent'


class Proxy:
    """Forwards connections to one address.

    :ivar fault: fault applied to all connections now.
    :ivar delay_s: delay of each chunk while the fault is DELAY.
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
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Resets all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._forward(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            # The client sees a reset, as from a process that has exited.
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(peer_writer)
        await asyncio.gather(
            self._copy(reader, peer_writer, ignored=Fault.ONE_WAY),
            self._copy(peer_reader, writer, ignored=Fault.NONE),
        )
        self._writers -= {writer, peer_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        ignored: Fault,
    ) -> None:
        drop_faults = {Fault.SILENT, Fault.ONE_WAY} - {ignored}
        dropped = False
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                # A connection that has lost data cannot resume its stream.
                dropped = dropped or self.fault in drop_faults
                if not dropped:
                    writer.write(chunk)
                    await writer.drain()
        if not dropped:
            with contextlib.suppress(OSError):
                writer.close()
