"""Tests of the store in memory."""

import pytest

from limpetstream import errors
from limpetstream.store import messages
from standins import keyed_store, virtual_time

TOPIC, GROUP = "keyed.test", "group"


def run(scenario):
    """Run a scenario with a client whose answers come too late."""

    async def scene():
        client = keyed_store.Client(keyed_store.Store())
        client.faults.delay_s = 1.0
        await scenario(client)

    virtual_time.run(scene(), loop=virtual_time.Loop())


def test_an_append_whose_answer_is_late_may_have_taken_effect():
    """Guards against a stand-in that tells what no caller can know."""

    async def scenario(client):
        entry = messages.Entry("key", b"value")
        with pytest.raises(errors.PlatformUnavailable) as caught:
            await client.append(TOPIC, 0, [entry], timeout_s=0.4)
        assert not caught.value.not_applied
        assert client.store.partition(TOPIC, 0).end == 1

    run(scenario)


def test_a_membership_whose_answer_is_late_takes_effect():
    """Guards against members that only a store without delay knows."""

    async def scenario(client):
        members = client.store.group(GROUP).last_seen_by_member
        with pytest.raises(errors.PlatformUnavailable):
            await client.join(
                GROUP, "m0", TOPIC, ttl_s=9.0, generation=0, timeout_s=0.4
            )
        assert "m0" in members
        with pytest.raises(errors.PlatformUnavailable):
            await client.leave(GROUP, "m0", timeout_s=0.4)
        assert not members

    run(scenario)
