"""Tests of the proof of ownership and of what an instance does without it."""

import asyncio

import pytest

from limpetstream.shard import proof, state
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from standins import virtual_time


@pytest.fixture(autouse=True)
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        logs, "emit", lambda event, **fields: found.append((event.name, fields))
    )
    return found


def advance(loop, seconds):
    """Advance virtual time."""
    loop.run_until_complete(asyncio.sleep(seconds))


def test_the_end_of_the_proof_is_logged_with_what_ended_it(lines):
    """Guards against logs that do not say whose ownership was not proven."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=3)
    for executor_id in shard.executor_by_id:
        shard.record_state_by_id[executor_id] = state.KEPT
    assert proof.is_proven(shard)
    assert not lines
    shard.executor_by_id["x0"].silent_since = 0.5
    advance(loop, 2.5)
    assert not proof.is_proven(shard)
    assert not proof.is_proven(shard)
    shard.journal.confirmed_at = 2.4
    assert proof.is_proven(shard)
    assert [name for name, _ in lines] == ["ownership-unproven", "ownership-proven"]
    fields = lines[0][1]
    assert fields["append_ms_ago"] is None
    assert (fields["majority_ms_ago"], fields["silent"]) == (2500, 1)
