"""TCP relay that can delay, pause or cut the connections of one link."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import struct
from collections.abc import AsyncIterator

CHUNK_BYTES = 65_536
PAUSE_POLL_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 2.0
# SO_LINGER with a time-out of 0 s: closing the socket sends a TCP reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class Link:
    """One relay; its switches may be changed at any time.

    Args:
        target_host: Host that connections are relayed to.
        target_port: Port of the target.
        delay_ms: One-way delay.
        jitter_ms: Upper bound of the random addition to the delay; the order
            of the bytes is kept.
        seed: Seed of the jitter.
        is_paused: While set, bytes are held back in both directions and the
            connections stay open.
        is_return_paused: While set, only the bytes of the target are held
            back, like a one-way partition.
        is_cut: While set, new connections are reset at once.
        port: Port that the relay listens on.
        connection_count: Number of accepted connections.
    """

    target_host: str
    target_port: int
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    seed: int = 1
    is_paused: bool = False
    is_return_paused: bool = False
    is_cut: bool = False
    port: int = 0
    connection_count: int = 0
    _random: random.Random = dataclasses.field(init=False)
    _open_writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    _relays: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    _socket: socket.socket | None = None
    _server: asyncio.Server | None = None

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def cut(self) -> None:
        """Reset all connections and every new one."""
        self.is_cut = True
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._open_writers):
            _reset(writer)

    async def listen(self) -> None:
        """Accept connections, on the same port as before."""
        if self._server is None:
            if self._socket is None:
                self._bind()
            self._server = await asyncio.start_server(self.accept, sock=self._socket)

    def refuse(self) -> None:
        """Refuse new connections until ``listen``; the open ones stay.

        The port stays bound, so that no other program takes it.
        """
        if self._server is not None:
            self._server.close()
            self._server = None
            self._bind()

    def _bind(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", self.port))
        self.port = self._socket.getsockname()[1]

    def restore(self) -> None:
        """Undo a cut, a pause and a one-way pause."""
        self.is_cut = False
        self.is_paused = False
        self.is_return_paused = False

    def pause(self) -> None:
        """Hold back all bytes, like a network partition."""
        self.is_paused = True

    async def close(self) -> None:
        """Cut the link and wait a bounded time for its connections to end."""
        self.refuse()
        if self._socket is not None:
            self._socket.close()
        self.cut()
        if self._relays:
            await asyncio.wait(self._relays, timeout=CLOSE_TIMEOUT_S)

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay an accepted connection in a task of its own."""
        self.connection_count += 1
        if self.is_cut:
            _reset(writer)
            return
        relay = asyncio.create_task(self._relay(reader, writer))
        self._relays.add(relay)
        relay.add_done_callback(self._relays.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open_writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
        except OSError:
            _reset(writer)
            self._open_writers.discard(writer)
            return
        self._open_writers.add(target_writer)
        try:
            await asyncio.gather(
                self._relay_direction(reader, target_writer, is_return=False),
                self._relay_direction(target_reader, writer, is_return=True),
            )
        finally:
            for each in (writer, target_writer):
                each.close()
                self._open_writers.discard(each)

    async def _relay_direction(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_return: bool,
    ) -> None:
        """Relay bytes in one direction, delaying each chunk."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.create_task(self._send(queue, writer, is_return))
        loop = asyncio.get_running_loop()
        due_at = 0.0
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                delay_ms = self.delay_ms + self._random.uniform(0, self.jitter_ms)
                due_at = max(due_at, loop.time() + delay_ms / 1000)
                queue.put_nowait((due_at, chunk))
        except OSError:
            _reset(writer)
        queue.put_nowait((max(due_at, loop.time() + self.delay_ms / 1000), b""))
        await sender

    async def _send(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        is_return: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, chunk = await queue.get()
            await asyncio.sleep(due_at - loop.time())
            while self._is_held(is_return):
                await asyncio.sleep(PAUSE_POLL_INTERVAL_S)
            try:
                if not chunk:
                    writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()
            except (OSError, RuntimeError):
                _reset(writer)
                return

    def _is_held(self, is_return: bool) -> bool:
        return not self.is_cut and (
            self.is_paused or (self.is_return_paused and is_return)
        )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@contextlib.asynccontextmanager
async def open_link(
    target_port: int, *, target_host: str = "127.0.0.1", port: int = 0, **values: float
) -> AsyncIterator[Link]:
    """Serve a link on loopback while the context is open.

    Args:
        target_port: Port of the target.
        target_host: IP number of the target.
        port: Port to listen on; 0 takes a free one.
        values: Other fields of ``Link``.
    """
    link = Link(target_host, target_port, port=port, **values)
    await link.listen()
    try:
        yield link
    finally:
        await link.close()
