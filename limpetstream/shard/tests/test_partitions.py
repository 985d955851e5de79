"""Tests of an owner that is cut off while another instance takes over.

All run on virtual time. An instance is cut off from the store, and from some
executors in one direction or both.
"""

import asyncio

import loguru
import pytest

from limpetstream.shard import names, ownership
from limpetstream.shard.tests import schedules
from standins import keyed_store, virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_isolated_owner_starts_no_work_that_its_successor_keeps():
    """Guards against a second run after a cut that lets calls pass one way.

    The owner gets no answers from half of the executors and takes their leases
    for expired, while its successor has extended them.
    """

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        for number in range(4):
            assert await cluster.submit(
                schedules.job_id(number), schedules.steps(3), seconds=12.0
            )
        await asyncio.sleep(0.5)
        cluster.start("m1")
        await asyncio.sleep(0.5)
        schedules.isolate(cluster, "m0", {"x0", "x1"}, one_way=True)
        cluster.instance_by_member["m1"].executor_client.unreachable_ids |= {"x2", "x3"}
        await asyncio.sleep(9)
        schedules.join_again(cluster, "m0")
        schedules.join_again(cluster, "m1")
        for number in range(4):
            assert (
                await cluster.wait_until_final(schedules.job_id(number), limit_s=60)
                == "completed"
            )

    cluster = schedules.run_scenario(scenario)
    assert not cluster.breaches.found


def test_owner_with_a_majority_gives_up_no_run_that_its_successor_keeps():
    """Guards against a second run while a majority of executors still answers.

    The successor has reached one executor of four and extended its lease. The
    owner gets no answers from it, but replies of the other three.
    """

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        for number in range(3):
            assert await cluster.submit(
                schedules.job_id(number), schedules.steps(4), seconds=14.0
            )
        await asyncio.sleep(0.5)
        cluster.start("m1")
        await asyncio.sleep(0.5)
        schedules.isolate(cluster, "m0", {"x0"}, one_way=False)
        client = cluster.instance_by_member["m1"].executor_client
        client.unreachable_ids |= {"x1", "x2", "x3"}
        await asyncio.sleep(11)
        schedules.join_again(cluster, "m0")
        schedules.join_again(cluster, "m1")
        for number in range(3):
            assert (
                await cluster.wait_until_final(schedules.job_id(number), limit_s=60)
                == "completed"
            )

    cluster = schedules.run_scenario(scenario)
    assert not cluster.breaches.found


def test_a_late_announcement_replaces_no_later_one():
    """Guards against a shard without an owner after that owner has left.

    The other instances would wait for the one that is announced, which is a
    member of the group and does not own the shard.
    """

    async def scenario():
        store = keyed_store.Store()
        late, later = keyed_store.Client(store), keyed_store.Client(store)
        clock = virtual_time.make_clock(asyncio.get_running_loop())
        late.faults.delayed_share = 1.0
        announcing = asyncio.create_task(
            ownership.Ownership(late, "m0", 1, None, clock)._announce(0)
        )
        await asyncio.sleep(0.1)
        announcing.cancel()
        await ownership.Ownership(later, "m1", 1, None, clock)._announce(0)
        await asyncio.sleep(7.0)
        return store.newest(names.OWNERS_TOPIC, 0)[names.OWNER_KEY].value

    assert virtual_time.run(scenario(), loop=virtual_time.Loop()) == b"m1"
