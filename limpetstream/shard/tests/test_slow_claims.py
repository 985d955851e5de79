"""Tests of claims of a shard whose journal takes long to arrive."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import names
from limpetstream.shard.tests import schedules
from limpetstream.store import follower

TRANSFER_S = 1.2  # A page of 1 MB at 7 Mbit/s.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def slow_down_journal(instance):
    """Let each answer with the journal arrive slowly at an instance."""
    newest = instance.store.newest

    async def slow(topic, partition, *, timeout_s):
        if topic == names.PROGRESS_TOPIC:
            await asyncio.sleep(min(timeout_s, TRANSFER_S))
            if timeout_s < TRANSFER_S:
                raise errors.PlatformUnavailable("cut off", answer_began=True)
        return await newest(topic, partition, timeout_s=timeout_s)

    instance.store.newest = slow


def test_a_shard_is_claimed_though_its_journal_arrives_slowly():
    """Guards against a claim that is begun anew with the same time limit."""
    assert TRANSFER_S < follower.LONG_ANSWER_S

    async def scenario(cluster):
        for member in ("m0", "m1"):
            slow_down_journal(cluster.start(member))
        await asyncio.sleep(40)
        assert cluster.owner_member() is not None

    schedules.run_scenario(scenario)
