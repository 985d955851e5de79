"""Builds HTTP servers whose connections break after a call took effect."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec

OK, REFUSED, BUSY = 200, 503, 429


class BreakingServer:
    """Answers calls until it is told to break a connection.

    Args:
        respond: Returns the body of an answer of status 200 to a call, and
            carries the call out.

    Attributes:
        status: Status of the answers; calls are carried out only with 200.
        refusal_headers: Headers of answers of other statuses.
        break_next: Path of the call that is carried out once more, after which
            its connection is reset without an answer; empty for none.
        status_after_break: Status of all calls after that.
        listens_after_break: Whether connections are accepted after that.
        paths: Paths of all calls that arrived, without their queries.
        port: Port that the server listens on.
        most_open: Most connections that were open at a time.
    """

    def __init__(self, respond: Callable[[str, bytes], object]) -> None:
        self.status = OK
        self.refusal_headers: dict[str, str] = {}
        self.break_next = ""
        self.status_after_break = REFUSED
        self.listens_after_break = True
        self.paths: list[str] = []
        self.port = 0
        self.most_open = 0
        self._open = 0
        self._respond = respond
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator["BreakingServer"]:
        """Accept connections within the block."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            self.stop_listening()
            for writer in self._writers:
                writer.transport.abort()
            await asyncio.sleep(0)  # Lets the connections close.

    def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        try:
            await self._answer_calls(reader, writer)
        finally:
            self._open -= 1

    async def _answer_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                path, body = await _read_request(reader)
                self.paths.append(path)
                if path == self.break_next:
                    self._break(path, body, writer)
                    return
                is_refused = self.status != OK
                answer = {} if is_refused else self._respond(path, body)
                headers = self.refusal_headers if is_refused else {}
                encoded = msgspec.json.encode(answer)
                head = [f"HTTP/1.1 {self.status} -", f"Content-Length: {len(encoded)}"]
                head += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join([*head, "", ""]).encode() + encoded)

    def _break(self, path: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Carry a call out and reset its connection."""
        self._respond(path, body)
        self.break_next = ""
        self.status = self.status_after_break
        if not self.listens_after_break:
            self.stop_listening()
        writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    path = head.split()[1].partition("?")[0]
    length = head.lower().partition("content-length: ")[2].split()[:1]
    return path, await reader.readexactly(int(length[0]) if length else 0)
