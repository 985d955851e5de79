"""Relays TCP connections, so that a test can reset or silence them."""

import asyncio
import contextlib
import random

PORTS = 15_000, 20_000  # Below those that the system gives to connections.


class Gate:
    """Relays the connections to one address to another one."""

    def __init__(self, target: str) -> None:
        self.address = ""
        self._port = 0
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._server: asyncio.Server | None = None
        self._lives: set[Connection] = set()

    async def open(self) -> None:
        """Accept connections, at the same port as before."""
        while self._server is None:
            port = self._port or random.randrange(*PORTS)
            try:
                self._server = await asyncio.start_server(
                    self._accept, "127.0.0.1", port
                )
            except OSError:
                if self._port:
                    raise
        self._port = port
        self.address = f"127.0.0.1:{self._port}"

    @property
    def is_open(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None

    def close(self) -> None:
        """Refuse new connections and reset all that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._lives):
            connection.abort()

    def silence(self) -> int:
        """Relay nothing more on the open connections; return their number."""
        lives, self._lives = self._lives, set()
        for connection in lives:
            connection.silent = True
        return len(lives)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(writer)
        self._lives.add(connection)
        try:
            their_reader, their_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection.target = their_writer
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                connection.relay(reader, their_writer),
                connection.relay(their_reader, writer),
            )
        self._lives.discard(connection)


class Connection:
    """One relayed connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.silent = False
        self.target: asyncio.StreamWriter | None = None
        self._writer = writer

    def abort(self) -> None:
        """Reset both sides; what is under way is lost."""
        for writer in (self._writer, self.target):
            if writer is not None:
                writer.transport.abort()

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one direction until the connection ends."""
        with contextlib.suppress(OSError):
            while content := await reader.read(65536):
                if self.silent:
                    continue  # Nothing arrives, and nothing shows it.
                writer.write(content)
                await writer.drain()
        if not self.silent:
            writer.close()
