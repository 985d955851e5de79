"""Identifies organisations by the keys of their requests."""

import hashlib
import secrets
from collections.abc import Iterable

# Keyed with a secret of the process, a digest tells nothing about its key, so
# that the time to look it up does not either.
_SECRET = secrets.token_bytes(32)


class KeyTable:
    """Finds the organisation of a key; holds digests of the keys only.

    Args:
        pairs: Keys, each with the name of its organisation.
    """

    __slots__ = ("_organisation_by_digest",)

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self._organisation_by_digest = {_digest(key): name for key, name in pairs}

    def organisation_of(self, key: str) -> str | None:
        """Return the name of a key's organisation; None for an unknown key."""
        return self._organisation_by_digest.get(_digest(key))

    def __eq__(self, other: object) -> bool:
        if isinstance(other, KeyTable):
            return self._organisation_by_digest == other._organisation_by_digest
        return NotImplemented

    __hash__ = None  # type: ignore[assignment]


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), key=_SECRET, digest_size=32).digest()
