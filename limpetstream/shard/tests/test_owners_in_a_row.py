"""Tests of changes of owner that follow one another within seconds.

All run on virtual time.
"""

import asyncio

import loguru
import pytest

from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages

EXECUTORS = 12
LEAVING = 8  # Most of those that the journal records.
# A task that could run may stand still for 3 s after 4 s without a fault.
RUNNING_AGAIN_S = 7.0
MARGIN_S = 1.0


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def leave_for_good(cluster, executor_id):
    """End an executor with its runs; nobody reaches it any more."""
    cluster.executor_by_id[executor_id].restart()
    cluster.executor_by_id[executor_id].cut = True
    cluster.unlist_executor(executor_id)


def count_running(cluster):
    """Return how many tasks run on executors that have not left."""
    return sum(
        len(executor.run_by_task)
        for executor in cluster.executor_by_id.values()
        if not executor.cut
    )


async def replace_owner(cluster, name):
    """Kill the owner once it has loaded the shard; start it again."""
    while cluster.owner_member() is None:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.4)
    owner = cluster.owner_member()
    await cluster.kill(owner)
    cluster.start(name)
    cluster.next_by_member[owner] = name


async def run_until_most_executors_leave(cluster):
    """Start eight tasks that last; then most executors leave for good."""
    for number in range(5):
        cluster.start(f"m{number}")
    await asyncio.sleep(4)
    step = messages.Step(8, cpu_millicores=4000, memory_mb=100, long_running=True)
    assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
    await asyncio.sleep(6)
    assert count_running(cluster) == 8
    for number in range(LEAVING):
        leave_for_good(cluster, f"x{number}")
    assert count_running(cluster) < 8


async def wait_until_all_run(cluster):
    """Wait until all tasks run again; fail if that takes too long."""
    loop = asyncio.get_running_loop()
    faults_ended_at = loop.time()
    while count_running(cluster) < 8:
        await asyncio.sleep(0.05)
        assert loop.time() < faults_ended_at + RUNNING_AGAIN_S - MARGIN_S


@pytest.mark.parametrize("kills", [1, 2, 3, 4, 6])
def test_tasks_run_again_soon_after_owners_that_ended_in_a_row(kills):
    """Guards against a wait for leases that begins anew with each owner."""

    async def scenario(cluster):
        await run_until_most_executors_leave(cluster)
        for number in range(kills):
            await replace_owner(cluster, f"r{number}")
        await wait_until_all_run(cluster)

    cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert not cluster.breaches.found


def test_tasks_run_again_soon_after_an_owner_that_stays_away():
    """Guards against a wait for leases that counts from the next claim."""

    async def scenario(cluster):
        await run_until_most_executors_leave(cluster)
        await asyncio.sleep(0.4)
        await cluster.kill(cluster.owner_member())
        await wait_until_all_run(cluster)

    cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert not cluster.breaches.found


def test_a_lease_that_the_second_owner_extended_is_waited_for():
    """Guards against a wait that counts from the end of the first owner."""

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
        await asyncio.sleep(4)
        step = messages.Step(4, cpu_millicores=16000, memory_mb=100, long_running=True)
        assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
        await asyncio.sleep(4)
        await replace_owner(cluster, "r0")
        await asyncio.sleep(8)
        cluster.add_executor("x4")
        await asyncio.sleep(2)
        cluster.executor_by_id["x3"].cut = True
        starts = cluster.breaches.starts
        await replace_owner(cluster, "r1")
        await asyncio.sleep(12)
        assert cluster.breaches.starts == starts + 1

    cluster = schedules.run_scenario(scenario)
    assert not cluster.breaches.found


@pytest.mark.parametrize("seed", range(20))
def test_no_task_runs_twice_while_owners_end_in_a_row(seed):
    """Guards against leases that a later owner takes for expired."""
    faults = [schedules.kill_owners_in_a_row] * 8 + schedules.PARTITION_FAULTS
    assert not schedules.run_random_schedule(seed, faults).breaches.found
