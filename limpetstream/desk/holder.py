"""Runs requests on the executors that this instance holds, with retries."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Protocol

from limpetstream import errors
from limpetstream.desk import (
    admission as admissions,
    context as contexts,
    events,
    executor_selection,
    messages,
    reconciliation,
    retry_budget as retry_budgets,
    sender as senders,
    slot_allocation,
    slots,
)
from limpetstream.settings import schema
from limpetstream.telemetry import logs

# The first attempt of an idempotent request may take half of the time left, so
# that the other half suffices for one more attempt at another executor. It may
# take at least this many expected run times, though.
ATTEMPT_TIME_SHARE = 0.5
ATTEMPT_RUN_FACTOR = 6.0


class RequestSender(Protocol):
    """Interface of ``sender.Sender`` that a holder uses."""

    async def send(
        self,
        executor: slots.Executor,
        request: messages.Request,
        service: schema.Service,
        *,
        timeout_s: float,
        check: Callable[[], None],
    ) -> senders.SendResult:
        """Send one request, see ``sender.Sender.send``."""
        ...

    def close(self, group: str) -> None:
        """Close the idle connections of a group."""
        ...


def attempt_timeout_s(
    request: messages.Request, run_s: float, now: float, full_wait_s: float
) -> float:
    """Return how many seconds to wait for the answer to one attempt.

    Args:
        request: Request to send.
        run_s: Expected run time in seconds.
        now: Monotonic time in seconds.
        full_wait_s: Wait in seconds if no other attempt can follow.
    """
    left_s = request.deadline - now
    wait_s = max(ATTEMPT_TIME_SHARE * left_s, ATTEMPT_RUN_FACTOR * run_s)
    if not request.idempotent or wait_s + run_s > left_s:
        return full_wait_s
    return min(wait_s, full_wait_s)


@dataclasses.dataclass(slots=True)
class Holder:
    """Runs requests on the executors whose groups this instance holds.

    Args:
        context: Parts of the process that desk requests use.
        sender: Sends requests to executors.
        retry_budget: Budget for all retries of this instance.
        slot_table: Slots of the held executors.
        health: Latency and ejection of the held executors.
        admission: Queues of waiting requests.
        observed: Instance list, settings and rights as last adopted.
    """

    context: contexts.Context
    sender: RequestSender
    retry_budget: retry_budgets.RetryBudget
    slot_table: slots.SlotTable = dataclasses.field(default_factory=slots.SlotTable)
    health: executor_selection.HealthTracker = dataclasses.field(
        default_factory=executor_selection.HealthTracker
    )
    admission: admissions.Admission = dataclasses.field(init=False)
    observed: reconciliation.ObservedState = dataclasses.field(
        default_factory=reconciliation.ObservedState
    )

    def __post_init__(self) -> None:
        self.admission = admissions.Admission(self.context.rng)

    def refresh(self) -> None:
        """Adopt instance list, settings and rights, then grant free slots."""
        reconciliation.refresh(self)
        for service in self.admission.queue_by_service:
            slot_allocation.grant_to_waiters(self, service)

    def available_slots_of_service(self, service: str, now: float) -> int:
        """Return how many requests of a service could be sent immediately."""
        return sum(
            self.available_slots(executor, now)
            for executor in self.slot_table.by_service.get(service, ())
        )

    def usable_slots_of_service(self, service: str, now: float) -> int:
        """Return how many requests of a service may run at the same time."""
        executors = self.slot_table.by_service.get(service, ())
        return sum(self.usable_slots(executor, now) for executor in executors)

    def measure_load(
        self, service: str, executors: Iterable[slots.Executor], now: float
    ) -> messages.Load:
        """Return the load of some executors of a service.

        The run time is the mean over free slots, so that it rises as soon as
        the fast executors of a group are full.

        Args:
            service: Name of the desk service.
            executors: Executors to sum over.
            now: Monotonic time in seconds.
        """
        queue = self.admission.queue(service)
        usable_total = available_total = 0
        weighted_run_s = 0.0
        for executor in executors:
            usable = self.usable_slots(executor, now)
            available = max(0, usable - executor.used_slots(now)) if usable else 0
            usable_total += usable
            if available:
                available_total += available
                weighted_run_s += available * self.health.expected_run_s(
                    executor.id, now
                )
        run_s = (
            weighted_run_s / available_total if available_total else queue.mean_run_s
        )
        run_ms = round(run_s * 1000, 1)
        return messages.Load(
            service,
            "",
            "",
            usable_total,
            available_total,
            len(queue),
            run_ms,
            int(now * 1000),
        )

    def usable_slots(self, executor: slots.Executor, now: float) -> int:
        """Return how many requests may run at an executor at the same time."""
        if not executor.accepts_work or now < executor.blocked_until:
            return 0
        return self.health.allowed_slots(executor.id, executor.slot_limit, now)

    def available_slots(self, executor: slots.Executor, now: float) -> int:
        """Return how many more requests an executor may get now."""
        return max(0, self.usable_slots(executor, now) - executor.used_slots(now))

    async def run(
        self, request: messages.Request, progress: messages.Progress
    ) -> messages.Answer:
        """Run a request on one of the held executors.

        Args:
            request: Request to run.
            progress: Updated before each send.

        Raises:
            NotRun: This call wrote nothing to a backend server.
            OutcomeUnknown: The request may have run.
        """
        tried: set[str] = set()
        written = False
        started = self.context.clock.monotonic()
        while True:
            slot = await slot_allocation.acquire(self, request, frozenset(tried))
            sent = self.context.clock.monotonic()
            try:
                result = await self._attempt(slot, request, progress)
            except (errors.RightEnded, errors.ViewStale, errors.NotRun) as error:
                self._raise_not_sent(written, error)
            if result.answer is not None:
                result.answer.queue_s = sent - started
                result.answer.attempts = progress.attempts
            written = written or result.written
            if result.answer is not None and result.answer.outcome == "answered":
                return result.answer
            tried.add(slot.executor.id)
            if not self._may_retry(request, result, tried):
                return self._final_answer(result, written)

    def _raise_not_sent(self, written: bool, error: errors.LimpetstreamError) -> None:
        if written:
            raise errors.OutcomeUnknown(str(error)) from error
        if isinstance(error, errors.NotRun):
            raise error
        reason = "view-stale" if isinstance(error, errors.ViewStale) else "right-ended"
        after = admissions.random_retry_after_s(self.context.rng)
        raise errors.NotRun(reason, str(error), retry_after_s=after) from error

    def _may_retry(
        self, request: messages.Request, result: senders.SendResult, tried: set[str]
    ) -> bool:
        if result.written and not request.idempotent:
            return False
        executors = self.slot_table.by_service.get(request.service, ())
        if all(executor.id in tried for executor in executors):
            return False
        now = self.context.clock.monotonic()
        run_s = self.admission.queue(request.service).mean_run_s
        return now + run_s < request.deadline and self.retry_budget.withdraw()

    def _final_answer(
        self, result: senders.SendResult, written: bool
    ) -> messages.Answer:
        if result.answer is not None:
            return result.answer
        if written:
            raise errors.OutcomeUnknown(result.error)
        after = admissions.random_retry_after_s(self.context.rng)
        raise errors.NotRun("no-executor", result.error, retry_after_s=after)

    async def _attempt(
        self,
        slot: slots.Slot,
        request: messages.Request,
        progress: messages.Progress,
    ) -> senders.SendResult:
        executor = slot.executor
        now = self.context.clock.monotonic()
        service = self.context.service(request.service)
        # The mean of a single executor is too noisy to tell a lost request
        # from a long run.
        service_run_s = self.admission.queue(request.service).mean_run_s
        run_s = max(service_run_s, self.health.expected_run_s(executor.id, now))
        full_wait_s = slots.slot_hold_s(service.max_run_s)

        def check() -> None:
            epoch = self.slot_table.epoch_by_group.get(executor.group)
            self.context.check_send_allowed(executor, request, epoch)

        written_before = progress.written
        progress.attempts += 1
        progress.written = True
        try:
            result = await self.sender.send(
                executor,
                request,
                service,
                timeout_s=attempt_timeout_s(request, run_s, now, full_wait_s),
                check=check,
            )
        except errors.LimpetstreamError:
            progress.written = written_before
            progress.attempts -= 1
            self._release_slot(slot, request.service)
            raise
        if not result.written:
            progress.written = written_before
            progress.attempts -= 1
        self._finish_attempt(slot, request.service, result)
        return result

    def _finish_attempt(
        self, slot: slots.Slot, service: str, result: senders.SendResult
    ) -> None:
        if result.answer is not None or not result.written:
            self._release_slot(slot, service)
        if result.answer is not None:
            now = self.context.clock.monotonic()
            result.answer.slowdown = self.health.current_slowdown(slot.executor.id, now)
        self._record_result(slot.executor, service, result)

    def _record_result(
        self, executor: slots.Executor, service: str, result: senders.SendResult
    ) -> None:
        answered = result.answer is not None and result.answer.outcome == "answered"
        now = self.context.clock.monotonic()
        if result.run_s > slots.slot_hold_s(self.context.service(service).max_run_s):
            # No executor takes that long, so this process itself was paused.
            return
        if answered:
            self.admission.record_run(service, result.run_s, now)
        change = self.health.observe(
            executor.id, run_s=result.run_s, answered=answered, now=now
        )
        if change == "ejected":
            logs.emit(events.EXECUTOR_EJECTED, executor=executor.id, error=result.error)
        elif change == "returned":
            logs.emit(events.EXECUTOR_RETURNED, executor=executor.id)

    def _release_slot(self, slot: slots.Slot, service: str) -> None:
        self.slot_table.release(slot)
        slot_allocation.grant_to_waiters(self, service)
