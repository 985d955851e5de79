"""Slots for requests: at once, after a short wait, or in order of priority."""

import asyncio
import math
from typing import TYPE_CHECKING

from limpetstream.desk import admission, executor_selection, messages, slots

if TYPE_CHECKING:
    from limpetstream.desk import holder as holders

# An executor whose run time is this far above the fastest one's is slow. A
# request waits a moment for another one before it takes a slot there: in a
# well used group a faster slot becomes free within that time.
SLOW_FACTOR = 1.4
FAST_SLOT_WAIT_RUNS = 0.15


def try_acquire(
    holder: "holders.Holder",
    request: messages.Request,
    tried: frozenset[str],
    slow_threshold_s: float = math.inf,
) -> slots.Slot | None:
    """Take a free slot for a request.

    Args:
        holder: Holder of the slots.
        request: Request.
        tried: Executors that are not to be used.
        slow_threshold_s: Expected run time above which an executor is not
            used.
    """
    now = holder.context.clock.monotonic()
    health = holder.health

    def usable(each: slots.Executor) -> bool:
        if each.id in tried or holder.available_slots(each, now) <= 0:
            return False
        return (
            slow_threshold_s == math.inf
            or health.expected_run_s(each.id, now) <= slow_threshold_s
        )

    executor = executor_selection.pick_cheaper(
        holder.context.rng,
        holder.slot_table.by_service.get(request.service, []),
        usable,
        lambda each: health.expected_completion_s(
            each.id, each.used_slots(now), each.slot_limit, now
        ),
    )
    if executor is None:
        return None
    max_run_s = holder.context.service(request.service).max_run_s
    return holder.slot_table.take(executor, now, max_run_s)


def _fastest_s(holder: "holders.Holder", service: str, now: float) -> float:
    return min(
        (
            holder.health.expected_run_s(each.id, now)
            for each in holder.slot_table.by_service.get(service, ())
            if holder.usable_slots(each, now) > 0
        ),
        default=math.inf,
    )


async def acquire(
    holder: "holders.Holder", request: messages.Request, tried: frozenset[str]
) -> slots.Slot:
    """Return a slot for a request, after a wait if needed.

    Raises:
        NotRun: No slot can be had in time.
    """
    now = holder.context.clock.monotonic()
    service, gate = request.service, holder.admission
    first = gate.queue(service).count_ahead(request.priority) == 0
    fastest_s = _fastest_s(holder, service, now)
    patience_s = FAST_SLOT_WAIT_RUNS * fastest_s if fastest_s < math.inf else 0.0
    if first:
        found = try_acquire(holder, request, tried, SLOW_FACTOR * fastest_s)
        if found is not None:
            return found
    total = holder.usable_slots_of_service(service, now)
    if total == 0:
        gate.refuse("no-holder", "no executor here may take work")
    if not first or holder.available_slots_of_service(service, now) == 0:
        wait_s = gate.expected_wait_s(service, request.priority, total)
        limit = holder.context.service(service).queue_limit
        gate.check_queue(request, now=now, wait_s=wait_s, limit=limit)
    waiter = gate.enqueue(request, tried)
    waiter.slow_threshold_s = SLOW_FACTOR * fastest_s
    waiter.prefer_fast_until = now + patience_s
    return await _wait(holder, waiter)


async def _wait(holder: "holders.Holder", waiter: admission.Waiter) -> slots.Slot:
    future, clock = waiter.future, holder.context.clock
    try:
        for until in (waiter.prefer_fast_until, waiter.wait_deadline):
            left = until - clock.monotonic()
            if left > 0 and not future.done():
                await asyncio.wait([future], timeout=left)
            grant_to_waiters(holder, waiter.request.service)
            if future.done():
                return future.result()
    finally:
        holder.admission.remove(waiter)
    future.cancel()
    holder.admission.refuse("overload", "no slot became free in time")
    raise AssertionError("refuse returns")


def grant_to_waiters(holder: "holders.Holder", service: str) -> None:
    """Give free slots to the requests that wait, best priority first."""
    queue = holder.admission.queue(service)
    if (
        not len(queue)
        or holder.available_slots_of_service(service, holder.context.clock.monotonic())
        == 0
    ):
        return
    now = holder.context.clock.monotonic()
    for waiter in queue.waiters():
        patient = now < waiter.prefer_fast_until
        slow_threshold_s = waiter.slow_threshold_s if patient else math.inf
        found = try_acquire(holder, waiter.request, waiter.tried, slow_threshold_s)
        if found is not None:
            holder.admission.remove(waiter)
            waiter.future.set_result(found)
        elif not waiter.tried and not patient:
            return
