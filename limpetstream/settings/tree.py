"""Holds the settings tree and resolves inherited values to typed settings."""

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from limpetstream.settings import schema

ROOT = "/"
DEFAULT_ORIGIN = "default"
"""Origin of a default, which no node sets."""

WORK_KINDS = ("job", "watcher")


@dataclasses.dataclass(slots=True)
class Node:
    """Node of the settings tree with the values that it sets itself.

    Args:
        path: Path from the root, such as ``/teams/counter``.
        kind: ``group`` or a key of ``schema.TYPE_BY_KIND``.
        values: Values that the node sets itself.
    """

    path: str
    kind: str
    values: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def name(self) -> str:
        """Name of the node, the last part of its path."""
        return self.path.rpartition("/")[2]


@dataclasses.dataclass(slots=True, frozen=True)
class EffectiveValue:
    """Effective value of a key and its origin.

    Args:
        value: The value.
        origin: Path of the node that sets it, or ``default``.
    """

    value: Any
    origin: str


def parent_of(path: str) -> str:
    """Return the path of the parent node.

    >>> parent_of("/teams/counter"), parent_of("/teams")
    ('/teams', '/')
    """
    return path.rpartition("/")[0] or ROOT


def path_and_ancestors(path: str) -> Iterator[str]:
    """Yield a path and its ancestors up to the root.

    >>> list(path_and_ancestors("/teams/counter"))
    ['/teams/counter', '/teams', '/']
    """
    yield path
    while path != ROOT:
        path = parent_of(path)
        yield path


def effective_values(
    node_by_path: dict[str, Node], path: str
) -> dict[str, EffectiveValue]:
    """Return the effective values of a node by key, with their origins.

    Args:
        node_by_path: All nodes.
        path: Path of the node.
    """
    kind = node_by_path[path].kind
    keys = schema.keys_of(kind)
    found: dict[str, EffectiveValue] = {}
    for ancestor in path_and_ancestors(path):
        node = node_by_path.get(ancestor)
        for key, value in node.values.items() if node else ():
            if key in keys and key not in found:
                found[key] = EffectiveValue(value, ancestor)
    if kind != "group":
        for key, value in schema.defaults_of(kind).items():
            found.setdefault(key, EffectiveValue(value, DEFAULT_ORIGIN))
    return found


def effective_value(
    node_by_path: dict[str, Node], node: Node, key: str
) -> EffectiveValue:
    """Return the effective value of one key of a node, with its origin.

    Args:
        node_by_path: All nodes.
        node: One of the nodes, other than a group.
        key: Key that the kind of the node has.
    """
    for ancestor in path_and_ancestors(node.path):
        found = node_by_path.get(ancestor)
        if found is not None and key in found.values:
            return EffectiveValue(found.values[key], ancestor)
    return EffectiveValue(schema.defaults_of(node.kind)[key], DEFAULT_ORIGIN)


def _make_empty_tree() -> dict[str, Node]:
    return {ROOT: Node(ROOT, "group")}


@dataclasses.dataclass(slots=True)
class Tree:
    """Settings in force; edits replace the content of the same object.

    Look-ups return shared objects, which must not be modified.

    Args:
        node_by_path: All nodes, always including the root.
        version: Offset of the last valid edit; 0 before the first.
    """

    node_by_path: dict[str, Node] = dataclasses.field(default_factory=_make_empty_tree)
    version: int = 0
    _path_by_kind_name: dict[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )
    _settings_by_path: dict[str, Any] = dataclasses.field(default_factory=dict)
    _name_by_key_hash: dict[tuple[str, str], str] | None = None

    def replace(self, node_by_path: dict[str, Node], version: int) -> None:
        """Replace all nodes.

        Args:
            node_by_path: All new nodes; they must not be modified afterwards.
            version: Offset of the edit that made them.
        """
        self.node_by_path = node_by_path
        self.version = version
        self._path_by_kind_name = {
            (node.kind, node.name): path for path, node in node_by_path.items()
        }
        self._settings_by_path = {}
        self._name_by_key_hash = None

    def effective_values(self, path: str) -> dict[str, EffectiveValue]:
        """Return the effective values of a node by key, with their origins.

        Raises:
            KeyError: There is no such node.
        """
        return effective_values(self.node_by_path, path)

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of all nodes of one kind."""
        return sorted(name for each, name in self._path_by_kind_name if each == kind)

    def path(self, kind: str, name: str) -> str:
        """Return the path of a node.

        Args:
            kind: Kind of the node.
            name: Name of the node.

        Raises:
            KeyError: There is no such node.
        """
        return self._path_by_kind_name[kind, name]

    def typed_settings(self, kind: str, name: str) -> Any:
        """Return the effective settings of a node as its settings class.

        Args:
            kind: Kind of the node.
            name: Name of the node.

        Raises:
            KeyError: There is no such node.
        """
        path = self._path_by_kind_name[kind, name]
        found = self._settings_by_path.get(path)
        if found is None:
            values = {
                key: each.value for key, each in self.effective_values(path).items()
            }
            found = msgspec.convert(values, schema.TYPE_BY_KIND[kind])
            self._settings_by_path[path] = found
        return found

    def service(self, name: str) -> schema.Service:
        """Return a desk service's settings, or raise ``KeyError``."""
        return self.typed_settings("service", name)

    def team(self, name: str) -> schema.Team:
        """Return a team's settings, or raise ``KeyError``."""
        return self.typed_settings("team", name)

    def data_centre(self, name: str) -> schema.DataCentre:
        """Return a data centre's settings, or raise ``KeyError``."""
        return self.typed_settings("data-centre", name)

    def caller(self, name: str) -> schema.Caller:
        """Return a caller's settings, or raise ``KeyError``."""
        return self.typed_settings("caller", name)

    def operator(self, name: str) -> schema.Operator:
        """Return an operator's settings, or raise ``KeyError``."""
        return self.typed_settings("operator", name)

    def work(self, name: str) -> schema.Work:
        """Return a job's or a watcher's settings, or raise ``KeyError``."""
        for kind in WORK_KINDS:
            if (kind, name) in self._path_by_kind_name:
                return self.typed_settings(kind, name)
        raise KeyError(name)

    def caller_by_key(self, sha256: str) -> tuple[str, schema.Caller] | None:
        """Return name and settings of the caller that has a key, or None.

        Args:
            sha256: Hex SHA-256 of the key.
        """
        return self._find_by_key("caller", sha256)

    def operator_by_key(self, sha256: str) -> tuple[str, schema.Operator] | None:
        """Return name and settings of the operator who has a key, or None.

        Args:
            sha256: Hex SHA-256 of the key.
        """
        return self._find_by_key("operator", sha256)

    def _find_by_key(self, kind: str, sha256: str) -> tuple[str, Any] | None:
        if self._name_by_key_hash is None:
            self._name_by_key_hash = {
                (each, key): name
                for each in ("caller", "operator")
                for name in self.names(each)
                for key in self.typed_settings(each, name).key_sha256
            }
        name = self._name_by_key_hash.get((kind, sha256))
        return None if name is None else (name, self.typed_settings(kind, name))
