"""Turns a settings tree file into the first edit of a deployment."""

import pathlib

from limpetstream.settings import changes, files, tree


def make_edit(
    node_by_path: dict[str, tree.Node],
    *,
    author: str = "seed",
    reason: str = "first settings",
    at_ms: int = 0,
) -> changes.SettingsEdit:
    """Return one edit that creates nodes in an empty tree.

    It is void if settings exist already, so that only the first of two seeds
    in the log takes effect.

    Args:
        node_by_path: Nodes of the tree.
        author: Author of the edit.
        reason: Reason of the edit.
        at_ms: Wall-clock time, for information only.
    """
    empty_nodes = tree.Tree().node_by_path
    found = changes.changes_between(empty_nodes, node_by_path)
    return changes.SettingsEdit(0, found, author, reason, at_ms)


def read_edit(path: pathlib.Path, *, at_ms: int = 0) -> changes.SettingsEdit:
    """Return the first edit of a deployment from a settings tree file.

    Args:
        path: File with the settings tree.
        at_ms: Wall-clock time, for information only.

    Raises:
        OSError: The file cannot be read.
        ExceptionGroup: All findings in the file.
    """
    reason = f"first settings, from {path.name}"
    return make_edit(files.read_tree(path), reason=reason, at_ms=at_ms)
