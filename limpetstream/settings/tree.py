"""The settings tree: nodes by path, inheritance and typed look-ups."""

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from limpetstream.settings import schema

ROOT = "/"
DEFAULT_ORIGIN = "default"
"""Origin of a value that no node sets."""

WORK_KINDS = ("job", "watcher")


@dataclasses.dataclass(slots=True)
class Node:
    """One node with its own values.

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
        """Last part of the path."""
        return self.path.rpartition("/")[2]


@dataclasses.dataclass(slots=True, frozen=True)
class EffectiveValue:
    """An effective value and where it is set.

    Args:
        value: The value.
        origin: Path of the node that sets it, or ``default``.
    """

    value: Any
    origin: str


def parent_of(path: str) -> str:
    """Return the path of the parent.

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
    """Return all values that hold at a node, with their origins.

    Args:
        node_by_path: All nodes.
        path: A path in it.
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
    """Return one value that holds at a node of a kind that has the key.

    Args:
        node_by_path: All nodes.
        node: One of them, no group.
        key: Key of the value.
    """
    for ancestor in path_and_ancestors(node.path):
        found = node_by_path.get(ancestor)
        if found is not None and key in found.values:
            return EffectiveValue(found.values[key], ancestor)
    return EffectiveValue(schema.defaults_of(node.kind)[key], DEFAULT_ORIGIN)


def _empty() -> dict[str, Node]:
    return {ROOT: Node(ROOT, "group")}


@dataclasses.dataclass(slots=True)
class Tree:
    """Settings in force; the object stays, its content follows the edits.

    Objects that the look-ups return are shared and must not be changed.

    Args:
        node_by_path: All nodes; the root always exists.
        version: Offset of the last valid edit; 0 before the first.
    """

    node_by_path: dict[str, Node] = dataclasses.field(default_factory=_empty)
    version: int = 0
    _path_by_kind_name: dict[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )
    _typed_by_path: dict[str, Any] = dataclasses.field(default_factory=dict)
    _name_by_key_hash: dict[tuple[str, str], str] | None = None

    def replace(self, node_by_path: dict[str, Node], version: int) -> None:
        """Put another set of nodes in force.

        Args:
            node_by_path: All nodes; nodes are not changed afterwards.
            version: Offset of the edit that led to them.
        """
        self.node_by_path = node_by_path
        self.version = version
        self._path_by_kind_name = {
            (node.kind, node.name): path for path, node in node_by_path.items()
        }
        self._typed_by_path = {}
        self._name_by_key_hash = None

    def effective_values(self, path: str) -> dict[str, EffectiveValue]:
        """Return all values that hold at a node, with their origins.

        Raises:
            KeyError: There is no such node.
        """
        return effective_values(self.node_by_path, path)

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of all nodes of one kind."""
        return sorted(name for each, name in self._path_by_kind_name if each == kind)

    def path(self, kind: str, name: str) -> str:
        """Return the path of a node.

        Raises:
            KeyError: There is no such node.
        """
        return self._path_by_kind_name[kind, name]

    def typed_settings(self, kind: str, name: str) -> Any:
        """Return the effective settings of a node as their dataclass.

        Raises:
            KeyError: There is no such node.
        """
        path = self._path_by_kind_name[kind, name]
        found = self._typed_by_path.get(path)
        if found is None:
            plain = {
                key: each.value for key, each in self.effective_values(path).items()
            }
            found = msgspec.convert(plain, schema.TYPE_BY_KIND[kind])
            self._typed_by_path[path] = found
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
        """Find the caller that holds a key.

        Args:
            sha256: Hex SHA-256 of the key.
        """
        return self._by_key("caller", sha256)

    def operator_by_key(self, sha256: str) -> tuple[str, schema.Operator] | None:
        """Find the operator who holds a key.

        Args:
            sha256: Hex SHA-256 of the key.
        """
        return self._by_key("operator", sha256)

    def _by_key(self, kind: str, sha256: str) -> tuple[str, Any] | None:
        if self._name_by_key_hash is None:
            self._name_by_key_hash = {
                (each, key): name
                for each in ("caller", "operator")
                for name in self.names(each)
                for key in self.typed_settings(each, name).key_sha256
            }
        name = self._name_by_key_hash.get((kind, sha256))
        return None if name is None else (name, self.typed_settings(kind, name))
