"""Test helpers: a cluster of members in virtual time, with faults."""

import asyncio
import contextvars
import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import clock, errors
from limpetstream.membership import agent, members, messages, rights
from limpetstream.records import budget, committer, follower, registry, view
from limpetstream.records.tests import builders as records_builders
from standins import virtual_time

STREAM = records_builders.STREAM


@dataclasses.dataclass(slots=True)
class Note:
    """Body of ``note``, a record of an effect under a right."""

    text: str


@dataclasses.dataclass(slots=True)
class Replica:
    """The view of one reader, with members, rights and notes."""

    view: view.View
    members: members.Members
    rights: rights.Rights
    notes: list[str]
    works: list[str] = dataclasses.field(default_factory=list)

    def dump(self) -> dict[str, Any]:
        """Return the whole state as JSON types."""
        state = {
            name: sorted((msgspec.to_builtins(each) for each in part.dump()), key=str)
            for name, part in self.view.snapshot_part_by_name.items()
        }
        return {"sequences": dict(self.view.sequence_by_writer), **state}

    def load_from(self, other: "Replica") -> None:
        """Load another reader's state, as from a snapshot."""
        dumped = other.dump()
        sequences = dumped.pop("sequences")
        self.view.restart(other.view.next_offset - 1, sequences, dumped)


def make_replica() -> Replica:
    """Return a reader that has not read anything yet."""
    record_types = registry.Registry()
    member_state = members.Members()
    right_state = rights.Rights(member_state)
    new_view = view.View(record_types, right_state.holds)
    member_state.register(new_view, record_types)
    right_state.register(new_view, record_types)
    notes: list[str] = []
    record_types.register("note", 1, Note)

    def apply(entry: view.Entry) -> None:
        notes.append(f"{entry.writer}/{entry.body.text}")

    def load(objects: Any) -> None:
        notes[:] = objects

    new_view.register_applier("note", apply)
    new_view.register_state("notes", lambda: list(notes), load)
    return Replica(new_view, member_state, right_state, notes)


def register_work(replica: Replica) -> None:
    """Let a reader apply ``work``, a record that needs no right."""
    replica.view.registry.register("work", 1, Note)

    def apply(entry: view.Entry) -> None:
        replica.works.append(entry.body.text)

    replica.view.register_applier("work", apply)


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """The process of one member."""

    id: str
    client: records_builders.FaultyLogClient
    replica: Replica
    clock: clock.Clock
    committer: committer.Committer
    follower: follower.Follower
    membership_agent: agent.MembershipAgent
    hand_over_s: float = 0.0
    alive: bool = True
    tasks: set[asyncio.Task[Any]] = dataclasses.field(default_factory=set)

    def usable_right(self, resource: str) -> agent.Right | None:
        """Return the right that the process may use now."""
        return self.membership_agent.usable_right(resource, self.clock.monotonic())


@dataclasses.dataclass(slots=True)
class Reply:
    """Reply of a peer, as ``peers.client`` returns it."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class FakePeerClient:
    """Peer client of one member; links can be cut in one direction."""

    cluster: "Cluster"
    sender: str

    async def call(self, member_id, path, body, *, headers=None, timeout_s) -> Reply:
        """Call a peer as ``peers.client.PeerClient`` does."""
        cluster = self.cluster
        cluster.messages += 1
        cluster.message_bytes += len(body)
        await asyncio.sleep(cluster.random.random() * 0.006)
        target = cluster.by_id[member_id]
        if not target.alive:
            raise errors.PeerGone(member_id)
        link = (self.sender, member_id)
        if link in cluster.cut:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachable(member_id)
        answer = cluster.spawn(
            member_id, target.membership_agent.answer_attestation(body)
        )
        try:
            async with asyncio.timeout(timeout_s):
                reply = await asyncio.shield(answer)
        except TimeoutError as error:
            raise errors.PeerUnreachable(member_id) from error
        except asyncio.CancelledError:
            if answer.cancelled():
                raise errors.PeerUnreachable(member_id) from None
            raise
        if link in cluster.cut:
            raise errors.PeerUnreachable(member_id)
        await asyncio.sleep(cluster.random.random() * 0.006)
        return Reply(200, {}, reply)


@dataclasses.dataclass(slots=True)
class Cluster:
    """Processes that share one log, and a reference reader.

    Args:
        cut: Links that are cut, as (sender, receiver).
        reference: Reader that applies every frame at once.
        history: All frames that ``reference`` has applied.
        breaches: Times at which a resource had more than one user.
        acts: Number of effects that were started.
        started: Number of processes that were started.
    """

    loop: records_builders.PausableLoop
    random: random.Random
    resources: dict[str, str]
    log: records_builders.MemoryLog = dataclasses.field(
        default_factory=records_builders.MemoryLog
    )
    by_id: dict[str, Process] = dataclasses.field(default_factory=dict)
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    reference: Replica = dataclasses.field(default_factory=make_replica)
    history: list[records_builders.Frame] = dataclasses.field(default_factory=list)
    breaches: list[str] = dataclasses.field(default_factory=list)
    acts: int = 0
    messages: int = 0
    message_bytes: int = 0
    started: int = 0

    def spawn(self, member: str, run: Any) -> asyncio.Task[Any]:
        """Start a task that stops while its member is paused."""
        context = contextvars.copy_context()
        context.run(records_builders.MEMBER.set, member)
        task = self.loop.create_task(run, context=context)
        tasks = self.by_id[member].tasks
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def start(
        self, data_centre: str, *, rate: float = 1.0, act: bool = True
    ) -> Process:
        """Start a process without any state, under a new id."""
        self.started += 1
        process = self._make(f"e{self.started}", data_centre, rate)
        self.by_id[process.id] = process
        for run in (process.committer, process.follower, process.membership_agent):
            self.spawn(process.id, run.run())
        if act:
            self.spawn(process.id, self._act(process))
        return process

    def _make(self, name: str, data_centre: str, rate: float) -> Process:
        source = random.Random(f"{name}/{self.random.random()}")
        time = virtual_time.make_clock(self.loop, rate=rate, offset=source.random() * 9)
        client = records_builders.FaultyLogClient(self.log, source)
        client.max_frames = source.choice([1, 3, 500])
        replica = make_replica()
        append_budget = budget.AppendBudget(time)
        new_committer = committer.Committer(
            client, STREAM, replica.view, name, time, source, append_budget
        )

        async def restart(first: int) -> None:
            self.catch_up()
            replica.load_from(self.reference)

        new_follower = follower.Follower(
            client, STREAM, replica.view, time, source, restart
        )

        async def hand_over(resource: str) -> None:
            await asyncio.sleep(process.hand_over_s)

        membership_agent = agent.MembershipAgent(
            new_committer,
            replica.view,
            replica.members,
            replica.rights,
            FakePeerClient(self, name),
            time,
            source,
            messages.Join(data_centre, f"{name}:1", f"{name}:2"),
            lambda: self.resources,
            hand_over,
        )
        process = Process(
            name, client, replica, time, new_committer, new_follower, membership_agent
        )
        return process

    async def _act(self, process: Process) -> None:
        """Record effects under each right, as a scheduler does."""
        while True:
            await process.clock.sleep(0.2 + self.random.random() * 0.2)
            for resource in self.resources:
                right = process.usable_right(resource)
                if right is not None and process.committer.pending_records < 20:
                    self.acts += 1
                    self.spawn(process.id, self._append_note(process, resource, right))

    async def _append_note(self, process: Process, resource: str, right: Any) -> None:
        try:
            await process.committer.append(
                "note",
                Note(f"{resource}@{right.epoch}#{self.acts}"),
                resource=resource,
                epoch=right.epoch,
                timeout_s=1.0,
            )
        except errors.LogUnavailable:
            pass

    def kill(self, member: str) -> None:
        """Kill a process; connections to it are refused from now on."""
        process = self.by_id[member]
        process.alive = False
        self.loop.resume(member)
        for task in list(process.tasks):
            task.cancel()

    def alive(self) -> list[Process]:
        """Return the processes that have not been killed."""
        return [each for each in self.by_id.values() if each.alive]

    def catch_up(self) -> None:
        """Let the reference reader apply the frames since the last call."""
        for frame in self.log.page(
            STREAM, self.reference.view.next_offset, 10**9
        ).frames:
            self.reference.view.apply_frame(frame.offset, frame.records)
            self.history.append(frame)

    def check(self) -> None:
        """Record every resource that two or more processes may use now."""
        self.catch_up()
        for resource in self.resources:
            users = [each.id for each in self.alive() if each.usable_right(resource)]
            if len(users) > 1:
                self.breaches.append(f"{self.loop.time():.3f} {resource} {users}")

    async def run_for(self, seconds: float, *, step_s: float = 0.01) -> None:
        """Advance the virtual time and check after every step."""
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            await asyncio.sleep(step_s)
            self.check()

    def holders(self) -> dict[str, str]:
        """Return the id of the process that may use each resource now."""
        return {
            resource: each.id
            for resource in self.resources
            for each in self.alive()
            if each.usable_right(resource)
        }

    def set_log_down(self, down: bool) -> None:
        """Make the log unreachable for all processes, or reachable again."""
        for process in self.alive():
            process.client.down = down


def make_cluster(
    *, seed: int = 1, resources: int = 4, data_centres: tuple[str, ...] = ("a", "b")
) -> Cluster:
    """Return a cluster without processes, on a new virtual loop."""
    data_centre_by_resource = {
        f"executors/{data_centres[k % len(data_centres)]}/{k}": data_centres[
            k % len(data_centres)
        ]
        for k in range(resources)
    }
    return Cluster(
        records_builders.PausableLoop(), random.Random(seed), data_centre_by_resource
    )


def run(cluster: Cluster, scenario: Any) -> None:
    """Run a scenario and check that no resource had two users at once."""

    async def resuming() -> None:
        try:
            await scenario
        finally:
            # Tasks of a paused member could not be cancelled.
            for member in list(cluster.loop.waiting_by_member):
                cluster.loop.resume(member)

    virtual_time.run(resuming(), loop=cluster.loop)
    assert cluster.breaches == []
