"""Keeps the latest edits for earlier versions, differences and undo."""

import collections
import dataclasses
from typing import Any

from limpetstream.settings import changes, tree as trees

MAX_EDITS = 2000  # more than a day of edits at the target size


@dataclasses.dataclass(slots=True)
class AppliedEdit:
    """Valid edit with the nodes that it replaced.

    Args:
        version: Version that the edit made, which is the offset of its frame.
        index: Position of the record in the frame.
        edit: The edit.
        before: Changed nodes by path as they were before the edit; None for a
            node that did not exist.
    """

    version: int
    index: int
    edit: changes.SettingsEdit
    before: dict[str, trees.Node | None]


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """Value that differs between two versions; None means that it is not set.

    Args:
        path: Path of the node.
        key: Key of the value; ``kind`` for the node itself.
        before: Value in the older version.
        after: Value in the newer version.
    """

    path: str
    key: str
    before: Any
    after: Any


def _kind_and_values(node: trees.Node | None) -> dict[str, Any]:
    return {} if node is None else {"kind": node.kind, **node.values}


@dataclasses.dataclass(slots=True)
class History:
    """Latest valid edits with the nodes that they replaced.

    Args:
        tree: The tree in force.
        entries: Edits, oldest first.
        last_dropped_version: Version of the newest edit that was dropped; 0
            if none was.
    """

    tree: trees.Tree
    entries: collections.deque[AppliedEdit] = dataclasses.field(
        default_factory=collections.deque
    )
    last_dropped_version: int = 0

    def add(self, applied: AppliedEdit) -> None:
        """Add an edit, and drop the oldest ones beyond ``MAX_EDITS``."""
        self.entries.append(applied)
        while len(self.entries) > MAX_EDITS:
            self.last_dropped_version = self.entries.popleft().version

    def nodes_at(self, version: int) -> dict[str, trees.Node]:
        """Return the nodes by path as of an earlier version.

        Raises:
            KeyError: The history does not go back that far.
        """
        if version < self.last_dropped_version:
            raise KeyError(f"version {version} is no longer in the history")
        nodes = dict(self.tree.node_by_path)
        for applied in reversed(self.entries):
            if applied.version <= version:
                break
            for path, node in applied.before.items():
                if node is None:
                    nodes.pop(path, None)
                else:
                    nodes[path] = node
        return nodes

    def differences(self, older: int, newer: int) -> list[Difference]:
        """Return the values that differ between two versions.

        Args:
            older: The older version.
            newer: The newer version.

        Raises:
            KeyError: The history does not go back that far.
        """
        before, after = self.nodes_at(older), self.nodes_at(newer)
        found = []
        for path in sorted(before.keys() | after.keys()):
            old_values, new_values = (
                _kind_and_values(before.get(path)),
                _kind_and_values(after.get(path)),
            )
            found += [
                Difference(path, key, old_values.get(key), new_values.get(key))
                for key in sorted(old_values.keys() | new_values.keys())
                if old_values.get(key) != new_values.get(key)
            ]
        return found

    def make_undo(
        self,
        version: int,
        *,
        author: str,
        reason: str,
        at_ms: int = 0,
        index: int | None = None,
    ) -> changes.SettingsEdit:
        """Return a new edit that undoes one earlier edit.

        It is void if a later edit changed one of the same paths.

        Args:
            version: Version that the earlier edit made.
            author: Operator who undoes it.
            reason: Reason of the undo.
            at_ms: Wall-clock time, for information only.
            index: Position of the record in the frame, if the version has
                several edits.

        Raises:
            KeyError: No edit, or more than one, matches.
        """
        matching = [
            each
            for each in self.entries
            if each.version == version and index in (None, each.index)
        ]
        if len(matching) != 1:
            raise KeyError(
                f"{len(matching)} edits in the history match version {version}"
            )
        before = {path: node for path, node in matching[0].before.items() if node}
        after = {
            path: self.tree.node_by_path[path]
            for path in matching[0].before
            if path in self.tree.node_by_path
        }
        return changes.SettingsEdit(
            version, changes.changes_between(after, before), author, reason, at_ms
        )

    def make_restore(
        self, version: int, *, author: str, reason: str, at_ms: int = 0
    ) -> changes.SettingsEdit:
        """Return a new edit that restores the tree to an earlier version.

        Raises:
            KeyError: The history does not go back that far.
        """
        found = changes.changes_between(self.tree.node_by_path, self.nodes_at(version))
        return changes.SettingsEdit(self.tree.version, found, author, reason, at_ms)
