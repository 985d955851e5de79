"""Test helpers of accounts: a cluster of instances on an in-memory log."""

import asyncio
import contextlib
import dataclasses
from typing import Any

from limpetstream import errors
from limpetstream.accounts import (
    compaction,
    export,
    index,
    ledger as ledgers,
    messages,
    stream as streams,
    witness as witnesses,
)
from limpetstream.settings.tests import builders
from standins import virtual_time

Log = builders.MemoryLog


@dataclasses.dataclass(slots=True)
class Reply:
    """Reply of a call to a peer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Peers:
    """Peer client of one instance, with injected faults."""

    cluster: "Cluster"
    instance: str

    async def call(
        self,
        member_id: str,
        path: str,
        body: bytes,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float,
    ) -> Reply:
        assert path == witnesses.WITNESS_PATH
        if member_id in self.cluster.unreachable:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachable(member_id)
        node = self.cluster.node_by_id.get(member_id)
        if node is None:
            raise errors.PeerGone(member_id)
        await asyncio.sleep(0.01)
        try:
            node.ledger.accept_copy(self.instance, body)
        except errors.Rejected as error:
            return Reply(error.status, {}, error.reason.encode())
        return Reply(200, {}, b"")


@dataclasses.dataclass(slots=True)
class Node:
    """Ledger and compactor of one instance."""

    ledger: ledgers.Ledger
    compactor: compaction.Compactor
    exit_stack: contextlib.AsyncExitStack


@dataclasses.dataclass(slots=True)
class Cluster:
    """Instances that start and die; ``members`` keeps the ids of dead ones."""

    log: Log = dataclasses.field(default_factory=Log)
    append_s: float = 0.005
    loop: virtual_time.Loop = dataclasses.field(default_factory=virtual_time.Loop)
    node_by_id: dict[str, Node] = dataclasses.field(default_factory=dict)
    members: list[str] = dataclasses.field(default_factory=list)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    started: int = 0

    def run(self, main: Any) -> Any:
        return self.loop.run_until_complete(main)

    async def append(self, lines: list[str]) -> int:
        await asyncio.sleep(self.append_s)
        return await self.log.append(messages.STREAM, lines)

    def stream(self) -> streams.AccountStream:
        return streams.AccountStream(self.log, index.Index())

    async def start(self, **options: Any) -> Node:
        self.started += 1
        name = f"e{self.started}"
        clock = virtual_time.make_clock(self.loop)
        witness = witnesses.WitnessClient(
            name, Peers(self, name), lambda: list(self.members), clock
        )
        ledger = ledgers.Ledger(
            name, self.append, self.stream(), witness, clock, **options
        )
        compactor = compaction.Compactor(
            name,
            self.append,
            ledger.stream,
            ledger.outbox.encoder,
            lambda: list(self.members),
            clock,
            retention_s=7200,
            interval_s=600,
        )
        node = Node(ledger, compactor, contextlib.AsyncExitStack())
        await node.exit_stack.enter_async_context(ledger.running())
        self.node_by_id[name] = node
        self.members.append(name)
        return node

    async def kill(self, name: str) -> None:
        node = self.node_by_id.pop(name)
        await node.exit_stack.aclose()

    async def close(self) -> None:
        for name in list(self.node_by_id):
            await self.kill(name)


def run(main: Any, **options: Any) -> None:
    """Run a test against a cluster in virtual time."""
    cluster = Cluster(**options)
    virtual_time.run(main(cluster), loop=cluster.loop)


async def whole_account(
    stream: streams.AccountStream, caller: str, limit: int = 1000
) -> list[export.Page]:
    """Export a whole account, verify its chain and return the pages."""
    pages: list[export.Page] = []
    after = ""
    while not pages or not pages[-1].complete:
        pages.append(await export.export(stream, caller, after=after, limit=limit))
        after = pages[-1].after
    export.verify(pages)
    return pages


def entry(**changed: Any) -> messages.Entry:
    """Return an entry of caller ``till`` with some fields changed."""
    plain = messages.Entry(
        "till", "r1", "desk", 1_800_000_000_000, 0, 0, "ab12", "e1", 1, ""
    )
    return dataclasses.replace(plain, **changed)
