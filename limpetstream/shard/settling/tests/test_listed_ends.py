"""Tests of executors that list the ends of their runs over several replies."""

import asyncio
import dataclasses

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import (
    executor_records,
    scheduling,
    sessions,
    state,
    status_reports,
)
from limpetstream.shard.settling import listed_ends
from limpetstream.shard.settling.tests import end_builders
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages
from standins import shard_cluster, virtual_time

TASKS = 120  # Three lists at each of two executors.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


async def kill_owner(cluster):
    await cluster.kill(cluster.owner_member())


async def kill_two_owners(cluster):
    await kill_owner(cluster)
    await asyncio.sleep(2.5)
    if cluster.owner_member() is not None:
        await kill_owner(cluster)


async def kill_all(cluster):
    for number, member in enumerate(list(cluster.instance_by_member)):
        await cluster.kill(member)
        cluster.start(f"r{number}")


async def stop_owner(cluster):
    await cluster.stop(cluster.owner_member())


@pytest.mark.parametrize("change", [kill_owner, kill_two_owners, kill_all, stop_owner])
def test_no_task_runs_again_whose_end_is_listed_later(monkeypatch, change):
    """Guards against second runs of tasks that a first, full list left out.

    review/11: the first reply of an executor counted as all that it knew.
    """

    async def scenario(cluster):
        end_builders.limit_lists(monkeypatch, cluster)
        await end_builders.start_instances(cluster)
        end_at = await end_builders.run_until_one_moment(cluster, TASKS)
        await end_builders.sleep_until(end_at - end_builders.KILLED_BEFORE_S)
        await change(cluster)
        name = schedules.job_id(0)
        assert await cluster.wait_until_final(name, limit_s=20) == "completed"
        assert cluster.breaches.starts == TASKS

    cluster = schedules.run_scenario(scenario, executors=end_builders.EXECUTORS)
    assert not cluster.breaches.found


def test_no_task_runs_again_after_more_ends_than_one_list_has():
    """Guards against the same with as many ends as the platform lists."""
    tasks = 2 * (2 * listed_ends.MAX_LISTED_ENDS + 100)

    async def scenario(cluster):
        await end_builders.start_instances(cluster)
        end_at = await end_builders.run_until_one_moment(cluster, tasks)
        await end_builders.sleep_until(end_at - end_builders.KILLED_BEFORE_S)
        await kill_owner(cluster)
        name = schedules.job_id(0)
        assert await cluster.wait_until_final(name, limit_s=20) == "completed"
        assert cluster.breaches.starts == tasks

    cluster = schedules.run_scenario(scenario, executors=end_builders.EXECUTORS)
    assert not cluster.breaches.found


def test_failed_ends_that_are_listed_later_count_for_the_limit(monkeypatch):
    """Guards against a run beyond ``max_attempts`` after a full list."""

    async def scenario(cluster):
        end_builders.limit_lists(monkeypatch, cluster)
        cluster.view.configuration = messages.Configuration(
            1,
            [
                dataclasses.replace(shard_cluster.QUEUE, max_attempts=1),
                shard_cluster.BATCH,
            ],
        )
        await end_builders.start_instances(cluster)
        end_at = await end_builders.run_until_one_moment(cluster, TASKS)
        await end_builders.sleep_until(end_at - end_builders.KILLED_BEFORE_S)
        end_builders.fail_last_runs(cluster, end_at)
        await kill_owner(cluster)
        name = schedules.job_id(0)
        assert await cluster.wait_until_final(name, limit_s=20) == "failed"
        assert cluster.breaches.starts == TASKS

    schedules.run_scenario(scenario, executors=end_builders.EXECUTORS)


def test_a_leaving_executor_stays_recorded_until_all_its_ends_are_read(monkeypatch):
    """Guards against an owner that waits for no executor with unread ends.

    The record of a leaving executor was deleted after its first reply. The
    next owner then did not wait for it.
    """

    async def scenario(cluster):
        end_builders.limit_lists(monkeypatch, cluster)
        await end_builders.start_instances(cluster)
        end_at = await end_builders.run_until_one_moment(cluster, TASKS)
        await end_builders.sleep_until(end_at - end_builders.KILLED_BEFORE_S)
        await kill_owner(cluster)
        leaving = cluster.executor_by_id["x0"]
        leaving.listing = dataclasses.replace(
            leaving.listing, state=executor_messages.DRAINING
        )
        cluster.list_executor(leaving)
        emptied_with_ends = []

        def watch(executor, is_emptied=executor_records.is_emptied):
            emptied = is_emptied(executor)
            if emptied and executor.listing.executor_id == "x0":
                emptied_with_ends.append(len(leaving.ends) > end_builders.LISTED)
            return emptied

        monkeypatch.setattr(executor_records, "is_emptied", watch)
        name = schedules.job_id(0)
        assert await cluster.wait_until_final(name, limit_s=20) == "completed"
        await asyncio.sleep(1.0)
        assert emptied_with_ends
        assert not any(emptied_with_ends)

    cluster = schedules.run_scenario(scenario, executors=end_builders.EXECUTORS)
    assert not cluster.breaches.found


def test_tasks_run_again_once_a_silent_executor_with_unread_ends_has_lapsed(
    monkeypatch,
):
    """Guards against tasks that wait for ever for the rest of a list."""

    async def scenario(cluster):
        end_builders.limit_lists(monkeypatch, cluster)
        await end_builders.start_instances(cluster)
        end_at = await end_builders.run_until_one_moment(cluster, TASKS)
        await end_builders.sleep_until(end_at - end_builders.KILLED_BEFORE_S)
        await kill_owner(cluster)
        silent = cluster.executor_by_id["x0"]
        await end_builders.sleep_until(end_at)
        while len(silent.ends) >= 60 or not silent.ends:
            await asyncio.sleep(0.001)
        silent.cut = True
        name = schedules.job_id(0)
        assert await cluster.wait_until_final(name, limit_s=20) == "completed"
        assert len(silent.ends) > 0

    schedules.run_scenario(scenario, executors=end_builders.EXECUTORS)


def test_no_run_is_lost_whose_end_a_returned_executor_lists_later(monkeypatch):
    """Guards against second runs after an executor was removed and is back.

    The first reply under the raised token counted as all that the process
    knew, and runs that it did not list as lost.
    """
    monkeypatch.setattr(listed_ends, "MAX_LISTED_ENDS", 2)
    scene = builders.JournaledShard()
    shard = scene.shard
    executor = shard.executor_by_id["x0"]
    executor.fenced, executor.required_token_raise, executor.born_ms = False, 1, 1
    step = builders.copy_step(builders.SHORT, count=3)
    tasks = builders.make_tasks(shard, step)
    for task in tasks:
        builders.start_run(executor, task)
    tasks[0].job.occurrence_by_number[0].released.add(0)
    ends = [
        executor_messages.EndRow(number + 1, task.name, 1, executor_messages.DONE, "")
        for number, task in enumerate(tasks)
    ]
    first = executor_messages.PollReply(0, 1, [], ends[:2])
    status_reports.apply_report(shard, executor, first, 1.0, shard.epoch + 1)
    scene.advance(0.2)
    assert not executor.fenced
    assert tasks[2] not in shard.waiting_tasks
    rest = executor_messages.PollReply(1, 1, [], ends[2:])
    status_reports.apply_report(shard, executor, rest, 1.5, shard.epoch + 1)
    assert executor.fenced
    assert all(task.done for task in tasks)
    scene.close()


def test_only_tasks_that_the_executor_may_have_run_wait_for_its_list(monkeypatch):
    """Guards against a full list that holds up everything."""
    monkeypatch.setattr(listed_ends, "MAX_LISTED_ENDS", 1)
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    executor = shard.executor_by_id["x0"]
    executor.listing.labels = ("r0",)
    executor.has_listed_all = False
    here = builders.make_tasks(shard, builders.copy_step(builders.SHORT))[0]
    elsewhere, lasting, new = (
        builders.make_tasks(shard, builders.copy_step(builders.SHORT, **changes))[0]
        for changes in ({"required_label": "r1"}, {"long_running": True}, {})
    )
    for task in (here, elsewhere, lasting):
        shard.earlier_job_ids.add(task.job.submission.job_id)
    end = executor_messages.EndRow(1, "0" * 16 + ".9.9.9", 1, "done", "")
    reply = executor_messages.PollReply(0, 1, [], [end])
    status_reports.apply_report(shard, executor, reply, 1.0, shard.epoch)
    assert not scheduling.may_start(shard, here)
    for task in (elsewhere, lasting, new):
        assert scheduling.may_start(shard, task)


def make_unread_executor(scene):
    """Return an executor of earlier owners that has sent one full list."""
    shard = scene.shard
    executor = shard.executor_by_id["x0"]
    executor.has_listed_all = False
    shard.inherited_executors = {"x0"}
    shard.record_state_by_id["x0"] = state.KEPT
    listed_ends.note_reply(shard, executor, unknown_ends(listed_ends.MAX_LISTED_ENDS))
    return executor


def unknown_ends(count):
    """Return a reply with ends of tasks that no job has."""
    ends = [
        executor_messages.EndRow(number + 1, "0" * 16 + ".9.9.9", 1, "done", "")
        for number in range(count)
    ]
    return executor_messages.PollReply(0, 1, [], ends)


def test_a_silent_executor_with_unread_ends_stays_recorded(monkeypatch):
    """Guards against a next owner that does not wait for unread ends."""
    monkeypatch.setattr(listed_ends, "MAX_LISTED_ENDS", 2)
    scene = builders.JournaledShard()
    executor = make_unread_executor(scene)
    executor.earlier_leases_expire_at = scene.loop.time() + 1.0
    assert not sessions._is_idle(scene.shard, executor)
    scene.advance(1.1)
    assert sessions._is_idle(scene.shard, executor)
    scene.close()


def test_a_list_counts_as_read_after_a_confirmed_append(monkeypatch):
    """Guards against an owner that does not know what its successor read."""
    monkeypatch.setattr(listed_ends, "MAX_LISTED_ENDS", 2)
    scene = builders.JournaledShard()
    executor = make_unread_executor(scene)
    scene.claim_elsewhere()
    listed_ends.note_reply(scene.shard, executor, unknown_ends(1))
    scene.advance(1.0)
    assert executor.has_listed_all
    assert scene.shard.unread_executor_by_id
    scene.close()
