"""Tests of calls after a server has reset all open connections."""

import asyncio

import loguru
import pytest

from limpetstream import clock, errors
from limpetstream.platform import http
from tests import idle_servers

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
