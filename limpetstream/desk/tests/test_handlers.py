"""The caller port, over real sockets."""

import asyncio

import pytest
import tornado.httpclient

from limpetstream.border import identity
from limpetstream.desk.tests import builders, sockets
from limpetstream.settings import schema

AUTHORIZATION = {"Authorization": f"Bearer {sockets.KEY}"}


def run(main):
    """Run a coroutine on real time."""
    asyncio.run(main())


async def fetch(port, path="/v1/desk/desk", *, method="POST", body=b"b", **headers):
    """Call the caller port."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
    return await client.fetch(
        f"http://127.0.0.1:{port}{path}",
        method=method,
        body=body if method == "POST" else None,
        headers={**AUTHORIZATION, **named},
        raise_error=False,
        allow_nonstandard_methods=True,
    )


def set_caller_keys(node):
    """Register caller ``c`` with ``sockets.KEY``, and two other callers."""
    hashes = [identity.key_hash(sockets.KEY)]
    node.desk.context.tree.by_caller = {
        "c": schema.Caller(key_sha256=hashes),
        "d": schema.Caller(key_sha256=[identity.key_hash("other")]),
        "e": schema.Caller(
            key_sha256=[identity.key_hash("third")], services=["another"]
        ),
    }


def test_answer_headers_and_lookup():
    """Guards against answers without their outcome, and against lost ones."""

    async def main():
        async with (
            sockets.executors(sockets.good) as [(_, address)],
            sockets.node([address]) as node,
            sockets.caller_port(node) as port,
        ):
            set_caller_keys(node)
            answer = await fetch(port, Request_Id="r1", Idempotent="true")
            assert (answer.code, answer.body) == (200, b"answer 1")
            assert answer.headers["Outcome"] == "answered"
            assert answer.headers["Request-Id"] == "r1"
            assert answer.headers["Attempts"] == "1"
            found = await fetch(port, "/v1/requests/r1", method="GET")
            assert (found.code, found.body) == (200, b"answer 1")
            other = await fetch(
                port, "/v1/requests/r1", method="GET", Authorization="Bearer other"
            )
            assert other.code == 404
            assert b"answer 1" not in other.body
            generated = await fetch(port)
            assert generated.headers["Request-Id"].startswith("gen-")

    run(main)


@pytest.mark.parametrize("idempotent", ["true", "false"])
def test_connection_cut_before_the_first_byte(idempotent):
    """Guards against a second run, and against giving up too early."""

    async def main():
        scripts = [sockets.cut, sockets.cut]
        async with (
            sockets.executors(*scripts) as executors,
            sockets.node([address for _, address in executors]) as node,
            sockets.caller_port(node) as port,
        ):
            set_caller_keys(node)
            answer = await fetch(port, Idempotent=idempotent)
            sent = sum(len(executor.requests) for executor, _ in executors)
            assert sent == (2 if idempotent == "true" else 1)
            assert (answer.code, answer.headers["Outcome"]) == (504, "unknown")
            executors[0][0].script = executors[1][0].script = sockets.good
            again = await fetch(port, Idempotent=idempotent)
            assert again.code == 200

    run(main)


def test_idempotent_request_is_answered_elsewhere():
    """Guards against one bad executor that fails idempotent requests."""

    async def main():
        async with (
            sockets.executors(sockets.cut, sockets.good, sockets.good) as executors,
            sockets.node([address for _, address in executors]) as node,
            sockets.caller_port(node) as port,
        ):
            set_caller_keys(node)
            for _ in range(12):
                assert (await fetch(port, Idempotent="true")).code == 200

    run(main)


def test_nothing_written_is_not_run_and_may_be_repeated():
    """Guards against a wrong "not run", or one that uses up the request id."""

    async def main():
        async with sockets.executors(sockets.good) as [(executor, address)]:
            async with (
                sockets.node(["127.0.0.1:1"]) as node,
                sockets.caller_port(node) as port,
            ):
                set_caller_keys(node)
                answer = await fetch(port, Request_Id="r1", Idempotent="false")
                assert answer.headers["Outcome"] == "not-run"
                assert answer.code == 503
                assert int(answer.headers["Retry-After"]) >= 1
                await asyncio.sleep(0.2)
                node.world.directory.by_id["e0"].address = address
                node.world.directory.changes += 1
                await asyncio.sleep(0.3)
                node.holder.refresh()
                again = await fetch(port, Request_Id="r1", Idempotent="false")
                assert again.code == 200
                assert len(executor.requests) == 1

    run(main)


def test_answer_after_the_caller_left():
    """Guards against losing a request when its caller disconnects."""

    async def slow(reader, writer, number):
        await asyncio.sleep(0.3)
        await sockets.good(reader, writer, number)

    async def main():
        async with (
            sockets.executors(slow) as [(_, address)],
            sockets.node([address]) as node,
            sockets.caller_port(node) as port,
        ):
            set_caller_keys(node)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"POST /v1/desk/desk HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                b"Authorization: Bearer secret\r\nRequest-Id: r1\r\n\r\nx"
            )
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.close()
            for _ in range(100):
                await asyncio.sleep(0.02)
                found = await fetch(port, "/v1/requests/r1", method="GET")
                if found.code == 200:
                    break
            assert found.body == b"answer 1"

    run(main)


BAD = [
    ({"Authorization": "Bearer wrong"}, 401),
    ({"Authorization": "Bearer third"}, 403),
    ({"Request_Id": "a/b"}, 400),
    ({"Request_Id": "x" * 65}, 400),
    ({"Request_Id": "x\u00e9"}, 400),
    ({"Priority": "high"}, 400),
    ({"Idempotent": "yes"}, 400),
    ({"Deadline_Ms": "-1"}, 400),
    ({"Deadline_Ms": "1e3"}, 400),
    ({"Deadline_Ms": "0"}, 400),
    ({"body": b"x" * 70_000}, 413),
    ({"path": "/v1/desk/other"}, 404),
    ({"method": "PUT", "body": None}, 405),
    ({f"X-{n}": "1" for n in range(70)}, 400),
]


def test_bad_input_is_refused_before_anything_is_sent():
    """Guards against input that reaches an executor or causes a traceback."""

    async def main():
        async with (
            sockets.executors(sockets.good) as [(executor, address)],
            sockets.node([address], max_body_bytes=65_536) as node,
            sockets.caller_port(node) as port,
        ):
            set_caller_keys(node)
            for options, status in BAD:
                answer = await fetch(port, **options)
                assert answer.code == status, options
                assert b"reason" in answer.body
                assert b"Traceback" not in answer.body
            assert not executor.requests

    run(main)


async def send_raw(port, *chunks, pause_s=0.0):
    """Send raw bytes and return everything that is received."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in chunks:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_s)
    async with asyncio.timeout(5.0):
        received = await reader.read()
    writer.close()
    return received


def test_slow_senders_and_large_chunked_bodies_are_cut_off():
    """Guards against callers that occupy a connection and memory for long."""

    async def main():
        caller_limits = schema.Limits(header_timeout_s=0.2, body_timeout_s=0.2)
        head = (
            b"POST /v1/desk/desk HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer secret\r\nConnection: close\r\n"
        )
        async with (
            sockets.executors(sockets.good) as [(executor, address)],
            sockets.node([address], max_body_bytes=10) as node,
            sockets.caller_port(node, caller_limits) as port,
        ):
            set_caller_keys(node)
            assert await send_raw(port, b"POST /v1") == b""
            slow = await send_raw(port, head + b"Content-Length: 9\r\n\r\nx")
            assert b" 200 " not in slow
            chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
            large = await send_raw(
                port, chunked + b"14\r\n" + b"x" * 20 + b"\r\n0\r\n\r\n"
            )
            assert b" 200 " not in large
            fine = await send_raw(port, chunked + b"2\r\nhi\r\n0\r\n\r\n")
            assert b" 200 " in fine
            double = head + b"Request-Id: a\r\nRequest-Id: b\r\nContent-Length: 0\r\n"
            assert b" 400 " in await send_raw(port, double + b"\r\n")
            assert len(executor.requests) == 1

    run(main)


def test_requests_in_a_queue_keep_their_answers_apart():
    """Guards against mixing up answers that arrive out of order."""

    async def echo(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        body = await reader.readexactly(length)
        await asyncio.sleep(0.2 - 0.02 * int(body) % 0.2)
        writer.write(sockets.answer(b"for " + body))
        await writer.drain()
        writer.close()

    async def main():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with sockets.node([address]) as node:
            requests = [
                builders.request(node.world, f"r{n}", body=str(n).encode())
                for n in range(8)
            ]
            answers = await asyncio.gather(
                *(node.desk.handle(each) for each in requests)
            )
            assert [each.body for each in answers] == [
                b"for %d" % n for n in range(len(requests))
            ]
        server.close()

    run(main)
