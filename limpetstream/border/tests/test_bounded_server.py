"""Tests of the bounds of a server, with connections on loopback addresses."""

import asyncio

import pytest

from limpetstream.border import bounded_server
from limpetstream.border.tests import server_builders

LARGE_BODY = b"x" * 4_000_000
HEAD_OVER_THE_LIMIT = server_builders.head(
    "HEAD", f"Content-Length: {bounded_server.MAX_BODY_BYTES + 1}"
)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        pytest.param(HEAD_OVER_THE_LIMIT, 413, id="refused"),
        pytest.param(server_builders.head("HEAD"), 200, id="answered"),
    ],
)
def test_answers_to_head_requests_have_no_body(request_bytes, status):
    """Guards against answers to HEAD that end with an error of the server."""

    async def run():
        async with server_builders.serving() as address:
            async with server_builders.connected(address) as (reader, writer):
                writer.write(request_bytes)
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write_eof()
                return head, await reader.read()

    head, rest = asyncio.run(run())
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert rest == b""


def test_a_head_request_gives_way_without_harm_to_others():
    """Guards against requests that fail because others are refused."""
    bounds = bounded_server.Bounds(max_memory_bytes=12_000)

    async def run():
        async with server_builders.serving(bounds) as address:
            async with server_builders.connected(address) as (_, writer):
                writer.write(server_builders.head("HEAD", "Content-Length: 2"))
                await asyncio.sleep(0.1)
                return await server_builders.status_of(address)

    assert asyncio.run(run()) == 200


def test_connections_with_unread_answers_make_room():
    """Guards against clients that read nothing and take all connections."""
    bounds = bounded_server.Bounds(max_connections=3)

    async def run():
        async with (
            server_builders.serving(bounds, body=LARGE_BODY) as address,
            server_builders.not_reading(address, bounds.max_connections),
        ):
            await server_builders.status_of(address)
            await asyncio.sleep(bounded_server.UNREAD_S + 0.1)
            return await server_builders.status_of(address)

    assert asyncio.run(run()) == 200


def test_busy_connections_make_room():
    """Guards against clients that take all connections and are never idle."""
    bounds = bounded_server.Bounds(max_connections=4)

    async def run():
        async with (
            server_builders.serving(bounds, answer_s=0.5) as address,
            server_builders.not_reading(address, bounds.max_connections),
        ):
            return await server_builders.status_of(address)

    assert asyncio.run(run()) == 200


def test_an_answer_that_is_not_read_ends_its_connection(monkeypatch):
    """Guards against answers that are kept as the server awaits no write."""
    monkeypatch.setattr(bounded_server, "WRITE_TIMEOUT_S", 0.5)

    async def run():
        async with (
            server_builders.serving_without_waiting(LARGE_BODY) as address,
            server_builders.not_reading(address, 1) as connections,
        ):
            await asyncio.sleep(3)
            return await server_builders.count_received(connections[0][0])

    assert asyncio.run(run()) < len(LARGE_BODY)
