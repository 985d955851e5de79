"""Defines the body of ``settings.edit`` and applies changes to nodes."""

import dataclasses
from typing import Any

from limpetstream.settings import tree as trees


@dataclasses.dataclass(slots=True)
class Change:
    """Change of one node.

    Args:
        path: Path of the node.
        set: Values to set, by key.
        unset: Keys that the node stops setting, so that it inherits them.
        kind: Kind of a node to create; empty for an existing node.
        remove: Whether the node is removed.
    """

    path: str
    set: dict[str, Any] = dataclasses.field(default_factory=dict)
    unset: list[str] = dataclasses.field(default_factory=list)
    kind: str = ""
    remove: bool = False


@dataclasses.dataclass(slots=True)
class SettingsEdit:
    """Body of a ``settings.edit`` record.

    Args:
        base_version: Version of the tree that the edit is based on.
        changes: Changes, which are applied atomically.
        author: Name of the operator.
        reason: Reason that the operator gave.
        at_ms: Wall-clock time at the operator's instance, informational.
    """

    base_version: int
    changes: list[Change]
    author: str
    reason: str
    at_ms: int = 0


def changes_between(
    before: dict[str, trees.Node], after: dict[str, trees.Node]
) -> list[Change]:
    """Return the changes that lead from one set of nodes to another.

    Nodes whose kind differs are left out, because one edit cannot change
    the kind.
    """
    changes = []
    for path in sorted(before.keys() | after.keys()):
        old, new = before.get(path), after.get(path)
        if new is None:
            changes.append(Change(path, remove=True))
        elif old is None:
            changes.append(Change(path, set=dict(new.values), kind=new.kind))
        elif old.kind == new.kind and old.values != new.values:
            updated = {
                key: value
                for key, value in new.values.items()
                if key not in old.values or old.values[key] != value
            }
            changes.append(
                Change(path, updated, sorted(old.values.keys() - new.values.keys()))
            )
    return changes


def rejection_reason(change: Change, node: trees.Node | None) -> str | None:
    """Return why a change cannot be applied to a node, or None if it can."""
    if not change.path.startswith("/"):
        return "a path starts with '/'"
    if change.remove:
        if change.path == trees.ROOT:
            return "the root cannot be removed"
        if change.set or change.unset or change.kind:
            return "a removal of a node allows no other change"
        return None if node else "does not exist"
    if change.kind and node:
        return "exists already"
    if not change.kind and not node:
        return "does not exist; a new node needs a kind"
    if node:
        missing = [key for key in change.unset if key not in node.values]
        if missing:
            return f"does not set {', '.join(missing)} itself"
    return None


def apply_change(change: Change, node: trees.Node | None) -> trees.Node:
    """Return the node after a change; the given node is not modified."""
    values = {} if node is None else dict(node.values)
    for key in change.unset:
        values.pop(key, None)
    kind = change.kind or (node.kind if node else "group")
    return trees.Node(change.path, kind, {**values, **change.set})
