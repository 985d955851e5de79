"""Tests of paces that an executor holds and the owner does not know."""

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import pacing
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


def test_an_idle_run_is_told_its_pace_again():
    """Guards against a pause that takes effect late and lasts for ever.

    Its order had no answer, so it may arrive after a newer one.
    """
    scene = builders.PolledShard(executors=1)
    task = builders.make_tasks(scene.shard, builders.BEST_EFFORT)[0]
    row = executor_messages.RunningRow(task.name, 1, "", 50, 0)
    scene.client.rows_by_id["x0"] = [row]
    scene.advance(1.7)
    scene.client.calls.clear()
    scene.advance(pacing.MAX_IDLE_S + 1.7)
    scene.close()
    assert scene.client.calls.count("pace") == 1
    assert task.run.pace == 100


def test_a_run_that_works_is_not_told_its_pace_again():
    """Guards against a call to executors every 3 s for each run."""
    scene = builders.PolledShard(executors=1)
    task = builders.make_tasks(scene.shard, builders.BEST_EFFORT)[0]
    row = executor_messages.RunningRow(task.name, 1, "", 50, 800)
    scene.client.rows_by_id["x0"] = [row]
    scene.advance(1.7)
    scene.client.calls.clear()
    scene.advance(3 * pacing.MAX_IDLE_S)
    scene.close()
    assert "pace" not in scene.client.calls
