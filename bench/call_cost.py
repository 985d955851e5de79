"""Measures the CPU time of a call over HTTP, beside tornado's own client.

Both send the same polls to a server in another process, in turns.
"""

import asyncio
import multiprocessing
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any

from tornado import curl_httpclient, httpclient

from bench import result
from limpetstream import clock as clocks
from limpetstream.platform import http

ROUNDS = 20
CALLS_PER_ROUND = 400
CONCURRENT = 8
BODY = b'{"token":12,"acknowledged_end":34567,"deadline_ms":1796550000000}'
HEADERS = {"X-Expected-Instance": "i-124b27e3"}
STATUS = b'{"clock_ms":1796550000000,"running":[],"ended":[],"born":1}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(STATUS), STATUS)
)

Send = Callable[[], Awaitable[Any]]


class _Server(asyncio.Protocol):
    """Answers each request once its body is complete."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.received = b""

    def data_received(self, data: bytes) -> None:
        self.received += data
        if self.received.endswith(BODY):
            self.received = b""
            self.transport.write(ANSWER)


async def _serve(pipe: Any) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Server, "127.0.0.1", 0)
    pipe.send(server.sockets[0].getsockname()[1])
    await asyncio.to_thread(pipe.recv)
    server.close()


def _server_main(pipe: Any) -> None:
    asyncio.run(_serve(pipe))


def run(seed: int) -> result.Result:
    """Measure the CPU time of a call with both clients."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(target=_server_main, args=(child_end,))
    process.start()
    try:
        us_by_client = asyncio.run(_measure(parent_end.recv()))
    finally:
        parent_end.send(None)
        process.join()
    ours, tornados = us_by_client["ours"], us_by_client["tornado"]
    figures: dict[str, object] = {
        "CPU time of a call, ours (us)": round(ours, 1),
        "CPU time of a call, tornado's (us)": round(tornados, 1),
        "ratio of ours to tornado's": round(ours / tornados, 3),
    }
    return result.Result("call_cost", seed, figures, {})


async def _measure(port: int) -> dict[str, float]:
    """Return the median CPU time of a call, in microseconds, by client."""
    url = f"http://127.0.0.1:{port}/limpetstream/hold"
    client = http.Client(base_url="", clock=clocks.Clock())
    tornados = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=CONCURRENT
    )
    send_by_client: dict[str, Send] = {
        "ours": lambda: client.call("POST", url, BODY, timeout_s=2.0, headers=HEADERS),
        "tornado": lambda: tornados.fetch(_tornado_request(url)),
    }
    rounds_by_client: dict[str, list[float]] = {name: [] for name in send_by_client}
    for _ in range(ROUNDS):
        for name, send in send_by_client.items():
            rounds_by_client[name].append(await _measure_round(send))
    client.close()
    tornados.close()
    return {
        name: statistics.median(rounds) * 1_000_000
        for name, rounds in rounds_by_client.items()
    }


def _tornado_request(url: str) -> httpclient.HTTPRequest:
    return httpclient.HTTPRequest(
        url,
        method="POST",
        body=BODY,
        headers={
            "Content-Type": "application/json",
            "Accept": "",
            "User-Agent": "",
            **HEADERS,
        },
        decompress_response=False,
        connect_timeout=0.5,
        request_timeout=2.0,
        follow_redirects=False,
        allow_nonstandard_methods=True,
    )


async def _measure_round(send: Send) -> float:
    """Return the seconds of CPU time that a call takes on the mean."""
    started = time.process_time()

    async def send_some() -> None:
        for _ in range(CALLS_PER_ROUND // CONCURRENT):
            await send()

    await asyncio.gather(*(send_some() for _ in range(CONCURRENT)))
    return (time.process_time() - started) / CALLS_PER_ROUND
