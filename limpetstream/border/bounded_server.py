"""HTTP server whose connections and requests stay within bounds."""

import asyncio
import dataclasses
import random
import socket
import typing
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado import httpserver, httputil

from limpetstream.border import (
    refusal_reports,
    request_memory,
    turns as turns_module,
)

IDLE_TIMEOUT_S = 120.0
BODY_TIMEOUT_S = 30.0
MAX_HEADER_BYTES = 20_480
MAX_HEADERS = 100
MAX_BODY_BYTES = 1_048_576  # Four times the default limit of a caller's body.
# What the kernel keeps for one connection counts as memory, too. It grows to
# megabytes unless it is set.
BUFFER_BYTES_BY_OPTION = {socket.SO_RCVBUF: 16_384, socket.SO_SNDBUF: 65_536}
# Small enough that tiny chunks of one body do not occupy the event loop.
READ_BYTES = 4096
# Memory of a request besides its text: its objects and those of its parser.
REQUEST_BYTES = 8192
# Memory of paths, headers and decoded query arguments, relative to their text.
PATH_FACTOR = 4
HEADER_FACTOR = 2
QUERY_FACTOR = 64
HEADER_BYTES = 256  # Objects of one header.
# Connections whose answers are not read are closed: after the first time if
# others need their places, and in any case after the second.
UNREAD_S = 1.0
WRITE_TIMEOUT_S = 10.0
# Connections above their number, while as many others have their last answers.
EXCESS_SHARE = 0.125
RETRY_AFTER_S = 1  # Requests are received, or time out, within seconds.
BUSY = "too many requests are being received"


@dataclasses.dataclass(slots=True)
class Refusal:
    """Answer to a request that is refused before it is complete.

    Args:
        status: HTTP status.
        reason: Why it is refused.
        headers: Headers besides those of the body and the connection.
        body: Body in JSON.
    """

    status: int
    reason: str
    headers: dict[str, str]
    body: bytes


EncodeRefusal = Callable[
    [httputil.RequestStartLine, httputil.HTTPHeaders, Refusal], None
]


@dataclasses.dataclass(slots=True)
class Bounds:
    """Bounds of one server.

    Args:
        max_connections: Most open connections; above, idle ones are closed.
        max_memory_bytes: Most that its requests hold together.
        max_body_bytes: Returns the largest size of a body.
        turns: Shares the event loop between bodies that are costly to read.
        encode_refusal: Changes the answer to a refused request, of which it
            gets the start line and the headers; None to leave it.
    """

    max_connections: int = 4096
    max_memory_bytes: int = 64 * MAX_BODY_BYTES
    max_body_bytes: Callable[[], int] = lambda: MAX_BODY_BYTES
    turns: turns_module.Turns = dataclasses.field(default_factory=turns_module.Turns)
    encode_refusal: EncodeRefusal | None = None


class BoundedServer(httpserver.HTTPServer):
    """HTTP server that refuses requests or closes connections at its bounds.

    Above the number of connections, one is closed whose answer is not being
    read, else that which has been idle for the longest, else that whose
    request began first and is not complete. Where all are being answered, some
    end after their answers.
    """

    def initialize(  # type: ignore[override]
        self, request_callback: Any, *, bounds: Bounds, **arguments: Any
    ) -> None:
        """Store the bounds; other arguments are those of ``HTTPServer``."""
        arguments = {
            "max_header_size": MAX_HEADER_BYTES,
            "body_timeout": BODY_TIMEOUT_S,
            "idle_connection_timeout": IDLE_TIMEOUT_S,
        } | arguments
        super().initialize(request_callback, chunk_size=READ_BYTES, **arguments)
        self.bounds = bounds
        self.memory = request_memory.RequestMemory(bounds.max_memory_bytes)
        self.reports = refusal_reports.RefusalReports(self._describe)
        self._receipt_by_connection: dict[object, _Receipt] = {}
        self._idle_by_connection: dict[object, httputil.HTTPConnection] = {}
        # Connections that were closed here and have not ended yet.
        self._closed_connections: set[object] = set()
        # Connections that are closed after the answers to their requests.
        self._last_answers: set[object] = set()
        # When a write of the connections was first seen to wait.
        self._unread_since_by_connection: dict[object, float] = {}
        self._port = 0

    def add_sockets(self, sockets: Any) -> None:
        """Accept connections on listening sockets."""
        sockets = list(sockets)
        for listener in sockets:  # Connections inherit the sizes.
            for option, size in BUFFER_BYTES_BY_OPTION.items():
                listener.setsockopt(socket.SOL_SOCKET, option, size)
            listener.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(1000 * WRITE_TIMEOUT_S),
            )
        self._port = sockets[0].getsockname()[1]
        super().add_sockets(sockets)

    def handle_stream(self, stream: Any, address: Any) -> None:
        """Serve a connection, in place of another one above their number."""
        open_count = len(self._connections) - len(self._closed_connections)
        excess = open_count - self.bounds.max_connections
        if excess >= 0 and not self._make_room() and not self._end_one(excess):
            self.reports.note("connection")
            stream.close()
            return
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Bound the next request of a connection, whose last one has ended."""
        self._release(server_conn)
        if server_conn in self._last_answers:
            server_conn.stream.close()  # type: ignore[attr-defined]
        delegate = super().start_request(server_conn, request_conn)
        receipt = _Receipt(self, server_conn, request_conn, delegate)
        self._receipt_by_connection[server_conn] = receipt
        self._idle_by_connection[server_conn] = request_conn
        return receipt

    def max_body_bytes(self, path: str) -> int:
        """Return the largest size of a body that is sent to a path."""
        return self.bounds.max_body_bytes()

    def note_complete(self, server_conn: object) -> None:
        """Note that a request was received whole."""

    def note_answered(self, server_conn: object) -> None:
        """Free the memory of a request that may not have been read whole."""
        self._release(server_conn)

    def note_busy(self, server_conn: object) -> None:
        """Note that a connection has begun a request."""
        self._idle_by_connection.pop(server_conn, None)

    def note_closed(self, server_conn: object) -> None:
        """Note that a connection was closed here and will end."""
        if server_conn in self._connections:
            self._closed_connections.add(server_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        self._release(server_conn)
        self._idle_by_connection.pop(server_conn, None)
        self._unread_since_by_connection.pop(server_conn, None)
        self._closed_connections.discard(server_conn)
        self._last_answers.discard(server_conn)
        super().on_close(server_conn)

    async def close_all_connections(self) -> None:
        """Close all connections at once, and wait for their ends."""
        for server_conn in self._connections:
            server_conn.stream.close()
        await super().close_all_connections()

    def _release(self, server_conn: object) -> None:
        receipt = self._receipt_by_connection.pop(server_conn, None)
        if receipt is not None:
            self.memory.release(receipt)

    def _describe(self) -> dict[str, Any]:
        return {
            "port": self._port,
            "connections": len(self._connections),
            "held_kb": self.memory.held_bytes // 1024,
        }

    def _make_room(self) -> bool:
        """Close a connection with which the least is lost."""
        if self._close_unread():
            return True
        for server_conn, request_conn in self._idle_by_connection.items():
            del self._idle_by_connection[server_conn]
            self.reports.note("idle connection")
            self.note_closed(server_conn)
            request_conn.close()  # type: ignore[attr-defined]
            return True
        return self.memory.evict_oldest()

    def _end_one(self, excess: int) -> bool:
        """Let a connection end after its answer, beside the new one.

        Args:
            excess: Number of connections above the bound, of which there are
                a few more until their answers are sent.

        Returns:
            Whether there is one.
        """
        busy = self._connections - self._closed_connections - self._last_answers
        if excess >= self.bounds.max_connections * EXCESS_SHARE or not busy:
            return False
        self.reports.note("busy connection")
        self._last_answers.add(random.choice(list(busy)))
        return True

    def _close_unread(self) -> bool:
        """Close the connection whose answer has waited longest to be read."""
        now = asyncio.get_running_loop().time()
        waiting = {
            server_conn: self._unread_since_by_connection.get(server_conn, now)
            for server_conn in self._connections
            if server_conn not in self._closed_connections
            and server_conn.stream.writing()
        }
        self._unread_since_by_connection = waiting
        oldest = min(waiting, key=waiting.__getitem__, default=None)
        if oldest is None or now - waiting[oldest] < UNREAD_S:
            return False
        self.reports.note("unread answer")
        self.note_closed(oldest)
        oldest.stream.close()
        return True


class _Receipt(request_memory.Holder, httputil.HTTPMessageDelegate):
    """Receives one request for a delegate, within the bounds of its server."""

    def __init__(
        self,
        server: BoundedServer,
        server_conn: object,
        request_conn: Any,
        delegate: httputil.HTTPMessageDelegate,
    ) -> None:
        self._server = server
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._delegate = delegate
        self._body_bytes = 0
        self._max_body_bytes = 0
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._is_begun = False  # Whether the delegate has the headers.
        self._is_chunked = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Refuse a request that its headers show to be over a limit.

        Raises:
            HTTPInputError: The request was refused. Tornado frees it at once,
                while it would read the body of a request that has its answer.
        """
        self._server.note_busy(self._server_conn)
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line, self._headers = start_line, headers
        path, _, query = start_line.path.partition("?")
        self._max_body_bytes = self._server.max_body_bytes(path)
        # Bodies over the limit are refused here, with a status that tells why.
        self._request_conn.set_max_body_size(2 * self._max_body_bytes)
        rows = list(headers.get_all())
        if len(rows) > MAX_HEADERS:
            self._refuse(431, f"at most {MAX_HEADERS} headers are allowed")
        announced = headers.get("Content-Length", "")
        if announced.isascii() and announced.isdigit():
            if int(announced[:20]) > self._max_body_bytes:
                self._refuse(413, self._body_limit())
        count = REQUEST_BYTES + PATH_FACTOR * len(path) + QUERY_FACTOR * len(query)
        count += HEADER_BYTES * len(rows)
        count += HEADER_FACTOR * sum(len(name) + len(value) for name, value in rows)
        if not self._server.memory.begin(self, count):
            self._refuse(503, BUSY, RETRY_AFTER_S)
        self._is_chunked = "Transfer-Encoding" in headers
        self._is_begun = True
        received = self._delegate.headers_received(start_line, headers)
        if received is None and self._is_chunked:
            return self._take_turn()
        return received

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on, if there is room for it.

        Raises:
            HTTPInputError: The request was refused.
        """
        self._body_bytes += len(chunk)
        if self._body_bytes > self._max_body_bytes:
            self._refuse(413, self._body_limit())
        if not self._server.memory.take(self, len(chunk)):
            self._refuse(503, BUSY, RETRY_AFTER_S)
        received = self._delegate.data_received(chunk)
        if received is None and self._is_chunked:
            return self._take_turn()
        return received

    async def _take_turn(self) -> None:
        """Wait for the next turn to read.

        Raises:
            HTTPInputError: The connection has been closed meanwhile; what was
                read of it would still be decoded.
        """
        await self._server.bounds.turns.take(self._body_bytes)
        if self._request_conn.stream.closed():
            raise httputil.HTTPInputError("the connection was closed")

    def finish(self) -> None:
        """Note that the request is complete."""
        self._server.memory.complete(self)
        self._server.note_complete(self._server_conn)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Free the memory of a request that does not get complete."""
        self._server.memory.release(self)
        self._end_delegate()

    def _end_delegate(self) -> None:
        if self._is_begun:
            self._is_begun = False
            self._delegate.on_connection_close()

    def give_way(self) -> None:
        """Refuse a request that is not complete."""
        self._send_refusal(503, BUSY, RETRY_AFTER_S)

    def _may_have_body(self) -> bool:
        return self._start_line is None or self._start_line.method != "HEAD"

    def _body_limit(self) -> str:
        return f"a body may have at most {self._max_body_bytes} bytes"

    def _refuse(
        self, status: int, reason: str, retry_after_s: int = 0
    ) -> typing.NoReturn:
        self._send_refusal(status, reason, retry_after_s)
        raise httputil.HTTPInputError(reason)

    def _send_refusal(self, status: int, reason: str, retry_after_s: int) -> None:
        """Answer before the request is complete; the connection is closed."""
        self._server.reports.note(str(status))
        self._server.memory.release(self)
        # Others may take its memory before the connection ends.
        self._end_delegate()
        self._server.note_closed(self._server_conn)
        body = msgspec.json.encode({"error": reason})
        refusal = Refusal(status, reason, {}, body)
        if retry_after_s:
            refusal.headers["Retry-After"] = str(retry_after_s)
        encode = self._server.bounds.encode_refusal
        if encode is not None and self._start_line is not None:
            encode(self._start_line, self._headers, refusal)
        headers = httputil.HTTPHeaders(
            {
                **refusal.headers,
                "Content-Type": "application/json",
                "Content-Length": str(len(refusal.body)),
                "Connection": "close",
            }
        )
        start_line = httputil.ResponseStartLine("HTTP/1.1", refusal.status, "-")
        chunk = refusal.body if self._may_have_body() else None
        written = self._request_conn.write_headers(start_line, headers, chunk)
        written.add_done_callback(asyncio.Future.exception)  # It may have ended.
        self._request_conn.finish()
