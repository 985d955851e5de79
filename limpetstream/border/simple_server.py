"""Serves HTTP interfaces that need no routing by path."""

import asyncio
import contextlib
import dataclasses
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Mapping

import msgspec
from tornado import httpserver, httputil, iostream

from limpetstream.border import body_parts, bounded_server, events, request_memory
from limpetstream.telemetry import logs

# Servers that close first read what their sockets hold. They end once nothing
# was received for the first time, and in any case after the second.
QUIET_S = 0.05
MAX_READ_OUT_S = 0.3
READ_OUT_INTERVAL_S = 0.01


@dataclasses.dataclass(slots=True)
class Response:
    """Response to one request.

    Args:
        status: HTTP status.
        body: Encoded body.
        content_type: Media type of the body.
        retry_after_s: Value of ``Retry-After`` in seconds; 0 for none.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class ServerState:
    """State of a server.

    Args:
        in_flight: Number of requests that were received and have no response
            yet.
        received: Number of requests that were received.
        closing: Whether connections are closed after their next response.
    """

    in_flight: int = 0
    received: int = 0
    closing: bool = False


Responder = Callable[[httputil.HTTPServerRequest], Awaitable[Response]]


def is_abandoned(request: httputil.HTTPServerRequest) -> bool:
    """Return whether the client of a request has closed its connection.

    The end of the connection may still lie unread behind the request.
    """
    stream = getattr(request.connection, "stream", None)
    if stream is None:
        return False
    if stream.closed():
        return True
    try:
        return stream.socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return False  # Nothing is to be read, so the connection is open.


@contextlib.asynccontextmanager
async def serve(
    address: str,
    answer: Responder,
    *,
    bounds: bounded_server.Bounds | None = None,
) -> AsyncIterator[ServerState]:
    """Serve HTTP at an address while the context is open.

    Args:
        address: Host and port to listen on, such as ``127.0.0.1:8080``.
        answer: Returns the response to one request.
        bounds: Bounds of the server; None for the default ones.

    Requests that lie in the sockets when the context is left are answered,
    too, if ``answer`` returns soon.

    Yields:
        State of the server.
    """
    bounds_by_address = {} if bounds is None else {address: bounds}
    async with serve_all({address: answer}, bounds_by_address) as state_by_address:
        yield state_by_address[address]


@contextlib.asynccontextmanager
async def serve_all(
    responder_by_address: dict[str, Responder],
    bounds_by_address: Mapping[str, bounded_server.Bounds] | None = None,
) -> AsyncIterator[dict[str, ServerState]]:
    """Serve HTTP at several addresses, as ``serve`` does at one.

    The servers close together: what their sockets hold is answered within
    ``MAX_READ_OUT_S`` in all.

    Args:
        responder_by_address: Returns the response to one request.
        bounds_by_address: Bounds of the servers; the default ones for those
            that are missing.

    Yields:
        States of the servers, by their addresses.
    """
    state_by_address: dict[str, ServerState] = {}
    servers: list[httpserver.HTTPServer] = []
    try:
        for address, answer in responder_by_address.items():
            state_by_address[address] = ServerState()
            bounds = (bounds_by_address or {}).get(address) or bounded_server.Bounds()
            servers.append(_listen(address, answer, state_by_address[address], bounds))
        yield state_by_address
    finally:
        for state in state_by_address.values():
            state.closing = True
        await read_out(state_by_address.values())
        for server in servers:
            server.stop()
        for server in servers:
            await server.close_all_connections()


class _Requests(httputil.HTTPServerConnectionDelegate):
    """Passes complete requests to a function, with bodies as they are.

    Tornado's own adapter decodes bodies that call themselves forms, which
    takes many times their size.
    """

    def __init__(self, receive: Callable[[httputil.HTTPServerRequest], None]) -> None:
        self._receive = receive

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return what collects the next request of a connection."""
        return _RequestCollector(request_conn, self._receive)


class _RequestCollector(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        receive: Callable[[httputil.HTTPServerRequest], None],
    ) -> None:
        self._connection = connection
        self._receive = receive
        self._request: httputil.HTTPServerRequest | None = None
        self._body = body_parts.BodyParts()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keep the headers."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._request = httputil.HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )

    def data_received(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Pass the request on."""
        assert self._request is not None
        self._request.body = self._body.take()
        self._receive(self._request)

    def on_connection_close(self) -> None:
        """Drop what was collected."""
        self._body.clear()


def _listen(
    address: str,
    answer: Responder,
    state: ServerState,
    bounds: bounded_server.Bounds,
) -> httpserver.HTTPServer:
    async def respond(request: httputil.HTTPServerRequest) -> None:
        try:
            if len(request.body) > request_memory.SMALL_REQUEST_BYTES:
                await bounds.turns.take(len(request.body))
            response = await _answer_or_log(request, answer)
            await _write(request, response, state.closing)
        finally:
            state.in_flight -= 1

    tasks: set[asyncio.Task[None]] = set()

    def receive(request: httputil.HTTPServerRequest) -> None:
        # Counted before the task runs, so that a stop does not overlook it.
        state.in_flight += 1
        state.received += 1
        task = asyncio.create_task(respond(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = bounded_server.BoundedServer(_Requests(receive), bounds=bounds)
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
    return server


async def read_out(
    states: Collection[ServerState], *, max_s: float = MAX_READ_OUT_S
) -> None:
    """Let servers answer what their sockets hold before they close.

    Args:
        states: States of the servers, which count their requests.
        max_s: Longest time in seconds, for all of them together.
    """
    loop = asyncio.get_running_loop()
    received, quiet_since = sum(state.received for state in states), loop.time()
    ends_at = quiet_since + max_s
    while loop.time() < ends_at:
        await asyncio.sleep(READ_OUT_INTERVAL_S)
        received_before = received
        received = sum(state.received for state in states)
        if received != received_before or any(state.in_flight for state in states):
            quiet_since = loop.time()
        elif loop.time() - quiet_since >= QUIET_S:
            return


async def _answer_or_log(
    request: httputil.HTTPServerRequest, answer: Responder
) -> Response:
    try:
        return await answer(request)
    except Exception as error:
        logs.emit(
            events.UNEXPECTED_ERROR,
            path=request.path,
            error=f"{type(error).__name__}: {error}",
        )
        return Response(500, msgspec.json.encode({"error": "internal error"}))


async def _write(
    request: httputil.HTTPServerRequest, response: Response, closing: bool
) -> None:
    headers = httputil.HTTPHeaders({"Content-Length": str(len(response.body))})
    if response.body:
        headers["Content-Type"] = response.content_type
    if response.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(response.retry_after_s))
    if response.status == 401:
        headers["WWW-Authenticate"] = "Bearer"  # RFC 9110 requires the header.
    if closing:
        headers["Connection"] = "close"
    connection = request.connection
    try:
        async with asyncio.timeout(bounded_server.WRITE_TIMEOUT_S):
            await connection.write_headers(
                httputil.ResponseStartLine("HTTP/1.1", response.status, "-"),
                headers,
                None if request.method == "HEAD" else response.body,
            )
        connection.finish()
    except TimeoutError:
        connection.close()
    except iostream.StreamClosedError:
        pass  # The caller disconnected; its work continues and can be queried.
