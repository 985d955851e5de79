"""Loopback proxy whose open connections can be made silent."""

import asyncio
import contextlib
import time


class Proxy:
    """Forwards connections to one address.

    Args:
        port: Port of the server behind it, on the same host.
    """

    def __init__(self, port: int) -> None:
        self.target = port
        self.port = 0
        self.open_by_peer: dict[str, int] = {}
        self.silenced_before = 0.0

    async def start(self) -> asyncio.Server:
        """Begin to listen on a free port."""
        server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def silence(self) -> None:
        """Pass nothing on any more on the connections that are open now."""
        self.silenced_before = time.monotonic()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        began_at = time.monotonic()
        peer = writer.get_extra_info("peername")[0]
        self.open_by_peer[peer] = self.open_by_peer.get(peer, 0) + 1
        tasks: list[asyncio.Task[None]] = []
        behind: asyncio.StreamWriter | None = None
        try:
            back, behind = await asyncio.open_connection("127.0.0.1", self.target)
            tasks = [
                asyncio.create_task(self._pass_on(reader, behind, began_at)),
                asyncio.create_task(self._pass_on(back, writer, began_at)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open_by_peer[peer] -= 1
            for task in tasks:
                task.cancel()
            for each in (writer, behind):
                if each is not None:
                    each.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        began_at: float,
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while chunk := await reader.read(65536):
                if began_at < self.silenced_before:
                    continue
                writer.write(chunk)
                await writer.drain()
