"""Refusals of callers' requests that were not received whole."""

import msgspec
from tornado import httputil

from limpetstream import errors, recent_ids
from limpetstream.batch import requests
from limpetstream.border import bounded_server, identity
from limpetstream.desk import handlers, service


def encode(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    refusal: bounded_server.Refusal,
    *,
    desk: service.Desk,
    unknown_jobs: recent_ids.RecentIds,
) -> None:
    """Give a refusal the form of the other answers to callers.

    Args:
        start_line: Start line of the request.
        headers: Headers of the request.
        refusal: Refusal; its outcome is unknown if an earlier request with the
            same id may have run.
        desk: Desk, for its earlier requests.
        unknown_jobs: Ids of jobs whose submission had an unknown outcome.
    """
    refusal.headers["Cache-Control"] = "no-store"
    detail = refusal.reason
    if refusal.status != 503:
        reason = "body-too-large" if refusal.status == 413 else "too-many-headers"
        body = {"reason": reason, "detail": detail}
    elif _may_have_run(start_line, headers, desk, unknown_jobs):
        refusal.status = 504
        refusal.headers["Outcome"] = "unknown"
        body = {"outcome": "unknown", "detail": detail}
    else:
        refusal.headers["Outcome"] = "not-run"
        body = {"outcome": "not-run", "reason": "overload", "detail": detail}
    refusal.body = msgspec.json.encode(body)


def _may_have_run(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    desk: service.Desk,
    unknown_jobs: recent_ids.RecentIds,
) -> bool:
    """Return whether an earlier request with the same id may have run."""
    request_id = headers.get("Request-Id")
    if not request_id:
        return False
    try:
        caller = identity.authenticate(
            headers.get("Authorization"), desk.context.tree.caller_by_key
        )
    except errors.Rejected:
        return False
    if start_line.path.startswith(handlers.PREFIX):
        key = (caller.name, request_id)
        intent = desk.intents.by_key.get(key)
        if intent is not None and intent.may_have_run:
            return True
        return key in desk.answer_cache.by_key
    return requests.job_id(caller.name, request_id) in unknown_jobs
