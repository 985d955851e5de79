"""Tests that long-running tasks do not run twice after a restart.

All run on virtual time. A restarted executor holds the longest lease, and the
next owner does not reach it.
"""

import asyncio

import loguru
import msgspec
import pytest

from limpetstream import errors
from limpetstream.leases import unsettled_starts
from limpetstream.shard import (
    executor_list,
    executor_records,
    names,
    restarts,
    starts,
)
from limpetstream.shard.settling import long_running
from limpetstream.shard.tests import builders, schedules, test_former_processes
from limpetstream.workflow import messages
from standins import shard_cluster

MAX_LEASE_MS = 10_000
NOTICED_S = 0.3  # Beyond the notice of a restart, and the record of it.
# Beyond the usual leases of an owner that was killed, within the longest one.
USUAL_LEASES_S = 9.0


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


async def start_with_full_executors(cluster):
    """Let m0 start a long-running task on each executor."""
    cluster.start("m0")
    await asyncio.sleep(2.0)
    cluster.start("m1")
    count = len(cluster.executor_by_id)
    step = messages.Step(count, cpu_millicores=16_000, memory_mb=100, long_running=True)
    assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
    await asyncio.sleep(20.0)
    assert all(each.run_by_task for each in cluster.executor_by_id.values())
    assert cluster.owner_member() == "m0"


def stored_record(cluster, executor_id):
    key = names.EXECUTOR_KEY_PREFIX + executor_id
    entry = cluster.store.newest(names.PROGRESS_TOPIC, 0)[key]
    return executor_records.decode(key, entry.value)


def test_no_task_runs_twice_that_was_placed_on_a_restarted_executor():
    """Guards against a record that excludes a task that is started later."""

    async def scenario(cluster):
        await start_with_full_executors(cluster)
        executor = cluster.executor_by_id["x0"]
        await test_former_processes.restart(cluster, executor)
        assert stored_record(cluster, "x0").long_running
        await test_former_processes.change_owner_without(
            cluster, executor, test_former_processes.kill_owner
        )

    cluster = schedules.run_scenario(scenario, max_lease_ms=MAX_LEASE_MS)
    assert not cluster.breaches.found


def test_no_task_runs_twice_that_was_placed_after_the_record_was_written():
    """Guards against a record that still excludes a task that runs there."""

    async def scenario(cluster):
        await start_with_full_executors(cluster)
        cluster.add_executor("x4")
        await asyncio.sleep(3.0)
        executor = cluster.executor_by_id["x0"]
        executor.cut = True
        executor.restart()
        await asyncio.sleep(test_former_processes.DOWN_S)
        executor.cut = False
        cluster.list_executor(executor)
        await asyncio.sleep(2.0)
        assert not stored_record(cluster, "x0").long_running
        step = messages.Step(1, cpu_millicores=16_000, memory_mb=100, long_running=True)
        assert await cluster.submit(schedules.job_id(1), [step], seconds=0.0)
        while not executor.run_by_task:
            await asyncio.sleep(0.01)
        executor.cut = True
        cluster.add_executor("x5")
        await cluster.kill("m0")
        await asyncio.sleep(test_former_processes.CUT_S)
        assert cluster.executor_by_id["x5"].run_by_task

    cluster = schedules.run_scenario(scenario, max_lease_ms=MAX_LEASE_MS)
    assert not cluster.breaches.found


def test_no_task_runs_twice_where_a_late_start_meets_the_next_process():
    """Guards against a record that excludes a start that has no answer.

    The next process carries it out after the restart was noticed, and is out
    of reach before it rejects such calls.
    """

    async def scenario(cluster):
        for number in range(2):
            cluster.start(f"m{number}")
            await asyncio.sleep(2.0)
        executor = cluster.executor_by_id["x0"]
        step = messages.Step(1, cpu_millicores=16_000, memory_mb=100, long_running=True)
        await asyncio.sleep(20.0)
        shard = shard_cluster.shard_zero(cluster.instance_by_member["m0"])
        with test_former_processes.kept_calls(cluster) as calls:
            assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
            while calls.start is None:
                await asyncio.sleep(0.01)
            executor.cut = True
            executor.restart()
            await asyncio.sleep(0.6)
            executor.cut = False
            tracked = shard.executor_by_id["x0"]
            while tracked.fenced:
                await asyncio.sleep(0.001)
            executor.cut = True
            await asyncio.sleep(NOTICED_S)
            assert stored_record(cluster, "x0").longest_lease
            executor.start(calls.start, is_late=True)
        cluster.add_executor("x1")
        await cluster.kill("m0")
        await asyncio.sleep(USUAL_LEASES_S)
        assert executor.run_by_task

    cluster = schedules.run_scenario(scenario, executors=1, max_lease_ms=MAX_LEASE_MS)
    assert not cluster.breaches.found


def test_no_task_runs_twice_where_a_start_of_the_owner_before_is_late():
    """Guards against a record that excludes starts of earlier owners.

    The next process carries one out before the owner has noticed the restart.
    """

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
            await asyncio.sleep(2.0)
        executor = cluster.executor_by_id["x0"]
        step = messages.Step(1, cpu_millicores=16_000, memory_mb=100, long_running=True)
        await asyncio.sleep(20.0)
        with test_former_processes.kept_calls(cluster) as calls:
            assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
            while calls.start is None:
                await asyncio.sleep(0.01)
            await cluster.kill("m0")
        while cluster.owner_member() is None:
            await asyncio.sleep(0.01)
        owner = cluster.owner_member()
        shard = shard_cluster.shard_zero(cluster.instance_by_member[owner])
        while not shard.executor_by_id or not shard.executor_by_id["x0"].recorded:
            await asyncio.sleep(0.001)
        executor.cut = True
        executor.restart()
        await asyncio.sleep(0.6)
        executor.start(calls.start, is_late=True)
        executor.cut = False
        while shard.executor_by_id["x0"].fenced:
            await asyncio.sleep(0.001)
        executor.cut = True
        await asyncio.sleep(NOTICED_S)
        assert stored_record(cluster, "x0").longest_lease
        cluster.add_executor("x1")
        await cluster.kill(owner)
        await asyncio.sleep(USUAL_LEASES_S)
        assert executor.run_by_task

    cluster = schedules.run_scenario(scenario, executors=1, max_lease_ms=MAX_LEASE_MS)
    assert not cluster.breaches.found


def test_a_record_excludes_what_cannot_be_there():
    """Guards against records that never let a long-running task run again."""

    async def scenario(cluster):
        await start_with_full_executors(cluster)
        cluster.add_executor("x4")
        await asyncio.sleep(3.0)
        executor = cluster.executor_by_id["x0"]
        executor.cut = True
        executor.restart()
        await asyncio.sleep(0.6)
        executor.cut = False
        cluster.list_executor(executor)
        await asyncio.sleep(2.0)
        assert cluster.executor_by_id["x4"].run_by_task
        record = stored_record(cluster, "x0")
        assert (record.longest_lease, record.long_running) == (True, False)

    schedules.run_scenario(scenario, max_lease_ms=MAX_LEASE_MS)


@pytest.fixture
def scene():
    opened = builders.JournaledShard(executors=1)
    yield opened
    opened.close()


@pytest.mark.parametrize(
    ("epoch", "recorded_from", "may_run"),
    [(4, 2, False), (4, 4, False), (4, 5, True), (4, None, True)],
)
def test_an_owner_of_an_earlier_version_may_have_ignored_the_record(
    scene, epoch, recorded_from, may_run
):
    """Guards against tasks that were started under a record that it kept."""
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    shard.starts_recorded_from = recorded_from
    record = executor_records.ExecutorRecord(
        executor.listing, True, epoch, 2, longest_lease=True, long_running=False
    )
    executor_records.note_inherited(shard, record)
    assert long_running.may_be_on_inherited(shard, "x0") == may_run


def test_a_record_without_the_field_excludes_nothing(scene):
    """Guards against records by owners of earlier versions."""
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    shard.starts_recorded_from = 1
    executor.listing.address = "10.0.0.1:7000"
    record = executor_records.ExecutorRecord(
        executor.listing, True, 4, 2, longest_lease=True, long_running=False
    )
    fields = msgspec.json.decode(msgspec.json.encode(record))
    del fields["long_running"]
    key = names.EXECUTOR_KEY_PREFIX + "x0"
    raw = msgspec.json.encode(fields)
    executor_records.note_inherited(shard, executor_records.decode(key, raw))
    assert long_running.may_be_on_inherited(shard, "x0")


def test_the_record_of_an_executor_that_is_back_tells_of_this_owner(scene):
    """Guards against a late start to an executor that was removed since.

    The record that the owner has inherited does not tell of its own calls.
    """
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    shard.starts_recorded_from = shard.leases_recorded_from = 1
    shard.epoch = 5
    executor.listing.address = "10.0.0.1:7000"
    record = executor_records.ExecutorRecord(
        executor.listing, True, 4, 2, longest_lease=True, long_running=False
    )
    executor_records.note_inherited(shard, record)
    shard.longest_leased_executors.discard("x0")
    shard.removed_executors.add("x0")
    scene.client.fail = True
    del shard.executor_by_id["x0"], shard.record_state_by_id["x0"]
    executor_list.add_executor(shard, executor.listing, listed=True)
    scene.advance(0.1)
    entry = scene.store.newest(names.PROGRESS_TOPIC, 0)
    key = names.EXECUTOR_KEY_PREFIX + "x0"
    written = executor_records.decode(key, entry[key].value)
    assert (written.epoch, written.longest_lease, written.long_running) == (
        shard.epoch,
        True,
        True,
    )


def test_a_start_of_a_suspended_owner_is_not_settled_before_it_is_sent(scene):
    """Guards against a delay that counts from before the suspension."""
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    executor.lease.observe(1000, 0.0, 0.0)
    task = builders.make_tasks(shard, builders.SERVING)[0]
    run = builders.start_run(executor, task)

    async def send_late(*_args, **_options):
        await asyncio.sleep(20.0)
        raise errors.PlatformUnavailable("no answer")

    scene.client.start = send_late
    shard.spawn(starts._send(shard, executor, run, 0.0, 1.0))
    for now in (19.0, 31.0, 33.0):
        scene.advance(now - scene.loop.time())
        unsettled_starts.settle(
            executor.long_running_starts,
            now,
            max_delay_s=restarts.MAX_CALL_DELAY_S,
            earlier_sent_by=0.0,
        )
        assert bool(executor.long_running_starts.call_by_number) == (now < 32.0)
