"""Tests of starts that were decided and wait for others at their executor."""

import asyncio
import dataclasses
import math

import loguru
import pytest

from limpetstream.shard import jobs, placing, scheduling, starts
from limpetstream.shard.queueing.tests import start_builders
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import eligibility, messages, state as workflow_state
from standins import shard_cluster, virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def close_data_centre(cluster):
    listing = cluster.executor_by_id["x0"].listing
    cluster.view.closed_data_centres = frozenset({listing.data_centre})


def drain(cluster):
    start_builders.drain(cluster, "x0")


def move_to_other_service(cluster):
    start_builders.move_to_other_service(cluster, "x0")


@pytest.mark.parametrize("long_running", [False, True])
@pytest.mark.parametrize("change", [close_data_centre, drain, move_to_other_service])
def test_no_start_is_sent_long_after_its_executor_became_unsuitable(
    change, long_running
):
    """Guards against starts in a data centre that is to be emptied (EVAC).

    review/14: starts that had been decided waited for one another, and nothing
    looked again before they were sent. Draining executors were the same.
    """

    async def scenario(cluster):
        sent = await start_builders.place_job(cluster, long_running=long_running)
        assert any(executor_id == "x0" for _, _, executor_id in sent)
        change(cluster)
        changed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(10.0)
        late = [
            row
            for row in sent
            if row[2] == "x0" and row[0] > changed_at + start_builders.LATEST_S
        ]
        assert not late
        tasks = {task for _, task, _ in sent}
        assert len(tasks) == start_builders.TASKS  # The others took them.

    cluster = schedules.run_scenario(scenario, executors=2)
    assert not cluster.breaches.found


def test_an_urgent_task_waits_for_few_starts_of_less_urgent_ones():
    """Guards against a decision that priorities do not reach any more."""

    async def scenario(cluster):
        sent = await start_builders.place_job(cluster)
        urgent = schedules.job_id(1)
        submitted_at = asyncio.get_running_loop().time()
        assert await cluster.submit(urgent, schedules.steps(1, cpu=10), seconds=0.1)
        assert await cluster.wait_until_final(urgent, limit_s=20) == "completed"
        (sent_at,) = (at for at, task, _ in sent if task.startswith(urgent))
        assert sent_at - submitted_at < 1.0
        assert len({task for _, task, _ in sent}) < start_builders.TASKS

    schedules.run_scenario(scenario, executors=2)


def test_the_queue_of_an_executor_is_short_and_drains():
    """Guards against decisions that get old, and against idle executors."""

    async def scenario(cluster):
        sent = await start_builders.place_job(cluster)
        shard = start_builders.owner_shard(cluster)
        longest = 0
        while len({task for _, task, _ in sent}) < start_builders.TASKS:
            for executor in shard.executor_by_id.values():
                longest = max(longest, len(executor.unsent_runs))
            await asyncio.sleep(0.01)
        assert 2 <= longest <= eligibility.MAX_UNSENT_STARTS
        began_at, ended_at = sent[0][0], sent[-1][0]
        # Two executors with two starts at a time each.
        shortest_s = start_builders.TASKS / 4 * start_builders.ANSWER_S
        assert ended_at - began_at < 1.3 * shortest_s

    schedules.run_scenario(scenario, executors=2)


def test_a_withdrawn_start_keeps_its_wait_and_no_room():
    """Guards against a task that loses its place, and room that it keeps."""
    scene = builders.PolledShard()
    shard = scene.shard
    executor = scene.executor("x0")
    task = builders.make_tasks(shard, builders.SHORT)[0]
    task.ready_at = -7.0
    shard.view.closed_data_centres = frozenset({executor.listing.data_centre})
    run = workflow_state.Run(task, 1, "x0", shard.clock.monotonic())
    task.run = run
    executor.reserve(run)
    starts.begin(shard, executor, run)
    scene.advance(1.0)
    assert not scene.client.starts
    assert not executor.run_by_task
    assert not executor.unsent_runs
    assert task in shard.waiting_tasks
    assert task.ready_at == -7.0
    scene.close()


@pytest.mark.parametrize("is_sent", [False, True])
def test_all_members_of_a_gang_are_withdrawn_together(is_sent):
    """Guards against members that wait in vain for one that will not start."""

    async def scenario(cluster):
        step = messages.Step(2, cpu_millicores=16_000, memory_mb=10, gang=True)
        cluster.start("m0")
        await asyncio.sleep(3.0)
        sent = start_builders.slow_starts(cluster)
        shard = start_builders.owner_shard(cluster)
        blocked = shard.executor_by_id["x0"]
        if not is_sent:
            blocked = shard.executor_by_id["x1"]
        for _ in range(2):
            await blocked.start_slots.acquire()
        gang = schedules.job_id(0)
        assert await cluster.submit(gang, [step], seconds=0.5)
        while len(sent) < 1:
            await asyncio.sleep(0.01)
        cluster.add_executor("x2")
        cluster.add_executor("x3")
        start_builders.drain(cluster, blocked.listing.executor_id)
        await asyncio.sleep(0.6)
        for _ in range(2):
            blocked.start_slots.release()
        assert await cluster.wait_until_final(gang, limit_s=2.5) == "completed"

    cluster = schedules.run_scenario(scenario, executors=2)
    assert not cluster.breaches.found


def test_tasks_of_a_job_that_cannot_be_recorded_hold_no_room():
    """Guards against starts that wait for the journal in front of others."""

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(3.0)
        known, new = schedules.job_id(0), schedules.job_id(1)
        chain = [
            dataclasses.replace(step, count=4)
            for step in schedules.steps(4, chain=2, cpu=10)
        ]
        assert await cluster.submit(known, chain, seconds=2.0)
        await asyncio.sleep(1.0)
        assert await cluster.submit(
            new, [start_builders.NARROW], seconds=30.0, queue=shard_cluster.BATCH
        )
        shard = start_builders.owner_shard(cluster)
        cluster.instance_by_member["m0"].store.faults.refuse = True
        await asyncio.sleep(1.5)
        for executor in shard.executor_by_id.values():
            waiting = len(executor.unrecorded_runs)
            assert waiting <= eligibility.MAX_UNSENT_STARTS

    schedules.run_scenario(scenario, executors=2)


@pytest.mark.parametrize("passes", [1, 2])
def test_nothing_is_preempted_for_a_task_that_has_room_behind_other_starts(passes):
    """Guards against runs that are stopped for a wait of milliseconds."""
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    held_up, full = shard.executor_by_id.values()
    whole = builders.copy_step(builders.SHORT, cpu_millicores=64_000)
    victim = builders.start_run(full, builders.make_tasks(shard, whole)[0])
    narrow = builders.copy_step(
        builders.SHORT, count=eligibility.MAX_UNSENT_STARTS, cpu_millicores=1
    )
    for task in builders.make_tasks(shard, narrow):
        held_up.unsent_runs.add(builders.start_run(held_up, task))
    lasting = builders.copy_step(builders.SHORT, count=2, long_running=True)
    tasks = builders.make_tasks(shard, lasting, queue="desk")
    for task in tasks:
        jobs.enqueue(shard, task, ready_at=-10.0)
    for _ in range(passes):
        scheduling.run_pass(shard)
    assert victim.phase == workflow_state.WORKING
    assert {task.preempted_others_at for task in tasks} == {-math.inf}
    assert len(shard.waiting_tasks) == 2
    held_up.unsent_runs.clear()
    held_up.has_freed = True
    scheduling.run_pass(shard)
    assert not len(shard.waiting_tasks)


def test_no_start_is_decided_that_the_journal_cannot_record():
    """Guards against room that is held while the store is out of reach."""
    shard = builders.make_shard(virtual_time.Loop())
    new, known = (builders.make_tasks(shard, builders.SHORT)[0] for _ in range(2))
    shard.maybe_started_job_ids.add(known.job.submission.job_id)
    for task in (new, known):
        jobs.enqueue(shard, task)
    shard.journal.failing_since = 0.0
    scheduling.run_pass(shard)
    assert list(shard.waiting_tasks) == [new]
    shard.journal.failing_since = None
    scheduling.run_pass(shard)
    assert not len(shard.waiting_tasks)


def test_no_second_try_is_sent_to_a_closed_data_centre():
    """Guards against a start that is repeated after its first try was sent."""
    scene = builders.PolledShard()
    shard = scene.shard
    executor = scene.executor("x0")
    scene.client.unanswered.add(("start", "x0"))
    placing.start_on(shard, executor, builders.make_tasks(shard, builders.SHORT)[0], 1)
    scene.advance(0.2)
    assert scene.client.starts == ["x0"]
    shard.view.closed_data_centres = frozenset({executor.listing.data_centre})
    scene.advance(2.0)
    assert scene.client.starts == ["x0"]
    assert scene.client.stops
    scene.close()
