"""Tests of requests that an entry instance has read as it closes its ports."""

import asyncio
import socket

import pytest
import tornado.web

from limpetstream import clock
from limpetstream.entry import servers

REQUEST = b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"


def answer_at_close(*, takes_s, sends_late):
    """Close a server that has, or gets, a request.

    Args:
        takes_s: Seconds that the answer takes.
        sends_late: Whether the request arrives as the server begins to close.

    Returns:
        What the caller has read, and how long the close took in seconds.
    """

    class SlowHandler(tornado.web.RequestHandler):
        async def get(self):
            await asyncio.sleep(takes_s)
            self.finish({"done": True})

    async def run():
        loop = asyncio.get_running_loop()
        sockets, port = servers.bind("127.0.0.1", 0)
        async with servers.serve(
            [("/slow", SlowHandler)],
            sockets=sockets,
            tls=None,
            clock=clock.Clock(),
            arguments={},
        ):
            connection = socket.create_connection(("127.0.0.1", port))
            if not sends_late:
                connection.sendall(REQUEST)
            await asyncio.sleep(0.05)
            if sends_late:
                connection.sendall(REQUEST)
            left_at = loop.time()
        with connection:
            connection.settimeout(1.0)
            try:
                read = connection.recv(65536)
            except ConnectionResetError:
                read = b""
        return read, loop.time() - left_at

    return asyncio.run(run())


@pytest.mark.parametrize("sends_late", [False, True])
def test_requests_that_were_read_are_answered_before_the_close(sends_late):
    """Guards against callers whose request is cut off by a planned stop.

    Only the requests of desks were waited for.
    """
    read, _took_s = answer_at_close(takes_s=0.3, sends_late=sends_late)
    assert read.startswith(b"HTTP/1.1 200") and read.endswith(b'{"done": true}')


def test_a_request_that_goes_on_does_not_delay_the_close_for_long():
    """Guards against a stop that waits for a caller that watches a job."""
    read, took_s = answer_at_close(takes_s=60.0, sends_late=False)
    assert read == b"" and took_s < servers.MAX_ANSWER_S + 1.0


def test_answers_to_unfinished_requests_hide_no_other_request():
    """Guards against a request in flight that a planned stop overlooks.

    An answer before the end of the body was subtracted, but never counted.
    """

    @tornado.web.stream_request_body
    class EarlyHandler(tornado.web.RequestHandler):
        def prepare(self):
            self.send_error(401)

        def data_received(self, chunk):
            pass

    async def run():
        sockets, port = servers.bind("127.0.0.1", 0)
        async with servers.serve(
            [("/early", EarlyHandler)],
            sockets=sockets,
            tls=None,
            clock=clock.Clock(),
            arguments={},
        ) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
            )
            answer = await reader.read()
            writer.close()
            return answer, server.load.in_flight

    answer, in_flight = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 401") and in_flight == 0
