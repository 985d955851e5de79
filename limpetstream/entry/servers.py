"""HTTP servers for the caller port and the peer port of an entry instance."""

import contextlib
import resource
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import tornado.netutil
import tornado.web
from tornado import httputil

from limpetstream import clock
from limpetstream.border import bounded_server, handler, simple_server
from limpetstream.entry import lifecycle as lifecycles, tls as certificates
from limpetstream.settings import schema

# Requests that were read when a server closes are answered within this time.
# Those that take longer, such as watches, end with their connections.
MAX_ANSWER_S = 2.0


class Application(tornado.web.Application):
    """Application that leaves the bodies of requests as they are.

    Decoded forms take many times their size, and no handler reads forms.
    """

    def find_handler(
        self, request: httputil.HTTPServerRequest, **kwargs: Any
    ) -> httputil.HTTPMessageDelegate:
        """Hide from tornado that a body calls itself a form."""
        delegate = super().find_handler(request, **kwargs)
        if not getattr(delegate, "stream_request_body", False):
            request.headers.pop("Content-Type", None)
        return delegate


class LimitedServer(bounded_server.BoundedServer):
    """Bounded HTTP server that counts its requests.

    Attributes:
        load: Counts the requests that were received and not answered yet.
    """

    def initialize(
        self,
        *args: Any,
        max_body_bytes: Callable[[str], int] | None = None,
        **kwargs: Any,
    ) -> None:
        """Store the function that returns the largest body for a path."""
        super().initialize(*args, **kwargs)
        self._max_body_bytes = max_body_bytes
        self.load = simple_server.ServerState()
        # Connections whose request was counted and has no answer yet.
        self._counted_connections: set[object] = set()

    def max_body_bytes(self, path: str) -> int:
        """Return the largest size of a body that is sent to a path."""
        if self._max_body_bytes is None:
            return super().max_body_bytes(path)
        return self._max_body_bytes(path)

    def note_complete(self, server_conn: object) -> None:
        """Count a request that was received whole."""
        self._counted_connections.add(server_conn)
        self.load.in_flight += 1
        self.load.received += 1

    def note_answer(self, handler: tornado.web.RequestHandler) -> None:
        """Count an answer; the application calls this as its log function."""
        server_conn = handler.request.server_connection
        if server_conn in self._counted_connections:
            self._counted_connections.discard(server_conn)
            self.load.in_flight -= 1
        self.note_answered(server_conn)


def max_connections(wanted: int, descriptor_share: float) -> int:
    """Return how many connections a port may have.

    Args:
        wanted: Number that the settings allow.
        descriptor_share: Share of the descriptors that the process may open.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return wanted
    return max(1, min(wanted, int(soft_limit * descriptor_share)))


def bind(host: str, port: int) -> tuple[list[socket.socket], int]:
    """Bind a port; port 0 lets the operating system choose one.

    Returns:
        The listening sockets and the port number.

    Raises:
        OSError: The port cannot be bound.
    """
    sockets = tornado.netutil.bind_sockets(port, host)
    return sockets, sockets[0].getsockname()[1]


@contextlib.asynccontextmanager
async def serve(
    routes: list[Any],
    *,
    sockets: list[socket.socket],
    tls: schema.Tls | None,
    clock: clock.Clock,
    arguments: dict[str, Any],
    bounds: bounded_server.Bounds | None = None,
) -> AsyncIterator[LimitedServer]:
    """Serve routes on bound sockets within the block.

    Args:
        routes: Routes of the application.
        sockets: Listening sockets.
        tls: TLS settings of the port, if any; a changed certificate is
            loaded without a restart.
        clock: Time source.
        arguments: Further arguments of the HTTP server.
        bounds: Bounds of the server; None for the default ones.

    Raises:
        SettingsError: A certificate cannot be used.
    """
    context = certificates.make_context(tls) if tls else None
    reload_task_by_name: dict[str, Callable[[], Awaitable[None]]] = {}
    if context is not None and tls is not None:
        reload_task_by_name["certificate"] = lambda: certificates.reload_on_change(
            context, tls, clock
        )
    application = Application(
        routes,
        default_handler_class=handler.NotFoundHandler,
        log_function=lambda request_handler: server.note_answer(request_handler),
    )
    server = LimitedServer(
        application,
        ssl_options=context,
        bounds=bounds or bounded_server.Bounds(),
        **arguments,
    )
    server.add_sockets(sockets)
    try:
        async with lifecycles.run_in_background(clock, reload_task_by_name):
            yield server
    finally:
        await simple_server.read_out([server.load], max_s=MAX_ANSWER_S)
        server.stop()
        await server.close_all_connections()
