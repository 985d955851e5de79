"""Tests of what a caller is told of a cancel that may have taken effect."""

import asyncio
import types

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import peering
from tests import breaking_servers, submission_builders as builders


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


def cancel_at_owner(*, status, breaks):
    """Cancel a job at an instance that asks the owner.

    Args:
        status: Status of the owner's answers; after the break, if it breaks.
        breaks: Whether the owner carries the cancel out and the connection
            breaks then.

    Returns:
        The error that the caller gets, and how many cancels were carried out.
    """

    async def run():
        async with builders.open_system() as system:
            system.api._server = types.SimpleNamespace(shard_by_number={})
            cancelled = []

            def cancel(path, body):
                cancelled.append(body)
                return {"known": True}

            system.peer._respond = cancel
            assert await system.api.cancel(builders.OTHER_JOB_ID, wait_s=1.0)
            if breaks:
                system.peer.break_next = peering.SHARD_PATH
                system.peer.status_after_break = status
            else:
                system.peer._respond = lambda path, body: {"refused": "not the owner"}
            with pytest.raises(errors.LimpetstreamError) as caught:
                await system.api.cancel(builders.JOB_ID, wait_s=1.0)
            return type(caught.value), len(cancelled) - 1

    return asyncio.run(run())


@pytest.mark.parametrize("status", [breaking_servers.REFUSED, breaking_servers.BUSY])
def test_a_cancel_that_lost_its_connection_is_not_refused(status):
    """Guards against a refusal of a cancel that has taken effect."""
    assert cancel_at_owner(status=status, breaks=True) == (errors.OutcomeUnknown, 1)


def test_a_cancel_that_no_owner_has_taken_is_refused():
    """Guards against an outcome that is told as unknown without need."""
    refused = cancel_at_owner(status=breaking_servers.OK, breaks=False)
    assert refused == (errors.NotRun, 0)
