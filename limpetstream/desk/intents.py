"""State of non-idempotent requests, derived from intents in the log.

An intent is a record that an instance appends before it sends such a request.
The first valid intent of a request id wins: only its writer may send.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from limpetstream.desk import messages
from limpetstream.records import registry as registries, view as views

# Of an older intent, only the hash of its request id is kept.
RETENTION_MS = 24 * 3600 * 1000
# Bounds the memory when the clock of a writer is far off.
MAX_INTENTS = 200_000
HASHES_PER_OBJECT = 2000


@dataclasses.dataclass(slots=True)
class IntentState:
    """Valid intent of a request, and its outcome.

    Args:
        writer: Instance that may send the request.
        service: Name of the desk service.
        body_hash: SHA-256 of the body.
        token: Token of the intent.
        at_ms: Wall time of the writer, in milliseconds.
        state: Outcome; ``received`` while none is known.
        attempts: How often the request was sent to a backend server.
        status: HTTP status of the answer; 0 without one.
    """

    writer: str
    service: str
    body_hash: str
    token: str
    at_ms: int
    state: str = "received"
    attempts: int = 0
    status: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may still run."""
        return self.state != "not-run"


def key_hash(key: messages.RequestKey) -> int:
    """Return the 64-bit hash that is kept of a dropped intent."""
    return xxhash.xxh64_intdigest(f"{len(key[0])}:{key[0]}{key[1]}".encode())


@dataclasses.dataclass(slots=True)
class IntentTable:
    """Valid intents; their state depends only on the records in log order.

    Args:
        max_intents: Bound on the number of intents in ``by_key``.
        by_key: Intents of the last day.
        dropped_hashes: Hashes of older intents, whose request ids stay used.
    """

    max_intents: int = MAX_INTENTS
    by_key: dict[messages.RequestKey, IntentState] = dataclasses.field(
        default_factory=dict
    )
    dropped_hashes: set[int] = dataclasses.field(default_factory=set)
    _order: collections.deque[tuple[int, messages.RequestKey, str]] = dataclasses.field(
        default_factory=collections.deque
    )

    def register(self, registry: registries.Registry, view: views.View) -> None:
        """Register the record types, their appliers and the snapshot state."""
        registry.register(messages.INTENT_KIND, 1, messages.Intent)
        registry.register(messages.OUTCOME_KIND, 1, messages.Outcome)
        view.register_applier(messages.INTENT_KIND, self.apply_intent)
        view.register_applier(messages.OUTCOME_KIND, self.apply_outcome)
        view.register_state("desk.intents", self.dump, self.load)

    def rejection_reason(
        self, key: messages.RequestKey, service: str, body_hash: str
    ) -> str | None:
        """Return why a request may not be sent, or None if it may.

        Returns:
            ``request-id-used`` for a dropped intent, ``other-body``,
            ``taken`` when an intent decides the outcome, or None.
        """
        intent = self.by_key.get(key)
        if intent is None:
            return "request-id-used" if key_hash(key) in self.dropped_hashes else None
        if (intent.service, intent.body_hash) != (service, body_hash):
            return "other-body"
        # A request that was not run may be tried again.
        return "taken" if intent.may_have_run else None

    def apply_intent(self, entry: views.Entry) -> str | None:
        """Apply a ``desk.intent`` record; return why it is void, or None."""
        body: messages.Intent = entry.body
        key = (body.caller, body.request_id)
        self._drop_expired(body.at_ms)
        reason = self.rejection_reason(key, body.service, body.body_hash)
        if reason is not None:
            return reason
        self.by_key[key] = IntentState(
            entry.writer, body.service, body.body_hash, body.token, body.at_ms
        )
        self._order.append((body.at_ms, key, body.token))
        self._drop_expired(body.at_ms)
        return None

    def apply_outcome(self, entry: views.Entry) -> str | None:
        """Apply a ``desk.outcome`` record; return why it is void, or None.

        A final state never changes.
        """
        body: messages.Outcome = entry.body
        intent = self.by_key.get((body.caller, body.request_id))
        if intent is None or intent.token != body.token:
            return "no such intent"
        if intent.writer != entry.writer:
            return "not the writer of the intent"
        if intent.state in messages.FINAL_OUTCOMES:
            return "already final"
        if body.state not in (*messages.FINAL_OUTCOMES, "unknown"):
            return "no such state"
        intent.state = body.state
        intent.attempts = body.attempts
        intent.status = body.status
        return None

    def _drop_expired(self, now_ms: int) -> None:
        order = self._order
        while order:
            at_ms, key, token = order[0]
            intent = self.by_key.get(key)
            # A replaced intent must have no effect, since a snapshot lacks it.
            replaced = intent is None or intent.token != token
            expired = (
                at_ms < now_ms - RETENTION_MS or len(self.by_key) > self.max_intents
            )
            if not replaced and not expired:
                return
            order.popleft()
            if replaced or intent is None:
                continue
            del self.by_key[key]
            if intent.state != "not-run":
                self.dropped_hashes.add(key_hash(key))

    def dump(self) -> Iterable[Any]:
        """Yield the state as plain values, in objects of a few kilobytes."""
        for _, key, token in self._order:
            intent = self.by_key.get(key)
            if intent is not None and intent.token == token:
                yield {"key": list(key), "state": msgspec.to_builtins(intent)}
        sorted_hashes = sorted(self.dropped_hashes)
        for start in range(0, len(sorted_hashes), HASHES_PER_OBJECT):
            yield {"dropped": sorted_hashes[start : start + HASHES_PER_OBJECT]}

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state by the objects that ``dump`` yielded."""
        self.by_key.clear()
        self.dropped_hashes.clear()
        self._order.clear()
        for dumped in objects:
            if "dropped" in dumped:
                self.dropped_hashes.update(dumped["dropped"])
                continue
            caller, request_id = dumped["key"]
            state = msgspec.convert(dumped["state"], IntentState)
            self.by_key[caller, request_id] = state
            self._order.append((state.at_ms, (caller, request_id), state.token))
