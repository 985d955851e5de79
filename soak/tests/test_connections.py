"""Tests of the HTTP client that the soak's callers use."""

import asyncio
import contextlib

from soak import _connections
from standins import processes

ANSWER = b"HTTP/1.1 503 -\r\nContent-Length: 2\r\n\r\n{}"


@contextlib.asynccontextmanager
async def open_server(answers):
    """Serve one answer for each request; None closes the connection instead.

    Yields the port, and the numbers of the connections on which requests came.
    """
    arrived = []
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        number = len(connections)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: 4" in head:
                    await reader.readexactly(4)
                arrived.append(number)
                answer = answers.pop(0)
                if answer is None:
                    break
                writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, _connections.HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1], arrived
    finally:
        server.close()
        for writer in connections:
            writer.close()


async def call(client, port):
    return await client.call(
        "POST", port, "/jobs/1", b"body", headers={"Host": "h"}, timeout_s=0.3
    )


def run_calls(answers, count):
    """Return the answers of some calls and the connections that they used."""

    async def run():
        client = _connections.Client()
        async with open_server(list(answers)) as (port, arrived):
            results = [await call(client, port) for _ in range(count)]
            client.close()
        return results, arrived

    return asyncio.run(run())


def test_a_request_is_not_sent_again_when_its_open_connection_breaks():
    """Guards against an answer to a second copy of the request."""
    results, arrived = run_calls([ANSWER, None, ANSWER], 2)
    assert [result.status for result in results] == [503, 0]
    assert results[1].was_sent
    assert arrived == [1, 1]


def test_a_call_after_a_broken_one_opens_a_connection():
    """Guards against calls that fail as an idle connection has ended."""
    results, arrived = run_calls([ANSWER, None, ANSWER], 3)
    assert [result.status for result in results] == [503, 0, 503]
    assert arrived == [1, 1, 2]


def test_a_part_of_an_answer_is_no_answer():
    """Guards against a status that is taken from an answer that was cut."""
    for part in (ANSWER[:-1], ANSWER[:20], b""):
        (result,), _arrived = run_calls([part], 1)
        assert (result.status, result.was_sent) == (0, True)


def test_a_refused_connection_sends_nothing():
    """Guards against a job that counts as perhaps stored without a request."""

    async def run():
        return await call(_connections.Client(), processes.free_port())

    result = asyncio.run(run())
    assert (result.status, result.was_sent) == (0, False)
