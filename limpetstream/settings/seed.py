"""Turns the file of a settings tree into the first edit of a deployment."""

import pathlib

from limpetstream.settings import changes, files, tree


def make_edit(
    node_by_path: dict[str, tree.Node],
    *,
    author: str = "seed",
    reason: str = "first settings",
    at_ms: int = 0,
) -> changes.SettingsEdit:
    """Return one edit that makes these nodes from an empty tree.

    It is void where settings exist already, so that of two seeds only the
    first in the log counts.

    Args:
        node_by_path: Nodes of the tree.
        author: Author of the edit.
        reason: Reason of the edit.
        at_ms: Wall-clock time, for people only.
    """
    empty = tree.Tree().node_by_path
    found = changes.changes_between(empty, node_by_path)
    return changes.SettingsEdit(0, found, author, reason, at_ms)


def read_edit(path: pathlib.Path, *, at_ms: int = 0) -> changes.SettingsEdit:
    """Return the seeding edit of a file.

    Raises:
        OSError: The file cannot be read.
        ExceptionGroup: All findings in the file.
    """
    reason = f"first settings, from {path.name}"
    return make_edit(files.read_tree(path), reason=reason, at_ms=at_ms)
