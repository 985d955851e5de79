"""Registry of the types of record bodies, by kind and version."""

import dataclasses
from typing import Any

import msgspec

from limpetstream import errors


@dataclasses.dataclass(slots=True)
class Registry:
    """Body types that this version of the program can read and write."""

    type_by_kind_version: dict[tuple[str, int], type] = dataclasses.field(
        default_factory=dict
    )
    version_by_kind: dict[str, int] = dataclasses.field(default_factory=dict)

    def register(self, kind: str, version: int, body_type: type) -> None:
        """Register a body type; the highest version of a kind is written."""
        self.type_by_kind_version[kind, version] = body_type
        self.version_by_kind[kind] = max(version, self.version_by_kind.get(kind, 0))

    def decode_body(self, kind: str, version: int, body: Any) -> Any:
        """Validate a decoded body and convert it to its type.

        Raises:
            RecordError: The kind or version is unknown, or a field is invalid.
        """
        body_type = self.type_by_kind_version.get((kind, version))
        if body_type is None:
            raise errors.RecordError(
                f"unknown kind or version of record: {kind} version {version}"
            )
        try:
            return msgspec.convert(body, body_type)
        except msgspec.ValidationError as error:
            raise errors.RecordError(
                f"invalid body of a {kind} record: {error}"
            ) from error
