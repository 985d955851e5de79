"""Remembers which configurations removed keys, to check requests of peers."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(slots=True, frozen=True)
class Admission:
    """How an instance admitted a request.

    Args:
        organisation: Organisation of its key; empty for a request without one.
        version: Version of the configuration that the key was found in; 0 if
            it is not known.
    """

    organisation: str = ""
    version: int = 0


NO_KEY = Admission()


@dataclasses.dataclass(slots=True)
class _Removal:
    version: int  # Of the first configuration without the key.
    known_at: float  # Monotonic time.


class Revocations:
    """Removals of keys that this instance has seen, by organisation.

    A request that was admitted by a version from before a removal is refused
    once the removal has been known for longer than revocation may take. An
    instance that keeps to its own limit admits no such request; one that was
    admitted in time and is that late is refused before it has any effect.

    Args:
        revoke_s: Seconds that revocation may take.
        is_strict: Whether it may not take longer; nothing is refused
            otherwise.
    """

    __slots__ = ("_revoke_s", "_is_strict", "_removals_by_organisation")

    def __init__(self, revoke_s: float, *, is_strict: bool) -> None:
        self._revoke_s = revoke_s
        self._is_strict = is_strict
        self._removals_by_organisation: dict[str, list[_Removal]] = {}

    def note(self, organisations: Iterable[str], version: int, now: float) -> None:
        """Note that a configuration lacks keys that the one before it had.

        Args:
            organisations: Names of the organisations that lost keys.
            version: Version of the configuration.
            now: Monotonic time at which it came into force here.
        """
        for name in organisations:
            removals = self._removals_by_organisation.setdefault(name, [])
            removals.append(_Removal(version, now))
            # Of those that are over, the newest implies the others.
            while len(removals) > 1 and self._is_over(removals[1], now):
                del removals[0]

    def is_revoked(self, admission: Admission, now: float) -> bool:
        """Return whether a request must be refused that a peer admitted.

        Requests without a key, and those of versions of the software that do
        not tell the version of the configuration, are never refused.
        """
        if not self._is_strict or not admission.organisation or not admission.version:
            return False
        return any(
            admission.version < removal.version and self._is_over(removal, now)
            for removal in self._removals_by_organisation.get(
                admission.organisation, ()
            )
        )

    def _is_over(self, removal: _Removal, now: float) -> bool:
        return now - removal.known_at > self._revoke_s
