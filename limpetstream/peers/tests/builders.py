"""Test helpers: signers, verifiers and a peer server on a real socket."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetstream import clock as clocks
from limpetstream.peers import client, handlers, messages, signing


class ManualClock:
    """Clock that tests set by hand."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.clock = clocks.Clock(
            monotonic=lambda: self.now,
            wall=lambda: 1_800_000_000.0 + self.now,
            sleep=asyncio.sleep,
        )


def make_signer_and_verifier(time: ManualClock, *, signs=("k1",), accepts=("k1",)):
    """Return a signer ``a`` and a verifier ``b``."""
    return (
        signing.Signer("a", lambda: signs, time.clock),
        signing.Verifier("b", lambda: accepts, time.clock),
    )


@contextlib.asynccontextmanager
async def server(
    member_id: str,
    routes: Mapping[str, messages.Route],
    *,
    keys: tuple[str, ...] = ("k1",),
) -> AsyncIterator[str]:
    """Serve a peer port, and yield its address."""
    clock = clocks.Clock()
    rules = handlers.routes(
        verifier=signing.Verifier(member_id, lambda: keys, clock),
        signer=signing.Signer(member_id, lambda: keys, clock),
        routes=routes,
    )
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(rules), **handlers.SERVER_LIMITS
    )
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        yield f"127.0.0.1:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()
        await server.close_all_connections()


def peers(
    address_by_id: dict[str, str], *, keys: tuple[str, ...] = ("k1",)
) -> client.PeerClient:
    """Return the peer client of member ``a``."""
    signer = signing.Signer("a", lambda: keys, clocks.Clock())
    return client.PeerClient(signer, address_by_id.get)
