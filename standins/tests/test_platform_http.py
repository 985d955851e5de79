"""Tests of the platform stand-in over HTTP with the product's clients."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from limpetstream import clock, errors
from limpetstream.platform import http, instances, log, messages, workers
from standins import platform, simulation


@contextlib.asynccontextmanager
async def served() -> AsyncIterator[tuple[simulation.Platform, http.Client]]:
    """Serve the workers of Brightwater; yield the platform and a client."""
    async with platform.serve(layout="brightwater") as (served_platform, url):
        client = http.Client(base_url=url, clock=clock.Clock())
        try:
            yield served_platform, client
        finally:
            client.close()


async def post(client: http.Client, path: str, body: Any) -> http.Answer:
    """Send a call that the product's clients do not offer."""
    return await client.call("POST", path, body, timeout_s=2.0)


def test_log_over_http() -> None:
    """Guards against a difference between the client and the stand-in."""

    async def main() -> None:
        async with served() as (served_platform, client):
            calls = log.Log(client=client)
            assert await calls.append("control", ["a", "ä"]) == 0
            page = await calls.read("control", 0, wait_ms=100)
            assert page.frames == [messages.Frame(0, ["a", "ä"])]
            await post(client, "/faults", {"log_keep_frames": 0})
            with pytest.raises(errors.OffsetExpired) as caught:
                await calls.read("control", 0)
            assert caught.value.first == 1
            await post(client, "/faults", {"log_down": True})
            with pytest.raises(errors.LogUnavailable):
                await calls.read("control", 1)
            assert served_platform.log.appends == 1

    asyncio.run(main())


def test_lost_answers_close_the_connection_after_the_effect() -> None:
    """Guards against answering 503 instead of losing the answer.

    libcurl sends a call again when a reused connection dies before the first
    response byte, so the frame may be there twice.
    """

    async def main() -> None:
        async with served() as (served_platform, client):
            calls = log.Log(client=client)
            await calls.append("control", ["a"])
            served_platform.set_faults(lost_answer_probability=1.0)
            with pytest.raises(errors.LogUnavailable):
                await calls.append("control", ["b"])
            page = await calls.read("control", 1)
            assert 1 <= len(page.frames) <= 2
            assert all(frame.records == ["b"] for frame in page.frames)

    asyncio.run(main())


def test_workers_over_http() -> None:
    """Guards against different field names in the calls on workers."""

    async def main() -> None:
        async with served() as (_, client):
            calls = workers.WorkerClient(client=client)
            clock_ms = (await calls.status("gl-erie-w1")).clock_ms
            start = messages.Start(
                "a", "t", "j", "c", 1, 1, 0, 60, None, clock_ms + 8000
            )
            started = await calls.start("gl-erie-w1", [start])
            assert started.answers[0].result == "started"
            lease = messages.Lease("a", clock_ms + 9000)
            renewed = await calls.renew("gl-erie-w1", [lease])
            assert renewed.attempts[0].lease_until_ms == clock_ms + 9000
            throttled = await calls.throttle("gl-erie-w1", "a", 0.5)
            assert throttled.attempt.state == "throttled"
            taken = await calls.checkpoint("gl-erie-w1", "a")
            assert taken.checkpoint.startswith("t@")
            stopped = await calls.stop("gl-erie-w1", "a")
            assert stopped.attempt.checkpoint == taken.checkpoint
            with pytest.raises(errors.PlatformUnavailable):
                await calls.status("no-such-worker")

    asyncio.run(main())


def test_list_and_executor_samples_over_http() -> None:
    """Guards against registered instances or samples that are dropped."""

    async def main() -> None:
        async with served() as (served_platform, client):
            served_platform.set_faults(list_lag_ms=0, usage_lag_ms=0)
            entry = {"id": "b1", "role": "backend", "address": "127.0.0.1:1"}
            await post(client, "/instances", {"instances": [entry]})
            directory = instances.Directory(
                fetch=instances.make_http_fetch(client), clock=clock.Clock()
            )
            assert await directory.refresh()
            assert len(directory.with_role("worker")) == 24
            assert directory.by_id["b1"].address == "127.0.0.1:1"
            await post(client, "/instances", {"remove": ["b1"]})
            await directory.refresh()
            assert "b1" not in directory.by_id
            sample = {"seq": 0, "at_ms": 0, "worker": "w", "executor": "b1"}
            await post(client, "/usage", {"samples": [sample]})
            found = await workers.WorkerClient(client=client).usage(0)
            assert [(s.seq, s.executor) for s in found] == [(1, "b1")]

    asyncio.run(main())


@pytest.mark.parametrize(
    "path, body, status",
    [
        ("/faults", {"no_such_switch": 1}, 400),
        ("/log/control/append", {"records": "a"}, 400),
        ("/workers/gl-erie-w1/start", {"starts": [{"attempt": "a"}]}, 400),
        ("/workers/none/stop", {"attempt": "a"}, 404),
        ("/data-centres/gl-erie", {"out": True}, 200),
        ("/breaches", {}, 405),
    ],
)
def test_calls_are_checked(path: str, body: Any, status: int) -> None:
    """Guards against invalid calls that are answered as successful."""

    async def main() -> None:
        async with served() as (_, client):
            assert (await post(client, path, body)).status == status

    asyncio.run(main())


def test_counters_over_http() -> None:
    """Guards against counters that the demo cannot read."""

    async def main() -> None:
        async with served() as (_, client):
            for path in ("/breaches", "/totals", "/tasks", "/pressure", "/faults"):
                answer = await client.call("GET", path, timeout_s=2.0)
                assert answer.status == 200 and answer.body[:1] == b"{"

    asyncio.run(main())
