"""Tests of the backend stand-in on loopback: breaches and fault switches."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
import pytest
from tornado import curl_httpclient, httpclient

from limpetstream import clock
from limpetstream.platform import http
from standins import backend, backend_control, executor, platform


@dataclasses.dataclass(slots=True)
class Served:
    """A served executor with its clients."""

    executor: executor.Executor
    group: backend_control.ExecutorGroup
    control: http.Client
    curl: curl_httpclient.CurlAsyncHTTPClient

    async def send(
        self, request_id: str = "r1", *, timeout_s: float = 5.0, reuse: bool = False
    ) -> httpclient.HTTPResponse:
        """Send one desk request and return the response."""
        request = httpclient.HTTPRequest(
            f"http://127.0.0.1:{self.executor.port}/",
            method="POST",
            body=b"canopy",
            headers={"Request-Id": request_id},
            request_timeout=timeout_s,
            prepare_curl_callback=None if reuse else _fresh,
        )
        return await self.curl.fetch(request, raise_error=False)

    async def stats(self) -> dict[str, Any]:
        """Return the counters of the stand-in."""
        answer = await self.control.call("GET", "/stats", timeout_s=2.0)
        return msgspec.json.decode(answer.body)


def _fresh(handle: Any) -> None:
    handle.setopt(curl_httpclient.pycurl.FRESH_CONNECT, 1)
    handle.setopt(curl_httpclient.pycurl.FORBID_REUSE, 1)


@contextlib.asynccontextmanager
async def served(
    *, client: http.Client | None = None, slots: int = 8, **behaviour: Any
) -> AsyncIterator[Served]:
    """Serve one executor."""
    one = executor.Executor(
        "b1", "recover-desk", "gl-erie", "gl-erie-w1", slots=slots, connections=4
    )
    one.behaviour.merge({"median_ms": 1.0, **behaviour})
    async with backend.serve([one], client=client) as (group, url):
        control = http.Client(base_url=url, clock=clock.Clock())
        curl = curl_httpclient.CurlAsyncHTTPClient(force_instance=True, max_clients=50)
        try:
            yield Served(one, group, control, curl)
        finally:
            control.close()
            curl.close()


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition without a time limit, for slow machines."""
    while not condition():
        await asyncio.sleep(0.01)


def test_answer_is_complete_and_matches_its_request() -> None:
    """Guards against an incorrect answer that a caller cannot detect (I5)."""

    async def main() -> None:
        async with served(answer_bytes=5000) as one:
            response = await one.send("r1")
            fault = executor.fault_in_answer
            body = response.body
            assert fault(body, request_id="r1", body=b"canopy") is None
            assert fault(body, request_id="r2", body=b"canopy")
            assert fault(body, request_id="r1", body=b"other")
            assert fault(body[:-9], request_id="r1", body=b"canopy") == "not valid JSON"

    asyncio.run(main())


def test_split_answer_arrives_complete() -> None:
    """Guards against a split answer whose bytes differ."""

    async def main() -> None:
        async with served(split_bytes=50, split_pause_ms=1) as one:
            body = (await one.send()).body
            assert not executor.fault_in_answer(body, request_id="r1", body=b"canopy")

    asyncio.run(main())


def test_requests_over_the_slots_are_counted() -> None:
    """Guards against a slot counter that misses a breach (I1)."""

    async def main() -> None:
        async with served(slots=2, hang_probability=1.0) as one:
            one.executor.max_run_s = 60.0
            waiting = [asyncio.create_task(one.send(f"r{n}")) for n in range(2)]
            await until(lambda: one.executor.running == 2)
            assert (await one.stats())["breaches"]["over_slots"] == 0
            waiting.append(asyncio.create_task(one.send("r2")))
            await until(lambda: one.executor.running == 3)
            stats = await one.stats()
            assert stats["breaches"]["over_slots"] == 1
            assert stats["executors"]["b1"]["peak_running"] == 3
            for task in waiting:
                task.cancel()

    asyncio.run(main())


def test_connections_over_the_limit_are_counted() -> None:
    """Guards against counting requests instead of open connections."""

    async def main() -> None:
        async with served() as one:
            opened = [
                await asyncio.open_connection("127.0.0.1", one.executor.port)
                for _ in range(5)
            ]
            await one.send()
            for _, writer in opened:
                writer.close()
                await writer.wait_closed()
            stats = await one.stats()
            assert stats["breaches"]["over_connections"] == 2
            while (await one.stats())["executors"]["b1"]["connections"]:
                await asyncio.sleep(0.01)

    asyncio.run(main())


def test_request_is_ended_at_the_run_time_limit() -> None:
    """Guards against a hanging request that keeps its slot for ever."""

    async def main() -> None:
        async with served(hang_probability=1.0) as one:
            one.executor.max_run_s = 0.1
            assert (await one.send()).code == 504
            stats = (await one.stats())["executors"]["b1"]
            assert (stats["ended_at_limit"], stats["running"]) == (1, 0)

    asyncio.run(main())


def test_run_continues_without_its_client() -> None:
    """Guards against freeing the slot as soon as the client gives up."""

    async def main() -> None:
        async with served(hang_probability=1.0) as one:
            one.executor.max_run_s = 60.0
            with pytest.raises(httpclient.HTTPError):
                await one.send(timeout_s=0.1)
            await until(lambda: one.executor.counters.requests == 1)
            assert one.executor.running == 1
            assert one.group.run_counts() == {"r1": 1}

    asyncio.run(main())


def test_cut_before_the_first_byte_comes_after_the_run() -> None:
    """Guards against a cut that hides a run, and against libcurl's retry.

    On a fresh connection there is one run; on a reused one libcurl sends the
    request a second time without asking.
    """

    async def main() -> None:
        async with served() as one:
            await one.send("first", reuse=True)
            one.executor.behaviour.cut_probability = 1.0
            with pytest.raises(httpclient.HTTPError):
                await one.send("fresh")
            with pytest.raises(httpclient.HTTPError):
                await one.send("reused", reuse=True)
            assert one.group.run_counts() == {"first": 1, "fresh": 1, "reused": 2}
            assert (await one.stats())["run_twice"] == ["reused"]

    asyncio.run(main())


@pytest.mark.parametrize("behaviour", [{"cut_midway_probability": 1.0}, {"down": True}])
def test_broken_connections_give_no_answer(behaviour: dict[str, Any]) -> None:
    """Guards against half an answer that counts as complete."""

    async def main() -> None:
        async with served(**behaviour) as one:
            with pytest.raises(httpclient.HTTPError):
                await one.send()

    asyncio.run(main())


def test_late_and_failed_answers() -> None:
    """Guards against late answers that still hold their slot."""

    async def main() -> None:
        async with served(late_probability=1.0, late_ms=200) as one:
            with pytest.raises(httpclient.HTTPError):
                await one.send(timeout_s=0.1)
            await until(lambda: one.executor.counters.requests == 1)
            await until(lambda: one.executor.running == 0)
            changes = {"behaviour": {"late_probability": 0, "fail_probability": 1}}
            await one.control.call("POST", "/faults", changes, timeout_s=2.0)
            assert (await one.send("r2")).code == 500

    asyncio.run(main())


def test_interference_slows_requests() -> None:
    """Guards against a slowdown factor that is set but not applied."""

    async def main() -> None:
        async with served(median_ms=10, sigma=0) as one:
            for body in ({"by_worker": {"gl-erie-w1": 5}}, {"by_executor": {"b1": 9}}):
                await one.control.call("POST", "/interference", body, timeout_s=2.0)
                await one.send()
            assert one.executor.latencies_ms == pytest.approx([50.0, 90.0])

    asyncio.run(main())


def test_run_times_follow_the_seed() -> None:
    """Guards against run times that do not depend on the seed alone."""

    async def draw(seed: int) -> list[float]:
        one = executor.Executor("b1", seed=seed)
        one.behaviour.median_ms = 0.01
        for number in range(5):
            await one.run(f"r{number}")
        return one.latencies_ms

    first, again, other = (asyncio.run(draw(seed)) for seed in (1, 1, 2))
    assert first == again != other


def test_leave_is_listed_and_late_requests_are_counted() -> None:
    """Guards against a leave that the list or the counter misses (I8)."""

    async def main() -> None:
        async with platform.serve(layout="brightwater") as (served_platform, url):
            client = http.Client(base_url=url, clock=clock.Clock())
            async with served(client=client) as one:
                listed = served_platform.instance_registry.actual_by_id
                assert listed["b1"].state == "live"
                assert listed["b1"].slots == 8
                body = {"executors": ["b1"]}
                await one.control.call("POST", "/leave", body, timeout_s=2.0)
                assert listed["b1"].state == "leaving"
                await one.send("soon")
                assert (await one.stats())["breaches"]["after_leave"] == 0
                one.executor.leaving_at -= 4
                await one.send("late")
                assert (await one.stats())["breaches"]["after_leave"] == 1
                await one.control.call("POST", "/return", body, timeout_s=2.0)
                assert listed["b1"].state == "live"
            assert "b1" not in listed
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "body", [{"behaviour": {"no_such": 1}}, {"executors": ["b9"], "behaviour": {}}]
)
def test_unknown_names_are_refused(body: dict[str, Any]) -> None:
    """Guards against a fault that is requested but silently not set."""

    async def main() -> None:
        async with served() as one:
            answer = await one.control.call("POST", "/faults", body, timeout_s=2.0)
            assert answer.status == 400

    asyncio.run(main())
