"""Load: best-effort work beside serving work near its target.

The pattern: work that could wait is placed up to the limit, and the error of
the forecast brings serving work over its target. A watcher then earns nothing
while calmer executors have room.
"""

import loguru
import pytest

from limpetstream.shard import scheduling
from limpetstream.shard.tests import builders
from limpetstream.workflow import best_effort, interference
from standins import virtual_time

# Utilization that one task of ``builders.BEST_EFFORT`` adds: with it the tail
# of a task with the usual peak is between both limits.
ADDED = 0.06


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def place(waited_s, *, is_known):
    """Return whether a task is placed beside the only serving task."""
    shard = builders.make_shard(virtual_time.Loop())
    executor = shard.executor_by_id["x0"]
    # Half of the executor is in use, so that the service is not idle.
    for task in builders.make_tasks(
        shard, builders.copy_step(builders.SERVING, count=4), queue="desk"
    ):
        builders.start_run(executor, task, load=8.0)
    if is_known:
        weight = ADDED / builders.BEST_EFFORT.cpu_millicores * 1000
        shard.interference_model.load(
            {"desk": interference.Estimate(weight_by_image={"press": weight})}
        )
    task = builders.make_tasks(shard, builders.BEST_EFFORT)[0]
    task.ready_at = -waited_s
    shard.waiting_tasks.append(task)
    scheduling.run_pass(shard)
    return task.run is not None


def test_work_that_can_wait_leaves_a_margin():
    """Guards against watchers over their target by errors of the forecast."""
    assert not place(0.0, is_known=True)


def test_work_that_has_waited_uses_the_margin():
    """Guards against best-effort work that waits while there is room."""
    assert place(best_effort.FULL_PACE_WAIT_S + 1.0, is_known=True)


def test_a_new_pair_of_images_is_tried_without_the_margin():
    """Guards against pairs that stay unknown, and so are never used."""
    assert place(0.0, is_known=False)
