"""Operations that show, edit and compare the settings tree."""

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
    """Objects that the operations on the settings tree use.

    Args:
        edits: Applied edits, their history and the resulting tree.
        committer: Appends to the control stream.
        clock: Time source.
        log_reachable: Returns whether appends are currently confirmed.
    """

    edits: edits.SettingsState
    committer: committer.Committer
    clock: clock.Clock
    log_reachable: Callable[[], bool]

    @property
    def tree(self) -> trees.Tree:
        """The settings in force."""
        return self.edits.tree


def redact(key: str, value: Any) -> Any:
    """Return a value for display; of key hashes, only their number."""
    return f"{len(value)} key(s)" if key in SECRET_KEYS else value


def parse_query_number(text: str, default: int, name: str) -> int:
    """Parse a query parameter as a whole number.

    Args:
        text: Value of the parameter; empty for the default.
        default: Number to return if the parameter is missing.
        name: Name of the parameter, for the error.

    Raises:
        Rejected: The value is not a whole number.
    """
    if not text:
        return default
    try:
        return int(text)
    except ValueError:
        raise errors.Rejected(
            400, "bad-request", f"{name}: not a whole number"
        ) from None


async def append_edit(
    access: SettingsAccess, edit: changes.SettingsEdit
) -> messages.EditReply:
    """Validate and append an edit, and wait until it is in force here.

    Raises:
        Rejected: The edit has findings or conflicts with an earlier edit.
        NotRun: The log is unreachable; nothing was appended.
        OutcomeUnknown: The log did not confirm the edit in time; it may
            still take effect.
    """
    check_edit(access, edit)
    if not access.log_reachable():
        raise errors.NotRun(
            "log-unavailable",
            "the settings cannot be edited while the log is unreachable",
            retry_after_s=5,
        )
    try:
        apply_result = await access.committer.append(
            edits.EDIT_KIND, edit, timeout_s=APPEND_TIMEOUT_S
        )
    except errors.LogUnavailable as error:
        detail = "the log did not confirm the edit in time; check the history"
        raise errors.OutcomeUnknown(detail) from error
    if apply_result.void_reason is not None:
        logs.emit(
            events.EDIT_REFUSED, author=edit.author, reason=apply_result.void_reason
        )
        status = 409 if apply_result.void_reason.startswith("conflict") else 400
        reason = "conflict" if status == 409 else "findings"
        raise errors.Rejected(status, reason, apply_result.void_reason)
    logs.emit(events.EDIT_ACCEPTED, author=edit.author, version=apply_result.offset)
    difference = access.edits.history.differences(
        apply_result.offset - 1, apply_result.offset
    )
    return messages.EditReply(apply_result.offset, redact_all(difference))


def check_edit(access: SettingsAccess, edit: changes.SettingsEdit) -> None:
    """Check an edit against the current settings.

    Raises:
        Rejected: The edit conflicts with an earlier edit or has findings; all
            findings are listed.
    """
    findings = access.edits.findings(edit)
    if not findings:
        return
    conflict = any("after the base version" in each.message for each in findings)
    known = access.tree.node_by_path
    texts = tuple(
        f"{each.key_path}: {each.message}".removeprefix(": ")
        + (
            arguments.suggestion(each.key_path, known)
            if "does not exist" in each.message
            else ""
        )
        for each in findings
    )
    status, reason = (409, "conflict") if conflict else (400, "findings")
    detail = f"{len(texts)} finding(s); the current version is {access.tree.version}"
    raise errors.Rejected(status, reason, detail, findings=texts)


def redact_all(difference: list[history.Difference]) -> list[messages.EffectiveChange]:
    """Return differences for display, with secrets redacted."""
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
    """Return the effective difference that an edit would have."""
    check_edit(access, edit)
    before = access.tree.node_by_path
    after = dict(before)
    for change in edit.changes:
        if change.remove:
            del after[change.path]
        else:
            after[change.path] = changes.apply_change(change, before.get(change.path))
    difference = []
    for path in sorted(before.keys() | after.keys()):
        old_by_key = trees.effective_values(before, path) if path in before else {}
        new_by_key = trees.effective_values(after, path) if path in after else {}
        for key in sorted(old_by_key.keys() | new_by_key.keys()):
            old, new = old_by_key.get(key), new_by_key.get(key)
            if (old and old.value) != (new and new.value):
                difference.append(
                    messages.EffectiveChange(
                        path,
                        key,
                        redact(key, old.value) if old else None,
                        redact(key, new.value) if new else None,
                    )
                )
    return messages.EditReply(access.tree.version, difference)


def operations(access: SettingsAccess) -> list[openapi.Operation]:
    """Return the operations on the settings tree."""
    return [*read_operations(access), *write_operations(access)]


async def show_tree(access: SettingsAccess, call: openapi.Call) -> Any:
    """List all nodes of the settings tree."""
    return [
        {
            "path": path,
            "kind": node.kind,
            "values": {k: redact(k, v) for k, v in node.values.items()},
        }
        for path, node in sorted(access.tree.node_by_path.items())
    ]


async def show_settings(access: SettingsAccess, call: openapi.Call) -> Any:
    """Show a node's effective settings and the nodes that set them."""
    path = call.query["path"] or trees.ROOT
    if path not in access.tree.node_by_path:
        raise handlers.not_found("node", path, access.tree.node_by_path)
    return [
        {"key": key, "value": redact(key, each.value), "from": each.origin}
        for key, each in sorted(access.tree.effective_values(path).items())
    ]


async def show_services(access: SettingsAccess, call: openapi.Call) -> Any:
    """List the desk services with their effective settings."""
    return [
        {"name": name, **dataclasses.asdict(access.tree.service(name))}
        for name in access.tree.names("service")
    ]


async def show_history(access: SettingsAccess, call: openapi.Call) -> Any:
    """List the latest edits."""
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
    """Show the effective difference between two versions."""
    before = parse_query_number(call.query["before"], 0, "before")
    after = parse_query_number(call.query["after"], access.tree.version, "after")
    try:
        difference = access.edits.history.differences(before, after)
    except KeyError as error:
        raise errors.Rejected(404, "not-found", str(error.args[0])) from error
    return redact_all(difference)


def read_operations(access: SettingsAccess) -> list[openapi.Operation]:
    """Return the operations that show the settings tree."""

    read = "read"
    operation = functools.partial(openapi.Operation, access)
    return [
        operation(
            "GET", "/tree", read, "List all nodes of the settings tree.", show_tree
        ),
        operation(
            "GET",
            "/settings",
            read,
            "Show a node's effective settings and the nodes that set them.",
            show_settings,
            query=("path",),
        ),
        operation(
            "GET",
            "/services",
            read,
            "List the desk services with their effective settings.",
            show_services,
        ),
        operation(
            "GET",
            "/history",
            read,
            "List the latest edits.",
            show_history,
            query=("limit",),
        ),
        operation(
            "GET",
            "/difference",
            read,
            "Show the effective difference between two versions.",
            show_difference,
            query=("before", "after"),
        ),
    ]


def make_edit(
    access: SettingsAccess,
    call: openapi.Call,
    edit_changes: list[changes.Change],
    base_version: int,
) -> changes.SettingsEdit:
    """Return the settings edit that a call asks for.

    Args:
        access: Objects that the operations use.
        call: Call of the operator.
        edit_changes: Changes of the edit.
        base_version: Version that the edit is based on; negative for the
            current one.
    """
    base = base_version if base_version >= 0 else access.tree.version
    return changes.SettingsEdit(
        base, edit_changes, call.operator, call.body.reason, access.clock.wall_ms()
    )


async def edit_settings(access: SettingsAccess, call: openapi.Call) -> Any:
    """Change settings, or show the effect of a change in a dry run."""
    request: messages.EditRequest = call.body
    edit = make_edit(access, call, request.changes, request.base_version)
    if request.dry_run:
        return preview(access, edit)
    return await append_edit(access, edit)


async def set_data_centre(access: SettingsAccess, call: openapi.Call) -> Any:
    """Take a data centre out of service or bring it back."""
    name, request = call.parameters["name"], call.body
    known = access.tree.names("data-centre")
    if name not in known:
        raise handlers.not_found("data centre", name, known)
    if request.state not in schema.CHOICES_BY_KEY["state"]:
        raise errors.Rejected(400, "bad-request", "state must be 'in' or 'out'")
    path = access.tree.path("data-centre", name)
    change = changes.Change(path, {"state": request.state})
    edit = make_edit(access, call, [change], request.base_version)
    return await append_edit(access, edit)


async def undo_edit(access: SettingsAccess, call: openapi.Call) -> Any:
    """Undo an edit by appending a new one."""
    try:
        edit = access.edits.history.make_undo(
            call.body.version,
            author=call.operator,
            reason=call.body.reason,
            at_ms=access.clock.wall_ms(),
        )
    except KeyError as error:
        detail = f"no edit in the history has version {call.body.version}"
        raise errors.Rejected(404, "not-found", detail) from error
    return await append_edit(access, edit)


def write_operations(access: SettingsAccess) -> list[openapi.Operation]:
    """Return the operations that change the settings tree."""

    operation = functools.partial(openapi.Operation, access)
    return [
        operation(
            "POST",
            "/edits",
            "edit",
            "Change settings, or show the effect of a change in a dry run.",
            edit_settings,
            messages.EditRequest,
        ),
        operation(
            "PUT",
            "/data-centres/{name}",
            "drain",
            "Take a data centre out of service or bring it back.",
            set_data_centre,
            messages.DataCentreRequest,
        ),
        operation(
            "POST",
            "/undo",
            "edit",
            "Undo an edit by appending a new one.",
            undo_edit,
            messages.UndoRequest,
        ),
    ]
