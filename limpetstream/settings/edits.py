"""Applies settings edits from the log to the settings tree of an instance."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from limpetstream import errors
from limpetstream.records import registry as registries, view as views
from limpetstream.settings import (
    changes,
    events,
    history as histories,
    rules,
    tree as trees,
)
from limpetstream.telemetry import logs

EDIT_KIND = "settings.edit"
VERSION = 1
STATE_NAME = "settings"
MAX_REMOVED_PATHS = 2000  # bounds the memory for paths of removed nodes
MAX_REASON_FINDINGS = 5  # limits the void reason in log lines

Change = changes.Change
SettingsEdit = changes.SettingsEdit


@dataclasses.dataclass(slots=True)
class SettingsState:
    """State built from the edits: tree, last versions and history.

    Args:
        tree: Tree, which edits update in place.
        last_version_by_path: Version of the last valid edit of each path.
        forgotten_up_to: Version up to which ``last_version_by_path`` may lack
            paths of removed nodes.
        history: Latest valid edits, for differences and undo.
    """

    tree: trees.Tree
    last_version_by_path: dict[str, int] = dataclasses.field(default_factory=dict)
    forgotten_up_to: int = -1
    history: histories.History = dataclasses.field(init=False)
    _tolerated_problems: frozenset[rules.Problem] = frozenset()
    _problem_cache: rules.NodeProblemCache = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create an empty history of the tree."""
        self.history = histories.History(self.tree)

    def findings(self, edit: SettingsEdit) -> list[errors.SettingsError]:
        """Return all errors that make an edit void at the current version.

        Args:
            edit: The edit.

        Returns:
            The conflicts, or if there are none, the broken rules.
        """
        conflicts = list(self._find_conflicts(edit))
        return conflicts or self._find_invalid_changes(edit)[0]

    def check(self, edit: SettingsEdit) -> None:
        """Check an edit before it is appended.

        Raises:
            ExceptionGroup: All findings, as ``errors.SettingsError``.
        """
        found = self.findings(edit)
        if found:
            raise ExceptionGroup("the settings edit is invalid", found)

    def apply(self, entry: views.Entry) -> str | None:
        """Apply one ``settings.edit`` record.

        Returns:
            Reason why the edit is void, or None if it was applied.
        """
        edit: SettingsEdit = entry.body
        conflict = next(self._find_conflicts(edit), None)
        if conflict is not None:
            return f"conflict: {conflict.key_path} {conflict.message}"
        found, nodes, problems = self._find_invalid_changes(edit)
        if found:
            texts = [f"{each.key_path}: {each.message}" for each in found]
            omitted = len(texts) - MAX_REASON_FINDINGS
            suffix = f"; and {omitted} more" if omitted > 0 else ""
            return "invalid: " + "; ".join(texts[:MAX_REASON_FINDINGS]) + suffix
        old = self.tree.node_by_path
        before = {change.path: old.get(change.path) for change in edit.changes}
        self.history.add(histories.AppliedEdit(entry.offset, entry.index, edit, before))
        self.last_version_by_path.update(dict.fromkeys(before, entry.offset))
        self.tree.replace(nodes, entry.offset)
        self._tolerated_problems = problems
        self._forget_removed()
        return None

    def _find_conflicts(self, edit: SettingsEdit) -> Iterator[errors.SettingsError]:
        for change in edit.changes:
            last_version = self.last_version_by_path.get(
                change.path, self.forgotten_up_to
            )
            if last_version > edit.base_version:
                yield errors.SettingsError(
                    f"was changed by version {last_version} after the base version "
                    f"{edit.base_version}; the current version is "
                    f"{self.tree.version}",
                    file="edit",
                    key_path=change.path,
                )

    def _find_invalid_changes(
        self, edit: SettingsEdit
    ) -> tuple[
        list[errors.SettingsError], dict[str, trees.Node], frozenset[rules.Problem]
    ]:
        found = []
        nodes = dict(self.tree.node_by_path)
        if not edit.changes:
            found.append(errors.SettingsError("changes nothing", file="edit"))
        seen_paths = set()
        for change in edit.changes:
            problem = changes.rejection_reason(
                change, self.tree.node_by_path.get(change.path)
            )
            if change.path in seen_paths:
                problem = "is changed twice in one edit"
            seen_paths.add(change.path)
            if problem:
                found.append(
                    errors.SettingsError(problem, file="edit", key_path=change.path)
                )
            elif change.remove:
                del nodes[change.path]
            else:
                old = nodes.get(change.path)
                nodes[change.path] = changes.apply_change(change, old)
        problems = rules.find_problems(nodes, self._problem_cache)
        # Ignores rules that the tree broke before the edit. Otherwise, a rule
        # that a newer program version adds would make every edit void.
        for each in problems:
            if each not in self._tolerated_problems:
                path = f"{each.path}.{each.key}" if each.key else each.path
                found.append(
                    errors.SettingsError(each.message, file="edit", key_path=path)
                )
        return found, nodes, frozenset(problems)

    def _forget_removed(self) -> None:
        existing = self.tree.node_by_path
        excess = len(self.last_version_by_path) - len(existing) - MAX_REMOVED_PATHS
        if excess <= 0:
            return
        removed = sorted(
            (version, path)
            for path, version in self.last_version_by_path.items()
            if path not in existing
        )
        for version, path in removed[: len(removed) // 2]:
            del self.last_version_by_path[path]
            self.forgotten_up_to = max(self.forgotten_up_to, version)

    def dump(self) -> Iterator[Any]:
        """Yield the state as JSON-compatible objects for a snapshot."""
        yield [
            "head",
            self.tree.version,
            self.forgotten_up_to,
            self.history.last_dropped_version,
        ]
        for path, node in sorted(self.tree.node_by_path.items()):
            yield ["node", path, node.kind, node.values]
        for path, version in sorted(self.last_version_by_path.items()):
            yield ["touched", path, version]
        for applied in self.history.entries:
            yield ["edit", msgspec.to_builtins(applied)]

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state with that of a snapshot.

        Args:
            objects: Objects that ``dump`` yielded.
        """
        nodes: dict[str, trees.Node] = {}
        self.last_version_by_path = {}
        self.history = histories.History(self.tree)
        version = 0
        for tag, *rest in objects:
            if tag == "head":
                version, self.forgotten_up_to, self.history.last_dropped_version = rest
            elif tag == "node":
                nodes[rest[0]] = trees.Node(*rest)
            elif tag == "touched":
                self.last_version_by_path[rest[0]] = rest[1]
            elif tag == "edit":
                self.history.entries.append(
                    msgspec.convert(rest[0], histories.AppliedEdit)
                )
        nodes.setdefault(trees.ROOT, trees.Node(trees.ROOT, "group"))
        self.tree.replace(nodes, version)
        self._tolerated_problems = frozenset(rules.find_problems(nodes))


def _log_edit(entry: views.Entry, apply_result: views.ApplyResult) -> None:
    if entry.kind != EDIT_KIND:
        return
    fields = {"author": entry.body.author, "reason": entry.body.reason}
    if apply_result.void_reason is None:
        logs.emit(events.EDIT_APPLIED, version=entry.offset, **fields)
    else:
        logs.emit(events.EDIT_VOID, void=apply_result.void_reason, **fields)


def register(
    view: views.View,
    registry: registries.Registry,
    *,
    tree: trees.Tree | None = None,
    log_edits: bool = True,
) -> SettingsState:
    """Make a view apply settings edits to a tree.

    Args:
        view: View of the ``control`` stream.
        registry: Registry of body types.
        tree: Tree to update; a new one by default.
        log_edits: Whether each applied or void edit is logged.

    Returns:
        The state, whose ``tree`` remains the same object.
    """
    edits = SettingsState(tree if tree is not None else trees.Tree())
    registry.register(EDIT_KIND, VERSION, SettingsEdit)
    view.register_applier(EDIT_KIND, edits.apply)
    view.register_state(STATE_NAME, edits.dump, edits.load)
    if log_edits:
        view.listeners.append(_log_edit)
    return edits
