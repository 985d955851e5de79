"""Tests of ends that are listed late."""

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import jobs
from limpetstream.shard.tests import builders
from limpetstream.workflow import state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def list_end(shard, task, run, how, *, executor_id="x0", number=1):
    """Apply an end that an executor lists."""
    end = executor_messages.EndRow(number, task.name, run, how, "")
    jobs.apply_end(shard, shard.executor_by_id[executor_id], end)


def test_a_run_that_was_given_up_and_is_done_finishes_its_task():
    """Guards against a task that starts again after its acknowledged end.

    Soak, seed 27: runs of silent executors were given up, then listed as done.
    Their ends were ignored, acknowledged, and the tasks started again.
    """
    shard = builders.make_shard(virtual_time.Loop())
    executor = shard.executor_by_id["x0"]
    task = builders.make_tasks(shard, builders.copy_step(builders.SHORT, count=2))[0]
    run = builders.start_run(executor, task)
    jobs.mark_run_lost(shard, executor, run, "lapsed")
    assert task in shard.waiting_tasks
    list_end(shard, task, run.number, executor_messages.DONE)
    assert task.done
    assert task not in shard.waiting_tasks


def test_a_done_end_stops_the_run_that_replaced_it():
    """Guards against a task that starts again after its acknowledged end."""
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    task = builders.make_tasks(shard, builders.copy_step(builders.SHORT, count=2))[0]
    later = builders.start_run(shard.executor_by_id["x1"], task)
    later.number = 2
    list_end(shard, task, 1, executor_messages.DONE)
    assert task.done
    assert later.phase == workflow_state.STOPPING
    list_end(shard, task, 2, executor_messages.FAILED, executor_id="x1")
    assert task.done
    assert task not in shard.waiting_tasks
    assert not shard.executor_by_id["x1"].run_by_task


def test_an_occurrence_finishes_once_when_gang_members_end_late():
    """Guards against a job that completes before its last occurrence."""
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    step = builders.copy_step(builders.SHORT, count=2, gang=True)
    tasks = builders.make_tasks(shard, step)
    job = tasks[0].job
    job.submission.occurrences = 3
    for number, task in enumerate(tasks):
        builders.start_run(shard.executor_by_id[f"x{number}"], task)
    for number, task in enumerate(tasks):
        list_end(shard, task, 1, executor_messages.DONE, executor_id=f"x{number}")
    assert job.finished_occurrences == 1
