"""HTTP servers for the caller port and the peer port of an entry instance."""

import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetstream import clock
from limpetstream.border import handler
from limpetstream.entry import lifecycle as lifecycles, tls as certificates
from limpetstream.settings import schema


class LimitedServer(tornado.httpserver.HTTPServer):
    """HTTP server that closes new connections above a limit immediately."""

    def initialize(self, *args: Any, connections: int = 0, **kwargs: Any) -> None:
        """Store the connection limit; 0 means no limit."""
        super().initialize(*args, **kwargs)
        self._max_connections = connections

    def handle_stream(self, stream: Any, address: Any) -> None:
        """Serve a connection, or close it if the limit is reached."""
        if self._max_connections and len(self._connections) >= self._max_connections:
            stream.close()
            return
        super().handle_stream(stream, address)


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
) -> AsyncIterator[LimitedServer]:
    """Serve routes on bound sockets within the block.

    Args:
        routes: Routes of the application.
        sockets: Listening sockets.
        tls: TLS settings of the port, if any; a changed certificate is
            loaded without a restart.
        clock: Time source.
        arguments: Further arguments of the HTTP server.

    Raises:
        SettingsError: A certificate cannot be used.
    """
    context = certificates.make_context(tls) if tls else None
    reload_task_by_name: dict[str, Callable[[], Awaitable[None]]] = {}
    if context is not None and tls is not None:
        reload_task_by_name["certificate"] = lambda: certificates.reload_on_change(
            context, tls, clock
        )
    application = tornado.web.Application(
        routes,
        default_handler_class=handler.NotFoundHandler,
        log_function=lambda _: None,
    )
    server = LimitedServer(application, ssl_options=context, **arguments)
    server.add_sockets(sockets)
    try:
        async with lifecycles.run_in_background(clock, reload_task_by_name):
            yield server
    finally:
        server.stop()
        await server.close_all_connections()
