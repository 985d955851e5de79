"""Tests of best-effort runs that stay paused beside work over its target."""

import loguru
import pytest

from limpetstream.shard import relocation, scheduling
from limpetstream.shard.tests import builders, test_sharing
from limpetstream.workflow import state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.fixture
def shard():
    """Return a shard with serving work, which is over its target on x0."""
    made = builders.make_shard(virtual_time.Loop(), executors=2)
    x0 = test_sharing.run_serving(made, "x0", "frail", count=1)
    test_sharing.run_serving(made, "x1", "frail", count=1)
    test_sharing.set_interference(made, "frail", "press", 0.06)
    for run in x0.serving_runs():
        run.over_target_since, run.load = -1.0, 30.0
    return made


def test_a_waiting_task_takes_the_executor_within_its_target(shard):
    """Guards against a task that waits for an executor at full speed."""
    task = test_sharing.queue_tasks(shard, builders.BEST_EFFORT, waited_s=1.6)[0]
    scheduling.run_pass(shard)
    assert task.run is not None and task.run.executor_id == "x1"


@pytest.mark.parametrize("percent", [0, 50])
def test_a_paused_run_goes_where_a_waiting_task_would(shard, percent):
    """Guards against a run that works for nothing while there is room."""
    task = builders.make_tasks(shard, builders.BEST_EFFORT)[0]
    run = builders.start_run(shard.executor_by_id["x0"], task)
    run.pace, run.percent = 0, percent
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.STOPPING
