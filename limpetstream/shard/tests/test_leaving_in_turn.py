"""Tests of owners and executors that leave in order, one after the other.

All run on virtual time.
"""

import asyncio
import dataclasses

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import executor_records, names, state
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages

TASKS = 8
NOTICE_S = 4.5  # From the announcement of an executor until it has left.
GAP_S = 3.0
ROUNDS = 8
# A lasting task that could run may stand still for 6 s after its last run.
LONGEST_STAND_S = 6.0


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def announce_leaving(cluster, executor, remaining_s):
    """Write to the list that an executor will leave."""
    executor.listing = dataclasses.replace(
        executor.listing,
        state=executor_messages.DRAINING,
        remaining_ms=round(remaining_s * 1000),
    )
    cluster.list_executor(executor)


async def leave_in_order(cluster, executor_id):
    """Let an executor announce that it leaves, and end for good."""
    executor = cluster.executor_by_id[executor_id]
    announce_leaving(cluster, executor, NOTICE_S)
    await asyncio.sleep(NOTICE_S)
    executor.restart()
    executor.cut = True
    cluster.unlist_executor(executor_id)


async def replace_owner(cluster, name):
    """Stop the owner in order; another instance comes for it."""
    while cluster.owner_member() is None:
        await asyncio.sleep(0.01)
    owner = cluster.owner_member()
    await cluster.instance_by_member[owner].ownership.leave()
    cluster.start(name)


class Watch:
    """Measures for how long each task has stood still at most."""

    def __init__(self, cluster):
        self.longest_s = 0.0
        self._cluster = cluster
        self._seen_at = [None] * TASKS

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            running = {
                task
                for executor in self._cluster.executor_by_id.values()
                for task in executor.run_by_task
            }
            for number in range(TASKS):
                if f"{schedules.job_id(0)}.0.0.{number}" in running:
                    self._seen_at[number] = loop.time()
                elif self._seen_at[number] is not None:
                    stood_s = loop.time() - self._seen_at[number]
                    self.longest_s = max(self.longest_s, stood_s)
            await asyncio.sleep(0.05)


def test_lasting_tasks_go_on_while_owners_and_executors_leave_in_order():
    """Guards against tasks that no owner lives long enough to start again.

    Each owner waited for every executor in the journal, also for those that
    had left in order: until its leases had expired, 6 s, or it was stopped.
    """

    async def scenario(cluster):
        for number in range(5):
            cluster.start(f"m{number}")
        await asyncio.sleep(4)
        step = messages.Step(
            TASKS, cpu_millicores=4000, memory_mb=100, long_running=True
        )
        assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
        await asyncio.sleep(6)
        watch = Watch(cluster)
        watching = asyncio.create_task(watch.run())
        leaving = []
        for number in range(ROUNDS):
            # Where the tasks run changes, so take one that has some.
            busy = max(
                (e for e in cluster.executor_by_id.values() if is_staying(e)),
                key=lambda e: len(e.run_by_task),
            )
            leaving.append(
                asyncio.create_task(leave_in_order(cluster, busy.listing.executor_id))
            )
            await asyncio.sleep(GAP_S / 2)
            await replace_owner(cluster, f"r{number}")
            await asyncio.sleep(GAP_S / 2)
        await asyncio.gather(*leaving)
        await asyncio.sleep(8)
        watching.cancel()
        assert watch.longest_s < LONGEST_STAND_S

    cluster = schedules.run_scenario(scenario, executors=12)
    assert not cluster.breaches.found


def is_staying(executor):
    """Return whether an executor has not announced that it leaves."""
    return executor.listing.state == executor_messages.READY


@pytest.fixture
def scene():
    opened = builders.PolledShard(executors=2)
    executor = opened.executor("x0")
    executor.recorded = executor.confirmed = True
    opened.key = names.EXECUTOR_KEY_PREFIX + "x0"
    opened.record_state = lambda: opened.shard.record_state_by_id.get("x0")
    yield opened
    opened.close()


def set_state(executor, value):
    executor.listing = dataclasses.replace(executor.listing, state=value)


def test_the_record_of_an_empty_executor_that_leaves_is_deleted(scene):
    """Guards against a next owner that waits for it after it has left."""
    scene.advance(2.0)
    assert scene.record_state() == state.KEPT
    set_state(scene.executor("x0"), executor_messages.DRAINING)
    scene.advance(2.0)
    assert scene.record_state() is None
    # Starts wait for a record, should it stay after all.
    assert not scene.executor("x0").recorded
    set_state(scene.executor("x0"), executor_messages.READY)
    scene.advance(2.0)
    assert scene.record_state() == state.KEPT and scene.executor("x0").recorded


def test_the_record_of_an_executor_stays_while_something_runs_there(scene):
    """Guards against a run that the next owner does not know of."""
    shard, executor = scene.shard, scene.executor("x0")
    [task] = builders.make_tasks(shard, builders.SHORT)
    builders.start_run(executor, task)
    scene.client.rows_by_id["x0"] = [
        executor_messages.RunningRow(task.name, 1, 50, "", 0.0)
    ]
    set_state(executor, executor_messages.DRAINING)
    scene.advance(2.0)
    assert scene.record_state() == state.KEPT


@pytest.mark.parametrize("missing", ["reached", "confirmed"])
def test_an_executor_that_earlier_owners_may_use_has_a_record(scene, missing):
    """Guards against a start of an earlier owner at a forgotten executor."""
    executor = scene.executor("x0")
    set_state(executor, executor_messages.DRAINING)
    assert executor_records.is_emptied(executor)
    setattr(executor, missing, False)
    assert not executor_records.is_emptied(executor)
    executor.unknown_runs = {}
    setattr(executor, missing, True)
    executor.unknown_runs = {("task", 1): None}
    assert not executor_records.is_emptied(executor)
