"""Fakes of the interfaces in section 3.4 of the design, on virtual time.

``World`` simulates entry instances, executors and a log.
"""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from limpetstream import clock as clocks, errors
from limpetstream.desk import (
    context as contexts,
    forwarding,
    holder,
    intents,
    messages,
    retry_budget,
    sender,
    service,
    slots,
)
from limpetstream.peers import messages as peer_messages
from limpetstream.records import codec, registry, view
from limpetstream.settings import schema
from limpetstream.telemetry import histograms, metrics

COMMIT_S = 0.05
CONNECTIONS = 64


@dataclasses.dataclass
class Instance:
    """Entry of the instance list."""

    id: str
    address: str = ""
    role: str = "backend"
    data_centre: str = "dc0"
    rack: str = "r0"
    state: str = "live"
    service: str = "desk"
    worker: str = "w0"


@dataclasses.dataclass
class Member:
    """Entry of the member list."""

    id: str
    data_centre: str = "dc0"
    peer_address: str = ""
    leaving: bool = False


@dataclasses.dataclass
class Holding:
    """Holder of a resource."""

    instance: str
    epoch: int = 1
    renewed_offset: int = 0
    clean: bool = False


@dataclasses.dataclass
class Right:
    """Right of an instance on a group."""

    epoch: int
    expires_at: float

    def ensure_valid_at(self, now: float) -> None:
        """Raise when the right has ended."""
        if now >= self.expires_at:
            raise errors.RightEnded("ended")


class Directory:
    """Instance list that is always fresh unless ``read_at`` is set."""

    def __init__(self, instances, now: Callable[[], float]) -> None:
        self.by_id = {each.id: each for each in instances}
        self.now = now
        self.read_at: float | None = None
        self.changes = 0

    @property
    def fresh_at(self) -> float:
        """Return a time of the list that changes only with its content."""
        return self.changes

    def age(self, now: float) -> float:
        """Return the age in seconds."""
        return 0.0 if self.read_at is None else now - self.read_at


class Tree:
    """Settings tree with one service; data centres are created on use."""

    def __init__(self, **fields: Any) -> None:
        self.by_service = {"desk": schema.Service(**fields)}
        self.by_data_centre: dict[str, schema.DataCentre] = {}
        self.by_caller = {"c": schema.Caller(key_sha256=["k"])}
        self.version = 1

    def service(self, name: str) -> schema.Service:
        """Return a service or raise KeyError."""
        return self.by_service[name]

    def data_centre(self, name: str) -> schema.DataCentre:
        """Return a data centre; created on first use."""
        return self.by_data_centre.setdefault(name, schema.DataCentre())

    def caller_by_key(self, sha256: str) -> tuple[str, schema.Caller] | None:
        """Find a caller by the hash of its key."""
        for name, caller in self.by_caller.items():
            if sha256 in caller.key_sha256:
                return name, caller
        return None


class Log:
    """Control stream with a delay, outages and lost answers."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.frames: list[list[str]] = []
        self.up = True
        self.delay_s = 0.01
        self.lose_answers = 0


class Committer:
    """Appends each record as a frame of its own and reads it back."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.sequence = 0

    async def append(self, kind, body, *, resource=None, epoch=0, timeout_s=5.0):
        """Follow the contract of ``records.committer``."""
        node, log = self.node, self.node.world.log
        await node.wait_while_paused()
        await asyncio.sleep(log.delay_s)
        if not log.up or node.cut_off:
            await asyncio.sleep(timeout_s)
            raise errors.LogUnavailable("down")
        # Timers of the same time fire in any order, so the sequence number is
        # taken only now.
        self.sequence += 1
        record_body = msgspec.to_builtins(body)
        envelope = codec.Envelope(
            kind, 1, node.id, self.sequence, record_body, resource
        )
        log.frames.append([codec.encode(envelope)])
        offset = len(log.frames) - 1
        if log.lose_answers > 0:
            log.lose_answers -= 1
            await asyncio.sleep(timeout_s)
            raise errors.LogUnavailable("answer lost")
        await asyncio.sleep(log.delay_s)
        await node.wait_while_paused()
        node.read()
        if offset not in node.apply_result_by_offset:
            raise errors.LogUnavailable("not read back")
        return node.apply_result_by_offset[offset]


class Accounts:
    """Ledger whose entries are durable after ``COMMIT_S``."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.entry_by_key: dict[tuple[str, str], list[Any]] = {}
        self.received_at: dict[tuple[str, str], float] = {}
        self.usable = True
        self.hang = False

    def record_receipt(self, caller, request_id, *, kind, received_ms, body_hash):
        """Record that a request was received."""
        key = (caller, request_id)
        self.entry_by_key.setdefault(key, []).append("received")
        self.received_at[key] = self.node.world.loop_time()
        return key

    async def wait_until_recorded(self, receipt, *, timeout_s):
        """Wait until an entry is durable; time out while ``hang`` is set."""
        # ``COMMIT_S`` is about the time of a group commit and its read-back.
        committed = self.received_at[receipt] + COMMIT_S
        wait_s = max(0.0, committed - self.node.world.loop_time())
        if self.hang or wait_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise errors.LogUnavailable("no witness")
        await asyncio.sleep(wait_s)

    def record_outcome(self, receipt, *, state, attempts, detail=""):
        """Record the outcome of a request."""
        self.entry_by_key[receipt].append((state, attempts))

    def can_record(self, now):
        """Tell whether entries can be recorded."""
        return self.usable


class Peers:
    """Delivers messages between the nodes of a world."""

    def __init__(self, node: "Node") -> None:
        self.node = node

    async def call(self, member_id, path, body, *, headers=None, timeout_s):
        """Follow the contract of ``peers.client``."""
        world, source = self.node.world, self.node
        world.calls.append((source.id, member_id, path))
        target = world.by_id.get(member_id)
        if target is None or target.dead:
            raise errors.PeerGone(member_id)
        work = asyncio.get_running_loop().create_task(self._deliver(target, path, body))
        done, _ = await asyncio.wait([work], timeout=timeout_s)
        await source.wait_while_paused()
        if not done:
            raise errors.PeerUnreachable("no reply in time")
        return work.result()

    async def _deliver(self, target, path, body):
        world = self.node.world
        delay_s = world.delay_s(self.node.data_centre, target.data_centre)
        await asyncio.sleep(delay_s)
        await target.wait_while_paused()
        if target.dead:
            raise errors.PeerGone(target.id)
        try:
            serving = target.serve(path, self.node.id, body)
            reply = await serving
        except (errors.LimpetstreamError, asyncio.CancelledError) as error:
            raise errors.PeerUnreachable(str(error)) from error
        await target.wait_while_paused()
        if target.dead:
            raise errors.PeerUnreachable("cut")
        await asyncio.sleep(delay_s)
        return reply


@dataclasses.dataclass
class Backend:
    """Executor that counts the requests that exceed its slots or connections.

    Such a request waits, as in a real server, and counts as a breach.
    """

    id: str
    data_centre: str
    slots: int = 8
    running: int = 0
    peak_running: int = 0
    breaches: int = 0
    slowdown: float = 1.0
    dead: bool = False
    runs_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    gate: asyncio.Semaphore | None = None

    async def run(self, request: messages.Request, run_s: float, max_run_s: float):
        """Run a request to its end; return whether it was answered."""
        self.runs_by_id[request.request_id] = (
            self.runs_by_id.get(request.request_id, 0) + 1
        )
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        self.breaches += self.running > self.slots or self.running > CONNECTIONS
        self.gate = self.gate or asyncio.Semaphore(self.slots)
        try:
            async with self.gate:
                taken_s = run_s * self.slowdown
                await asyncio.sleep(min(taken_s, max_run_s))
            return taken_s <= max_run_s and not self.dead
        finally:
            self.running -= 1


class Sender:
    """Sends to the executors of a world after the check of each send."""

    def __init__(self, node: "Node") -> None:
        self.node = node

    async def send(self, executor, request, service, *, timeout_s, check):
        """Follow the contract of ``sender.Sender``."""
        world, now = self.node.world, self.node.world.loop_time
        backend = world.backend_by_id[executor.id]
        await self.node.wait_while_paused()
        started = now()
        check()
        world.sends.append((self.node.id, executor.id, request.key, started))
        delay_s = world.delay_s(self.node.data_centre, executor.data_centre)
        if backend.dead:
            await asyncio.sleep(2 * delay_s)
            return sender.SendResult(None, False, "refused", now() - started)
        work = world.spawn(self._run(backend, request, service, delay_s))
        done, _ = await asyncio.wait([work], timeout=timeout_s)
        await self.node.wait_while_paused()
        run_s = now() - started
        if not done or not work.result():
            return sender.SendResult(None, True, "no answer", run_s)
        body = b"answer to " + request.body
        answer = messages.Answer(
            "answered",
            200,
            {},
            body,
            data_centre=executor.data_centre,
            executor_s=run_s,
        )
        return sender.SendResult(answer, True, "", run_s)

    async def _run(self, backend, request, service, delay_s):
        await asyncio.sleep(delay_s)
        run_s = self.node.world.run_s(request)
        ok = await backend.run(request, run_s, service.max_run_s)
        await asyncio.sleep(delay_s)
        return ok

    def close(self, group):
        """Do nothing; there are no connections."""


class Node:
    """One simulated entry instance."""

    def __init__(self, world: "World", id: str, data_centre: str) -> None:
        self.world, self.id, self.data_centre = world, id, data_centre
        self.dead = False
        self.cut_off = False
        self.paused_until = float("-inf")
        self.apply_result_by_offset: dict[int, view.ApplyResult] = {}
        self.right_by_group: dict[str, Right] = {}
        self.tasks: set[asyncio.Task] = set()
        self._build()

    def _build(self) -> None:
        world = self.world
        self.registry = registry.Registry()
        self.view = view.View(self.registry, lambda *_: True)
        self.view.listeners.append(self._listen)
        self.intents = intents.IntentTable()
        self.intents.register(self.registry, self.view)
        self.clock = clocks.Clock(
            world.loop_time, lambda: 1.8e9 + world.loop_time(), asyncio.sleep
        )
        self.directory = world.directory
        context = contexts.Context(
            self.view,
            self.directory,
            world.tree,
            self,
            world,
            world.members,
            self.clock,
            random.Random(f"{world.seed}/{self.id}"),
        )
        self.holder = holder.Holder(
            context,
            Sender(self),
            retry_budget.RetryBudget(balance=retry_budget.MAX_BALANCE),
        )
        self.accounts = Accounts(self)
        self.desk = service.Desk(
            self.id,
            self.data_centre,
            context,
            self.holder,
            self.intents,
            Committer(self),
            self.accounts,
            Peers(self),
            histograms.LatencyRecorder(),
            metrics.Metrics(),
        )
        self.routes = forwarding.peer_routes(self.desk)

    def _listen(self, entry, apply_result) -> None:
        self.apply_result_by_offset[apply_result.offset] = apply_result

    def usable_right(self, group: str, now: float) -> Right | None:
        """Follow the contract of ``membership.agent``."""
        right = self.right_by_group.get(group)
        return right if right is not None and now < right.expires_at else None

    def read(self) -> None:
        """Read the log to its end."""
        log = self.world.log
        if not log.up or self.cut_off or self.dead:
            return
        for offset in range(self.view.next_offset, len(log.frames)):
            self.view.apply_frame(offset, log.frames[offset])
        self.view.fresh_at = self.world.loop_time()

    async def wait_while_paused(self) -> None:
        """Wait while this node is paused."""
        while self.world.loop_time() < self.paused_until:
            await asyncio.sleep(self.paused_until - self.world.loop_time())

    async def serve(self, path: str, member: str, body: bytes) -> peer_messages.Reply:
        """Serve a message from another node."""
        task = self.spawn(self.routes[path](member, {}, body))
        return await asyncio.shield(task)

    def spawn(self, work) -> asyncio.Task:
        """Run work that ends with this node."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def kill(self) -> None:
        """End the process; requests at executors go on."""
        self.dead = True
        for task in list(self.tasks) + list(self.desk.tasks):
            task.cancel()

    async def run_until_killed(self) -> None:
        """Read the log and run the refresh loop of the desk until killed."""
        refresh_loop = self.spawn(self.desk.run_refresh_loop())
        with contextlib.suppress(asyncio.CancelledError):
            while not self.dead:
                await self.wait_while_paused()
                self.read()
                await asyncio.sleep(0.05)
        refresh_loop.cancel()


class World:
    """Entry instances, executors and a log on virtual time.

    Args:
        nodes: Data centre by id of an entry instance.
        backends: Data centre by id of an executor.
        seed: Seed of all random numbers.
        run_s: Run time of a request on an idle worker, in seconds.
        one_way_s: Network delay between two data centres, in seconds.
        fields: Settings of the service ``desk``.
    """

    def __init__(
        self,
        nodes: Mapping[str, str],
        backends: Mapping[str, str],
        *,
        seed: int = 1,
        run_s: float = 0.05,
        one_way_s: float = 0.003,
        **fields: Any,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.seed, self.one_way_s, self.mean_run_s = seed, one_way_s, run_s
        self.rng = random.Random(seed)
        self.tree = Tree(**fields)
        self.log = Log(self)
        self.calls: list[tuple[str, str, str]] = []
        self.sends: list[tuple[str, str, messages.RequestKey, float]] = []
        self.background: set[asyncio.Task] = set()
        self.backend_by_id = {
            key: Backend(key, data_centre, self.tree.service("desk").slots)
            for key, data_centre in backends.items()
        }
        self.directory = Directory(
            [Instance(key, data_centre=dc) for key, dc in backends.items()],
            self.loop_time,
        )
        self.holding_by_group: dict[str, Holding] = {}
        self.by_id: dict[str, Node] = {}
        self.members = self
        self.member_by_id = {}
        for key, data_centre in nodes.items():
            self.by_id[key] = Node(self, key, data_centre)
            self.by_id[key].leaving = False

    def loop_time(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()

    def run_s(self, request: messages.Request) -> float:
        """Return the run time of a request on an idle worker."""
        return self.mean_run_s

    def delay_s(self, one: str, other: str) -> float:
        """Return the network delay between two data centres in seconds."""
        return 0.0002 if one == other else self.one_way_s

    def holding_of(self, group: str) -> Holding | None:
        """Follow the contract of ``membership.rights``."""
        return self.holding_by_group.get(group)

    def spawn(self, work) -> asyncio.Task:
        """Run work that does not end with a node."""
        task = self.loop.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    def groups(self) -> list[str]:
        """Return all groups of executors."""
        return sorted(
            {
                slots.group_of(each.id, each.data_centre, 2)
                for each in self.backend_by_id.values()
            }
        )

    def grant(self, group: str, node: Node, *, epoch: int = 1) -> None:
        """Grant a node a right on a group that does not end."""
        self.holding_by_group[group] = Holding(node.id, epoch)
        node.right_by_group[group] = Right(epoch, float("inf"))

    async def start(self, *, settle_s: float = 3.0) -> None:
        """Start all nodes and wait until their slots may be used."""
        for node in self.by_id.values():
            self.spawn(node.run_until_killed())
        await asyncio.sleep(settle_s)

    def breaches(self) -> int:
        """Return how many requests exceeded the limits of an executor."""
        return sum(each.breaches for each in self.backend_by_id.values())

    def runs(self, request_id: str) -> int:
        """Return how often a request ran, over all executors."""
        return sum(
            each.runs_by_id.get(request_id, 0) for each in self.backend_by_id.values()
        )


class ScriptedRouter:
    """Router that returns the given targets."""

    def __init__(self, router: Any, targets: list[Any]) -> None:
        self.router, self.targets = router, targets

    def choose(self, request, now, excluded):
        """Return the next target, or None."""
        return self.targets.pop(0) if self.targets else None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.router, name)


def request(world: World, request_id: str = "r1", **fields: Any) -> messages.Request:
    """Return a request that arrives now with a deadline of 2 s."""
    now = world.loop_time()
    body = fields.pop("body", b"body")
    values = {
        "caller": "c",
        "request_id": request_id,
        "service": "desk",
        "body": body,
        "body_hash": messages.body_hash(body),
        "idempotent": True,
        "priority": "normal",
        "received": now,
        "received_ms": int(now * 1000),
        "deadline": now + 2.0,
    }
    return messages.Request(**{**values, **fields})


def grant_all_groups(world: World) -> None:
    """Grant all groups, round-robin among nodes of the same data centre."""
    nodes = list(world.by_id.values())
    for number, group in enumerate(world.groups()):
        near = [each for each in nodes if f"/{each.data_centre}/" in group] or nodes
        world.grant(group, near[number % len(near)])
