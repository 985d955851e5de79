"""Parses and checks settings trees and the settings files of instances."""

import dataclasses
import ipaddress
import pathlib
from typing import Any, get_type_hints

import msgspec

from limpetstream.settings import findings, reader, rules, schema, tree as trees

NODE_KEYS = frozenset({"kind", "values", "children"})
MIN_PEER_KEY_LENGTH = 16  # characters; shorter keys can be guessed from one message


@dataclasses.dataclass(slots=True)
class SettingsFile:
    """Parsed settings file.

    Args:
        collector: Findings in the file, and lines of its values.
        node_by_path: Nodes, if the file is a settings tree.
        instance: Settings, if it is the file of an instance without findings.
    """

    collector: findings.FindingCollector
    node_by_path: dict[str, trees.Node] | None = None
    instance: schema.Instance | None = None


def parse(content: bytes, file: str) -> SettingsFile:
    """Parse a settings file of either kind and collect all findings.

    Args:
        content: Content of the file.
        file: Name of the file, for findings.

    Raises:
        ExceptionGroup: The file is not JSON with comments.
    """
    document = reader.read(content, file)
    value, collector = document.value, document.collector
    if not isinstance(value, dict):
        collector.add("expected an object")
    elif "children" in value:
        return SettingsFile(collector, node_by_path=_read_nodes(value, collector))
    elif value.keys() & {"platform_url", "peer_keys", "data_centre", "id"}:
        return SettingsFile(
            collector, instance=_read_instance_settings(value, collector)
        )
    else:
        collector.add(
            "is neither a settings tree (key 'children') nor an instance file "
            "(key 'platform_url')"
        )
    return SettingsFile(collector)


def read_tree(path: pathlib.Path) -> dict[str, trees.Node]:
    """Read a settings tree from a file.

    Args:
        path: The file.

    Returns:
        Nodes by path.

    Raises:
        OSError: The file cannot be read.
        ExceptionGroup: All findings.
    """
    settings_file = parse(path.read_bytes(), path.name)
    if settings_file.node_by_path is None:
        settings_file.collector.add("expected a settings tree (key 'children')")
    settings_file.collector.raise_all()
    return settings_file.node_by_path or {}


def read_instance(path: pathlib.Path) -> schema.Instance:
    """Read the settings file of an instance.

    Args:
        path: The file.

    Raises:
        OSError: The file cannot be read.
        ExceptionGroup: All findings.
    """
    settings_file = parse(path.read_bytes(), path.name)
    if settings_file.node_by_path is not None:
        settings_file.collector.add("expected an instance file (key 'platform_url')")
    settings_file.collector.raise_all()
    assert settings_file.instance is not None
    return settings_file.instance


def check_data_centre(
    instance: SettingsFile, node_by_path: dict[str, trees.Node]
) -> None:
    """Add a finding if the data centre of an instance is not in the tree.

    Args:
        instance: File of an instance; other files are ignored.
        node_by_path: Nodes of the settings tree.
    """
    if instance.instance is None:
        return
    known = {node.name for node in node_by_path.values() if node.kind == "data-centre"}
    name = instance.instance.data_centre
    if name not in known:
        hint = rules.suggest(name, known)
        instance.collector.add(f"unknown data centre {name!r}{hint}", ("data_centre",))


def _read_nodes(
    value: dict[str, Any], collector: findings.FindingCollector
) -> dict[str, trees.Node]:
    nodes: dict[str, trees.Node] = {}
    key_path_by_path: dict[str, findings.KeyPath] = {}

    def add_node(content: Any, path: str, key_path: findings.KeyPath) -> None:
        if not isinstance(content, dict):
            collector.add("expected an object", key_path)
            return
        for key in content.keys() - NODE_KEYS:
            hint = rules.suggest(key, NODE_KEYS)
            collector.add(f"unknown key of a node{hint}", (*key_path, key))
        kind = content.get("kind", "group")
        values = content.get("values", {})
        children = content.get("children", {})
        if not isinstance(kind, str):
            collector.add("expected a string", (*key_path, "kind"))
            kind = "group"
        for key, each in (("values", values), ("children", children)):
            if not isinstance(each, dict):
                collector.add("expected an object", (*key_path, key))
        nodes[path] = trees.Node(path, kind, values if isinstance(values, dict) else {})
        key_path_by_path[path] = key_path
        for name, child in children.items() if isinstance(children, dict) else ():
            child_path = f"{'' if path == trees.ROOT else path}/{name}"
            add_node(child, child_path, (*key_path, "children", name))

    add_node(value, trees.ROOT, ())
    if nodes[trees.ROOT].kind != "group":
        collector.add("the root must be a group", ("kind",))
    for problem in rules.find_problems(nodes):
        value_path = key_path_by_path[problem.path]
        if problem.key:
            value_path = (*value_path, "values", problem.key)
        collector.add(problem.message, value_path)
    return nodes


def _read_instance_settings(
    value: dict[str, Any], collector: findings.FindingCollector
) -> schema.Instance | None:
    count_before = len(collector.collected)
    _check_fields(value, schema.Instance, (), collector)
    if len(collector.collected) > count_before:
        return None
    instance = msgspec.convert(value, schema.Instance)
    _check_instance(instance, collector)
    return instance if len(collector.collected) == count_before else None


def _check_fields(
    value: Any,
    expected: type,
    key_path: findings.KeyPath,
    collector: findings.FindingCollector,
) -> None:
    if not isinstance(value, dict):
        collector.add("expected an object", key_path)
        return
    fields = {field.name: field for field in dataclasses.fields(expected)}
    hints = get_type_hints(expected)
    for key in value:
        if key not in fields:
            hint = rules.suggest(key, fields)
            collector.add(f"unknown key{hint}", (*key_path, key))
    for key, field in fields.items():
        value_path = (*key_path, key)
        required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        if key not in value:
            if required:
                collector.add("is missing", value_path)
            continue
        nested = _find_dataclass(hints[key])
        if nested is not None:
            if value[key] is not None or hints[key] is nested:
                _check_fields(value[key], nested, value_path, collector)
            continue
        for message in rules.find_value_problems(key, value[key], hints[key]):
            collector.add(message, value_path)


def _find_dataclass(hint: Any) -> type | None:
    for each in (hint, *getattr(hint, "__args__", ())):
        if dataclasses.is_dataclass(each):
            return each
    return None


def _check_instance(
    instance: schema.Instance, collector: findings.FindingCollector
) -> None:
    try:
        ipaddress.ip_address(instance.host)
    except ValueError:
        collector.add(f"{instance.host!r} is not an IP address", ("host",))
    if not instance.platform_url.startswith(("http://", "https://")):
        collector.add("expected a URL with http:// or https://", ("platform_url",))
    if instance.caller_port and instance.caller_port == instance.peer_port:
        collector.add("is the same as caller_port", ("peer_port",))
    if not instance.peer_keys:
        collector.add("expected at least one key", ("peer_keys",))
    for index, key in enumerate(instance.peer_keys):
        if len(key) < MIN_PEER_KEY_LENGTH:
            message = f"is shorter than {MIN_PEER_KEY_LENGTH} characters"
            collector.add(message, ("peer_keys", index))
    for key in ("id", "data_centre"):
        if not rules.NAME_PATTERN.fullmatch(getattr(instance, key)):
            collector.add(f"{getattr(instance, key)!r} is not a valid name", (key,))
