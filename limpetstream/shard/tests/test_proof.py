"""Tests of the proof of ownership and of what an instance does without it."""

import asyncio

import pytest

from limpetstream import errors
from limpetstream.executors import messages as executor_messages
from limpetstream.shard import (
    housekeeping,
    journal,
    ownership,
    pacing,
    proof,
    queries,
    scheduling,
    sessions,
    shard_server,
    starts,
    state,
    stops,
)
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state
from standins import keyed_store, virtual_time


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


def run_for(loop, seconds, *coroutines):
    """Run coroutines for some virtual seconds, then cancel them."""

    async def bounded():
        tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    loop.run_until_complete(bounded())


def make_unproven(loop):
    """Return a shard whose proof has expired, its executor and its client."""
    shard = builders.make_shard(loop)
    client = builders.RecordingClient()
    shard.executor_client = client
    executor = shard.executor_by_id["x0"]
    executor.lease.observe(0, 0.0)
    shard.record_state_by_id["x0"] = state.KEPT
    advance(loop, 3.0)
    executor.polled_at = executor.answered_at = 0.5
    return shard, executor, client


def prove(shard):
    """Give a shard a fresh proof of its ownership."""
    shard.journal.confirmed_at = shard.clock.monotonic()


def make_starting_run(shard, executor):
    """Return a run whose start may be sent."""
    task = builders.make_tasks(shard, builders.SHORT)[0]
    task.job.start_recorded = True
    shard.maybe_started_job_ids.add(task.job.submission.job_id)
    run = builders.start_run(executor, task)
    run.phase = workflow_state.STARTING
    return run


def test_no_start_is_sent_without_a_proof():
    """Guards against a second run beside that of a later owner (TWICE)."""
    loop = virtual_time.Loop()
    shard, executor, client = make_unproven(loop)
    run = make_starting_run(shard, executor)
    run_for(loop, 2.0, starts.start_run(shard, executor, run))
    assert not client.calls
    assert run.task in shard.waiting_tasks
    assert not executor.run_by_task


def test_no_start_is_repeated_once_the_proof_has_expired():
    """Guards against a repeated start that arrives after a change of owner."""
    loop = virtual_time.Loop()
    shard, executor, client = make_unproven(loop)
    client.fail = True
    now = shard.clock.monotonic()
    executor.lease.observe(3000, now, now)
    shard.journal.confirmed_at = now - proof.VALIDITY_S + 0.1
    run = make_starting_run(shard, executor)
    run_for(loop, 3.0, starts.start_run(shard, executor, run))
    assert client.calls == ["start"]
    assert run.phase == workflow_state.STOPPING


def test_no_start_is_sent_to_a_silent_executor():
    """Guards against a start that extends the lease of an executor for ever.

    It may have waited for the store while the executor stopped answering.
    """
    loop = virtual_time.Loop()
    shard, executor, client = make_unproven(loop)
    prove(shard)
    run = make_starting_run(shard, executor)
    executor.silent_since = 1.0
    run_for(loop, 1.0, starts.start_run(shard, executor, run))
    assert not client.calls
    assert run.task in shard.waiting_tasks


def test_a_start_without_a_proof_extends_no_lease():
    """Guards against leases that outlive the wait of a later owner."""
    loop = virtual_time.Loop()
    shard, executor, _ = make_unproven(loop)
    now = shard.clock.monotonic()
    executor.lease.observe(3000, now, now)  # The start needs no look.
    run = make_starting_run(shard, executor)
    run_for(loop, 2.0, starts.start_run(shard, executor, run))
    assert executor.lease.deadline_ms == 0


def test_no_stop_is_sent_without_a_proof():
    """Guards against the stop of a run that a later owner keeps."""
    loop = virtual_time.Loop()
    shard, executor, client = make_unproven(loop)
    run = builders.start_run(executor, builders.make_tasks(shard, builders.SHORT)[0])
    spawned = []
    shard.spawn = spawned.append
    stops.stop_run(shard, executor, run, "test")
    run_for(loop, 2.0, *spawned)
    assert not client.calls
    spawned.clear()
    stops.stop_unknown_run(shard, executor, run.task.name, run.number, "test")
    prove(shard)
    run_for(loop, 2.0, *spawned)
    assert client.calls == ["stop"]


def test_no_pace_is_sent_without_a_proof():
    """Guards against a pace that contradicts that of a later owner."""
    loop = virtual_time.Loop()
    shard, executor, client = make_unproven(loop)
    task = builders.make_tasks(shard, builders.BEST_EFFORT)[0]
    run = builders.start_run(executor, task)
    run.pace = 0
    run_for(loop, 1.0, pacing._send_paces(shard, executor, run))
    assert not client.calls
    assert run.pace == pacing.UNKNOWN_PACE
    prove(shard)
    run.pace = 0
    run_for(loop, 1.0, pacing._send_paces(shard, executor, run))
    assert client.calls == ["pace"]


def test_polls_without_a_proof_extend_no_lease():
    """Guards against runs that go on while a later owner starts them again."""
    loop = virtual_time.Loop()
    shard, executor, client = make_unproven(loop)
    run_for(loop, 0.1, sessions._poll(shard, executor))
    assert client.deadlines == [None]
    prove(shard)
    run_for(loop, 0.1, sessions._poll(shard, executor))
    assert client.deadlines[1] is not None


def test_nothing_is_placed_or_preempted_without_a_proof():
    """Guards against runs that are decided on an outdated view."""
    loop = virtual_time.Loop()
    shard, executor, _ = make_unproven(loop)
    executor.polled_at = 3.0
    shard.record_state_by_id["x1"] = state.KEPT  # Does not answer: no majority.
    task = builders.make_tasks(shard, builders.SHORT)[0]
    task.ready_at = 0.0
    shard.waiting_tasks.append(task)
    scheduling.run_pass(shard)
    assert task.run is None
    assert shard.waiting_tasks == [task]
    prove(shard)
    scheduling.run_pass(shard)
    assert task.run is not None


def test_draining_executors_are_left_alone_without_a_proof():
    """Guards against stops of runs that a later owner may have moved."""
    loop = virtual_time.Loop()
    shard, executor, _ = make_unproven(loop)
    executor.listing.state = executor_messages.DRAINING
    task = builders.make_tasks(shard, builders.SERVING)[0]
    run = builders.start_run(executor, task)
    run_for(loop, 0.3, housekeeping.run(shard))
    assert run.phase == workflow_state.WORKING
    prove(shard)
    run_for(loop, 0.3, housekeeping.run(shard))
    assert run.phase == workflow_state.STOPPING


def test_the_state_of_an_open_job_needs_a_proof():
    """Guards against an outdated state that is told as the present one."""
    loop = virtual_time.Loop()
    shard, _, _ = make_unproven(loop)
    job = builders.make_tasks(shard, builders.SHORT)[0].job
    job_id = job.submission.job_id
    with pytest.raises(errors.NotOwner):
        loop.run_until_complete(queries.job_state(shard, job_id))
    job.outcome = job.visible_outcome = "completed"
    state_told = loop.run_until_complete(queries.job_state(shard, job_id))
    assert state_told == "completed"


def test_an_unknown_job_needs_a_proof():
    """Guards against "no such job" for one that a later owner has accepted."""
    loop = virtual_time.Loop()
    shard, _, _ = make_unproven(loop)
    with pytest.raises(errors.NotOwner):
        loop.run_until_complete(queries.job_state(shard, "0" * 16))
    prove(shard)
    assert loop.run_until_complete(queries.job_state(shard, "0" * 16)) is None


def test_a_count_of_waiting_jobs_needs_a_proof():
    """Guards against an outdated count that is told as the present one."""
    loop = virtual_time.Loop()
    shard, _, _ = make_unproven(loop)
    with pytest.raises(errors.NotOwner):
        queries.count_waiting_jobs(shard, "batch")
    prove(shard)
    assert queries.count_waiting_jobs(shard, "batch") == 0


def test_no_pace_is_decided_without_a_proof(monkeypatch):
    """Guards against a log line for each poll of an owner without a proof."""
    loop = virtual_time.Loop()
    shard, executor, _ = make_unproven(loop)
    shard.record_state_by_id["x1"] = state.KEPT  # Does not answer: no majority.
    adjusted = []
    monkeypatch.setattr(pacing, "adjust", lambda *args: adjusted.append(args))
    run_for(loop, 0.1, sessions._poll(shard, executor))
    assert not adjusted
    prove(shard)
    run_for(loop, 1.5, sessions._poll(shard, executor))
    assert adjusted


def test_an_owner_without_appends_proves_itself():
    """Guards against an idle owner that starts nothing any more."""
    loop = virtual_time.Loop()
    shard, _, _ = make_unproven(loop)
    assert not proof.is_proven(shard)
    assert shard.journal.is_pending
    queued = shard.journal._put_count
    assert not proof.is_proven(shard)
    assert shard.journal._put_count == queued


def test_the_proof_of_a_claim_counts_from_before_it_was_read_back():
    """Guards against a proof by an instance that was frozen after a claim."""
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    client = keyed_store.Client(keyed_store.Store())
    clock = virtual_time.make_clock(loop)
    server = shard_server.ShardServer(
        store=client,
        executor_client=builders.RecordingClient(),
        clock=clock,
        view=state.DeploymentView(),
        timing=state.Timing(),
        shard_count=1,
        executors_topic="executors",
        decode_listing=None,
    )

    async def claim_and_freeze():
        claim = await ownership.claim(client, 0, "m0", clock)
        await asyncio.sleep(proof.VALIDITY_S)
        return server._make_shard(0, claim, None)

    shard = loop.run_until_complete(claim_and_freeze())
    assert not proof.is_proven(shard)


def test_a_claim_proves_the_ownership_until_it_was_read_back():
    """Guards against a proof by a claim whose answer came late."""
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    client = keyed_store.Client(keyed_store.Store())
    newest = client.newest
    calls = []

    async def slow(topic, number, **fields):
        calls.append(topic)
        if len(calls) == 2:
            await asyncio.sleep(3.0)
        return await newest(topic, number, **fields)

    client.newest = slow
    clock = virtual_time.make_clock(loop)
    claim = loop.run_until_complete(ownership.claim(client, 0, "m0", clock))
    assert clock.monotonic() >= 3.0
    assert claim.proven_at < 0.1


def test_an_append_proves_the_ownership_at_its_first_try():
    """Guards against a proof by the repeat of an append from before a claim.

    The store answers a repeat like the first try.
    """
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    client = keyed_store.Client(keyed_store.Store())
    client.faults.lost_answer_share = 1.0
    journaled = journal.Journal(client, 0, 1, virtual_time.make_clock(loop))
    journaled.put("key", lambda: b"")
    running = loop.create_task(journaled.run())
    advance(loop, 2.5)
    client.faults.lost_answer_share = 0.0
    advance(loop, 3.0)
    assert not journaled.is_pending
    assert journaled.confirmed_at == 0.0
    running.cancel()
