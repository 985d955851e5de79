"""Tests of an owner that is cut off while another instance takes over.

All run on virtual time. An instance is cut off from the store, and from some
executors in one direction or both.
"""

import asyncio

import loguru
import pytest

from limpetstream.shard.tests import schedules


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
