"""Tests of the check that no open task is forgotten."""

import asyncio

import pytest

from limpetstream.shard import audits, housekeeping, jobs, names, state
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        logs, "emit", lambda event, **fields: found.append((event.name, fields))
    )
    return found


def forgotten(lines):
    """Return the fields of the lines about forgotten tasks."""
    return [fields for name, fields in lines if name == "task-forgotten"]


def make_released(shard, step=builders.SHORT):
    """Return the tasks of a new job that has been queued."""
    tasks = builders.make_tasks(shard, step)
    jobs.enqueue_released(shard, tasks[0].job.occurrence_by_number[0])
    return tasks


def check_all(shard, seconds=1.0):
    """Run the housekeeping of a shard for some virtual seconds."""

    async def bounded():
        task = asyncio.create_task(housekeeping.run(shard))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    virtual_time.run(bounded(), loop=virtual_time.Loop())


def test_a_task_without_a_run_and_a_place_is_queued_again(lines):
    """Guards against an accepted task that never runs and leaves no trace."""
    shard = builders.make_shard(virtual_time.Loop())
    task = make_released(shard)[0]
    builders.forget_waiting_tasks(shard)
    check_all(shard)
    assert shard.waiting_tasks == [task]
    assert [fields["reason"] for fields in forgotten(lines)] == [audits.NO_PLACE]
    assert forgotten(lines)[0]["queued"]


@pytest.mark.parametrize("removed", [False, True])
def test_a_run_that_no_executor_holds_is_replaced(lines, removed):
    """Guards against a task that waits for a run which was released."""
    shard = builders.make_shard(virtual_time.Loop())
    task = make_released(shard)[0]
    builders.forget_waiting_tasks(shard)
    run = builders.start_run(shard.executor_by_id["x0"], task)
    shard.executor_by_id["x0"].release(run)
    if removed:
        del shard.executor_by_id["x0"]
    check_all(shard)
    assert task.run is None
    assert run.phase == workflow_state.GONE
    assert shard.waiting_tasks == [task]
    assert [fields["reason"] for fields in forgotten(lines)] == [audits.NOT_HELD]


@pytest.mark.parametrize("kind", ["held", "unknown"])
def test_a_task_whose_run_may_exist_is_only_reported(lines, kind):
    """Guards against a second run beside one that the task does not know."""
    shard = builders.make_shard(virtual_time.Loop())
    task = make_released(shard)[0]
    builders.forget_waiting_tasks(shard)
    executor = shard.executor_by_id["x0"]
    if kind == "held":
        builders.start_run(executor, task)
        task.run = None
    else:
        executor.unknown_runs = {(task.name, 1): None}
    check_all(shard)
    assert not shard.waiting_tasks
    assert [fields["queued"] for fields in forgotten(lines)] == [False]


def test_tasks_that_wait_run_or_are_done_are_left_alone(lines):
    """Guards against a second run of a task that is in order."""
    shard = builders.make_shard(virtual_time.Loop())
    waiting, running, done = make_released(
        shard, builders.copy_step(builders.SHORT, count=3)
    )
    builders.start_run(shard.executor_by_id["x0"], running)
    workflow_state.mark_done(done)
    final = make_released(shard)[0]
    final.job.outcome = "cancelled"
    not_released = builders.make_tasks(shard, builders.SHORT)[0]
    shard.waiting_tasks = [waiting]
    check_all(shard)
    assert shard.waiting_tasks == [waiting]
    assert not_released.run is None
    assert not forgotten(lines)


def test_nothing_is_queued_again_without_a_proof(lines):
    """Guards against a second run beside one of a later owner."""
    shard = builders.make_shard(virtual_time.Loop())
    make_released(shard)
    builders.forget_waiting_tasks(shard)
    shard.ownership_proven_at = -10.0
    shard.record_state_by_id["x1"] = state.KEPT  # Does not answer: no majority.
    check_all(shard)
    assert not shard.waiting_tasks
    assert names.PROOF_KEY in shard.journal._encode_by_key


def test_one_check_is_bounded_and_all_tasks_have_their_turn(lines):
    """Guards against polls that wait for the check of a large shard."""
    shard = builders.make_shard(virtual_time.Loop())
    step = builders.copy_step(builders.SHORT, count=1000)
    tasks = make_released(shard, step)
    builders.forget_waiting_tasks(shard)
    audit = audits.Audit(shard)
    audit.check_some()
    audit.check_some()
    assert len(shard.waiting_tasks) <= audits.MAX_TASKS_PER_CALL
    for _ in range(6):
        audit.check_some()
    assert len(shard.waiting_tasks) == len(tasks)
    assert len(forgotten(lines)) == 1


def test_the_check_comes_to_the_tasks_of_later_jobs(lines):
    """Guards against a check that never comes to the tasks of a later job."""
    shard = builders.make_shard(virtual_time.Loop())
    first = make_released(shard, builders.copy_step(builders.SHORT, count=450))
    audit = audits.Audit(shard)
    audit.check_some()
    later = make_released(shard)[0]
    shard.waiting_tasks = list(first)
    for _ in range(8):
        audit.check_some()
    assert later in shard.waiting_tasks
