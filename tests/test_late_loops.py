"""Tests of calls while the event loop is late."""

import asyncio
import time

import loguru
import pytest

from limpetstream import clock, errors
from limpetstream.platform import http
from tests import idle_servers

CALLS = 20
TIMEOUT_S = 0.25


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


def test_answers_that_came_in_time_are_read_by_a_late_loop():
    """Guards against calls that are repeated because the process was busy.

    The answers are there before the time limit, and the event loop, which
    something else has held up, reads them after it.
    """

    async def run(server):
        client = http.Client(base_url="", clock=clock.Clock())
        url = f"http://127.0.0.1:{server.port}/calls/renew"

        async def call():
            try:
                await client.call("POST", url, {}, timeout_s=TIMEOUT_S)
            except errors.PlatformUnavailable:
                return 1
            return 0

        await asyncio.gather(*(call() for _ in range(CALLS)))  # Opens connections.
        calls = [asyncio.create_task(call()) for _ in range(CALLS)]
        await asyncio.sleep(idle_servers.ANSWER_DELAY_S / 2)
        time.sleep(TIMEOUT_S + 0.1)
        failures = sum(await asyncio.gather(*calls))
        client.close()
        return failures

    with idle_servers.running() as server:
        assert asyncio.run(run(server)) == 0
