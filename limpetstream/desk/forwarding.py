"""Messages between entry instances: forwards, loads and outcome queries.

An entry instance is a process that accepts callers' requests. It forwards a
desk request to the holder of a group of executors, that is the instance that
holds the exclusive right to use this group. A load says how busy the groups of
a holder are; an outcome query asks for the answer to an earlier request.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import msgspec

from limpetstream import errors
from limpetstream.desk import (
    generated_answers,
    holder as holders,
    messages,
    router as routers,
)
from limpetstream.peers import messages as peer_messages

if TYPE_CHECKING:
    from limpetstream.desk import service

LOAD_TIMEOUT_S = 1.0
MAX_OUTCOME_WAIT_S = 5.0


async def forward(
    desk: "service.Desk",
    target: routers.Target,
    request: messages.Request,
    progress: messages.Progress,
) -> messages.Answer:
    """Let another holder run a request.

    Args:
        desk: Desk of this instance.
        target: Holder and group of executors that were chosen.
        request: Request to forward.
        progress: Updated before the forward and by its answer. The request
            counts as written to a backend server unless the holder answers
            that it was not run.

    Raises:
        NotRun: That holder wrote nothing to a backend server.
        OutcomeUnknown: The request may have run.
    """
    now = desk.context.clock.monotonic()
    run_s = desk.holder.admission.queue(request.service).mean_run_s
    left_s = request.deadline - now
    # The holder may start an attempt at any time up to the deadline, so the
    # last one may end a whole run later.
    full_wait_s = left_s + desk.max_in_flight_s(request.service)
    timeout_s = holders.attempt_timeout_s(request, run_s, now, full_wait_s)
    desk.load_table.count_forward(request.service, target.group)
    written_before = progress.written
    progress.written = True
    try:
        reply = await desk.peers.call(
            target.member,
            messages.FORWARD_PATH,
            messages.pack(_forward_head(desk, request, left_s), request.body),
            timeout_s=timeout_s,
        )
        head, body = messages.unpack(reply.body, messages.AnswerHead)
    except (errors.PeerGone, errors.PeerUnreachable, msgspec.MsgspecError) as error:
        # The holder may have run the request, or may still run it.
        desk.load_table.mark_suspect(target.member, desk.context.clock.monotonic())
        progress.forwarded_to = target.member
        raise errors.OutcomeUnknown(str(error)) from error
    if head.answer is None:
        raise errors.OutcomeUnknown(
            f"forward to {target.member}: its reply contains no answer"
        )
    desk.load_table.merge(head.loads, desk.context.clock.monotonic())
    head.answer.body = body
    return _apply_answer(head.answer, progress, written_before)


def _apply_answer(
    answer: messages.Answer, progress: messages.Progress, written_before: bool
) -> messages.Answer:
    progress.attempts += answer.attempts
    answer.attempts = progress.attempts
    if answer.outcome == "not-run":
        progress.written = written_before
        raise errors.NotRun(
            answer.reason, answer.detail, retry_after_s=answer.retry_after_s
        )
    if answer.outcome == "unknown":
        raise errors.OutcomeUnknown(answer.detail)
    return answer


def _forward_head(
    desk: "service.Desk", request: messages.Request, left_s: float
) -> messages.ForwardHead:
    return messages.ForwardHead(
        request.caller,
        request.request_id,
        request.service,
        request.body_hash,
        request.idempotent,
        request.priority,
        request.received_ms,
        int(left_s * 1000),
        request.content_type,
        _load_rows(desk),
    )


def _load_rows(desk: "service.Desk") -> list[list[Any]]:
    now = desk.context.clock.monotonic()
    return desk.load_table.encode_rows(desk.router.local_loads(now), now)


async def serve_forward(
    desk: "service.Desk", member: str, headers: Mapping[str, str], data: bytes
) -> peer_messages.Reply:
    """Run a request for another instance, without forwarding it again.

    A request gets only slots of executors that this instance still holds. The
    run goes on if the connection to the other instance breaks. A repeated
    forward is not recognized here and runs again.
    """
    head, body = messages.unpack(data, messages.ForwardHead)
    now = desk.context.clock.monotonic()
    fields = {
        field.name: getattr(head, field.name) for field in dataclasses.fields(head)
    }
    left_s = fields.pop("left_ms") / 1000
    desk.load_table.merge(fields.pop("loads"), now)
    request = messages.Request(**fields, body=body, received=now, deadline=now + left_s)
    answer = await asyncio.shield(desk.spawn(_run_locally(desk, request)))
    return _answer_reply(desk, answer)


async def _run_locally(
    desk: "service.Desk", request: messages.Request
) -> messages.Answer:
    progress = messages.Progress()
    try:
        if desk.draining:
            # Always raises ``NotRun``.
            desk.holder.admission.refuse("leaving", "this instance is stopping")
        answer = await desk.holder.run(request, progress)
    except errors.NotRun as error:
        answer = generated_answers.from_error(error, progress)
        answer.attempts = progress.attempts
    except errors.OutcomeUnknown as error:
        answer = generated_answers.unknown(str(error), progress.attempts)
    if answer.outcome in ("answered", "failed"):
        desk.answer_cache.store(request, answer)
    return answer


def _answer_reply(desk: "service.Desk", answer: messages.Answer) -> peer_messages.Reply:
    answer_without_body = dataclasses.replace(answer, body=b"")
    head = messages.AnswerHead(True, answer_without_body, _load_rows(desk))
    return peer_messages.Reply(200, {}, messages.pack(head, answer.body))


async def serve_outcome(
    desk: "service.Desk", member: str, headers: Mapping[str, str], data: bytes
) -> peer_messages.Reply:
    """Return a kept answer, after a bounded wait if the request still runs.

    The answer is returned whether or not the caller's account entry for it is
    durable. While it runs, only a request that a caller sent to this instance
    is found here; a forwarded one is found once its answer is kept.
    """
    query, _ = messages.unpack(data, messages.OutcomeQuery)
    entry = desk.answer_cache.by_key.get((query.caller, query.request_id))
    if entry is None:
        return peer_messages.Reply(404, {}, messages.pack(messages.AnswerHead(False)))
    wait_s = min(MAX_OUTCOME_WAIT_S, query.wait_ms / 1000)
    if wait_s > 0 and entry.answer is None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await entry.done.wait()
    answer = entry.answer
    if answer is None:
        return peer_messages.Reply(200, {}, messages.pack(messages.AnswerHead(True)))
    head = messages.AnswerHead(True, dataclasses.replace(answer, body=b""))
    return peer_messages.Reply(200, {}, messages.pack(head, answer.body))


async def serve_load(
    desk: "service.Desk", member: str, headers: Mapping[str, str], data: bytes
) -> peer_messages.Reply:
    """Merge the loads of another instance and return those known here."""
    head, _ = messages.unpack(data, messages.LoadMessage)
    now = desk.context.clock.monotonic()
    desk.load_table.merge(head.loads, now)
    return peer_messages.Reply(
        200, {}, messages.pack(messages.LoadMessage(_load_rows(desk)))
    )


async def exchange_loads(desk: "service.Desk") -> None:
    """Exchange load rows with one random member.

    The desk calls this once a second. One exchange in both directions costs
    less than sending to all members, and since the rows of others are passed
    on, loads still reach every member within a few seconds.
    """
    other_members = [
        member for member in desk.context.members.by_id if member != desk.own_id
    ]
    if not other_members:
        return
    member = desk.context.rng.choice(other_members)
    try:
        reply = await desk.peers.call(
            member,
            messages.LOAD_PATH,
            messages.pack(messages.LoadMessage(_load_rows(desk))),
            timeout_s=LOAD_TIMEOUT_S,
        )
        head, _ = messages.unpack(reply.body, messages.LoadMessage)
    except (errors.PeerGone, errors.PeerUnreachable, msgspec.MsgspecError):
        desk.load_table.mark_suspect(member, desk.context.clock.monotonic())
        return
    desk.load_table.merge(head.loads, desk.context.clock.monotonic())


def peer_routes(desk: "service.Desk") -> dict[str, peer_messages.Route]:
    """Return the routes of the messages of this module for the peer port."""

    def route(function: Any) -> peer_messages.Route:
        async def serve(
            member: str, headers: Mapping[str, str], body: bytes
        ) -> peer_messages.Reply:
            try:
                return await function(desk, member, headers, body)
            except msgspec.MsgspecError as error:
                raise errors.Rejected(400, "bad-message", str(error)) from error

        return serve

    return {
        messages.FORWARD_PATH: route(serve_forward),
        messages.LOAD_PATH: route(serve_load),
        messages.OUTCOME_PATH: route(serve_outcome),
    }
