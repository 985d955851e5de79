"""Tests of owners that wait for the operator's first configuration."""

import asyncio

import loguru
import pytest

from limpetstream.shard import events, ownership
from limpetstream.shard.tests import schedules
from limpetstream.telemetry import logs


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_an_owner_that_has_waited_for_a_configuration_is_not_stalled():
    """Guards against an owner that leaves as soon as it can begin to load."""
    stalled = []

    def observe(event, fields):
        if event is events.SHARD_STALLED:
            stalled.append(fields)

    async def scenario(cluster):
        configuration, cluster.view.configuration = cluster.view.configuration, None
        instance = cluster.start("m0")
        await asyncio.sleep(ownership.STALLED_S + 5)
        # The store is a little slow: a load takes some tenths of a second.
        instance.store.faults.delay_s = 0.2
        cluster.view.configuration = configuration
        await asyncio.sleep(5)
        assert not stalled
        assert cluster.owner_member() == "m0"

    logs.observers.append(observe)
    try:
        schedules.run_scenario(scenario)
    finally:
        logs.observers.remove(observe)
