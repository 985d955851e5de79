"""Limits of the caller port on headers, bodies and slow senders."""

from collections.abc import Iterable
from typing import Any

import tornado.httputil

from limpetstream import errors
from limpetstream.settings import schema

MAX_HEADERS = 64
# Maximum body of any request; services set smaller limits of their own.
MAX_BODY_BYTES = 8 * 1024 * 1024


def server_arguments(limits: schema.Limits) -> dict[str, Any]:
    """Return keyword arguments of ``tornado.httpserver.HTTPServer``.

    The idle time-out also bounds the time that a caller takes to send its
    headers, so it is the header time-out rather than a keep-alive time.
    """
    return {
        "max_header_size": limits.header_bytes,
        "max_body_size": MAX_BODY_BYTES,
        "max_buffer_size": 2 * MAX_BODY_BYTES,
        "idle_connection_timeout": limits.header_timeout_s,
        "body_timeout": limits.body_timeout_s,
    }


def check_headers(
    headers: tornado.httputil.HTTPHeaders, *, once: Iterable[str] = ()
) -> None:
    """Check the number of headers, and that some are not repeated.

    Args:
        headers: Headers of a request.
        once: Names of headers, besides ``Content-Length``, that may appear
            only once.

    Raises:
        Rejected: There are too many headers, or one is repeated.
    """
    if sum(1 for _ in headers.get_all()) > MAX_HEADERS:
        raise errors.Rejected(
            400, "too-many-headers", f"at most {MAX_HEADERS} headers are allowed"
        )
    for name in (*once, "Content-Length"):
        if len(headers.get_list(name)) > 1:
            raise errors.Rejected(400, "repeated-header", name)


def check_length(headers: tornado.httputil.HTTPHeaders, max_bytes: int) -> None:
    """Reject a body whose ``Content-Length`` is above a limit.

    Args:
        headers: Headers of a request.
        max_bytes: Maximum length of the body.

    Raises:
        Rejected: The body is too large, or its length is not a number.
    """
    text = headers.get("Content-Length", "0")
    if not (text.isascii() and text.isdigit()):
        raise errors.Rejected(400, "bad-length", "Content-Length is not a number")
    if int(text[:20]) > max_bytes:
        raise errors.Rejected(413, "body-too-large", f"at most {max_bytes} bytes")
