"""Tests of long-running tasks after a restart and a change of owner.

All run on virtual time. The restarted executor may hold the longest lease, and
it leaves for good before the next owner reaches it.
"""

import asyncio
import math

import loguru
import pytest

from limpetstream.shard import executor_records, names, state
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages

EXECUTORS = 6
TASKS = 4
MAX_LEASE_MS = 10_000
DOWN_S = 0.6  # A restart.
FENCED_AFTER_S = 1.5  # Beyond the notice of a restart, the fence and the record.
RUNNING_AGAIN_S = 7.0  # The users' bound, with its margin.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def leave_for_good(cluster, executor):
    """End an executor with its runs; nobody reaches it any more."""
    executor.restart()
    executor.cut = True
    cluster.unlist_executor(executor.listing.executor_id)


def running_tasks(cluster):
    """Return the tasks that run on executors that have not left."""
    return {
        task
        for executor in cluster.executor_by_id.values()
        if not executor.cut
        for task in executor.run_by_task
    }


def pick(cluster, *, is_running):
    """Return an executor that runs a task, or one that runs none."""
    for executor in cluster.executor_by_id.values():
        if not executor.cut and bool(executor.run_by_task) == is_running:
            return executor
    raise LookupError("no such executor")


async def start_long_running(cluster):
    """Start an owner and tasks that last, with room for two more."""
    for number in range(4):
        cluster.start(f"m{number}")
    await asyncio.sleep(4.0)
    step = messages.Step(TASKS, cpu_millicores=16_000, memory_mb=100, long_running=True)
    assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
    await asyncio.sleep(14.0)
    assert len(running_tasks(cluster)) == TASKS


async def restart(cluster, executor):
    """Restart an executor, and wait until its owner has fenced it."""
    executor.cut = True
    executor.restart()
    await asyncio.sleep(DOWN_S)
    executor.cut = False
    cluster.list_executor(executor)
    await asyncio.sleep(FENCED_AFTER_S)
    assert len(running_tasks(cluster)) == TASKS


async def replace_owner(cluster, name):
    """Kill the owner once it has loaded the shard; start it again."""
    while cluster.owner_member() is None:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.4)
    owner = cluster.owner_member()
    await cluster.kill(owner)
    cluster.start(name)
    cluster.next_by_member[owner] = name


async def wait_until_all_run(cluster):
    """Wait until all tasks run again; fail if that takes too long."""
    loop = asyncio.get_running_loop()
    left_at = loop.time()
    while len(running_tasks(cluster)) < TASKS:
        await asyncio.sleep(0.05)
        assert loop.time() - left_at < RUNNING_AGAIN_S


@pytest.mark.parametrize("was_running", [False, True])
@pytest.mark.parametrize("kills", [1, 2, 3])
def test_tasks_run_again_though_a_restarted_executor_has_left(kills, was_running):
    """Guards against a wait for a longest lease that no such task holds."""

    async def scenario(cluster):
        await start_long_running(cluster)
        restarted = pick(cluster, is_running=was_running)
        await restart(cluster, restarted)
        assert not restarted.run_by_task
        leave_for_good(cluster, pick(cluster, is_running=True))
        leave_for_good(cluster, restarted)
        for number in range(kills):
            await replace_owner(cluster, f"r{number}")
        await wait_until_all_run(cluster)

    cluster = schedules.run_scenario(
        scenario, executors=EXECUTORS, max_lease_ms=MAX_LEASE_MS
    )
    assert not cluster.breaches.found


def test_two_starts_at_once_are_both_admitted():
    """Guards against a start that is withdrawn as another one is admitted.

    Both queue the record, and only the later one is encoded.
    """
    scene = builders.JournaledShard(executors=1)
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    shard.record_state_by_id["x0"] = state.KEPT
    executor.longest_lease_expires_at = math.inf
    executor.fenced = executor.confirmed = True
    shard.spawn(executor_records._write_under_epoch(shard, executor))
    scene.advance(0.1)
    assert executor.record_bars_long_running
    barred = []

    async def admit():
        await executor_records.admit_long_running(shard, executor)
        barred.append(executor.record_bars_long_running)

    for task in builders.make_tasks(shard, builders.SERVING)[:1]:
        builders.start_run(executor, task)
    for _ in range(2):
        shard.spawn(admit())
    scene.advance(1.0)
    scene.close()
    assert barred == [False, False]


@pytest.mark.parametrize("is_removed", [False, True])
def test_no_start_writes_a_record_again_that_is_being_deleted(is_removed):
    """Guards against a record that the owner does not count as a voter.

    The next owner would count it, so that half of its voters need not include
    any of the majority of this one.
    """
    scene = builders.JournaledShard(executors=1)
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    shard.record_state_by_id["x0"] = state.KEPT
    executor.longest_lease_expires_at = math.inf
    shard.spawn(executor_records._write_under_epoch(shard, executor))
    scene.advance(0.1)
    executor.silent_since = shard.clock.monotonic()
    if is_removed:
        del shard.executor_by_id["x0"]
    shard.spawn(executor_records.delete(shard, executor))
    scene.advance(0.0)
    shard.spawn(executor_records.admit_long_running(shard, executor))
    scene.advance(1.0)
    scene.close()
    assert not shard.record_state_by_id
    entry = scene.store.newest(names.PROGRESS_TOPIC, 0)
    key = names.EXECUTOR_KEY_PREFIX + "x0"
    assert key not in entry or entry[key].value is None
