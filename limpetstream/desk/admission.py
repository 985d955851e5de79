"""Admission: bounded queues by priority, deadlines and rates of callers."""

import asyncio
import collections
import dataclasses
import itertools
import random
from typing import Any

from limpetstream import errors
from limpetstream.desk import messages

# A refusal is worth little to the caller once a tenth of its time has gone;
# the rest of that tenth is left for the way back.
QUEUE_WAIT_SHARE = 0.08
RUN_TIME_WEIGHT = 0.05
INITIAL_RUN_S = 0.05
PROBE_INTERVAL_S = 1.0
PROBE_RUN_TIME_WEIGHT = 0.5
RETRY_AFTER_RANGE_S = (1.0, 5.0)
MIN_BURST = 5.0


def random_retry_after_s(rng: random.Random) -> float:
    """Return spread seconds, so that refused callers do not return at once."""
    return rng.uniform(*RETRY_AFTER_RANGE_S)


@dataclasses.dataclass(slots=True)
class Waiter:
    """One request that waits for a slot.

    Args:
        future: Gets the slot.
        request: Request that waits.
        tried: Executors that are not to be used for it.
        wait_deadline: Monotonic time after which waiting is pointless.
        number: Order of arrival.
        prefer_fast_until: Monotonic time up to which slow executors are not
            used.
        slow_threshold_s: Expected run time above which an executor is slow.
    """

    future: asyncio.Future[Any]
    request: messages.Request
    tried: frozenset[str]
    wait_deadline: float
    number: int
    prefer_fast_until: float = float("-inf")
    slow_threshold_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class Queue:
    """Requests of one service that wait at this holder.

    Args:
        by_priority: Waiting requests by number, in order of arrival.
        run_s: Weighted mean of run times.
        last_run_at: Time of the last run.
        last_probe_at: Time of the last request that was let through although
            the run time seemed too long.
    """

    by_priority: dict[str, collections.OrderedDict[int, Waiter]] = dataclasses.field(
        default_factory=lambda: {
            name: collections.OrderedDict() for name in messages.PRIORITIES
        }
    )
    mean_run_s: float = INITIAL_RUN_S
    last_run_at: float = float("-inf")
    last_probe_at: float = float("-inf")

    def count_ahead(self, priority: str) -> int:
        """Return how many waiting requests are served before a new one."""
        upto = messages.PRIORITIES.index(priority) + 1
        return sum(len(self.by_priority[name]) for name in messages.PRIORITIES[:upto])

    def waiters(self) -> list[Waiter]:
        """Return the waiting requests in the order of service."""
        return [w for queue in self.by_priority.values() for w in queue.values()]

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.by_priority.values())


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens of one caller."""

    tokens: float
    refilled_at: float


@dataclasses.dataclass(slots=True)
class Admission:
    """Decides at once whether a request may run, wait, or is refused.

    Args:
        rng: Spreads ``Retry-After``.
    """

    rng: random.Random
    queue_by_service: dict[str, Queue] = dataclasses.field(default_factory=dict)
    bucket_by_caller: dict[str, TokenBucket] = dataclasses.field(default_factory=dict)
    _numbers: itertools.count = dataclasses.field(default_factory=itertools.count)

    def queue(self, service: str) -> Queue:
        """Return the queue of a service."""
        return self.queue_by_service.setdefault(service, Queue())

    def record_run(self, service: str, run_s: float, now: float) -> None:
        """Learn the run time of a request."""
        queue = self.queue(service)
        fresh = now - queue.last_run_at < PROBE_INTERVAL_S
        queue.mean_run_s += (RUN_TIME_WEIGHT if fresh else PROBE_RUN_TIME_WEIGHT) * (
            run_s - queue.mean_run_s
        )
        queue.last_run_at = now

    def cannot_meet_deadline(
        self, request: messages.Request, now: float, wait_s: float
    ) -> bool:
        """Tell whether a request cannot be answered by its deadline.

        One request a second is let through when nothing has run lately: a
        run time that was too long once would otherwise refuse all requests,
        and so never be learned again.
        """
        queue = self.queue(request.service)
        if now + wait_s + queue.mean_run_s <= request.deadline:
            return False
        if (
            now >= request.deadline
            or now - max(queue.last_run_at, queue.last_probe_at) < PROBE_INTERVAL_S
        ):
            return True
        queue.last_probe_at = now
        return False

    def check_rate(self, caller: str, per_s: float, now: float) -> None:
        """Count one request of a caller.

        Raises:
            NotRun: The caller sends more than its rate allows.
        """
        if per_s <= 0:
            return
        burst = max(per_s, MIN_BURST)
        rate = self.bucket_by_caller.setdefault(caller, TokenBucket(burst, now))
        rate.tokens = min(burst, rate.tokens + (now - rate.refilled_at) * per_s)
        rate.refilled_at = now
        if rate.tokens < 1.0:
            wait_s = (1.0 - rate.tokens) / per_s + self.rng.random()
            raise errors.NotRun(
                "rate-limit",
                f"at most {per_s:g} requests a second",
                retry_after_s=wait_s,
            )
        rate.tokens -= 1.0

    def expected_wait_s(self, service: str, priority: str, slots: int) -> float:
        """Return the expected wait for a slot when none is free now."""
        queue = self.queue(service)
        return (queue.count_ahead(priority) + 1) * queue.mean_run_s / max(1, slots)

    def check_queue(
        self, request: messages.Request, *, now: float, wait_s: float, limit: int
    ) -> None:
        """Refuse a request that cannot be served in time.

        Args:
            request: Request that would have to wait.
            now: Monotonic time in seconds.
            wait_s: Expected wait.
            limit: Requests that may wait per service and priority.

        Raises:
            NotRun: ``overload`` or ``deadline``.
        """
        queue = self.queue(request.service)
        if len(queue.by_priority[request.priority]) >= limit:
            self.refuse("overload", "the queue is full")
        if self.cannot_meet_deadline(request, now, wait_s):
            self.refuse("deadline", "the deadline cannot be met")
        if now + wait_s > wait_deadline(request):
            self.refuse("overload", "the wait would be too long")

    def refuse(self, reason: str, detail: str) -> None:
        """Raise a refusal with a spread time to retry.

        Raises:
            NotRun: Always.
        """
        raise errors.NotRun(
            reason, detail, retry_after_s=random_retry_after_s(self.rng)
        )

    def enqueue(self, request: messages.Request, tried: frozenset[str]) -> Waiter:
        """Let a request wait; ``leave`` must follow."""
        future = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        waiter = Waiter(future, request, tried, wait_deadline(request), number)
        self.queue(request.service).by_priority[request.priority][number] = waiter
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """End the wait of a request, with or without a slot."""
        request = waiter.request
        queue = self.queue(request.service).by_priority[request.priority]
        queue.pop(waiter.number, None)


def wait_deadline(request: messages.Request) -> float:
    """Return the time up to which a request may wait for a slot."""
    return request.received + QUEUE_WAIT_SHARE * (request.deadline - request.received)
