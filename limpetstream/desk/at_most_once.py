"""Non-idempotent requests: an intent in the log before anything is sent."""

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from limpetstream import errors
from limpetstream.desk import (
    context,
    events,
    generated_answers,
    intents,
    messages,
)
from limpetstream.telemetry import logs

if TYPE_CHECKING:
    from limpetstream.desk import service

APPEND_TIMEOUT_S = 5.0
OUTCOME_APPEND_ATTEMPTS = 5
POLL_INTERVAL_S = 0.05
RESOLVE_INTERVAL_S = 0.5
REJECTION_BY_REASON = {
    "other-body": "this request id was used with another body",
    "request-id-used": "this request id was used more than a day ago",
}


def check_request_id(
    known: intents.IntentTable, request: messages.Request
) -> str | None:
    """Return ``taken`` if an intent decides the outcome, otherwise None.

    Raises:
        Rejected: The id was used with another body or long ago.
    """
    reason = known.rejection_reason(request.key, request.service, request.body_hash)
    if reason in REJECTION_BY_REASON:
        raise errors.Rejected(409, reason, REJECTION_BY_REASON[reason])
    return reason


async def run(
    desk: "service.Desk", request: messages.Request, progress: messages.Progress
) -> messages.Answer:
    """Run a non-idempotent request unless its intent is taken.

    Raises:
        NotRun: Nothing was written to a backend server.
        OutcomeUnknown: It may have run.
        Rejected: The id was used with another body or long ago.
    """
    reason = check_request_id(desk.intents, request)
    if reason is None:
        intent = _intent(desk, request)
        reason = await _declare(desk, request, intent)
    if reason is not None:
        check_request_id(desk.intents, request)
        return await answer_from_winner(desk, request)
    state, status = "unknown", 0
    try:
        answer = await desk.dispatch(request, progress)
        state, status = answer.outcome, answer.status
        return answer
    except errors.NotRun:
        state = "unknown" if progress.written else "not-run"
        raise
    finally:
        record = messages.Outcome(
            *request.key, intent.token, state, progress.attempts, status
        )
        desk.spawn(_record(desk, record))


def _intent(desk: "service.Desk", request: messages.Request) -> messages.Intent:
    desk.last_token_number += 1
    return messages.Intent(
        request.caller,
        request.request_id,
        request.service,
        request.body_hash,
        f"{desk.own_id}/{desk.last_token_number}",
        desk.context.clock.wall_ms(),
    )


async def _declare(
    desk: "service.Desk", request: messages.Request, intent: messages.Intent
) -> str | None:
    now = desk.context.clock.monotonic()
    if desk.context.view.age(now) >= context.VIEW_MAX_AGE_S:
        desk.holder.admission.refuse("log-unavailable", "the log is out of reach")
    left = min(APPEND_TIMEOUT_S, request.deadline - now)
    try:
        verdict = await desk.committer.append(
            messages.INTENT_KIND, intent, timeout_s=max(0.001, left)
        )
    except errors.LogUnavailable:
        # The intent may still turn out valid; this request will not be sent.
        record = messages.Outcome(*request.key, intent.token, "not-run")
        desk.spawn(_record(desk, record))
        desk.holder.admission.refuse("log-unavailable", "the log did not confirm")
    if verdict.void_reason is None:
        return None
    return verdict.void_reason


async def _record(desk: "service.Desk", record: messages.Outcome) -> None:
    for _ in range(OUTCOME_APPEND_ATTEMPTS):
        try:
            await desk.committer.append(messages.OUTCOME_KIND, record)
        except errors.LogUnavailable:
            logs.emit(events.OUTCOME_NOT_RECORDED, request_id=record.request_id)
        else:
            return


async def answer_from_winner(
    desk: "service.Desk", request: messages.Request
) -> messages.Answer:
    """Answer from the instance whose intent won.

    Raises:
        NotRun: The winner did not run it.
        OutcomeUnknown: Its outcome is not known in time.
    """
    while desk.context.clock.monotonic() < request.deadline:
        state = desk.intents.by_key.get(request.key)
        if state is None:
            break
        if state.state == "not-run":
            desk.holder.admission.refuse("not-run", "the first attempt was not run")
        if state.writer != desk.own_id:
            answer = await fetch_answer(
                desk, request.key, state.writer, request.deadline
            )
            if answer is not None:
                return answer
        if state.state in messages.FINAL_OUTCOMES:
            return answer_not_kept(state)
        await asyncio.sleep(POLL_INTERVAL_S)
    raise errors.OutcomeUnknown("another instance took this request")


async def fetch_answer(
    desk: "service.Desk",
    key: messages.RequestKey,
    member: str,
    deadline: float,
    *,
    wait: bool = True,
) -> messages.Answer | None:
    """Ask a member for a kept answer; None if it has none or is silent.

    Args:
        desk: Desk that asks.
        key: Caller and request id.
        member: Member to ask.
        deadline: Monotonic time by which the answer must be here.
        wait: Whether to wait for a request that is under way.
    """
    left = max(0.0, deadline - desk.context.clock.monotonic())
    wait_ms = int(left * 900) if wait else 0
    query = messages.OutcomeQuery(*key, wait_ms=wait_ms)
    try:
        reply = await desk.peers.call(
            member,
            messages.OUTCOME_PATH,
            messages.pack(query),
            timeout_s=max(0.05, left),
        )
        head, body = messages.unpack(reply.body, messages.AnswerHead)
    except (errors.PeerGone, errors.PeerUnreachable, msgspec.MsgspecError):
        return None
    if reply.status != 200 or head.answer is None:
        return None
    head.answer.body = body
    return head.answer


async def resolve_lost_forward(
    desk: "service.Desk",
    request: messages.Request,
    receipt: Any,
    progress: messages.Progress,
) -> None:
    """Find out what became of a forward whose answer did not arrive."""
    now = desk.context.clock.monotonic()
    until = now + 2 * desk.max_in_flight_s(request.service)
    while desk.context.clock.monotonic() < until:
        answer = await fetch_answer(desk, request.key, progress.forwarded_to, until)
        if answer is not None and answer.outcome in ("answered", "failed"):
            desk.answer_cache.store(request, answer)
            desk.accounts.record_outcome(
                receipt, state=answer.outcome, attempts=max(1, answer.attempts)
            )
            await _record_known(desk, request, answer)
            return
        await asyncio.sleep(RESOLVE_INTERVAL_S)


async def _record_known(
    desk: "service.Desk", request: messages.Request, answer: messages.Answer
) -> None:
    state = desk.intents.by_key.get(request.key)
    if state is not None and state.writer == desk.own_id:
        record = messages.Outcome(
            *request.key, state.token, answer.outcome, answer.attempts, answer.status
        )
        await _record(desk, record)


def answer_not_kept(state: intents.IntentState) -> messages.Answer:
    """Return the answer of a request whose whole answer is not kept."""
    detail = f"the request ended as {state.state}; its answer is not kept any more"
    answer = generated_answers.rejected(errors.Rejected(409, "answer-not-kept", detail))
    answer.outcome = state.state
    answer.attempts = state.attempts
    return answer
