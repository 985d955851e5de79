"""Runs a server in a process of its own that closes its connections on demand.

In the process of the client, the file descriptors of both ends would be
numbered together, which changes which connections libcurl finds to be closed.
"""

import asyncio
import contextlib
import multiprocessing
from collections.abc import Iterator
from multiprocessing import connection as pipes

POLL_INTERVAL_S = 0.005
ANSWER_DELAY_S = 0.02  # Lets calls that begin together each open a connection.


class IdleServer:
    """A server that answers every call.

    Args:
        pipe: Pipe to its process.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, pipe: pipes.Connection) -> None:
        self._pipe = pipe
        self.port = pipe.recv()

    def reset_connections(self) -> None:
        """Reset all connections; return once that is done."""
        self._pipe.send("reset")
        self._pipe.recv()


@contextlib.contextmanager
def running() -> Iterator[IdleServer]:
    """Yield a server, whose process ends with the block."""
    here, there = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_run, args=(there,))
    process.start()
    try:
        yield IdleServer(here)
    finally:
        process.kill()
        process.join()


def _run(pipe: pipes.Connection) -> None:
    asyncio.run(_serve(pipe))


async def _serve(pipe: pipes.Connection) -> None:
    writers: set[asyncio.StreamWriter] = set()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = head.partition("content-length: ")[2].split()[0]
                await reader.readexactly(int(length))
                await asyncio.sleep(ANSWER_DELAY_S)
                writer.write(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\n{}")
        writers.discard(writer)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    pipe.send(server.sockets[0].getsockname()[1])
    while True:
        while not pipe.poll():
            await asyncio.sleep(POLL_INTERVAL_S)
        pipe.recv()
        for writer in list(writers):
            writer.transport.abort()
        pipe.send("done")
