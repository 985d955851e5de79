"""Operations of the operators' API and the OpenAPI document about them."""

import dataclasses
import re
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from limpetstream import _version

OPENAPI_VERSION = "3.1.0"
SCHEMA_REFERENCE = "#/components/schemas/{name}"


@dataclasses.dataclass(slots=True)
class Operation:
    """One operation of the operators' API.

    Args:
        source: Object that ``run`` reads or changes.
        method: HTTP method.
        path: Path with parameters in braces, below ``/admin/v1``.
        role: Role that an operator needs: ``read``, ``edit`` or ``drain``.
        summary: What the operation does.
        run: Carries out a call; gets ``source`` and a ``Call``, returns the
            body of the reply. Its name is the operation id.
        request_type: Dataclass of the request body, if any.
        query: Names of query parameters.
    """

    source: Any
    method: str
    path: str
    role: str
    summary: str
    run: Callable[[Any, "Call"], Awaitable[Any]]
    request_type: type | None = None
    query: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Call:
    """One authenticated and validated call of an operation.

    Args:
        operator: Name of the operator.
        parameters: Parameters of the path.
        query: Query parameters; missing ones are empty.
        body: Decoded request body, if the operation has one.
    """

    operator: str
    parameters: dict[str, str]
    query: dict[str, str]
    body: Any = None


def parameter_names(path: str) -> list[str]:
    """Return the names of the parameters in a path.

    >>> parameter_names("/tasks/{task}")
    ['task']
    """
    return re.findall(r"{(\w+)}", path)


def path_pattern(path: str) -> str:
    """Return the regular expression that matches a path.

    >>> path_pattern("/tasks/{task}")
    '/tasks/(?P<task>[^/]+)'
    """
    return re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", path)


def describe(operation: Operation) -> dict[str, Any]:
    """Return the OpenAPI description of one operation."""
    parameters = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
        for name in parameter_names(operation.path)
    ] + [
        {"name": name, "in": "query", "schema": {"type": "string"}}
        for name in operation.query
    ]
    described: dict[str, Any] = {
        "summary": operation.summary,
        "operationId": operation.run.__name__,
        "parameters": parameters,
        "security": [{"key": []}],
        "responses": {
            "200": {"description": "Done."},
            "400": {"description": "The request is malformed or has findings."},
            "401": {"description": "No key, or an unknown one."},
            "403": {"description": f"The operator lacks the role {operation.role}."},
            "404": {"description": "No such object."},
            "409": {"description": "Another edit came first."},
            "503": {"description": "Not run: the log is out of reach."},
            "504": {"description": "Unknown: the edit may still take effect."},
        },
    }
    if operation.request_type is not None:
        name = operation.request_type.__name__
        described["requestBody"] = {
            "required": True,
            "content": {
                "application/json": {
                    "schema": {"$ref": SCHEMA_REFERENCE.format(name=name)}
                }
            },
        }
    return described


def document(operations: Iterable[Operation]) -> dict[str, Any]:
    """Return the OpenAPI document of all operations."""
    all_operations = list(operations)
    paths: dict[str, dict[str, Any]] = {}
    for operation in all_operations:
        operation_by_method = paths.setdefault(f"/admin/v1{operation.path}", {})
        operation_by_method[operation.method.lower()] = describe(operation)
    types = [
        each.request_type for each in all_operations if each.request_type is not None
    ]
    _, schemas = msgspec.json.schema_components(types, ref_template=SCHEMA_REFERENCE)
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "limpetstream operators' API", "version": _version.VERSION},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
        },
    }
