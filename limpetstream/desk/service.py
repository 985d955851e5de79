"""Serves desk requests, from their arrival to their answer.

Desk requests are the latency-critical requests that backend servers answer.
Every request gets an entry in its caller's account, a durable record of the
caller's requests and their outcomes. An answer of a backend server is returned
only after this entry is durable.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any

from limpetstream import errors
from limpetstream.desk import (
    admission,
    answer_cache as answer_caches,
    at_most_once,
    context as contexts,
    events,
    forwarding,
    generated_answers,
    holder as holders,
    intents as intent_tables,
    load_table as load_tables,
    messages,
    retry_budget,
    router as routers,
    slots,
)
from limpetstream.telemetry import histograms, logs, metrics as metric

REFRESH_INTERVAL_S = 0.1
# A request may be tried at a first holder and at two others. This instance
# counts as one of them if it holds executors of the service.
MAX_TARGETS = 3
# Reasons of a refusal by one holder that need not apply to another one.
RETRY_ELSEWHERE_REASONS = frozenset(
    {"overload", "no-holder", "right-ended", "no-executor", "leaving", "view-stale"}
    | {"executor-leaving", "data-centre-out"}
)


@dataclasses.dataclass(slots=True)
class Desk:
    """Desk requests of one entry instance.

    Args:
        own_id: Id of this instance.
        data_centre: Data centre of this instance.
        context: Parts of the process that desk requests use.
        holder: Runs requests on the executors that this instance holds.
        intents: Intents by request. An intent is a record that is appended to
            the log before a non-idempotent request is sent.
        committer: Appends records to the log and reads them back.
        accounts: Ledger, which writes the callers' accounts.
        peers: Client of other entry instances.
        latencies: Latency histograms.
        metrics: Counters.
        answer_cache: Requests in progress, and answers that are kept for
            repeats and later queries.
        load_table: How busy the groups of executors of all holders are.
        router: Chooses the holder of a request.
        draining: Whether new requests are refused because of a stop.
        last_token_number: Number in the token, that is the id, of the last
            intent that this instance wrote.
        tasks: Requests and other work that do not end with their caller.
        in_flight_by_service: Number of admitted requests in progress.
    """

    own_id: str
    data_centre: str
    context: contexts.Context
    holder: holders.Holder
    intents: intent_tables.IntentTable
    committer: Any
    accounts: Any
    peers: Any
    latencies: histograms.LatencyRecorder
    metrics: metric.Metrics
    answer_cache: answer_caches.AnswerCache = dataclasses.field(
        default_factory=answer_caches.AnswerCache
    )
    load_table: load_tables.LoadTable = dataclasses.field(init=False)
    router: routers.Router = dataclasses.field(init=False)
    draining: bool = False
    last_token_number: int = 0
    tasks: set[asyncio.Task[Any]] = dataclasses.field(default_factory=set)
    in_flight_by_service: dict[str, int] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.load_table = load_tables.LoadTable(self.context.rng)
        self.router = routers.Router(
            self.own_id, self.data_centre, self.holder, self.load_table
        )

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task that goes on when its caller goes away."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Serve one request of a caller and return its answer.

        The request goes on when the caller goes away, and its answer is kept.

        Raises:
            Rejected: The request id was used with another body or service, or
                was first used more than a day ago.
        """
        at_most_once.check_request_id(self.intents, request)
        entry, is_new = self.answer_cache.get_or_create(request)
        if is_new:
            self.spawn(self._run(request, entry))
        left_s = request.deadline - self.context.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await entry.done.wait()
        except TimeoutError:
            return generated_answers.unknown(
                "the deadline has passed; query the outcome by request id"
            )
        if entry.error is not None:
            raise entry.error
        if not entry.recorded and not is_new:
            await self._record_repeat(request, entry)
        if entry.answer is None or not entry.recorded:
            return generated_answers.unknown("the account entry is not confirmed yet")
        return entry.answer

    async def _run(
        self, request: messages.Request, entry: answer_caches.CacheEntry
    ) -> None:
        progress = messages.Progress()
        receipt = self._record_receipt(request)
        answer, error = await self._serve_without_raising(request, progress)
        self._record_metrics(request, answer)
        if not isinstance(error, errors.Rejected):
            self.accounts.record_outcome(
                receipt,
                state=answer.outcome,
                attempts=answer.attempts,
                detail=answer.reason,
            )
        entry.error = error if isinstance(error, errors.Rejected) else None
        entry.recorded = await self._wait_until_recorded(request, receipt, answer)
        self.answer_cache.complete(request.key, entry, answer)
        if answer.outcome == "unknown" and progress.forwarded_to:
            await at_most_once.resolve_lost_forward(self, request, receipt, progress)

    async def _record_repeat(
        self, request: messages.Request, entry: answer_caches.CacheEntry
    ) -> None:
        """Record a repeat for which an answer is kept, so that it may be told.

        The instance that got the request first may have ended before its
        account entry was durable.
        """
        answer = entry.answer
        if answer is None or answer.outcome not in ("answered", "failed"):
            return
        if not self.accounts.can_record(self.context.clock.monotonic()):
            return
        receipt = self._record_receipt(request)
        self.accounts.record_outcome(
            receipt,
            state=answer.outcome,
            attempts=answer.attempts,
            detail=answer.reason,
        )
        if await self._wait_until_recorded(request, receipt, answer):
            entry.recorded = True

    def _record_receipt(self, request: messages.Request) -> Any:
        return self.accounts.record_receipt(
            request.caller,
            request.request_id,
            kind="desk",
            received_ms=request.received_ms,
            body_hash=request.body_hash,
        )

    async def _serve_without_raising(
        self, request: messages.Request, progress: messages.Progress
    ) -> tuple[messages.Answer, Exception | None]:
        earlier_intent = self.intents.by_key.get(request.key)
        try:
            return await self._admit_and_dispatch(request, progress), None
        except errors.NotRun as error:
            if earlier_intent is not None and earlier_intent.may_have_run:
                # The refusal is that of this repeat alone.
                return generated_answers.unknown(str(error)), error
            return generated_answers.from_error(error, progress), error
        except errors.OutcomeUnknown as error:
            return generated_answers.unknown(str(error), progress.attempts), error
        except errors.Rejected as error:
            return generated_answers.rejected(error), error
        except Exception as error:
            logs.emit(events.REQUEST_FAULT, error=f"{type(error).__name__}: {error}")
            return generated_answers.from_internal_error(progress), error

    async def _wait_until_recorded(
        self, request: messages.Request, receipt: Any, answer: messages.Answer
    ) -> bool:
        now = self.context.clock.monotonic()
        left_s = request.deadline - now
        if answer.outcome == "not-run":
            # A late refusal has no value for the caller, so it is returned at
            # the latest when the request may no longer wait for a slot.
            left_s = min(left_s, admission.wait_deadline(request) - now)
        try:
            await self.accounts.wait_until_recorded(receipt, timeout_s=max(0.0, left_s))
        except (errors.LimpetstreamError, TimeoutError):
            # A refusal is returned without a confirmed account entry.
            return answer.outcome == "not-run"
        return True

    async def _admit_and_dispatch(
        self, request: messages.Request, progress: messages.Progress
    ) -> messages.Answer:
        self._admit(request)
        service = request.service
        self.in_flight_by_service[service] = (
            self.in_flight_by_service.get(service, 0) + 1
        )
        try:
            # Each admitted request adds to the budget for retries.
            self.holder.retry_budget.deposit()
            # A request with an intent stays non-idempotent, even if it is
            # repeated with an ``Idempotent`` header that says otherwise.
            if request.idempotent and request.key not in self.intents.by_key:
                return await self.dispatch(request, progress)
            return await at_most_once.run(self, request, progress)
        finally:
            self.in_flight_by_service[service] -= 1

    def _admit(self, request: messages.Request) -> None:
        now = self.context.clock.monotonic()
        admission_control = self.holder.admission
        # ``refuse`` always raises ``NotRun``.
        if self.draining:
            admission_control.refuse("leaving", "this instance is stopping")
        admission_control.check_rate(request.caller, request.rate_limit, now)
        # Even without a wait for a slot (0.0 s), the run has to fit.
        if admission_control.cannot_meet_deadline(request, now, 0.0):
            admission_control.refuse("deadline", "the deadline cannot be met")
        if not self.accounts.can_record(now):
            admission_control.refuse(
                "account-unavailable", "the ledger cannot record the request now"
            )
        service = self.context.service(request.service)
        # The groups of all holders count, as the instance list names them.
        group_sizes = self.holder.observed.group_sizes_by_service.get(
            request.service, {}
        )
        total_slots = sum(group_sizes.values()) * service.slots
        in_flight = self.in_flight_by_service.get(request.service, 0)
        if in_flight >= total_slots + service.queue_limit:
            admission_control.refuse(
                "overload", "too many requests of this service are in progress"
            )

    async def dispatch(
        self, request: messages.Request, progress: messages.Progress
    ) -> messages.Answer:
        """Run a request at this instance or at another holder.

        A holder never forwards a forwarded request. Each further holder that
        is tried counts as a retry and needs retry budget. After a refusal,
        another holder is tried only before the wait deadline (see
        ``admission.wait_deadline``), and part of the budget stays reserved for
        requests that failed. After an unknown outcome, another one is tried
        only if the request is idempotent.

        Args:
            request: Request to run.
            progress: Updated before each send and forward.

        Raises:
            NotRun: Nothing was written to a backend server.
            OutcomeUnknown: The request may have run.
        """
        excluded: set[str] = set()
        refusal = errors.NotRun(
            "no-holder", "no instance holds executors of this service"
        )
        for _ in range(MAX_TARGETS):
            now = self.context.clock.monotonic()
            target = self.router.choose(request, now, excluded)
            if target is None:
                break
            excluded.add(target.member)
            try:
                return await self._try_target(target, request, progress)
            except errors.NotRun as error:
                refusal, reserve = error, retry_budget.FAILURE_RESERVE
                try_another = (
                    error.reason in RETRY_ELSEWHERE_REASONS
                    and self._before_wait_deadline(request)
                )
            except errors.OutcomeUnknown:
                try_another, reserve = request.idempotent, 0.0
            if not try_another or not self._time_for_another_attempt(request):
                break
            if not self.holder.retry_budget.withdraw(reserve=reserve):
                break
        if progress.written:
            raise errors.OutcomeUnknown("no holder returned an answer")
        refusal.retry_after_s = refusal.retry_after_s or admission.random_retry_after_s(
            self.context.rng
        )
        raise refusal

    def _before_wait_deadline(self, request: messages.Request) -> bool:
        now = self.context.clock.monotonic()
        return now < admission.wait_deadline(request)

    def _time_for_another_attempt(self, request: messages.Request) -> bool:
        now = self.context.clock.monotonic()
        run_s = self.holder.admission.queue(request.service).mean_run_s
        return now + run_s < request.deadline

    async def _try_target(
        self,
        target: routers.Target,
        request: messages.Request,
        progress: messages.Progress,
    ) -> messages.Answer:
        if target.member == routers.THIS_INSTANCE:
            return await self.holder.run(request, progress)
        return await forwarding.forward(self, target, request, progress)

    def _record_metrics(
        self, request: messages.Request, answer: messages.Answer
    ) -> None:
        total_s = self.context.clock.monotonic() - request.received
        self.latencies.record(
            request.service,
            total_s * 1000,
            outcome=answer.outcome,
            cause=generated_answers.latency_cause(answer, total_s),
            data_centre=answer.data_centre,
        )
        self.metrics.increment(
            "desk_requests", service=request.service, outcome=answer.outcome
        )
        if answer.outcome == "not-run":
            self.metrics.increment(
                "refusals", service=request.service, reason=answer.reason
            )

    async def run_refresh_loop(self) -> None:
        """Refresh groups and slots and exchange loads until cancelled."""
        refreshes_per_exchange = round(
            load_tables.EXCHANGE_INTERVAL_S / REFRESH_INTERVAL_S
        )
        while True:
            for _ in range(refreshes_per_exchange):
                self._refresh_once()
                await self.context.clock.sleep(REFRESH_INTERVAL_S)
            self.spawn(forwarding.exchange_loads(self))

    def _refresh_once(self) -> None:
        try:
            self.holder.refresh()
            self.router.update_reference_run_times(self.context.clock.monotonic())
        except Exception as error:
            # The loop must go on, or this instance would serve requests with
            # an old instance list, old settings and old rights.
            logs.emit(events.FOLLOW_FAULT, error=f"{type(error).__name__}: {error}")

    async def drain(self) -> None:
        """Refuse new requests and wait until all tasks have ended.

        Every task ends by itself. A run has a longest time; waits for account
        entries and searches for lost answers have time limits.
        """
        self.draining = True
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def apply_usage_samples(self, samples: Iterable[Mapping[str, Any]]) -> None:
        """Apply the slowdowns in the platform's ``GET /usage`` reply.

        A slowdown is the run time at an executor in multiples of that on an
        idle worker.
        """
        now, wall_ms = self.context.clock.monotonic(), self.context.clock.wall_ms()
        for sample in samples:
            executor, slowdown = sample.get("executor"), sample.get("slowdown")
            if executor and slowdown:
                age_s = max(0.0, (wall_ms - sample["at_ms"]) / 1000)
                self.holder.health.add_usage_sample(executor, slowdown, now - age_s)

    def max_in_flight_s(self, service: str) -> float:
        """Return how long a sent request may run unanswered, in seconds.

        For that long, its slot on the executor stays in use.
        """
        return slots.slot_hold_s(self.context.service(service).max_run_s)
