"""Tests that a job whose refusal is final is not stored (the rule REFUSED).

They use the real HTTP client, whose library sends a call again by itself when
a reused connection breaks.
"""

import asyncio

import loguru
import pytest

from adapter import store as store_module
from limpetstream import errors
from limpetstream.shard import peering
from tests import breaking_servers, submission_builders as builders


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


@pytest.mark.parametrize(
    "status, listens",
    [
        (breaking_servers.REFUSED, True),
        (breaking_servers.BUSY, True),
        (breaking_servers.REFUSED, False),
    ],
)
def test_a_job_is_not_refused_after_its_append_lost_the_connection(status, listens):
    """Guards against a promise about a job that the store holds.

    The store does the append, the connection breaks before the answer, and
    the store turns away everything that follows, also a second copy.
    """

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system, builders.OTHER_JOB_ID) == "stored"
            system.store.break_next = store_module.APPEND_PATH
            system.store.status_after_break = status
            system.store.listens_after_break = listens
            assert await builders.submit(system) == "unknown"
            assert len(system.stored) == 2

    asyncio.run(run())


def test_a_job_is_not_refused_after_another_instance_lost_the_connection():
    """Guards against a promise about a job that another instance has stored.

    The connection to it breaks before its answer, and the second copy meets a
    store that is closed to it as well.
    """

    async def run():
        async with builders.open_system() as system:
            await system.learn_members()
            system.store.status = breaking_servers.REFUSED
            assert await builders.submit(system, builders.OTHER_JOB_ID) == "stored"
            system.peer.break_next = peering.SHARD_PATH
            system.peer.status_after_break = breaking_servers.OK
            system.peer._respond = stop_storing(system)
            assert await builders.submit(system) == "unknown"
            assert len(system.stored) == 2

    asyncio.run(run())


def stop_storing(system):
    """Return an answerer that stores once and refuses afterwards."""
    answer = system.peer._respond

    def respond(path, body):
        if len(system.stored) == 1:
            return answer(path, body)
        return {"refused": "503"}

    return respond


@pytest.mark.parametrize("listens", [True, False])
def test_a_job_that_no_attempt_has_stored_is_refused(listens):
    """Guards against an outcome that is told as unknown without need."""

    async def run():
        async with builders.open_system() as system:
            system.store.status = breaking_servers.REFUSED
            if not listens:
                system.store.stop_listening()
            assert await builders.submit(system) == "refused"
            assert not system.stored

    asyncio.run(run())


def test_a_job_is_not_refused_after_an_earlier_request_may_have_stored_it():
    """Guards against a promise that an earlier answer of 504 contradicts."""

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system, builders.OTHER_JOB_ID) == "stored"
            system.store.break_next = store_module.APPEND_PATH
            assert await builders.submit(system) == "unknown"
            assert await builders.submit(system) == "unknown"
            assert await builders.submit(system, builders.THIRD_JOB_ID) == "refused"

    asyncio.run(run())


def test_a_job_that_is_stored_is_not_refused_when_it_is_handed_in_again():
    """Guards against a promise that a job never runs which was accepted."""

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system) == "stored"
            system.store.status = breaking_servers.REFUSED
            assert await builders.submit(system) == "stored"

    asyncio.run(run())


def test_a_job_is_not_refused_while_another_request_for_it_becomes_unknown():
    """Guards against a look at earlier requests that is taken too early."""

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system, builders.OTHER_JOB_ID) == "stored"
            system.store.break_next = store_module.APPEND_PATH
            outcomes = await asyncio.gather(
                builders.submit(system), builders.submit(system)
            )
            assert "refused" not in outcomes

    asyncio.run(run())


def test_jobs_that_are_or_may_be_stored_are_known():
    """Guards against a repeat that is refused before it reaches ``submit``."""

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system) == "stored"
            system.store.break_next = store_module.APPEND_PATH
            assert await builders.submit(system, builders.OTHER_JOB_ID) == "unknown"
            assert await builders.submit(system, builders.THIRD_JOB_ID) == "refused"
            assert system.api.may_be_stored(builders.JOB_ID)
            assert system.api.may_be_stored(builders.OTHER_JOB_ID)
            assert not system.api.may_be_stored(builders.THIRD_JOB_ID)

    asyncio.run(run())


def test_a_job_may_be_stored_while_submissions_of_it_are_under_way():
    """Guards against a repeat that is refused while the job is being stored.

    Both submissions are refused in the end; the first one to end cannot know.
    """

    async def run():
        async with builders.open_system() as system:
            system.store.status = breaking_servers.REFUSED
            first = asyncio.create_task(builders.submit(system))
            second = asyncio.create_task(builders.submit(system, wait_s=0.1))
            await asyncio.sleep(0)
            assert system.api.may_be_stored(builders.JOB_ID)
            assert not system.api.may_be_stored(builders.OTHER_JOB_ID)
            assert await second == "unknown"
            assert system.api.may_be_stored(builders.JOB_ID)
            assert await first == "refused"
            assert not system.api.may_be_stored(builders.JOB_ID)

    asyncio.run(run())


def test_an_empty_append_that_was_sent_twice_is_not_known_to_have_no_effect():
    """Guards against a second copy of an append that only sets the epoch."""

    async def run():
        async with builders.open_system() as system:
            assert await builders.submit(system, builders.OTHER_JOB_ID) == "stored"
            system.store.break_next = store_module.APPEND_PATH
            with pytest.raises(errors.PlatformUnavailable) as caught:
                await system.api._store.append("keyed.t", 0, [], timeout_s=1.0)
            assert not caught.value.not_applied

    asyncio.run(run())


def test_a_reply_of_another_instance_without_a_reason_is_no_refusal():
    """Guards against an empty answer that counts as a proof."""

    async def run():
        async with builders.open_system() as system:
            await system.learn_members()
            system.store.status = breaking_servers.REFUSED
            system.peer._respond = lambda path, body: {}
            assert await builders.submit(system) == "unknown"

    asyncio.run(run())


def test_another_instance_that_refuses_connections_has_stored_nothing():
    """Guards against 504 where the job was certainly not stored."""

    async def run():
        async with builders.open_system() as system:
            await system.learn_members()
            system.store.status = breaking_servers.REFUSED
            system.peer.stop_listening()
            assert await builders.submit(system) == "refused"

    asyncio.run(run())
