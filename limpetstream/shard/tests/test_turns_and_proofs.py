"""Tests of calls that wait for the link while the proof of ownership ends.

All run on virtual time.
"""

import asyncio

import pytest

from limpetstream.executors import sending
from limpetstream.shard import pacing, proof, sessions, starts, state, stops
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet(monkeypatch):
    monkeypatch.setattr(logs, "emit", lambda event, **fields: None)


def start(shard, executor):
    task = builders.make_tasks(shard, builders.SHORT)[0]
    task.job.start_recorded = True
    shard.maybe_started_job_ids.add(task.job.submission.job_id)
    run = builders.start_run(executor, task)
    run.phase = workflow_state.STARTING
    return starts.start_run(shard, executor, run)


def stop(shard, executor):
    run = builders.start_run(executor, builders.make_tasks(shard, builders.SHORT)[0])
    return stops._send_until_confirmed(shard, executor, run.task.name, 1, run)


def pace(shard, executor):
    task = builders.make_tasks(shard, builders.BEST_EFFORT)[0]
    run = builders.start_run(executor, task)
    run.pace = 40
    return pacing._send_newest_pace(shard, executor, run)


def poll(shard, executor):
    return sessions._poll(shard, executor)


def play(make_call, *, waits_s):
    """Let a call wait for the link; return the client's record."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    client = shard.executor_client = builders.RecordingClient()
    executor = shard.executor_by_id["x0"]
    executor.lease.observe(0, 0.0)
    shard.record_state_by_id["x0"] = state.KEPT
    window = shard.send_window

    async def scenario():
        window.limit_bytes = 0
        call = asyncio.create_task(make_call(shard, executor))
        await asyncio.sleep(waits_s)
        # It has answered just now, so that only the proof is too old.
        executor.lease.observe(round(waits_s * 1000), waits_s, waits_s)
        assert not client.calls
        window.limit_bytes = sending.INITIAL_BYTES
        window._admit()
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    virtual_time.run(scenario(), loop=loop)
    return client


@pytest.mark.parametrize(
    "make_call", [start, stop, pace], ids=lambda call: call.__name__
)
def test_no_order_is_sent_on_a_proof_that_ended_while_it_waited(make_call):
    """Guards against an order beside a later owner, after a full link."""
    assert play(make_call, waits_s=0.5).calls == [make_call.__name__]
    assert not play(make_call, waits_s=proof.VALIDITY_S + 0.5).calls


def test_no_lease_is_extended_on_a_proof_that_ended_while_the_poll_waited():
    """Guards against a lease that no later owner waits for."""
    assert play(poll, waits_s=0.5).deadlines[0] is not None
    assert play(poll, waits_s=proof.VALIDITY_S + 0.5).deadlines == [None]
