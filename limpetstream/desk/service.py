"""The whole path of a desk request, from arrival to the account."""

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

REFRESH_S = 0.1
# A request may try this instance and two other holders.
TARGETS_MAX = 3
# Refusals by a holder that another holder need not share.
RETRY_ELSEWHERE_REASONS = frozenset(
    {"overload", "no-holder", "right-ended", "no-executor", "leaving", "view-stale"}
    | {"executor-leaving", "data-centre-out"}
)


@dataclasses.dataclass(slots=True)
class Desk:
    """Desk requests of one entry instance.

    Args:
        own_id: Id of this instance.
        data_centre: Its data centre.
        context: View, directory, settings, rights, members and time.
        holder: The own executor groups.
        intents: Folded intents.
        committer: Appends records.
        accounts: Ledger of the callers' accounts.
        peers: Client of other entry instances.
        latencies: Histograms.
        metrics: Counters.
        answer_cache: Kept answers.
    """

    own_id: str
    data_centre: str
    context: contexts.Context
    holder: holders.Holder
    intents: intent_tables.IntentTable
    committer: Any
    accounts: Any
    peers: Any
    latencies: histograms.Latencies
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

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work that goes on when its caller goes away."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Serve one request of a caller.

        The request goes on when the caller goes away, and its answer is kept.

        Raises:
            Rejected: Its id was used with another body.
        """
        at_most_once.check_request_id(self.intents, request)
        kept, first = self.answer_cache.get_or_create(request)
        if first:
            self.spawn(self._run(request, kept))
        left = request.deadline - self.context.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await kept.done.wait()
        except TimeoutError:
            return generated_answers.unknown(
                "the deadline has passed; ask by request id"
            )
        if kept.error is not None:
            raise kept.error
        if kept.answer is None or not kept.recorded:
            return generated_answers.unknown("the account entry is not confirmed yet")
        return kept.answer

    async def _run(
        self, request: messages.Request, kept: answer_caches.CacheEntry
    ) -> None:
        progress = messages.Progress()
        receipt = self.accounts.record_receipt(
            request.caller,
            request.request_id,
            kind="desk",
            received_ms=request.received_ms,
            body_hash=request.body_hash,
        )
        answer, error = await self._outcome(request, progress)
        self._count(request, answer)
        if not isinstance(error, errors.Rejected):
            self.accounts.record_outcome(
                receipt,
                state=answer.outcome,
                attempts=answer.attempts,
                detail=answer.reason,
            )
        kept.error = error if isinstance(error, errors.Rejected) else None
        kept.recorded = await self._recorded(request, receipt, answer)
        self.answer_cache.complete(request.key, kept, answer)
        if answer.outcome == "unknown" and progress.forwarded_to:
            await at_most_once.resolve_lost_forward(self, request, receipt, progress)

    async def _outcome(
        self, request: messages.Request, progress: messages.Progress
    ) -> tuple[messages.Answer, Exception | None]:
        try:
            return await self._serve(request, progress), None
        except errors.NotRun as error:
            return generated_answers.from_error(error, progress), error
        except errors.OutcomeUnknown as error:
            return generated_answers.unknown(str(error), progress.attempts), error
        except errors.Rejected as error:
            return generated_answers.rejected(error), error
        except Exception as error:
            logs.emit(events.REQUEST_FAULT, error=f"{type(error).__name__}: {error}")
            return generated_answers.from_internal_error(progress), error

    async def _recorded(
        self, request: messages.Request, receipt: Any, answer: messages.Answer
    ) -> bool:
        now = self.context.clock.monotonic()
        left = request.deadline - now
        if answer.outcome == "not-run":
            # A refusal is worth nothing when it comes late.
            left = min(left, admission.wait_deadline(request) - now)
        try:
            await self.accounts.wait_until_recorded(receipt, timeout_s=max(0.0, left))
        except (errors.LimpetstreamError, TimeoutError):
            return answer.outcome == "not-run"
        return True

    async def _serve(
        self, request: messages.Request, progress: messages.Progress
    ) -> messages.Answer:
        self._admit(request)
        service = request.service
        self.in_flight_by_service[service] = (
            self.in_flight_by_service.get(service, 0) + 1
        )
        try:
            self.holder.retry_budget.deposit()
            # A request that has an intent stays non-idempotent when it is
            # repeated with another mark.
            if request.idempotent and request.key not in self.intents.by_key:
                return await self.dispatch(request, progress)
            return await at_most_once.run(self, request, progress)
        finally:
            self.in_flight_by_service[service] -= 1

    def _admit(self, request: messages.Request) -> None:
        now = self.context.clock.monotonic()
        gate = self.holder.admission
        if self.draining:
            gate.refuse("leaving", "this instance is stopping")
        gate.check_rate(request.caller, request.rate_limit, now)
        if gate.cannot_meet_deadline(request, now, 0.0):
            gate.refuse("deadline", "the deadline cannot be met")
        if not self.accounts.can_record(now):
            gate.refuse("account-unavailable", "the request cannot be recorded")
        service = self.context.service(request.service)
        groups = self.holder.observed.group_sizes_by_service.get(request.service, {})
        slots_of_all = sum(groups.values()) * service.slots
        running = self.in_flight_by_service.get(request.service, 0)
        if running >= slots_of_all + service.queue_limit:
            gate.refuse("overload", "too many requests are under way")

    async def dispatch(
        self, request: messages.Request, progress: messages.Progress
    ) -> messages.Answer:
        """Run a request here or at another holder.

        A forwarded request is never forwarded on; trying another holder counts
        as a resend.

        Raises:
            NotRun: Nothing was written to a backend server.
            OutcomeUnknown: It may have run.
        """
        excluded: set[str] = set()
        refused = errors.NotRun("no-holder", "no instance holds executors of this kind")
        for _ in range(TARGETS_MAX):
            now = self.context.clock.monotonic()
            target = self.router.choose(request, now, excluded)
            if target is None:
                break
            excluded.add(target.member)
            try:
                return await self._try_target(target, request, progress)
            except errors.NotRun as error:
                refused, reserve = error, retry_budget.FAILURE_RESERVE
                more = error.reason in RETRY_ELSEWHERE_REASONS and self._early(request)
            except errors.OutcomeUnknown:
                more, reserve = request.idempotent, 0.0
            if not more or not self._time_for_more(request):
                break
            if not self.holder.retry_budget.withdraw(reserve=reserve):
                break
        if progress.written:
            raise errors.OutcomeUnknown("no answer arrived")
        refused.retry_after_s = refused.retry_after_s or admission.random_retry_after_s(
            self.context.rng
        )
        raise refused

    def _early(self, request: messages.Request) -> bool:
        now = self.context.clock.monotonic()
        return now < admission.wait_deadline(request)

    def _time_for_more(self, request: messages.Request) -> bool:
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

    def _count(self, request: messages.Request, answer: messages.Answer) -> None:
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
        """Keep groups, slots and loads up to date until cancelled."""
        rounds = round(load_tables.EXCHANGE_INTERVAL_S / REFRESH_S)
        while True:
            for _ in range(rounds):
                self._follow_once()
                await self.context.clock.sleep(REFRESH_S)
            self.spawn(forwarding.exchange_loads(self))

    def _follow_once(self) -> None:
        try:
            self.holder.refresh()
            self.router.update_reference_run_times(self.context.clock.monotonic())
        except Exception as error:
            # Without the next round, this instance would serve on old lists.
            logs.emit(events.FOLLOW_FAULT, error=f"{type(error).__name__}: {error}")

    async def drain(self) -> None:
        """Refuse new requests and wait for all that are under way.

        Requests end by themselves after at most the longest run.
        """
        self.draining = True
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def apply_usage_samples(self, samples: Iterable[Mapping[str, Any]]) -> None:
        """Take in usage samples of the platform; see ``GET /usage``."""
        now, wall_ms = self.context.clock.monotonic(), self.context.clock.wall_ms()
        for sample in samples:
            executor, slowdown = sample.get("executor"), sample.get("slowdown")
            if executor and slowdown:
                age_s = max(0.0, (wall_ms - sample["at_ms"]) / 1000)
                self.holder.health.add_usage_sample(executor, slowdown, now - age_s)

    def max_in_flight_s(self, service: str) -> float:
        """Return how long a request of a service can be under way."""
        return slots.slot_hold_s(self.context.service(service).max_run_s)
