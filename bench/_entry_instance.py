"""Entry instance that runs the real batch code over a fake log.

Membership, committer and follower are fakes with the durations that the
design gives; the view, the batch state, the schedulers and the records are the
product's own.
"""

import asyncio
import dataclasses
from typing import Any

import msgspec

from bench import _platform_fakes, _worker_client
from limpetstream import clock, errors
from limpetstream.batch import colocation, context, jobs, quotas, scheduler
from limpetstream.records import codec, registry, view
from limpetstream.settings import schema
from limpetstream.telemetry import metrics

RIGHT_DURATION_S = 2.0
RENEWAL_INTERVAL_S = 0.6
# As in ``membership``, a claimant waits longer than the right lasts, also when
# the rates of the clocks differ by 2%.
CLAIM_WAIT_S = RIGHT_DURATION_S * 1.02 + 0.1


@dataclasses.dataclass(slots=True)
class Claim:
    """Body of ``right.claim``."""

    resource: str
    supersedes: int = -1


@dataclasses.dataclass(slots=True)
class Renew:
    """Body of ``right.renew``."""

    resources: list[str]


@dataclasses.dataclass(slots=True)
class Edit:
    """Body of ``settings.edit``, reduced to the state of a data centre."""

    data_centre: str
    state: str


@dataclasses.dataclass(slots=True)
class Holding:
    """Holder of a resource as of the last applied record.

    Args:
        instance: Id of the holder.
        epoch: Offset of its claim.
        renewed_offset: Offset of its last claim or renewal.
        read_at: Local time at which that record was applied.
    """

    instance: str
    epoch: int
    renewed_offset: int
    read_at: float


@dataclasses.dataclass(slots=True)
class Right:
    """A right that may be used until ``expires_at``, in local time."""

    epoch: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class MembershipAgent:
    """Claims and renews the rights of one instance over the log.

    Args:
        id: Id of the instance.
        now: Returns its monotonic time in seconds.
        holding_by_resource: Holders as of the last applied record.
        expires_at_by_resource: When the rights of this instance expire.
    """

    id: str
    now: Any
    holding_by_resource: dict[str, Holding] = dataclasses.field(default_factory=dict)
    expires_at_by_resource: dict[str, float] = dataclasses.field(default_factory=dict)

    def holds(self, resource: str, writer: str, epoch: int) -> bool:
        """Return whether a writer holds a resource as of the last record."""
        holding = self.holding_by_resource.get(resource)
        return holding is not None and (holding.instance, holding.epoch) == (
            writer,
            epoch,
        )

    def apply_claim(self, entry: view.Entry) -> str | None:
        """Apply a claim; return why it is void, or None."""
        holding = self.holding_by_resource.get(entry.body.resource)
        if holding is not None and entry.body.supersedes != holding.renewed_offset:
            return "superseded"
        self.holding_by_resource[entry.body.resource] = Holding(
            entry.writer, entry.offset, entry.offset, self.now()
        )
        return None

    def apply_renew(self, entry: view.Entry) -> str | None:
        """Apply a renewal."""
        for resource in entry.body.resources:
            holding = self.holding_by_resource.get(resource)
            if holding is not None and holding.instance == entry.writer:
                holding.renewed_offset, holding.read_at = entry.offset, self.now()
        return None

    def usable_right(self, resource: str, now: float) -> Right | None:
        """Return the right to a resource if this instance may use it now."""
        holding = self.holding_by_resource.get(resource)
        expires_at = self.expires_at_by_resource.get(resource, 0.0)
        if holding is None or holding.instance != self.id or expires_at <= now:
            return None
        return Right(holding.epoch, expires_at)


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """One entry instance; clearing ``not_paused`` stops it as SIGSTOP does.

    Args:
        id: Id of the instance.
        log: Fake of the control stream.
        tree: Its copy of the settings tree.
        clock: Its clock, which runs at a rate of its own.
        directory: Instance list.
        resources: Resources that it may claim.
        instance_by_id: All entry instances of the deployment.
        state: Batch state.
        log_view: View that applies the records.
        membership_agent: Its rights.
        client: Sends calls to workers.
        sequence: Sequence number of its last record.
        next_offset: Offset that it reads next.
        alive: Whether the process runs.
        cut_off: Whether it cannot reach the log.
        not_paused: Set while the process is not paused.
        apply_result_by_sequence: Futures of its records that are not yet read
            back.
        policy: Decides on batch tasks that share a worker with executors.
        pending_deliveries: Calls and appends on their way.
        tasks: Its periodic loops.
    """

    id: str
    log: _platform_fakes.Log
    tree: Any
    clock: clock.Clock
    directory: _platform_fakes.Directory
    resources: list[str]
    instance_by_id: dict[str, "EntryInstance"]
    state: jobs.Jobs = dataclasses.field(init=False)
    log_view: view.View = dataclasses.field(init=False)
    membership_agent: MembershipAgent = dataclasses.field(init=False)
    client: _worker_client.WorkerClient = dataclasses.field(init=False)
    sequence: int = 0
    next_offset: int = 0
    alive: bool = True
    cut_off: bool = False
    not_paused: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    apply_result_by_sequence: dict[int, asyncio.Future[Any]] = dataclasses.field(
        default_factory=dict
    )
    policy: Any = colocation.decide
    pending_deliveries: set[Any] = dataclasses.field(default_factory=set)
    tasks: list[asyncio.Task[Any]] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        record_registry = registry.Registry()
        self.membership_agent = MembershipAgent(self.id, self.clock.monotonic)
        self.state = jobs.Jobs(self.tree, quotas.Quotas(self.tree))
        self.log_view = view.View(record_registry, self.membership_agent.holds)
        record_registry.register("right.claim", 1, Claim)
        record_registry.register("right.renew", 1, Renew)
        record_registry.register("settings.edit", 1, Edit)
        self.log_view.register_applier("settings.edit", self._apply_edit)
        self.log_view.register_applier("right.claim", self.membership_agent.apply_claim)
        self.log_view.register_applier("right.renew", self.membership_agent.apply_renew)
        self.state.register(self.log_view, record_registry)
        self.log_view.listeners.append(self._on_record_applied)
        self.not_paused.set()

    def _apply_edit(self, entry: view.Entry) -> str | None:
        edit = entry.body
        self.tree.data_centre_by_name[edit.data_centre] = schema.DataCentre(
            state=edit.state
        )
        self.tree.version = entry.offset
        return None

    async def wait_while_paused(self) -> None:
        """Return as soon as the instance is not paused."""
        await self.not_paused.wait()

    def start(self) -> None:
        """Start to follow the log, to renew rights and to schedule."""
        sleep_on_clock = self.clock.sleep

        async def sleep(seconds: float) -> None:
            await sleep_on_clock(seconds)
            await self.wait_while_paused()

        batch_context = context.Context(
            clock=clock.Clock(self.clock.monotonic, self.clock.wall, sleep),
            view=self.log_view,
            state=self.state,
            committer=self,
            membership_agent=self.membership_agent,
            workers=self.client,
            tree=self.tree,
            directory=self.directory,
            metrics=metrics.Metrics(),
            policy=self.policy,
        )
        for main in (
            self._follow(),
            self._maintain_rights(),
            scheduler.Scheduler(batch_context).run(),
        ):
            self.tasks.append(asyncio.ensure_future(main))

    def crash(self) -> None:
        """Kill the process; calls already on their way are still delivered."""
        self.alive = False
        for task in self.tasks:
            task.cancel()

    async def _follow(self) -> None:
        while True:
            sent_at = self.clock.monotonic()
            try:
                if self.cut_off:
                    raise errors.LogUnavailable("the instance is cut off from the log")
                frames = await self.log.read(self.next_offset, 0.2)
            except errors.LogUnavailable:
                await asyncio.sleep(0.1)
                await self.wait_while_paused()
                continue
            await self.wait_while_paused()
            for frame in frames:
                self.log_view.apply_frame(frame.offset, frame.records)
            self.next_offset += len(frames)
            self.log_view.fresh_at = sent_at

    def _on_record_applied(
        self, entry: view.Entry, apply_result: view.ApplyResult
    ) -> None:
        if entry.kind == "task.end" and apply_result.void_reason is None:
            evicted_s = self.client.monitor.evicted_work_s_by_task
            for end in entry.body.ends:
                if end.outcome == "evicted" and end.checkpoint:
                    saved_s = _platform_fakes.checkpoint_work_s(end.checkpoint)
                    evicted_s[end.task] = max(evicted_s.get(end.task, 0.0), saved_s)
        if entry.writer == self.id:
            future = self.apply_result_by_sequence.pop(entry.sequence, None)
            if future is not None and not future.done():
                future.set_result(apply_result)

    async def append(
        self,
        kind: str,
        body: object,
        *,
        resource: str | None = None,
        epoch: int = 0,
        timeout_s: float = 5.0,
    ) -> view.ApplyResult:
        """Append a record and wait until it is read back.

        Sends it again while answers are lost.

        Raises:
            LogUnavailable: It was not read back within ``timeout_s`` seconds.
        """
        self.sequence += 1
        envelope = codec.Envelope(
            k=kind,
            v=1,
            w=self.id,
            n=self.sequence,
            b=msgspec.to_builtins(body),
            r=resource,
            e=epoch,
        )
        future = asyncio.get_running_loop().create_future()
        self.apply_result_by_sequence[self.sequence] = future
        send = asyncio.ensure_future(self._send(codec.encode(envelope), future))
        self.pending_deliveries.add(send)
        send.add_done_callback(self.pending_deliveries.discard)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise errors.LogUnavailable("record not read back in time") from None

    async def _send(self, line: str, future: asyncio.Future[Any]) -> None:
        for _ in range(30):
            await self.wait_while_paused()
            if not self.alive or future.done():
                return
            try:
                if self.cut_off:
                    raise errors.LogUnavailable("the instance is cut off from the log")
                await self.log.append([line])
                return
            except errors.LogUnavailable:
                await asyncio.sleep(0.2)

    async def _maintain_rights(self) -> None:
        while True:
            await self.wait_while_paused()
            await asyncio.gather(self._renew(), *map(self._claim, self.resources))
            await asyncio.sleep(RENEWAL_INTERVAL_S if self._usable_resources() else 0.2)

    def _usable_resources(self) -> list[str]:
        now = self.clock.monotonic()
        return [
            each
            for each in self.resources
            if self.membership_agent.usable_right(each, now)
        ]

    async def _renew(self) -> None:
        held_resources, sent_at = self._usable_resources(), self.clock.monotonic()
        if not held_resources:
            return
        epochs = {
            each: self.membership_agent.holding_by_resource[each].epoch
            for each in held_resources
        }
        try:
            await self.append("right.renew", Renew(held_resources), timeout_s=1.0)
        except errors.LogUnavailable:
            return
        for each in held_resources:
            if self.membership_agent.holds(each, self.id, epochs[each]):
                self.membership_agent.expires_at_by_resource[each] = (
                    sent_at + RIGHT_DURATION_S
                )

    async def _claim(self, resource: str) -> None:
        now = self.clock.monotonic()
        if self.log_view.age(now) > 0.5 or self.membership_agent.usable_right(
            resource, now
        ):
            return
        holding = self.membership_agent.holding_by_resource.get(resource)
        preferred_index = self.resources.index(resource) % max(
            1, len(self.instance_by_id)
        )
        if holding is None and list(self.instance_by_id)[preferred_index] != self.id:
            if now < 5.0:
                return
        supersedes = -1
        if holding is not None:
            holder = self.instance_by_id.get(holding.instance)
            holder_is_dead = holder is None or not holder.alive
            if not holder_is_dead and now - holding.read_at <= CLAIM_WAIT_S:
                return
            if not holder_is_dead and holder.not_paused.is_set() and holder is not self:
                if holder.membership_agent.usable_right(
                    resource, holder.clock.monotonic()
                ):
                    return
            supersedes = holding.renewed_offset
        try:
            claim = Claim(resource, supersedes)
            apply_result = await self.append("right.claim", claim, timeout_s=1.0)
        except errors.LogUnavailable:
            return
        if apply_result.void_reason is None:
            self.membership_agent.expires_at_by_resource[resource] = (
                now + RIGHT_DURATION_S
            )
