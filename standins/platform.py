"""Serves the simulated platform over HTTP.

Run it with ``python -m standins.platform --port 9000``.
"""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator

import fire
from tornado import httpserver, ioloop, netutil

from limpetstream import clock
from standins import handlers, layouts, simulation

# Usage is sampled once a second; checking twice as often keeps it on time.
SAMPLING_CALL_INTERVAL_MS = 500


@contextlib.asynccontextmanager
async def serve(
    *, port: int = 0, layout: str = "none", seed: int = 1, host: str = "127.0.0.1"
) -> AsyncIterator[tuple[simulation.Platform, str]]:
    """Serve a platform while the context is open; yield it and its base URL.

    Args:
        port: Port to listen on; 0 takes a free one.
        layout: Key of ``layouts.layout_by_name``, whose workers it gets.
        seed: Seed of all random decisions.
        host: IP number to listen on.
    """
    platform = simulation.Platform(clock=clock.Clock(), seed=seed)
    platform.put_instances(layouts.layout_by_name[layout].workers())
    sockets = netutil.bind_sockets(port, host)
    server = httpserver.HTTPServer(handlers.application(platform))
    server.add_sockets(sockets)
    sampling = ioloop.PeriodicCallback(
        platform.usage.sample_attempts, SAMPLING_CALL_INTERVAL_MS
    )
    sampling.start()
    try:
        yield platform, f"http://{host}:{sockets[0].getsockname()[1]}"
    finally:
        sampling.stop()
        server.stop()
        await server.close_all_connections()


async def until_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()


def main(
    port: int = 9000, layout: str = "none", seed: int = 1, host: str = "127.0.0.1"
) -> None:
    """Serve a platform until SIGTERM or SIGINT."""

    async def serving() -> None:
        async with serve(port=port, layout=layout, seed=seed, host=host) as (_, url):
            print(f"platform stand-in on {url}", flush=True)
            await until_signal()

    asyncio.run(serving())


if __name__ == "__main__":
    fire.Fire(main)
