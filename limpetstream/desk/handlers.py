"""HTTP handlers of the caller port for desk requests and their outcomes."""

import asyncio
import math
import re
import uuid
from typing import Any

import tornado.web

from limpetstream import errors
from limpetstream.border import body_parts, handler, identity, limits
from limpetstream.desk import (
    at_most_once,
    generated_answers,
    messages,
    service as services,
)
from limpetstream.settings import schema

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~-]{1,64}\Z")
PREFIX = "/v1/desk/"
MAX_DEADLINE_MS = 600_000
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
    """Base of handlers that authenticate a caller and send answers."""

    def initialize(self, *, desk: services.Desk, limits: schema.Limits) -> None:
        """Store the arguments that ``routes`` passes."""
        self.desk = desk
        self.limits = limits
        self.body = body_parts.BodyParts()
        self.max_body_bytes = 0

    def prepare(self) -> None:
        """Check the headers before any of the body is read."""
        limits.check_headers(self.request.headers, once=SINGLE_VALUE_HEADERS)
        self.caller = identity.authenticate(
            self.request.headers.get("Authorization"),
            self.desk.context.tree.caller_by_key,
        )

    def send_answer(self, request_id: str, answer: messages.Answer) -> None:
        """Send an answer with its outcome and attempts as headers."""
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
        """Return a request id if it is valid.

        Raises:
            Rejected: It is too long or contains a character that is not
                allowed.
        """
        if not REQUEST_ID_PATTERN.match(value):
            raise errors.Rejected(
                400,
                "bad-request-id",
                "a request id has 1 to 64 characters of A-Z a-z 0-9 . _ : ~ -",
            )
        return value

    def compute_etag(self) -> str | None:
        """Return no entity tag, since answers are passed on unchanged."""
        return None


@tornado.web.stream_request_body
class DeskHandler(CallerHandler):
    """``POST /v1/desk/{service}``."""

    def prepare(self) -> None:
        """Reject requests that are invalid by their headers."""
        super().prepare()
        if self.request.method != "POST":
            raise errors.Rejected(
                405, "method-not-allowed", "a desk request needs the method POST"
            )
        name = self.path_args[0]
        try:
            self.service = self.desk.context.tree.service(name)
        except KeyError:
            raise errors.Rejected(
                404, "no-service", "no desk service has this name"
            ) from None
        allowed = self.caller.settings.services
        if allowed and name not in allowed:
            raise errors.Rejected(
                403, "service-not-allowed", "this caller may not use this service"
            )
        self.max_body_bytes = self.service.max_body_bytes
        limits.check_length(self.request.headers, self.max_body_bytes)
        connection: Any = self.request.connection
        connection.set_max_body_size(self.max_body_bytes)
        connection.set_body_timeout(self.limits.body_timeout_s)
        self.received = self.desk.context.clock.monotonic()
        self.received_ms = self.desk.context.clock.wall_ms()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body, up to the limit of the service."""
        if self.body.size + len(chunk) > self.max_body_bytes:
            raise errors.Rejected(
                413,
                "body-too-large",
                f"the body may have at most {self.max_body_bytes} bytes",
            )
        self.body.append(chunk)

    def on_connection_close(self) -> None:
        """Free the body of a request that does not get complete."""
        self.body.clear()
        super().on_connection_close()

    async def post(self, name: str) -> None:
        """Run the request and send its complete answer."""
        request = self._build_request(name)
        self.send_answer(request.request_id, await self.desk.handle(request))

    def _build_request(self, name: str) -> messages.Request:
        headers = self.request.headers
        body = self.body.take()
        request_id = headers.get("Request-Id") or f"gen-{uuid.uuid4().hex}"
        priority = headers.get("Priority", "normal")
        if priority not in messages.PRIORITIES:
            raise errors.Rejected(
                400, "bad-priority", "Priority must be urgent, normal or low"
            )
        idempotent_header = headers.get("Idempotent")
        if idempotent_header not in (None, "true", "false"):
            raise errors.Rejected(
                400, "bad-idempotent", "Idempotent must be true or false"
            )
        return messages.Request(
            caller=self.caller.name,
            request_id=self.validated_request_id(request_id),
            service=name,
            body=body,
            body_hash=messages.body_hash(body),
            idempotent=self.service.idempotent
            if idempotent_header is None
            else idempotent_header == "true",
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
            raise errors.Rejected(
                400, "bad-deadline", "Deadline-Ms must be whole milliseconds"
            )
        if not 1 <= int(text) <= MAX_DEADLINE_MS:
            raise errors.Rejected(
                400, "bad-deadline", f"Deadline-Ms must be 1 to {MAX_DEADLINE_MS}"
            )
        return int(text)


class RequestHandler(CallerHandler):
    """``GET /v1/requests/{request_id}``."""

    async def get(self, request_id: str) -> None:
        """Send the complete answer while it is kept, otherwise the outcome."""
        key = (self.caller.name, self.validated_request_id(request_id))
        entry = self.desk.answer_cache.by_key.get(key)
        if entry is not None and entry.answer is None:
            self.reply(202, {"outcome": "unknown", "state": "received"})
            return
        answer = (
            entry.answer if entry is not None else await self._fetch_from_members(key)
        )
        if answer is None:
            answer = self._answer_from_intent(key)
        self.send_answer(request_id, answer)

    async def _fetch_from_members(
        self, key: messages.RequestKey
    ) -> messages.Answer | None:
        desk = self.desk
        deadline = desk.context.clock.monotonic() + LOOKUP_TIMEOUT_S
        answers = await asyncio.gather(
            *(
                at_most_once.fetch_answer(desk, key, member, deadline, wait=False)
                for member in list(desk.context.members.by_id)
                if member != desk.own_id
            )
        )
        return next((answer for answer in answers if answer is not None), None)

    def _answer_from_intent(self, key: messages.RequestKey) -> messages.Answer:
        state = self.desk.intents.by_key.get(key)
        if state is None:
            raise errors.Rejected(
                404, "not-kept", "no answer is kept; see /v1/account for the outcome"
            )
        if state.state in messages.FINAL_OUTCOMES:
            return at_most_once.answer_not_kept(state)
        return generated_answers.unknown("the outcome is not known yet", state.attempts)


def routes(*, desk: services.Desk, limits: schema.Limits) -> list[Any]:
    """Return the Tornado rules of desk requests.

    Args:
        desk: Desk that serves the requests.
        limits: Limits of the caller port.
    """
    handler_arguments = {"desk": desk, "limits": limits}
    return [
        tornado.web.url(
            r"/v1/desk/([A-Za-z0-9._-]{1,64})", DeskHandler, handler_arguments
        ),
        tornado.web.url(
            r"/v1/requests/([^/]{1,128})", RequestHandler, handler_arguments
        ),
    ]
