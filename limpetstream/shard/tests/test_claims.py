"""Tests of what claims and appends of another owner change."""

import asyncio

import loguru
import msgspec
import pytest

from limpetstream import errors
from limpetstream.shard import (
    housekeeping,
    journal,
    names,
    ownership,
    peer_messages,
    proof,
    queries,
)
from limpetstream.shard.tests import builders
from limpetstream.store import messages as store_messages
from standins import keyed_store, virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.fixture
def scene():
    opened = builders.JournaledShard()
    yield opened
    opened.close()


def test_a_claim_knows_every_earlier_owner():
    """Guards against an owner that claims between a read and its claim.

    It has an earlier version, in which the instances do not vote. The first
    try was refused, so the next one claims a higher epoch.
    """

    async def scenario():
        store = keyed_store.Store()
        client = keyed_store.Client(store)
        newest, append, read = client.newest, client.append, []

        async def read_then_overtaken(topic, number, **fields):
            page = await newest(topic, number, **fields)
            read.append(page)
            if len(read) == 2:
                value = msgspec.json.encode({"epoch": 1, "member": "m9"})
                entry = store_messages.Entry(names.OWNER_KEY, value)
                writer = store_messages.Writer(names.WRITER, 1, 0)
                store.append(topic, number, [entry], writer, None)
            return page

        async def refused_once(*args, **fields):
            if len(read) == 1:
                raise errors.WriterFenced(names.PROGRESS_TOPIC)
            return await append(*args, **fields)

        client.newest, client.append = read_then_overtaken, refused_once
        clock = virtual_time.make_clock(asyncio.get_running_loop())
        return await ownership.claim(client, 0, "m0", clock)

    claim = virtual_time.run(scenario(), loop=virtual_time.Loop())
    assert not claim.instances_vote


def test_an_append_after_another_writer_of_the_epoch_ends_the_ownership(scene):
    """Guards against two owners that the store has taken for one writer."""
    for sequence in range(8):  # The store answers repeats of the last five.
        scene.store.append(
            names.PROGRESS_TOPIC,
            0,
            [store_messages.Entry("other", b"")],
            store_messages.Writer(names.WRITER, scene.shard.epoch, sequence),
            None,
        )
    scene.shard.journal.put("key", lambda: b"")
    scene.advance(1.0)
    assert scene.errors == [errors.WriterFenced]
    assert scene.shard.journal.is_pending


def test_what_is_left_over_by_an_append_is_not_durable(scene):
    """Guards against a run whose mark in the journal was not written.

    What is queued does not fit into one append.
    """
    append = scene.store_client.append

    async def append_once(*args, **fields):
        await append(*args, **fields)
        scene.store.down = True

    scene.store_client.append = append_once
    size = keyed_store.MAX_RECORD_BYTES - 100
    for number in range(journal.MAX_APPEND_BYTES // size + 2):
        scene.shard.journal.put(f"key-{number}", lambda: bytes(size))
    waiting = scene.loop.create_task(scene.shard.journal.wait_until_durable())
    scene.advance(2.0)
    assert scene.shard.journal.append_count == 1
    assert not waiting.done()
    assert scene.shard.journal.is_pending
    waiting.cancel()


def test_a_cancel_is_answered_once_it_is_durable(scene):
    """Guards against a cancelled job that a later owner starts."""
    shard = scene.shard
    job = builders.make_tasks(shard, builders.SHORT)[0].job
    scene.store.down = True
    cancelling = scene.loop.create_task(queries.cancel(shard, job.submission.job_id))
    scene.advance(2.0)
    assert not cancelling.done()
    scene.store.down = False
    scene.claim_elsewhere()
    scene.advance(2.0)
    with pytest.raises(errors.WriterFenced):
        cancelling.result()


def test_an_owner_tells_that_a_failed_cancel_may_take_effect(scene):
    """Guards against a refusal of a cancel that a later owner finds stored."""
    api = builders.make_job_api(scene)
    job = builders.make_tasks(scene.shard, builders.SHORT)[0].job
    job_id = job.submission.job_id
    request = peer_messages.PeerRequest("cancel", 0, job_id=job_id)
    scene.shard.recovered = False
    early = scene.loop.run_until_complete(api.answer_peer(request))
    assert early.refused and not early.unknown
    scene.shard.recovered = True
    scene.store.down = True
    cancelling = scene.loop.create_task(api.answer_peer(request))
    scene.advance(2.0)
    scene.store.down = False
    scene.claim_elsewhere()
    scene.advance(2.0)
    late = cancelling.result()
    assert late.refused and late.unknown


def test_earlier_owners_have_stopped_2_s_after_their_proofs_have_ended(scene):
    """Guards against a cancelled job that an earlier owner still starts."""
    scene.shard.epoch = 2
    scene.shard.inherited_executors = {"x0"}
    scene.shard.earlier_proofs_ended_at = scene.loop.time()
    scene.advance(1.9)
    assert not proof.have_earlier_owners_stopped(scene.shard)
    scene.advance(0.2)
    assert proof.have_earlier_owners_stopped(scene.shard)


def test_no_submission_is_dropped_before_the_final_state_is_durable(scene):
    """Guards against a job that is lost when the owner ends (LOST)."""
    shard = scene.shard
    shard.store = scene.store_client
    job = builders.make_tasks(shard, builders.SHORT)[0].job
    job_id = job.submission.job_id
    entry = store_messages.Entry(job_id, b"{}")
    scene.store.append(names.SUBMISSIONS_TOPIC, 0, [entry], None, None)
    job.outcome = "completed"
    scene.loop.run_until_complete(housekeeping._drop_final_jobs(shard, set()))
    assert job_id in scene.store.newest(names.SUBMISSIONS_TOPIC, 0)
    job.visible_outcome = "completed"
    scene.loop.run_until_complete(housekeeping._drop_final_jobs(shard, set()))
    assert job_id not in scene.store.newest(names.SUBMISSIONS_TOPIC, 0)


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_a_claim_whose_first_tries_had_no_answer_knows_the_owner_before(lost):
    """Guards against a wait for leases that begins anew with each lost answer.

    A try that took effect without an answer has served nothing.
    """

    async def scenario():
        store = keyed_store.Store()
        client = keyed_store.Client(store)
        before = ownership.OwnerRecord(6, "m6", True, 1)
        entry = store_messages.Entry(names.OWNER_KEY, msgspec.json.encode(before))
        writer = store_messages.Writer(names.WRITER, 6, 0)
        store.append(names.PROGRESS_TOPIC, 0, [entry], writer, None)
        append, tries = client.append, []

        async def answer_lost(*args, **fields):
            end = await append(*args, **fields)
            tries.append(end)
            if len(tries) <= lost:
                raise errors.PlatformUnavailable("answer lost")
            return end

        client.append = answer_lost
        clock = virtual_time.make_clock(asyncio.get_running_loop())
        return await ownership.claim(client, 0, "m0", clock)

    claim = virtual_time.run(scenario(), loop=virtual_time.Loop())
    assert claim.epoch == 7 + lost
    assert (claim.leases_recorded_from, claim.previous_member) == (1, "m6")
