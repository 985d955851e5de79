"""Authenticates callers and operators by keys whose hashes are in settings."""

import dataclasses
import hashlib
from collections.abc import Callable
from typing import Any

from limpetstream import errors

BEARER_PREFIX = "Bearer "


@dataclasses.dataclass(slots=True)
class Identity:
    """Authenticated sender of a request.

    Args:
        name: Name of the caller or operator in the settings tree.
        settings: Effective settings of the caller or operator.
    """

    name: str
    settings: Any


def key_hash(key: str) -> str:
    """Return the hex SHA-256 of a key, as listed in settings.

    >>> key_hash("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(
    authorization: str | None, find: Callable[[str], tuple[str, Any] | None]
) -> Identity:
    """Return the caller or operator with the key in a request header.

    Args:
        authorization: Value of the ``Authorization`` header, or None.
        find: Returns name and settings by the hash of a key, or None.

    Raises:
        Rejected: The header has no key, or the key is unknown.
    """
    if not authorization or not authorization.startswith(BEARER_PREFIX):
        raise errors.Rejected(401, "no-key", "send 'Authorization: Bearer KEY'")
    found = find(key_hash(authorization[len(BEARER_PREFIX) :].strip()))
    if found is None:
        raise errors.Rejected(401, "unknown-key", "no caller or operator has this key")
    return Identity(*found)
