"""Changes of nodes: the body of ``settings.edit`` and how it applies."""

import dataclasses
from typing import Any

from limpetstream.settings import tree as trees


@dataclasses.dataclass(slots=True)
class Change:
    """Change of one node.

    Args:
        path: Path of the node.
        set: Values to set, by key.
        unset: Keys whose value is inherited again.
        kind: Kind of a node to create; empty for a node that exists.
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
        base_version: Version of the tree that the author saw.
        changes: Changes, in force together or not at all.
        author: Name of the operator.
        reason: Why, in the operator's words.
        at_ms: Wall-clock time at the operator's instance, for people only.
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

    A node whose kind differs cannot be changed in one edit; it is left out.
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
    """Return why a change does not apply to a node, or None."""
    if not change.path.startswith("/"):
        return "a path starts with '/'"
    if change.remove:
        if change.path == trees.ROOT:
            return "the root cannot be removed"
        if change.set or change.unset or change.kind:
            return "a node that is removed takes no other change"
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
    """Return the node as it is after a change."""
    kept = {} if node is None else dict(node.values)
    for key in change.unset:
        kept.pop(key, None)
    kind = change.kind or (node.kind if node else "group")
    return trees.Node(change.path, kind, {**kept, **change.set})
