"""A whole deployment in a thread, for blocking clients and command lines."""

import asyncio
import contextlib
import dataclasses
import hashlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from limpetstream.admin import client
from limpetstream.entry.tests import builders as entries

CALLER_KEY = entries.CALLER_KEY
OTHER_CALLER_KEY = "demo-caller-key-planner"
VIEWER_KEY = "key-of-an-operator-who-may-only-look"
START_S = 30.0
FOLLOW_S = 10.0


# The whole system in a failing example's text would take minutes to print.
@dataclasses.dataclass(slots=True, repr=False)
class System:
    """Running entry instances.

    Args:
        urls: Base URL of each instance.
        running: The instances themselves; read them only.
    """

    urls: list[str]
    running: list[entries.RunningInstance]

    def connect(
        self, number: int = 0, key: str = entries.OPERATOR_KEY
    ) -> client.Client:
        """Return a client of one instance."""
        return client.Client(self.urls[number], key)

    def get(self, path: str, number: int = 0) -> Any:
        """Return what an operator sees."""
        reply = self.connect(number).call("GET", f"/admin/v1/{path}")
        assert reply.status == 200, reply.body
        return reply.json()

    def version(self, number: int = 0) -> int:
        """Return the version of the settings at one instance."""
        return self.get("status", number)["settings_version"]

    def edit(self, path: str, number: int = 0, **fields: Any) -> client.Reply:
        """Set values of a node; ``fields`` may replace parts of the body."""
        values = fields.pop("values", {"timeout_ms": 1500})
        change = {"path": path, "set": values, **fields.pop("change", {})}
        body = {"changes": [change], "reason": "test", **fields}
        return self.connect(number).call("POST", "/admin/v1/edits", body)

    def follow(self, version: int) -> None:
        """Wait until all instances have a version of the settings."""
        wait_until(
            lambda: all(self.version(i) >= version for i in range(len(self.urls)))
        )


def wait_until(holds: Callable[[], bool]) -> None:
    """Wait for a condition that must come true."""
    until = time.monotonic() + FOLLOW_S
    while not holds():
        assert time.monotonic() < until, "it did not come true in time"
        time.sleep(0.02)


@contextlib.contextmanager
def system(*names: str) -> Iterator[System]:
    """Run stand-ins and entry instances in an event loop of their own."""
    started, stop = threading.Event(), threading.Event()
    found: list[System] = []

    async def serve() -> None:
        async with entries.deployment(*names) as (running, _, _):
            found.append(System([each.url for each in running], running))
            started.set()
            while not stop.is_set():
                await asyncio.sleep(0.02)

    def run() -> None:
        try:
            asyncio.run(serve())
        finally:
            started.set()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        assert started.wait(START_S) and found, "the deployment did not start"
        yield found[0]
    finally:
        stop.set()
        thread.join()


def add_viewer(running: System) -> None:
    """Add an operator whose only role is ``read``."""
    digest = hashlib.sha256(VIEWER_KEY.encode()).hexdigest()
    reply = running.edit(
        "/operators/viewer",
        values={"key_sha256": [digest], "roles": ["read"]},
        change={"kind": "operator"},
    )
    assert reply.status == 200, reply.body
    running.follow(reply.json()["version"])
