"""Log events of messages between entry instances (400-499)."""

from limpetstream.telemetry import events

MESSAGE_REFUSED = events.declare(
    400,
    "peer-message-refused",
    "WARNING",
    "A message from another entry instance was refused.",
    "Compare peer_keys and the clocks of both instances; if they agree, find out "
    "which process sends to the peer port.",
)
REPLY_REFUSED = events.declare(
    401,
    "peer-reply-refused",
    "WARNING",
    "The reply of another entry instance was not authentic.",
    "Compare peer_keys of both instances; check which process listens there.",
)
