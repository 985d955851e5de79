"""Tests of where long-running tasks go after a restart."""

import math

import pytest

from limpetstream.shard import scheduling
from limpetstream.shard.tests import builders
from limpetstream.workflow import placement
from standins import virtual_time


@pytest.fixture
def shard():
    loop = virtual_time.Loop()
    yield builders.make_shard(loop, executors=2)
    loop.close()


def choose(shard, step, **options):
    task = builders.make_tasks(shard, step)[0]
    context = scheduling.placement_context(shard, "service", 0.0)
    executors = list(shard.executor_by_id.values())
    chosen = placement.choose(executors, task, context, **options)
    return chosen and chosen.listing.executor_id


def test_a_long_running_task_avoids_the_longest_lease(shard):
    """Guards against tasks that wait for it after a change of owner."""
    x0, _x1 = shard.executor_by_id.values()
    x0.reserved_millicores = 30_000
    assert choose(shard, builders.SERVING) == "x0"
    x0.longest_lease_expires_at = 10.0
    assert choose(shard, builders.SERVING) == "x1"


def test_a_long_running_task_takes_a_longest_lease_rather_than_none(shard):
    """Guards against tasks that have no run after all executors restarted."""
    x0, x1 = shard.executor_by_id.values()
    x0.longest_lease_expires_at = 10.0
    x1.reserved_millicores = 64_000
    assert choose(shard, builders.SERVING) == "x0"


def test_a_longest_lease_is_better_than_a_start_in_doubt(shard):
    """Guards against a task that goes where a start had no answer."""
    x0, x1 = shard.executor_by_id.values()
    x0.longest_lease_expires_at = 10.0
    x1.doubted_at = -1.0
    for accepts_doubt in (False, True):
        chosen = choose(shard, builders.SERVING, accepts_doubt=accepts_doubt)
        assert chosen == "x0"
    x0.longest_lease_expires_at = -math.inf
    x0.reserved_millicores = 64_000
    assert choose(shard, builders.SERVING, accepts_doubt=False) is None


def test_only_one_batch_is_scored_where_all_hold_the_longest_lease():
    """Guards against a search of all executors for each long-running task.

    Two such searches would use up the work of a pass at 2,300 executors.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=200)
    executors = list(shard.executor_by_id.values())
    for executor in executors:
        executor.longest_lease_expires_at = 10.0
    task = builders.make_tasks(shard, builders.SERVING)[0]
    context = scheduling.placement_context(shard, "service", 0.0)
    assert placement.choose(executors, task, context)
    assert context.scored_count <= placement.BATCH_SIZE
    for executor in executors:
        executor.longest_lease_expires_at = -math.inf
        assert placement.choose(executors, task, context) is executor
        executor.longest_lease_expires_at = 10.0
