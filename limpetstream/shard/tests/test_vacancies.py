"""Tests that a shard which its announced owner no longer serves is claimed.

All run on virtual time.
"""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import names, ownership, scheduling
from limpetstream.shard.tests import schedules

CLAIM_LIMIT_S = 20.0  # Far more than any other change of owner takes.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def refuse_appends(instance):
    """Let the store refuse what an instance writes to the journal."""
    append = instance.store.append

    async def refused(topic, partition, entries, **fields):
        if topic == names.PROGRESS_TOPIC:
            raise errors.PlatformUnavailable("refused", not_applied=True)
        return await append(topic, partition, entries, **fields)

    instance.store.append = refused


def refuse_announcements(instance, until):
    """Let the store refuse reads of the announced owner until a time."""
    newest = instance.store.newest

    async def refused(topic, partition, *, timeout_s):
        if topic == names.OWNERS_TOPIC and asyncio.get_running_loop().time() < until():
            raise errors.PlatformUnavailable("refused", not_applied=True)
        return await newest(topic, partition, timeout_s=timeout_s)

    instance.store.newest = refused


def assign(cluster, member):
    """Let the group reassign the partitions until a member has shard 0."""
    group = cluster.store.group(names.GROUP)
    while group.owner(0, asyncio.get_running_loop().time()) != member:
        group.generation += 1


def test_a_shard_is_claimed_though_a_stalled_owner_has_joined_again():
    """Guards against a successor that waits for a member that only announces.

    The successor cannot read for some seconds after the owner has left, and
    the owner is a member again by then.
    """

    async def scenario(cluster):
        instance = cluster.start("m0")
        await asyncio.sleep(3)
        assert cluster.owner_member() == "m0"
        successor = cluster.start("m1")
        await asyncio.sleep(2)
        refuse_appends(instance)
        end = [float("inf")]
        refuse_announcements(successor, lambda: end[0])
        while cluster.owner_member() == "m0":
            await asyncio.sleep(0.1)
        # Once both are members, the successor has the shard too.
        cluster.store.group(names.GROUP).generation += (
            cluster.store.group(names.GROUP).generation % 2
        )
        await asyncio.sleep(ownership.REJOIN_PAUSE_S + 1)
        end[0] = 0.0
        await asyncio.sleep(CLAIM_LIMIT_S)
        assert cluster.owner_member() == "m1"

    schedules.run_scenario(scenario)


def test_a_shard_is_claimed_though_its_last_owner_could_not_withdraw(monkeypatch):
    """Guards against a shard that nobody serves after a failure of its owner.

    The store refuses the owner's calls for a moment, and the group assigns
    the shard to another member meanwhile.
    """
    run_pass = scheduling.run_pass
    fails = []

    def fail(shard):
        if fails:
            fails.clear()
            raise RuntimeError("a fault of the program")
        run_pass(shard)

    monkeypatch.setattr(scheduling, "run_pass", fail)

    async def scenario(cluster):
        instance = cluster.start("m0")
        await asyncio.sleep(3)
        cluster.start("m1")
        await asyncio.sleep(2)
        assert cluster.owner_member() == "m0"
        assign(cluster, "m1")
        end = asyncio.get_running_loop().time() + 1.0
        refuse_announcements(instance, lambda: end)
        fails.append(True)
        cluster.instance_by_member["m0"].job_api._server.shard_by_number[
            0
        ].changed.set()
        await asyncio.sleep(CLAIM_LIMIT_S)
        assert cluster.owner_member() is not None

    schedules.run_scenario(scenario)
