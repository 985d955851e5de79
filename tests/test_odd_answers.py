"""Tests that odd answers of executors are refused."""

import asyncio

import loguru
import pytest

from adapter import executors
from limpetstream import clock, errors
from limpetstream.executors import messages
from limpetstream.platform import http
from tests import answer_builders as builders


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


def with_answer(body, use, *, status=200):
    """Call ``use`` with an HTTP client whose calls all return one answer."""

    async def main():
        client = http.Client(base_url="", clock=clock.Clock())

        async def call(*arguments, **options):
            return http.Answer(status, body, 0.0, 0.0)

        client.call = call
        try:
            return await use(client)
        finally:
            client.close()

    return asyncio.run(main())


async def poll(client):
    return await executors.HttpExecutorClient(client).poll(
        builders.LISTING,
        token=1,
        acknowledged=0,
        deadline_ms=None,
        wait_ms=0,
        timeout_s=1.0,
    )


async def start(client):
    request = messages.StartRequest("5c0e7a21d94b36f8.0.0.0", 1, "", 1000, 1)
    return await executors.HttpExecutorClient(client).start(
        builders.LISTING, request, timeout_s=1.0
    )


def test_rows_of_a_status_are_decoded():
    """Guards against checks that refuse rows which executors send.

    A row may lack the load, and later versions may append fields.
    """
    running = [["a", 1, "", 50], ["b", 2, "save", 100, 12], ["c", 3, "", 0, 5, "new"]]
    ended = [[1, "d", 1, "done", ""], [2, "e", 4, "failed", "save", "new"]]
    reply = with_answer(builders.status(running=running, ended=ended), poll)
    assert reply.running == [
        messages.RunningRow("a", 1, "", 50, 0),
        messages.RunningRow("b", 2, "save", 100, 12),
        messages.RunningRow("c", 3, "", 0, 5),
    ]
    assert reply.ended == [
        messages.EndRow(1, "d", 1, "done", ""),
        messages.EndRow(2, "e", 4, "failed", "save"),
    ]
    assert (reply.clock_ms, reply.born_ms) == (5000, 1000)


@pytest.mark.parametrize("kind", builders.ODD_STATUS_BY_KIND)
def test_odd_status_is_no_usable_answer(kind):
    """Guards against a poll whose answer ends the shard."""
    with pytest.raises(errors.PlatformUnavailable):
        with_answer(builders.ODD_STATUS_BY_KIND[kind], poll)


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("kind", builders.ODD_REPLY_BY_KIND)
def test_odd_reply_to_a_start_is_no_usable_answer(kind, status):
    """Guards against a start whose answer ends the shard."""
    with pytest.raises(errors.PlatformUnavailable):
        with_answer(builders.ODD_REPLY_BY_KIND[kind], start, status=status)
