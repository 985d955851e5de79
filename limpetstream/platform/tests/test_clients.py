"""Tests of the platform's clients with canned answers on loopback."""

import asyncio
import socket

import loguru
import pytest

from limpetstream import clock, errors
from limpetstream.platform import http, log, messages, workers
from limpetstream.platform.tests import builders


def test_append_sends_one_frame_and_returns_its_offset() -> None:
    """Guards against an append that is split into several frames."""

    async def main() -> None:
        async with builders.serve_canned_answer(body={"offset": 7}) as (canned, client):
            offset = await log.Log(client=client).append("control", ["a", "b"])
            assert offset == 7
            assert canned.calls == [
                ("POST", "/log/control/append", {"records": ["a", "b"]})
            ]

    asyncio.run(main())


@pytest.mark.parametrize("status", [400, 404, 500, 503])
def test_log_calls_fail_as_log_unavailable(status: int) -> None:
    """Guards against treating a failed append as confirmed."""

    async def main() -> None:
        async with builders.serve_canned_answer(status=status, body={}) as (_, client):
            with pytest.raises(errors.LogUnavailable):
                await log.Log(client=client).append("control", ["a"])
            with pytest.raises(errors.LogUnavailable):
                await log.Log(client=client).read("control", 0)

    asyncio.run(main())


def test_expired_offset_names_the_oldest_kept_one() -> None:
    """Guards against a reader that cannot learn where to restart."""

    async def main() -> None:
        answer = {"status": 410, "body": {"first": 40}}
        async with builders.serve_canned_answer(**answer) as (_, client):
            with pytest.raises(errors.OffsetExpired) as caught:
                await log.Log(client=client).read("control", 3)
            assert caught.value.first == 40

    asyncio.run(main())


def test_read_returns_frames_in_order() -> None:
    """Guards against renaming the fields of a page or of the query."""

    async def main() -> None:
        body = {
            "first": 1,
            "next": 4,
            "end": 9,
            "frames": [{"offset": 3, "records": ["x", "y"]}],
        }
        async with builders.serve_canned_answer(body=body) as (canned, client):
            page = await log.Log(client=client).read(
                "control", 3, max_frames=1, wait_ms=250
            )
            assert page == messages.Page(1, 4, 9, [messages.Frame(3, ["x", "y"])])
            uri = canned.calls[0][1]
            assert uri == "/log/control/read?from=3&max=1&wait_ms=250"

    asyncio.run(main())


def test_slow_answer_is_unavailable_after_the_time_limit() -> None:
    """Guards against waiting indefinitely for a platform that is silent."""

    async def main() -> None:
        async with builders.serve_canned_answer(wait_s=0.5, body={}) as (_, client):
            short_timeout_log = log.Log(client=client, append_timeout_s=0.05)
            with pytest.raises(errors.LogUnavailable):
                await short_timeout_log.append("control", ["a"])

    asyncio.run(main())


@pytest.mark.parametrize(
    "sent", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"]
)
def test_an_answer_that_is_cut_off_is_told_from_silence(sent: bytes) -> None:
    """Guards against a large answer that never gets a longer time limit."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await reader.read()
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.Client(base_url=f"http://127.0.0.1:{port}", clock=clock.Clock())
        with pytest.raises(errors.PlatformUnavailable) as caught:
            await client.call("GET", "/", timeout_s=0.2)
        assert caught.value.answer_began == bool(sent)
        client.close()
        server.close()
        await server.wait_closed()

    asyncio.run(main())


def test_refused_connection_is_unavailable() -> None:
    """Guards against a raw network error that reaches other packages."""

    async def main() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        client = http.Client(base_url=f"http://127.0.0.1:{port}", clock=clock.Clock())
        with pytest.raises(errors.PlatformUnavailable):
            await workers.WorkerClient(client=client).status("w1")
        client.close()

    asyncio.run(main())


def test_unreadable_body_is_unavailable() -> None:
    """Guards against accepting a truncated answer."""

    async def main() -> None:
        async with builders.serve_canned_answer(body=b'{"clock_ms": 5, "att') as (
            _,
            client,
        ):
            with pytest.raises(errors.PlatformUnavailable):
                await workers.WorkerClient(client=client).status("w1")

    asyncio.run(main())


def test_start_sends_class_and_keeps_the_workers_clock() -> None:
    """Guards against starts without a class, and a lost clock reading."""

    async def main() -> None:
        body = {
            "clock_ms": 5000,
            "answers": [{"attempt": "j/0/1", "result": "refused", "reason": "late"}],
        }
        async with builders.serve_canned_answer(body=body) as (canned, client):
            worker_client = workers.WorkerClient(client=client)
            started = await worker_client.start("w 1", [builders.make_start()])
            assert started.answers == [messages.StartAnswer("j/0/1", "refused", "late")]
            method, uri, sent = canned.calls[0]
            assert (method, uri) == ("POST", "/workers/w%201/start")
            assert sent["starts"][0]["class"] == "weekly-plan"
            assert "work_class" not in sent["starts"][0]
            reading = worker_client.reading_by_worker["w 1"]
            assert reading.at(reading.received_at + 0.25) == 5250

    asyncio.run(main())


def test_every_call_on_a_worker_has_its_path_and_answer() -> None:
    """Guards against a call to the wrong worker or action."""

    async def main() -> None:
        attempt = {"attempt": "a", "state": "throttled", "lease_until_ms": 9}
        body = {"clock_ms": 1, "attempts": [attempt], "attempt": attempt}
        async with builders.serve_canned_answer(body=body) as (canned, client):
            worker_client = workers.WorkerClient(client=client)
            status = await worker_client.status("w1")
            renewed = await worker_client.renew("w1", [messages.Lease("a", 9)])
            throttled = await worker_client.throttle("w1", "a", 0.5)
            checkpointed = await worker_client.checkpoint("w1", "a")
            stopped = await worker_client.stop("w1", "a")
            expected = messages.Attempt("a", "throttled", None, 9)
            assert status.attempts == renewed.attempts == [expected]
            assert throttled.attempt == stopped.attempt == expected
            assert checkpointed.checkpoint is None
            assert canned.calls == [
                ("GET", "/workers/w1", None),
                (
                    "POST",
                    "/workers/w1/renew",
                    {"leases": [{"attempt": "a", "lease_until_ms": 9}]},
                ),
                ("POST", "/workers/w1/throttle", {"attempt": "a", "share": 0.5}),
                ("POST", "/workers/w1/checkpoint", {"attempt": "a"}),
                ("POST", "/workers/w1/stop", {"attempt": "a"}),
            ]

    asyncio.run(main())


def test_usage_returns_samples() -> None:
    """Guards against rejecting samples that lack optional fields."""

    async def main() -> None:
        body = {"samples": [{"seq": 4, "at_ms": 1, "worker": "w1", "executor": "b1"}]}
        async with builders.serve_canned_answer(body=body) as (canned, client):
            samples = await workers.WorkerClient(client=client).usage(3)
            assert samples == [messages.Sample(4, 1, "w1", executor="b1")]
            assert canned.calls[0][1] == "/usage?since=3"

    asyncio.run(main())


def test_unexpected_answers_are_counted_but_logged_once() -> None:
    """Guards against a log line for each answer of an unsupported platform."""

    async def main() -> None:
        lines: list[str] = []
        sink = loguru.logger.add(lambda line: lines.append(str(line)), level="ERROR")
        async with builders.serve_canned_answer(status=404, body={}) as (_, client):
            for _ in range(5):
                with pytest.raises(errors.PlatformUnavailable):
                    await workers.WorkerClient(client=client).usage(0)
            assert (client.traffic.calls, client.traffic.failures) == (5, 5)
            assert client.traffic.received_bytes == 5 * len("{}")
        loguru.logger.remove(sink)
        assert len(lines) == 1

    asyncio.run(main())


def test_traffic_is_counted_by_the_kind_of_call() -> None:
    """Guards against a full link whose traffic nobody can tell apart."""

    async def main() -> None:
        async with builders.serve_canned_answer(body={}) as (_, client):
            await client.call("POST", "/calls/start", b"12345", timeout_s=5)
            await client.call("GET", "/calls/list?part=1", timeout_s=5)
            start, listing = (
                client.traffic_by_call[name] for name in ("start", "list")
            )
            assert (start.calls, listing.calls) == (1, 1)
            assert start.sent_bytes == len("/calls/start") + 5
            assert listing.received_bytes == len("{}")

    asyncio.run(main())


def test_a_call_has_no_headers_without_a_use() -> None:
    """Guards against bytes on a full link that nobody reads."""

    async def main() -> None:
        async with builders.serve_canned_answer(body={}) as (canned, client):
            await client.call("POST", "/calls/start", {}, timeout_s=5)
            used = {"Host", "Content-Type", "Content-Length"}
            assert canned.heads[0].keys() == used

    asyncio.run(main())


def test_clock_reading_never_runs_ahead_of_the_worker() -> None:
    """Guards against a clock estimate that would extend a lease too far."""
    reading = workers.ClockReading(1_000, received_at=10.0)
    assert reading.at(9.0) == 1_000
    assert reading.at(10.0009) == 1_000


def test_many_calls_are_in_flight_at_once() -> None:
    """Guards against calls to slow executors that delay each other."""
    count = 3 * http.INITIAL_HANDLES

    async def main() -> None:
        async with builders.serve_canned_answer(body={}, wait_s=30.0) as (
            canned,
            client,
        ):
            calls = [
                asyncio.create_task(client.call("GET", "/", timeout_s=30.0))
                for _ in range(count)
            ]
            async with asyncio.timeout(20.0):
                while len(canned.calls) < count:
                    await asyncio.sleep(0.01)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("path", "header"),
    [
        ("http://127.0.0.1\0:7000/", "i-1"),
        ("http://ex\u00e9cutor:7000/", "i-1"),
        ("http://127.0.0.1:\u0663/", "i-1"),
        ("http://\ud800:7000/", "i-1"),
        ("http://127.0.0.1:99999/", "i-1"),
        ("http://127.0.0.1:9/", "i-1\r\nX: y"),
        ("http://127.0.0.1:9/", "i-\ufffd"),
        ("http://127.0.0.1:9/", "i-\0"),
    ],
)
def test_call_that_cannot_be_sent_fails_like_one_without_an_answer(
    path: str, header: str
) -> None:
    """Guards against an address or id that raises an unexpected error."""

    async def main() -> None:
        client = http.Client(base_url="", clock=clock.Clock())
        try:
            with pytest.raises(errors.PlatformUnavailable):
                await client.call(
                    "GET", path, timeout_s=0.5, headers={"X-Expected-Instance": header}
                )
        finally:
            client.close()

    asyncio.run(main())


def test_a_call_that_was_never_sent_is_known_to_have_no_effect() -> None:
    """Guards against doubt about a call that an address refuses at once."""

    async def main() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        client = http.Client(base_url=f"http://127.0.0.1:{port}", clock=clock.Clock())
        with pytest.raises(errors.PlatformUnavailable) as caught:
            await client.call("POST", "/calls/start", {}, timeout_s=1.0)
        assert caught.value.not_applied
        client.close()

    asyncio.run(main())
