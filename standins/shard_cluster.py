"""Runs instances, a store and executors in one process, on virtual time.

Tests of the shard package use it.
"""

import asyncio
import contextvars
import dataclasses
import math
import random
from collections.abc import Callable
from typing import Any

import msgspec

from limpetstream import clock as clock_module, errors
from limpetstream.border import closing as closing_module
from limpetstream.executors import messages as executor_messages
from limpetstream.shard import (
    job_api,
    ownership,
    peer_messages,
    shard_server,
    state,
)
from limpetstream.store import messages as store_messages
from limpetstream.workflow import messages
from standins import (
    keyed_store,
    queued_link,
    slow_processor,
    step_executor_client,
    step_executors,
    virtual_time,
)

EXECUTORS_TOPIC = "keyed.executors"
QUEUE = messages.Queue("desk", "host", "/desk/", "service", 0, 3, 2.0, 1000.0)
BATCH = messages.Queue("batch", "host", "/batch/", "service", 2, 3, 2.0, 1000.0)
CAPACITY = executor_messages.Capacity(16_000, 64_000, 0)
# The times of a planned stop of a process: see ``platform/adapter/process``.
GRACE_S = 6.0
ANSWER_MARGIN_S = 1.0
CLOSE_MARGIN_S = 0.6
LEAVE_DELAY_S = 2.5
DRAIN_CHECK_INTERVAL_S = 0.02

# Loop time at which the present call met a frozen instance; infinity if none.
held_up_since: contextvars.ContextVar[float] = contextvars.ContextVar(
    "held_up_since", default=math.inf
)


def decode_listing(entry: store_messages.Entry) -> executor_messages.Listing | None:
    """Decode an entry of the executors' topic."""
    return msgspec.json.decode(entry.value or b"", type=executor_messages.Listing)


def encode_listing(listing: executor_messages.Listing) -> bytes:
    """Encode an entry of the executors' topic."""
    return msgspec.json.encode(listing)


class FreezeGate:
    """Blocks the calls and timers of an instance while it is frozen."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()


class _FreezableClient:
    """Proxy of a client whose calls block while its instance is frozen."""

    def __init__(self, inner: object, gate: FreezeGate) -> None:
        self._inner = inner
        self._gate = gate

    def __getattr__(self, name: str) -> object:
        method = getattr(self._inner, name)

        async def call(*args: object, **kwargs: object) -> object:
            is_held_up = not self._gate.open.is_set()
            since = asyncio.get_running_loop().time() if is_held_up else math.inf
            await self._gate.open.wait()
            token = held_up_since.set(since)
            try:
                return await method(*args, **kwargs)
            finally:
                held_up_since.reset(token)
                await self._gate.open.wait()

        return call


class _CountedApi:
    """Proxy of the operations of callers that counts those under way."""

    _COUNTED = ("submit", "job_state", "cancel", "count_waiting_jobs")

    def __init__(self, inner: job_api.JobApi) -> None:
        self.calls = 0
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)
        if name not in self._COUNTED:
            return method

        async def call(*args: object, **kwargs: object) -> object:
            self.calls += 1
            try:
                return await method(*args, **kwargs)
            finally:
                self.calls -= 1

        return call


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance with its fault switches.

    Args:
        member: Name of the instance in the group.
        store: Its client of the store.
        executor_client: Its client of the executors.
        gate: Gate that freezes the instance.
        job_api: Operations of callers at this instance.
        ownership: Claims and serves its shards.
        task: Task that runs the instance.
        closing: Bounds the operations of callers in a planned stop.
    """

    member: str
    store: keyed_store.Client
    executor_client: step_executor_client.ExecutorClient
    gate: FreezeGate
    job_api: Any
    ownership: ownership.Ownership
    task: asyncio.Task[None]
    closing: closing_module.Closing


class ShardCluster:
    """All simulated parts of one test.

    The instances in ``members_without_peers`` reach no others, and no others
    reach them. ``next_by_member`` names the process that has started at the
    address of one that has ended, and that answers calls to it. The calls to
    executors of the instances in ``link_by_member`` go through these links.
    ``refused_jobs`` are those whose every submission was refused.
    The calls of the instances in ``costs_by_member`` take processor time.

    Args:
        loop: Loop on virtual time.
        seed: Seed of all random decisions.
        executors: Number of executors at the start.
        shards: Number of shards.
        decode_listing: Decodes an entry of the executors' topic.
        encode_listing: Encodes an entry of the executors' topic.
        max_lease_ms: Longest lease that executors grant.
        job_memory_bytes: Memory that accepted jobs may take at an owner.
    """

    def __init__(
        self,
        loop: virtual_time.Loop,
        *,
        seed: int = 0,
        executors: int = 4,
        shards: int = 1,
        decode_listing: shard_server.DecodeListing = decode_listing,
        encode_listing: Callable[[executor_messages.Listing], bytes] = encode_listing,
        max_lease_ms: int = step_executors.MAX_LEASE_MS,
        job_memory_bytes: float = math.inf,
    ) -> None:
        self.random = random.Random(seed)
        self.clock: clock_module.Clock = virtual_time.make_clock(loop)
        self.store = keyed_store.Store(seed=seed)
        self.breaches = step_executors.Breaches(loop)
        self.size_by_spec: dict[str, tuple[int, float]] = {}
        self.steps_by_spec: dict[str, list[messages.Step]] = {}
        self.executor_by_id: dict[str, step_executors.Executor] = {}
        self.instance_by_member: dict[str, Instance] = {}
        self.members_without_peers: set[str] = set()
        self.next_by_member: dict[str, str] = {}
        self.refused_jobs: set[str] = set()
        self.link_by_member: dict[str, queued_link.Link] = {}
        self.costs_by_member: dict[str, slow_processor.Costs] = {}
        self.view = state.DeploymentView(messages.Configuration(1, [QUEUE, BATCH]))
        self._loop = loop
        self._shards = shards
        self._max_lease_ms = max_lease_ms
        self._job_memory_bytes = job_memory_bytes
        self._decode_listing = decode_listing
        self._encode_listing = encode_listing
        for number in range(executors):
            self.add_executor(f"x{number}")

    def add_executor(
        self, executor_id: str, **changes: object
    ) -> step_executors.Executor:
        """Add an executor and publish its entry.

        Args:
            executor_id: Its id.
            changes: Values of its entry that differ from the usual ones.
        """
        listing = executor_messages.Listing(
            executor_id,
            f"10.0.0.{len(self.executor_by_id) + 1}:7000",
            "a" if len(self.executor_by_id) % 2 else "b",
            "service",
            executor_messages.READY,
            CAPACITY,
            ("kind", f"rack-{len(self.executor_by_id) % 2}"),
            born_ms=1000,
        )
        listing = dataclasses.replace(listing, **changes)
        executor = step_executors.Executor(
            listing,
            self.breaches,
            self.size_by_spec,
            self.random,
            rate=self.random.choice([0.98, 1.0]),
            born_at=self.clock.monotonic(),
            steps_by_spec=self.steps_by_spec,
            max_lease_ms=self._max_lease_ms,
        )
        self.executor_by_id[executor_id] = executor
        self.breaches.advance_by_executor[executor_id] = executor.advance
        self.list_executor(executor)
        return executor

    def list_executor(self, executor: step_executors.Executor) -> None:
        """Publish an executor's entry, as a real executor does itself."""
        entry = store_messages.Entry(
            executor.listing.executor_id, self._encode_listing(executor.listing)
        )
        self.store.append(EXECUTORS_TOPIC, 0, [entry], None, None)

    def unlist_executor(self, executor_id: str) -> None:
        """Remove an executor's entry."""
        entry = store_messages.Entry(executor_id, None)
        self.store.append(EXECUTORS_TOPIC, 0, [entry], None, None)

    def start(self, member: str, *, reserve: bool = False) -> Instance:
        """Start an instance; ``reserve`` puts it in the reserve group."""
        store = keyed_store.Client(self.store)
        executor_client = step_executor_client.ExecutorClient(self.executor_by_id)
        gate = FreezeGate()
        clock = self._gated_clock(gate)
        calls: Any = executor_client
        if member in self.link_by_member:
            calls = queued_link.LinkedClient(
                executor_client, self.link_by_member[member]
            )
        store_calls: Any = store
        if member in self.costs_by_member:
            costs = self.costs_by_member[member]
            calls = slow_processor.CostlyClient(calls, costs, self._loop)
            store_calls = slow_processor.CostlyClient(store, costs, self._loop)
        server = shard_server.ShardServer(
            store=_FreezableClient(store_calls, gate),
            executor_client=_FreezableClient(calls, gate),
            clock=clock,
            view=self.view,
            timing=state.Timing(
                max_stop_s=step_executors.STOP_DURATION_S,
                max_lease_s=self._max_lease_ms / 1000,
            ),
            shard_count=self._shards,
            executors_topic=EXECUTORS_TOPIC,
            decode_listing=self._decode_listing,
            member=member,
            peers=_FreezableClient(_PeerClient(self, member), gate),
            job_memory_bytes=self._job_memory_bytes,
        )
        shard_ownership = ownership.Ownership(
            _FreezableClient(store, gate),
            member,
            self._shards,
            server.serve,
            clock,
            reserve=reserve,
            is_served_by=server.is_served_by,
            stalled_s=server.stalled_s,
        )
        closing = closing_module.Closing(clock)
        api = job_api.JobApi(
            store=_FreezableClient(store, gate),
            peers=_PeerClient(self, member),
            server=server,
            owner_by_shard=shard_ownership.owner_by_shard,
            claimed_shards=shard_ownership.claimed_shards,
            member=member,
            shard_count=self._shards,
            clock=clock,
            closing=closing,
        )
        task = asyncio.create_task(shard_ownership.run())
        instance = Instance(
            member,
            store,
            executor_client,
            gate,
            _CountedApi(api),
            shard_ownership,
            task,
            closing,
        )
        self.instance_by_member[member] = instance
        return instance

    async def kill(self, member: str) -> None:
        """End an instance without a shutdown, like a crash."""
        instance = self.instance_by_member.pop(member)
        instance.gate.open.set()
        instance.store.faults.cut = True
        instance.executor_client.cut = True
        instance.job_api.close()
        instance.task.cancel()
        await asyncio.gather(instance.task, return_exceptions=True)

    async def stop(self, member: str) -> None:
        """End an instance in order, as its process does after a signal.

        A caller whose request is cut off there is a breach, unless the
        instance was frozen meanwhile.
        """
        instance = self.instance_by_member[member]
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + GRACE_S
        instance.closing.begin(
            self.clock.monotonic() + kill_at - ANSWER_MARGIN_S - loop.time()
        )
        instance.job_api.begin_stop()
        close_from = loop.time() + LEAVE_DELAY_S
        await instance.ownership.leave()
        was_frozen = False
        while loop.time() < close_from or (
            (instance.job_api.calls or instance.job_api.is_handing_over())
            and loop.time() < kill_at - CLOSE_MARGIN_S
        ):
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            was_frozen = was_frozen or not instance.gate.open.is_set()
        if self.instance_by_member.get(member) is not instance:
            return  # It was killed meanwhile.
        if instance.job_api.calls and not was_frozen:
            self.breaches.record(f"LOST: {instance.job_api.calls} requests cut off")
        await self.kill(member)

    async def freeze(self, member: str, seconds: float) -> None:
        """Freeze an instance for a number of seconds."""
        instance = self.instance_by_member[member]
        instance.gate.open.clear()
        await asyncio.sleep(seconds)
        instance.gate.open.set()

    def owner_member(self) -> str | None:
        """Return a member that holds shard 0 and has recovered its state.

        The member may be outdated: it considers itself the owner.
        """
        for member, instance in self.instance_by_member.items():
            shards = instance.job_api._server.shard_by_number
            if 0 in shards and shards[0].recovered:
                return member
        return None

    async def deliver_to_peer(
        self, member: str, request: peer_messages.PeerRequest, *, timeout_s: float
    ) -> peer_messages.PeerReply:
        """Pass a request to an instance that is not cut off, and its answer.

        Raises:
            PeerUnreachable: The instance has ended, or is frozen for longer
                than ``timeout_s``.
        """
        while member in self.next_by_member:
            member = self.next_by_member[member]
        instance = self.instance_by_member.get(member)
        await asyncio.sleep(0.004)
        if instance is None:
            raise errors.PeerUnreachable(member)
        try:
            async with asyncio.timeout(timeout_s):
                await instance.gate.open.wait()
                return await instance.job_api.answer_peer(request)
        except TimeoutError:
            raise errors.PeerUnreachable(member) from None

    def make_submission(
        self,
        job_id: str,
        steps: list[messages.Step],
        *,
        seconds: Any,
        queue: messages.Queue = QUEUE,
        organisation: str = "",
    ) -> messages.Submission:
        """Return a submission; the executors know the sizes of its tasks."""
        self.size_by_spec[job_id] = (steps[0].cpu_millicores, seconds)
        self.steps_by_spec[job_id] = steps
        return messages.Submission(
            job_id,
            queue.name,
            queue.service,
            job_id,
            steps,
            queue.max_attempts,
            self.clock.wall_ms(),
            organisation=organisation,
        )

    async def submit(
        self,
        job_id: str,
        steps: list[messages.Step],
        *,
        seconds: float,
        queue: messages.Queue = QUEUE,
        max_refusals: int = 8,
        organisation: str = "",
    ) -> bool:
        """Submit at random instances until one accepts; eight attempts.

        A caller that only got refusals gives up after ``max_refusals``.
        """
        submission = self.make_submission(
            job_id, steps, seconds=seconds, queue=queue, organisation=organisation
        )
        refusals, attempts = 0, 0
        while attempts < 8 and not refusals == attempts == max_refusals:
            member = self.random.choice(list(self.instance_by_member))
            attempts += 1
            try:
                await self.instance_by_member[member].job_api.submit(
                    submission, wait_s=3.0
                )
                return True
            except errors.NotRun:
                refusals += 1
                await asyncio.sleep(1.0)
            except errors.OutcomeUnknown:
                await asyncio.sleep(1.0)
        if refusals == attempts:
            self.refused_jobs.add(job_id)
        return False

    async def state(self, job_id: str) -> str | None:
        """Ask random instances for the state of a job until one answers."""
        while True:
            member = self.random.choice(list(self.instance_by_member))
            try:
                return await self.instance_by_member[member].job_api.job_state(
                    job_id, wait_s=3.0
                )
            except errors.NotRun:
                await asyncio.sleep(0.5)

    async def wait_until_final(self, job_id: str, *, limit_s: float) -> str | None:
        """Wait for a final state; return the last state seen."""
        last_state = None
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        while loop.time() < deadline:
            last_state = await self.state(job_id)
            if last_state in messages.FINAL_STATES:
                return last_state
            await asyncio.sleep(0.2)
        return last_state

    def _gated_clock(self, gate: FreezeGate) -> clock_module.Clock:
        async def sleep(seconds: float) -> None:
            await asyncio.sleep(seconds)
            await gate.open.wait()

        return dataclasses.replace(self.clock, sleep=sleep)


class _PeerClient:
    """Simulates the calls between the instances of a cluster."""

    def __init__(self, cluster: ShardCluster, member: str) -> None:
        self._cluster = cluster
        self._member = member

    async def call(
        self, member: str, request: peer_messages.PeerRequest, *, timeout_s: float
    ) -> peer_messages.PeerReply:
        """Send a request to another instance.

        Raises:
            PeerUnreachable: The instance has ended, is cut off from others, or
                is frozen for longer than ``timeout_s``.
        """
        if self._cluster.members_without_peers & {member, self._member}:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachable(member)
        return await self._cluster.deliver_to_peer(member, request, timeout_s=timeout_s)


def shard_zero(instance: Instance) -> state.Shard | None:
    """Return shard 0 of an instance, or None if it does not own it."""
    return instance.job_api._server.shard_by_number.get(0)
