"""HTTP handlers of the operators' API, built from its list of operations."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from limpetstream import errors
from limpetstream.admin import arguments, events, openapi
from limpetstream.border import handler, identity
from limpetstream.settings import tree as trees
from limpetstream.telemetry import logs

PREFIX = "/admin/v1"
MAX_BODY_BYTES = 262_144


def decode_body(content: bytes, body_type: type) -> Any:
    """Decode and validate the body of a call.

    Raises:
        Rejected: The body is too large or not JSON, or a field is unknown or
            has a wrong type.
    """
    if len(content) > MAX_BODY_BYTES:
        raise errors.Rejected(
            413, "too-large", f"the body may have at most {MAX_BODY_BYTES} bytes"
        )
    try:
        body = msgspec.json.decode(content, type=body_type)
        plain = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.Rejected(400, "bad-request", str(error)) from error
    check_field_names(plain, body)
    return body


def check_field_names(plain: Any, body: Any) -> None:
    """Check that a body has no unknown fields.

    ``msgspec`` ignores unknown fields of dataclasses, so an edit with a
    misspelt ``dry_run`` would be carried out.

    Args:
        plain: The body, decoded to plain values.
        body: The same body, decoded to its type.

    Raises:
        Rejected: A field is unknown.
    """
    if isinstance(body, list):
        for plain_item, item in zip(plain, body, strict=True):
            check_field_names(plain_item, item)
    elif dataclasses.is_dataclass(body):
        known = [field.name for field in dataclasses.fields(body)]
        for name, value in plain.items():
            if name not in known:
                detail = f"no field {name!r}{arguments.suggestion(name, known)}"
                raise errors.Rejected(400, "bad-request", detail)
            check_field_names(value, getattr(body, name))


def not_found(kind: str, name: str, known: Iterable[str]) -> errors.Rejected:
    """Return a 404 error that suggests a similar name."""
    hint = arguments.suggestion(name, known)
    return errors.Rejected(404, "not-found", f"no {kind} {name!r}{hint}")


def check_filter(kind: str, name: str, known: Iterable[str]) -> None:
    """Check the name in a filter of a list; an empty name means no filter.

    Raises:
        Rejected: Nothing has this name.
    """
    known_names = list(known)
    if name and name not in known_names:
        raise not_found(kind, name, known_names)


class OperationHandler(handler.BaseHandler):
    """Carries out the operations of one path, by HTTP method."""

    def initialize(
        self, *, by_method: dict[str, openapi.Operation], tree: trees.Tree
    ) -> None:
        """Store the operations by method, and the settings."""
        self._by_method = by_method
        self._tree = tree

    async def get(self, **parameters: str) -> None:
        """Carry out the GET operation of the path."""
        await self._run("GET", parameters)

    async def post(self, **parameters: str) -> None:
        """Carry out the POST operation of the path."""
        await self._run("POST", parameters)

    async def put(self, **parameters: str) -> None:
        """Carry out the PUT operation of the path."""
        await self._run("PUT", parameters)

    async def _run(self, method: str, parameters: dict[str, str]) -> None:
        operation = self._by_method.get(method)
        operator = identity.authenticate(
            self.request.headers.get("Authorization"), self._tree.operator_by_key
        )
        if operation is None:
            raise errors.Rejected(
                405, "method-not-allowed", f"{method} is not allowed for this path"
            )
        if operation.role not in operator.settings.roles:
            logs.emit(events.ROLE_MISSING, operator=operator.name, role=operation.role)
            raise errors.Rejected(
                403, "role", f"this operation needs the role {operation.role!r}"
            )
        body = None
        if operation.request_type is not None:
            body = decode_body(self.request.body, operation.request_type)
        query = {name: self.get_query_argument(name, "") for name in operation.query}
        call = openapi.Call(operator.name, parameters, query, body)
        self.reply(200, await operation.run(operation.source, call))


class DocumentHandler(handler.BaseHandler):
    """Serves the OpenAPI document, without authentication."""

    def initialize(self, *, document: Callable[[], dict[str, Any]]) -> None:
        """Store the function that returns the document."""
        self._document = document

    def get(self) -> None:
        """Answer with the OpenAPI document."""
        self.reply(200, self._document())


def routes(*, operations: list[openapi.Operation], tree: trees.Tree) -> list[Any]:
    """Return the routes of the operators' API.

    Args:
        operations: All operations.
        tree: Current settings, which contain the operators' keys and roles.
    """
    by_path: dict[str, dict[str, openapi.Operation]] = {}
    for operation in operations:
        by_path.setdefault(operation.path, {})[operation.method] = operation
    operation_routes: list[Any] = [
        (
            PREFIX + openapi.path_pattern(path),
            OperationHandler,
            {"by_method": by_method, "tree": tree},
        )
        for path, by_method in by_path.items()
    ]
    document = {"document": lambda: openapi.document(operations)}
    return [*operation_routes, (PREFIX + "/openapi.json", DocumentHandler, document)]
