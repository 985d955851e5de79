"""Holds the faults that are in force in a simulated cluster."""

import asyncio
import collections
import contextlib
import contextvars
import dataclasses
import math
import random
from collections.abc import Callable, Hashable, Iterator
from typing import Any

from limpetstream import errors
from limpetstream.executors import messages
from limpetstream.shard import events
from limpetstream.telemetry import logs
from search import former_calls
from standins import (
    keyed_store,
    shard_cluster,
    step_executor_client,
    step_executors,
)

# Shows in which instance an event is logged.
_member: contextvars.ContextVar[str] = contextvars.ContextVar("member", default="")

EVENT_NAMES = (
    "SHARD_CLAIMED",
    "SHARD_RECOVERED",
    "EARLIER_PROOFS_ENDED",
    "SHARD_LOCATED",
    "SHARD_RELEASED",
    "RUN_ORDERED",
    "RUN_ENDED",
    "RUN_LOST",
    "START_IN_DOUBT",
    "STOP_ORDERED",
    "EXECUTOR_SILENT",
    "EXECUTOR_REACHED",
    "EXECUTOR_LAPSED",
    "EXECUTOR_REPLACED",
    "OWNERSHIP_UNPROVEN",
    "JOURNAL_FAILING",
)
# What the clients of an instance see, besides the logged events.
START_APPLIED = "START_APPLIED"
END_ACKNOWLEDGED = "END_ACKNOWLEDGED"
APPEND_CONFIRMED = "APPEND_CONFIRMED"

# Kind of the keys that are held while executors leave in order.
LEAVING = "leaving"
# Label of the executors that have accelerators.
LARGE = "large"
ACCELERATORS = 4

Watcher = Callable[[str, str, str], bool]


class World:
    """A cluster with the faults that are in force.

    A fault holds keys for some time, for example ``("store", "m0")``. It is in
    force as long as at least one fault holds the key.

    Args:
        cluster: Cluster to change.
    """

    def __init__(self, cluster: shard_cluster.ShardCluster) -> None:
        self.cluster = cluster
        self.failures: list[BaseException] = []
        self.trace: list[str] | None = None
        self.resets = True
        self.restarts_in_place = False  # At the address of the killed instance.
        # Between two looks of a waiting poll; 0 if changes wake it.
        self.poll_step_s = 0.1
        self.started = 0
        self._held: collections.Counter[Hashable] = collections.Counter()
        self._watchers: list[Watcher] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._thawed_at: dict[str, float] = {}
        self._replaced_ids: set[str] = set()
        # Whether another executor answers at an address, by executor and
        # address that is not the executor's any more.
        self._is_taken_by_former: dict[tuple[str, str], bool] = {}
        self.closed_data_centres: set[str] = set()
        self._killed: set[str] = set()
        self._proofs_ended: tuple[int, float] = (0, 0.0)
        self._loop = asyncio.get_running_loop()
        self.former_calls = former_calls.FormerCalls(self)
        self.newest_epoch = 0
        self.last_change_at = 0.0
        # Time of the last change that is not planned work on executors, and
        # of the last one of these that is no end or start of an instance.
        self.last_disturbance_at = 0.0
        self.last_unsteady_at = 0.0

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Call a function after some seconds; keep what it raises."""

        def call() -> None:
            try:
                act()
            except Exception as error:
                self.failures.append(error)

        self._loop.call_later(seconds, call)

    def hold(self, seconds: float, *keys: Hashable) -> None:
        """Put faults into force for some seconds."""
        is_planned = all(key[0] == LEAVING for key in keys)
        for key in keys:
            self._held[key] += 1
            self._apply(key)
        self.note_change(is_planned=is_planned)
        self.note(f"hold {keys} for {seconds:.3f} s")

        def release() -> None:
            for key in keys:
                self._held[key] -= 1
                self._apply(key)
            self.note_change(is_planned=is_planned)

        self.later(seconds, release)

    def is_quiet(self) -> bool:
        """Return whether no fault is in force."""
        return not any(self._held.values())

    def note_change(
        self, *, is_planned: bool = False, is_instance: bool = False
    ) -> None:
        """Note that something is disturbed or changes now.

        Args:
            is_planned: Whether it is planned work on executors, which excuses
                no run of a cancelled job.
            is_instance: Whether an instance ends or starts, and nothing else.
        """
        self.last_change_at = self.now()
        if not is_planned:
            self.last_disturbance_at = self.now()
            if not is_instance:
                self.last_unsteady_at = self.now()
        for executor in self.cluster.executor_by_id.values():
            executor.wake()

    def calm_since(self) -> float:
        """Return since when nothing is disturbed; infinity during a fault."""
        return self.last_change_at if self.is_quiet() else math.inf

    def undisturbed_since(self) -> float:
        """Return since when only planned work on executors was done.

        Returns:
            Loop time in seconds; infinity while a fault is in force.
        """
        return math.inf if self._is_disturbed() else self.last_disturbance_at

    def steady_since(self) -> float:
        """Return since when store, links and executors are undisturbed.

        Returns:
            Loop time in seconds; infinity while a fault is in force.
        """
        return math.inf if self._is_disturbed() else self.last_unsteady_at

    def _is_disturbed(self) -> bool:
        return any(count for key, count in self._held.items() if key[0] != LEAVING)

    def _apply(self, key: Any) -> None:
        is_held = self._held[key] > 0
        kind, name, *rest = (*key, "")
        if kind == "store down":
            self.cluster.store.down = is_held
        elif kind == "executor":
            if name in self.cluster.executor_by_id:
                self.cluster.executor_by_id[name].cut = is_held
        elif kind == "late starts":
            if name in self.cluster.executor_by_id:
                share = 0.5 if is_held else 0.0
                self.cluster.executor_by_id[name].delayed_share = share
        elif kind == "late stops":
            if name in self.cluster.executor_by_id:
                share = 0.5 if is_held else 0.0
                self.cluster.executor_by_id[name].delayed_stop_share = share
        elif kind == "fails":
            if name in self.cluster.executor_by_id:
                self.cluster.executor_by_id[name].fail_all = is_held
        elif kind == "peers":
            change = set.add if is_held else set.discard
            change(self.cluster.members_without_peers, name)
        elif name in self.cluster.instance_by_member:
            self._apply_to_instance(kind, name, rest[0], is_held)

    def _apply_to_instance(
        self, kind: str, member: str, executor_id: str, is_held: bool
    ) -> None:
        instance = self.cluster.instance_by_member[member]
        change = set.add if is_held else set.discard
        if kind == "store":
            instance.store.faults.cut = is_held
        elif kind == "refused":
            instance.store.faults.refuse = is_held
        elif kind == "answers":
            instance.store.faults.lost_answer_share = 0.3 if is_held else 0.0
            instance.store.faults.delayed_share = 0.2 if is_held else 0.0
        elif kind == "call":
            change(instance.executor_client.unreachable_ids, executor_id)
        elif kind == "answer":
            change(instance.executor_client.unanswered_ids, executor_id)
        elif kind == "frozen":
            if is_held and instance.gate.open.is_set():
                instance.gate.open.clear()
            elif not is_held:
                self._thawed_at[member] = self.now()
                instance.gate.open.set()

    def start(self, *, reserve: bool = False) -> str:
        """Start an instance under a new name; return the name."""
        member = f"m{self.started}"
        self.started += 1
        context = contextvars.copy_context()
        context.run(_member.set, member)
        context.run(self.cluster.start, member, reserve=reserve)
        self._hook(self.cluster.instance_by_member[member])
        self.note_change(is_instance=True)
        return member

    def kill(self, member: str) -> None:
        """End an instance like a crash, and start another one.

        The last one stays, as callers need one.
        """
        alive = self.cluster.instance_by_member.keys() - self._killed
        if member in alive and len(alive) > 1:
            self._killed.add(member)
            self.note_change(is_instance=True)
            self.spawn(self.cluster.kill(member))
            self.later(0.5, lambda: self._start_after(member))

    def stop(self, member: str) -> None:
        """Stop an instance in order, and start another one.

        The last one stays, as callers need one.
        """
        alive = self.cluster.instance_by_member.keys() - self._killed
        if member in alive and len(alive) > 1:
            self._killed.add(member)
            self.note_change(is_instance=True)
            self.spawn(self._stop(member))

    async def _stop(self, member: str) -> None:
        await self.cluster.stop(member)
        self.note_change(is_instance=True)
        self.later(0.5, lambda: self._start_after(member))

    def _start_after(self, member: str) -> None:
        """Start an instance in place of one that was killed."""
        name = self.start()
        if self.restarts_in_place:
            self.cluster.next_by_member[member] = name

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task; keep what it raises."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

        def finish(done: asyncio.Task[Any]) -> None:
            self._tasks.discard(done)
            if not done.cancelled() and done.exception() is not None:
                self.failures.append(done.exception())

        task.add_done_callback(finish)
        return task

    def restart(self, executor_id: str, *, down_s: float) -> None:
        """Restart an executor, which is cut off while its process starts."""
        executor = self.cluster.executor_by_id[executor_id]
        self.hold(down_s, ("executor", executor_id))
        self.former_calls.restart(executor, down_s=down_s)
        self.later(down_s, lambda: self.list_again(executor))

    def move(self, executor_id: str, *, down_s: float, is_taken: bool) -> None:
        """Restart an executor at another address.

        Args:
            executor_id: Id, which stays.
            down_s: Seconds until it is back.
            is_taken: Whether another executor answers at its former address.
        """
        executor = self.cluster.executor_by_id[executor_id]
        former = executor.listing.address
        self._is_taken_by_former[executor_id, former] = is_taken
        address = f"10.0.2.{len(self._is_taken_by_former)}:7000"
        self.note(f"move {executor_id} to {address}")
        self.restart(executor_id, down_s=down_s)
        executor.listing = dataclasses.replace(executor.listing, address=address)

    def list_again(self, executor: step_executors.Executor) -> None:
        """Publish the entry of an executor that has not left."""
        executor_id = executor.listing.executor_id
        if self.cluster.executor_by_id.get(executor_id) is executor:
            self.note_change(is_planned=executor.listing.state == messages.DRAINING)
            self.note(f"list {executor.listing}")
            self.cluster.list_executor(executor)

    def join(self, *, is_large: bool = True) -> None:
        """Add an executor with an id of its own."""
        number = len(self.cluster.breaches.advance_by_executor)
        executor = self.cluster.add_executor(
            f"x{number}",
            address=f"10.0.1.{number}:7000",
            labels=(LARGE if is_large else "kind", f"rack-{number % 2}"),
            capacity=dataclasses.replace(
                shard_cluster.CAPACITY, accelerators=ACCELERATORS if is_large else 0
            ),
        )
        self.former_calls.set_clock(executor)
        self.note_change(is_planned=True)
        self.note(f"join {executor.listing}")

    def remove(
        self,
        executor_id: str,
        *,
        unlisted_after_s: float,
        is_replaced: bool,
        is_followed: bool = True,
    ) -> None:
        """End an executor for good.

        Args:
            executor_id: Its id.
            unlisted_after_s: Seconds until its entry is gone.
            is_replaced: Whether another one answers at its address.
            is_followed: Whether another one joins once the entry is gone.
        """
        executor = self.cluster.executor_by_id.pop(executor_id)
        is_announced = executor.listing.state == messages.DRAINING
        executor.cut = True
        executor.restart()  # Its runs have ended, and nothing is known of them.
        self.note_change(is_planned=is_announced)
        self.note(f"remove {executor_id}")
        if is_replaced:
            self._replaced_ids.add(executor_id)

        def replace() -> None:
            self.cluster.unlist_executor(executor_id)
            self.note_change(is_planned=is_announced)
            if is_followed:
                self.join()

        self.later(unlisted_after_s, replace)

    def close_data_centre(self, data_centre: str) -> None:
        """Let the operator close a data centre; all others are open then."""
        self.closed_data_centres.clear()
        self.closed_data_centres.add(data_centre)
        self._apply_data_centres()

    def open_data_centres(self) -> None:
        """Let the operator open all data centres."""
        self.closed_data_centres.clear()
        self._apply_data_centres()

    def _apply_data_centres(self) -> None:
        self.cluster.view.closed_data_centres = frozenset(self.closed_data_centres)
        self.note_change(is_planned=True)
        self.note(f"closed data centres: {sorted(self.closed_data_centres)}")

    def owners(self) -> list[str]:
        """Return the members that serve shard 0, the newest owner last."""
        shard_by_member = {
            member: shard_cluster.shard_zero(instance)
            for member, instance in self.cluster.instance_by_member.items()
        }
        serving = [member for member, shard in shard_by_member.items() if shard]
        return sorted(serving, key=lambda member: shard_by_member[member].epoch)

    def watch(self, name: str, react: Callable[[str, str], bool]) -> None:
        """Call a function at each event of a name until it returns true.

        It gets the member and the executor of the event, or empty texts.
        """

        def watcher(event_name: str, member: str, executor_id: str) -> bool:
            return event_name == name and react(member, executor_id)

        self._watchers.append(watcher)

    def tell(self, event_name: str, member: str, executor_id: str) -> None:
        """Tell the watchers of an event."""
        for watcher in list(self._watchers):
            if watcher(event_name, member, executor_id):
                self._watchers.remove(watcher)

    @contextlib.contextmanager
    def observing(self) -> Iterator[None]:
        """Pass the logged events on to the watchers."""
        name_by_number = {
            getattr(events, name).number: name
            for name in EVENT_NAMES
            if hasattr(events, name)
        }

        def observe(event: Any, fields: dict[str, Any]) -> None:
            name = name_by_number.get(event.number)
            if self.trace is not None:
                text = " ".join(f"{key}={value}" for key, value in fields.items())
                self.note(f"{_member.get()} {event.name} {text}")
            if name == "SHARD_CLAIMED":
                self.newest_epoch = max(self.newest_epoch, fields["epoch"])
            if name == "EARLIER_PROOFS_ENDED":
                self._proofs_ended = (fields["epoch"], self.now())
            if name is not None:
                self.tell(name, _member.get(), fields.get("executor", ""))

        logs.observers.append(observe)
        try:
            yield
        finally:
            logs.observers.remove(observe)

    def note(self, text: str) -> None:
        """Add a line to the trace, if there is one."""
        if self.trace is not None:
            self.trace.append(f"{self.now():8.3f} {text}")

    def _hook(self, instance: shard_cluster.Instance) -> None:
        """Tell watchers of what the clients of an instance see."""
        instance.executor_client.poll_step_s = self.poll_step_s
        instance.executor_client.resets = self.resets
        self._hook_connections(instance.executor_client)
        self.former_calls.hook(instance.executor_client)
        self._hook_orders(instance.executor_client, instance.member)
        self._hook_store(instance.store, instance.member)

    def _hook_connections(self, client: step_executor_client.ExecutorClient) -> None:
        connect = client._connect

        async def hooked(listing: Any, timeout_s: float) -> Any:
            executor_id = listing.executor_id
            is_cut = client.cut or executor_id in client.unreachable_ids
            if executor_id in self._replaced_ids and not is_cut:
                await asyncio.sleep(step_executor_client.RESPONSE_DELAY_S)
                raise errors.ExecutorReplaced(executor_id)
            is_taken = self._is_taken_by_former.get((executor_id, listing.address))
            if is_taken is not None and not is_cut:
                await self._call_former(executor_id, is_taken, timeout_s)
            return await connect(listing, timeout_s)

        client._connect = hooked

    async def _call_former(
        self, executor_id: str, is_taken: bool, timeout_s: float
    ) -> None:
        """Fail a call to an address at which the executor is no more."""
        if is_taken:
            await asyncio.sleep(step_executor_client.RESPONSE_DELAY_S)
            raise errors.ExecutorReplaced(executor_id)
        await asyncio.sleep(timeout_s)
        raise errors.PlatformUnavailable("nobody answers at this address")

    def _hook_orders(
        self, client: step_executor_client.ExecutorClient, member: str
    ) -> None:
        start, poll, stop, pace = client.start, client.poll, client.stop, client.pace

        async def hooked_start(listing: Any, request: Any, *, timeout_s: float) -> Any:
            self._check_order("start", member, request.token)
            await self._lose("lost start", listing, timeout_s)
            if self._held[("refuses", listing.executor_id)]:
                executor = await client._connect(listing, timeout_s)
                return messages.StartReply(messages.UNWILLING, executor.clock_ms())
            reply = await start(listing, request, timeout_s=timeout_s)
            self.tell(START_APPLIED, member, listing.executor_id)
            return reply

        async def hooked_poll(listing: Any, **options: Any) -> Any:
            if options["deadline_ms"] is not None:
                self._check_order("lease", member, options["token"])
            reply = await poll(listing, **options)
            self.former_calls.note_reply(listing.executor_id, options["token"], reply)
            if options["acknowledged"] and reply.running:
                self.tell(END_ACKNOWLEDGED, member, listing.executor_id)
            return reply

        async def hooked_stop(
            listing: Any, task: str, run: int, token: int, *, timeout_s: float
        ) -> None:
            self._check_order("stop", member, token)
            await self._lose("lost stop", listing, timeout_s)
            await stop(listing, task, run, token, timeout_s=timeout_s)

        async def hooked_pace(listing: Any, *arguments: Any, **options: Any) -> None:
            self._check_order("pace", member, arguments[-1])
            await pace(listing, *arguments, **options)

        client.start, client.poll = hooked_start, hooked_poll
        client.stop, client.pace = hooked_stop, hooked_pace

    async def _lose(
        self, kind: str, listing: messages.Listing, timeout_s: float
    ) -> None:
        """Raise as for a lost call while such calls get lost."""
        if self._held[(kind, listing.executor_id)]:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("the call was lost")

    def _hook_store(self, store: keyed_store.Client, member: str) -> None:
        append, join = store.append, store.join

        async def hooked_append(*arguments: Any, **options: Any) -> int:
            end = await append(*arguments, **options)
            self.tell(APPEND_CONFIRMED, member, "")
            return end

        async def hooked_join(*arguments: Any, **options: Any) -> Any:
            if self._held[("joins", member)]:
                await asyncio.sleep(options["timeout_s"])
                raise errors.PlatformUnavailable("the call was lost")
            return await join(*arguments, **options)

        store.append, store.join = hooked_append, hooked_join

    def _check_order(self, order: str, member: str, token: int) -> None:
        """Check that an earlier owner sends no order after its last proof.

        A later owner knows that earlier proofs have ended; the last of them
        is valid for 2 s more. What a frozen instance sends first was decided
        before.
        """
        epoch, ended_at = self._proofs_ended
        is_first_call = self.now() - self._thawed_at.get(member, -1.0) < 0.01
        if token < epoch and self.now() > ended_at + 2.01 and not is_first_call:
            self.cluster.breaches.record(
                f"LATE ORDER: {member} sends a {order} under epoch {token}"
            )

    def is_held(self, *key: Hashable) -> bool:
        """Return whether a fault is in force."""
        return self._held[key] > 0


def random_choice(generator: random.Random, values: list[Any]) -> Any:
    """Return one of the values; None if there is none."""
    return generator.choice(values) if values else None
