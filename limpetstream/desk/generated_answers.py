"""Answers that this system generates itself, and causes of latency."""

import msgspec

from limpetstream import errors
from limpetstream.desk import messages

TOO_MANY_REQUESTS_REASONS = ("quota", "overload", "rate-limit")
JSON_HEADERS = {"Content-Type": "application/json"}


def _build(outcome: str, status: int, reason: str, detail: str) -> messages.Answer:
    body = {"outcome": outcome, "reason": reason, "detail": detail}
    return messages.Answer(
        outcome,
        status,
        dict(JSON_HEADERS),
        msgspec.json.encode(body),
        reason=reason,
        detail=detail,
    )


def not_run(error: errors.NotRun) -> messages.Answer:
    """Return the answer to a request that was not run."""
    status = 429 if error.reason in TOO_MANY_REQUESTS_REASONS else 503
    answer = _build("not-run", status, error.reason, error.detail)
    answer.retry_after_s = error.retry_after_s
    return answer


def unknown(detail: str, attempts: int = 0) -> messages.Answer:
    """Return the answer to a request that may have run."""
    answer = _build("unknown", 504, "unknown", detail)
    answer.attempts = attempts
    return answer


def rejected(error: errors.Rejected) -> messages.Answer:
    """Return the answer to a request that was rejected for good."""
    return _build("failed", error.status, error.reason, error.detail)


def from_error(error: errors.NotRun, progress: messages.Progress) -> messages.Answer:
    """Return "not run" if nothing was written to a server, else "unknown"."""
    if progress.written:
        return unknown(str(error), progress.attempts)
    return not_run(error)


def from_internal_error(progress: messages.Progress) -> messages.Answer:
    """Return the answer after an unexpected error of this program."""
    if progress.written:
        return unknown("internal error", progress.attempts)
    return not_run(errors.NotRun("internal-error"))


def latency_cause(answer: messages.Answer, total_s: float) -> str:
    """Return the part of the latency that took longest.

    Args:
        answer: Answer with its measured times.
        total_s: Seconds from the arrival of the request to its answer.

    >>> answer = messages.Answer("answered", 200, queue_s=0.3, executor_s=0.1)
    >>> latency_cause(answer, 0.45)
    'queue'
    """
    run_s = answer.executor_s
    idle_run_s = run_s / max(1.0, answer.slowdown)
    seconds_by_cause = {
        "executor": idle_run_s,
        "interference": run_s - idle_run_s,
        "queue": answer.queue_s,
        "forward": total_s - run_s - answer.queue_s if run_s else 0.0,
    }
    return max(seconds_by_cause, key=lambda name: seconds_by_cause[name])
