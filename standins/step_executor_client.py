"""Calls simulated executors of step tasks, with faults of the network."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pycurl

from limpetstream import errors
from limpetstream.executors import messages
from standins import step_executors

RESPONSE_DELAY_S = 0.004


class NotReceived(errors.PlatformUnavailable):
    """The process for which a call was meant ended before it arrived."""


class ExecutorClient:
    """Client through which one instance calls the executors.

    ``cut`` loses all calls of the instance, ``unreachable_ids`` those to some
    executors. Calls to the executors in ``unanswered_ids`` take effect, but
    their answers are lost. A waiting poll looks for ends each ``poll_step_s``
    seconds; if that is 0, it is woken by each change of the executor, and by
    ``Executor.wake`` once a fault begins or ends. If ``resets`` is false, a
    poll that waits while its executor is cut off or restarts gets no answer
    until its time-out, as when a machine fails.

    ``carry_out_next`` takes an order that is late when another process has
    started under the id meanwhile; without it, the order is dropped.

    Args:
        executor_by_id: All executors.
    """

    def __init__(self, executor_by_id: dict[str, step_executors.Executor]) -> None:
        self.executor_by_id = executor_by_id
        self.cut = False
        self.poll_step_s = 0.02
        self.resets = True
        self.unreachable_ids: set[str] = set()
        self.unanswered_ids: set[str] = set()
        self.carry_out_next: Callable[..., None] | None = None
        self._delayed_orders: set[asyncio.Task[None]] = set()

    async def start(
        self,
        listing: messages.Listing,
        request: messages.StartRequest,
        *,
        timeout_s: float,
    ) -> messages.StartReply:
        """Start one run.

        Raises:
            PlatformUnavailable: No answer; the start may take effect later.
            TokenOutdated: The executor has seen a higher fencing token.
        """
        executor = await self._connect(listing, timeout_s)
        if executor.random.random() < executor.delayed_share:
            self._later(
                executor, lambda: executor.start(request, is_late=True), request
            )
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("start delayed, no answer in time")
        async with self._answering(listing, timeout_s):
            return executor.start(request)

    async def stop(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Stop one run.

        Raises:
            PlatformUnavailable: The executor is cut off.
            TokenOutdated: The executor has seen a higher fencing token.
        """
        executor = await self._connect(listing, timeout_s)
        share = executor.delayed_stop_share
        if share and executor.random.random() < share:
            self._later(executor, lambda: executor.stop(task, run, token))
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("stop delayed, no answer in time")
        async with self._answering(listing, timeout_s):
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
        """Extend the lease and return the status, waiting for an end.

        Raises:
            PlatformUnavailable: The executor is cut off or was restarted.
            TokenOutdated: The executor has seen a higher fencing token.
        """
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_s
        executor = await self._connect(listing, timeout_s)
        born_at = executor.born_at
        async with self._answering(listing, timeout_s):
            status = executor.poll(token, acknowledged, deadline_ms)
        deadline = loop.time() + wait_ms / 1000
        while not status.ended and loop.time() < deadline:
            if self.poll_step_s:
                await asyncio.sleep(self.poll_step_s)
            else:
                await executor.wait_for_change(deadline)
            if self._is_cut_off(executor) or executor.born_at != born_at:
                if not self.resets:
                    await asyncio.sleep(max(0.0, limit_at - loop.time()))
                raise errors.PlatformUnavailable("executor is cut off")
            async with self._answering(listing, deadline - loop.time()):
                status = executor.poll(token, acknowledged, None)
        return status

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
        """Set how fast one run may work.

        Raises:
            PlatformUnavailable: The executor is cut off.
            TokenOutdated: The executor has seen a higher fencing token.
        """
        executor = await self._connect(listing, timeout_s)
        async with self._answering(listing, timeout_s):
            executor.pace(task, run, percent, token)

    def _later(
        self,
        executor: step_executors.Executor,
        carry_out: Callable[[], object],
        start: messages.StartRequest | None = None,
    ) -> None:
        """Carry an order out 2 to 12 s later, as the users' platform does.

        Args:
            executor: Executor that has got it.
            carry_out: Carries it out.
            start: The order, if it starts a run.
        """
        born_at = executor.born_at

        async def apply() -> None:
            await asyncio.sleep(executor.random.uniform(2.0, 12.0))
            if executor.born_at != born_at:
                if self.carry_out_next is not None:
                    self.carry_out_next(executor, carry_out, start)
                return
            try:
                carry_out()
            except errors.TokenOutdated:
                return

        task = asyncio.create_task(apply())
        self._delayed_orders.add(task)
        task.add_done_callback(self._delayed_orders.discard)

    async def _connect(
        self, listing: messages.Listing, timeout_s: float
    ) -> step_executors.Executor:
        executor = self.executor_by_id.get(listing.executor_id)
        if executor is None:
            _check_sendable(listing)
            raise errors.PlatformUnavailable("no executor at this address")
        if self._is_cut_off(executor):
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("executor is cut off")
        born_at = executor.born_at
        await asyncio.sleep(RESPONSE_DELAY_S)
        if executor.born_at != born_at:
            raise NotReceived("executor was restarted")
        return executor

    def _is_cut_off(self, executor: step_executors.Executor) -> bool:
        executor_id = executor.listing.executor_id
        return self.cut or executor.cut or executor_id in self.unreachable_ids

    @contextlib.asynccontextmanager
    async def _answering(
        self, listing: messages.Listing, timeout_s: float
    ) -> AsyncIterator[None]:
        """Apply a call to an executor; lose the answer if that is simulated.

        Raises:
            PlatformUnavailable: The answer was lost, also if it was an error.
        """
        try:
            yield
        finally:
            if listing.executor_id in self.unanswered_ids:
                await asyncio.sleep(max(timeout_s, RESPONSE_DELAY_S))
                raise errors.PlatformUnavailable("the answer was lost")


def _check_sendable(listing: messages.Listing) -> None:
    """Raise what libcurl's binding raises for texts that it cannot send."""
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, f"http://{listing.address}/")
        header = f"X-Expected-Instance: {listing.executor_id}"
        curl.setopt(pycurl.HTTPHEADER, [header.encode("latin-1")])
    finally:
        curl.close()
