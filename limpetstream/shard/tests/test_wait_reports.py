"""Tests of the log lines that report why tasks wait."""

import asyncio

import pytest

from limpetstream.shard import wait_reports
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


def report_until(shard, loop, seconds):
    async def reports():
        while loop.time() < seconds:
            for executor in shard.executor_by_id.values():
                executor.polled_at = loop.time()
            wait_reports.report_waiting_jobs(shard)
            await asyncio.sleep(wait_reports.REPORT_INTERVAL_S)

    virtual_time.run(reports(), loop=loop)


def test_a_waiting_job_is_reported_less_and_less_often(lines):
    """Guards against jobs that wait unreported and against too many lines."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    builders.start_run(
        shard.executor_by_id["x0"], builders.make_tasks(shard, builders.SERVING)[0]
    )
    step = builders.copy_step(builders.SHORT, count=20, cpu_millicores=60_000)
    shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    report_until(shard, loop, 20.0)
    assert [name for name, _ in lines] == ["task-waits"] * 3
    assert lines[0][1]["executors"] == {"processors": 1}
    assert lines[0][1]["tasks"] == 20
    assert [fields["waited_ms"] for _, fields in lines] == [500, 2000, 8000]


def test_lines_are_bounded_when_everything_waits(lines):
    """Guards against hundreds of lines at once, one for each waiting job."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=0)
    for _ in range(300):
        shard.waiting_tasks.extend(builders.make_tasks(shard, builders.SHORT))
    report_until(shard, loop, 5.0)
    assert len(lines) <= 10 * wait_reports.MAX_REPORTS_PER_INTERVAL
