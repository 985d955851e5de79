"""Tests of the explanations why a task waits."""

import dataclasses

import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import scheduling
from limpetstream.shard.tests import builders
from limpetstream.workflow import eligibility, messages, wait_reasons
from standins import virtual_time


def make_executor_and_task(step=builders.SHORT):
    shard = builders.make_shard(virtual_time.Loop())
    executor = shard.executor_by_id["x0"]
    return executor, builders.make_tasks(shard, step)[0], shard


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({}, ""),
        ({"reached": False}, "not reached yet"),
        ({"confirmed": False}, "no append since its first answer"),
        ({"recorded": False}, "not in the journal yet"),
        ({"listed": False}, "not listed any more"),
        ({"silent_since": 0.0}, "silent"),
        ({"unknown_runs": {("t", 1): None}}, "holds unknown runs"),
        ({"polled_at": -10.0}, "look too old"),
        ({"avoid_until": 9.0}, "avoided after a failed order"),
    ],
)
def test_reason_agrees_with_the_decision(change, reason):
    """Guards against a log line that contradicts the placement."""
    executor, task, shard = make_executor_and_task()
    executor = dataclasses.replace(executor, **change)
    context = scheduling.placement_context(shard, "service", 0.0)
    assert wait_reasons.closed_reason(executor, context) == reason
    assert eligibility.accepts_new_tasks(executor, context) == (reason == "")


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"service": "other"}, "another service"),
        ({"data_centre": "closed"}, "data centre closed"),
        ({"state": executor_messages.DRAINING}, "leaving"),
    ],
)
def test_reason_names_what_the_list_says(change, reason):
    """Guards against a wrong reason for a state of the executor list."""
    executor, task, shard = make_executor_and_task()
    executor.listing = dataclasses.replace(executor.listing, **change)
    shard.view.closed_data_centres = frozenset({"closed"})
    context = scheduling.placement_context(shard, "service", 0.0)
    assert wait_reasons.closed_reason(executor, context) == reason
    assert not eligibility.accepts_new_tasks(executor, context)


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (messages.Step(1, cpu_millicores=65_000), "processors"),
        (messages.Step(1, memory_mb=300_000), "memory"),
        (messages.Step(1, accelerators=1), "accelerators"),
        (messages.Step(1, required_label="ssd"), "label"),
        (builders.SHORT, "none"),
        (builders.BEST_EFFORT, wait_reasons.PACE_TOO_LOW),
    ],
)
def test_what_is_missing_is_counted(step, reason):
    """Guards against a task that waits without a reason in the logs."""
    executor, task, shard = make_executor_and_task(step)
    context = scheduling.placement_context(shard, "service", 0.0)
    assert wait_reasons.count_reasons([executor], task, context) == {reason: 1}
