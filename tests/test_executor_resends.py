"""Tests that no call to an executor is sent twice by the HTTP library."""

import asyncio

import loguru
import pytest

from adapter import executors
from limpetstream import clock, errors
from limpetstream.executors import messages
from limpetstream.platform import http
from tests import answer_builders as builders


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


class Executor:
    """Answers calls until it is told to reset the connection instead."""

    def __init__(self):
        self.is_resetting = False
        self.request_count = 0
        self.writers = []

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        self.writers.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = head.lower().partition(b"content-length: ")[2].split()[0]
                await reader.readexactly(int(length))
                self.request_count += 1
                if self.is_resetting:
                    self.is_resetting = False
                    writer.transport.abort()
                    return
                body = builders.status()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


async def poll(client, listing, *, acknowledged):
    return await client.poll(
        listing,
        token=1,
        acknowledged=acknowledged,
        deadline_ms=None,
        wait_ms=0,
        timeout_s=2.0,
    )


def count_requests_as_connection_breaks(call):
    """Return how often a call arrives whose connection is reset."""

    async def run():
        executor = Executor()
        server = await asyncio.start_server(executor.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        listing = builders.listing_at(f"127.0.0.1:{port}")
        http_client = http.Client(base_url="", clock=clock.Clock())
        client = executors.HttpExecutorClient(http_client)
        try:
            await poll(client, listing, acknowledged=0)
            executor.is_resetting = True
            with pytest.raises(errors.PlatformUnavailable):
                await call(client, listing)
            return executor.request_count - 1
        finally:
            http_client.close()
            server.close()
            for writer in executor.writers:
                writer.transport.abort()
            await asyncio.sleep(0)  # Lets the connections close.

    return asyncio.run(run())


def test_a_poll_is_not_sent_again_when_its_connection_breaks():
    """Guards against acknowledging ends of a restarted executor.

    Its ends have the numbers that the poll acknowledges for the former one.
    """

    async def call(client, listing):
        await poll(client, listing, acknowledged=7)

    assert count_requests_as_connection_breaks(call) == 1


def test_a_start_is_not_sent_again_when_its_connection_breaks():
    """Guards against a start that is sent once the proof has expired."""

    async def call(client, listing):
        request = messages.StartRequest("5c0e7a21d94b36f8.0.0.0", 1, "", 9000, 1)
        await client.start(listing, request, timeout_s=2.0)

    assert count_requests_as_connection_breaks(call) == 1
