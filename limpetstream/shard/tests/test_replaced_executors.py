"""Tests of tasks whose executors leave, one after the other."""

import asyncio
import dataclasses
import random

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages
from standins import shard_cluster

NOTICE_S = 5.0  # From the entry that says so until an executor leaves.
BEST_EFFORT = messages.Step(
    4, cpu_millicores=4000, memory_mb=4000, image="press", fills=True
)
LASTING = messages.Step(3, cpu_millicores=3000, memory_mb=2000, long_running=True)


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


async def leave(cluster, executor, *, remaining_ms=None):
    """Let an executor announce that it leaves, and leave with all its runs.

    Args:
        cluster: Cluster of the executor.
        executor: Executor that leaves ``NOTICE_S`` later.
        remaining_ms: What its entry says about the time until then.
    """
    executor_id = executor.listing.executor_id
    executor.listing = dataclasses.replace(
        executor.listing, state=executor_messages.DRAINING, remaining_ms=remaining_ms
    )
    cluster.list_executor(executor)
    await asyncio.sleep(NOTICE_S)
    executor.restart()  # Ends its runs.
    executor.cut = True
    cluster.unlist_executor(executor_id)


def untracked(cluster):
    shard = shard_cluster.shard_zero(cluster.instance_by_member["m0"])
    return [task.name for task in builders.untracked_tasks(shard)]


def test_tasks_that_are_cut_off_by_a_leaving_executor_run_again():
    """Guards against runs that an owner believes in after their executor left.

    Reported by the LOST check on bwc-limpet-grown: each poll without an answer
    extended the lease that the owner waited for.
    """

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        assert await cluster.submit(
            schedules.job_id(1),
            [BEST_EFFORT],
            seconds=NOTICE_S + 2,
            queue=shard_cluster.BATCH,
        )
        await asyncio.sleep(0.5)
        used = [x for x in cluster.executor_by_id.values() if x.run_by_task]
        for number in range(len(used)):
            cluster.add_executor(f"n{number}")
        await asyncio.gather(*[leave(cluster, executor) for executor in used])
        assert not any(cluster.breaches.executors_by_task.values())
        await asyncio.sleep(7.0)
        assert len(cluster.breaches.executors_by_task) == 4
        assert all(cluster.breaches.executors_by_task.values())
        final = await cluster.wait_until_final(schedules.job_id(1), limit_s=9)
        assert final == "completed"

    cluster = schedules.run_scenario(scenario)
    assert cluster.breaches.starts == 8


@pytest.mark.parametrize("left_s", [0.02, 0.3, 3.0])
def test_no_run_ends_unread_as_its_executor_leaves(left_s):
    """Guards against a second run of a task whose end is listed too late.

    Seen on bwc-limpet-grown: a run ended as done 9 ms before its executor
    left, the reply that listed it was lost, and the task was started again.

    Args:
        left_s: Seconds from the end of the runs until the executors leave; the
            last value leaves them the time to end.
    """

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        name = schedules.job_id(1)
        assert await cluster.submit(
            name,
            [BEST_EFFORT],
            seconds=0.1 + NOTICE_S - left_s,
            queue=shard_cluster.BATCH,
        )
        await asyncio.sleep(0.1)
        used = [x for x in cluster.executor_by_id.values() if x.run_by_task]
        leaving = [
            asyncio.create_task(
                leave(cluster, executor, remaining_ms=round(NOTICE_S * 1000))
            )
            for executor in used
        ]
        await asyncio.sleep(NOTICE_S - 0.05)
        assert not any(executor.run_by_task for executor in used)
        assert not any(executor.ends for executor in used)
        await asyncio.gather(*leaving)
        assert await cluster.wait_until_final(name, limit_s=9) == "completed"

    cluster = schedules.run_scenario(scenario, executors=8)
    assert not cluster.breaches.found
    assert cluster.breaches.starts == (4 if left_s == 3.0 else 8)


@pytest.mark.parametrize("seed", range(8))
def test_no_task_is_dropped_while_executors_are_replaced(seed):
    """Guards against an owner that loses track of tasks of left executors."""

    async def replace_all(cluster, generator):
        leaving = []
        for number, executor in enumerate(list(cluster.executor_by_id.values())):
            cluster.add_executor(f"n{number}")
            leaving.append(asyncio.create_task(leave(cluster, executor)))
            await asyncio.sleep(generator.uniform(0.2, 0.8))
        await asyncio.gather(*leaving)

    async def scenario(cluster):
        generator = random.Random(seed)
        cluster.start("m0")
        await asyncio.sleep(2)
        replacing = asyncio.create_task(replace_all(cluster, generator))
        finite = []
        for number in range(24):
            name = schedules.job_id(number)
            step = generator.choice([BEST_EFFORT, BEST_EFFORT, LASTING])
            seconds = 0 if step is LASTING else generator.choice([0.5, 2.5, 6.8])
            assert await cluster.submit(
                name, [step], seconds=seconds, queue=shard_cluster.BATCH
            )
            if step is not LASTING:
                finite.append(name)
            assert not untracked(cluster)
            await asyncio.sleep(generator.uniform(0.1, 0.5))
        await replacing
        await asyncio.sleep(6.0)
        assert not untracked(cluster)
        tasks = cluster.breaches.executors_by_task
        assert sum(map(bool, tasks.values())) >= 3 * (24 - len(finite))
        for name in finite:
            assert await cluster.wait_until_final(name, limit_s=20) == "completed"

    schedules.run_scenario(scenario, seed=seed, executors=10)
