"""Tests that a wait for a run that cannot start, or has ended, is bounded.

Section 11.8 of design.md lists the reasons why a task may have no run.
"""

import loguru
import pytest

from limpetstream.executors import leases, messages as executor_messages
from limpetstream.shard import scheduling, stops
from limpetstream.shard.tests import builders
from limpetstream.workflow import state as workflow_state

# The deadline of the last of three tries, and two polls after it.
UNANSWERED_STOP_BOUND_S = 1.2 + leases.LEASE_S / leases.MIN_CLOCK_RATE + 4.0


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.fixture
def open_scene():
    scenes = []

    def open_one(**options):
        scenes.append(builders.PolledShard(**options))
        return scenes[-1]

    yield open_one
    for scene in scenes:
        scene.close()


def test_a_start_in_doubt_whose_stop_has_no_answer_ends(open_scene):
    """Guards against a task that waits for ever for the stop of a start.

    Polls are answered, starts and stops are not, and neither has arrived.
    """
    scene = open_scene()
    scene.client.unanswered = {("start", "x0"), ("stop", "x0")}
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    scheduling.start_on(scene.shard, scene.executor("x0"), task, 1)
    run = task.run
    scene.advance(3.0)
    assert run.phase == workflow_state.STOPPING
    assert task.run is run
    scene.advance(UNANSWERED_STOP_BOUND_S - 3.0)
    assert run.phase == workflow_state.GONE
    assert task.run is not run
    assert not scene.errors


def test_a_run_whose_stop_has_no_answer_ends_once_it_is_not_listed(open_scene):
    """Guards against a task that waits for a run that was listed before."""
    scene = open_scene()
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    scene.client.rows_by_id["x0"] = [
        executor_messages.RunningRow(task.name, 1, "", 50, 0)
    ]
    scene.advance(1.5)
    run = task.run
    scene.client.unanswered = {("stop", "x0")}
    stops.stop_run(scene.shard, scene.executor("x0"), run, "test")
    scene.advance(3.0)
    assert task.run is run
    scene.client.rows_by_id.clear()
    scene.advance(4.5)
    assert task.run is not run
