"""Workarounds for tornado's libcurl client.

They concern pool sizes, safe closing, and what a failed call has received.
"""

import re

import pycurl
from tornado import curl_httpclient

_RECEIVED = re.compile(r"with (\d+) (?:out of \d+ )?bytes received")


def received_bytes(error: Exception) -> int:
    """Return how much of the answer's body a call got before its time limit.

    Tornado discards it and keeps only the text of libcurl's error.

    >>> received_bytes(Exception("timed out with 12 out of 90 bytes received"))
    12
    """
    match = _RECEIVED.search(str(error))
    return int(match[1]) if match else 0


def forbid_resend(handle: pycurl.Curl) -> None:
    """Let a call fail where libcurl would send its body a second time.

    libcurl then has to go back to the start of the body, which this refuses.
    """
    handle.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: pycurl.SEEKFUNC_FAIL)


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
