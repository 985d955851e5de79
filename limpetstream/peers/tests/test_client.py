"""Tests of calls between entry instances over real sockets."""

import asyncio
import socket

import pytest

from limpetstream import errors
from limpetstream.peers import messages
from limpetstream.peers.tests import builders


async def echo(member_id, headers, body):
    """Reply with the sender and the body."""
    return messages.Reply(201, {"Seen-By": "b"}, member_id.encode() + b":" + body)


async def fail(member_id, headers, body):
    """Fail as a route with a programming error does."""
    raise RuntimeError("secret detail")


ROUTES = {"/peer/v1/echo": echo, "/peer/v1/fail": fail}


async def call(address, **options):
    """Call the echo route of member ``b`` at an address."""
    peers = builders.peers({"b": address})
    try:
        path = options.pop("path", "/peer/v1/echo")
        return await peers.call("b", path, b"hi", timeout_s=2.0, **options)
    finally:
        peers.close()


def test_replies_and_errors_are_passed_back_whole():
    """Guards against lost statuses, and against leaked error details."""

    async def main():
        async with builders.server("b", ROUTES) as address:
            for new_connection in (False, True):
                reply = await call(address, new_connection=new_connection)
                assert (reply.status, reply.body) == (201, b"a:hi")
                assert reply.headers["seen-by"] == "b"
            assert (await call(address, path="/peer/v1/none")).status == 404
            failed = await call(address, path="/peer/v1/fail")
            assert failed.status == 500
            assert b"secret" not in failed.body

    asyncio.run(main())


def test_gone_when_refused_or_replaced():
    """Guards against mistaking a new instance for the one it replaced."""

    async def main():
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
            with pytest.raises(errors.PeerGone):
                await call(address)
        async with builders.server("b2", ROUTES) as address:
            with pytest.raises(errors.PeerGone):
                await call(address)

    asyncio.run(main())


@pytest.mark.parametrize(
    "reply", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
)
def test_unreachable_when_cut_off_or_not_authentic(reply):
    """Guards against mistaking an unreachable member for one that ended."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(reply)
        await writer.drain()
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(errors.PeerUnreachable):
            await call(f"127.0.0.1:{port}", new_connection=True)
        server.close()

    asyncio.run(main())
    assert len(received) == 1


def test_unreachable_with_another_key_or_an_unknown_address():
    """Guards against accepting replies that are not signed with the key."""

    async def main():
        async with builders.server("b", ROUTES, keys=("other",)) as address:
            with pytest.raises(errors.PeerUnreachable):
                await call(address)
        with pytest.raises(errors.PeerUnreachable):
            await builders.peers({}).call("b", "/peer/v1/echo", b"", timeout_s=1.0)

    asyncio.run(main())
