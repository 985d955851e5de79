"""Caller port: desk requests and their outcomes."""

import asyncio
import math
import re
import uuid
from typing import Any

import tornado.web

from limpetstream import errors
from limpetstream.border import handler, identity, limits
from limpetstream.desk import (
    at_most_once,
    generated_answers,
    messages,
    service as services,
)
from limpetstream.settings import schema

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~-]{1,64}\Z")
DEADLINE_MAX_MS = 600_000
LOOKUP_TIMEOUT_S = 0.5
SINGLE_VALUE_HEADERS = (
    "Request-Id",
    "Idempotent",
    "Deadline-Ms",
    "Priority",
    "Authorization",
    "Content-Type",
)


class CallerHandler(handler.BaseHandler):
    """Authenticates the caller and writes answers."""

    def initialize(self, *, desk: services.Desk, limits: schema.Limits) -> None:
        """Keep what ``routes`` passes in."""
        self.desk = desk
        self.limits = limits
        self.parts: list[bytes] = []
        self.size = 0
        self.size_max = 0

    def prepare(self) -> None:
        """Check the headers before any of the body is read."""
        limits.check_headers(self.request.headers, once=SINGLE_VALUE_HEADERS)
        self.caller = identity.authenticate(
            self.request.headers.get("Authorization"),
            self.desk.context.tree.caller_by_key,
        )

    def send_answer(self, request_id: str, answer: messages.Answer) -> None:
        """Finish with an answer and its outcome."""
        self.set_status(answer.status)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.set_header("Outcome", answer.outcome)
        self.set_header("Request-Id", request_id)
        self.set_header("Attempts", str(answer.attempts))
        if answer.retry_after_s > 0:
            self.set_header("Retry-After", str(math.ceil(answer.retry_after_s)))
        self.finish(answer.body if answer.status not in (204, 304) else None)

    def validated_request_id(self, value: str) -> str:
        """Return a request id.

        Raises:
            Rejected: It is too long or has other characters.
        """
        if not REQUEST_ID_PATTERN.match(value):
            raise errors.Rejected(
                400, "bad-request-id", "use 1 to 64 of A-Z a-z 0-9 . _ : ~ -"
            )
        return value

    def compute_etag(self) -> str | None:
        """Send no entity tag; answers are passed on as they are."""
        return None


@tornado.web.stream_request_body
class DeskHandler(CallerHandler):
    """``POST /v1/desk/{service}``."""

    def prepare(self) -> None:
        """Reject what the headers already rule out."""
        super().prepare()
        if self.request.method != "POST":
            raise errors.Rejected(405, "method-not-allowed", "use POST")
        name = self.path_args[0]
        try:
            self.service = self.desk.context.tree.service(name)
        except KeyError:
            raise errors.Rejected(404, "no-service", "no such service") from None
        allowed = self.caller.settings.services
        if allowed and name not in allowed:
            raise errors.Rejected(403, "service-not-allowed", "not your service")
        self.size_max = self.service.max_body_bytes
        limits.check_length(self.request.headers, self.size_max)
        connection: Any = self.request.connection
        connection.set_max_body_size(self.size_max)
        connection.set_body_timeout(self.limits.body_timeout_s)
        self.received = self.desk.context.clock.monotonic()
        self.received_ms = self.desk.context.clock.wall_ms()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the service's limit."""
        self.size += len(chunk)
        if self.size > self.size_max:
            raise errors.Rejected(413, "body-too-large", f"at most {self.size_max}")
        self.parts.append(chunk)

    async def post(self, name: str) -> None:
        """Run the request and pass its whole answer on."""
        request = self._request(name)
        self.send_answer(request.request_id, await self.desk.handle(request))

    def _request(self, name: str) -> messages.Request:
        headers = self.request.headers
        body = b"".join(self.parts)
        request_id = headers.get("Request-Id") or f"gen-{uuid.uuid4().hex}"
        priority = headers.get("Priority", "normal")
        if priority not in messages.PRIORITIES:
            raise errors.Rejected(400, "bad-priority", "urgent, normal or low")
        mark = headers.get("Idempotent")
        if mark not in (None, "true", "false"):
            raise errors.Rejected(400, "bad-idempotent", "true or false")
        return messages.Request(
            caller=self.caller.name,
            request_id=self.validated_request_id(request_id),
            service=name,
            body=body,
            body_hash=messages.body_hash(body),
            idempotent=self.service.idempotent if mark is None else mark == "true",
            priority=priority,
            received=self.received,
            received_ms=self.received_ms,
            deadline=self.received + self._deadline_ms(headers) / 1000,
            content_type=headers.get("Content-Type", "application/octet-stream"),
            rate_limit=self.caller.settings.requests_per_s,
        )

    def _deadline_ms(self, headers: Any) -> int:
        text = headers.get("Deadline-Ms")
        if text is None:
            return self.service.timeout_ms
        if not (text.isascii() and text.isdigit() and len(text) <= 6):
            raise errors.Rejected(400, "bad-deadline", "whole milliseconds")
        if not 1 <= int(text) <= DEADLINE_MAX_MS:
            raise errors.Rejected(400, "bad-deadline", f"1 to {DEADLINE_MAX_MS}")
        return int(text)


class RequestHandler(CallerHandler):
    """``GET /v1/requests/{request_id}``."""

    async def get(self, request_id: str) -> None:
        """Return the whole answer while it is kept, else the outcome."""
        key = (self.caller.name, self.validated_request_id(request_id))
        kept = self.desk.answer_cache.by_key.get(key)
        if kept is not None and kept.answer is None:
            self.reply(202, {"outcome": "unknown", "state": "received"})
            return
        answer = kept.answer if kept is not None else await self._elsewhere(key)
        if answer is None:
            answer = self._outcome_only(key)
        self.send_answer(request_id, answer)

    async def _elsewhere(self, key: messages.RequestKey) -> messages.Answer | None:
        desk = self.desk
        deadline = desk.context.clock.monotonic() + LOOKUP_TIMEOUT_S
        found = await asyncio.gather(
            *(
                at_most_once.fetch_answer(desk, key, member, deadline, wait=False)
                for member in list(desk.context.members.by_id)
                if member != desk.own_id
            )
        )
        return next((each for each in found if each is not None), None)

    def _outcome_only(self, key: messages.RequestKey) -> messages.Answer:
        state = self.desk.intents.by_key.get(key)
        if state is None:
            raise errors.Rejected(
                404, "not-kept", "no answer is kept; see /v1/account for the outcome"
            )
        if state.state in messages.FINAL_OUTCOMES:
            return at_most_once.answer_not_kept(state)
        return generated_answers.unknown("the outcome is not known yet", state.attempts)


def routes(*, desk: services.Desk, limits: schema.Limits) -> list[Any]:
    """Return the tornado rules of desk requests.

    Args:
        desk: Serves the requests.
        limits: Limits of the caller port.
    """
    arguments = {"desk": desk, "limits": limits}
    return [
        tornado.web.url(r"/v1/desk/([A-Za-z0-9._-]{1,64})", DeskHandler, arguments),
        tornado.web.url(r"/v1/requests/([^/]{1,128})", RequestHandler, arguments),
    ]
