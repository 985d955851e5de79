"""An HTTP server with canned answers, and test data."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from tornado import httpserver, netutil, web

from limpetstream import clock
from limpetstream.platform import http, messages


@dataclasses.dataclass(slots=True)
class CannedAnswer:
    """The answer to every call, and the calls that were received.

    ``heads`` holds the headers of each call.
    """

    status: int = 200
    body: Any = None
    wait_s: float = 0.0
    calls: list[tuple[str, str, Any]] = dataclasses.field(default_factory=list)
    heads: list[dict[str, str]] = dataclasses.field(default_factory=list)


class _Handler(web.RequestHandler):
    def initialize(self, canned: CannedAnswer) -> None:
        self.canned = canned

    async def prepare(self) -> None:
        body = msgspec.json.decode(self.request.body) if self.request.body else None
        self.canned.calls.append((self.request.method, self.request.uri, body))
        self.canned.heads.append(dict(self.request.headers.get_all()))
        await asyncio.sleep(self.canned.wait_s)
        self.set_status(self.canned.status)
        raw = self.canned.body
        self.finish(raw if isinstance(raw, bytes) else msgspec.json.encode(raw))

    async def get(self) -> None:
        """Answer in ``prepare``."""

    async def post(self) -> None:
        """Answer in ``prepare``."""


@contextlib.asynccontextmanager
async def serve_canned_answer(
    **values: Any,
) -> AsyncIterator[tuple[CannedAnswer, http.Client]]:
    """Serve one canned answer on loopback; yield it with a client."""
    canned = CannedAnswer(**values)
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server = httpserver.HTTPServer(
        web.Application([(r".*", _Handler, {"canned": canned})], log_function=_quiet)
    )
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    client = http.Client(base_url=f"http://127.0.0.1:{port}", clock=clock.Clock())
    try:
        yield canned, client
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


def _quiet(handler: web.RequestHandler) -> None:
    """Discard the log line of a call."""


def make_start(**values: Any) -> messages.Start:
    """Return the request to start one small attempt."""
    defaults = {
        "attempt": "j/0/1",
        "task": "j/0",
        "job": "j",
        "work_class": "weekly-plan",
        "cores": 4.0,
        "memory_gb": 8.0,
        "accelerators": 0,
        "run_s": 10.0,
        "checkpoint": None,
        "lease_until_ms": 1_000,
    }
    return messages.Start(**{**defaults, **values})


def make_instance(instance_id: str = "w1", **values: Any) -> messages.Instance:
    """Return a worker of the instance list."""
    defaults = {"role": "worker", "data_centre": "gl-erie", "cores": 64.0}
    return messages.Instance(instance_id, **{**defaults, **values})
