"""Tests of calls of entry instances whose connection breaks too early.

The HTTP library sends a call again by itself over a new connection. What the
second copy is told must not pass for the answer to the call.
"""

import asyncio
import contextlib

import loguru
import pytest

from limpetstream import clock, errors
from limpetstream.desk import sender
from limpetstream.desk.tests import builders as desk_builders, sockets
from limpetstream.peers import messages as peer_messages
from limpetstream.peers.tests import builders as peer_builders
from limpetstream.platform import http, messages as platform_messages, workers
from limpetstream.settings import schema
from tests import breaking_servers

STATUSES_AFTER_BREAK = [
    breaking_servers.OK,
    breaking_servers.REFUSED,
    breaking_servers.BUSY,
]


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


@pytest.mark.parametrize("body", [b"body", b""])
@pytest.mark.parametrize("listens", [True, False])
@pytest.mark.parametrize("status", STATUSES_AFTER_BREAK)
def test_an_idempotent_request_is_sent_once_by_one_send(status, listens, body):
    """Guards against two runs in one slot (I1) and a wrong "not run".

    The executor goes on with the first copy; its slot would be free as soon as
    the second one is answered.
    """

    async def run():
        server = breaking_servers.BreakingServer(lambda path, body: {})
        server.status_after_break = status
        server.listens_after_break = listens
        world = desk_builders.World({}, {})
        request = desk_builders.request(world, body=body)
        async with server.listening():
            executor = sockets.executor(f"127.0.0.1:{server.port}")
            sending = sender.Sender(clock.Clock())
            try:
                for path in ("", "/desk"):
                    server.break_next = path
                    result = await sending.send(
                        executor,
                        request,
                        schema.Service(),
                        timeout_s=2.0,
                        check=lambda: None,
                    )
            finally:
                sending.close_all()
        assert result.answer is None
        assert result.written
        assert len(server.paths) == 2

    asyncio.run(run())


@contextlib.asynccontextmanager
async def breaking_relay(address):
    """Yield the address of a relay, and an event that breaks connections.

    Once the event is set, the next connection that gets an answer is reset
    without passing the answer on, and the event is cleared.
    """
    host, port = address.split(":")
    breaks, writers = asyncio.Event(), []

    async def copy(reader, writer, other, *, answers):
        while data := await reader.read(65536):
            if answers and breaks.is_set():
                breaks.clear()
                writer.transport.abort()
                other.transport.abort()
                return
            writer.write(data)
        writer.close()

    async def serve(reader, writer):
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        writers.extend((writer, to_writer))
        with contextlib.suppress(OSError):
            await asyncio.gather(
                copy(reader, to_writer, writer, answers=False),
                copy(to_reader, writer, to_writer, answers=True),
            )

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}", breaks
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0)


def test_a_message_that_was_handled_is_not_told_as_refused():
    """Guards against a forwarded request that counts as not run (I6).

    The second copy reaches the same member, which refuses it by its nonce.
    That must count as no reply, and the message be handled once.
    """
    handled = []

    async def handle(member_id, headers, body):
        handled.append(body)
        return peer_messages.Reply(200, {}, b"done")

    async def run():
        routes = {"/peer/v1/echo": handle}
        async with (
            peer_builders.server("b", routes) as address,
            breaking_relay(address) as (relayed, breaks),
        ):
            peers = peer_builders.peers({"b": relayed})
            try:
                await peers.call("b", "/peer/v1/echo", b"first", timeout_s=2.0)
                breaks.set()
                with pytest.raises(errors.PeerUnreachable):
                    await peers.call("b", "/peer/v1/echo", b"second", timeout_s=2.0)
            finally:
                peers.close()

    asyncio.run(run())
    assert handled == [b"first", b"second"]


@pytest.mark.parametrize("status", STATUSES_AFTER_BREAK)
def test_a_start_of_attempts_is_sent_once(status):
    """Guards against a refusal of a second copy of a start that took effect.

    A refused start counts as proof that its attempt has never run.
    """

    def respond(path, body):
        started = server.paths.count(path) > 2
        result = {"attempt": "t/1", "result": "refused" if started else "started"}
        return {"clock_ms": 1, "answers": [result]}

    server = breaking_servers.BreakingServer(respond)
    server.status_after_break = status
    start = platform_messages.Start("t/1", "t", "j", "batch", 1.0, 1.0, 0, 0.0, None, 9)

    async def run():
        async with server.listening():
            client = http.Client(
                base_url=f"http://127.0.0.1:{server.port}", clock=clock.Clock()
            )
            worker_client = workers.WorkerClient(client=client)
            try:
                await worker_client.start("w0", [start])
                server.break_next = "/workers/w0/start"
                with pytest.raises(errors.PlatformUnavailable):
                    await worker_client.start("w0", [start])
            finally:
                client.close()
        assert len(server.paths) == 2

    asyncio.run(run())
