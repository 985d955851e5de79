"""Checks nodes of the settings tree against the schema and other rules."""

import dataclasses
import difflib
import math
import re
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from limpetstream.settings import schema, tree

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_NODES = 20_000
MAX_DEPTH = 12
NON_INHERITABLE_KEYS = ("key_sha256",)
"""Keys that must not be inherited, because each identifies one node."""


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """Rule that a node breaks.

    Args:
        path: Path of the node.
        key: Key of the value; empty for the node itself.
        message: What is wrong, and what was expected.
    """

    path: str
    key: str
    message: str


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known word, or an empty string.

    >>> suggest("slot", ["slots", "timeout_ms"])
    "; did you mean 'slots'?"
    """
    close = difflib.get_close_matches(word, sorted(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def _describe_type(expected: Any) -> str:
    return {
        int: "a whole number",
        float: "a number",
        str: "a string",
        bool: "true or false",
    }.get(expected, "a list of strings" if expected == list[str] else "an object")


def _describe_value(value: Any) -> str:
    text = "null" if value is None else msgspec.json.encode(value).decode()
    return text if len(text) <= 40 else text[:37] + "..."


def find_value_problems(key: str, value: Any, expected: Any) -> Iterator[str]:
    """Yield a message for each rule that a single value breaks.

    Args:
        key: Key of the value.
        value: The value.
        expected: Type of the key.

    >>> list(find_value_problems("slots", "8", int))
    ['expected a whole number, got "8"']
    """
    if isinstance(value, float) and not math.isfinite(value):
        yield "expected a finite number"
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError:
        found = _describe_value(value)
        yield f"expected {_describe_type(expected)}, got {found}"
        return
    if key in schema.RANGE_BY_KEY:
        minimum, maximum = schema.RANGE_BY_KEY[key]
        if not minimum <= value <= maximum:
            yield f"{value} is out of range; expected {minimum} to {maximum}"
    if key in schema.CHOICES_BY_KEY:
        choices = schema.CHOICES_BY_KEY[key]
        for each in value if isinstance(value, list) else [value]:
            if each not in choices:
                listed = ", ".join(choices)
                yield f"{each!r} is none of {listed}{suggest(each, choices)}"
    if key == "key_sha256" and not all(
        KEY_HASH_PATTERN.fullmatch(each) for each in value
    ):
        yield "expected SHA-256 hashes of 64 hex digits in lower case"


def _find_node_problems(node: tree.Node) -> Iterator[Problem]:
    path = node.path
    if path != tree.ROOT and not NAME_PATTERN.fullmatch(node.name):
        yield Problem(path, "", f"{node.name!r} is not a valid name")
    if node.kind != "group" and node.kind not in schema.TYPE_BY_KIND:
        kinds = ["group", *schema.TYPE_BY_KIND]
        hint = suggest(node.kind, kinds) or f"; expected one of {', '.join(kinds)}"
        yield Problem(path, "", f"unknown kind {node.kind!r}{hint}")
        return
    keys = schema.keys_of(node.kind)
    for key, value in node.values.items():
        if key not in keys:
            message = f"unknown key for a {node.kind}{suggest(key, keys)}"
            yield Problem(path, key, message)
        elif node.kind == "group" and key in NON_INHERITABLE_KEYS:
            yield Problem(path, key, "cannot be set on a group")
        else:
            for message in find_value_problems(key, value, schema.TYPE_BY_KEY[key]):
                yield Problem(path, key, message)


def _find_structure_problems(nodes: dict[str, tree.Node]) -> Iterator[Problem]:
    path_by_kind_name: dict[tuple[str, str], str] = {}
    for path, node in nodes.items():
        if path == tree.ROOT:
            continue
        if path.count("/") > MAX_DEPTH:
            yield Problem(path, "", f"is deeper than {MAX_DEPTH} levels")
        parent = nodes.get(tree.parent_of(path))
        if parent is None:
            yield Problem(path, "", f"parent {tree.parent_of(path)} does not exist")
        elif parent.kind != "group":
            yield Problem(path, "", f"parent {parent.path} is not a group")
        if node.kind == "group":
            continue
        name_space = "work" if node.kind in tree.WORK_KINDS else node.kind
        first = path_by_kind_name.setdefault((name_space, node.name), path)
        if first != path:
            message = f"{node.kind} {node.name!r} exists already as {first}"
            yield Problem(path, "", message)


def _find_reference_problems(
    node: tree.Node, nodes: dict[str, tree.Node], names_by_kind: dict[str, set[str]]
) -> Iterator[Problem]:
    keys = schema.keys_of(node.kind)
    for key, kind in (("team", "team"), ("services", "service")):
        if key not in keys:
            continue
        found = tree.effective_value(nodes, node, key)
        referenced_names = (
            found.value if isinstance(found.value, list) else [found.value]
        )
        if node.kind in tree.WORK_KINDS and not found.value:
            yield Problem(node.path, key, f"a {node.kind} must name its team")
        for name in filter(None, referenced_names):
            if name not in names_by_kind[kind]:
                hint = suggest(name, names_by_kind[kind])
                message = (
                    f"unknown {kind} {name!r}{hint}{_describe_origin(node, found)}"
                )
                yield Problem(node.path, key, message)


def _describe_origin(node: tree.Node, value: tree.EffectiveValue) -> str:
    return "" if value.origin == node.path else f" (inherited from {value.origin})"


def _find_order_problems(
    node: tree.Node, nodes: dict[str, tree.Node]
) -> Iterator[Problem]:
    ordered_keys = (("slots", "connections"), ("objective_ms", "timeout_ms"))
    for lower_key, higher_key in ordered_keys if node.kind == "service" else ():
        smaller = tree.effective_value(nodes, node, lower_key)
        larger = tree.effective_value(nodes, node, higher_key)
        if smaller.value > larger.value:
            key = lower_key if smaller.origin == node.path else higher_key
            message = (
                f"{lower_key} {smaller.value}{_describe_origin(node, smaller)} "
                f"is greater than {higher_key} "
                f"{larger.value}{_describe_origin(node, larger)}"
            )
            yield Problem(node.path, key, message)


def _find_duplicate_keys(nodes: Iterable[tree.Node]) -> Iterator[Problem]:
    path_by_hash: dict[str, str] = {}
    for node in nodes:
        for each in node.values.get("key_sha256", ()):
            first = path_by_hash.setdefault(each, node.path)
            if first != node.path:
                message = f"the same key is listed at {first}"
                yield Problem(node.path, "key_sha256", message)


NodeProblemCache = dict[int, tuple[tree.Node, tuple[Problem, ...]]]
"""Problems of single nodes by ``id(node)``; references the nodes, so that no
id is reused."""


def find_problems(
    node_by_path: dict[str, tree.Node], cache: NodeProblemCache | None = None
) -> list[Problem]:
    """Return all problems of a whole tree.

    Invalid values are reported once, at the node that sets them, and are left
    out of the checks of the nodes that inherit them.

    Args:
        node_by_path: All nodes, including the root.
        cache: Problems of single nodes from an earlier call, which save most
            of the time if few nodes differ; replaced by those of this call.
    """
    found = list(_find_structure_problems(node_by_path))
    if len(node_by_path) > MAX_NODES:
        found.append(Problem(tree.ROOT, "", f"more than {MAX_NODES} nodes"))
    previous = dict(cache) if cache is not None else {}
    checked: NodeProblemCache = {}
    for node in node_by_path.values():
        entry = previous.get(id(node)) or (node, tuple(_find_node_problems(node)))
        checked[id(node)] = entry
        found.extend(entry[1])
    if cache is not None:
        cache.clear()
        cache.update(checked)
    invalid = {(each.path, each.key) for each in found}
    valid_nodes = _remove_invalid_values(node_by_path, invalid)
    names_by_kind: dict[str, set[str]] = {"team": set(), "service": set()}
    for node in valid_nodes.values():
        names_by_kind.setdefault(node.kind, set()).add(node.name)
    for node in valid_nodes.values():
        if node.kind == "group":
            continue
        for each in _find_reference_problems(node, valid_nodes, names_by_kind):
            if (each.path, each.key) not in invalid:
                found.append(each)
        for each in _find_order_problems(node, valid_nodes):
            if (each.path, each.key) not in invalid:
                found.append(each)
    found.extend(_find_duplicate_keys(valid_nodes.values()))
    return found


def _remove_invalid_values(
    nodes: dict[str, tree.Node], invalid: set[tuple[str, str]]
) -> dict[str, tree.Node]:
    """Return the nodes of known kinds without their invalid values."""
    paths = {path for path, _ in invalid}
    found = {}
    for path, node in nodes.items():
        if node.kind != "group" and node.kind not in schema.TYPE_BY_KIND:
            continue
        if path in paths:
            kept = {k: v for k, v in node.values.items() if (path, k) not in invalid}
            node = tree.Node(path, node.kind, kept)
        found[path] = node
    return found
