"""Tests of orders to start, without a network."""

import asyncio

import loguru
import pytest

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.shard import starts, status_reports
from limpetstream.shard.tests import builders
from limpetstream.workflow import state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


class Recorder:
    """Orders that notes the starts it is asked for, and answers each."""

    def __init__(self):
        self.started = []

    async def start(self, listing, order, *, timeout_s):
        self.started.append(order.task)
        return executor_messages.StartReply(executor_messages.STARTED)


def test_start_that_waits_is_dropped_when_its_run_is_lost():
    """Guards against two runs of one task, one of them long given up.

    Seen in the soak, seed 26: the store was away, so an order waited for the
    journal; the executor fell silent, its runs were given up as lapsed, and
    27 s later the order was sent and its end was taken for an old one.
    """
    shard = builders.make_shard(virtual_time.Loop())
    shard.orders = Recorder()
    executor = shard.executor_by_id["x0"]
    executor.lease.observe(0, 0.0, 0.0)
    task = builders.make_tasks(shard, builders.SHORT)[0]
    shard.maybe_started_job_ids.add(task.job.submission.job_id)
    task.job.start_recorded = True
    run = builders.start_run(executor, task)
    run.phase = workflow_state.STARTING

    async def scenario():
        for _ in range(tracking.MAX_STARTS_AT_ONCE):
            await executor.start_slots.acquire()
        order = asyncio.create_task(starts.start_run(shard, executor, run))
        await asyncio.sleep(0.1)
        status_reports.mark_all_runs_lost(shard, executor, "lapsed")
        executor.start_slots.release()
        await order

    virtual_time.run(scenario(), loop=virtual_time.Loop())
    assert not shard.orders.started


def test_start_that_waits_for_its_turn_is_dropped_with_its_job():
    """Guards against starts of a cancelled job, after its text was forgotten.

    Seen as UNASKED on trouble-3 of alto: orders of an executor that left
    others unanswered waited for their turn while the job was cancelled.
    """
    shard = builders.make_shard(virtual_time.Loop())
    shard.orders = Recorder()
    executor = shard.executor_by_id["x0"]
    executor.lease.observe(0, 0.0, 0.0)
    task = builders.make_tasks(shard, builders.SHORT)[0]
    shard.maybe_started_job_ids.add(task.job.submission.job_id)
    task.job.start_recorded = True
    run = builders.start_run(executor, task)
    run.phase = workflow_state.STARTING

    async def scenario():
        for _ in range(tracking.MAX_STARTS_AT_ONCE):
            await executor.start_slots.acquire()
        order = asyncio.create_task(starts.start_run(shard, executor, run))
        await asyncio.sleep(0.1)
        run.phase = workflow_state.STOPPING
        executor.start_slots.release()
        await order

    virtual_time.run(scenario(), loop=virtual_time.Loop())
    assert not shard.orders.started
