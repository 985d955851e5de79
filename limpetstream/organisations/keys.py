"""Identifies organisations by the keys of their requests."""

import hashlib
import secrets
from collections.abc import Iterable

from limpetstream import errors

# Keyed with a secret of the process, a digest tells nothing about its key, so
# that the time to look it up does not either.
_SECRET = secrets.token_bytes(32)
SCHEME = "bearer"  # Names of schemes are case-insensitive.
RETRY_AFTER_S = 1.0  # Another instance may answer at once.


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

    def organisations_losing_keys(self, newer: "KeyTable") -> set[str]:
        """Return the organisations with a key that a newer table lacks.

        A key that belongs to another organisation there counts as lacking.
        """
        return {
            name
            for digest, name in self._organisation_by_digest.items()
            if newer._organisation_by_digest.get(digest) != name
        }

    def __eq__(self, other: object) -> bool:
        if isinstance(other, KeyTable):
            return self._organisation_by_digest == other._organisation_by_digest
        return NotImplemented

    __hash__ = None  # type: ignore[assignment]


def admit(
    table: KeyTable, authorization: str | None, *, needs_key: bool, is_fresh: bool
) -> str:
    """Return the name of the organisation that a request belongs to.

    Args:
        table: Keys of the configuration in force.
        authorization: Authorization header; None if there is none.
        needs_key: Whether requests without a key are rejected.
        is_fresh: Whether the table is known to be up to date.

    Returns:
        Name of the organisation; empty for a request without a key.

    Raises:
        Rejected: The request needs a key, or its key is invalid.
        NotRun: The request has a key, and the table may be outdated.
    """
    if authorization is None:
        if needs_key:
            raise errors.Rejected(401, "no-key", "expected Authorization: Bearer KEY")
        return ""
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        # It cannot hold a key, whatever the configuration.
        raise errors.Rejected(
            401, "malformed-key", "expected Authorization: Bearer KEY"
        )
    if not is_fresh:
        raise errors.NotRun(
            "not-fresh",
            "this instance cannot tell which keys are valid",
            retry_after_s=RETRY_AFTER_S,
        )
    organisation = table.organisation_of(key)
    if organisation is None:
        raise errors.Rejected(401, "unknown-key", "the key is not valid")
    return organisation


def _digest(key: str) -> bytes:
    # JSON may hold lone surrogates.
    data = key.encode(errors="surrogatepass")
    return hashlib.blake2b(data, key=_SECRET, digest_size=32).digest()
