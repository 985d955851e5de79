"""Builds clusters whose executors list only a part of their ends at once."""

import asyncio

import pytest

from limpetstream.shard.settling import listed_ends
from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages
from standins import shard_cluster

LISTED = 20  # Ends in one reply, in place of the platform's 500.
EXECUTORS = 2
WORK_S = 4.0
KILLED_BEFORE_S = 0.2


def limit_lists(patch: pytest.MonkeyPatch, cluster: shard_cluster.ShardCluster) -> None:
    """Let replies list at most ``LISTED`` ends."""
    patch.setattr(listed_ends, "MAX_LISTED_ENDS", LISTED)
    for executor in cluster.executor_by_id.values():
        executor.max_listed_ends = LISTED


async def start_instances(cluster: shard_cluster.ShardCluster, count: int = 3) -> None:
    """Start instances, and wait until one of them owns the shard."""
    for number in range(count):
        cluster.start(f"m{number}")
    await asyncio.sleep(4.0)
    assert cluster.owner_member() is not None


async def run_until_one_moment(
    cluster: shard_cluster.ShardCluster, tasks: int, **changes: object
) -> float:
    """Start the small tasks of a job that all work until the same moment.

    Returns:
        Loop time of that moment.
    """
    loop = asyncio.get_running_loop()
    end_at = loop.time() + WORK_S
    step = messages.Step(tasks, cpu_millicores=10, memory_mb=10, **changes)
    assert await cluster.submit(
        schedules.job_id(0), [step], seconds=lambda task: end_at - loop.time()
    )
    while cluster.breaches.starts < tasks:
        assert loop.time() < end_at - 2 * KILLED_BEFORE_S, "too slow"
        await asyncio.sleep(0.05)
    return end_at


async def sleep_until(at: float) -> None:
    """Sleep until a loop time."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())


def fail_last_runs(cluster: shard_cluster.ShardCluster, end_at: float) -> None:
    """Let a quarter of the runs fail, after the others have ended."""
    for executor in cluster.executor_by_id.values():
        runs = list(executor.run_by_task.values())
        for run in runs[len(runs) * 3 // 4 :]:
            run.fails, run.ends_at = True, end_at + 0.1
