"""Serves many simulated executors in one process, each on its own port.

``python -m standins.backend --platform-url URL --layout brightwater`` serves
one executor for each worker of a deployment and registers the executors with
the platform.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Iterable

import fire
import msgspec
from tornado import httpserver, netutil, web

from limpetstream import clock, errors
from limpetstream.platform import http, messages
from standins import backend_control, connection, executor, layouts, platform

HOST = "127.0.0.1"
REGISTER_TIMEOUT_S = 5.0
USAGE_REPORT_INTERVAL_S = 1.0
SLOWDOWN_POLL_INTERVAL_S = 0.25


def instance_of(served: executor.Executor) -> messages.Instance:
    """Return the instance that the platform lists for an executor."""
    return messages.Instance(
        served.id,
        "backend",
        address=f"{HOST}:{served.port}",
        data_centre=served.data_centre,
        state="live" if served.leaving_at == math.inf else "leaving",
        service=served.service,
        worker=served.worker,
        slots=served.slots,
        connections=served.connections,
    )


@contextlib.asynccontextmanager
async def serve(
    executors: Iterable[executor.Executor],
    *,
    control_port: int = 0,
    client: http.Client | None = None,
    follow_pressure: bool = False,
) -> AsyncIterator[tuple[backend_control.ExecutorGroup, str]]:
    """Serve executors and their control calls while the context is open.

    Args:
        executors: Executors to serve; each gets a free port.
        control_port: Port of the control calls; 0 takes a free one.
        client: Client of the platform to register with; None registers
            nowhere.
        follow_pressure: Whether tasks on the executors' workers slow down
            requests.
    """
    group = backend_control.ExecutorGroup({served.id: served for served in executors})
    async with contextlib.AsyncExitStack() as stack:
        # Bind the control port first; an executor may otherwise take it.
        url = await stack.enter_async_context(
            _serve_control_calls(group, control_port, client)
        )
        for served in group.executor_by_id.values():
            await stack.enter_async_context(_serve_executor(served))
        if client is not None:
            await stack.enter_async_context(_registration(group, client))
            loops = [_report_usage(group, client)]
            if follow_pressure:
                loops.append(_follow_slowdowns(group, client))
            for loop in loops:
                task = asyncio.create_task(loop)
                stack.callback(task.cancel)
        yield group, url


@contextlib.asynccontextmanager
async def _serve_executor(served: executor.Executor) -> AsyncIterator[None]:
    tasks: set[asyncio.Task[None]] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: connection.Connection(served, tasks), HOST, served.port
    )
    served.port = server.sockets[0].getsockname()[1]
    try:
        yield
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()


@contextlib.asynccontextmanager
async def _serve_control_calls(
    group: backend_control.ExecutorGroup, port: int, client: http.Client | None
) -> AsyncIterator[str]:
    async def on_state(changed: list[executor.Executor]) -> None:
        if client is not None:
            await _register(client, changed)

    values = {"group": group, "on_state": on_state}
    application = web.Application(
        [(r"/([a-z]+)", backend_control.Handler, values)],
        log_function=lambda handler: None,
    )
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(port, HOST)
    server.add_sockets(sockets)
    try:
        yield f"http://{HOST}:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()
        await server.close_all_connections()


async def _register(client: http.Client, executors: list[executor.Executor]) -> None:
    listed = [instance_of(served) for served in executors]
    await client.call(
        "POST", "/instances", {"instances": listed}, timeout_s=REGISTER_TIMEOUT_S
    )


@contextlib.asynccontextmanager
async def _registration(
    group: backend_control.ExecutorGroup, client: http.Client
) -> AsyncIterator[None]:
    await _register(client, list(group.executor_by_id.values()))
    try:
        yield
    finally:
        with contextlib.suppress(errors.PlatformUnavailable):
            removal = {"remove": list(group.executor_by_id)}
            await client.call(
                "POST", "/instances", removal, timeout_s=REGISTER_TIMEOUT_S
            )


async def _report_usage(
    group: backend_control.ExecutorGroup, client: http.Client
) -> None:
    """Every second, send a usage sample of each executor that ran requests."""
    while True:
        await asyncio.sleep(USAGE_REPORT_INTERVAL_S)
        samples = []
        for served in group.executor_by_id.values():
            latencies_ms, served.latencies_ms = served.latencies_ms, []
            if latencies_ms:
                samples.append(_sample(served, latencies_ms))
        if samples:
            with contextlib.suppress(errors.PlatformUnavailable):
                body = {"samples": samples}
                await client.call(
                    "POST", "/usage", body, timeout_s=USAGE_REPORT_INTERVAL_S
                )


def _sample(served: executor.Executor, latencies_ms: list[float]) -> messages.Sample:
    return messages.Sample(
        0,
        0,
        served.worker,
        executor=served.id,
        cores=float(served.running),
        slowdown=served.slowdown_factor,
        latency_ms=sum(latencies_ms) / len(latencies_ms),
    )


async def _follow_slowdowns(
    group: backend_control.ExecutorGroup, client: http.Client
) -> None:
    """Apply the slowdown by tasks on the executors' workers to requests."""
    while True:
        with contextlib.suppress(errors.PlatformUnavailable):
            answer = await client.call(
                "GET", "/pressure", timeout_s=USAGE_REPORT_INTERVAL_S
            )
            by_worker = msgspec.json.decode(answer.body, type=dict[str, float])
            group.set_slowdown_factors(by_worker=by_worker, by_executor={})
        await asyncio.sleep(SLOWDOWN_POLL_INTERVAL_S)


def executors_of(layout: layouts.Layout, *, seed: int) -> list[executor.Executor]:
    """Return one executor for each worker of a deployment."""
    return [
        executor.Executor(
            f"{layout.service}-{worker.id}",
            service=layout.service,
            data_centre=worker.data_centre,
            worker=worker.id,
            seed=seed,
        )
        for worker in layout.workers()
    ]


def main(
    platform_url: str,
    layout: str = "brightwater",
    control_port: int = 9001,
    seed: int = 1,
    follow_pressure: bool = True,
) -> None:
    """Serve one executor for each worker of a deployment until SIGTERM."""
    executors = executors_of(layouts.layout_by_name[layout], seed=seed)

    async def serving() -> None:
        client = http.Client(base_url=platform_url, clock=clock.Clock())
        async with serve(
            executors,
            control_port=control_port,
            client=client,
            follow_pressure=follow_pressure,
        ) as (_, url):
            print(f"backend stand-in, control calls on {url}", flush=True)
            await platform.until_signal()
        client.close()

    asyncio.run(serving())


if __name__ == "__main__":
    fire.Fire(main)
