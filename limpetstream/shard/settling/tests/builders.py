"""Builds clusters in which a start reaches the next process of an executor."""

import asyncio

from limpetstream.shard import names
from limpetstream.shard.settling.tests import test_long_running_safety
from limpetstream.shard.tests import (
    schedules,
    test_forgotten_restarts,
    test_former_processes,
)
from limpetstream.workflow import messages
from standins import shard_cluster

MAX_LEASE_MS = 10_000
RUN_S = 60.0  # Beyond each lease, so that only a lapse ends a run.
RECORDED_S = 0.3  # Beyond the notice of a restart, and the record of it.
LATE_S = 11.5  # Within the longest delay of a call.
UNLISTED_S = 4.5  # Three heartbeat intervals without a heartbeat.
# Beyond a change of owner, that delay and the longest lease.
SETTLED_S = 32.0


def run_cluster(scenario):
    return schedules.run_scenario(scenario, executors=1, max_lease_ms=MAX_LEASE_MS)


async def start_instances(cluster):
    """Start two instances, of which m0 owns the shard."""
    for number in range(2):
        cluster.start(f"m{number}")
        await asyncio.sleep(2.0)
    await asyncio.sleep(20.0)
    assert cluster.owner_member() == "m0"


async def hold_start(cluster, calls, *, long_running=False, seconds=RUN_S):
    """Submit a task, and wait until m0 has sent its start to x0."""
    step = messages.Step(
        1, cpu_millicores=16_000, memory_mb=100, long_running=long_running
    )
    seconds = 0.0 if long_running else seconds
    assert await cluster.submit(schedules.job_id(0), [step], seconds=seconds)
    while calls.start is None:
        await asyncio.sleep(0.01)


async def restart_out_of_reach(cluster, executor, *, is_listed=True):
    """Restart an executor of which at most the platform's list tells."""
    executor.cut = True
    executor.restart()
    await asyncio.sleep(test_former_processes.DOWN_S)
    if is_listed:
        cluster.list_executor(executor)


async def sleep_until(at):
    await asyncio.sleep(at - asyncio.get_running_loop().time())


async def end_owner_before_notice(
    cluster, *, long_running=False, is_listed=True, is_unlisted=False
):
    """Restart x0 and end its owner; then x0 carries out a start.

    If it is to be unlisted, its entry expires, as its heartbeats are lost.
    """
    await start_instances(cluster)
    executor = cluster.executor_by_id["x0"]
    with test_former_processes.kept_calls(cluster) as calls:
        await hold_start(cluster, calls, long_running=long_running)
        await restart_out_of_reach(cluster, executor, is_listed=is_listed)
        cut_at = asyncio.get_running_loop().time()
        await cluster.kill("m0")
    cluster.add_executor("x1")
    await asyncio.sleep(3.0)
    executor.start(calls.start, is_late=True)
    if is_unlisted:
        await sleep_until(cut_at + UNLISTED_S)
        cluster.unlist_executor("x0")
    await asyncio.sleep(SETTLED_S)
    assert cluster.executor_by_id["x1"].run_by_task


async def end_owner_before_fence(
    cluster, *, long_running=False, is_unlisted=False, change_record=None
):
    """End the owner of x0 as it has noticed a restart and not fenced x0.

    Shortly before the longest delay is over, x0 carries out a start. If it is
    to be unlisted, its entry expires before, as its heartbeats are lost.
    ``change_record`` returns what the next owner reads for its record.
    """
    await start_instances(cluster)
    executor = cluster.executor_by_id["x0"]
    shard = shard_cluster.shard_zero(cluster.instance_by_member["m0"])
    with test_former_processes.kept_calls(cluster) as calls:
        await hold_start(cluster, calls, long_running=long_running)
        sent_at = asyncio.get_running_loop().time()
        await restart_out_of_reach(cluster, executor)
        executor.cut = False
        while shard.executor_by_id["x0"].fenced:
            await asyncio.sleep(0.001)
        executor.cut = True
        cut_at = asyncio.get_running_loop().time()
        await asyncio.sleep(RECORDED_S)
        record = test_long_running_safety.stored_record(cluster, "x0")
        assert record.longest_lease
        if change_record:
            key = names.EXECUTOR_KEY_PREFIX + "x0"
            entry = cluster.store.newest(names.PROGRESS_TOPIC, 0)[key]
            raw = change_record(entry.value)
            test_forgotten_restarts.damage(cluster, key, raw)
    cluster.add_executor("x1")
    await cluster.kill("m0")
    if is_unlisted:
        await sleep_until(cut_at + UNLISTED_S)
        cluster.unlist_executor("x0")
    await sleep_until(sent_at + LATE_S)
    executor.start(calls.start, is_late=True)
    await asyncio.sleep(SETTLED_S - LATE_S)
    assert cluster.executor_by_id["x1"].run_by_task
