"""Connections and closing of libcurl clients."""

import pycurl
from tornado import curl_httpclient


def close(client: curl_httpclient.CurlAsyncHTTPClient) -> None:
    """Close a client so that none of its timers runs afterwards.

    libcurl sets a timer while it closes; tornado would run it later on a
    client that no longer exists, and print a traceback.
    """
    multi = client._multi
    if multi is None:
        return
    multi.setopt(pycurl.M_TIMERFUNCTION, lambda milliseconds: None)
    client.close()


def set_max_connections(
    client: curl_httpclient.CurlAsyncHTTPClient, count: int
) -> None:
    """Keep up to ``count`` connections open.

    By default libcurl keeps four times the number of calls in flight, and
    opens connections anew after each moment with few of them.
    """
    client._multi.setopt(pycurl.M_MAXCONNECTS, count)


def ensure_free_handle(client: curl_httpclient.CurlAsyncHTTPClient, limit: int) -> None:
    """Let one more call be in flight if all handles are in use.

    Tornado makes all handles at once; an instance that looks at few executors
    would pay for those of one that looks at hundreds.

    Args:
        client: Client to change.
        limit: Most handles that it may have.
    """
    if not client._free_list and len(client._curls) < limit:
        handle = client._curl_create()
        client._curls.append(handle)
        client._free_list.append(handle)
