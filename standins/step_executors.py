"""Executors of step tasks in memory, and what they see of broken promises.

They keep the rules of the platform: fencing tokens, numbered runs, leases on
a clock of their own, ends that are listed until they are acknowledged.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from limpetstream import errors
from limpetstream.executors import messages

RESPONSE_DELAY_S = 0.004
STOP_DURATION_S = 0.1


@dataclasses.dataclass(slots=True)
class Run:
    """One run on an executor."""

    number: int
    spec: str
    cpu: int
    ends_at: float | None
    fails: bool = False
    stops_at: float | None = None


class Breaches:
    """Broken promises, as the executors see them, over all of them.

    Args:
        loop: Loop that drives the time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.found: list[str] = []
        self.executors_by_task: dict[str, set[str]] = {}
        self.acknowledged_done: set[str] = set()
        self.advance_by_executor: dict[str, Callable[[], None]] = {}
        self.starts = 0
        self.started_jobs: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self._loop = loop

    def record(self, text: str) -> None:
        """Note one broken promise with its time."""
        self.found.append(f"{self._loop.time():.3f} s: {text}")

    def record_start(self, task: str, executor_id: str) -> None:
        """Note a start."""
        self.starts += 1
        self.started_jobs.add(task.partition(".")[0])
        if task in self.acknowledged_done:
            self.record(f"{task} started on {executor_id} after its noted end")
        # Executors let lapse what is due only when they are called.
        for advance in self.advance_by_executor.values():
            advance()
        others = self.executors_by_task.setdefault(task, set())
        if others:
            self.record(f"{task} started on {executor_id}, runs on {sorted(others)}")
        others.add(executor_id)

    def record_end(self, task: str, executor_id: str) -> None:
        """Note that a run is gone."""
        self.executors_by_task.get(task, set()).discard(executor_id)


@dataclasses.dataclass(slots=True)
class Executor:
    """One executor.

    Args:
        listing: What it says of itself.
        breaches: Where it notes broken promises.
        size_by_spec: Processors and seconds of work, by the job's text.
        random: Source of its choices.
        rate: Rate of its clock.
        born_at: Loop time of its start.
        token: Highest fencing token seen.
        deadline_ms: End of the lease on its clock.
        run_by_task: What runs.
        ends: Ends that are not acknowledged.
        last_end: Number of the last end.
        last_expired_end: Number of the last end that a lapse of the lease
            followed; acknowledging it does not count, as the platform's rules
            say.
        highest_run_by_task: Highest run stopped or ended, by task.
        cut: Calls are lost.
        delayed_share: Share of the orders that are carried out late.
        fail_all: Every run fails at once.
    """

    listing: messages.Listing
    breaches: Breaches
    size_by_spec: dict[str, tuple[int, float]]
    random: random.Random
    rate: float = 1.0
    born_at: float = 0.0
    token: int = 0
    deadline_ms: int = 0
    run_by_task: dict[str, Run] = dataclasses.field(default_factory=dict)
    ends: list[messages.EndRow] = dataclasses.field(default_factory=list)
    last_end: int = 0
    last_expired_end: int = 0
    highest_run_by_task: dict[str, int] = dataclasses.field(default_factory=dict)
    cut: bool = False
    delayed_share: float = 0.0
    fail_all: bool = False

    def clock_ms(self) -> int:
        """Return the executor's steady clock."""
        now = asyncio.get_running_loop().time()
        return int((now - self.born_at) * self.rate * 1000)

    def advance(self) -> None:
        """Let what is due end."""
        now = asyncio.get_running_loop().time()
        if self.run_by_task and self.clock_ms() > self.deadline_ms:
            for task in list(self.run_by_task):
                self._end(task, "lapsed")
        if self.clock_ms() > self.deadline_ms:
            self.last_expired_end = self.last_end
        for task, work in list(self.run_by_task.items()):
            if work.stops_at is not None and now >= work.stops_at:
                self._end(task, messages.STOPPED)
            elif work.ends_at is not None and now >= work.ends_at:
                self._end(task, messages.FAILED if work.fails else messages.DONE)

    def restart(self) -> None:
        """Begin a new life under the same id."""
        for task in list(self.run_by_task):
            self.breaches.record_end(task, self.listing.executor_id)
        self.run_by_task.clear()
        self.ends.clear()
        self.highest_run_by_task.clear()
        self.last_end = self.last_expired_end = self.token = self.deadline_ms = 0
        self.born_at = asyncio.get_running_loop().time()
        self.listing = dataclasses.replace(
            self.listing, born_ms=self.listing.born_ms + 1
        )

    def start(self, order: messages.StartRequest) -> messages.StartReply:
        """Carry out a start."""
        self.advance()
        self._check(order.token)
        clock_ms = self.clock_ms()
        held = self.run_by_task.get(order.task)
        if held is not None and held.number == order.run:
            return messages.StartReply(messages.STARTED, clock_ms)
        if held is not None or order.run <= self.highest_run_by_task.get(order.task, 0):
            return messages.StartReply(messages.OUTDATED_RUN, clock_ms)
        if clock_ms > order.deadline_ms:
            return messages.StartReply(messages.LATE, clock_ms)
        self.deadline_ms = max(self.deadline_ms, order.deadline_ms)
        self._begin(order)
        return messages.StartReply(messages.STARTED, clock_ms)

    def stop(self, task: str, run: int, token: int) -> None:
        """Carry out a stop."""
        self.advance()
        self._check(token)
        self.highest_run_by_task[task] = max(run, self.highest_run_by_task.get(task, 0))
        work = self.run_by_task.get(task)
        if work is not None and work.number <= run and work.stops_at is None:
            work.stops_at = asyncio.get_running_loop().time() + STOP_DURATION_S

    def poll(
        self, token: int, acknowledged: int, deadline_ms: int | None
    ) -> messages.PollReply:
        """Extend the lease and tell what runs."""
        self.advance()
        self._check(token)
        for end in self.ends:
            counts = self.last_expired_end < end.number <= acknowledged
            if counts and end.how == messages.DONE:
                self.breaches.acknowledged_done.add(end.task)
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        running = [
            messages.RunningRow(task, work.number, "", 50, 0)
            for task, work in self.run_by_task.items()
        ]
        return messages.PollReply(
            self.clock_ms(), self.listing.born_ms, running, list(self.ends)
        )

    def _check(self, token: int) -> None:
        if token < self.token:
            raise errors.TokenOutdated(self.listing.executor_id)
        self.token = token

    def _begin(self, order: messages.StartRequest) -> None:
        cpu, seconds = self.size_by_spec[order.spec]
        now = asyncio.get_running_loop().time()
        ends_at = now + seconds if seconds else None
        if self.fail_all:
            ends_at = now + 0.01
        self.run_by_task[order.task] = Run(
            order.run, order.spec, cpu, ends_at, fails=self.fail_all
        )
        self.breaches.record_start(order.task, self.listing.executor_id)
        used = sum(run.cpu for run in self.run_by_task.values())
        if used > self.listing.capacity.cpu_millicores:
            self.breaches.record(f"{self.listing.executor_id} holds {used} millicores")
        cancelled_at = self.breaches.cancelled_at.get(order.task.partition(".")[0])
        if cancelled_at is not None and now > cancelled_at + 3.0:
            self.breaches.record(f"{order.task} started after its cancelling")

    def _end(self, task: str, how: str) -> None:
        work = self.run_by_task.pop(task)
        self.highest_run_by_task[task] = max(
            work.number, self.highest_run_by_task.get(task, 0)
        )
        self.last_end += 1
        self.ends.append(messages.EndRow(self.last_end, task, work.number, how, ""))
        self.breaches.record_end(task, self.listing.executor_id)


class ExecutorClient:
    """Orders as one instance sends them.

    Args:
        executor_by_id: All executors.
    """

    def __init__(self, executor_by_id: dict[str, Executor]) -> None:
        self.executor_by_id = executor_by_id
        self.cut = False
        self._late: set[asyncio.Task[None]] = set()

    async def start(
        self,
        listing: messages.Listing,
        order: messages.StartRequest,
        *,
        timeout_s: float,
    ) -> messages.StartReply:
        """Start one run."""
        executor = await self._reach(listing, timeout_s)
        if executor.random.random() < executor.delayed_share:
            self._do_later(executor, order)
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("late")
        return executor.start(order)

    async def stop(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Stop one run."""
        executor = await self._reach(listing, timeout_s)
        executor.stop(task, run, token)

    async def poll(
        self,
        listing: messages.Listing,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> messages.PollReply:
        """Extend the lease and look, waiting for an end."""
        executor = await self._reach(listing, timeout_s)
        born_at = executor.born_at
        look = executor.poll(token, acknowledged, deadline_ms)
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_ms / 1000
        while not look.ended and loop.time() < until:
            await asyncio.sleep(0.02)
            if executor.cut or self.cut or executor.born_at != born_at:
                raise errors.PlatformUnavailable("cut off")
            look = executor.poll(token, acknowledged, None)
        return look

    async def pace(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        percent: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Accept any pace."""
        await self._reach(listing, timeout_s)

    def _do_later(self, executor: Executor, order: messages.StartRequest) -> None:
        born_at = executor.born_at

        async def apply() -> None:
            await asyncio.sleep(executor.random.uniform(2.0, 12.0))
            if executor.born_at != born_at:
                return  # What a process has received ends with it.
            try:
                executor.start(order)
            except errors.TokenOutdated:
                return

        task = asyncio.create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _reach(self, listing: messages.Listing, timeout_s: float) -> Executor:
        executor = self.executor_by_id[listing.executor_id]
        if self.cut or executor.cut:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("cut off")
        await asyncio.sleep(RESPONSE_DELAY_S)
        return executor
