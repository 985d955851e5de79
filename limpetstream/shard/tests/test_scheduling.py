"""Tests of scheduling passes under load patterns, without a network."""

import asyncio

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import jobs, scheduling
from limpetstream.shard.tests import builders
from limpetstream.workflow import messages, placement, state as workflow_state
from standins import shard_cluster, virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_long_running_task_preempts_once():
    """Guards against stopping further runs while the first is still ending.

    The service is full and a watcher must start. On scale-1 of alto, 165 runs
    of priority 0 were stopped for a few watchers.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    executor = shard.executor_by_id["x0"]
    for task in builders.make_tasks(shard, messages.Step(8, cpu_millicores=8000)):
        run = workflow_state.Run(task, 1, "x0", 0.0, phase="working")
        task.run = run
        executor.reserve(run)
    long_running = builders.make_tasks(
        shard, messages.Step(1, cpu_millicores=8000, long_running=True)
    )[0]
    shard.waiting_tasks.append(long_running)

    async def passes():
        for _ in range(25):
            executor.polled_at = loop.time()
            scheduling.run_pass(shard)
            await asyncio.sleep(0.05)

    virtual_time.run(passes(), loop=loop)
    stopping = [run.phase for run in executor.run_by_task.values()]
    assert stopping.count("stopping") == 1


def test_late_jobs_run_after_jobs_that_can_be_on_time():
    """Guards against a backlog in which every job becomes late.

    That happens when more batch work than fits runs in order of arrival.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    executor = shard.executor_by_id["x0"]
    late, fresh = (
        builders.make_tasks(shard, messages.Step(1, cpu_millicores=64_000))[0]
        for _ in range(2)
    )
    now_ms = shard.clock.wall_ms()
    late.job.submission.accepted_ms = now_ms - 10_000
    fresh.job.submission.accepted_ms = now_ms
    shard.waiting_tasks.extend([late, fresh])
    executor.polled_at = 0.0
    scheduling.run_pass(shard)
    assert (late.run is None, fresh.run is None) == (True, False)


def test_failed_runs_count_in_any_order():
    """Guards against more attempts than a queue allows.

    Reported by the BUDGET check on alto: a new owner polled the executor of
    the later run first and took the end of the earlier run for a repetition.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    executor = shard.executor_by_id["x0"]
    task = builders.make_tasks(shard, messages.Step(1, cpu_millicores=1000))[0]
    for number, run in enumerate([3, 2, 2, 1], start=1):
        end = executor_messages.EndRow(number, task.name, run, "failed", "")
        jobs.apply_end(shard, executor, end)
    assert shard_cluster.BATCH.max_attempts == 3
    assert task.job.outcome == "failed"


def test_best_effort_work_that_waits_is_tried_again():
    """Guards against a retry time that every pass postpones.

    Reported by the LOST check on trouble-2 of bwc: passes every 50 ms
    postponed the next try by 100 ms each, so best-effort work that had to
    wait once never ran.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    executor = shard.executor_by_id["x0"]
    serving = builders.make_tasks(
        shard, messages.Step(1, cpu_millicores=1000, image="desk", tail_target_ms=10)
    )[0]
    run = workflow_state.Run(serving, 1, "x0", 0.0, phase="working", load=20.0)
    executor.reserve(run)
    task = builders.make_tasks(
        shard, messages.Step(1, cpu_millicores=8000, image="press", fills=True)
    )[0]
    shard.waiting_tasks.append(task)

    async def passes():
        for _ in range(200):
            executor.polled_at = loop.time()
            scheduling.run_pass(shard)
            await asyncio.sleep(0.05)

    virtual_time.run(passes(), loop=loop)
    assert task.run is not None


def test_a_pass_over_a_large_service_is_bounded():
    """Guards against leases that expire during a scheduling pass.

    With 176 executors and a backlog of 1,400 best-effort tasks, as after a
    change of owner, one pass over all of them took seconds.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=176)
    step = builders.copy_step(builders.BEST_EFFORT, count=1400)
    shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    scheduling.run_pass(shard)
    assert len(shard.waiting_tasks) == 1400 - scheduling.MAX_PLACED_PER_PASS
    assert shard.changed.is_set()
    for _ in range(30):
        scheduling.run_pass(shard)
    running = {
        executor.listing.executor_id
        for executor in shard.executor_by_id.values()
        if executor.run_by_task
    }
    assert not shard.waiting_tasks
    assert len(running) == 176


def test_a_task_finds_the_only_executor_with_capacity():
    """Guards against a task that never finds the last free capacity.

    Of 176 executors a pass compares 40 for each task, and one has capacity.
    The LOST check reported such tasks.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=176)
    for executor in shard.executor_by_id.values():
        if executor.listing.executor_id != "x97":
            step = builders.copy_step(builders.SHORT, cpu_millicores=64_000)
            builders.start_run(executor, builders.make_tasks(shard, step)[0])
    task = builders.make_tasks(shard, builders.SHORT)[0]
    shard.waiting_tasks.append(task)

    async def passes():
        for _ in range(120):
            for executor in shard.executor_by_id.values():
                executor.polled_at = loop.time()
            scheduling.run_pass(shard)
            await asyncio.sleep(0.05)

    virtual_time.run(passes(), loop=loop)
    assert task.run is not None
    assert task.run.executor_id == "x97"


def test_tasks_find_the_few_places_of_a_full_service_at_once():
    """Guards against desk work that waits while executors have capacity.

    Of 246 executors 239 are full, as on the calm day of the enlarged alto.
    One task compared 40 of them without success, and then all tasks of its
    shape waited for up to a second.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=246)
    executors_with_capacity = {f"x{number}" for number in range(3, 246, 35)}
    for executor in shard.executor_by_id.values():
        if executor.listing.executor_id not in executors_with_capacity:
            step = builders.copy_step(builders.SHORT, cpu_millicores=60_000)
            builders.start_run(executor, builders.make_tasks(shard, step)[0])
    step = builders.copy_step(builders.SHORT, count=7, cpu_millicores=50_000)
    tasks = builders.make_tasks(shard, step)
    shard.waiting_tasks.extend(tasks)
    scheduling.run_pass(shard)
    assert {
        task.run and task.run.executor_id for task in tasks
    } == executors_with_capacity


def test_a_pass_that_finds_nothing_is_bounded_and_continues():
    """Guards against a pass that compares every executor for every task.

    Best-effort jobs of many images wait, and other best-effort work fills the
    service, so that none would keep its pace anywhere.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=246)
    for executor in shard.executor_by_id.values():
        step = builders.copy_step(builders.BEST_EFFORT, cpu_millicores=64_000)
        builders.start_run(executor, builders.make_tasks(shard, step)[0])
    for number in range(30):
        step = builders.copy_step(builders.BEST_EFFORT, image=f"press-{number}")
        shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    compared_counts = []
    choose = placement.choose

    def counting_choose(executors, task, context):
        chosen = choose(executors, task, context)
        compared_counts.append(context.scored_count)
        return chosen

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placement, "choose", counting_choose)
        scheduling.run_pass(shard)
    assert sum(compared_counts) < scheduling.MAX_COMPARED_PER_PASS + 246
