"""Publishes the initial settings of a new deployment on the log."""

import pathlib
import sys
import time
import uuid
from typing import Any

import msgspec

from limpetstream import errors
from limpetstream.admin import client
from limpetstream.records import codec
from limpetstream.settings import edits, findings, seed

MAX_APPEND_ATTEMPTS = 5
RETRY_DELAY_S = 0.5


class LogInUse(errors.LimpetstreamError):
    """The log already contains records of a deployment."""


def publish(platform: str, file: str, reason: str) -> dict[str, Any]:
    """Append the first settings edit of a deployment.

    If the answer is lost, the append is repeated with the same writer and
    sequence number, so that readers apply the edit once.

    Args:
        platform: Base URL of the platform.
        file: Settings tree in JSON with comments.
        reason: Reason for the edit, kept in the history.

    Returns:
        The offset of the edit and its number of nodes.

    Raises:
        LogInUse: The log already contains records.
        Unreachable: The log did not answer in time.
    """
    try:
        edit = seed.read_edit(pathlib.Path(file), at_ms=int(time.time() * 1000))
    except OSError as error:
        client.fail(f"{file}: {error.strerror}", client.EXIT_USAGE)
    except ExceptionGroup as group:
        text = "\n".join(findings.format_lines(findings.flatten(group)))
        client.fail(text, client.EXIT_USAGE)
    edit.reason = reason
    log = client.Client(platform)
    start = client.json_or_exit(
        log.call("GET", "/log/control/read?from=0&max=1&wait_ms=0")
    )
    if start["end"] > 0:
        raise LogInUse("the log already contains records; edit the settings instead")
    line = codec.encode(
        codec.Envelope(
            k=edits.EDIT_KIND,
            v=edits.VERSION,
            w=f"seed-{uuid.uuid4().hex}",
            n=1,
            b=msgspec.to_builtins(edit),
        )
    )
    offset = _append(log, line)
    return {"offset": offset, "nodes": len(edit.changes)}


def _append(log: client.Client, line: str) -> int:
    last_error: client.Unreachable | None = None
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            reply = log.call("POST", "/log/control/append", {"records": [line]})
        except client.Unreachable as error:
            last_error = error
        else:
            if reply.status != 503:
                return client.json_or_exit(reply)["offset"]
            last_error = client.Unreachable("the log is out of service (status 503)")
        print(
            f"the append was not confirmed, trying again: {last_error}", file=sys.stderr
        )
        time.sleep(RETRY_DELAY_S)
    raise last_error or client.Unreachable("the log did not answer")
