"""Tests that the logs tell why a job was refused."""

import asyncio

import loguru
import pytest

from adapter import store as store_module
from limpetstream import clock, errors
from limpetstream.shard import job_api, submission_attempts
from limpetstream.telemetry import logs
from tests import breaking_servers, submission_builders as builders


@pytest.fixture
def lines():
    """Return the lines that were logged, as pairs of name and fields."""
    loguru.logger.remove()
    found = []
    logs.observers.append(lambda event, fields: found.append((event.name, fields)))
    yield found
    logs.observers.pop()


def test_a_refusal_tells_each_attempt(lines):
    """Guards against a refusal whose reasons cannot be found in the logs."""

    async def run():
        async with builders.open_system() as system:
            await system.learn_members()
            system.store.status = breaking_servers.REFUSED
            system.peer.status = breaking_servers.REFUSED
            await builders.submit(system)

    asyncio.run(run())
    (refusal,) = [fields for name, fields in lines if name == "call-refused"]
    first = refusal["attempts"][0]
    assert (first["via"], first["status"], first["copies"]) == ("store", 503, 1)
    assert first["outcome"] == "not-run"
    assert first["times"] >= job_api.LOCAL_STORE_TRIES
    assert {row["status"] for row in refusal["attempts"]} == {503}
    assert {row["via"][-6:] for row in refusal["attempts"]} == {"store", "#there"}


def test_a_call_under_which_a_connection_breaks_is_logged(lines):
    """Guards against calls that go out twice without a trace."""

    async def run():
        async with builders.open_system() as system:
            await builders.submit(system, builders.OTHER_JOB_ID)
            system.store.break_next = store_module.APPEND_PATH
            await builders.submit(system)

    asyncio.run(run())
    assert [name for name, _ in lines].count("call-cut-off") == 1


def test_the_attempt_that_leaves_a_job_in_doubt_is_told():
    """Guards against an unknown outcome whose reason is left out."""
    attempts = submission_attempts.Attempts(clock.Clock())
    for number in range(2 * submission_attempts.MAX_ROWS):
        refusal = errors.PlatformUnavailable(f"refused {number}", not_applied=True)
        attempts.note_store(refusal)
    attempts.note_store(errors.PlatformUnavailable("cut off"))
    assert attempts.rows()[-1]["outcome"] == "unknown"
    assert attempts.left_out == submission_attempts.MAX_ROWS
