"""Tests of paces that an executor holds and the owner does not know."""

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard.tests import builders


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_a_new_owner_tells_the_pace_of_the_runs_that_it_finds():
    """Guards against runs that an earlier owner has paused for ever."""
    scene = builders.PolledShard(executors=1)
    task = builders.make_tasks(scene.shard, builders.BEST_EFFORT)[0]
    row = executor_messages.RunningRow(task.name, 1, "", 50, 0)
    scene.client.rows_by_id["x0"] = [row]
    scene.advance(1.7)
    scene.close()
    assert task.run is not None
    assert task.run.pace == 100
    assert "pace" in scene.client.calls
