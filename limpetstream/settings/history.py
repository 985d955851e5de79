"""History of edits: earlier versions, differences and undo."""

import collections
import dataclasses
from typing import Any

from limpetstream.settings import changes, tree as trees

MAX_EDITS = 2000  # over a day of edits at the target size


@dataclasses.dataclass(slots=True)
class AppliedEdit:
    """A valid edit in the history.

    Args:
        version: Version that it made, the offset of its frame.
        index: Place of the record in the frame.
        edit: The edit.
        before: Nodes that it touched as they were; None for no node.
    """

    version: int
    index: int
    edit: changes.SettingsEdit
    before: dict[str, trees.Node | None]


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """One value that differs between two versions; None means not set.

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


def _flat(node: trees.Node | None) -> dict[str, Any]:
    return {} if node is None else {"kind": node.kind, **node.values}


@dataclasses.dataclass(slots=True)
class History:
    """Latest valid edits, with what they replaced.

    Args:
        tree: The tree in force.
        entries: Edits, oldest first.
        last_dropped_version: Version of the last edit that is no longer kept.
    """

    tree: trees.Tree
    entries: collections.deque[AppliedEdit] = dataclasses.field(
        default_factory=collections.deque
    )
    last_dropped_version: int = 0

    def add(self, applied: AppliedEdit) -> None:
        """Keep one more edit; the oldest leaves when there are too many."""
        self.entries.append(applied)
        while len(self.entries) > MAX_EDITS:
            self.last_dropped_version = self.entries.popleft().version

    def nodes_at(self, version: int) -> dict[str, trees.Node]:
        """Return the nodes as they were after an earlier version.

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

        Raises:
            KeyError: The history does not go back that far.
        """
        before, after = self.nodes_at(older), self.nodes_at(newer)
        found = []
        for path in sorted(before.keys() | after.keys()):
            left, right = _flat(before.get(path)), _flat(after.get(path))
            found += [
                Difference(path, key, left.get(key), right.get(key))
                for key in sorted(left.keys() | right.keys())
                if left.get(key) != right.get(key)
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
        """Return a new edit that takes one earlier edit back.

        It is void if a later edit touched one of the same paths.

        Args:
            version: Version that the edit made.
            author: Operator who takes it back.
            reason: Why.
            at_ms: Wall-clock time, for people only.
            index: Place in the frame, when the version holds several edits.

        Raises:
            KeyError: No edit, or more than one, fits.
        """
        fitting = [
            each
            for each in self.entries
            if each.version == version and index in (None, each.index)
        ]
        if len(fitting) != 1:
            raise KeyError(f"{len(fitting)} edits in the history fit {version}")
        before = {path: node for path, node in fitting[0].before.items() if node}
        after = {
            path: self.tree.node_by_path[path]
            for path in fitting[0].before
            if path in self.tree.node_by_path
        }
        return changes.SettingsEdit(
            version, changes.changes_between(after, before), author, reason, at_ms
        )

    def make_restore(
        self, version: int, *, author: str, reason: str, at_ms: int = 0
    ) -> changes.SettingsEdit:
        """Return a new edit that brings the whole tree back to a version.

        Raises:
            KeyError: The history does not go back that far.
        """
        found = changes.changes_between(self.tree.node_by_path, self.nodes_at(version))
        return changes.SettingsEdit(self.tree.version, found, author, reason, at_ms)
