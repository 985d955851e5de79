"""Tests of requests that an instance reads after their caller has left."""

import asyncio
import types

import loguru
import pytest

from limpetstream import clock
from limpetstream.border import simple_server, stalls
from limpetstream.shard import peer_messages, queries, recovery, unknown_cancels
from limpetstream.shard.tests import builders as shard_builders
from limpetstream.store import messages as store_messages
from limpetstream.workflow import messages, records
from standins import processes
from tests import submission_builders as builders

JOB_ID = "5c0e7a21d94b36f8"


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


@pytest.mark.parametrize(
    "options", [{"wait_s": -0.5}, {"is_wanted": lambda: False}], ids=["late", "gone"]
)
def test_a_job_whose_caller_has_left_is_not_stored(options):
    """Guards against a job that runs on after its caller has cancelled it.

    A suspended machine reads the request after its time limit, or after the
    caller has closed the connection.
    """

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system, **options) == "refused"
            assert not system.stored

    asyncio.run(run())


def test_a_closed_connection_is_seen_behind_an_unread_request():
    """Guards against a request that looks alive as its end is not read yet."""

    port = processes.free_port()

    async def run():
        found = []

        async def answer(request):
            found.append(simple_server.is_abandoned(request))
            await asyncio.sleep(0.1)
            found.append(simple_server.is_abandoned(request))
            return simple_server.Response(200)

        async with simple_server.serve(f"127.0.0.1:{port}", answer):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.3)
        return found

    assert asyncio.run(run()) == [False, True]


def test_a_request_read_after_a_stall_may_have_waited_for_all_of_it():
    """Guards against a time limit that counts from the end of a suspension."""
    now = types.SimpleNamespace(s=10.0)
    watched = stalls.Stalls(clock.Clock(monotonic=lambda: now.s))
    assert watched.longest_unread_s() == 0.0
    now.s += 4.0
    assert watched.longest_unread_s() == pytest.approx(4.0)
    now.s += 2 * stalls.BACKLOG_S
    assert watched.longest_unread_s() == 0.0


@pytest.fixture
def scene():
    opened = shard_builders.JournaledShard()
    opened.shard.earlier_proofs_ended_at = 0.0
    yield opened
    opened.close()


def load(scene, job_id):
    submission = messages.Submission(job_id, "r-1", "service", "", [messages.Step(1)])
    entry = store_messages.Entry(job_id, records.encode_submission(submission))
    recovery.apply_submissions(scene.shard, [entry], {})
    return scene.shard.job_by_id[job_id]


def cancel(scene, job_id):
    """Cancel a job at an owner with a recent append, which is its proof."""
    scene.shard.journal.put("!proof", lambda: None)
    scene.advance(0.1)
    return scene.loop.run_until_complete(queries.cancel(scene.shard, job_id))


def test_a_job_that_is_stored_just_after_its_cancelling_does_not_run(scene):
    """Guards against a lasting job that nobody will cancel again."""
    assert not cancel(scene, JOB_ID)
    scene.advance(4.0)
    assert load(scene, JOB_ID).outcome == messages.CANCELLED
    assert not scene.shard.waiting_tasks


def test_a_cancelling_does_not_outlive_its_time(scene):
    """Guards against ids of unknown jobs that are kept for ever."""
    assert not cancel(scene, JOB_ID)
    scene.advance(unknown_cancels.MEMORY_S + 1.0)
    assert not cancel(scene, "5c0e7a21d94b36f9")
    assert len(scene.shard.cancelled_at_by_unknown_job) == 1
    assert not load(scene, JOB_ID).outcome


def test_a_job_is_not_stored_after_a_suspension_between_two_tries():
    """Guards against an append long after the caller's time limit.

    The connection of the caller may still look open then.
    """

    async def run():
        async with builders.open_system() as system:
            system.store.status = 503
            now = types.SimpleNamespace(offset_s=0.0)
            loop = asyncio.get_running_loop()

            async def sleep(seconds):
                system.store.status = 200
                now.offset_s += 40.0  # The machine is suspended.

            system.api._clock = clock.Clock(
                monotonic=lambda: loop.time() + now.offset_s, sleep=sleep
            )
            assert await builders.submit(system, wait_s=3.0) == "refused"
            assert not system.stored

    asyncio.run(run())


def test_an_instance_stores_no_job_for_one_that_has_left():
    """Guards against a job that a suspended instance stores for another.

    The other one gave up meanwhile, and the caller has cancelled the job.
    """

    async def run():
        async with builders.open_system() as system:
            submission = messages.Submission(
                JOB_ID, "r-1", "service", "", [messages.Step(1)]
            )
            request = peer_messages.PeerRequest("store", 0, submission=submission)
            reply = await system.api.answer_peer(request, is_wanted=False)
            assert reply.refused and not reply.unknown and not system.stored
            reply = await system.api.answer_peer(request)
            assert reply.known and len(system.stored) == 1

    asyncio.run(run())
