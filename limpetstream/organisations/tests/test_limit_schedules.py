"""Tests that executors never run more than limits allow, whatever fails."""

import asyncio

import loguru
import pytest

from limpetstream.organisations.tests import builders, limit_schedules
from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


# In each of these, a start exceeds a limit without the bound of unseen runs,
# or without the runs that no open job needs (17).
@pytest.mark.parametrize("seed", [2, 8, 17, 33, 35, 37, 50])
def test_no_schedule_exceeds_a_limit(seed):
    """Guards against runs that an owner does not count, or no longer."""
    check = limit_schedules.run(seed)
    assert not check.found
    assert check.check.highest[builders.ACME] >= 4000


async def start(cluster, check, **limit_by_name):
    """Start an owner, m0, and an instance that can replace it."""
    check.set_limits(**limit_by_name)
    cluster.start("m0")
    await asyncio.sleep(2)
    cluster.start("m1")
    await asyncio.sleep(3)


async def submit(cluster, check, number, step, *, seconds=0.0):
    """Submit a job of an organisation; return its id."""
    name = schedules.job_id(number)
    check.organisation_by_job[name] = builders.ACME
    assert await cluster.submit(name, [step], seconds=seconds)
    return name


def lasting(count, cpu=4000, **fields):
    """Return a step whose tasks run until they are cancelled."""
    return messages.Step(count, cpu, 100, long_running=True, **fields)


def test_a_new_owner_counts_runs_of_executors_out_of_its_reach():
    """Guards against starts beside runs that nobody lists.

    What fits beside them starts at once.
    """
    seen = []

    async def scenario(cluster, check):
        await start(cluster, check, acme=(16_000, 0, 0))
        await submit(cluster, check, 0, lasting(3, max_per_executor=1))
        await asyncio.sleep(1)
        for executor in cluster.executor_by_id.values():
            executor.cut = bool(executor.run_by_task)
        await cluster.kill("m0")
        await submit(cluster, check, 1, lasting(4))
        await asyncio.sleep(1)
        seen.append(check.running(builders.ACME))
        await asyncio.sleep(12)
        seen.append(check.running(builders.ACME))

    check = builders.run_scenario(scenario)
    assert not check.found
    assert [cpu for cpu, _, _ in seen] == [16_000, 16_000]


@pytest.mark.parametrize("is_cut", [False, True])
def test_runs_of_a_cancelled_job_count_until_their_end(is_cut):
    """Guards against a new owner that no longer knows whose runs they are."""

    async def scenario(cluster, check):
        await start(cluster, check, acme=(8000, 0, 0))
        name = await submit(cluster, check, 0, lasting(2))
        await asyncio.sleep(1)
        executors = cluster.executor_by_id.values()
        for executor in executors:
            executor.cut = is_cut and bool(executor.run_by_task)
        assert await cluster.instance_by_member["m0"].job_api.cancel(name, wait_s=3.0)
        # The owner drops submissions that it does not need in this time, and
        # the leases are valid beyond the next claim.
        await asyncio.sleep(0.8 if is_cut else 0)
        await cluster.kill("m0")
        await submit(cluster, check, 1, lasting(2))
        await asyncio.sleep(12)
        assert check.running(builders.ACME)[0] == 8000

    assert not builders.run_scenario(scenario).found


def test_starts_in_doubt_and_late_starts_count():
    """Guards against a second start while the first may take effect."""

    async def scenario(cluster, check):
        await start(cluster, check, acme=(8000, 0, 0))
        for executor in cluster.executor_by_id.values():
            executor.delayed_share = 0.7
        for number in range(6):
            step = messages.Step(2, 4000, 100)
            await submit(cluster, check, number, step, seconds=1.0)
        await asyncio.sleep(10)
        for executor in cluster.executor_by_id.values():
            executor.delayed_share = 0.0
        await asyncio.sleep(15)
        assert len(cluster.breaches.done_tasks) == 12

    assert not builders.run_scenario(scenario).found


def test_an_executor_that_does_not_come_back_gives_its_room_back():
    """Guards against usage that an executor leaves behind."""

    async def scenario(cluster, check):
        await start(cluster, check, acme=(8000, 0, 0))
        name = await submit(cluster, check, 0, lasting(2))
        await asyncio.sleep(1)
        for executor in cluster.executor_by_id.values():
            if executor.run_by_task:
                executor.cut = True
                cluster.unlist_executor(executor.listing.executor_id)
        assert await cluster.instance_by_member["m0"].job_api.cancel(name, wait_s=3.0)
        await submit(cluster, check, 1, lasting(2))
        await asyncio.sleep(14)
        assert check.running(builders.ACME)[0] == 8000

    assert not builders.run_scenario(scenario).found
