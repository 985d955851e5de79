"""Allocation of slots to requests, immediately or by priority after a wait."""

import asyncio
import math
from typing import TYPE_CHECKING

from limpetstream.desk import admission, executor_selection, messages, slots

if TYPE_CHECKING:
    from limpetstream.desk import holder as holders

# An executor is slow if its expected run time exceeds that of the fastest one
# by this factor. Before a request takes a slot there, it waits this share of
# the fastest run time: in a well used group a faster slot becomes free
# meanwhile.
SLOW_FACTOR = 1.4
FAST_SLOT_WAIT_RUNS = 0.15


def try_acquire(
    holder: "holders.Holder",
    request: messages.Request,
    tried: frozenset[str],
    slow_threshold_s: float = math.inf,
) -> slots.Slot | None:
    """Take a slot for a request if one is free; None otherwise.

    Args:
        holder: Holder of the slots.
        request: Request that needs a slot.
        tried: Ids of executors that must not be used.
        slow_threshold_s: Expected run time in seconds above which an executor
            is not used.
    """
    now = holder.context.clock.monotonic()
    health = holder.health

    def usable(candidate: slots.Executor) -> bool:
        if candidate.id in tried or holder.available_slots(candidate, now) <= 0:
            return False
        return (
            slow_threshold_s == math.inf
            or health.expected_run_s(candidate.id, now) <= slow_threshold_s
        )

    executor = executor_selection.pick_cheaper(
        holder.context.rng,
        holder.slot_table.by_service.get(request.service, []),
        usable,
        lambda candidate: health.expected_completion_s(
            candidate.id, candidate.used_slots(now), candidate.slot_limit, now
        ),
    )
    if executor is None:
        return None
    max_run_s = holder.context.service(request.service).max_run_s
    return holder.slot_table.take(executor, now, max_run_s)


def _fastest_run_s(holder: "holders.Holder", service: str, now: float) -> float:
    return min(
        (
            holder.health.expected_run_s(candidate.id, now)
            for candidate in holder.slot_table.by_service.get(service, ())
            if holder.usable_slots(candidate, now) > 0
        ),
        default=math.inf,
    )


async def acquire(
    holder: "holders.Holder", request: messages.Request, tried: frozenset[str]
) -> slots.Slot:
    """Return a slot for a request, after a wait if none is free.

    Args:
        holder: Holder of the slots.
        request: Request that needs a slot.
        tried: Ids of executors that must not be used.

    Raises:
        NotRun: No slot is available in time.
    """
    now = holder.context.clock.monotonic()
    service, admission_control = request.service, holder.admission
    is_next = admission_control.queue(service).count_ahead(request.priority) == 0
    fastest_run_s = _fastest_run_s(holder, service, now)
    fast_wait_s = (
        FAST_SLOT_WAIT_RUNS * fastest_run_s if fastest_run_s < math.inf else 0.0
    )
    if is_next:
        slot = try_acquire(holder, request, tried, SLOW_FACTOR * fastest_run_s)
        if slot is not None:
            return slot
    total = holder.usable_slots_of_service(service, now)
    if total == 0:
        admission_control.refuse(
            "no-holder", "no executor of this holder may take work"
        )
    if not is_next or holder.available_slots_of_service(service, now) == 0:
        wait_s = admission_control.expected_wait_s(service, request.priority, total)
        limit = holder.context.service(service).queue_limit
        admission_control.check_queue(request, now=now, wait_s=wait_s, limit=limit)
    waiter = admission_control.enqueue(request, tried)
    waiter.slow_threshold_s = SLOW_FACTOR * fastest_run_s
    waiter.prefer_fast_until = now + fast_wait_s
    return await _wait_for_slot(holder, waiter)


async def _wait_for_slot(
    holder: "holders.Holder", waiter: admission.Waiter
) -> slots.Slot:
    future, clock = waiter.future, holder.context.clock
    try:
        for wait_until in (waiter.prefer_fast_until, waiter.wait_deadline):
            left_s = wait_until - clock.monotonic()
            if left_s > 0 and not future.done():
                await asyncio.wait([future], timeout=left_s)
            grant_to_waiters(holder, waiter.request.service)
            if future.done():
                return future.result()
    finally:
        holder.admission.remove(waiter)
    future.cancel()
    holder.admission.refuse("overload", "no slot became free in time")
    raise AssertionError("Admission.refuse returned instead of raising")


def grant_to_waiters(holder: "holders.Holder", service: str) -> None:
    """Give free slots to waiting requests, highest priority first."""
    queue = holder.admission.queue(service)
    if (
        not len(queue)
        or holder.available_slots_of_service(service, holder.context.clock.monotonic())
        == 0
    ):
        return
    now = holder.context.clock.monotonic()
    for waiter in queue.waiters():
        prefers_fast = now < waiter.prefer_fast_until
        slow_threshold_s = waiter.slow_threshold_s if prefers_fast else math.inf
        slot = try_acquire(holder, waiter.request, waiter.tried, slow_threshold_s)
        if slot is not None:
            holder.admission.remove(waiter)
            waiter.future.set_result(slot)
        elif not waiter.tried and not prefers_fast:
            return
