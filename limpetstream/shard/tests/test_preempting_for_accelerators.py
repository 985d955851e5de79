"""Tests of the search for runs to stop for tasks that need accelerators."""

import asyncio
import dataclasses

import loguru
import pytest

from limpetstream.shard import scheduling
from limpetstream.shard.tests import builders
from limpetstream.workflow import messages, state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def occupy(shard, executor_id, step):
    """Let a task of a step work on an executor; return its run."""
    executor = shard.executor_by_id[executor_id]
    task = builders.make_tasks(shard, step)[0]
    run = workflow_state.Run(task, 1, executor_id, 0.0, phase="working")
    task.run = run
    executor.reserve(run)
    return run


def test_a_lasting_task_preempts_where_an_accelerator_is_free():
    """Guards against a search that prefers an executor without a free one.

    There nothing has to be stopped for processors, so it costs nothing, and
    the task still does not fit.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=2)
    for executor in shard.executor_by_id.values():
        executor.listing.capacity = dataclasses.replace(
            executor.listing.capacity, accelerators=1
        )
    cores = shard.executor_by_id["x1"].listing.capacity.cpu_millicores
    occupy(shard, "x0", messages.Step(1, cpu_millicores=1000, accelerators=1))
    victim = occupy(shard, "x1", messages.Step(1, cpu_millicores=cores))
    step = messages.Step(1, cpu_millicores=1000, accelerators=1, long_running=True)
    shard.waiting_tasks.append(builders.make_tasks(shard, step)[0])

    async def passes():
        for _ in range(200):
            for executor in shard.executor_by_id.values():
                executor.polled_at = loop.time()
            scheduling.run_pass(shard)
            await asyncio.sleep(0.05)

    virtual_time.run(passes(), loop=loop)
    assert victim.phase == "stopping"
