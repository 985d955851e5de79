"""Runs non-idempotent requests at most once, by an intent in the log.

See ``intents`` for which instance may send a request. The others fetch its
answer from that instance.
"""

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
    "other-body": "this request id was already used with another body or service",
    "request-id-used": "this request id was already used more than a day ago",
}


def check_request_id(
    known: intents.IntentTable, request: messages.Request
) -> str | None:
    """Return ``taken`` if an earlier intent decides the outcome, else None.

    Raises:
        Rejected: The id was used with another body or service, or more than a
            day ago.
    """
    reason = known.rejection_reason(request.key, request.service, request.body_hash)
    if reason in REJECTION_BY_REASON:
        raise errors.Rejected(409, reason, REJECTION_BY_REASON[reason])
    return reason


async def run(
    desk: "service.Desk", request: messages.Request, progress: messages.Progress
) -> messages.Answer:
    """Run a non-idempotent request, or fetch the answer of its earlier run.

    An intent is appended to the log first. Only the writer of the first valid
    intent for a request id sends the request.

    Args:
        desk: Desk of this instance.
        request: Request to run.
        progress: Updated before each send.

    Raises:
        NotRun: Nothing was written to a backend server.
        OutcomeUnknown: The request may have run.
        Rejected: The id was used with another body or service, or more than a
            day ago.
    """
    reason = check_request_id(desk.intents, request)
    if reason is None:
        intent = _build_intent(desk, request)
        reason = await _append_intent(desk, request, intent)
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
        desk.spawn(_append_outcome(desk, record))


def _build_intent(desk: "service.Desk", request: messages.Request) -> messages.Intent:
    desk.last_token_number += 1
    return messages.Intent(
        request.caller,
        request.request_id,
        request.service,
        request.body_hash,
        f"{desk.own_id}/{desk.last_token_number}",
        desk.context.clock.wall_ms(),
    )


async def _append_intent(
    desk: "service.Desk", request: messages.Request, intent: messages.Intent
) -> str | None:
    now = desk.context.clock.monotonic()
    if desk.context.view.age(now) >= context.MAX_VIEW_AGE_S:
        desk.holder.admission.refuse("log-unavailable", "the log is out of reach")
    left_s = min(APPEND_TIMEOUT_S, request.deadline - now)
    try:
        apply_result = await desk.committer.append(
            messages.INTENT_KIND, intent, timeout_s=max(0.001, left_s)
        )
    except errors.LogUnavailable:
        # The intent may still become valid, but the request is not sent. The
        # outcome record allows another attempt in that case.
        record = messages.Outcome(*request.key, intent.token, "not-run")
        desk.spawn(_append_outcome(desk, record))
        desk.holder.admission.refuse(
            "log-unavailable", "the log did not confirm the intent in time"
        )
    if apply_result.void_reason is None:
        return None
    return apply_result.void_reason


async def _append_outcome(desk: "service.Desk", record: messages.Outcome) -> None:
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
    """Return the answer of the instance whose intent is valid.

    Raises:
        NotRun: That instance did not run the request.
        OutcomeUnknown: The outcome is not known by the deadline.
    """
    while desk.context.clock.monotonic() < request.deadline:
        intent = desk.intents.by_key.get(request.key)
        if intent is None:
            break
        if intent.state == "not-run":
            desk.holder.admission.refuse(
                "not-run", "the request with the valid intent was not run"
            )
        if intent.writer != desk.own_id:
            answer = await fetch_answer(
                desk, request.key, intent.writer, request.deadline
            )
            if answer is not None:
                return answer
        if intent.state in messages.FINAL_OUTCOMES:
            return answer_not_kept(intent)
        await asyncio.sleep(POLL_INTERVAL_S)
    raise errors.OutcomeUnknown(
        "the instance with the valid intent gave no answer in time"
    )


async def fetch_answer(
    desk: "service.Desk",
    key: messages.RequestKey,
    member: str,
    deadline: float,
    *,
    wait: bool = True,
) -> messages.Answer | None:
    """Ask a member for a kept answer; None if it has none or does not reply.

    Args:
        desk: Desk of this instance.
        key: Caller and request id.
        member: Id of the member to ask.
        deadline: Monotonic time in seconds by which the answer must arrive.
        wait: Whether the member may wait for a request that still runs.
    """
    left_s = max(0.0, deadline - desk.context.clock.monotonic())
    # A tenth of the time is left for the reply to arrive.
    wait_ms = int(left_s * 900) if wait else 0
    query = messages.OutcomeQuery(*key, wait_ms=wait_ms)
    try:
        reply = await desk.peers.call(
            member,
            messages.OUTCOME_PATH,
            messages.pack(query),
            timeout_s=max(0.05, left_s),
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
    """Find the outcome of a forwarded request whose answer did not arrive.

    The outcome replaces ``unknown`` in the account, and in the log if this
    instance wrote the intent. The search ends without one after twice the
    time that the request may be in flight.

    Args:
        desk: Desk of this instance.
        request: Request that was forwarded.
        receipt: Receipt of its account entry.
        progress: Names the holder that got the request.
    """
    now = desk.context.clock.monotonic()
    until = now + 2 * desk.max_in_flight_s(request.service)
    while desk.context.clock.monotonic() < until:
        answer = await fetch_answer(desk, request.key, progress.forwarded_to, until)
        if answer is not None and answer.outcome in ("answered", "failed"):
            desk.answer_cache.store(request, answer)
            desk.accounts.record_outcome(
                receipt, state=answer.outcome, attempts=max(1, answer.attempts)
            )
            await _append_known_outcome(desk, request, answer)
            return
        await asyncio.sleep(RESOLVE_INTERVAL_S)


async def _append_known_outcome(
    desk: "service.Desk", request: messages.Request, answer: messages.Answer
) -> None:
    intent = desk.intents.by_key.get(request.key)
    if intent is not None and intent.writer == desk.own_id:
        record = messages.Outcome(
            *request.key, intent.token, answer.outcome, answer.attempts, answer.status
        )
        await _append_outcome(desk, record)


def answer_not_kept(intent: intents.IntentState) -> messages.Answer:
    """Return the answer to an ended request whose answer is no longer kept."""
    detail = f"the request ended as {intent.state}; its answer is no longer kept"
    answer = generated_answers.rejected(errors.Rejected(409, "answer-not-kept", detail))
    answer.outcome = intent.state
    answer.attempts = intent.attempts
    return answer
