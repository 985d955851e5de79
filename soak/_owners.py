"""Finds the instances that own the shard or have called an executor."""

import msgspec
from tornado import httputil

from limpetstream.shard import names, ownership
from standins import keyed_store


class Owners:
    """All owners of the shard, by their claims in the store.

    Args:
        store: Store that holds the claims.
    """

    def __init__(self, store: keyed_store.Store) -> None:
        self.name_by_ip: dict[str, str] = {}
        self._store = store
        self._name_by_token: dict[int, str] = {}

    def newest(self) -> str | None:
        """Return the instance with the newest claim; None without a claim."""
        entries = self._store.newest(names.PROGRESS_TOPIC, 0)
        claim = ownership.newest_claim(list(entries.values()))
        if claim is None:
            return None
        ip = names.peer_address(claim.member).partition(":")[0]
        name = self.name_by_ip[ip]
        for token in range(claim.claimed_epoch(), claim.epoch + 1):
            self._name_by_token[token] = name
        return name

    def find_caller(self, request: httputil.HTTPServerRequest) -> str:
        """Return the instance that called an executor, by its fencing token.

        The token is the epoch of a claim, or lies between it and the highest
        token that the claim tells, and the claim names the instance. The
        result is empty if a newer claim came before this owner's first call.
        """
        token = msgspec.json.decode(request.body)["fencing_token"]
        if token not in self._name_by_token:
            self.newest()
        return self._name_by_token.get(token, "")
