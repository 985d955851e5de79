"""Workarounds for tornado's libcurl client: pool sizes and safe closing."""

import pycurl
from tornado import curl_httpclient


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
