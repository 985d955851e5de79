"""Tests of the log lines that report how an owner is doing."""

import asyncio

import pytest

from limpetstream.shard import audits, housekeeping, jobs, owner_reports
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from standins import virtual_time


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        logs, "emit", lambda event, **fields: found.append((event.name, fields))
    )
    return found


def make_open_tasks(shard, step, count):
    tasks = builders.make_tasks(shard, builders.copy_step(step, count=count))
    occurrence = tasks[0].job.occurrence_by_number[0]
    occurrence.released.add(0)
    occurrence.tasks_by_step[0].next_index = count  # All were queued.
    return tasks


def fields_of(lines, name):
    return [fields for line, fields in lines if line == name]


def test_tasks_that_neither_wait_nor_run_are_found():
    """Guards against open tasks that an owner drops without any trace."""
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    waiting, running, dropped, on_removed, released = make_open_tasks(
        shard, builders.SHORT, 5
    )
    jobs.enqueue(shard, waiting)
    builders.start_run(shard.executor_by_id["x0"], running)
    builders.start_run(shard.executor_by_id["x1"], on_removed)
    run = builders.start_run(shard.executor_by_id["x0"], released)
    assert builders.untracked_tasks(shard) == [dropped]
    del shard.executor_by_id["x1"]
    shard.executor_by_id["x0"].release(run)
    assert builders.untracked_tasks(shard) == [dropped, on_removed, released]


def test_tasks_that_need_no_run_count_as_tracked():
    """Guards against errors about steps that wait for others or final jobs."""
    shard = builders.make_shard(virtual_time.Loop())
    builders.make_tasks(shard, builders.SHORT)
    make_open_tasks(shard, builders.SHORT, 1)[0].done = True
    make_open_tasks(shard, builders.SHORT, 1)[0].job.outcome = "cancelled"
    assert builders.untracked_tasks(shard) == []


def test_the_report_counts_forgotten_tasks(lines):
    """Guards against metrics that hide tasks which the owner has dropped."""
    shard = builders.make_shard(virtual_time.Loop())
    make_open_tasks(shard, builders.SHORT, 6)
    audit = audits.Audit(shard)
    for _ in range(2):  # The first call only begins a round.
        audit.check_some()
    owner_reports.report_if_due(shard, owner_reports.Reporter(0.0), audit)
    (state,) = fields_of(lines, "owner-state")
    assert (state["open_tasks"], state["waiting"], state["forgotten"]) == (6, 6, 6)


def test_the_longest_delay_of_the_event_loop_is_logged(lines):
    """Guards against an overloaded owner that no line tells of."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    sleep = shard.clock.sleep

    async def late(seconds):
        await sleep(seconds + (0.7 if 6.0 < loop.time() < 6.2 else 0.0))

    shard.clock.sleep = late

    async def some_intervals():
        task = asyncio.create_task(housekeeping.run(shard))
        await asyncio.sleep(2.5 * owner_reports.REPORT_INTERVAL_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    virtual_time.run(some_intervals(), loop=loop)
    delays = [fields["delay_ms"] for fields in fields_of(lines, "owner-state")]
    assert delays == [0, 700]
