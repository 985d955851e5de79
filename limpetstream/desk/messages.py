"""Types of desk requests, their answers, log records and peer messages."""

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
    """Return the SHA-256 of a body, as accounts and intents store it."""
    return hashlib.sha256(body).hexdigest()


@dataclasses.dataclass(slots=True)
class Request:
    """One desk request at the instance that serves it.

    Args:
        caller: Authenticated caller.
        request_id: Caller's id of the request.
        service: Name of the desk service.
        body: Opaque body.
        body_hash: SHA-256 of the body.
        idempotent: Whether the request may run more than once.
        priority: ``urgent``, ``normal`` or ``low``.
        received: Monotonic time of arrival at this instance, in seconds.
        received_ms: Wall time of arrival at the first instance, in
            milliseconds.
        deadline: Monotonic time at which the caller stops waiting, in
            seconds.
        content_type: Content type that is passed to the backend server.
        rate_limit: Requests per second that the caller may make; 0 for no
            limit.
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
        """Return the key that is unique across all callers."""
        return self.caller, self.request_id


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to a caller, which is also kept for later queries.

    Args:
        outcome: ``answered``, ``not-run``, ``unknown`` or ``failed``.
        status: HTTP status.
        headers: Headers of the backend server that are passed on.
        body: Complete body.
        attempts: How often the request was sent to a backend server.
        reason: Machine-readable reason of a refusal.
        detail: Explanation for a person.
        retry_after_s: Seconds after which a retry makes sense; 0 for never.
        data_centre: Data centre whose executor answered.
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
    """How far a request has got; a failure at any step is judged by it.

    Args:
        attempts: How often it was sent to a backend server.
        written: Whether any byte may have reached a backend server.
        forwarded_to: Holder to which the request was forwarded and whose
            answer did not arrive; empty otherwise.
    """

    attempts: int = 0
    written: bool = False
    forwarded_to: str = ""


@dataclasses.dataclass(slots=True)
class Intent:
    """Body of the log record that precedes a send of a non-idempotent request.

    Args:
        caller: Caller.
        request_id: Caller's id of the request.
        service: Name of the desk service.
        body_hash: SHA-256 of the body.
        token: Identifies this intent; its outcome record repeats it.
        at_ms: Wall time of the writer, in milliseconds.
    """

    caller: str
    request_id: str
    service: str
    body_hash: str
    token: str
    at_ms: int


@dataclasses.dataclass(slots=True)
class Outcome:
    """Body of the log record that tells how the request of an intent ended.

    Args:
        caller: Caller.
        request_id: Caller's id of the request.
        token: Token of the intent.
        state: ``answered``, ``not-run``, ``unknown`` or ``failed``.
        attempts: How often it was sent to a backend server.
        status: HTTP status of the answer; 0 without one.
    """

    caller: str
    request_id: str
    token: str
    state: str
    attempts: int = 0
    status: int = 0


@dataclasses.dataclass(slots=True)
class ForwardHead:
    """Head of a forwarded request, followed by the request's body.

    ``left_ms`` is the time to the caller's deadline, since monotonic clocks of
    two instances cannot be compared.
    """

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
    """Load of one service in one group of executors, as its holder sees it.

    Args:
        service: Name of the desk service.
        group: Resource ``executors/<data centre>/<k>``.
        holder: Instance that holds the group.
        slots: Slots that may be in use now, whether free or used.
        free: Slots that are free.
        queued: Requests that wait at the holder.
        run_ms: Expected run time, in milliseconds.
        stamp_ms: Monotonic time of the holder at which the figures were taken.
            Figures of one holder are ordered by this alone: an age does not
            include the time on the network, so old figures that were relayed
            would look newer than fresh ones.
        age_ms: Age of the figures when the message was sent.
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
    """Load rows; each row lists the fields of a ``Load`` in their order."""

    loads: list[list[Any]]


@dataclasses.dataclass(slots=True)
class AnswerHead:
    """Head of the reply to a forward or an outcome query; the body follows.

    Args:
        found: Whether the replying instance knows the request.
        answer: Answer without its body; None while the request runs.
        loads: Load rows of the replying instance, see ``LoadMessage``.
    """

    found: bool
    answer: Answer | None = None
    loads: list[list[Any]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OutcomeQuery:
    """Asks another instance for the answer to a request.

    ``wait_ms`` bounds how long it may wait for a request that still runs.
    """

    caller: str
    request_id: str
    wait_ms: int = 0


def pack(head: Any, body: bytes = b"") -> bytes:
    """Return a length-prefixed JSON head, followed by an opaque body.

    >>> unpack(pack(OutcomeQuery("c", "r"), b"x"), OutcomeQuery)
    (OutcomeQuery(caller='c', request_id='r', wait_ms=0), b'x')
    """
    encoded = msgspec.json.encode(head)
    return len(encoded).to_bytes(4, "big") + encoded + body


def unpack(data: bytes, head_type: type[Head]) -> tuple[Head, bytes]:
    """Return the head and the body that ``pack`` joined.

    Raises:
        msgspec.DecodeError: The head is damaged or of another type.
    """
    end = 4 + int.from_bytes(data[:4], "big")
    return msgspec.json.decode(data[4:end], type=head_type), data[end:]
