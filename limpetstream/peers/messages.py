"""Header names, routes and replies of messages between entry instances."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping

PEER_ID = "Peer-Id"
PEER_TO = "Peer-To"
PEER_TIME = "Peer-Time"
PEER_NONCE = "Peer-Nonce"
PEER_SIGNATURE = "Peer-Signature"
# In a reply: why the receiver did not accept the message, see
# ``signing.Verifier.accept``.
PEER_REFUSED = "Peer-Refused"

PREFIX = "/peer/v1/"


@dataclasses.dataclass(slots=True)
class Reply:
    """Reply to a message of another entry instance.

    Args:
        status: HTTP status.
        headers: Headers; the client returns a case-insensitive mapping.
        body: Complete body.
    """

    status: int
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


Route = Callable[[str, Mapping[str, str], bytes], Awaitable[Reply]]
"""Serves one path: ``async (member_id, headers, body) -> Reply``.

The signature covers the body but not other headers, so a route must not rely
on ``headers``.
"""
