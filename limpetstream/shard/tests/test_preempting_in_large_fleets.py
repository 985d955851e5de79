"""Load: long-running work reserves a large fleet and desk work arrives.

The pattern: a bound on what long-running work gives way that does not grow
with the fleet. On 246 executors one run every 0.3 s leaves desk work waiting
for 12 s.
"""

import pytest

from limpetstream.shard import scheduling
from limpetstream.shard.tests import builders
from standins import virtual_time

SMALL_FLEET = 32
DESK = builders.copy_step(builders.SHORT, cpu_millicores=13_000)
FULL = builders.copy_step(builders.SERVING, cpu_millicores=64_000)


def stopped_within(executors, seconds):
    """Return how many long-running runs give way to desk work."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=executors)
    for executor in shard.executor_by_id.values():
        builders.start_run(executor, builders.make_tasks(shard, FULL, queue="desk")[0])
    step = builders.copy_step(DESK, count=4 * executors)
    for task in builders.make_tasks(shard, step, queue="desk"):
        task.ready_at = -2.0
        shard.waiting_tasks.append(task)
    for _ in range(round(seconds / scheduling.PASS_INTERVAL_S)):
        for executor in shard.executor_by_id.values():
            executor.polled_at = shard.clock.monotonic()
        scheduling.run_pass(shard)
        loop._virtual.now += scheduling.PASS_INTERVAL_S
    return sum(
        run.stop_ordered_at is not None
        for executor in shard.executor_by_id.values()
        for run in executor.run_by_task.values()
    )


@pytest.mark.parametrize("times", [1, 4, 8])
def test_long_running_work_gives_way_in_proportion_to_the_fleet(times):
    """Guards against desk work that waits longer the larger the fleet is."""
    small = stopped_within(SMALL_FLEET, 0.25)
    assert small == 1
    stopped = stopped_within(times * SMALL_FLEET, 0.25)
    assert 0.75 * times <= stopped <= times


def test_long_running_work_keeps_its_share_in_a_large_fleet():
    """Guards against watchers that all give way to one burst of desk work."""
    assert stopped_within(8 * SMALL_FLEET, 0.6) <= 0.08 * 8 * SMALL_FLEET
