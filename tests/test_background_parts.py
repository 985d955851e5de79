"""Tests that an error in one part does not end an instance."""

import asyncio
import os
import signal

import loguru
import pytest

from adapter import operator, process
from limpetstream import clock
from limpetstream.border import stalls
from limpetstream.entry import lifecycle
from limpetstream.organisations import admissions, freshness, revocations
from limpetstream.platform import http
from limpetstream.shard import state
from limpetstream.store import messages
from limpetstream.telemetry import line_writer

CONFIGURATION = messages.Entry(
    operator.CONFIG_KEY, b'{"version":3,"routes":[],"services":[]}'
)


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


class OddStore:
    """Store whose first answer makes its client fail unexpectedly."""

    def __init__(self):
        self.reads = 0

    async def newest(self, topic, partition, *, timeout_s):
        """Fail once, then return a configuration."""
        self.reads += 1
        if self.reads == 1:
            raise RuntimeError("not foreseen")
        return messages.Page([CONFIGURATION], 1)

    async def read(self, topic, partition, start, *, wait_s, timeout_s):
        """Return nothing new."""
        await asyncio.sleep(wait_s)
        return messages.Page([], 1)


class Instance:
    """The parts of an instance that its background parts use."""

    def __init__(self):
        self.view = state.DeploymentView()
        self.store = OddStore()
        self.stalls = stalls.Stalls(clock.Clock())
        self.freshness = freshness.Freshness(5.0, is_strict=False)
        self.revocations = revocations.Revocations(5.0, is_strict=False)
        self.admissions = admissions.Admissions(self.freshness, clock.Clock())


def run_parts(instance, output, seconds):
    """Run the background parts; return whether the process was stopped."""

    async def run():
        is_stopped = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, is_stopped.set)
        client = http.Client(base_url="", clock=clock.Clock())
        parts = process.background_part_by_name(instance, client, clock.Clock(), output)
        async with lifecycle.run_in_background(clock.Clock(), parts):
            await asyncio.sleep(seconds)
        client.close()
        return is_stopped.is_set()

    return asyncio.run(run())


def test_an_unexpected_error_of_a_follower_does_not_stop_the_process():
    """Guards against one odd answer that ends all instances which read it."""
    reader, writer = os.pipe()
    instance = Instance()
    output = line_writer.NonBlockingLineWriter(writer)
    assert not run_parts(instance, output, 3 * lifecycle.TASK_RESTART_DELAY_S)
    assert instance.view.configuration.version == 3
    os.close(reader)
    os.close(writer)


def test_an_instance_goes_on_when_nobody_reads_its_log():
    """Guards against a log collector whose end takes all instances down."""
    reader, writer = os.pipe()
    os.close(reader)
    output = line_writer.NonBlockingLineWriter(writer)
    output.write("a line\n")
    assert not run_parts(Instance(), output, 2 * process.LOG_INTERVAL_S)
    assert output.dropped >= 1
    output.write("a line\n")
    output.drain()  # At the end of the process.
    os.close(writer)
