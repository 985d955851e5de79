"""Small HTTP/1.1 server and client for the stand-ins of this review."""

import asyncio
import contextlib
import json
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

Reply = tuple[int, bytes]
Handler = Callable[["Request"], Awaitable[Reply | None]]


class Request:
    """One request that a server has read whole."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        path, _, query = target.partition("?")
        self.method = method
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


def as_json(value: Any, status: int = 200) -> Reply:
    """Return an answer with a body in JSON."""
    return status, json.dumps(value, separators=(",", ":")).encode()


async def serve(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serve until closed; a handler that returns None gives no answer."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError
        ):
            while True:
                request = await _read_request(reader)
                if request is None:
                    break
                reply = await handle(request)
                if reply is None:
                    break
                writer.write(_head(reply) + reply[1])
                await writer.drain()
        writer.close()

    return await asyncio.start_server(connected, host, port, limit=4_000_000)


def _head(reply: Reply) -> bytes:
    return (
        f"HTTP/1.1 {reply[0]} -\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(reply[1])}\r\n\r\n"
    ).encode()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return Request(method, target, headers, body)


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float,
) -> Reply | None:
    """Send one request on a new connection; None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1"]
            headers = {"Host": host} | (headers or {})
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            text = head.decode("latin-1").lower()
            status = int(text.split(" ")[1])
            size = 0
            for line in text.split("\r\n"):
                if line.startswith("content-length:"):
                    size = int(line.partition(":")[2])
            return status, await reader.readexactly(size)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
