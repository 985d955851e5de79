"""Operations on the settings tree."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

from limpetstream import clock, errors
from limpetstream.admin import arguments, events, handlers, messages, openapi
from limpetstream.records import committer
from limpetstream.settings import changes, edits, history, schema, tree as trees
from limpetstream.telemetry import logs

SECRET_KEYS = frozenset({"key_sha256"})
APPEND_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class SettingsAccess:
    """What operations on the settings tree need.

    Args:
        edits: Folded edits with their tree.
        committer: Appends to the control stream.
        clock: Time of this process.
        log_reachable: Tells whether appends can be confirmed now.
    """

    edits: edits.Edits
    committer: committer.Committer
    clock: clock.Clock
    log_reachable: Callable[[], bool]

    @property
    def tree(self) -> trees.Tree:
        """The settings in force."""
        return self.edits.tree


def redact(key: str, value: Any) -> Any:
    """Return a value for display; key hashes are only counted."""
    return f"{len(value)} key(s)" if key in SECRET_KEYS else value


def parse_query_number(text: str, default: int, name: str) -> int:
    """Return a query parameter as a number.

    Raises:
        Rejected: It is no whole number.
    """
    if not text:
        return default
    try:
        return int(text)
    except ValueError:
        raise errors.Rejected(400, "bad-request", f"{name}: not a number") from None


async def append_edit(
    access: SettingsAccess, edit: changes.SettingsEdit
) -> messages.EditReply:
    """Check and append an edit, and wait until it is in force here.

    Raises:
        Rejected: The edit has findings, or another edit came first.
        NotRun: The log is out of reach; nothing was appended.
        OutcomeUnknown: The log did not confirm; the edit may take effect.
    """
    check_edit(access, edit)
    if not access.log_reachable():
        raise errors.NotRun(
            "log-unavailable", "edits wait for the log", retry_after_s=5
        )
    try:
        apply_result = await access.committer.append(
            edits.KIND, edit, timeout_s=APPEND_TIMEOUT_S
        )
    except errors.LogUnavailable as error:
        detail = "the log did not confirm the edit; look at the history"
        raise errors.OutcomeUnknown(detail) from error
    if apply_result.void_reason is not None:
        logs.emit(
            events.EDIT_REFUSED, author=edit.author, reason=apply_result.void_reason
        )
        status = 409 if apply_result.void_reason.startswith("conflict") else 400
        reason = "conflict" if status == 409 else "findings"
        raise errors.Rejected(status, reason, apply_result.void_reason)
    logs.emit(events.EDIT_ACCEPTED, author=edit.author, version=apply_result.offset)
    difference = access.edits.history.difference(
        apply_result.offset - 1, apply_result.offset
    )
    return messages.EditReply(apply_result.offset, redact_all(difference))


def check_edit(access: SettingsAccess, edit: changes.SettingsEdit) -> None:
    """Check an edit against the settings in force.

    Raises:
        Rejected: There are findings, all of which are named.
    """
    found = access.edits.findings(edit)
    if not found:
        return
    conflict = any("after the base version" in each.message for each in found)
    known = access.tree.node_by_path
    texts = tuple(
        f"{each.key_path}: {each.message}".removeprefix(": ")
        + (
            arguments.suggestion(each.key_path, known)
            if "does not exist" in each.message
            else ""
        )
        for each in found
    )
    status, reason = (409, "conflict") if conflict else (400, "findings")
    detail = f"{len(texts)} finding(s); the current version is {access.tree.version}"
    raise errors.Rejected(status, reason, detail, findings=texts)


def redact_all(difference: list[history.Difference]) -> list[messages.EffectiveChange]:
    """Return differences for display."""
    return [
        messages.EffectiveChange(
            each.path,
            each.key,
            redact(each.key, each.before) if each.before is not None else None,
            redact(each.key, each.after) if each.after is not None else None,
        )
        for each in difference
    ]


def preview(access: SettingsAccess, edit: changes.SettingsEdit) -> messages.EditReply:
    """Return the effective difference that an edit would make."""
    check_edit(access, edit)
    before = access.tree.node_by_path
    after = dict(before)
    for change in edit.changes:
        if change.remove:
            del after[change.path]
        else:
            after[change.path] = changes.changed(change, before.get(change.path))
    found = []
    for path in sorted(before.keys() | after.keys()):
        old = trees.effective(before, path) if path in before else {}
        new = trees.effective(after, path) if path in after else {}
        for key in sorted(old.keys() | new.keys()):
            left, right = old.get(key), new.get(key)
            if (left and left.value) != (right and right.value):
                found.append(
                    messages.EffectiveChange(
                        path,
                        key,
                        redact(key, left.value) if left else None,
                        redact(key, right.value) if right else None,
                    )
                )
    return messages.EditReply(access.tree.version, found)


def operations(access: SettingsAccess) -> list[openapi.Operation]:
    """Return the operations on the settings tree."""
    return [*read_operations(access), *write_operations(access)]


async def show_tree(access: SettingsAccess, call: openapi.Call) -> Any:
    """List all nodes."""
    return [
        {
            "path": path,
            "kind": node.kind,
            "values": {k: redact(k, v) for k, v in node.values.items()},
        }
        for path, node in sorted(access.tree.node_by_path.items())
    ]


async def show_settings(access: SettingsAccess, call: openapi.Call) -> Any:
    """Show a node's effective settings and their origins."""
    path = call.query["path"] or trees.ROOT
    if path not in access.tree.node_by_path:
        raise handlers.not_found("node", path, access.tree.node_by_path)
    return [
        {"key": key, "value": redact(key, each.value), "from": each.node}
        for key, each in sorted(access.tree.effective(path).items())
    ]


async def show_services(access: SettingsAccess, call: openapi.Call) -> Any:
    """List the desk services."""
    return [
        {"name": name, **dataclasses.asdict(access.tree.service(name))}
        for name in access.tree.names("service")
    ]


async def show_history(access: SettingsAccess, call: openapi.Call) -> Any:
    """List edits."""
    limit = max(1, min(2000, parse_query_number(call.query["limit"], 50, "limit")))
    return [
        {
            "version": applied.version,
            "author": applied.edit.author,
            "at_ms": applied.edit.at_ms,
            "reason": applied.edit.reason,
            "paths": [change.path for change in applied.edit.changes],
        }
        for applied in list(access.edits.history.entries)[-limit:]
    ]


async def show_difference(access: SettingsAccess, call: openapi.Call) -> Any:
    """Show what differs between two versions."""
    before = parse_query_number(call.query["before"], 0, "before")
    after = parse_query_number(call.query["after"], access.tree.version, "after")
    try:
        found = access.edits.history.difference(before, after)
    except KeyError as error:
        raise errors.Rejected(404, "not-found", str(error.args[0])) from error
    return redact_all(found)


def read_operations(access: SettingsAccess) -> list[openapi.Operation]:
    """Return the operations that only read."""

    read = "read"
    make = functools.partial(openapi.Operation, access)
    return [
        make("GET", "/tree", read, "List all nodes.", show_tree),
        make(
            "GET",
            "/settings",
            read,
            "Show a node's effective settings and their origins.",
            show_settings,
            query=("path",),
        ),
        make("GET", "/services", read, "List the desk services.", show_services),
        make("GET", "/history", read, "List edits.", show_history, query=("limit",)),
        make(
            "GET",
            "/difference",
            read,
            "Show what differs between two versions.",
            show_difference,
            query=("before", "after"),
        ),
    ]


def make_edit(
    access: SettingsAccess,
    call: openapi.Call,
    found: list[changes.Change],
    base_version: int,
) -> changes.SettingsEdit:
    """Return the edit of one call."""
    base = base_version if base_version >= 0 else access.tree.version
    return changes.SettingsEdit(
        base, found, call.operator, call.body.reason, access.clock.wall_ms()
    )


async def edit_settings(access: SettingsAccess, call: openapi.Call) -> Any:
    """Change settings, or show what a change would do."""
    request: messages.EditRequest = call.body
    edit = make_edit(access, call, request.changes, request.base_version)
    if request.dry_run:
        return preview(access, edit)
    return await append_edit(access, edit)


async def set_data_centre(access: SettingsAccess, call: openapi.Call) -> Any:
    """Take a data centre out or bring it back."""
    name, request = call.parameters["name"], call.body
    known = access.tree.names("data-centre")
    if name not in known:
        raise handlers.not_found("data centre", name, known)
    if request.state not in schema.CHOICES_BY_KEY["state"]:
        raise errors.Rejected(400, "bad-request", "state is 'in' or 'out'")
    path = access.tree.path("data-centre", name)
    change = changes.Change(path, {"state": request.state})
    edit = make_edit(access, call, [change], request.base_version)
    return await append_edit(access, edit)


async def undo_edit(access: SettingsAccess, call: openapi.Call) -> Any:
    """Undo an edit by a new one."""
    try:
        edit = access.edits.history.undo(
            call.body.version,
            author=call.operator,
            reason=call.body.reason,
            at_ms=access.clock.wall_ms(),
        )
    except KeyError as error:
        detail = f"no edit has the version {call.body.version}; see the history"
        raise errors.Rejected(404, "not-found", detail) from error
    return await append_edit(access, edit)


def write_operations(access: SettingsAccess) -> list[openapi.Operation]:
    """Return the operations that change settings."""

    make = functools.partial(openapi.Operation, access)
    return [
        make(
            "POST",
            "/edits",
            "edit",
            "Change settings, or show what a change would do.",
            edit_settings,
            messages.EditRequest,
        ),
        make(
            "PUT",
            "/data-centres/{name}",
            "drain",
            "Take a data centre out or bring it back.",
            set_data_centre,
            messages.DataCentreRequest,
        ),
        make(
            "POST",
            "/undo",
            "edit",
            "Undo an edit by a new one.",
            undo_edit,
            messages.UndoRequest,
        ),
    ]
