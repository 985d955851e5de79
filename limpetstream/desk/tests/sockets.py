"""Executors with scripted faults and a caller port, on real sockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetstream.border import limits
from limpetstream.desk import handlers, sender, slots
from limpetstream.desk.tests import builders
from limpetstream.settings import schema

KEY = "secret"
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class Executor:
    """Executor whose answers are scripted.

    Args:
        script: Called with reader, writer and the number of the request;
            sends the answer, or none.
    """

    def __init__(self, script: Callable[..., Any]) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.open_connections = self.peak_connections = 0

    async def serve(self, reader: Any, writer: Any) -> None:
        """Serve one connection."""
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                self.requests.append(head + await reader.readexactly(length))
                await self.script(reader, writer, len(self.requests))
                await writer.drain()
                if writer.is_closing():
                    break
        self.open_connections -= 1
        writer.close()


@contextlib.asynccontextmanager
async def executors(*scripts: Callable[..., Any]) -> AsyncIterator[list[Any]]:
    """Start executors; yield pairs of executor and address."""
    started, servers = [], []
    for script in scripts:
        executor = Executor(script)
        server = await asyncio.start_server(executor.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        servers.append(server)
        started.append((executor, f"127.0.0.1:{port}"))
    try:
        yield started
    finally:
        for server in servers:
            server.close()


def answer(body: bytes, *, length: int | None = None, status: int = 200) -> bytes:
    """Return an HTTP answer, which may announce a wrong length."""
    announced = len(body) if length is None else length
    head = f"HTTP/1.1 {status} OK\r\nContent-Length: {announced}\r\n\r\n"
    return head.encode() + body


async def good(reader: Any, writer: Any, number: int) -> None:
    """Answer with the number of the request."""
    writer.write(answer(f"answer {number}".encode()))


async def cut(reader: Any, writer: Any, number: int) -> None:
    """Close the connection before the first byte of the answer."""
    writer.close()


async def split(reader: Any, writer: Any, number: int) -> None:
    """Send the answer in small pieces."""
    for byte in answer(b"in pieces"):
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0.001)


async def short(reader: Any, writer: Any, number: int) -> None:
    """Close the connection in the middle of the body."""
    writer.write(answer(b"half", length=8))
    await writer.drain()
    writer.close()


async def unbounded(reader: Any, writer: Any, number: int) -> None:
    """Send a body that is delimited only by the end of the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
    await writer.drain()
    writer.close()


def executor(address: str, *, id: str = "e1") -> slots.Executor:
    """Return an executor at an address."""
    return slots.Executor(id, address, "w", "dc0", "desk", "executors/dc0/0", 8)


@contextlib.asynccontextmanager
async def node(addresses: list[str], **fields: Any) -> AsyncIterator[builders.Node]:
    """Run one instance that sends to executors at these addresses."""
    backends = {f"e{n}": "dc0" for n in range(len(addresses))}
    world = builders.World({"a": "dc0"}, backends, **fields)
    for number, address in enumerate(addresses):
        world.directory.by_id[f"e{number}"].address = address
    builders.grant_all_groups(world)
    instance = world.by_id["a"]
    instance.read()
    instance.holder.sender = sender.Sender(instance.clock)
    instance.holder.refresh()
    entered_at_by_group = dict.fromkeys(world.groups(), float("-inf"))
    instance.holder.slot_table._entered_at_by_group = entered_at_by_group
    world.directory.changes += 1
    instance.holder.refresh()
    reading = asyncio.ensure_future(instance.run_until_killed())
    try:
        yield instance
    finally:
        instance.dead = True
        reading.cancel()
        instance.holder.sender.close_all()


@contextlib.asynccontextmanager
async def caller_port(
    instance: builders.Node, limits_override: schema.Limits | None = None
) -> AsyncIterator[int]:
    """Serve the caller port of an instance; yields the port."""
    caller_limits = limits_override or schema.Limits()
    rules = handlers.routes(desk=instance.desk, limits=caller_limits)
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(rules), **limits.server_arguments(caller_limits)
    )
    listening_sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(listening_sockets)
    try:
        yield listening_sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()
