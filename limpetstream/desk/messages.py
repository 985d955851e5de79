"""Messages of desk requests: requests, answers, records and peer bodies."""

import dataclasses
import hashlib
from typing import Any, TypeVar

import msgspec

PRIORITIES = ("urgent", "normal", "low")
FINAL_OUTCOMES = ("answered", "not-run", "failed")

FORWARD_PATH = "/peer/v1/forward"
LOAD_PATH = "/peer/v1/load"
OUTCOME_PATH = "/peer/v1/outcome"

INTENT_KIND = "desk.intent"
OUTCOME_KIND = "desk.outcome"

RequestKey = tuple[str, str]
Head = TypeVar("Head")


def body_hash(body: bytes) -> str:
    """Return the hash under which accounts and intents know a body."""
    return hashlib.sha256(body).hexdigest()


@dataclasses.dataclass(slots=True)
class Request:
    """One desk request at the instance that serves it.

    Args:
        caller: Authenticated caller.
        request_id: Caller's id of the request.
        service: Desk service.
        body: Opaque body.
        body_hash: SHA-256 of the body.
        idempotent: Whether it may run more than once.
        priority: ``urgent``, ``normal`` or ``low``.
        received: Monotonic time of arrival here.
        received_ms: Wall time of arrival at the first instance.
        deadline: Monotonic time at which the caller stops waiting.
        content_type: Passed on to the backend server.
        rate_limit: Requests a second that the caller may make; 0 for any.
    """

    caller: str
    request_id: str
    service: str
    body: bytes
    body_hash: str
    idempotent: bool
    priority: str
    received: float
    received_ms: int
    deadline: float
    content_type: str = "application/octet-stream"
    rate_limit: float = 0.0

    @property
    def key(self) -> RequestKey:
        """Return what names the request across all callers."""
        return self.caller, self.request_id


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller gets, and what is kept for it.

    Args:
        outcome: ``answered``, ``not-run``, ``unknown`` or ``failed``.
        status: HTTP status.
        headers: Headers of the backend server that are passed on.
        body: Whole body.
        attempts: Times that it was sent to a backend server.
        reason: Short reason of a refusal.
        detail: Explanation for a person.
        retry_after_s: Seconds after which a retry makes sense; 0 for never.
        data_centre: Where it was answered.
        queue_s: Seconds spent waiting for a slot.
        executor_s: Seconds from the send to the end of the answer.
        slowdown: Interference factor of the executor's worker.
    """

    outcome: str
    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    attempts: int = 0
    reason: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    data_centre: str = ""
    queue_s: float = 0.0
    executor_s: float = 0.0
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known of a request that may fail at any step.

    Args:
        attempts: Sends to a backend server.
        written: Whether any byte may have reached a backend server.
        forwarded_to: Holder whose answer to a forward did not arrive.
    """

    attempts: int = 0
    written: bool = False
    forwarded_to: str = ""


@dataclasses.dataclass(slots=True)
class Intent:
    """Record body: a non-idempotent request is about to be sent.

    Args:
        caller: Caller.
        request_id: Caller's id of the request.
        service: Desk service.
        body_hash: SHA-256 of the body.
        token: Names this intent; an outcome repeats it.
        at_ms: Wall time of the writer.
    """

    caller: str
    request_id: str
    service: str
    body_hash: str
    token: str
    at_ms: int


@dataclasses.dataclass(slots=True)
class Outcome:
    """Record body: how the request of an intent ended.

    Args:
        caller: Caller.
        request_id: Caller's id of the request.
        token: Token of the intent.
        state: ``answered``, ``not-run``, ``unknown`` or ``failed``.
        attempts: Sends to a backend server.
        status: HTTP status of the answer.
    """

    caller: str
    request_id: str
    token: str
    state: str
    attempts: int = 0
    status: int = 0


@dataclasses.dataclass(slots=True)
class ForwardHead:
    """Head of a forward; the request's body follows it."""

    caller: str
    request_id: str
    service: str
    body_hash: str
    idempotent: bool
    priority: str
    received_ms: int
    left_ms: int
    content_type: str
    loads: list[list[Any]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Load:
    """Load of one service in one group, as its holder sees it.

    Args:
        service: Desk service.
        group: Resource ``executors/<data centre>/<k>``.
        holder: Instance that holds the group.
        slots: Slots that may take work now.
        free: Slots that are free.
        queued: Requests that wait at the holder.
        run_ms: Expected run time there.
        stamp_ms: Monotonic time of the holder at which they were taken. Only
            this orders figures: ages lose the time on the way, so relayed old
            figures would look newer than fresh ones.
        age_ms: Age of these figures when the message was sent.
    """

    service: str
    group: str
    holder: str
    slots: int
    free: int
    queued: int
    run_ms: float
    stamp_ms: int = 0
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class LoadMessage:
    """Load summaries; each is the list of the fields of ``Load`` in order."""

    loads: list[list[Any]]


@dataclasses.dataclass(slots=True)
class AnswerHead:
    """Head of a forward's or outcome's reply; the answer's body follows it.

    Args:
        found: Whether this instance knows the request.
        answer: Answer without body; None while it runs.
        loads: Load of the replying holder, see ``LoadMessage``.
    """

    found: bool
    answer: Answer | None = None
    loads: list[list[Any]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OutcomeQuery:
    """Asks another instance for the answer of a request."""

    caller: str
    request_id: str
    wait_ms: int = 0


def pack(head: Any, body: bytes = b"") -> bytes:
    """Join a JSON head and an opaque body.

    >>> unpack(pack(OutcomeQuery("c", "r"), b"x"), OutcomeQuery)
    (OutcomeQuery(caller='c', request_id='r', wait_ms=0), b'x')
    """
    encoded = msgspec.json.encode(head)
    return len(encoded).to_bytes(4, "big") + encoded + body


def unpack(data: bytes, head_type: type[Head]) -> tuple[Head, bytes]:
    """Undo ``pack``.

    Raises:
        msgspec.DecodeError: The head is damaged or of another type.
    """
    end = 4 + int.from_bytes(data[:4], "big")
    return msgspec.json.decode(data[4:end], type=head_type), data[end:]
