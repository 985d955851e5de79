"""Tests that calls on one libcurl handle do not affect each other."""

import asyncio
import time

import pytest

from limpetstream import clock, errors
from limpetstream.platform import http
from limpetstream.platform.tests import builders


def run_with_one_handle(use, **answer):
    """Run ``use`` with canned answers and a client that has one handle."""

    async def main():
        async with builders.serve_canned_answer(**answer) as (canned, client):
            single = http.Client(
                base_url=client.base_url, clock=clock.Clock(), max_clients=1
            )
            try:
                await use(canned, single)
            finally:
                single.close()

    asyncio.run(main())


def test_calls_of_all_methods_follow_each_other_on_a_handle():
    """Guards against a body or a method that stays set for the next call."""
    bodies_by_method = {
        "GET": [None],
        "HEAD": [None],
        "POST": [None, {"a": 1}],
        "PUT": [None, {"a": 1}],
        "PATCH": [None, {"a": 1}],
        "DELETE": [None, {"a": 1}],
    }
    kinds = [
        (method, body) for method, bodies in bodies_by_method.items() for body in bodies
    ]

    async def use(canned, client):
        expected = []
        for first in kinds:
            for second in kinds:  # Each kind follows each other one.
                for method, body in (first, second):
                    answer = await client.call(method, "/calls/x", body, timeout_s=5)
                    assert answer.body == (b"" if method == "HEAD" else b"{}")
                    assert answer.delivery.copies == (body is not None)
                    expected.append((method, "/calls/x", body))
        assert canned.calls == expected
        for (method, _, body), head in zip(canned.calls, canned.heads, strict=True):
            length = head.get("Content-Length")
            if body is not None:
                assert length == "7"
            else:
                assert length == ("0" if method in ("PATCH", "POST", "PUT") else None)

    run_with_one_handle(use, body={})


def test_a_header_of_one_call_is_not_sent_with_the_next():
    """Guards against a call that names the executor of an earlier one."""

    async def use(canned, client):
        headers = {"X-Expected-Instance": "i-1"}
        await client.call("POST", "/", {}, timeout_s=5, headers=headers)
        await client.call("POST", "/", {}, timeout_s=5)
        named = [head.get("X-Expected-Instance") for head in canned.heads]
        assert named == ["i-1", None]

    run_with_one_handle(use, body={})


def test_the_answer_to_a_cancelled_call_is_not_taken_for_another_one():
    """Guards against an answer that reaches the caller of the next call."""

    async def use(canned, client):
        cancelled = asyncio.create_task(client.call("POST", "/1", {}, timeout_s=5))
        while not canned.calls:
            await asyncio.sleep(0.01)
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        next_call = asyncio.create_task(client.call("POST", "/2", {}, timeout_s=5))
        while len(canned.calls) < 2:
            await asyncio.sleep(0.01)
        canned.body = {"call": 2}
        second = await next_call
        assert second.body == b'{"call":2}'
        assert second.delivery == errors.Delivery(200, 1, 0, True)
        assert [uri for _, uri, _ in canned.calls] == ["/1", "/2"]

    run_with_one_handle(use, body={"call": 1}, wait_s=0.2)


def test_calls_without_a_free_handle_are_sent_in_order():
    """Guards against calls that are lost while all handles are in use."""

    async def use(canned, client):
        answers = await asyncio.gather(
            *(client.call("GET", f"/{number}", timeout_s=5) for number in range(5))
        )
        assert [answer.status for answer in answers] == [200] * 5
        assert [uri for _, uri, _ in canned.calls] == ["/0", "/1", "/2", "/3", "/4"]

    run_with_one_handle(use, body={})


def test_a_failed_call_leaves_its_handle_usable():
    """Guards against a time limit or an error that affects the next call."""

    async def use(canned, client):
        for path in ("/slow", "http://127.0.0.1:99999/"):
            with pytest.raises(errors.PlatformUnavailable):
                await client.call("POST", path, {}, timeout_s=0.1)
        canned.wait_s = 0.2
        assert (await client.call("POST", "/2", {}, timeout_s=5)).status == 200

    run_with_one_handle(use, body={}, wait_s=1.0)


def test_a_short_time_limit_holds_beside_a_long_one():
    """Guards against a timer that is set for the longer limit only."""

    async def main():
        async with builders.serve_canned_answer(wait_s=30.0) as (_, client):
            long = asyncio.create_task(client.call("GET", "/long", timeout_s=20.0))
            await asyncio.sleep(0.05)
            for _ in range(2):
                started = time.monotonic()
                with pytest.raises(errors.PlatformUnavailable):
                    await client.call("GET", "/short", timeout_s=0.2)
                assert 0.15 < time.monotonic() - started < 2.0
            assert not long.done()
            long.cancel()
            await asyncio.gather(long, return_exceptions=True)

    asyncio.run(main())


def test_a_closed_client_sends_nothing():
    """Guards against calls that wait for ever after the end of a client."""

    async def main():
        async with builders.serve_canned_answer() as (_, client):
            client.close()
            with pytest.raises(RuntimeError):
                await client.call("GET", "/", timeout_s=0.2)

    asyncio.run(main())


def test_an_idle_connection_that_its_server_closes_is_replaced():
    """Guards against a closed socket that wakes the event loop for ever."""
    writers = []

    async def answer(reader, writer):
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await asyncio.sleep(0.1)
        writer.close()

    async def main():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.Client(base_url=f"http://127.0.0.1:{port}", clock=clock.Clock())
        try:
            for _ in range(2):
                answered = await client.call("GET", "/", timeout_s=5)
                assert answered.delivery.opened_connections == 1
                used_s = time.process_time()
                await asyncio.sleep(0.5)
                assert time.process_time() - used_s < 0.1
        finally:
            client.close()
            server.close()
            await server.wait_closed()
        assert len(writers) == 2

    asyncio.run(main())


def test_a_socket_number_is_used_again_by_another_connection():
    """Guards against a new connection whose answer nobody waits for."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()

    async def main():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.Client(base_url=f"http://127.0.0.1:{port}", clock=clock.Clock())
        try:
            for _ in range(30):
                await client.call("GET", "/", timeout_s=2)
        finally:
            client.close()
            server.close()
            await server.wait_closed()

    asyncio.run(main())
