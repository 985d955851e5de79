"""One connection to an executor: small HTTP/1.1 server with faults."""

import asyncio
import dataclasses

from standins import executor

MAX_HEAD_BYTES = 65_536
REASON_BY_STATUS = {200: "OK", 400: "Bad Request", 500: "Error", 504: "Ended"}


@dataclasses.dataclass(slots=True)
class Request:
    """One request as it was received."""

    header_by_name: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id that the caller or the system gave it."""
        return self.header_by_name.get("request-id", "")

    @property
    def key(self) -> str:
        """Caller, if it was told, and request id."""
        caller = self.header_by_name.get("caller", "")
        return f"{caller}/{self.request_id}" if caller else self.request_id


def parse_request(buffer: bytes) -> tuple[Request, int] | None:
    """Return the first request of a buffer and its length, if it is whole.

    >>> head = b"POST / HTTP/1.1\\r\\nContent-Length: 2\\r\\n\\r\\n"
    >>> parse_request(head + b"ab")[0].body
    b'ab'

    Raises:
        ValueError: The bytes are no request with a Content-Length.
    """
    head, separator, _ = buffer.partition(b"\r\n\r\n")
    if not separator:
        if len(buffer) > MAX_HEAD_BYTES:
            raise ValueError("header block too large")
        return None
    lines = head.decode("latin-1").split("\r\n")[1:]
    header_by_name = {}
    for line in lines:
        name, _, value = line.partition(":")
        header_by_name[name.strip().lower()] = value.strip()
    if "transfer-encoding" in header_by_name:
        raise ValueError("only bodies with a Content-Length are read")
    begin = len(head) + len(separator)
    end = begin + int(header_by_name.get("content-length", "0"))
    if len(buffer) < end:
        return None
    return Request(header_by_name, bytes(buffer[begin:end])), end


class Connection(asyncio.Protocol):
    """Serves the requests of one connection, one after the other.

    Args:
        served: Executor that the connection belongs to.
        tasks: Where running requests are kept; a run goes on when its
            connection has gone, as it does on a real backend server.
    """

    def __init__(
        self, served: executor.Executor, tasks: set[asyncio.Task[None]]
    ) -> None:
        self._served = served
        self._tasks = tasks
        self._buffer = bytearray()
        self._busy = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or reset it when the executor is down."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._served.add_connection()
        if self._served.behaviour.down:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection as closed."""
        self._transport = None
        self._served.remove_connection()

    def data_received(self, data: bytes) -> None:
        """Start the next request once it is whole."""
        self._buffer += data
        self._next()

    def _next(self) -> None:
        if self._busy or self._transport is None:
            return
        try:
            parsed = parse_request(self._buffer)
        except ValueError as error:
            self._write(_response(400, str(error).encode()))
            self._transport.close()
            return
        if parsed is None:
            return
        request, length = parsed
        del self._buffer[:length]
        self._busy = True
        task = asyncio.create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, request: Request) -> None:
        done, run = await self._served.run(request.key)
        behaviour = self._served.behaviour
        if not done:
            response = _response(504, b"ended after the longest run")
        elif self._served.happens(behaviour.fail_probability):
            response = _response(500, b"failed")
        else:
            body = executor.answer_body(
                request.request_id, request.body, self._served, run
            )
            response = _response(200, body)
        if self._served.happens(behaviour.late_probability):
            await asyncio.sleep(behaviour.late_ms / 1000)
        await self._deliver(response)
        self._busy = False
        self._next()

    async def _deliver(self, response: bytes) -> None:
        behaviour = self._served.behaviour
        if self._served.happens(behaviour.cut_probability):
            self._abort()
        elif self._served.happens(behaviour.cut_midway_probability):
            self._write(response[: len(response) // 2])
            if self._transport is not None:
                self._transport.close()
        elif behaviour.split_bytes > 0:
            for begin in range(0, len(response), behaviour.split_bytes):
                self._write(response[begin : begin + behaviour.split_bytes])
                await asyncio.sleep(behaviour.split_pause_ms / 1000)
        else:
            self._write(response)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _response(status: int, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} {REASON_BY_STATUS[status]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
