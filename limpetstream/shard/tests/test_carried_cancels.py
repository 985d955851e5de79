"""Tests of cancels whose callers were told that their outcome is unknown."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import carried_cancels
from limpetstream.shard.tests import schedules
from standins import virtual_time

JOB_ID = schedules.job_id(7)


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def run(scenario):
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    virtual_time.run(scenario(loop), loop=loop)


def test_a_cancel_that_an_owner_could_not_store_reaches_the_next_one():
    """Guards against a job that goes on as only its owner knew of its cancel.

    Found by the search (cancel_draws, seeds 10760 and 11953). The caller asks
    once, and does not come back after the answer 504.
    """

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
        await asyncio.sleep(4)
        assert await cluster.submit(JOB_ID, schedules.steps(4), seconds=300.0)
        await asyncio.sleep(1)
        owner = cluster.instance_by_member[cluster.owner_member()]
        other = next(
            instance
            for instance in cluster.instance_by_member.values()
            if instance is not owner
        )
        owner.store.faults.cut = True
        with pytest.raises(errors.OutcomeUnknown):
            await other.job_api.cancel(JOB_ID, wait_s=1.0)
        await cluster.kill(owner.member)
        assert await cluster.wait_until_final(JOB_ID, limit_s=30) == "cancelled"
        await asyncio.sleep(2)
        assert not any(e.run_by_task for e in cluster.executor_by_id.values())

    assert not schedules.run_scenario(scenario).breaches.found


def test_cancels_are_asked_for_one_after_the_other_until_they_are_taken():
    """Guards against a storm of cancels at an owner that is late."""
    asked, under_way = [], set()

    async def cancel(job_id):
        assert not under_way
        under_way.add(job_id)
        await asyncio.sleep(1.0)
        under_way.discard(job_id)
        asked.append(job_id)
        return asked.count(job_id) == 2

    async def scenario(loop):
        carried = carried_cancels.CarriedCancels(cancel, virtual_time.make_clock(loop))
        for job_id in ("a", "b", "c"):
            carried.add(job_id)
        await asyncio.sleep(60)

    run(scenario)
    assert asked == ["a", "b", "c"] * 2


def test_a_cancel_is_given_up_after_a_time():
    """Guards against requests without an end, and bounds their number."""
    asked = []

    async def cancel(job_id):
        asked.append(job_id)
        return False

    async def scenario(loop):
        carried = carried_cancels.CarriedCancels(cancel, virtual_time.make_clock(loop))
        for number in range(carried_cancels.MAX_CANCELS + 1):
            carried.add(str(number))
        carried.discard("1")
        await asyncio.sleep(carried_cancels.CARRY_ON_S + 1.0)
        count = len(asked)
        await asyncio.sleep(carried_cancels.MAX_CANCELS)
        assert len(asked) <= carried_cancels.MAX_CANCELS + count
        assert not carried._told_at_by_job

    run(scenario)
    assert "0" not in asked and "1" not in asked


def test_an_error_ends_the_asking_only_until_the_next_cancel():
    """Guards against a kept cancel that takes all later ones down."""
    asked = []

    async def cancel(job_id):
        asked.append(job_id)
        if job_id == "a":
            raise ValueError("unexpected")
        return True

    async def scenario(loop):
        carried = carried_cancels.CarriedCancels(cancel, virtual_time.make_clock(loop))
        carried.add("a")
        await asyncio.sleep(1)
        carried._task.exception()
        carried.add("b")
        carried.discard("a")
        await asyncio.sleep(2)

    run(scenario)
    assert asked == ["a", "b"]
