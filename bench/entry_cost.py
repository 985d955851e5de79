"""Measures the latency, CPU time and control work that an entry instance adds.

Client, entry instance and executors run in three processes on loopback.
Account entries count as recorded at once, so that only the product's own work
shows.
Control work is that of the desk: following the instance list and the settings,
and exchanging load summaries. The clients of log, rights and instance list are
not part of it.
"""

import asyncio
import dataclasses
import multiprocessing
import time
import tracemalloc
from typing import Any

import loguru
import tornado.httpclient

from bench import _desk_world, result
from limpetstream import clock as clocks
from limpetstream.border import identity
from limpetstream.desk import forwarding, messages
from limpetstream.desk.tests import builders, sockets
from limpetstream.peers import messages as peer_messages, signing
from limpetstream.settings import schema

RUN_S = 0.01  # Run time of each request at its executor.
CLIENTS = 8
ROUNDS = 40
REQUESTS_PER_ROUND = 100
EXECUTORS = 4
EXECUTOR_COUNTS = (24, 240, 2400)
CONTROL_DURATION_S = 20
LIST_INTERVAL_S = 0.3
MAX_CORE_SHARE = 0.044
MAX_MEMORY_BYTES = 128 * 1024 * 1024
MAX_BYTES_PER_S = 6 * 1024
BODY = b"x" * 500


async def _executor_main(pipe: Any) -> None:
    async def answer_request(reader: Any, writer: Any, number: int) -> None:
        await asyncio.sleep(RUN_S)
        writer.write(sockets.answer(BODY))

    async with sockets.executors(*[answer_request] * EXECUTORS) as executors:
        pipe.send([address for _, address in executors])
        await asyncio.to_thread(pipe.recv)


async def _entry_main(pipe: Any, addresses: list[str]) -> None:
    loguru.logger.disable("limpetstream")
    builders.COMMIT_S = 0.0
    async with sockets.node(addresses) as node, sockets.caller_port(node) as port:
        hashes = [identity.key_hash(sockets.KEY)]
        callers = {"c": schema.Caller(key_sha256=hashes)}
        node.desk.context.tree.by_caller = callers
        refreshing = asyncio.ensure_future(node.desk.run_refresh_loop())
        pipe.send(port)
        while await asyncio.to_thread(pipe.recv):
            pipe.send(time.process_time())
        refreshing.cancel()


def _process(main: Any, pipe: Any, *arguments: Any) -> None:
    asyncio.run(main(pipe, *arguments))


def _start(main: Any, *arguments: Any) -> tuple[Any, Any]:
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(target=_process, args=(main, child_end, *arguments))
    process.start()
    return process, parent_end


async def _send_requests(
    url: str, headers: dict[str, str], extra_headers: dict[str, str]
) -> Any:
    client = tornado.httpclient.AsyncHTTPClient()
    remaining = list(range(REQUESTS_PER_ROUND))
    seconds = []

    async def caller() -> None:
        while remaining:
            remaining.pop()
            started = time.perf_counter()
            answer = await client.fetch(
                url, method="POST", headers={**headers, **extra_headers}, body=BODY
            )
            assert answer.body == BODY
            seconds.append(time.perf_counter() - started)

    await asyncio.gather(*(caller() for _ in range(CLIENTS)))
    return seconds


async def _latencies(port: int, address: str, pipe: Any) -> dict[str, Any]:
    tornado.httpclient.AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=64
    )
    key = {"Authorization": f"Bearer {sockets.KEY}"}
    extra_headers = {"Idempotent": "true"}
    entry, direct_url = (
        f"http://127.0.0.1:{port}/v1/desk/desk",
        f"http://{address}/desk",
    )
    await _send_requests(entry, key, extra_headers)
    through, direct, cpu_s = [], [], 0.0
    for _ in range(ROUNDS):
        before = _entry_cpu_s(pipe)
        through += await _send_requests(entry, key, extra_headers)
        cpu_s += _entry_cpu_s(pipe) - before
        direct += await _send_requests(direct_url, {}, {})
    return {"through": through, "direct": direct, "cpu_s": cpu_s}


def _entry_cpu_s(pipe: Any) -> float:
    pipe.send(True)
    return pipe.recv()


def _measure_request_path() -> dict[str, Any]:
    executor, executor_pipe = _start(_executor_main)
    addresses = executor_pipe.recv()
    entry, entry_pipe = _start(_entry_main, addresses)
    try:
        port = entry_pipe.recv()
        return asyncio.run(_latencies(port, addresses[0], entry_pipe))
    finally:
        entry_pipe.send(False)
        executor_pipe.send(False)
        entry.join(10)
        executor.join(10)


@dataclasses.dataclass(slots=True)
class Control:
    """Control cost of one entry instance.

    Args:
        executors: Number of executors of the deployment.
        core_share: Share of one core.
        memory_mb: Memory in MiB.
        bytes_per_s: Bytes per second on the network.
    """

    executors: int
    core_share: float
    memory_mb: float
    bytes_per_s: int


async def _measure_control(size: int) -> Control:
    data_centre_count = 4 if size < 1000 else 25
    backends = {f"x{n}": f"dc{n % data_centre_count}" for n in range(size)}
    nodes = {f"entry{n}": f"dc{n % data_centre_count}" for n in range(7)}
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    world = builders.World(nodes, backends)
    with_world = tracemalloc.get_traced_memory()[0]
    builders.grant_all_groups(world)
    for node in world.by_id.values():
        node.holder.refresh()
    desk_bytes = tracemalloc.get_traced_memory()[0] - with_world
    tracemalloc.stop()
    bytes_per_instance = with_world - before + desk_bytes / len(nodes)
    measured = world.by_id["entry0"]
    spent = 0.0
    for step in range(round(CONTROL_DURATION_S / 0.1)):
        if step % round(LIST_INTERVAL_S / 0.1) == 0:
            world.directory.changes += 1
        started = time.process_time()
        measured.holder.refresh()
        measured.desk.router.update_reference_run_times(step * 0.1)
        if step % 10 == 0:
            await forwarding.exchange_loads(measured.desk)
        spent += time.process_time() - started
    return Control(
        size,
        round(spent / CONTROL_DURATION_S, 5),
        round(bytes_per_instance / 1024**2, 2),
        _exchange_bytes_per_s(measured),
    )


def _exchange_bytes_per_s(node: builders.Node) -> int:
    """Return bytes per second for one exchange begun and one served."""
    now = node.clock.monotonic()
    rows = node.desk.load_table.encode_rows(node.desk.router.local_loads(now), now)
    body = messages.pack(messages.LoadMessage(rows))
    signer = signing.Signer(node.id, lambda: ["k"], clocks.Clock())
    request_headers = signer.sign("POST", messages.LOAD_PATH, "entry1", body)
    reply_headers = signer.sign_reply("n" * 32, peer_messages.Reply(200, {}, body))
    request = _header_bytes(request_headers) + OTHER_REQUEST_BYTES + len(body)
    reply = _header_bytes(reply_headers) + OTHER_REPLY_BYTES + len(body)
    return 2 * (request + reply)


# Bytes of the request line, Host, Accept, Content-Type and Content-Length that
# libcurl sends, and of the status line, Date, Cache-Control, Content-Type and
# Content-Length that tornado sends.
OTHER_REQUEST_BYTES = 220
OTHER_REPLY_BYTES = 160


def _header_bytes(headers: dict[str, str]) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers.items())


def run(seed: int) -> result.Result:
    """Measure the request path over real sockets, and the control work."""
    loguru.logger.disable("limpetstream")
    timings = _measure_request_path()
    figures: dict[str, object] = {}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        through = _desk_world.quantile(timings["through"], share) * 1000
        direct = _desk_world.quantile(timings["direct"], share) * 1000
        figures[f"{name} ms through entry, straight, added"] = (
            round(through, 2),
            round(direct, 2),
            round(through - direct, 2),
        )
    figures["requests a second for one core"] = round(
        len(timings["through"]) / timings["cpu_s"]
    )
    costs = [asyncio.run(_measure_control(size)) for size in EXECUTOR_COUNTS]
    for cost in costs:
        figures[f"control with {cost.executors} executors"] = dataclasses.asdict(cost)
    first, last = costs[0], costs[-1]
    added_executors = last.executors - first.executors
    figures["slope per 1,000 executors: core share, MB, bytes/s"] = (
        round((last.core_share - first.core_share) / added_executors * 1000, 5),
        round((last.memory_mb - first.memory_mb) / added_executors * 1000, 2),
        round((last.bytes_per_s - first.bytes_per_s) / added_executors * 1000),
    )
    return result.Result(
        "entry_cost",
        seed,
        figures,
        {
            "control takes at most 4.4% of a core": all(
                cost.core_share <= MAX_CORE_SHARE for cost in costs
            ),
            "control takes at most 128 MB": all(
                cost.memory_mb * 1024**2 <= MAX_MEMORY_BYTES for cost in costs
            ),
            "control takes at most 6 KB/s": all(
                cost.bytes_per_s <= MAX_BYTES_PER_S for cost in costs
            ),
        },
    )
