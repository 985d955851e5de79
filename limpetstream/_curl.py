"""Bodies that libcurl sends once, and workarounds for tornado's client.

The workarounds concern pool sizes, safe closing, and what a failed call has
received.
"""

import io
import re

import pycurl
from tornado import curl_httpclient

from limpetstream import errors

_RECEIVED = re.compile(r"with (\d+) (?:out of \d+ )?bytes received")


def received_bytes(error: Exception) -> int:
    """Return how much of the answer's body a call got before its time limit.

    Tornado discards it and keeps only the text of libcurl's error.

    >>> received_bytes(Exception("timed out with 12 out of 90 bytes received"))
    12
    """
    match = _RECEIVED.search(str(error))
    return int(match[1]) if match else 0


class Upload:
    """Hands the body of one call to libcurl and lets it be sent once.

    libcurl sends a call again by itself if a reused connection breaks before
    the first byte of the answer. The answer to the second copy says nothing
    about the first one, which may have taken effect. To send the body again,
    libcurl has to go back to its start, which is refused here; the call fails
    as one without an answer.

    Args:
        body: Body of the call; None if it has none.

    Attributes:
        copies: How often libcurl has begun to send the body.
        opened_connections: Connections that were opened for the call; 0 if it
            used one that was open.
        has_body: Whether the call has a body.
        is_resend_refused: Whether libcurl has tried to send the body again.
    """

    __slots__ = (
        "_body",
        "copies",
        "has_body",
        "is_resend_refused",
        "opened_connections",
        "size",
    )

    def __init__(self, body: bytes | None) -> None:
        self.copies = 0
        self.opened_connections = 0
        self.has_body = bool(body)
        self.is_resend_refused = False
        self.size = len(body or b"")
        self._body = io.BytesIO(body or b"")

    def configure(self, handle: pycurl.Curl) -> None:
        """Set the options of a handle of tornado's own client for the call."""
        handle.setopt(pycurl.SOCKOPTFUNCTION, lambda fd, use: self.count_connection())
        if self.has_body:
            handle.setopt(pycurl.READFUNCTION, self.read)
            handle.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: self.rewind())

    def delivery(self, status: int = 0) -> errors.Delivery:
        """Return how the call went out.

        Args:
            status: HTTP status of the answer; 0 if none came.
        """
        return errors.Delivery(
            status, self.copies, self.opened_connections, self.has_body
        )

    def count_connection(self) -> int:
        """Count a connection that libcurl opens for the call."""
        self.opened_connections += 1
        return pycurl.SOCKOPT_OK

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body."""
        if self.has_body and self._body.tell() == 0:
            self.copies += 1
        return self._body.read(size)

    def rewind(self) -> int:
        """Refuse to go back to the start of a body."""
        if not self.has_body:
            return pycurl.SEEKFUNC_OK
        self.is_resend_refused = True
        return pycurl.SEEKFUNC_FAIL


def close(client: curl_httpclient.CurlAsyncHTTPClient) -> None:
    """Close a client so that none of its timers fires afterwards.

    libcurl sets a timer while it closes. Tornado would run the timer on the
    closed client and print a traceback, so the timer callback is replaced.
    """
    multi = client._multi
    if multi is None:
        return
    multi.setopt(pycurl.M_TIMERFUNCTION, lambda milliseconds: None)
    client.close()


def set_max_connections(
    client: curl_httpclient.CurlAsyncHTTPClient, count: int
) -> None:
    """Keep up to ``count`` connections open for reuse.

    By default libcurl keeps four times as many connections as calls are in
    flight. It would close connections whenever few calls are in flight, and
    open new ones for the next burst.
    """
    client._multi.setopt(pycurl.M_MAXCONNECTS, count)


def set_max_connections_per_address(
    client: curl_httpclient.CurlAsyncHTTPClient, count: int
) -> None:
    """Open no more than ``count`` connections to one host and port.

    If all are in use, further calls wait, within their time limits. If one is
    idle and a call needs a new one, libcurl closes the idle one.
    """
    client._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, count)


def ensure_free_handle(
    client: curl_httpclient.CurlAsyncHTTPClient, max_handles: int
) -> None:
    """Create one more libcurl handle if all handles are in use.

    Each call in flight needs a handle. Tornado creates all handles of a
    client in advance, so an instance that polls few executors would need as
    much memory as one that polls hundreds.

    Args:
        client: Client that gets the handle.
        max_handles: Maximum number of handles of the client.
    """
    if not client._free_list and len(client._curls) < max_handles:
        handle = client._curl_create()
        client._curls.append(handle)
        client._free_list.append(handle)
