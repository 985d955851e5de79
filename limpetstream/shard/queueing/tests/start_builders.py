"""Builds clusters whose executors take long to answer each start."""

import asyncio
import dataclasses

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import state
from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages
from standins import shard_cluster

TASKS = 400
ANSWER_S = 0.05
PLACED_S = 0.5  # Until the owner has placed what it can.
# The bound of the users for draining executors; it is longer for a closed
# data centre.
LATEST_S = 2.0
NARROW = messages.Step(TASKS, cpu_millicores=10, memory_mb=10)


def slow_starts(cluster: shard_cluster.ShardCluster) -> list[tuple[float, str, str]]:
    """Let each start take ``ANSWER_S``; return the list of those sent.

    Its rows are the loop time, the task and the executor's id.
    """
    sent: list[tuple[float, str, str]] = []
    loop = asyncio.get_running_loop()
    for instance in cluster.instance_by_member.values():
        client = instance.executor_client
        start = client.start

        async def slow(listing, request, *, timeout_s, start=start):
            sent.append((loop.time(), request.task, listing.executor_id))
            await asyncio.sleep(ANSWER_S)
            return await start(listing, request, timeout_s=timeout_s)

        client.start = slow
    return sent


async def place_job(
    cluster: shard_cluster.ShardCluster, **changes: object
) -> list[tuple[float, str, str]]:
    """Start an owner, and let it place the tasks of a large job.

    Returns:
        The starts that are sent, as of ``slow_starts``.
    """
    cluster.start("m0")
    await asyncio.sleep(3.0)
    sent = slow_starts(cluster)
    step = dataclasses.replace(NARROW, **changes)
    queue = shard_cluster.BATCH
    assert await cluster.submit(schedules.job_id(0), [step], seconds=60.0, queue=queue)
    await asyncio.sleep(PLACED_S)
    return sent


def owner_shard(cluster: shard_cluster.ShardCluster) -> state.Shard:
    """Return the shard at its owner."""
    shard = shard_cluster.shard_zero(cluster.instance_by_member["m0"])
    assert shard is not None
    return shard


def drain(cluster: shard_cluster.ShardCluster, executor_id: str) -> None:
    """Let an executor announce that it will leave."""
    executor = cluster.executor_by_id[executor_id]
    executor.listing = dataclasses.replace(
        executor.listing, state=executor_messages.DRAINING
    )
    cluster.list_executor(executor)


def move_to_other_service(
    cluster: shard_cluster.ShardCluster, executor_id: str
) -> None:
    """Let an executor announce that it works for another service."""
    executor = cluster.executor_by_id[executor_id]
    executor.listing = dataclasses.replace(executor.listing, service="other")
    cluster.list_executor(executor)
