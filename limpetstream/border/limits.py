"""Limits of the caller port: headers, bodies and slow senders."""

from collections.abc import Iterable
from typing import Any

import tornado.httputil

from limpetstream import errors
from limpetstream.settings import schema

MAX_HEADERS = 64
# The largest body of any call; each service has a smaller limit of its own.
MAX_BODY_BYTES = 8 * 1024 * 1024


def server_arguments(limits: schema.Limits) -> dict[str, Any]:
    """Return arguments of ``tornado.httpserver.HTTPServer``.

    The idle time also bounds how long a caller may take to send its headers,
    so it is the header time-out rather than a keep-alive time.
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
    """Check the number of headers, and that some do not repeat.

    Args:
        headers: Headers of a request.
        once: Names that may appear only once.

    Raises:
        Rejected: There are too many headers, or one repeats.
    """
    if sum(1 for _ in headers.get_all()) > MAX_HEADERS:
        raise errors.Rejected(400, "too-many-headers", f"at most {MAX_HEADERS}")
    for name in (*once, "Content-Length"):
        if len(headers.get_list(name)) > 1:
            raise errors.Rejected(400, "repeated-header", name)


def check_length(headers: tornado.httputil.HTTPHeaders, most: int) -> None:
    """Reject a body whose announced length is above a limit.

    Raises:
        Rejected: It is too large, or its length is no number.
    """
    text = headers.get("Content-Length", "0")
    if not (text.isascii() and text.isdigit()):
        raise errors.Rejected(400, "bad-length", "Content-Length is no number")
    if int(text[:20]) > most:
        raise errors.Rejected(413, "body-too-large", f"at most {most} bytes")
