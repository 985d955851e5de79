"""The holder's side: queue, slot, last checks, send, and resends."""

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

# An idempotent request leaves a silent executor when half of its time is
# gone, so that the other half is enough for one more attempt.
ATTEMPT_TIME_SHARE = 0.5
ATTEMPT_RUN_FACTOR = 6.0


class RequestSender(Protocol):
    """The part of ``sender.Sender`` that a holder needs."""

    async def send(
        self,
        executor: slots.Executor,
        request: messages.Request,
        service: schema.Service,
        *,
        timeout_s: float,
        check: Callable[[], None],
    ) -> senders.SendResult:
        """Send one request."""
        ...

    def close(self, group: str) -> None:
        """Close idle connections of a group."""
        ...


def attempt_timeout_s(
    request: messages.Request, run_s: float, now: float, full: float
) -> float:
    """Return how long to wait for one attempt.

    Args:
        request: Request to send.
        run_s: Expected run time.
        now: Monotonic time in seconds.
        full: Wait when no other attempt could follow.
    """
    left = request.deadline - now
    share = max(ATTEMPT_TIME_SHARE * left, ATTEMPT_RUN_FACTOR * run_s)
    if not request.idempotent or share + run_s > left:
        return full
    return min(share, full)


@dataclasses.dataclass(slots=True)
class Holder:
    """Runs requests on the executors whose groups this instance holds.

    Args:
        context: The rest of the process.
        sender: Sends to executors.
        retry_budget: Budget that all resends of this instance share.
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
        """Follow the instance list, settings and rights; wake who can run."""
        reconciliation.refresh(self)
        for service in self.admission.queue_by_service:
            slot_allocation.grant_to_waiters(self, service)

    def available_slots_of_service(self, service: str, now: float) -> int:
        """Return how many requests could be sent at once."""
        return sum(
            self.available_slots(each, now)
            for each in self.slot_table.by_service.get(service, ())
        )

    def usable_slots_of_service(self, service: str, now: float) -> int:
        """Return how many requests may run at once, used slots included."""
        executors = self.slot_table.by_service.get(service, ())
        return sum(self.usable_slots(each, now) for each in executors)

    def measure_load(
        self, service: str, executors: Iterable[slots.Executor], now: float
    ) -> messages.Load:
        """Return the load of some executors of a service.

        The run time is the mean over free slots, so that a group whose fast
        executors are full tells so before it takes more.
        """
        queue = self.admission.queue(service)
        total = free = 0
        seconds = 0.0
        for each in executors:
            usable = self.usable_slots(each, now)
            room = max(0, usable - each.used_slots(now)) if usable else 0
            total += usable
            if room:
                free += room
                seconds += room * self.health.expected_run_s(each.id, now)
        run_s = seconds / free if free else queue.mean_run_s
        run_ms = round(run_s * 1000, 1)
        return messages.Load(
            service, "", "", total, free, len(queue), run_ms, int(now * 1000)
        )

    def usable_slots(self, executor: slots.Executor, now: float) -> int:
        """Return how many requests may run at an executor now."""
        if not executor.accepts_work or now < executor.blocked_until:
            return 0
        return self.health.allowed_slots(executor.id, executor.slot_limit, now)

    def available_slots(self, executor: slots.Executor, now: float) -> int:
        """Return how many requests an executor may get at once."""
        return max(0, self.usable_slots(executor, now) - executor.used_slots(now))

    async def run(
        self, request: messages.Request, progress: messages.Progress
    ) -> messages.Answer:
        """Run a request on one of the held executors.

        Args:
            request: Request.
            progress: Updated before each send.

        Raises:
            NotRun: Nothing was written by this call.
            OutcomeUnknown: It may have run.
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
                self._cannot_send(written, error)
            if result.answer is not None:
                result.answer.queue_s = sent - started
                result.answer.attempts = progress.attempts
            written = written or result.written
            if result.answer is not None and result.answer.outcome == "answered":
                return result.answer
            tried.add(slot.executor.id)
            if not self._may_resend(request, result, tried):
                return self._ended(result, written)

    def _cannot_send(self, written: bool, error: errors.LimpetstreamError) -> None:
        if written:
            raise errors.OutcomeUnknown(str(error)) from error
        if isinstance(error, errors.NotRun):
            raise error
        reason = "view-stale" if isinstance(error, errors.ViewStale) else "right-ended"
        after = admissions.random_retry_after_s(self.context.rng)
        raise errors.NotRun(reason, str(error), retry_after_s=after) from error

    def _may_resend(
        self, request: messages.Request, result: senders.SendResult, tried: set[str]
    ) -> bool:
        if result.written and not request.idempotent:
            return False
        executors = self.slot_table.by_service.get(request.service, ())
        if all(each.id in tried for each in executors):
            return False
        now = self.context.clock.monotonic()
        run_s = self.admission.queue(request.service).mean_run_s
        return now + run_s < request.deadline and self.retry_budget.withdraw()

    def _ended(self, result: senders.SendResult, written: bool) -> messages.Answer:
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
        # One executor's mean is too noisy to tell silence from a long run.
        usual_s = self.admission.queue(request.service).mean_run_s
        run_s = max(usual_s, self.health.expected_run_s(executor.id, now))
        full = slots.slot_hold_s(service.max_run_s)

        def check() -> None:
            epoch = self.slot_table.epoch_by_group.get(executor.group)
            self.context.check_send_allowed(executor, request, epoch)

        before = progress.written
        progress.attempts += 1
        progress.written = True
        try:
            result = await self.sender.send(
                executor,
                request,
                service,
                timeout_s=attempt_timeout_s(request, run_s, now, full),
                check=check,
            )
        except errors.LimpetstreamError:
            progress.written = before
            progress.attempts -= 1
            self._give_back(slot, request.service)
            raise
        if not result.written:
            progress.written = before
            progress.attempts -= 1
        self._settle(slot, request.service, result)
        return result

    def _settle(
        self, slot: slots.Slot, service: str, result: senders.SendResult
    ) -> None:
        if result.answer is not None or not result.written:
            self._give_back(slot, service)
        if result.answer is not None:
            now = self.context.clock.monotonic()
            result.answer.slowdown = self.health.current_slowdown(slot.executor.id, now)
        self._learn(slot.executor, service, result)

    def _learn(
        self, executor: slots.Executor, service: str, result: senders.SendResult
    ) -> None:
        ok = result.answer is not None and result.answer.outcome == "answered"
        now = self.context.clock.monotonic()
        if result.run_s > slots.slot_hold_s(self.context.service(service).max_run_s):
            # No executor takes that long: this process itself was paused.
            return
        if ok:
            self.admission.record_run(service, result.run_s, now)
        change = self.health.observe(executor.id, run_s=result.run_s, ok=ok, now=now)
        if change == "ejected":
            logs.emit(events.EXECUTOR_EJECTED, executor=executor.id, error=result.error)
        elif change == "returned":
            logs.emit(events.EXECUTOR_RETURNED, executor=executor.id)

    def _give_back(self, slot: slots.Slot, service: str) -> None:
        self.slot_table.release(slot)
        slot_allocation.grant_to_waiters(self, service)
