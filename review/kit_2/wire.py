"""Serves and sends HTTP/1.1 with asyncio alone, for the stand-ins."""

import asyncio
import contextlib
import dataclasses
import json
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any


@dataclasses.dataclass(slots=True)
class Request:
    """Request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, decoded."""
        return json.loads(self.body)


@dataclasses.dataclass(slots=True)
class Reply:
    """Reply of a stand-in; status 0 leaves the caller without one."""

    status: int
    body: bytes = b""


def as_json(value: Any, status: int = 200) -> Reply:
    """Return a reply whose body is a value in JSON."""
    return Reply(status, json.dumps(value).encode())


Answer = Callable[[Request], Awaitable[Reply]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(host: str, port: int, answer: Answer) -> asyncio.Server:
    """Serve at an address; a request without a reply keeps its connection."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (head := await _read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                split = urllib.parse.urlsplit(target)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                query = dict(urllib.parse.parse_qsl(split.query))
                reply = await answer(Request(method, split.path, query, headers, body))
                if reply.status == 0:
                    await reader.read()  # Until the caller closes it.
                    break
                writer.write(
                    f"HTTP/1.1 {reply.status} -\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n".encode()
                    + reply.body
                )
                await writer.drain()
        writer.close()

    return await asyncio.start_server(talk, host, port)


class Connection:
    """Open connection of a client, which stays with its instance."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def call(
        self,
        method: str,
        path: str,
        host: str,
        body: Any = None,
        *,
        deadline_ms: int = 3000,
    ) -> tuple[int, Any]:
        """Send a request; return status and decoded body.

        Status 0 tells that the connection ended without a complete answer.
        """
        raw = b"" if body is None else json.dumps(body).encode()
        self._writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n".encode()
            + raw
        )
        try:
            await self._writer.drain()
            head = await _read_head(self._reader)
            if head is None:
                return 0, None
            first, headers = head
            length = int(headers.get("content-length", 0))
            text = await self._reader.readexactly(length)
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0, None
        return int(first.split(" ")[1]), json.loads(text) if text else None

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def connect(address: str) -> Connection:
    """Open a connection to an address, ``host:port``."""
    host, _, port = address.rpartition(":")
    return Connection(*await asyncio.open_connection(host, int(port)))
