"""Callers and operators are identified by keys; settings hold hashes."""

import dataclasses
import hashlib
from collections.abc import Callable
from typing import Any

from limpetstream import errors

BEARER_PREFIX = "Bearer "


@dataclasses.dataclass(slots=True)
class Identity:
    """Who sent a request.

    Args:
        name: Name of the caller or operator in the settings tree.
        settings: Its effective settings.
    """

    name: str
    settings: Any


def key_hash(key: str) -> str:
    """Return the hex SHA-256 under which settings list a key.

    >>> key_hash("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(
    authorization: str | None, find: Callable[[str], tuple[str, Any] | None]
) -> Identity:
    """Find who holds the key of an ``Authorization`` header.

    Args:
        authorization: Value of the header.
        find: Looks up a name and settings by the hash of a key.

    Raises:
        Rejected: There is no key, or nobody holds it.
    """
    if not authorization or not authorization.startswith(BEARER_PREFIX):
        raise errors.Rejected(401, "no-key", "send 'Authorization: Bearer KEY'")
    found = find(key_hash(authorization[len(BEARER_PREFIX) :].strip()))
    if found is None:
        raise errors.Rejected(401, "unknown-key", "no caller or operator has this key")
    return Identity(*found)
