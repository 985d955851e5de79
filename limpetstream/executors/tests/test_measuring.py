"""Tests of the measured delay of executors' answers, on virtual time."""

import asyncio

import pytest

from limpetstream import errors
from limpetstream.executors import measuring, sending
from standins import virtual_time


class Listing:
    executor_id = "x0"


def run(scenario):
    """Run a scenario with a window on virtual time."""
    loop = virtual_time.Loop()
    clock = virtual_time.make_clock(loop)
    virtual_time.run(scenario(sending.SendWindow(clock), clock), loop=loop)


def test_a_poll_that_waits_is_measured_beyond_its_wait():
    """Guards against waits for the end of a run that count as delays."""

    class Client:
        async def poll(self, listing, *, wait_ms, **values):
            await asyncio.sleep(wait_ms / 1000 + 0.02)

    async def scenario(window, clock):
        client = measuring.MeasuringClient(Client(), window, clock)
        await client.poll(
            Listing,
            token=1,
            acknowledged=0,
            deadline_ms=None,
            wait_ms=1000,
            timeout_s=2,
        )
        window.end_interval(0.0, 1)
        assert abs(window.delay_s - 0.02) < 1e-6

    run(scenario)


def test_calls_without_an_answer_are_noted_and_raised():
    """Guards against an owner that does not see that nobody answers."""

    class Client:
        async def stop(self, *arguments, **values):
            raise errors.PlatformUnavailable("no answer")

    async def scenario(window, clock):
        client = measuring.MeasuringClient(Client(), window, clock)
        with pytest.raises(errors.PlatformUnavailable):
            await client.stop(Listing, "task", 1, 1, timeout_s=1)
        assert window._silent_ids == {"x0"}

    run(scenario)
