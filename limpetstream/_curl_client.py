"""Client on libcurl whose handles keep the options that calls share."""

import asyncio
import collections
import dataclasses
import select
from typing import Any

import pycurl
from tornado import curl_httpclient, ioloop

from limpetstream import _curl

_MASK_BY_EVENT = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}
# libcurl ends calls whose limit has passed before it reads their sockets. It
# would drop answers that are there after a long turn of the event loop.
LIMIT_MARGIN_S = 1.0
_METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})  # Even an empty one.


@dataclasses.dataclass(slots=True)
class Call:
    """One call to send.

    Args:
        method: HTTP method.
        url: Address.
        header_lines: Headers; a line without a value leaves a header out.
        upload: Body of the call, which a GET does not have.
        connect_timeout_s: Time limit for opening a connection.
        timeout_s: Time limit of the whole call, from when it has a handle.
        response: Gets the status and the body of the answer.
        new_connection: Whether to open a connection although one is open.
    """

    method: str
    url: str
    header_lines: list[bytes]
    upload: _curl.Upload
    connect_timeout_s: float
    timeout_s: float
    response: asyncio.Future[tuple[int, bytes]]
    new_connection: bool = False


class _Transfer:
    """State of a libcurl handle: its present call, and what was received.

    Args:
        max_body_size: Bytes of an answer beyond which the call fails.
    """

    __slots__ = (
        "_chunks",
        "_max_body_size",
        "_method",
        "_new_connection",
        "call",
        "is_too_large",
        "limit",
        "size",
    )

    def __init__(self, max_body_size: int) -> None:
        self._max_body_size = max_body_size
        self._method: tuple[str, bool] | None = None
        self._new_connection = False
        self.limit: asyncio.TimerHandle | None = None
        self.call: Call | None = None
        self._chunks: list[bytes] = []
        self.size = 0
        self.is_too_large = False

    def set_options(self, handle: pycurl.Curl) -> None:
        """Set the options that all calls have in common."""
        protocols = pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS
        handle.setopt(pycurl.PROTOCOLS, protocols)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.SOCKOPTFUNCTION, self._count_connection)
        handle.setopt(pycurl.READFUNCTION, self._read)
        handle.setopt(pycurl.SEEKFUNCTION, self._rewind)
        handle.setopt(pycurl.WRITEFUNCTION, self._write)

    def begin(self, handle: pycurl.Curl, call: Call) -> None:
        """Set the options in which calls differ."""
        if call.method == "GET" and call.upload.has_body:
            raise ValueError("a GET has no body")
        sends_body = call.upload.has_body or call.method in _METHODS_WITH_BODY
        if (call.method, sends_body) != self._method:
            _set_method(handle, call.method, sends_body=sends_body)
            self._method = call.method, sends_body
        if call.new_connection != self._new_connection:
            handle.setopt(pycurl.FRESH_CONNECT, int(call.new_connection))
            self._new_connection = call.new_connection
        if call.method == "POST":
            handle.setopt(pycurl.POSTFIELDSIZE, call.upload.size)
        elif sends_body:
            handle.setopt(pycurl.INFILESIZE, call.upload.size)
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.HTTPHEADER, call.header_lines)
        # libcurl takes 0 for its default or for no limit.
        connect_ms = max(1, int(1000 * call.connect_timeout_s))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        limit_s = call.timeout_s + LIMIT_MARGIN_S
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(1000 * limit_s)))
        self.call = call

    def end(self) -> tuple[Call, bytes]:
        """Return the call and the body of its answer, and let go of both."""
        call, body = self.call, b"".join(self._chunks)
        assert call is not None
        self.call = None
        if self.limit is not None:
            self.limit.cancel()
            self.limit = None
        self._chunks = []
        self.size = 0
        self.is_too_large = False
        return call, body

    def _count_connection(self, file_descriptor: int, purpose: int) -> int:
        return self.call.upload.count_connection() if self.call else pycurl.SOCKOPT_OK

    def _read(self, size: int) -> bytes:
        return self.call.upload.read(size) if self.call else b""

    def _rewind(self, offset: int, origin: int) -> int:
        return self.call.upload.rewind() if self.call else pycurl.SEEKFUNC_FAIL

    def _write(self, chunk: bytes) -> int:
        self.size += len(chunk)
        if self.size > self._max_body_size:
            self.is_too_large = True
            return 0  # libcurl then fails the call.
        self._chunks.append(chunk)
        return len(chunk)


def _set_method(handle: pycurl.Curl, method: str, *, sends_body: bool) -> None:
    """Have the calls of a handle use a method, until it is set again."""
    if method == "POST":
        handle.setopt(pycurl.POST, 1)
    elif sends_body:
        handle.setopt(pycurl.UPLOAD, 1)
    elif method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    else:
        handle.setopt(pycurl.HTTPGET, 1)
    if method in ("GET", "HEAD", "POST", "PUT"):
        handle.unsetopt(pycurl.CUSTOMREQUEST)
    else:
        handle.setopt(pycurl.CUSTOMREQUEST, method)


class Client(curl_httpclient.CurlAsyncHTTPClient):
    """Sends calls on libcurl handles whose common options are set once.

    For each call tornado sets some forty options, reads all headers of the
    answer and resets the handle, which takes more time than libcurl itself.
    Nothing here needs headers of answers. Use ``send`` in place of ``fetch``.
    """

    def initialize(self, max_clients: int = 10) -> None:
        """Create ``max_clients`` handles; see ``ensure_free_handle``."""
        self._transfer_by_handle: dict[pycurl.Curl, _Transfer] = {}
        self._queue: collections.deque[Call] = collections.deque()
        self._timeout_at = 0.0
        self._loop: asyncio.AbstractEventLoop = ioloop.IOLoop.current().asyncio_loop
        # One registration with the event loop for all sockets: a call changes
        # what libcurl waits for on its socket several times.
        self._poller = select.epoll()
        self._loop.add_reader(self._poller.fileno(), self._handle_ready)
        super().initialize(max_clients=max_clients)

    def send(self, call: Call) -> None:
        """Send a call, once a handle is free.

        Raises:
            RuntimeError: The client is closed.
        """
        if self._closed:
            raise RuntimeError("a call on a closed client")
        self._queue.append(call)
        self._process_queue()

    def fetch_impl(self, request: Any, callback: Any) -> None:
        """Refuse to send a request of tornado."""
        raise NotImplementedError("use send")

    def close(self) -> None:
        """Close all connections; calls in flight never return."""
        super().close()
        self._loop.remove_reader(self._poller.fileno())
        self._poller.close()
        self._transfer_by_handle.clear()

    def _curl_create(self) -> pycurl.Curl:
        handle = super()._curl_create()
        transfer = _Transfer(self.max_body_size)
        transfer.set_options(handle)
        self._transfer_by_handle[handle] = transfer
        return handle

    def _process_queue(self) -> None:
        """Begin the calls that wait, as far as handles are free."""
        while self._free_list and self._queue:
            call = self._queue.popleft()
            if call.response.done():
                continue  # Its caller was cancelled while it waited.
            handle = self._free_list.pop()
            transfer = self._transfer_by_handle[handle]
            try:
                transfer.begin(handle, call)
            except Exception as error:
                self._free_list.append(handle)
                if not call.response.done():
                    call.response.set_exception(error)
            else:
                # The event loop calls it after what has become readable.
                transfer.limit = self._loop.call_later(
                    call.timeout_s, self._expire, handle
                )
                self._multi.add_handle(handle)
                self._set_timeout(0)

    def _expire(self, handle: pycurl.Curl) -> None:
        """End a call that has no answer within its time limit."""
        transfer = self._transfer_by_handle.get(handle)
        if transfer is None or transfer.call is None:
            return
        elapsed_ms = round(1000 * transfer.call.timeout_s)
        self._finish(
            handle,
            pycurl.E_OPERATION_TIMEDOUT,
            f"Operation timed out after {elapsed_ms} milliseconds"
            f" with {transfer.size} bytes received",
        )
        self._process_queue()

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        """Pass on the answer or error of a call, and free its handle."""
        transfer = self._transfer_by_handle[curl]
        is_too_large = transfer.is_too_large
        call, body = transfer.end()
        status = curl.getinfo(pycurl.HTTP_CODE)
        self._multi.remove_handle(curl)
        self._free_list.append(curl)
        if call.response.done():
            return  # Its caller was cancelled.
        if not curl_error:
            call.response.set_result((status, body))
            return
        if is_too_large:
            curl_message = f"body exceeded {self.max_body_size} bytes"
        call.response.set_exception(
            curl_httpclient.CurlError(curl_error, curl_message or "")
        )

    def _handle_socket(
        self, event: int, fd: int, multi: pycurl.CurlMulti, data: Any | None
    ) -> None:
        """Watch a socket for what libcurl waits for.

        A socket that libcurl keeps open for later calls stays registered until
        it has an event. libcurl may have closed one and opened another with
        the same number, which the kernel then no longer has.
        """
        if event in (pycurl.POLL_REMOVE, pycurl.POLL_NONE):
            self._fds.pop(fd, None)
            return
        self._fds[fd] = event
        mask = _MASK_BY_EVENT[event]
        try:
            self._poller.modify(fd, mask)
        except FileNotFoundError:
            self._poller.register(fd, mask)

    def _handle_ready(self) -> None:
        """Have libcurl handle all sockets that are ready."""
        for fd, mask in self._poller.poll(0):
            event = self._fds.get(fd)
            if event is None:  # An idle connection; its server has closed it.
                self._forget(fd)
                continue
            action = pycurl.CSELECT_IN if mask & ~select.EPOLLOUT else 0
            if mask & ~select.EPOLLIN:
                action |= pycurl.CSELECT_OUT
            try:
                self._multi.socket_action(fd, action & event)
            except pycurl.error:
                continue  # What it concerns is reported as an ended call.
        self._finish_pending_requests()

    def _forget(self, fd: int) -> None:
        try:
            self._poller.unregister(fd)
        except OSError:
            return  # It is closed.

    def _set_timeout(self, msecs: int) -> None:
        """Have ``_handle_timeout`` called within a time that libcurl gives.

        A timer that fires earlier is left as it is, because most calls end
        long before their time limit. ``_handle_timeout`` then sets the next.
        """
        if msecs < 0:
            return
        timeout_at = self._loop.time() + msecs / 1000
        if self._timeout is not None:
            if self._timeout_at <= timeout_at:
                return
            self._timeout.cancel()
        self._timeout_at = timeout_at
        if msecs == 0:
            self._timeout = self._loop.call_soon(self._handle_timeout)
        else:
            self._timeout = self._loop.call_at(timeout_at, self._handle_timeout)
