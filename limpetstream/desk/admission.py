"""Admission control: bounded priority queues, deadlines and rate limits."""

import asyncio
import collections
import dataclasses
import itertools
import random
from typing import Any

from limpetstream import errors
from limpetstream.desk import messages

# Share of the time to its deadline that a request may spend in a queue. A
# refusal has little value once a tenth of that time has passed; the rest of
# that tenth is left for the refusal to reach the caller.
QUEUE_WAIT_SHARE = 0.08
# Weight of a new run time in the mean, and the mean before any run.
RUN_TIME_WEIGHT = 0.05
INITIAL_RUN_S = 0.05
# After this long without a run, a request is admitted as a probe although the
# mean run time does not fit its deadline. The next run time weighs more.
PROBE_INTERVAL_S = 1.0
PROBE_RUN_TIME_WEIGHT = 0.5
RETRY_AFTER_RANGE_S = (1.0, 5.0)
# Least number of requests that a caller with a rate limit may make at once.
MIN_BURST = 5.0


def random_retry_after_s(rng: random.Random) -> float:
    """Return a random delay, so that refused callers do not retry together."""
    return rng.uniform(*RETRY_AFTER_RANGE_S)


@dataclasses.dataclass(slots=True)
class Waiter:
    """One request that waits for a slot.

    Args:
        future: Receives the slot.
        request: Request that waits.
        tried: Ids of executors that must not be used for it.
        wait_deadline: Monotonic time at which the wait ends with a refusal.
        number: Sequence number of arrival.
        prefer_fast_until: Monotonic time until which slow executors are not
            used.
        slow_threshold_s: Expected run time in seconds above which an executor
            is slow.
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
        mean_run_s: Exponentially weighted mean of run times.
        last_run_at: Monotonic time at which the last run ended.
        last_probe_at: Monotonic time of the last request that was admitted
            although the mean run time did not fit its deadline.
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
        """Return how many waiting requests go before a new one."""
        end = messages.PRIORITIES.index(priority) + 1
        return sum(len(self.by_priority[name]) for name in messages.PRIORITIES[:end])

    def waiters(self) -> list[Waiter]:
        """Return the waiting requests in the order in which they get slots."""
        return [
            waiter for queue in self.by_priority.values() for waiter in queue.values()
        ]

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.by_priority.values())


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket of one caller.

    Args:
        tokens: Requests that may be made now.
        refilled_at: Monotonic time up to which tokens were added.
    """

    tokens: float
    refilled_at: float


@dataclasses.dataclass(slots=True)
class Admission:
    """Decides on arrival whether a request may run, must wait or is refused.

    Args:
        rng: Source of random delays for ``Retry-After``.
    """

    rng: random.Random
    queue_by_service: dict[str, Queue] = dataclasses.field(default_factory=dict)
    bucket_by_caller: dict[str, TokenBucket] = dataclasses.field(default_factory=dict)
    _numbers: itertools.count = dataclasses.field(default_factory=itertools.count)

    def queue(self, service: str) -> Queue:
        """Return the queue of a service."""
        return self.queue_by_service.setdefault(service, Queue())

    def record_run(self, service: str, run_s: float, now: float) -> None:
        """Update the mean run time of a service after a run."""
        queue = self.queue(service)
        fresh = now - queue.last_run_at < PROBE_INTERVAL_S
        queue.mean_run_s += (RUN_TIME_WEIGHT if fresh else PROBE_RUN_TIME_WEIGHT) * (
            run_s - queue.mean_run_s
        )
        queue.last_run_at = now

    def cannot_meet_deadline(
        self, request: messages.Request, now: float, wait_s: float
    ) -> bool:
        """Tell whether a request is unlikely to be answered by its deadline.

        When nothing has run recently, one request a second is admitted as a
        probe. Otherwise a mean run time that was once too long would cause
        the refusal of all requests and so would never be corrected.

        Args:
            request: Request to judge.
            now: Monotonic time in seconds.
            wait_s: Expected wait for a slot, in seconds.
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
        """Take a token of a caller for one request.

        Args:
            caller: Name of the caller.
            per_s: Requests per second that it may make; 0 for no limit.
            now: Monotonic time in seconds.

        Raises:
            NotRun: ``rate-limit``: the caller exceeds its rate.
        """
        if per_s <= 0:
            return
        burst = max(per_s, MIN_BURST)
        bucket = self.bucket_by_caller.setdefault(caller, TokenBucket(burst, now))
        bucket.tokens = min(burst, bucket.tokens + (now - bucket.refilled_at) * per_s)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            wait_s = (1.0 - bucket.tokens) / per_s + self.rng.random()
            raise errors.NotRun(
                "rate-limit",
                f"the caller may make at most {per_s:g} requests a second",
                retry_after_s=wait_s,
            )
        bucket.tokens -= 1.0

    def expected_wait_s(self, service: str, priority: str, slots: int) -> float:
        """Return the expected wait in seconds for a slot when none is free.

        Args:
            service: Name of the desk service.
            priority: Priority of the new request.
            slots: Slots of the service at this holder.
        """
        queue = self.queue(service)
        return (queue.count_ahead(priority) + 1) * queue.mean_run_s / max(1, slots)

    def check_queue(
        self, request: messages.Request, *, now: float, wait_s: float, limit: int
    ) -> None:
        """Refuse a request that could not get a slot in time.

        Args:
            request: Request that would have to wait.
            now: Monotonic time in seconds.
            wait_s: Expected wait in seconds.
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
        """Raise a refusal with a random delay for the retry.

        Raises:
            NotRun: Always.
        """
        raise errors.NotRun(
            reason, detail, retry_after_s=random_retry_after_s(self.rng)
        )

    def enqueue(self, request: messages.Request, tried: frozenset[str]) -> Waiter:
        """Add a request to its queue; ``remove`` must follow.

        Args:
            request: Request that waits.
            tried: Ids of executors that must not be used for it.
        """
        future = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        waiter = Waiter(future, request, tried, wait_deadline(request), number)
        self.queue(request.service).by_priority[request.priority][number] = waiter
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from its queue, with or without a slot."""
        request = waiter.request
        queue = self.queue(request.service).by_priority[request.priority]
        queue.pop(waiter.number, None)


def wait_deadline(request: messages.Request) -> float:
    """Return the monotonic time until which a request may wait for a slot."""
    return request.received + QUEUE_WAIT_SHARE * (request.deadline - request.received)
