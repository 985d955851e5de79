"""Serves one connection to an executor.

It is a small HTTP/1.1 server that applies the executor's fault switches.
"""

import asyncio
import dataclasses

from standins import executor

MAX_HEAD_BYTES = 65_536
REASON_BY_STATUS = {200: "OK", 400: "Bad Request", 500: "Error", 504: "Ended"}


@dataclasses.dataclass(slots=True)
class Request:
    """One received request; header names are in lower case."""

    header_by_name: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Request id that the caller or the product assigned."""
        return self.header_by_name.get("request-id", "")

    @property
    def key(self) -> str:
        """Request id, preceded by the caller if its header was sent."""
        caller = self.header_by_name.get("caller", "")
        return f"{caller}/{self.request_id}" if caller else self.request_id


def parse_request(buffer: bytes) -> tuple[Request, int] | None:
    """Parse the first request of a buffer.

    Returns:
        The request and its length in bytes; None if it is incomplete.

    >>> head = b"POST / HTTP/1.1\\r\\nContent-Length: 2\\r\\n\\r\\n"
    >>> parse_request(head + b"ab")[0].body
    b'ab'

    Raises:
        ValueError: The header block is too large, the Content-Length is no
            number, or the request has a transfer encoding.
    """
    head, separator, _ = buffer.partition(b"\r\n\r\n")
    if not separator:
        if len(buffer) > MAX_HEAD_BYTES:
            raise ValueError("header block exceeds MAX_HEAD_BYTES")
        return None
    lines = head.decode("latin-1").split("\r\n")[1:]
    header_by_name = {}
    for line in lines:
        name, _, value = line.partition(":")
        header_by_name[name.strip().lower()] = value.strip()
    if "transfer-encoding" in header_by_name:
        raise ValueError("transfer encodings are not supported")
    start = len(head) + len(separator)
    end = start + int(header_by_name.get("content-length", "0"))
    if len(buffer) < end:
        return None
    return Request(header_by_name, bytes(buffer[start:end])), end


class Connection(asyncio.Protocol):
    """Serves the requests of one connection one at a time.

    Args:
        served: Executor that the connection belongs to.
        tasks: Receives the tasks of running requests. A run continues after
            its connection is closed, as on a real backend server.
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
        """Count the connection; reset it if the executor is down."""
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
        """Buffer the bytes and start the next request once it is complete."""
        self._buffer += data
        self._start_next_request()

    def _start_next_request(self) -> None:
        if self._busy or self._transport is None:
            return
        try:
            parsed = parse_request(self._buffer)
        except ValueError as error:
            self._write(_encode_response(400, str(error).encode()))
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
        completed, run = await self._served.run(request.key)
        behaviour = self._served.behaviour
        if not completed:
            response = _encode_response(504, b"ended after the longest run")
        elif self._served.happens(behaviour.fail_probability):
            response = _encode_response(500, b"failed")
        else:
            body = executor.answer_body(
                request.request_id, request.body, self._served, run
            )
            response = _encode_response(200, body)
        if self._served.happens(behaviour.late_probability):
            await asyncio.sleep(behaviour.late_ms / 1000)
        await self._send_response(response)
        self._busy = False
        self._start_next_request()

    async def _send_response(self, response: bytes) -> None:
        behaviour = self._served.behaviour
        if self._served.happens(behaviour.cut_probability):
            self._abort()
        elif self._served.happens(behaviour.cut_midway_probability):
            self._write(response[: len(response) // 2])
            if self._transport is not None:
                self._transport.close()
        elif behaviour.split_bytes > 0:
            for start in range(0, len(response), behaviour.split_bytes):
                self._write(response[start : start + behaviour.split_bytes])
                await asyncio.sleep(behaviour.split_pause_ms / 1000)
        else:
            self._write(response)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _encode_response(status: int, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} {REASON_BY_STATUS[status]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
