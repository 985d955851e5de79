"""Runs entry instances and the platform stand-in in the test process."""

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import tornado.curl_httpclient
import tornado.httpclient

from limpetstream import clock
from limpetstream.admin import client, seeding
from limpetstream.entry import (
    components as entry_components,
    core as cores,
    lifecycle as lifecycles,
    process,
)
from limpetstream.platform import http
from limpetstream.settings import schema
from standins import backend, layouts, platform

ROOT = pathlib.Path(__file__).resolve().parents[3]
OPERATOR_KEY = "demo-operator-key"
CALLER_KEY = "demo-caller-key-till"
READY_TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class RunningInstance:
    """A running entry instance.

    Args:
        url: Base URL for callers and operators.
        components: Components of the instance.
        lifecycle: Lifecycle state of the instance.
    """

    url: str
    components: entry_components.Components
    lifecycle: lifecycles.Lifecycle


async def call(
    url: str,
    method: str = "GET",
    *,
    key: str = "",
    body: Any = None,
    raw: bytes | None = None,
    headers: dict[str, str] | None = None,
    ca: str | None = None,
) -> tornado.httpclient.HTTPResponse:
    """Send one HTTP request and return the response, whatever its status."""
    sent = dict(headers or {})
    if key:
        sent["Authorization"] = f"Bearer {key}"
    content = raw if raw is not None else None
    if content is None and body is not None:
        content = msgspec.json.encode(body)
    request = tornado.httpclient.HTTPRequest(
        url,
        method=method,
        headers=sent,
        body=content,
        allow_nonstandard_methods=True,
        ca_certs=ca,
        request_timeout=15,
    )
    return await shared_client().fetch(request, raise_error=False)


def shared_client() -> tornado.curl_httpclient.CurlAsyncHTTPClient:
    """Return the HTTP client that tornado shares within the event loop."""
    return tornado.curl_httpclient.CurlAsyncHTTPClient(max_clients=200)


@contextlib.asynccontextmanager
async def instance(
    platform_url: str, name: str, *, data_centre: str = "gl-erie", **settings: Any
) -> AsyncIterator[RunningInstance]:
    """Run one entry instance within the block, from serving to its end."""
    instance_settings = schema.Instance(
        name,
        data_centre,
        platform_url,
        ["test-peer-key-0123456789"],
        caller_port=0,
        peer_port=0,
        stop_lag_s=settings.pop("stop_lag_s", 0.0),
        log_level="ERROR",
        **settings,
    )
    lifecycle = lifecycles.Lifecycle()
    async with contextlib.AsyncExitStack() as stack:
        core = stack.enter_context(cores.open_core(instance_settings))
        built = await stack.enter_async_context(
            process.serve_ports(instance_settings, core, lifecycle)
        )
        tasks = process.background_task_by_name(built, lifecycle)
        await stack.enter_async_context(lifecycles.run_in_background(core.clock, tasks))
        running = RunningInstance(
            f"http://{core.membership_agent.join.caller_address}", built, lifecycle
        )
        await ready(running)
        yield running


async def ready(running: RunningInstance) -> None:
    """Wait until an instance serves callers.

    Raises:
        TimeoutError: It does not serve within 20 s.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while running.lifecycle.state != lifecycles.SERVING:
            await asyncio.sleep(0.02)


async def seed(platform_url: str, tree: str = "brightwater") -> None:
    """Publish the example settings of a deployment on the log."""
    file = str(ROOT / "examples" / f"{tree}.jsonc")
    await asyncio.to_thread(seeding.publish, platform_url, file, "test")


@contextlib.asynccontextmanager
async def platform_only(layout: str = "brightwater") -> AsyncIterator[str]:
    """Serve a platform whose log contains the settings of a deployment.

    Yields:
        Base URL of the platform.
    """
    async with platform.serve(layout=layout) as (_, url):
        await seed(url, layout)
        yield url


@contextlib.asynccontextmanager
async def deployment(
    *names: str, layout: str = "brightwater"
) -> AsyncIterator[tuple[list[RunningInstance], Any, Any]]:
    """Run platform, backend servers and entry instances in this process.

    Yields:
        The instances, the platform's core and the executors.
    """
    chosen = layouts.layout_by_name[layout]
    async with contextlib.AsyncExitStack() as stack:
        core, url = await stack.enter_async_context(platform.serve(layout=layout))
        client_ = http.Client(base_url=url, clock=clock.Clock())
        stack.callback(client_.close)
        executors = backend.executors_of(chosen, seed=1)
        group, _ = await stack.enter_async_context(
            backend.serve(executors, client=client_)
        )
        await seed(url, layout)
        running = []
        for number, name in enumerate(names):
            data_centre = chosen.data_centres[number % len(chosen.data_centres)]
            started = instance(url, name, data_centre=data_centre)
            running.append(await stack.enter_async_context(started))
        yield running, core, group


def operator(url: str, key: str = OPERATOR_KEY) -> client.Client:
    """Return a blocking client for tests of command lines."""
    return client.Client(url, key)
