"""Tests of the log lines that report why tasks wait."""

import asyncio

import pytest

from limpetstream.shard import wait_reports
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state
from standins import virtual_time


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        logs, "emit", lambda event, **fields: found.append((event.name, fields))
    )
    return found


def report_until(shard, loop, seconds, report=wait_reports.report_waiting_jobs):
    async def reports():
        while loop.time() < seconds:
            for executor in shard.executor_by_id.values():
                executor.polled_at = loop.time()
            report(shard)
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


def make_starting(shard):
    """Return a run whose start has not been sent."""
    task = builders.make_tasks(shard, builders.SHORT)[0]
    run = builders.start_run(shard.executor_by_id["x0"], task, start_requested_at=0.0)
    run.phase = workflow_state.STARTING
    return run


def make_unsettled(shard, reason):
    """Return a run that is unsettled since time 0 for a reason."""
    run = make_starting(shard)
    executor = shard.executor_by_id["x0"]
    if reason != wait_reports.START_AND_JOURNAL:
        shard.maybe_started_job_ids.add(run.task.job.submission.job_id)
    if reason == wait_reports.START_UNANSWERED:
        run.start_deadline_ms = 4000
    if reason in STOP_REASONS:
        run.phase = workflow_state.STOPPING
        run.stop_ordered_at = 0.0
    if reason == wait_reports.STOP_WITHOUT_END:
        run.stop_confirmed_at = 0.0
    if reason == wait_reports.STOP_AND_PROOF:
        shard.record_state_by_id = {"x0": "kept", "x1": "kept"}
        shard.ownership_proven_at = -10.0
    if reason == wait_reports.EXECUTOR_SILENT:
        executor.silent_since = 0.0
    run.giving_up = reason == wait_reports.APPEND
    return run


STOP_REASONS = (
    wait_reports.STOP_AND_PROOF,
    wait_reports.STOP_UNANSWERED,
    wait_reports.STOP_WITHOUT_END,
)


@pytest.mark.parametrize(
    "reason",
    [
        wait_reports.START_AND_JOURNAL,
        wait_reports.START_AND_OTHERS,
        wait_reports.START_UNANSWERED,
        *STOP_REASONS,
        wait_reports.EXECUTOR_SILENT,
        wait_reports.APPEND,
    ],
)
def test_a_task_that_a_run_holds_is_reported_with_the_reason(lines, reason):
    """Guards against a task that never runs and has no line at all."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    run = make_unsettled(shard, reason)
    if reason != wait_reports.STOP_AND_PROOF:
        shard.journal.confirmed_at = 1000.0
    report_until(shard, loop, 20.0, wait_reports.report_unsettled_runs)
    found = [fields for name, fields in lines if name == "run-unsettled"]
    assert [fields["reason"] for fields in found] == [reason] * 2
    assert [fields["since_ms"] for fields in found] == [2500, 10_000]
    assert found[0]["task"] == run.task.name


def test_a_run_that_works_is_not_reported(lines):
    """Guards against a line for each run."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    builders.start_run(
        shard.executor_by_id["x0"], builders.make_tasks(shard, builders.SHORT)[0]
    )
    report_until(shard, loop, 20.0, wait_reports.report_unsettled_runs)
    assert not lines


def test_lines_are_bounded_when_every_run_is_unsettled(lines):
    """Guards against hundreds of lines at once when an executor is silent."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    for _ in range(300):
        make_starting(shard)
    report_until(shard, loop, 5.0, wait_reports.report_unsettled_runs)
    assert 0 < len(lines) <= 10 * wait_reports.MAX_REPORTS_PER_INTERVAL


def test_the_line_of_a_gang_counts_the_members_that_do_not_wait(lines):
    """Guards against a gang that waits, unseen, for the run of a member."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    step = builders.copy_step(builders.SHORT, count=3, gang=True)
    first, *others = builders.make_tasks(shard, step)
    builders.start_run(shard.executor_by_id["x0"], first)
    shard.waiting_tasks.extend(others)
    for task in others:
        task.not_before = 60.0
    report_until(shard, loop, 1.0)
    fields = lines[0][1]
    assert fields["gang_missing"] == 1
    assert fields["paused_ms"] == 59_500
