"""Tests of the last requests of connections that a server closes."""

import asyncio
import socket

import pytest

from limpetstream.border import simple_server
from standins import processes

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def read_all(connection):
    """Read until the other side has closed a connection."""
    parts = []
    while part := connection.recv(65536):
        parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("cut_at", [0, 5, len(REQUEST)])
def test_a_request_in_the_socket_is_answered_before_the_close(cut_at):
    """Guards against a request that is read whole and never answered.

    A server counted what it had received only once it began to answer it, and
    closed its connections without looking at what their sockets held. The
    request arrives partly before and partly after the close has begun.
    """
    port = processes.free_port()

    async def answer(request):
        await asyncio.sleep(0.02)
        return simple_server.Response(200, b"{}")

    async def run():
        async with simple_server.serve(f"127.0.0.1:{port}", answer):
            connection = socket.create_connection(("127.0.0.1", port))
            await asyncio.sleep(0.05)  # The server has accepted it.
            connection.sendall(REQUEST[:cut_at])
            asyncio.get_running_loop().call_soon(connection.sendall, REQUEST[cut_at:])
        with connection:
            return read_all(connection)

    answer_ = asyncio.run(run())
    assert answer_.startswith(b"HTTP/1.1 200") and answer_.endswith(b"{}")
    assert b"Connection: close" in answer_


def test_a_server_closes_although_requests_go_on():
    """Guards against a stop that waits for the end of all requests."""
    port = processes.free_port()

    async def answer(request):
        await asyncio.sleep(60.0)
        return simple_server.Response(200)

    async def run():
        loop = asyncio.get_running_loop()
        async with simple_server.serve(f"127.0.0.1:{port}", answer):
            connection = socket.create_connection(("127.0.0.1", port))
            connection.sendall(REQUEST)
            await asyncio.sleep(0.05)
            left_at = loop.time()
        with connection:
            return loop.time() - left_at

    assert asyncio.run(run()) < 5.0
