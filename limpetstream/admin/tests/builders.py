"""Runs a deployment in a thread for blocking clients and command lines."""

import asyncio
import contextlib
import dataclasses
import hashlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from limpetstream.admin import client
from limpetstream.entry.tests import builders as entry_builders

CALLER_KEY = entry_builders.CALLER_KEY
OTHER_CALLER_KEY = "demo-caller-key-planner"
VIEWER_KEY = "key-of-an-operator-who-may-only-look"
START_TIMEOUT_S = 30.0
CONDITION_TIMEOUT_S = 10.0


# Without repr=False, the report of a failing test would take minutes to print.
@dataclasses.dataclass(slots=True, repr=False)
class System:
    """Client side of the running entry instances.

    Args:
        urls: Base URL of each instance.
        running: The instances; they run in another thread.
    """

    urls: list[str]
    running: list[entry_builders.RunningInstance]

    def connect(
        self, number: int = 0, key: str = entry_builders.OPERATOR_KEY
    ) -> client.Client:
        """Return a client of one instance with a key."""
        return client.Client(self.urls[number], key)

    def get(self, path: str, number: int = 0) -> Any:
        """Return the reply to a GET of the operators' API."""
        reply = self.connect(number).call("GET", f"/admin/v1/{path}")
        assert reply.status == 200, reply.body
        return reply.json()

    def version(self, number: int = 0) -> int:
        """Return the settings version that is in force at one instance."""
        return self.get("status", number)["settings_version"]

    def edit(self, path: str, number: int = 0, **fields: Any) -> client.Reply:
        """Set values of a node; ``fields`` overrides fields of the request.

        Args:
            path: Path of the node.
            number: Number of the instance to call.
            **fields: ``values`` to set, ``change`` with further fields of
                the change, and any further fields of the body.
        """
        values = fields.pop("values", {"timeout_ms": 1500})
        change = {"path": path, "set": values, **fields.pop("change", {})}
        body = {"changes": [change], "reason": "test", **fields}
        return self.connect(number).call("POST", "/admin/v1/edits", body)

    def wait_for_version(self, version: int) -> None:
        """Wait until a settings version is in force at all instances."""
        wait_until(
            lambda: all(self.version(i) >= version for i in range(len(self.urls)))
        )


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, at most CONDITION_TIMEOUT_S."""
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.02)


@contextlib.contextmanager
def system(*names: str) -> Iterator[System]:
    """Run stand-ins and entry instances in the event loop of a thread."""
    started, stop = threading.Event(), threading.Event()
    systems: list[System] = []

    async def serve() -> None:
        async with entry_builders.deployment(*names) as (running, _, _):
            systems.append(System([each.url for each in running], running))
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
        assert started.wait(START_TIMEOUT_S) and systems, "the deployment did not start"
        yield systems[0]
    finally:
        stop.set()
        thread.join()


def add_viewer(system_: System) -> None:
    """Add an operator whose only role is ``read``."""
    digest = hashlib.sha256(VIEWER_KEY.encode()).hexdigest()
    reply = system_.edit(
        "/operators/viewer",
        values={"key_sha256": [digest], "roles": ["read"]},
        change={"kind": "operator"},
    )
    assert reply.status == 200, reply.body
    system_.wait_for_version(reply.json()["version"])
