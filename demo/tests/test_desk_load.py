"""Tests of the outcomes that the callers of the demonstration record."""

import asyncio
import types

import pytest

from demo import desk_load, http_client
from tests import breaking_servers

REFUSAL = {"Outcome": "not-run"}


def send_through_a_break(*, listens: bool, idempotent: bool):
    """Send two requests; the connection of the second one breaks.

    The first instance carries out what it gets and resets the connection. The
    second one refuses everything.

    Returns:
        The second request, and how many calls each instance got.
    """

    async def run():
        first = breaking_servers.BreakingServer(lambda path, body: {})
        second = breaking_servers.BreakingServer(lambda path, body: {})
        first.refusal_headers = second.refusal_headers = REFUSAL
        first.listens_after_break = listens
        second.status = breaking_servers.REFUSED
        client = http_client.HttpClient()
        async with first.listening(), second.listening():
            entries = [
                types.SimpleNamespace(
                    id=str(number), url=f"http://127.0.0.1:{server.port}", is_ready=True
                )
                for number, server in enumerate((first, second))
            ]
            generator = desk_load.LoadGenerator(
                plan=types.SimpleNamespace(
                    key_by_caller={"till": "key"},
                    layout=types.SimpleNamespace(service="desk"),
                    desk_body=0,
                ),
                cluster=types.SimpleNamespace(
                    entries_to_try=lambda count: iter(entries)
                ),
                client=client,
                seed=1,
            )
            requests = [
                desk_load.SentRequest(f"till-{number}", "till", idempotent, b"body")
                for number in range(2)
            ]
            try:
                await generator._send(requests[0])
                first.break_next = "/v1/desk/desk"
                await generator._send(requests[1])
            finally:
                client.close()
            return requests[1], len(first.paths), len(second.paths)

    return asyncio.run(run())


@pytest.mark.parametrize("listens", [True, False])
def test_a_request_whose_first_try_was_cut_off_is_not_recorded_as_refused(listens):
    """Guards against a breach that no reply has caused.

    The HTTP library sent a request again, and took the refusal of the second
    copy, or of its connection, for the answer to both.
    """
    request, first, second = send_through_a_break(listens=listens, idempotent=True)
    assert (request.outcome, request.cut_off_by) == ("unknown", ["0"])
    assert (first, second) == (2, 1)


@pytest.mark.parametrize("listens", [True, False])
def test_a_non_idempotent_request_is_not_moved_after_its_connection_broke(listens):
    """Guards against a caller that causes a second run itself (I7)."""
    request, first, second = send_through_a_break(listens=listens, idempotent=False)
    assert (request.outcome, request.cut_off_by) == ("no-reply", ["0"])
    assert (first, second) == (2, 0)
