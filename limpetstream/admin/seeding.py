"""Publishes the settings of a new deployment on the platform's log."""

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
    """The log already holds records of a deployment."""


def publish(platform: str, file: str, reason: str) -> dict[str, Any]:
    """Append the first edit of a deployment.

    The append is repeated with the same writer and sequence number when its
    answer is lost, so that it counts once.

    Args:
        platform: Base URL of the platform.
        file: Settings tree in JSON with comments.
        reason: Why, for the record.

    Returns:
        The offset of the edit and the number of nodes.

    Raises:
        LogInUse: There are records already.
        Unreachable: The log did not answer.
    """
    try:
        edit = seed.read_edit(pathlib.Path(file), at_ms=int(time.time() * 1000))
    except OSError as error:
        client.fail(f"{file}: {error.strerror}", client.EXIT_USAGE)
    except ExceptionGroup as group:
        text = "\n".join(findings.lines(findings.flatten(group)))
        client.fail(text, client.EXIT_USAGE)
    edit.reason = reason
    log = client.Client(platform)
    start = client.json_or_exit(
        log.call("GET", "/log/control/read?from=0&max=1&wait_ms=0")
    )
    if start["end"] > 0:
        raise LogInUse("the log holds records already; edit the settings instead")
    line = codec.encode(
        codec.Envelope(
            k=edits.KIND,
            v=edits.VERSION,
            w=f"seed-{uuid.uuid4().hex}",
            n=1,
            b=msgspec.to_builtins(edit),
        )
    )
    offset = _append(log, line)
    return {"offset": offset, "nodes": len(edit.changes)}


def _append(log: client.Client, line: str) -> int:
    last: client.Unreachable | None = None
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            reply = log.call("POST", "/log/control/append", {"records": [line]})
        except client.Unreachable as error:
            last = error
        else:
            if reply.status != 503:
                return client.json_or_exit(reply)["offset"]
            last = client.Unreachable("the log is out of service")
        print(f"the log did not answer, trying again: {last}", file=sys.stderr)
        time.sleep(RETRY_DELAY_S)
    raise last or client.Unreachable("the log did not answer")
