"""Signatures of messages between entry instances, and refusal of replays."""

import collections
import dataclasses
import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping, Sequence

from limpetstream import clock as clocks, errors
from limpetstream.peers import messages

MAX_CLOCK_DIFFERENCE_S = 5.0
ACCEPTED_KEYS = 2
# A message dated one window ahead stays acceptable for two.
NONCE_RETENTION_S = 2 * MAX_CLOCK_DIFFERENCE_S
# 10 s of 12,000 messages a second; about 20 MB when full.
MAX_NONCES = 120_000
NONCE_MAX_LENGTH = 64

Keys = Callable[[], Sequence[str]]
"""Returns the shared keys in force; the first one signs."""


def _digest(key: str, parts: Sequence[str]) -> str:
    # Lengths are part of the text, so that no two lists of parts are alike.
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).hexdigest()


def _matches(keys: Keys, parts: Sequence[str], signature: str) -> bool:
    given = signature.encode()
    return any(
        hmac.compare_digest(_digest(key, parts).encode(), given)
        for key in keys()[:ACCEPTED_KEYS]
    )


def _request_parts(
    method: str, path: str, headers: Mapping[str, str], body: bytes
) -> list[str]:
    names = (
        messages.PEER_ID,
        messages.PEER_TO,
        messages.PEER_TIME,
        messages.PEER_NONCE,
    )
    values = [headers.get(name, "") for name in names]
    return ["request", method, path, *values, hashlib.sha256(body).hexdigest()]


def _reply_parts(nonce: str, member_id: str, reply: messages.Reply) -> list[str]:
    body_hash = hashlib.sha256(reply.body).hexdigest()
    refused = reply.headers.get(messages.PEER_REFUSED, "")
    return ["reply", nonce, member_id, str(reply.status), refused, body_hash]


@dataclasses.dataclass(slots=True)
class Signer:
    """Signs the messages of one instance.

    Args:
        own_id: Id of this instance.
        keys: Shared keys in force.
        clock: Wall time for ``Peer-Time``.
    """

    own_id: str
    keys: Keys
    clock: clocks.Clock

    def sign(self, method: str, path: str, to: str, body: bytes) -> dict[str, str]:
        """Return the headers that make a message authentic.

        Args:
            method: HTTP method.
            path: Path without host.
            to: Id of the member that is to accept the message.
            body: Whole body.
        """
        headers = {
            messages.PEER_ID: self.own_id,
            messages.PEER_TO: to,
            messages.PEER_TIME: str(self.clock.wall_ms()),
            messages.PEER_NONCE: secrets.token_hex(16),
        }
        parts = _request_parts(method, path, headers, body)
        headers[messages.PEER_SIGNATURE] = _digest(self.keys()[0], parts)
        return headers

    def sign_reply(self, nonce: str, reply: messages.Reply) -> dict[str, str]:
        """Return the headers that bind a reply to the nonce it answers."""
        parts = _reply_parts(nonce, self.own_id, reply)
        return {
            messages.PEER_ID: self.own_id,
            messages.PEER_SIGNATURE: _digest(self.keys()[0], parts),
        }


def reply_author(keys: Keys, nonce: str, reply: messages.Reply) -> str | None:
    """Return the id of the instance that signed a reply, or None."""
    member_id = reply.headers.get(messages.PEER_ID, "")
    signature = reply.headers.get(messages.PEER_SIGNATURE, "")
    if _matches(keys, _reply_parts(nonce, member_id, reply), signature):
        return member_id
    return None


@dataclasses.dataclass(slots=True)
class Verifier:
    """Accepts each authentic, fresh message once.

    Args:
        own_id: Id of this instance; messages to other ids are refused.
        keys: Shared keys in force; at most two are accepted.
        clock: Wall time for the window, monotonic time for the nonces.
        max_nonces: Nonces remembered. When the memory is full, messages are
            refused: forgetting a nonce early would let a replay through.
    """

    own_id: str
    keys: Keys
    clock: clocks.Clock
    max_nonces: int = MAX_NONCES
    _seen: set[str] = dataclasses.field(default_factory=set)
    _order: collections.deque[tuple[float, str]] = dataclasses.field(
        default_factory=collections.deque
    )

    def is_authentic(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> bool:
        """Tell whether the holder of a shared key made this message."""
        parts = _request_parts(method, path, headers, body)
        return _matches(self.keys, parts, headers.get(messages.PEER_SIGNATURE, ""))

    def accept(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        """Check one message and remember its nonce.

        Returns:
            The id of the member that sent it.

        Raises:
            PeerRefused: ``forged``, ``misdirected``, ``old``, ``replayed`` or
                ``full``.
        """
        if not self.is_authentic(method, path, headers, body):
            raise errors.PeerRefused("forged")
        if headers.get(messages.PEER_TO) != self.own_id:
            raise errors.PeerRefused("misdirected")
        self._check_time(headers.get(messages.PEER_TIME, ""))
        self._check_nonce(headers.get(messages.PEER_NONCE, ""))
        return headers[messages.PEER_ID]

    def _check_time(self, stamp: str) -> None:
        if not (stamp.isascii() and stamp.isdigit() and len(stamp) <= 16):
            raise errors.PeerRefused("old")
        if abs(self.clock.wall_ms() - int(stamp)) > MAX_CLOCK_DIFFERENCE_S * 1000:
            raise errors.PeerRefused("old")

    def _check_nonce(self, nonce: str) -> None:
        now = self.clock.monotonic()
        while self._order and now - self._order[0][0] > NONCE_RETENTION_S:
            self._seen.discard(self._order.popleft()[1])
        if not 0 < len(nonce) <= NONCE_MAX_LENGTH or nonce in self._seen:
            raise errors.PeerRefused("replayed")
        if len(self._order) >= self.max_nonces:
            raise errors.PeerRefused("full")
        self._seen.add(nonce)
        self._order.append((now, nonce))
