"""Tests of the executors whose replies prove the ownership."""

import loguru
import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import executor_records, proof, sessions, state, status_reports
from limpetstream.shard.tests import builders


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.fixture
def scene():
    opened = builders.JournaledShard(executors=3)
    for executor_id in opened.shard.executor_by_id:
        opened.shard.record_state_by_id[executor_id] = state.KEPT
    yield opened
    opened.close()


def poll_all(scene):
    """Note a poll now for all executors but x2."""
    for executor_id in ("x0", "x1"):
        scene.shard.executor_by_id[executor_id].polled_at = scene.loop.time()


def restart(scene, executor_id):
    """Note that an executor was restarted under its id."""
    executor = scene.shard.executor_by_id[executor_id]
    executor.born_ms = 1
    reply = executor_messages.PollReply(0, 2, [], [])
    status_reports.apply_report(scene.shard, executor, reply, scene.loop.time())


def test_a_restarted_executor_proves_nothing_until_an_append_is_confirmed(scene):
    """Guards against an owner kept by executors that forgot a later token."""
    scene.store.down = True
    scene.advance(3.0)
    restart(scene, "x0")
    poll_all(scene)
    assert not proof.is_proven(scene.shard)
    scene.store.down = False
    scene.advance(5.0)
    scene.store.down = True
    scene.advance(3.0)
    poll_all(scene)
    assert proof.is_proven(scene.shard)


def test_an_executor_reached_first_proves_nothing_before_an_append(scene):
    """Guards against an executor that a later owner had reached before."""
    scene.store.down = True
    scene.advance(3.0)
    executor = scene.shard.executor_by_id["x0"]
    executor.reached = False
    sessions._note_reply(scene.shard, executor)
    poll_all(scene)
    assert not proof.is_proven(scene.shard)


def test_no_executor_is_recorded_before_half_of_the_inherited_are_reached(scene):
    """Guards against a quorum in which an earlier owner's majority is lost.

    The next owner would reach half of the records without any executor that
    still answers the earlier owner.
    """
    shard = scene.shard
    shard.earlier_runs_settled = False
    shard.inherited_executors = {"x0", "x1"}
    for executor_id in ("x0", "x1"):
        shard.executor_by_id[executor_id].reached = False
    joined = shard.executor_by_id["x2"]
    joined.recorded = False
    del shard.record_state_by_id["x2"]
    shard.spawn(executor_records.write(shard, joined))
    sessions.check_earlier_runs(shard)
    scene.advance(1.0)
    assert not joined.recorded
    shard.executor_by_id["x0"].reached = True
    sessions.check_earlier_runs(shard)
    scene.advance(1.0)
    assert joined.recorded
