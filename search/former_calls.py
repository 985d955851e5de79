"""Calls that the next process under an executor's id carries out.

The platform forwards a call by the executor's id, so a call that is under way
for longer than a restart reaches the next process.
"""

from __future__ import annotations

import asyncio
import random
import typing
from collections.abc import Awaitable, Callable

from limpetstream import errors
from limpetstream.executors import messages
from standins import shard_cluster, step_executor_client, step_executors

if typing.TYPE_CHECKING:
    from search import fault_world

LATE_CALLS = "late calls"  # Kind of the keys that are held while calls are late.
LATE_SHARE = 0.3  # Share of the calls that are late meanwhile.
MAX_CLOCK_START_MS = 10_000_000
CLOCK_STEP_MS = 5000  # Of a clock that begins near the former one.


class FormerCalls:
    """Carries calls out late, also by the next process under an id.

    Args:
        world: Cluster with its faults.
    """

    def __init__(self, world: fault_world.World) -> None:
        self.random = random.Random(0)
        # Share of the calls to an ended process that the next one carries out.
        self.next_share = 0.0
        self._world = world
        self._up_at: dict[str, float] = {}
        # Start of the newest process that an owner has reached, by executor.
        self._reached_born_at: dict[str, float] = {}
        # Start of the process that got a former start, by executor and task.
        self._former_starts: dict[tuple[str, str], float] = {}
        self._superseded: dict[tuple[str, str], float] = {}

    def set_clock(self, executor: step_executors.Executor) -> None:
        """Let the clock of a new executor begin anywhere."""
        if self.next_share:
            executor.clock_start_ms = self.random.randrange(MAX_CLOCK_START_MS)

    def restart(self, executor: step_executors.Executor, *, down_s: float) -> None:
        """Restart an executor, whose clock may begin anywhere."""
        clock_start_ms = 0
        if self.next_share:
            near_ms = self.random.randint(-CLOCK_STEP_MS, CLOCK_STEP_MS)
            clock_start_ms = self.random.choice(
                [
                    0,
                    self.random.randrange(MAX_CLOCK_START_MS),
                    max(0, executor.clock_ms() + near_ms),
                ]
            )
        executor.restart(clock_start_ms=clock_start_ms)
        self._up_at[executor.listing.executor_id] = self._world.now() + down_s

    def note_reply(
        self, executor_id: str, token: int, reply: messages.PollReply
    ) -> None:
        """Note that an instance has got an answer of an executor."""
        executor = self._world.cluster.executor_by_id.get(executor_id)
        if executor is None or reply.born_ms != executor.listing.born_ms:
            return
        if token >= self._world.newest_epoch:
            self._reached_born_at[executor_id] = executor.born_at

    def hook(self, client: step_executor_client.ExecutorClient) -> None:
        """Let calls of an instance be late, or reach the next process."""
        start, poll, stop, pace = client.start, client.poll, client.stop, client.pace
        client.carry_out_next = self._carry_out_next

        async def hooked_start(
            listing: messages.Listing,
            request: messages.StartRequest,
            *,
            timeout_s: float,
        ) -> messages.StartReply:
            return await self._send(
                client,
                listing,
                timeout_s,
                start(listing, request, timeout_s=timeout_s),
                lambda executor: executor.start(request, is_late=True),
                request,
            )

        async def hooked_poll(
            listing: messages.Listing, *, timeout_s: float, **options: typing.Any
        ) -> messages.PollReply:
            order = [options[name] for name in ("token", "acknowledged", "deadline_ms")]
            return await self._send(
                client,
                listing,
                timeout_s,
                poll(listing, timeout_s=timeout_s, **options),
                lambda executor: executor.poll(*order),
            )

        client.start, client.poll = hooked_start, hooked_poll
        client.stop = self._hooked_order(client, stop, step_executors.Executor.stop)
        client.pace = self._hooked_order(client, pace, step_executors.Executor.pace)

    def _hooked_order(
        self,
        client: step_executor_client.ExecutorClient,
        call: Callable[..., Awaitable[None]],
        carry_out: Callable[..., None],
    ) -> Callable[..., Awaitable[None]]:
        """Return an order that may be late, or reach the next process."""

        async def hooked(
            listing: messages.Listing, *order: typing.Any, timeout_s: float
        ) -> None:
            await self._send(
                client,
                listing,
                timeout_s,
                call(listing, *order, timeout_s=timeout_s),
                lambda executor: carry_out(executor, *order),
            )

        return hooked

    async def _send(
        self,
        client: step_executor_client.ExecutorClient,
        listing: messages.Listing,
        timeout_s: float,
        call: Awaitable[typing.Any],
        carry_out: Callable[[step_executors.Executor], object],
        request: messages.StartRequest | None = None,
    ) -> typing.Any:
        """Await a call, unless it is late.

        Raises:
            PlatformUnavailable: There is no answer.
        """
        executor = client.executor_by_id.get(listing.executor_id)
        if executor is None or client._is_cut_off(executor):
            return await call
        is_late = self._world.is_held(LATE_CALLS, listing.executor_id)
        if is_late and self.random.random() < LATE_SHARE:
            call.close()
            self._delay(executor, lambda: carry_out(executor), request)
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("call delayed, no answer in time")
        is_for_former = executor.born_at >= shard_cluster.held_up_since.get()
        if request is not None and is_for_former:
            self._note_start(executor, request)
        try:
            return await call
        except step_executor_client.NotReceived:
            self._carry_out_next(executor, lambda: carry_out(executor), request)
            raise

    def _delay(
        self,
        executor: step_executors.Executor,
        carry_out: Callable[[], object],
        request: messages.StartRequest | None,
    ) -> None:
        """Carry a call out later, whichever process has the id then."""
        delay_s = self.random.choice(
            [self.random.uniform(0.05, 1.5), self.random.uniform(2.0, 12.0)]
        )
        executor_id, born_at = executor.listing.executor_id, executor.born_at

        def apply() -> None:
            if executor.born_at == born_at:
                self._carry_out(executor, carry_out)
            else:
                self._carry_out_next(executor, carry_out, request)

        self._world.hold(delay_s, ("under way", executor_id))
        self._world.later(delay_s, apply)

    def _carry_out_next(
        self,
        executor: step_executors.Executor,
        carry_out: Callable[[], object],
        request: messages.StartRequest | None,
    ) -> None:
        """Let the next process carry a call out once it is up, or drop it."""
        if self.random.random() >= self.next_share:
            return
        executor_id = executor.listing.executor_id
        wait_s = max(0.0, self._up_at.get(executor_id, 0.0) - self._world.now())

        def apply() -> None:
            if self._world.cluster.executor_by_id.get(executor_id) is not executor:
                return
            if request is not None:
                self._note_start(executor, request)
            self._carry_out(executor, carry_out)

        self._world.hold(wait_s, ("under way", executor_id))
        self._world.later(wait_s, apply)

    def _carry_out(
        self, executor: step_executors.Executor, carry_out: Callable[[], object]
    ) -> None:
        executor_id, former_ms = executor.listing.executor_id, executor.deadline_ms
        try:
            carry_out()
        except errors.TokenOutdated:
            self._world.note(f"late call to {executor_id} is rejected")
        else:
            self._world.note(
                f"late call to {executor_id} is carried out: clock "
                f"{executor.clock_ms()}, deadline {former_ms} to "
                f"{executor.deadline_ms}, runs {sorted(executor.run_by_task)}"
            )

    def _note_start(
        self, executor: step_executors.Executor, request: messages.StartRequest
    ) -> None:
        key = executor.listing.executor_id, request.task
        is_unreached = self._reached_born_at.get(key[0]) != executor.born_at
        if is_unreached and request.task not in executor.run_by_task:
            self._former_starts[key] = executor.born_at

    def withdraw(self, task: str, executor_id: str) -> bool:
        """Withdraw runs that the start of a task finds and nobody knows of.

        A start that the next process carries out before any owner has reached
        that process is not covered by design.md, section 11.3, if the task
        runs elsewhere, is done or is cancelled. Such a run ends as if the
        start were lost. If it has ended already, its end is not judged.

        Returns:
            Whether it is the run that has just started.
        """
        starts = [key for key in self._former_starts if key[1] == task]
        if not starts:
            return False
        breaches = self._world.cluster.breaches
        for advance in breaches.advance_by_executor.values():
            advance()
        for other, _task in starts:
            if other == executor_id or not self._is_unknown(other, task):
                continue
            executor = self._world.cluster.executor_by_id[other]
            if task in executor.run_by_task:
                self._end(other, task)
            elif any(end.task == task for end in executor.ends):
                self._superseded[other, task] = executor.born_at
        is_needed = not breaches.executors_by_task.get(task) and not self._is_over(task)
        if is_needed or not self._is_unknown(executor_id, task):
            return False
        self._end(executor_id, task)
        return True

    def is_end_judged(self, task: str, executor_id: str) -> bool:
        """Return whether the acknowledgement of an end is judged.

        It is not if a former call acknowledges the end of a run that nobody
        knows of, or if the task was started elsewhere before anybody did: see
        ``withdraw``.
        """
        executor = self._world.cluster.executor_by_id[executor_id]
        superseded_born_at = self._superseded.get((executor_id, task))
        is_superseded = superseded_born_at == executor.born_at
        return not is_superseded and not self._is_unknown(executor_id, task)

    def _is_over(self, task: str) -> bool:
        """Return whether a task is done, or its job is cancelled."""
        breaches = self._world.cluster.breaches
        is_done = task in breaches.done_tasks and task not in breaches.lost_ends
        is_cancelled = task.partition(".")[0] in breaches.cancelled_at
        return is_done or is_cancelled or task in breaches.acknowledged_done

    def _is_unknown(self, executor_id: str, task: str) -> bool:
        """Return whether a run is by a former call to an unreached process."""
        executor = self._world.cluster.executor_by_id.get(executor_id)
        if executor is None:
            return False
        is_reached = self._reached_born_at.get(executor_id) == executor.born_at
        is_former = self._former_starts.get((executor_id, task)) == executor.born_at
        return is_former and not is_reached

    def _end(self, executor_id: str, task: str) -> None:
        self._world.note(f"withdraw {task} on {executor_id}: not covered")
        del self._world.cluster.executor_by_id[executor_id].run_by_task[task]
        self._world.cluster.breaches.record_end(task, executor_id)
