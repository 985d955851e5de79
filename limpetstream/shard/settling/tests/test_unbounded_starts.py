"""Tests of late starts for which no owner waits (KNOWN-RED.txt, 75).

All run on virtual time.
"""

import asyncio
import functools

import loguru
import pytest

from limpetstream.shard.settling.tests import builders
from limpetstream.shard.tests import schedules, test_former_processes

SHORT_S = 0.5


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_no_long_running_task_runs_twice_where_the_owner_ended_before_the_notice():
    """Guards against a late start of a task that runs again after 6 s."""
    scenario = functools.partial(builders.end_owner_before_notice, long_running=True)
    assert not builders.run_cluster(scenario).breaches.found


def test_no_long_running_task_runs_twice_where_a_process_was_not_fenced():
    """Guards against a late start as the longest lease there ends."""
    scenario = functools.partial(builders.end_owner_before_fence, long_running=True)
    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_runs_twice_where_nothing_tells_of_a_restart():
    """Guards against a late start to a process that is not listed either."""
    scenario = functools.partial(builders.end_owner_before_notice, is_listed=False)
    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_runs_twice_where_the_entry_of_an_unfenced_process_expires():
    """Guards against an executor that is cut off and taken for gone.

    The record tells of the restart, and the executor leaves the list before
    its late start.
    """
    scenario = functools.partial(builders.end_owner_before_fence, is_unlisted=True)
    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_runs_twice_where_the_record_of_an_unfenced_process_is_damaged():
    """Guards against a late start of which only a damaged record told."""

    def damage(raw):
        return raw[:1]

    scenario = functools.partial(builders.end_owner_before_fence, change_record=damage)
    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_runs_twice_where_the_entry_expires_after_the_owner_has_ended():
    """Guards against an executor that is cut off and taken for gone.

    Only the list tells of the restart, until the entry expires.
    """
    scenario = functools.partial(builders.end_owner_before_notice, is_unlisted=True)
    assert not builders.run_cluster(scenario).breaches.found


@pytest.mark.parametrize("long_running", [False, True])
def test_no_task_runs_twice_where_its_owner_does_not_notice_a_restart(long_running):
    """Guards against a late start to an executor that has been given up."""

    async def scenario(cluster):
        await builders.start_instances(cluster)
        executor = cluster.executor_by_id["x0"]
        with test_former_processes.kept_calls(cluster) as calls:
            await builders.hold_start(cluster, calls, long_running=long_running)
            await builders.restart_out_of_reach(cluster, executor)
        cluster.add_executor("x1")
        while not cluster.executor_by_id["x1"].run_by_task:
            await asyncio.sleep(0.1)
        executor.start(calls.start, is_late=True)

    assert not builders.run_cluster(scenario).breaches.found


@pytest.mark.parametrize("long_running", [False, True])
def test_no_task_runs_twice_where_a_fenced_executor_restarts_again(long_running):
    """Guards against a late start to the second process after its own."""

    async def scenario(cluster):
        await builders.start_instances(cluster)
        executor = cluster.executor_by_id["x0"]
        with test_former_processes.kept_calls(cluster) as calls:
            await builders.hold_start(cluster, calls, long_running=long_running)
            await builders.restart_out_of_reach(cluster, executor)
        cluster.add_executor("x1")
        executor.cut = False
        while not cluster.executor_by_id["x1"].run_by_task:
            await asyncio.sleep(0.1)
            assert not executor.run_by_task
        executor.cut = True
        executor.restart()
        executor.start(calls.start, is_late=True)

    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_starts_again_by_a_first_try_after_its_second_one_has_ended():
    """Guards against a try without an answer that outlives its task."""

    async def scenario(cluster):
        await builders.start_instances(cluster)
        executor = cluster.executor_by_id["x0"]
        with test_former_processes.kept_calls(cluster) as calls:
            await builders.hold_start(cluster, calls, seconds=SHORT_S)
        job_id = schedules.job_id(0)
        assert await cluster.wait_until_final(job_id, limit_s=5) == "completed"
        await asyncio.sleep(2.0)  # The end is acknowledged.
        await builders.restart_out_of_reach(cluster, executor)
        executor.start(calls.start, is_late=True)

    assert not builders.run_cluster(scenario).breaches.found


def test_no_task_starts_again_where_a_late_poll_acknowledges_its_end():
    """Guards against an end that no owner has read."""

    async def scenario(cluster):
        await builders.start_instances(cluster)
        executor = cluster.executor_by_id["x0"]
        with test_former_processes.kept_calls(cluster) as calls:
            await builders.hold_start(cluster, calls, seconds=SHORT_S)
            await builders.restart_out_of_reach(cluster, executor)
            await cluster.kill("m0")
        executor.start(calls.start, is_late=True)
        await asyncio.sleep(SHORT_S + 0.1)
        executor.poll(calls.poll["token"], 1, None)
        executor.cut = False
        job_id = schedules.job_id(0)
        assert await cluster.wait_until_final(job_id, limit_s=40) == "completed"

    assert not builders.run_cluster(scenario).breaches.found
