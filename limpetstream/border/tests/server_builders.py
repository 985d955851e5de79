"""Builders of bounded servers and of connections to them."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from tornado import httputil

from limpetstream.border import bounded_server, simple_server

LOOPBACK = "127.0.0.1"
SMALL_BUFFER_BYTES = 4096

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def head(method: str, *lines: str) -> bytes:
    """Return the head of a request."""
    rows = [f"{method} / HTTP/1.1", "Host: localhost", *lines]
    return "".join(f"{row}\r\n" for row in [*rows, ""]).encode()


def unused_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        return listener.getsockname()[1]


@contextlib.asynccontextmanager
async def serving(
    bounds: bounded_server.Bounds | None = None,
    *,
    body: bytes = b"{}",
    answer_s: float = 0.0,
) -> AsyncIterator[tuple[str, int]]:
    """Serve one body for all requests, after a time; yield the address."""

    async def answer(_):
        await asyncio.sleep(answer_s)
        return simple_server.Response(200, body)

    port = unused_port()
    async with simple_server.serve(f"{LOOPBACK}:{port}", answer, bounds=bounds):
        yield LOOPBACK, port


@contextlib.asynccontextmanager
async def serving_without_waiting(body: bytes) -> AsyncIterator[tuple[str, int]]:
    """Serve one body for all requests by a server that awaits no write."""

    def answer(request: httputil.HTTPServerRequest) -> None:
        start_line = httputil.ResponseStartLine("HTTP/1.1", 200, "-")
        headers = httputil.HTTPHeaders({"Content-Length": str(len(body))})
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    port = unused_port()
    server = bounded_server.BoundedServer(answer, bounds=bounded_server.Bounds())
    server.listen(port, LOOPBACK)
    try:
        yield LOOPBACK, port
    finally:
        server.stop()
        await server.close_all_connections()


@contextlib.asynccontextmanager
async def connected(address: tuple[str, int]) -> AsyncIterator[Streams]:
    """Open a connection; close it at once when the context is left."""
    reader, writer = await asyncio.open_connection(*address, limit=SMALL_BUFFER_BYTES)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def not_reading(
    address: tuple[str, int], count: int
) -> AsyncIterator[list[Streams]]:
    """Open connections that send a request each and read no answers."""
    async with contextlib.AsyncExitStack() as stack:
        connections = []
        for _ in range(count):
            connections.append(await stack.enter_async_context(connected(address)))
            connections[-1][1].write(head("GET"))
        await asyncio.sleep(0.1)
        yield connections


async def status_of(address: tuple[str, int]) -> int:
    """Return the status of the answer to a new request; 0 for none."""
    async with connected(address) as (reader, writer):
        writer.write(head("GET"))
        first_line = await reader.readline()
        return int(first_line.split()[1]) if first_line else 0


async def count_received(reader: asyncio.StreamReader) -> int:
    """Return how many bytes are received until a connection ends or pauses."""
    count = 0
    with contextlib.suppress(OSError, TimeoutError):
        while piece := await asyncio.wait_for(reader.read(SMALL_BUFFER_BYTES), 1):
            count += len(piece)
    return count
