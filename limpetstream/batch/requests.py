"""Decodes and validates the job descriptions that callers send."""

import dataclasses
import hashlib
import math

import msgspec

from limpetstream import errors
from limpetstream.batch import messages

MAX_TASKS = 10_000
MAX_GROUPS = 200
MAX_BODY_BYTES = 262_144
MAX_ID_LENGTH = 128
MAX_NAME_LENGTH = 64


@dataclasses.dataclass(slots=True)
class JobRequest:
    """Body of ``POST /v1/jobs``; the fields are those of ``job.submit``."""

    tasks: list[messages.TaskGroup]
    work_class: str = "default"
    priority: str = "normal"
    kind: str = "batch"
    spread: str = "rack"
    idempotent: bool = True
    checkpoint_s: float = 10.0
    deadline_ms: int = 0


def job_id(caller: str, request_id: str) -> str:
    """Return the id of a job, which is the same for every repeat of a request.

    >>> job_id("shop", "r1") == job_id("shop", "r1")
    True
    """
    text = f"{len(caller)}:{caller}{request_id}"
    return "j" + hashlib.sha256(text.encode()).hexdigest()[:24]


def check_request_id(value: str) -> str:
    """Return a request id after checking it.

    Raises:
        Rejected: The id is empty, too long or not printable.
    """
    if not value or len(value) > MAX_ID_LENGTH or not value.isprintable():
        detail = f"send a Request-Id of 1 to {MAX_ID_LENGTH} printable characters"
        raise errors.Rejected(400, "bad-request-id", detail)
    return value


def decode(body: bytes) -> JobRequest:
    """Return a validated description of a job.

    Raises:
        Rejected: The body is too large or not a valid description; all
            findings are listed.
    """
    if len(body) > MAX_BODY_BYTES:
        raise errors.Rejected(
            413, "too-large", f"the body is larger than {MAX_BODY_BYTES} bytes"
        )
    try:
        request = msgspec.json.decode(body, type=JobRequest)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.Rejected(400, "bad-job", str(error)) from error
    findings = tuple(_findings(request))
    if findings:
        raise errors.Rejected(400, "bad-job", findings[0], findings=findings)
    return request


def _findings(request: JobRequest) -> list[str]:
    found = []
    for name, value, allowed in (
        ("priority", request.priority, messages.PRIORITIES),
        ("kind", request.kind, messages.KINDS),
        ("spread", request.spread, messages.SPREADS),
    ):
        if value not in allowed:
            found.append(f"{name}: must be one of {', '.join(allowed)}")
    if not 0 < len(request.work_class) <= MAX_NAME_LENGTH:
        found.append(f"work_class: must have 1 to {MAX_NAME_LENGTH} characters")
    if not _between(request.checkpoint_s, 0, 86_400):
        found.append("checkpoint_s: must be from 0 to 86400")
    if request.deadline_ms < 0:
        found.append("deadline_ms: must not be negative")
    if not 0 < len(request.tasks) <= MAX_GROUPS:
        found.append(f"tasks: must have 1 to {MAX_GROUPS} entries")
    elif sum(max(0, group.count) for group in request.tasks) > MAX_TASKS:
        found.append(f"tasks: a job has at most {MAX_TASKS} tasks")
    for number, group in enumerate(request.tasks[:MAX_GROUPS]):
        found += [f"tasks[{number}].{text}" for text in _group_findings(group)]
    return found


def _group_findings(group: messages.TaskGroup) -> list[str]:
    found = []
    if group.count < 1:
        found.append("count: must be at least 1")
    if not _between(group.cores, 0.001, 10_000):
        found.append("cores: must be from 0.001 to 10000")
    if not _between(group.memory_gb, 0.001, 1_000_000):
        found.append("memory_gb: must be from 0.001 to 1000000")
    if not _between(group.accelerators, 0, 1000):
        found.append("accelerators: must be from 0 to 1000")
    if not _between(group.run_s, 0.001, 31_536_000):
        found.append("run_s: must be from 0.001 to 31536000")
    return found


def _between(value: float, low: float, high: float) -> bool:
    return math.isfinite(value) and low <= value <= high
