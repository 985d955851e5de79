"""HTTP client of the soak's callers.

It shares no code with the product's clients, so that a fault of theirs is not
looked through, and tells what came over its own socket.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator

HOST = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class Answer:
    """Outcome of one call.

    Args:
        status: HTTP status; 0 if no complete answer came.
        body: Body of the answer.
        was_sent: Whether any byte of the request may have been sent; false
            only if no connection could be opened.
    """

    status: int = 0
    body: bytes = b""
    was_sent: bool = False


@dataclasses.dataclass(slots=True)
class Connection:
    """An open connection.

    Args:
        reader: Receives the answers.
        writer: Sends the requests.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_open(self) -> bool:
        """Whether the server has not closed or reset it, as far as is seen."""
        is_ended = self.reader.at_eof() or self.reader.exception() is not None
        return not is_ended and not self.writer.is_closing()

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        """Send one request; return the status and the body of its answer.

        Raises:
            OSError, EOFError: No complete answer came.
        """
        self.writer.write(_encode(method, path, body, headers))
        return await _read_answer(self)


class Client:
    """Sends each request once and keeps connections open for later ones."""

    def __init__(self) -> None:
        self._idle_by_port: collections.defaultdict[int, list[Connection]] = (
            collections.defaultdict(list)
        )

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_port.values():
            for connection in idle:
                connection.writer.close()
        self._idle_by_port.clear()

    async def call(
        self,
        method: str,
        port: int,
        path: str,
        body: bytes | None = None,
        *,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Answer:
        """Send one request to a port of loopback; never raises for a failure.

        Args:
            method: HTTP method.
            port: Port of the server.
            path: Path, already quoted.
            body: Body; None sends none.
            headers: Headers, with the host's name.
            timeout_s: Time limit of the call, including the connection.
        """
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s), self._connection(port) as connection:
                answer.was_sent = True
                answer.status, answer.body = await connection.call(
                    method, path, headers, body
                )
        except (OSError, EOFError, TimeoutError):
            pass  # The answer tells it.
        return answer

    @contextlib.asynccontextmanager
    async def _connection(self, port: int) -> AsyncIterator[Connection]:
        """Yield a connection, which is closed if the call has no answer."""
        idle = self._idle_by_port[port]
        connection = None
        while idle and connection is None:
            candidate = idle.pop()
            if candidate.is_open:
                connection = candidate
            else:
                candidate.writer.close()
        if connection is None:
            connection = Connection(*await asyncio.open_connection(HOST, port))
        try:
            yield connection
        except BaseException:
            connection.writer.transport.abort()
            raise
        idle.append(connection)


def _encode(
    method: str, path: str, body: bytes | None, headers: dict[str, str]
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def _read_answer(connection: Connection) -> tuple[int, bytes]:
    """Return status and body of a complete answer.

    Raises:
        EOFError: The connection ended within the answer.
        ValueError: The answer is none of HTTP/1.1.
        KeyError: The answer has no length.
    """
    head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip().split("\r\n")
    version, status, *_reason = start.split(" ")
    if version != "HTTP/1.1":
        raise ValueError(f"answer begins with {start!r}")
    value_by_name = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await connection.reader.readexactly(int(value_by_name["content-length"]))
    if value_by_name.get("connection", "").lower() == "close":
        connection.writer.close()
    return int(status), body
