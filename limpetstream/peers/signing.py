"""Signs and verifies messages between entry instances; refuses replays."""

import collections
import dataclasses
import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping, Sequence

from limpetstream import clock as clocks, errors
from limpetstream.peers import messages

MAX_CLOCK_DIFFERENCE_S = 5.0
# During a key rotation, some instances sign with the old key and others with
# the new one.
MAX_ACCEPTED_KEYS = 2
# A message whose time is ahead by the allowed difference stays acceptable for
# two times that difference.
NONCE_RETENTION_S = 2 * MAX_CLOCK_DIFFERENCE_S
# 10 s of 12,000 messages/s; about 20 MB of memory when full.
MAX_NONCES = 120_000
MAX_NONCE_LENGTH = 64

Keys = Callable[[], Sequence[str]]
"""Returns the shared keys in use; the first one is used to sign."""


def _digest(key: str, parts: Sequence[str]) -> str:
    # The lengths make the text unambiguous: two different lists of parts never
    # give the same text.
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).hexdigest()


def _is_signed_with_any(keys: Keys, parts: Sequence[str], signature: str) -> bool:
    signature_bytes = signature.encode()
    return any(
        hmac.compare_digest(_digest(key, parts).encode(), signature_bytes)
        for key in keys()[:MAX_ACCEPTED_KEYS]
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
    """Signs the messages and replies of one instance.

    Args:
        own_id: Id of this instance.
        keys: Returns the shared keys in use.
        clock: Clock whose wall time goes into ``Peer-Time``.
    """

    own_id: str
    keys: Keys
    clock: clocks.Clock

    def sign(self, method: str, path: str, to: str, body: bytes) -> dict[str, str]:
        """Return the headers that authenticate a message.

        Args:
            method: HTTP method.
            path: Path without host.
            to: Id of the member that should accept the message.
            body: Complete body.
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
        """Return the headers that authenticate a reply.

        Args:
            nonce: Nonce of the message; the reply is valid for it alone.
            reply: Reply to sign.
        """
        parts = _reply_parts(nonce, self.own_id, reply)
        return {
            messages.PEER_ID: self.own_id,
            messages.PEER_SIGNATURE: _digest(self.keys()[0], parts),
        }


def reply_author(keys: Keys, nonce: str, reply: messages.Reply) -> str | None:
    """Return the id of the instance that signed a reply, or None."""
    member_id = reply.headers.get(messages.PEER_ID, "")
    signature = reply.headers.get(messages.PEER_SIGNATURE, "")
    if _is_signed_with_any(keys, _reply_parts(nonce, member_id, reply), signature):
        return member_id
    return None


@dataclasses.dataclass(slots=True)
class Verifier:
    """Accepts each authentic and recent message once.

    Args:
        own_id: Id of this instance; messages to other ids are refused.
        keys: Returns the shared keys in use; at most two are accepted.
        clock: Clock whose wall time is compared with ``Peer-Time``, and whose
            monotonic time decides how long a nonce is remembered.
        max_nonces: Maximum number of remembered nonces. When it is reached,
            messages are refused: forgetting a nonce early would allow a
            replay.
    """

    own_id: str
    keys: Keys
    clock: clocks.Clock
    max_nonces: int = MAX_NONCES
    _remembered_nonces: set[str] = dataclasses.field(default_factory=set)
    _expiring_nonces: collections.deque[tuple[float, str]] = dataclasses.field(
        default_factory=collections.deque
    )

    def is_authentic(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> bool:
        """Return whether a message was signed with an accepted key."""
        parts = _request_parts(method, path, headers, body)
        return _is_signed_with_any(
            self.keys, parts, headers.get(messages.PEER_SIGNATURE, "")
        )

    def accept(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        """Verify one message and remember its nonce.

        Returns:
            The id of the member that sent it.

        Raises:
            PeerRefused: The message is not accepted; the text is the reason:
                ``forged`` (no valid signature), ``misdirected`` (for another
                instance), ``old`` (its time differs too much from this clock),
                ``replayed`` (its nonce was used before, or is malformed) or
                ``full`` (too many nonces are remembered).
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
        while (
            self._expiring_nonces
            and now - self._expiring_nonces[0][0] > NONCE_RETENTION_S
        ):
            self._remembered_nonces.discard(self._expiring_nonces.popleft()[1])
        if not 0 < len(nonce) <= MAX_NONCE_LENGTH or nonce in self._remembered_nonces:
            raise errors.PeerRefused("replayed")
        if len(self._expiring_nonces) >= self.max_nonces:
            raise errors.PeerRefused("full")
        self._remembered_nonces.add(nonce)
        self._expiring_nonces.append((now, nonce))
