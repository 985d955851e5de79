"""Tests of starts that the next process under an executor's id carries out.

All run on virtual time. An earlier owner has sent the start, and the next one
does not reach the executor.
"""

import asyncio
import functools

import loguru
import msgspec
import pytest

from limpetstream.shard.settling import late_starts
from limpetstream.shard.settling.tests import builders, test_long_running_safety
from limpetstream.shard.tests import (
    builders as shard_builders,
    schedules,
    test_former_processes,
)

RUNNING_AGAIN_S = 7.0  # The users' bound for long-running tasks, after a claim.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_no_task_runs_twice_where_a_noticed_process_was_not_fenced():
    """Guards against a start that is carried out as the longest lease ends.

    The owner has noticed the restart, and ends before it has fenced the
    executor.
    """
    cluster = builders.run_cluster(builders.end_owner_before_fence)
    assert not cluster.breaches.found


def without_process(raw):
    """Return a record as a version wrote it that does not tell the process."""
    fields = msgspec.json.decode(raw)
    for name in ("process_born_ms", "longest_lease", "long_running", "unfenced"):
        del fields[name]
    return msgspec.json.encode(fields)


def test_no_task_runs_twice_where_a_record_does_not_tell_of_its_process():
    """Guards against a late start for which a record has no field.

    An owner of an earlier version has written the record, so the executor may
    have restarted and not been fenced.
    """
    scenario = functools.partial(
        builders.end_owner_before_fence, change_record=without_process
    )
    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_runs_twice_where_the_owner_ended_before_it_noticed_a_restart():
    """Guards against a late start that the next owner takes for expired.

    Nothing in the journal tells of the restart; the platform's list does.
    """
    cluster = builders.run_cluster(builders.end_owner_before_notice)
    assert not cluster.breaches.found


def test_a_late_start_delays_no_other_kind_of_start():
    """Guards against long-running tasks without a run for over 7 s."""

    async def scenario(cluster):
        await builders.start_instances(cluster)
        executor = cluster.executor_by_id["x0"]
        with test_former_processes.kept_calls(cluster) as calls:
            await builders.hold_start(cluster, calls, long_running=True)
            await builders.restart_out_of_reach(cluster, executor)
            await cluster.kill("m0")
        cluster.add_executor("x1")
        while cluster.owner_member() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(RUNNING_AGAIN_S)
        assert cluster.executor_by_id["x1"].run_by_task

    builders.run_cluster(scenario)


def test_an_executor_that_has_left_delays_nothing():
    """Guards against tasks without a run as a restarted executor has left.

    Search, restart_draws, seed 20261227: they stood still for over 15 s.
    """

    async def scenario(cluster):
        await builders.start_instances(cluster)
        executor = cluster.executor_by_id["x0"]
        with test_former_processes.kept_calls(cluster) as calls:
            await builders.hold_start(cluster, calls)
            await builders.restart_out_of_reach(cluster, executor)
            await cluster.kill("m0")
        cluster.add_executor("x1")
        while cluster.owner_member() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        cluster.unlist_executor("x0")
        await asyncio.sleep(RUNNING_AGAIN_S)
        assert cluster.executor_by_id["x1"].run_by_task

    builders.run_cluster(scenario)


def test_the_record_of_a_fenced_executor_tells_of_no_late_start():
    """Guards against a longer wait after each restart and change of owner."""

    async def scenario(cluster):
        await test_former_processes.start_with_full_executors(cluster)
        executor = cluster.executor_by_id["x0"]
        await test_former_processes.restart(cluster, executor)
        await asyncio.sleep(builders.RECORDED_S)
        record = test_long_running_safety.stored_record(cluster, "x0")
        assert (record.longest_lease, record.unfenced) == (True, False)

    schedules.run_scenario(scenario, max_lease_ms=builders.MAX_LEASE_MS)


@pytest.fixture
def scene():
    opened = shard_builders.JournaledShard(executors=1)
    yield opened
    opened.close()


@pytest.mark.parametrize(
    ("recorded_ms", "listed_ms", "expected"),
    [
        (1, 1, False),
        (1, 2, True),
        (2, 1, True),  # The clock of the machine may have been set back.
        (0, 2, False),
        (1, 0, False),
        (None, 2, False),
    ],
)
def test_the_list_tells_of_a_process_that_the_record_does_not_name(
    scene, recorded_ms, listed_ms, expected
):
    """Guards against waits where nothing tells of a restart."""
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    executor.listing.born_ms = listed_ms
    shard.process_born_ms_by_executor["x0"] = recorded_ms
    assert late_starts.may_be_under_way(shard, executor) == expected
