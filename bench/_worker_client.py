"""Calls of a fake entry instance to fake workers, with faults."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from typing import Any

from bench import _platform_fakes
from limpetstream import errors


@dataclasses.dataclass(slots=True)
class WorkerClient:
    """Calls of one instance to workers, over a network with faults.

    A call that its caller gives up is delivered all the same.
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
        delivery.add_done_callback(_retrieve)
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
            raise errors.PlatformUnavailable("no answer")
        answer = getattr(target, method)(*arguments)
        await asyncio.sleep(self.delay_s)
        lost = (
            self.lost_answer_probability
            and self.random.random() < self.lost_answer_probability
        )
        if lost or not target.replies_arrive:
            await asyncio.sleep(2.0)
            raise errors.PlatformUnavailable("answer lost")
        await self.instance.wait_while_paused()
        return answer

    def status(self, worker: str) -> Awaitable[Any]:
        """See section 3.3."""
        return self._call(worker, "status")

    def start(self, worker: str, starts: list[Any]) -> Awaitable[Any]:
        """See section 3.3."""
        return self._call(worker, "start", starts)

    def renew(self, worker: str, leases: list[Any]) -> Awaitable[Any]:
        """See section 3.3."""
        return self._call(worker, "renew", leases)

    def throttle(self, worker: str, attempt: str, share: float) -> Awaitable[Any]:
        """See section 3.3."""
        return self._call(worker, "throttle", attempt, share)

    def checkpoint(self, worker: str, attempt: str) -> Awaitable[Any]:
        """See section 3.3."""
        return self._call(worker, "checkpoint", attempt)

    def stop(self, worker: str, attempt: str) -> Awaitable[Any]:
        """See section 3.3."""
        return self._call(worker, "stop", attempt)

    async def usage(self, since: int) -> list[Any]:
        """See section 3.3."""
        await asyncio.sleep(self.delay_s)
        return self.read_usage_samples(since) if self.read_usage_samples else []


def _retrieve(delivery: asyncio.Future[Any]) -> None:
    if not delivery.cancelled():
        delivery.exception()
