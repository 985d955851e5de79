"""HTTP servers of an entry instance: one port for callers, one for peers."""

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
    """Server that closes connections above a limit at once."""

    def initialize(self, *args: Any, connections: int = 0, **kwargs: Any) -> None:
        """Keep the limit; everything else is for the server."""
        super().initialize(*args, **kwargs)
        self._limit = connections

    def handle_stream(self, stream: Any, address: Any) -> None:
        """Serve one connection, or close it."""
        if self._limit and len(self._connections) >= self._limit:
            stream.close()
            return
        super().handle_stream(stream, address)


def bind(host: str, port: int) -> tuple[list[socket.socket], int]:
    """Bind a port; 0 lets the system choose.

    Returns:
        The listening sockets and the bound port.

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
    """Serve routes on bound sockets for the time of the block.

    Args:
        routes: Routes of all slices.
        sockets: Listening sockets.
        tls: TLS of the port, if it has any; its certificate can be rotated.
        clock: Time of this process.
        arguments: Further arguments of the server.

    Raises:
        SettingsError: A certificate cannot be used.
    """
    context = certificates.make_context(tls) if tls else None
    rotations: dict[str, Callable[[], Awaitable[None]]] = {}
    if context is not None and tls is not None:
        rotations["certificate"] = lambda: certificates.reload_on_change(
            context, tls, clock
        )
    application = tornado.web.Application(
        routes, default_handler_class=handler.NotFound, log_function=lambda _: None
    )
    server = LimitedServer(application, ssl_options=context, **arguments)
    server.add_sockets(sockets)
    try:
        async with lifecycles.run_in_background(clock, rotations):
            yield server
    finally:
        server.stop()
        await server.close_all_connections()
