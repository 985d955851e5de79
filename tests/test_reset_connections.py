"""Tests of calls after a server has reset all open connections."""

import asyncio

import loguru
import pytest

from limpetstream import clock, errors
from limpetstream.platform import http
from tests import breaking_servers, idle_servers

CONNECTIONS = 8
CALLS = 12


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


def test_one_call_fails_after_a_server_has_reset_its_idle_connections():
    """Guards against a failed call for each connection that was open.

    An owner whose renewals fail for a second loses its shard.
    """

    async def run(server):
        client = http.Client(base_url="", clock=clock.Clock())
        url = f"http://127.0.0.1:{server.port}/calls/renew"

        async def call():
            try:
                await client.call("POST", url, {}, timeout_s=2.0)
            except errors.PlatformUnavailable:
                return 1
            return 0

        await asyncio.gather(*(call() for _ in range(CONNECTIONS)))
        server.reset_connections()
        failures = 0
        for _ in range(CALLS):
            failures += await call()
            await asyncio.sleep(0.02)
        client.close()
        return failures

    with idle_servers.running() as server:
        assert asyncio.run(run(server)) <= 1


def test_connections_to_one_address_are_bounded():
    """Guards against connections that fill an executor.

    It takes 64 over all instances. While it reset a part of its calls, each
    call after a reset opened a connection that stayed open, and so did each
    burst of calls; the next owner found none free.
    """
    limit, rounds = 16, 20

    async def run():
        server = breaking_servers.BreakingServer(lambda path, body: {})
        server.status_after_break = breaking_servers.OK
        client = http.Client(
            base_url="", clock=clock.Clock(), max_connections_per_address=limit
        )
        failures = 0

        async def call(name):
            nonlocal failures
            url = f"http://127.0.0.1:{server.port}/calls/{name}"
            try:
                await client.call("POST", url, {}, timeout_s=2.0)
            except errors.PlatformUnavailable:
                failures += 1

        async with server.listening():
            for _ in range(rounds):
                server.break_next = "/calls/broken"
                await call("broken")
                await asyncio.gather(*(call("stop") for _ in range(4)))
            await asyncio.gather(*(call("stop") for _ in range(3 * limit)))
            assert server.most_open <= limit
            client.close()
        return failures

    assert asyncio.run(run()) == rounds
