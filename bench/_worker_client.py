"""Calls from a fake entry instance to fake workers, with network faults."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from typing import Any

from bench import _platform_fakes
from limpetstream import errors


@dataclasses.dataclass(slots=True)
class WorkerClient:
    """Client of one entry instance for the worker API of section 3.3.

    A call that its caller has abandoned is delivered all the same.

    Args:
        instance: The calling entry instance.
        worker_by_id: All fake workers.
        random: Source of the faults.
        monitor: Records breaches of invariants.
        delay_s: Delay of the network in each direction.
        stall_probability: Probability that a call is delayed by 0.5 to 5 s.
        lost_answer_probability: Probability that the answer to a call is lost
            after the call took effect.
        stall_s_by_method: Additional delay of the calls of a method.
        blocked_workers: Workers that this instance cannot reach.
        read_usage_samples: Returns the usage samples numbered above a
            sequence number; None if there are none.
    """

    instance: Any
    worker_by_id: dict[str, _platform_fakes.Worker]
    random: random.Random
    monitor: _platform_fakes.InvariantMonitor
    delay_s: float = 0.003
    stall_probability: float = 0.0
    lost_answer_probability: float = 0.0
    stall_s_by_method: dict[str, float] = dataclasses.field(default_factory=dict)
    blocked_workers: set[str] = dataclasses.field(default_factory=set)
    read_usage_samples: Any = None

    async def _call(self, worker: str, method: str, *arguments: Any) -> Any:
        delivery = asyncio.ensure_future(self._deliver(worker, method, arguments))
        delivery.add_done_callback(_consume_exception)
        self.instance.pending_deliveries.add(delivery)
        delivery.add_done_callback(self.instance.pending_deliveries.discard)
        return await asyncio.shield(delivery)

    async def _deliver(self, worker: str, method: str, arguments: Any) -> Any:
        await self.instance.wait_while_paused()
        delay = self.delay_s + self.stall_s_by_method.get(method, 0.0)
        if self.stall_probability and self.random.random() < self.stall_probability:
            delay += self.random.uniform(0.5, 5.0)
        await asyncio.sleep(delay)
        target = self.worker_by_id.get(worker)
        if target is None or not target.reachable or worker in self.blocked_workers:
            await asyncio.sleep(2.0)
            raise errors.PlatformUnavailable("no answer from the worker within 2 s")
        answer = getattr(target, method)(*arguments)
        await asyncio.sleep(self.delay_s)
        answer_is_lost = (
            self.lost_answer_probability
            and self.random.random() < self.lost_answer_probability
        )
        if answer_is_lost or not target.replies_arrive:
            await asyncio.sleep(2.0)
            raise errors.PlatformUnavailable("the answer of the worker was lost")
        await self.instance.wait_while_paused()
        return answer

    def status(self, worker: str) -> Awaitable[Any]:
        """Report the attempts of a worker."""
        return self._call(worker, "status")

    def start(self, worker: str, starts: list[Any]) -> Awaitable[Any]:
        """Start attempts on a worker."""
        return self._call(worker, "start", starts)

    def renew(self, worker: str, leases: list[Any]) -> Awaitable[Any]:
        """Renew leases of attempts on a worker."""
        return self._call(worker, "renew", leases)

    def throttle(self, worker: str, attempt: str, share: float) -> Awaitable[Any]:
        """Limit an attempt to a share of its processors."""
        return self._call(worker, "throttle", attempt, share)

    def checkpoint(self, worker: str, attempt: str) -> Awaitable[Any]:
        """Save the work of an attempt."""
        return self._call(worker, "checkpoint", attempt)

    def stop(self, worker: str, attempt: str) -> Awaitable[Any]:
        """Stop an attempt."""
        return self._call(worker, "stop", attempt)

    async def usage(self, since: int) -> list[Any]:
        """Return the usage samples numbered above ``since``."""
        await asyncio.sleep(self.delay_s)
        return self.read_usage_samples(since) if self.read_usage_samples else []


def _consume_exception(delivery: asyncio.Future[Any]) -> None:
    # An exception that nobody retrieves would be logged by asyncio.
    if not delivery.cancelled():
        delivery.exception()
