"""Reads JSON with comments and records line and key path of each value."""

import dataclasses
import math
import re
from typing import Any

import json5
from json5 import loader, model

from limpetstream.settings import findings

MAX_BYTES = 1_048_576
MAX_DEPTH = 32

# Strings and comments are matched first, to skip the brackets in them.
_TOKEN = re.compile(
    r'"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\'|//[^\n]*|/\*.*?\*/|[\[\]{}]',
    re.DOTALL,
)
_PREAMBLE = re.compile(
    r"^There were multiple errors.*?primary error was:|Additional errors.*$",
    re.DOTALL,
)
_AT_LINE = re.compile(r"\bat: line (\d+) column \d+ \(char \d+\)")


@dataclasses.dataclass(slots=True)
class Document:
    """Parsed content of a file.

    Args:
        value: Content as dicts, lists and scalars.
        collector: Findings, and the line of each value by key path.
    """

    value: Any
    collector: findings.FindingCollector


def read(content: bytes, file: str) -> Document:
    """Parse JSON with comments.

    Args:
        content: Content of the file, in UTF-8.
        file: Name of the file, for findings.

    Returns:
        The document; its ``collector`` has the findings that do not stop the
        parser, such as duplicate keys.

    Raises:
        ExceptionGroup: The file cannot be parsed.
    """
    collector = findings.FindingCollector(file)
    text = _decode_text(content, collector)
    collector.raise_all()
    try:
        root = json5.loads(text, loader=loader.ModelLoader()).value
    except (json5.JSON5DecodeError, ValueError, RecursionError) as error:
        _add_syntax_error(error, text, collector)
        collector.raise_all()
    return Document(_convert(root, (), collector), collector)


def _decode_text(content: bytes, collector: findings.FindingCollector) -> str:
    if len(content) > MAX_BYTES:
        collector.add(f"is larger than {MAX_BYTES} bytes", line=1)
        return ""
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        collector.add("is not valid UTF-8", line=line)
        return ""
    depth = 0
    for token in _TOKEN.finditer(text):
        bracket = token.group()
        depth += (bracket in ("[", "{")) - (bracket in ("]", "}"))
        if depth > MAX_DEPTH:
            line = text.count("\n", 0, token.start()) + 1
            collector.add(f"is nested deeper than {MAX_DEPTH} levels", line=line)
            break
    return text


def _add_syntax_error(
    error: Exception, text: str, collector: findings.FindingCollector
) -> None:
    message = _PREAMBLE.sub("", str(error)).strip()
    position = _AT_LINE.search(message)
    line = int(position.group(1)) if position else getattr(error, "lineno", 0)
    last_line = text.count("\n") + 1
    message = " ".join(_AT_LINE.sub("", message).split()).rstrip(". ")
    collector.add(f"is not valid JSON with comments: {message}", line=line or last_line)


def _convert(
    node: Any, key_path: findings.KeyPath, collector: findings.FindingCollector
) -> Any:
    collector.line_by_path.setdefault(key_path, node.lineno or 0)
    if isinstance(node, model.JSONObject):
        return _convert_object(node, key_path, collector)
    if isinstance(node, model.JSONArray):
        return [
            _convert(each, (*key_path, index), collector)
            for index, each in enumerate(node.values)
        ]
    if isinstance(node, model.String):
        return node.characters
    if isinstance(node, model.NullLiteral):
        return None
    return _convert_scalar(node, key_path, collector)


def _convert_scalar(
    node: Any, key_path: findings.KeyPath, collector: findings.FindingCollector
) -> Any:
    sign = 1
    while isinstance(node, model.UnaryOp):
        sign = -sign if node.op == "-" else sign
        node = node.value
    value = node.value
    if isinstance(value, float) and not math.isfinite(value):
        collector.add("expected a finite number", key_path)
        return 0
    return value if isinstance(value, bool) else sign * value


def _convert_object(
    node: model.JSONObject,
    key_path: findings.KeyPath,
    collector: findings.FindingCollector,
) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key_node, value_node in zip(node.keys, node.values, strict=True):
        if isinstance(key_node, model.Identifier):
            key = key_node.name
        else:
            key = key_node.characters
        value_path = (*key_path, key)
        if key in found:
            first_line = collector.line_by_path[value_path]
            message = f"duplicate key; first set at line {first_line}"
            collector.add(message, value_path, line=key_node.lineno)
            continue
        collector.line_by_path[value_path] = key_node.lineno
        found[key] = _convert(value_node, value_path, collector)
    return found
