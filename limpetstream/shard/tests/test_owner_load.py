"""Tests of what tells a busy owner from a service without room."""

import pytest

from limpetstream.shard import (
    audits,
    events,
    jobs,
    owner_load,
    owner_reports,
    scheduling,
)
from limpetstream.shard.tests import builders
from limpetstream.telemetry import event_metrics, logs
from standins import virtual_time


@pytest.fixture
def found():
    rows = []

    def observe(event, fields):
        rows.append((event.name, fields))

    logs.observers.append(observe)
    yield rows
    logs.observers.remove(observe)


@pytest.fixture
def loop():
    return virtual_time.Loop()


@pytest.fixture
def shard(loop):
    return builders.make_shard(loop, executors=2)


def wait(shard, loop, seconds):
    loop.use_processor(seconds)
    shard.ownership_proven_at = loop.time()
    for executor in shard.executor_by_id.values():
        executor.polled_at = loop.time()


def queue(shard, count, **changes):
    tasks = builders.make_tasks(
        shard, builders.copy_step(builders.SHORT, count=count, **changes), queue="desk"
    )
    for task in tasks:
        jobs.enqueue(shard, task)
    return tasks


def report(shard, found):
    reporter = owner_reports.Reporter(0.0)
    owner_reports.report_if_due(shard, reporter, audits.Audit(shard))
    return next(fields for name, fields in found if name == "owner-state")


def test_a_wait_for_the_first_turn_is_told_from_one_for_room(shard, loop, found):
    """Guards against late starts that look the same whatever their cause."""
    (fits,) = queue(shard, 1)
    (too_large,) = queue(shard, 1, cpu_millicores=65_000)
    wait(shard, loop, 0.8)
    scheduling.run_pass(shard)
    wait(shard, loop, 3.0)
    scheduling.run_pass(shard)
    assert fits.run is not None
    assert too_large.run is None
    assert too_large.first_turn_wait_s == pytest.approx(0.8)
    (row,) = report(shard, found)["turns"]
    assert (row["turns"], row["late"], row["longest_ms"]) == (2, 2, 800)


def test_a_task_that_is_ready_again_has_a_first_turn_again(shard, loop):
    """Guards against a wait that counts only once for each task."""
    (task,) = queue(shard, 1, cpu_millicores=65_000)
    scheduling.run_pass(shard)
    wait(shard, loop, 5.0)
    jobs.enqueue(shard, task, 1.0)
    wait(shard, loop, 1.2)
    scheduling.run_pass(shard)
    turns = shard.load.turns_by_priority[shard.priority_of(task.job)]
    assert turns.count == 2
    assert turns.longest_s == pytest.approx(0.2)


def test_the_queue_of_tasks_without_a_turn_is_reported(shard, loop, found):
    """Guards against an owner whose queue of decisions no line tells."""
    queue(shard, 3)
    wait(shard, loop, 0.7)
    fields = report(shard, found)
    (row,) = fields["without_turn"]
    assert (row["tasks"], row["oldest_ms"]) == (3, 700)
    assert fields["oldest_without_turn_ms"] == 700


def test_processor_time_is_reported_by_what_it_went_to(shard, loop, found):
    """Guards against an overloaded owner with unknown work."""
    with owner_load.measured(shard.load, shard.clock, owner_load.REPLIES):
        loop.use_processor(1.0)
    loop._virtual.now += 3.0
    fields = report(shard, found)
    assert fields["processor_percent"] == 25.0
    assert fields["work"] == {"replies": {"count": 1, "percent": 25.0}}
    assert shard.load.work_by_kind == {}


def test_a_report_is_bounded_however_many_priorities_there_are(shard, found):
    """Guards against a log line that grows with the configuration."""
    for priority in range(3 * owner_load.MAX_PRIORITIES):
        shard.load.turns_by_priority[priority] = owner_load.Turns(1)
    assert len(report(shard, found)["turns"]) == owner_load.MAX_PRIORITIES


def test_percentages_are_metrics():
    """Guards against a share of the processor that only the log tells."""
    metrics = event_metrics.EventMetrics()
    metrics.observe(events.OWNER_STATE, {"processor_percent": 12.5})
    metrics.observe(events.OWNER_STATE, {"processor_percent": 80.0})
    line = 'limpetstream_event_percent{event="owner-state",field="processor_percent"}'
    assert f"{line} 80.0\n" in metrics.render().decode()


def test_a_pause_is_no_wait_for_the_owner():
    """Guards against retries for which a busy owner is blamed."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=2)
    (task,) = builders.make_tasks(shard, builders.SHORT, queue="desk")
    jobs.enqueue(shard, task, 1.0)
    loop._virtual.now += 1.2
    shard.ownership_proven_at = loop.time()
    for executor in shard.executor_by_id.values():
        executor.polled_at = loop.time()
    scheduling.run_pass(shard)
    assert task.run is not None
    assert task.first_turn_wait_s == pytest.approx(0.2)
