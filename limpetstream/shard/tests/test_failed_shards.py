"""Tests of what the logs tell about a shard whose owner has failed."""

import asyncio

import loguru
import pytest

from limpetstream.shard import events
from limpetstream.shard.tests import schedules
from limpetstream.telemetry import logs


@pytest.fixture(autouse=True)
def logged():
    """Collect the events that are logged."""
    loguru.logger.remove()
    collected = []

    def observe(event, fields):
        collected.append((event, fields))

    logs.observers.append(observe)
    yield collected
    logs.observers.remove(observe)


def test_failed_shard_names_the_error_of_its_part(logged):
    """Guards against a failure that is logged as a group without its error.

    Every part of a shard runs in one task group, so all failures looked alike.
    """

    def fail(entry):
        raise ValueError(f"odd entry {entry.key}")

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)

    schedules.run_scenario(scenario, decode_listing=fail)
    found = [
        fields["error"] for event, fields in logged if event is events.SHARD_FAILED
    ]
    assert found
    assert set(found) == {"ValueError: odd entry x0"}
