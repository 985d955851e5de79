"""Tests of the planned stop of an instance on the users' platform."""

import asyncio

from adapter import process
from limpetstream import clock as clock_module
from limpetstream.border import simple_server


class SlowClock:
    """Clock of a crowded machine, where each sleep lasts ten times as long."""

    def __init__(self):
        self.now = 0.0

    async def sleep(self, seconds):
        self.now += 10 * seconds

    def make(self):
        return clock_module.Clock(lambda: self.now, lambda: self.now, self.sleep)


def test_requests_in_flight_delay_the_stop_by_a_time_not_by_checks():
    """Guards against a stop that lasts longer than the time until the kill.

    Checks were counted, and each lasts longer than its interval beside load.
    """
    slow = SlowClock()
    servers = [simple_server.ServerState(), simple_server.ServerState(in_flight=1)]
    asyncio.run(process.drain(servers, slow.make(), 2.0))
    assert 2.0 <= slow.now <= 2.0 + 10 * process.DRAIN_CHECK_INTERVAL_S


def test_the_stop_goes_on_once_no_request_is_in_flight():
    """Guards against a stop that always takes the longest time."""
    slow = SlowClock()
    asyncio.run(process.drain([simple_server.ServerState()], slow.make(), 2.0))
    assert slow.now == 0.0
